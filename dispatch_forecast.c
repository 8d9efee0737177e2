#include "dispatch_forecast.h"

#include <math.h>
#include <stdlib.h>

#include "dispatch_private.h"
#include "error.h"
#include "forecast.h"
#include "gateway_settings.h"
#include "mem.h"

/* Older reports of a server's state say nothing about its present queue. */
#define REPORT_AGE_MAX MSEC(1000)
/* Bounds of a server's slowness, as peers may report any pace. */
#define SLOWNESS_MIN 0.25
#define SLOWNESS_MAX 50.0

static bool is_enabled(const struct dispatch *dispatch)
{
	const struct load_control *control = dispatch->limits->control;

	return control && control->left_out && dispatch->route->sharded;
}

/* Before the first answer of the route there is no latency to expect. */
static bool can_forecast(const struct dispatch *dispatch)
{
	return is_enabled(dispatch) && dispatch->latency->unloaded > 0;
}

static int parts_needed(const struct dispatch *dispatch)
{
	return forecast_needed(dispatch->n_parts,
			       dispatch->route->coverage_min);
}

/* Recent response time of a server, relative to its service's usual one. */
static double slowness(const struct registry_server *server, int64_t now)
{
	const struct server_score *score = &server->score;
	double usual = server->service->baseline_latency;
	double pace = usual;

	if (usual <= 0)
		return 1;
	if (server->estimate.processing_time_at)
		pace = server_estimate_processing_time(&server->estimate, usual,
						       now);
	else if (score->latency_at && now - score->latency_at < REPORT_AGE_MAX)
		pace = score->latency;
	return fmin(fmax(pace / usual, SLOWNESS_MIN), SLOWNESS_MAX);
}

static int level_of(const struct dispatch *dispatch)
{
	return server_estimate_level(dispatch->route->priority);
}

static bool is_eligible(const struct dispatch *dispatch,
			const struct registry_server *server)
{
	return registry_is_open(server) &&
	       region_set_allows(&dispatch->route->regions, server->region);
}

/*
 * Expected wait in a server's queue, averaged over its service: the server with
 * the shortest queue is often the one with the oldest report, and as requests
 * are spread evenly, the mean describes each server better than its own report.
 */
static int64_t expected_queue_wait(const struct dispatch *dispatch,
				   const struct registry_server *server,
				   int64_t now)
{
	const struct registry_service *service = server->service;
	int level = level_of(dispatch);
	int64_t sum = 0;
	int n = 0;
	int i;

	if (!server->estimate.levels[level].at)
		return 0;
	for (i = 0; i < service->n; i++) {
		if (!is_eligible(dispatch, service->servers[i]))
			continue;
		sum += server_estimate_wait(&service->servers[i]->estimate,
					    level, now);
		n++;
	}
	return n ? sum / n : 0;
}

static struct forecast_part
forecast_server(const struct dispatch *dispatch,
		const struct registry_server *server, int64_t now)
{
	double run = dispatch->latency->unloaded * slowness(server, now);

	return (struct forecast_part){
		.queue_wait = expected_queue_wait(dispatch, server, now),
		.run_time = (int64_t)run,
		.reported_at = server->estimate.levels[level_of(dispatch)].at,
	};
}

/* Unanswered sends of this instance to the servers of a service. */
static int n_in_flight(const struct registry_service *service)
{
	int n = 0;
	int i;

	for (i = 0; i < service->n; i++)
		n += service->servers[i]->score.outstanding;
	return n;
}

/* Return: parts of other requests in flight to the same services. */
static int fill_forecast(struct dispatch *dispatch, struct forecast *forecast)
{
	int64_t now = clock_now(dispatch->clock);
	int n_others = 0;
	int i;

	forecast->goal = dispatch->soft_deadline - now;
	if (forecast->goal < 0)
		forecast->goal = 0;
	forecast->deadline = dispatch->deadline - now;
	forecast->lag = (int64_t)dispatch->latency->forecast_error;
	forecast->needed = parts_needed(dispatch);
	for (i = 0; i < dispatch->n_parts; i++) {
		const struct dispatch_part *part = &dispatch->parts[i];
		const struct registry_server *server;

		if (part->state != PART_PENDING)
			continue;
		server = dispatch_part_pick(part, false);
		if (!server)
			continue;
		forecast->parts[forecast->n] =
			forecast_server(dispatch, server, now);
		forecast->parts[forecast->n++].index = i;
		n_others += n_in_flight(part->service);
	}
	return n_others;
}

static void fail_left_out_parts(struct dispatch *dispatch,
				const struct forecast *forecast)
{
	int i;

	for (i = 0; i < forecast->n; i++) {
		struct dispatch_part *part =
			&dispatch->parts[forecast->parts[i].index];

		if (!forecast->parts[i].left_out)
			continue;
		part->code = ERR_LEFT_OUT;
		dispatch_part_fail(part);
		dispatch->n_left_out++;
	}
}

static void apply_forecast(struct dispatch *dispatch, struct forecast *forecast)
{
	forecast_decide(forecast);
	fail_left_out_parts(dispatch, forecast);
	dispatch->refused_by_forecast = forecast->refused;
	dispatch->capacity_delay = forecast->capacity_in;
	dispatch->expected_answer_at =
		clock_now(dispatch->clock) +
		forecast_answer_time(forecast->last_needed);
	if (dispatch->ops->forecast_decided &&
	    (forecast->refused || forecast->n_left_out))
		dispatch->ops->forecast_decided(dispatch->arg, forecast);
}

bool dispatch_forecast(struct dispatch *dispatch)
{
	struct forecast forecast = {.promised = dispatch->promised};

	if (!can_forecast(dispatch))
		return true;
	forecast.parts =
		mem_zalloc((size_t)dispatch->n_parts * sizeof(*forecast.parts));
	/* The only request in flight probes whether servers recovered. */
	forecast.probe = fill_forecast(dispatch, &forecast) < forecast.n;
	if (forecast.n >= forecast.needed)
		apply_forecast(dispatch, &forecast);
	free(forecast.parts);
	return !forecast.refused;
}

bool dispatch_send_left_out(struct dispatch *dispatch)
{
	int n_possible =
		dispatch->n_parts - dispatch->n_failed + dispatch->n_left_out;
	bool sent = false;
	int i;

	if (!dispatch->n_left_out || n_possible < parts_needed(dispatch))
		return false;
	dispatch->n_left_out = 0;
	for (i = 0; i < dispatch->n_parts; i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		if (part->state != PART_FAILED || part->code != ERR_LEFT_OUT)
			continue;
		if (dispatch_part_send_first(part))
			continue;
		part->state = PART_PENDING;
		dispatch->n_failed--;
		sent = true;
	}
	return sent;
}

bool dispatch_is_worth_sending(struct dispatch_part *part, bool hedge)
{
	struct dispatch *dispatch = part->dispatch;
	int64_t now = clock_now(dispatch->clock);
	bool enough = dispatch->n_answered >= parts_needed(dispatch);
	const struct registry_server *server;
	struct forecast_part expected;

	if (!can_forecast(dispatch))
		return true;
	server = dispatch_part_pick(part, hedge);
	if (!server)
		return true;
	expected = forecast_server(dispatch, server, now);
	if (now + forecast_answer_time(&expected) <=
	    (enough ? dispatch->soft_deadline : dispatch->deadline))
		return true;
	if (!part->suppressed && dispatch->ops->send_suppressed)
		dispatch->ops->send_suppressed(dispatch->arg, part, &expected);
	part->suppressed = true;
	return false;
}

/*
 * Reports do not include what this instance has sent since the last one, so a
 * burst would find every queue as short as its first request did. Servers with
 * a queue in this instance need no correction, as that queue reports them.
 */
void dispatch_forecast_add_sent(const struct dispatch_send *send)
{
	const struct dispatch *dispatch = send->part->dispatch;
	struct registry_server *server = send->server;
	struct server_estimate *estimate = &server->estimate;
	int64_t now = clock_now(dispatch->clock);
	int64_t slots = server->entry.slots > 0 ? server->entry.slots : 1;
	int64_t added_wait;
	int i;

	if (!can_forecast(dispatch) || server->queue ||
	    !estimate->processing_time_at ||
	    now - estimate->processing_time_at > REPORT_AGE_MAX)
		return;
	added_wait = forecast_server(dispatch, server, now).run_time / slots;
	for (i = level_of(dispatch); i < ESTIMATE_LEVELS; i++)
		server_estimate_set_wait(estimate, i,
					 server_estimate_wait(estimate, i,
							      now) +
						 added_wait,
					 now);
}

void dispatch_forecast_update(const struct dispatch_send *send, int64_t took)
{
	const struct dispatch *dispatch = send->part->dispatch;
	const struct load_control *control = dispatch->limits->control;
	int64_t now = clock_now(dispatch->clock);

	if (!control ||
	    (!control->left_out && !control->priorities && !control->returns))
		return;
	latency_add_unloaded(dispatch->latency,
			     (double)took / slowness(send->server, now));
	if (dispatch->expected_answer_at &&
	    dispatch->n_answered + 1 == parts_needed(dispatch))
		latency_add_forecast_error(dispatch->latency,
					   now - dispatch->expected_answer_at);
}
