/*
 * Conflicting information from the store and from peers: which one wins, also
 * after the store was restored from a backup (docs/design/store-era.md).
 */
#include <stdio.h>

#include "error.h"
#include "store_world.h"
#include "unit.h"

/* A peer sends an entry. */
static void receive(struct world *world, const char *id, uint64_t changed_at)
{
	struct store_item item = make_item(id, changed_at, false);
	struct server_entry entry;

	fixture_decode_server(&item, &entry);
	server_view_put(&world->sync.servers, &entry, changed_at);
}

/* An entry of a peer's complete view. */
static void receive_listed(struct world *world, const char *id,
			   uint64_t changed_at)
{
	struct store_item item = make_item(id, changed_at, false);
	struct server_entry entry;

	fixture_decode_server(&item, &entry);
	server_view_list(&world->sync.servers, &entry, changed_at);
}

static void confirm(struct world *world, enum store_topic topic, uint64_t at)
{
	store_sync_confirm(&world->sync, topic, at, clock_now(&world->clock));
}

static void lose_history(struct world *world, enum store_topic topic)
{
	world_pass(world, 900);
	fixture_fail(world, topic, ERR_STALE);
	world_pass(world, 1);
	CU_ASSERT(!world->calls[topic].watch);
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
	struct world world;

	world_init(&world);
	fixture_answer_routes(&world, 1);
	fixture_answer_servers(&world);
	lose_history(&world, STORE_SERVERS);
	confirm(&world, STORE_SERVERS, 10);
	fixture_answer(&world, STORE_SERVERS, 20, items, 2);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 10);
	fixture_answer(&world, STORE_SERVERS, 21, gone, 1);
	CU_ASSERT(!fixture_has_server(&world, "a"));
	world_finish(&world);
}

/*
 * The removal of a server is delayed, as the store was down. An older entry
 * from a peer must not cancel it.
 */
static void check_older_entry_during_removal(const char *state)
{
	struct store_item update = make_item("a", 3, false);
	struct store_item gone = make_item("a", 5, true);
	struct world world;

	world_init(&world);
	fixture_answer_servers(&world);
	update.value = str_from(state);
	world_pass(&world, 900);
	fixture_answer(&world, STORE_SERVERS, 3, &update, 1);
	world_pass(&world, 900);
	fixture_fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	world_pass(&world, 900);
	fixture_answer(&world, STORE_SERVERS, 5, &gone, 1);
	CU_ASSERT(fixture_has_server(&world, "a"));
	receive(&world, "a", 3);
	receive(&world, "a", 2);
	world_pass(&world, 2400);
	CU_ASSERT(!fixture_has_server(&world, "a"));
	world_finish(&world);
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
	struct world world;

	world_init(&world);
	fixture_answer_servers(&world);
	world_pass(&world, 900);
	fixture_fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	world_pass(&world, 900);
	fixture_answer(&world, STORE_SERVERS, 5, &gone, 1);
	receive(&world, "c", 4);
	CU_ASSERT(!fixture_has_server(&world, "c"));
	receive(&world, "c", 6);
	CU_ASSERT(fixture_has_server(&world, "c"));
	world_finish(&world);
}

/*
 * A peer sends entries while a list is read. An entry older than the list must
 * not survive it, a newer one must.
 */
static void test_entries_during_list(void)
{
	struct store_item items[] = {make_item("a", 1, false),
				     make_item("b", 2, false)};
	struct world world;

	world_init(&world);
	fixture_answer_servers(&world);
	lose_history(&world, STORE_SERVERS);
	receive(&world, "old", 3);
	receive(&world, "new", 31);
	fixture_answer(&world, STORE_SERVERS, 30, items, 2);
	CU_ASSERT(!fixture_has_server(&world, "old"));
	CU_ASSERT(fixture_has_server(&world, "new") &&
		  fixture_has_server(&world, "a"));
	/* The next list is newer than that entry, and does not have it. */
	lose_history(&world, STORE_SERVERS);
	fixture_answer(&world, STORE_SERVERS, 40, items, 2);
	CU_ASSERT(!fixture_has_server(&world, "new"));
	CU_ASSERT(fixture_has_server(&world, "a") &&
		  fixture_has_server(&world, "b"));
	world_finish(&world);
}

/*
 * A peer's complete view lacks a server whose entry is newer than this
 * instance's view, but older than the peer's.
 */
static void test_complete_view_lacks_newer_server(void)
{
	struct world world;

	world_init(&world);
	fixture_answer_servers(&world);
	receive(&world, "c", 10);
	store_sync_begin_snapshot(&world.sync);
	receive_listed(&world, "a", 1);
	receive_listed(&world, "b", 2);
	store_sync_end_snapshot(&world.sync, 20);
	confirm(&world, STORE_SERVERS, 20);
	world_pass(&world, 2400);
	CU_ASSERT(!fixture_has_server(&world, "c"));
	CU_ASSERT(fixture_has_server(&world, "a") &&
		  fixture_has_server(&world, "b"));
	world_finish(&world);
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
	struct world world;
	char id[16];
	int n = 0;
	int i;

	world_init(&world);
	fixture_answer_servers(&world);
	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		receive(&world, id, 10);
		server_view_remove(&world.sync.servers, id, 20, "peer");
	}
	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		receive(&world, id, 15);
		n += fixture_has_server(&world, id);
	}
	CU_ASSERT_EQUAL(n, 0);
	world_finish(&world);
}

static void start_in_era(struct world *world, uint64_t era)
{
	world_init(world);
	world->era = era;
	fixture_answer_routes(world, 3);
	fixture_answer_servers(world);
	confirm(world, STORE_SERVERS, 50);
	world_pass(world, 900);
	CU_ASSERT(world->calls[STORE_SERVERS].watch);
}

/* Restores the store from a backup: the next answers are of the next era. */
static void restore_backup(struct world *world, uint64_t revision)
{
	world->era++;
	fixture_answer(world, STORE_SERVERS, revision, NULL, 0);
	fixture_answer(world, STORE_ROUTES, revision, NULL, 0);
	world_pass(world, 1);
	CU_ASSERT(!world->calls[STORE_SERVERS].watch);
	CU_ASSERT(!world->calls[STORE_ROUTES].watch);
}

static bool is_draining(const struct world *world, const char *id)
{
	const struct registry_server *server =
		registry_find(&world->registry, str_from(id));

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
	struct world world;

	start_in_era(&world, 4);
	update[0].value = STR("draining");
	world.era = 5;
	fixture_answer(&world, STORE_SERVERS, 60, update, 1);
	CU_ASSERT(!is_draining(&world, "a"));
	world_pass(&world, 1);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	/* The other topic's call is of the earlier era, too. */
	fixture_answer(&world, STORE_ROUTES, 61, NULL, 0);
	world_pass(&world, 1);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	fixture_answer(&world, STORE_SERVERS, 30, backup, 2);
	fixture_answer_routes(&world, 3);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 30);
	fixture_answer(&world, STORE_SERVERS, 32, update, 1);
	CU_ASSERT(is_draining(&world, "a"));
	world_finish(&world);
}

/*
 * Servers that started after the backup are missing in the store until they
 * write again. They are kept until then.
 */
static void test_era_backup_lacks_servers(void)
{
	struct store_item backup = make_item("a", 1, false);
	struct store_item back = make_item("c", 31, false);
	struct world world;

	start_in_era(&world, 1);
	receive(&world, "c", 40);
	restore_backup(&world, 20);
	fixture_answer(&world, STORE_SERVERS, 20, &backup, 1);
	CU_ASSERT(fixture_has_server(&world, "b") &&
		  fixture_has_server(&world, "c"));
	world_pass(&world, 1500);
	fixture_answer(&world, STORE_SERVERS, 31, &back, 1);
	world_pass(&world, 700);
	CU_ASSERT(fixture_has_server(&world, "b"));
	world_pass(&world, 200);
	CU_ASSERT(!fixture_has_server(&world, "b"));
	CU_ASSERT(fixture_has_server(&world, "a") &&
		  fixture_has_server(&world, "c"));
	world_finish(&world);
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
	struct world world;

	start_in_era(&world, 1);
	update.value = STR("draining");
	fixture_answer(&world, STORE_SERVERS, 51, &update, 1);
	receive(&world, "left", 46);
	server_view_remove(&world.sync.servers, "left", 47, "peer");
	world_pass(&world, 900);
	restore_backup(&world, 20);
	fixture_answer(&world, STORE_SERVERS, 20, backup, 3);
	CU_ASSERT(is_draining(&world, "a") && !is_draining(&world, "b"));
	CU_ASSERT(!fixture_has_server(&world, "left"));
	/* It is running after all, and writes. */
	world_pass(&world, 900);
	fixture_answer(&world, STORE_SERVERS, 21, &back, 1);
	CU_ASSERT(fixture_has_server(&world, "left"));
	world_finish(&world);
}

/* The first answer of the new era is an error, with any of these codes. */
static void check_era_with_error(int code)
{
	struct store_item backup[] = {make_item("a", 1, false),
				      make_item("b", 2, false)};
	struct world world;

	start_in_era(&world, 1);
	world.era = 2;
	fixture_fail(&world, STORE_SERVERS, code);
	fixture_fail(&world, STORE_ROUTES, code);
	world_pass(&world, 1000);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	fixture_answer(&world, STORE_SERVERS, 10, backup, 2);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 10);
	world_finish(&world);
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
	struct world world;

	start_in_era(&world, 1);
	restore_backup(&world, 30);
	page.n_items = 1;
	snprintf(page.last_key, sizeof(page.last_key), "servers/a");
	store_sync_answered(&world.sync, STORE_SERVERS, &page);
	world_pass(&world, 1);
	CU_ASSERT_STRING_EQUAL(world.calls[STORE_SERVERS].from, "servers/a");
	restore_backup(&world, 12);
	CU_ASSERT_STRING_EQUAL(world.calls[STORE_SERVERS].from, "");
	fixture_answer(&world, STORE_SERVERS, 12, items, 2);
	world_pass(&world, 900);
	restore_backup(&world, 9);
	fixture_answer(&world, STORE_SERVERS, 9, items, 2);
	world_pass(&world, 2400);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 9);
	CU_ASSERT(fixture_has_server(&world, "a") &&
		  fixture_has_server(&world, "b"));
	CU_ASSERT_EQUAL(world.sync.era, 4);
	world_finish(&world);
}

/* An answer of the earlier era arrives late and is ignored. */
static void test_era_late_answer(void)
{
	struct store_item items[] = {make_item("a", 1, false),
				     make_item("b", 2, false)};
	struct store_item late[] = {make_item("b", 49, true)};
	struct world world;

	start_in_era(&world, 1);
	restore_backup(&world, 30);
	fixture_answer(&world, STORE_SERVERS, 30, items, 2);
	world_pass(&world, 900);
	world.era = 1;
	fixture_answer(&world, STORE_SERVERS, 52, late, 1);
	CU_ASSERT(fixture_has_server(&world, "b"));
	CU_ASSERT_EQUAL(world.sync.feeds[STORE_SERVERS].revision, 30);
	world.era = 2;
	world_pass(&world, 1000);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	fixture_answer(&world, STORE_SERVERS, 33, NULL, 0);
	CU_ASSERT_EQUAL(world.sync.feeds[STORE_SERVERS].revision, 33);
	world_finish(&world);
}

/* The backup has older routes and no cordon: neither is lost at once. */
static void test_era_keeps_routes_and_cordons(void)
{
	struct store_item cordon = make_item("dc2", 40, false);
	struct cordon_set *cordons;
	struct world world;

	start_in_era(&world, 1);
	cordons = &world.registry.cordons;
	cordon.kind = STORE_ITEM_CORDON;
	fixture_answer(&world, STORE_ROUTES, 40, &cordon, 1);
	world_pass(&world, 100);
	restore_backup(&world, 20);
	fixture_answer_routes(&world, 2);
	CU_ASSERT_EQUAL(world.sync.routes->version, 3);
	CU_ASSERT(cordon_set_contains(cordons, STR("dc2")));
	/* Operators had time to write the cordon again: the list counts. */
	world_pass(&world, 2200);
	CU_ASSERT(world.calls[STORE_ROUTES].watch);
	fixture_answer(&world, STORE_ROUTES, 25, NULL, 0);
	CU_ASSERT(cordon_set_contains(cordons, STR("dc2")));
	world_pass(&world, 200);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	fixture_answer(&world, STORE_ROUTES, 26, NULL, 0);
	CU_ASSERT(!cordon_set_contains(cordons, STR("dc2")));
	CU_ASSERT_EQUAL(world.sync.routes->version, 3);
	world_finish(&world);
}

/* A store may never report an era, or stop reporting it. */
static void test_era_not_reported(void)
{
	struct world world;

	start_in_era(&world, 0);
	fixture_answer(&world, STORE_SERVERS, 51, NULL, 0);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	world_finish(&world);

	start_in_era(&world, 3);
	world.era = 0;
	fixture_answer(&world, STORE_SERVERS, 51, NULL, 0);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 51);
	CU_ASSERT_EQUAL(world.sync.era, 3);
	world_finish(&world);
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
	{"many removals are remembered", test_many_removals},
};

UNIT_MAIN("store_order", tests)
