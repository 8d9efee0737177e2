/*
 * Which instances of a data centre speak for it: they are connected to all its
 * instances and to the hubs of the other data centres, relay to its backend
 * servers, and pass on what one instance read for all. Every instance connects
 * to a few hubs only, so that connections grow with the fleet and not with its
 * square. Decides without sockets.
 */
#ifndef HUBS_H
#define HUBS_H

#include <stdbool.h>
#include <stdint.h>

#include "fleet.h"

/*
 * Hubs of a data centre at most. Each keeps connections to the data centre's
 * backend servers, which accept few and take some milliseconds for a new one;
 * eight share a server of 25 connections.
 */
#define HUBS_PER_DC_MAX 8
/* Hubs that each instance of the data centre connects to: two may be lost. */
#define LOCAL_HUBS_PER_MEMBER 3

/**
 * struct hub_member - an instance that is alive
 * @score: a hash of its name, the same everywhere
 * @place: among those of its data centre, from 0
 * @hub: it is one
 */
struct hub_member {
	char instance[FLEET_NAME_SIZE];
	char data_centre[FLEET_NAME_SIZE];
	uint32_t capacity;
	uint64_t score;
	int place;
	bool hub;
};

/**
 * hubs_choose() - set @place and @hub of all, and sort them by rank
 *
 * The largest come first: who speaks for others should have the means to.
 */
void hubs_choose(struct hub_member *members, int n);

/**
 * struct hub_links - instances that this one connects to
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
 * hub_links_plan() - choose them
 * @members: after hubs_choose()
 * @self: index of this instance
 *
 * Hubs of the own data centre; for hubs and for those that take callers, who
 * ask relays, the hubs of the others too.
 */
void hub_links_plan(struct hub_links *links, const struct hub_member *members,
		    int n, int self);
bool hub_links_contain(const struct hub_links *links, const char *instance);

#endif
