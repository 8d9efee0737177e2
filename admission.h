/*
 * Admission at the entry instance: which searches start now, which wait, and
 * which are refused early as not run. One concurrency limit for each service
 * follows what the service's backend servers can serve; one for the instance
 * follows its own event loop. See docs/design/overload.md.
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
 * struct admission_tunables - from the table
 * @queue_max: requests waiting and started together, the instance
 * @target: standing queue at the homes that is accepted, as a part of the
 * service's latency target
 * @floor: part of the starts given to the lowest priority that waits, so that
 * none starves
 * @lag_target: delay of the instance's event loop that is accepted,
 * microseconds
 */
struct admission_tunables {
	int64_t queue_max;
	double target;
	double floor;
	int64_t lag_target;
};

/**
 * struct admission_request - one request; owned by the caller until it left
 * @service: name; borrowed during admission_enter()
 * @workspace: of the request's where; may be empty; borrowed likewise
 * @priority: 0 is the most urgent
 * @weight: of the service
 * @slo_latency: latency target of the service, microseconds
 * @deadline: on the clock, microseconds
 * @start: called when a request that waited starts
 * @refuse: called when a request that waited is refused; it did not run and
 * has left
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
	/* Of the module. */
	struct admission_service *at;
	struct admission_workspace *flow;
	int64_t entered;
	int64_t started;
	struct admission_request *prev;
	struct admission_request *next;
};

/**
 * struct admission_sample - what was seen of a request that started
 * @wait: mean time its parts were queued at homes, microseconds
 * @shed: a home or server refused a part for load
 * @failed: no server answered at all
 */
struct admission_sample {
	int64_t wait;
	bool shed;
	bool failed;
};

/**
 * struct admission_limit - how many may be in progress, adapted
 * @limit: at least 1
 * @window_end: when the samples are judged, microseconds
 * @least_wait: of the window's samples
 * @n: samples in the window
 * @full: the limit was reached in the window
 */
struct admission_limit {
	double limit;
	int in_flight;
	int64_t window_end;
	int64_t least_wait;
	int n;
	bool full;
};

/**
 * struct admission - the state of one instance
 * @services: by hash of the name
 * @whole: limit of the instance
 * @n_queued: waiting, by priority
 * @n_waiting: sum of @n_queued
 * @floor_credit: starts owed to the lowest priority
 * @refusals: since @rate_since, for the spread of returns
 */
struct admission {
	const struct clock *clock;
	uint64_t (*random)(void);
	struct admission_tunables tunables;
	struct admission_service *services;
	struct admission_limit whole;
	int n_queued[ADMISSION_PRIORITIES];
	int n_waiting;
	double virtual_time[ADMISSION_PRIORITIES];
	double floor_credit;
	bool pumping;
	int64_t rate_since;
	int refusals;
	int starts;
	double excess;
};

/* What admission_enter() decided. */
enum admission_decision {
	ADMISSION_STARTED = 1,
	ADMISSION_QUEUED,
};

void admission_init(struct admission *admission, const struct clock *clock,
		    uint64_t (*random)(void));

/**
 * admission_finish() - free the services; nothing may wait or be started
 */
void admission_finish(struct admission *admission);
void admission_set_tunables(struct admission *admission,
			    const struct admission_tunables *tunables);

/**
 * admission_enter() - offer a request
 * @request: see struct admission_request
 * @retry_after_ms: set on failure: spread, so that not all come back at once
 *
 * Return: an enum admission_decision; or ERR_OVERLOAD, with the request left.
 * It may refuse another request that waits, of a lower priority or of who has
 * most waiting.
 */
int admission_enter(struct admission *admission,
		    struct admission_request *request,
		    uint32_t *retry_after_ms);

/**
 * admission_leave() - a started request is answered, or a waiting one is gone
 * @sample: NULL if nothing was seen
 */
void admission_leave(struct admission *admission,
		     struct admission_request *request,
		     const struct admission_sample *sample);

/**
 * admission_overloaded() - whether a new request of a service would not start
 * @retry_after_ms: set if so
 *
 * For work that is bounded elsewhere, as the issue of tickets.
 */
bool admission_overloaded(struct admission *admission, struct str service,
			  uint32_t *retry_after_ms);

/**
 * admission_add_lag() - the event loop was late by @lag microseconds
 */
void admission_add_lag(struct admission *admission, int64_t lag);

/**
 * admission_tick() - refuse what can't finish any more, drop idle services
 *
 * To be called about every 50 ms.
 */
void admission_tick(struct admission *admission);

/**
 * admission_service_limit() - the limit in force, for status pages and tests
 *
 * Return: requests; 0 for a service that had none lately.
 */
int admission_service_limit(const struct admission *admission,
			    struct str service);

#endif
