/*
 * Callers that were refused for load, and when there will be room for them.
 * Room is a rate: each promise is booked behind those to requests that are as
 * urgent or more, and what nobody comes back for is there for others. Answers
 * callers that are refused again and again, and those that repeat at once:
 * these gain nothing. Decides without sockets.
 */
#ifndef RETURN_SCHEDULE_H
#define RETURN_SCHEDULE_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "server_outlook.h"

/* Callers that are remembered at a time. */
#define RETURN_SCHEDULE_MAX 2048
/* Services whose promises are counted. */
#define RETURN_QUEUES_MAX 64

/**
 * struct scheduled_return - a request that was refused
 * @fingerprint: the same when it comes again
 * @service: hash of the name of the one that is short
 * @due: before that it is refused again, microseconds
 * @cost: its work, microseconds
 * @kept: there is room for it from then on
 * @taken: for other instances: it came back
 */
struct scheduled_return {
	uint64_t fingerprint;
	uint64_t service;
	int64_t due;
	int64_t cost;
	int level;
	bool kept;
	bool taken;
	UT_hash_handle hh;
};

/**
 * struct return_queue - promises of a service
 * @free_at: by level: from when on room is not promised
 * @room: by level: work a second that is promised at most; 0: not known
 */
struct return_queue {
	uint64_t service;
	double room[ESTIMATE_LEVELS];
	int64_t free_at[ESTIMATE_LEVELS];
	int64_t used_at;
};

struct return_schedule {
	const struct clock *clock;
	struct scheduled_return *entries;
	struct return_queue lines[RETURN_QUEUES_MAX];
	int n_lines;
	int64_t swept_at;
};

/**
 * struct return_request - a request that is refused for load
 * @room: work a second that all instances serve of the service; 0: not known
 * @room_in: there is none before, microseconds; 0: not known
 * @patience: the caller waits so long at most, microseconds
 */
struct return_request {
	uint64_t fingerprint;
	uint64_t service;
	int level;
	int64_t cost;
	double room;
	int64_t room_in;
	int64_t patience;
};

enum return_state {
	RETURN_NONE,  /* nothing is known of the request */
	RETURN_EARLY, /* it is to be refused again */
	RETURN_DUE,   /* there is room for it */
};

void return_schedule_init(struct return_schedule *book,
			  const struct clock *clock);
void return_schedule_finish(struct return_schedule *book);

/**
 * return_schedule_offer() - when a refused request may come back
 * @out: set; @out->kept says whether it is a promise
 *
 * A caller that will not wait so long is promised nothing.
 *
 * Return: after how many microseconds there is room.
 */
int64_t return_schedule_offer(struct return_schedule *book,
			      const struct return_request *ask,
			      struct scheduled_return *out);

/**
 * return_schedule_find() - what is known of a request that came
 *
 * Return: NULL if nothing, or it came too late.
 */
const struct scheduled_return *
return_schedule_find(struct return_schedule *book, uint64_t fingerprint);

/**
 * return_schedule_check() - whether it comes at its time
 * @entry: may be NULL
 */
enum return_state return_schedule_check(const struct return_schedule *book,
					const struct scheduled_return *entry);

/**
 * return_schedule_remove() - the request is let in, or needs no promise any
 * more
 */
void return_schedule_remove(struct return_schedule *book, uint64_t fingerprint);

/**
 * return_schedule_receive() - another instance gave a promise, or it was used
 * there
 */
void return_schedule_receive(struct return_schedule *book,
			     const struct scheduled_return *entry);

#endif
