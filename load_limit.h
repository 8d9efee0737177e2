/*
 * Adaptive limit for work in progress at the servers of a service, by level of
 * urgency. Under overload, such as a burst with callers who retry at once,
 * sending all requests would give each some of its parts and none enough of
 * them, and all would be late. The limit falls when requests lack many of their
 * parts at their goal, and rises while requests are answered in time. Requests
 * beyond the limit are refused before anything is sent, less urgent ones first.
 *
 * A few slow or lost shards do not lower the limit: most parts are answered.
 */
#ifndef LOAD_LIMIT_H
#define LOAD_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

#include "server_outlook.h"

/**
 * struct load_level - recent load of one level of urgency
 * @in_progress: work in progress of this level, microseconds
 * @demand: work that callers requested, microseconds per second
 * @admitted: admitted part of @demand, microseconds per second
 * @peak_in_progress: recent peak of the work in progress of this level and more
 *	urgent ones, microseconds
 * @last_request_at: time of the last request, microseconds; 0: never
 */
struct load_level {
	int64_t in_progress;
	double demand;
	double admitted;
	double peak_in_progress;
	int64_t last_request_at;
};

/**
 * struct load_limit - limit and load of one service
 * @limit: maximum work in progress, microseconds; 0: unlimited
 * @in_progress: work in progress, microseconds
 * @mean_cost: mean work of a request, microseconds
 * @served_rate: work of answered requests, microseconds per second
 * @updated_at: when the decaying averages were last updated, microseconds
 * @lowered_at: when the limit was last lowered, microseconds; 0: never
 * @levels: by level of urgency, 0 is the highest
 *
 * All zero is a valid initial state: no limit.
 */
struct load_limit {
	double limit;
	int64_t in_progress;
	double mean_cost;
	double served_rate;
	int64_t updated_at;
	int64_t lowered_at;
	struct load_level levels[ESTIMATE_LEVELS];
};

/**
 * struct peer_load - recent reports of the other instances that accept callers
 * @n_instances: number of those instances
 * @n_limited: number of them whose limit was lowered recently
 * @limit_per_demand: median ratio of their limits to their demand, seconds
 * @limit: sum of their limits, microseconds
 * @demand: work requested by their callers by level, microseconds per second
 */
struct peer_load {
	int n_instances;
	int n_limited;
	double limit_per_demand;
	double limit;
	double demand[ESTIMATE_LEVELS];
};

/**
 * load_limit_count_request() - count a request that arrived
 * @level: level of urgency, 0 is the highest
 * @cost: expected work, microseconds
 * @now: microseconds
 */
void load_limit_count_request(struct load_limit *load, int level, int64_t cost,
			      int64_t now);

/**
 * load_limit_admit() - admit or refuse a request
 * @level: level of urgency
 * @cost: expected work, microseconds
 * @peers: may be NULL
 * @now: microseconds
 *
 * Return: whether it may be sent. Each admitted request needs one
 * load_limit_release().
 */
bool load_limit_admit(struct load_limit *load, int level, int64_t cost,
		      const struct peer_load *peers, int64_t now);

/**
 * load_limit_admit_always() - admit a request regardless of the limit
 * @level: level of urgency
 * @cost: expected work, microseconds
 * @now: microseconds
 *
 * Needs one load_limit_release().
 */
void load_limit_admit_always(struct load_limit *load, int level, int64_t cost,
			     int64_t now);

/**
 * load_limit_is_most_urgent() - whether no more urgent request came recently
 * @level: level of urgency
 * @now: microseconds
 */
bool load_limit_is_most_urgent(const struct load_limit *load, int level,
			       int64_t now);

/**
 * load_limit_adopt() - lower the limit to that of most other instances
 * @peers: their reports
 * @now: microseconds
 *
 * Does nothing unless at least half of the others have a limit and the own one
 * is missing or much higher.
 *
 * Return: whether the limit was lowered.
 */
bool load_limit_adopt(struct load_limit *load, const struct peer_load *peers,
		      int64_t now);

/**
 * load_limit_count_served() - count a request that was answered, in time or not
 * @cost: work of the request, microseconds
 * @now: microseconds
 */
void load_limit_count_served(struct load_limit *load, int64_t cost,
			     int64_t now);

/**
 * load_limit_capacity() - estimate the work that all instances can get served
 * @level: work of more urgent levels is subtracted
 * @peers: the ratio of served work to demand is assumed to be the same there as
 *	here; may be NULL
 * @now: microseconds
 *
 * Return: microseconds per second; 0 if unknown.
 */
double load_limit_capacity(const struct load_limit *load, int level,
			   const struct peer_load *peers, int64_t now);

/**
 * load_limit_excess_time() - time until work in progress falls to the limit
 * @now: microseconds
 *
 * Return: microseconds.
 */
int64_t load_limit_excess_time(const struct load_limit *load, int64_t now);

/**
 * load_limit_raise() - raise the limit after a request was answered in time
 * @cost: work of the request, microseconds
 * @rise: number of requests by which the limit rises for each limit's worth of
 *	work answered
 */
void load_limit_raise(struct load_limit *load, int64_t cost, double rise);

/**
 * load_limit_lower() - lower the limit after a request that lacked many of its
 *	parts at its goal
 * @period: minimum time between two decreases, microseconds: requests admitted
 *	before the first one will be late too
 * @now: microseconds
 *
 * Return: whether the limit was lowered.
 */
bool load_limit_lower(struct load_limit *load, int64_t period, int64_t now);

/**
 * load_limit_servers_full() - lower the limit because servers refused a request
 *	for lack of room while they serve others
 * @now: microseconds
 *
 * Does nothing if all recent requests have the same level: refusing them here
 * would gain nothing.
 *
 * Return: whether the limit was lowered.
 */
bool load_limit_servers_full(struct load_limit *load, int64_t now);

/**
 * load_limit_release() - an admitted request ended
 * @level: as admitted
 * @cost: as admitted
 */
void load_limit_release(struct load_limit *load, int level, int64_t cost);

#endif
