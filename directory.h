/*
 * Chooses the instances whose addresses a caller gets. Pure decisions, no
 * sockets.
 */
#ifndef DIRECTORY_H
#define DIRECTORY_H

#include <stdbool.h>

#include "address.h"
#include "fleet.h"
#include "str.h"

/* Most addresses that callers accept in an answer. */
#define DIRECTORY_ADDRESSES_MAX 64

/**
 * struct directory_candidate - an instance that may serve callers
 * @instance: its name
 * @data_centre: where it runs
 * @region: of its data centre, empty if it is not known; borrowed
 * @region_allowed: requests of the caller's host may run in its region
 * @address: that callers connect to
 * @capacity: processor time it has, thousandths of a core; 0: not known
 * @ready: it reported that it knows routes and servers
 */
struct directory_candidate {
	char instance[FLEET_NAME_SIZE];
	char data_centre[FLEET_NAME_SIZE];
	const char *region;
	bool region_allowed;
	struct address address;
	uint32_t capacity;
	bool ready;
};

/**
 * directory_is_large() - whether an instance has the capacity to serve callers
 * and to relay requests
 * @capacity: of the instance, thousandths of a core
 * @max_capacity: greatest capacity of the instances it is compared with
 */
bool directory_is_large(uint32_t capacity, uint32_t max_capacity);

/**
 * directory_choose() - choose the instances whose addresses a caller gets
 * @candidates: all known instances
 * @n: length of @candidates
 * @data_centre: of the caller
 * @region: of the caller
 * @out: room for DIRECTORY_ADDRESSES_MAX indexes of candidates
 *
 * Requests that are restricted to regions must not be sent to instances outside
 * those and the caller's own, unless no instance is left there.
 *
 * Return: how many were chosen; 0 if none is ready.
 */
int directory_choose(const struct directory_candidate *candidates, int n,
		     struct str data_centre, struct str region, int *out);

#endif
