/* Many gateways in one process, a modelled store, and messages by hand. */
#ifndef VIEW_WORLD_H
#define VIEW_WORLD_H

#include "view_share.h"

#define NODES_MAX 300

struct world;

struct node {
	struct world *world;
	char name[16];
	struct registry registry;
	struct store_sync sync;
	struct view_share share;
	struct hub_links links;
	bool dead;
	bool cut_off; /* from the store */
	struct store_call calls[STORE_TOPICS];
	int64_t answer_at[STORE_TOPICS];
};

/* A view that is on its way, packed. */
struct mail {
	struct node *from;
	struct node *to;
	int64_t at;
	uint8_t *data;
	size_t len;
	struct mail *next;
};

/* The store: one server, whose entry changes, and routes. */
struct world {
	struct clock clock;
	struct node *nodes;
	int n_nodes;
	int centres;
	int n_large; /* of each data centre; 0: all are linked to each other */
	int lost;    /* of a hundred messages */
	int delay;   /* of views at most, ms: they overtake each other */
	struct mail *mail;
	uint64_t draws;
	uint64_t era; /* 0: the store tells none */
	uint64_t revision;
	uint64_t compacted; /* watches from before it are refused */
	bool missing;	    /* the server's item: it has not written yet */
	uint64_t drained_at;
	uint64_t removed_at;
	uint64_t created_at;
	uint64_t routes_at;
	int routes_version;
	uint64_t cordoned_at; /* 0: never */
	uint64_t lifted_at;
	bool history_lost; /* watches of the operators' items must list again */
	bool away;
	int n_calls;
	int n_messages;
	int n_whole;
	int n_far; /* messages between data centres */
};

/* @n_large: instances of a data centre that can be hubs. */
void cluster_init_hubs(struct world *world, int n, int centres, int n_large);
void world_init(struct world *world, int n);
void world_finish(struct world *world);
/* Its instance @i. */
void node_start(struct world *world, int i);
void node_stop(struct node *node);
/* All that live know of each other. */
void cluster_update_members(struct world *world);
/* Lets time pass, and all that is due in it. */
void world_pass(struct world *world, int64_t ms);
/* What the server and the operators write to the store. */
void world_drain(struct world *world);
void cluster_change_routes(struct world *world);
/* Index of the first in rank. */
int cluster_reader(const struct world *world);
/* Instances that live, and know that. */
int cluster_count_drained(const struct world *world);
int cluster_count_version(const struct world *world, uint64_t version);
int cluster_count_with_server(const struct world *world);
bool node_sees_drain(const struct node *node);
/* What a peer says of the one server, as a change that came at @revision. */
void node_receive_server(struct node *node, uint64_t era, int64_t born,
			 uint64_t revision);

#endif
