#include "load_limit.h"

#include <math.h>
#include <stddef.h>

#include "clock.h"

/* Additive increase, multiplicative decrease: see docs/LOAD-AND-FAULTS.md. */
#define DECREASE_FACTOR 0.5
/* Servers that refuse have no queue to work off. */
#define DECREASE_FACTOR_FULL 0.9
#define FULL_PERIOD MSEC(100)
/* Whatever happens, so many are sent, and show when the load is over. */
#define LIMIT_MIN_REQUESTS 2.0
/* Above this many under way nothing is limited any more. */
#define LIMIT_MAX_REQUESTS 256.0
/* What was seen fades: an exponential average over so long. */
#define AVERAGE_TIME MSEC(1000)
/* Requests whose work makes the average one. */
#define MEAN_COST_SAMPLES 16
/* More urgent requests come in groups; room is kept for somewhat more. */
#define URGENT_NEED_MARGIN 1.25
/* Share of what is sent that the less urgent get, so that none starves. */
#define ADMITTED_FLOOR 0.1
/* They have more than that under way: they are what is refused first. */
#define IN_PROGRESS_FLOOR 0.1
/* Nobody waits longer. */
#define EXCESS_TIME_MAX MSEC(30000)
/* Limits of the same servers differ this much by chance. */
#define ADOPT_RATIO_MIN 2.0

static void decay(struct load_limit *load, int64_t now)
{
	double left =
		exp(-(double)(now - load->updated_at) / (double)AVERAGE_TIME);
	int i;

	load->updated_at = now;
	load->served_rate *= left;
	for (i = 0; i < OUTLOOK_LEVELS; i++) {
		load->levels[i].demand *= left;
		load->levels[i].admitted *= left;
		load->levels[i].peak_in_progress *= left;
	}
}

/* What one request adds to an average by the second. */
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
	double asked = 0;
	int i;

	for (i = 0; i < OUTLOOK_LEVELS; i++)
		asked += load->levels[i].demand;
	return asked;
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
	for (i = level; i < OUTLOOK_LEVELS; i++)
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
 * The part of the limit that more urgent requests need by what callers ask of
 * all instances, this one's room by what it is asked for taken for that of all.
 */
static double fleet_urgent_need(const struct load_limit *load, int level,
				const struct peer_load *view)
{
	double own = total_demand(load);
	double urgent = 0;
	double all = 0;
	double room;
	int i;

	if (!view || !own || !load->served_rate)
		return 0;
	for (i = 0; i < OUTLOOK_LEVELS; i++) {
		double asked = load->levels[i].demand + view->demand[i];

		all += asked;
		urgent += i < level ? asked : 0;
	}
	room = all * fmin(1, load->served_rate / own);
	return load->limit * fmin(1, urgent / room);
}

/* Work under way that more urgent requests than these have or will have. */
static double urgent_need(const struct load_limit *load, int level,
			  const struct peer_load *view)
{
	double need;

	if (!level)
		return 0;
	need = fmax(load->levels[level - 1].peak_in_progress *
			    URGENT_NEED_MARGIN,
		    fleet_urgent_need(load, level, view));
	return fmin(need, load->limit);
}

/* What the less urgent have under way ends before these are refused. */
static bool is_used_by_less_urgent(const struct load_limit *load, int level)
{
	int64_t rest = load->in_progress - in_progress_up_to(load, level);

	return (double)rest > (double)load->in_progress * IN_PROGRESS_FLOOR;
}

static bool is_within_limit(const struct load_limit *load, int level,
			    const struct peer_load *view)
{
	double need = urgent_need(load, level, view);
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
 * A level may have its part of the floor while no more urgent one is served
 * less of what it asked.
 */
static bool is_below_floor(const struct load_limit *load, int level,
			   int64_t now)
{
	double rest = 0;
	double all = 0;
	int i;

	for (i = 0; i < OUTLOOK_LEVELS; i++) {
		all += load->levels[i].admitted;
		rest += i >= level ? load->levels[i].admitted : 0;
		if (i < level && is_recent(&load->levels[i], now) &&
		    admitted_ratio(&load->levels[i]) <
			    admitted_ratio(&load->levels[level]))
			return false;
	}
	return rest <= all * ADMITTED_FLOOR;
}

bool load_limit_admit(struct load_limit *load, int level, int64_t cost,
		      const struct peer_load *view, int64_t now)
{
	decay(load, now);
	if (load->limit && !is_within_limit(load, level, view) &&
	    (!level || !is_below_floor(load, level, now)))
		return false;
	load_limit_admit_always(load, level, cost, now);
	return true;
}

double load_limit_capacity(const struct load_limit *load, int level,
			   const struct peer_load *view, int64_t now)
{
	double left =
		exp(-(double)(now - load->updated_at) / (double)AVERAGE_TIME);
	double own = total_demand(load);
	double room = load->served_rate;
	double all = own;
	int i;

	for (i = 0; i < level; i++)
		room -= load->levels[i].admitted;
	for (i = 0; view && i < OUTLOOK_LEVELS; i++)
		all += view->demand[i];
	room = fmax(room, load->served_rate * ADMITTED_FLOOR) * left;
	return own > 0 ? room * all / own : room;
}

void load_limit_count_served(struct load_limit *load, int64_t cost, int64_t now)
{
	decay(load, now);
	load->served_rate += per_second(cost);
}

int64_t load_limit_excess_time(const struct load_limit *load, int64_t now)
{
	double excess = (double)load->in_progress - load->limit;
	double room = load_limit_capacity(load, 0, NULL, now);
	double wait;

	if (!load->limit || excess <= 0 || room <= 0)
		return 0;
	wait = excess * USEC_PER_SEC / room;
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

	for (i = 0; i < OUTLOOK_LEVELS; i++)
		n += is_recent(&load->levels[i], now);
	if (n < 2 || (load->lowered_at && now - load->lowered_at < FULL_PERIOD))
		return false;
	if (!limit || limit > (double)load->in_progress)
		limit = (double)load->in_progress;
	load->lowered_at = now;
	set_limit(load, limit * DECREASE_FACTOR_FULL);
	return true;
}

bool load_limit_adopt(struct load_limit *load, const struct peer_load *view,
		      int64_t now)
{
	double limit;

	decay(load, now);
	limit = view->limit_per_demand * total_demand(load);
	if (!view->n_limited || view->n_limited * 2 < view->n_instances ||
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
