/* Rendezvous hashing: chooses the instances that are responsible for a key. */
#ifndef RENDEZVOUS_H
#define RENDEZVOUS_H

#include <stdint.h>

#include "str.h"

/**
 * rendezvous_score() - the score of an instance for a key
 * @key: hash of the key
 * @instance: its name
 *
 * The instances with the highest scores are responsible for the key. When an
 * instance is added or removed, only its own keys move.
 */
static inline uint64_t rendezvous_score(uint64_t key, struct str instance)
{
	return str_hash_mix(str_hash(instance), key);
}

#endif
