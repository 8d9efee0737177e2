/* Which word of the store wins, over a fleet: see docs/design/store-era.md. */
#include <stdio.h>

#include "unit.h"
#include "view_world.h"

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
static void leave_in_silence(uint64_t seed, int64_t after_ms, bool drains)
{
	struct world world;

	world_init_hubs(&world, 36, 3, 2);
	world.draws = seed;
	world_pass(&world, 4000);
	world.lost = 20;
	world.delay = 1500;
	cut_half(&world, true);
	world.nodes[world_reader(&world)].cut_off = true;
	world_pass(&world, 500 + (int64_t)seed * 170);
	world.created_at = ++world.revision;
	if (drains) {
		world_pass(&world, 900);
		world_drain(&world);
	}
	world_pass(&world, after_ms);
	world.removed_at = ++world.revision;
	if (seed % 2)
		world.compacted = world.revision;
	cut_half(&world, false);
	world.nodes[world_reader(&world)].cut_off = false;
	world_pass(&world, 8000);
	CU_ASSERT_EQUAL(world_count_knowing(&world), 0);
	world_finish(&world);
}

static void test_leaves_while_store_is_silent(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 24; seed++)
		leave_in_silence(seed, (int64_t)seed * 100, seed % 3 == 0);
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
	world_pass(&world, 5000);
	reader = &world.nodes[world_reader(&world)];
	other = &world.nodes[1 - world_reader(&world)];
	world.revision += MANY;
	put_servers(reader, MANY, world.revision);
	world_pass(&world, 2000);
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
	world_pass(&world, 5000);
	reader = &world.nodes[world_reader(&world)];
	other = &world.nodes[1 - world_reader(&world)];
	feed = &other->sync.feeds[STORE_SERVERS];
	at = feed->at;
	server_view_store_returned(&reader->sync.servers);
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
		world_pass(world, 100);
		if (world_count_knowing(world) < world->n_nodes)
			CU_FAIL("a server is lost");
		for (i = 0; i < world->n_nodes; i++) {
			if (world->nodes[i].sync.routes->version < version)
				CU_FAIL("routes went back");
		}
	}
}

/*
 * All know of a revision that the store gives out again, and its copy lacks the
 * server. What is written then must reach all, though its revision is lower.
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
	world_pass(&world, 4000);
	world_change_routes(&world);
	world_pass(&world, 2500);
	CU_ASSERT_EQUAL(world_count_version(&world, 2), n);
	world.revision += 100;
	world_pass(&world, 2500);
	cut_half(&world, some_first);
	go_back(&world, 300);
	world.missing = true;
	pass_served(&world, 1500, 2);
	world.missing = false;
	world.created_at = ++world.revision;
	world_drain(&world);
	CU_ASSERT(world.drained_at < 500);
	world_change_routes(&world);
	pass_served(&world, 4500, 2);
	cut_half(&world, false);
	CU_ASSERT_EQUAL(world_count_drained(&world), n);
	world_change_routes(&world);
	pass_served(&world, 4000, 2);
	CU_ASSERT_EQUAL(world_count_version(&world, 3), n);
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

/* The copy lacks a server that never writes again. */
static void test_gone_with_the_copy(void)
{
	struct world world;

	world_init_hubs(&world, 36, 3, 2);
	world.era = 1;
	world.revision = 90;
	world.lost = 10;
	world.delay = 300;
	world_pass(&world, 4000);
	CU_ASSERT_EQUAL(world_count_knowing(&world), 36);
	go_back(&world, 40);
	world.missing = true;
	pass_served(&world, 2200, 1);
	world_pass(&world, 6000);
	CU_ASSERT_EQUAL(world_count_knowing(&world), 0);
	world_finish(&world);
}

/* Several times in a row, also while all of it is still under way. */
static void test_store_goes_back_often(void)
{
	struct world world;
	int i;

	world_init_hubs(&world, 36, 3, 2);
	world.era = 1;
	world.revision = 900;
	world_pass(&world, 4000);
	world.lost = 10;
	world.n_calls = 0;
	for (i = 0; i < 6; i++) {
		world.revision += 20;
		go_back(&world, 100);
		pass_served(&world, 300 * (i + 1), 1);
	}
	world_drain(&world);
	world_change_routes(&world);
	pass_served(&world, 5000, 1);
	CU_ASSERT_EQUAL(world_count_drained(&world), 36);
	CU_ASSERT_EQUAL(world_count_version(&world, 2), 36);
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
	world_pass(&world, 5000);
	node = &world.nodes[0];
	node_hear_server(node, 1, 1000, 70);
	server = registry_find(&node->registry, STR("server"));
	CU_ASSERT(!server->entry.born);
	CU_ASSERT(node->sync.feeds[STORE_SERVERS].at < 70);
	node_hear_server(node, 0, 1000, 70);
	CU_ASSERT(!server->entry.born);
	/* One of a later era is believed, whatever its revision. */
	node_hear_server(node, 3, 1000, 7);
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
	{"gone with the copy", test_gone_with_the_copy},
	{"the store goes back often", test_store_goes_back_often},
	{"a peer of an earlier era", test_peer_of_earlier_era},
};

UNIT_MAIN("view_order", tests)
