#include "store_fixture.h"

#include <stdio.h>
#include <string.h>

#include "error.h"
#include "platform/names.h"
#include "unit.h"

#define START_TIME MSEC(1000000)

int fixture_decode_server(const struct store_item *item,
			  struct server_entry *entry)
{
	memset(entry, 0, sizeof(*entry));
	if (item->value.len && item->value.data[0] == '{')
		return platform_store.decode_server(item, entry);
	if (str_eq(item->value, STR("unreadable")))
		return ERR_SYNTAX;
	str_copy(entry->id, sizeof(entry->id), store_key_str(&item->name));
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
	struct fixture *fixture = arg;

	CU_ASSERT(timeout > MSEC(call->wait_ms));
	fixture->calls[call->topic] = *call;
	fixture->n_calls[call->topic]++;
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

void fixture_init(struct fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	clock_init_paused(&fixture->clock, START_TIME);
	registry_init(&fixture->registry, STR("dc"), on_closing, NULL);
	store_sync_init(&fixture->sync, &fixture->clock, &format, &ops, fixture,
			&fixture->registry);
	CU_ASSERT(!fixture->n_calls[STORE_SERVERS]);
	clock_advance(&fixture->clock, MSEC(300));
	store_sync_tick(&fixture->sync);
}

void fixture_restart(struct fixture *fixture)
{
	store_sync_finish(&fixture->sync);
	store_sync_init(&fixture->sync, &fixture->clock, &format, &ops, fixture,
			&fixture->registry);
}

void fixture_finish(struct fixture *fixture)
{
	store_sync_finish(&fixture->sync);
	registry_finish(&fixture->registry);
}

void fixture_advance(struct fixture *fixture, int64_t ms)
{
	clock_advance(&fixture->clock, MSEC(ms));
	store_sync_tick(&fixture->sync);
}

struct store_item make_item(const char *name, uint64_t at, bool removed)
{
	struct store_item item = {.changed_at = at, .removed = removed};

	store_key_set(&item.name, str_from(name));
	item.value = STR("ready");
	return item;
}

void fixture_answer(struct fixture *fixture, enum store_topic topic,
		    uint64_t read_at, struct store_item *items, int n)
{
	struct store_answer answer = {.era = fixture->era,
				      .revision = read_at,
				      .items = items,
				      .n_items = n};

	store_sync_answered(&fixture->sync, topic, &answer);
}

void fixture_fail(struct fixture *fixture, enum store_topic topic, int code)
{
	struct store_answer answer = {.code = code, .era = fixture->era};

	store_sync_answered(&fixture->sync, topic, &answer);
}

bool fixture_has_server(const struct fixture *fixture, const char *id)
{
	return registry_find(&fixture->registry, str_from(id));
}

bool fixture_list_from(const struct fixture *fixture, const char *key)
{
	return str_eq_text(store_key_str(&fixture->calls[STORE_SERVERS].from),
			   key);
}

void fixture_answer_routes(struct fixture *fixture, int version)
{
	struct store_item item = make_item("", 1, false);
	char text[100];

	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":[],\"services\":[]}", version);
	item.value = str_from(text);
	fixture_answer(fixture, STORE_ROUTES, 1, &item, 1);
}

void fixture_answer_servers(struct fixture *fixture)
{
	struct store_item items[] = {make_item("a", 1, false),
				     make_item("b", 2, false)};

	fixture_answer(fixture, STORE_SERVERS, 2, items, 2);
}
