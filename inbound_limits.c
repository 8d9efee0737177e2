/*
 * Limits on all callers together: who is refused, cut off or has to make place
 * when memory or connections run short.
 */
#define LOG_MODULE "inbound"
#include "inbound_private.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <sys/socket.h>
#include <utlist.h>

#include "conn_end.h"
#include "log.h"
#include "loop.h"

/* Maximum size of all requests that are held, and of all responses, bytes. */
#define REQUESTS_SIZE_MAX (64 * 1024 * 1024)
#define ANSWERS_SIZE_MAX (64 * 1024 * 1024)
/* Maximum size of all requests that were sent ahead, bytes. */
#define UNREAD_SIZE_MAX (16 * 1024 * 1024)
/*
 * Shorter requests are not refused to make room, and a share of the memory is
 * kept for them, so that they are served while long ones fill the rest.
 */
#define LONG_REQUEST_MIN 4096
#define SHORT_REQUESTS_DIVISOR 4
#define UNREAD_CHECK_PERIOD_S 1
/* Time to take a response before others may need its memory more. */
#define TAKING_TIME MSEC(1000)
/* Who needs longer at its pace makes room for others' responses. */
#define SLOW_TIME_LEFT MSEC(10000)
/* Shorter responses are let in beside long ones, which have a share less. */
#define SHORT_RESPONSE_MAX 65536
#define SHORT_RESPONSES_DIVISOR 4

void inbound_count_given_up(struct inbound *inbound, const char *ip,
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

void inbound_conn_give_up(struct inbound_conn *conn, enum inbound_cause cause)
{
	static const struct linger reset = {.l_onoff = 1};

	inbound_count_given_up(conn->inbound, conn->ip, cause,
			       conn_unsent(conn->bev));
	setsockopt(bufferevent_getfd(conn->bev), SOL_SOCKET, SO_LINGER, &reset,
		   sizeof(reset));
	inbound_conn_free(conn);
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

void inbound_conn_refuse_for_memory(struct inbound_conn *conn)
{
	inbound_conn_refuse(conn, HTTP_STATUS_SERVICE_UNAVAILABLE, "memory");
	http_message_reset(&conn->message);
}

void inbound_limit_requests(struct inbound *inbound)
{
	const struct http_memory *memory = &inbound->memory;
	struct inbound_conn *conn;

	while (memory->used >
		       memory->max - memory->max / SHORT_REQUESTS_DIVISOR &&
	       (conn = find_longest(inbound)))
		inbound_conn_refuse_for_memory(conn);
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

void inbound_conn_check_ahead(struct inbound_conn *conn)
{
	if (is_ahead(conn))
		check_unread_later(conn->inbound);
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

/* Whether its caller had time to take the response, and took little. */
static bool is_slow(const struct inbound_conn *conn, int64_t now)
{
	return now - conn->progress.since >= TAKING_TIME &&
	       answer_progress_time_left(&conn->progress,
					 conn_unsent(conn->bev),
					 now) > SLOW_TIME_LEFT;
}

/* Finds the response that costs most to keep, of all or of the slow ones. */
static struct inbound_conn *find_costliest(const struct inbound *inbound,
					   bool slow_only)
{
	int64_t now = clock_now(inbound->clock);
	struct inbound_conn *costliest = NULL;
	struct inbound_conn *conn;
	double most = 0;

	DL_FOREACH (inbound->conns, conn) {
		double cost = answer_progress_cost(&conn->progress, conn->held,
						   conn_unsent(conn->bev), now);

		if (!conn->held || (slow_only && !is_slow(conn, now)) ||
		    (costliest && cost <= most))
			continue;
		most = cost;
		costliest = conn;
	}
	return costliest;
}

bool inbound_make_room(struct inbound *inbound, size_t size, size_t expected)
{
	const struct http_memory *answers = &inbound->answers;
	size_t max = answers->max;
	struct inbound_conn *conn;

	/* In calm, a response of any size is let in. */
	if (!answers->used && !expected)
		return true;
	if (size > SHORT_RESPONSE_MAX) {
		max -= max / SHORT_RESPONSES_DIVISOR;
		size += expected;
	}
	while (answers->used + size > max &&
	       (conn = find_costliest(inbound, true)))
		inbound_conn_give_up(conn, INBOUND_MEMORY);
	return answers->used + size <= max;
}

static void on_limiter(evutil_socket_t fd, short what, void *arg)
{
	struct inbound *inbound = arg;
	struct inbound_conn *conn;

	(void)fd;
	(void)what;
	while (inbound->answers.used > inbound->answers.max &&
	       (conn = find_costliest(inbound, false)))
		inbound_conn_give_up(conn, INBOUND_MEMORY);
}

void inbound_conn_give_up_ahead(struct inbound_conn *conn)
{
	if (conn->state == INBOUND_BUSY)
		conn->inbound->ops->closed(conn->inbound->arg, conn,
					   conn->request);
	inbound_conn_give_up(conn, INBOUND_AHEAD);
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
		inbound_conn_give_up(conn, INBOUND_REPLACED);
		return;
	}
	inbound_count_given_up(conn->inbound, conn->ip, INBOUND_REPLACED, 0);
	if (conn->state == INBOUND_READING &&
	    conn->message.state != MESSAGE_EMPTY) {
		inbound_conn_refuse(conn, HTTP_STATUS_SERVICE_UNAVAILABLE,
				    "replaced");
		conn_write(conn->bev);
	}
	inbound_conn_free(conn);
}

bool inbound_make_place(struct inbound *inbound)
{
	struct inbound_conn *conn;

	if (inbound->n < inbound->max)
		return true;
	conn = find_replaceable(inbound);
	if (conn)
		replace(conn);
	return conn;
}

void inbound_limits_init(struct inbound *inbound)
{
	inbound->memory.max = REQUESTS_SIZE_MAX;
	inbound->answers.max = ANSWERS_SIZE_MAX;
	inbound->unread_max = UNREAD_SIZE_MAX;
	inbound->limiter = evtimer_new(inbound->base, on_limiter, inbound);
	event_priority_set(inbound->limiter, LOOP_STATE);
	inbound->unread_timer =
		evtimer_new(inbound->base, on_unread_timer, inbound);
}

void inbound_limits_finish(struct inbound *inbound)
{
	event_free(inbound->limiter);
	event_free(inbound->unread_timer);
}
