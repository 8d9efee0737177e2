/* Which word of the store wins: see docs/design/store-era.md. */
#include <stdio.h>

#include "error.h"
#include "store_world.h"
#include "unit.h"

static void hear(struct world *world, const char *id, uint64_t changed_at)
{
	struct store_item item = item_of(id, changed_at, false);
	struct server_entry entry;

	world_read_server(&item, &entry);
	server_view_put(&world->sync.servers, &entry, changed_at);
}

static void hear_listed(struct world *world, const char *id,
			uint64_t changed_at)
{
	struct store_item item = item_of(id, changed_at, false);
	struct server_entry entry;

	world_read_server(&item, &entry);
	server_view_list(&world->sync.servers, &entry, changed_at);
}

static void confirm(struct world *world, enum store_topic topic, uint64_t at)
{
	store_sync_confirm(&world->sync, topic, at, clock_now(&world->clock));
}

static void lose_history(struct world *world, enum store_topic topic)
{
	world_pass(world, 900);
	world_fail(world, topic, ERR_STALE);
	world_pass(world, 1);
	CU_ASSERT(!world->calls[topic].watch);
}

/* A page of a list that was given up hides the removals before it. */
static void test_page_of_given_up_list(void)
{
	struct store_item items[] = {item_of("a", 1, false),
				     item_of("b", 2, false)};
	struct store_item gone[] = {item_of("a", 15, true)};
	struct world world;

	world_init(&world);
	world_give_routes(&world, 1);
	world_list_servers(&world);
	lose_history(&world, STORE_SERVERS);
	confirm(&world, STORE_SERVERS, 10);
	world_answer(&world, STORE_SERVERS, 20, items, 2);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 10);
	world_answer(&world, STORE_SERVERS, 21, gone, 1);
	CU_ASSERT(!world_knows(&world, "a"));
	world_finish(&world);
}

/* A peer's older word keeps a server whose removal is held back. */
static void test_older_word_while_held_back(const char *state)
{
	struct store_item said = item_of("a", 3, false);
	struct store_item gone = item_of("a", 5, true);
	struct world world;

	world_init(&world);
	world_list_servers(&world);
	said.value = str_from(state);
	world_pass(&world, 900);
	world_answer(&world, STORE_SERVERS, 3, &said, 1);
	world_pass(&world, 900);
	world_fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	world_pass(&world, 900);
	world_answer(&world, STORE_SERVERS, 5, &gone, 1);
	CU_ASSERT(world_knows(&world, "a"));
	hear(&world, "a", 3);
	hear(&world, "a", 2);
	world_pass(&world, 2400);
	CU_ASSERT(!world_knows(&world, "a"));
	world_finish(&world);
}

static void test_older_word_of_ready(void)
{
	test_older_word_while_held_back("ready");
}

static void test_older_word_of_draining(void)
{
	test_older_word_while_held_back("draining");
}

/* A removal of what is not known here is forgotten, and an older word comes. */
static void test_removal_of_unknown(void)
{
	struct store_item gone = item_of("c", 5, true);
	struct world world;

	world_init(&world);
	world_list_servers(&world);
	world_pass(&world, 900);
	world_fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	world_pass(&world, 900);
	world_answer(&world, STORE_SERVERS, 5, &gone, 1);
	hear(&world, "c", 4);
	CU_ASSERT(!world_knows(&world, "c"));
	hear(&world, "c", 6);
	CU_ASSERT(world_knows(&world, "c"));
	world_finish(&world);
}

/* A peer's word during a list counts as if the list had named the server. */
static void test_heard_while_listing(void)
{
	struct store_item items[] = {item_of("a", 1, false),
				     item_of("b", 2, false)};
	struct world world;

	world_init(&world);
	world_list_servers(&world);
	lose_history(&world, STORE_SERVERS);
	hear(&world, "old", 3);
	hear(&world, "new", 31);
	world_answer(&world, STORE_SERVERS, 30, items, 2);
	CU_ASSERT(!world_knows(&world, "old"));
	CU_ASSERT(world_knows(&world, "new") && world_knows(&world, "a"));
	/* What is newer than one list is ended by the next. */
	lose_history(&world, STORE_SERVERS);
	world_answer(&world, STORE_SERVERS, 40, items, 2);
	CU_ASSERT(!world_knows(&world, "new"));
	CU_ASSERT(world_knows(&world, "a") && world_knows(&world, "b"));
	world_finish(&world);
}

/* A peer's whole view lacks a server that is newer than this one's view. */
static void test_whole_view_lacks_a_newer_one(void)
{
	struct world world;

	world_init(&world);
	world_list_servers(&world);
	hear(&world, "c", 10);
	store_sync_begin_snapshot(&world.sync);
	hear_listed(&world, "a", 1);
	hear_listed(&world, "b", 2);
	store_sync_end_snapshot(&world.sync, 20);
	confirm(&world, STORE_SERVERS, 20);
	world_pass(&world, 2400);
	CU_ASSERT(!world_knows(&world, "c"));
	CU_ASSERT(world_knows(&world, "a") && world_knows(&world, "b"));
	world_finish(&world);
}

/* Removals of a whole generation of servers push each other out of memory. */
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
	world_list_servers(&world);
	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		hear(&world, id, 10);
		server_view_remove(&world.sync.servers, id, 20, "peer");
	}
	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		hear(&world, id, 15);
		n += world_knows(&world, id);
	}
	CU_ASSERT_EQUAL(n, 0);
	world_finish(&world);
}

static void start_in_era(struct world *world, uint64_t era)
{
	world_init(world);
	world->era = era;
	world_give_routes(world, 3);
	world_list_servers(world);
	confirm(world, STORE_SERVERS, 50);
	world_pass(world, 900);
	CU_ASSERT(world->calls[STORE_SERVERS].watch);
}

/* The store went back: the call under way is answered in the next era. */
static void go_back(struct world *world, uint64_t read_at)
{
	world->era++;
	world_answer(world, STORE_SERVERS, read_at, NULL, 0);
	world_answer(world, STORE_ROUTES, read_at, NULL, 0);
	world_pass(world, 1);
	CU_ASSERT(!world->calls[STORE_SERVERS].watch);
	CU_ASSERT(!world->calls[STORE_ROUTES].watch);
}

static bool drains(const struct world *world, const char *id)
{
	const struct registry_server *server =
		registry_find(&world->registry, str_from(id));

	return server && server->entry.draining;
}

/* A watch from a revision of before goes on in what was written since. */
static void test_era_lists_anew(void)
{
	struct store_item copied[] = {item_of("a", 1, false),
				      item_of("b", 2, false)};
	struct store_item said[] = {item_of("a", 32, false)};
	struct world world;

	start_in_era(&world, 4);
	said[0].value = STR("draining");
	world.era = 5;
	world_answer(&world, STORE_SERVERS, 60, said, 1);
	CU_ASSERT(!drains(&world, "a"));
	world_pass(&world, 1);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	/* The other topic's call is from before, too. */
	world_answer(&world, STORE_ROUTES, 61, NULL, 0);
	world_pass(&world, 1);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	world_answer(&world, STORE_SERVERS, 30, copied, 2);
	world_give_routes(&world, 3);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 30);
	world_answer(&world, STORE_SERVERS, 32, said, 1);
	CU_ASSERT(drains(&world, "a"));
	world_finish(&world);
}

/* Servers that started after the copy was made are lost until they write. */
static void test_era_copy_lacks_servers(void)
{
	struct store_item copied = item_of("a", 1, false);
	struct store_item back = item_of("c", 31, false);
	struct world world;

	start_in_era(&world, 1);
	hear(&world, "c", 40);
	go_back(&world, 20);
	world_answer(&world, STORE_SERVERS, 20, &copied, 1);
	CU_ASSERT(world_knows(&world, "b") && world_knows(&world, "c"));
	world_pass(&world, 1500);
	world_answer(&world, STORE_SERVERS, 31, &back, 1);
	world_pass(&world, 700);
	CU_ASSERT(world_knows(&world, "b"));
	world_pass(&world, 200);
	CU_ASSERT(!world_knows(&world, "b"));
	CU_ASSERT(world_knows(&world, "a") && world_knows(&world, "c"));
	world_finish(&world);
}

/* The copy calls ready what drains, and names what has left. */
static void test_era_copy_is_older(void)
{
	struct store_item copied[] = {item_of("a", 1, false),
				      item_of("b", 2, false),
				      item_of("left", 3, false)};
	struct store_item said = item_of("a", 45, false);
	struct store_item back = item_of("left", 21, false);
	struct world world;

	start_in_era(&world, 1);
	said.value = STR("draining");
	world_answer(&world, STORE_SERVERS, 51, &said, 1);
	hear(&world, "left", 46);
	server_view_remove(&world.sync.servers, "left", 47, "peer");
	world_pass(&world, 900);
	go_back(&world, 20);
	world_answer(&world, STORE_SERVERS, 20, copied, 3);
	CU_ASSERT(drains(&world, "a") && !drains(&world, "b"));
	CU_ASSERT(!world_knows(&world, "left"));
	/* It lives after all, and writes. */
	world_pass(&world, 900);
	world_answer(&world, STORE_SERVERS, 21, &back, 1);
	CU_ASSERT(world_knows(&world, "left"));
	world_finish(&world);
}

/* The first sign is a refusal: by failure, and by a history that is gone. */
static void test_era_told_by_refusal(int code)
{
	struct store_item copied[] = {item_of("a", 1, false),
				      item_of("b", 2, false)};
	struct world world;

	start_in_era(&world, 1);
	world.era = 2;
	world_fail(&world, STORE_SERVERS, code);
	world_fail(&world, STORE_ROUTES, code);
	world_pass(&world, 1000);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	world_answer(&world, STORE_SERVERS, 10, copied, 2);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 10);
	world_finish(&world);
}

static void test_era_told_by_failure(void)
{
	test_era_told_by_refusal(ERR_UNAVAILABLE);
}

static void test_era_told_by_history_gone(void)
{
	test_era_told_by_refusal(ERR_STALE);
}

/* The store goes back again while it is listed. */
static void test_era_after_era(void)
{
	struct store_item items[] = {item_of("a", 1, false),
				     item_of("b", 2, false)};
	struct store_answer page = {.era = 2,
				    .read_at = 30,
				    .more = true,
				    .items = items};
	struct world world;

	start_in_era(&world, 1);
	go_back(&world, 30);
	page.n_items = 1;
	snprintf(page.last_key, sizeof(page.last_key), "servers/a");
	store_sync_answered(&world.sync, STORE_SERVERS, &page);
	world_pass(&world, 1);
	CU_ASSERT_STRING_EQUAL(world.calls[STORE_SERVERS].from, "servers/a");
	go_back(&world, 12);
	CU_ASSERT_STRING_EQUAL(world.calls[STORE_SERVERS].from, "");
	world_answer(&world, STORE_SERVERS, 12, items, 2);
	world_pass(&world, 900);
	go_back(&world, 9);
	world_answer(&world, STORE_SERVERS, 9, items, 2);
	world_pass(&world, 2400);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 9);
	CU_ASSERT(world_knows(&world, "a") && world_knows(&world, "b"));
	CU_ASSERT_EQUAL(world.sync.era, 4);
	world_finish(&world);
}

/* An answer of the earlier era was under way for long. */
static void test_era_late_answer(void)
{
	struct store_item items[] = {item_of("a", 1, false),
				     item_of("b", 2, false)};
	struct store_item late[] = {item_of("b", 49, true)};
	struct world world;

	start_in_era(&world, 1);
	go_back(&world, 30);
	world_answer(&world, STORE_SERVERS, 30, items, 2);
	world_pass(&world, 900);
	world.era = 1;
	world_answer(&world, STORE_SERVERS, 52, late, 1);
	CU_ASSERT(world_knows(&world, "b"));
	CU_ASSERT_EQUAL(world.sync.feeds[STORE_SERVERS].at, 30);
	world.era = 2;
	world_pass(&world, 1000);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	world_answer(&world, STORE_SERVERS, 33, NULL, 0);
	CU_ASSERT_EQUAL(world.sync.feeds[STORE_SERVERS].at, 33);
	world_finish(&world);
}

/* The copy has routes from before, and no cordon. */
static void test_era_keeps_operators_word(void)
{
	struct store_item cordon = item_of("dc2", 40, false);
	struct cordons *cordons;
	struct world world;

	start_in_era(&world, 1);
	cordons = &world.registry.cordons;
	cordon.kind = STORE_ITEM_CORDON;
	world_answer(&world, STORE_ROUTES, 40, &cordon, 1);
	world_pass(&world, 100);
	go_back(&world, 20);
	world_give_routes(&world, 2);
	CU_ASSERT_EQUAL(world.sync.routes->version, 3);
	CU_ASSERT(cordon_set_contains(cordons, STR("dc2")));
	/* Once the operators had time to write it again, the list counts. */
	world_pass(&world, 2200);
	CU_ASSERT(world.calls[STORE_ROUTES].watch);
	world_answer(&world, STORE_ROUTES, 25, NULL, 0);
	CU_ASSERT(cordon_set_contains(cordons, STR("dc2")));
	world_pass(&world, 200);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	world_answer(&world, STORE_ROUTES, 26, NULL, 0);
	CU_ASSERT(!cordon_set_contains(cordons, STR("dc2")));
	CU_ASSERT_EQUAL(world.sync.routes->version, 3);
	world_finish(&world);
}

/* Another deployment's store tells no era, or stops to. */
static void test_no_era(void)
{
	struct world world;

	start_in_era(&world, 0);
	world_answer(&world, STORE_SERVERS, 51, NULL, 0);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	world_finish(&world);

	start_in_era(&world, 3);
	world.era = 0;
	world_answer(&world, STORE_SERVERS, 51, NULL, 0);
	world_pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 51);
	CU_ASSERT_EQUAL(world.sync.era, 3);
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"era: listed anew", test_era_lists_anew},
	{"era: the copy lacks servers", test_era_copy_lacks_servers},
	{"era: the copy is older", test_era_copy_is_older},
	{"era: told by a failure", test_era_told_by_failure},
	{"era: told by a history gone", test_era_told_by_history_gone},
	{"era after era", test_era_after_era},
	{"era: a late answer", test_era_late_answer},
	{"era: operators' word is kept", test_era_keeps_operators_word},
	{"no era", test_no_era},
	{"a page of a list that was given up", test_page_of_given_up_list},
	{"an older word, held back", test_older_word_of_ready},
	{"an older word, held back, draining", test_older_word_of_draining},
	{"removal of what is not known", test_removal_of_unknown},
	{"heard while listing", test_heard_while_listing},
	{"a whole view lacks a newer one", test_whole_view_lacks_a_newer_one},
	{"many removals", test_many_removals},
};

UNIT_MAIN("store_order", tests)
