#include "hedge.h"

/*
 * Part of the budget for requests that are merely above the quantile; the
 * rest is for stragglers.
 */
#define BUDGET_PART 0.6
/* A hedge is itself hedged sooner: they are few, and the search is late. */
#define AGAIN_QUANTILE 0.7
#define QUANTILE_MIN 0.5
#define QUANTILE_MAX 0.999
/* Of the deadline, while nothing is known. */
#define UNKNOWN_PART 4
#define MEDIAN 0.5
#define SEARCH_QUANTILE 0.95
#define SEARCH_SAMPLES 16.0

static double quantile_of(const struct service *service)
{
	double q = 1 - service->hedge_extra * BUDGET_PART;

	if (q < QUANTILE_MIN)
		return QUANTILE_MIN;
	return q < QUANTILE_MAX ? q : QUANTILE_MAX;
}

/*
 * Requests that wait behind a straggler for a slot are late too. When they are
 * more than the quantile leaves out, it rises to the time of the straggler,
 * which is then never hedged and holds its slot to the end. The median stays
 * where it was.
 */
static int64_t late_after(const struct observe *observe,
			  const struct observe_server *server, double q)
{
	double factor = observe->tunables.hedge_median_factor;
	double most =
		factor * (double)observe_quantile(observe, server, MEDIAN);
	int64_t late = observe_quantile(observe, server, q);

	return (double)late < most ? late : (int64_t)most;
}

int64_t hedge_delay(const struct observe *observe,
		    const struct service *service, const struct replica *asked,
		    const struct replica *others, int n, bool again)
{
	int64_t floor = MSEC(observe->tunables.hedge_floor_ms);
	double q = again ? AGAIN_QUANTILE : quantile_of(service);
	int64_t delay = late_after(observe, asked->server, q);
	int i;

	if (!delay)
		return MSEC(service->deadline_ms) / UNKNOWN_PART;
	for (i = 0; i < n; i++) {
		int64_t other;

		if (others[i].server == asked->server || others[i].excluded ||
		    replica_ejected(others[i].server))
			continue;
		other = late_after(observe, others[i].server, q);
		if (other < delay)
			delay = other;
	}
	return delay > floor ? delay : floor;
}

bool hedge_useful(const struct observe *observe, const struct replica *target,
		  int64_t deadline)
{
	const struct observe_server *server = target->server;
	int64_t now = clock_now(observe->clock);
	uint32_t late = server->late;
	uint32_t some = server->in_flight;
	int i;

	for (i = 0; i < target->n_homes; i++) {
		if (some < target->homes[i].slots)
			some = target->homes[i].slots;
	}
	late -= target->replaced < late ? target->replaced : late;
	if (replica_ejected(server) || late * 2 > some)
		return false;
	return now + observe_mean(observe, server) < deadline;
}

int64_t hedge_soft_timeout(const struct observe *observe,
			   const struct service *service,
			   const struct observe_service *seen,
			   int64_t deadline_us)
{
	int64_t half_life = MSEC(observe->tunables.observe_half_life_ms);
	int64_t now = clock_now(observe->clock);
	double late;

	if (service->mode == SERVICE_COVERAGE ||
	    sketch_count(&seen->searches, now, half_life) < SEARCH_SAMPLES)
		return deadline_us;
	late = observe->tunables.late_factor *
	       (double)sketch_quantile(&seen->searches, SEARCH_QUANTILE);
	return late < (double)deadline_us ? (int64_t)late : deadline_us;
}
