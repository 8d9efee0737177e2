/*
 * A gateway instance: accepts callers' requests, matches them to a route,
 * dispatches them to backend servers and returns the answers. Requests and
 * answers are opaque, except that the records of sharded answers are merged.
 */
#ifndef GATEWAY_H
#define GATEWAY_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "dispatch.h"
#include "gateway_fleet.h"
#include "gateway_load.h"
#include "gateway_settings.h"
#include "gateway_stats.h"
#include "inbound.h"
#include "latency.h"
#include "outage.h"
#include "peak.h"
#include "registry.h"
#include "relay_ask.h"
#include "relay_serve.h"
#include "resource_plan.h"
#include "retry_share.h"
#include "server_queue_net.h"
#include "stop_plan.h"
#include "store_client.h"
#include "store_sync.h"
#include "upstream.h"
#include "wake_timer.h"

struct event;
struct event_base;
struct gateway_pages;
struct gateway_request;

/**
 * struct gateway_header_names - headers used by callers and backend servers
 * @upstream: headers exchanged with backend servers
 * @part_stamps: header with the signatures of the parts in an answer
 * @parts_missing: header with the number of missing parts
 */
struct gateway_header_names {
	struct upstream_header_names upstream;
	struct str part_stamps;
	struct str parts_missing;
};

/**
 * struct route_stats - statistics of a route, kept when its version changes
 * @name: name of the route, or its prefix if it has no name
 * @latency: latencies of the route's requests, for hedging and forecasts
 * @caller_timeout: recent maximum of the timeouts sent by callers,
 *	milliseconds
 * @slowest: recent maximum of the time that a request took, microseconds
 * @answer_size: mean size of recent answers, bytes
 */
struct route_stats {
	char name[REGISTRY_NAME_SIZE];
	struct latency latency;
	struct peak caller_timeout;
	struct peak slowest;
	double answer_size;
	UT_hash_handle hh;
};

enum gateway_state {
	GATEWAY_SERVING,
	GATEWAY_LEAVING, /* removed from the directory, still serving */
	GATEWAY_CLOSING, /* closing connections that have no request */
};

/**
 * struct gateway - state of one instance
 * @base: event loop
 * @clock: time source of all its modules
 * @settings: owned by the caller, outlives the gateway; see
 *	gateway_apply_settings()
 * @names: names of HTTP headers, outlive the gateway
 * @registry: backend servers and services
 * @upstream: connections to backend servers
 * @server_queues: sends that wait for a backend server
 * @inbound: connections from callers
 * @store: connection to the platform's store
 * @sync: routes and servers as read from the store
 * @store_timer: fires when the store must be called next
 * @fleet: the other instances
 * @relay_ask: sends this instance makes through relays
 * @relay_serve: sends this instance makes as a relay
 * @outage: reachability of backend servers
 * @outage_timer: fires when a server must be checked next
 * @limits: limits shared by all dispatches
 * @load: what is shared with other instances under overload
 * @retry_share: its share of the fleet-wide budget of second sends
 * @started_at: time of gateway_init(), microseconds
 * @second_sends_timer: fires once per retry budget window
 * @second_sends_window_start: start of the current window, microseconds
 * @route_stats: hash table by route name
 * @counters: exposed metrics
 * @memory: limits on memory
 * @descriptors: limits on connections
 * @expected_answers: expected size of the answers to @open_requests, bytes
 * @open_requests: list of requests without an answer yet
 * @pages: endpoints; NULL without
 * @state: progress of a shutdown
 * @stop: times of a shutdown
 * @stop_timer: fires periodically during shutdown
 */
struct gateway {
	struct event_base *base;
	struct clock clock;
	const struct gateway_settings *settings;
	const struct gateway_header_names *names;
	struct registry registry;
	struct upstream upstream;
	struct server_queue_net server_queues;
	struct inbound inbound;
	struct store_client store;
	struct store_sync sync;
	struct wake_timer store_timer;
	struct gateway_fleet fleet;
	struct relay_ask relay_ask;
	struct relay_serve relay_serve;
	struct outage outage;
	struct wake_timer outage_timer;
	struct dispatch_limits limits;
	struct gateway_load load;
	struct retry_share retry_share;
	int64_t started_at;
	struct wake_timer second_sends_timer;
	int64_t second_sends_window_start;
	struct route_stats *route_stats;
	struct gateway_stats counters;
	struct memory_plan memory;
	struct descriptor_plan descriptors;
	size_t expected_answers;
	struct gateway_request *open_requests;
	const struct gateway_pages *pages;
	enum gateway_state state;
	struct stop_plan stop;
	struct event *stop_timer;
};

/**
 * gateway_init() - start listening and reading the store
 * @base: event loop; outlives the gateway
 * @settings: outlive the gateway
 * @names: outlive the gateway
 * @store: client of the platform's store
 *
 * Return: 0, or ERR_ADDRESS if an address cannot be bound.
 */
int gateway_init(struct gateway *gateway, struct event_base *base,
		 const struct gateway_settings *settings,
		 const struct gateway_header_names *names,
		 const struct store_ops *store);

/**
 * gateway_finish() - free everything
 *
 * Requests without an answer and answers that were not sent are logged.
 */
void gateway_finish(struct gateway *gateway);

/**
 * gateway_ready() - check whether this instance can serve callers
 */
bool gateway_ready(const struct gateway *gateway);

/**
 * gateway_apply_settings() - apply changes made to the settings in place
 */
void gateway_apply_settings(struct gateway *gateway);

#endif
