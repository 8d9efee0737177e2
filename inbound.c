#include "inbound_private.h"

#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <utlist.h>

#include "conn_end.h"
#include "error.h"
#include "mem.h"

#define CONNS_MAX 2000
/* Defaults until the routes in force set limits. */
#define HEADER_TIMEOUT MSEC(5000)
#define IDLE_TIMEOUT MSEC(15000)
#define HEADER_SIZE_MAX 16384
#define BODY_SIZE_MAX (1024 * 1024)
/* From accepting a connection until its first request has surely arrived. */
#define FIRST_REQUEST_TIME MSEC(200)
/* Time for the caller to close the connection after the last response. */
#define CLOSE_TIMEOUT MSEC(1000)

/* Counts what was added to the output since it had @before bytes. */
static void hold(struct inbound_conn *conn, size_t before)
{
	struct inbound *inbound = conn->inbound;
	size_t size = conn_unsent(conn->bev) - before;

	conn->held += size;
	inbound->answers.used += size;
	/* Deferred, as connections are freed. */
	if (inbound->answers.used > inbound->answers.max)
		event_active(inbound->limiter, EV_TIMEOUT, 1);
}

static void release_held(struct inbound_conn *conn)
{
	conn->inbound->answers.used -= conn->held;
	conn->held = 0;
}

void inbound_conn_free(struct inbound_conn *conn)
{
	struct inbound *inbound = conn->inbound;

	release_held(conn);
	conn_discard_input(conn->bev);
	DL_DELETE(inbound->conns, conn);
	inbound->n--;
	bufferevent_free(conn->bev);
	event_free(conn->timer);
	http_message_finish(&conn->message);
	free(conn);
}

static void arm_timer(struct inbound_conn *conn, int64_t usec)
{
	struct timeval tv = {usec / USEC_PER_SEC, usec % USEC_PER_SEC};

	evtimer_add(conn->timer, &tv);
}

/* From now on, the caller must take some of what is unsent now and then. */
static void start_sending(struct inbound_conn *conn)
{
	conn->waiting_since = clock_now(conn->inbound->clock);
	answer_progress_start(&conn->progress, conn_unsent(conn->bev),
			      conn->waiting_since);
	arm_timer(conn, conn->inbound->idle_timeout);
}

/*
 * Closing a socket with unread bytes sends a reset, and the caller may lose the
 * response. So only the sending side is shut down, and input is discarded until
 * the caller closes.
 */
static void close_gracefully(struct inbound_conn *conn)
{
	conn->state = INBOUND_CLOSING;
	if (conn_unsent(conn->bev)) {
		start_sending(conn);
		return;
	}
	shutdown(bufferevent_getfd(conn->bev), SHUT_WR);
	arm_timer(conn, CLOSE_TIMEOUT);
}

static bool keeps_alive(const struct inbound_conn *conn)
{
	return conn->message.keep_alive && !conn->message.error &&
	       !conn->inbound->keep_alive_disabled;
}

static void write_head(struct inbound_conn *conn, int status,
		       struct evbuffer *fields, size_t len, bool keep)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);

	evbuffer_add_printf(out, "HTTP/1.1 %d %s\r\n", status,
			    http_status_text(status));
	if (fields)
		evbuffer_add_buffer(out, fields);
	evbuffer_add_printf(out, "Content-Length: %zu\r\n%s\r\n", len,
			    keep ? "" : "Connection: close\r\n");
}

static bool has_body(const struct inbound_conn *conn)
{
	return conn->message.parser.method != HTTP_HEAD;
}

void inbound_conn_refuse(struct inbound_conn *conn, int status, const char *why)
{
	size_t before = conn_unsent(conn->bev);

	conn->inbound->ops->refused(conn->inbound->arg, status, why);
	write_head(conn, status, NULL, 0, false);
	hold(conn, before);
	close_gracefully(conn);
}

static void refuse_error(struct inbound_conn *conn)
{
	const struct http_message *message = &conn->message;

	if (message->error != ERR_TOO_LARGE)
		inbound_conn_refuse(conn, HTTP_STATUS_BAD_REQUEST, "syntax");
	else if (message->head_too_large)
		inbound_conn_refuse(conn,
				    HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE,
				    "header_too_large");
	else
		inbound_conn_refuse(conn, HTTP_STATUS_PAYLOAD_TOO_LARGE,
				    "body_too_large");
}

static void start_request(struct inbound_conn *conn)
{
	conn->state = INBOUND_BUSY;
	conn->header_timer_armed = false;
	conn->continue_sent = false;
	event_del(conn->timer);
	conn->inbound->ops->request(conn->inbound->arg, conn, &conn->message);
}

/* Answers "Expect: 100-continue", sent by callers before a long body. */
static void send_continue(struct inbound_conn *conn)
{
	static const char line[] = "HTTP/1.1 100 Continue\r\n\r\n";

	if (conn->continue_sent || conn->message.state != MESSAGE_BODY ||
	    !http_message_has_field(&conn->message, STR("expect")))
		return;
	conn->continue_sent = true;
	bufferevent_write(conn->bev, line, sizeof(line) - 1);
}

/* Processes the request that was read, unless there is no memory for it. */
static void admit_request(struct inbound_conn *conn)
{
	const struct http_memory *memory = &conn->inbound->memory;

	inbound_limit_requests(conn->inbound);
	if (conn->state != INBOUND_READING)
		return;
	if (memory->used > memory->max)
		inbound_conn_refuse_for_memory(conn);
	else
		start_request(conn);
}

static void process(struct inbound_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	int ret = 1;

	/*
	 * A caller that does not take its responses sends no further requests:
	 * they are left in its own kernel's buffer.
	 */
	conn->processing = true;
	while (ret == 1 && conn->state == INBOUND_READING &&
	       evbuffer_get_length(in) && !conn_unsent(conn->bev)) {
		ret = http_message_read(&conn->message, in);
		if (ret == 1)
			admit_request(conn);
		else if (ret < 0)
			refuse_error(conn);
	}
	conn->processing = false;
	inbound_limit_requests(conn->inbound);
	if (conn->state != INBOUND_READING ||
	    conn->message.state == MESSAGE_EMPTY)
		return;
	send_continue(conn);
	if (conn->header_timer_armed)
		return;
	conn->waiting_since = clock_now(conn->inbound->clock);
	arm_timer(conn, conn->inbound->header_timeout);
	conn->header_timer_armed = true;
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct inbound_conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (conn->state == INBOUND_CLOSING)
		evbuffer_drain(in, evbuffer_get_length(in));
	else if (conn->state == INBOUND_READING)
		process(conn);
	inbound_conn_check_ahead(conn);
}

/* Called once all responses were passed to the kernel. */
static void on_write(struct bufferevent *bev, void *arg)
{
	struct inbound_conn *conn = arg;

	(void)bev;
	release_held(conn);
	if (conn->state == INBOUND_CLOSING) {
		close_gracefully(conn);
	} else if (conn->state == INBOUND_READING) {
		if (conn->message.state == MESSAGE_EMPTY)
			start_sending(conn);
		process(conn);
	}
}

static void on_event(struct bufferevent *bev, short what, void *arg)
{
	struct inbound_conn *conn = arg;

	(void)bev;
	(void)what;
	if (conn->state == INBOUND_BUSY)
		conn->inbound->ops->closed(conn->inbound->arg, conn,
					   conn->request);
	inbound_conn_free(conn);
}

/* A slow caller may take its time, as long as it takes something. */
static void look_at_progress(struct inbound_conn *conn)
{
	if (answer_progress_look(&conn->progress, conn_unsent(conn->bev)))
		arm_timer(conn, conn->inbound->idle_timeout);
	else
		inbound_conn_give_up(conn, INBOUND_STALLED);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct inbound_conn *conn = arg;

	(void)fd;
	(void)what;
	if (conn->sent_too_much)
		inbound_conn_give_up_ahead(conn);
	else if (conn->state == INBOUND_READING &&
		 conn->message.state != MESSAGE_EMPTY)
		inbound_conn_refuse(conn, HTTP_STATUS_REQUEST_TIMEOUT, "slow");
	else if (conn_unsent(conn->bev))
		look_at_progress(conn);
	else if (conn->state != INBOUND_CLOSING)
		close_gracefully(conn);
	else
		inbound_conn_free(conn);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct inbound *inbound = arg;
	struct inbound_conn *conn;
	char ip[INET_ADDRSTRLEN];
	int on = 1;

	(void)listener;
	(void)len;
	inet_ntop(AF_INET, &((struct sockaddr_in *)sa)->sin_addr, ip,
		  sizeof(ip));
	if (!inbound_make_place(inbound)) {
		inbound_count_given_up(inbound, ip, INBOUND_NO_PLACE, 0);
		evutil_closesocket(fd);
		return;
	}
	conn = mem_zalloc(sizeof(*conn));
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	conn->inbound = inbound;
	conn->accepted_at = clock_now(inbound->clock);
	conn->waiting_since = conn->accepted_at;
	memcpy(conn->ip, ip, sizeof(ip));
	http_message_init(&conn->message, HTTP_REQUEST, &inbound->limits);
	conn->message.memory = &inbound->memory;
	conn->timer = evtimer_new(inbound->base, on_timer, conn);
	conn->bev = bufferevent_socket_new(inbound->base, fd,
					   BEV_OPT_CLOSE_ON_FREE);
	bufferevent_setcb(conn->bev, on_read, on_write, on_event, conn);
	bufferevent_setwatermark(conn->bev, EV_READ, 0, READ_BUFFER_MAX);
	DL_APPEND(inbound->conns, conn);
	inbound->n++;
	arm_timer(conn, inbound->idle_timeout);
	bufferevent_enable(conn->bev, EV_READ | EV_WRITE);
}

static void on_accept_error(struct evconnlistener *listener, void *arg)
{
	struct inbound *inbound = arg;

	(void)listener;
	accept_backoff_start(&inbound->guard);
}

int inbound_init(struct inbound *inbound, struct event_base *base,
		 const struct clock *clock, const struct address *address,
		 const struct inbound_ops *ops, void *arg)
{
	struct sockaddr_in sin = address_sockaddr(address);

	memset(inbound, 0, sizeof(*inbound));
	inbound->base = base;
	inbound->clock = clock;
	inbound->ops = ops;
	inbound->arg = arg;
	inbound->max = CONNS_MAX;
	inbound->header_timeout = HEADER_TIMEOUT;
	inbound->idle_timeout = IDLE_TIMEOUT;
	inbound->limits.head = HEADER_SIZE_MAX;
	inbound->limits.body = BODY_SIZE_MAX;
	inbound->listener = evconnlistener_new_bind(base, on_accept, inbound,
						    LEV_OPT_CLOSE_ON_FREE |
							    LEV_OPT_REUSEABLE,
						    -1, (struct sockaddr *)&sin,
						    sizeof(sin));
	if (!inbound->listener)
		return ERR_ADDRESS;
	inbound_limits_init(inbound);
	accept_backoff_init(&inbound->guard, base, inbound->listener);
	evconnlistener_set_error_cb(inbound->listener, on_accept_error);
	return 0;
}

/* Connections that wait to be accepted are reset when the socket is closed. */
static void accept_waiting(struct inbound *inbound)
{
	int listening = evconnlistener_get_fd(inbound->listener);
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);
	int fd;
	int i;

	/* No more than there is place for, however fast they come. */
	for (i = 0; i < inbound->max; i++) {
		fd = accept4(listening, (struct sockaddr *)&sin, &len,
			     SOCK_NONBLOCK | SOCK_CLOEXEC);
		if (fd < 0)
			return;
		on_accept(inbound->listener, fd, (struct sockaddr *)&sin,
			  (int)len, inbound);
	}
}

static void stop_listening(struct inbound *inbound)
{
	if (!inbound->listener)
		return;
	accept_backoff_finish(&inbound->guard);
	evconnlistener_free(inbound->listener);
	inbound->listener = NULL;
}

void inbound_finish(struct inbound *inbound)
{
	struct inbound_conn *conn;
	struct inbound_conn *next;
	size_t unsent;

	stop_listening(inbound);
	DL_FOREACH_SAFE (inbound->conns, conn, next) {
		unsent = conn_write_last(conn->bev);
		if (unsent)
			inbound->ops->answer_cut(inbound->arg, conn,
						 &conn->message, unsent);
		inbound_conn_free(conn);
	}
	inbound_limits_finish(inbound);
}

void inbound_set_limits(struct inbound *inbound,
			const struct caller_limits *limits)
{
	inbound->limits.head = (size_t)limits->header_bytes_max;
	inbound->limits.body = (size_t)limits->body_bytes_max;
	inbound->header_timeout = MSEC(limits->header_timeout_ms);
	inbound->idle_timeout = MSEC(limits->idle_timeout_ms);
}

void inbound_disable_keep_alive(struct inbound *inbound)
{
	inbound->keep_alive_disabled = true;
}

/* A partly read request is still completed and answered. */
static bool is_idle(const struct inbound_conn *conn)
{
	int64_t age = clock_now(conn->inbound->clock) - conn->accepted_at;

	return conn->state == INBOUND_READING &&
	       conn->message.state == MESSAGE_EMPTY &&
	       age >= FIRST_REQUEST_TIME && !conn_has_input(conn->bev);
}

int inbound_close_idle(struct inbound *inbound)
{
	struct inbound_conn *conn;
	struct inbound_conn *next;
	int busy = 0;

	if (inbound->listener)
		accept_waiting(inbound);
	stop_listening(inbound);
	DL_FOREACH_SAFE (inbound->conns, conn, next) {
		if (is_idle(conn))
			close_gracefully(conn);
		else if (conn->state != INBOUND_CLOSING)
			busy++;
		else if (conn_unsent(conn->bev))
			busy++;
	}
	return busy;
}

bool inbound_has_unsent(const struct inbound *inbound)
{
	const struct inbound_conn *conn;

	DL_FOREACH (inbound->conns, conn) {
		if (conn_unsent(conn->bev))
			return true;
	}
	return false;
}

void inbound_refuse_partial(struct inbound *inbound)
{
	struct inbound_conn *conn;
	struct inbound_conn *next;

	DL_FOREACH_SAFE (inbound->conns, conn, next) {
		if (conn->state == INBOUND_READING &&
		    conn->message.state != MESSAGE_EMPTY)
			inbound_conn_refuse(conn,
					    HTTP_STATUS_SERVICE_UNAVAILABLE,
					    "leaving");
	}
}

void inbound_conn_set_request(struct inbound_conn *conn, void *request)
{
	conn->request = request;
}

int64_t inbound_conn_rtt(const struct inbound_conn *conn)
{
	struct tcp_info info = {.tcpi_rtt = 0};
	socklen_t len = sizeof(info);

	if (getsockopt(bufferevent_getfd(conn->bev), IPPROTO_TCP, TCP_INFO,
		       &info, &len))
		return 0;
	return info.tcpi_rtt;
}

const char *inbound_conn_ip(const struct inbound_conn *conn)
{
	return conn->ip;
}

/* The response was written. */
static void end_request(struct inbound_conn *conn, bool keep, size_t before)
{
	hold(conn, before);
	conn->request = NULL;
	if (!keep) {
		close_gracefully(conn);
		return;
	}
	http_message_reset(&conn->message);
	conn->state = INBOUND_READING;
	start_sending(conn);
	if (!conn->processing)
		process(conn);
}

void inbound_respond(struct inbound_conn *conn, int status,
		     struct evbuffer *fields, struct str body)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	size_t before = evbuffer_get_length(out);
	bool keep = keeps_alive(conn);

	write_head(conn, status, fields, body.len, keep);
	if (has_body(conn))
		evbuffer_add(out, body.data, body.len);
	end_request(conn, keep, before);
}

static void free_body(const void *data, size_t len, void *arg)
{
	(void)data;
	(void)len;
	free(arg);
}

void inbound_respond_owned(struct inbound_conn *conn, int status,
			   struct evbuffer *fields, char *body, size_t len)
{
	struct evbuffer *out = bufferevent_get_output(conn->bev);
	size_t before = evbuffer_get_length(out);
	bool keep = keeps_alive(conn);

	write_head(conn, status, fields, len, keep);
	if (!len || !has_body(conn) ||
	    evbuffer_add_reference(out, body, len, free_body, body))
		free(body);
	end_request(conn, keep, before);
}
