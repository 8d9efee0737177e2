#define LOG_MODULE "request"
#include "gateway_request.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <utlist.h>

#include "crash_watch.h"
#include "error.h"
#include "log.h"
#include "mem.h"

/* Without routes or servers: they come within about a second of a start. */
#define START_RETRY_MS 500
/* A loser of a hedge, or of a caller that left, may still end by itself. */
#define LINGER MSEC(300)
/* To a relay and back, and what both take for it. */
#define RELAY_WAY MSEC(6)
#define RELAY_FLUSH_LEAST MSEC(4)

/* An answer of a server, kept while something better may come. */
struct kept_answer {
	int status;
	struct evbuffer *fields;
	char *body;
	size_t body_len;
};

struct gateway_request {
	struct gateway *gateway;
	struct inbound_conn *conn;
	struct route_set *routes;
	const struct route *route;
	struct dispatch dispatch;
	struct upstream_request request;
	struct evbuffer *head;
	struct event *timer;
	struct kept_answer kept;
	struct relay_client relay;
	uint64_t fingerprint;
	struct gateway_request *prev;
	struct gateway_request *next;
};

static void free_request(struct gateway_request *request)
{
	DL_DELETE(request->gateway->open, request);
	dispatch_finish(&request->dispatch);
	relay_client_finish(&request->gateway->relay_ask, &request->relay);
	route_set_unref(request->routes);
	evbuffer_free(request->head);
	event_free(request->timer);
	if (request->kept.fields)
		evbuffer_free(request->kept.fields);
	free(request->kept.body);
	free(request);
}

static void answer_with(struct inbound_conn *conn, int status,
			int64_t retry_after_ms, const char *why)
{
	struct evbuffer *fields = evbuffer_new();
	char body[128];
	int len = snprintf(body, sizeof(body), "{\"error\":\"%s\"}\n", why);

	evbuffer_add_printf(fields, "Content-Type: application/json\r\n");
	if (retry_after_ms)
		evbuffer_add_printf(fields, "Retry-After: %.3f\r\n",
				    (double)retry_after_ms / 1000);
	inbound_answer(conn, status, fields, (struct str){body, (size_t)len});
	evbuffer_free(fields);
}

/* The log of a request's end: all that decided it. */
static void log_end(const struct gateway_request *request, int status)
{
	const struct dispatch *dispatch = &request->dispatch;
	struct gateway *gateway = request->gateway;
	int64_t took = clock_now(&gateway->clock) - dispatch->start;

	metric_histogram_add(&gateway->counters.request_time.histogram, took);
	LOG_INFO("request", LOG_STR("request", request->request.id),
		 LOG_TEXT("route", request->route->name
					   ? request->route->name
					   : request->route->prefix),
		 LOG_U64("routes_version", request->routes->version),
		 LOG_I64("routes_age_ms",
			 store_sync_routes_age(&gateway->sync) / USEC_PER_MSEC),
		 LOG_I64("status", status), LOG_I64("took_us", took),
		 LOG_I64("left_us",
			 dispatch->deadline - clock_now(&gateway->clock)),
		 LOG_I64("parts", dispatch->n_parts),
		 LOG_I64("parts_in", dispatch->n_in),
		 LOG_I64("sends", dispatch->n_sends),
		 LOG_I64("extra", dispatch->n_extra),
		 LOG_TEXT("error", error_name(dispatch->code)));
}

/* Why a shard is not in an answer: where it was sent, and since when. */
static void log_missing(const struct gateway_request *request)
{
	const struct dispatch *dispatch = &request->dispatch;
	int64_t now = clock_now(&request->gateway->clock);
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		const struct dispatch_part *part = &dispatch->parts[i];
		const struct dispatch_send *last =
			&part->sends[part->n_sends > 0 ? part->n_sends - 1 : 0];

		if (part->state == PART_IN)
			continue;
		LOG_INFO("part_missing",
			 LOG_STR("request", request->request.id),
			 LOG_TEXT("service", part->service->name),
			 LOG_I64("sends", part->n_sends),
			 LOG_TEXT("server",
				  part->n_sends ? last->server->entry.id : "-"),
			 LOG_I64("relayed", last->relayed),
			 LOG_I64("waited_us",
				 part->n_sends ? now - last->sent_at : 0),
			 LOG_TEXT("error", error_name(part->code)),
			 LOG_F64("budget", part->service->budget.tokens));
	}
}

static void answer_parts(struct gateway_request *request)
{
	const struct gateway_names *names = request->gateway->names;
	struct dispatch *dispatch = &request->dispatch;
	struct evbuffer *fields = evbuffer_new();
	const char *comma = "";
	int i;

	evbuffer_add_printf(fields,
			    "Content-Type: application/octet-stream\r\n" STR_FMT
			    ": ",
			    STR_ARG(names->part_stamps));
	for (i = 0; i < dispatch->n_parts; i++) {
		if (!dispatch->parts[i].stamp)
			continue;
		evbuffer_add_printf(fields, "%s%s", comma,
				    dispatch->parts[i].stamp);
		comma = ", ";
	}
	evbuffer_add_printf(fields, "\r\n" STR_FMT ": %d\r\n",
			    STR_ARG(names->parts_missing),
			    dispatch->n_parts - dispatch->n_in);
	log_end(request, HTTP_STATUS_OK);
	log_missing(request);
	inbound_answer(request->conn, HTTP_STATUS_OK, fields,
		       (struct str){dispatch->records.bytes,
				    (size_t)dispatch->records.n * RECORD_SIZE});
	evbuffer_free(fields);
}

/*
 * These say that the request did not run. A server that does not say so by its
 * own header may have run it, and its status must not promise otherwise.
 */
static bool promises_not_run(int status)
{
	return status == HTTP_STATUS_REQUEST_TIMEOUT ||
	       status == HTTP_STATUS_MISDIRECTED_REQUEST ||
	       status == HTTP_STATUS_TOO_MANY_REQUESTS ||
	       status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

static bool answer_kept(struct gateway_request *request)
{
	struct kept_answer *kept = &request->kept;

	if (!kept->fields || promises_not_run(kept->status))
		return false;
	log_end(request, kept->status);
	inbound_answer(request->conn, kept->status, kept->fields,
		       (struct str){kept->body, kept->body_len});
	return true;
}

static void answer_failure(struct gateway_request *request, bool ran)
{
	int code = request->dispatch.code;
	int status = HTTP_STATUS_SERVICE_UNAVAILABLE;
	int64_t retry_after = 0;

	if (ran && code == ERR_TOO_LATE)
		status = HTTP_STATUS_GATEWAY_TIMEOUT;
	else if (ran)
		status = HTTP_STATUS_BAD_GATEWAY;
	else
		retry_after = dispatch_retry_after(&request->dispatch);
	log_end(request, status);
	answer_with(request->conn, status, retry_after, error_name(code));
}

static void finish(struct gateway_request *request)
{
	struct gateway_stats *counters = &request->gateway->counters;
	enum dispatch_outcome outcome = request->dispatch.outcome;

	if (outcome == DISPATCH_WHOLE || outcome == DISPATCH_PARTIAL) {
		metric_inc(outcome == DISPATCH_WHOLE ? &counters->answered
						     : &counters->partial);
		if (request->route->sharded)
			answer_parts(request);
		else
			answer_kept(request);
	} else if (outcome == DISPATCH_REFUSED) {
		metric_inc(&counters->refused);
		answer_failure(request, false);
	} else {
		metric_inc(&counters->failed);
		if (request->route->sharded || !answer_kept(request))
			answer_failure(request, true);
	}
	free_request(request);
}

static void arm_timer(struct gateway_request *request)
{
	int64_t left = dispatch_due(&request->dispatch) -
		       clock_now(&request->gateway->clock);
	struct timeval tv;

	if (left < 0)
		left = 0;
	tv.tv_sec = left / USEC_PER_SEC;
	tv.tv_usec = left % USEC_PER_SEC;
	evtimer_add(request->timer, &tv);
}

static void go_on(struct gateway_request *request,
		  enum dispatch_outcome outcome)
{
	if (outcome) {
		finish(request);
		return;
	}
	relay_ask_flush(&request->gateway->relay_ask, &request->relay);
	arm_timer(request);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct gateway_request *request = arg;

	(void)fd;
	(void)what;
	go_on(request, dispatch_tick(&request->dispatch));
}

static void copy_fields(const struct http_message *message,
			struct evbuffer *fields)
{
	int i;

	for (i = 0; i < message->n_fields; i++) {
		struct str name =
			http_message_span(message, message->fields[i].name);
		struct str value =
			http_message_span(message, message->fields[i].value);

		if (!http_field_is_hop(message, name))
			evbuffer_add_printf(fields, STR_FMT ": " STR_FMT "\r\n",
					    STR_ARG(name), STR_ARG(value));
	}
}

static void keep_answer(struct gateway_request *request,
			const struct http_message *message)
{
	struct kept_answer *kept = &request->kept;
	struct str body = http_message_body(message);

	if (kept->fields)
		evbuffer_free(kept->fields);
	free(kept->body);
	kept->fields = evbuffer_new();
	kept->status = (int)message->parser.status_code;
	kept->body = mem_dup_len(body.data, body.len);
	kept->body_len = body.len;
	copy_fields(message, kept->fields);
}

static void count_result(struct gateway *gateway,
			 const struct exchange_result *result)
{
	struct gateway_stats *counters = &gateway->counters;

	if (!result->code)
		metric_histogram_add(&counters->send_time.histogram,
				     result->took);
	else if (result->not_run)
		metric_inc(&counters->shed);
	else
		metric_inc(&counters->lost);
}

static void log_bad_result(const struct dispatch_send *send,
			   const struct exchange_result *result)
{
	const struct gateway_request *request = send->part->dispatch->arg;
	int status =
		result->message ? (int)result->message->parser.status_code : 0;

	if (!result->code && status / 100 == 2)
		return;
	LOG_INFO("send_failed", LOG_STR("request", request->request.id),
		 LOG_TEXT("server", send->server->entry.id),
		 LOG_TEXT("service", send->part->service->name),
		 LOG_TEXT("why_sent", send->why),
		 LOG_TEXT("error", error_name(result->code)),
		 LOG_I64("status", status), LOG_I64("not_run", result->not_run),
		 LOG_I64("took_us", result->took));
}

static void on_result(void *arg, const struct exchange_result *result)
{
	struct dispatch_send *send = arg;
	struct gateway_request *request = send->part->dispatch->arg;
	struct dispatch_answer answer = {
		.code = result->code,
		.not_run = result->not_run,
		.stamp = result->stamp,
		.took = result->took,
	};
	int status;

	crash_watch_end(send->watch, result->code == ERR_LOST);
	count_result(request->gateway, result);
	log_bad_result(send, result);
	if (!result->code) {
		status = (int)result->message->parser.status_code;
		answer.body = http_message_body(result->message);
		answer.success = status / 100 == 2;
		if (!request->route->sharded) {
			/* Other answers below 500 are the service's own. */
			answer.success =
				status < 500 && !promises_not_run(status);
			keep_answer(request, result->message);
		}
	}
	go_on(request, dispatch_result(&request->dispatch, send, &answer));
}

static void on_relayed(struct dispatch_send *send,
		       const struct dispatch_answer *answer)
{
	struct gateway_request *request = send->part->dispatch->arg;
	const struct exchange_result result = {.code = answer->code,
					       .not_run = answer->not_run,
					       .took = answer->took};

	count_result(request->gateway, &result);
	if (answer->code)
		log_bad_result(send, &result);
	dispatch_result(&request->dispatch, send, answer);
}

static void hold(void *arg)
{
	struct gateway_request *request = arg;

	dispatch_hold(&request->dispatch);
}

static void release(void *arg)
{
	struct gateway_request *request = arg;

	go_on(request, dispatch_release(&request->dispatch));
}

/* Towards the decisions. */

/*
 * Parts of one data centre share the bytes of the request and of the merged
 * records; an answer of one server is not merged with others.
 */
static int relay_part(struct gateway_request *request,
		      struct dispatch_send *send)
{
	int ret;

	if (!request->route->sharded || !send->server->remote)
		return ERR_UNAVAILABLE;
	request->relay.connections_max = send->part->target->connections_max;
	ret = relay_ask_send(&request->gateway->relay_ask, &request->relay,
			     send, &send->handle);
	send->relayed = !ret;
	return ret;
}

static int send_part(void *arg, struct dispatch_send *send, int64_t deadline)
{
	struct gateway_request *request = arg;
	struct gateway *gateway = request->gateway;
	struct exchange *exchange;
	int ret;

	if (!relay_part(request, send))
		return 0;
	send->watch = crash_watch_new(&gateway->fleet.board.poison,
				      &gateway->upstream, send->server,
				      request->fingerprint);
	if (!send->watch)
		return ERR_BANNED;
	ret = upstream_send(&gateway->upstream, send->server, &request->request,
			    deadline, send->part->target->connections_max,
			    on_result, send, &exchange);
	if (ret)
		crash_watch_end(send->watch, false);
	else
		send->handle = exchange;
	return ret;
}

static void abandon(void *arg, struct dispatch_send *send)
{
	struct gateway_request *request = arg;
	int64_t linger = LINGER;

	if (send->relayed) {
		relay_ask_abandon(send->handle);
		return;
	}
	crash_watch_end(send->watch, false);
	/* Cut off, nobody would know whether it ran. */
	if (!request->route->repeatable)
		linger = request->dispatch.deadline -
			 clock_now(&request->gateway->clock);
	exchange_abandon(send->handle, linger > 0 ? linger : 0);
}

static void decided(void *arg, const struct dispatch_send *send)
{
	struct gateway_request *request = arg;
	struct gateway_stats *counters = &request->gateway->counters;
	bool hedge = !strcmp(send->why, "hedge");

	metric_inc(&counters->sends);
	if (!strcmp(send->why, "first"))
		return;
	metric_inc(hedge ? &counters->hedges : &counters->retries);
	LOG_INFO("sent_again", LOG_STR("request", request->request.id),
		 LOG_TEXT("why", send->why),
		 LOG_TEXT("service", send->part->service->name),
		 LOG_TEXT("server", send->server->entry.id),
		 LOG_I64("after_us", send->sent_at - request->dispatch.start),
		 LOG_TEXT("error", error_name(send->part->code)),
		 LOG_F64("budget", send->part->service->budget.tokens));
}

static const struct dispatch_ops dispatch_ops = {
	.send = send_part,
	.abandon = abandon,
	.decided = decided,
};

/* Towards callers. */

static struct route_stats *stats_of(struct gateway *gateway,
				    const struct route *route)
{
	const char *name = route->name ? route->name : route->prefix;
	struct route_stats *stats;

	HASH_FIND_STR(gateway->stats, name, stats);
	if (stats)
		return stats;
	stats = mem_zalloc(sizeof(*stats));
	str_copy(stats->name, sizeof(stats->name), str_from(name));
	latency_init(&stats->latency, MSEC(route->goal_ms) / 4);
	HASH_ADD_STR(gateway->stats, name, stats);
	return stats;
}

static bool is_ours(const struct gateway *gateway, struct str name)
{
	const struct upstream_names *names = &gateway->names->upstream;

	return (name.len == names->deadline.len &&
		!strncasecmp(name.data, names->deadline.data, name.len)) ||
	       (name.len == names->server_id.len &&
		!strncasecmp(name.data, names->server_id.data, name.len));
}

/* The bytes that go to each server, but for the headers that differ. */
static void build_head(struct gateway_request *request,
		       const struct http_message *message)
{
	struct evbuffer *head = request->head;
	int i;

	evbuffer_add_printf(head, "%s " STR_FMT " HTTP/1.1\r\n",
			    http_method_str(
				    (enum http_method)message->parser.method),
			    STR_ARG(http_message_target(message)));
	for (i = 0; i < message->n_fields; i++) {
		struct str name =
			http_message_span(message, message->fields[i].name);
		struct str value =
			http_message_span(message, message->fields[i].value);

		if (!http_field_is_hop(message, name) &&
		    !is_ours(request->gateway, name))
			evbuffer_add_printf(head, STR_FMT ": " STR_FMT "\r\n",
					    STR_ARG(name), STR_ARG(value));
	}
	request->request.body = http_message_body(message);
	if (request->request.body.len ||
	    http_message_has(message, STR("content-length")))
		evbuffer_add_printf(head, "Content-Length: %zu\r\n",
				    request->request.body.len);
	request->request.head = (struct str){(char *)evbuffer_pullup(head, -1),
					     evbuffer_get_length(head)};
}

/* Counted from when it came, which is earlier if the process was stopped. */
static int64_t time_left(const struct gateway *gateway,
			 const struct route *route,
			 const struct http_message *message)
{
	int64_t stall = blackboard_stall(&gateway->fleet.board);
	struct str text =
		http_message_field(message, gateway->names->upstream.deadline);
	uint64_t ms;

	if (str_parse_u64(text, &ms) || ms > (uint64_t)route->timeout_ms)
		ms = (uint64_t)route->timeout_ms;
	return MSEC((int64_t)ms) - stall;
}

static struct str host_of(const struct http_message *message)
{
	struct str host = http_message_field(message, STR("host"));
	const char *colon = memchr(host.data, ':', host.len);

	if (colon)
		host.len = (size_t)(colon - host.data);
	return host;
}

/* The same request comes again: same path, caller and body. */
static uint64_t fingerprint_of(const struct inbound_conn *conn,
			       const struct http_message *message)
{
	uint64_t hash = str_hash(http_message_body(message));

	hash = str_hash_mix(hash, str_hash(host_of(message)));
	hash = str_hash_mix(hash, message->parser.method);
	return poison_fingerprint(str_from(inbound_conn_peer(conn)),
				  http_message_target(message), hash);
}

/*
 * A relay tells what is in shortly before a hedge would be sent for what is
 * not, so that the way between data centres is not taken for a late server.
 */
static void start_relays(struct gateway_request *request)
{
	struct relay_client *relay = &request->relay;
	int64_t delay = dispatch_hedge_delay(&request->dispatch);

	relay->request = &request->request;
	relay->fingerprint = request->fingerprint;
	relay->deadline = request->dispatch.deadline;
	relay->records_max = request->route->records_max;
	relay->result = on_relayed;
	relay->hold = hold;
	relay->release = release;
	relay->arg = request;
	relay->flush_after = delay - RELAY_WAY;
	if (relay->flush_after < RELAY_FLUSH_LEAST)
		relay->flush_after = RELAY_FLUSH_LEAST;
}

static void start(struct gateway *gateway, struct inbound_conn *conn,
		  const struct http_message *message, const struct route *route,
		  uint64_t fingerprint)
{
	struct gateway_request *request = mem_zalloc(sizeof(*request));
	const struct route_service *target = NULL;

	request->gateway = gateway;
	request->conn = conn;
	request->routes = route_set_ref(gateway->sync.routes);
	request->route = route;
	request->fingerprint = fingerprint;
	request->head = evbuffer_new();
	request->timer = evtimer_new(gateway->base, on_timer, request);
	request->request.id =
		http_message_field(message,
				   gateway->names->upstream.request_id);
	request->request.is_head = message->parser.method == HTTP_HEAD;
	request->request.fresh = !route->repeatable;
	build_head(request, message);
	inbound_conn_set(conn, request);
	DL_APPEND(gateway->open, request);
	if (!route->sharded)
		target = route_deal(route);
	dispatch_init(&request->dispatch, &gateway->clock, &dispatch_ops,
		      &gateway->limits, request, &gateway->registry, route,
		      target, &stats_of(gateway, route)->latency,
		      clock_now(&gateway->clock) +
			      time_left(gateway, route, message));
	start_relays(request);
	go_on(request, dispatch_start(&request->dispatch));
}

static void refuse(struct gateway *gateway, struct inbound_conn *conn,
		   const struct http_message *message, int status,
		   int64_t retry_after_ms, const char *why)
{
	LOG_INFO("request_refused",
		 LOG_STR("request",
			 http_message_field(
				 message, gateway->names->upstream.request_id)),
		 LOG_I64("status", status), LOG_TEXT("why", why),
		 LOG_STR("host", host_of(message)),
		 LOG_STR("target", http_message_target(message)),
		 LOG_U64("routes_version",
			 gateway->sync.routes ? gateway->sync.routes->version
					      : 0),
		 LOG_I64("routes_age_ms",
			 store_sync_routes_age(&gateway->sync) /
				 USEC_PER_MSEC));
	answer_with(conn, status, retry_after_ms, why);
}

/*
 * "No such route" is final for a caller, so that it must not come from routes
 * that may be old.
 */
static void refuse_unrouted(struct gateway *gateway, struct inbound_conn *conn,
			    const struct http_message *message)
{
	int64_t age = store_sync_routes_age(&gateway->sync);

	metric_inc(&gateway->counters.no_route);
	if (age <= MSEC(gateway->settings->config_apply_ms))
		refuse(gateway, conn, message, HTTP_STATUS_NOT_FOUND, 0,
		       "no_route");
	else
		refuse(gateway, conn, message, HTTP_STATUS_SERVICE_UNAVAILABLE,
		       START_RETRY_MS, "routes_may_be_old");
}

static void on_request(void *arg, struct inbound_conn *conn,
		       const struct http_message *message)
{
	struct gateway *gateway = arg;
	const struct route *route;
	uint64_t fingerprint;
	uint32_t retry_after_ms;

	metric_inc(&gateway->counters.requests);
	if (!http_message_field(message, gateway->names->upstream.request_id)
		     .len) {
		refuse(gateway, conn, message, HTTP_STATUS_BAD_REQUEST, 0,
		       "no_request_id");
		return;
	}
	if (!store_sync_ready(&gateway->sync)) {
		refuse(gateway, conn, message, HTTP_STATUS_SERVICE_UNAVAILABLE,
		       START_RETRY_MS, "starting");
		return;
	}
	route = route_set_find(gateway->sync.routes, host_of(message),
			       http_message_target(message));
	if (!route) {
		refuse_unrouted(gateway, conn, message);
		return;
	}
	fingerprint = fingerprint_of(conn, message);
	if (poison_check(&gateway->fleet.board.poison, fingerprint,
			 &retry_after_ms) == POISON_BANNED)
		refuse(gateway, conn, message, HTTP_STATUS_SERVICE_UNAVAILABLE,
		       retry_after_ms, "crashes_servers");
	else
		start(gateway, conn, message, route, fingerprint);
}

static void on_left(void *arg, struct inbound_conn *conn, void *data)
{
	struct gateway *gateway = arg;
	struct gateway_request *request = data;

	(void)conn;
	if (!request)
		return;
	metric_inc(&gateway->counters.left);
	dispatch_cancel(&request->dispatch);
	log_end(request, 0);
	free_request(request);
}

static void on_refused(void *arg, int status, const char *why)
{
	struct gateway *gateway = arg;

	metric_inc(&gateway->counters.malformed);
	LOG_INFO("message_refused", LOG_I64("status", status),
		 LOG_TEXT("why", why));
}

const struct inbound_ops gateway_request_ops = {
	.request = on_request,
	.left = on_left,
	.refused = on_refused,
};

void gateway_request_drop_all(struct gateway *gateway)
{
	while (gateway->open)
		free_request(gateway->open);
}
