/*
 * How many requests an instance has under way at the same shards. Answers the
 * load that servers cannot bear for a while, as a burst with callers who retry
 * at once: if all requests are sent, each gets some of its parts, none gets
 * enough, and all are late. The limit falls when requests lack many of their
 * parts at their goal and rises while they are served; what is over it is
 * refused before anything is sent.
 *
 * A few shards that are slow or lost do not lower it: most parts are in then.
 */
#ifndef LOAD_LIMIT_H
#define LOAD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct load_limit - all zero: nothing was seen yet, and nothing is refused
 * @limit: requests under way at a time; 0: no limit was needed yet
 * @open: requests under way
 * @lowered_at: when the limit fell last, microseconds
 */
struct load_limit {
	double limit;
	int open;
	int64_t lowered_at;
};

/**
 * load_limit_admit() - a request came
 *
 * Return: whether it may be sent; then load_limit_end() follows once.
 */
bool load_limit_admit(struct load_limit *load);

/**
 * load_limit_served() - a request was answered in time
 */
void load_limit_served(struct load_limit *load);

/**
 * load_limit_overloaded() - a request lacked many of its parts at its goal
 * @period: the limit falls once in so long, microseconds: requests that were
 *	admitted before it fell are late all the same
 *
 * Return: whether it fell.
 */
bool load_limit_overloaded(struct load_limit *load, int64_t period,
			   int64_t now);

/**
 * load_limit_end() - a request that was admitted is over
 */
void load_limit_end(struct load_limit *load);

#endif
