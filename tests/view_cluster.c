#include "view_cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"

#define LARGE_CAPACITY 500
#define SMALL_CAPACITY 120
/* Interval at which gateways request a view that they lack or that is old. */
#define REVIEW_INTERVAL_MS 260
#define STEP_MS 20
#define CALL_LATENCY_MS 8

static int read_server(const struct store_item *item,
		       struct server_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	str_copy(entry->id, sizeof(entry->id), store_key_str(&item->name));
	snprintf(entry->service, sizeof(entry->service), "s");
	snprintf(entry->data_centre, sizeof(entry->data_centre), "dc0");
	address_parse(STR("127.0.0.1:1"), &entry->address);
	entry->created_at = item->created_at;
	entry->draining = str_eq(item->value, STR("draining"));
	return 0;
}

static const struct store_ops format = {
	.decode_server = read_server,
};

static void on_call(void *arg, const struct store_call *call, int64_t timeout)
{
	struct node *node = arg;

	(void)timeout;
	node->cluster->n_calls++;
	node->calls[call->topic] = *call;
	node->answer_at[call->topic] = clock_now(&node->cluster->clock) +
				       MSEC(CALL_LATENCY_MS) +
				       MSEC(call->wait_ms);
}

static void on_routes(void *arg)
{
	(void)arg;
}

static void on_server(void *arg, const char *id, uint64_t changed_at,
		      bool removed)
{
	struct node *node = arg;

	view_share_record_change(&node->share, id, changed_at, removed);
}

static const struct store_sync_ops sync_ops = {
	.call = on_call,
	.routes_changed = on_routes,
	.server_changed = on_server,
};

static struct node *find_node(struct cluster *cluster, const char *name)
{
	return &cluster->nodes[atoi(name + 1)];
}

static bool is_linked(const struct node *a, const struct node *b)
{
	return !a->cluster->n_large || hub_links_contain(&a->links, b->name) ||
	       hub_links_contain(&b->links, a->name);
}

static uint64_t next_random(struct cluster *cluster)
{
	cluster->rng_state = cluster->rng_state * 6364136223846793005ULL +
			     1442695040888963407ULL;
	return cluster->rng_state >> 33;
}

static bool is_lost(struct cluster *cluster)
{
	return (int)(next_random(cluster) % 100) < cluster->loss_percent;
}

static bool is_paused(const struct node *node)
{
	return clock_now(&node->cluster->clock) < node->paused_until;
}

static int64_t draw_delay_ms(struct cluster *cluster)
{
	if (!cluster->delay_max_ms)
		return 0;
	return (int64_t)(next_random(cluster) %
			 (uint64_t)cluster->delay_max_ms);
}

static void send_delayed(struct node *from, struct node *to,
			 const Peer__ViewUpdate *message)
{
	struct cluster *cluster = from->cluster;
	struct delayed_update *update = mem_zalloc(sizeof(*update));
	struct delayed_update **last = &cluster->in_flight;

	update->from = from;
	update->to = to;
	update->to_start = to->starts;
	update->deliver_at =
		clock_now(&cluster->clock) + MSEC(draw_delay_ms(cluster));
	update->len = peer__view_update__get_packed_size(message);
	update->data = mem_zalloc(update->len + 1);
	peer__view_update__pack(message, update->data);
	while (*last)
		last = &(*last)->next;
	*last = update;
}

static void deliver(const struct delayed_update *update)
{
	Peer__ViewUpdate *message =
		peer__view_update__unpack(NULL, update->len, update->data);

	if (!update->to->dead && update->to->starts == update->to_start)
		view_share_update(&update->to->share, update->from->name,
				  message);
	peer__view_update__free_unpacked(message, NULL);
}

static void deliver_due(struct cluster *cluster)
{
	struct delayed_update **next = &cluster->in_flight;

	while (*next) {
		struct delayed_update *update = *next;

		if (update->deliver_at > clock_now(&cluster->clock) ||
		    is_paused(update->to)) {
			next = &update->next;
			continue;
		}
		*next = update->next;
		deliver(update);
		free(update->data);
		free(update);
	}
}

static bool on_update(void *arg, const char *member,
		      const Peer__ViewUpdate *message)
{
	struct node *node = arg;
	struct node *to = find_node(node->cluster, member);

	if (!is_linked(node, to))
		return false;
	node->cluster->n_messages++;
	node->cluster->n_full += message->whole || message->routes.len;
	node->cluster->n_cross_dc +=
		strcmp(node->share.data_centre, to->share.data_centre) != 0;
	if (to->dead || node->dead || is_lost(node->cluster))
		return true;
	if (node->cluster->delay_max_ms || is_paused(to))
		send_delayed(node, to, message);
	else
		view_share_update(&to->share, node->name, message);
	return true;
}

static bool on_request(void *arg, const char *member,
		       const Peer__ViewRequest *message)
{
	struct node *node = arg;
	struct node *to = find_node(node->cluster, member);

	if (!is_linked(node, to))
		return false;
	if (!to->dead && !node->dead && !is_paused(to) &&
	    !is_lost(node->cluster))
		view_share_request(&to->share, node->name, message);
	return true;
}

static const struct view_share_ops share_ops = {
	.update = on_update,
	.request = on_request,
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

void cluster_update_members(struct cluster *cluster)
{
	struct fleet fleet;
	int i;

	fleet_init(&fleet);
	for (i = 0; i < cluster->n_nodes; i++) {
		struct fleet_member *member;

		if (cluster->nodes[i].dead)
			continue;
		member = fleet_find_or_add(&fleet,
					   str_from(cluster->nodes[i].name));
		snprintf(member->data_centre, sizeof(member->data_centre),
			 "dc%d", i % cluster->n_data_centres);
		member->capacity =
			i / cluster->n_data_centres < cluster->n_large
				? LARGE_CAPACITY
				: SMALL_CAPACITY;
		member->status = FLEET_ALIVE;
	}
	for (i = 0; i < cluster->n_nodes; i++) {
		struct node *node = &cluster->nodes[i];

		if (node->dead)
			continue;
		view_share_set_members(&node->share, &fleet);
		hub_links_plan(&node->links, node->share.members,
			       node->share.n_members, node->share.rank);
	}
	fleet_finish(&fleet);
}

void node_start(struct cluster *cluster, int i)
{
	struct node *node = &cluster->nodes[i];
	int starts = node->starts;
	char dc[16];

	memset(node, 0, sizeof(*node));
	node->starts = starts + 1;
	node->cluster = cluster;
	snprintf(node->name, sizeof(node->name), "n%d", i);
	snprintf(dc, sizeof(dc), "dc%d", i % cluster->n_data_centres);
	registry_init(&node->registry, str_from(dc), on_closing, NULL);
	store_sync_init(&node->sync, &cluster->clock, &format, &sync_ops, node,
			&node->registry);
	view_share_init(&node->share, &cluster->clock, &share_ops, node,
			&node->sync, node->name, dc);
}

void node_stop(struct node *node)
{
	hub_links_finish(&node->links);
	view_share_finish(&node->share);
	store_sync_finish(&node->sync);
	registry_finish(&node->registry);
}

void cluster_init_hubs(struct cluster *cluster, int n, int centres, int n_large)
{
	int i;

	memset(cluster, 0, sizeof(*cluster));
	cluster->n_data_centres = centres;
	cluster->n_large = n_large;
	clock_init_paused(&cluster->clock, MSEC(1000000));
	cluster->nodes = mem_zalloc((size_t)n * sizeof(*cluster->nodes));
	cluster->n_nodes = n;
	cluster->revision = 5;
	cluster->routes_at = 1;
	cluster->routes_version = 1;
	for (i = 0; i < n; i++)
		node_start(cluster, i);
	cluster_update_members(cluster);
}

void cluster_init(struct cluster *cluster, int n)
{
	cluster_init_hubs(cluster, n, 3, 0);
}

void cluster_finish(struct cluster *cluster)
{
	int i;

	/* Delivers the updates that are still in flight. */
	cluster->delay_max_ms = 0;
	clock_advance(&cluster->clock, MSEC(10000));
	deliver_due(cluster);
	for (i = 0; i < cluster->n_nodes; i++)
		node_stop(&cluster->nodes[i]);
	free(cluster->nodes);
}

/* Adds a change of the cordon for a watch, the present item for a list. */
static void add_cordon(const struct cluster *cluster,
		       const struct store_call *call,
		       struct store_answer *answer)
{
	struct store_item *item = &answer->items[answer->n_items];
	bool lifted = cluster->lifted_at > cluster->cordoned_at;

	if (!cluster->cordoned_at || (!call->watch && lifted))
		return;
	*item = (struct store_item){.kind = STORE_ITEM_CORDON,
				    .removed = lifted};
	store_key_set(&item->name, STR("dc1"));
	item->changed_at = lifted ? cluster->lifted_at : cluster->cordoned_at;
	answer->n_items += !call->watch || call->after < item->changed_at;
}

static bool is_compacted(const struct cluster *cluster,
			 const struct store_call *call)
{
	return call->after < cluster->compacted ||
	       call->after > cluster->revision;
}

static void answer_routes(struct node *node, const struct store_call *call)
{
	struct cluster *cluster = node->cluster;
	struct store_item items[2] = {{.changed_at = cluster->routes_at}};
	struct store_answer answer = {.era = cluster->era,
				      .revision = cluster->revision,
				      .items = items};
	char text[100];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[],\"services\":[]}",
		 cluster->routes_version);
	items[0].value = str_from(text);
	answer.n_items = !call->watch || call->after < cluster->routes_at;
	if (call->watch &&
	    (cluster->history_lost || is_compacted(cluster, call)))
		answer.code = ERR_STALE;
	add_cordon(cluster, call, &answer);
	store_sync_answered(&node->sync, STORE_ROUTES, &answer);
}

/* Adds changes for a watch, the present entries for a list. */
static void add_stored(const struct cluster *cluster,
		       const struct store_call *call,
		       struct store_answer *answer)
{
	int i;

	for (i = 0; i < cluster->n_stored; i++) {
		const struct stored_server *stored = &cluster->stored[i];
		struct store_item *item = &answer->items[answer->n_items];

		if (call->watch ? call->after >= stored->changed_at
				: stored->removed)
			continue;
		*item = (struct store_item){.value = STR("ready"),
					    .changed_at = stored->changed_at,
					    .created_at = stored->created_at,
					    .removed = stored->removed};
		store_key_set(&item->name, str_from(stored->name));
		answer->n_items++;
	}
}

static void answer_servers(struct node *node, const struct store_call *call)
{
	struct cluster *cluster = node->cluster;
	struct store_item items[1 + STORED_SERVERS_MAX] = {
		{.value = STR("ready")}};
	struct store_item item;
	struct store_answer answer = {.era = cluster->era,
				      .revision = cluster->revision,
				      .items = items};

	store_key_set(&items[0].name, STR("server"));
	item = items[0];
	item.changed_at = cluster->drained_at ? cluster->drained_at : 1;
	if (cluster->created_at > item.changed_at)
		item.changed_at = cluster->created_at;
	item.created_at = cluster->created_at;
	if (cluster->drained_at)
		item.value = STR("draining");
	if (cluster->removed_at) {
		item.changed_at = cluster->removed_at;
		item.removed = true;
	}
	answer.n_items =
		call->watch ? call->after < item.changed_at : !item.removed;
	if (cluster->server_missing)
		answer.n_items = 0;
	items[0] = item;
	add_stored(cluster, call, &answer);
	if (call->watch && is_compacted(cluster, call))
		answer.code = ERR_STALE;
	store_sync_answered(&node->sync, STORE_SERVERS, &answer);
}

static void answer_node(struct node *node, enum store_topic topic)
{
	struct store_answer failed = {.code = ERR_UNAVAILABLE};

	node->answer_at[topic] = 0;
	if (node->cluster->store_down || node->cut_off) {
		store_sync_answered(&node->sync, topic, &failed);
		view_share_publish_failure(&node->share);
		return;
	}
	if (topic == STORE_ROUTES)
		answer_routes(node, &node->calls[topic]);
	else
		answer_servers(node, &node->calls[topic]);
	view_share_publish(&node->share);
}

static bool is_due(const struct node *node, int topic)
{
	int64_t now = clock_now(&node->cluster->clock);
	/* A watch is answered as soon as there is a change. */
	const struct cluster *cluster = node->cluster;
	uint64_t after = node->calls[topic].after;
	bool changed = topic == STORE_ROUTES && (after < cluster->routes_at ||
						 after < cluster->cordoned_at ||
						 after < cluster->lifted_at);

	return node->answer_at[topic] &&
	       (now >= node->answer_at[topic] || changed);
}

static void request_views(struct node *node)
{
	struct cluster *cluster = node->cluster;
	int i;

	if (store_sync_ready(&node->sync)) {
		view_share_tick(&node->share);
		return;
	}
	for (i = 0; i < cluster->n_nodes; i++) {
		struct node *peer = &cluster->nodes[i];

		if (peer != node && !peer->dead && is_linked(node, peer) &&
		    store_sync_ready(&peer->sync))
			view_share_member_reachable(&node->share, peer->name);
	}
}

void cluster_advance(struct cluster *cluster, int64_t ms)
{
	int64_t t;
	int i;
	int topic;

	for (t = 0; t < ms; t += STEP_MS) {
		clock_advance(&cluster->clock, MSEC(STEP_MS));
		deliver_due(cluster);
		for (i = 0; i < cluster->n_nodes; i++) {
			struct node *node = &cluster->nodes[i];

			if (node->dead || is_paused(node))
				continue;
			for (topic = 0; topic < STORE_TOPICS; topic++) {
				if (is_due(node, topic))
					answer_node(node,
						    (enum store_topic)topic);
			}
			store_sync_tick(&node->sync);
			if (cluster->n_large &&
			    t % REVIEW_INTERVAL_MS < STEP_MS)
				request_views(node);
		}
	}
}

bool node_sees_drain(const struct node *node)
{
	const struct registry_server *server =
		registry_find(&node->registry, STR("server"));

	return server && server->entry.draining;
}

int cluster_count_drained(const struct cluster *cluster)
{
	int n = 0;
	int i;

	for (i = 0; i < cluster->n_nodes; i++)
		n += !cluster->nodes[i].dead &&
		     node_sees_drain(&cluster->nodes[i]);
	return n;
}

int cluster_count_version(const struct cluster *cluster, uint64_t version)
{
	int n = 0;
	int i;

	for (i = 0; i < cluster->n_nodes; i++) {
		const struct node *node = &cluster->nodes[i];

		n += !node->dead && node->sync.routes &&
		     node->sync.routes->version == version;
	}
	return n;
}

void cluster_drain_server(struct cluster *cluster)
{
	cluster->drained_at = ++cluster->revision;
}

static void change_stored(struct cluster *cluster, struct stored_server *stored,
			  bool removed)
{
	stored->changed_at = ++cluster->revision;
	stored->removed = removed;
	stored->time = clock_now(&cluster->clock);
}

void cluster_add_server(struct cluster *cluster)
{
	struct stored_server *stored = &cluster->stored[cluster->n_stored++];

	snprintf(stored->name, sizeof(stored->name), "s%d", cluster->n_stored);
	change_stored(cluster, stored, false);
	stored->created_at = stored->changed_at;
}

void cluster_remove_server(struct cluster *cluster, int i)
{
	change_stored(cluster, &cluster->stored[i], true);
}

void cluster_change_routes(struct cluster *cluster)
{
	cluster->routes_at = ++cluster->revision;
	cluster->routes_version++;
}

int cluster_reader(const struct cluster *cluster)
{
	int i;

	for (i = 0; i < cluster->n_nodes; i++) {
		if (!cluster->nodes[i].dead && !cluster->nodes[i].share.rank)
			return i;
	}
	return 0;
}

int cluster_count_with_server(const struct cluster *cluster)
{
	int n = 0;
	int i;

	for (i = 0; i < cluster->n_nodes; i++)
		n += registry_find(&cluster->nodes[i].registry,
				   STR("server")) != NULL;
	return n;
}

void node_receive_row(struct node *node, uint64_t era, Peer__ViewServer *row,
		      uint64_t servers_at)
{
	Peer__ViewServer *rows[] = {row};
	Peer__ViewUpdate message = PEER__VIEW_UPDATE__INIT;

	row->id = (char *)"server";
	row->service = (char *)"s";
	row->data_centre = (char *)"dc0";
	row->address = (char *)"127.0.0.1:1";
	message.servers = rows;
	message.n_servers = 1;
	message.servers_at = servers_at;
	message.servers_from = servers_at - 1;
	message.store_era = era;
	view_share_update(&node->share, "n1", &message);
}

void node_receive_server(struct node *node, uint64_t era, int64_t born,
			 uint64_t revision)
{
	Peer__ViewServer row = PEER__VIEW_SERVER__INIT;

	row.changed_at = revision;
	row.born = born;
	node_receive_row(node, era, &row, revision);
}
