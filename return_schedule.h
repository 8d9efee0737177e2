/*
 * Schedules when callers that were refused for load should return. Capacity is
 * a rate: each promise is scheduled after those to requests of the same or a
 * higher urgency, and capacity that is not claimed is free for others. This
 * guards against refusing the same callers repeatedly, and gives no advantage
 * to callers that retry at once. Does no I/O.
 */
#ifndef RETURN_SCHEDULE_H
#define RETURN_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "server_outlook.h"

/* Maximum number of scheduled returns. */
#define RETURN_SCHEDULE_MAX 2048
/* Maximum number of services with a queue. */
#define RETURN_QUEUES_MAX 64

/**
 * struct scheduled_return - a refused request that may return
 * @fingerprint: identifies the request; the same when it returns
 * @service: hash of the name of the overloaded service
 * @due: it is refused again before this time, microseconds
 * @cost: its work, microseconds
 * @level: level of urgency, 0 is the highest
 * @promised: capacity is reserved for it from @due on
 * @taken: in reports to other instances: it has returned
 * @hh: hash table entry
 */
struct scheduled_return {
	uint64_t fingerprint;
	uint64_t service;
	int64_t due;
	int64_t cost;
	int level;
	bool promised;
	bool taken;
	UT_hash_handle hh;
};

/**
 * struct return_queue - capacity promised for one service
 * @service: hash of the name
 * @capacity: by level: work that may be promised, microseconds per second; 0:
 *	unknown
 * @next_free_at: by level: time from which capacity is not promised yet,
 *	microseconds
 * @used_at: time of the last use, microseconds
 */
struct return_queue {
	uint64_t service;
	double capacity[ESTIMATE_LEVELS];
	int64_t next_free_at[ESTIMATE_LEVELS];
	int64_t used_at;
};

/**
 * struct return_schedule - scheduled returns of all services
 * @clock: time source
 * @entries: hash table, keyed by fingerprint
 * @queues: one per service
 * @n_queues: number of @queues
 * @cleaned_at: when expired entries were last removed, microseconds
 */
struct return_schedule {
	const struct clock *clock;
	struct scheduled_return *entries;
	struct return_queue queues[RETURN_QUEUES_MAX];
	int n_queues;
	int64_t cleaned_at;
};

/**
 * struct return_request - a request refused for load
 * @fingerprint: identifies the request
 * @service: hash of the name of the overloaded service
 * @level: level of urgency, 0 is the highest
 * @cost: its work, microseconds
 * @capacity: work of the service that all instances can get served,
 *	microseconds per second; 0: unknown
 * @capacity_in: time until there is any capacity, microseconds; 0: unknown
 * @patience: maximum time that the caller waits, microseconds
 */
struct return_request {
	uint64_t fingerprint;
	uint64_t service;
	int level;
	int64_t cost;
	double capacity;
	int64_t capacity_in;
	int64_t patience;
};

enum return_state {
	RETURN_NONE,  /* not scheduled, or without a promise */
	RETURN_EARLY, /* before its time: refuse it again */
	RETURN_DUE,   /* capacity is reserved for it */
};

void return_schedule_init(struct return_schedule *schedule,
			  const struct clock *clock);
void return_schedule_finish(struct return_schedule *schedule);

/**
 * return_schedule_offer() - schedule the return of a refused request
 * @request: the request
 * @out: set; @out->promised says whether capacity is reserved for it
 *
 * There is no promise if the wait exceeds the caller's patience.
 *
 * Return: time until there is capacity, microseconds.
 */
int64_t return_schedule_offer(struct return_schedule *schedule,
			      const struct return_request *request,
			      struct scheduled_return *out);

/**
 * return_schedule_find() - find the scheduled return of a request
 * @fingerprint: identifies the request
 *
 * Return: valid until the schedule changes; NULL if there is none or it has
 * expired.
 */
const struct scheduled_return *
return_schedule_find(struct return_schedule *schedule, uint64_t fingerprint);

/**
 * return_schedule_check() - whether a request returns at its time
 * @entry: its scheduled return; may be NULL
 */
enum return_state return_schedule_check(const struct return_schedule *schedule,
					const struct scheduled_return *entry);

/**
 * return_schedule_remove() - remove a return that was used or is not needed
 * @fingerprint: identifies the request
 */
void return_schedule_remove(struct return_schedule *schedule,
			    uint64_t fingerprint);

/**
 * return_schedule_receive() - add a return scheduled by another instance, or
 *	remove one that was used there
 * @entry: copied
 */
void return_schedule_receive(struct return_schedule *schedule,
			     const struct scheduled_return *entry);

#endif
