/*
 * Ordering of changes from a store that loses revisions, over a fleet: see
 * docs/design/store-era.md.
 */
#include <stdio.h>

#include "error.h"
#include "unit.h"
#include "view_cluster.h"

/* Half of the instances in a data centre are cut off from the store. */
static void isolate_half(struct cluster *cluster, bool cut)
{
	int i;

	for (i = 0; i < cluster->n_nodes; i++)
		cluster->nodes[i].cut_off =
			cut && i / cluster->n_data_centres % 2;
}

/*
 * A server is removed while the store does not answer some instances, and views
 * are lost or reordered.
 */
static void check_removal(uint64_t seed, int64_t after_ms, bool drains)
{
	struct cluster cluster;

	cluster_init_hubs(&cluster, 36, 3, 2);
	cluster.rng_state = seed;
	cluster_advance(&cluster, 4000);
	cluster.loss_percent = 20;
	cluster.delay_max_ms = 1500;
	isolate_half(&cluster, true);
	cluster.nodes[cluster_reader(&cluster)].cut_off = true;
	cluster_advance(&cluster, 500 + (int64_t)seed * 170);
	cluster.created_at = ++cluster.revision;
	if (drains) {
		cluster_advance(&cluster, 900);
		cluster_drain_server(&cluster);
	}
	cluster_advance(&cluster, after_ms);
	cluster.removed_at = ++cluster.revision;
	if (seed % 2)
		cluster.compacted = cluster.revision;
	isolate_half(&cluster, false);
	cluster.nodes[cluster_reader(&cluster)].cut_off = false;
	cluster_advance(&cluster, 8000);
	CU_ASSERT_EQUAL(cluster_count_with_server(&cluster), 0);
	cluster_finish(&cluster);
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
	struct cluster cluster;
	struct node *reader;
	struct node *other;

	cluster_init(&cluster, 2);
	cluster_advance(&cluster, 5000);
	reader = &cluster.nodes[cluster_reader(&cluster)];
	other = &cluster.nodes[1 - cluster_reader(&cluster)];
	cluster.revision += MANY;
	put_servers(reader, MANY, cluster.revision);
	cluster_advance(&cluster, 2000);
	CU_ASSERT_EQUAL(HASH_COUNT(other->registry.servers), MANY + 1);
	cluster_finish(&cluster);
}

/*
 * An answer of an instance that holds back a removal must not confirm the
 * receiver's view, which would then miss the removal.
 */
static void test_asked_while_holding_back(void)
{
	Peer__ViewRequest request = PEER__VIEW_REQUEST__INIT;
	struct store_feed *feed;
	struct cluster cluster;
	struct node *reader;
	struct node *other;
	uint64_t at;

	cluster_init(&cluster, 2);
	cluster_advance(&cluster, 5000);
	reader = &cluster.nodes[cluster_reader(&cluster)];
	other = &cluster.nodes[1 - cluster_reader(&cluster)];
	feed = &other->sync.feeds[STORE_SERVERS];
	at = feed->revision;
	server_view_store_returned(&reader->sync.servers);
	server_view_vanished(&reader->sync.servers, "server",
			     ++cluster.revision);
	reader->sync.feeds[STORE_SERVERS].revision = cluster.revision;
	request.servers_at = at;
	view_share_request(&reader->share, other->name, &request);
	CU_ASSERT_EQUAL(feed->revision, at);
	request.servers_at = 0;
	view_share_request(&reader->share, other->name, &request);
	CU_ASSERT_EQUAL(feed->revision, at);
	cluster_finish(&cluster);
}

static int count_era(const struct cluster *cluster)
{
	int n = 0;
	int i;

	for (i = 0; i < cluster->n_nodes; i++)
		n += cluster->nodes[i].sync.era == cluster->era;
	return n;
}

/* Restores the store from a copy that lacks the last @revisions. */
static void restore_store(struct cluster *cluster, uint64_t revisions)
{
	cluster->era++;
	cluster->revision -= revisions;
	if (cluster->drained_at > cluster->revision)
		cluster->drained_at = 0;
	if (cluster->routes_at > cluster->revision) {
		cluster->routes_at = cluster->revision;
		cluster->routes_version--;
	}
}

/* Passes time; fails if an instance loses a server or gets older routes. */
static void pass_checked(struct cluster *cluster, int64_t ms, uint64_t version)
{
	int64_t t;
	int i;

	for (t = 0; t < ms; t += 100) {
		cluster_advance(cluster, 100);
		if (cluster_count_with_server(cluster) < cluster->n_nodes)
			CU_FAIL("a server is lost");
		for (i = 0; i < cluster->n_nodes; i++) {
			if (cluster->nodes[i].sync.routes->version < version)
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
	struct cluster cluster;

	cluster_init_hubs(&cluster, n, centres, n_large);
	cluster.era = 1;
	cluster.revision = 500;
	cluster.loss_percent = lost;
	cluster.delay_max_ms = lost * 30;
	cluster_advance(&cluster, 4000);
	cluster_change_routes(&cluster);
	cluster_advance(&cluster, 2500);
	CU_ASSERT_EQUAL(cluster_count_version(&cluster, 2), n);
	cluster.revision += 100;
	cluster_advance(&cluster, 2500);
	isolate_half(&cluster, some_first);
	restore_store(&cluster, 300);
	cluster.server_missing = true;
	pass_checked(&cluster, 1500, 2);
	cluster.server_missing = false;
	cluster.created_at = ++cluster.revision;
	cluster_drain_server(&cluster);
	CU_ASSERT(cluster.drained_at < 500);
	cluster_change_routes(&cluster);
	pass_checked(&cluster, 4500, 2);
	isolate_half(&cluster, false);
	CU_ASSERT_EQUAL(cluster_count_drained(&cluster), n);
	cluster_change_routes(&cluster);
	pass_checked(&cluster, 4000, 2);
	CU_ASSERT_EQUAL(cluster_count_version(&cluster, 3), n);
	CU_ASSERT_EQUAL(count_era(&cluster), n);
	cluster_finish(&cluster);
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
	struct cluster cluster;

	cluster_init_hubs(&cluster, 36, 3, 2);
	cluster.era = 1;
	cluster.revision = 90;
	cluster.loss_percent = 10;
	cluster.delay_max_ms = 300;
	cluster_advance(&cluster, 4000);
	CU_ASSERT_EQUAL(cluster_count_with_server(&cluster), 36);
	restore_store(&cluster, 40);
	cluster.server_missing = true;
	pass_checked(&cluster, 2200, 1);
	cluster_advance(&cluster, 6000);
	CU_ASSERT_EQUAL(cluster_count_with_server(&cluster), 0);
	cluster_finish(&cluster);
}

/* The store is restored repeatedly, before the previous restore has spread. */
static void test_store_goes_back_often(void)
{
	struct cluster cluster;
	int i;

	cluster_init_hubs(&cluster, 36, 3, 2);
	cluster.era = 1;
	cluster.revision = 900;
	cluster_advance(&cluster, 4000);
	cluster.loss_percent = 10;
	cluster.n_calls = 0;
	for (i = 0; i < 6; i++) {
		cluster.revision += 20;
		restore_store(&cluster, 100);
		pass_checked(&cluster, 300 * (i + 1), 1);
	}
	cluster_drain_server(&cluster);
	cluster_change_routes(&cluster);
	pass_checked(&cluster, 5000, 1);
	CU_ASSERT_EQUAL(cluster_count_drained(&cluster), 36);
	CU_ASSERT_EQUAL(cluster_count_version(&cluster, 2), 36);
	printf("\n%d calls of 36 instances in 11 s", cluster.n_calls);
	cluster_finish(&cluster);
}

/* A peer that does not know the new era sends its view: it is ignored. */
static void test_peer_of_earlier_era(void)
{
	struct registry_server *server;
	struct cluster cluster;
	struct node *node;

	cluster_init(&cluster, 2);
	cluster.era = 2;
	cluster.revision = 50;
	cluster_advance(&cluster, 5000);
	node = &cluster.nodes[0];
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
	cluster_finish(&cluster);
}

/* A write of the server as a peer tells it. */
static void receive_write(struct node *node, uint64_t sequence, bool draining,
			  uint64_t revision, uint64_t recounted_at)
{
	uint64_t known = node->sync.feeds[STORE_SERVERS].revision;
	Peer__ViewServer row = PEER__VIEW_SERVER__INIT;

	row.changed_at = revision;
	row.sequence = sequence;
	row.draining = draining;
	row.recounted_at = recounted_at;
	node_receive_row(node, 0, &row, known > revision ? known : revision);
}

static bool is_drained(const struct node *node)
{
	const struct registry_server *server =
		registry_find(&node->registry, STR("server"));

	return server && server->entry.draining;
}

static bool is_used(const struct node *node)
{
	const struct registry_server *server =
		registry_find(&node->registry, STR("server"));

	return server && registry_is_open(server);
}

/* Guards against a new instance that has listed a late write and sends
 * requests to a server of which its peers know that it drains. */
static void test_peer_knows_a_later_write(void)
{
	struct cluster cluster;
	struct node *node;

	cluster_init(&cluster, 2);
	cluster_advance(&cluster, 5000);
	node = &cluster.nodes[0];
	receive_write(node, 1, false, 60, 0);
	CU_ASSERT(is_used(node));
	receive_write(node, 5, true, 60, 0);
	CU_ASSERT(is_drained(node));
	/* An instance of before sequences, which has accepted the late write.
	 */
	receive_write(node, 0, false, 60, 0);
	CU_ASSERT(is_drained(node));
	receive_write(node, 1, false, 60, 0);
	CU_ASSERT(is_drained(node));
	receive_write(node, 0, false, 61, 0);
	CU_ASSERT(is_used(node));
	cluster_finish(&cluster);
}

/* Guards against a late write that a peer has told and nobody overwrites, as
 * the server's next write says what is known already. */
static void test_peer_tells_a_late_write(void)
{
	struct cluster cluster;
	struct node *node;

	cluster_init(&cluster, 2);
	cluster_advance(&cluster, 5000);
	node = &cluster.nodes[0];
	receive_write(node, 5, true, 60, 0);
	receive_write(node, 1, false, 61, 0);
	CU_ASSERT(is_drained(node));
	cluster_advance(&cluster, 8000);
	CU_ASSERT(is_drained(node));
	cluster_finish(&cluster);
}

/* Guards against a wrong sequence that returns by a peer which still takes it
 * for the server's last. */
static void test_peer_knows_an_ended_count(void)
{
	const uint64_t wrong = UINT64_C(1) << 62;
	struct cluster cluster;
	struct node *node;

	cluster_init(&cluster, 2);
	cluster_advance(&cluster, 5000);
	node = &cluster.nodes[0];
	receive_write(node, wrong, true, 60, 0);
	CU_ASSERT(is_drained(node));
	receive_write(node, 9, false, 61, 61);
	CU_ASSERT(is_used(node));
	receive_write(node, wrong, true, 61, 0);
	receive_write(node, wrong, true, 62, 0);
	cluster_advance(&cluster, 8000);
	CU_ASSERT(is_used(node));
	receive_write(node, 12, true, 63, 61);
	CU_ASSERT(is_drained(node));
	/* Of an instance of before sequences. */
	receive_write(node, 0, false, 64, 0);
	CU_ASSERT(is_used(node));
	cluster_finish(&cluster);
}

/* Guards against a server that came back and stays unknown to instances whose
 * view is complete to a later revision than that of its entry. */
static void test_peer_confirms_a_write(void)
{
	struct cluster cluster;
	struct node *node;

	cluster_init(&cluster, 2);
	cluster_advance(&cluster, 5000);
	node = &cluster.nodes[0];
	receive_write(node, 9, false, 60, 0);
	server_view_remove(&node->sync.servers, "server", 61, "peer");
	/* Told while the entry was taken for a late write. */
	server_view_remove(&node->sync.servers, "server", 62, "peer");
	store_sync_confirm(&node->sync, STORE_SERVERS, 70,
			   clock_now(&cluster.clock));
	receive_write(node, 2, false, 62, 0);
	CU_ASSERT(!is_used(node));
	receive_write(node, 2, false, 62, 62);
	CU_ASSERT(is_used(node));
	server_view_remove(&node->sync.servers, "server", 71, "peer");
	receive_write(node, 2, false, 62, 62);
	CU_ASSERT(!is_used(node));
	cluster_finish(&cluster);
}

static void put_ghost(struct node *node, uint64_t created_at)
{
	struct server_entry entry = {
		.id = "ghost",
		.service = "s",
		.slots = 1,
		.created_at = (int64_t)created_at,
	};

	address_parse(STR("127.0.0.1:1"), &entry.address);
	server_view_put(&node->sync.servers, &entry, created_at);
}

static bool knows_ghost(const struct node *node)
{
	return registry_find(&node->registry, STR("ghost"));
}

/* Guards against an older view that brings back a server that has left. */
static void test_older_view_after_list(void)
{
	struct cluster cluster;

	cluster_init(&cluster, 2);
	cluster.removed_at = ++cluster.revision;
	cluster_advance(&cluster, 5000);
	node_receive_server(&cluster.nodes[0], 0, 1, cluster.removed_at - 1);
	CU_ASSERT_EQUAL(cluster_count_with_server(&cluster), 0);
	cluster_finish(&cluster);
}

static struct store_feed *servers_of(struct node *node)
{
	return &node->sync.feeds[STORE_SERVERS];
}

/* The other node learns of the ghost; the reader is past its removal. */
static void create_ghost(struct cluster *cluster, struct node *reader,
			 struct node *other)
{
	cluster->revision++;
	put_ghost(other, cluster->revision);
	servers_of(other)->revision = cluster->revision;
	cluster->revision++;
	CU_ASSERT(knows_ghost(other) && !knows_ghost(reader));
}

struct pair {
	struct cluster cluster;
	struct node *reader;
	struct node *other;
};

static void pair_init(struct pair *pair)
{
	int reader;

	cluster_init(&pair->cluster, 2);
	cluster_advance(&pair->cluster, 5000);
	reader = cluster_reader(&pair->cluster);
	pair->reader = &pair->cluster.nodes[reader];
	pair->other = &pair->cluster.nodes[1 - reader];
}

static void request_changes(struct node *reader, const struct node *other)
{
	Peer__ViewRequest request = PEER__VIEW_REQUEST__INIT;

	request.servers_at = other->sync.feeds[STORE_SERVERS].revision;
	request.routes_version = other->sync.routes->version;
	view_share_request(&reader->share, other->name, &request);
}

/*
 * Guards against a server that stays in a view as the instance that told of its
 * removal had never known it.
 */
static void test_removal_of_server_never_known(void)
{
	struct pair pair;

	pair_init(&pair);
	create_ghost(&pair.cluster, pair.reader, pair.other);
	server_view_remove(&pair.reader->sync.servers, "ghost",
			   pair.cluster.revision, "peer");
	servers_of(pair.reader)->revision = pair.cluster.revision;
	request_changes(pair.reader, pair.other);
	CU_ASSERT(!knows_ghost(pair.other));
	cluster_finish(&pair.cluster);
}

/* Guards against the same after the store has discarded its history. */
static void test_gone_between_lists(void)
{
	struct pair pair;

	pair_init(&pair);
	pair.other->dead = true;
	create_ghost(&pair.cluster, pair.reader, pair.other);
	pair.cluster.compacted = pair.cluster.revision;
	cluster_advance(&pair.cluster, 2000);
	CU_ASSERT_EQUAL(servers_of(pair.reader)->revision,
			pair.cluster.revision);
	pair.other->dead = false;
	request_changes(pair.reader, pair.other);
	CU_ASSERT(!knows_ghost(pair.other));
	cluster_finish(&pair.cluster);
}

/* Guards against the same if the sender's message reaches back far enough. */
static void test_changes_lack_server(void)
{
	Peer__ViewUpdate message = PEER__VIEW_UPDATE__INIT;
	struct pair pair;

	pair_init(&pair);
	message.servers_from = pair.cluster.revision;
	create_ghost(&pair.cluster, pair.reader, pair.other);
	servers_of(pair.reader)->revision = pair.cluster.revision;
	message.servers_at = pair.cluster.revision;
	message.routes_version = pair.other->sync.routes->version;
	CU_ASSERT_EQUAL(view_share_update(&pair.other->share, pair.reader->name,
					  &message),
			ERR_CONFLICT);
	CU_ASSERT(!knows_ghost(pair.other));
	cluster_finish(&pair.cluster);
}

static void init_row(Peer__ViewServer *row, const char *id, uint64_t at)
{
	peer__view_server__init(row);
	row->id = (char *)id;
	row->service = (char *)"s";
	row->data_centre = (char *)"dc0";
	row->address = (char *)"127.0.0.1:1";
	row->changed_at = at;
	row->created_at = at;
}

/* Guards against an odd name that an instance of an earlier version tells. */
static void test_odd_name_from_a_peer(void)
{
	Peer__ViewUpdate message = PEER__VIEW_UPDATE__INIT;
	Peer__ViewServer rows[2];
	Peer__ViewServer *pointers[] = {&rows[0], &rows[1]};
	struct pair pair;

	pair_init(&pair);
	message.servers_from = pair.cluster.revision;
	message.servers_at = pair.cluster.revision + 1;
	message.routes_version = pair.other->sync.routes->version;
	init_row(&rows[0], "a b", message.servers_at);
	init_row(&rows[1], "i-9", message.servers_at);
	message.servers = pointers;
	message.n_servers = 2;
	CU_ASSERT(!view_share_update(&pair.other->share, pair.reader->name,
				     &message));
	CU_ASSERT(!registry_find(&pair.other->registry, STR("a b")));
	CU_ASSERT_PTR_NOT_NULL(
		registry_find(&pair.other->registry, STR("i-9")));
	CU_ASSERT_EQUAL(pair.other->sync.servers.n_refused, 1);
	cluster_finish(&pair.cluster);
}

/*
 * Guards against a server that is missing for good, as the message with it
 * stated an earlier revision and was lost.
 */
static void test_lost_newer_change(void)
{
	struct pair pair;

	pair_init(&pair);
	pair.cluster.revision++;
	put_ghost(pair.reader, pair.cluster.revision);
	pair.other->dead = true;
	view_share_publish(&pair.reader->share);
	pair.other->dead = false;
	cluster_advance(&pair.cluster, 2000);
	CU_ASSERT(knows_ghost(pair.other));
	cluster_finish(&pair.cluster);
}

static const struct unit_test tests[] = {
	{"a peer knows a later write", test_peer_knows_a_later_write},
	{"a peer tells a late write", test_peer_tells_a_late_write},
	{"a peer knows a count that ended", test_peer_knows_an_ended_count},
	{"a peer confirms a write", test_peer_confirms_a_write},
	{"leaves while the store is silent", test_leaves_while_store_is_silent},
	{"many changes", test_many_changes},
	{"asked while holding back", test_asked_while_holding_back},
	{"the store goes back", test_store_goes_back},
	{"gone with the copy", test_gone_with_the_copy},
	{"the store goes back often", test_store_goes_back_often},
	{"a peer of an earlier era", test_peer_of_earlier_era},
	{"older view after list", test_older_view_after_list},
	{"removal of server never known", test_removal_of_server_never_known},
	{"gone between lists", test_gone_between_lists},
	{"changes lack server", test_changes_lack_server},
	{"lost newer change", test_lost_newer_change},
	{"odd name from a peer", test_odd_name_from_a_peer},
};

UNIT_MAIN("view_order", tests)
