/*
 * Simulated callers: each fetches the address list from an instance, caches it
 * for its lifetime and balances over the addresses in its own data centre.
 */
#ifndef BENCH_LOAD_CALLER_H
#define BENCH_LOAD_CALLER_H

#include <stdbool.h>
#include <stdint.h>

#include "load_pool.h"

struct clock;
struct load_callers;

/**
 * struct load_endpoint - one address of a caller's list
 * @target: where requests are sent; owned by the pool
 * @local: in the caller's data centre, or the caller has none
 * @failed: a connection failed since the list was fetched
 */
struct load_endpoint {
	struct load_target *target;
	bool local;
	bool failed;
};

/**
 * struct load_caller - one caller with its own address list
 * @callers: all callers
 * @endpoints: the list, owned by the caller
 * @n_endpoints: number of @endpoints
 * @expires: when to fetch it again, monotonic microseconds
 * @next_source: index of the address to fetch it from, modulo their number
 * @is_refreshing: a fetch is in flight
 * @ready: a list was received at least once
 */
struct load_caller {
	struct load_callers *callers;
	struct load_endpoint *endpoints;
	int n_endpoints;
	int64_t expires;
	int next_source;
	bool is_refreshing;
	bool ready;
};

/**
 * struct load_callers - all callers of a run
 * @pool: targets and connections, borrowed
 * @clock: borrowed
 * @data_centre: that of all callers, borrowed, or NULL
 * @path: path and query of the address list
 * @initial_targets: targets from the command line, to fetch the first lists
 * from
 * @n_initial: number of @initial_targets
 * @fixed: use the initial targets and fetch no list
 * @items: the callers
 * @n: number of @items
 * @refreshes: lists received
 * @refresh_failures: fetches that failed
 */
struct load_callers {
	struct load_pool *pool;
	const struct clock *clock;
	const char *data_centre;
	char path[128];
	struct load_target **initial_targets;
	int n_initial;
	bool fixed;
	struct load_caller *items;
	int n;
	uint64_t refreshes;
	uint64_t refresh_failures;
};

/**
 * load_callers_init() - initialise the callers
 * @callers: to initialise; release with load_callers_finish()
 * @pool: borrowed
 * @clock: borrowed
 * @initial_targets: "IP:PORT,IP:PORT,..."
 * @data_centre: that of the callers, borrowed; may be NULL
 * @n: number of callers, at least 1
 *
 * Return: 0, or ERR_ADDRESS.
 */
int load_callers_init(struct load_callers *callers, struct load_pool *pool,
		      const struct clock *clock, const char *initial_targets,
		      const char *data_centre, int n);
void load_callers_finish(struct load_callers *callers);

/**
 * load_callers_refresh() - fetch the list of each caller whose list has expired
 * @callers: all callers
 */
void load_callers_refresh(struct load_callers *callers);

/**
 * load_callers_ready() - whether every caller has an address list
 * @callers: all callers
 */
bool load_callers_ready(const struct load_callers *callers);

/**
 * load_caller_pick() - choose the target of the next request
 * @caller: that sends it
 * @random: uniform in [0, 1), selects among equivalent endpoints
 * @avoid: used only if there is no other; may be NULL
 *
 * Local endpoints come first, then all others, then the first initial target.
 * Endpoints that failed are skipped.
 *
 * Return: the target, owned by the pool.
 */
struct load_target *load_caller_pick(struct load_caller *caller, double random,
				     const struct load_target *avoid);

/**
 * load_caller_connect_failed() - report a failed connection to a target
 * @caller: that used it
 * @target: that could not be reached
 *
 * The target is skipped until the list is fetched again, which starts at once.
 */
void load_caller_connect_failed(struct load_caller *caller,
				const struct load_target *target);

#endif
