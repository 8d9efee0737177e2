#include "load_pool.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/keyvalq_struct.h>
#include <utlist.h>

#include "clock.h"
#include "mem.h"

struct load_conn {
	struct load_target *target;
	struct evhttp_connection *http;
	struct load_exchange *exchange;
	bool has_replied;
	struct load_conn *prev;
	struct load_conn *next;
};

struct load_exchange {
	struct load_message message;
	char *body;
	load_done_fn done;
	void *arg;
	enum load_result result;
	struct load_exchange *prev;
	struct load_exchange *next;
};

void load_pool_init(struct load_pool *pool, struct event_base *base,
		    int max_conns, int timeout_ms)
{
	memset(pool, 0, sizeof(*pool));
	pool->base = base;
	pool->max_conns = max_conns;
	pool->timeout_ms = timeout_ms;
}

static void free_exchange(struct load_exchange *exchange)
{
	free(exchange->body);
	free(exchange);
}

static void free_conns(struct load_conn **list)
{
	struct load_conn *conn;
	struct load_conn *next;

	DL_FOREACH_SAFE (*list, conn, next) {
		DL_DELETE(*list, conn);
		evhttp_connection_free(conn->http);
		if (conn->exchange)
			free_exchange(conn->exchange);
		free(conn);
	}
}

static void free_target(struct load_target *target)
{
	struct load_exchange *exchange;
	struct load_exchange *next;

	free_conns(&target->idle);
	free_conns(&target->busy);
	DL_FOREACH_SAFE (target->queue, exchange, next) {
		DL_DELETE(target->queue, exchange);
		free_exchange(exchange);
	}
	free(target);
}

void load_pool_finish(struct load_pool *pool)
{
	struct load_target *target;
	struct load_target *next;

	HASH_ITER (hh, pool->targets, target, next) {
		HASH_DEL(pool->targets, target);
		free_target(target);
	}
}

struct load_target *load_pool_target(struct load_pool *pool, const char *name)
{
	struct load_target *target;
	struct address address;

	HASH_FIND_STR(pool->targets, name, target);
	if (target)
		return target;
	if (address_parse(str_from(name), &address))
		return NULL;
	target = mem_zalloc(sizeof(*target));
	target->address = address;
	target->pool = pool;
	address_format(&address, target->name, sizeof(target->name));
	HASH_ADD_STR(pool->targets, name, target);
	return target;
}

static struct load_conn *open_conn(struct load_target *target)
{
	struct load_conn *conn = mem_zalloc(sizeof(*conn));
	int timeout_ms = target->pool->timeout_ms;
	struct timeval tv = {timeout_ms / 1000, timeout_ms % 1000 * 1000};

	conn->target = target;
	conn->http = evhttp_connection_base_new(target->pool->base, NULL,
						target->address.ip,
						target->address.port);
	evhttp_connection_set_timeout_tv(conn->http, &tv);
	target->n_conns++;
	return conn;
}

static struct load_conn *take_conn(struct load_target *target)
{
	struct load_conn *conn = target->idle;

	if (conn) {
		DL_DELETE(target->idle, conn);
		return conn;
	}
	if (target->n_conns >= target->pool->max_conns)
		return NULL;
	return open_conn(target);
}

static void count_result(struct load_target *target,
			 const struct load_reply *reply)
{
	switch (reply->result) {
	case LOAD_RESULT_REPLY:
		target->counts.answers++;
		break;
	case LOAD_RESULT_CONNECT_FAILED:
		target->counts.connect_failures++;
		break;
	case LOAD_RESULT_DISCONNECTED:
		target->counts.cut_off++;
		target->counts.cut_off_reused += reply->reused;
		break;
	case LOAD_RESULT_TIMEOUT:
		target->counts.silent++;
		break;
	}
}

static void start_next(struct load_target *target);

/*
 * evhttp reports a failed connect by a request without a status, and any other
 * failure by a NULL request, after calling the error callback.
 */
static void http_done(struct evhttp_request *req, void *arg)
{
	struct load_conn *conn = arg;
	struct load_target *target = conn->target;
	struct load_exchange *exchange = conn->exchange;
	struct load_reply reply = {.result = exchange->result,
				   .reused = conn->has_replied};

	if (req && !evhttp_request_get_response_code(req)) {
		reply.result = LOAD_RESULT_CONNECT_FAILED;
	} else if (req) {
		struct evbuffer *buf = evhttp_request_get_input_buffer(req);

		reply.result = LOAD_RESULT_REPLY;
		reply.status = evhttp_request_get_response_code(req);
		reply.body.len = evbuffer_get_length(buf);
		reply.body.data = (const char *)evbuffer_pullup(buf, -1);
	}
	if (!reply.body.data)
		reply.body = STR("");
	count_result(target, &reply);
	conn->has_replied = reply.result == LOAD_RESULT_REPLY;
	conn->exchange = NULL;
	DL_DELETE(target->busy, conn);
	DL_PREPEND(target->idle, conn);
	exchange->done(exchange->arg, &reply);
	free_exchange(exchange);
	start_next(target);
}

static void http_failed(enum evhttp_request_error error, void *arg)
{
	struct load_conn *conn = arg;

	conn->exchange->result = error == EVREQ_HTTP_TIMEOUT
					 ? LOAD_RESULT_TIMEOUT
					 : LOAD_RESULT_DISCONNECTED;
}

static struct evhttp_request *make_request(struct load_conn *conn)
{
	const struct load_message *message = &conn->exchange->message;
	struct evhttp_request *req = evhttp_request_new(http_done, conn);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_request_set_error_cb(req, http_failed);
	evhttp_add_header(headers, "Host", conn->target->name);
	if (message->type)
		evhttp_add_header(headers, "Content-Type", message->type);
	evbuffer_add(evhttp_request_get_output_buffer(req), message->body.data,
		     message->body.len);
	return req;
}

static void start_exchange(struct load_conn *conn,
			   struct load_exchange *exchange)
{
	struct load_target *target = conn->target;
	struct evhttp_request *req;

	conn->exchange = exchange;
	exchange->result = LOAD_RESULT_DISCONNECTED;
	DL_APPEND(target->busy, conn);
	target->counts.sent++;
	req = make_request(conn);
	if (!evhttp_make_request(conn->http, req, exchange->message.method,
				 exchange->message.path))
		return;
	http_done(req, conn);
	evhttp_request_free(req);
}

static void start_next(struct load_target *target)
{
	struct load_exchange *exchange = target->queue;
	struct load_conn *conn;

	if (!exchange)
		return;
	conn = take_conn(target);
	if (!conn)
		return;
	DL_DELETE(target->queue, exchange);
	start_exchange(conn, exchange);
}

void load_pool_send(struct load_target *target,
		    const struct load_message *message, load_done_fn done,
		    void *arg)
{
	struct load_exchange *exchange = mem_zalloc(sizeof(*exchange));

	exchange->message = *message;
	exchange->body = mem_dup_len(message->body.data, message->body.len);
	exchange->message.body.data = exchange->body;
	exchange->done = done;
	exchange->arg = arg;
	DL_APPEND(target->queue, exchange);
	start_next(target);
}
