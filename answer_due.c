#include "answer_due.h"

#include "clock.h"

/*
 * Time from the soft timeout until the caller has processed the answer: late
 * timers, queued work of other requests, and the caller's own processing.
 */
#define PROCESSING_MARGIN MSEC(5)
/* Used while the round trip is not known. */
#define DEFAULT_ROUND_TRIP MSEC(9)
/*
 * More elapsed time than this share of the goal is not deducted. A caller that
 * appears to have used more is late in any case, or simply has a shorter
 * timeout than others: fewer parts would not help it.
 */
#define ELAPSED_MAX_RATIO 0.5
/* Maximum deducted round trip; callers farther away are late in any case. */
#define ROUND_TRIP_MAX_RATIO 0.25
/* Share of the goal; before that, too few parts have been answered. */
#define TIMEOUT_MIN_RATIO 0.25

/*
 * Assumes that all callers of a route use the same timeout and send what is
 * left of it. That need not equal the route's configured timeout.
 */
static int64_t elapsed_at_caller(const struct answer_due *due)
{
	int64_t elapsed = due->caller_timeout < 0
				  ? 0
				  : due->longest_timeout - due->caller_timeout;

	return elapsed > 0 && elapsed <= (int64_t)((double)due->goal *
						   ELAPSED_MAX_RATIO)
		       ? elapsed
		       : 0;
}

static int64_t capped_round_trip(const struct answer_due *due)
{
	int64_t max = (int64_t)((double)due->goal * ROUND_TRIP_MAX_RATIO);
	int64_t trip = due->round_trip ? due->round_trip : DEFAULT_ROUND_TRIP;

	return trip < max ? trip : max;
}

int64_t answer_due_timeout(const struct answer_due *due)
{
	int64_t min = (int64_t)((double)due->goal * TIMEOUT_MIN_RATIO);
	int64_t timeout = due->goal - elapsed_at_caller(due) -
			  capped_round_trip(due) - PROCESSING_MARGIN;

	return timeout > min ? timeout : min;
}
