/*
 * How much work may be under way at the same servers, and whose. Answers the
 * load that servers cannot bear for a while, as a burst with callers who retry
 * at once: if all requests are sent, each gets some of its parts, none gets
 * enough, and all are late. The limit falls when requests lack many of their
 * parts at their goal and rises while they are served; what is over it is
 * refused before anything is sent, the less urgent first.
 *
 * A few shards that are slow or lost do not lower it: most parts are in then.
 */
#ifndef LOAD_LIMIT_H
#define LOAD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "server_outlook.h"

/**
 * struct load_level - what requests of a level of urgency have lately
 * @open: work under way, of this level
 * @asked: work that callers asked for, a second
 * @admitted: of this, what was sent
 * @peak: greatest work under way, of this level and more urgent ones
 * @asked_at: when a request came last, microseconds; 0: never
 */
struct load_level {
	int64_t open;
	double asked;
	double admitted;
	double peak;
	int64_t asked_at;
};

/**
 * struct load_limit - all zero: nothing was seen yet, and nothing is refused
 * @limit: work under way at a time; 0: no limit was needed yet
 * @open: work under way
 * @unit: work of a request, on average
 * @served: work of requests that were answered lately, a second
 * @at: when what fades was brought up to date
 * @lowered_at: when the limit fell last, microseconds
 */
struct load_limit {
	double limit;
	int64_t open;
	double unit;
	double served;
	int64_t at;
	int64_t lowered_at;
	struct load_level levels[ESTIMATE_LEVELS];
};

/**
 * struct peer_load - what other instances that take callers told lately
 * @n: that there are
 * @n_limited: of these, that have a limit which fell lately
 * @ratio: their limits by what they are asked for, the middle one; seconds
 * @limit: sum of their limits
 * @asked: work that callers ask of them, a second, by level
 */
struct peer_load {
	int n;
	int n_limited;
	double ratio;
	double limit;
	double asked[ESTIMATE_LEVELS];
};

/**
 * load_limit_count_request() - a request came
 * @level: of urgency, 0 is the highest
 * @cost: its work
 */
void load_limit_count_request(struct load_limit *load, int level, int64_t cost,
			      int64_t now);

/**
 * load_limit_admit() - decide about it
 * @view: may be NULL
 *
 * Return: whether it may be sent; then load_limit_release() follows once.
 */
bool load_limit_admit(struct load_limit *load, int level, int64_t cost,
		      const struct peer_load *view, int64_t now);

/**
 * load_limit_admit_always() - a request is sent whatever the limit is
 *
 * load_limit_release() follows once.
 */
void load_limit_admit_always(struct load_limit *load, int level, int64_t cost,
			     int64_t now);

/**
 * load_limit_is_most_urgent() - no more urgent request came lately
 */
bool load_limit_is_most_urgent(const struct load_limit *load, int level,
			       int64_t now);

/**
 * load_limit_adopt() - take the limit that most others have
 *
 * Return: whether it fell.
 */
bool load_limit_adopt(struct load_limit *load, const struct peer_load *view,
		      int64_t now);

/**
 * load_limit_count_served() - a request got its answer, in time or not
 */
void load_limit_count_served(struct load_limit *load, int64_t cost,
			     int64_t now);

/**
 * load_limit_capacity() - work that all instances served lately
 * @level: without that of more urgent requests
 * @view: what is served there is to what is asked as it is here; may be NULL
 *
 * Return: a second; 0 if it is not known.
 */
double load_limit_capacity(const struct load_limit *load, int level,
			   const struct peer_load *view, int64_t now);

/**
 * load_limit_excess_time() - until what is over the limit is worked off
 *
 * Return: microseconds.
 */
int64_t load_limit_excess_time(const struct load_limit *load, int64_t now);

/**
 * load_limit_raise() - a request was answered in time
 * @rise: of the limit, in requests, for as many as it holds
 */
void load_limit_raise(struct load_limit *load, int64_t cost, double rise);

/**
 * load_limit_lower() - a request lacked many of its parts at its goal
 * @period: the limit falls once in so long, microseconds: requests that were
 *	admitted before it fell are late all the same
 *
 * Return: whether it fell.
 */
bool load_limit_lower(struct load_limit *load, int64_t period, int64_t now);

/**
 * load_limit_servers_full() - servers had no room for a request, though they
 * have for those that are under way
 *
 * With requests of one level nothing is gained by refusing them here.
 *
 * Return: whether the limit fell.
 */
bool load_limit_servers_full(struct load_limit *load, int64_t now);

/**
 * load_limit_release() - a request that was admitted is over
 */
void load_limit_release(struct load_limit *load, int level, int64_t cost);

#endif
