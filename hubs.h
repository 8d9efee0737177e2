/*
 * Chooses the hubs of each data centre. Hubs are connected to all instances of
 * their data centre and to the hubs of the other data centres, relay requests
 * to the backend servers there, and distribute what one instance has read for
 * all. The other instances connect to a few hubs only, so that the number of
 * connections grows linearly with the fleet instead of quadratically. Contains
 * no I/O.
 */
#ifndef HUBS_H
#define HUBS_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

/*
 * Maximum number of hubs in a data centre. Each hub keeps connections open to
 * the data centre's backend servers, because a new connection takes some
 * milliseconds, and the servers accept few: eight hubs fit a server that
 * accepts 25 connections.
 */
#define HUBS_PER_DC_MAX 8
/* Hubs that each other instance there connects to: two of them may fail. */
#define LOCAL_HUBS_PER_MEMBER 3

/**
 * struct hub_member - an instance that is alive
 * @instance: its name
 * @data_centre: name of its data centre
 * @capacity: CPU capacity, thousandths of a core
 * @score: hash of its name, equal on all instances; breaks ties
 * @dc_rank: rank within its data centre, from 0
 * @is_hub: it is a hub of its data centre
 */
struct hub_member {
	char instance[FLEET_NAME_SIZE];
	char data_centre[FLEET_NAME_SIZE];
	uint32_t capacity;
	uint64_t score;
	int dc_rank;
	bool is_hub;
};

/**
 * hubs_choose() - sort @members by rank and set their dc_rank and is_hub
 * @members: instances that are alive, this one included
 * @n: number of @members
 *
 * Instances with the most capacity come first, because hubs work for others.
 */
void hubs_choose(struct hub_member *members, int n);

/**
 * struct hub_links - the instances that this one connects to
 * @names: owned
 * @n: number of @names
 * @cap: allocated length of @names
 */
struct hub_links {
	char (*names)[FLEET_NAME_SIZE];
	int n;
	int cap;
};

void hub_links_init(struct hub_links *links);
void hub_links_finish(struct hub_links *links);

void hub_links_clear(struct hub_links *links);
void hub_links_add(struct hub_links *links, const char *instance);

/**
 * hub_links_plan() - choose the instances to connect to
 * @links: replaced
 * @members: sorted by hubs_choose()
 * @n: number of @members
 * @self: index of this instance in @members
 *
 * These are hubs of its own data centre. Hubs, and the instances large enough
 * to accept callers, also connect to the hubs of the other data centres, which
 * relay their requests.
 */
void hub_links_plan(struct hub_links *links, const struct hub_member *members,
		    int n, int self);

/**
 * hub_links_contain() - whether this instance connects to @instance
 * @links: the planned links
 * @instance: name
 */
bool hub_links_contain(const struct hub_links *links, const char *instance);

#endif
