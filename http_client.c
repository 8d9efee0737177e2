#include "http_client.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "error.h"
#include "mem.h"

struct exchange {
	struct event_base *base;
	struct http_response *response;
	int ret;
};

static void on_response(struct evhttp_request *request, void *arg)
{
	struct exchange *exchange = arg;
	struct http_response *response = exchange->response;
	struct evbuffer *body;

	event_base_loopbreak(exchange->base);
	exchange->ret = ERR_LOST;
	if (!request)
		return;
	response->status = evhttp_request_get_response_code(request);
	if (!response->status) {
		exchange->ret = ERR_CONNECT;
		return;
	}
	body = evhttp_request_get_input_buffer(request);
	response->len = evbuffer_get_length(body);
	response->body = mem_dup_len(evbuffer_pullup(body, -1), response->len);
	exchange->ret = 0;
}

int http_client_request(const struct address *address, const char *path,
			const char *body, int timeout_ms,
			struct http_response *response)
{
	struct timeval timeout = {timeout_ms / 1000,
				  (timeout_ms % 1000) * 1000};
	struct exchange exchange = {event_base_new(), response, ERR_CONNECT};
	struct evhttp_connection *connection;
	struct evhttp_request *request;

	memset(response, 0, sizeof(*response));
	connection = evhttp_connection_base_new(exchange.base, NULL,
						address->ip, address->port);
	evhttp_connection_set_timeout_tv(connection, &timeout);
	request = evhttp_request_new(on_response, &exchange);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  address->ip);
	if (body) {
		evhttp_add_header(evhttp_request_get_output_headers(request),
				  "Content-Type", "application/json");
		evbuffer_add(evhttp_request_get_output_buffer(request), body,
			     strlen(body));
	}
	if (!evhttp_make_request(connection, request,
				 body ? EVHTTP_REQ_POST : EVHTTP_REQ_GET, path))
		event_base_dispatch(exchange.base);
	evhttp_connection_free(connection);
	event_base_free(exchange.base);
	return exchange.ret;
}

void http_response_finish(struct http_response *response)
{
	free(response->body);
	response->body = NULL;
}
