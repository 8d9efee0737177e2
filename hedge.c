#include "hedge.h"

/*
 * Share of the hedge budget for requests above the quantile; the rest is left
 * for stragglers.
 */
#define QUANTILE_BUDGET_SHARE 0.6
/* Hedges are hedged sooner: they are few, and their search is already late. */
#define REHEDGE_QUANTILE 0.7
/* Bounds of the quantile that the hedge budget allows. */
#define QUANTILE_MIN 0.5
#define QUANTILE_MAX 0.999
/* Without samples the delay is the deadline divided by this. */
#define DEFAULT_DELAY_DIVISOR 4
#define MEDIAN 0.5
/* Without this many samples, searches wait until their deadline. */
#define SEARCH_SAMPLES_MIN 16.0
/* The soft timeout is a multiple of this quantile of search times. */
#define SEARCH_QUANTILE 0.95

static double hedge_quantile(const struct service *service)
{
	double q = 1 - service->hedge_extra * QUANTILE_BUDGET_SHARE;

	if (q < QUANTILE_MIN)
		return QUANTILE_MIN;
	return q < QUANTILE_MAX ? q : QUANTILE_MAX;
}

/*
 * Time after which a request to the server counts as late. Requests that queue
 * behind a straggler are late as well; if they are more than the quantile
 * leaves out, it rises to the straggler's own time, which then is never hedged
 * and keeps its slot. So a multiple of the median, which does not move, bounds
 * the threshold.
 */
static int64_t late_threshold(const struct observe *observe,
			      const struct observe_server *server, double q)
{
	double factor = observe->tunables.hedge_median_factor;
	double max = factor * (double)observe_quantile(observe, server, MEDIAN);
	int64_t late = observe_quantile(observe, server, q);

	return (double)late < max ? late : (int64_t)max;
}

int64_t hedge_delay(const struct observe *observe,
		    const struct service *service, const struct replica *asked,
		    const struct replica *others, int n, bool is_hedge)
{
	int64_t floor = MSEC(observe->tunables.hedge_floor_ms);
	double q = is_hedge ? REHEDGE_QUANTILE : hedge_quantile(service);
	int64_t delay = late_threshold(observe, asked->server, q);
	int i;

	if (!delay)
		return MSEC(service->deadline_ms) / DEFAULT_DELAY_DIVISOR;
	for (i = 0; i < n; i++) {
		int64_t other;

		if (others[i].server == asked->server || others[i].excluded ||
		    replica_ejected(others[i].server))
			continue;
		other = late_threshold(observe, others[i].server, q);
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
	uint32_t capacity = server->in_flight;
	int i;

	for (i = 0; i < target->n_homes; i++) {
		if (capacity < target->homes[i].slots)
			capacity = target->homes[i].slots;
	}
	late -= target->replaced < late ? target->replaced : late;
	if (replica_ejected(server) || late * 2 > capacity)
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
	    sketch_count(&seen->searches, now, half_life) < SEARCH_SAMPLES_MIN)
		return deadline_us;
	late = observe->tunables.late_factor *
	       (double)sketch_quantile(&seen->searches, SEARCH_QUANTILE);
	return late < (double)deadline_us ? (int64_t)late : deadline_us;
}
