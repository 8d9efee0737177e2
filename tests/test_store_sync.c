#include <string.h>

#include "error.h"
#include "store_schedule.h"
#include "store_world.h"
#include "unit.h"

static void test_start(void)
{
	struct world world;

	world_init(&world);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	CU_ASSERT(!store_sync_ready(&world.sync));
	world_give_routes(&world, 3);
	CU_ASSERT(!store_sync_ready(&world.sync));
	world_list_servers(&world);
	CU_ASSERT(store_sync_ready(&world.sync));
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT(world.calls[STORE_SERVERS].after == 2);
	world_finish(&world);
}

/*
 * A list comes in pages, and a server leaves while they are read. Its removal
 * lies between the first page and the last, so that the watch must go on from
 * the first.
 */
static void test_pages(void)
{
	struct store_item items[] = {item_of("a", 1, false)};
	struct store_answer page = {.read_at = 10,
				    .more = true,
				    .items = items,
				    .n_items = 1};
	struct world world;

	world_init(&world);
	snprintf(page.last_key, sizeof(page.last_key), "servers/a");
	store_sync_answered(&world.sync, STORE_SERVERS, &page);
	CU_ASSERT(world.sync.feeds[STORE_SERVERS].fresh_at < 0);
	world_pass(&world, 1);
	CU_ASSERT_STRING_EQUAL(world.calls[STORE_SERVERS].from, "servers/a");
	items[0] = item_of("b", 2, false);
	world_answer(&world, STORE_SERVERS, 15, items, 1);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT(world.calls[STORE_SERVERS].after == 10);
	CU_ASSERT(world_knows(&world, "a") && world_knows(&world, "b"));
	world_finish(&world);
}

/* A peer or a slow answer shows an older version: it is never taken. */
static void test_routes_never_go_back(void)
{
	struct world world;

	world_init(&world);
	world_give_routes(&world, 7);
	world_give_routes(&world, 5);
	CU_ASSERT(world.sync.routes->version == 7);
	CU_ASSERT(store_sync_apply_routes(
			  &world.sync,
			  STR("{\"version\":7,\"routes\":[],\"services\":[]}"),
			  "peer") == ERR_STALE);
	CU_ASSERT(store_sync_apply_routes(&world.sync, STR("{\"version\":"),
					  "peer") == ERR_SYNTAX);
	CU_ASSERT(world.sync.routes->version == 7);
	world_finish(&world);
}

static void test_removed_at_once(void)
{
	struct store_item items[] = {item_of("a", 5, true)};
	struct world world;

	world_init(&world);
	world_list_servers(&world);
	world_pass(&world, 900);
	world_answer(&world, STORE_SERVERS, 5, items, 1);
	CU_ASSERT(!world_knows(&world, "a"));
	CU_ASSERT(world_knows(&world, "b"));
	world_finish(&world);
}

/*
 * The store is away for some seconds, and entries lapse meanwhile though their
 * servers live. When it is back it tells so many removals that shards would
 * have no server; those that live write again within about two seconds.
 */
static void test_lapsed_while_store_was_away(void)
{
	struct store_item gone[] = {item_of("a", 5, true),
				    item_of("b", 6, true)};
	struct store_item back[] = {item_of("a", 8, false)};
	struct world world;
	int i;

	world_init(&world);
	world_list_servers(&world);
	for (i = 0; i < 5; i++) {
		world_pass(&world, 1500);
		world_fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	}
	CU_ASSERT(world_knows(&world, "a"));
	world_pass(&world, 1500);
	world_answer(&world, STORE_SERVERS, 6, gone, 2);
	CU_ASSERT(world_knows(&world, "a") && world_knows(&world, "b"));
	world_pass(&world, 1500);
	world_answer(&world, STORE_SERVERS, 8, back, 1);
	world_pass(&world, 1500);
	CU_ASSERT(world_knows(&world, "a"));
	CU_ASSERT(!world_knows(&world, "b"));
	world_finish(&world);
}

/*
 * The same, but this instance was told by others while they reached the store,
 * and its only call that failed was for the routes; or it made none at all. It
 * took all removals for true and told them to the others: half of the shards
 * had no server for a second.
 */
static void test_lapsed_and_no_call_failed(int failed_calls)
{
	struct store_item gone[] = {item_of("a", 5, true),
				    item_of("b", 6, true)};
	struct world world;
	int i;

	world_init(&world);
	world_give_routes(&world, 1);
	world_list_servers(&world);
	store_sync_set_max_view_age(&world.sync, MSEC(4000), 20);
	for (i = 0; i < failed_calls; i++) {
		world_pass(&world, 1000);
		world_fail(&world, STORE_ROUTES, ERR_UNAVAILABLE);
	}
	world_pass(&world, 4000);
	world_answer(&world, STORE_SERVERS, 6, gone, 2);
	CU_ASSERT(world_knows(&world, "a") && world_knows(&world, "b"));
	world_pass(&world, 2400);
	CU_ASSERT(!world_knows(&world, "a") && !world_knows(&world, "b"));
	world_finish(&world);
}

static void test_lapsed_and_routes_failed(void)
{
	test_lapsed_and_no_call_failed(1);
}

static void test_lapsed_and_nothing_failed(void)
{
	test_lapsed_and_no_call_failed(0);
}

/* Once the store is back, removals that follow later are true at once. */
static void test_removal_after_return(void)
{
	struct store_item gone[] = {item_of("a", 5, true)};
	struct world world;

	world_init(&world);
	world_give_routes(&world, 1);
	world_list_servers(&world);
	world_pass(&world, 900);
	world_fail(&world, STORE_ROUTES, ERR_UNAVAILABLE);
	world_answer(&world, STORE_SERVERS, 3, NULL, 0);
	world_pass(&world, 1200);
	world_answer(&world, STORE_SERVERS, 4, NULL, 0);
	world_pass(&world, 1200);
	world_answer(&world, STORE_SERVERS, 5, gone, 1);
	CU_ASSERT(!world_knows(&world, "a"));
	world_finish(&world);
}

/*
 * The store drops its history while a server leaves, so that no change tells
 * of it. The whole list is read, and what it does not name is gone.
 */
static void test_history_gone(void)
{
	struct store_item items[] = {item_of("b", 2, false)};
	struct world world;

	world_init(&world);
	world_list_servers(&world);
	world_pass(&world, 900);
	world_fail(&world, STORE_SERVERS, ERR_STALE);
	world_pass(&world, 1);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	world_answer(&world, STORE_SERVERS, 30, items, 1);
	CU_ASSERT(!world_knows(&world, "a"));
	CU_ASSERT(world_knows(&world, "b"));
	world_finish(&world);
}

/* While the store fails, calls get rarer and the view stays. */
static void test_failures_back_off(void)
{
	struct world world;
	int n;
	int i;

	world_init(&world);
	world_list_servers(&world);
	n = world.n_calls[STORE_SERVERS];
	for (i = 0; i < 100; i++) {
		world_pass(&world, 100);
		if (world.sync.feeds[STORE_SERVERS].busy)
			world_fail(&world, STORE_SERVERS, ERR_BUDGET);
	}
	CU_ASSERT(world.n_calls[STORE_SERVERS] - n < 16);
	CU_ASSERT(world.n_calls[STORE_SERVERS] - n > 5);
	CU_ASSERT(world_knows(&world, "a"));
	world_finish(&world);
}

/* Told by peers, an instance does not call; once they fall silent, it does. */
static void test_patience(void)
{
	struct world world;
	int n;
	int i;

	world_init(&world);
	world_list_servers(&world);
	store_sync_set_max_view_age(&world.sync, MSEC(1500), 0);
	n = world.n_calls[STORE_SERVERS];
	for (i = 0; i < 20; i++) {
		world_pass(&world, 500);
		store_sync_confirm(&world.sync, STORE_SERVERS, 2,
				   clock_now(&world.clock) - MSEC(20));
	}
	CU_ASSERT(world.n_calls[STORE_SERVERS] == n);
	world_pass(&world, 1470);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == n);
	world_pass(&world, 20);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == n + 1);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	world_finish(&world);
}

/*
 * All instances start at once. The first reads the store and tells the others;
 * one that hears nothing reads it all the same, soon.
 */
static void test_start_of_all(void)
{
	struct world world;

	world_init(&world);
	world_fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	world_fail(&world, STORE_ROUTES, ERR_UNAVAILABLE);
	world_restart(&world);
	store_sync_set_max_view_age(&world.sync, MSEC(1700), 0);
	world.n_calls[STORE_SERVERS] = 0;
	world_pass(&world, 200);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == 0);
	world_pass(&world, 200);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == 1);
	world_finish(&world);
}

/*
 * One of hundreds starts. The seeds, whom it asks, have the view or read it;
 * it reads by itself only if none of them tells it.
 */
static void test_joins(void)
{
	struct world world;

	world_init(&world);
	world_restart(&world);
	store_schedule_delay_start(&world.sync, 0.5);
	world.n_calls[STORE_SERVERS] = 0;
	world_pass(&world, 800);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == 0);
	world_pass(&world, 100);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == 1);
	world_finish(&world);
}

/*
 * Somebody writes bytes that cannot be read over a server's entry. Callers'
 * requests must not go by what it said before, and the other servers' entries
 * hold. A second later the server writes again, and is used again.
 */
static void test_unreadable_entry(void)
{
	struct world world;
	struct store_item item = item_of("a", 3, false);

	world_init(&world);
	world_list_servers(&world);
	item.value = STR("unreadable");
	world_answer(&world, STORE_SERVERS, 3, &item, 1);
	CU_ASSERT(!world_knows(&world, "a"));
	CU_ASSERT(world_knows(&world, "b"));
	item = item_of("a", 4, false);
	world_answer(&world, STORE_SERVERS, 4, &item, 1);
	CU_ASSERT(world_knows(&world, "a"));
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"joins", test_joins},
	{"start", test_start},
	{"pages", test_pages},
	{"routes never go back", test_routes_never_go_back},
	{"removed at once", test_removed_at_once},
	{"lapsed while the store was away", test_lapsed_while_store_was_away},
	{"lapsed, and routes failed", test_lapsed_and_routes_failed},
	{"lapsed, and nothing failed", test_lapsed_and_nothing_failed},
	{"removal after the return", test_removal_after_return},
	{"history gone", test_history_gone},
	{"failures back off", test_failures_back_off},
	{"patience", test_patience},
	{"start of all", test_start_of_all},
	{"unreadable entry", test_unreadable_entry},
};

UNIT_MAIN("store_sync", tests)
