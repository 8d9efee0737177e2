/* Interpretation of backend servers' answers. */
#define LOG_MODULE "upstream"
#include "upstream_private.h"

#include <string.h>

#include "error.h"
#include "log.h"

#define STATUS_MISDIRECTED 421
/* Maximum idle time, also used without a Keep-Alive header. */
#define IDLE_MAX MSEC(4000)
/* Connections are closed this long before the server's own idle time-out. */
#define IDLE_MARGIN MSEC(300)
/* Only so many malformed load headers are logged; all are counted. */
#define BAD_LOADS_LOGGED_MAX 20

struct str upstream_header(const struct upstream_conn *conn, struct str name)
{
	return http_message_field(&conn->message, name);
}

bool upstream_is_other_answer(const struct upstream_conn *conn)
{
	struct str id =
		upstream_header(conn, conn->upstream->names->request_id);
	struct str own = {conn->exchange->id, conn->exchange->id_len};

	return id.len && !str_eq(id, own);
}

int64_t upstream_idle_limit(const struct upstream_conn *conn)
{
	static const char key[] = "timeout=";
	struct str value = upstream_header(conn, STR("keep-alive"));
	const char *at = memmem(value.data, value.len, key, sizeof(key) - 1);
	int64_t limit = 0;

	if (!at)
		return IDLE_MAX;
	for (at += sizeof(key) - 1; at < value.data + value.len && *at >= '0' &&
				    *at <= '9' && limit < 3600;
	     at++)
		limit = limit * 10 + (*at - '0');
	limit = limit * USEC_PER_SEC - IDLE_MARGIN;
	if (limit < 0)
		return 0;
	return limit < IDLE_MAX ? limit : IDLE_MAX;
}

static void read_load(struct upstream_conn *conn)
{
	struct upstream *upstream = conn->upstream;
	struct str text = upstream_header(conn, upstream->names->load);
	int ret;

	if (!text.len)
		return;
	ret = server_load_parse(text, &conn->server->load);
	if (!ret) {
		conn->server->load.at = clock_now(upstream->clock);
		return;
	}
	if (upstream->bad_loads++ < BAD_LOADS_LOGGED_MAX)
		LOG_WARN("server_load_refused",
			 LOG_TEXT("server", conn->server->entry.id),
			 LOG_TEXT("error", error_name(ret)),
			 LOG_U64("bytes", text.len));
}

static void read_cold(struct upstream_conn *conn)
{
	struct upstream *upstream = conn->upstream;
	uint64_t ms;

	if (!str_parse_u64(upstream_header(conn, upstream->names->cold), &ms) &&
	    ms && ms <= UINT32_MAX)
		registry_set_cold(conn->server, MSEC((int64_t)ms),
				  clock_now(upstream->clock));
}

void upstream_read_answer(struct upstream_conn *conn,
			  struct exchange_result *result)
{
	const struct upstream_header_names *names = conn->upstream->names;
	int status = conn->message.parser.status_code;

	result->message = &conn->message;
	result->stamp = upstream_header(conn, names->stamp);
	/* Another server's headers say nothing about this one. */
	if (status != STATUS_MISDIRECTED) {
		read_load(conn);
		read_cold(conn);
	}
	if (status == STATUS_MISDIRECTED) {
		result->code = ERR_FOREIGN;
		result->not_run = true;
	} else if (http_message_has_field(&conn->message, names->not_run)) {
		result->code = ERR_SHED;
		result->not_run = true;
	} else if (http_message_has_field(&conn->message,
					  STR("content-encoding")) ||
		   (status / 100 == 2 && !result->stamp.len)) {
		result->code = ERR_PROTOCOL;
	}
}
