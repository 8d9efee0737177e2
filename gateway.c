#define LOG_MODULE "gateway"
#include "gateway.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/util.h>

#include "error.h"
#include "gateway_outage.h"
#include "gateway_request.h"
#include "gateway_second_sends.h"
#include "gateway_stop.h"
#include "log.h"
#include "loop.h"
#include "mem.h"
#include "store_schedule.h"

/* Instances with at least this many cores read the store at startup. */
#define NO_JOIN_DELAY_CORES 0.25
/*
 * Shares of the connections that a server accepts: for the instances of its
 * own data centre, which also relay for the others, and for the instances of
 * other data centres, which connect directly while no relay is available.
 */
#define LOCAL_CONNECTIONS_SHARE 0.5
#define REMOTE_CONNECTIONS_SHARE 0.45

#define BYTES_PER_MB (1024 * 1024)

bool gateway_ready(const struct gateway *gateway)
{
	return gateway->state == GATEWAY_SERVING &&
	       store_sync_ready(&gateway->sync);
}

/* Store. */

static void arm_store_timer(struct gateway *gateway)
{
	wake_timer_move(&gateway->store_timer, store_sync_due(&gateway->sync));
}

static void on_store_timer(void *arg)
{
	struct gateway *gateway = arg;

	store_sync_tick(&gateway->sync);
	arm_store_timer(gateway);
}

static void set_limits(struct gateway *gateway)
{
	const struct gateway_settings *settings = gateway->settings;
	const struct retry_settings retry = {
		.ratio = settings->retry_ratio,
		.slack = settings->retry_slack,
		.window = (int64_t)(settings->retry_window_s * USEC_PER_SEC),
	};
	const struct retry_membership membership = {
		.entries = gateway_fleet_count_entries(&gateway->fleet),
		.members = gateway->fleet.views.n_members,
		.is_entry = gateway_fleet_is_entry(&gateway->fleet),
	};

	retry_share_update(&gateway->retry_share, &retry, &membership,
			   clock_now(&gateway->clock));
	gateway->limits.budget = gateway->retry_share.limit;
	gateway->upstream.limits.share_local =
		LOCAL_CONNECTIONS_SHARE /
		gateway_fleet_count_local_senders(&gateway->fleet);
	gateway->server_queues.queues.senders =
		gateway_fleet_count_local_senders(&gateway->fleet);
	gateway->server_queues.queues.enabled = settings->load_control.turns;
	gateway->upstream.limits.share_remote =
		REMOTE_CONNECTIONS_SHARE / gateway->retry_share.entries_peak;
	gateway->registry.use_shared_estimates = settings->load_control.pace;
}

static void on_members_changed(void *arg)
{
	struct gateway *gateway = arg;

	set_limits(gateway);
	arm_store_timer(gateway);
}

static void set_health_path(struct registry_service *service, const char *path)
{
	free(service->health_path);
	service->health_path = path ? mem_dup(path) : NULL;
}

static void set_service_limits(struct gateway *gateway)
{
	const struct gateway_settings *settings = gateway->settings;
	const struct route_set *routes = gateway->sync.routes;
	int i;

	for (i = 0; i < routes->n_services; i++) {
		const struct route_service *from = &routes->services[i];
		struct registry_service *service =
			registry_service(&gateway->registry,
					 str_from(from->name));

		service->warmup.cold_for =
			from->cold_s * USEC_PER_SEC < REGISTRY_COLD_MAX
				? (int64_t)(from->cold_s * USEC_PER_SEC)
				: REGISTRY_COLD_MAX;
		service->warmup.bound =
			warmup_bound(from->cold_per_s, settings->cold_overrun,
				     settings->cold_slack);
		set_health_path(service, from->health_path);
	}
}

void gateway_apply_settings(struct gateway *gateway)
{
	set_limits(gateway);
	if (gateway->sync.routes)
		set_service_limits(gateway);
	gateway_fleet_update_seeds(&gateway->fleet);
}

/* Called after routes or servers may have changed. */
static void on_view_changed(void *arg, bool was_ready)
{
	struct gateway *gateway = arg;

	if (!was_ready && gateway_ready(gateway))
		LOG_INFO("ready",
			 LOG_U64("routes_version",
				 gateway->sync.routes->version),
			 LOG_I64("servers",
				 (int64_t)HASH_COUNT(
					 gateway->registry.servers)));
	set_limits(gateway);
	arm_store_timer(gateway);
}

static void on_store_answer(void *arg, enum store_topic topic,
			    const struct store_answer *answer)
{
	struct gateway *gateway = arg;
	bool was_ready = gateway_ready(gateway);

	store_sync_answered(&gateway->sync, topic, answer);
	if (!answer->code)
		view_share_publish(&gateway->fleet.views);
	else if (answer->code != ERR_STALE)
		view_share_publish_failure(&gateway->fleet.views);
	on_view_changed(gateway, was_ready);
}

static void call_store(void *arg, const struct store_call *call,
		       int64_t timeout)
{
	struct gateway *gateway = arg;

	store_client_call(&gateway->store, call, timeout);
}

static void on_routes(void *arg)
{
	struct gateway *gateway = arg;

	inbound_set_limits(&gateway->inbound, &gateway->sync.routes->limits);
	set_service_limits(gateway);
	gateway_fleet_routes_changed(&gateway->fleet);
}

static void on_server(void *arg, const char *id, uint64_t changed_at,
		      bool removed)
{
	struct gateway *gateway = arg;

	view_share_record_change(&gateway->fleet.views, id, changed_at,
				 removed);
}

static const struct store_sync_ops sync_ops = {
	.call = call_store,
	.routes_changed = on_routes,
	.server_changed = on_server,
};

static void on_server_closing(void *arg, struct registry_server *server)
{
	struct gateway *gateway = arg;

	upstream_close_idle(server);
	server_queue_close(&gateway->server_queues.queues, server);
	if (server->gone)
		server_queue_net_server_gone(&gateway->server_queues, server);
}

static bool is_ready(const void *arg)
{
	return gateway_ready(arg);
}

static const struct gateway_fleet_ops fleet_ops = {
	.ready = is_ready,
	.view_changed = on_view_changed,
	.members_changed = on_members_changed,
};

static bool is_usable_relay(void *arg, const struct fleet_member *member)
{
	const struct gateway *gateway = arg;

	return gateway_fleet_is_ready(&gateway->fleet, member);
}

static int init_fleet(struct gateway *gateway)
{
	const struct gateway_fleet_config config = {
		.base = gateway->base,
		.clock = &gateway->clock,
		.settings = gateway->settings,
		.sync = &gateway->sync,
		.ops = &fleet_ops,
		.arg = gateway,
	};

	return gateway_fleet_init(&gateway->fleet, &config);
}

/*
 * Delays the first store read of small instances by a random time, so that an
 * instance that starts together with many others can get the data from them.
 * Larger instances and seeds read at once: callers are sent to the former and
 * would be refused meanwhile, and all instances ask the latter.
 */
static void schedule_join(struct gateway *gateway)
{
	const struct gateway_settings *settings = gateway->settings;
	uint16_t random_value;
	int i;

	if (settings->cpu_quota >= NO_JOIN_DELAY_CORES)
		return;

	for (i = 0; i < settings->n_seeds; i++) {
		if (!strcmp(settings->seeds[i].ip, settings->caller_address.ip))
			return;
	}
	if (!settings->n_seeds)
		return;
	evutil_secure_rng_get_bytes(&random_value, sizeof(random_value));
	store_schedule_delay_start(&gateway->sync,
				   (double)random_value / UINT16_MAX);
}

int gateway_init(struct gateway *gateway, struct event_base *base,
		 const struct gateway_settings *settings,
		 const struct gateway_header_names *names,
		 const struct store_ops *store)
{
	int ret;

	memset(gateway, 0, sizeof(*gateway));
	gateway->base = base;
	gateway->settings = settings;
	gateway->names = names;
	clock_init(&gateway->clock);
	gateway->started_at = clock_now(&gateway->clock);
	gateway_stats_init(&gateway->counters);
	registry_init(&gateway->registry, str_from(settings->data_centre),
		      on_server_closing, gateway);
	gateway->registry.regions = &settings->regions;
	upstream_init(&gateway->upstream, base, &gateway->clock,
		      &names->upstream);
	memory_plan_init(&gateway->memory,
			 (size_t)settings->memory_max_mb * BYTES_PER_MB);
	descriptor_plan_init(&gateway->descriptors, settings->descriptors_max);
	gateway->upstream.memory.max = gateway->memory.answers_read;
	server_queue_net_init(&gateway->server_queues, base, &gateway->upstream,
			      &gateway->fleet.board.poison, &gateway->counters);
	gateway_outage_init(gateway);
	gateway->limits.control = &settings->load_control;
	retry_share_init(&gateway->retry_share, clock_now(&gateway->clock));
	set_limits(gateway);
	ret = inbound_init(&gateway->inbound, base, &gateway->clock,
			   &settings->caller_address, &gateway_request_ops,
			   gateway);
	if (ret)
		return ret;
	gateway->inbound.memory.max = gateway->memory.requests;
	gateway->inbound.answers.max = gateway->memory.answers_sent;
	gateway->inbound.unread_max = gateway->memory.unread;
	gateway->inbound.max = gateway->descriptors.callers;
	store_client_init(&gateway->store, base, store,
			  &settings->store_address, on_store_answer, gateway);
	store_sync_init(&gateway->sync, &gateway->clock, store, &sync_ops,
			gateway, &gateway->registry);
	gateway->sync.view_gaps = &gateway->counters.view_gap.histogram;
	gateway_stop_init(gateway);
	wake_timer_init(&gateway->store_timer, base, &gateway->clock,
			on_store_timer, gateway);
	event_priority_set(gateway->store_timer.event, LOOP_STATE);
	ret = init_fleet(gateway);
	if (ret)
		return ret;
	gateway->fleet.peers.strangers_max = gateway->descriptors.strangers;
	gateway->fleet.peers.backlog_max = gateway->memory.peers;
	gateway_load_init(gateway);
	gateway_second_sends_init(gateway);
	gateway->upstream.limits.warmup = &gateway->fleet.warmup;
	schedule_join(gateway);
	relay_ask_init(&gateway->relay_ask, &gateway->fleet.board,
		       &gateway->fleet.peers, &gateway->registry,
		       is_usable_relay, gateway);
	relay_serve_init(&gateway->relay_serve, &gateway->fleet.board,
			 &gateway->fleet.peers, &gateway->registry,
			 &gateway->server_queues.queues);
	gateway->relay_serve.memory.max = gateway->memory.relayed;
	on_store_timer(gateway);
	return 0;
}

void gateway_finish(struct gateway *gateway)
{
	struct route_stats *stats;
	struct route_stats *next;

	gateway_request_free_all(gateway);
	relay_serve_finish(&gateway->relay_serve);
	relay_ask_finish(&gateway->relay_ask);
	upstream_finish(&gateway->upstream);
	server_queue_net_finish(&gateway->server_queues);
	gateway_outage_finish(gateway);
	gateway_load_finish(gateway);
	gateway_second_sends_finish(gateway);
	inbound_finish(&gateway->inbound);
	gateway_fleet_finish(&gateway->fleet);
	store_client_finish(&gateway->store);
	store_sync_finish(&gateway->sync);
	wake_timer_finish(&gateway->store_timer);
	gateway_stop_finish(gateway);
	registry_finish(&gateway->registry);
	HASH_ITER (hh, gateway->route_stats, stats, next) {
		HASH_DEL(gateway->route_stats, stats);
		free(stats);
	}
}
