/* Whether servers have room for a request, and what its end says of that. */
#include "dispatch_private.h"

#include "error.h"

/*
 * With fewer of the live parts in at the goal, load is what kept them out: one
 * in six shards that are slow at a time must not count as load.
 */
#define LOAD_PARTS_IN 0.65
/* A caller that was refused for load finds a slot after about so long. */
#define RETRY_AFTER_MS 100

static struct load_limit *load_of(const struct dispatch *dispatch)
{
	return &dispatch->parts[0].service->load;
}

/*
 * Only requests to many shards are limited: a server that gets too much refuses
 * by itself, and a request to one server ends there, but one to many shards has
 * burdened the others by then.
 */
bool dispatch_load_admit(struct dispatch *dispatch)
{
	if (!dispatch->route->sharded)
		return true;
	dispatch->admitted = load_limit_admit(load_of(dispatch));
	return dispatch->admitted;
}

static bool is_far_from_whole(const struct dispatch *dispatch)
{
	int live = dispatch->n_parts - dispatch->n_lost;

	return dispatch->n_in < live * LOAD_PARTS_IN;
}

/* Half the goal later, those that are sent now are over. */
static void lower_limit(struct dispatch *dispatch, int64_t now)
{
	int64_t period = MSEC(dispatch->route->goal_ms) / 2;

	if (load_limit_overloaded(load_of(dispatch), period, now) &&
	    dispatch->ops->limited)
		dispatch->ops->limited(dispatch->arg, load_of(dispatch));
}

/*
 * Without a live server of a shard a request fails early, with few parts in
 * as well: that says nothing about the load of the others. Broken connections
 * do: servers reset them while their queues are long.
 */
static bool is_for_load(int code)
{
	return code && code != ERR_NO_REPLICA;
}

void dispatch_load_judge(struct dispatch *dispatch, int code)
{
	int64_t now = clock_now(dispatch->clock);

	if (!dispatch->admitted || dispatch->judged)
		return;
	dispatch->judged = true;
	if (!code && now <= dispatch->answer_at)
		load_limit_served(load_of(dispatch));
	else if (is_for_load(code) && is_far_from_whole(dispatch))
		lower_limit(dispatch, now);
}

void dispatch_load_leave(struct dispatch *dispatch)
{
	if (dispatch->admitted)
		load_limit_end(load_of(dispatch));
	dispatch->admitted = false;
}

const struct load_limit *dispatch_load(const struct dispatch *dispatch)
{
	return load_of(dispatch);
}

int64_t dispatch_retry_after(const struct dispatch *dispatch)
{
	if (dispatch->code == ERR_NO_REPLICA && dispatch->n_lost)
		return outage_retry_after(dispatch->limits->outage,
					  dispatch->lost_since);
	return RETRY_AFTER_MS;
}
