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
	struct http_response *answer;
	int ret;
};

static void on_answer(struct evhttp_request *request, void *arg)
{
	struct exchange *exchange = arg;
	struct http_response *answer = exchange->answer;
	struct evbuffer *body;

	event_base_loopbreak(exchange->base);
	exchange->ret = ERR_LOST;
	if (!request)
		return;
	answer->status = evhttp_request_get_response_code(request);
	if (!answer->status) {
		exchange->ret = ERR_CONNECT;
		return;
	}
	body = evhttp_request_get_input_buffer(request);
	answer->len = evbuffer_get_length(body);
	answer->body = mem_dup_len(evbuffer_pullup(body, -1), answer->len);
	exchange->ret = 0;
}

int http_client_request(const struct address *address, const char *path,
			const char *body, int timeout_ms,
			struct http_response *answer)
{
	struct timeval timeout = {timeout_ms / 1000,
				  (timeout_ms % 1000) * 1000};
	struct exchange exchange = {event_base_new(), answer, ERR_CONNECT};
	struct evhttp_connection *connection;
	struct evhttp_request *request;

	memset(answer, 0, sizeof(*answer));
	connection = evhttp_connection_base_new(exchange.base, NULL,
						address->ip, address->port);
	evhttp_connection_set_timeout_tv(connection, &timeout);
	request = evhttp_request_new(on_answer, &exchange);
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

void http_response_finish(struct http_response *answer)
{
	free(answer->body);
	answer->body = NULL;
}
