#define LOG_MODULE "fleet"
#include "gateway_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/util.h>

#include "error.h"
#include "gateway_settings.h"
#include "log.h"
#include "loop.h"
#include "mem.h"
#include "store_sync.h"

/*
 * Heartbeats go to one member per period, round robin. Some member notices a
 * silent one within about two periods, and the others learn it by gossip.
 */
#define PROBE_PERIOD MSEC(300)
#define MEMBER_LEASE MSEC(2000)
/* A request is banned after it has crashed this many servers. */
#define CRASHES_MAX 3
/*
 * Limits the memory used by slow links: 300 links with a full view of 60 KB
 * queued on each take 18 MB.
 */
#define VIEW_BACKLOG_MAX (256 * 1024)
/*
 * A new instance connects to seeds only for this long. Seeds may be down, and
 * other members that know this instance may contact it meanwhile.
 */
#define SEEDS_ONLY_TIME MSEC(1000)
/* Requests for the view are repeated, as the peer asked may be gone. */
#define VIEW_REQUEST_PERIOD_MS 250
/* Seeds are asked again every second, as they may have been down before. */
#define SEEDS_PERIOD_TICKS 4

static bool send_update(void *arg, const char *member,
			const Peer__ViewUpdate *message)
{
	struct gateway_fleet *fleet = arg;
	struct peer_link *link =
		peers_find_any(&fleet->peers, str_from(member));

	if (!link)
		return false;
	/* The member requests dropped updates once it reads again. */
	if (peer_backlog(link) < VIEW_BACKLOG_MAX)
		peer_send(link, FRAME_VIEW_UPDATE, &message->base);
	return true;
}

static bool send_request(void *arg, const char *member,
			 const Peer__ViewRequest *message)
{
	struct gateway_fleet *fleet = arg;
	struct peer_link *link =
		peers_find_any(&fleet->peers, str_from(member));

	if (link)
		peer_send(link, FRAME_VIEW_REQUEST, &message->base);
	return link;
}

static const struct view_share_ops view_ops = {
	.update = send_update,
	.request = send_request,
};

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	struct gateway_fleet *fleet = arg;
	bool was_ready = fleet->config.ops->ready(fleet->config.arg);

	if (frame->type == FRAME_VIEW_REQUEST)
		view_share_request(&fleet->views, link->instance,
				   (const Peer__ViewRequest *)frame->message);
	else
		view_share_update(&fleet->views, link->instance,
				  (const Peer__ViewUpdate *)frame->message);
	fleet->config.ops->view_changed(fleet->config.arg, was_ready);
}

/*
 * Requests the view from a new peer, so that a new instance need not wait for
 * the store. Also requests a heartbeat, which tells whether callers and relayed
 * requests can be sent to the peer: with one member per period, it would take
 * many seconds to reach a hub among hundreds of members.
 */
static void on_link_up(void *arg, struct peer_link *link)
{
	struct gateway_fleet *fleet = arg;

	member_table_probe_now(&fleet->members.members, link->instance);
	view_share_member_reachable(&fleet->views, link->instance);
}

static void on_heartbeat(void *arg, const char *peer,
			 const struct member_beacon *beacon)
{
	struct gateway_fleet *fleet = arg;
	struct fleet_peer_state *state;
	const struct fleet_member *member =
		fleet_find(&fleet->board.fleet, str_from(peer));

	HASH_FIND_STR(fleet->peer_states, peer, state);
	if (!state) {
		state = mem_zalloc(sizeof(*state));
		str_copy(state->instance, sizeof(state->instance),
			 str_from(peer));
		HASH_ADD_STR(fleet->peer_states, instance, state);
	}
	state->routes_version = beacon->table_revision;
	state->incarnation = member ? member->incarnation : 0;
	if (peers_find_any(&fleet->peers, str_from(peer)))
		view_share_member_reachable(&fleet->views, peer);
}

static bool is_seed(const struct gateway_fleet *fleet,
		    const struct fleet_member *member)
{
	const struct gateway_settings *settings = fleet->config.settings;
	int i;

	for (i = 0; i < settings->n_seeds; i++) {
		if (!strcmp(settings->seeds[i].ip, member->peer_address.ip))
			return true;
	}
	return false;
}

static void plan_seed_links(struct gateway_fleet *fleet)
{
	const struct fleet_member *member = fleet->board.fleet.members;

	hub_links_clear(&fleet->planned_links);
	for (; member; member = member->hh.next) {
		if (is_seed(fleet, member) &&
		    strcmp(member->instance, fleet->settings.instance))
			hub_links_add(&fleet->planned_links, member->instance);
	}
}

/*
 * An instance that starts among hundreds and knows only ten of them would take
 * these and itself for hubs, and open connections that it soon closes again. So
 * it first connects to the seeds only, until it has the full member list.
 */
static void plan_links(struct gateway_fleet *fleet)
{
	const struct view_share *views = &fleet->views;
	int64_t age = clock_now(fleet->config.clock) - fleet->started_at;

	if (!fleet->members.members.complete && age < SEEDS_ONLY_TIME)
		plan_seed_links(fleet);
	else if (views->n_members)
		hub_links_plan(&fleet->planned_links, views->members,
			       views->n_members, views->rank);
}

static bool is_local_hub(const struct gateway_fleet *fleet,
			 const struct hub_member *member)
{
	return member->is_hub &&
	       !strcmp(member->data_centre, fleet->settings.data_centre);
}

static void set_cold_senders(struct gateway_fleet *fleet)
{
	const struct view_share *views = &fleet->views;
	char instances[HUBS_PER_DC_MAX][FLEET_NAME_SIZE];
	int n = 0;
	int i;

	for (i = 0; i < views->n_members && n < HUBS_PER_DC_MAX; i++) {
		if (is_local_hub(fleet, &views->members[i]))
			memcpy(instances[n++], views->members[i].instance,
			       FLEET_NAME_SIZE);
	}
	warmup_set_senders(&fleet->warmup, instances, n);
}

static bool is_sender(const struct view_share *views,
		      const struct hub_member *member)
{
	return member->is_hub ||
	       directory_is_large(member->capacity, views->members[0].capacity);
}

bool gateway_fleet_is_sender(const struct gateway_fleet *fleet)
{
	const struct view_share *views = &fleet->views;

	return !views->n_members ||
	       is_sender(views, &views->members[views->rank]);
}

const char *gateway_fleet_cold_sender(const struct gateway_fleet *fleet,
				      const struct registry_server *server)
{
	const struct view_share *views = &fleet->views;
	struct str id = str_from(server->entry.id);
	const char *best_instance = NULL;
	uint64_t lowest_score = 0;
	int i;

	for (i = 0; i < views->n_members; i++) {
		const struct hub_member *member = &views->members[i];
		uint64_t score;

		if (!member->is_hub ||
		    strcmp(member->data_centre, server->entry.data_centre))
			continue;
		score = warmup_hash(id, member->instance);
		if (best_instance && score >= lowest_score)
			continue;
		lowest_score = score;
		best_instance = member->instance;
	}
	return best_instance;
}

static void on_members_changed(void *arg)
{
	struct gateway_fleet *fleet = arg;

	view_share_set_members(&fleet->views, &fleet->board.fleet);
	set_cold_senders(fleet);
	plan_links(fleet);
	fleet->config.ops->members_changed(fleet->config.arg);
}

void gateway_fleet_update_seeds(struct gateway_fleet *fleet)
{
	const struct gateway_settings *settings = fleet->config.settings;
	struct member_entry entries[GATEWAY_SEEDS_MAX] = {0};
	char names[GATEWAY_SEEDS_MAX][FLEET_NAME_SIZE];
	int i;

	for (i = 0; i < settings->n_seeds; i++) {
		snprintf(names[i], sizeof(names[i]), "seed-%s",
			 settings->seeds[i].ip);
		entries[i].instance = names[i];
		entries[i].data_centre = "";
		entries[i].peer_address = settings->seeds[i];
		entries[i].peer_address.port =
			(uint16_t)settings->peer_ports[0];
		entries[i].caller_address = entries[i].peer_address;
		entries[i].address_only = true;
	}
	member_table_apply_seeds(&fleet->members.members, entries,
				 settings->n_seeds);
}

static void on_loop_tick(void *arg, int64_t lag)
{
	struct gateway_fleet *fleet = arg;

	(void)lag;
	poison_net_tick(&fleet->poison);
}

static bool peer_has_routes(const struct gateway_fleet *fleet,
			    const char *instance)
{
	const struct fleet_peer_state *state;

	HASH_FIND_STR(fleet->peer_states, instance, state);
	return state && state->routes_version;
}

/* The peer asked first may have had no view, or may be gone. */
static void request_view_again(struct gateway_fleet *fleet)
{
	struct peer_link *link;

	for (link = fleet->peers.links; link; link = link->next) {
		if (link->up && peer_has_routes(fleet, link->instance))
			view_share_member_reachable(&fleet->views,
						    link->instance);
	}
}

static void on_periodic_timer(evutil_socket_t fd, short what, void *arg)
{
	struct gateway_fleet *fleet = arg;

	(void)fd;
	(void)what;
	if (fleet->ticks++ % SEEDS_PERIOD_TICKS == 0)
		gateway_fleet_update_seeds(fleet);
	plan_links(fleet);
	if (!fleet->config.ops->ready(fleet->config.arg))
		request_view_again(fleet);
	else
		view_share_tick(&fleet->views);
}

static void fill_settings(struct gateway_fleet *fleet)
{
	const struct gateway_settings *from = fleet->config.settings;
	struct settings *settings = &fleet->settings;

	settings->instance = from->instance;
	settings->data_centre = from->data_centre;
	settings->caller_address = from->caller_address;
	settings->capacity = (uint32_t)(from->cpu_quota * 1000);
	settings->peer_address = from->caller_address;
	settings->peer_address.port = (uint16_t)from->peer_ports[0];
}

static uint64_t generate_incarnation(void)
{
	uint64_t n = 0;

	while (!n)
		evutil_secure_rng_get_bytes(&n, sizeof(n));
	return n;
}

int gateway_fleet_init(struct gateway_fleet *fleet,
		       const struct gateway_fleet_config *config)
{
	static const struct timeval period = {0, VIEW_REQUEST_PERIOD_MS * 1000};
	int ret;

	memset(fleet, 0, sizeof(*fleet));
	fleet->config = *config;
	fleet->started_at = clock_now(config->clock);
	fill_settings(fleet);
	blackboard_init(&fleet->board, config->clock, &fleet->settings,
			config->base, generate_incarnation());
	view_share_init(&fleet->views, config->clock, &view_ops, fleet,
			config->sync, fleet->settings.instance,
			fleet->settings.data_centre);
	ret = peers_init(&fleet->peers, &fleet->board);
	if (ret)
		return ret;
	hub_links_init(&fleet->planned_links);
	warmup_init(&fleet->warmup, config->clock, fleet->settings.instance);
	fleet->peers.wanted = &fleet->planned_links;
	poison_net_init(&fleet->poison, &fleet->board, &fleet->peers);
	fleet->poison.flood = true;
	fleet->board.poison.no_canaries = true;
	fleet->board.poison.ban_after = CRASHES_MAX;
	loop_lag_init(&fleet->loop_lag, &fleet->board, on_loop_tick, fleet);
	fleet->handler.up = on_link_up;
	fleet->handler.frame = on_frame;
	fleet->handler.types =
		1u << FRAME_VIEW_UPDATE | 1u << FRAME_VIEW_REQUEST;
	fleet->handler.arg = fleet;
	peers_add_handler(&fleet->peers, &fleet->handler);
	blackboard_watch(&fleet->board, BLACKBOARD_FLEET, &fleet->fleet_watch,
			 on_members_changed, fleet);
	ret = member_net_init(&fleet->members, &fleet->board, &fleet->peers,
			      on_heartbeat, fleet);
	if (ret)
		return ret;
	member_table_set_periods(&fleet->members.members, PROBE_PERIOD,
				 MEMBER_LEASE);
	fleet->periodic_timer = event_new(config->base, -1, EV_PERSIST,
					  on_periodic_timer, fleet);
	event_priority_set(fleet->periodic_timer, LOOP_STATE);
	event_add(fleet->periodic_timer, &period);
	gateway_fleet_update_seeds(fleet);
	return 0;
}

void gateway_fleet_finish(struct gateway_fleet *fleet)
{
	struct fleet_peer_state *state;
	struct fleet_peer_state *next;

	event_free(fleet->periodic_timer);
	loop_lag_finish(&fleet->loop_lag);
	member_net_finish(&fleet->members);
	peers_finish(&fleet->peers);
	view_share_finish(&fleet->views);
	hub_links_finish(&fleet->planned_links);
	blackboard_finish(&fleet->board);
	HASH_ITER (hh, fleet->peer_states, state, next) {
		HASH_DEL(fleet->peer_states, state);
		free(state);
	}
}

void gateway_fleet_routes_changed(struct gateway_fleet *fleet)
{
	struct member_beacon *beacon = &fleet->members.members.beacon;
	bool first = !beacon->table_revision;
	struct peer_link *link;

	beacon->table_revision = fleet->config.sync->routes->version;
	/* Tell peers that this instance now has a view and accepts requests. */
	for (link = fleet->peers.links; first && link; link = link->next) {
		if (link->up)
			member_table_probe_now(&fleet->members.members,
					       link->instance);
	}
}

void gateway_fleet_leave(struct gateway_fleet *fleet)
{
	fleet->board.lifecycle = LIFECYCLE_LEAVING;
	fleet->board.leaving_since = clock_now(fleet->config.clock);
	blackboard_notify(&fleet->board, BLACKBOARD_LIFECYCLE);
}

bool gateway_fleet_is_ready(const struct gateway_fleet *fleet,
			    const struct fleet_member *member)
{
	const struct fleet_peer_state *state;

	if (!strcmp(member->instance, fleet->settings.instance))
		return fleet->config.ops->ready(fleet->config.arg);
	HASH_FIND_STR(fleet->peer_states, member->instance, state);
	return state && state->incarnation == member->incarnation &&
	       state->routes_version;
}

static void describe_candidate(const struct gateway_fleet *fleet,
			       const struct fleet_member *member,
			       struct str host, struct directory_candidate *out)
{
	const struct gateway_fleet_config *config = &fleet->config;
	const struct route_set *routes = config->sync->routes;

	memcpy(out->instance, member->instance, FLEET_NAME_SIZE);
	memcpy(out->data_centre, member->data_centre, FLEET_NAME_SIZE);
	out->region =
		regions_find(&config->settings->regions, member->data_centre);
	out->region_allowed =
		!routes || route_set_allows(routes, host, out->region);
	out->address = member->caller_address;
	out->capacity = member->capacity;
	out->ready = gateway_fleet_is_ready(fleet, member);
}

bool gateway_fleet_has_ready_peer(const struct gateway_fleet *fleet,
				  struct str host)
{
	const struct fleet_member *member = fleet->board.fleet.members;

	for (; member; member = member->hh.next) {
		struct directory_candidate candidate;

		if (member->status != FLEET_ALIVE ||
		    !strcmp(member->instance, fleet->settings.instance))
			continue;
		describe_candidate(fleet, member, host, &candidate);
		if (candidate.ready && candidate.region_allowed &&
		    candidate.address.port)
			return true;
	}
	return false;
}

int gateway_fleet_list_candidates(const struct gateway_fleet *fleet,
				  struct str host,
				  struct directory_candidate **out)
{
	const struct fleet_member *member = fleet->board.fleet.members;
	size_t n_members = HASH_COUNT(fleet->board.fleet.members);
	int n = 0;

	*out = mem_zalloc((n_members + 1) * sizeof(**out));
	for (; member; member = member->hh.next) {
		if (member->status == FLEET_ALIVE)
			describe_candidate(fleet, member, host, &(*out)[n++]);
	}
	return n;
}

int gateway_fleet_count_entries(const struct gateway_fleet *fleet)
{
	const struct hub_member *members = fleet->views.members;
	int n = 0;

	/* Members are sorted by capacity, largest first. */
	while (n < fleet->views.n_members &&
	       directory_is_large(members[n].capacity, members[0].capacity))
		n++;
	return n > 0 ? n : 1;
}

bool gateway_fleet_is_entry(const struct gateway_fleet *fleet)
{
	const struct view_share *views = &fleet->views;

	return !views->n_members ||
	       views->rank < gateway_fleet_count_entries(fleet);
}

int gateway_fleet_count_local_senders(const struct gateway_fleet *fleet)
{
	const struct view_share *views = &fleet->views;
	int n = 0;
	int i;

	for (i = 0; i < views->n_members; i++) {
		const struct hub_member *member = &views->members[i];

		if (!strcmp(member->data_centre, fleet->settings.data_centre))
			n += is_sender(views, member);
	}
	return n > 0 ? n : 1;
}
