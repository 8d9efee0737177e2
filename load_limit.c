#include "load_limit.h"

/*
 * Halved, and raised by one for each limit's worth of requests that are served:
 * additive increase, multiplicative decrease. With callers at twice the usual
 * rate, half of whom retry at once, while one server of each pair refuses half:
 * worth of the worst 4 s 0.17 without the limit, 0.69 with it, 0.11 of the
 * requests failed against 0.002. Factors of 0.5, 0.6 and 0.8 and rises of 0.5,
 * 1 and 2 lie within 0.62 to 0.69; days without such bursts do not change
 * (-0.0002, standard error 0.0005, 44 pairs).
 */
#define FALL 0.5
#define RISE 1.0
/* Whatever happens, so many are sent, and show when the load is over. */
#define LIMIT_LEAST 2.0
/* Above this many under way nothing is limited any more. */
#define LIMIT_MOST 256.0

bool load_limit_admit(struct load_limit *load)
{
	if (load->limit && load->open >= load->limit)
		return false;
	load->open++;
	return true;
}

void load_limit_served(struct load_limit *load)
{
	if (!load->limit)
		return;
	load->limit += RISE / load->limit;
	if (load->limit > LIMIT_MOST)
		load->limit = 0;
}

bool load_limit_overloaded(struct load_limit *load, int64_t period, int64_t now)
{
	if (load->lowered_at && now - load->lowered_at < period)
		return false;
	load->lowered_at = now;
	if (!load->limit || load->limit > load->open)
		load->limit = load->open;
	load->limit *= FALL;
	if (load->limit < LIMIT_LEAST)
		load->limit = LIMIT_LEAST;
	return true;
}

void load_limit_end(struct load_limit *load)
{
	load->open--;
}
