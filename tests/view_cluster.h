/*
 * Simulates a cluster of gateways, the store that they read, and the view
 * updates between them, in one process on a paused clock.
 */
#ifndef VIEW_CLUSTER_H
#define VIEW_CLUSTER_H

#include "view_share.h"

#define NODES_MAX 300
#define STORED_SERVERS_MAX 64

struct cluster;

/**
 * struct node - a gateway
 * @dead: it has failed, and sends and receives nothing
 * @cut_off: it can't reach the store
 * @paused_until: it runs nothing before, and gets its messages then,
 * microseconds
 * @starts: how often it was started
 * @calls: latest call on the store for each topic
 * @answer_at: time when the call is answered; 0: none is pending
 */
struct node {
	struct cluster *cluster;
	char name[16];
	struct registry registry;
	struct store_sync sync;
	struct view_share share;
	struct hub_links links;
	bool dead;
	bool cut_off;
	int64_t paused_until;
	int starts;
	struct store_call calls[STORE_TOPICS];
	int64_t answer_at[STORE_TOPICS];
};

/**
 * struct delayed_update - packed view update that is in flight
 * @to_start: start of @to that the connection leads to
 * @deliver_at: time of its delivery
 */
struct delayed_update {
	struct node *from;
	struct node *to;
	int to_start;
	int64_t deliver_at;
	uint8_t *data;
	size_t len;
	struct delayed_update *next;
};

/**
 * struct stored_server - an entry in the store, or one that was removed
 * @created_at: revision of its creation
 * @changed_at: revision of its creation or removal
 * @time: of that change, microseconds
 */
struct stored_server {
	char name[16];
	uint64_t created_at;
	uint64_t changed_at;
	bool removed;
	int64_t time;
};

/**
 * struct cluster - gateways, and a store with routes and the entries of the
 * server "server" and of further ones
 * @n_large: large instances in each data centre; 0: all instances are linked
 *	to each other
 * @loss_percent: percentage of messages that are lost
 * @delay_max_ms: view updates are delayed by less than this and may overtake
 *	each other; 0: no delay
 * @in_flight: delayed updates
 * @era: of the store; 0: none
 * @revision: latest revision of the store
 * @compacted: watches from before this revision are refused
 * @server_missing: the server has not written its entry yet
 * @drained_at: revision at which the server began to drain, or 0
 * @removed_at: revision at which its entry was removed, or 0
 * @created_at: revision at which its entry was created, or 0
 * @stored: further servers, @n_stored of them
 * @routes_at: revision of the latest routes
 * @cordoned_at: revision at which a data centre was cordoned, or 0
 * @lifted_at: revision at which the cordon was removed, or 0
 * @history_lost: watches of routes and cordons must list again
 * @store_down: calls on the store fail
 * @n_calls: calls on the store
 * @n_messages: view updates sent
 * @n_full: of these, whole views and those with routes
 * @n_cross_dc: of these, updates between data centres
 */
struct cluster {
	struct clock clock;
	struct node *nodes;
	int n_nodes;
	int n_data_centres;
	int n_large;
	int loss_percent;
	int delay_max_ms;
	struct delayed_update *in_flight;
	uint64_t rng_state;
	uint64_t era;
	uint64_t revision;
	uint64_t compacted;
	bool server_missing;
	uint64_t drained_at;
	uint64_t removed_at;
	uint64_t created_at;
	struct stored_server stored[STORED_SERVERS_MAX];
	int n_stored;
	uint64_t routes_at;
	int routes_version;
	uint64_t cordoned_at;
	uint64_t lifted_at;
	bool history_lost;
	bool store_down;
	int n_calls;
	int n_messages;
	int n_full;
	int n_cross_dc;
};

/*
 * Starts @n instances, spread over @centres data centres. @n_large instances of
 * each are large enough to be hubs.
 */
void cluster_init_hubs(struct cluster *cluster, int n, int centres,
		       int n_large);
/* Starts @n instances in three data centres, all linked to each other. */
void cluster_init(struct cluster *cluster, int n);
void cluster_finish(struct cluster *cluster);
/* Starts instance @i. */
void node_start(struct cluster *cluster, int i);
void node_stop(struct node *node);
/* Sends the current members to every running instance. */
void cluster_update_members(struct cluster *cluster);
/* Advances the clock by @ms and runs everything that is due meanwhile. */
void cluster_advance(struct cluster *cluster, int64_t ms);
/* Write to the store, as the server and the operators do. */
void cluster_drain_server(struct cluster *cluster);
void cluster_add_server(struct cluster *cluster);
void cluster_remove_server(struct cluster *cluster, int i);
void cluster_change_routes(struct cluster *cluster);
/* Return: index of the running instance that ranks first. */
int cluster_reader(const struct cluster *cluster);
/*
 * Return: running instances that see the server drain, that use the routes of
 * @version, and instances, stopped ones included, that know the server.
 */
int cluster_count_drained(const struct cluster *cluster);
int cluster_count_version(const struct cluster *cluster, uint64_t version);
int cluster_count_with_server(const struct cluster *cluster);
/* Return: true if the registry lists the server as draining. */
bool node_sees_drain(const struct node *node);
/*
 * A peer sends a change of the server, as known at @servers_at. The names and
 * the address of @row are set.
 */
void node_receive_row(struct node *node, uint64_t era, Peer__ViewServer *row,
		      uint64_t servers_at);
/*
 * Delivers a view update from a peer in which the server changed at @revision.
 * @born: revision at which its entry was created
 */
void node_receive_server(struct node *node, uint64_t era, int64_t born,
			 uint64_t revision);

#endif
