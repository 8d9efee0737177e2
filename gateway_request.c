#define LOG_MODULE "request"
#include "gateway_request.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <utlist.h>

#include "answer_due.h"
#include "error.h"
#include "gateway_load.h"
#include "gateway_outage.h"
#include "gateway_request_private.h"
#include "gateway_trial.h"
#include "log.h"
#include "mem.h"

/*
 * Window for the maximum of the timeouts that callers send. Callers with an
 * open connection, at least half of them, send their full timeout; the others
 * have used part of it to connect.
 */
#define CALLER_TIMEOUT_SPAN MSEC(20000)
/* Window for the slowest answer of a route. */
#define SLOWEST_SPAN MSEC(30000)
/* Limits the timeout sent by a caller, which is not trusted. */
#define CALLER_TIMEOUT_MAX_MS 3600000
/* Weight of an answer in the mean size of a route's answers. */
#define ANSWER_SIZE_WEIGHT 0.125
/* Callers that take nothing have made room by then. */
#define MEMORY_RETRY_MS 500
/* Bytes; longer bodies are not copied for each send. */
#define SHARED_BODY_MIN 4096
/* Routes and servers arrive within about a second of a start. */
#define STARTUP_RETRY_MS 500

void gateway_request_drop_saved(struct gateway_request *request)
{
	struct saved_answer *saved = &request->saved;

	if (!saved->fields)
		return;
	evbuffer_free(saved->fields);
	saved->fields = NULL;
	request->gateway->inbound.answers.used -= saved->body_len;
	free(saved->body);
	saved->body = NULL;
	saved->body_len = 0;
}

static void free_request(struct gateway_request *request)
{
	request->gateway->expected_answers -= request->expected_size;
	gateway_request_drop_saved(request);
	DL_DELETE(request->gateway->open_requests, request);
	dispatch_finish(&request->dispatch);
	relay_client_finish(&request->gateway->relay_ask, &request->relay);
	route_set_unref(request->routes);
	evbuffer_free(request->head);
	shared_body_unref(request->request.shared);
	event_free(request->timer);
	free(request);
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

static void handle_outcome(struct gateway_request *request,
			   enum dispatch_outcome outcome)
{
	if (outcome) {
		gateway_answer(request);
		free_request(request);
		return;
	}
	relay_ask_flush(&request->gateway->relay_ask, &request->relay);
	arm_timer(request);
}

static void start_dispatch(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;

	handle_outcome(request, dispatch_start(&request->dispatch));
	gateway_outage_arm_timer(gateway);
	gateway_load_arm_timer(gateway);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct gateway_request *request = arg;

	(void)fd;
	(void)what;
	if (!gateway_trial_is_waiting(request)) {
		handle_outcome(request, dispatch_tick(&request->dispatch));
	} else if (gateway_trial_is_own(request)) {
		start_dispatch(request);
	} else {
		gateway_trial_refuse(request);
		free_request(request);
	}
}

static struct route_stats *get_route_stats(struct gateway *gateway,
					   const struct route *route)
{
	const char *name = route->name ? route->name : route->prefix;
	struct route_stats *stats;

	HASH_FIND_STR(gateway->route_stats, name, stats);
	if (stats)
		return stats;
	stats = mem_zalloc(sizeof(*stats));
	str_copy(stats->name, sizeof(stats->name), str_from(name));
	latency_init(&stats->latency, MSEC(route->goal_ms) / 4);
	peak_init(&stats->caller_timeout, CALLER_TIMEOUT_SPAN, 0,
		  clock_now(&gateway->clock));
	peak_init(&stats->slowest, SLOWEST_SPAN, MSEC(route->goal_ms),
		  clock_now(&gateway->clock));
	HASH_ADD_STR(gateway->route_stats, name, stats);
	return stats;
}

void gateway_request_add_size(const struct gateway_request *request,
			      size_t size)
{
	struct route_stats *stats =
		get_route_stats(request->gateway, request->route);

	stats->answer_size +=
		((double)size - stats->answer_size) * ANSWER_SIZE_WEIGHT;
}

void gateway_request_add_time(const struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	int64_t now = clock_now(&gateway->clock);

	peak_add(&get_route_stats(gateway, request->route)->slowest,
		 now - request->dispatch.start, now);
}

static bool is_gateway_header(const struct gateway *gateway, struct str name)
{
	const struct upstream_header_names *names = &gateway->names->upstream;

	return (name.len == names->deadline.len &&
		!strncasecmp(name.data, names->deadline.data, name.len)) ||
	       (name.len == names->server_id.len &&
		!strncasecmp(name.data, names->server_id.data, name.len));
}

/* Short bodies are copied for each send, which is cheaper. */
static void share_body(struct gateway_request *request,
		       struct http_message *message)
{
	request->request.memory = &request->gateway->inbound.memory;
	request->request.body = http_message_body(message);
	if (request->request.body.len < SHARED_BODY_MIN)
		return;
	request->request.shared =
		shared_body_take(message, request->request.memory);
	request->request.body = shared_body_str(request->request.shared);
}

/* Builds the request head, without the header fields that differ by server. */
static void build_head(struct gateway_request *request,
		       struct http_message *message)
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

		if (!http_field_is_hop_by_hop(message, name) &&
		    !is_gateway_header(request->gateway, name))
			evbuffer_add_printf(head, STR_FMT ": " STR_FMT "\r\n",
					    STR_ARG(name), STR_ARG(value));
	}
	share_body(request, message);
	if (request->request.body.len ||
	    http_message_has_field(message, STR("content-length")))
		evbuffer_add_printf(head, "Content-Length: %zu\r\n",
				    request->request.body.len);
	request->request.head = (struct str){(char *)evbuffer_pullup(head, -1),
					     evbuffer_get_length(head)};
}

/* Returns how long the caller will still wait, milliseconds; -1: not given. */
static int parse_caller_timeout(const struct gateway *gateway,
				const struct http_message *message)
{
	struct str text =
		http_message_field(message, gateway->names->upstream.deadline);
	uint64_t ms;

	if (str_parse_u64(text, &ms))
		return -1;
	return ms < CALLER_TIMEOUT_MAX_MS ? (int)ms : CALLER_TIMEOUT_MAX_MS;
}

/*
 * Returns the time left to answer. It counts from the arrival of the request,
 * which was earlier if the process has stalled.
 */
static int64_t get_time_left(const struct gateway *gateway,
			     const struct route *route, int timeout_ms)
{
	int64_t ms = timeout_ms < 0 || timeout_ms > route->timeout_ms
			     ? route->timeout_ms
			     : timeout_ms;

	return MSEC(ms) - blackboard_stall(&gateway->fleet.board);
}

static int64_t get_answer_timeout(const struct gateway *gateway,
				  const struct inbound_conn *conn,
				  const struct route *route,
				  struct route_stats *stats, int timeout_ms)
{
	int64_t now = clock_now(&gateway->clock);
	const struct answer_due due = {
		.goal = MSEC(route->goal_ms),
		.longest_timeout =
			MSEC(peak_add(&stats->caller_timeout, timeout_ms, now)),
		.caller_timeout = timeout_ms < 0 ? -1 : MSEC(timeout_ms),
		.round_trip = inbound_conn_rtt(conn),
	};

	return answer_due_timeout(&due) -
	       blackboard_stall(&gateway->fleet.board);
}

static struct str host_of(const struct http_message *message)
{
	struct str host = http_message_field(message, STR("host"));
	const char *colon = memchr(host.data, ':', host.len);

	if (colon)
		host.len = (size_t)(colon - host.data);
	return host;
}

/*
 * Equal for retries of a request: same method, host, path and body. What
 * crashes a server is in these, whichever address the caller has.
 */
static uint64_t fingerprint_of(const struct http_message *message)
{
	return poison_fingerprint(
		host_of(message), http_message_target(message),
		str_hash_mix(str_hash(http_message_body(message)),
			     message->parser.method));
}

/* Equal for retries of a request by the same caller. */
static uint64_t return_key_of(const struct inbound_conn *conn,
			      uint64_t fingerprint)
{
	return str_hash_mix(fingerprint,
			    str_hash(str_from(inbound_conn_ip(conn))));
}

/* What is known of the time that a request of a route needs. */
static struct stop_request describe_to_stop(struct gateway *gateway,
					    const struct route *route,
					    int64_t deadline)
{
	struct route_stats *stats = get_route_stats(gateway, route);
	int64_t now = clock_now(&gateway->clock);

	return (struct stop_request){
		.deadline = deadline,
		.goal = MSEC(route->goal_ms),
		.usual = (int64_t)stats->latency.tail,
		.slowest = peak_add(&stats->slowest, 0, now),
		.repeatable = route->repeatable,
		.others_ready =
			gateway_fleet_has_ready_peer(&gateway->fleet,
						     str_from(route->host)),
	};
}

/* The end of the process is a deadline of each request. */
static void limit_to_stop(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;
	struct dispatch *dispatch = &request->dispatch;
	const struct stop_request needs =
		describe_to_stop(gateway, request->route, dispatch->deadline);

	dispatch->send_by = stop_plan_send_by(&gateway->stop, &needs);
	dispatch_limit_time(dispatch, gateway->stop.answer_by);
	request->relay.deadline = dispatch->deadline;
}

/* @due: capacity reserved for this retry, or NULL */
static void start_request(struct gateway *gateway, struct inbound_conn *conn,
			  struct http_message *message,
			  const struct route *route, uint64_t fingerprint,
			  const struct scheduled_return *due)
{
	struct gateway_request *request = mem_zalloc(sizeof(*request));
	struct route_stats *stats = get_route_stats(gateway, route);
	int timeout_ms = parse_caller_timeout(gateway, message);
	const struct route_service *target = NULL;

	request->gateway = gateway;
	request->conn = conn;
	request->expected_size = (size_t)stats->answer_size;
	gateway->expected_answers += request->expected_size;
	request->routes = route_set_ref(gateway->sync.routes);
	request->route = route;
	request->fingerprint = fingerprint;
	request->return_key = return_key_of(conn, fingerprint);
	request->on_outcome = handle_outcome;
	request->head = evbuffer_new();
	request->timer = evtimer_new(gateway->base, on_timer, request);
	request->request.id =
		http_message_field(message,
				   gateway->names->upstream.request_id);
	request->request.is_head = message->parser.method == HTTP_HEAD;
	request->request.needs_recent_conn = !route->repeatable;
	build_head(request, message);
	inbound_conn_set_request(conn, request);
	DL_APPEND(gateway->open_requests, request);
	if (!route->sharded)
		target = due ? gateway_load_return_target(route, due)
			     : route_pick_target(route);
	dispatch_init(&request->dispatch, &gateway->clock, &gateway_send_ops,
		      &gateway->limits, request, &gateway->registry, route,
		      target, &stats->latency,
		      clock_now(&gateway->clock) +
			      get_time_left(gateway, route, timeout_ms),
		      get_answer_timeout(gateway, conn, route, stats,
					 timeout_ms));
	request->deadline = request->dispatch.deadline;
	request->dispatch.promised = due;
	if (stop_plan_is_stopping(&gateway->stop))
		limit_to_stop(request);
	gateway_trial_begin(request);
	gateway_send_init(request);
	if (!gateway_trial_must_wait(request))
		start_dispatch(request);
}

static bool outlasts_stop(struct gateway *gateway, const struct route *route,
			  const struct http_message *message)
{
	int timeout_ms = parse_caller_timeout(gateway, message);
	int64_t now = clock_now(&gateway->clock);
	const struct stop_request request =
		describe_to_stop(gateway, route,
				 now + get_time_left(gateway, route,
						     timeout_ms));

	return !stop_plan_takes(&gateway->stop, &request, now);
}

static void refuse_request(struct gateway *gateway, struct inbound_conn *conn,
			   const struct http_message *message, int status,
			   int64_t retry_after_ms, const char *why)
{
	LOG_INFO("request_refused",
		 LOG_STR("request",
			 http_message_field(
				 message, gateway->names->upstream.request_id)),
		 LOG_I64("status", status), LOG_TEXT("why", why),
		 LOG_TEXT("caller", inbound_conn_ip(conn)),
		 LOG_U64("fingerprint", fingerprint_of(message)),
		 LOG_STR("host", host_of(message)),
		 LOG_STR("target", http_message_target(message)),
		 LOG_U64("routes_version",
			 gateway->sync.routes ? gateway->sync.routes->version
					      : 0),
		 LOG_I64("routes_age_ms",
			 store_sync_routes_age(&gateway->sync) /
				 USEC_PER_MSEC));
	gateway_answer_error(conn, status, retry_after_ms, why);
}

/*
 * Callers take 404 as final, so it is sent only if the routes are known to be
 * current.
 */
static void refuse_no_route(struct gateway *gateway, struct inbound_conn *conn,
			    const struct http_message *message)
{
	int64_t age = store_sync_routes_age(&gateway->sync);

	metric_inc(&gateway->counters.no_route);
	if (age <= MSEC(gateway->settings->config_apply_ms))
		refuse_request(gateway, conn, message, HTTP_STATUS_NOT_FOUND, 0,
			       "no_route");
	else
		refuse_request(gateway, conn, message,
			       HTTP_STATUS_SERVICE_UNAVAILABLE,
			       STARTUP_RETRY_MS, "routes_may_be_old");
}

static int64_t ms_until(const struct gateway *gateway, int64_t at)
{
	int64_t left = at - clock_now(&gateway->clock);

	return msec_round_up(left);
}

static void refuse_leaving(struct gateway *gateway, struct inbound_conn *conn,
			   const struct http_message *message)
{
	metric_inc(&gateway->counters.stop_refused);
	refuse_request(gateway, conn, message, HTTP_STATUS_SERVICE_UNAVAILABLE,
		       0, error_name(ERR_LEAVING));
}

/* A request whose answer could not be held must not run. */
static bool has_room(struct gateway *gateway, const struct route *route)
{
	const struct route_stats *stats = get_route_stats(gateway, route);

	return inbound_make_room(&gateway->inbound, (size_t)stats->answer_size,
				 gateway->expected_answers);
}

static void refuse_no_memory(struct gateway *gateway, struct inbound_conn *conn,
			     const struct http_message *message)
{
	metric_inc(&gateway->counters.refused_memory);
	refuse_request(gateway, conn, message, HTTP_STATUS_SERVICE_UNAVAILABLE,
		       MEMORY_RETRY_MS, "memory");
}

static void start_or_refuse(struct gateway *gateway, struct inbound_conn *conn,
			    struct http_message *message,
			    const struct route *route, uint64_t fingerprint)
{
	struct scheduled_return entry;
	enum return_state state;

	state = gateway_load_check_return(
		gateway, route, return_key_of(conn, fingerprint),
		http_message_field(message,
				   gateway->names->upstream.request_id),
		&entry);
	if (state == RETURN_EARLY)
		refuse_request(gateway, conn, message,
			       HTTP_STATUS_SERVICE_UNAVAILABLE,
			       ms_until(gateway, entry.due), "early");
	else
		start_request(gateway, conn, message, route, fingerprint,
			      state == RETURN_DUE ? &entry : NULL);
}

static void on_request(void *arg, struct inbound_conn *conn,
		       struct http_message *message)
{
	struct gateway *gateway = arg;
	struct poison *poison = &gateway->fleet.board.poison;
	const struct route *route;
	uint64_t fingerprint;
	uint32_t retry_after_ms;

	metric_inc(&gateway->counters.requests);
	if (!http_message_field(message, gateway->names->upstream.request_id)
		     .len) {
		refuse_request(gateway, conn, message, HTTP_STATUS_BAD_REQUEST,
			       0, "no_request_id");
		return;
	}
	if (!store_sync_ready(&gateway->sync)) {
		refuse_request(gateway, conn, message,
			       HTTP_STATUS_SERVICE_UNAVAILABLE,
			       STARTUP_RETRY_MS, "starting");
		return;
	}
	route = route_set_find(gateway->sync.routes, host_of(message),
			       http_message_target(message));
	if (!route) {
		refuse_no_route(gateway, conn, message);
		return;
	}
	if (!has_room(gateway, route)) {
		refuse_no_memory(gateway, conn, message);
		return;
	}
	if (stop_plan_is_stopping(&gateway->stop)) {
		if (outlasts_stop(gateway, route, message)) {
			refuse_leaving(gateway, conn, message);
			return;
		}
		metric_inc(&gateway->counters.stop_taken);
	}
	fingerprint = fingerprint_of(message);
	if (poison_check(poison, fingerprint, &retry_after_ms) == POISON_BANNED)
		refuse_request(gateway, conn, message,
			       HTTP_STATUS_SERVICE_UNAVAILABLE, retry_after_ms,
			       "crashes_servers");
	else if (poison_trial_wait(poison, fingerprint))
		refuse_request(gateway, conn, message,
			       HTTP_STATUS_SERVICE_UNAVAILABLE,
			       msec_round_up(
				       poison_trial_wait(poison, fingerprint)),
			       "suspect_on_trial");
	else
		start_or_refuse(gateway, conn, message, route, fingerprint);
}

static void on_caller_left(void *arg, struct inbound_conn *conn, void *data)
{
	struct gateway *gateway = arg;
	struct gateway_request *request = data;

	(void)conn;
	if (!request)
		return;
	metric_inc(&gateway->counters.caller_left);
	dispatch_cancel(&request->dispatch);
	gateway_request_log(request, 0);
	free_request(request);
}

static void on_malformed(void *arg, int status, const char *why)
{
	struct gateway *gateway = arg;

	metric_inc(&gateway->counters.malformed);
	LOG_INFO("message_refused", LOG_I64("status", status),
		 LOG_TEXT("why", why));
}

static void on_answer_cut(void *arg, const struct inbound_conn *conn,
			  const struct http_message *message, size_t unsent)
{
	struct gateway *gateway = arg;

	metric_inc(&gateway->counters.answers_cut);
	LOG_WARN("answer_cut",
		 LOG_STR("request",
			 http_message_field(
				 message, gateway->names->upstream.request_id)),
		 LOG_TEXT("caller", inbound_conn_ip(conn)),
		 LOG_U64("unsent_bytes", unsent));
}

const struct inbound_ops gateway_request_ops = {
	.request = on_request,
	.closed = on_caller_left,
	.refused = on_malformed,
	.answer_cut = on_answer_cut,
};

void gateway_request_limit_all(struct gateway *gateway)
{
	struct gateway_request *request;

	DL_FOREACH (gateway->open_requests, request) {
		limit_to_stop(request);
		gateway_send_limit(request);
		if (!gateway_trial_is_waiting(request))
			arm_timer(request);
	}
}

/* A request that waits for its trial has not been sent. */
static void end_request(struct gateway_request *request)
{
	struct gateway *gateway = request->gateway;

	if (!gateway_trial_is_waiting(request)) {
		handle_outcome(request, dispatch_tick(&request->dispatch));
		return;
	}
	metric_inc(&gateway->counters.refused);
	metric_inc(&gateway->counters.stop_ended);
	gateway_request_log(request, HTTP_STATUS_SERVICE_UNAVAILABLE);
	gateway_answer_error(request->conn, HTTP_STATUS_SERVICE_UNAVAILABLE, 0,
			     error_name(ERR_LEAVING));
	free_request(request);
}

void gateway_request_end_all(struct gateway *gateway)
{
	struct gateway_request *first;

	/* The end of one can end others, which waited for the same server. */
	while ((first = gateway->open_requests)) {
		end_request(first);
		if (gateway->open_requests == first)
			return;
	}
}

static const struct dispatch_send *last_send(const struct dispatch *dispatch)
{
	const struct dispatch_send *last = NULL;
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		const struct dispatch_part *part = &dispatch->parts[i];

		if (part->state != PART_PENDING || !part->n_sends)
			continue;
		if (!last ||
		    part->sends[part->n_sends - 1].sent_at > last->sent_at)
			last = &part->sends[part->n_sends - 1];
	}
	return last;
}

static void log_cut(const struct gateway_request *request)
{
	const struct gateway *gateway = request->gateway;
	const struct dispatch *dispatch = &request->dispatch;
	const struct dispatch_send *last = last_send(dispatch);
	int64_t now = clock_now(&gateway->clock);

	LOG_WARN("request_cut", LOG_STR("request", request->request.id),
		 LOG_TEXT("caller", inbound_conn_ip(request->conn)),
		 LOG_TEXT("route", request->route->name
					   ? request->route->name
					   : request->route->prefix),
		 LOG_TEXT("service", last ? last->part->service->name : "-"),
		 LOG_TEXT("server", last ? last->server->entry.id : "-"),
		 LOG_I64("waited_us", last ? now - last->sent_at : 0),
		 LOG_I64("sends", dispatch->n_sends),
		 LOG_I64("not_run", !dispatch_may_have_run(dispatch)),
		 LOG_I64("parts", dispatch->n_parts),
		 LOG_I64("parts_in", dispatch->n_answered),
		 LOG_I64("took_us", now - dispatch->start),
		 LOG_I64("taken_after_us",
			 dispatch->start - gateway->stop.since),
		 LOG_I64("time_us", dispatch->deadline - dispatch->start));
}

void gateway_request_free_all(struct gateway *gateway)
{
	while (gateway->open_requests) {
		metric_inc(&gateway->counters.cut);
		log_cut(gateway->open_requests);
		free_request(gateway->open_requests);
	}
}
