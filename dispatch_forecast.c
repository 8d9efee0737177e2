#include "dispatch_forecast.h"

#include <math.h>
#include <stdlib.h>

#include "dispatch_private.h"
#include "error.h"
#include "forecast.h"
#include "gateway_settings.h"
#include "mem.h"

/* Words of a server that are older say nothing of what waits there now. */
#define TOLD_AGE_MOST MSEC(1000)
/* A peer may tell any pace. */
#define SLOWNESS_LEAST 0.25
#define SLOWNESS_MOST 50.0

static bool is_on(const struct dispatch *dispatch)
{
	const struct load_control *control = dispatch->limits->control;

	return control && control->left_out && dispatch->route->sharded;
}

/* Before the first answer of its kind nothing is expected of a request. */
static bool can_expect(const struct dispatch *dispatch)
{
	return is_on(dispatch) && dispatch->latency->unloaded > 0;
}

static int needed(const struct dispatch *dispatch)
{
	return forecast_needed(dispatch->n_parts,
			       dispatch->route->coverage_min);
}

/* How many times its service's usual time a server takes lately. */
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
	else if (score->latency_at && now - score->latency_at < TOLD_AGE_MOST)
		pace = score->latency;
	return fmin(fmax(pace / usual, SLOWNESS_LEAST), SLOWNESS_MOST);
}

static int level_of(const struct dispatch *dispatch)
{
	return server_estimate_level(dispatch->route->priority);
}

static bool may_take(const struct dispatch *dispatch,
		     const struct registry_server *server)
{
	return registry_is_open(server) &&
	       region_set_allows(&dispatch->route->regions, server->region);
}

/*
 * Of the servers of a service, the one that looks best is often the one that
 * was told of longest ago. All are sent to alike, so that the mean says more of
 * each of them than its own word.
 */
static int64_t ahead_at(const struct dispatch *dispatch,
			const struct registry_server *server, int64_t now)
{
	const struct registry_service *service = server->service;
	int level = level_of(dispatch);
	int64_t sum = 0;
	int n = 0;
	int i;

	if (!server->estimate.levels[level].at)
		return 0;
	for (i = 0; i < service->n; i++) {
		if (!may_take(dispatch, service->servers[i]))
			continue;
		sum += server_estimate_wait(&service->servers[i]->estimate,
					    level, now);
		n++;
	}
	return n ? sum / n : 0;
}

static struct forecast_part expect(const struct dispatch *dispatch,
				   const struct registry_server *server,
				   int64_t now)
{
	double run = dispatch->latency->unloaded * slowness(server, now);

	return (struct forecast_part){
		.ahead = ahead_at(dispatch, server, now),
		.run = (int64_t)run,
		.told_at = server->estimate.levels[level_of(dispatch)].at,
	};
}

/* Sends of this instance that the servers of a service have not answered. */
static int under_way(const struct registry_service *service)
{
	int n = 0;
	int i;

	for (i = 0; i < service->n; i++)
		n += service->servers[i]->score.outstanding;
	return n;
}

/* Return: parts of other requests that are under way at the same servers. */
static int fill(struct dispatch *dispatch, struct forecast *forecast)
{
	int64_t now = clock_now(dispatch->clock);
	int n_others = 0;
	int i;

	forecast->goal = dispatch->answer_at - now;
	if (forecast->goal < 0)
		forecast->goal = 0;
	forecast->deadline = dispatch->deadline - now;
	forecast->lag = (int64_t)dispatch->latency->lag;
	forecast->needed = needed(dispatch);
	for (i = 0; i < dispatch->n_parts; i++) {
		const struct dispatch_part *part = &dispatch->parts[i];
		const struct registry_server *server;

		if (part->state != PART_PENDING)
			continue;
		server = dispatch_part_pick(part, false);
		if (!server)
			continue;
		forecast->parts[forecast->n] = expect(dispatch, server, now);
		forecast->parts[forecast->n++].index = i;
		n_others += under_way(part->service);
	}
	return n_others;
}

static void leave_out(struct dispatch *dispatch,
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

static void decide(struct dispatch *dispatch, struct forecast *forecast)
{
	forecast_decide(forecast);
	leave_out(dispatch, forecast);
	dispatch->foreseen = forecast->refused;
	dispatch->room_in = forecast->room_in;
	dispatch->expected_answer_at = clock_now(dispatch->clock) +
				       forecast_answer_time(forecast->deciding);
	if (dispatch->ops->foreseen &&
	    (forecast->refused || forecast->n_left_out))
		dispatch->ops->foreseen(dispatch->arg, forecast);
}

bool dispatch_forecast(struct dispatch *dispatch)
{
	struct forecast forecast = {.promised = dispatch->promised};

	if (!can_expect(dispatch))
		return true;
	forecast.parts =
		mem_zalloc((size_t)dispatch->n_parts * sizeof(*forecast.parts));
	/* The only one under way shows whether servers recovered. */
	forecast.probe = fill(dispatch, &forecast) < forecast.n;
	if (forecast.n >= forecast.needed)
		decide(dispatch, &forecast);
	free(forecast.parts);
	return !forecast.refused;
}

bool dispatch_send_left_out(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);
	int most =
		dispatch->n_parts - dispatch->n_failed + dispatch->n_left_out;
	bool sent = false;
	int i;

	if (!dispatch->n_left_out || most < needed(dispatch))
		return false;
	dispatch->n_left_out = 0;
	for (i = 0; i < dispatch->n_parts; i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		if (part->state != PART_FAILED || part->code != ERR_LEFT_OUT)
			continue;
		budget_count_needed(&part->service->budget,
				    &dispatch->limits->budget, 1, now);
		if (dispatch_part_send(part, "first", false))
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
	bool enough = dispatch->n_in >= needed(dispatch);
	const struct registry_server *server;
	struct forecast_part expected;

	if (!can_expect(dispatch))
		return true;
	server = dispatch_part_pick(part, hedge);
	if (!server)
		return true;
	expected = expect(dispatch, server, now);
	if (now + forecast_answer_time(&expected) <=
	    (enough ? dispatch->answer_at : dispatch->deadline))
		return true;
	if (!part->kept_back && dispatch->ops->kept_back)
		dispatch->ops->kept_back(dispatch->arg, part, &expected);
	part->kept_back = true;
	return false;
}

/*
 * Of what this instance sent since the last word, nobody has told it yet: a
 * burst would find every queue as short as its first request did. A server that
 * it sends to itself is told of by its own queue.
 */
void dispatch_forecast_add_sent(const struct dispatch_send *send)
{
	const struct dispatch *dispatch = send->part->dispatch;
	struct registry_server *server = send->server;
	struct server_estimate *outlook = &server->estimate;
	int64_t now = clock_now(dispatch->clock);
	int64_t slots = server->entry.slots > 0 ? server->entry.slots : 1;
	int64_t more;
	int i;

	if (!can_expect(dispatch) || server->queue ||
	    !outlook->processing_time_at ||
	    now - outlook->processing_time_at > TOLD_AGE_MOST)
		return;
	more = expect(dispatch, server, now).run / slots;
	for (i = level_of(dispatch); i < ESTIMATE_LEVELS; i++)
		server_estimate_set_wait(outlook, i,
					 server_estimate_wait(outlook, i, now) +
						 more,
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
	    dispatch->n_in + 1 == needed(dispatch))
		latency_add_forecast_error(dispatch->latency,
					   now - dispatch->expected_answer_at);
}
