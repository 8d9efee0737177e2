#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"
#include "store_schedule.h"
#include "store_sync.h"
#include "unit.h"

#define START MSEC(1000000)

/* One instance, and a store that the test plays by hand. */
struct world {
	struct clock clock;
	struct registry registry;
	struct store_sync sync;
	struct store_call calls[STORE_TOPICS];
	int n_calls[STORE_TOPICS];
	uint64_t era; /* that the store tells; 0: none */
};

static int read_server(const struct store_item *item,
		       struct server_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	if (str_eq(item->value, STR("unreadable")))
		return ERR_SYNTAX;
	str_copy(entry->id, sizeof(entry->id), str_from(item->name));
	snprintf(entry->service, sizeof(entry->service), "s");
	entry->draining = str_eq(item->value, STR("draining"));
	entry->born = 1;
	return 0;
}

static const struct store_ops format = {
	.server = read_server,
};

static void on_call(void *arg, const struct store_call *call, int64_t timeout)
{
	struct world *world = arg;

	CU_ASSERT(timeout > MSEC(call->wait_ms));
	world->calls[call->topic] = *call;
	world->n_calls[call->topic]++;
}

static void on_routes(void *arg)
{
	(void)arg;
}

static void on_server(void *arg, const char *id, uint64_t changed_at,
		      bool removed)
{
	(void)arg;
	(void)id;
	(void)changed_at;
	(void)removed;
}

static const struct store_sync_ops ops = {
	.call = on_call,
	.routes = on_routes,
	.server = on_server,
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static void world_init(struct world *world)
{
	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, START);
	registry_init(&world->registry, STR("dc"), on_closing, NULL);
	store_sync_init(&world->sync, &world->clock, &format, &ops, world,
			&world->registry);
	CU_ASSERT(!world->n_calls[STORE_SERVERS]);
	clock_advance(&world->clock, MSEC(300));
	store_sync_tick(&world->sync);
}

static void world_finish(struct world *world)
{
	store_sync_finish(&world->sync);
	registry_finish(&world->registry);
}

static void pass(struct world *world, int64_t ms)
{
	clock_advance(&world->clock, MSEC(ms));
	store_sync_tick(&world->sync);
}

static struct store_item item_of(const char *name, uint64_t at, bool removed)
{
	struct store_item item = {.changed_at = at, .removed = removed};

	snprintf(item.name, sizeof(item.name), "%s", name);
	item.value = STR("ready");
	return item;
}

static void answer(struct world *world, enum store_topic topic,
		   uint64_t read_at, struct store_item *items, int n)
{
	struct store_answer answer = {.era = world->era,
				      .read_at = read_at,
				      .items = items,
				      .n_items = n};

	store_sync_answered(&world->sync, topic, &answer);
}

static void fail(struct world *world, enum store_topic topic, int code)
{
	struct store_answer answer = {.code = code, .era = world->era};

	store_sync_answered(&world->sync, topic, &answer);
}

static bool knows(const struct world *world, const char *id)
{
	return registry_find(&world->registry, str_from(id));
}

static void give_routes(struct world *world, int version)
{
	struct store_item item = item_of("", 1, false);
	char text[100];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[],\"services\":[]}", version);
	item.value = str_from(text);
	answer(world, STORE_ROUTES, 1, &item, 1);
}

static void list_servers(struct world *world)
{
	struct store_item items[] = {item_of("a", 1, false),
				     item_of("b", 2, false)};

	answer(world, STORE_SERVERS, 2, items, 2);
}

static void test_start(void)
{
	struct world world;

	world_init(&world);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	CU_ASSERT(!store_sync_ready(&world.sync));
	give_routes(&world, 3);
	CU_ASSERT(!store_sync_ready(&world.sync));
	list_servers(&world);
	CU_ASSERT(store_sync_ready(&world.sync));
	pass(&world, 900);
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
	pass(&world, 1);
	CU_ASSERT_STRING_EQUAL(world.calls[STORE_SERVERS].from, "servers/a");
	items[0] = item_of("b", 2, false);
	answer(&world, STORE_SERVERS, 15, items, 1);
	pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT(world.calls[STORE_SERVERS].after == 10);
	CU_ASSERT(knows(&world, "a") && knows(&world, "b"));
	world_finish(&world);
}

/* A peer or a slow answer shows an older version: it is never taken. */
static void test_routes_never_go_back(void)
{
	struct world world;

	world_init(&world);
	give_routes(&world, 7);
	give_routes(&world, 5);
	CU_ASSERT(world.sync.routes->version == 7);
	CU_ASSERT(store_sync_take_routes(
			  &world.sync,
			  STR("{\"version\":7,\"routes\":[],\"services\":[]}"),
			  "peer") == ERR_STALE);
	CU_ASSERT(store_sync_take_routes(&world.sync, STR("{\"version\":"),
					 "peer") == ERR_SYNTAX);
	CU_ASSERT(world.sync.routes->version == 7);
	world_finish(&world);
}

static void test_removed_at_once(void)
{
	struct store_item items[] = {item_of("a", 5, true)};
	struct world world;

	world_init(&world);
	list_servers(&world);
	pass(&world, 900);
	answer(&world, STORE_SERVERS, 5, items, 1);
	CU_ASSERT(!knows(&world, "a"));
	CU_ASSERT(knows(&world, "b"));
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
	list_servers(&world);
	for (i = 0; i < 5; i++) {
		pass(&world, 1500);
		fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	}
	CU_ASSERT(knows(&world, "a"));
	pass(&world, 1500);
	answer(&world, STORE_SERVERS, 6, gone, 2);
	CU_ASSERT(knows(&world, "a") && knows(&world, "b"));
	pass(&world, 1500);
	answer(&world, STORE_SERVERS, 8, back, 1);
	pass(&world, 1500);
	CU_ASSERT(knows(&world, "a"));
	CU_ASSERT(!knows(&world, "b"));
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
	give_routes(&world, 1);
	list_servers(&world);
	store_sync_set_patience(&world.sync, MSEC(4000), 20);
	for (i = 0; i < failed_calls; i++) {
		pass(&world, 1000);
		fail(&world, STORE_ROUTES, ERR_UNAVAILABLE);
	}
	pass(&world, 4000);
	answer(&world, STORE_SERVERS, 6, gone, 2);
	CU_ASSERT(knows(&world, "a") && knows(&world, "b"));
	pass(&world, 2400);
	CU_ASSERT(!knows(&world, "a") && !knows(&world, "b"));
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
	give_routes(&world, 1);
	list_servers(&world);
	pass(&world, 900);
	fail(&world, STORE_ROUTES, ERR_UNAVAILABLE);
	answer(&world, STORE_SERVERS, 3, NULL, 0);
	pass(&world, 1200);
	answer(&world, STORE_SERVERS, 4, NULL, 0);
	pass(&world, 1200);
	answer(&world, STORE_SERVERS, 5, gone, 1);
	CU_ASSERT(!knows(&world, "a"));
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
	list_servers(&world);
	pass(&world, 900);
	fail(&world, STORE_SERVERS, ERR_STALE);
	pass(&world, 1);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	answer(&world, STORE_SERVERS, 30, items, 1);
	CU_ASSERT(!knows(&world, "a"));
	CU_ASSERT(knows(&world, "b"));
	world_finish(&world);
}

/* While the store fails, calls get rarer and the view stays. */
static void test_failures_back_off(void)
{
	struct world world;
	int n;
	int i;

	world_init(&world);
	list_servers(&world);
	n = world.n_calls[STORE_SERVERS];
	for (i = 0; i < 100; i++) {
		pass(&world, 100);
		if (world.sync.feeds[STORE_SERVERS].busy)
			fail(&world, STORE_SERVERS, ERR_BUDGET);
	}
	CU_ASSERT(world.n_calls[STORE_SERVERS] - n < 16);
	CU_ASSERT(world.n_calls[STORE_SERVERS] - n > 5);
	CU_ASSERT(knows(&world, "a"));
	world_finish(&world);
}

/* Told by peers, an instance does not call; once they fall silent, it does. */
static void test_patience(void)
{
	struct world world;
	int n;
	int i;

	world_init(&world);
	list_servers(&world);
	store_sync_set_patience(&world.sync, MSEC(1500), 0);
	n = world.n_calls[STORE_SERVERS];
	for (i = 0; i < 20; i++) {
		pass(&world, 500);
		store_sync_confirm(&world.sync, STORE_SERVERS, 2,
				   clock_now(&world.clock) - MSEC(20));
	}
	CU_ASSERT(world.n_calls[STORE_SERVERS] == n);
	pass(&world, 1470);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == n);
	pass(&world, 20);
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
	fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	fail(&world, STORE_ROUTES, ERR_UNAVAILABLE);
	store_sync_finish(&world.sync);
	store_sync_init(&world.sync, &world.clock, &format, &ops, &world,
			&world.registry);
	store_sync_set_patience(&world.sync, MSEC(1700), 0);
	world.n_calls[STORE_SERVERS] = 0;
	pass(&world, 200);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == 0);
	pass(&world, 200);
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
	store_sync_finish(&world.sync);
	store_sync_init(&world.sync, &world.clock, &format, &ops, &world,
			&world.registry);
	store_schedule_joins(&world.sync, 0.5);
	world.n_calls[STORE_SERVERS] = 0;
	pass(&world, 800);
	CU_ASSERT(world.n_calls[STORE_SERVERS] == 0);
	pass(&world, 100);
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
	list_servers(&world);
	item.value = STR("unreadable");
	answer(&world, STORE_SERVERS, 3, &item, 1);
	CU_ASSERT(!knows(&world, "a"));
	CU_ASSERT(knows(&world, "b"));
	item = item_of("a", 4, false);
	answer(&world, STORE_SERVERS, 4, &item, 1);
	CU_ASSERT(knows(&world, "a"));
	world_finish(&world);
}

static void hear(struct world *world, const char *id, uint64_t changed_at)
{
	struct store_item item = item_of(id, changed_at, false);
	struct server_entry entry;

	read_server(&item, &entry);
	server_view_put(&world->sync.servers, &entry, changed_at);
}

static void hear_listed(struct world *world, const char *id,
			uint64_t changed_at)
{
	struct store_item item = item_of(id, changed_at, false);
	struct server_entry entry;

	read_server(&item, &entry);
	server_view_list(&world->sync.servers, &entry, changed_at);
}

static void confirm(struct world *world, enum store_topic topic, uint64_t at)
{
	store_sync_confirm(&world->sync, topic, at, clock_now(&world->clock));
}

static void lose_history(struct world *world, enum store_topic topic)
{
	pass(world, 900);
	fail(world, topic, ERR_STALE);
	pass(world, 1);
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
	give_routes(&world, 1);
	list_servers(&world);
	lose_history(&world, STORE_SERVERS);
	confirm(&world, STORE_SERVERS, 10);
	answer(&world, STORE_SERVERS, 20, items, 2);
	pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 10);
	answer(&world, STORE_SERVERS, 21, gone, 1);
	CU_ASSERT(!knows(&world, "a"));
	world_finish(&world);
}

/* A peer's older word keeps a server whose removal is held back. */
static void test_older_word_while_held_back(const char *state)
{
	struct store_item said = item_of("a", 3, false);
	struct store_item gone = item_of("a", 5, true);
	struct world world;

	world_init(&world);
	list_servers(&world);
	said.value = str_from(state);
	pass(&world, 900);
	answer(&world, STORE_SERVERS, 3, &said, 1);
	pass(&world, 900);
	fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	pass(&world, 900);
	answer(&world, STORE_SERVERS, 5, &gone, 1);
	CU_ASSERT(knows(&world, "a"));
	hear(&world, "a", 3);
	hear(&world, "a", 2);
	pass(&world, 2400);
	CU_ASSERT(!knows(&world, "a"));
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
	list_servers(&world);
	pass(&world, 900);
	fail(&world, STORE_SERVERS, ERR_UNAVAILABLE);
	pass(&world, 900);
	answer(&world, STORE_SERVERS, 5, &gone, 1);
	hear(&world, "c", 4);
	CU_ASSERT(!knows(&world, "c"));
	hear(&world, "c", 6);
	CU_ASSERT(knows(&world, "c"));
	world_finish(&world);
}

/* A peer's word during a list counts as if the list had named the server. */
static void test_heard_while_listing(void)
{
	struct store_item items[] = {item_of("a", 1, false),
				     item_of("b", 2, false)};
	struct world world;

	world_init(&world);
	list_servers(&world);
	lose_history(&world, STORE_SERVERS);
	hear(&world, "old", 3);
	hear(&world, "new", 31);
	answer(&world, STORE_SERVERS, 30, items, 2);
	CU_ASSERT(!knows(&world, "old"));
	CU_ASSERT(knows(&world, "new") && knows(&world, "a"));
	/* What is newer than one list is ended by the next. */
	lose_history(&world, STORE_SERVERS);
	answer(&world, STORE_SERVERS, 40, items, 2);
	CU_ASSERT(!knows(&world, "new"));
	CU_ASSERT(knows(&world, "a") && knows(&world, "b"));
	world_finish(&world);
}

/* A peer's whole view lacks a server that is newer than this one's view. */
static void test_whole_view_lacks_a_newer_one(void)
{
	struct world world;

	world_init(&world);
	list_servers(&world);
	hear(&world, "c", 10);
	store_sync_begin_whole(&world.sync);
	hear_listed(&world, "a", 1);
	hear_listed(&world, "b", 2);
	store_sync_end_whole(&world.sync, 20);
	confirm(&world, STORE_SERVERS, 20);
	pass(&world, 2400);
	CU_ASSERT(!knows(&world, "c"));
	CU_ASSERT(knows(&world, "a") && knows(&world, "b"));
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
	list_servers(&world);
	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		hear(&world, id, 10);
		server_view_remove(&world.sync.servers, id, 20, "peer");
	}
	for (i = 0; i < MANY; i++) {
		snprintf(id, sizeof(id), "s%d", i);
		hear(&world, id, 15);
		n += knows(&world, id);
	}
	CU_ASSERT_EQUAL(n, 0);
	world_finish(&world);
}

static void start_in_era(struct world *world, uint64_t era)
{
	world_init(world);
	world->era = era;
	give_routes(world, 3);
	list_servers(world);
	confirm(world, STORE_SERVERS, 50);
	pass(world, 900);
	CU_ASSERT(world->calls[STORE_SERVERS].watch);
}

/* The store went back: the call under way is answered in the next era. */
static void go_back(struct world *world, uint64_t read_at)
{
	world->era++;
	answer(world, STORE_SERVERS, read_at, NULL, 0);
	answer(world, STORE_ROUTES, read_at, NULL, 0);
	pass(world, 1);
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
	answer(&world, STORE_SERVERS, 60, said, 1);
	CU_ASSERT(!drains(&world, "a"));
	pass(&world, 1);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	/* The other topic's call is from before, too. */
	answer(&world, STORE_ROUTES, 61, NULL, 0);
	pass(&world, 1);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	answer(&world, STORE_SERVERS, 30, copied, 2);
	give_routes(&world, 3);
	pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 30);
	answer(&world, STORE_SERVERS, 32, said, 1);
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
	answer(&world, STORE_SERVERS, 20, &copied, 1);
	CU_ASSERT(knows(&world, "b") && knows(&world, "c"));
	pass(&world, 1500);
	answer(&world, STORE_SERVERS, 31, &back, 1);
	pass(&world, 700);
	CU_ASSERT(knows(&world, "b"));
	pass(&world, 200);
	CU_ASSERT(!knows(&world, "b"));
	CU_ASSERT(knows(&world, "a") && knows(&world, "c"));
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
	answer(&world, STORE_SERVERS, 51, &said, 1);
	hear(&world, "left", 46);
	server_view_remove(&world.sync.servers, "left", 47, "peer");
	pass(&world, 900);
	go_back(&world, 20);
	answer(&world, STORE_SERVERS, 20, copied, 3);
	CU_ASSERT(drains(&world, "a") && !drains(&world, "b"));
	CU_ASSERT(!knows(&world, "left"));
	/* It lives after all, and writes. */
	pass(&world, 900);
	answer(&world, STORE_SERVERS, 21, &back, 1);
	CU_ASSERT(knows(&world, "left"));
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
	fail(&world, STORE_SERVERS, code);
	fail(&world, STORE_ROUTES, code);
	pass(&world, 1000);
	CU_ASSERT(!world.calls[STORE_SERVERS].watch);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	answer(&world, STORE_SERVERS, 10, copied, 2);
	pass(&world, 900);
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
	pass(&world, 1);
	CU_ASSERT_STRING_EQUAL(world.calls[STORE_SERVERS].from, "servers/a");
	go_back(&world, 12);
	CU_ASSERT_STRING_EQUAL(world.calls[STORE_SERVERS].from, "");
	answer(&world, STORE_SERVERS, 12, items, 2);
	pass(&world, 900);
	go_back(&world, 9);
	answer(&world, STORE_SERVERS, 9, items, 2);
	pass(&world, 2400);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	CU_ASSERT_EQUAL(world.calls[STORE_SERVERS].after, 9);
	CU_ASSERT(knows(&world, "a") && knows(&world, "b"));
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
	answer(&world, STORE_SERVERS, 30, items, 2);
	pass(&world, 900);
	world.era = 1;
	answer(&world, STORE_SERVERS, 52, late, 1);
	CU_ASSERT(knows(&world, "b"));
	CU_ASSERT_EQUAL(world.sync.feeds[STORE_SERVERS].at, 30);
	world.era = 2;
	pass(&world, 1000);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	answer(&world, STORE_SERVERS, 33, NULL, 0);
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
	answer(&world, STORE_ROUTES, 40, &cordon, 1);
	pass(&world, 100);
	go_back(&world, 20);
	give_routes(&world, 2);
	CU_ASSERT_EQUAL(world.sync.routes->version, 3);
	CU_ASSERT(cordons_hold(cordons, STR("dc2")));
	/* Once the operators had time to write it again, the list counts. */
	pass(&world, 2200);
	CU_ASSERT(world.calls[STORE_ROUTES].watch);
	answer(&world, STORE_ROUTES, 25, NULL, 0);
	CU_ASSERT(cordons_hold(cordons, STR("dc2")));
	pass(&world, 200);
	CU_ASSERT(!world.calls[STORE_ROUTES].watch);
	answer(&world, STORE_ROUTES, 26, NULL, 0);
	CU_ASSERT(!cordons_hold(cordons, STR("dc2")));
	CU_ASSERT_EQUAL(world.sync.routes->version, 3);
	world_finish(&world);
}

/* Another deployment's store tells no era, or stops to. */
static void test_no_era(void)
{
	struct world world;

	start_in_era(&world, 0);
	answer(&world, STORE_SERVERS, 51, NULL, 0);
	pass(&world, 900);
	CU_ASSERT(world.calls[STORE_SERVERS].watch);
	world_finish(&world);

	start_in_era(&world, 3);
	world.era = 0;
	answer(&world, STORE_SERVERS, 51, NULL, 0);
	pass(&world, 900);
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
