#include "dispatch_private.h"

#include <stdlib.h>
#include <string.h>

#include "dispatch_forecast.h"
#include "error.h"
#include "mem.h"

/*
 * Another server is asked once an answer is later than most; the estimate is
 * kept within these bounds. Below the least a hedge would meet answers that
 * are about to come; above the share of the goal it would come too late.
 */
#define HEDGE_LEAST MSEC(8)
#define HEDGE_MOST_OF_GOAL 0.35
/*
 * A hedge helps where one server is late among many that are not. If most parts
 * of a request are late, load is the cause and hedges add to it.
 */
#define HEDGE_PARTS_IN 0.5
/* Sends end at the deadline too: what they say then is that time is up. */
#define DEADLINE_SLACK MSEC(2)
/*
 * A retry without budget left is tried again so much later, and so is a server
 * that had no connection or no slot free.
 */
#define RETRY_PERIOD MSEC(5)
/* A cold server bears another request so much later: it bears some a second. */
#define COLD_PERIOD MSEC(100)

int64_t dispatch_hedge_delay(const struct dispatch *dispatch)
{
	int64_t most = (int64_t)((double)MSEC(dispatch->route->goal_ms) *
				 HEDGE_MOST_OF_GOAL);
	int64_t delay = (int64_t)dispatch->latency->late;

	if (delay > most)
		delay = most;
	return delay < HEDGE_LEAST ? HEDGE_LEAST : delay;
}

static void init_part(struct dispatch *dispatch, struct registry *registry,
		      const struct route_service *target)
{
	struct dispatch_part *part = &dispatch->parts[dispatch->n_parts++];

	part->dispatch = dispatch;
	part->target = target;
	part->service = registry_service(registry, str_from(target->name));
	part->hedge_at = INT64_MAX;
	part->retry_at = INT64_MAX;
	if (part->service->budget_set)
		return;
	part->service->budget_set = true;
	budget_init(&part->service->budget, &dispatch->limits->budget,
		    clock_now(dispatch->clock));
}

void dispatch_init(struct dispatch *dispatch, const struct clock *clock,
		   const struct dispatch_ops *ops,
		   const struct dispatch_limits *limits, void *arg,
		   struct registry *registry, const struct route *route,
		   const struct route_service *target, struct latency *latency,
		   int64_t deadline, int64_t answer_after)
{
	int n = route->sharded ? route->n_targets : 1;
	int i;

	memset(dispatch, 0, sizeof(*dispatch));
	dispatch->clock = clock;
	dispatch->ops = ops;
	dispatch->limits = limits;
	dispatch->arg = arg;
	dispatch->route = route;
	dispatch->latency = latency;
	dispatch->start = clock_now(clock);
	dispatch->deadline = deadline;
	dispatch->answer_at = dispatch->start + answer_after;
	dispatch->parts = mem_zalloc((size_t)n * sizeof(*dispatch->parts));
	for (i = 0; i < n; i++)
		init_part(dispatch, registry,
			  route->sharded ? route->targets[i].service : target);
	if (route->sharded)
		records_init(&dispatch->records, (int)route->records_max);
}

static void abandon_sends(struct dispatch_part *part)
{
	int i;

	for (i = 0; i < part->n_sends; i++) {
		struct dispatch_send *send = &part->sends[i];

		if (send->state != SEND_IN_FLIGHT)
			continue;
		send->state = SEND_ENDED;
		part->dispatch->ops->abandon(part->dispatch->arg, send);
	}
}

void dispatch_finish(struct dispatch *dispatch)
{
	int i;
	int j;

	dispatch_load_release(dispatch);

	for (i = 0; i < dispatch->n_parts; i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		abandon_sends(part);
		for (j = 0; j < part->n_sends; j++)
			registry_server_unref(part->sends[j].server);
		free(part->stamp);
	}
	free(dispatch->parts);
	if (dispatch->route->sharded)
		records_finish(&dispatch->records);
}

static void end(struct dispatch *dispatch, enum dispatch_outcome outcome,
		int code)
{
	int i;

	if (outcome != DISPATCH_CANCELLED)
		dispatch_load_report(dispatch, code);
	dispatch_load_release(dispatch);
	dispatch->outcome = outcome;
	dispatch->code = code;
	for (i = 0; i < dispatch->n_parts; i++)
		abandon_sends(&dispatch->parts[i]);
}

static bool is_enough(const struct dispatch *dispatch)
{
	/* A rounding error must not ask for one part more. */
	double share = (double)dispatch->n_in / dispatch->n_parts + 1e-9;

	return dispatch->n_in && share >= dispatch->route->coverage_min;
}

static bool can_be_enough(const struct dispatch *dispatch)
{
	int most = dispatch->n_parts - dispatch->n_failed;
	double share = (double)most / dispatch->n_parts + 1e-9;

	return most && share >= dispatch->route->coverage_min;
}

static int worst_code(const struct dispatch *dispatch)
{
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		if (dispatch->parts[i].state == PART_FAILED)
			return dispatch->parts[i].code;
	}
	return ERR_TOO_LATE;
}

/* What is still under way may run, though nobody waits for its answer. */
static bool may_have_run(const struct dispatch *dispatch)
{
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		if (dispatch_part_in_flight(&dispatch->parts[i]))
			return true;
	}
	return dispatch->ran;
}

/* What has not left this instance does not run any more. */
static void take_back_waiting(struct dispatch *dispatch)
{
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		struct dispatch_part *part = &dispatch->parts[i];
		struct dispatch_send *send;

		while ((send = dispatch_part_queued_send(part))) {
			send->state = SEND_ENDED;
			dispatch->ops->abandon(dispatch->arg, send);
		}
	}
}

static void fail_all(struct dispatch *dispatch, int code)
{
	bool ran;

	take_back_waiting(dispatch);
	ran = may_have_run(dispatch);

	end(dispatch, ran ? DISPATCH_FAILED : DISPATCH_REFUSED, code);
}

/* Whether the answer is ready, or cannot come any more. */
static void review(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);

	if (dispatch->outcome || dispatch->held)
		return;
	if (now + DEADLINE_SLACK >= dispatch->deadline &&
	    dispatch->n_in < dispatch->n_parts && !is_enough(dispatch))
		fail_all(dispatch, ERR_TOO_LATE);
	else if (dispatch->n_in == dispatch->n_parts)
		end(dispatch, DISPATCH_COMPLETE, 0);
	else if (dispatch->n_in + dispatch->n_failed == dispatch->n_parts &&
		 is_enough(dispatch))
		end(dispatch, DISPATCH_PARTIAL, 0);
	else if (!can_be_enough(dispatch) && !dispatch_send_left_out(dispatch))
		fail_all(dispatch, worst_code(dispatch));
	else if (dispatch->route->sharded && now >= dispatch->answer_at &&
		 is_enough(dispatch))
		end(dispatch, DISPATCH_PARTIAL, 0);
	else if (now >= dispatch->answer_at)
		dispatch_load_report(dispatch, ERR_TOO_LATE);
}

void dispatch_part_fail(struct dispatch_part *part)
{
	if (part->state != PART_PENDING)
		return;
	part->state = PART_FAILED;
	part->dispatch->n_failed++;
}

/*
 * Without budget or a free connection, a part waits for it as long as others
 * are waited for: each request that comes adds to the budget, and each that
 * ends frees a connection.
 */
static void wait_or_fail(struct dispatch_part *part, int code)
{
	struct dispatch *dispatch = part->dispatch;
	int64_t now = clock_now(dispatch->clock);
	int64_t period = part->code == ERR_COLD ? COLD_PERIOD : RETRY_PERIOD;

	if (code == ERR_BUDGET && now + period < dispatch->answer_at)
		part->retry_at = now + period;
	else
		dispatch_part_fail(part);
}

/*
 * Shards without a live server would hold the request up until its goal, and
 * the extra sends to them be taken from others.
 */
static void leave_out_lost(struct dispatch *dispatch)
{
	int64_t since;
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		if (!outage_affects(dispatch->limits->outage, part->service,
				    &since))
			continue;
		if (since > dispatch->lost_since)
			dispatch->lost_since = since;
		part->code = ERR_NO_REPLICA;
		dispatch->n_lost++;
		dispatch_part_fail(part);
	}
}

static void send_first(struct dispatch_part *part)
{
	struct dispatch *dispatch = part->dispatch;
	int ret;

	if (part->state != PART_PENDING)
		return;
	budget_count_needed(&part->service->budget, &dispatch->limits->budget,
			    1, clock_now(dispatch->clock));
	ret = dispatch_part_send(part, "first", false);
	if (ret)
		wait_or_fail(part, ret);
}

enum dispatch_outcome dispatch_start(struct dispatch *dispatch)
{
	int i;

	leave_out_lost(dispatch);
	if (can_be_enough(dispatch))
		dispatch_load_add_demand(dispatch);
	if (can_be_enough(dispatch) &&
	    (!dispatch_forecast(dispatch) || !dispatch_load_admit(dispatch))) {
		end(dispatch, DISPATCH_REFUSED, ERR_OVERLOAD);
		return dispatch->outcome;
	}
	for (i = 0; i < dispatch->n_parts && can_be_enough(dispatch); i++)
		send_first(&dispatch->parts[i]);
	review(dispatch);
	return dispatch->outcome;
}

static bool has_stamp(const struct dispatch *dispatch, struct str stamp)
{
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		if (dispatch->parts[i].stamp &&
		    str_eq_text(stamp, dispatch->parts[i].stamp))
			return true;
	}
	return false;
}

static void take_part(struct dispatch_part *part,
		      const struct dispatch_answer *answer)
{
	struct dispatch *dispatch = part->dispatch;

	part->state = PART_ANSWERED;
	part->stamp = mem_dup_len(answer->stamp.data, answer->stamp.len);
	dispatch->n_in++;
	if (dispatch->route->sharded)
		records_add(&dispatch->records, answer->body, 0);
	abandon_sends(part);
}

static void try_again(struct dispatch_part *part)
{
	struct dispatch *dispatch = part->dispatch;
	int ret = ERR_NO_REPLICA;

	part->retry_at = INT64_MAX;
	if (dispatch->route->repeatable || !part->n_maybe_run)
		ret = dispatch_part_send_again(part, "retry", false);
	if (ret && !dispatch_part_in_flight(part))
		wait_or_fail(part, ret);
}

/*
 * No connection or no slot was free: in a moment one may be. A caller of a
 * single server is told at once that its request did not run; a part of a
 * sharded request holds nobody up while others are waited for.
 */
static bool is_busy(const struct dispatch *dispatch,
		    const struct dispatch_answer *answer)
{
	return dispatch_is_temporary(dispatch, answer->code) ||
	       (answer->code == ERR_SHED && dispatch->route->sharded);
}

/* It never reached a server, so that it is no second send to its service. */
bool dispatch_is_unsent(int code)
{
	return code == ERR_CONNECT || code == ERR_BUDGET ||
	       code == ERR_DRAINING || code == ERR_COLD ||
	       code == ERR_OVERLOAD || code == ERR_BANNED;
}

enum dispatch_outcome dispatch_result(struct dispatch *dispatch,
				      struct dispatch_send *send,
				      const struct dispatch_answer *answer)
{
	struct dispatch_part *part = send->part;

	send->state = SEND_ENDED;
	if (dispatch_is_unsent(answer->code))
		part->n_delivered--;
	if (is_busy(dispatch, answer))
		send->busy_until =
			clock_now(dispatch->clock) +
			(answer->code == ERR_COLD ? COLD_PERIOD : RETRY_PERIOD);
	if (answer->not_run)
		part->n_maybe_run--;
	else
		dispatch->ran = true;
	if (dispatch->outcome || part->state != PART_PENDING)
		return dispatch->outcome;
	if (!answer->code && answer->success &&
	    !has_stamp(dispatch, answer->stamp)) {
		latency_add(dispatch->latency, answer->took);
		dispatch_forecast_update(send, answer->took);
		take_part(part, answer);
	} else {
		part->code = answer->code ? answer->code : ERR_UNKNOWN;
		try_again(part);
	}
	review(dispatch);
	return dispatch->outcome;
}

void dispatch_begin_batch(struct dispatch *dispatch)
{
	dispatch->held = true;
}

enum dispatch_outcome dispatch_end_batch(struct dispatch *dispatch)
{
	dispatch->held = false;
	review(dispatch);
	return dispatch->outcome;
}

/* Whether it is this part that is late, and not all of them. */
static bool is_straggler(const struct dispatch *dispatch)
{
	return dispatch->n_parts == 1 ||
	       dispatch->n_in >= dispatch->n_parts * HEDGE_PARTS_IN;
}

/* What has not left this instance is moved, and runs once at most. */
static bool may_hedge(const struct dispatch_part *part)
{
	return part->dispatch->route->repeatable ||
	       dispatch_part_queued_send(part);
}

/*
 * The shard's other servers may be stopped as well, or the budget used up: both
 * change within the time that is left.
 */
static void hedge_part(struct dispatch_part *part, int64_t now)
{
	struct dispatch_send *waiting;
	int ret;

	if (part->state != PART_PENDING || now < part->hedge_at)
		return;
	part->hedge_at = INT64_MAX;
	waiting = dispatch_part_queued_send(part);
	if (!waiting && part->n_maybe_run >= part->dispatch->route->servers_max)
		return;
	ret = ERR_BUDGET;
	if (waiting)
		ret = dispatch_part_move(part, waiting);
	else if (is_straggler(part->dispatch))
		ret = dispatch_part_send_again(part, "hedge", true);
	if (ret)
		part->hedge_at = now + RETRY_PERIOD;
}

enum dispatch_outcome dispatch_tick(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);
	int i;

	review(dispatch);
	for (i = 0; i < dispatch->n_parts && !dispatch->outcome; i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		if (part->state == PART_PENDING && now >= part->retry_at)
			try_again(part);
		else if (may_hedge(part))
			hedge_part(part, now);
	}
	review(dispatch);
	return dispatch->outcome;
}

int64_t dispatch_due(const struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);
	int64_t due = dispatch->deadline - DEADLINE_SLACK;
	int i;

	if (dispatch->route->sharded && dispatch->answer_at > now &&
	    dispatch->answer_at < due)
		due = dispatch->answer_at;
	for (i = 0; i < dispatch->n_parts; i++) {
		const struct dispatch_part *part = &dispatch->parts[i];

		if (part->state != PART_PENDING)
			continue;
		if (part->retry_at < due)
			due = part->retry_at;
		if (part->hedge_at < due && may_hedge(part))
			due = part->hedge_at;
	}
	return due;
}

void dispatch_cancel(struct dispatch *dispatch)
{
	if (!dispatch->outcome)
		end(dispatch, DISPATCH_CANCELLED, ERR_CANCELLED);
}
