/*
 * Cordons: data centres whose backend servers get no new requests, as set by
 * the operators. Peers exchange the whole set with the store's revision as of
 * which it is complete; the highest revision wins.
 */
#ifndef CORDON_H
#define CORDON_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

/* Data centres; a deployment has fifteen. */
#define CORDONS_MAX 64
#define CORDON_NAME_SIZE 128

/**
 * struct cordon - one data centre
 * @data_centre: its name
 * @changed_at: the store's revision in which the cordon was written
 */
struct cordon {
	char data_centre[CORDON_NAME_SIZE];
	uint64_t changed_at;
};

/**
 * struct cordon_set - all cordons in force
 * @list: unordered
 * @n: length of @list
 * @revision: the store's revision as of which @list is complete
 * @n_changes: number of changes to @list so far
 */
struct cordon_set {
	struct cordon list[CORDONS_MAX];
	int n;
	uint64_t revision;
	uint64_t n_changes;
};

/**
 * cordon_set_add() - add a data centre, or raise its revision
 * @changed_at: the store's revision of the cordon
 *
 * Return: whether it was added; false if it is known, the set is full, or the
 * name is empty, too long or has a NUL.
 */
bool cordon_set_add(struct cordon_set *cordons, struct str data_centre,
		    uint64_t changed_at);

/**
 * cordon_set_remove() - remove a data centre
 * @changed_at: the store's revision of the removal; ignored if it is older than
 *	the cordon's
 *
 * Return: whether it was removed.
 */
bool cordon_set_remove(struct cordon_set *cordons, struct str data_centre,
		       uint64_t changed_at);

/**
 * cordon_set_contains() - whether a data centre has a cordon
 */
bool cordon_set_contains(const struct cordon_set *cordons,
			 struct str data_centre);

/**
 * cordon_set_replace() - replace the set by another one
 * @from: ignored if its revision is older than that of @cordons
 *
 * Cordons of a later revision than that of @from are kept.
 *
 * Return: whether a cordon was added or removed.
 */
bool cordon_set_replace(struct cordon_set *cordons,
			const struct cordon_set *from);

#endif
