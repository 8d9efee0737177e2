#include "fleet_fetch.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <json-c/json.h>

#include "error.h"
#include "json_value.h"
#include "mem.h"

#define CONNECTIONS_MAX 32 /* open at the same time */

/*
 * Requests for one path; as one of them ends, the next one is sent.
 * @connections: by index into the list. They are freed at the end, because
 *		 libevent doesn't free a connection that could not be
 *		 established when its request completes
 * @next: index of the next instance to send to
 * @end: index after the last one
 * @open: number of requests in flight
 */
struct batch {
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
	struct batch *batch;
	struct fleet_response *response;
};

static struct fleet_response *find(struct fleet_list *list,
				   const struct address *address)
{
	int i;

	for (i = 0; i < list->n; i++) {
		if (address_eq(&list->responses[i].address, address))
			return &list->responses[i];
	}
	return NULL;
}

static struct fleet_response *find_or_add(struct fleet_list *list,
					  const struct address *address)
{
	struct fleet_response *response = find(list, address);

	if (response)
		return response;
	MEM_GROW(list->responses, list->n, list->cap);
	response = &list->responses[list->n++];
	*response = (struct fleet_response){.address = *address};
	return response;
}

static void add_member(struct fleet_list *list, struct json_object *item,
		       const char *address_key)
{
	struct address address;
	struct json_object *text;
	struct fleet_response *response;

	if (!json_object_object_get_ex(item, address_key, &text) ||
	    !json_object_is_type(text, json_type_string) ||
	    address_parse(str_from(json_object_get_string(text)), &address))
		return;
	response = find_or_add(list, &address);
	json_value_copy(item, "instance", response->instance,
			sizeof(response->instance));
	json_value_copy(item, "data_centre", response->data_centre,
			sizeof(response->data_centre));
}

static int add_members(struct fleet_list *list, struct json_object *body,
		       const char *list_key, const char *address_key)
{
	struct json_object *members;
	size_t i;

	if (!json_object_object_get_ex(body, list_key, &members) ||
	    !json_object_is_type(members, json_type_array))
		return ERR_PROTOCOL;
	for (i = 0; i < json_object_array_length(members); i++)
		add_member(list, json_object_array_get_idx(members, i),
			   address_key);
	return 0;
}

/* Moves the body to the caller, who frees it. */
static int fetch_first(struct fleet_list *list, const char *path,
		       int timeout_ms, struct json_object **body)
{
	fleet_list_fetch_one(list, 0, path, timeout_ms);
	*body = list->responses[0].body;
	list->responses[0].body = NULL;
	return list->responses[0].ret;
}

int fleet_list_init(struct fleet_list *list, const struct address *first,
		    int timeout_ms)
{
	struct json_object *body;
	int ret;

	memset(list, 0, sizeof(*list));
	find_or_add(list, first);
	ret = fetch_first(list, "/v1/status", timeout_ms, &body);
	if (!ret)
		ret = add_members(list, body, "members", "caller_address");
	if (!ret)
		ret = add_members(list, body, "gone", "caller_address");
	json_object_put(body);
	if (!ret || ret == ERR_CONNECT)
		return ret;
	ret = fetch_first(list, "/v1/addresses", timeout_ms, &body);
	if (!ret)
		ret = add_members(list, body, "addresses", "address");
	json_object_put(body);
	return ret;
}

void fleet_list_finish(struct fleet_list *list)
{
	int i;

	for (i = 0; i < list->n; i++)
		json_object_put(list->responses[i].body);
	free(list->responses);
}

static void send_pending(struct batch *batch);

static void store_response(struct fleet_response *response,
			   struct evhttp_request *request)
{
	struct evbuffer *buffer = evhttp_request_get_input_buffer(request);
	size_t len = evbuffer_get_length(buffer);
	char *text;

	response->status = evhttp_request_get_response_code(request);
	if (!response->status) {
		response->ret = ERR_CONNECT;
		return;
	}
	text = mem_dup_len(evbuffer_pullup(buffer, -1), len);
	response->body = json_tokener_parse(text);
	free(text);
	response->ret = response->body ? 0 : ERR_PROTOCOL;
}

static void on_response(struct evhttp_request *request, void *arg)
{
	struct exchange *exchange = arg;
	struct batch *batch = exchange->batch;

	if (request)
		store_response(exchange->response, request);
	free(exchange);
	batch->open--;
	send_pending(batch);
	if (!batch->open)
		event_base_loopbreak(batch->base);
}

static void send_request(struct batch *batch, int index)
{
	struct fleet_response *response = &batch->list->responses[index];
	struct exchange *exchange = mem_zalloc(sizeof(*exchange));
	struct evhttp_connection *connection;
	struct evhttp_request *request;

	response->ret = ERR_LOST;
	exchange->batch = batch;
	exchange->response = response;
	connection = evhttp_connection_base_new(batch->base, NULL,
						response->address.ip,
						response->address.port);
	evhttp_connection_set_timeout_tv(connection, &batch->timeout);
	batch->connections[index] = connection;
	request = evhttp_request_new(on_response, exchange);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  response->address.ip);
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Connection", "close");
	batch->open++;
	if (!evhttp_make_request(connection, request, EVHTTP_REQ_GET,
				 batch->path))
		return;
	batch->open--;
	free(exchange);
}

static void send_pending(struct batch *batch)
{
	while (batch->open < CONNECTIONS_MAX && batch->next < batch->end)
		send_request(batch, batch->next++);
}

static void finish_batch(struct batch *batch)
{
	int i;

	for (i = 0; i < batch->list->n; i++) {
		if (batch->connections[i])
			evhttp_connection_free(batch->connections[i]);
	}
	free(batch->connections);
	event_base_free(batch->base);
}

static void fetch_range(struct fleet_list *list, int from, int end,
			const char *path, int timeout_ms)
{
	struct batch batch = {
		.base = event_base_new(),
		.list = list,
		.path = path,
		.timeout = {timeout_ms / 1000, (timeout_ms % 1000) * 1000},
		.next = from,
		.end = end,
	};

	batch.connections =
		mem_zalloc((size_t)list->n * sizeof(*batch.connections));
	send_pending(&batch);
	if (batch.open)
		event_base_dispatch(batch.base);
	finish_batch(&batch);
}

void fleet_list_fetch_one(struct fleet_list *list, int index, const char *path,
			  int timeout_ms)
{
	fetch_range(list, index, index + 1, path, timeout_ms);
}

void fleet_list_fetch(struct fleet_list *list, int from, const char *path,
		      int timeout_ms)
{
	fetch_range(list, from, list->n, path, timeout_ms);
}
