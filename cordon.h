/*
 * Data centres whose backend servers get no new requests, by the operators'
 * word. The set is told as a whole, with the store's revision as of which it is
 * complete: a newer one replaces an older one, whoever tells it.
 */
#ifndef CORDON_H
#define CORDON_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Data centres at most; a deployment has fifteen. */
#define CORDONS_MAX 64
#define CORDON_NAME_SIZE 128

/**
 * struct cordon - one data centre
 * @changed_at: the store's revision of the operators' word
 */
struct cordon {
	char data_centre[CORDON_NAME_SIZE];
	uint64_t changed_at;
};

/**
 * struct cordons - all that hold
 * @at: the store's revision as of which they are complete
 * @n_changes: how often the set changed
 */
struct cordons {
	struct cordon list[CORDONS_MAX];
	int n;
	uint64_t at;
	uint64_t n_changes;
};

/**
 * cordon_set_add() - a data centre gets no new requests
 *
 * Return: whether that is news; false too if there is no room.
 */
bool cordon_set_add(struct cordons *cordons, struct str data_centre,
		    uint64_t changed_at);

/**
 * cordon_set_remove() - it gets requests again
 * @changed_at: the store's revision of that; an older one than the cordon's
 *	changes nothing
 *
 * Return: whether that is news.
 */
bool cordon_set_remove(struct cordons *cordons, struct str data_centre,
		       uint64_t changed_at);

bool cordon_set_contains(const struct cordons *cordons, struct str data_centre);

/**
 * cordon_set_replace() - take a whole set
 * @from: complete as of its @at; an older one than this changes nothing
 *
 * What was put here at a later revision than @from knows stays.
 *
 * Return: whether the set is another one now.
 */
bool cordon_set_replace(struct cordons *cordons, const struct cordons *from);

#endif
