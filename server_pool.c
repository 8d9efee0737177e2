#define LOG_MODULE "server_pool"
#include "server_pool.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <utlist.h>

#include "log.h"
#include "mem.h"

#define ABANDON_GRACE_MS 250
/* Limit for requests that need no slot: holdings and cancellations. */
#define CONTROL_TIMEOUT_MS 2000
/*
 * Longer than any request: requests are ended by the timers here, not by
 * evhttp's.
 */
#define IO_TIMEOUT_S 3600
#define ANSWER_MAX_BYTES (64 * 1024 * 1024)
#define RETRY_AFTER_MAX_MS 60000

enum conn_state {
	CONN_IDLE,
	CONN_BUSY,
	CONN_ABANDONED, /* answer not needed, the server still works on it */
	CONN_DEAD,	/* to be freed by the reaper */
};

/**
 * struct server_conn - one connection
 * @pool: the pool that contains it
 * @http: its evhttp connection, owned
 * @state: see enum conn_state
 * @connected: the connection is established, as far as known
 * @sending: a request is being passed to evhttp
 * @failed: evhttp called back with a failure while @sending
 * @error: error that evhttp reported for the current request, or 0
 * @done: callback of the current request, or NULL
 * @arg: passed to @done
 * @connect_timer: fails the request if no connection is made in time
 * @answer_timer: fails the request if no answer arrives in time
 * @requested_at: when the last request was started, microseconds
 * @answered_at: when the last answer arrived, microseconds
 * @prev: in the pool's list
 * @next: in the pool's list
 */
struct server_conn {
	struct server_pool *pool;
	struct evhttp_connection *http;
	enum conn_state state;
	bool connected;
	bool sending;
	bool failed;
	int error;
	server_reply_cb done;
	void *arg;
	struct event *connect_timer;
	struct event *answer_timer;
	int64_t requested_at;
	int64_t answered_at;
	struct server_conn *prev;
	struct server_conn *next;
};

static void free_conn(struct server_conn *conn)
{
	struct server_pool *pool = conn->pool;

	DL_DELETE(pool->conns, conn);
	pool->n_conns--;
	event_free(conn->connect_timer);
	event_free(conn->answer_timer);
	evhttp_connection_set_closecb(conn->http, NULL, NULL);
	evhttp_connection_free(conn->http);
	free(conn);
}

/* An evhttp connection must not be freed from inside its own callbacks. */
static void reap(evutil_socket_t fd, short what, void *arg)
{
	struct server_pool *pool = arg;
	struct server_conn *conn;
	struct server_conn *next;

	(void)fd;
	(void)what;
	DL_FOREACH_SAFE (pool->conns, conn, next) {
		bool surplus =
			conn->state == CONN_IDLE && pool->n_conns > pool->max;

		if (conn->state == CONN_DEAD || surplus)
			free_conn(conn);
	}
}

static void schedule_reap(struct server_pool *pool)
{
	event_active(pool->reaper, EV_TIMEOUT, 1);
}

void server_pool_init(struct server_pool *pool, struct blackboard *board,
		      const struct address *address, uint32_t max)
{
	memset(pool, 0, sizeof(*pool));
	pool->board = board;
	pool->address = *address;
	pool->max = max;
	address_format(address, pool->host, sizeof(pool->host));
	pool->reaper = evtimer_new(board->base, reap, pool);
}

void server_pool_finish(struct server_pool *pool)
{
	struct server_conn *conn;
	struct server_conn *next;

	server_pool_end_probe(pool);
	DL_FOREACH_SAFE (pool->conns, conn, next) {
		conn->done = NULL;
		conn->state = CONN_DEAD;
		free_conn(conn);
	}
	event_free(pool->reaper);
}

void server_pool_set_max(struct server_pool *pool, uint32_t max)
{
	pool->max = max;
	schedule_reap(pool);
}

static void on_close(struct evhttp_connection *http, void *arg)
{
	struct server_conn *conn = arg;

	(void)http;
	conn->connected = false;
}

static void on_error(enum evhttp_request_error error, void *arg)
{
	struct server_conn *conn = arg;

	conn->error = error == EVREQ_HTTP_TIMEOUT ? ERR_SILENT : ERR_LOST;
}

static int code_of_status(int status)
{
	switch (status) {
	case 200:
	case 304:
		return 0;
	case 400:
		return ERR_BAD_REQUEST;
	case 404:
		return ERR_NOT_HELD;
	case 409:
		return ERR_WRONG_VERSION;
	case 429:
		return ERR_NO_SLOT;
	case 499:
		return ERR_CANCELLED;
	case 503:
		return ERR_SHED;
	case 504:
		return ERR_TOO_LATE;
	default:
		return ERR_PROTOCOL;
	}
}

static uint32_t retry_after(const struct evkeyvalq *headers)
{
	const char *text = evhttp_find_header(headers, "Retry-After-Ms");
	uint64_t ms;

	if (!text || str_parse_u64(str_from(text), &ms))
		return 0;
	return ms < RETRY_AFTER_MAX_MS ? (uint32_t)ms : RETRY_AFTER_MAX_MS;
}

/*
 * evhttp treats the end of the connection as the end of a body without length,
 * so a body truncated by a crash would be accepted. The protocol requires a
 * length. A coding other than chunked has none, and leaves another body.
 */
static bool has_length(const struct evkeyvalq *headers)
{
	const char *coding = evhttp_find_header(headers, "Transfer-Encoding");

	if (coding)
		return !strcasecmp(coding, "chunked");
	return evhttp_find_header(headers, "Content-Length");
}

static void fill_reply(struct server_conn *conn, struct evhttp_request *request,
		       struct server_reply *reply)
{
	struct evkeyvalq *headers;

	memset(reply, 0, sizeof(*reply));
	reply->sent = true;
	if (!request) {
		reply->code = conn->error ? conn->error : ERR_LOST;
		return;
	}
	reply->status = evhttp_request_get_response_code(request);
	if (!reply->status) {
		/*
		 * evhttp passes a request without status if connecting failed.
		 */
		reply->code = ERR_CONNECT;
		reply->sent = false;
		return;
	}
	headers = evhttp_request_get_input_headers(request);
	reply->code = code_of_status(reply->status);
	reply->retry_after_ms = retry_after(headers);
	if (evhttp_find_header(headers, "X-Draining"))
		reply->code = ERR_DRAINING;
	if (reply->status == HTTP_OK && !has_length(headers))
		reply->code = ERR_PROTOCOL;
	reply->etag = evhttp_find_header(headers, "ETag");
	reply->body = evhttp_request_get_input_buffer(request);
}

static bool has_socket(const struct server_conn *conn)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn->http);

	return bufferevent_getfd(bev) >= 0;
}

static void on_answer(struct evhttp_request *request, void *arg)
{
	struct server_conn *conn = arg;
	struct server_pool *pool = conn->pool;
	server_reply_cb done = conn->done;
	struct server_reply reply;

	/* Callers must not get a result before the send call returned. */
	if (conn->sending) {
		conn->failed = true;
		return;
	}
	if (conn->state == CONN_DEAD)
		done = NULL;
	fill_reply(conn, request, &reply);
	conn->connected = reply.status && has_socket(conn);
	if (reply.status)
		conn->answered_at = clock_now(pool->board->clock);
	conn->done = NULL;
	evtimer_del(conn->connect_timer);
	evtimer_del(conn->answer_timer);
	/* Don't reuse a broken connection: evhttp would reconnect it. */
	conn->state = reply.status && reply.code != ERR_PROTOCOL ? CONN_IDLE
								 : CONN_DEAD;
	if (conn->state == CONN_DEAD || pool->n_conns > pool->max)
		schedule_reap(pool);
	if (done)
		done(conn->arg, &reply);
}

static void fail_request(struct server_conn *conn,
			 const struct server_reply *reply)
{
	server_reply_cb done = conn->done;

	conn->state = CONN_DEAD;
	conn->done = NULL;
	schedule_reap(conn->pool);
	if (done)
		done(conn->arg, reply);
}

/*
 * The server did not answer a cancellation, or a request that needs no slot:
 * the connection may be dead. Closing it frees its place in the share.
 */
static void on_answer_timeout(evutil_socket_t fd, short what, void *arg)
{
	static const struct server_reply reply = {.code = ERR_SILENT,
						  .sent = true};

	(void)fd;
	(void)what;
	fail_request(arg, &reply);
}

static bool is_connected(const struct server_conn *conn)
{
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn->http);
	struct sockaddr_storage peer;
	socklen_t len = sizeof(peer);

	return !getpeername(bufferevent_getfd(bev), (struct sockaddr *)&peer,
			    &len);
}

/*
 * evhttp has a single timeout for connecting, reading and writing. This timer
 * covers only connecting, so that requests may take longer. No byte of the
 * request was sent without a connection.
 */
static void on_connect_timeout(evutil_socket_t fd, short what, void *arg)
{
	static const struct server_reply reply = {.code = ERR_CONNECT};

	(void)fd;
	(void)what;
	if (!is_connected(arg))
		fail_request(arg, &reply);
}

static struct server_conn *open_conn(struct server_pool *pool)
{
	struct server_conn *conn = mem_zalloc(sizeof(*conn));
	conn->pool = pool;
	conn->http = evhttp_connection_base_new(pool->board->base, NULL,
						pool->address.ip,
						pool->address.port);
	evhttp_connection_set_timeout(conn->http, IO_TIMEOUT_S);
	evhttp_connection_set_retries(conn->http, 0);
	evhttp_connection_set_max_body_size(conn->http, ANSWER_MAX_BYTES);
	evhttp_connection_set_closecb(conn->http, on_close, conn);
	conn->connect_timer =
		evtimer_new(pool->board->base, on_connect_timeout, conn);
	conn->answer_timer =
		evtimer_new(pool->board->base, on_answer_timeout, conn);
	DL_APPEND(pool->conns, conn);
	pool->n_conns++;
	return conn;
}

/* Prefers an idle connection that is open to one that has to connect. */
static struct server_conn *acquire_conn(struct server_pool *pool)
{
	struct server_conn *closed = NULL;
	struct server_conn *conn;

	DL_FOREACH (pool->conns, conn) {
		if (conn->state != CONN_IDLE)
			continue;
		if (conn->connected)
			return conn;
		closed = conn;
	}
	if (!closed && pool->n_conns >= pool->max)
		return NULL;
	metric_inc(&pool->board->counters.server_connects);
	return closed ? closed : open_conn(pool);
}

static struct evhttp_request *new_request(struct server_conn *conn,
					  server_reply_cb done, void *arg)
{
	struct evhttp_request *request = evhttp_request_new(on_answer, conn);

	evhttp_request_set_error_cb(request, on_error);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  conn->pool->host);
	conn->state = CONN_BUSY;
	conn->error = 0;
	conn->failed = false;
	conn->done = done;
	conn->arg = arg;
	return request;
}

static void start_timer(struct event *timer, int64_t ms)
{
	struct timeval tv = {ms / 1000, (ms % 1000) * USEC_PER_MSEC};

	evtimer_add(timer, &tv);
}

/*
 * Without free descriptors, connecting fails at once: evhttp calls back before
 * evhttp_make_request() returns, and has released the request.
 */
static int send_request(struct server_conn *conn,
			struct evhttp_request *request,
			enum evhttp_cmd_type method, const char *path)
{
	struct server_pool *pool = conn->pool;
	int ret;

	conn->sending = true;
	ret = evhttp_make_request(conn->http, request, method, path);
	conn->sending = false;
	if (!ret && !conn->failed) {
		if (!conn->connected)
			start_timer(conn->connect_timer,
				    blackboard_tunables(pool->board)
					    ->connect_timeout_ms);
		return 0;
	}
	/* evhttp removed it from its list, but did not free it. */
	if (ret)
		evhttp_request_free(request);
	conn->state = CONN_DEAD;
	conn->done = NULL;
	schedule_reap(pool);
	return ERR_CONNECT;
}

int server_pool_get(struct server_pool *pool, const char *path,
		    const char *etag, server_reply_cb done, void *arg)
{
	struct server_conn *conn = acquire_conn(pool);
	struct evhttp_request *request;
	int ret;

	if (!conn)
		return ERR_NO_SLOT;
	request = new_request(conn, done, arg);
	if (etag && *etag)
		evhttp_add_header(evhttp_request_get_output_headers(request),
				  "If-None-Match", etag);
	ret = send_request(conn, request, EVHTTP_REQ_GET, path);
	if (!ret)
		start_timer(conn->answer_timer, CONTROL_TIMEOUT_MS);
	return ret;
}

static void add_message(struct evbuffer *out, const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	struct evbuffer_iovec space;

	if (!len ||
	    evbuffer_reserve_space(out, (ev_ssize_t)len, &space, 1) != 1)
		return;
	space.iov_len = protobuf_c_message_pack(message, space.iov_base);
	evbuffer_commit_space(out, &space, 1);
}

static int post(struct server_conn *conn, const char *path,
		const ProtobufCMessage *message, server_reply_cb done,
		void *arg)
{
	struct evhttp_request *request = new_request(conn, done, arg);

	conn->requested_at = clock_now(conn->pool->board->clock);
	evhttp_add_header(evhttp_request_get_output_headers(request),
			  "Content-Type", "application/x-protobuf");
	add_message(evhttp_request_get_output_buffer(request), message);
	return send_request(conn, request, EVHTTP_REQ_POST, path);
}

int server_pool_post(struct server_pool *pool, const char *path,
		     const ProtobufCMessage *message, server_reply_cb done,
		     void *arg, void **handle)
{
	struct server_conn *conn = acquire_conn(pool);
	int ret;

	if (!conn)
		return ERR_NO_SLOT;
	ret = post(conn, path, message, done, arg);
	if (!ret && handle)
		*handle = conn;
	return ret;
}

bool server_pool_is_connected(const struct server_pool *pool)
{
	const struct server_conn *conn;

	DL_FOREACH (pool->conns, conn) {
		if (conn->state != CONN_DEAD && is_connected(conn))
			return true;
	}
	return false;
}

static void on_probed(void *arg, enum crash_evidence evidence)
{
	struct server_pool *pool = arg;

	server_pool_end_probe(pool);
	pool->probe_done(pool->probe_arg, evidence);
}

int server_pool_probe(struct server_pool *pool, connect_probe_cb done,
		      void *arg)
{
	struct server_conn *place = acquire_conn(pool);
	int ret;

	if (!place)
		return ERR_NO_SLOT;
	ret = connect_probe_start(&pool->probe, pool->board->base,
				  &pool->address, 0, on_probed, pool);
	if (ret)
		return ret;
	place->state = CONN_BUSY;
	pool->probe_place = place;
	pool->probe_done = done;
	pool->probe_arg = arg;
	return 0;
}

void server_pool_end_probe(struct server_pool *pool)
{
	if (!pool->probe_place)
		return;
	connect_probe_finish(&pool->probe);
	pool->probe_place->state = CONN_IDLE;
	pool->probe_place = NULL;
	schedule_reap(pool);
}

static void ignore_reply(void *arg, const struct server_reply *reply)
{
	(void)arg;
	(void)reply;
}

static void send_cancel(struct server_pool *pool, const char *request_id)
{
	Backend__CancelRequest message = BACKEND__CANCEL_REQUEST__INIT;
	struct server_conn *conn = acquire_conn(pool);

	if (!conn)
		return;
	message.request_id = (char *)request_id;
	metric_inc(&pool->board->counters.server_cancels);
	if (!post(conn, "/v1/cancel", &message.base, ignore_reply, NULL))
		start_timer(conn->answer_timer, CONTROL_TIMEOUT_MS);
}

void server_pool_abandon(struct server_pool *pool, void *handle,
			 const char *request_id)
{
	struct server_conn *conn = handle;

	if (conn->state != CONN_BUSY)
		return;
	conn->state = CONN_ABANDONED;
	start_timer(conn->answer_timer, ABANDON_GRACE_MS);
	if (request_id)
		send_cancel(pool, request_id);
}

void server_pool_close_stalled(struct server_pool *pool, void *handle)
{
	struct server_conn *stalled = handle;
	struct server_conn *conn;

	if (stalled->state != CONN_BUSY)
		return;
	DL_FOREACH (pool->conns, conn) {
		if (conn->state == CONN_IDLE &&
		    conn->answered_at < stalled->requested_at)
			conn->state = CONN_DEAD;
	}
	on_answer_timeout(-1, 0, stalled);
	schedule_reap(pool);
}
