/*
 * Conflicting information from the store and from peers: which one wins, also
 * after the store was restored from a backup (docs/design/store-era.md).
 */
#include <stdio.h>

#include "error.h"
#include "store_fixture.h"
#include "unit.h"

/* A peer sends an entry. */
static void receive(struct fixture *fixture, const char *id,
		    uint64_t changed_at)
{
	struct store_item item = make_item(id, changed_at, false);
	struct server_entry entry;

	fixture_decode_server(&item, &entry);
	server_view_put(&fixture->sync.servers, &entry, changed_at);
}

/* An entry of a peer's complete view. */
static void receive_listed(struct fixture *fixture, const char *id,
			   uint64_t changed_at)
{
	struct store_item item = make_item(id, changed_at, false);
	struct server_entry entry;

	fixture_decode_server(&item, &entry);
	server_view_list(&fixture->sync.servers, &entry, changed_at);
}

static void confirm(struct fixture *fixture, enum store_topic topic,
		    uint64_t at)
{
	store_sync_confirm(&fixture->sync, topic, at,
			   clock_now(&fixture->clock));
}

static void lose_history(struct fixture *fixture, enum store_topic topic)
{
	fixture_advance(fixture, 900);
	fixture_fail(fixture, topic, ERR_STALE);
	fixture_advance(fixture, 1);
	CU_ASSERT(!fixture->calls[topic].watch);
}

/*
 * A list is cancelled for a peer's view, and a page of it arrives later. If the
 * page's revision counted, the watch would miss the removals before it.
 */
static void test_page_of_cancelled_list(void)
{
	struct store_item items[] = {make_item("a", 1, false),
				     make_item("b", 2, false)};
	struct store_item gone[] = {make_item("a", 15, true)};
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_routes(&fixture, 1);
	fixture_answer_servers(&fixture);
	lose_history(&fixture, STORE_SERVERS);
	confirm(&fixture, STORE_SERVERS, 10);
	fixture_answer(&fixture, STORE_SERVERS, 20, items, 2);
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(fixture.calls[STORE_SERVERS].after, 10);
	fixture_answer(&fixture, STORE_SERVERS, 21, gone, 1);
	CU_ASSERT(!fixture_has_server(&fixture, "a"));
	fixture_finish(&fixture);
}

/*
 * The removal of a server is delayed, as the store was down. An older entry
 * from a peer must not cancel it.
 */
static void check_older_entry_during_removal(const char *state)
{
	struct store_item update = make_item("a", 3, false);
	struct store_item gone = make_item("a", 5, true);
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	update.value = str_from(state);
	fixture_advance(&fixture, 900);
	fixture_answer(&fixture, STORE_SERVERS, 3, &update, 1);
	fixture_advance(&fixture, 900);
	fixture_fail(&fixture, STORE_SERVERS, ERR_UNAVAILABLE);
	fixture_advance(&fixture, 1500);
	fixture_answer(&fixture, STORE_SERVERS, 5, &gone, 1);
	CU_ASSERT(fixture_has_server(&fixture, "a"));
	receive(&fixture, "a", 3);
	receive(&fixture, "a", 2);
	fixture_advance(&fixture, 2400);
	CU_ASSERT(!fixture_has_server(&fixture, "a"));
	fixture_finish(&fixture);
}

static void test_older_ready_entry(void)
{
	check_older_entry_during_removal("ready");
}

static void test_older_draining_entry(void)
{
	check_older_entry_during_removal("draining");
}

/*
 * A removal of an unknown server must be remembered: an older entry may arrive
 * from a peer after it.
 */
static void test_removal_of_unknown(void)
{
	struct store_item gone = make_item("c", 5, true);
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	fixture_advance(&fixture, 900);
	fixture_fail(&fixture, STORE_SERVERS, ERR_UNAVAILABLE);
	fixture_advance(&fixture, 900);
	fixture_answer(&fixture, STORE_SERVERS, 5, &gone, 1);
	receive(&fixture, "c", 4);
	CU_ASSERT(!fixture_has_server(&fixture, "c"));
	receive(&fixture, "c", 6);
	CU_ASSERT(fixture_has_server(&fixture, "c"));
	fixture_finish(&fixture);
}

/*
 * A peer sends entries while a list is read. An entry older than the list must
 * not survive it, a newer one must.
 */
static void test_entries_during_list(void)
{
	struct store_item items[] = {make_item("a", 1, false),
				     make_item("b", 2, false)};
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	lose_history(&fixture, STORE_SERVERS);
	receive(&fixture, "old", 3);
	receive(&fixture, "new", 31);
	fixture_answer(&fixture, STORE_SERVERS, 30, items, 2);
	CU_ASSERT(!fixture_has_server(&fixture, "old"));
	CU_ASSERT(fixture_has_server(&fixture, "new") &&
		  fixture_has_server(&fixture, "a"));
	/* The next list is newer than that entry, and does not have it. */
	lose_history(&fixture, STORE_SERVERS);
	fixture_answer(&fixture, STORE_SERVERS, 40, items, 2);
	CU_ASSERT(!fixture_has_server(&fixture, "new"));
	CU_ASSERT(fixture_has_server(&fixture, "a") &&
		  fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/*
 * A peer's complete view lacks a server whose entry is newer than this
 * instance's view, but older than the peer's.
 */
static void test_complete_view_lacks_newer_server(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	receive(&fixture, "c", 10);
	store_sync_begin_snapshot(&fixture.sync);
	receive_listed(&fixture, "a", 1);
	receive_listed(&fixture, "b", 2);
	store_sync_end_snapshot(&fixture.sync, 20, clock_now(&fixture.clock));
	confirm(&fixture, STORE_SERVERS, 20);
	fixture_advance(&fixture, 2400);
	CU_ASSERT(!fixture_has_server(&fixture, "c"));
	CU_ASSERT(fixture_has_server(&fixture, "a") &&
		  fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/* It has a view with a and b, and leaves the calls to others. */
static void set_up_follower(struct fixture *fixture, int64_t view_age_ms)
{
	fixture_init(fixture);
	fixture_answer_routes(fixture, 1);
	fixture_answer_servers(fixture);
	store_sync_set_max_view_age(&fixture->sync, MSEC(4000), 20);
	fixture_advance(fixture, view_age_ms);
}

static void receive_complete_view_of_a(struct fixture *fixture, uint64_t at)
{
	store_sync_begin_snapshot(&fixture->sync);
	receive_listed(fixture, "a", 1);
	store_sync_end_snapshot(&fixture->sync, at, clock_now(&fixture->clock));
	confirm(fixture, STORE_SERVERS, at);
}

/* Guards against a removed server that is kept as a peer sent all others. */
static void test_complete_view_removes_at_once(void)
{
	struct fixture fixture;

	set_up_follower(&fixture, 2300);
	receive_complete_view_of_a(&fixture, 20);
	CU_ASSERT(fixture_has_server(&fixture, "a"));
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/* Guards against removals that are held back as readers were lost. */
static void test_removals_after_lost_readers(void)
{
	struct store_item gone[] = {make_item("b", 20, true)};
	struct fixture fixture;

	set_up_follower(&fixture, 3400);
	receive_complete_view_of_a(&fixture, 20);
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);

	set_up_follower(&fixture, 900);
	store_sync_set_max_view_age(&fixture.sync, MSEC(2200), 3);
	fixture_advance(&fixture, 1400);
	CU_ASSERT(fixture.sync.feeds[STORE_SERVERS].busy);
	fixture_advance(&fixture, 400);
	fixture_answer(&fixture, STORE_SERVERS, 20, gone, 1);
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/* Guards against removals that are held back as an instance stood still. */
static void test_removal_after_standstill(void)
{
	struct fixture fixture;

	set_up_follower(&fixture, 0);
	store_sync_set_max_view_age(&fixture.sync, MSEC(1600), 6);
	clock_advance(&fixture.clock, MSEC(4000));
	receive_complete_view_of_a(&fixture, 20);
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/* Guards against a call that failed by itself being taken for an outage. */
static void test_removal_after_failed_call(void)
{
	struct store_item gone[] = {make_item("b", 20, true)};
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_answer_routes(&fixture, 1);
	fixture_answer_servers(&fixture);
	fixture_advance(&fixture, 900);
	fixture_fail(&fixture, STORE_SERVERS, ERR_UNAVAILABLE);
	fixture_advance(&fixture, 300);
	fixture_answer(&fixture, STORE_SERVERS, 20, gone, 1);
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

static void check_complete_view_after_outage(int64_t view_age_ms, bool failed)
{
	struct fixture fixture;

	set_up_follower(&fixture, view_age_ms);
	if (failed)
		store_sync_note_failure(&fixture.sync);
	receive_complete_view_of_a(&fixture, 20);
	fixture_advance(&fixture, 2000);
	CU_ASSERT(fixture_has_server(&fixture, "b"));
	fixture_advance(&fixture, 400);
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/*
 * Guards against servers that are lost as a peer, which has just started, sent
 * a view from before they wrote their expired entries again.
 */
static void test_complete_view_after_store_was_away(void)
{
	check_complete_view_after_outage(3700, false);
}

/* Guards against the same after a shorter outage, of which peers told. */
static void test_complete_view_after_calls_failed(void)
{
	check_complete_view_after_outage(2500, true);
}

/* Guards against the same if another peer reached the store a bit earlier. */
static void test_complete_view_after_peer_reached_store(void)
{
	struct fixture fixture;

	set_up_follower(&fixture, 2500);
	store_sync_note_failure(&fixture.sync);
	confirm(&fixture, STORE_SERVERS, 19);
	fixture_advance(&fixture, 500);
	receive_complete_view_of_a(&fixture, 20);
	CU_ASSERT(fixture_has_server(&fixture, "b"));
	fixture_advance(&fixture, 2400);
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	fixture_finish(&fixture);
}

/*
 * All servers are replaced at once. If some removals were forgotten to
 * make room for others, older entries from peers would bring servers back.
 */
static void test_many_removals(void)
{
	enum {
		MANY = 1400
	};
	struct fixture fixture;
	char id[16];
	int n = 0;
	int i;

	fixture_init(&fixture);
	fixture_answer_servers(&fixture);
	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		receive(&fixture, id, 10);
		server_view_remove(&fixture.sync.servers, id, 20, "peer");
	}
	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		receive(&fixture, id, 15);
		n += fixture_has_server(&fixture, id);
	}
	CU_ASSERT_EQUAL(n, 0);
	fixture_finish(&fixture);
}

static void start_in_era(struct fixture *fixture, uint64_t era)
{
	fixture_init(fixture);
	fixture->era = era;
	fixture_answer_routes(fixture, 3);
	fixture_answer_servers(fixture);
	confirm(fixture, STORE_SERVERS, 50);
	fixture_advance(fixture, 900);
	CU_ASSERT(fixture->calls[STORE_SERVERS].watch);
}

/* Restores the store from a backup: the next answers are of the next era. */
static void restore_backup(struct fixture *fixture, uint64_t revision)
{
	fixture->era++;
	fixture_answer(fixture, STORE_SERVERS, revision, NULL, 0);
	fixture_answer(fixture, STORE_ROUTES, revision, NULL, 0);
	fixture_advance(fixture, 1);
	CU_ASSERT(!fixture->calls[STORE_SERVERS].watch);
	CU_ASSERT(!fixture->calls[STORE_ROUTES].watch);
}

static bool is_draining(const struct fixture *fixture, const char *id)
{
	const struct registry_server *server =
		registry_find(&fixture->registry, str_from(id));

	return server && server->entry.draining;
}

/*
 * The store was restored from a backup. A watch from a revision of the earlier
 * era would miss changes of the new one, so that the store is listed again.
 */
static void test_era_lists_again(void)
{
	struct store_item backup[] = {make_item("a", 1, false),
				      make_item("b", 2, false)};
	struct store_item update[] = {make_item("a", 32, false)};
	struct fixture fixture;

	start_in_era(&fixture, 4);
	update[0].value = STR("draining");
	fixture.era = 5;
	fixture_answer(&fixture, STORE_SERVERS, 60, update, 1);
	CU_ASSERT(!is_draining(&fixture, "a"));
	fixture_advance(&fixture, 1);
	CU_ASSERT(!fixture.calls[STORE_SERVERS].watch);
	/* The other topic's call is of the earlier era, too. */
	fixture_answer(&fixture, STORE_ROUTES, 61, NULL, 0);
	fixture_advance(&fixture, 1);
	CU_ASSERT(!fixture.calls[STORE_ROUTES].watch);
	fixture_answer(&fixture, STORE_SERVERS, 30, backup, 2);
	fixture_answer_routes(&fixture, 3);
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(fixture.calls[STORE_SERVERS].after, 30);
	fixture_answer(&fixture, STORE_SERVERS, 32, update, 1);
	CU_ASSERT(is_draining(&fixture, "a"));
	fixture_finish(&fixture);
}

/*
 * Servers that started after the backup are missing in the store until they
 * write again. They are kept until then.
 */
static void test_era_backup_lacks_servers(void)
{
	struct store_item backup = make_item("a", 1, false);
	struct store_item back = make_item("c", 31, false);
	struct fixture fixture;

	start_in_era(&fixture, 1);
	receive(&fixture, "c", 40);
	restore_backup(&fixture, 20);
	fixture_answer(&fixture, STORE_SERVERS, 20, &backup, 1);
	CU_ASSERT(fixture_has_server(&fixture, "b") &&
		  fixture_has_server(&fixture, "c"));
	fixture_advance(&fixture, 1500);
	fixture_answer(&fixture, STORE_SERVERS, 31, &back, 1);
	fixture_advance(&fixture, 700);
	CU_ASSERT(fixture_has_server(&fixture, "b"));
	fixture_advance(&fixture, 200);
	CU_ASSERT(!fixture_has_server(&fixture, "b"));
	CU_ASSERT(fixture_has_server(&fixture, "a") &&
		  fixture_has_server(&fixture, "c"));
	fixture_finish(&fixture);
}

/*
 * The backup has a draining server as ready, and one that was removed since.
 * What is known here is kept.
 */
static void test_era_backup_is_older(void)
{
	struct store_item backup[] = {make_item("a", 1, false),
				      make_item("b", 2, false),
				      make_item("left", 3, false)};
	struct store_item update = make_item("a", 45, false);
	struct store_item back = make_item("left", 21, false);
	struct fixture fixture;

	start_in_era(&fixture, 1);
	update.value = STR("draining");
	fixture_answer(&fixture, STORE_SERVERS, 51, &update, 1);
	receive(&fixture, "left", 46);
	server_view_remove(&fixture.sync.servers, "left", 47, "peer");
	fixture_advance(&fixture, 900);
	restore_backup(&fixture, 20);
	fixture_answer(&fixture, STORE_SERVERS, 20, backup, 3);
	CU_ASSERT(is_draining(&fixture, "a") && !is_draining(&fixture, "b"));
	CU_ASSERT(!fixture_has_server(&fixture, "left"));
	/* It is running after all, and writes. */
	fixture_advance(&fixture, 900);
	fixture_answer(&fixture, STORE_SERVERS, 21, &back, 1);
	CU_ASSERT(fixture_has_server(&fixture, "left"));
	fixture_finish(&fixture);
}

/* The first answer of the new era is an error, with any of these codes. */
static void check_era_with_error(int code)
{
	struct store_item backup[] = {make_item("a", 1, false),
				      make_item("b", 2, false)};
	struct fixture fixture;

	start_in_era(&fixture, 1);
	fixture.era = 2;
	fixture_fail(&fixture, STORE_SERVERS, code);
	fixture_fail(&fixture, STORE_ROUTES, code);
	fixture_advance(&fixture, 1000);
	CU_ASSERT(!fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT(!fixture.calls[STORE_ROUTES].watch);
	fixture_answer(&fixture, STORE_SERVERS, 10, backup, 2);
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(fixture.calls[STORE_SERVERS].after, 10);
	fixture_finish(&fixture);
}

static void test_era_with_failure(void)
{
	check_era_with_error(ERR_UNAVAILABLE);
}

static void test_era_with_history_gone(void)
{
	check_era_with_error(ERR_STALE);
}

/* The store is restored from a backup again while it is listed. */
static void test_era_twice(void)
{
	struct store_item items[] = {make_item("a", 1, false),
				     make_item("b", 2, false)};
	struct store_answer page = {.era = 2,
				    .revision = 30,
				    .more = true,
				    .items = items};
	struct fixture fixture;

	start_in_era(&fixture, 1);
	restore_backup(&fixture, 30);
	page.n_items = 1;
	store_key_set(&page.last_key, STR("servers/a"));
	store_sync_answered(&fixture.sync, STORE_SERVERS, &page);
	fixture_advance(&fixture, 1);
	CU_ASSERT(fixture_list_from(&fixture, "servers/a"));
	restore_backup(&fixture, 12);
	CU_ASSERT(fixture_list_from(&fixture, ""));
	fixture_answer(&fixture, STORE_SERVERS, 12, items, 2);
	fixture_advance(&fixture, 900);
	restore_backup(&fixture, 9);
	fixture_answer(&fixture, STORE_SERVERS, 9, items, 2);
	fixture_advance(&fixture, 2400);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(fixture.calls[STORE_SERVERS].after, 9);
	CU_ASSERT(fixture_has_server(&fixture, "a") &&
		  fixture_has_server(&fixture, "b"));
	CU_ASSERT_EQUAL(fixture.sync.era, 4);
	fixture_finish(&fixture);
}

/* An answer of the earlier era arrives late and is ignored. */
static void test_era_late_answer(void)
{
	struct store_item items[] = {make_item("a", 1, false),
				     make_item("b", 2, false)};
	struct store_item late[] = {make_item("b", 49, true)};
	struct fixture fixture;

	start_in_era(&fixture, 1);
	restore_backup(&fixture, 30);
	fixture_answer(&fixture, STORE_SERVERS, 30, items, 2);
	fixture_advance(&fixture, 900);
	fixture.era = 1;
	fixture_answer(&fixture, STORE_SERVERS, 52, late, 1);
	CU_ASSERT(fixture_has_server(&fixture, "b"));
	CU_ASSERT_EQUAL(fixture.sync.feeds[STORE_SERVERS].revision, 30);
	fixture.era = 2;
	fixture_advance(&fixture, 1000);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	fixture_answer(&fixture, STORE_SERVERS, 33, NULL, 0);
	CU_ASSERT_EQUAL(fixture.sync.feeds[STORE_SERVERS].revision, 33);
	fixture_finish(&fixture);
}

/* The backup has older routes and no cordon: neither is lost at once. */
static void test_era_keeps_routes_and_cordons(void)
{
	struct store_item cordon = make_item("dc2", 40, false);
	struct cordon_set *cordons;
	struct fixture fixture;

	start_in_era(&fixture, 1);
	cordons = &fixture.registry.cordons;
	cordon.kind = STORE_ITEM_CORDON;
	fixture_answer(&fixture, STORE_ROUTES, 40, &cordon, 1);
	fixture_advance(&fixture, 100);
	restore_backup(&fixture, 20);
	fixture_answer_routes(&fixture, 2);
	CU_ASSERT_EQUAL(fixture.sync.routes->version, 3);
	CU_ASSERT(cordon_set_contains(cordons, STR("dc2")));
	/* Operators had time to write the cordon again: the list counts. */
	fixture_advance(&fixture, 2200);
	CU_ASSERT(fixture.calls[STORE_ROUTES].watch);
	fixture_answer(&fixture, STORE_ROUTES, 25, NULL, 0);
	CU_ASSERT(cordon_set_contains(cordons, STR("dc2")));
	fixture_advance(&fixture, 200);
	CU_ASSERT(!fixture.calls[STORE_ROUTES].watch);
	fixture_answer(&fixture, STORE_ROUTES, 26, NULL, 0);
	CU_ASSERT(!cordon_set_contains(cordons, STR("dc2")));
	CU_ASSERT_EQUAL(fixture.sync.routes->version, 3);
	fixture_finish(&fixture);
}

/* A store may never report an era, or stop reporting it. */
static void test_era_not_reported(void)
{
	struct fixture fixture;

	start_in_era(&fixture, 0);
	fixture_answer(&fixture, STORE_SERVERS, 51, NULL, 0);
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	fixture_finish(&fixture);

	start_in_era(&fixture, 3);
	fixture.era = 0;
	fixture_answer(&fixture, STORE_SERVERS, 51, NULL, 0);
	fixture_advance(&fixture, 900);
	CU_ASSERT(fixture.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(fixture.calls[STORE_SERVERS].after, 51);
	CU_ASSERT_EQUAL(fixture.sync.era, 3);
	fixture_finish(&fixture);
}

static const struct unit_test tests[] = {
	{"era: the store is listed again", test_era_lists_again},
	{"era: the backup lacks servers", test_era_backup_lacks_servers},
	{"era: the backup is older", test_era_backup_is_older},
	{"era: reported with a failure", test_era_with_failure},
	{"era: reported with a lost history", test_era_with_history_gone},
	{"era: two restores in a row", test_era_twice},
	{"era: late answer of the earlier era", test_era_late_answer},
	{"era: routes and cordons are kept", test_era_keeps_routes_and_cordons},
	{"era: not reported", test_era_not_reported},
	{"late page of a cancelled list", test_page_of_cancelled_list},
	{"older entry during a delayed removal", test_older_ready_entry},
	{"older draining entry during a delayed removal",
	 test_older_draining_entry},
	{"removal of an unknown server", test_removal_of_unknown},
	{"entries of peers during a list", test_entries_during_list},
	{"a complete view lacks a newer server",
	 test_complete_view_lacks_newer_server},
	{"complete view removes at once", test_complete_view_removes_at_once},
	{"complete view after store was away",
	 test_complete_view_after_store_was_away},
	{"complete view after calls failed",
	 test_complete_view_after_calls_failed},
	{"removals after lost readers", test_removals_after_lost_readers},
	{"removal after a failed call", test_removal_after_failed_call},
	{"removal after a standstill", test_removal_after_standstill},
	{"complete view after peer reached store",
	 test_complete_view_after_peer_reached_store},
	{"many removals are remembered", test_many_removals},
};

UNIT_MAIN("store_order", tests)
