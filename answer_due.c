#include "answer_due.h"

#include "clock.h"

/*
 * Between the moment an answer is due and its last byte on the wire: a timer
 * that fires late, other requests' work before it, and the caller's own work.
 */
#define SLACK MSEC(5)
/* Without a measured round trip. */
#define ROUND_TRIP_UNKNOWN MSEC(9)
/*
 * What a caller used up is taken off up to this share of the goal. One that has
 * used more is late whatever is done, or waits less than the others for reasons
 * of its own: it gets as many parts as any.
 */
#define USED_MOST 0.5
/* And the round trip up to this one: a caller that far away is late as well. */
#define ROUND_TRIP_MOST 0.25
/* Before this share of the goal there are hardly any parts to answer with. */
#define AFTER_LEAST 0.25

/*
 * Callers of a route wait equally long, and say how much of that is left. The
 * route's timeout may be another time than theirs.
 */
static int64_t used_of(const struct answer_due *due)
{
	int64_t used = due->told < 0 ? 0 : due->patience - due->told;

	return used > 0 && used <= (int64_t)((double)due->goal * USED_MOST)
		       ? used
		       : 0;
}

static int64_t round_trip_of(const struct answer_due *due)
{
	int64_t most = (int64_t)((double)due->goal * ROUND_TRIP_MOST);
	int64_t trip = due->round_trip ? due->round_trip : ROUND_TRIP_UNKNOWN;

	return trip < most ? trip : most;
}

int64_t answer_due_timeout(const struct answer_due *due)
{
	int64_t least = (int64_t)((double)due->goal * AFTER_LEAST);
	int64_t after = due->goal - used_of(due) - round_trip_of(due) - SLACK;

	return after > least ? after : least;
}
