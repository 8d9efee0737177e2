#include "return_schedule.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* The rest is kept for new requests, which are better served at once. */
#define PROMISED_CAPACITY_SHARE 0.2
/* Used while the capacity is unknown. */
#define WAIT_DEFAULT MSEC(100)
/* Any sooner, the load is still the same; any later, it is unpredictable. */
#define WAIT_MIN MSEC(20)
#define WAIT_MAX MSEC(5000)
/* Accounts for the caller's clock and network delay. */
#define EARLY_TOLERANCE MSEC(10)
/* A caller may need a new connection over a slow link. */
#define LATE_TOLERANCE MSEC(500)
#define CLEANUP_PERIOD MSEC(200)

void return_schedule_init(struct return_schedule *schedule,
			  const struct clock *clock)
{
	memset(schedule, 0, sizeof(*schedule));
	schedule->clock = clock;
}

static void remove_return(struct return_schedule *schedule,
			  struct scheduled_return *entry)
{
	HASH_DEL(schedule->entries, entry);
	free(entry);
}

void return_schedule_finish(struct return_schedule *schedule)
{
	struct scheduled_return *entry;
	struct scheduled_return *next;

	HASH_ITER (hh, schedule->entries, entry, next)
		remove_return(schedule, entry);
}

static bool is_expired(const struct scheduled_return *entry, int64_t now)
{
	return now > entry->due + LATE_TOLERANCE;
}

static void remove_expired(struct return_schedule *schedule, int64_t now)
{
	struct scheduled_return *entry;
	struct scheduled_return *next;

	if (now - schedule->cleaned_at < CLEANUP_PERIOD)
		return;
	schedule->cleaned_at = now;
	HASH_ITER (hh, schedule->entries, entry, next) {
		if (is_expired(entry, now))
			remove_return(schedule, entry);
	}
}

static struct return_queue *
least_recently_used_queue(struct return_schedule *schedule)
{
	struct return_queue *oldest = &schedule->queues[0];
	int i;

	for (i = 1; i < schedule->n_queues; i++) {
		if (schedule->queues[i].used_at < oldest->used_at)
			oldest = &schedule->queues[i];
	}
	return oldest;
}

static struct return_queue *get_queue(struct return_schedule *schedule,
				      uint64_t service, int64_t now)
{
	struct return_queue *queue = NULL;
	int i;

	for (i = 0; i < schedule->n_queues && !queue; i++) {
		if (schedule->queues[i].service == service)
			queue = &schedule->queues[i];
	}
	if (!queue) {
		queue = schedule->n_queues < RETURN_QUEUES_MAX
				? &schedule->queues[schedule->n_queues++]
				: least_recently_used_queue(schedule);
		memset(queue, 0, sizeof(*queue));
		queue->service = service;
	}
	queue->used_at = now;
	return queue;
}

/* Delays less urgent levels, too, except promises already made to them. */
static void reserve_capacity(struct return_queue *queue, int level,
			     int64_t cost, int64_t now)
{
	int i;

	for (i = level; i < ESTIMATE_LEVELS; i++) {
		if (!queue->capacity[i])
			continue;
		if (queue->next_free_at[i] < now)
			queue->next_free_at[i] = now;
		queue->next_free_at[i] +=
			(int64_t)((double)cost * USEC_PER_SEC /
				  queue->capacity[i]);
	}
}

static struct scheduled_return *
insert_return(struct return_schedule *schedule,
	      const struct scheduled_return *from)
{
	struct scheduled_return *entry;

	HASH_FIND(hh, schedule->entries, &from->fingerprint,
		  sizeof(from->fingerprint), entry);
	if (entry)
		remove_return(schedule, entry);
	if (HASH_COUNT(schedule->entries) >= RETURN_SCHEDULE_MAX)
		return NULL;
	entry = mem_zalloc(sizeof(*entry));
	*entry = *from;
	HASH_ADD(hh, schedule->entries, fingerprint, sizeof(entry->fingerprint),
		 entry);
	return entry;
}

/* Time until the capacity for this request is not promised to others. */
static int64_t time_until_capacity(const struct return_queue *queue,
				   const struct return_request *request,
				   int64_t now)
{
	double capacity = queue->capacity[request->level];
	int64_t start = now + request->capacity_in;
	int64_t wait;

	if (!capacity)
		return request->capacity_in ? request->capacity_in
					    : WAIT_DEFAULT;
	if (queue->next_free_at[request->level] > start)
		start = queue->next_free_at[request->level];
	wait = start - now +
	       (int64_t)((double)request->cost * USEC_PER_SEC / capacity);
	if (wait < WAIT_MIN)
		return WAIT_MIN;
	return wait < WAIT_MAX ? wait : WAIT_MAX;
}

int64_t return_schedule_offer(struct return_schedule *schedule,
			      const struct return_request *request,
			      struct scheduled_return *out)
{
	int64_t now = clock_now(schedule->clock);
	struct return_queue *queue = get_queue(schedule, request->service, now);
	int64_t wait;

	remove_expired(schedule, now);
	queue->capacity[request->level] =
		request->capacity * PROMISED_CAPACITY_SHARE;
	wait = time_until_capacity(queue, request, now);
	memset(out, 0, sizeof(*out));
	out->fingerprint = request->fingerprint;
	out->service = request->service;
	out->level = request->level;
	out->cost = request->cost;
	out->promised = wait <= request->patience;
	out->due = now + (out->promised ? wait : request->patience);
	if (!insert_return(schedule, out))
		out->promised = false;
	if (out->promised)
		reserve_capacity(queue, request->level, request->cost,
				 now + request->capacity_in);
	return wait;
}

const struct scheduled_return *
return_schedule_find(struct return_schedule *schedule, uint64_t fingerprint)
{
	struct scheduled_return *entry;

	HASH_FIND(hh, schedule->entries, &fingerprint, sizeof(fingerprint),
		  entry);
	if (!entry || is_expired(entry, clock_now(schedule->clock)))
		return NULL;
	return entry;
}

enum return_state return_schedule_check(const struct return_schedule *schedule,
					const struct scheduled_return *entry)
{
	if (!entry)
		return RETURN_NONE;
	if (clock_now(schedule->clock) < entry->due - EARLY_TOLERANCE)
		return RETURN_EARLY;
	return entry->promised ? RETURN_DUE : RETURN_NONE;
}

void return_schedule_remove(struct return_schedule *schedule,
			    uint64_t fingerprint)
{
	struct scheduled_return *entry;

	HASH_FIND(hh, schedule->entries, &fingerprint, sizeof(fingerprint),
		  entry);
	if (entry)
		remove_return(schedule, entry);
}

void return_schedule_receive(struct return_schedule *schedule,
			     const struct scheduled_return *entry)
{
	int64_t now = clock_now(schedule->clock);

	remove_expired(schedule, now);
	if (entry->taken) {
		return_schedule_remove(schedule, entry->fingerprint);
		return;
	}
	if (is_expired(entry, now) || entry->due > now + WAIT_MAX)
		return;
	if (insert_return(schedule, entry) && entry->promised)
		reserve_capacity(get_queue(schedule, entry->service, now),
				 entry->level, entry->cost, now);
}
