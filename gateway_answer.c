/* Answers to callers, and the logs about them. */
#define LOG_MODULE "request"
#include "gateway_request_private.h"

#include <stdio.h>

#include <event2/buffer.h>

#include "error.h"
#include "log.h"

void gateway_answer_error(struct inbound_conn *conn, int status,
			  int64_t retry_after_ms, const char *why)
{
	struct evbuffer *fields = evbuffer_new();
	char body[128];
	int len = snprintf(body, sizeof(body), "{\"error\":\"%s\"}\n", why);

	evbuffer_add_printf(fields, "Content-Type: application/json\r\n");
	if (retry_after_ms)
		evbuffer_add_printf(fields, "Retry-After: %.3f\r\n",
				    (double)retry_after_ms / 1000);
	inbound_respond(conn, status, fields, (struct str){body, (size_t)len});
	evbuffer_free(fields);
}

void gateway_request_log(const struct gateway_request *request, int status)
{
	const struct dispatch *dispatch = &request->dispatch;
	struct gateway *gateway = request->gateway;
	int64_t took = clock_now(&gateway->clock) - dispatch->start;

	metric_histogram_add(&gateway->counters.request_time.histogram, took);
	LOG_INFO("request", LOG_STR("request", request->request.id),
		 LOG_TEXT("caller", inbound_conn_ip(request->conn)),
		 LOG_U64("fingerprint", request->fingerprint),
		 LOG_TEXT("route", request->route->name
					   ? request->route->name
					   : request->route->prefix),
		 LOG_U64("routes_version", request->routes->version),
		 LOG_I64("routes_age_ms",
			 store_sync_routes_age(&gateway->sync) / USEC_PER_MSEC),
		 LOG_I64("status", status), LOG_I64("took_us", took),
		 LOG_I64("goal_ms", request->route->goal_ms),
		 LOG_I64("left_us",
			 dispatch->deadline - clock_now(&gateway->clock)),
		 LOG_I64("parts", dispatch->n_parts),
		 LOG_I64("parts_in", dispatch->n_answered),
		 LOG_I64("sends", dispatch->n_sends),
		 LOG_I64("extra", dispatch->n_extra),
		 LOG_TEXT("error", error_name(dispatch->code)));
}

/* Logs why parts are missing: the last server and the time since the send. */
static void log_missing_parts(const struct gateway_request *request)
{
	static const struct server_load unknown;
	const struct dispatch *dispatch = &request->dispatch;
	int64_t now = clock_now(&request->gateway->clock);
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		const struct dispatch_part *part = &dispatch->parts[i];
		const struct dispatch_send *last =
			&part->sends[part->n_sends > 0 ? part->n_sends - 1 : 0];
		const struct server_load *load =
			last->server ? &last->server->load : &unknown;

		if (part->state == PART_ANSWERED || part->code == ERR_LEFT_OUT)
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
			 LOG_F64("budget", part->service->budget.tokens),
			 LOG_I64("told_waiting", load->waiting),
			 LOG_I64("told_pace", load->slowdown_pct),
			 LOG_I64("told_age_ms",
				 load->at ? (now - load->at) / USEC_PER_MSEC
					  : -1));
	}
}

static void send_merged_answer(struct gateway_request *request)
{
	const struct gateway_header_names *names = request->gateway->names;
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
			    dispatch->n_parts - dispatch->n_answered);
	gateway_request_log(request, HTTP_STATUS_OK);
	gateway_request_add_size(request,
				 (size_t)dispatch->records.n * RECORD_SIZE);
	log_missing_parts(request);
	inbound_respond(request->conn, HTTP_STATUS_OK, fields,
			(struct str){dispatch->records.bytes,
				     (size_t)dispatch->records.n *
					     RECORD_SIZE});
	evbuffer_free(fields);
}

bool gateway_status_implies_not_run(int status)
{
	return status == HTTP_STATUS_REQUEST_TIMEOUT ||
	       status == HTTP_STATUS_MISDIRECTED_REQUEST ||
	       status == HTTP_STATUS_TOO_MANY_REQUESTS ||
	       status == HTTP_STATUS_SERVICE_UNAVAILABLE;
}

static bool send_saved_answer(struct gateway_request *request)
{
	struct saved_answer *saved = &request->saved;
	char *body;
	size_t len;

	if (!saved->fields || gateway_status_implies_not_run(saved->status))
		return false;
	gateway_request_log(request, saved->status);
	gateway_request_add_size(request, saved->body_len);
	body = saved->body;
	len = saved->body_len;
	saved->body = NULL;
	saved->body_len = 0;
	request->gateway->inbound.answers.used -= len;
	inbound_respond_owned(request->conn, saved->status, saved->fields, body,
			      len);
	return true;
}

/* Logs a request refused without any send, as servers are unreachable. */
static void log_shards_lost(const struct gateway_request *request,
			    int64_t retry_after)
{
	const struct dispatch *dispatch = &request->dispatch;
	int64_t lost_for = clock_now(dispatch->clock) - dispatch->outage_since;

	LOG_INFO("shards_lost", LOG_STR("request", request->request.id),
		 LOG_I64("lost", dispatch->n_unreachable),
		 LOG_I64("parts", dispatch->n_parts),
		 LOG_I64("lost_for_ms",
			 dispatch->outage_since ? lost_for / USEC_PER_MSEC : 0),
		 LOG_I64("retry_after_ms", retry_after));
}

/* Logs a request refused because its service is over the load limit. */
static void log_overload(const struct gateway_request *request,
			 int64_t retry_after)
{
	const struct dispatch *dispatch = &request->dispatch;
	const struct load_limit *load = dispatch_load_limit(dispatch);
	int64_t age = clock_now(dispatch->clock) - load->lowered_at;
	int level = dispatch->level;

	LOG_INFO("load_refused", LOG_STR("request", request->request.id),
		 LOG_I64("level", level), LOG_I64("cost", dispatch->cost),
		 LOG_I64("open", load->in_progress),
		 LOG_F64("limit", load->limit),
		 LOG_F64("asked", load->levels[level].demand),
		 LOG_F64("admitted", load->levels[level].admitted),
		 LOG_I64("room_in_us", dispatch->capacity_delay),
		 LOG_I64("limit_age_ms", age / USEC_PER_MSEC),
		 LOG_I64("retry_after_ms", retry_after));
}

static struct metric *overload_metric(const struct gateway_request *request)
{
	struct gateway_stats *counters = &request->gateway->counters;
	struct metric *levels[ESTIMATE_LEVELS] = {
		&counters->overload_level0,
		&counters->overload_level1,
		&counters->overload_level2,
		&counters->overload_level3,
	};

	return levels[request->dispatch.level];
}

static void send_failure(struct gateway_request *request, bool ran)
{
	int code = request->dispatch.code;
	int status = HTTP_STATUS_SERVICE_UNAVAILABLE;
	int64_t retry_after = 0;

	/* A relay that stops ends its sends with the same code. */
	if (code == ERR_LEAVING && request->dispatch.time_limited)
		metric_inc(&request->gateway->counters.stop_ended);
	if (ran && (code == ERR_TOO_LATE || code == ERR_LEAVING))
		status = HTTP_STATUS_GATEWAY_TIMEOUT;
	else if (ran)
		status = HTTP_STATUS_BAD_GATEWAY;
	/* A promise of this instance would outlive it. */
	else if (!stop_plan_is_stopping(&request->gateway->stop))
		retry_after = gateway_load_offer_return(request);
	if (code == ERR_OVERLOAD) {
		metric_inc(overload_metric(request));
		metric_inc(&request->gateway->counters.overload);
		if (!request->dispatch.refused_by_forecast)
			log_overload(request, retry_after);
	} else if (!request->dispatch.n_sends &&
		   request->dispatch.n_unreachable) {
		metric_inc(&request->gateway->counters.no_server);
		log_shards_lost(request, retry_after);
	}
	gateway_request_log(request, status);
	gateway_answer_error(request->conn, status, retry_after,
			     error_name(code));
}

void gateway_answer(struct gateway_request *request)
{
	struct gateway_stats *counters = &request->gateway->counters;
	enum dispatch_outcome outcome = request->dispatch.outcome;

	if (outcome == DISPATCH_COMPLETE || outcome == DISPATCH_PARTIAL) {
		gateway_request_add_time(request);
		metric_inc(outcome == DISPATCH_COMPLETE ? &counters->answered
							: &counters->partial);
		if (request->route->sharded)
			send_merged_answer(request);
		else
			send_saved_answer(request);
	} else if (outcome == DISPATCH_REFUSED) {
		metric_inc(&counters->refused);
		send_failure(request, false);
	} else {
		metric_inc(&counters->failed);
		gateway_request_add_time(request);
		if (request->route->sharded || !send_saved_answer(request))
			send_failure(request, true);
	}
}
