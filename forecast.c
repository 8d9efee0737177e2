#include "forecast.h"

#include <math.h>
#include <stdlib.h>

/*
 * A request is refused if it is expected later than this fraction of the goal,
 * less the lag; but never before the minimum fraction, whatever the lag is.
 */
#define GOAL_SHARE 0.9
#define GOAL_SHARE_MIN 0.35
/*
 * Accepted queueing time as a fraction of the goal, even for a part that will
 * be late: servers that are slow but not busy are worth asking.
 */
#define QUEUE_WAIT_SHARE 0.15
/* A part is late beyond this multiple of the goal: estimates are rough. */
#define LATE_FACTOR 1.2
/* Fraction of the parts sent in addition, in case others fail. */
#define RESERVE_SHARE 0.02

int forecast_needed(int n_parts, double coverage_min)
{
	/* Guards against a rounding error that adds a part. */
	int needed = (int)ceil(n_parts * (coverage_min - 1e-9));

	return needed > 0 ? needed : 1;
}

int64_t forecast_answer_time(const struct forecast_part *part)
{
	return part->queue_wait + part->run_time;
}

static int cmp_expected(const void *a, const void *b)
{
	int64_t left = forecast_answer_time(a);
	int64_t right = forecast_answer_time(b);

	return (left > right) - (left < right);
}

/* Latest answer time at which a part is worth the server time. */
static int64_t latest_useful_time(const struct forecast *forecast,
				  const struct forecast_part *part, int64_t due)
{
	int64_t slow = part->run_time +
		       (int64_t)((double)forecast->goal * QUEUE_WAIT_SHARE);

	return slow > due ? slow : due;
}

static void count_in_time(struct forecast *forecast)
{
	int i;

	for (i = 0; i < forecast->n; i++) {
		if (forecast_answer_time(&forecast->parts[i]) > forecast->goal)
			break;
	}
	forecast->n_in_time = i;
}

/* Leaves a margin: others send meanwhile, and the slowest part counts. */
static int64_t latest_admitted_time(const struct forecast *forecast)
{
	double goal = (double)forecast->goal;
	double due = goal * GOAL_SHARE - (double)forecast->lag;

	return (int64_t)fmax(due, goal * GOAL_SHARE_MIN);
}

static bool decide_refusal(struct forecast *forecast)
{
	const struct forecast_part *part = forecast->last_needed;
	int64_t due = forecast->deadline;

	if (!forecast->promised)
		due = latest_useful_time(forecast, part,
					 latest_admitted_time(forecast));
	if (due > forecast->deadline)
		due = forecast->deadline;
	if (forecast->probe || forecast_answer_time(part) <= due)
		return false;
	forecast->refused = true;
	forecast->capacity_in = forecast_answer_time(part) - due;
	return true;
}

/* If the answer is late anyway, parts may take as long as the answer. */
static int64_t late_threshold(const struct forecast *forecast)
{
	int64_t due = forecast_answer_time(forecast->last_needed);

	if (due < forecast->goal)
		due = forecast->goal;
	return (int64_t)((double)due * LATE_FACTOR);
}

static void leave_out_late_parts(struct forecast *forecast)
{
	int reserve = (int)(forecast->n * RESERVE_SHARE);
	int max_left_out = forecast->n - forecast->needed - reserve;
	int64_t after = late_threshold(forecast);
	int i;

	for (i = forecast->n - 1; i >= 0 && forecast->n_left_out < max_left_out;
	     i--) {
		struct forecast_part *part = &forecast->parts[i];

		if (forecast_answer_time(part) <=
		    latest_useful_time(forecast, part, after))
			continue;
		part->left_out = true;
		forecast->n_left_out++;
	}
}

void forecast_decide(struct forecast *forecast)
{
	qsort(forecast->parts, (size_t)forecast->n, sizeof(*forecast->parts),
	      cmp_expected);
	forecast->last_needed = &forecast->parts[forecast->needed - 1];
	count_in_time(forecast);
	if (!decide_refusal(forecast))
		leave_out_late_parts(forecast);
}
