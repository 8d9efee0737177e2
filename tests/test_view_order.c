/*
 * Ordering of changes from a store that loses revisions, over a fleet: see
 * docs/design/store-era.md.
 */
#include <stdio.h>

#include "unit.h"
#include "view_world.h"

/* Half of the instances in a data centre are cut off from the store. */
static void isolate_half(struct world *world, bool cut)
{
	int i;

	for (i = 0; i < world->n_nodes; i++)
		world->nodes[i].cut_off = cut && i / world->centres % 2;
}

/*
 * A server is removed while the store does not answer some instances, and views
 * are lost or reordered.
 */
static void check_removal(uint64_t seed, int64_t after_ms, bool drains)
{
	struct world world;

	cluster_init_hubs(&world, 36, 3, 2);
	world.draws = seed;
	world_pass(&world, 4000);
	world.lost = 20;
	world.delay = 1500;
	isolate_half(&world, true);
	world.nodes[cluster_reader(&world)].cut_off = true;
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
	isolate_half(&world, false);
	world.nodes[cluster_reader(&world)].cut_off = false;
	world_pass(&world, 8000);
	CU_ASSERT_EQUAL(cluster_count_with_server(&world), 0);
	world_finish(&world);
}

static void test_leaves_while_store_is_silent(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 24; seed++)
		check_removal(seed, (int64_t)seed * 100, seed % 3 == 0);
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

/* More servers change at once than changes are recorded for requests. */
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
	reader = &world.nodes[cluster_reader(&world)];
	other = &world.nodes[1 - cluster_reader(&world)];
	world.revision += MANY;
	put_servers(reader, MANY, world.revision);
	world_pass(&world, 2000);
	CU_ASSERT_EQUAL(HASH_COUNT(other->registry.servers), MANY + 1);
	world_finish(&world);
}

/*
 * An answer of an instance that holds back a removal must not confirm the
 * receiver's view, which would then miss the removal.
 */
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
	reader = &world.nodes[cluster_reader(&world)];
	other = &world.nodes[1 - cluster_reader(&world)];
	feed = &other->sync.feeds[STORE_SERVERS];
	at = feed->revision;
	server_view_store_returned(&reader->sync.servers);
	server_view_vanished(&reader->sync.servers, "server", ++world.revision);
	reader->sync.feeds[STORE_SERVERS].revision = world.revision;
	request.servers_at = at;
	view_share_request(&reader->share, other->name, &request);
	CU_ASSERT_EQUAL(feed->revision, at);
	request.servers_at = 0;
	view_share_request(&reader->share, other->name, &request);
	CU_ASSERT_EQUAL(feed->revision, at);
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

/* Restores the store from a copy that lacks the last @revisions. */
static void restore_store(struct world *world, uint64_t revisions)
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

/* Passes time; fails if an instance loses a server or gets older routes. */
static void pass_checked(struct world *world, int64_t ms, uint64_t version)
{
	int64_t t;
	int i;

	for (t = 0; t < ms; t += 100) {
		world_pass(world, 100);
		if (cluster_count_with_server(world) < world->n_nodes)
			CU_FAIL("a server is lost");
		for (i = 0; i < world->n_nodes; i++) {
			if (world->nodes[i].sync.routes->version < version)
				CU_FAIL("routes went back");
		}
	}
}

/*
 * The store is restored from a copy that lacks the server, and reuses revisions
 * that all instances have seen. Later writes must reach all instances although
 * their revisions are lower.
 */
static void check_restore(int n, int centres, int n_large, int lost,
			  bool some_first)
{
	struct world world;

	cluster_init_hubs(&world, n, centres, n_large);
	world.era = 1;
	world.revision = 500;
	world.lost = lost;
	world.delay = lost * 30;
	world_pass(&world, 4000);
	cluster_change_routes(&world);
	world_pass(&world, 2500);
	CU_ASSERT_EQUAL(cluster_count_version(&world, 2), n);
	world.revision += 100;
	world_pass(&world, 2500);
	isolate_half(&world, some_first);
	restore_store(&world, 300);
	world.missing = true;
	pass_checked(&world, 1500, 2);
	world.missing = false;
	world.created_at = ++world.revision;
	world_drain(&world);
	CU_ASSERT(world.drained_at < 500);
	cluster_change_routes(&world);
	pass_checked(&world, 4500, 2);
	isolate_half(&world, false);
	CU_ASSERT_EQUAL(cluster_count_drained(&world), n);
	cluster_change_routes(&world);
	pass_checked(&world, 4000, 2);
	CU_ASSERT_EQUAL(cluster_count_version(&world, 3), n);
	CU_ASSERT_EQUAL(count_era(&world), n);
	world_finish(&world);
}

static void test_store_goes_back(void)
{
	check_restore(8, 4, 2, 0, false);
	check_restore(76, 4, 3, 10, false);
	check_restore(76, 4, 3, 0, true);
	check_restore(295, 6, 3, 10, true);
}

/* The copy lacks a server that does not register again: it must be removed. */
static void test_gone_with_the_copy(void)
{
	struct world world;

	cluster_init_hubs(&world, 36, 3, 2);
	world.era = 1;
	world.revision = 90;
	world.lost = 10;
	world.delay = 300;
	world_pass(&world, 4000);
	CU_ASSERT_EQUAL(cluster_count_with_server(&world), 36);
	restore_store(&world, 40);
	world.missing = true;
	pass_checked(&world, 2200, 1);
	world_pass(&world, 6000);
	CU_ASSERT_EQUAL(cluster_count_with_server(&world), 0);
	world_finish(&world);
}

/* The store is restored repeatedly, before the previous restore has spread. */
static void test_store_goes_back_often(void)
{
	struct world world;
	int i;

	cluster_init_hubs(&world, 36, 3, 2);
	world.era = 1;
	world.revision = 900;
	world_pass(&world, 4000);
	world.lost = 10;
	world.n_calls = 0;
	for (i = 0; i < 6; i++) {
		world.revision += 20;
		restore_store(&world, 100);
		pass_checked(&world, 300 * (i + 1), 1);
	}
	world_drain(&world);
	cluster_change_routes(&world);
	pass_checked(&world, 5000, 1);
	CU_ASSERT_EQUAL(cluster_count_drained(&world), 36);
	CU_ASSERT_EQUAL(cluster_count_version(&world, 2), 36);
	printf("\n%d calls of 36 instances in 11 s", world.n_calls);
	world_finish(&world);
}

/* A peer that does not know the new era sends its view: it is ignored. */
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
	node_receive_server(node, 1, 1000, 70);
	server = registry_find(&node->registry, STR("server"));
	CU_ASSERT(!server->entry.started_at_ms);
	CU_ASSERT(node->sync.feeds[STORE_SERVERS].revision < 70);
	node_receive_server(node, 0, 1000, 70);
	CU_ASSERT(!server->entry.started_at_ms);
	/* A view of a later era is applied, whatever its revision. */
	node_receive_server(node, 3, 1000, 7);
	server = registry_find(&node->registry, STR("server"));
	CU_ASSERT_EQUAL(server->entry.started_at_ms, 1000);
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
