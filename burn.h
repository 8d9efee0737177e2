/*
 * How fast services use up their error budgets: good and bad requests in
 * windows of time, and who made them bad. Targets come from the table. No
 * sockets here, and time comes from the clock.
 *
 * A request is bad for latency if its answer came after the target or the
 * caller got none; it is bad for coverage if its answer was not complete or
 * the caller got none. The burn rate of a window is the part of requests that
 * were bad over the part that may be: at 1 the budget lasts exactly as long as
 * the window that it is for.
 */
#ifndef BURN_H
#define BURN_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "str.h"
#include "table.h"
#include "top_k.h"

#define BURN_NAME_SIZE 65
#define BURN_N_WINDOWS 4
#define BURN_SHORT_BUCKETS 120
#define BURN_LONG_BUCKETS 144
#define BURN_CAUSES_SEC 3600

/* Both windows of a pair above its rate raise an alarm (SRE workbook, 5). */
#define BURN_FAST_RATE 14.4
#define BURN_SLOW_RATE 1.0
/* Fewer bad requests raise none: on little traffic one would be enough. */
#define BURN_LEAST_BAD 5

enum burn_window {
	BURN_5M,
	BURN_1H,
	BURN_6H,
	BURN_3D,
};

enum burn_objective {
	BURN_LATENCY,
	BURN_COVERAGE,
	BURN_N_OBJECTIVES,
};

/**
 * enum burn_state - what a window's counts stand for
 * @BURN_FULL: the whole window was observed
 * @BURN_SHORT: the instance is younger than the window
 * @BURN_EMPTY: the service had no request since the instance started
 * @BURN_ROLLED_OVER: it had some, but all before the window
 */
enum burn_state {
	BURN_FULL,
	BURN_SHORT,
	BURN_EMPTY,
	BURN_ROLLED_OVER,
};

enum burn_alarm {
	BURN_ALARM_FAST,
	BURN_ALARM_SLOW,
};

enum burn_cause {
	BURN_SERVER,
	BURN_SHARD,
	BURN_N_CAUSES,
};

/**
 * struct burn_counts - requests
 * @late: answered after the target
 * @partial: answered without full coverage
 * @refused: not answered, for whatever reason but the caller's own
 */
struct burn_counts {
	uint64_t total;
	uint64_t late;
	uint64_t partial;
	uint64_t refused;
};

/**
 * struct burn_target - of the service's row in the table
 */
struct burn_target {
	char market[BURN_NAME_SIZE];
	int64_t latency_ms;
	double latency_ratio;
	double coverage_ratio;
};

/**
 * struct burn_event - one request that is over
 * @latency: microseconds
 */
struct burn_event {
	bool answered;
	bool complete;
	int64_t latency;
};

struct burn_bucket {
	uint32_t total;
	uint32_t late;
	uint32_t partial;
	uint32_t refused;
};

/* @newest: number of the bucket in progress, time over width. */
struct burn_ring {
	struct burn_bucket *buckets;
	int n;
	int64_t width;
	int64_t newest;
};

/* Causes of one period; two are kept, so that 1 to 2 periods are known. */
struct burn_causes {
	int64_t period;
	struct top_k top[BURN_N_CAUSES];
};

struct burn_service {
	char name[BURN_NAME_SIZE];
	struct burn_target target;
	int64_t last_at;
	struct burn_ring short_ring;
	struct burn_ring long_ring;
	struct burn_causes *causes[2];
	UT_hash_handle hh;
};

/**
 * struct burn - the counts of one instance
 * @services_max: services counted one by one
 * @uncounted: requests of services above this
 */
struct burn {
	const struct clock *clock;
	int64_t started_at;
	int64_t services_max;
	struct burn_service *services;
	uint64_t uncounted;
};

extern const char *const burn_window_names[BURN_N_WINDOWS];
extern const int64_t burn_window_seconds[BURN_N_WINDOWS];
extern const char *const burn_state_names[];
extern const char *const burn_objective_names[BURN_N_OBJECTIVES];
extern const char *const burn_alarm_names[];

/**
 * burn_target_fill() - targets of a service's row
 */
void burn_target_fill(struct burn_target *target, const struct service *row);

void burn_init(struct burn *burn, const struct clock *clock);
void burn_finish(struct burn *burn);
void burn_set_services_max(struct burn *burn, int64_t services_max);

/**
 * burn_record() - count a request that is over
 * @target: as of now
 *
 * Return: its service, for burn_add_cause(); NULL if services_max is reached.
 */
struct burn_service *burn_record(struct burn *burn, struct str service,
				 const struct burn_target *target,
				 const struct burn_event *event);

/**
 * burn_is_bad() - whether a request burned any budget
 */
bool burn_is_bad(const struct burn_target *target,
		 const struct burn_event *event);

/**
 * burn_add_cause() - a server or shard made a request bad
 * @code: why; 0: it was slow
 */
void burn_add_cause(struct burn *burn, struct burn_service *service,
		    enum burn_cause cause, struct str key, int code);

struct burn_service *burn_find(const struct burn *burn, struct str service);

/**
 * burn_count_window() - requests in a window that ends now
 * @service: NULL for one without requests
 *
 * The window is a whole number of buckets with the one in progress, so that
 * it may be shorter by up to a tenth.
 */
enum burn_state burn_count_window(struct burn *burn,
				  struct burn_service *service,
				  enum burn_window window,
				  struct burn_counts *counts);

/**
 * burn_observed() - how much of a window the instance has seen, microseconds
 */
int64_t burn_observed(const struct burn *burn, enum burn_window window);

/**
 * burn_top_causes() - who made requests bad in the last one to two hours
 */
void burn_top_causes(struct burn *burn, const struct burn_service *service,
		     enum burn_cause cause, struct top_k *out);

/**
 * burn_count_bad() - requests that were bad for an objective
 */
uint64_t burn_count_bad(const struct burn_counts *counts,
			enum burn_objective objective);

/**
 * burn_required_ratio() - part of requests that must be good
 */
double burn_required_ratio(const struct burn_target *target,
			   enum burn_objective objective);

/**
 * burn_rate() - bad requests over those allowed
 * @allowed: bad requests allowed, of as many as there were
 *
 * Return: 0 without any; INFINITY if none is allowed.
 */
double burn_rate(double bad, double allowed);

/**
 * burn_budget_left() - part of the budget of the longest window that is left
 *
 * Return: 1 untouched, 0 used up, below 0 overdrawn.
 */
double burn_budget_left(double bad, double allowed);

/**
 * burn_is_fast() - whether the pair of short windows raises an alarm
 * @rates: by window
 * @bad: by window
 */
bool burn_is_fast(const double *rates, const uint64_t *bad);

/**
 * burn_is_slow() - likewise the pair of long windows
 */
bool burn_is_slow(const double *rates, const uint64_t *bad);

#endif
