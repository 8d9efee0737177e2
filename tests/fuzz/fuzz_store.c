/* Fuzzes the decoding of store answers, including their routes and entries. */
#include "fuzz.h"

#include "platform/names.h"
#include "routes.h"

static void decode_reply(enum store_topic topic, int status, struct str body)
{
	const struct store_reply reply = {.status = status,
					  .era = body,
					  .body = body};
	struct store_answer answer;
	struct server_entry entry;
	struct route_set *set;
	struct error err;
	int i;

	platform_store.decode_answer(topic, &reply, &answer);
	for (i = 0; i < answer.n_items; i++) {
		if (answer.items[i].removed)
			continue;
		if (topic == STORE_SERVERS)
			platform_store.decode_server(&answer.items[i], &entry);
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
