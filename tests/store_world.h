#ifndef STORE_WORLD_H
#define STORE_WORLD_H

#include "store_sync.h"

/* One instance, and a store that the test plays by hand. */
struct world {
	struct clock clock;
	struct registry registry;
	struct store_sync sync;
	struct store_call calls[STORE_TOPICS];
	int n_calls[STORE_TOPICS];
	uint64_t era; /* that the store tells; 0: none */
};

void world_init(struct world *world);
void world_finish(struct world *world);
/* The instance starts anew, knows the servers, and has not called yet. */
void world_restart(struct world *world);
/* Lets time pass, and calls what is due. */
void world_pass(struct world *world, int64_t ms);
/* An item that says "ready", or its removal. */
struct store_item make_item(const char *name, uint64_t at, bool removed);
/* The store answers the call under way. */
void fixture_answer(struct world *world, enum store_topic topic,
		    uint64_t read_at, struct store_item *items, int n);
void fixture_fail(struct world *world, enum store_topic topic, int code);
bool fixture_has_server(const struct world *world, const char *id);
void fixture_answer_routes(struct world *world, int version);
/* A list of the servers a and b. */
void fixture_answer_servers(struct world *world);
/* How the store speaks of servers here: their state, or "unreadable". */
int fixture_decode_server(const struct store_item *item,
			  struct server_entry *entry);

#endif
