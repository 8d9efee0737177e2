/* Many gateways in one process, a modelled store, and messages by hand. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"
#include "unit.h"
#include "view_pack.h"
#include "view_share.h"

#define NODES_MAX 300
#define LARGE 500
#define SMALL 120
/* How often gateways ask for a view that they lack or that grew old. */
#define REVIEW_MS 260
#define STEP_MS 20
#define CALL_MS 8

struct world;

struct node {
	struct world *world;
	char name[16];
	struct registry registry;
	struct store_sync sync;
	struct view_share share;
	struct hub_links links;
	bool dead;
	bool cut_off; /* from the store */
	struct store_call calls[STORE_TOPICS];
	int64_t answer_at[STORE_TOPICS];
};

/* A view that is on its way, packed. */
struct mail {
	struct node *from;
	struct node *to;
	int64_t at;
	uint8_t *data;
	size_t len;
	struct mail *next;
};

/* The store: one server, whose entry changes, and routes. */
struct world {
	struct clock clock;
	struct node *nodes;
	int n_nodes;
	int centres;
	int n_large; /* of each data centre; 0: all are linked to each other */
	int lost;    /* of a hundred messages */
	int delay;   /* of views at most, ms: they overtake each other */
	struct mail *mail;
	uint64_t draws;
	uint64_t era; /* 0: the store tells none */
	uint64_t revision;
	uint64_t compacted; /* watches from before it are refused */
	uint64_t drained_at;
	uint64_t removed_at;
	uint64_t created_at;
	uint64_t routes_at;
	int routes_version;
	uint64_t cordoned_at; /* 0: never */
	uint64_t lifted_at;
	bool history_lost; /* watches of the operators' items must list again */
	bool away;
	int n_calls;
	int n_messages;
	int n_whole;
	int n_far; /* messages between data centres */
};

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
	.server = read_server,
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

	view_share_changed(&node->share, id, changed_at, removed);
}

static const struct store_sync_ops sync_ops = {
	.call = on_call,
	.routes = on_routes,
	.server = on_server,
};

static struct node *find_node(struct world *world, const char *name)
{
	return &world->nodes[atoi(name + 1)];
}

static bool is_linked(const struct node *a, const struct node *b)
{
	return !a->world->n_large || hub_links_wants(&a->links, b->name) ||
	       hub_links_wants(&b->links, a->name);
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

static void tell_fleet(struct world *world)
{
	struct fleet fleet;
	int i;

	fleet_init(&fleet);
	for (i = 0; i < world->n_nodes; i++) {
		struct fleet_member *member;

		if (world->nodes[i].dead)
			continue;
		member = fleet_put(&fleet, str_from(world->nodes[i].name));
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

static void start_node(struct world *world, int i)
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

static void stop_node(struct node *node)
{
	hub_links_finish(&node->links);
	view_share_finish(&node->share);
	store_sync_finish(&node->sync);
	registry_finish(&node->registry);
}

static void world_init_hubs(struct world *world, int n, int centres,
			    int n_large)
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
		start_node(world, i);
	tell_fleet(world);
}

static void world_init(struct world *world, int n)
{
	world_init_hubs(world, n, 3, 0);
}

static void world_finish(struct world *world)
{
	int i;

	/* What is still on its way. */
	world->delay = 0;
	clock_advance(&world->clock, MSEC(10000));
	deliver_due(world);
	for (i = 0; i < world->n_nodes; i++)
		stop_node(&world->nodes[i]);
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
				      .read_at = world->revision,
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
				      .read_at = world->revision,
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
	view_share_read(&node->share);
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
		view_share_review(&node->share);
		return;
	}
	for (i = 0; i < world->n_nodes; i++) {
		struct node *peer = &world->nodes[i];

		if (peer != node && !peer->dead && is_linked(node, peer) &&
		    store_sync_ready(&peer->sync))
			view_share_met(&node->share, peer->name);
	}
}

static void pass(struct world *world, int64_t ms)
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

static bool knows_drain(const struct node *node)
{
	const struct registry_server *server =
		registry_find(&node->registry, STR("server"));

	return server && server->entry.draining;
}

static int count_drained(const struct world *world)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++)
		n += !world->nodes[i].dead && knows_drain(&world->nodes[i]);
	return n;
}

static int count_version(const struct world *world, uint64_t version)
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

static void drain(struct world *world)
{
	world->drained_at = ++world->revision;
}

static void change_routes(struct world *world)
{
	world->routes_at = ++world->revision;
	world->routes_version++;
}

/* Calls in ten seconds must not grow with the fleet. */
static int calls_of(int n)
{
	struct world world;
	int calls;

	world_init(&world, n);
	pass(&world, 6000);
	world.n_calls = 0;
	pass(&world, 10000);
	calls = world.n_calls;
	world_finish(&world);
	return calls;
}

static void test_calls_do_not_grow(void)
{
	int few = calls_of(8);
	int many = calls_of(NODES_MAX);

	CU_ASSERT(few > 10 && few < 40);
	CU_ASSERT(many < few + 10);
}

static void test_all_hear(void)
{
	struct world world;

	world_init(&world, 76);
	pass(&world, 5000);
	CU_ASSERT(count_version(&world, 1) == 76);
	drain(&world);
	change_routes(&world);
	pass(&world, 1200);
	CU_ASSERT(count_drained(&world) == 76);
	CU_ASSERT(count_version(&world, 2) == 76);
	world_finish(&world);
}

static int reader_of(const struct world *world)
{
	int i;

	for (i = 0; i < world->n_nodes; i++) {
		if (!world->nodes[i].dead && !world->nodes[i].share.rank)
			return i;
	}
	return 0;
}

/*
 * The instance that reads for all loses power, and nobody knows yet. A server
 * drains at that moment. It must be left everywhere within 3 s, though others
 * still count on the one that is lost.
 */
static void test_reader_lost(void)
{
	struct world world;

	world_init(&world, 8);
	pass(&world, 5000);
	world.nodes[reader_of(&world)].dead = true;
	drain(&world);
	change_routes(&world);
	pass(&world, 2700);
	CU_ASSERT(count_drained(&world) == 7);
	CU_ASSERT(count_version(&world, 2) == 7);
	world_finish(&world);
}

/*
 * The store refuses the three instances that would read first, and serves the
 * others. These take over, and the refused ones hear from them.
 */
static void test_readers_refused(void)
{
	struct world world;
	int i;

	world_init(&world, 8);
	pass(&world, 5000);
	for (i = 0; i < 8; i++)
		world.nodes[i].cut_off = world.nodes[i].share.rank < 3;
	drain(&world);
	change_routes(&world);
	pass(&world, 2900);
	CU_ASSERT(count_drained(&world) == 8);
	CU_ASSERT(count_version(&world, 2) == 8);
	world_finish(&world);
}

static int count_knowing(const struct world *world)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++)
		n += registry_find(&world->nodes[i].registry, STR("server")) !=
		     NULL;
	return n;
}

/*
 * The first reader was cut off from the store for a while, and takes what it
 * missed for entries that lapsed while the store was away: it waits whether
 * they come back. The others count on what it tells, and a server that left
 * meanwhile would get requests for longer than 3 s.
 */
static void return_after(int64_t ms)
{
	struct world world;
	struct node *reader;

	world_init(&world, 7);
	pass(&world, 5000);
	reader = &world.nodes[reader_of(&world)];
	reader->cut_off = true;
	pass(&world, 8000 + ms);
	world.removed_at = ++world.revision;
	reader->cut_off = false;
	pass(&world, 2800);
	CU_ASSERT(count_knowing(&world) == 0);
	world_finish(&world);
}

static void test_reader_returns(void)
{
	int64_t ms;

	for (ms = 0; ms < 2000; ms += 100)
		return_after(ms);
}

/*
 * An instance that starts while the store is away learns all from a peer, and
 * asks one peer, not each one it meets: of 76, each would send 50 KB.
 */
static void test_start_while_store_is_away(void)
{
	struct world world;
	int fresh;

	world_init(&world, 5);
	pass(&world, 3000);
	world.away = true;
	fresh = (reader_of(&world) + 1) % 5;
	stop_node(&world.nodes[fresh]);
	start_node(&world, fresh);
	tell_fleet(&world);
	pass(&world, 1000);
	CU_ASSERT(!store_sync_ready(&world.nodes[fresh].sync));
	view_share_met(&world.nodes[fresh].share,
		       world.nodes[reader_of(&world)].name);
	CU_ASSERT(store_sync_ready(&world.nodes[fresh].sync));
	world.n_messages = 0;
	view_share_met(&world.nodes[fresh].share,
		       world.nodes[(fresh + 2) % 5].name);
	CU_ASSERT(world.n_messages == 0);
	CU_ASSERT(registry_find(&world.nodes[fresh].registry, STR("server")) !=
		  NULL);
	world_finish(&world);
}

/*
 * A message of changes is lost. The next one shows that something is missing,
 * and the receiver asks for it.
 */
static void test_lost_message(void)
{
	struct world world;
	struct node *deaf;

	world_init(&world, 8);
	pass(&world, 5000);
	deaf = &world.nodes[(reader_of(&world) + 1) % 8];
	deaf->dead = true;
	drain(&world);
	pass(&world, 1000);
	deaf->dead = false;
	CU_ASSERT(!knows_drain(deaf));
	pass(&world, 1000);
	CU_ASSERT(knows_drain(deaf));
	world_finish(&world);
}

/*
 * 300 instances start at once. If each read the store, page by page, it would
 * refuse most; the first reads, and the others hear from it.
 */
static void test_all_start(void)
{
	struct world world;

	world_init(&world, NODES_MAX);
	pass(&world, 1000);
	CU_ASSERT(count_version(&world, 1) == NODES_MAX);
	CU_ASSERT(world.n_calls < 30);
	world_finish(&world);
}

/*
 * 60 instances start at once, and each reads the store before it knows that
 * there are others. All have the view then. If each told it whole to its data
 * centre, 1,200 messages of 60 KB would go out in the first second. One is
 * enough for each that might lack it.
 */
static void test_all_read(void)
{
	struct world world;
	int i;

	world_init(&world, 60);
	for (i = 0; i < world.n_nodes; i++)
		store_sync_set_patience(&world.nodes[i].sync, 0, 0);
	pass(&world, 1000);
	CU_ASSERT(count_version(&world, 1) == 60);
	CU_ASSERT(world.n_whole <= 60);
	drain(&world);
	change_routes(&world);
	pass(&world, 1000);
	CU_ASSERT(count_drained(&world) == 60);
	CU_ASSERT(count_version(&world, 2) == 60);
	world_finish(&world);
}

/*
 * A change of routes goes to 19 instances of a data centre over a link of
 * 14 Mbit/s: 31 KB each would fill it for a third of a second.
 */
static void test_packed(void)
{
	Peer__ViewUpdate message = PEER__VIEW_UPDATE__INIT;
	Peer__ViewBody *body;
	char text[31000];
	uint8_t *packed;
	size_t i;

	for (i = 0; i < sizeof(text); i++)
		text[i] = "{\"service\":\"a\"},"[i % 16];
	message.routes.data = (uint8_t *)text;
	message.routes.len = sizeof(text);
	packed = view_pack(&message);
	CU_ASSERT(packed != NULL);
	CU_ASSERT(peer__view_update__get_packed_size(&message) < 3100);
	CU_ASSERT_EQUAL(view_unpack(&message, &body), 0);
	CU_ASSERT_EQUAL(body->routes.len, sizeof(text));
	CU_ASSERT(!memcmp(body->routes.data, text, sizeof(text)));
	peer__view_body__free_unpacked(body, NULL);
	free(packed);
}

/* A peer sends bytes that are no body, or says that they are others. */
static void test_packed_badly(void)
{
	Peer__ViewUpdate message = PEER__VIEW_UPDATE__INIT;
	Peer__ViewBody *body;
	char text[1000] = "";
	uint8_t *packed;

	CU_ASSERT_PTR_NULL(view_pack(&message));
	CU_ASSERT_EQUAL(view_unpack(&message, &body), 0);
	CU_ASSERT_PTR_NULL(body);
	message.routes.data = (uint8_t *)text;
	message.routes.len = sizeof(text);
	packed = view_pack(&message);
	message.packed_size++;
	CU_ASSERT_EQUAL(view_unpack(&message, &body), ERR_PROTOCOL);
	message.packed_size -= 2;
	CU_ASSERT_EQUAL(view_unpack(&message, &body), ERR_PROTOCOL);
	message.packed_size = UINT32_MAX;
	CU_ASSERT_EQUAL(view_unpack(&message, &body), ERR_PROTOCOL);
	message.packed_size = 1003;
	packed[0] ^= 1;
	CU_ASSERT_EQUAL(view_unpack(&message, &body), ERR_PROTOCOL);
	CU_ASSERT_PTR_NULL(body);
	free(packed);
}

/* What a peer says of the one server, as a change that came at @revision. */
static void hear_server_of(struct node *node, uint64_t era, int64_t born,
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

static void hear_server(struct node *node, int64_t born, uint64_t revision)
{
	hear_server_of(node, 0, born, revision);
}

/*
 * A server was lost and avoided; it starts again under its id, and one instance
 * reads so from the store. All others hear of it as of another server, and a
 * view from before that is still on its way does not bring the earlier back.
 */
static void test_restart_is_told(void)
{
	struct registry_server *server;
	struct world world;
	struct node *node;
	int64_t now;

	world_init(&world, 2);
	pass(&world, 5000);
	node = &world.nodes[0];
	now = clock_now(&world.clock);
	hear_server(node, 1000, 6);
	server = registry_find(&node->registry, STR("server"));
	server_score_unreachable(&server->score, now);
	server_score_unreachable(&server->score, now);
	CU_ASSERT(server_score_is_lost(&server->score));
	hear_server(node, 2000, 7);
	server = registry_find(&node->registry, STR("server"));
	CU_ASSERT(server->entry.born == 2000);
	CU_ASSERT(!server_score_is_lost(&server->score));
	hear_server(node, 1000, 6);
	hear_server(node, 1000, 8);
	CU_ASSERT(registry_find(&node->registry, STR("server")) == server);
	CU_ASSERT(server->entry.born == 2000);
	CU_ASSERT(!server->gone);
	world_finish(&world);
}

/*
 * The store takes entries away and turns most instances away. One that it
 * serves waits for their return, in vain, and leaves the servers. Then they
 * come back, as they were. Whoever reads that kept them, and sees no change;
 * told of changes only, the one that left them would do without for good, and
 * whoever asks it later, too.
 */
static void test_lapsed_entry_comes_back(void)
{
	struct world world;
	struct node *other;

	world_init(&world, 2);
	pass(&world, 5000);
	other = &world.nodes[1 - reader_of(&world)];
	server_view_remove(&other->sync.servers, "server", ++world.revision,
			   "not_back");
	CU_ASSERT(count_knowing(&world) == 1);
	world.created_at = ++world.revision;
	pass(&world, 1500);
	CU_ASSERT(count_knowing(&world) == 2);
	world_finish(&world);
}

/* Alive, and knows the drain and that version of the routes. */
static int count_current(const struct world *world, uint64_t version)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++) {
		const struct node *node = &world->nodes[i];

		n += !node->dead && knows_drain(node) && node->sync.routes &&
		     node->sync.routes->version == version;
	}
	return n;
}

/* Milliseconds until all that live know a drain and a change of routes. */
static int64_t time_to_all(struct world *world, int alive)
{
	int64_t ms = 0;

	drain(world);
	change_routes(world);
	while (ms < 10000 &&
	       count_current(world, (uint64_t)world->routes_version) < alive) {
		pass(world, 100);
		ms += 100;
	}
	return ms;
}

/*
 * Instances of @n are linked to hubs only. A change must reach all of them with
 * one message between data centres each, though a tenth of all messages is
 * lost, and again when the hub that passes it on has died and nobody knows yet.
 */
static void spread_among(int n, int centres, int n_large)
{
	struct world world;
	int alive = n;
	int64_t took;
	int i;

	world_init_hubs(&world, n, centres, n_large);
	pass(&world, 5000);
	world.n_far = 0;
	drain(&world);
	change_routes(&world);
	pass(&world, 1300);
	CU_ASSERT(count_current(&world, 2) == n);
	/* Two changes, what is told that nothing changed, and no more. */
	CU_ASSERT(world.n_far <= 8 * (centres - 1));
	world_finish(&world);

	world_init_hubs(&world, n, centres, n_large);
	pass(&world, 5000);
	world.lost = 10;
	took = time_to_all(&world, n);
	printf("\n%d instances, a tenth lost: %d ms", n, (int)took);
	CU_ASSERT(took <= 2900);
	world_finish(&world);

	world_init_hubs(&world, n, centres, n_large);
	pass(&world, 5000);
	for (i = 0; i < n; i++) {
		struct view_share *share = &world.nodes[i].share;
		bool lead = !share->members[share->rank].place;

		if (!share->rank ||
		    (lead && !strcmp(share->data_centre, "dc1")))
			world.nodes[i].dead = true;
		alive -= world.nodes[i].dead;
	}
	took = time_to_all(&world, alive);
	printf(", first ones dead: %d ms", (int)took);
	CU_ASSERT(took <= 3900);
	world_finish(&world);
}

static void test_spread_by_hubs(void)
{
	spread_among(8, 4, 2);
	spread_among(76, 4, 3);
	spread_among(295, 6, 3);
	spread_among(1200, 15, 4);
}

/*
 * The store is down for 5 s, and the views of 295 instances grow old. If each
 * tried for itself, again and again, the store would come back to thousands of
 * calls. Those behind the first try so rarely that all together make few, and
 * all are current again soon after its return.
 */
static void test_store_away(void)
{
	struct world world;

	world_init_hubs(&world, 295, 6, 3);
	pass(&world, 5000);
	world.n_calls = 0;
	world.away = true;
	pass(&world, 5000);
	printf("\n%d calls in 5 s without the store", world.n_calls);
	CU_ASSERT(world.n_calls <= 500);
	world.away = false;
	CU_ASSERT(time_to_all(&world, 295) <= 2500);
	world_finish(&world);
}

static void cordon(struct world *world)
{
	world->cordoned_at = ++world->revision;
}

static void lift(struct world *world)
{
	world->lifted_at = ++world->revision;
}

static int count_cordoned(const struct world *world)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++)
		n += !world->nodes[i].dead &&
		     cordons_hold(&world->nodes[i].registry.cordons,
				  STR("dc1"));
	return n;
}

/*
 * Operators take a data centre out among many changes of routes, and the
 * instance that reads for all is lost at that moment. Nothing may be sent there
 * 5 s later, from any instance, whoever missed a message.
 */
static void cordon_among(int n, int centres, int n_large, int lost)
{
	struct world world;
	int i;

	world_init_hubs(&world, n, centres, n_large);
	pass(&world, 5000);
	world.lost = lost;
	CU_ASSERT(count_cordoned(&world) == 0);
	world.nodes[reader_of(&world)].dead = true;
	cordon(&world);
	for (i = 0; i < 10; i++) {
		change_routes(&world);
		pass(&world, 300);
	}
	CU_ASSERT(count_cordoned(&world) == n - 1);
	lift(&world);
	pass(&world, 3000);
	CU_ASSERT(count_cordoned(&world) == 0);
	world_finish(&world);
}

static void test_cordon(void)
{
	cordon_among(8, 4, 2, 0);
	cordon_among(76, 4, 3, 10);
	cordon_among(295, 6, 3, 10);
}

/*
 * The store refuses most instances while a data centre is taken out, and has
 * dropped its history when that is taken back. The refused ones hear both from
 * the others.
 */
static void test_cordon_and_store_trouble(void)
{
	struct world world;
	int i;

	world_init_hubs(&world, 66, 4, 2);
	pass(&world, 5000);
	for (i = 0; i < 66; i++)
		world.nodes[i].cut_off = i % 3 != 2;
	cordon(&world);
	pass(&world, 4000);
	CU_ASSERT(count_cordoned(&world) == 66);
	world.history_lost = true;
	lift(&world);
	pass(&world, 4000);
	CU_ASSERT(count_cordoned(&world) == 0);
	/* One that was away for all of it, and starts anew. */
	cordon(&world);
	pass(&world, 3000);
	stop_node(&world.nodes[7]);
	start_node(&world, 7);
	tell_fleet(&world);
	pass(&world, 3000);
	CU_ASSERT(count_cordoned(&world) == 66);
	world_finish(&world);
}

/* Half of the instances in a data centre are cut off from the store. */
static void cut_half(struct world *world, bool cut)
{
	int i;

	for (i = 0; i < world->n_nodes; i++)
		world->nodes[i].cut_off = cut && i / world->centres % 2;
}

/*
 * A server leaves while the store is silent for some and views are lost or
 * overtake each other.
 */
static void leave_in_silence(uint64_t seed, bool drains)
{
	struct world world;

	world_init_hubs(&world, 36, 3, 2);
	world.draws = seed;
	pass(&world, 4000);
	world.lost = 20;
	world.delay = 700;
	cut_half(&world, true);
	world.nodes[reader_of(&world)].cut_off = true;
	pass(&world, 500 + (int64_t)seed * 170);
	world.created_at = ++world.revision;
	pass(&world, 900);
	if (drains)
		drain(&world);
	pass(&world, 700);
	world.removed_at = ++world.revision;
	if (seed % 2)
		world.compacted = world.revision;
	pass(&world, (int64_t)seed * 90);
	cut_half(&world, false);
	world.nodes[reader_of(&world)].cut_off = false;
	pass(&world, 8000);
	CU_ASSERT_EQUAL(count_knowing(&world), 0);
	world_finish(&world);
}

static void test_leaves_while_store_is_silent(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 24; seed++)
		leave_in_silence(seed, seed % 3 == 0);
}

static void put_servers(struct node *node, int n, uint64_t changed_at)
{
	struct server_entry entry = {.service = "s", .slots = 1};
	int i;

	address_parse(STR("127.0.0.1:1"), &entry.address);
	for (i = 0; i < n; i++) {
		snprintf(entry.id, sizeof(entry.id), "many-%d", i);
		server_view_put(&node->sync.servers, &entry, changed_at);
	}
}

/* More servers change at once than changes are kept for those that ask. */
static void test_many_changes(void)
{
	enum {
		MANY = VIEW_CHANGES_MAX + 400
	};
	struct world world;
	struct node *reader;
	struct node *other;

	world_init(&world, 2);
	pass(&world, 5000);
	reader = &world.nodes[reader_of(&world)];
	other = &world.nodes[1 - reader_of(&world)];
	world.revision += MANY;
	put_servers(reader, MANY, world.revision);
	pass(&world, 2000);
	CU_ASSERT_EQUAL(HASH_COUNT(other->registry.servers), MANY + 1);
	world_finish(&world);
}

/* Who asks an instance that holds a removal back must still hear of it. */
static void test_asked_while_holding_back(void)
{
	Peer__ViewRequest request = PEER__VIEW_REQUEST__INIT;
	struct store_feed *feed;
	struct world world;
	struct node *reader;
	struct node *other;
	uint64_t at;

	world_init(&world, 2);
	pass(&world, 5000);
	reader = &world.nodes[reader_of(&world)];
	other = &world.nodes[1 - reader_of(&world)];
	feed = &other->sync.feeds[STORE_SERVERS];
	at = feed->at;
	server_view_returned(&reader->sync.servers);
	server_view_vanished(&reader->sync.servers, "server", ++world.revision);
	reader->sync.feeds[STORE_SERVERS].at = world.revision;
	request.servers_at = at;
	view_share_request(&reader->share, other->name, &request);
	CU_ASSERT_EQUAL(feed->at, at);
	request.servers_at = 0;
	view_share_request(&reader->share, other->name, &request);
	CU_ASSERT_EQUAL(feed->at, at);
	world_finish(&world);
}

static int count_era(const struct world *world)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++)
		n += world->nodes[i].sync.era == world->era;
	return n;
}

/* The store goes back by some revisions, and what was lost is written again. */
static void go_back(struct world *world, uint64_t revisions)
{
	world->era++;
	world->revision -= revisions;
	if (world->drained_at > world->revision)
		world->drained_at = 0;
	if (world->routes_at > world->revision) {
		world->routes_at = world->revision;
		world->routes_version--;
	}
}

/* Passes time; no instance may lose a server or routes on the way. */
static void pass_served(struct world *world, int64_t ms, uint64_t version)
{
	int64_t t;
	int i;

	for (t = 0; t < ms; t += 100) {
		pass(world, 100);
		if (count_knowing(world) < world->n_nodes)
			CU_FAIL("a server is lost");
		for (i = 0; i < world->n_nodes; i++) {
			if (world->nodes[i].sync.routes->version < version)
				CU_FAIL("routes went back");
		}
	}
}

/*
 * All know of a revision that the store gives out again. What is written then
 * must reach all, though its revision is lower.
 */
static void store_goes_back(int n, int centres, int n_large, int lost,
			    bool some_first)
{
	struct world world;

	world_init_hubs(&world, n, centres, n_large);
	world.era = 1;
	world.revision = 500;
	world.lost = lost;
	world.delay = lost * 30;
	pass(&world, 4000);
	change_routes(&world);
	pass(&world, 2500);
	CU_ASSERT_EQUAL(count_version(&world, 2), n);
	world.revision += 100;
	pass(&world, 2500);
	cut_half(&world, some_first);
	go_back(&world, 300);
	pass_served(&world, 1500, 2);
	drain(&world);
	CU_ASSERT(world.drained_at < 500);
	change_routes(&world);
	pass_served(&world, 4500, 2);
	cut_half(&world, false);
	CU_ASSERT_EQUAL(count_drained(&world), n);
	change_routes(&world);
	pass_served(&world, 4000, 2);
	CU_ASSERT_EQUAL(count_version(&world, 3), n);
	CU_ASSERT_EQUAL(count_era(&world), n);
	world_finish(&world);
}

static void test_store_goes_back(void)
{
	store_goes_back(8, 4, 2, 0, false);
	store_goes_back(76, 4, 3, 10, false);
	store_goes_back(76, 4, 3, 0, true);
	store_goes_back(295, 6, 3, 10, true);
}

/* Several times in a row, also while all of it is still under way. */
static void test_store_goes_back_often(void)
{
	struct world world;
	int i;

	world_init_hubs(&world, 36, 3, 2);
	world.era = 1;
	world.revision = 900;
	pass(&world, 4000);
	world.lost = 10;
	world.n_calls = 0;
	for (i = 0; i < 6; i++) {
		world.revision += 20;
		go_back(&world, 100);
		pass_served(&world, 300 * (i + 1), 1);
	}
	drain(&world);
	change_routes(&world);
	pass_served(&world, 5000, 1);
	CU_ASSERT_EQUAL(count_drained(&world), 36);
	CU_ASSERT_EQUAL(count_version(&world, 2), 36);
	printf("\n%d calls of 36 instances in 11 s", world.n_calls);
	world_finish(&world);
}

/* A peer that has not heard of the new era tells what it knows. */
static void test_peer_of_earlier_era(void)
{
	struct registry_server *server;
	struct world world;
	struct node *node;

	world_init(&world, 2);
	world.era = 2;
	world.revision = 50;
	pass(&world, 5000);
	node = &world.nodes[0];
	hear_server_of(node, 1, 1000, 70);
	server = registry_find(&node->registry, STR("server"));
	CU_ASSERT(!server->entry.born);
	CU_ASSERT(node->sync.feeds[STORE_SERVERS].at < 70);
	hear_server_of(node, 0, 1000, 70);
	CU_ASSERT(!server->entry.born);
	/* One of a later era is believed, whatever its revision. */
	hear_server_of(node, 3, 1000, 7);
	server = registry_find(&node->registry, STR("server"));
	CU_ASSERT_EQUAL(server->entry.born, 1000);
	CU_ASSERT_EQUAL(node->sync.era, 3);
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"leaves while the store is silent", test_leaves_while_store_is_silent},
	{"many changes", test_many_changes},
	{"asked while holding back", test_asked_while_holding_back},
	{"the store goes back", test_store_goes_back},
	{"the store goes back often", test_store_goes_back_often},
	{"a peer of an earlier era", test_peer_of_earlier_era},
	{"calls do not grow with the fleet", test_calls_do_not_grow},
	{"all hear", test_all_hear},
	{"all start at once", test_all_start},
	{"all read at once", test_all_read},
	{"the reader is lost", test_reader_lost},
	{"readers are refused", test_readers_refused},
	{"the reader returns", test_reader_returns},
	{"start while the store is away", test_start_while_store_is_away},
	{"a lost message", test_lost_message},
	{"packed", test_packed},
	{"packed badly", test_packed_badly},
	{"a restart is told", test_restart_is_told},
	{"spread by hubs", test_spread_by_hubs},
	{"cordon", test_cordon},
	{"cordon and store trouble", test_cordon_and_store_trouble},
	{"store away", test_store_away},
	{"a lapsed entry comes back", test_lapsed_entry_comes_back},
};

UNIT_MAIN("view_share", tests)
