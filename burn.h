/*
 * Error budget accounting of services: counts good and bad requests in sliding
 * windows, and which backend servers and shards made requests bad. Targets come
 * from the table. Does no I/O; the time comes from the clock.
 *
 * A request is bad for latency if it was answered later than the target or not
 * at all, and bad for coverage if it was answered incompletely or not at all.
 * The burn rate of a window is the ratio of bad requests to the bad requests
 * that the target allows: at a rate of 1, a budget lasts exactly for its
 * window.
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
#define BURN_CAUSES_PERIOD_S 3600

/*
 * Burn rates that raise an alarm when both windows of a pair exceed them:
 * multiwindow alerts as in the Site Reliability Workbook, chapter 5.
 */
#define BURN_FAST_RATE 14.4
#define BURN_SLOW_RATE 1.0
/* Below this no alarm: with little traffic one bad request would raise it. */
#define BURN_MIN_BAD 5

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
 * enum burn_state - which part of a window its counts cover
 * @BURN_FULL: the whole window
 * @BURN_SHORT: less, as the instance started after the window did
 * @BURN_EMPTY: the service had no request since the instance started
 * @BURN_ROLLED_OVER: the service had requests, but all before the window
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
 * struct burn_counts - numbers of requests in a window
 * @total: all requests
 * @late: answered later than the latency target
 * @partial: answered without full coverage
 * @refused: not answered, for any reason that isn't the caller's fault
 */
struct burn_counts {
	uint64_t total;
	uint64_t late;
	uint64_t partial;
	uint64_t refused;
};

/**
 * struct burn_target - service-level objectives from a service's table row
 * @market: the market that the service belongs to
 * @latency_ms: target latency, milliseconds
 * @latency_ratio: part of requests to be answered within @latency_ms, 0 to 1
 * @coverage_ratio: part of requests to be answered completely, 0 to 1
 */
struct burn_target {
	char market[BURN_NAME_SIZE];
	int64_t latency_ms;
	double latency_ratio;
	double coverage_ratio;
};

/**
 * struct burn_event - result of one finished request
 * @answered: the caller got an answer
 * @complete: the answer had full coverage
 * @latency: time to the answer, microseconds
 */
struct burn_event {
	bool answered;
	bool complete;
	int64_t latency;
};

/* Counts of one bucket; fields as in struct burn_counts. */
struct burn_bucket {
	uint32_t total;
	uint32_t late;
	uint32_t partial;
	uint32_t refused;
};

/**
 * struct burn_ring - ring buffer of counts by time
 * @buckets: owned, @n of them
 * @n: number of buckets
 * @width: time that a bucket spans, microseconds
 * @newest: number of the current bucket: the clock's time divided by @width
 */
struct burn_ring {
	struct burn_bucket *buckets;
	int n;
	int64_t width;
	int64_t newest;
};

/**
 * struct burn_causes - the most frequent causes of bad requests in one period
 * @period: number of the period: the clock's time over BURN_CAUSES_PERIOD_S
 * @top: by kind of cause
 */
struct burn_causes {
	int64_t period;
	struct top_k top[BURN_N_CAUSES];
};

/**
 * struct burn_service - counts of one service
 * @name: key in burn.services
 * @target: as of the last request
 * @last_at: time of the last request, microseconds
 * @short_ring: for the windows up to 1 h
 * @long_ring: for the longer windows
 * @causes: of the current and the previous period, so that the last one to two
 *	    periods are covered; owned, NULL without a cause
 * @hh: in burn.services
 */
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
 * struct burn - counts of all services on one instance
 * @clock: not owned
 * @started_at: start of the instance, microseconds
 * @services_max: largest number of services to keep counts for
 * @services: hash map by name, owned
 * @uncounted: requests not counted because @services_max was reached
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
 * burn_target_fill() - read a service's targets from its table row
 * @target: overwritten
 * @row: the service's row in the table
 */
void burn_target_fill(struct burn_target *target, const struct service *row);

void burn_init(struct burn *burn, const struct clock *clock);
void burn_finish(struct burn *burn);

/**
 * burn_set_services_max() - set how many services are counted
 *
 * Lowering the limit drops no counts.
 */
void burn_set_services_max(struct burn *burn, int64_t services_max);

/**
 * burn_record() - count a finished request
 * @service: name of its service
 * @target: the service's current targets; copied
 * @event: how the request ended
 *
 * Return: its service, for burn_add_cause(), owned by @burn; NULL if the limit
 * on services is reached or the name is too long.
 */
struct burn_service *burn_record(struct burn *burn, struct str service,
				 const struct burn_target *target,
				 const struct burn_event *event);

/**
 * burn_is_bad() - whether a request is bad for any objective
 */
bool burn_is_bad(const struct burn_target *target,
		 const struct burn_event *event);

/**
 * burn_add_cause() - record that a server or shard made a request bad
 * @cause: whether @key is a server or a shard
 * @key: name of the server, or range of the shard
 * @code: error code, or 0 if it was slow
 */
void burn_add_cause(struct burn *burn, struct burn_service *service,
		    enum burn_cause cause, struct str key, int code);

/**
 * burn_find() - counts of a service by name, or NULL
 */
struct burn_service *burn_find(const struct burn *burn, struct str service);

/**
 * burn_count_window() - count the requests in a window that ends now
 * @service: NULL if the service had no request
 * @counts: overwritten
 *
 * A window is a whole number of buckets that includes the current, unfinished
 * one, so that it may be shorter than its name says by up to a tenth.
 *
 * Return: which part of the window @counts covers.
 */
enum burn_state burn_count_window(struct burn *burn,
				  struct burn_service *service,
				  enum burn_window window,
				  struct burn_counts *counts);

/**
 * burn_observed() - how long the instance ran during a window, microseconds
 */
int64_t burn_observed(const struct burn *burn, enum burn_window window);

/**
 * burn_top_causes() - most frequent causes of the last one to two hours
 * @service: NULL gives an empty list
 * @cause: servers or shards
 * @out: overwritten; sorted by frequency
 */
void burn_top_causes(struct burn *burn, const struct burn_service *service,
		     enum burn_cause cause, struct top_k *out);

/**
 * burn_count_bad() - number of requests that were bad for an objective
 */
uint64_t burn_count_bad(const struct burn_counts *counts,
			enum burn_objective objective);

/**
 * burn_required_ratio() - part of requests that must be good, 0 to 1
 */
double burn_required_ratio(const struct burn_target *target,
			   enum burn_objective objective);

/**
 * burn_rate() - ratio of bad requests to allowed ones
 * @bad: number of bad requests
 * @allowed: number of bad requests that the target allows
 *
 * Return: 0 if no request was bad; INFINITY if some were and none is allowed.
 */
double burn_rate(double bad, double allowed);

/**
 * burn_budget_left() - remaining part of the error budget
 * @bad: number of bad requests in the longest window
 * @allowed: number of bad requests that the target allows there
 *
 * Return: 1 if unused, 0 if used up, negative if exceeded.
 */
double burn_budget_left(double bad, double allowed);

/**
 * burn_is_fast() - whether the two short windows raise an alarm
 * @rates: burn rates by window
 * @bad: numbers of bad requests by window
 */
bool burn_is_fast(const double *rates, const uint64_t *bad);

/**
 * burn_is_slow() - whether the two long windows raise an alarm
 * @rates: burn rates by window
 * @bad: numbers of bad requests by window
 */
bool burn_is_slow(const double *rates, const uint64_t *bad);

#endif
