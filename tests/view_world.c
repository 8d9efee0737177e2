#include "view_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"

#define LARGE 500
#define SMALL 120
/* How often gateways ask for a view that they lack or that grew old. */
#define REVIEW_MS 260
#define STEP_MS 20
#define CALL_MS 8

static int read_server(const struct store_item *item,
		       struct server_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	str_copy(entry->id, sizeof(entry->id), str_from(item->name));
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
	node->world->n_calls++;
	node->calls[call->topic] = *call;
	node->answer_at[call->topic] = clock_now(&node->world->clock) +
				       MSEC(CALL_MS) + MSEC(call->wait_ms);
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

static struct node *find_node(struct world *world, const char *name)
{
	return &world->nodes[atoi(name + 1)];
}

static bool is_linked(const struct node *a, const struct node *b)
{
	return !a->world->n_large || hub_links_contain(&a->links, b->name) ||
	       hub_links_contain(&b->links, a->name);
}

static uint64_t draw(struct world *world)
{
	world->draws =
		world->draws * 6364136223846793005ULL + 1442695040888963407ULL;
	return world->draws >> 33;
}

static bool is_lost(struct world *world)
{
	return (int)(draw(world) % 100) < world->lost;
}

static void post(struct node *from, struct node *to,
		 const Peer__ViewUpdate *message)
{
	struct world *world = from->world;
	struct mail *mail = mem_zalloc(sizeof(*mail));
	int64_t delay = (int64_t)(draw(world) % (uint64_t)world->delay);

	mail->from = from;
	mail->to = to;
	mail->at = clock_now(&world->clock) + MSEC(delay);
	mail->len = peer__view_update__get_packed_size(message);
	mail->data = mem_zalloc(mail->len + 1);
	peer__view_update__pack(message, mail->data);
	mail->next = world->mail;
	world->mail = mail;
}

static void deliver(const struct mail *mail)
{
	Peer__ViewUpdate *message =
		peer__view_update__unpack(NULL, mail->len, mail->data);

	if (!mail->to->dead)
		view_share_update(&mail->to->share, mail->from->name, message);
	peer__view_update__free_unpacked(message, NULL);
}

static void deliver_due(struct world *world)
{
	struct mail **at = &world->mail;

	while (*at) {
		struct mail *mail = *at;

		if (mail->at > clock_now(&world->clock)) {
			at = &mail->next;
			continue;
		}
		*at = mail->next;
		deliver(mail);
		free(mail->data);
		free(mail);
		/* What it led to stands in front now. */
		at = &world->mail;
	}
}

static bool on_update(void *arg, const char *member,
		      const Peer__ViewUpdate *message)
{
	struct node *node = arg;
	struct node *to = find_node(node->world, member);

	if (!is_linked(node, to))
		return false;
	node->world->n_messages++;
	node->world->n_whole += message->whole || message->routes.len;
	node->world->n_far +=
		strcmp(node->share.data_centre, to->share.data_centre) != 0;
	if (to->dead || node->dead || is_lost(node->world))
		return true;
	if (node->world->delay)
		post(node, to, message);
	else
		view_share_update(&to->share, node->name, message);
	return true;
}

static bool on_request(void *arg, const char *member,
		       const Peer__ViewRequest *message)
{
	struct node *node = arg;
	struct node *to = find_node(node->world, member);

	if (!is_linked(node, to))
		return false;
	if (!to->dead && !node->dead && !is_lost(node->world))
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

void cluster_update_members(struct world *world)
{
	struct fleet fleet;
	int i;

	fleet_init(&fleet);
	for (i = 0; i < world->n_nodes; i++) {
		struct fleet_member *member;

		if (world->nodes[i].dead)
			continue;
		member = fleet_find_or_add(&fleet,
					   str_from(world->nodes[i].name));
		snprintf(member->data_centre, sizeof(member->data_centre),
			 "dc%d", i % world->centres);
		member->capacity =
			i / world->centres < world->n_large ? LARGE : SMALL;
		member->status = FLEET_ALIVE;
	}
	for (i = 0; i < world->n_nodes; i++) {
		struct node *node = &world->nodes[i];

		if (node->dead)
			continue;
		view_share_set_members(&node->share, &fleet);
		hub_links_plan(&node->links, node->share.members,
			       node->share.n_members, node->share.rank);
	}
	fleet_finish(&fleet);
}

void node_start(struct world *world, int i)
{
	struct node *node = &world->nodes[i];
	char dc[16];

	memset(node, 0, sizeof(*node));
	node->world = world;
	snprintf(node->name, sizeof(node->name), "n%d", i);
	snprintf(dc, sizeof(dc), "dc%d", i % world->centres);
	registry_init(&node->registry, str_from(dc), on_closing, NULL);
	store_sync_init(&node->sync, &world->clock, &format, &sync_ops, node,
			&node->registry);
	view_share_init(&node->share, &world->clock, &share_ops, node,
			&node->sync, node->name, dc);
}

void node_stop(struct node *node)
{
	hub_links_finish(&node->links);
	view_share_finish(&node->share);
	store_sync_finish(&node->sync);
	registry_finish(&node->registry);
}

void cluster_init_hubs(struct world *world, int n, int centres, int n_large)
{
	int i;

	memset(world, 0, sizeof(*world));
	world->centres = centres;
	world->n_large = n_large;
	clock_init_paused(&world->clock, MSEC(1000000));
	world->nodes = mem_zalloc((size_t)n * sizeof(*world->nodes));
	world->n_nodes = n;
	world->revision = 5;
	world->routes_at = 1;
	world->routes_version = 1;
	for (i = 0; i < n; i++)
		node_start(world, i);
	cluster_update_members(world);
}

void world_init(struct world *world, int n)
{
	cluster_init_hubs(world, n, 3, 0);
}

void world_finish(struct world *world)
{
	int i;

	/* What is still on its way. */
	world->delay = 0;
	clock_advance(&world->clock, MSEC(10000));
	deliver_due(world);
	for (i = 0; i < world->n_nodes; i++)
		node_stop(&world->nodes[i]);
	free(world->nodes);
}

/* A change if the call is a watch, else the item if it is there. */
static void add_cordon(const struct world *world, const struct store_call *call,
		       struct store_answer *answer)
{
	struct store_item *item = &answer->items[answer->n_items];
	bool lifted = world->lifted_at > world->cordoned_at;

	if (!world->cordoned_at || (!call->watch && lifted))
		return;
	*item = (struct store_item){.name = "dc1",
				    .kind = STORE_ITEM_CORDON,
				    .removed = lifted};
	item->changed_at = lifted ? world->lifted_at : world->cordoned_at;
	answer->n_items += !call->watch || call->after < item->changed_at;
}

static bool is_gone(const struct world *world, const struct store_call *call)
{
	return call->after < world->compacted || call->after > world->revision;
}

static void answer_routes(struct node *node, const struct store_call *call)
{
	struct world *world = node->world;
	struct store_item items[2] = {{.changed_at = world->routes_at}};
	struct store_answer answer = {.era = world->era,
				      .revision = world->revision,
				      .items = items};
	char text[100];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[],\"services\":[]}",
		 world->routes_version);
	items[0].value = str_from(text);
	answer.n_items = !call->watch || call->after < world->routes_at;
	if (call->watch && (world->history_lost || is_gone(world, call)))
		answer.code = ERR_STALE;
	add_cordon(world, call, &answer);
	store_sync_answered(&node->sync, STORE_ROUTES, &answer);
}

static void answer_servers(struct node *node, const struct store_call *call)
{
	struct world *world = node->world;
	struct store_item item = {.name = "server", .value = STR("ready")};
	struct store_answer answer = {.era = world->era,
				      .revision = world->revision,
				      .items = &item};

	item.changed_at = world->drained_at ? world->drained_at : 1;
	if (world->created_at > item.changed_at)
		item.changed_at = world->created_at;
	item.created_at = world->created_at;
	if (world->drained_at)
		item.value = STR("draining");
	if (world->removed_at) {
		item.changed_at = world->removed_at;
		item.removed = true;
	}
	answer.n_items =
		call->watch ? call->after < item.changed_at : !item.removed;
	if (world->missing)
		answer.n_items = 0;
	if (call->watch && is_gone(world, call))
		answer.code = ERR_STALE;
	store_sync_answered(&node->sync, STORE_SERVERS, &answer);
}

static void answer_node(struct node *node, enum store_topic topic)
{
	struct store_answer failed = {.code = ERR_UNAVAILABLE};

	node->answer_at[topic] = 0;
	if (node->world->away || node->cut_off) {
		store_sync_answered(&node->sync, topic, &failed);
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
	int64_t now = clock_now(&node->world->clock);
	/* A change ends the wait of a watch. */
	const struct world *world = node->world;
	uint64_t after = node->calls[topic].after;
	bool changed = topic == STORE_ROUTES &&
		       (after < world->routes_at ||
			after < world->cordoned_at || after < world->lifted_at);

	return node->answer_at[topic] &&
	       (now >= node->answer_at[topic] || changed);
}

static void review(struct node *node)
{
	struct world *world = node->world;
	int i;

	if (store_sync_ready(&node->sync)) {
		view_share_tick(&node->share);
		return;
	}
	for (i = 0; i < world->n_nodes; i++) {
		struct node *peer = &world->nodes[i];

		if (peer != node && !peer->dead && is_linked(node, peer) &&
		    store_sync_ready(&peer->sync))
			view_share_member_reachable(&node->share, peer->name);
	}
}

void world_pass(struct world *world, int64_t ms)
{
	int64_t t;
	int i;
	int topic;

	for (t = 0; t < ms; t += STEP_MS) {
		clock_advance(&world->clock, MSEC(STEP_MS));
		deliver_due(world);
		for (i = 0; i < world->n_nodes; i++) {
			struct node *node = &world->nodes[i];

			if (node->dead)
				continue;
			for (topic = 0; topic < STORE_TOPICS; topic++) {
				if (is_due(node, topic))
					answer_node(node,
						    (enum store_topic)topic);
			}
			store_sync_tick(&node->sync);
			if (world->n_large && t % REVIEW_MS < STEP_MS)
				review(node);
		}
	}
}

bool node_sees_drain(const struct node *node)
{
	const struct registry_server *server =
		registry_find(&node->registry, STR("server"));

	return server && server->entry.draining;
}

int cluster_count_drained(const struct world *world)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++)
		n += !world->nodes[i].dead && node_sees_drain(&world->nodes[i]);
	return n;
}

int cluster_count_version(const struct world *world, uint64_t version)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++) {
		const struct node *node = &world->nodes[i];

		n += !node->dead && node->sync.routes &&
		     node->sync.routes->version == version;
	}
	return n;
}

void world_drain(struct world *world)
{
	world->drained_at = ++world->revision;
}

void cluster_change_routes(struct world *world)
{
	world->routes_at = ++world->revision;
	world->routes_version++;
}

int cluster_reader(const struct world *world)
{
	int i;

	for (i = 0; i < world->n_nodes; i++) {
		if (!world->nodes[i].dead && !world->nodes[i].share.rank)
			return i;
	}
	return 0;
}

int cluster_count_with_server(const struct world *world)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++)
		n += registry_find(&world->nodes[i].registry, STR("server")) !=
		     NULL;
	return n;
}

void node_receive_server(struct node *node, uint64_t era, int64_t born,
			 uint64_t revision)
{
	Peer__ViewServer row = PEER__VIEW_SERVER__INIT;
	Peer__ViewServer *rows[] = {&row};
	Peer__ViewUpdate message = PEER__VIEW_UPDATE__INIT;

	row.id = (char *)"server";
	row.service = (char *)"s";
	row.data_centre = (char *)"dc0";
	row.address = (char *)"127.0.0.1:1";
	row.changed_at = revision;
	row.born = born;
	message.servers = rows;
	message.n_servers = 1;
	message.servers_at = revision;
	message.servers_from = revision - 1;
	message.store_era = era;
	view_share_update(&node->share, "n1", &message);
}
