#define LOG_MODULE "upstream"
#include "upstream_private.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <utlist.h>

#include "error.h"
#include "log.h"
#include "mem.h"
#include "server_timing.h"

#define CONNECT_TIMEOUT MSEC(250)
/* Callers give up at the deadline; the exchange times out this much later. */
#define ANSWER_TIMEOUT_MARGIN MSEC(10)
/*
 * A crashing server resets all its connections and may be back, cold, before
 * any instance has failed to connect. It is presumed cold until its new entry
 * is known here: written within 1.2 s and distributed within as much again.
 */
#define SUSPECTED_RESTART_COLD_TIME MSEC(2500)
/* Maximum size of an answer, bytes. */
#define ANSWER_HEAD_MAX 65536
#define ANSWER_BODY_MAX (8 * 1024 * 1024)
/* Bytes on the wire: chunks may be small, but not for as long as they come. */
#define ANSWER_STREAM_MAX (2 * ANSWER_BODY_MAX)
/* Maximum size of all answers that are being read, bytes. */
#define ANSWERS_SIZE_MAX (64 * 1024 * 1024)

void upstream_init(struct upstream *upstream, struct event_base *base,
		   const struct clock *clock,
		   const struct upstream_header_names *names)
{
	memset(upstream, 0, sizeof(*upstream));
	upstream->base = base;
	upstream->clock = clock;
	upstream->names = names;
	upstream->limits.share_local = 1;
	upstream->limits.share_remote = 1;
	upstream->limits.connect_timeout = CONNECT_TIMEOUT;
	upstream->answer_limits.head = ANSWER_HEAD_MAX;
	upstream->answer_limits.body = ANSWER_BODY_MAX;
	upstream->answer_limits.stream = ANSWER_STREAM_MAX;
	upstream->memory.max = ANSWERS_SIZE_MAX;
}

void upstream_conn_set_timer(struct upstream_conn *conn, int64_t usec)
{
	struct timeval tv = {usec / USEC_PER_SEC, usec % USEC_PER_SEC};

	evtimer_add(conn->timer, &tv);
}

void upstream_conn_free(struct upstream_conn *conn)
{
	DL_DELETE(conn->server->conns, conn);
	DL_DELETE2(conn->upstream->conns, conn, prev_open, next_open);
	conn->server->n_conns--;
	bufferevent_free(conn->bev);
	event_free(conn->timer);
	http_message_finish(&conn->message);
	registry_server_unref(conn->server);
	free(conn);
}

static void free_exchange(struct exchange *exchange)
{
	if (exchange->out)
		evbuffer_free(exchange->out);
	if (exchange->memory)
		exchange->memory->used -= exchange->copied;
	delivery_end(exchange->delivery, false);
	free(exchange->id);
	free(exchange);
}

static void record_result(struct upstream_conn *conn,
			  const struct exchange_result *result)
{
	int64_t now = clock_now(conn->upstream->clock);
	bool success =
		!result->code && result->message->parser.status_code <
					 HTTP_STATUS_INTERNAL_SERVER_ERROR;

	server_timing_result(conn->server,
			     server_result_of(result->code, success),
			     result->took, now);
}

static void record_delivery(struct upstream_conn *conn,
			    struct exchange *exchange,
			    const struct exchange_result *result)
{
	int64_t now = clock_now(conn->upstream->clock);

	if (result->message)
		unread_sends_answered(conn->server, exchange->sent_at, now);
	unread_sends_end(conn->server, exchange->delivery,
			 delivery_outcome_of(result->code, result->not_run),
			 exchange->sent_at, now);
	exchange->delivery = NULL;
}

/* Ends the exchange but not the connection. */
void upstream_conn_end_exchange(struct upstream_conn *conn,
				struct exchange_result *result)
{
	struct exchange *exchange = conn->exchange;

	if (!exchange)
		return;
	conn->exchange = NULL;
	result->took = clock_now(conn->upstream->clock) - exchange->sent_at;
	record_result(conn, result);
	record_delivery(conn, exchange, result);
	if (exchange->ended)
		exchange->ended(exchange->ended_arg, result);
	if (!exchange->abandoned)
		exchange->cb(exchange->arg, result);
	free_exchange(exchange);
}

void upstream_notify_broken(struct upstream *upstream,
			    struct registry_server *server)
{
	if (upstream->observer)
		upstream->observer->broke(upstream->observer_arg, server);
}

static void observe_connected(struct upstream *upstream,
			      struct registry_server *server,
			      enum crash_evidence evidence)
{
	if (upstream->observer)
		upstream->observer->connected(upstream->observer_arg, server,
					      evidence);
}

void upstream_notify_released(struct upstream *upstream,
			      struct registry_server *server)
{
	if (upstream->on_released)
		upstream->on_released(upstream->on_released_arg, server);
	registry_server_unref(server);
}

/*
 * Makes the kernel drop what it has not delivered, when the connection is
 * closed. It would go on to repeat it for minutes, and the server would get a
 * request that ended here long ago.
 */
static void drop_undelivered(struct upstream_conn *conn)
{
	const struct linger linger = {.l_onoff = 1};

	setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
}

void upstream_conn_fail(struct upstream_conn *conn, int code)
{
	struct registry_server *server = registry_server_ref(conn->server);
	struct exchange_result result = {.code = code};
	struct upstream *upstream = conn->upstream;

	if (conn->exchange && !conn->exchange->written) {
		result.code = code == ERR_TOO_LATE ? code : ERR_CONNECT;
		result.not_run = true;
	}
	if (delivery_outcome_of(result.code, result.not_run) ==
	    DELIVERY_UNKNOWN)
		drop_undelivered(conn);
	upstream_conn_end_exchange(conn, &result);
	upstream_conn_free(conn);
	upstream_notify_released(upstream, server);
}

void upstream_conn_keep_or_close(struct upstream_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	bool keep = conn->message.keep_alive && !conn->message.until_close;

	/*
	 * Bytes after the answer belong to no request. If the server answered
	 * before it received the whole request, it would read the rest as the
	 * next request.
	 */
	if (!keep || conn->foreign || evbuffer_get_length(in) ||
	    evbuffer_get_length(out) || !registry_is_open(conn->server)) {
		upstream_conn_free(conn);
		return;
	}
	conn->idle_for = upstream_idle_limit(conn);
	conn->idle_since = clock_now(conn->upstream->clock);
	conn->state = CONN_IDLE;
	http_message_reset(&conn->message);
	if (conn->idle_for <= 0)
		upstream_conn_free(conn);
	else
		upstream_conn_set_timer(conn, conn->idle_for);
}

static void on_readable(struct bufferevent *bev, void *arg)
{
	(void)bev;
	upstream_conn_read(arg);
}

/* The server is told the time that is left in whole milliseconds. */
static bool has_time_left(int64_t left)
{
	return left >= USEC_PER_MSEC;
}

/*
 * Can't fail: it also runs within upstream_send(), which must not call back.
 *
 * @left: until the deadline, microseconds
 */
static void write_request(struct upstream_conn *conn, int64_t left)
{
	const struct upstream_header_names *names = conn->upstream->names;
	struct exchange *exchange = conn->exchange;
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	conn->state = CONN_BUSY;
	conn->n_skipped = 0;
	upstream_conn_expect_answer(conn);
	evbuffer_remove_buffer(exchange->out, out, exchange->head_len);
	evbuffer_add_printf(out, STR_FMT ": %lld\r\n" STR_FMT ": %s\r\n\r\n",
			    STR_ARG(names->deadline),
			    (long long)(left / USEC_PER_MSEC),
			    STR_ARG(names->server_id), conn->server->entry.id);
	evbuffer_add_buffer(out, exchange->out);
	exchange->written = true;
	upstream_conn_set_timer(conn, left + ANSWER_TIMEOUT_MARGIN);
}

/* Return: whether the connection was opened by upstream_check(). */
static bool end_check(struct upstream_conn *conn, enum crash_evidence evidence)
{
	if (!conn->is_check)
		return false;
	conn->is_check = false;
	if (conn->check)
		conn->check(conn->check_arg, evidence);
	return true;
}

/* The server may have started to drain, or become cold, while connecting. */
static int check_may_write(const struct upstream_conn *conn)
{
	const struct exchange *exchange = conn->exchange;

	if (!exchange || exchange->abandoned)
		return ERR_CANCELLED;
	if (exchange->counted_cold)
		return registry_is_open(conn->server) ? 0 : ERR_DRAINING;
	return upstream_may_send(conn->upstream, conn->server);
}

/* Treats a server as cold before its entry says so. */
static void presume_cold(struct registry_server *server, int64_t cold_for,
			 int64_t now, const char *why)
{
	if (registry_set_cold(server, cold_for, now) &&
	    registry_is_cold(server, now))
		LOG_INFO("server_presumed_cold",
			 LOG_TEXT("server", server->entry.id),
			 LOG_TEXT("service", server->entry.service),
			 LOG_TEXT("why", why),
			 LOG_I64("for_ms", cold_for / USEC_PER_MSEC));
}

/* Called from the event loop, unlike upstream_send(). */
static void write_or_fail(struct upstream_conn *conn)
{
	int64_t left =
		conn->exchange->deadline - clock_now(conn->upstream->clock);

	if (has_time_left(left))
		write_request(conn, left);
	else
		upstream_conn_fail(conn, ERR_TOO_LATE);
}

static void on_connected(struct upstream_conn *conn)
{
	struct exchange_result result = {.not_run = true};
	struct upstream *upstream = conn->upstream;
	struct registry_server *server;

	event_del(conn->timer);
	if (conn->server->score.unreachable)
		presume_cold(conn->server,
			     conn->server->service->warmup.cold_for,
			     clock_now(conn->upstream->clock), "reached_again");
	observe_connected(upstream, conn->server, CRASH_EVIDENCE_LISTENS);
	result.code = check_may_write(conn);
	if (!result.code) {
		write_or_fail(conn);
		return;
	}
	/* Nothing is sent, and the connection is kept. */
	server = registry_server_ref(conn->server);
	upstream_conn_end_exchange(conn, &result);
	end_check(conn, CRASH_EVIDENCE_LISTENS);
	if (conn->ask && server->service->health_path) {
		upstream_conn_ask_for_health(conn);
		registry_server_unref(server);
		return;
	}
	conn->message.keep_alive = true;
	upstream_conn_keep_or_close(conn);
	upstream_notify_released(upstream, server);
}

static void fail_connect(struct upstream_conn *conn, int code,
			 enum crash_evidence evidence)
{
	struct registry_server *server = registry_server_ref(conn->server);
	struct upstream *upstream = conn->upstream;

	if (end_check(conn, evidence))
		upstream_conn_free(conn);
	/* Without an exchange: inside open_conn(), which frees it. */
	else if (conn->exchange)
		upstream_conn_fail(conn, code);
	observe_connected(upstream, server, evidence);
	registry_server_unref(server);
}

/* The server closed or reset an open connection. */
static void end_broken(struct upstream_conn *conn, bool in_order)
{
	int ret = 0;

	if (!conn->exchange) {
		upstream_conn_free(conn);
		return;
	}
	/* Without a length, only an orderly close marks the end. */
	if (in_order && http_message_eof(&conn->message) == 1)
		ret = upstream_conn_handle_message(conn);
	if (ret <= 0)
		upstream_conn_fail(conn, ret ? ret : ERR_LOST);
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct upstream_conn *conn = arg;
	struct upstream *upstream = conn->upstream;
	struct registry_server *server;

	(void)bev;
	if (what & BEV_EVENT_CONNECTED) {
		on_connected(conn);
		return;
	}
	if (conn->state == CONN_CONNECTING) {
		fail_connect(conn, ERR_CONNECT,
			     crash_evidence_of(EVUTIL_SOCKET_ERROR()));
		return;
	}
	if (conn->quiet && conn->asked_at) {
		upstream_conn_end_asked(conn);
		return;
	}
	if (what & BEV_EVENT_ERROR && conn->server->n_conns == 1)
		presume_cold(conn->server, SUSPECTED_RESTART_COLD_TIME,
			     clock_now(upstream->clock),
			     "all_connections_reset");
	server = registry_server_ref(conn->server);
	end_broken(conn, what & BEV_EVENT_EOF);
	upstream_notify_broken(upstream, server);
	registry_server_unref(server);
}

static void log_silent(const struct upstream_conn *conn)
{
	const struct exchange *exchange = conn->exchange;

	LOG_INFO("server_silent", LOG_TEXT("server", conn->server->entry.id),
		 LOG_STR("request",
			 ((struct str){exchange->id, exchange->id_len})),
		 LOG_TEXT("state", conn->state == CONN_CONNECTING ? "connecting"
								  : "waiting"));
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct upstream_conn *conn = arg;

	(void)fd;
	(void)what;
	if (conn->exchange) {
		conn->upstream->silent++;
		log_silent(conn);
	}
	if (conn->state == CONN_CONNECTING)
		fail_connect(conn, ERR_SILENT, CRASH_EVIDENCE_UNREACHED);
	else if (conn->exchange)
		upstream_conn_fail(conn, ERR_SILENT);
	else if (conn->asked_at)
		upstream_conn_end_asked(conn);
	else
		upstream_conn_free(conn);
}

static struct upstream_conn *open_conn(struct upstream *upstream,
				       struct registry_server *server)
{
	struct sockaddr_in sin = address_sockaddr(&server->entry.address);
	struct upstream_conn *conn = mem_zalloc(sizeof(*conn));
	int on = 1;

	conn->upstream = upstream;
	conn->server = registry_server_ref(server);
	conn->state = CONN_CONNECTING;
	conn->timer = evtimer_new(upstream->base, on_timer, conn);
	http_message_init(&conn->message, HTTP_RESPONSE,
			  &upstream->answer_limits);
	conn->message.memory = &upstream->memory;
	conn->bev = bufferevent_socket_new(upstream->base, -1,
					   BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(conn->bev, on_readable, NULL, on_event, conn);
	DL_APPEND(server->conns, conn);
	DL_APPEND2(upstream->conns, conn, prev_open, next_open);
	server->n_conns++;
	upstream->opened++;
	if (bufferevent_socket_connect(conn->bev, (struct sockaddr *)&sin,
				       sizeof(sin))) {
		upstream_conn_free(conn);
		return NULL;
	}
	setsockopt(bufferevent_getfd(conn->bev), IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
	return conn;
}

static struct exchange *new_exchange(struct upstream *upstream,
				     const struct upstream_request *request,
				     int64_t deadline, exchange_cb cb,
				     void *arg)
{
	struct exchange *exchange = mem_zalloc(sizeof(*exchange));

	exchange->out = evbuffer_new();
	evbuffer_add(exchange->out, request->head.data, request->head.len);
	exchange->copied = request->head.len;
	if (request->shared) {
		shared_body_write(request->shared, exchange->out);
	} else {
		evbuffer_add(exchange->out, request->body.data,
			     request->body.len);
		exchange->copied += request->body.len;
	}
	exchange->memory = request->memory;
	if (exchange->memory)
		exchange->memory->used += exchange->copied;
	exchange->head_len = request->head.len;
	exchange->id = mem_dup_len(request->id.data, request->id.len);
	exchange->id_len = request->id.len;
	exchange->is_head = request->is_head;
	exchange->records_max = request->records_max;
	exchange->sent_at = clock_now(upstream->clock);
	exchange->deadline = deadline;
	exchange->cb = cb;
	exchange->arg = arg;
	return exchange;
}

int upstream_send(struct upstream *upstream, struct registry_server *server,
		  const struct upstream_request *request, int64_t deadline,
		  int64_t connections_max, exchange_cb cb, void *arg,
		  struct exchange **out)
{
	struct upstream_conn *conn =
		upstream_find_idle(upstream, server,
				   request->needs_recent_conn);
	int64_t now = clock_now(upstream->clock);
	bool cold = registry_is_cold(server, now);
	int64_t left = deadline - now;
	int ret;

	if (!has_time_left(left))
		return ERR_TOO_LATE;
	if (!conn && !upstream_may_open(upstream, server, connections_max))
		return ERR_BUDGET;
	ret = upstream_may_send(upstream, server);
	if (ret)
		return ret;
	if (!conn) {
		conn = open_conn(upstream, server);
		if (!conn)
			return ERR_CONNECT;
	}
	conn->exchange = new_exchange(upstream, request, deadline, cb, arg);
	conn->exchange->conn = conn;
	conn->exchange->counted_cold = cold;
	*out = conn->exchange;
	server_score_sent(&server->score, conn->exchange->sent_at);
	if (conn->state == CONN_IDLE)
		write_request(conn, left);
	else
		upstream_conn_set_timer(conn, upstream->limits.connect_timeout);
	return 0;
}

void exchange_on_end(struct exchange *exchange, exchange_cb ended, void *arg)
{
	exchange->ended = ended;
	exchange->ended_arg = arg;
}

void exchange_abandon(struct exchange *exchange, int64_t linger,
		      struct delivery *delivery)
{
	struct upstream_conn *conn = exchange->conn;

	exchange->abandoned = true;
	exchange->delivery = delivery_add(delivery);
	/* While connecting, the connect time-out applies. */
	if (exchange->written)
		upstream_conn_set_timer(conn, linger);
}

static void cancel_exchange(struct upstream_conn *conn)
{
	static const struct exchange_result cancelled = {
		.code = ERR_CANCELLED,
		.stamp = STR(""),
	};
	struct exchange *exchange = conn->exchange;

	if (exchange->written)
		drop_undelivered(conn);
	if (exchange->ended)
		exchange->ended(exchange->ended_arg, &cancelled);
	free_exchange(exchange);
}

void upstream_finish(struct upstream *upstream)
{
	while (upstream->conns) {
		struct upstream_conn *conn = upstream->conns;

		if (conn->exchange)
			cancel_exchange(conn);
		end_check(conn, CRASH_EVIDENCE_LISTENS);
		upstream_conn_free(conn);
	}
}

int upstream_check(struct upstream *upstream, struct registry_server *server,
		   bool ask, upstream_check_cb cb, void *arg)
{
	struct upstream_conn *conn = open_conn(upstream, server);

	if (!conn)
		return ERR_CONNECT;
	conn->is_check = true;
	conn->ask = ask;
	conn->check = cb;
	conn->check_arg = arg;
	upstream_conn_set_timer(conn, upstream->limits.connect_timeout);
	return 0;
}

int upstream_ask(struct upstream *upstream, struct registry_server *server)
{
	struct upstream_conn *conn;

	if (!server->service->health_path || server->gone)
		return ERR_NO_REPLICA;
	conn = open_conn(upstream, server);
	if (!conn)
		return ERR_CONNECT;
	conn->is_check = true;
	conn->ask = true;
	conn->quiet = true;
	upstream_conn_set_timer(conn, upstream->limits.connect_timeout);
	return 0;
}

void exchange_set_timeout(struct exchange *exchange, int64_t timeout)
{
	if (exchange->written)
		upstream_conn_set_timer(exchange->conn, timeout);
}

void upstream_close_idle(struct registry_server *server)
{
	struct upstream_conn *conn;
	struct upstream_conn *next;

	DL_FOREACH_SAFE (server->conns, conn, next) {
		if (conn->state == CONN_IDLE)
			upstream_conn_free(conn);
	}
}
