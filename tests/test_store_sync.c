#include <string.h>

#include "error.h"
#include "store_schedule.h"
#include "store_fixture.h"
#include "unit.h"

static void test_start(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	CU_ASSERT(!fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT(!store_sync_ready(&fixture.sync));
	fixture_answer_routes(&fixture, 3);
	CU_ASSERT(!store_sync_ready(&fixture.sync));
	fixture_answer_servers(&fixture);
	CU_ASSERT(store_sync_ready(&fixture.sync));
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT(fixture.calls[STORE_SERVERS].after == 2);
	fixture_finish(&fixture);
}

/*
 * A server is removed while a list is read page by page. The removal is between
 * the first page and the last, so that the watch must start at the revision of
 * the first.
 */
static void test_pages(void)
{
	struct store_item items[] = {make_item("a", 1, false)};
	struct store_answer page = {.revision = 10,
				    .more = true,
				    .items = items,
				    .n_items = 1};
	struct fixture fixture;

	fixture_init(&fixture);
	store_key_set(&page.last_key, STR("servers/a"));
	store_sync_answered(&fixture.sync, STORE_SERVERS, &page);
	CU_ASSERT(fixture.sync.feeds[STORE_SERVERS].fresh_at < 0);
	fixture_advance(&fixture, 1);
	CU_ASSERT(fixture_list_from(&fixture, "servers/a"));
	items[0] = make_item("b", 2, false);
	fixture_answer(&fixture, STORE_SERVERS, 15, items, 1);
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT(fixture.calls[STORE_SERVERS].after == 10);
	CU_ASSERT(fixture_has_server(&fixture, "a") &&
		  fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

static void answer_page(struct fixture *fixture, const char *last_key)
{
	struct store_item items[] = {make_item("a", 1, false)};
	struct store_answer page = {.revision = 10,
				    .more = true,
				    .items = items,
				    .n_items = 1};

	store_key_set(&page.last_key, str_from(last_key));
	store_sync_answered(&fixture->sync, STORE_SERVERS, &page);
}

/* Guards against a page that is asked for again and again without a pause. */
static void test_list_does_not_advance(void)
{
	static const char *const last_keys[] = {"servers/b", "servers/a", ""};
	struct fixture fixture;
	size_t i;
	int n;

	fixture_init(&fixture);
	answer_page(&fixture, "servers/b");
	fixture_advance(&fixture, 1);
	for (i = 0; i < 3; i++) {
		n = fixture.n_calls[STORE_SERVERS];
		answer_page(&fixture, last_keys[i]);
		fixture_advance(&fixture, 190);
		CU_ASSERT_EQUAL(fixture.n_calls[STORE_SERVERS], n);
		fixture_advance(&fixture, 900);
		CU_ASSERT_EQUAL(fixture.n_calls[STORE_SERVERS], n + 1);
		CU_ASSERT(fixture_list_from(&fixture, "servers/b"));
	}
	CU_ASSERT(fixture.sync.feeds[STORE_SERVERS].fresh_at < 0);
	answer_page(&fixture, "servers/c");
	fixture_advance(&fixture, 1);
	CU_ASSERT(fixture_list_from(&fixture, "servers/c"));
	fixture_answer_servers(&fixture);
	CU_ASSERT(fixture.sync.feeds[STORE_SERVERS].fresh_at >= 0);
	fixture_finish(&fixture);
}

/* Guards against a watch whose answer is too large each time. */
static void test_watch_too_large(void)
{
	struct fixture fixture;
	int n;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	fixture_fail(&fixture, STORE_SERVERS, ERR_TOO_LARGE);
	fixture_advance(&fixture, 1);
	CU_ASSERT(!fixture.calls[STORE_SERVERS].watch);
	n = fixture.n_calls[STORE_SERVERS];
	fixture_fail(&fixture, STORE_SERVERS, ERR_TOO_LARGE);
	fixture_advance(&fixture, 190);
	CU_ASSERT_EQUAL(fixture.n_calls[STORE_SERVERS], n);
	fixture_advance(&fixture, 900);
	fixture_answer_servers(&fixture);
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT(fixture_has_server(&fixture, "a"));
	fixture_finish(&fixture);
}

/* An older version from a peer or a slow answer is never applied. */
static void test_routes_never_go_back(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_routes(&fixture, 7);
	fixture_answer_routes(&fixture, 5);
	CU_ASSERT(fixture.sync.routes->version == 7);
	CU_ASSERT(store_sync_apply_routes(
			  &fixture.sync,
			  STR("{\"version\":7,\"routes\":[],\"services\":[]}"),
			  "peer") == ERR_STALE);
	CU_ASSERT(store_sync_apply_routes(&fixture.sync, STR("{\"version\":"),
					  "peer") == ERR_SYNTAX);
	CU_ASSERT(fixture.sync.routes->version == 7);
	fixture_finish(&fixture);
}

static void test_removed_at_once(void)
{
	struct store_item items[] = {make_item("a", 5, true)};
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	fixture_advance(&fixture, 900);
	fixture_answer(&fixture, STORE_SERVERS, 5, items, 1);
	CU_ASSERT(!fixture_has_server(&fixture, "a"));
	CU_ASSERT(fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/*
 * The store is down for some seconds, and entries of running servers expire
 * meanwhile. When it is back it reports so many removals that shards would have
 * no server. The running servers write again within about two seconds.
 */
static void test_expired_while_store_was_down(void)
{
	struct store_item gone[] = {make_item("a", 5, true),
				    make_item("b", 6, true)};
	struct store_item back[] = {make_item("a", 8, false)};
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	for (i = 0; i < 5; i++) {
		fixture_advance(&fixture, 1500);
		fixture_fail(&fixture, STORE_SERVERS, ERR_UNAVAILABLE);
	}
	CU_ASSERT(fixture_has_server(&fixture, "a"));
	fixture_advance(&fixture, 1500);
	fixture_answer(&fixture, STORE_SERVERS, 6, gone, 2);
	CU_ASSERT(fixture_has_server(&fixture, "a") &&
		  fixture_has_server(&fixture, "b"));
	fixture_advance(&fixture, 1500);
	fixture_answer(&fixture, STORE_SERVERS, 8, back, 1);
	fixture_advance(&fixture, 1500);
	CU_ASSERT(fixture_has_server(&fixture, "a"));
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/*
 * The same on an instance that got its view from peers while they reached the
 * store, and whose only failed call was for the routes, or that made none. It
 * applied all removals and sent them to its peers: half of the shards had no
 * server for a second.
 */
static void check_expired_without_servers_failure(int failed_calls)
{
	struct store_item gone[] = {make_item("a", 5, true),
				    make_item("b", 6, true)};
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	fixture_answer_routes(&fixture, 1);
	fixture_answer_servers(&fixture);
	store_sync_set_max_view_age(&fixture.sync, MSEC(4000), 20);
	for (i = 0; i < failed_calls; i++) {
		fixture_advance(&fixture, 1000);
		fixture_fail(&fixture, STORE_ROUTES, ERR_UNAVAILABLE);
	}
	fixture_advance(&fixture, 4000);
	fixture_answer(&fixture, STORE_SERVERS, 6, gone, 2);
	CU_ASSERT(fixture_has_server(&fixture, "a") &&
		  fixture_has_server(&fixture, "b"));
	fixture_advance(&fixture, 2400);
	CU_ASSERT(!fixture_has_server(&fixture, "a") &&
		  !fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

static void test_expired_and_routes_failed(void)
{
	check_expired_without_servers_failure(1);
}

static void test_expired_and_nothing_failed(void)
{
	check_expired_without_servers_failure(0);
}

/* Removals some time after the store is back are applied at once. */
static void test_removal_after_return(void)
{
	struct store_item gone[] = {make_item("a", 5, true)};
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_routes(&fixture, 1);
	fixture_answer_servers(&fixture);
	fixture_advance(&fixture, 900);
	fixture_fail(&fixture, STORE_ROUTES, ERR_UNAVAILABLE);
	fixture_answer(&fixture, STORE_SERVERS, 3, NULL, 0);
	fixture_advance(&fixture, 1200);
	fixture_answer(&fixture, STORE_SERVERS, 4, NULL, 0);
	fixture_advance(&fixture, 1200);
	fixture_answer(&fixture, STORE_SERVERS, 5, gone, 1);
	CU_ASSERT(!fixture_has_server(&fixture, "a"));
	fixture_finish(&fixture);
}

/*
 * The store discards its history, and with it the removal of a server. The
 * complete list is read, and servers missing in it are removed.
 */
static void test_history_gone(void)
{
	struct store_item items[] = {make_item("b", 2, false)};
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	fixture_advance(&fixture, 900);
	fixture_fail(&fixture, STORE_SERVERS, ERR_STALE);
	fixture_advance(&fixture, 1);
	CU_ASSERT(!fixture.calls[STORE_SERVERS].watch);
	fixture_answer(&fixture, STORE_SERVERS, 30, items, 1);
	CU_ASSERT(!fixture_has_server(&fixture, "a"));
	CU_ASSERT(fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/* While the store fails, calls become less frequent and the view is kept. */
static void test_failures_back_off(void)
{
	struct fixture fixture;
	int n;
	int i;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	n = fixture.n_calls[STORE_SERVERS];
	for (i = 0; i < 100; i++) {
		fixture_advance(&fixture, 100);
		if (fixture.sync.feeds[STORE_SERVERS].busy)
			fixture_fail(&fixture, STORE_SERVERS, ERR_BUDGET);
	}
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] - n < 16);
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] - n > 5);
	CU_ASSERT(fixture_has_server(&fixture, "a"));
	fixture_finish(&fixture);
}

/* An instance calls the store only if peers send it no view for too long. */
static void test_max_view_age(void)
{
	struct fixture fixture;
	int n;
	int i;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	store_sync_set_max_view_age(&fixture.sync, MSEC(1500), 0);
	n = fixture.n_calls[STORE_SERVERS];
	for (i = 0; i < 20; i++) {
		fixture_advance(&fixture, 500);
		store_sync_confirm(&fixture.sync, STORE_SERVERS, 2,
				   clock_now(&fixture.clock) - MSEC(20));
	}
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] == n);
	fixture_advance(&fixture, 1470);
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] == n);
	fixture_advance(&fixture, 20);
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] == n + 1);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	fixture_finish(&fixture);
}

/*
 * All instances start at once. The first reads the store and sends its view to
 * the others. One that gets no view reads the store itself soon.
 */
static void test_all_start_at_once(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_fail(&fixture, STORE_SERVERS, ERR_UNAVAILABLE);
	fixture_fail(&fixture, STORE_ROUTES, ERR_UNAVAILABLE);
	fixture_restart(&fixture);
	store_sync_set_max_view_age(&fixture.sync, MSEC(1700), 0);
	fixture.n_calls[STORE_SERVERS] = 0;
	fixture_advance(&fixture, 200);
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] == 0);
	fixture_advance(&fixture, 200);
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] == 1);
	fixture_finish(&fixture);
}

/*
 * An instance joins hundreds of others. It asks the seeds, which have the view
 * or read it, and reads the store itself only if none of them answers.
 */
static void test_joins(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_restart(&fixture);
	store_schedule_delay_start(&fixture.sync, 0.5);
	fixture.n_calls[STORE_SERVERS] = 0;
	fixture_advance(&fixture, 800);
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] == 0);
	fixture_advance(&fixture, 100);
	CU_ASSERT(fixture.n_calls[STORE_SERVERS] == 1);
	fixture_finish(&fixture);
}

/*
 * A server's entry is overwritten with bytes that cannot be decoded. Its
 * previous entry must not be used any more, and those of other servers must be
 * kept. A second later the server writes again, and is used again.
 */
static void test_unreadable_entry(void)
{
	struct fixture fixture;
	struct store_item item = make_item("a", 3, false);

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	item.value = STR("unreadable");
	fixture_answer(&fixture, STORE_SERVERS, 3, &item, 1);
	CU_ASSERT(!fixture_has_server(&fixture, "a"));
	CU_ASSERT(fixture_has_server(&fixture, "b"));
	item = make_item("a", 4, false);
	fixture_answer(&fixture, STORE_SERVERS, 4, &item, 1);
	CU_ASSERT(fixture_has_server(&fixture, "a"));
	fixture_finish(&fixture);
}

static const struct unit_test tests[] = {
	{"an instance joins others", test_joins},
	{"start", test_start},
	{"list of several pages", test_pages},
	{"list does not advance", test_list_does_not_advance},
	{"watch too large", test_watch_too_large},
	{"routes are never replaced by older ones", test_routes_never_go_back},
	{"removal is applied at once", test_removed_at_once},
	{"entries expire while the store is down",
	 test_expired_while_store_was_down},
	{"entries expire, routes call failed", test_expired_and_routes_failed},
	{"entries expire, no call failed", test_expired_and_nothing_failed},
	{"removal after the store is back", test_removal_after_return},
	{"history of the store is lost", test_history_gone},
	{"calls back off after failures", test_failures_back_off},
	{"maximum age of the view", test_max_view_age},
	{"all instances start at once", test_all_start_at_once},
	{"unreadable entry", test_unreadable_entry},
};

UNIT_MAIN("store_sync", tests)
