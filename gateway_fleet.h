/*
 * The other instances of a gateway's fleet: membership bootstrapped from
 * seeds, the directory of instances for callers, and the view of the store
 * that a few instances read and distribute.
 */
#ifndef GATEWAY_FLEET_H
#define GATEWAY_FLEET_H

#include "blackboard.h"
#include "directory.h"
#include "loop_lag.h"
#include "member_net.h"
#include "peer.h"
#include "poison_net.h"
#include "settings.h"
#include "view_share.h"
#include "warmup.h"

struct event;
struct event_base;
struct gateway_settings;
struct store_sync;

/**
 * struct gateway_fleet_ops - callbacks of the owner
 * @ready: whether callers may be sent to this instance
 * @view_changed: a peer sent routes or servers; @was_ready is the result of
 *	@ready before they were applied
 * @members_changed: instances joined or left
 */
struct gateway_fleet_ops {
	bool (*ready)(const void *arg);
	void (*view_changed)(void *arg, bool was_ready);
	void (*members_changed)(void *arg);
};

/**
 * struct gateway_fleet_config - parameters of gateway_fleet_init()
 * @base: event loop
 * @clock: outlives the fleet
 * @settings: of the instance; see gateway_fleet_update_seeds()
 * @sync: view of the store
 * @ops: outlives the fleet
 * @arg: passed to @ops
 */
struct gateway_fleet_config {
	struct event_base *base;
	const struct clock *clock;
	const struct gateway_settings *settings;
	struct store_sync *sync;
	const struct gateway_fleet_ops *ops;
	void *arg;
};

/**
 * struct fleet_peer_state - content of the last heartbeat of an instance
 * @instance: its name
 * @incarnation: identifies the process that sent it
 * @routes_version: version of its routes, 0 if it has none
 */
struct fleet_peer_state {
	char instance[FLEET_NAME_SIZE];
	uint64_t incarnation;
	uint64_t routes_version;
	UT_hash_handle hh;
};

/**
 * struct gateway_fleet - this instance's state of the fleet
 * @config: as passed to gateway_fleet_init()
 * @settings: generic settings derived from those in @config
 * @board: state shared by the modules below
 * @planned_links: instances that this one connects to
 * @warmup: selects the local hub that sends to a cold server
 * @peers: connections between instances
 * @members: membership protocol
 * @poison: exchange of requests that crash servers
 * @loop_lag: monitor of event loop stalls
 * @views: distribution of the store's view
 * @handler: receives views and requests for them
 * @fleet_watch: calls back when members change
 * @peer_states: hash table by instance name
 * @periodic_timer: fires every VIEW_REQUEST_PERIOD_MS
 * @ticks: number of times @periodic_timer has fired
 * @started_at: time of gateway_fleet_init(), microseconds
 */
struct gateway_fleet {
	struct gateway_fleet_config config;
	struct settings settings;
	struct blackboard board;
	struct hub_links planned_links;
	struct warmup warmup;
	struct peers peers;
	struct member_net members;
	struct poison_net poison;
	struct loop_lag loop_lag;
	struct view_share views;
	struct peer_handler handler;
	struct blackboard_watch fleet_watch;
	struct fleet_peer_state *peer_states;
	struct event *periodic_timer;
	unsigned int ticks;
	int64_t started_at;
};

/**
 * gateway_fleet_init() - listen for other instances and start to connect
 * @config: copied
 *
 * Return: 0, or ERR_ADDRESS if no peer port can be bound.
 */
int gateway_fleet_init(struct gateway_fleet *fleet,
		       const struct gateway_fleet_config *config);
void gateway_fleet_finish(struct gateway_fleet *fleet);

/**
 * gateway_fleet_routes_changed() - announce the routes now in use here
 */
void gateway_fleet_routes_changed(struct gateway_fleet *fleet);

/**
 * gateway_fleet_leave() - announce that this instance is shutting down
 */
void gateway_fleet_leave(struct gateway_fleet *fleet);

/**
 * gateway_fleet_update_seeds() - pass the seeds in the settings to membership
 */
void gateway_fleet_update_seeds(struct gateway_fleet *fleet);

/**
 * gateway_fleet_is_ready() - check whether an instance has routes and servers
 *
 * Return: for other instances, what the last heartbeat of the running process
 * says.
 */
bool gateway_fleet_is_ready(const struct gateway_fleet *fleet,
			    const struct fleet_member *member);

/**
 * gateway_fleet_has_ready_peer() - whether another instance can take callers
 * @host: host name in their requests, whose routes may be restricted to regions
 */
bool gateway_fleet_has_ready_peer(const struct gateway_fleet *fleet,
				  struct str host);

/**
 * gateway_fleet_list_candidates() - list instances that may accept callers
 * @host: host name in the callers' requests
 * @out: set to an array that the caller frees
 *
 * Return: number of elements in @out.
 */
int gateway_fleet_list_candidates(const struct gateway_fleet *fleet,
				  struct str host,
				  struct directory_candidate **out);

/**
 * gateway_fleet_count_entries() - count known instances that accept callers
 *
 * Return: at least 1.
 */
int gateway_fleet_count_entries(const struct gateway_fleet *fleet);

/**
 * gateway_fleet_is_entry() - check whether this instance accepts callers
 *
 * Return: also true if no members are known.
 */
bool gateway_fleet_is_entry(const struct gateway_fleet *fleet);

/**
 * gateway_fleet_is_sender() - check whether this instance connects to backend
 * servers, as hubs and the instances that accept callers do
 *
 * Return: also true if no members are known.
 */
bool gateway_fleet_is_sender(const struct gateway_fleet *fleet);

/**
 * gateway_fleet_cold_sender() - find the only instance that sends to a server
 * while it is cold, see warmup.h
 *
 * Return: name of the instance; NULL if no hub of the server's data centre is
 * alive.
 */
const char *gateway_fleet_cold_sender(const struct gateway_fleet *fleet,
				      const struct registry_server *server);

/**
 * gateway_fleet_count_local_senders() - count instances in this data centre
 * that connect to backend servers, see gateway_fleet_is_sender()
 *
 * Return: at least 1.
 */
int gateway_fleet_count_local_senders(const struct gateway_fleet *fleet);

#endif
