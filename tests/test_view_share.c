/* Sharing of the store's view among instances. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "unit.h"
#include "view_compress.h"
#include "view_cluster.h"
#include "view_update.h"

/* Return: calls on the store in ten seconds by @n instances. */
static int count_calls(int n)
{
	struct cluster cluster;
	int calls;

	cluster_init(&cluster, n);
	cluster_advance(&cluster, 6000);
	cluster.n_calls = 0;
	cluster_advance(&cluster, 10000);
	calls = cluster.n_calls;
	cluster_finish(&cluster);
	return calls;
}

/* The load on the store must not grow with the fleet. */
static void test_calls_do_not_grow(void)
{
	int few = count_calls(8);
	int many = count_calls(NODES_MAX);

	CU_ASSERT(few > 10 && few < 40);
	CU_ASSERT(many < few + 10);
}

static void test_all_hear(void)
{
	struct cluster cluster;

	cluster_init(&cluster, 76);
	cluster_advance(&cluster, 5000);
	CU_ASSERT(cluster_count_version(&cluster, 1) == 76);
	cluster_drain_server(&cluster);
	cluster_change_routes(&cluster);
	cluster_advance(&cluster, 1200);
	CU_ASSERT(cluster_count_drained(&cluster) == 76);
	CU_ASSERT(cluster_count_version(&cluster, 2) == 76);
	cluster_finish(&cluster);
}

/*
 * The reading instance fails undetected, just before a server drains. All
 * others must stop using the server within 3 s.
 */
static void test_reader_lost(void)
{
	struct cluster cluster;

	cluster_init(&cluster, 8);
	cluster_advance(&cluster, 5000);
	cluster.nodes[cluster_reader(&cluster)].dead = true;
	cluster_drain_server(&cluster);
	cluster_change_routes(&cluster);
	cluster_advance(&cluster, 2700);
	CU_ASSERT(cluster_count_drained(&cluster) == 7);
	CU_ASSERT(cluster_count_version(&cluster, 2) == 7);
	cluster_finish(&cluster);
}

/*
 * The store refuses the first three instances by rank. Others must read instead
 * and send to the refused ones.
 */
static void test_readers_refused(void)
{
	struct cluster cluster;
	int i;

	cluster_init(&cluster, 8);
	cluster_advance(&cluster, 5000);
	for (i = 0; i < 8; i++)
		cluster.nodes[i].cut_off = cluster.nodes[i].share.rank < 3;
	cluster_drain_server(&cluster);
	cluster_change_routes(&cluster);
	cluster_advance(&cluster, 2900);
	CU_ASSERT(cluster_count_drained(&cluster) == 8);
	CU_ASSERT(cluster_count_version(&cluster, 2) == 8);
	cluster_finish(&cluster);
}

/*
 * The first reader reaches the store again after a while and holds back
 * removals, as entries that lapsed in the meantime may return. If the others
 * relied on its view, a server that was removed would get requests for longer
 * than 3 s.
 */
static void check_reader_return(int64_t ms)
{
	struct cluster cluster;
	struct node *reader;

	cluster_init(&cluster, 7);
	cluster_advance(&cluster, 5000);
	reader = &cluster.nodes[cluster_reader(&cluster)];
	reader->cut_off = true;
	cluster_advance(&cluster, 8000 + ms);
	cluster.removed_at = ++cluster.revision;
	reader->cut_off = false;
	cluster_advance(&cluster, 2800);
	CU_ASSERT(cluster_count_with_server(&cluster) == 0);
	cluster_finish(&cluster);
}

static void test_reader_returns(void)
{
	int64_t ms;

	for (ms = 0; ms < 2000; ms += 100)
		check_reader_return(ms);
}

/*
 * An instance that starts while the store is unavailable gets the view from a
 * peer. It must request it from one peer only: 76 would send 50 KB each.
 */
static void test_start_while_store_is_away(void)
{
	struct cluster cluster;
	int started;

	cluster_init(&cluster, 5);
	cluster_advance(&cluster, 3000);
	cluster.store_down = true;
	started = (cluster_reader(&cluster) + 1) % 5;
	node_stop(&cluster.nodes[started]);
	node_start(&cluster, started);
	cluster_update_members(&cluster);
	cluster_advance(&cluster, 1000);
	CU_ASSERT(!store_sync_ready(&cluster.nodes[started].sync));
	view_share_member_reachable(
		&cluster.nodes[started].share,
		cluster.nodes[cluster_reader(&cluster)].name);
	CU_ASSERT(store_sync_ready(&cluster.nodes[started].sync));
	cluster.n_messages = 0;
	view_share_member_reachable(&cluster.nodes[started].share,
				    cluster.nodes[(started + 2) % 5].name);
	CU_ASSERT(cluster.n_messages == 0);
	CU_ASSERT(registry_find(&cluster.nodes[started].registry,
				STR("server")) != NULL);
	cluster_finish(&cluster);
}

/*
 * A message of changes is lost. The next one builds on a revision that the
 * receiver lacks, so it requests the missing changes.
 */
static void test_lost_message(void)
{
	struct cluster cluster;
	struct node *receiver;

	cluster_init(&cluster, 8);
	cluster_advance(&cluster, 5000);
	receiver = &cluster.nodes[(cluster_reader(&cluster) + 1) % 8];
	receiver->dead = true;
	cluster_drain_server(&cluster);
	cluster_advance(&cluster, 1000);
	receiver->dead = false;
	CU_ASSERT(!node_sees_drain(receiver));
	cluster_advance(&cluster, 1000);
	CU_ASSERT(node_sees_drain(receiver));
	cluster_finish(&cluster);
}

#define RESTART_MS 200

/* It reads the store before it knows of the others. */
static void restart_alone(struct cluster *cluster, int i)
{
	node_stop(&cluster->nodes[i]);
	node_start(cluster, i);
	cluster_advance(cluster, RESTART_MS);
	cluster_update_members(cluster);
}

/* Return: whether all know of it @within_ms after the store does. */
static bool is_removal_known(int64_t after_ms, int64_t within_ms)
{
	struct cluster cluster;
	int reader;
	int n;

	cluster_init(&cluster, 4);
	cluster_advance(&cluster, 5000 + after_ms);
	reader = cluster_reader(&cluster);
	cluster.nodes[reader].dead = true;
	cluster_advance(&cluster, 200);
	cluster.removed_at = ++cluster.revision;
	restart_alone(&cluster, reader);
	cluster_advance(&cluster, within_ms - RESTART_MS);
	n = cluster_count_with_server(&cluster);
	cluster_finish(&cluster);
	return !n;
}

/* Guards against survivors of a loss that keep a removed server for good. */
static void test_removed_while_reader_restarts(void)
{
	int64_t ms;

	for (ms = 0; ms < 1000; ms += 20) {
		if (!is_removal_known(ms, 7000))
			printf("\nnot known after 7 s, phase %d", (int)ms);
		CU_ASSERT(is_removal_known(ms, 7000));
	}
}

/*
 * 300 instances start at once. If each read all pages of the store, it would
 * refuse most calls; the first must read and send to the others.
 */
static void test_all_start(void)
{
	struct cluster cluster;

	cluster_init(&cluster, NODES_MAX);
	cluster_advance(&cluster, 1000);
	CU_ASSERT(cluster_count_version(&cluster, 1) == NODES_MAX);
	CU_ASSERT(cluster.n_calls < 30);
	cluster_finish(&cluster);
}

/*
 * 60 instances start at once, and each reads the store before it knows of the
 * others. If each then sent a complete view to its data centre, 1,200 messages
 * of 60 KB would be sent in the first second. At most one per instance may be.
 */
static void test_all_read(void)
{
	struct cluster cluster;
	int i;

	cluster_init(&cluster, 60);
	for (i = 0; i < cluster.n_nodes; i++)
		store_sync_set_max_view_age(&cluster.nodes[i].sync, 0, 0);
	cluster_advance(&cluster, 1000);
	CU_ASSERT(cluster_count_version(&cluster, 1) == 60);
	CU_ASSERT(cluster.n_full <= 60);
	cluster_drain_server(&cluster);
	cluster_change_routes(&cluster);
	cluster_advance(&cluster, 1000);
	CU_ASSERT(cluster_count_drained(&cluster) == 60);
	CU_ASSERT(cluster_count_version(&cluster, 2) == 60);
	cluster_finish(&cluster);
}

/*
 * Routes must be compressed: 31 KB to each of 19 instances of a data centre
 * would occupy a link of 14 Mbit/s for a third of a second.
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

/* Guards against a whole view that names only some of the servers. */
static void test_whole_view_of_many_servers(void)
{
	struct server_entry entry = {.service = "many"};
	struct view_update update;
	struct cluster cluster;
	struct node *node;
	int i;

	cluster_init(&cluster, 1);
	node = &cluster.nodes[0];
	for (i = 0; i < 9200; i++) {
		snprintf(entry.id, sizeof(entry.id), "many-%d", i);
		registry_put(&node->registry, &entry, 1);
	}
	view_update_snapshot(&node->share, &update);
	view_update_add_state(&node->share, &update, false);
	CU_ASSERT(update.message.whole);
	CU_ASSERT(update.n_rows == (int)HASH_COUNT(node->registry.servers));
	CU_ASSERT(update.packed != NULL);
	view_update_finish(&update);
	cluster_finish(&cluster);
}

/* A peer sends invalid compressed data, or announces a wrong size. */
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

static void apply_server(struct node *node, int64_t born, uint64_t revision)
{
	node_receive_server(node, 0, born, revision);
}

/*
 * A server that was lost restarts under the same id. An instance that gets the
 * new entry from a peer must reset the server's score, and an older view that
 * arrives late must not restore the previous entry.
 */
static void test_restart_is_told(void)
{
	struct registry_server *server;
	struct cluster cluster;
	struct node *node;
	int64_t now;

	cluster_init(&cluster, 2);
	cluster_advance(&cluster, 5000);
	node = &cluster.nodes[0];
	now = clock_now(&cluster.clock);
	apply_server(node, 1000, 6);
	server = registry_find(&node->registry, STR("server"));
	server_score_unreachable(&server->score, now);
	server_score_unreachable(&server->score, now);
	CU_ASSERT(server_score_is_lost(&server->score));
	apply_server(node, 2000, 7);
	server = registry_find(&node->registry, STR("server"));
	CU_ASSERT(server->entry.started_at_ms == 2000);
	CU_ASSERT(!server_score_is_lost(&server->score));
	apply_server(node, 1000, 6);
	apply_server(node, 1000, 8);
	CU_ASSERT(registry_find(&node->registry, STR("server")) == server);
	CU_ASSERT(server->entry.started_at_ms == 2000);
	CU_ASSERT(!server->gone);
	cluster_finish(&cluster);
}

/*
 * The store drops entries and refuses most instances. One instance that it
 * answers waits for the entries in vain and removes the servers. Then the
 * entries return unchanged. The reader still has them and sees no change, so it
 * sends none, and without a repair the servers would be missing for good on the
 * instance that removed them and on those that request its view.
 */
static void test_lapsed_entry_comes_back(void)
{
	struct cluster cluster;
	struct node *other;

	cluster_init(&cluster, 2);
	cluster_advance(&cluster, 5000);
	other = &cluster.nodes[1 - cluster_reader(&cluster)];
	server_view_remove(&other->sync.servers, "server", ++cluster.revision,
			   "not_back");
	CU_ASSERT(cluster_count_with_server(&cluster) == 1);
	cluster.created_at = ++cluster.revision;
	cluster_advance(&cluster, 1500);
	CU_ASSERT(cluster_count_with_server(&cluster) == 2);
	cluster_finish(&cluster);
}

/* Counts live instances that know the drain and that version of the routes. */
static int count_current(const struct cluster *cluster, uint64_t version)
{
	int n = 0;
	int i;

	for (i = 0; i < cluster->n_nodes; i++) {
		const struct node *node = &cluster->nodes[i];

		n += !node->dead && node_sees_drain(node) &&
		     node->sync.routes && node->sync.routes->version == version;
	}
	return n;
}

/* Return: ms until @alive instances know a drain and a change of routes. */
static int64_t time_to_all(struct cluster *cluster, int alive)
{
	int64_t ms = 0;

	cluster_drain_server(cluster);
	cluster_change_routes(cluster);
	while (ms < 10000 &&
	       count_current(cluster, (uint64_t)cluster->routes_version) <
		       alive) {
		cluster_advance(cluster, 100);
		ms += 100;
	}
	return ms;
}

/*
 * @n instances are linked to hubs only. A change must reach all of them with
 * one message to each other data centre; also if a tenth of all messages is
 * lost, and if a hub that forwards it has failed undetected.
 */
static void check_spread(int n, int centres, int n_large)
{
	struct cluster cluster;
	int alive = n;
	int64_t took;
	int i;

	cluster_init_hubs(&cluster, n, centres, n_large);
	cluster_advance(&cluster, 5000);
	cluster.n_cross_dc = 0;
	cluster_drain_server(&cluster);
	cluster_change_routes(&cluster);
	cluster_advance(&cluster, 1300);
	CU_ASSERT(count_current(&cluster, 2) == n);
	/* Two changes and the messages that confirm an unchanged view. */
	CU_ASSERT(cluster.n_cross_dc <= 8 * (centres - 1));
	cluster_finish(&cluster);

	cluster_init_hubs(&cluster, n, centres, n_large);
	cluster_advance(&cluster, 5000);
	cluster.loss_percent = 10;
	took = time_to_all(&cluster, n);
	printf("\n%d instances, a tenth lost: %d ms", n, (int)took);
	CU_ASSERT(took <= 2900);
	cluster_finish(&cluster);

	cluster_init_hubs(&cluster, n, centres, n_large);
	cluster_advance(&cluster, 5000);
	for (i = 0; i < n; i++) {
		struct view_share *share = &cluster.nodes[i].share;
		bool lead = !share->members[share->rank].dc_rank;

		if (!share->rank ||
		    (lead && !strcmp(share->data_centre, "dc1")))
			cluster.nodes[i].dead = true;
		alive -= cluster.nodes[i].dead;
	}
	took = time_to_all(&cluster, alive);
	printf(", first ones dead: %d ms", (int)took);
	CU_ASSERT(took <= 3900);
	cluster_finish(&cluster);
}

static void test_spread_by_hubs(void)
{
	check_spread(8, 4, 2);
	check_spread(76, 4, 3);
	check_spread(295, 6, 3);
	check_spread(1200, 15, 4);
}

/*
 * The store is down for 5 s, and the views of 295 instances become old. If each
 * kept trying, the returning store would face thousands of calls. Instances of
 * lower rank must try so rarely that there are few calls in total, and all must
 * be up to date soon after the store's return.
 */
static void test_store_away(void)
{
	struct cluster cluster;

	cluster_init_hubs(&cluster, 295, 6, 3);
	cluster_advance(&cluster, 5000);
	cluster.n_calls = 0;
	cluster.store_down = true;
	cluster_advance(&cluster, 5000);
	printf("\n%d calls in 5 s without the store", cluster.n_calls);
	CU_ASSERT(cluster.n_calls <= 500);
	cluster.store_down = false;
	CU_ASSERT(time_to_all(&cluster, 295) <= 2500);
	cluster_finish(&cluster);
}

static struct node *last_in_rank(struct cluster *cluster)
{
	struct node *last = &cluster->nodes[0];
	int i;

	for (i = 0; i < cluster->n_nodes; i++) {
		if (cluster->nodes[i].share.rank > last->share.rank)
			last = &cluster->nodes[i];
	}
	return last;
}

/* @cut_ms: the first in rank loses the store so long before the others end */
static void check_last_of_readers(int64_t cut_ms)
{
	struct cluster cluster;
	struct node *reader;
	struct node *last;
	int i;

	cluster_init(&cluster, 7);
	cluster_advance(&cluster, 5000);
	reader = &cluster.nodes[cluster_reader(&cluster)];
	last = last_in_rank(&cluster);
	reader->cut_off = true;
	cluster_advance(&cluster, cut_ms);
	for (i = 0; i < cluster.n_nodes; i++)
		cluster.nodes[i].dead = &cluster.nodes[i] != reader &&
					&cluster.nodes[i] != last;
	cluster.removed_at = ++cluster.revision;
	cluster_advance(&cluster, 3000);
	CU_ASSERT(!registry_find(&last->registry, STR("server")));
	cluster_finish(&cluster);
}

/*
 * Guards against a removal that is held back as the first reader lost the
 * store, and the others before the last one ended.
 */
static void test_last_of_readers(void)
{
	int64_t cut_ms;

	for (cut_ms = 0; cut_ms < 2000; cut_ms += 100)
		check_last_of_readers(cut_ms);
}

/* An entry expires in an outage of the store, and is back 1.8 s after it. */
static void check_short_outage(int instances, int64_t phase_ms)
{
	struct cluster cluster;
	int n_missing = 0;
	int64_t ms;

	cluster_init_hubs(&cluster, instances, 6, 3);
	cluster_advance(&cluster, 5000 + phase_ms);
	cluster.store_down = true;
	cluster_advance(&cluster, 2600);
	cluster.removed_at = ++cluster.revision;
	cluster.store_down = false;
	for (ms = 0; ms < 1800; ms += 100) {
		cluster_advance(&cluster, 100);
		n_missing += instances - cluster_count_with_server(&cluster);
	}
	CU_ASSERT_EQUAL(n_missing, 0);
	cluster.removed_at = 0;
	cluster.created_at = ++cluster.revision;
	cluster_advance(&cluster, 3000);
	CU_ASSERT_EQUAL(cluster_count_with_server(&cluster), instances);
	cluster_finish(&cluster);
}

/*
 * Guards against running servers that are removed by instances which made no
 * call while the store was away.
 */
static void test_outage_met_by_few(void)
{
	int64_t phase_ms;

	for (phase_ms = 0; phase_ms < 900; phase_ms += 100) {
		check_short_outage(7, phase_ms);
		check_short_outage(76, phase_ms);
		check_short_outage(295, phase_ms);
	}
}

static void set_cordon(struct cluster *cluster)
{
	cluster->cordoned_at = ++cluster->revision;
}

static void remove_cordon(struct cluster *cluster)
{
	cluster->lifted_at = ++cluster->revision;
}

static int count_cordoned(const struct cluster *cluster)
{
	int n = 0;
	int i;

	for (i = 0; i < cluster->n_nodes; i++)
		n += !cluster->nodes[i].dead &&
		     cordon_set_contains(&cluster->nodes[i].registry.cordons,
					 STR("dc1"));
	return n;
}

/*
 * Operators cordon a data centre while routes change often, and the reading
 * instance fails at that moment. 5 s later no instance may send requests there,
 * even if messages were lost.
 */
static void check_cordon(int n, int centres, int n_large, int lost)
{
	struct cluster cluster;
	int i;

	cluster_init_hubs(&cluster, n, centres, n_large);
	cluster_advance(&cluster, 5000);
	cluster.loss_percent = lost;
	CU_ASSERT(count_cordoned(&cluster) == 0);
	cluster.nodes[cluster_reader(&cluster)].dead = true;
	set_cordon(&cluster);
	for (i = 0; i < 10; i++) {
		cluster_change_routes(&cluster);
		cluster_advance(&cluster, 300);
	}
	CU_ASSERT(count_cordoned(&cluster) == n - 1);
	remove_cordon(&cluster);
	cluster_advance(&cluster, 3000);
	CU_ASSERT(count_cordoned(&cluster) == 0);
	cluster_finish(&cluster);
}

static void test_cordon(void)
{
	check_cordon(8, 4, 2, 0);
	check_cordon(76, 4, 3, 10);
	check_cordon(295, 6, 3, 10);
}

/*
 * The store refuses most instances when a cordon is set, and has dropped its
 * history when the cordon is removed. The refused instances must get both
 * changes from the others.
 */
static void test_cordon_and_store_trouble(void)
{
	struct cluster cluster;
	int i;

	cluster_init_hubs(&cluster, 66, 4, 2);
	cluster_advance(&cluster, 5000);
	for (i = 0; i < 66; i++)
		cluster.nodes[i].cut_off = i % 3 != 2;
	set_cordon(&cluster);
	cluster_advance(&cluster, 4000);
	CU_ASSERT(count_cordoned(&cluster) == 66);
	cluster.history_lost = true;
	remove_cordon(&cluster);
	cluster_advance(&cluster, 4000);
	CU_ASSERT(count_cordoned(&cluster) == 0);
	/* An instance that restarts gets the cordon. */
	set_cordon(&cluster);
	cluster_advance(&cluster, 3000);
	node_stop(&cluster.nodes[7]);
	node_start(&cluster, 7);
	cluster_update_members(&cluster);
	cluster_advance(&cluster, 3000);
	CU_ASSERT(count_cordoned(&cluster) == 66);
	cluster_finish(&cluster);
}

static const struct unit_test tests[] = {
	{"calls do not grow with the fleet", test_calls_do_not_grow},
	{"all hear", test_all_hear},
	{"removed while reader restarts", test_removed_while_reader_restarts},
	{"all start at once", test_all_start},
	{"all read at once", test_all_read},
	{"the reader is lost", test_reader_lost},
	{"readers are refused", test_readers_refused},
	{"the reader returns", test_reader_returns},
	{"start while the store is away", test_start_while_store_is_away},
	{"a lost message", test_lost_message},
	{"packed", test_packed},
	{"whole view of many servers", test_whole_view_of_many_servers},
	{"packed badly", test_packed_badly},
	{"a restart is told", test_restart_is_told},
	{"spread by hubs", test_spread_by_hubs},
	{"cordon", test_cordon},
	{"cordon and store trouble", test_cordon_and_store_trouble},
	{"store away", test_store_away},
	{"the last of the readers", test_last_of_readers},
	{"an outage that few instances met", test_outage_met_by_few},
	{"a lapsed entry comes back", test_lapsed_entry_comes_back},
};

UNIT_MAIN("view_share", tests)
