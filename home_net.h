/*
 * I/O of the home module: receives queries from entries, connects to backend
 * servers, polls their holdings and sends the servers' states to the entries.
 */
#ifndef HOME_NET_H
#define HOME_NET_H

#include "blackboard.h"
#include "home.h"
#include "peer.h"
#include "wake_timer.h"

struct event;

/**
 * struct home_net - connects struct home to peers, servers and timers
 * @board: shared state of the process, not owned
 * @peers: connections to other instances, not owned
 * @home: queues and running jobs
 * @handler: for frames of entries
 * @flush_event: runs home_flush()
 * @tick_timer: runs home_tick()
 * @poll_timer: requests the holdings of all servers
 * @has_removed_servers: some servers left the table, or changed in it, and
 *	still have running jobs
 * @table_watch: table changes
 * @shares_watch: share changes
 * @usage_watch: requests to report the usage of shares
 * @catalog_watch: version changes seen by this instance
 * @lifecycle_watch: the stop of this instance
 */
struct home_net {
	struct blackboard *board;
	struct peers *peers;
	struct home home;
	struct peer_handler handler;
	struct event *flush_event;
	struct wake_timer tick_timer;
	struct event *poll_timer;
	bool has_removed_servers;
	struct blackboard_watch table_watch;
	struct blackboard_watch shares_watch;
	struct blackboard_watch usage_watch;
	struct blackboard_watch catalog_watch;
	struct blackboard_watch lifecycle_watch;
};

/**
 * home_net_init() - connect to the servers that this instance has a share of
 * @net: to be finished with home_net_finish()
 * @board: outlives @net
 * @peers: outlives @net
 */
void home_net_init(struct home_net *net, struct blackboard *board,
		   struct peers *peers);
/**
 * home_net_finish() - close all connections and free all memory
 * @net: initialised
 */
void home_net_finish(struct home_net *net);

#endif
