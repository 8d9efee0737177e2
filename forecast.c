#include "forecast.h"

#include <math.h>
#include <stdlib.h>

/*
 * Of the goal, less the lag: what is expected later is refused. At the least
 * such a share is let through, whatever the lag was.
 */
#define GOAL_SHARE 0.9
#define GOAL_SHARE_LEAST 0.35
/*
 * Of the goal: so much may be ahead of a part even where it cannot be in time.
 * Servers that are slow and not busy are worth asking.
 */
#define AHEAD_SHARE 0.15
/* A part is clearly late at so many times the goal: estimates are rough. */
#define LATE_FACTOR 1.2
/* Of the parts, to spare for those that fail. */
#define RESERVE_SHARE 0.02

int forecast_needed(int n_parts, double coverage_min)
{
	/* A rounding error must not ask for one part more. */
	int needed = (int)ceil(n_parts * (coverage_min - 1e-9));

	return needed > 0 ? needed : 1;
}

int64_t forecast_answer_time(const struct forecast_part *part)
{
	return part->ahead + part->run;
}

static int cmp_expected(const void *a, const void *b)
{
	int64_t left = forecast_answer_time(a);
	int64_t right = forecast_answer_time(b);

	return (left > right) - (left < right);
}

/* When a part must be in to be worth what it costs others. */
static int64_t due_of(const struct forecast *forecast,
		      const struct forecast_part *part, int64_t due)
{
	int64_t slow =
		part->run + (int64_t)((double)forecast->goal * AHEAD_SHARE);

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

/* Other instances send meanwhile, and the slowest of many parts decides. */
static int64_t in_time(const struct forecast *forecast)
{
	double goal = (double)forecast->goal;
	double due = goal * GOAL_SHARE - (double)forecast->lag;

	return (int64_t)fmax(due, goal * GOAL_SHARE_LEAST);
}

static bool refuse(struct forecast *forecast)
{
	const struct forecast_part *part = forecast->deciding;
	int64_t due = forecast->deadline;

	if (!forecast->promised)
		due = due_of(forecast, part, in_time(forecast));
	if (due > forecast->deadline)
		due = forecast->deadline;
	if (forecast->probe || forecast_answer_time(part) <= due)
		return false;
	forecast->refused = true;
	forecast->room_in = forecast_answer_time(part) - due;
	return true;
}

/* An answer that is late all the same waits for its other parts. */
static int64_t leave_out_after(const struct forecast *forecast)
{
	int64_t due = forecast_answer_time(forecast->deciding);

	if (due < forecast->goal)
		due = forecast->goal;
	return (int64_t)((double)due * LATE_FACTOR);
}

static void leave_out(struct forecast *forecast)
{
	int reserve = (int)(forecast->n * RESERVE_SHARE);
	int most = forecast->n - forecast->needed - reserve;
	int64_t after = leave_out_after(forecast);
	int i;

	for (i = forecast->n - 1; i >= 0 && forecast->n_left_out < most; i--) {
		struct forecast_part *part = &forecast->parts[i];

		if (forecast_answer_time(part) <= due_of(forecast, part, after))
			continue;
		part->left_out = true;
		forecast->n_left_out++;
	}
}

void forecast_decide(struct forecast *forecast)
{
	qsort(forecast->parts, (size_t)forecast->n, sizeof(*forecast->parts),
	      cmp_expected);
	forecast->deciding = &forecast->parts[forecast->needed - 1];
	count_in_time(forecast);
	if (!refuse(forecast))
		leave_out(forecast);
}
