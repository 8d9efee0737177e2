/* What instances tell each other of the store. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "unit.h"
#include "view_pack.h"
#include "view_world.h"

/* Calls in ten seconds must not grow with the fleet. */
static int calls_of(int n)
{
	struct world world;
	int calls;

	world_init(&world, n);
	world_pass(&world, 6000);
	world.n_calls = 0;
	world_pass(&world, 10000);
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
	world_pass(&world, 5000);
	CU_ASSERT(world_count_version(&world, 1) == 76);
	world_drain(&world);
	world_change_routes(&world);
	world_pass(&world, 1200);
	CU_ASSERT(world_count_drained(&world) == 76);
	CU_ASSERT(world_count_version(&world, 2) == 76);
	world_finish(&world);
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
	world_pass(&world, 5000);
	world.nodes[world_reader(&world)].dead = true;
	world_drain(&world);
	world_change_routes(&world);
	world_pass(&world, 2700);
	CU_ASSERT(world_count_drained(&world) == 7);
	CU_ASSERT(world_count_version(&world, 2) == 7);
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
	world_pass(&world, 5000);
	for (i = 0; i < 8; i++)
		world.nodes[i].cut_off = world.nodes[i].share.rank < 3;
	world_drain(&world);
	world_change_routes(&world);
	world_pass(&world, 2900);
	CU_ASSERT(world_count_drained(&world) == 8);
	CU_ASSERT(world_count_version(&world, 2) == 8);
	world_finish(&world);
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
	world_pass(&world, 5000);
	reader = &world.nodes[world_reader(&world)];
	reader->cut_off = true;
	world_pass(&world, 8000 + ms);
	world.removed_at = ++world.revision;
	reader->cut_off = false;
	world_pass(&world, 2800);
	CU_ASSERT(world_count_knowing(&world) == 0);
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
	world_pass(&world, 3000);
	world.away = true;
	fresh = (world_reader(&world) + 1) % 5;
	node_stop(&world.nodes[fresh]);
	node_start(&world, fresh);
	world_tell_fleet(&world);
	world_pass(&world, 1000);
	CU_ASSERT(!store_sync_ready(&world.nodes[fresh].sync));
	view_share_member_reachable(&world.nodes[fresh].share,
				    world.nodes[world_reader(&world)].name);
	CU_ASSERT(store_sync_ready(&world.nodes[fresh].sync));
	world.n_messages = 0;
	view_share_member_reachable(&world.nodes[fresh].share,
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
	world_pass(&world, 5000);
	deaf = &world.nodes[(world_reader(&world) + 1) % 8];
	deaf->dead = true;
	world_drain(&world);
	world_pass(&world, 1000);
	deaf->dead = false;
	CU_ASSERT(!node_knows_drain(deaf));
	world_pass(&world, 1000);
	CU_ASSERT(node_knows_drain(deaf));
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
	world_pass(&world, 1000);
	CU_ASSERT(world_count_version(&world, 1) == NODES_MAX);
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
		store_sync_set_max_view_age(&world.nodes[i].sync, 0, 0);
	world_pass(&world, 1000);
	CU_ASSERT(world_count_version(&world, 1) == 60);
	CU_ASSERT(world.n_whole <= 60);
	world_drain(&world);
	world_change_routes(&world);
	world_pass(&world, 1000);
	CU_ASSERT(world_count_drained(&world) == 60);
	CU_ASSERT(world_count_version(&world, 2) == 60);
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
	packed = view_compress(&message);
	CU_ASSERT(packed != NULL);
	CU_ASSERT(peer__view_update__get_packed_size(&message) < 3100);
	CU_ASSERT_EQUAL(view_decompress(&message, &body), 0);
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

	CU_ASSERT_PTR_NULL(view_compress(&message));
	CU_ASSERT_EQUAL(view_decompress(&message, &body), 0);
	CU_ASSERT_PTR_NULL(body);
	message.routes.data = (uint8_t *)text;
	message.routes.len = sizeof(text);
	packed = view_compress(&message);
	message.packed_size++;
	CU_ASSERT_EQUAL(view_decompress(&message, &body), ERR_PROTOCOL);
	message.packed_size -= 2;
	CU_ASSERT_EQUAL(view_decompress(&message, &body), ERR_PROTOCOL);
	message.packed_size = UINT32_MAX;
	CU_ASSERT_EQUAL(view_decompress(&message, &body), ERR_PROTOCOL);
	message.packed_size = 1003;
	packed[0] ^= 1;
	CU_ASSERT_EQUAL(view_decompress(&message, &body), ERR_PROTOCOL);
	CU_ASSERT_PTR_NULL(body);
	free(packed);
}

static void hear_server(struct node *node, int64_t born, uint64_t revision)
{
	node_hear_server(node, 0, born, revision);
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
	world_pass(&world, 5000);
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
	world_pass(&world, 5000);
	other = &world.nodes[1 - world_reader(&world)];
	server_view_remove(&other->sync.servers, "server", ++world.revision,
			   "not_back");
	CU_ASSERT(world_count_knowing(&world) == 1);
	world.created_at = ++world.revision;
	world_pass(&world, 1500);
	CU_ASSERT(world_count_knowing(&world) == 2);
	world_finish(&world);
}

/* Alive, and knows the drain and that version of the routes. */
static int count_current(const struct world *world, uint64_t version)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_nodes; i++) {
		const struct node *node = &world->nodes[i];

		n += !node->dead && node_knows_drain(node) &&
		     node->sync.routes && node->sync.routes->version == version;
	}
	return n;
}

/* Milliseconds until all that live know a drain and a change of routes. */
static int64_t time_to_all(struct world *world, int alive)
{
	int64_t ms = 0;

	world_drain(world);
	world_change_routes(world);
	while (ms < 10000 &&
	       count_current(world, (uint64_t)world->routes_version) < alive) {
		world_pass(world, 100);
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
	world_pass(&world, 5000);
	world.n_far = 0;
	world_drain(&world);
	world_change_routes(&world);
	world_pass(&world, 1300);
	CU_ASSERT(count_current(&world, 2) == n);
	/* Two changes, what is told that nothing changed, and no more. */
	CU_ASSERT(world.n_far <= 8 * (centres - 1));
	world_finish(&world);

	world_init_hubs(&world, n, centres, n_large);
	world_pass(&world, 5000);
	world.lost = 10;
	took = time_to_all(&world, n);
	printf("\n%d instances, a tenth lost: %d ms", n, (int)took);
	CU_ASSERT(took <= 2900);
	world_finish(&world);

	world_init_hubs(&world, n, centres, n_large);
	world_pass(&world, 5000);
	for (i = 0; i < n; i++) {
		struct view_share *share = &world.nodes[i].share;
		bool lead = !share->members[share->rank].dc_rank;

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
	world_pass(&world, 5000);
	world.n_calls = 0;
	world.away = true;
	world_pass(&world, 5000);
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
		     cordon_set_contains(&world->nodes[i].registry.cordons,
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
	world_pass(&world, 5000);
	world.lost = lost;
	CU_ASSERT(count_cordoned(&world) == 0);
	world.nodes[world_reader(&world)].dead = true;
	cordon(&world);
	for (i = 0; i < 10; i++) {
		world_change_routes(&world);
		world_pass(&world, 300);
	}
	CU_ASSERT(count_cordoned(&world) == n - 1);
	lift(&world);
	world_pass(&world, 3000);
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
	world_pass(&world, 5000);
	for (i = 0; i < 66; i++)
		world.nodes[i].cut_off = i % 3 != 2;
	cordon(&world);
	world_pass(&world, 4000);
	CU_ASSERT(count_cordoned(&world) == 66);
	world.history_lost = true;
	lift(&world);
	world_pass(&world, 4000);
	CU_ASSERT(count_cordoned(&world) == 0);
	/* One that was away for all of it, and starts anew. */
	cordon(&world);
	world_pass(&world, 3000);
	node_stop(&world.nodes[7]);
	node_start(&world, 7);
	world_tell_fleet(&world);
	world_pass(&world, 3000);
	CU_ASSERT(count_cordoned(&world) == 66);
	world_finish(&world);
}

static const struct unit_test tests[] = {
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
