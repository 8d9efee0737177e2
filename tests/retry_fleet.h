/*
 * Simulates instances in front of one backend service that refuses requests, on
 * a simulated clock. Tests control the distribution of requests, restarts and
 * the membership known to each instance; requests and second sends are
 * recorded.
 */
#ifndef RETRY_FLEET_H
#define RETRY_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "retry_share.h"
#include "rng.h"

#define RETRY_FLEET_MAX 64

/**
 * struct fleet_instance - one process
 * @budget: of the service, created by the first request after a start
 * @has_budget: @budget was created
 * @weight: relative share of the requests
 */
struct fleet_instance {
	struct retry_share share;
	struct budget budget;
	bool has_budget;
	double weight;
	struct retry_membership membership;
};

/**
 * struct fleet_retry - a refused request that waits for its budget
 * @sends_left: further sends that are allowed
 * @deadline: it is given up after this time, microseconds
 */
struct fleet_retry {
	int instance;
	int sends_left;
	int64_t deadline;
};

/**
 * struct retry_fleet - simulated fleet
 * @rate: requests a second, all instances
 * @refuse_ratio: fraction of sends that the service refuses
 * @sends_max: sends of one request, the first one included
 * @next_at: time of the next request, microseconds
 * @needed: times of requests, microseconds
 * @extra: times at which second sends arrive, microseconds
 * @held: servers receive nothing, so that requests earn nothing; see
 *	retry_fleet_hold()
 * @n_held: second sends that servers have not received
 */
struct retry_fleet {
	struct rng rng;
	struct retry_settings settings;
	struct fleet_instance instances[RETRY_FLEET_MAX];
	int n;
	double rate;
	double refuse_ratio;
	int sends_max;
	int64_t now;
	int64_t next_at;
	int64_t *needed;
	int n_needed;
	int cap_needed;
	int64_t *extra;
	int n_extra;
	int cap_extra;
	bool held;
	int n_held;
	struct fleet_retry *waiting;
	int n_waiting;
	int cap_waiting;
};

/**
 * retry_fleet_init() - start @n instances that know each other and receive
 * equal shares of the requests
 */
void retry_fleet_init(struct retry_fleet *fleet, int n, double slack,
		      uint64_t seed);
void retry_fleet_finish(struct retry_fleet *fleet);

/**
 * retry_fleet_restart() - replace a process; its waiting requests are dropped
 */
void retry_fleet_restart(struct retry_fleet *fleet, int i);

/**
 * retry_fleet_set_membership() - set the membership known to every instance
 *
 * The first @entries instances are entries. If @entries equals @members, every
 * instance is one, as in a fleet split into groups of that size.
 */
void retry_fleet_set_membership(struct retry_fleet *fleet, int entries,
				int members);

/**
 * retry_fleet_hold() - stop the servers from receiving anything, or let them
 * receive all that was sent since
 */
void retry_fleet_hold(struct retry_fleet *fleet, bool held);

/**
 * retry_fleet_run() - advance the simulated clock
 */
void retry_fleet_run(struct retry_fleet *fleet, int64_t usec);

/**
 * retry_fleet_excess() - largest excess of second sends over the budget
 *
 * The budget of a window is based on the requests of that window, of the one
 * before or of the one half a window before, whichever has most.
 *
 * Return: second sends; 0 or less if every window is within the budget.
 */
double retry_fleet_excess(const struct retry_fleet *fleet);

#endif
