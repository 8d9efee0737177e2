#include "store_world.h"

#include <stdio.h>
#include <string.h>

#include "error.h"
#include "unit.h"

#define START MSEC(1000000)

int fixture_decode_server(const struct store_item *item,
			  struct server_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	if (str_eq(item->value, STR("unreadable")))
		return ERR_SYNTAX;
	str_copy(entry->id, sizeof(entry->id), str_from(item->name));
	snprintf(entry->service, sizeof(entry->service), "s");
	entry->draining = str_eq(item->value, STR("draining"));
	entry->started_at_ms = 1;
	return 0;
}

static const struct store_ops format = {
	.decode_server = fixture_decode_server,
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
	.routes_changed = on_routes,
	.server_changed = on_server,
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

void world_init(struct world *world)
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

void world_restart(struct world *world)
{
	store_sync_finish(&world->sync);
	store_sync_init(&world->sync, &world->clock, &format, &ops, world,
			&world->registry);
}

void world_finish(struct world *world)
{
	store_sync_finish(&world->sync);
	registry_finish(&world->registry);
}

void world_pass(struct world *world, int64_t ms)
{
	clock_advance(&world->clock, MSEC(ms));
	store_sync_tick(&world->sync);
}

struct store_item make_item(const char *name, uint64_t at, bool removed)
{
	struct store_item item = {.changed_at = at, .removed = removed};

	snprintf(item.name, sizeof(item.name), "%s", name);
	item.value = STR("ready");
	return item;
}

void fixture_answer(struct world *world, enum store_topic topic,
		    uint64_t read_at, struct store_item *items, int n)
{
	struct store_answer answer = {.era = world->era,
				      .revision = read_at,
				      .items = items,
				      .n_items = n};

	store_sync_answered(&world->sync, topic, &answer);
}

void fixture_fail(struct world *world, enum store_topic topic, int code)
{
	struct store_answer answer = {.code = code, .era = world->era};

	store_sync_answered(&world->sync, topic, &answer);
}

bool fixture_has_server(const struct world *world, const char *id)
{
	return registry_find(&world->registry, str_from(id));
}

void fixture_answer_routes(struct world *world, int version)
{
	struct store_item item = make_item("", 1, false);
	char text[100];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[],\"services\":[]}", version);
	item.value = str_from(text);
	fixture_answer(world, STORE_ROUTES, 1, &item, 1);
}

void fixture_answer_servers(struct world *world)
{
	struct store_item items[] = {make_item("a", 1, false),
				     make_item("b", 2, false)};

	fixture_answer(world, STORE_SERVERS, 2, items, 2);
}
