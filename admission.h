/*
 * Admission control at the entry instance: decides which searches start at
 * once, which are queued, and which are refused early without having run. An
 * adaptive concurrency limit per service follows the capacity of the service's
 * backend servers; another one for the whole instance follows the delay of its
 * event loop. See docs/design/overload.md.
 */
#ifndef ADMISSION_H
#define ADMISSION_H

#include <stdbool.h>
#include <stdint.h>

#include "str.h"

struct clock;
struct admission_service;
struct admission_workspace;

#define ADMISSION_PRIORITIES 10

/**
 * struct admission_tunables - settings from the routing table
 * @queue_max: maximum number of queued and started requests of the instance
 * @wait_target_ratio: accepted queueing time at the home instances, as a
 *	fraction of the service's latency target
 * @floor: fraction of the starts reserved for the lowest priority that has
 *	requests queued, so that no priority starves
 * @lag_target: accepted delay of the instance's event loop, microseconds
 */
struct admission_tunables {
	int64_t queue_max;
	double wait_target_ratio;
	double floor;
	int64_t lag_target;
};

/**
 * struct admission_request - one request; owned by the caller, who keeps it
 *	until admission_leave(), or until it is refused
 * @service: service name; only read during admission_enter()
 * @workspace: workspace that the request searches; may be empty; only read
 *	during admission_enter()
 * @priority: 0 is the most urgent
 * @weight: weight of the service in fair queueing
 * @slo_latency: latency target of the service, microseconds
 * @deadline: absolute time on the clock, microseconds
 * @start: called when a queued request starts
 * @refuse: called when a queued request is refused; it did not run, and
 *	admission_leave() is not needed
 * @service_state: private: state of the service; NULL once the request left
 * @workspace_queue: private: queue that holds the request; NULL if not queued
 * @entered_at: private: time of admission_enter(), microseconds
 * @started_at: private: start time, microseconds; 0 while queued
 * @prev: private
 * @next: private
 */
struct admission_request {
	struct str service;
	struct str workspace;
	int priority;
	int64_t weight;
	int64_t slo_latency;
	int64_t deadline;
	void (*start)(struct admission_request *request);
	void (*refuse)(struct admission_request *request, int code,
		       uint32_t retry_after_ms);
	/* Private to the module. */
	struct admission_service *service_state;
	struct admission_workspace *workspace_queue;
	int64_t entered_at;
	int64_t started_at;
	struct admission_request *prev;
	struct admission_request *next;
};

/**
 * struct admission_sample - measurements of a request that was started
 * @wait: mean queueing time of its parts at home instances, microseconds
 * @shed: a home instance or server refused a part because of load
 * @failed: no server answered
 */
struct admission_sample {
	int64_t wait;
	bool shed;
	bool failed;
};

/**
 * struct admission_limit - adaptive concurrency limit
 * @limit: maximum number of requests in progress, at least 1
 * @in_flight: requests in progress
 * @window_end: earliest time of the next adjustment, microseconds
 * @min_wait: minimum wait in the samples of the window, microseconds
 * @n_samples: number of samples in the window
 * @was_full: the limit was reached during the window
 */
struct admission_limit {
	double limit;
	int in_flight;
	int64_t window_end;
	int64_t min_wait;
	int n_samples;
	bool was_full;
};

/**
 * struct admission - admission state of one instance
 * @clock: time source
 * @random: source of random numbers
 * @tunables: current settings
 * @services: hash table, keyed by hash of the service name
 * @instance_limit: concurrency limit of the whole instance
 * @n_queued: number of queued requests, by priority
 * @n_waiting: sum of @n_queued
 * @virtual_time: virtual time of weighted fair queueing, by priority
 * @floor_credit: starts reserved so far for the lowest queued priority
 * @starting_requests: queued requests are being started; guards against
 *	recursion through callbacks
 * @rate_window_start: start of the window of @refusals and @starts,
 *	microseconds
 * @refusals: refused requests since @rate_window_start
 * @starts: started requests since @rate_window_start
 * @refusals_per_start: ratio of the two in the previous window
 */
struct admission {
	const struct clock *clock;
	uint64_t (*random)(void);
	struct admission_tunables tunables;
	struct admission_service *services;
	struct admission_limit instance_limit;
	int n_queued[ADMISSION_PRIORITIES];
	int n_waiting;
	double virtual_time[ADMISSION_PRIORITIES];
	double floor_credit;
	bool starting_requests;
	int64_t rate_window_start;
	int refusals;
	int starts;
	double refusals_per_start;
};

/* Result of admission_enter(). */
enum admission_decision {
	ADMISSION_STARTED = 1,
	ADMISSION_QUEUED,
};

void admission_init(struct admission *admission, const struct clock *clock,
		    uint64_t (*random)(void));

/**
 * admission_limit_deadlines() - move later deadlines of queued requests
 * @deadline: the latest one, microseconds
 */
void admission_limit_deadlines(struct admission *admission, int64_t deadline);

/**
 * admission_refuse_all() - refuse all queued requests
 */
void admission_refuse_all(struct admission *admission);

/**
 * admission_finish() - free the state; no request may be queued or started
 */
void admission_finish(struct admission *admission);
void admission_set_tunables(struct admission *admission,
			    const struct admission_tunables *tunables);

/**
 * admission_enter() - start, queue or refuse a request
 * @request: see struct admission_request
 * @retry_after_ms: set on failure; randomised, so that refused callers do not
 *	retry at the same time
 *
 * May refuse another queued request to make room: one of a lower priority, or
 * of the service with the largest backlog.
 *
 * Return: an enum admission_decision, or ERR_OVERLOAD if @request is refused;
 * admission_leave() is not needed then.
 */
int admission_enter(struct admission *admission,
		    struct admission_request *request,
		    uint32_t *retry_after_ms);

/**
 * admission_leave() - a started request ended, or a queued one was cancelled
 * @request: ignored if it has left already
 * @sample: measurements of the request; NULL if there are none
 */
void admission_leave(struct admission *admission,
		     struct admission_request *request,
		     const struct admission_sample *sample);

/**
 * admission_overloaded() - whether a new request of a service would be queued
 *	or refused
 * @service: service name
 * @retry_after_ms: set if so
 *
 * For work that is limited elsewhere, such as issuing tickets.
 */
bool admission_overloaded(struct admission *admission, struct str service,
			  uint32_t *retry_after_ms);

/**
 * admission_add_lag() - record a delay of the event loop
 * @lag: microseconds
 */
void admission_add_lag(struct admission *admission, int64_t lag);

/**
 * admission_tick() - refuse requests that can no longer meet their deadline,
 *	free idle services, start queued requests
 *
 * Call about every 50 ms.
 */
void admission_tick(struct admission *admission);

/**
 * admission_service_limit() - current concurrency limit of a service, for
 *	status pages and tests
 * @service: service name
 *
 * Return: requests; 0 for a service without recent requests.
 */
int admission_service_limit(const struct admission *admission,
			    struct str service);

#endif
