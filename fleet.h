/* The instances of the fleet as this instance sees them. */
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
 * @data_centre: name of its data centre
 * @peer_address: for other instances
 * @caller_address: for callers
 * @incarnation: identifies the process; 0 while unknown
 * @capacity: CPU capacity, thousandths of a core; 0 if unknown
 * @status: whether it gets new work
 * @seen: mark used while a list of instances is applied
 * @hh: by @instance
 */
struct fleet_member {
	char instance[FLEET_NAME_SIZE];
	char data_centre[FLEET_NAME_SIZE];
	struct address peer_address;
	struct address caller_address;
	uint64_t incarnation;
	uint32_t capacity;
	enum fleet_status status;
	bool seen;
	UT_hash_handle hh;
};

/**
 * struct fleet - all known instances
 * @members: owned, by name
 */
struct fleet {
	struct fleet_member *members;
};

void fleet_init(struct fleet *fleet);
void fleet_finish(struct fleet *fleet);

/**
 * fleet_find() - look up a member by name
 * @fleet: the fleet
 * @instance: name
 *
 * Return: the member, owned by @fleet, or NULL.
 */
struct fleet_member *fleet_find(const struct fleet *fleet, struct str instance);

/**
 * fleet_find_or_add() - look up a member by name, adding it if missing
 * @fleet: the fleet
 * @instance: name
 *
 * Return: the member, owned by @fleet; a new one is zero but for its name.
 */
struct fleet_member *fleet_find_or_add(struct fleet *fleet,
				       struct str instance);

/**
 * fleet_remove() - remove and free a member
 * @fleet: the fleet
 * @member: freed
 */
void fleet_remove(struct fleet *fleet, struct fleet_member *member);

#endif
