/* Fuzzes the decoding of store answers, including their routes and entries. */
#include "fuzz.h"

#include <stdlib.h>
#include <string.h>

#include "platform/names.h"
#include "routes.h"

#define PARAMETER "&after="

/* The key that comes last must not change the call for the next page. */
static void check_next_page(enum store_topic topic,
			    const struct store_answer *answer)
{
	struct store_call call = {.topic = topic, .from = answer->last_key};
	char target[STORE_TARGET_SIZE];
	const char *after;

	platform_store.format_target(&call, target, sizeof(target));
	after = strstr(target, PARAMETER);
	if (!call.from.len != !after)
		abort();
	if (after && strspn(after + strlen(PARAMETER),
			    "%-._~0123456789abcdefghijklmnopqrstuvw"
			    "xyzABCDEFGHIJKLMNOPQRSTUVWXYZ") !=
			     strlen(after + strlen(PARAMETER)))
		abort();
}

/* A server's name must be fit to stand in a request's head. */
static void decode_entry(const struct store_item *item)
{
	struct server_entry entry;
	const char *c;

	if (platform_store.decode_server(item, &entry))
		return;
	for (c = entry.id; *c; c++) {
		if (*c <= ' ' || *c >= 127)
			abort();
	}
}

static void decode_reply(enum store_topic topic, int status, struct str body)
{
	const struct store_reply reply = {.status = status,
					  .era = body,
					  .body = body};
	struct store_answer answer;
	struct route_set *set;
	struct error err;
	int i;

	platform_store.decode_answer(topic, &reply, &answer);
	check_next_page(topic, &answer);
	for (i = 0; i < answer.n_items; i++) {
		if (answer.items[i].removed)
			continue;
		if (topic == STORE_SERVERS)
			decode_entry(&answer.items[i]);
		else if (!route_set_parse(answer.items[i].value, &set, &err))
			route_set_unref(set);
	}
	platform_store.release_answer(&answer);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct str text = {(const char *)data, size};
	struct route_set *set;
	struct error err;

	decode_reply(STORE_ROUTES, 200, text);
	decode_reply(STORE_SERVERS, 200, text);
	if (!route_set_parse(text, &set, &err)) {
		route_set_find(set, STR("h"), STR("/x/y"));
		route_set_unref(set);
	}
	return 0;
}
