#include "load_limit.h"

#include <math.h>
#include <stddef.h>

#include "clock.h"

/* Additive increase, multiplicative decrease: see docs/LOAD-AND-FAULTS.md. */
#define DECREASE_FACTOR 0.5
/* Smaller decrease for servers that refuse: they have no queue to drain. */
#define DECREASE_FACTOR_FULL 0.9
#define FULL_PERIOD MSEC(100)
/* Minimum limit: some requests must be sent to detect that load is over. */
#define LIMIT_MIN_REQUESTS 2.0
/* The limit is removed when it exceeds this number of requests. */
#define LIMIT_MAX_REQUESTS 256.0
/* Time constant of the exponentially decaying averages. */
#define AVERAGE_TIME MSEC(1000)
/* The mean cost covers about this number of requests. */
#define MEAN_COST_SAMPLES 16
/* Reserve above the peak of more urgent requests, which arrive in groups. */
#define URGENT_NEED_MARGIN 1.25
/* Fraction of admitted work for less urgent levels, so that none starves. */
#define ADMITTED_FLOOR 0.1
/* Less urgent levels with more than this fraction in progress yield first. */
#define IN_PROGRESS_FLOOR 0.1
#define EXCESS_TIME_MAX MSEC(30000)
/* Limits of instances with the same servers differ this much by chance. */
#define ADOPT_RATIO_MIN 2.0

static void decay(struct load_limit *load, int64_t now)
{
	double factor =
		exp(-(double)(now - load->updated_at) / (double)AVERAGE_TIME);
	int i;

	load->updated_at = now;
	load->served_rate *= factor;
	for (i = 0; i < ESTIMATE_LEVELS; i++) {
		load->levels[i].demand *= factor;
		load->levels[i].admitted *= factor;
		load->levels[i].peak_in_progress *= factor;
	}
}

/* Contribution of one request to a decaying rate. */
static double per_second(int64_t cost)
{
	return (double)cost * USEC_PER_SEC / (double)AVERAGE_TIME;
}

static bool is_recent(const struct load_level *level, int64_t now)
{
	return level->last_request_at &&
	       now - level->last_request_at < AVERAGE_TIME;
}

static int64_t in_progress_up_to(const struct load_limit *load, int level)
{
	int64_t open = 0;
	int i;

	for (i = 0; i <= level; i++)
		open += load->levels[i].in_progress;
	return open;
}

static double total_demand(const struct load_limit *load)
{
	double demand = 0;
	int i;

	for (i = 0; i < ESTIMATE_LEVELS; i++)
		demand += load->levels[i].demand;
	return demand;
}

void load_limit_count_request(struct load_limit *load, int level, int64_t cost,
			      int64_t now)
{
	decay(load, now);
	load->mean_cost =
		load->mean_cost
			? load->mean_cost + ((double)cost - load->mean_cost) /
						    MEAN_COST_SAMPLES
			: (double)cost;
	load->levels[level].demand += per_second(cost);
	load->levels[level].last_request_at = now;
}

void load_limit_admit_always(struct load_limit *load, int level, int64_t cost,
			     int64_t now)
{
	int i;

	decay(load, now);
	load->in_progress += cost;
	load->levels[level].in_progress += cost;
	load->levels[level].admitted += per_second(cost);
	for (i = level; i < ESTIMATE_LEVELS; i++)
		load->levels[i].peak_in_progress =
			fmax(load->levels[i].peak_in_progress,
			     (double)in_progress_up_to(load, i));
}

bool load_limit_is_most_urgent(const struct load_limit *load, int level,
			       int64_t now)
{
	int i;

	for (i = 0; i < level; i++) {
		if (is_recent(&load->levels[i], now))
			return false;
	}
	return true;
}

/*
 * Part of the limit needed for more urgent requests, from the demand of all
 * instances. Assumes that all instances get the same fraction of their demand
 * served as this one.
 */
static double fleet_urgent_need(const struct load_limit *load, int level,
				const struct peer_load *peers)
{
	double own_demand = total_demand(load);
	double urgent_demand = 0;
	double fleet_demand = 0;
	double capacity;
	int i;

	if (!peers || !own_demand || !load->served_rate)
		return 0;
	for (i = 0; i < ESTIMATE_LEVELS; i++) {
		double demand = load->levels[i].demand + peers->demand[i];

		fleet_demand += demand;
		urgent_demand += i < level ? demand : 0;
	}
	capacity = fleet_demand * fmin(1, load->served_rate / own_demand);
	return load->limit * fmin(1, urgent_demand / capacity);
}

/* Work in progress expected of levels more urgent than @level. */
static double urgent_need(const struct load_limit *load, int level,
			  const struct peer_load *peers)
{
	double need;

	if (!level)
		return 0;
	need = fmax(load->levels[level - 1].peak_in_progress *
			    URGENT_NEED_MARGIN,
		    fleet_urgent_need(load, level, peers));
	return fmin(need, load->limit);
}

/*
 * Whether less urgent levels have so much work in progress that a request of
 * this level is admitted beyond the limit, until their work ends.
 */
static bool is_used_by_less_urgent(const struct load_limit *load, int level)
{
	int64_t less_urgent =
		load->in_progress - in_progress_up_to(load, level);

	return (double)less_urgent >
	       (double)load->in_progress * IN_PROGRESS_FLOOR;
}

static bool is_within_limit(const struct load_limit *load, int level,
			    const struct peer_load *peers)
{
	double need = urgent_need(load, level, peers);
	int64_t above = level ? in_progress_up_to(load, level - 1) : 0;

	if (need + (double)(load->in_progress - above) < load->limit)
		return true;
	return is_used_by_less_urgent(load, level);
}

static double admitted_ratio(const struct load_level *level)
{
	return level->demand > 0 ? level->admitted / level->demand : 1;
}

/*
 * Whether a level gets less than its minimum share. It may only claim that
 * while no more urgent level has a smaller fraction of its demand admitted.
 */
static bool is_below_floor(const struct load_limit *load, int level,
			   int64_t now)
{
	double less_urgent = 0;
	double all = 0;
	int i;

	for (i = 0; i < ESTIMATE_LEVELS; i++) {
		all += load->levels[i].admitted;
		less_urgent += i >= level ? load->levels[i].admitted : 0;
		if (i < level && is_recent(&load->levels[i], now) &&
		    admitted_ratio(&load->levels[i]) <
			    admitted_ratio(&load->levels[level]))
			return false;
	}
	return less_urgent <= all * ADMITTED_FLOOR;
}

bool load_limit_admit(struct load_limit *load, int level, int64_t cost,
		      const struct peer_load *peers, int64_t now)
{
	decay(load, now);
	if (load->limit && !is_within_limit(load, level, peers) &&
	    (!level || !is_below_floor(load, level, now)))
		return false;
	load_limit_admit_always(load, level, cost, now);
	return true;
}

double load_limit_capacity(const struct load_limit *load, int level,
			   const struct peer_load *peers, int64_t now)
{
	double factor =
		exp(-(double)(now - load->updated_at) / (double)AVERAGE_TIME);
	double own_demand = total_demand(load);
	double capacity = load->served_rate;
	double fleet_demand = own_demand;
	int i;

	for (i = 0; i < level; i++)
		capacity -= load->levels[i].admitted;
	for (i = 0; peers && i < ESTIMATE_LEVELS; i++)
		fleet_demand += peers->demand[i];
	capacity = fmax(capacity, load->served_rate * ADMITTED_FLOOR) * factor;
	return own_demand > 0 ? capacity * fleet_demand / own_demand : capacity;
}

void load_limit_count_served(struct load_limit *load, int64_t cost, int64_t now)
{
	decay(load, now);
	load->served_rate += per_second(cost);
}

int64_t load_limit_excess_time(const struct load_limit *load, int64_t now)
{
	double excess = (double)load->in_progress - load->limit;
	double capacity = load_limit_capacity(load, 0, NULL, now);
	double wait;

	if (!load->limit || excess <= 0 || capacity <= 0)
		return 0;
	wait = excess * USEC_PER_SEC / capacity;
	return wait < EXCESS_TIME_MAX ? (int64_t)wait : EXCESS_TIME_MAX;
}

void load_limit_raise(struct load_limit *load, int64_t cost, double rise)
{
	if (!load->limit)
		return;
	load->limit += rise * load->mean_cost * (double)cost / load->limit;
	if (load->limit > LIMIT_MAX_REQUESTS * load->mean_cost)
		load->limit = 0;
}

static void set_limit(struct load_limit *load, double limit)
{
	load->limit = fmax(limit, LIMIT_MIN_REQUESTS * load->mean_cost);
}

bool load_limit_lower(struct load_limit *load, int64_t period, int64_t now)
{
	double limit = load->limit;

	if (load->lowered_at && now - load->lowered_at < period)
		return false;
	if (!limit || limit > (double)load->in_progress)
		limit = (double)load->in_progress;
	load->lowered_at = now;
	set_limit(load, limit * DECREASE_FACTOR);
	return true;
}

bool load_limit_servers_full(struct load_limit *load, int64_t now)
{
	double limit = load->limit;
	int n = 0;
	int i;

	for (i = 0; i < ESTIMATE_LEVELS; i++)
		n += is_recent(&load->levels[i], now);
	if (n < 2 || (load->lowered_at && now - load->lowered_at < FULL_PERIOD))
		return false;
	if (!limit || limit > (double)load->in_progress)
		limit = (double)load->in_progress;
	load->lowered_at = now;
	set_limit(load, limit * DECREASE_FACTOR_FULL);
	return true;
}

bool load_limit_adopt(struct load_limit *load, const struct peer_load *peers,
		      int64_t now)
{
	double limit;

	decay(load, now);
	limit = peers->limit_per_demand * total_demand(load);
	if (!peers->n_limited || peers->n_limited * 2 < peers->n_instances ||
	    !limit)
		return false;
	if (load->limit && load->limit <= limit * ADOPT_RATIO_MIN)
		return false;
	set_limit(load, limit);
	return true;
}

void load_limit_release(struct load_limit *load, int level, int64_t cost)
{
	load->in_progress -= cost;
	load->levels[level].in_progress -= cost;
}
