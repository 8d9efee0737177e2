#include "dispatch_private.h"

#include <stdlib.h>
#include <string.h>

#include "dispatch_forecast.h"
#include "dispatch_hold.h"
#include "error.h"
#include "mem.h"

/*
 * Bounds of the hedge delay. A shorter one would hedge requests that are about
 * to be answered; with more than this share of the goal a hedge comes too late.
 */
#define HEDGE_DELAY_MIN MSEC(8)
#define HEDGE_DELAY_MAX_RATIO 0.35
/*
 * Share of answered parts from which on the others are hedged. While most parts
 * are late, overload is the cause and hedges would add to it.
 */
#define HEDGE_ANSWERED_RATIO_MIN 0.5
/*
 * The request ends this much before its deadline: at the deadline its sends
 * time out, too, and would report that instead.
 */
#define DEADLINE_MARGIN MSEC(2)
/*
 * Delay before a retry without budget is attempted again, and before a server
 * without a free connection or slot is tried again.
 */
#define RETRY_DELAY MSEC(5)
/* The same for a cold server, which accepts only a few requests per second. */
#define COLD_RETRY_DELAY MSEC(100)

int64_t dispatch_hedge_delay(const struct dispatch *dispatch)
{
	int64_t max = (int64_t)((double)MSEC(dispatch->route->goal_ms) *
				HEDGE_DELAY_MAX_RATIO);
	int64_t delay = (int64_t)dispatch->latency->tail;

	if (delay > max)
		delay = max;
	return delay < HEDGE_DELAY_MIN ? HEDGE_DELAY_MIN : delay;
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
		   int64_t deadline, int64_t soft_timeout)
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
	dispatch->send_by = INT64_MAX;
	dispatch->trial_due = INT64_MAX;
	dispatch->soft_deadline = dispatch->start + soft_timeout;
	dispatch->parts = mem_zalloc((size_t)n * sizeof(*dispatch->parts));
	for (i = 0; i < n; i++)
		init_part(dispatch, registry,
			  route->sharded ? route->targets[i].service : target);
	if (route->sharded)
		records_init(&dispatch->records, (int)route->records_max);
}

static void abandon_send(struct dispatch_send *send, struct delivery *delivery)
{
	struct dispatch *dispatch = send->part->dispatch;

	send->state = SEND_ENDED;
	send->delivery = delivery;
	dispatch->ops->abandon(dispatch->arg, send);
	send->delivery = NULL;
}

static void keep_unread(struct dispatch_send *send, struct delivery *delivery)
{
	struct dispatch_part *part = send->part;

	unread_sends_end(send->server, delivery_add(delivery), DELIVERY_UNKNOWN,
			 send->sent_at, clock_now(part->dispatch->clock));
	send->unknown = false;
}

/* Second sends stay counted in the budget until they have been received. */
static void abandon_sends(struct dispatch_part *part)
{
	struct delivery *delivery = NULL;
	int i;

	if (part->n_unread)
		delivery = delivery_new(&part->service->budget, part->received);
	for (i = 0; i < part->n_sends; i++) {
		struct dispatch_send *send = &part->sends[i];

		if (send->state == SEND_IN_FLIGHT)
			abandon_send(send, delivery);
		else if (send->unknown)
			keep_unread(send, delivery);
	}
	part->service->budget.unread -= part->n_unread;
	part->n_unread = 0;
	delivery_end(delivery, false);
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

static void end_dispatch(struct dispatch *dispatch,
			 enum dispatch_outcome outcome, int code)
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

static bool has_min_coverage(const struct dispatch *dispatch)
{
	/* The epsilon keeps rounding errors from requiring another part. */
	double share = (double)dispatch->n_answered / dispatch->n_parts + 1e-9;

	return dispatch->n_answered && share >= dispatch->route->coverage_min;
}

static bool can_reach_min_coverage(const struct dispatch *dispatch)
{
	int n_possible = dispatch->n_parts - dispatch->n_failed;
	double share = (double)n_possible / dispatch->n_parts + 1e-9;

	return n_possible && share >= dispatch->route->coverage_min;
}

static int first_failure_code(const struct dispatch *dispatch)
{
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		if (dispatch->parts[i].state == PART_FAILED)
			return dispatch->parts[i].code;
	}
	return ERR_TOO_LATE;
}

/* Sends in flight may still run. */
bool dispatch_may_have_run(const struct dispatch *dispatch)
{
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		if (dispatch_part_in_flight(&dispatch->parts[i]))
			return true;
	}
	return dispatch->maybe_ran;
}

/* Queued sends that are abandoned certainly do not run. */
static void abandon_queued_sends(struct dispatch *dispatch)
{
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		struct dispatch_part *part = &dispatch->parts[i];
		struct dispatch_send *send;

		while ((send = dispatch_part_queued_send(part))) {
			abandon_send(send, NULL);
			part->n_delivered--;
			dispatch_part_count_unread(part);
		}
	}
}

static void fail_all(struct dispatch *dispatch, int code)
{
	bool ran;

	abandon_queued_sends(dispatch);
	ran = dispatch_may_have_run(dispatch);

	end_dispatch(dispatch, ran ? DISPATCH_FAILED : DISPATCH_REFUSED, code);
}

/* Ends the request if its answer is ready or can no longer be reached. */
static void check_outcome(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);

	if (dispatch->outcome || dispatch->batching)
		return;
	if (now + DEADLINE_MARGIN >= dispatch->deadline &&
	    dispatch->n_answered < dispatch->n_parts &&
	    !has_min_coverage(dispatch))
		fail_all(dispatch,
			 dispatch->time_limited ? ERR_LEAVING : ERR_TOO_LATE);
	else if (dispatch->n_answered == dispatch->n_parts)
		end_dispatch(dispatch, DISPATCH_COMPLETE, 0);
	else if (dispatch->n_answered + dispatch->n_failed ==
			 dispatch->n_parts &&
		 has_min_coverage(dispatch))
		end_dispatch(dispatch, DISPATCH_PARTIAL, 0);
	else if (dispatch_has_failed_trial(dispatch))
		fail_all(dispatch, dispatch->trial_part->code);
	else if (dispatch_hold_is_hopeless(dispatch) &&
		 !dispatch_try_after_crashes(dispatch))
		fail_all(dispatch, ERR_LOST);
	else if (!can_reach_min_coverage(dispatch) &&
		 !dispatch_send_left_out(dispatch))
		fail_all(dispatch, first_failure_code(dispatch));
	else if (dispatch->route->sharded && has_min_coverage(dispatch) &&
		 (now >= dispatch->soft_deadline ||
		  now + DEADLINE_MARGIN >= dispatch->deadline))
		end_dispatch(dispatch, DISPATCH_PARTIAL, 0);
	else if (now >= dispatch->soft_deadline)
		dispatch_load_report(dispatch, ERR_TOO_LATE);
}

void dispatch_part_count_unread(struct dispatch_part *part)
{
	int n = delivery_unread(part->n_delivered - part->n_settled,
				part->received);

	part->service->budget.unread += n - part->n_unread;
	part->n_unread = n;
}

void dispatch_part_fail(struct dispatch_part *part)
{
	if (part->state != PART_PENDING)
		return;
	part->state = PART_FAILED;
	part->dispatch->n_failed++;
}

/*
 * Without budget or a free connection, a part is retried until the soft
 * deadline: each new request adds to the budget, and each that ends frees a
 * connection.
 */
void dispatch_part_retry_or_fail(struct dispatch_part *part, int code)
{
	struct dispatch *dispatch = part->dispatch;
	int64_t now = clock_now(dispatch->clock);
	int64_t period =
		part->code == ERR_COLD ? COLD_RETRY_DELAY : RETRY_DELAY;

	if (code == ERR_BUDGET && now + period < dispatch->soft_deadline)
		part->retry_at = now + period;
	else
		dispatch_part_fail(part);
}

/*
 * Parts without a reachable server would delay the request until its goal, and
 * their retries would use up the budget.
 */
static void fail_unreachable_parts(struct dispatch *dispatch)
{
	int64_t since;
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		if (!outage_affects(dispatch->limits->outage, part->service,
				    &since))
			continue;
		if (since > dispatch->outage_since)
			dispatch->outage_since = since;
		part->code = ERR_NO_REPLICA;
		dispatch->n_unreachable++;
		dispatch_part_fail(part);
	}
}

void dispatch_start_part(struct dispatch_part *part)
{
	int ret;

	if (part->state != PART_PENDING)
		return;
	ret = dispatch_part_send_first(part);
	if (ret)
		dispatch_part_retry_or_fail(part, ret);
}

static void send_pending(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);
	int i;

	for (i = 0; i < dispatch->n_parts && can_reach_min_coverage(dispatch);
	     i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		if (part->n_sends)
			part->retry_at = now;
		else
			dispatch_start_part(part);
	}
}

enum dispatch_outcome dispatch_start(struct dispatch *dispatch)
{
	fail_unreachable_parts(dispatch);
	if (can_reach_min_coverage(dispatch))
		dispatch_load_add_demand(dispatch);
	if (can_reach_min_coverage(dispatch) &&
	    (!dispatch_forecast(dispatch) || !dispatch_load_admit(dispatch))) {
		end_dispatch(dispatch, DISPATCH_REFUSED, ERR_OVERLOAD);
		return dispatch->outcome;
	}
	if (dispatch->trial_part)
		dispatch_start_trial(dispatch);
	else
		send_pending(dispatch);
	check_outcome(dispatch);
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

static void accept_answer(struct dispatch_part *part,
			  const struct dispatch_answer *answer)
{
	struct dispatch *dispatch = part->dispatch;

	part->state = PART_ANSWERED;
	part->stamp = mem_dup_len(answer->stamp.data, answer->stamp.len);
	dispatch->n_answered++;
	if (dispatch->route->sharded)
		records_add(&dispatch->records, answer->body, 0);
	abandon_sends(part);
	dispatch_hold_end(dispatch);
}

static void retry_part(struct dispatch_part *part)
{
	struct dispatch *dispatch = part->dispatch;
	int ret = ERR_NO_REPLICA;

	part->retry_at = INT64_MAX;
	if (dispatch->route->repeatable && dispatch_hold_back(part))
		return;
	if (dispatch->route->repeatable || !part->n_maybe_run)
		ret = dispatch_part_send_again(part, "retry", false);
	if (!ret || dispatch_part_in_flight(part))
		return;
	if (ret == ERR_NO_REPLICA && dispatch->n_parts == 1 &&
	    dispatch_try_after_crashes(dispatch))
		return;
	dispatch_part_retry_or_fail(part, ret);
}

/*
 * Whether the server had no free connection or slot and may have one soon. When
 * a server refuses for lack of a slot, only parts of sharded requests wait; a
 * caller of a single server gets the error at once.
 */
static bool is_server_busy(const struct dispatch *dispatch,
			   const struct dispatch_answer *answer)
{
	return dispatch_is_temporary(dispatch, answer->code) ||
	       (answer->code == ERR_SHED && dispatch->route->sharded);
}

bool dispatch_is_unsent(int code)
{
	return code == ERR_CONNECT || code == ERR_BUDGET ||
	       code == ERR_DRAINING || code == ERR_COLD ||
	       code == ERR_OVERLOAD || code == ERR_BANNED;
}

/*
 * A part earns tokens only once a server has received it: otherwise those of
 * all requests to servers that stand still would pile up there.
 */
static void note_received(struct dispatch_part *part)
{
	struct dispatch *dispatch = part->dispatch;

	if (part->received)
		return;
	part->received = true;
	budget_earn(&part->service->budget, &dispatch->limits->budget, 1,
		    clock_now(dispatch->clock));
}

static void record_delivery(struct dispatch_send *send,
			    const struct dispatch_answer *answer)
{
	struct dispatch_part *part = send->part;

	if (dispatch_is_unsent(answer->code))
		part->n_delivered--;
	else if (answer->delivery == DELIVERY_UNKNOWN)
		send->unknown = true;
	else
		part->n_settled++;
	if (answer->delivery == DELIVERY_RECEIVED &&
	    !dispatch_is_unsent(answer->code))
		note_received(part);
	dispatch_part_count_unread(part);
}

enum dispatch_outcome dispatch_result(struct dispatch *dispatch,
				      struct dispatch_send *send,
				      const struct dispatch_answer *answer)
{
	struct dispatch_part *part = send->part;

	send->state = SEND_ENDED;
	record_delivery(send, answer);
	if (answer->broke)
		dispatch_hold_note_break(send);
	if (is_server_busy(dispatch, answer))
		send->busy_until = clock_now(dispatch->clock) +
				   (answer->code == ERR_COLD ? COLD_RETRY_DELAY
							     : RETRY_DELAY);
	if (answer->not_run)
		part->n_maybe_run--;
	else
		dispatch->maybe_ran = true;
	if (dispatch->outcome || part->state != PART_PENDING)
		return dispatch->outcome;
	if (!answer->code && answer->success &&
	    !has_stamp(dispatch, answer->stamp)) {
		latency_add(dispatch->latency, answer->took);
		dispatch_forecast_update(send, answer->took);
		accept_answer(part, answer);
		if (part == dispatch->trial_part) {
			dispatch->trial_part = NULL;
			send_pending(dispatch);
		}
	} else {
		part->code = answer->code ? answer->code : ERR_UNKNOWN;
		retry_part(part);
		dispatch_continue_trial(dispatch);
	}
	check_outcome(dispatch);
	return dispatch->outcome;
}

void dispatch_begin_batch(struct dispatch *dispatch)
{
	dispatch->batching = true;
}

enum dispatch_outcome dispatch_end_batch(struct dispatch *dispatch)
{
	dispatch->batching = false;
	check_outcome(dispatch);
	return dispatch->outcome;
}

/* Whether late parts are stragglers, rather than all parts being late. */
static bool is_straggler(const struct dispatch *dispatch)
{
	return dispatch->n_parts == 1 ||
	       dispatch->n_answered >=
		       dispatch->n_parts * HEDGE_ANSWERED_RATIO_MIN;
}

/* A queued send is moved instead, so that it still runs at most once. */
static bool may_hedge(const struct dispatch_part *part)
{
	return part->dispatch->route->repeatable ||
	       dispatch_part_queued_send(part);
}

/*
 * If hedging fails it is attempted again later: other servers may recover and
 * the budget may grow before the deadline.
 */
static void hedge_part(struct dispatch_part *part, int64_t now)
{
	struct dispatch_send *queued;
	int ret;

	if (part->state != PART_PENDING || now < part->hedge_at)
		return;
	part->hedge_at = INT64_MAX;
	queued = dispatch_part_queued_send(part);
	if (!queued &&
	    part->n_maybe_run >= dispatch_servers_max(part->dispatch))
		return;
	ret = ERR_BUDGET;
	if (queued)
		ret = dispatch_part_move(part, queued);
	else if (is_straggler(part->dispatch) &&
		 !dispatch_hold_forbids_hedge(part))
		ret = dispatch_part_send_again(part, "hedge", true);
	if (ret)
		part->hedge_at = now + RETRY_DELAY;
}

void dispatch_limit_time(struct dispatch *dispatch, int64_t until)
{
	if (until >= dispatch->deadline)
		return;
	dispatch->deadline = until;
	dispatch->time_limited = true;
	if (dispatch->soft_deadline > until - DEADLINE_MARGIN)
		dispatch->soft_deadline = until - DEADLINE_MARGIN;
}

/* The other parts wait for the one on trial. */
static bool is_waiting_for_trial(const struct dispatch_part *part)
{
	const struct dispatch *dispatch = part->dispatch;

	return dispatch->trial_part && dispatch->trial_part != part;
}

enum dispatch_outcome dispatch_tick(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);
	int i;

	check_outcome(dispatch);
	for (i = 0; i < dispatch->n_parts && !dispatch->outcome; i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		if (is_waiting_for_trial(part))
			continue;
		if (part->state == PART_PENDING &&
		    (now >= part->retry_at ||
		     (dispatch->n_parts == 1 && now >= dispatch->trial_due)))
			retry_part(part);
		else if (may_hedge(part))
			hedge_part(part, now);
	}
	check_outcome(dispatch);
	return dispatch->outcome;
}

int64_t dispatch_due(const struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);
	int64_t due = dispatch->deadline - DEADLINE_MARGIN;
	int i;

	if (dispatch->route->sharded && dispatch->soft_deadline > now &&
	    dispatch->soft_deadline < due)
		due = dispatch->soft_deadline;
	if (dispatch->trial_due < due)
		due = dispatch->trial_due;
	for (i = 0; i < dispatch->n_parts; i++) {
		const struct dispatch_part *part = &dispatch->parts[i];

		if (part->state != PART_PENDING || is_waiting_for_trial(part))
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
		end_dispatch(dispatch, DISPATCH_CANCELLED, ERR_CANCELLED);
}
