#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "board_fixture.h"
#include "unit.h"

static const struct catalog_placement *best(struct board_fixture *path)
{
	return catalog_best_placement(&path->board.catalog,
				      STR(FIXTURE_SERVICE));
}

static void test_coverage_counts_reachable_records(void)
{
	struct board_fixture path;

	board_fixture_init(&path, 3);
	CU_ASSERT_PTR_NULL(best(&path));
	board_fixture_put_server(&path, "h1", "b1", 1, 4, "01");
	CU_ASSERT_EQUAL(best(&path)->covered, 2 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(best(&path)->map->total, 4 * FIXTURE_SHARD_RECORDS);
	board_fixture_put_server(&path, "h1", "b2", 1, 4, "12");
	CU_ASSERT_EQUAL(best(&path)->covered, 3 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(best(&path)->first[2] - best(&path)->first[1], 2);
	CU_ASSERT_EQUAL(best(&path)->first[4] - best(&path)->first[3], 0);
	board_fixture_finish(&path);
}

/* A state whose map was not fetched yet counts only once the map arrives. */
static void test_map_may_arrive_after_the_state(void)
{
	struct held_version held = {1, 2, "01"};
	struct board_fixture path;

	board_fixture_init(&path, 1);
	CU_ASSERT_EQUAL(board_fixture_put_state(&path, "h1", "b1", 1, &held, 1),
			0);
	CU_ASSERT_PTR_NULL(best(&path));
	CU_ASSERT_EQUAL(board_fixture_put_map(&path, 1, 2), 0);
	CU_ASSERT_EQUAL_FATAL(best(&path) != NULL, true);
	CU_ASSERT_EQUAL(best(&path)->covered, 2 * FIXTURE_SHARD_RECORDS);
	board_fixture_finish(&path);
}

/*
 * A new snapshot version is rolled out server by server. If the newest version
 * always won, coverage would drop to half in the middle of the rollout.
 */
static void test_rollout_does_not_lower_coverage(void)
{
	struct held_version first = {1, 2, "0"};
	struct held_version second[] = {{1, 2, "1"}, {2, 2, "1"}};
	struct board_fixture path;

	board_fixture_init(&path, 2);
	board_fixture_put_state(&path, "h1", "b1", 1, &first, 1);
	board_fixture_put_state(&path, "h1", "b2", 1, second, 2);
	board_fixture_put_map(&path, 1, 2);
	board_fixture_put_map(&path, 2, 2);
	CU_ASSERT_EQUAL(best(&path)->map->version, 1);
	CU_ASSERT_EQUAL(best(&path)->covered, 2 * FIXTURE_SHARD_RECORDS);
	first.version = 2;
	board_fixture_put_state(&path, "h1", "b1", 1, &first, 1);
	CU_ASSERT_EQUAL(best(&path)->map->version, 2);
	CU_ASSERT_EQUAL(best(&path)->covered, 2 * FIXTURE_SHARD_RECORDS);
	board_fixture_finish(&path);
}

static void test_newest_of_equally_covered(void)
{
	struct held_version held[] = {{3, 2, "01"}, {7, 2, "01"}, {5, 2, "01"}};
	struct board_fixture path;

	board_fixture_init(&path, 1);
	board_fixture_put_state(&path, "h1", "b1", 1, held, 3);
	board_fixture_put_map(&path, 3, 2);
	board_fixture_put_map(&path, 7, 2);
	board_fixture_put_map(&path, 5, 2);
	CU_ASSERT_EQUAL(best(&path)->map->version, 7);
	board_fixture_finish(&path);
}

/*
 * A home pushes the state of a service's only server several times in a row.
 * If the map were freed with the first state, callers would be told that there
 * is no snapshot until the home sent the map again.
 */
static void test_repeated_state_keeps_the_map(void)
{
	struct held_version held = {1, 1, "0"};
	struct board_fixture path;
	int i;

	board_fixture_init(&path, 1);
	board_fixture_put_server(&path, "h1", "b1", 1, 1, "0");
	for (i = 0; i < 3; i++)
		board_fixture_put_state(&path, "h1", "b1", 1, &held, 1);
	CU_ASSERT_PTR_NOT_NULL_FATAL(best(&path));
	CU_ASSERT_EQUAL(best(&path)->covered, FIXTURE_SHARD_RECORDS);
	board_fixture_finish(&path);
}

static void test_homes_are_added_and_removed(void)
{
	struct held_version held = {1, 1, "0"};
	struct board_fixture path;

	board_fixture_init(&path, 1);
	board_fixture_put_server(&path, "h1", "b1", 1, 1, "0");
	board_fixture_put_server(&path, "h2", "b1", 1, 1, "0");
	catalog_remove_instance(&path.board.catalog, STR("h1"));
	CU_ASSERT_EQUAL(best(&path)->covered, FIXTURE_SHARD_RECORDS);
	/* h2 has no slots any more. */
	board_fixture_put_state(&path, "h2", "b1", 0, &held, 1);
	CU_ASSERT_TRUE(!best(&path) || !best(&path)->covered);
	board_fixture_put_state(&path, "h1", "b1", 1, &held, 1);
	CU_ASSERT_EQUAL(best(&path)->covered, FIXTURE_SHARD_RECORDS);
	catalog_remove_instance(&path.board.catalog, STR("h1"));
	catalog_remove_instance(&path.board.catalog, STR("h1"));
	CU_ASSERT_TRUE(!best(&path) || !best(&path)->covered);
	board_fixture_finish(&path);
}

/*
 * Callers of a service that was just added were told for good that there is no
 * snapshot. The home had the new table first and pushed the state once; an
 * entry without the row dropped it, and homes push again only on a change.
 */
static void test_state_may_arrive_before_the_table(void)
{
	struct board_fixture path;

	board_fixture_init(&path, 1);
	board_fixture_put_server(&path, "h1", "b2", 1, 1, "0");
	CU_ASSERT_PTR_NULL(best(&path));
	board_fixture_set_servers(&path, 1, 2);
	CU_ASSERT_PTR_NOT_NULL_FATAL(best(&path));
	CU_ASSERT_EQUAL(best(&path)->covered, FIXTURE_SHARD_RECORDS);
	board_fixture_finish(&path);
}

/* A row is deleted and added again before its home has seen either change. */
static void test_row_is_added_again_while_its_home_stays(void)
{
	struct board_fixture path;

	board_fixture_init(&path, 2);
	board_fixture_put_server(&path, "h1", "b2", 1, 1, "0");
	board_fixture_set_servers(&path, 1, 1);
	CU_ASSERT_TRUE(!best(&path) || !best(&path)->covered);
	board_fixture_set_servers(&path, 1, 2);
	CU_ASSERT_PTR_NOT_NULL_FATAL(best(&path));
	CU_ASSERT_EQUAL(best(&path)->covered, FIXTURE_SHARD_RECORDS);
	board_fixture_finish(&path);
}

static void test_server_without_row_and_home_is_forgotten(void)
{
	struct held_version held = {1, 1, "0"};
	struct board_fixture path;

	board_fixture_init(&path, 1);
	board_fixture_put_server(&path, "h1", "b2", 1, 1, "0");
	board_fixture_put_server(&path, "h2", "b2", 1, 1, "0");
	board_fixture_put_state(&path, "h1", "b2", 0, &held, 1);
	CU_ASSERT_EQUAL(HASH_COUNT(path.board.catalog.servers), 2);
	catalog_remove_instance(&path.board.catalog, STR("h2"));
	CU_ASSERT_EQUAL(HASH_COUNT(path.board.catalog.servers), 1);
	CU_ASSERT_PTR_NULL(path.board.catalog.maps);
	board_fixture_put_state(&path, "h1", "b2", 0, &held, 1);
	CU_ASSERT_EQUAL(HASH_COUNT(path.board.catalog.servers), 1);
	board_fixture_finish(&path);
}

static int put_altered_map(struct board_fixture *path,
			   void (*change)(Peer__Map *), bool fix_digest)
{
	Peer__Map map;
	int ret;

	fixture_map_init(&map, 1, 3);
	change(&map);
	if (fix_digest)
		map.digest =
			catalog_map_digest(str_from(map.service), map.version,
					   map.shards, map.n_shards);
	ret = catalog_put_map(&path->board.catalog, &map);
	fixture_map_finish(&map);
	return ret;
}

static void leave_gap(Peer__Map *map)
{
	map->shards[1]->shard->lo++;
}

static void overlap(Peer__Map *map)
{
	map->shards[1]->shard->lo--;
}

static void end_early(Peer__Map *map)
{
	map->shards[2]->shard->hi--;
}

static void end_late(Peer__Map *map)
{
	map->shards[2]->shard->hi += CATALOG_POINTS;
}

static void reverse_range(Peer__Map *map)
{
	map->shards[1]->shard->hi = map->shards[1]->shard->lo - 1;
}

static void swap(Peer__Map *map)
{
	Backend__ShardInfo *first = map->shards[0];

	map->shards[0] = map->shards[1];
	map->shards[1] = first;
}

static void omit_range(Peer__Map *map)
{
	free(map->shards[1]->shard);
	map->shards[1]->shard = NULL;
}

static void change_held(Peer__Map *map)
{
	map->shards[1]->held++;
}

static void overflow(Peer__Map *map)
{
	map->shards[0]->held = UINT64_MAX;
}

static void lengthen_name(Peer__Map *map)
{
	free(map->service);
	map->service = mem_zalloc(CATALOG_NAME_SIZE + 1);
	memset(map->service, 'a', CATALOG_NAME_SIZE);
}

static void test_maps_that_do_not_cover_are_refused(void)
{
	struct board_fixture path;

	board_fixture_init(&path, 1);
	CU_ASSERT_EQUAL(put_altered_map(&path, leave_gap, true), ERR_PROTOCOL);
	CU_ASSERT_EQUAL(put_altered_map(&path, overlap, true), ERR_PROTOCOL);
	CU_ASSERT_EQUAL(put_altered_map(&path, end_early, true), ERR_PROTOCOL);
	CU_ASSERT_EQUAL(put_altered_map(&path, end_late, true), ERR_PROTOCOL);
	CU_ASSERT_EQUAL(put_altered_map(&path, reverse_range, true),
			ERR_PROTOCOL);
	CU_ASSERT_EQUAL(put_altered_map(&path, swap, true), ERR_PROTOCOL);
	CU_ASSERT_EQUAL(put_altered_map(&path, omit_range, false),
			ERR_PROTOCOL);
	CU_ASSERT_EQUAL(put_altered_map(&path, change_held, false),
			ERR_PROTOCOL);
	CU_ASSERT_PTR_NULL(path.board.catalog.maps);
	board_fixture_finish(&path);
}

/*
 * A server counts its records wrongly, and the sum of a map overflows to a
 * small number. Answers would report more than full coverage.
 */
static void test_total_must_not_overflow(void)
{
	struct board_fixture path;

	board_fixture_init(&path, 1);
	CU_ASSERT_EQUAL(put_altered_map(&path, overflow, true), ERR_PROTOCOL);
	board_fixture_finish(&path);
}

/*
 * A peer sends a map of a service whose name is longer than the table allows.
 * A truncated name would not be found again, and each message would add another
 * service.
 */
static void test_long_service_name_is_refused(void)
{
	struct board_fixture path;

	board_fixture_init(&path, 1);
	CU_ASSERT_EQUAL(put_altered_map(&path, lengthen_name, true),
			ERR_PROTOCOL);
	CU_ASSERT_EQUAL(HASH_COUNT(path.board.catalog.services), 1);
	board_fixture_finish(&path);
}

/*
 * An operator deletes a server's row while a search waits for its answer. The
 * search's pointer must stay valid, and the server must get no new work.
 */
static void test_server_is_removed_while_referenced(void)
{
	struct catalog *catalog;
	struct catalog_server *server;
	struct board_fixture path;

	board_fixture_init(&path, 2);
	catalog = &path.board.catalog;
	board_fixture_put_server(&path, "h1", "b1", 1, 1, "0");
	server = catalog_server_ref(best(&path)->servers[0]);
	board_fixture_set_servers(&path, 2, 1);
	CU_ASSERT_STRING_EQUAL(server->name, "b1");
	CU_ASSERT_TRUE(!best(&path) || !best(&path)->covered);
	/* The home's state may arrive after the table. */
	board_fixture_put_server(&path, "h1", "b1", 1, 1, "0");
	CU_ASSERT_TRUE(!best(&path) || !best(&path)->covered);
	/* The row is added again, then the home pushes its state. */
	board_fixture_set_servers(&path, 1, 2);
	board_fixture_put_server(&path, "h1", "b1", 1, 1, "0");
	CU_ASSERT_EQUAL_FATAL(best(&path) != NULL, true);
	CU_ASSERT_PTR_EQUAL(best(&path)->servers[0], server);
	board_fixture_set_servers(&path, 2, 1);
	catalog_server_unref(catalog, server);
	CU_ASSERT_EQUAL(HASH_COUNT(catalog->servers), 2);
	catalog_remove_instance(catalog, STR("h1"));
	CU_ASSERT_EQUAL(HASH_COUNT(catalog->servers), 1);
	board_fixture_finish(&path);
}

/* A running search keeps its map after all replicas got a newer version. */
static void test_map_stays_while_referenced(void)
{
	struct catalog_map *map;
	struct board_fixture path;

	board_fixture_init(&path, 1);
	board_fixture_put_server(&path, "h1", "b1", 1, 2, "01");
	map = catalog_map_ref(best(&path)->map);
	board_fixture_put_server(&path, "h1", "b1", 2, 3, "012");
	board_fixture_put_server(&path, "h1", "b1", 2, 3, "012");
	CU_ASSERT_EQUAL(map->n_shards, 2);
	CU_ASSERT_PTR_NULL(catalog_find_placement(&path.board.catalog, map));
	CU_ASSERT_EQUAL(best(&path)->map->version, 2);
	catalog_map_unref(&path.board.catalog, map);
	CU_ASSERT_EQUAL(HASH_COUNT(path.board.catalog.maps), 1);
	board_fixture_finish(&path);
}

static void test_shards_outside_the_map_are_skipped(void)
{
	struct board_fixture path;

	board_fixture_init(&path, 1);
	board_fixture_put_server(&path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&path, "h1", "b1", 1, 2, "0729");
	CU_ASSERT_EQUAL(best(&path)->covered, FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(best(&path)->first[2], 1);
	board_fixture_finish(&path);
}

static void test_too_many_versions_are_refused(void)
{
	struct held_version held[CATALOG_VERSIONS_MAX + 1];
	struct board_fixture path;
	int i;

	for (i = 0; i <= CATALOG_VERSIONS_MAX; i++)
		held[i] = (struct held_version){(uint64_t)i + 1, 1, "0"};
	board_fixture_init(&path, 1);
	CU_ASSERT_EQUAL(board_fixture_put_state(&path, "h1", "b1", 1, held,
						CATALOG_VERSIONS_MAX + 1),
			ERR_PROTOCOL);
	CU_ASSERT_EQUAL(board_fixture_put_state(&path, "h1", "b1", 1, held,
						CATALOG_VERSIONS_MAX),
			0);
	board_fixture_finish(&path);
}

static const struct unit_test tests[] = {
	{"coverage counts reachable records",
	 test_coverage_counts_reachable_records},
	{"map may arrive after the state", test_map_may_arrive_after_the_state},
	{"rollout does not lower coverage",
	 test_rollout_does_not_lower_coverage},
	{"newest of equally covered versions", test_newest_of_equally_covered},
	{"repeated state keeps the map", test_repeated_state_keeps_the_map},
	{"homes are added and removed", test_homes_are_added_and_removed},
	{"state may arrive before the table",
	 test_state_may_arrive_before_the_table},
	{"row is added again while its home stays",
	 test_row_is_added_again_while_its_home_stays},
	{"server without row and home is forgotten",
	 test_server_without_row_and_home_is_forgotten},
	{"maps that do not cover the key space are refused",
	 test_maps_that_do_not_cover_are_refused},
	{"total must not overflow", test_total_must_not_overflow},
	{"long service name is refused", test_long_service_name_is_refused},
	{"server is removed from the table while referenced",
	 test_server_is_removed_while_referenced},
	{"map stays while referenced", test_map_stays_while_referenced},
	{"shards outside the map are skipped",
	 test_shards_outside_the_map_are_skipped},
	{"too many versions are refused", test_too_many_versions_are_refused},
};

UNIT_MAIN("catalog", tests)
