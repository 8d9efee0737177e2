/*
 * The other instances of a gateway's fleet: membership from seeds, who is
 * named to callers, and the view of the store that few read for all.
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
 * struct gateway_fleet_ops - what the owner knows and wants to know
 * @ready: callers may be sent to this instance
 * @view_changed: a peer told of routes or servers; @was_ready: before that
 * @members_changed: instances came or went
 */
struct gateway_fleet_ops {
	bool (*ready)(const void *arg);
	void (*view_changed)(void *arg, bool was_ready);
	void (*members_changed)(void *arg);
};

/**
 * struct gateway_fleet_config - what the fleet's part of an instance works with
 * @from: settings, read again with gateway_fleet_update_seeds()
 * @arg: handed to @ops
 */
struct gateway_fleet_config {
	struct event_base *base;
	const struct clock *clock;
	const struct gateway_settings *from;
	struct store_sync *sync;
	const struct gateway_fleet_ops *ops;
	void *arg;
};

/* An instance that said which routes it has, by its heartbeats. */
struct fleet_peer_state {
	char instance[FLEET_NAME_SIZE];
	uint64_t incarnation;
	uint64_t routes_version;
	UT_hash_handle hh;
};

/**
 * struct gateway_fleet - wiring of these
 * @wanted: instances that it connects to
 * @warmup: which of the hubs of its data centre sends to servers that are cold
 * @heard: by instance
 */
struct gateway_fleet {
	struct gateway_fleet_config config;
	struct settings settings;
	struct blackboard board;
	struct hub_links wanted;
	struct warmup warmup;
	struct peers peers;
	struct member_net members;
	struct poison_net poison;
	struct loop_lag loop;
	struct view_share views;
	struct peer_handler handler;
	struct blackboard_watch fleet_watch;
	struct fleet_peer_state *heard;
	struct event *seeds_timer;
	unsigned int ticks;
	int64_t started_at;
};

/**
 * gateway_fleet_init() - listen for instances and look for them
 *
 * Return: 0, or ERR_ADDRESS.
 */
int gateway_fleet_init(struct gateway_fleet *fleet,
		       const struct gateway_fleet_config *config);
void gateway_fleet_finish(struct gateway_fleet *fleet);

/**
 * gateway_fleet_routes_changed() - other routes are in force here
 */
void gateway_fleet_routes_changed(struct gateway_fleet *fleet);

/**
 * gateway_fleet_leave() - this instance is stopping
 */
void gateway_fleet_leave(struct gateway_fleet *fleet);

/**
 * gateway_fleet_update_seeds() - the settings were read again
 */
void gateway_fleet_update_seeds(struct gateway_fleet *fleet);

/**
 * gateway_fleet_is_ready() - an instance said that it knows routes and servers
 */
bool gateway_fleet_is_ready(const struct gateway_fleet *fleet,
			    const struct fleet_member *member);

/**
 * gateway_fleet_list_candidates() - instances that may take callers
 * @host: whose requests they would get
 * @out: set to a list that the caller frees
 *
 * Return: how many.
 */
int gateway_fleet_list_candidates(const struct gateway_fleet *fleet,
				  struct str host,
				  struct directory_candidate **out);

/**
 * gateway_fleet_count_entries() - instances that take callers, as far as known
 * here
 *
 * Return: at least 1.
 */
int gateway_fleet_count_entries(const struct gateway_fleet *fleet);

/**
 * gateway_fleet_is_entry() - this instance is one of those that take callers,
 * as far as known here
 *
 * Return: true as well if no members are known.
 */
bool gateway_fleet_is_entry(const struct gateway_fleet *fleet);

/**
 * gateway_fleet_is_sender() - this instance is one of those that connect to
 * backend servers: hubs, and those that take callers
 */
bool gateway_fleet_is_sender(const struct gateway_fleet *fleet);

/**
 * gateway_fleet_cold_sender() - the instance that sends to a server while it is
 * cold, see warmup.h
 *
 * Return: NULL if no hub of its data centre lives.
 */
const char *gateway_fleet_cold_sender(const struct gateway_fleet *fleet,
				      const struct registry_server *server);

/**
 * gateway_fleet_count_local_senders() - instances of the own data centre that
 * send to its servers: they take callers, or relay for those that do
 *
 * Return: at least 1.
 */
int gateway_fleet_count_local_senders(const struct gateway_fleet *fleet);

#endif
