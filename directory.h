/*
 * Which instances callers are sent to. Decides without sockets.
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <stdbool.h>

#include "address.h"
#include "fleet.h"
#include "str.h"

/* Callers take at most so many addresses of an answer. */
#define DIRECTORY_ADDRESSES_MAX 64

/**
 * struct directory_candidate - an instance that may take callers
 * @region: of its data centre, empty if it is not known
 * @home: requests of the caller's host may run in its region
 * @capacity: processor time it has, thousandths of a core; 0: not known
 * @ready: it said that it knows routes and servers
 */
struct directory_candidate {
	char instance[FLEET_NAME_SIZE];
	char data_centre[FLEET_NAME_SIZE];
	const char *region;
	bool home;
	struct address address;
	uint32_t capacity;
	bool ready;
};

/**
 * directory_is_large() - an instance is large enough to take callers and relay
 * @most: the greatest capacity of those it is compared with
 */
bool directory_is_large(uint32_t capacity, uint32_t most);

/**
 * directory_choose() - the instances that a caller is named
 * @data_centre: of the caller
 * @region: of the caller
 *
 * Requests that are bound to regions must not be sent to instances outside of
 * these and the caller's own, unless no instance is left there.
 *
 * @out: room for DIRECTORY_ADDRESSES_MAX indexes of candidates
 *
 * Return: how many were chosen; 0 if none is ready.
 */
int directory_choose(const struct directory_candidate *candidates, int n,
		     struct str data_centre, struct str region, int *out);

#endif
