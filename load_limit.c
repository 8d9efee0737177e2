#include "load_limit.h"

#include <math.h>
#include <stddef.h>

#include "clock.h"

/* Additive increase, multiplicative decrease: see docs/LOAD-AND-FAULTS.md. */
#define FALL 0.5
/* Servers that refuse have no queue to work off. */
#define FALL_FULL 0.9
#define FULL_PERIOD MSEC(100)
/* Whatever happens, so many are sent, and show when the load is over. */
#define LIMIT_LEAST 2.0
/* Above this many under way nothing is limited any more. */
#define LIMIT_MOST 256.0
/* What was seen fades: an exponential average over so long. */
#define SPAN MSEC(1000)
/* Requests whose work makes the average one. */
#define UNIT_SPAN 16
/* More urgent requests come in groups; room is kept for somewhat more. */
#define NEED_MARGIN 1.25
/* Share of what is sent that the less urgent get, so that none starves. */
#define FLOOR 0.1
/* They have more than that under way: they are what is refused first. */
#define FLOOR_UNDER_WAY 0.1
/* Nobody waits longer. */
#define EXCESS_MOST MSEC(30000)
/* Limits of the same servers differ this much by chance. */
#define ADOPT_ABOVE 2.0

static void fade(struct load_limit *load, int64_t now)
{
	double left = exp(-(double)(now - load->at) / (double)SPAN);
	int i;

	load->at = now;
	load->served *= left;
	for (i = 0; i < ESTIMATE_LEVELS; i++) {
		load->levels[i].asked *= left;
		load->levels[i].admitted *= left;
		load->levels[i].peak *= left;
	}
}

/* What one request adds to an average by the second. */
static double per_second(int64_t cost)
{
	return (double)cost * USEC_PER_SEC / (double)SPAN;
}

static bool is_recent(const struct load_level *level, int64_t now)
{
	return level->asked_at && now - level->asked_at < SPAN;
}

static int64_t open_up_to(const struct load_limit *load, int level)
{
	int64_t open = 0;
	int i;

	for (i = 0; i <= level; i++)
		open += load->levels[i].open;
	return open;
}

static double asked_all(const struct load_limit *load)
{
	double asked = 0;
	int i;

	for (i = 0; i < ESTIMATE_LEVELS; i++)
		asked += load->levels[i].asked;
	return asked;
}

void load_limit_count_request(struct load_limit *load, int level, int64_t cost,
			      int64_t now)
{
	fade(load, now);
	load->unit = load->unit ? load->unit + ((double)cost - load->unit) /
						       UNIT_SPAN
				: (double)cost;
	load->levels[level].asked += per_second(cost);
	load->levels[level].asked_at = now;
}

void load_limit_admit_always(struct load_limit *load, int level, int64_t cost,
			     int64_t now)
{
	int i;

	fade(load, now);
	load->open += cost;
	load->levels[level].open += cost;
	load->levels[level].admitted += per_second(cost);
	for (i = level; i < ESTIMATE_LEVELS; i++)
		load->levels[i].peak =
			fmax(load->levels[i].peak, (double)open_up_to(load, i));
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
static double need_of_all(const struct load_limit *load, int level,
			  const struct peer_load *view)
{
	double own = asked_all(load);
	double urgent = 0;
	double all = 0;
	double room;
	int i;

	if (!view || !own || !load->served)
		return 0;
	for (i = 0; i < ESTIMATE_LEVELS; i++) {
		double asked = load->levels[i].asked + view->asked[i];

		all += asked;
		urgent += i < level ? asked : 0;
	}
	room = all * fmin(1, load->served / own);
	return load->limit * fmin(1, urgent / room);
}

/* Work under way that more urgent requests than these have or will have. */
static double need_of_more_urgent(const struct load_limit *load, int level,
				  const struct peer_load *view)
{
	double need;

	if (!level)
		return 0;
	need = fmax(load->levels[level - 1].peak * NEED_MARGIN,
		    need_of_all(load, level, view));
	return fmin(need, load->limit);
}

/* What the less urgent have under way ends before these are refused. */
static bool is_held_by_less_urgent(const struct load_limit *load, int level)
{
	int64_t rest = load->open - open_up_to(load, level);

	return (double)rest > (double)load->open * FLOOR_UNDER_WAY;
}

static bool fits(const struct load_limit *load, int level,
		 const struct peer_load *view)
{
	double need = need_of_more_urgent(load, level, view);
	int64_t above = level ? open_up_to(load, level - 1) : 0;

	if (need + (double)(load->open - above) < load->limit)
		return true;
	return is_held_by_less_urgent(load, level);
}

static double share_of(const struct load_level *level)
{
	return level->asked > 0 ? level->admitted / level->asked : 1;
}

/*
 * A level may have its part of the floor while no more urgent one is served
 * less of what it asked.
 */
static bool is_owed_floor(const struct load_limit *load, int level, int64_t now)
{
	double rest = 0;
	double all = 0;
	int i;

	for (i = 0; i < ESTIMATE_LEVELS; i++) {
		all += load->levels[i].admitted;
		rest += i >= level ? load->levels[i].admitted : 0;
		if (i < level && is_recent(&load->levels[i], now) &&
		    share_of(&load->levels[i]) < share_of(&load->levels[level]))
			return false;
	}
	return rest <= all * FLOOR;
}

bool load_limit_admit(struct load_limit *load, int level, int64_t cost,
		      const struct peer_load *view, int64_t now)
{
	fade(load, now);
	if (load->limit && !fits(load, level, view) &&
	    (!level || !is_owed_floor(load, level, now)))
		return false;
	load_limit_admit_always(load, level, cost, now);
	return true;
}

double load_limit_capacity(const struct load_limit *load, int level,
			   const struct peer_load *view, int64_t now)
{
	double left = exp(-(double)(now - load->at) / (double)SPAN);
	double own = asked_all(load);
	double room = load->served;
	double all = own;
	int i;

	for (i = 0; i < level; i++)
		room -= load->levels[i].admitted;
	for (i = 0; view && i < ESTIMATE_LEVELS; i++)
		all += view->asked[i];
	room = fmax(room, load->served * FLOOR) * left;
	return own > 0 ? room * all / own : room;
}

void load_limit_count_served(struct load_limit *load, int64_t cost, int64_t now)
{
	fade(load, now);
	load->served += per_second(cost);
}

int64_t load_limit_excess_time(const struct load_limit *load, int64_t now)
{
	double excess = (double)load->open - load->limit;
	double room = load_limit_capacity(load, 0, NULL, now);
	double wait;

	if (!load->limit || excess <= 0 || room <= 0)
		return 0;
	wait = excess * USEC_PER_SEC / room;
	return wait < EXCESS_MOST ? (int64_t)wait : EXCESS_MOST;
}

void load_limit_raise(struct load_limit *load, int64_t cost, double rise)
{
	if (!load->limit)
		return;
	load->limit += rise * load->unit * (double)cost / load->limit;
	if (load->limit > LIMIT_MOST * load->unit)
		load->limit = 0;
}

static void set_limit(struct load_limit *load, double limit)
{
	load->limit = fmax(limit, LIMIT_LEAST * load->unit);
}

bool load_limit_lower(struct load_limit *load, int64_t period, int64_t now)
{
	double limit = load->limit;

	if (load->lowered_at && now - load->lowered_at < period)
		return false;
	if (!limit || limit > (double)load->open)
		limit = (double)load->open;
	load->lowered_at = now;
	set_limit(load, limit * FALL);
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
	if (!limit || limit > (double)load->open)
		limit = (double)load->open;
	load->lowered_at = now;
	set_limit(load, limit * FALL_FULL);
	return true;
}

bool load_limit_adopt(struct load_limit *load, const struct peer_load *view,
		      int64_t now)
{
	double limit;

	fade(load, now);
	limit = view->ratio * asked_all(load);
	if (!view->n_limited || view->n_limited * 2 < view->n || !limit)
		return false;
	if (load->limit && load->limit <= limit * ADOPT_ABOVE)
		return false;
	set_limit(load, limit);
	return true;
}

void load_limit_release(struct load_limit *load, int level, int64_t cost)
{
	load->open -= cost;
	load->levels[level].open -= cost;
}
