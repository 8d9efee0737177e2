#define LOG_MODULE "caller"
#include "caller_conn.h"

#include <arpa/inet.h>
#include <stdlib.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utlist.h>

#include "conn_end.h"
#include "log.h"
#include "mem.h"

/* Connections above callers_max that get an error response, not a close. */
#define REFUSED_CONNS_MAX 64
#define HEADERS_MAX_BYTES 65536
/*
 * A body above body_max_bytes is read and discarded up to this multiple, so
 * that the client gets the error response.
 */
#define BODY_DISCARD_FACTOR 16

/* Bytes that are buffered of further requests while one is processed. */
#define READ_BUFFER_MAX 4096
/* No further request is read while more bytes of responses are unsent. */
#define UNSENT_MAX_BYTES 65536
#define UNSENT_CHECK_PERIOD_S 1
/* Requests with shorter bodies have a share of the memory to themselves. */
#define SHORT_BODY_MAX_BYTES 4096
#define SHORT_REQUESTS_DIVISOR 4

/**
 * struct caller_conn - one connection
 * @request_timer: closes the connection if a request takes too long to arrive
 *		   or its response too long to be read
 * @header_bytes: received headers of the current request
 * @body_bytes: received body of the current request
 * @kept_bytes: of them, those that were not discarded
 * @refusal_code: why the current request is refused, or 0
 * @is_refused: the connection exceeds callers_max
 * @held_back: nothing is read until the responses are sent
 * @was_paused: the request was being processed when the timer last expired
 * @prev: in the list of open connections
 * @next: same
 */
struct caller_conn {
	struct caller_conns *conns;
	evhtp_connection_t *evhtp;
	struct event *request_timer;
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint64_t kept_bytes;
	int refusal_code;
	bool is_refused;
	bool held_back;
	bool was_paused;
	struct caller_conn *prev;
	struct caller_conn *next;
};

static void start_request_timer(struct caller_conn *conn)
{
	const struct tunables *tunables =
		blackboard_tunables(conn->conns->board);
	struct timeval tv = {
		tunables->idle_timeout_ms / 1000,
		(tunables->idle_timeout_ms % 1000) * USEC_PER_MSEC,
	};

	evtimer_add(conn->request_timer, &tv);
}

/* Counts received bytes of the current request. */
static void count_received(struct caller_conn *conn, uint64_t *bytes,
			   uint64_t n)
{
	*bytes += n;
	conn->conns->request_bytes += (int64_t)n;
}

/* A share is kept for short requests, which are served beside long ones. */
static bool is_memory_full(const struct caller_conn *conn)
{
	const struct caller_conns *conns = conn->conns;
	int64_t max = blackboard_tunables(conns->board)->request_bytes_max;

	if (conn->body_bytes > SHORT_BODY_MAX_BYTES)
		max -= max / SHORT_REQUESTS_DIVISOR;
	return conns->request_bytes > max;
}

static void release_body(struct caller_conn *conn)
{
	conn->conns->request_bytes -= (int64_t)conn->kept_bytes;
	conn->kept_bytes = 0;
}

static void release_received(struct caller_conn *conn)
{
	release_body(conn);
	conn->conns->request_bytes -= (int64_t)conn->header_bytes;
	conn->header_bytes = 0;
}

static void reset_request(struct caller_conn *conn)
{
	release_received(conn);
	conn->body_bytes = 0;
	conn->refusal_code = conn->is_refused ? ERR_OVERLOAD : 0;
	conn->was_paused = false;
	start_request_timer(conn);
}

static bool is_processing(const struct caller_conn *conn)
{
	return conn->evhtp->flags & EVHTP_CONN_FLAG_PAUSED;
}

/*
 * A client that sends a byte now and then never hits an idle timeout, and a
 * few hundred of them could occupy all connections indefinitely. This timeout
 * therefore covers the whole request, except while it is being processed.
 */
static void on_request_timer(evutil_socket_t fd, short what, void *arg)
{
	struct caller_conn *conn = arg;
	bool paused = is_processing(conn);

	(void)fd;
	(void)what;
	if (!paused && !conn->was_paused) {
		evhtp_connection_free(conn->evhtp);
		return;
	}
	conn->was_paused = paused;
	start_request_timer(conn);
}

/* evhtp_request_set_keepalive(http, 0) of libevhtp 1.2.18 does nothing. */
void caller_conn_close_after(evhtp_request_t *http)
{
	http->flags &= (uint16_t)~EVHTP_REQ_FLAG_KEEPALIVE;
}

static void answer_refused(evhtp_request_t *http, void *arg)
{
	struct caller_conn *conn = arg;

	if (conn->is_refused)
		caller_conn_close_after(http);
	conn->conns->send_refusal(http, conn->refusal_code);
}

static void refuse_request(struct caller_conn *conn, evhtp_request_t *http,
			   int code)
{
	conn->refusal_code = code;
	http->cb = answer_refused;
	http->cbarg = conn;
}

static evhtp_res on_header(evhtp_request_t *http, evhtp_header_t *header,
			   void *arg)
{
	struct caller_conn *conn = arg;

	(void)http;
	count_received(conn, &conn->header_bytes, header->klen + header->vlen);
	return conn->header_bytes > HEADERS_MAX_BYTES ? EVHTP_RES_BADREQ
						      : EVHTP_RES_OK;
}

static evhtp_res on_headers(evhtp_request_t *http, evhtp_headers_t *headers,
			    void *arg)
{
	struct caller_conn *conn = arg;

	(void)headers;
	if (!conn->refusal_code && is_memory_full(conn))
		conn->refusal_code = ERR_OVERLOAD;
	if (conn->refusal_code)
		refuse_request(conn, http, conn->refusal_code);
	return EVHTP_RES_OK;
}

/*
 * Closing while the client still sends would reset the connection, and the
 * client would lose the error response. The body is read to its end and
 * discarded instead.
 */
static evhtp_res on_body(evhtp_request_t *http, struct evbuffer *chunk,
			 void *arg)
{
	struct caller_conn *conn = arg;
	const struct tunables *tunables =
		blackboard_tunables(conn->conns->board);

	conn->body_bytes += evbuffer_get_length(chunk);
	if (conn->body_bytes > (uint64_t)tunables->body_max_bytes)
		refuse_request(conn, http,
			       conn->refusal_code ? conn->refusal_code
						  : ERR_TOO_LARGE);
	else if (!conn->refusal_code && is_memory_full(conn))
		refuse_request(conn, http, ERR_OVERLOAD);
	if (!conn->refusal_code) {
		count_received(conn, &conn->kept_bytes,
			       evbuffer_get_length(chunk));
		return EVHTP_RES_OK;
	}
	release_body(conn);
	evbuffer_drain(chunk, evbuffer_get_length(chunk));
	evbuffer_drain(http->buffer_in, evbuffer_get_length(http->buffer_in));
	return EVHTP_RES_OK;
}

/*
 * A caller that does not take its responses sends no further requests: they are
 * left in its own kernel's buffer.
 */
static void hold_back(struct caller_conn *conn)
{
	static const struct timeval period = {UNSENT_CHECK_PERIOD_S, 0};
	struct event *check = conn->conns->unsent_timer;

	conn->held_back = true;
	bufferevent_disable(conn->evhtp->bev, EV_READ);
	if (!evtimer_pending(check, NULL))
		evtimer_add(check, &period);
}

static evhtp_res on_request_fini(evhtp_request_t *http, void *arg)
{
	struct caller_conn *conn = arg;

	(void)http;
	reset_request(conn);
	if (conn_unsent(conn->evhtp->bev) > UNSENT_MAX_BYTES)
		hold_back(conn);
	return EVHTP_RES_OK;
}

/* All responses were passed to the kernel. */
static evhtp_res on_written(evhtp_connection_t *evhtp, void *arg)
{
	struct caller_conn *conn = arg;

	if (!conn->held_back)
		return EVHTP_RES_OK;
	conn->held_back = false;
	if (!is_processing(conn))
		bufferevent_enable(evhtp->bev, EV_READ);
	return EVHTP_RES_OK;
}

static evhtp_res on_connection_fini(evhtp_connection_t *evhtp, void *arg)
{
	struct caller_conn *conn = arg;

	/* evhtp calls the last request's hook after this one. */
	evhtp_connection_unset_hook(evhtp, evhtp_hook_on_request_fini);
	DL_DELETE(conn->conns->open, conn);
	conn->conns->n_open--;
	release_received(conn);
	event_free(conn->request_timer);
	free(conn);
	return EVHTP_RES_OK;
}

static void set_hooks(struct caller_conn *conn)
{
	const struct {
		evhtp_hook_type type;
		evhtp_hook hook;
	} hooks[] = {
		{evhtp_hook_on_header, (evhtp_hook)on_header},
		{evhtp_hook_on_headers, (evhtp_hook)on_headers},
		{evhtp_hook_on_read, (evhtp_hook)on_body},
		{evhtp_hook_on_request_fini, (evhtp_hook)on_request_fini},
		{evhtp_hook_on_connection_fini, (evhtp_hook)on_connection_fini},
		{evhtp_hook_on_write, (evhtp_hook)on_written},
	};
	size_t i;

	for (i = 0; i < sizeof(hooks) / sizeof(*hooks); i++)
		evhtp_connection_set_hook(conn->evhtp, hooks[i].type,
					  hooks[i].hook, conn);
}

static evhtp_res on_accept(evhtp_connection_t *evhtp, void *arg)
{
	struct caller_conns *conns = arg;
	const struct tunables *tunables = blackboard_tunables(conns->board);
	struct caller_conn *conn;

	if (conns->n_open >= tunables->callers_max + REFUSED_CONNS_MAX)
		return EVHTP_RES_ERROR;
	conn = mem_zalloc(sizeof(*conn));
	conn->conns = conns;
	conn->evhtp = evhtp;
	conn->is_refused = conns->n_open >= tunables->callers_max;
	conn->request_timer =
		evtimer_new(conns->board->base, on_request_timer, conn);
	DL_APPEND(conns->open, conn);
	conns->n_open++;
	evhtp_connection_set_max_body_size(evhtp,
					   (uint64_t)tunables->body_max_bytes *
						   BODY_DISCARD_FACTOR);
	set_hooks(conn);
	bufferevent_setwatermark(evhtp->bev, EV_READ, 0, READ_BUFFER_MAX);
	reset_request(conn);
	return EVHTP_RES_OK;
}

/*
 * Finds the caller with most unsent bytes, and adds up those of all callers.
 */
static struct caller_conn *find_most_unsent(const struct caller_conns *conns,
					    int64_t *sum)
{
	struct caller_conn *found = NULL;
	struct caller_conn *conn;
	size_t most = 0;

	*sum = 0;
	DL_FOREACH (conns->open, conn) {
		size_t unsent = conn_unsent(conn->evhtp->bev);

		*sum += (int64_t)unsent;
		if (unsent <= most)
			continue;
		most = unsent;
		found = conn;
	}
	return found;
}

/* The caller sees that the response is not complete. */
static void give_up(struct caller_conn *conn)
{
	static const struct linger reset = {.l_onoff = 1};
	struct blackboard *board = conn->conns->board;
	struct bufferevent *bev = conn->evhtp->bev;

	metric_inc(&board->counters.callers_given_up);
	if (log_quota_take(&conn->conns->given_up_log, clock_now(board->clock)))
		LOG_WARN("caller_given_up", LOG_TEXT("why", "memory"),
			 LOG_U64("unsent_bytes", conn_unsent(bev)));
	setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
	evhtp_connection_free(conn->evhtp);
}

/* Runs again as long as there are callers that take little. */
static void on_unsent_timer(evutil_socket_t fd, short what, void *arg)
{
	static const struct timeval period = {UNSENT_CHECK_PERIOD_S, 0};
	struct caller_conns *conns = arg;
	const struct tunables *tunables = blackboard_tunables(conns->board);
	struct caller_conn *most;
	int64_t sum;

	(void)fd;
	(void)what;
	while ((most = find_most_unsent(conns, &sum)) &&
	       sum > tunables->answer_bytes_max)
		give_up(most);
	if (sum)
		evtimer_add(conns->unsent_timer, &period);
}

void caller_conns_init(struct caller_conns *conns, struct blackboard *board,
		       evhtp_t *http,
		       void (*send_refusal)(evhtp_request_t *http, int code))
{
	conns->board = board;
	conns->open = NULL;
	conns->n_open = 0;
	conns->request_bytes = 0;
	conns->send_refusal = send_refusal;
	conns->given_up_log = (struct log_quota){0};
	conns->unsent_timer = evtimer_new(board->base, on_unsent_timer, conns);
	evhtp_set_post_accept_cb(http, on_accept, conns);
}

bool caller_conns_are_idle(const struct caller_conns *conns)
{
	const struct caller_conn *conn;

	DL_FOREACH (conns->open, conn) {
		if (conn->evhtp->request || conn_unsent(conn->evhtp->bev) ||
		    conn_has_input(conn->evhtp->bev))
			return false;
	}
	return true;
}

void caller_conns_refuse_partial(struct caller_conns *conns)
{
	struct caller_conn *conn;
	struct caller_conn *next;

	DL_FOREACH_SAFE (conns->open, conn, next) {
		evhtp_request_t *http = conn->evhtp->request;

		if (!http || http->flags & EVHTP_REQ_FLAG_FINISHED ||
		    is_processing(conn))
			continue;
		bufferevent_disable(conn->evhtp->bev, EV_READ);
		caller_conn_close_after(http);
		conns->send_refusal(http, ERR_LEAVING);
	}
}

static void log_answer_cut(const struct caller_conn *conn, size_t unsent)
{
	const struct sockaddr_in *sin =
		(const struct sockaddr_in *)conn->evhtp->saddr;
	struct address caller = {.port = ntohs(sin->sin_port)};
	char text[ADDRESS_TEXT_SIZE];

	inet_ntop(AF_INET, &sin->sin_addr, caller.ip, sizeof(caller.ip));
	address_format(&caller, text, sizeof(text));
	metric_inc(&conn->conns->board->counters.answers_cut);
	LOG_WARN("answer_cut", LOG_TEXT("caller", text),
		 LOG_U64("unsent_bytes", unsent));
}

static void end_conn(struct caller_conn *conn)
{
	struct bufferevent *bev = conn->evhtp->bev;
	size_t unsent = conn_write_last(bev);

	if (unsent)
		log_answer_cut(conn, unsent);
	conn_discard_input(bev);
	evhtp_connection_free(conn->evhtp);
}

void caller_conns_finish(struct caller_conns *conns)
{
	while (conns->open)
		end_conn(conns->open);
	event_free(conns->unsent_timer);
}
