/* Executes what a dispatch decides: sends to servers, direct or by relays. */
#define LOG_MODULE "request"
#include "gateway_request_private.h"

#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>

#include "error.h"
#include "gateway_trial.h"
#include "log.h"
#include "mem.h"

/* Network round trip to a relay, plus processing on both sides. */
#define RELAY_ROUND_TRIP MSEC(6)
#define RELAY_FLUSH_MIN MSEC(4)

static struct poison *poison_of(const struct gateway_request *request)
{
	return &request->gateway->fleet.board.poison;
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

		if (!http_field_is_hop_by_hop(message, name))
			evbuffer_add_printf(fields, STR_FMT ": " STR_FMT "\r\n",
					    STR_ARG(name), STR_ARG(value));
	}
}

static void save_answer(struct gateway_request *request,
			struct http_message *message)
{
	struct saved_answer *saved = &request->saved;

	gateway_request_drop_saved(request);
	saved->fields = evbuffer_new();
	saved->status = (int)message->parser.status_code;
	saved->body = http_message_take_body(message, &saved->body_len);
	request->gateway->inbound.answers.used += saved->body_len;
	copy_fields(message, saved->fields);
}

static void count_result(struct gateway *gateway,
			 const struct exchange_result *result)
{
	struct gateway_stats *counters = &gateway->counters;

	if (result->code == ERR_COLD)
		metric_inc(&counters->sends_cold);
	if (!result->code)
		metric_histogram_add(&counters->send_time.histogram,
				     result->took);
	else if (result->code == ERR_OVERLOAD)
		return; /* never sent: counted by the server queue */
	else if (result->not_run)
		metric_inc(&counters->sends_shed);
	else
		metric_inc(&counters->sends_lost);
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
		 LOG_I64("arrived", !dispatch_is_unsent(result->code)),
		 LOG_I64("took_us", result->took));
}

static void on_result(void *arg, const struct exchange_result *result)
{
	struct dispatch_send *send = arg;
	struct gateway_request *request = send->part->dispatch->arg;
	struct dispatch_answer answer = {
		.code = result->code,
		.not_run = result->not_run,
		.broke = result->code == ERR_LOST,
		.stamp = result->stamp,
		.took = result->took,
		.delivery = delivery_outcome_of(result->code, result->not_run),
	};
	int status;

	count_result(request->gateway, result);
	log_bad_result(send, result);
	if (!result->code) {
		status = (int)result->message->parser.status_code;
		answer.body = http_message_body(result->message);
		answer.success = status / 100 == 2;
		if (!request->route->sharded) {
			/* Other statuses below 500 are results, not faults. */
			answer.success =
				status < 500 &&
				!gateway_status_implies_not_run(status);
			save_answer(request, result->message);
		}
	}
	request->on_outcome(request,
			    dispatch_result(&request->dispatch, send, &answer));
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

static void begin_batch(void *arg)
{
	struct gateway_request *request = arg;

	dispatch_begin_batch(&request->dispatch);
}

static void end_batch(void *arg)
{
	struct gateway_request *request = arg;

	request->on_outcome(request, dispatch_end_batch(&request->dispatch));
}

/* Callbacks of the dispatch. */

/*
 * Returns the only instance that may send to a cold server; NULL if the server
 * is not cold, or if no instance may.
 */
static const char *cold_sender(struct gateway *gateway,
			       const struct registry_server *server)
{
	if (!registry_is_cold(server, clock_now(&gateway->clock)))
		return NULL;
	return gateway_fleet_cold_sender(&gateway->fleet, server);
}

/* Which relay makes a send. */
struct relay_choice {
	const char *data_centre; /* NULL: none, send it from here */
	const char *instance;	 /* NULL: any relay in @data_centre */
};

/*
 * A caller may have sent this instance a request that is restricted to other
 * regions. Its body must not be sent to further instances in this region.
 */
static bool may_relay_here(const struct gateway *gateway,
			   const struct route *route)
{
	const struct gateway_settings *settings = gateway->settings;

	return region_set_allows(&route->regions,
				 regions_find(&settings->regions,
					      settings->data_centre));
}

/*
 * Parts for servers in other data centres go through a relay there, and parts
 * for a cold server through the only instance that may send to it. An instance
 * that does not connect to servers sends all its parts through a local relay:
 * hundreds of such instances with one or two connections each would exceed what
 * a server accepts, and a server over its limit resets connections of any
 * instance.
 */
static struct relay_choice choose_relay(struct gateway *gateway,
					const struct route *route,
					const struct registry_server *server)
{
	const char *own = gateway->settings->instance;
	const char *sender = cold_sender(gateway, server);

	if (!gateway_fleet_is_sender(&gateway->fleet) &&
	    may_relay_here(gateway, route))
		return (struct relay_choice){
			.data_centre = gateway->settings->data_centre};
	if (!server->remote && (!sender || !strcmp(sender, own)))
		return (struct relay_choice){.data_centre = NULL};
	return (struct relay_choice){.data_centre = server->entry.data_centre,
				     .instance = sender};
}

/*
 * Only sharded requests are relayed: their parts share the bytes of the request
 * and of the merged records, while other answers cannot be merged.
 */
static int relay_part(struct gateway_request *request,
		      struct dispatch_send *send)
{
	struct gateway *gateway = request->gateway;
	struct relay_choice choice;
	int ret;

	if (!request->route->sharded)
		return ERR_UNAVAILABLE;
	choice = choose_relay(gateway, request->route, send->server);
	if (!choice.data_centre)
		return ERR_UNAVAILABLE;
	request->relay.connections_max = send->part->target->connections_max;
	ret = relay_ask_send(&gateway->relay_ask, &request->relay, send,
			     choice.data_centre, choice.instance,
			     &send->handle);
	send->relayed = !ret;
	return ret;
}

/*
 * A request to a single server runs on one at a time in any case, so that its
 * retry is a trial if it has become a suspect meanwhile.
 */
static enum poison_trial trial_of(const struct gateway_request *request)
{
	const struct poison *poison = poison_of(request);

	if (request->dispatch.trial_part)
		return POISON_ON_TRIAL;
	if (request->suspect)
		return POISON_TRIAL_PASSED;
	if (!request->route->sharded &&
	    poison_suspect_set(poison, request->fingerprint))
		return POISON_ON_TRIAL;
	return POISON_NOT_TRIED;
}

static int send_part(void *arg, struct dispatch_send *send, int64_t deadline)
{
	struct gateway_request *request = arg;
	struct gateway *gateway = request->gateway;
	const struct server_job_rank rank = {
		.priority = request->route->priority,
		.goal_at = request->dispatch.soft_deadline,
		.send_by = request->dispatch.send_by,
	};
	struct server_job *turn;
	int ret;

	request->request.trial = trial_of(request);
	if (!relay_part(request, send))
		return 0;
	ret = server_queue_send(&gateway->server_queues.queues, send->server,
				&request->request, &rank, deadline,
				send->part->target->connections_max, on_result,
				send, &turn);
	if (!ret)
		send->handle = turn;
	if (ret == ERR_COLD)
		metric_inc(&gateway->counters.sends_cold);
	return ret;
}

static void abandon_send(void *arg, struct dispatch_send *send)
{
	struct gateway_request *request = arg;
	int64_t now = clock_now(&request->gateway->clock);
	int64_t linger = registry_linger(send->server, now);

	if (send->relayed) {
		relay_ask_abandon(send->handle, send->delivery);
		return;
	}
	/* If the connection were closed, it would be unknown whether it ran. */
	if (!request->route->repeatable)
		linger = request->deadline - now;
	server_job_abandon(send->handle, linger > 0 ? linger : 0,
			   send->delivery);
}

static bool is_queued(void *arg, const struct dispatch_send *send)
{
	(void)arg;
	return !send->relayed && server_job_is_unsent(send->handle);
}

void gateway_send_limit(struct gateway_request *request)
{
	const struct dispatch *dispatch = &request->dispatch;
	int i;
	int j;

	for (i = 0; i < dispatch->n_parts; i++) {
		const struct dispatch_part *part = &dispatch->parts[i];

		for (j = 0; j < part->n_sends; j++) {
			const struct dispatch_send *send = &part->sends[j];

			if (send->state == SEND_IN_FLIGHT &&
			    is_queued(request, send))
				server_job_limit(send->handle,
						 dispatch->send_by);
		}
	}
}

static void report_send(void *arg, const struct dispatch_send *send)
{
	struct gateway_request *request = arg;
	struct gateway_stats *counters = &request->gateway->counters;
	const struct budget_limit *limit = &request->gateway->limits.budget;
	const struct budget *budget = &send->part->service->budget;
	bool hedge = !strcmp(send->why, "hedge");

	metric_inc(&counters->sends);
	if (!strcmp(send->why, "first"))
		return;
	if (strcmp(send->why, "moved")) {
		metric_inc(hedge ? &counters->hedges : &counters->retries);
		if (!send->charged)
			metric_inc(&counters->second_sends_uncharged);
	}
	if (send->charged)
		metric_inc(&counters->second_sends_charged);
	LOG_INFO("sent_again", LOG_STR("request", request->request.id),
		 LOG_TEXT("why", send->why),
		 LOG_TEXT("service", send->part->service->name),
		 LOG_TEXT("server", send->server->entry.id),
		 LOG_I64("after_us", send->sent_at - request->dispatch.start),
		 LOG_TEXT("error", error_name(send->part->code)),
		 LOG_I64("charged", send->charged),
		 LOG_I64("unread", budget->unread),
		 LOG_F64("budget", budget->tokens),
		 LOG_F64("budget_most", budget_capacity(budget, limit)),
		 LOG_I64("entries", request->gateway->retry_share.divisor),
		 LOG_I64("uptime_ms", (clock_now(&request->gateway->clock) -
				       request->gateway->started_at) /
					      USEC_PER_MSEC));
}

static void log_limit_lowered(void *arg, const struct load_limit *load)
{
	const struct gateway_request *request = arg;

	LOG_INFO("load_limit_fell", LOG_STR("request", request->request.id),
		 LOG_TEXT("service", request->dispatch.parts[0].service->name),
		 LOG_F64("limit", load->limit),
		 LOG_I64("open", load->in_progress),
		 LOG_I64("parts_in", request->dispatch.n_answered),
		 LOG_I64("parts", request->dispatch.n_parts));
}

static bool is_safe(void *arg)
{
	const struct gateway_request *request = arg;

	return poison_has_run_well(poison_of(request), request->fingerprint);
}

/* Of what relays send, only crashes are reported here. */
static bool server_lives(void *arg, const struct dispatch_send *send)
{
	(void)arg;
	return !send->relayed && !send->server->broke_at;
}

static int count_crashed(void *arg)
{
	const struct gateway_request *request = arg;

	return poison_n_crashed(poison_of(request), request->fingerprint);
}

static int64_t trial_wait(void *arg, uint64_t *service)
{
	return gateway_trial_wait(arg, service);
}

static void log_held(const struct dispatch_part *part)
{
	struct gateway_request *request = part->dispatch->arg;

	metric_inc(&request->gateway->counters.retries_held);
	LOG_INFO("retry_held", LOG_STR("request", request->request.id),
		 LOG_U64("fingerprint", request->fingerprint),
		 LOG_TEXT("service", part->service->name),
		 LOG_I64("broke", part->dispatch->n_broke),
		 LOG_I64("parts", part->dispatch->n_parts),
		 LOG_I64("crashed", count_crashed(request)));
}

static void log_let_go(const struct dispatch_part *part, const char *why,
		       int64_t held_for)
{
	const struct gateway_request *request = part->dispatch->arg;

	LOG_INFO("retry_let_go", LOG_STR("request", request->request.id),
		 LOG_TEXT("service", part->service->name), LOG_TEXT("why", why),
		 LOG_I64("held_us", held_for));
}

static const struct dispatch_evidence evidence = {
	.is_safe = is_safe,
	.lives = server_lives,
	.n_crashed = count_crashed,
	.trial_wait = trial_wait,
	.held = log_held,
	.let_go = log_let_go,
};

/* Their answers show that they have received what may still be unread. */
static void ask_servers(void *arg, struct registry_service *service)
{
	struct gateway_request *request = arg;
	struct gateway *gateway = request->gateway;
	int64_t now = clock_now(&gateway->clock);
	struct registry_server *server;

	while ((server = unread_sends_to_ask(service->unread_sends, now))) {
		if (!upstream_ask(&gateway->upstream, server))
			metric_inc(&gateway->counters.second_sends_asked);
	}
}

const struct dispatch_ops gateway_send_ops = {
	.send = send_part,
	.abandon = abandon_send,
	.is_queued = is_queued,
	.sent = report_send,
	.limit_lowered = log_limit_lowered,
	.forecast_decided = gateway_report_forecast,
	.send_suppressed = gateway_report_resend_left_out,
	.unread = ask_servers,
	.evidence = &evidence,
};

/*
 * Relays send their first results shortly before the hedge delay ends, so that
 * the round trip between data centres is not mistaken for a slow server.
 */
void gateway_send_init(struct gateway_request *request)
{
	struct relay_client *relay = &request->relay;
	int64_t delay = dispatch_hedge_delay(&request->dispatch);

	request->request.fingerprint = request->fingerprint;
	if (request->route->sharded)
		request->request.records_max = (int)request->route->records_max;
	relay->request = &request->request;
	relay->fingerprint = request->fingerprint;
	relay->deadline = request->dispatch.deadline;
	relay->goal_at = request->dispatch.soft_deadline;
	relay->priority = request->route->priority;
	relay->records_max = request->route->records_max;
	relay->best_records = &request->dispatch.records;
	relay->result = on_relayed;
	relay->begin_batch = begin_batch;
	relay->end_batch = end_batch;
	relay->arg = request;
	relay->flush_after = delay - RELAY_ROUND_TRIP;
	if (relay->flush_after < RELAY_FLUSH_MIN)
		relay->flush_after = RELAY_FLUSH_MIN;
}
