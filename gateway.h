/*
 * A gateway instance: takes callers' requests, finds their route, has them
 * dispatched to backend servers, and answers. Requests and answers are opaque
 * here; of sharded ones the records are merged.
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
#include "retry_share.h"
#include "server_queue_net.h"
#include "store_client.h"
#include "store_sync.h"
#include "upstream.h"
#include "wake_timer.h"

struct event;
struct event_base;
struct gateway_request;

/**
 * struct gateway_header_names - headers that callers and backend servers
 * understand
 * @part_stamps: signatures of the parts that are in an answer
 * @parts_missing: number of parts that are not
 */
struct gateway_header_names {
	struct upstream_header_names upstream;
	struct str part_stamps;
	struct str parts_missing;
};

/**
 * struct route_stats - what is known of a route's requests, kept over versions
 * @name: of the route
 * @patience: the longest that callers say they will wait, milliseconds
 */
struct route_stats {
	char name[REGISTRY_NAME_SIZE];
	struct latency latency;
	struct peak patience;
	UT_hash_handle hh;
};

enum gateway_state {
	GATEWAY_SERVING,
	GATEWAY_LEAVING, /* out of the directory, still serving */
	GATEWAY_CLOSING, /* connections without a request are closed */
};

/**
 * struct gateway - one instance
 * @retry_share: its share of the fleet-wide budget of second sends
 * @started_at: time of gateway_init(), microseconds
 * @second_sends_timer: fires once per retry budget window
 * @second_sends_window_start: start of the current window, microseconds
 * @open: requests that are not answered
 */
struct gateway {
	struct event_base *base;
	struct clock clock;
	const struct gateway_settings *settings;
	const struct gateway_header_names *names;
	struct registry registry;
	struct upstream upstream;
	struct server_queue_net turns;
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
	struct route_stats *stats;
	struct gateway_stats counters;
	struct gateway_request *open;
	enum gateway_state state;
	int64_t leaving_since;
	struct event *stop_timer;
};

/**
 * gateway_init() - listen and begin to read the store
 *
 * Return: 0, or ERR_ADDRESS.
 */
int gateway_init(struct gateway *gateway, struct event_base *base,
		 const struct gateway_settings *settings,
		 const struct gateway_header_names *names,
		 const struct store_ops *store);
void gateway_finish(struct gateway *gateway);

/**
 * gateway_ready() - callers may be sent here
 */
bool gateway_ready(const struct gateway *gateway);

/**
 * gateway_apply_settings() - the settings were changed
 */
void gateway_apply_settings(struct gateway *gateway);

/**
 * gateway_shut_down() - stop gracefully; ends the event loop when done
 */
void gateway_shut_down(struct gateway *gateway);

#endif
