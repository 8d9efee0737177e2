#define LOG_MODULE "inbound"
#include "inbound.h"

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

#include "answer_progress.h"
#include "conn_end.h"
#include "error.h"
#include "log.h"
#include "loop.h"
#include "mem.h"

#define CONNS_MAX 2000
/* Defaults until the routes in force set limits. */
#define HEADER_TIMEOUT MSEC(5000)
#define IDLE_TIMEOUT MSEC(15000)
#define HEADER_SIZE_MAX 16384
#define BODY_SIZE_MAX (1024 * 1024)
/* Maximum size of all requests that are held, and of all responses, bytes. */
#define REQUESTS_SIZE_MAX (64 * 1024 * 1024)
#define ANSWERS_SIZE_MAX (64 * 1024 * 1024)
/*
 * Shorter requests are not refused to make room, and a share of the memory is
 * kept for them, so that they are served while long ones fill the rest.
 */
#define LONG_REQUEST_MIN 4096
#define SHORT_REQUESTS_DIVISOR 4
/* Bytes that are buffered for a caller while its request is processed. */
#define READ_BUFFER_MAX 8192
/* Maximum size of all requests that were sent ahead, bytes. */
#define UNREAD_SIZE_MAX (16 * 1024 * 1024)
#define UNREAD_CHECK_PERIOD_S 1
/* From accepting a connection until its first request has surely arrived. */
#define FIRST_REQUEST_TIME MSEC(200)
/* Time for the caller to close the connection after the last response. */
#define CLOSE_TIMEOUT MSEC(1000)
/* Time to take a response before others may need its memory more. */
#define TAKING_TIME MSEC(1000)

enum inbound_state {
	INBOUND_READING,
	INBOUND_BUSY,	 /* a request is being processed */
	INBOUND_CLOSING, /* the last response is being sent */
};

/**
 * struct inbound_conn - a caller's connection
 * @inbound: owner
 * @bev: owned
 * @timer: for the timeouts of idle, reading and closing connections
 * @message: the request being read or processed
 * @accepted_at: microseconds
 * @waiting_since: when it began to wait for its caller to send a request, to
 *	complete it or to take the response, microseconds
 * @processing: in process(), which a synchronous response must not re-enter
 * @header_timer_armed: @timer limits the duration of the current request
 * @continue_sent: 100 Continue was sent for the current request
 * @sent_too_much: ahead; it is given up next
 * @progress: of what is unsent
 * @held: memory of responses that were not passed to the kernel as a whole
 * @ip: of the caller
 * @request: of inbound_conn_set_request()
 */
struct inbound_conn {
	struct inbound *inbound;
	struct bufferevent *bev;
	struct event *timer;
	struct http_message message;
	enum inbound_state state;
	int64_t accepted_at;
	int64_t waiting_since;
	bool processing;
	bool header_timer_armed;
	bool continue_sent;
	bool sent_too_much;
	struct answer_progress progress;
	size_t held;
	char ip[INET_ADDRSTRLEN];
	void *request;
	struct inbound_conn *prev;
	struct inbound_conn *next;
};

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

static void free_conn(struct inbound_conn *conn)
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

static void count_given_up(struct inbound *inbound, const char *ip,
			   enum inbound_cause cause, size_t unsent)
{
	static const char *const names[INBOUND_CAUSES] = {
		[INBOUND_STALLED] = "stalled",
		[INBOUND_MEMORY] = "memory",
		[INBOUND_AHEAD] = "ahead",
		[INBOUND_REPLACED] = "replaced",
		[INBOUND_NO_PLACE] = "no_place",
	};

	inbound->n_given_up[cause]++;
	if (log_quota_take(&inbound->given_up_log, clock_now(inbound->clock)))
		LOG_WARN("caller_given_up", LOG_TEXT("caller", ip),
			 LOG_TEXT("why", names[cause]),
			 LOG_U64("unsent_bytes", unsent),
			 LOG_U64("given_up", inbound->n_given_up[cause]));
}

/*
 * Ends the connection with a reset, so that the kernel drops what it holds,
 * too. The caller sees that the response is not complete.
 */
static void give_up(struct inbound_conn *conn, enum inbound_cause cause)
{
	static const struct linger reset = {.l_onoff = 1};

	count_given_up(conn->inbound, conn->ip, cause, conn_unsent(conn->bev));
	setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
	free_conn(conn);
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

static void refuse(struct inbound_conn *conn, int status, const char *why)
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
		refuse(conn, HTTP_STATUS_BAD_REQUEST, "syntax");
	else if (message->head_too_large)
		refuse(conn, HTTP_STATUS_REQUEST_HEADER_FIELDS_TOO_LARGE,
		       "header_too_large");
	else
		refuse(conn, HTTP_STATUS_PAYLOAD_TOO_LARGE, "body_too_large");
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

static struct inbound_conn *find_longest(const struct inbound *inbound)
{
	struct inbound_conn *longest = NULL;
	size_t most = LONG_REQUEST_MIN;
	struct inbound_conn *conn;

	DL_FOREACH (inbound->conns, conn) {
		size_t size = http_message_allocated(&conn->message);

		if (conn->state != INBOUND_READING || size < most)
			continue;
		most = size;
		longest = conn;
	}
	return longest;
}

static void refuse_for_memory(struct inbound_conn *conn)
{
	refuse(conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "memory");
	http_message_reset(&conn->message);
}

/* Requests that are being processed keep their memory until the response. */
static void limit_memory(struct inbound *inbound)
{
	const struct http_memory *memory = &inbound->memory;
	struct inbound_conn *conn;

	while (memory->used >
		       memory->max - memory->max / SHORT_REQUESTS_DIVISOR &&
	       (conn = find_longest(inbound)))
		refuse_for_memory(conn);
}

/* Processes the request that was read, unless there is no memory for it. */
static void admit_request(struct inbound_conn *conn)
{
	const struct http_memory *memory = &conn->inbound->memory;

	limit_memory(conn->inbound);
	if (conn->state != INBOUND_READING)
		return;
	if (memory->used > memory->max)
		refuse_for_memory(conn);
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
	limit_memory(conn->inbound);
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

/* Whether its caller may have sent more than the buffer holds. */
static bool is_ahead(const struct inbound_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);

	return conn->state != INBOUND_CLOSING &&
	       evbuffer_get_length(in) >= READ_BUFFER_MAX;
}

static void check_unread_later(struct inbound *inbound)
{
	static const struct timeval period = {UNREAD_CHECK_PERIOD_S, 0};

	if (!evtimer_pending(inbound->unread_timer, NULL))
		evtimer_add(inbound->unread_timer, &period);
}

/* Adds up what callers sent ahead, and counts them. */
static size_t sum_unread(const struct inbound *inbound, size_t *n)
{
	const struct inbound_conn *conn;
	size_t sum = 0;

	*n = 0;
	DL_FOREACH (inbound->conns, conn) {
		if (!is_ahead(conn))
			continue;
		sum += conn_unread(conn->bev);
		++*n;
	}
	return sum;
}

/* Gives up callers who sent no less than the mean, until the rest fits. */
static void on_unread_timer(evutil_socket_t fd, short what, void *arg)
{
	struct inbound *inbound = arg;
	struct inbound_conn *conn;
	size_t n;
	size_t sum = sum_unread(inbound, &n);
	size_t mean = n ? sum / n : 0;

	(void)fd;
	(void)what;
	if (n)
		check_unread_later(inbound);
	DL_FOREACH (inbound->conns, conn) {
		size_t unread = is_ahead(conn) ? conn_unread(conn->bev) : 0;

		if (sum <= inbound->unread_max)
			return;
		if (!unread || unread < mean)
			continue;
		sum -= unread < sum ? unread : sum;
		/* Deferred, as the end of one request may end others. */
		conn->sent_too_much = true;
		event_active(conn->timer, EV_TIMEOUT, 1);
	}
}

static void on_read(struct bufferevent *bev, void *arg)
{
	struct inbound_conn *conn = arg;
	struct evbuffer *in = bufferevent_get_input(bev);

	if (is_ahead(conn))
		check_unread_later(conn->inbound);
	if (conn->state == INBOUND_CLOSING)
		evbuffer_drain(in, evbuffer_get_length(in));
	else if (conn->state == INBOUND_READING)
		process(conn);
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
	free_conn(conn);
}

/*
 * Finds the response that costs most to keep.
 *
 * @min_age: time that its caller must have had, microseconds
 */
static struct inbound_conn *find_costliest(const struct inbound *inbound,
					   int64_t min_age)
{
	int64_t now = clock_now(inbound->clock);
	struct inbound_conn *costliest = NULL;
	struct inbound_conn *conn;
	double most = 0;

	DL_FOREACH (inbound->conns, conn) {
		double cost = answer_progress_cost(&conn->progress, conn->held,
						   conn_unsent(conn->bev), now);

		if (!conn->held || now - conn->progress.since < min_age ||
		    (costliest && cost <= most))
			continue;
		most = cost;
		costliest = conn;
	}
	return costliest;
}

bool inbound_make_room(struct inbound *inbound, size_t size)
{
	const struct http_memory *answers = &inbound->answers;
	struct inbound_conn *conn;

	while (answers->used + size > answers->max &&
	       (conn = find_costliest(inbound, TAKING_TIME)))
		give_up(conn, INBOUND_MEMORY);
	return answers->used + size <= answers->max;
}

static void on_limiter(evutil_socket_t fd, short what, void *arg)
{
	struct inbound *inbound = arg;
	struct inbound_conn *conn;

	(void)fd;
	(void)what;
	while (inbound->answers.used > inbound->answers.max &&
	       (conn = find_costliest(inbound, 0)))
		give_up(conn, INBOUND_MEMORY);
}

/* A slow caller may take its time, as long as it takes something. */
static void look_at_progress(struct inbound_conn *conn)
{
	if (answer_progress_look(&conn->progress, conn_unsent(conn->bev)))
		arm_timer(conn, conn->inbound->idle_timeout);
	else
		give_up(conn, INBOUND_STALLED);
}

static void give_up_ahead(struct inbound_conn *conn)
{
	if (conn->state == INBOUND_BUSY)
		conn->inbound->ops->closed(conn->inbound->arg, conn,
					   conn->request);
	give_up(conn, INBOUND_AHEAD);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct inbound_conn *conn = arg;

	(void)fd;
	(void)what;
	if (conn->sent_too_much)
		give_up_ahead(conn);
	else if (conn->state == INBOUND_READING &&
		 conn->message.state != MESSAGE_EMPTY)
		refuse(conn, HTTP_STATUS_REQUEST_TIMEOUT, "slow");
	else if (conn_unsent(conn->bev))
		look_at_progress(conn);
	else if (conn->state != INBOUND_CLOSING)
		close_gracefully(conn);
	else
		free_conn(conn);
}

/* Whether a request that the kernel holds is about to be read. */
static bool has_next_request(const struct inbound_conn *conn)
{
	return !conn_unsent(conn->bev) &&
	       conn->message.state == MESSAGE_EMPTY &&
	       conn_has_input(conn->bev);
}

/*
 * Finds the connection that has waited longest for its caller. One that sends a
 * response is spared, unless its caller had time to take it, or sends further
 * requests without taking it.
 */
static struct inbound_conn *find_replaceable(const struct inbound *inbound)
{
	int64_t taking = clock_now(inbound->clock) - TAKING_TIME;
	struct inbound_conn *idle = NULL;
	struct inbound_conn *sending = NULL;
	struct inbound_conn *conn;

	DL_FOREACH (inbound->conns, conn) {
		bool unsent = conn_unsent(conn->bev);
		struct inbound_conn **found = unsent ? &sending : &idle;

		if (conn->state == INBOUND_BUSY ||
		    (*found && conn->waiting_since >= (*found)->waiting_since))
			continue;
		if (unsent ? conn->waiting_since > taking &&
				     !conn_has_input(conn->bev)
			   : has_next_request(conn))
			continue;
		*found = conn;
	}
	return idle ? idle : sending;
}

/* What was read of a request has not run: its caller may send it elsewhere. */
static void replace(struct inbound_conn *conn)
{
	if (conn_unsent(conn->bev)) {
		give_up(conn, INBOUND_REPLACED);
		return;
	}
	count_given_up(conn->inbound, conn->ip, INBOUND_REPLACED, 0);
	if (conn->state == INBOUND_READING &&
	    conn->message.state != MESSAGE_EMPTY) {
		refuse(conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "replaced");
		conn_write(conn->bev);
	}
	free_conn(conn);
}

/*
 * Callers that do nothing must not keep others waiting, so that a connection is
 * not left to the kernel's queue. Returns whether there is a place for it.
 */
static bool make_place(struct inbound *inbound)
{
	struct inbound_conn *conn;

	if (inbound->n < inbound->max)
		return true;
	conn = find_replaceable(inbound);
	if (conn)
		replace(conn);
	return conn;
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
	if (!make_place(inbound)) {
		count_given_up(inbound, ip, INBOUND_NO_PLACE, 0);
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
	inbound->memory.max = REQUESTS_SIZE_MAX;
	inbound->answers.max = ANSWERS_SIZE_MAX;
	inbound->unread_max = UNREAD_SIZE_MAX;
	inbound->listener = evconnlistener_new_bind(base, on_accept, inbound,
						    LEV_OPT_CLOSE_ON_FREE |
							    LEV_OPT_REUSEABLE,
						    -1, (struct sockaddr *)&sin,
						    sizeof(sin));
	if (!inbound->listener)
		return ERR_ADDRESS;
	inbound->limiter = evtimer_new(base, on_limiter, inbound);
	event_priority_set(inbound->limiter, LOOP_STATE);
	inbound->unread_timer = evtimer_new(base, on_unread_timer, inbound);
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
		free_conn(conn);
	}
	event_free(inbound->limiter);
	event_free(inbound->unread_timer);
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
			refuse(conn, HTTP_STATUS_SERVICE_UNAVAILABLE,
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
