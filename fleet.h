/* The instances of the fleet as this one sees them. */
#ifndef FLEET_H
#define FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "address.h"
#include "str.h"

#define FLEET_NAME_SIZE 65

enum fleet_status {
	FLEET_ALIVE,
	FLEET_SUSPECT, /* avoided, but keeps its shares */
	FLEET_LEAVING, /* gets no new work */
};

/**
 * struct fleet_member - one instance
 * @instance: its name
 * @incarnation: 0 while not known
 * @capacity: processor time it has, thousandths of a core; 0: not known
 */
struct fleet_member {
	char instance[FLEET_NAME_SIZE];
	char data_centre[FLEET_NAME_SIZE];
	struct address peer_address;
	struct address caller_address;
	uint64_t incarnation;
	uint32_t capacity;
	enum fleet_status status;
	bool seen; /* mark while a list is applied */
	UT_hash_handle hh;
};

struct fleet {
	struct fleet_member *members;
};

void fleet_init(struct fleet *fleet);
void fleet_finish(struct fleet *fleet);

/**
 * fleet_find() - member by name, or NULL
 */
struct fleet_member *fleet_find(const struct fleet *fleet, struct str instance);

/**
 * fleet_find_or_add() - member by name, added if missing
 */
struct fleet_member *fleet_find_or_add(struct fleet *fleet,
				       struct str instance);
void fleet_remove(struct fleet *fleet, struct fleet_member *member);

#endif
