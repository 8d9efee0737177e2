/* Admission of requests by load limit, and feedback of their outcomes to it. */
#include "dispatch_private.h"

#include "error.h"
#include "gateway_settings.h"
#include "load_share.h"

/*
 * With a lower share of the reachable parts answered at the goal, servers are
 * overloaded. A sixth of the shards being slow must not count as overload.
 */
#define OVERLOAD_RATIO 0.65
/*
 * The same with parts queued here and left out by forecast, where the limit is
 * only the last resort.
 */
#define OVERLOAD_RATIO_WITH_FORECAST 0.4
/*
 * Increase of the limit, in requests, each time as much work as it allows was
 * served. With priorities any excess is of low priority, so it may rise faster.
 */
#define LIMIT_INCREASE 1.0
#define LIMIT_INCREASE_WITH_PRIORITIES 2.0
/* Time until a caller refused for overload can expect a free slot. */
#define RETRY_AFTER_MS 100

static struct load_limit *load_limit_of(const struct dispatch *dispatch)
{
	return &dispatch->parts[0].service->load;
}

static bool uses_priorities(const struct dispatch *dispatch)
{
	const struct load_control *control = dispatch->limits->control;

	return control && control->priorities;
}

static bool uses_work_cost(const struct dispatch *dispatch)
{
	const struct load_control *control = dispatch->limits->control;

	return control && (control->priorities || control->returns);
}

/*
 * Without work costs, only sharded requests are limited, by their number. An
 * overloaded server refuses requests itself, which is enough for a request to
 * one server, but a sharded one has loaded the other servers by then.
 */
static bool uses_load_limit(const struct dispatch *dispatch)
{
	return dispatch->route->sharded || uses_work_cost(dispatch);
}

/* Before the first answer only the initial tail estimate is known. */
static double work_per_part(const struct latency *latency)
{
	return latency->unloaded ? latency->unloaded : latency->tail;
}

void dispatch_load_add_demand(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);

	dispatch->cost = 1;
	if (uses_priorities(dispatch))
		dispatch->level =
			server_estimate_level(dispatch->route->priority);
	if (uses_work_cost(dispatch))
		dispatch->cost += (int64_t)(work_per_part(dispatch->latency) *
					    dispatch->n_parts);
	if (uses_load_limit(dispatch) && !dispatch->promised)
		load_limit_count_request(load_limit_of(dispatch),
					 dispatch->level, dispatch->cost, now);
}

static void publish_limit(const struct dispatch *dispatch)
{
	const char *service = dispatch->parts[0].service->name;

	if (dispatch->limits->share && load_limit_of(dispatch)->limit)
		load_share_add_limit(dispatch->limits->share,
				     str_hash(str_from(service)),
				     load_limit_of(dispatch));
}

static bool admit_within_limit(const struct dispatch *dispatch, int64_t now)
{
	struct load_limit *load = load_limit_of(dispatch);
	struct peer_load view = {0};

	if (dispatch->limits->share && uses_priorities(dispatch))
		load_share_adopt(dispatch->limits->share,
				 dispatch->parts[0].service->name, load, &view);
	publish_limit(dispatch);
	return load_limit_admit(load, dispatch->level, dispatch->cost, &view,
				now);
}

/*
 * Admits callers that were told to come now. Single servers refuse requests
 * themselves, so that the highest priority level needs no limit there.
 */
static bool bypasses_limit(const struct dispatch *dispatch, int64_t now)
{
	if (dispatch->promised)
		return true;
	return !dispatch->route->sharded &&
	       load_limit_is_most_urgent(load_limit_of(dispatch),
					 dispatch->level, now);
}

bool dispatch_load_admit(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);

	if (!uses_load_limit(dispatch))
		return true;
	if (bypasses_limit(dispatch, now)) {
		load_limit_admit_always(load_limit_of(dispatch),
					dispatch->level, dispatch->cost, now);
		dispatch->admitted = true;
	} else {
		dispatch->admitted = admit_within_limit(dispatch, now);
	}
	return dispatch->admitted;
}

static bool lacks_answers(const struct dispatch *dispatch)
{
	const struct load_control *control = dispatch->limits->control;
	int n_reachable = dispatch->n_parts - dispatch->n_unreachable -
			  dispatch->n_left_out;
	double min = control && control->left_out ? OVERLOAD_RATIO_WITH_FORECAST
						  : OVERLOAD_RATIO;

	return dispatch->n_answered < n_reachable * min;
}

/* After half the goal, requests admitted before the limit fell have ended. */
static bool lower_limit(struct dispatch *dispatch, int64_t now)
{
	int64_t period = MSEC(dispatch->route->goal_ms) / 2;

	if (!dispatch->route->sharded)
		return load_limit_servers_full(load_limit_of(dispatch), now);
	return load_limit_lower(load_limit_of(dispatch), period, now);
}

static void handle_overload(struct dispatch *dispatch, int64_t now)
{
	if (!lower_limit(dispatch, now))
		return;
	publish_limit(dispatch);
	if (dispatch->ops->limit_lowered)
		dispatch->ops->limit_lowered(dispatch->arg,
					     load_limit_of(dispatch));
}

/*
 * A shard without a reachable server makes a request fail early, with few parts
 * answered, which is no sign of overload. Broken connections are: servers reset
 * them while their queues are long.
 */
static bool is_overload(const struct dispatch *dispatch, int code)
{
	if (!dispatch->route->sharded)
		return code == ERR_SHED || code == ERR_BUDGET;
	return code && code != ERR_NO_REPLICA && code != ERR_LEAVING &&
	       lacks_answers(dispatch);
}

void dispatch_load_report(struct dispatch *dispatch, int code)
{
	int64_t now = clock_now(dispatch->clock);

	if (!dispatch->admitted || dispatch->load_reported)
		return;
	dispatch->load_reported = true;
	if (!code && now <= dispatch->soft_deadline)
		load_limit_raise(load_limit_of(dispatch), dispatch->cost,
				 uses_priorities(dispatch)
					 ? LIMIT_INCREASE_WITH_PRIORITIES
					 : LIMIT_INCREASE);
	else if (is_overload(dispatch, code))
		handle_overload(dispatch, now);
}

static bool was_answered(const struct dispatch *dispatch)
{
	double min = dispatch->route->coverage_min * dispatch->n_parts;

	return dispatch->n_answered && dispatch->n_answered >= min;
}

void dispatch_load_release(struct dispatch *dispatch)
{
	if (!dispatch->admitted)
		return;
	if (was_answered(dispatch))
		load_limit_count_served(load_limit_of(dispatch), dispatch->cost,
					clock_now(dispatch->clock));
	load_limit_release(load_limit_of(dispatch), dispatch->level,
			   dispatch->cost);
	dispatch->admitted = false;
}

const struct load_limit *dispatch_load_limit(const struct dispatch *dispatch)
{
	return load_limit_of(dispatch);
}

bool dispatch_refused_for_load(const struct dispatch *dispatch)
{
	return dispatch->outcome == DISPATCH_REFUSED &&
	       (dispatch->code == ERR_OVERLOAD || dispatch->code == ERR_SHED ||
		dispatch->code == ERR_BUDGET);
}

double dispatch_capacity(const struct dispatch *dispatch)
{
	struct load_share *share = dispatch->limits->share;
	const char *service = dispatch->parts[0].service->name;
	struct peer_load view = {0};

	if (share)
		load_share_peer_load(share, str_hash(str_from(service)), &view);
	return load_limit_capacity(load_limit_of(dispatch), dispatch->level,
				   &view, clock_now(dispatch->clock));
}

int64_t dispatch_capacity_delay(const struct dispatch *dispatch)
{
	int64_t excess = load_limit_excess_time(load_limit_of(dispatch),
						clock_now(dispatch->clock));

	return excess > dispatch->capacity_delay ? excess
						 : dispatch->capacity_delay;
}

int64_t dispatch_retry_after(const struct dispatch *dispatch)
{
	if (dispatch->code == ERR_NO_REPLICA && dispatch->n_unreachable)
		return outage_retry_after(dispatch->limits->outage,
					  dispatch->outage_since);
	if (dispatch->capacity_delay > 0)
		return msec_round_up(dispatch->capacity_delay);
	return RETRY_AFTER_MS;
}
