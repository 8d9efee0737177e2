#include "load_limit.h"

#include <math.h>

#include "clock.h"

/* Additive increase, multiplicative decrease: see docs/LOAD-AND-FAULTS.md. */
#define FALL 0.5
#define RISE 1.0
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
#define FLOOR 0.05
/* Limits of the same servers differ this much by chance. */
#define ADOPT_ABOVE 2.0

static void fade(struct load_limit *load, int64_t now)
{
	double left = exp(-(double)(now - load->at) / (double)SPAN);
	int i;

	load->at = now;
	load->served *= left;
	for (i = 0; i < OUTLOOK_LEVELS; i++) {
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

	for (i = 0; i < OUTLOOK_LEVELS; i++)
		asked += load->levels[i].asked;
	return asked;
}

void load_limit_ask(struct load_limit *load, int level, int64_t cost,
		    int64_t now)
{
	fade(load, now);
	load->unit = load->unit ? load->unit + ((double)cost - load->unit) /
						       UNIT_SPAN
				: (double)cost;
	load->levels[level].asked += per_second(cost);
	load->levels[level].asked_at = now;
}

void load_limit_take(struct load_limit *load, int level, int64_t cost,
		     int64_t now)
{
	int i;

	fade(load, now);
	load->open += cost;
	load->levels[level].open += cost;
	load->levels[level].admitted += per_second(cost);
	for (i = level; i < OUTLOOK_LEVELS; i++)
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
			  const struct load_others *others)
{
	double own = asked_all(load);
	double urgent = 0;
	double all = 0;
	double room;
	int i;

	if (!others || !own || !load->served)
		return 0;
	for (i = 0; i < OUTLOOK_LEVELS; i++) {
		double asked = load->levels[i].asked + others->asked[i];

		all += asked;
		urgent += i < level ? asked : 0;
	}
	room = all * fmin(1, load->served / own);
	return load->limit * fmin(1, urgent / room);
}

/* Work under way that more urgent requests than these have or will have. */
static double need_of_more_urgent(const struct load_limit *load, int level,
				  const struct load_others *others)
{
	double need;

	if (!level)
		return 0;
	need = fmax(load->levels[level - 1].peak * NEED_MARGIN,
		    need_of_all(load, level, others));
	return fmin(need, load->limit);
}

static bool fits(const struct load_limit *load, int level,
		 const struct load_others *others)
{
	double need = need_of_more_urgent(load, level, others);
	int64_t rest = load->open;

	if (level)
		rest -= open_up_to(load, level - 1);
	return (double)open_up_to(load, level) < load->limit &&
	       (level ? need + (double)rest < load->limit : true);
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

	for (i = 0; i < OUTLOOK_LEVELS; i++) {
		all += load->levels[i].admitted;
		rest += i >= level ? load->levels[i].admitted : 0;
		if (i < level && is_recent(&load->levels[i], now) &&
		    share_of(&load->levels[i]) < share_of(&load->levels[level]))
			return false;
	}
	return rest <= all * FLOOR;
}

bool load_limit_admit(struct load_limit *load, int level, int64_t cost,
		      const struct load_others *others, int64_t now)
{
	fade(load, now);
	if (load->limit && !fits(load, level, others) &&
	    (!level || !is_owed_floor(load, level, now)))
		return false;
	load_limit_take(load, level, cost, now);
	return true;
}

double load_limit_room(const struct load_limit *load, int64_t now)
{
	return load->served * exp(-(double)(now - load->at) / (double)SPAN);
}

void load_limit_worked(struct load_limit *load, int64_t cost, int64_t now)
{
	fade(load, now);
	load->served += per_second(cost);
}

void load_limit_served(struct load_limit *load, int64_t cost)
{
	if (!load->limit)
		return;
	load->limit += RISE * load->unit * (double)cost / load->limit;
	if (load->limit > LIMIT_MOST * load->unit)
		load->limit = 0;
}

static void set_limit(struct load_limit *load, double limit)
{
	load->limit = fmax(limit, LIMIT_LEAST * load->unit);
}

bool load_limit_overloaded(struct load_limit *load, int64_t period, int64_t now)
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

bool load_limit_full(struct load_limit *load, int64_t now)
{
	double limit = load->limit;
	int n = 0;
	int i;

	for (i = 0; i < OUTLOOK_LEVELS; i++)
		n += is_recent(&load->levels[i], now);
	if (n < 2 || (load->lowered_at && now - load->lowered_at < FULL_PERIOD))
		return false;
	if (!limit || limit > (double)load->open)
		limit = (double)load->open;
	load->lowered_at = now;
	set_limit(load, limit * FALL_FULL);
	return true;
}

bool load_limit_adopt(struct load_limit *load, const struct load_others *others,
		      int64_t now)
{
	double limit;

	fade(load, now);
	limit = others->ratio * asked_all(load);
	if (!others->n_limited || others->n_limited * 2 < others->n || !limit)
		return false;
	if (load->limit && load->limit <= limit * ADOPT_ABOVE)
		return false;
	set_limit(load, limit);
	return true;
}

void load_limit_end(struct load_limit *load, int level, int64_t cost)
{
	load->open -= cost;
	load->levels[level].open -= cost;
}
