#include "stop_plan.h"

#include "clock.h"

/*
 * Share of the grace time between the last answers and the kill. Callers read
 * their answers in the first part of it.
 */
#define RESERVE_RATIO 0.125
#define RESERVE_MIN MSEC(250)
#define RESERVE_MAX MSEC(1000)
#define RESERVE_RATIO_MAX 0.4
/* Of the reserve; the rest is for an event loop that is late. */
#define READ_RATIO 0.5
/* Time for a first answer to be late, and for that of a second server. */
#define USUAL_TIMES 2

static int64_t max_of(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t min_of(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

void stop_plan_init(struct stop_plan *plan, int64_t since, int64_t grace)
{
	int64_t reserve = (int64_t)((double)grace * RESERVE_RATIO);

	reserve = min_of(max_of(reserve, RESERVE_MIN), RESERVE_MAX);
	reserve = min_of(reserve, (int64_t)((double)grace * RESERVE_RATIO_MAX));
	plan->since = since;
	plan->answer_by = since + grace - reserve;
	plan->close_at = plan->answer_by - reserve;
	plan->exit_at =
		plan->answer_by + (int64_t)((double)reserve * READ_RATIO);
}

bool stop_plan_is_stopping(const struct stop_plan *plan)
{
	return plan->since;
}

int64_t stop_plan_deadline(const struct stop_plan *plan, int64_t deadline)
{
	return stop_plan_is_stopping(plan) ? min_of(plan->answer_by, deadline)
					   : deadline;
}

/*
 * A refusal costs little where another instance is ready. The outcome of a
 * request that is not repeatable stays unknown if its server is slow, so that
 * it has to fit even then.
 */
static int64_t time_needed(const struct stop_request *request)
{
	int64_t needed;

	if (!request->others_ready)
		return request->usual;
	needed = max_of(request->usual * USUAL_TIMES, request->goal);
	return request->repeatable ? needed : max_of(needed, request->slowest);
}

int64_t stop_plan_send_by(const struct stop_plan *plan,
			  const struct stop_request *request)
{
	if (!stop_plan_is_stopping(plan) || request->repeatable ||
	    request->deadline <= plan->answer_by)
		return INT64_MAX;
	return plan->answer_by - time_needed(request);
}

bool stop_plan_takes(const struct stop_plan *plan,
		     const struct stop_request *request, int64_t now)
{
	int64_t needed = time_needed(request);

	if (!stop_plan_is_stopping(plan))
		return true;
	if (now >= plan->answer_by)
		return false;
	return now + min_of(needed, request->deadline - now) <= plan->answer_by;
}
