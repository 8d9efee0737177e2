#include "answer_due.h"

#include "clock.h"

/*
 * Between the moment an answer is due and its last byte on the wire: a timer
 * that fires late, other requests' work before it, and the caller's own work.
 */
#define PROCESSING_MARGIN MSEC(5)
/* Without a measured round trip. */
#define DEFAULT_ROUND_TRIP MSEC(9)
/*
 * What a caller used up is taken off up to this share of the goal. One that has
 * used more is late whatever is done, or waits less than the others for reasons
 * of its own: it gets as many parts as any.
 */
#define ELAPSED_MAX_RATIO 0.5
/* And the round trip up to this one: a caller that far away is late as well. */
#define ROUND_TRIP_MAX_RATIO 0.25
/* Before this share of the goal there are hardly any parts to answer with. */
#define TIMEOUT_MIN_RATIO 0.25

/*
 * Callers of a route wait equally long, and say how much of that is left. The
 * route's timeout may be another time than theirs.
 */
static int64_t elapsed_at_caller(const struct answer_due *due)
{
	int64_t used = due->caller_timeout < 0
			       ? 0
			       : due->longest_timeout - due->caller_timeout;

	return used > 0 && used <= (int64_t)((double)due->goal *
					     ELAPSED_MAX_RATIO)
		       ? used
		       : 0;
}

static int64_t capped_round_trip(const struct answer_due *due)
{
	int64_t most = (int64_t)((double)due->goal * ROUND_TRIP_MAX_RATIO);
	int64_t trip = due->round_trip ? due->round_trip : DEFAULT_ROUND_TRIP;

	return trip < most ? trip : most;
}

int64_t answer_due_timeout(const struct answer_due *due)
{
	int64_t least = (int64_t)((double)due->goal * TIMEOUT_MIN_RATIO);
	int64_t after = due->goal - elapsed_at_caller(due) -
			capped_round_trip(due) - PROCESSING_MARGIN;

	return after > least ? after : least;
}
