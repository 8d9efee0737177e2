#include "fleet_ask.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <json-c/json.h>

#include "error.h"
#include "json_value.h"
#include "mem.h"

/* Connections open at once. */
#define PARALLEL_MAX 32

/*
 * One round of questions; the next of the list is asked as one ends.
 * @connections: by index into the list. They are freed at the end, as libevent
 *		 does not free one on completion that could not connect
 */
struct round {
	struct event_base *base;
	struct fleet_list *list;
	struct evhttp_connection **connections;
	const char *path;
	struct timeval timeout;
	int next;
	int end;
	int open;
};

struct exchange {
	struct round *round;
	struct fleet_response *ask;
};

static struct fleet_response *find(struct fleet_list *list,
				   const struct address *address)
{
	int i;

	for (i = 0; i < list->n; i++) {
		if (address_eq(&list->asks[i].address, address))
			return &list->asks[i];
	}
	return NULL;
}

static struct fleet_response *put(struct fleet_list *list,
				  const struct address *address)
{
	struct fleet_response *ask = find(list, address);

	if (ask)
		return ask;
	MEM_GROW(list->asks, list->n, list->cap);
	ask = &list->asks[list->n++];
	*ask = (struct fleet_response){.address = *address};
	return ask;
}

static void put_member(struct fleet_list *list, struct json_object *item,
		       const char *address_key)
{
	struct address address;
	struct json_object *text;
	struct fleet_response *ask;

	if (!json_object_object_get_ex(item, address_key, &text) ||
	    !json_object_is_type(text, json_type_string) ||
	    address_parse(str_from(json_object_get_string(text)), &address))
		return;
	ask = put(list, &address);
	json_value_copy(item, "instance", ask->instance, sizeof(ask->instance));
	json_value_copy(item, "data_centre", ask->data_centre,
			sizeof(ask->data_centre));
}

static int put_members(struct fleet_list *list, struct json_object *body,
		       const char *list_key, const char *address_key)
{
	struct json_object *members;
	size_t i;

	if (!json_object_object_get_ex(body, list_key, &members) ||
	    !json_object_is_type(members, json_type_array))
		return ERR_PROTOCOL;
	for (i = 0; i < json_object_array_length(members); i++)
		put_member(list, json_object_array_get_idx(members, i),
			   address_key);
	return 0;
}

/* The body goes to the caller. */
static int ask_first(struct fleet_list *list, const char *path, int timeout_ms,
		     struct json_object **body)
{
	fleet_list_fetch_one(list, 0, path, timeout_ms);
	*body = list->asks[0].body;
	list->asks[0].body = NULL;
	return list->asks[0].ret;
}

int fleet_list_init(struct fleet_list *list, const struct address *first,
		    int timeout_ms)
{
	struct json_object *body;
	int ret;

	memset(list, 0, sizeof(*list));
	put(list, first);
	ret = ask_first(list, "/v1/status", timeout_ms, &body);
	if (!ret)
		ret = put_members(list, body, "members", "caller_address");
	if (!ret)
		ret = put_members(list, body, "gone", "caller_address");
	json_object_put(body);
	if (!ret || ret == ERR_CONNECT)
		return ret;
	ret = ask_first(list, "/v1/addresses", timeout_ms, &body);
	if (!ret)
		ret = put_members(list, body, "addresses", "address");
	json_object_put(body);
	return ret;
}

void fleet_list_finish(struct fleet_list *list)
{
	int i;

	for (i = 0; i < list->n; i++)
		json_object_put(list->asks[i].body);
	free(list->asks);
}

static void ask_next(struct round *round);

static void take_answer(struct fleet_response *ask,
			struct evhttp_request *request)
{
	struct evbuffer *buffer = evhttp_request_get_input_buffer(request);
	size_t len = evbuffer_get_length(buffer);
	char *text;

	ask->status = evhttp_request_get_response_code(request);
	if (!ask->status) {
		ask->ret = ERR_CONNECT;
		return;
	}
	text = mem_dup_len(evbuffer_pullup(buffer, -1), len);
	ask->body = json_tokener_parse(text);
	free(text);
	ask->ret = ask->body ? 0 : ERR_PROTOCOL;
}

static void on_answer(struct evhttp_request *request, void *arg)
{
	struct exchange *exchange = arg;
	struct round *round = exchange->round;

	if (request)
		take_answer(exchange->ask, request);
	free(exchange);
	round->open--;
	ask_next(round);
	if (!round->open)
		event_base_loopbreak(round->base);
}

static void send_ask(struct round *round, int index)
{
	struct fleet_response *ask = &round->list->asks[index];
	struct exchange *exchange = mem_zalloc(sizeof(*exchange));
	struct evhttp_connection *connection;
	struct evhttp_request *request;

	ask->ret = ERR_LOST;
	exchange->round = round;
	exchange->ask = ask;
	connection =
		evhttp_connection_base_new(round->base, NULL, ask->address.ip,
					   ask->address.port);
	evhttp_connection_set_timeout_tv(connection, &round->timeout);
	round->connections[index] = connection;
	request = evhttp_request_new(on_answer, exchange);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  ask->address.ip);
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Connection", "close");
	round->open++;
	if (!evhttp_make_request(connection, request, EVHTTP_REQ_GET,
				 round->path))
		return;
	round->open--;
	free(exchange);
}

static void ask_next(struct round *round)
{
	while (round->open < PARALLEL_MAX && round->next < round->end)
		send_ask(round, round->next++);
}

static void finish_round(struct round *round)
{
	int i;

	for (i = 0; i < round->list->n; i++) {
		if (round->connections[i])
			evhttp_connection_free(round->connections[i]);
	}
	free(round->connections);
	event_base_free(round->base);
}

static void ask_range(struct fleet_list *list, int from, int end,
		      const char *path, int timeout_ms)
{
	struct round round = {
		.base = event_base_new(),
		.list = list,
		.path = path,
		.timeout = {timeout_ms / 1000, (timeout_ms % 1000) * 1000},
		.next = from,
		.end = end,
	};

	round.connections =
		mem_zalloc((size_t)list->n * sizeof(*round.connections));
	ask_next(&round);
	if (round.open)
		event_base_dispatch(round.base);
	finish_round(&round);
}

void fleet_list_fetch_one(struct fleet_list *list, int index, const char *path,
			  int timeout_ms)
{
	ask_range(list, index, index + 1, path, timeout_ms);
}

void fleet_list_fetch(struct fleet_list *list, int from, const char *path,
		      int timeout_ms)
{
	ask_range(list, from, list->n, path, timeout_ms);
}
