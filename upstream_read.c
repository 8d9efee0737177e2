/* Reading of answers, and of what comes in their place. */
#define LOG_MODULE "upstream"
#include "upstream_private.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utlist.h>

#include "error.h"
#include "log.h"

/* A server that is asked for its health and pauses for less is not silent. */
#define HEALTH_TIMEOUT MSEC(250)
/* A slow server answers late, and its answer still tells that it reads. */
#define QUIET_TIMEOUT MSEC(1000)
/* Shorter answers are not given up to make room. */
#define GIVEN_UP_SIZE_MIN 65536
/* Interim responses and answers to earlier requests before the answer. */
#define SKIPPED_MAX 16

void upstream_conn_expect_answer(struct upstream_conn *conn)
{
	conn->message.no_body = conn->exchange->is_head;
	conn->message.records_max = conn->exchange->records_max;
}

/*
 * Skips a message that is not the answer, which is still to come.
 *
 * Return: 0; or ERR_PROTOCOL if too many were skipped.
 */
static int expect_next_message(struct upstream_conn *conn)
{
	if (++conn->n_skipped > SKIPPED_MAX)
		return ERR_PROTOCOL;
	http_message_reset(&conn->message);
	if (conn->exchange)
		upstream_conn_expect_answer(conn);
	return 0;
}

/*
 * Drops a repeated answer to an earlier request, as told by its id. The answer
 * to the current request is still to come.
 */
static int drop_other_answer(struct upstream_conn *conn)
{
	const struct upstream_header_names *names = conn->upstream->names;

	conn->upstream->foreign++;
	conn->foreign = true;
	LOG_INFO("foreign_answer", LOG_TEXT("server", conn->server->entry.id),
		 LOG_STR("request", upstream_header(conn, names->request_id)),
		 LOG_I64("status", conn->message.parser.status_code));
	if (!conn->message.keep_alive || conn->message.until_close)
		return ERR_LOST;
	return expect_next_message(conn);
}

static void observe_answer(const struct upstream *upstream,
			   struct registry_server *server, int code,
			   int64_t sent_at)
{
	const struct upstream_observer *observer = upstream->observer;

	if (!observer)
		return;
	if (code == ERR_FOREIGN)
		observer->replaced(upstream->observer_arg, server);
	else
		observer->answered(upstream->observer_arg, server, sent_at);
}

void upstream_conn_ask_for_health(struct upstream_conn *conn)
{
	const struct registry_server *server = conn->server;

	evbuffer_add_printf(bufferevent_get_output(conn->bev),
			    "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n",
			    server->service->health_path,
			    server->entry.address.ip);
	conn->state = CONN_BUSY;
	conn->asked_at = clock_now(conn->upstream->clock);
	upstream_conn_set_timer(conn,
				conn->quiet ? QUIET_TIMEOUT : HEALTH_TIMEOUT);
}

/* Any status is a sign of life; the id tells whose. */
static int handle_health(struct upstream_conn *conn)
{
	struct registry_server *server = registry_server_ref(conn->server);
	struct upstream *upstream = conn->upstream;
	struct str id = upstream_header(conn, upstream->names->instance_id);
	bool replaced = id.len && !str_eq_text(id, server->entry.id);
	int64_t asked_at = conn->asked_at;

	event_del(conn->timer);
	conn->asked_at = 0;
	conn->quiet = false;
	if (replaced)
		server->gone = true;
	else
		unread_sends_answered(server, asked_at,
				      clock_now(upstream->clock));
	observe_answer(upstream, server, replaced ? ERR_FOREIGN : 0, asked_at);
	upstream_conn_keep_or_close(conn);
	upstream_notify_released(upstream, server);
	return 1;
}

void upstream_conn_end_asked(struct upstream_conn *conn)
{
	struct registry_server *server = registry_server_ref(conn->server);
	struct upstream *upstream = conn->upstream;
	bool quiet = conn->quiet;

	upstream_conn_free(conn);
	if (!quiet)
		upstream_notify_broken(upstream, server);
	upstream_notify_released(upstream, server);
}

int upstream_conn_handle_message(struct upstream_conn *conn)
{
	struct exchange_result result = {.code = 0};
	struct upstream *upstream = conn->upstream;
	struct registry_server *server;
	int64_t sent_at;

	/* What would follow belongs to a protocol that nobody asked for. */
	if (conn->message.parser.status_code == HTTP_STATUS_SWITCHING_PROTOCOLS)
		return ERR_PROTOCOL;
	if (conn->message.parser.status_code / 100 == 1)
		return expect_next_message(conn);
	if (conn->asked_at)
		return handle_health(conn);
	if (upstream_is_other_answer(conn))
		return drop_other_answer(conn);
	upstream_read_answer(conn, &result);
	if (result.code == ERR_FOREIGN)
		conn->server->gone = true;
	event_del(conn->timer);
	server = registry_server_ref(conn->server);
	sent_at = conn->exchange->sent_at;
	upstream_conn_end_exchange(conn, &result);
	observe_answer(upstream, server, result.code, sent_at);
	upstream_conn_keep_or_close(conn);
	upstream_notify_released(upstream, server);
	return 1;
}

static struct upstream_conn *find_longest(const struct upstream *upstream)
{
	struct upstream_conn *longest = NULL;
	size_t most = GIVEN_UP_SIZE_MIN;
	struct upstream_conn *conn;

	DL_FOREACH2(upstream->conns, conn, next_open)
	{
		size_t size = http_message_allocated(&conn->message);

		if (!conn->exchange || size < most)
			continue;
		most = size;
		longest = conn;
	}
	return longest;
}

/*
 * Servers in trouble send without end, each up to the limit of an answer. All
 * of them together must not exceed the memory, or the process is killed and
 * every request with it. Honest answers are rarely the longest ones then.
 */
static void limit_memory(struct upstream *upstream)
{
	struct upstream_conn *conn;

	while (upstream->memory.used > upstream->memory.max &&
	       (conn = find_longest(upstream))) {
		upstream->given_up++;
		LOG_WARN("answer_given_up",
			 LOG_TEXT("server", conn->server->entry.id),
			 LOG_TEXT("service", conn->server->entry.service),
			 LOG_U64("bytes",
				 http_message_allocated(&conn->message)),
			 LOG_U64("all_bytes", upstream->memory.used));
		upstream_conn_fail(conn, ERR_PROTOCOL);
	}
}

void upstream_conn_read(struct upstream_conn *conn)
{
	struct evbuffer *in = bufferevent_get_input(conn->bev);
	struct upstream *upstream = conn->upstream;
	int ret = 0;

	/* Bytes on an idle connection belong to no request. */
	if (!conn->exchange && !conn->asked_at) {
		upstream_conn_free(conn);
		return;
	}
	while (!ret && evbuffer_get_length(in)) {
		ret = http_message_read(&conn->message, in);
		if (!ret) {
			limit_memory(upstream);
			return;
		}
		ret = ret < 0 ? ERR_PROTOCOL
			      : upstream_conn_handle_message(conn);
	}
	if (ret < 0 && conn->asked_at)
		upstream_conn_end_asked(conn);
	else if (ret < 0)
		upstream_conn_fail(conn, ret);
}
