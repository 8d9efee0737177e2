/* Whether servers have room for a request, and what its end says of that. */
#include "dispatch_private.h"

#include "error.h"
#include "gateway_settings.h"
#include "load_share.h"

/*
 * With fewer of the live parts in at the goal, load is what kept them out: one
 * in six shards that are slow at a time must not count as load.
 */
#define LOAD_PARTS_IN 0.65
/*
 * Where parts wait for their turn and are left out by what is expected of them,
 * the limit is the last guard.
 */
#define LOAD_PARTS_IN_LAST 0.4
/*
 * So many requests more for each limit's worth that is served. With priorities
 * what is too much are the less urgent ones, and it may rise faster.
 */
#define RISE 1.0
#define RISE_BY_PRIORITY 2.0
/* A caller that was refused for load finds a slot after about so long. */
#define RETRY_AFTER_MS 100

static struct load_limit *load_of(const struct dispatch *dispatch)
{
	return &dispatch->parts[0].service->load;
}

static bool is_by_priority(const struct dispatch *dispatch)
{
	const struct load_control *control = dispatch->limits->control;

	return control && control->priorities;
}

static bool is_measured(const struct dispatch *dispatch)
{
	const struct load_control *control = dispatch->limits->control;

	return control && (control->priorities || control->returns);
}

/*
 * Without measures, requests are counted, and only those to many shards: a
 * server that gets too much refuses by itself, and a request to one server ends
 * there, but one to many shards has burdened the others by then.
 */
static bool is_counted(const struct dispatch *dispatch)
{
	return dispatch->route->sharded || is_measured(dispatch);
}

/* Before the first answer only a guess is known. */
static double work_of(const struct latency *latency)
{
	return latency->unloaded ? latency->unloaded : latency->late;
}

void dispatch_load_add_demand(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);

	dispatch->cost = 1;
	if (is_by_priority(dispatch))
		dispatch->level =
			server_estimate_level(dispatch->route->priority);
	if (is_measured(dispatch))
		dispatch->cost += (int64_t)(work_of(dispatch->latency) *
					    dispatch->n_parts);
	if (is_counted(dispatch) && !dispatch->promised)
		load_limit_count_request(load_of(dispatch), dispatch->level,
					 dispatch->cost, now);
}

static void share_limit(const struct dispatch *dispatch)
{
	const char *service = dispatch->parts[0].service->name;

	if (dispatch->limits->share && load_of(dispatch)->limit)
		load_share_add_limit(dispatch->limits->share,
				     str_hash(str_from(service)),
				     load_of(dispatch));
}

static bool fits(const struct dispatch *dispatch, int64_t now)
{
	struct load_limit *load = load_of(dispatch);
	struct peer_load view = {0};

	if (dispatch->limits->share && is_by_priority(dispatch))
		load_share_adopt(dispatch->limits->share,
				 dispatch->parts[0].service->name, load, &view);
	share_limit(dispatch);
	return load_limit_admit(load, dispatch->level, dispatch->cost, &view,
				now);
}

/*
 * What was promised is let in. So is the most urgent level of a service of
 * single servers, which refuse by themselves.
 */
static bool is_let_in(const struct dispatch *dispatch, int64_t now)
{
	if (dispatch->promised)
		return true;
	return !dispatch->route->sharded &&
	       load_limit_is_most_urgent(load_of(dispatch), dispatch->level,
					 now);
}

bool dispatch_load_admit(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);

	if (!is_counted(dispatch))
		return true;
	if (is_let_in(dispatch, now)) {
		load_limit_admit_always(load_of(dispatch), dispatch->level,
					dispatch->cost, now);
		dispatch->admitted = true;
	} else {
		dispatch->admitted = fits(dispatch, now);
	}
	return dispatch->admitted;
}

static bool is_far_from_whole(const struct dispatch *dispatch)
{
	const struct load_control *control = dispatch->limits->control;
	int live = dispatch->n_parts - dispatch->n_lost - dispatch->n_left_out;
	double least = control && control->left_out ? LOAD_PARTS_IN_LAST
						    : LOAD_PARTS_IN;

	return dispatch->n_in < live * least;
}

/* Half the goal later, those that are sent now are over. */
static bool lower_limit(struct dispatch *dispatch, int64_t now)
{
	int64_t period = MSEC(dispatch->route->goal_ms) / 2;

	if (!dispatch->route->sharded)
		return load_limit_servers_full(load_of(dispatch), now);
	return load_limit_lower(load_of(dispatch), period, now);
}

static void note_overload(struct dispatch *dispatch, int64_t now)
{
	if (!lower_limit(dispatch, now))
		return;
	share_limit(dispatch);
	if (dispatch->ops->limited)
		dispatch->ops->limited(dispatch->arg, load_of(dispatch));
}

/*
 * Without a live server of a shard a request fails early, with few parts in
 * as well: that says nothing about the load of the others. Broken connections
 * do: servers reset them while their queues are long.
 */
static bool is_overload(const struct dispatch *dispatch, int code)
{
	if (!dispatch->route->sharded)
		return code == ERR_SHED || code == ERR_BUDGET;
	return code && code != ERR_NO_REPLICA && is_far_from_whole(dispatch);
}

void dispatch_load_report(struct dispatch *dispatch, int code)
{
	int64_t now = clock_now(dispatch->clock);

	if (!dispatch->admitted || dispatch->judged)
		return;
	dispatch->judged = true;
	if (!code && now <= dispatch->answer_at)
		load_limit_raise(load_of(dispatch), dispatch->cost,
				 is_by_priority(dispatch) ? RISE_BY_PRIORITY
							  : RISE);
	else if (is_overload(dispatch, code))
		note_overload(dispatch, now);
}

static bool has_worked(const struct dispatch *dispatch)
{
	double least = dispatch->route->coverage_min * dispatch->n_parts;

	return dispatch->n_in && dispatch->n_in >= least;
}

void dispatch_load_release(struct dispatch *dispatch)
{
	if (!dispatch->admitted)
		return;
	if (has_worked(dispatch))
		load_limit_count_served(load_of(dispatch), dispatch->cost,
					clock_now(dispatch->clock));
	load_limit_release(load_of(dispatch), dispatch->level, dispatch->cost);
	dispatch->admitted = false;
}

const struct load_limit *dispatch_load_limit(const struct dispatch *dispatch)
{
	return load_of(dispatch);
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
	return load_limit_capacity(load_of(dispatch), dispatch->level, &view,
				   clock_now(dispatch->clock));
}

int64_t dispatch_capacity_delay(const struct dispatch *dispatch)
{
	int64_t excess = load_limit_excess_time(load_of(dispatch),
						clock_now(dispatch->clock));

	return excess > dispatch->room_in ? excess : dispatch->room_in;
}

int64_t dispatch_retry_after(const struct dispatch *dispatch)
{
	if (dispatch->code == ERR_NO_REPLICA && dispatch->n_lost)
		return outage_retry_after(dispatch->limits->outage,
					  dispatch->lost_since);
	if (dispatch->room_in > 0)
		return (dispatch->room_in + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
	return RETRY_AFTER_MS;
}
