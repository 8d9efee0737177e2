/*
 * Queue for the slots of one backend server: the most urgent priority first,
 * then the earliest goal. Items that would miss their goal go last. Items that
 * would miss their deadline are dropped before they get a slot, so that they
 * certainly did not run.
 */
#ifndef SLOT_QUEUE_H
#define SLOT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct clock;

/**
 * struct slot_item - a queued request; owned by the caller until it is popped,
 * removed or dropped
 * @priority: 0 is the most urgent
 * @goal: soft deadline, microseconds: an answer after it is worth little;
 *	@deadline if there is none
 * @deadline: microseconds of the queue's clock
 * @random_rank: drawn once per request, the same at all servers
 * @cost: its processing time relative to the mean, 1 if unknown
 * @pushed_at: when it was queued, microseconds
 * @missed_goal: it was found to miss its goal; private to slot_queue.c, as are
 *	the following
 * @seq: order of insertion
 * @heap_pos: position in the heap, from 1; 0: not queued
 */
struct slot_item {
	int priority;
	int64_t goal;
	int64_t deadline;
	int random_rank;
	double cost;
	int64_t pushed_at;
	/* Private to slot_queue.c. */
	bool missed_goal;
	uint64_t seq;
	size_t heap_pos;
};

/**
 * struct slot_queue - the queue of one server
 * @clock: borrowed
 * @items: binary heap, owned
 * @n: number of queued items
 * @cap: allocated size of @items
 * @max: maximum number of queued items
 * @deadline_only: drop items only at their deadline, as a baseline for
 *	experiments
 * @bypass_limit: the least urgent item is bypassed fewer than this many times
 *	in a row; 0: no limit
 * @random_order: see slot_queue_set_random_order()
 * @overloaded_at: when it was last found that not all items can meet their
 *	goals, microseconds; 0: never
 * @slots: this instance's share of the server's slots, to estimate waits
 * @assumed_time: processing time that nearly all requests stay within,
 *	microseconds; 0: unknown
 * @mean_time: mean processing time, microseconds
 * @pushes: number of items ever queued
 * @n_bypassed: number of times in a row that the least urgent item was bypassed
 */
struct slot_queue {
	const struct clock *clock;
	struct slot_item **items;
	size_t n;
	size_t cap;
	size_t max;
	bool deadline_only;
	int bypass_limit;
	bool random_order;
	int64_t overloaded_at;
	int slots;
	double assumed_time;
	double mean_time;
	uint64_t pushes;
	int n_bypassed;
};

/*
 * Called for an item that left the queue without a slot; @code: see
 * slot_queue_push().
 */
typedef void (*slot_drop_fn)(void *ctx, struct slot_item *item, int code);

void slot_queue_init(struct slot_queue *queue, const struct clock *clock,
		     size_t max);

/**
 * slot_queue_finish() - free the queue; items left in it are not dropped
 * @queue: the queue
 */
void slot_queue_finish(struct slot_queue *queue);

/**
 * slot_queue_set_random_order() - order by random rank first, then by goal
 * @queue: the queue
 * @random_order: false: order by goal only
 *
 * For use while not all items can meet their goals: ordered by goal, each
 * server would delay other requests, and nearly all requests with many parts
 * would lack some.
 */
void slot_queue_set_random_order(struct slot_queue *queue, bool random_order);

/**
 * slot_queue_push() - add an item
 * @queue: the queue
 * @item: the item
 * @drop: may be called for a less urgent item to make room
 * @ctx: passed to @drop
 *
 * Return: 0; ERR_TOO_LATE if it is not expected to be answered by its deadline;
 * ERR_OVERLOAD if the queue is full of items that are at least as urgent.
 */
int slot_queue_push(struct slot_queue *queue, struct slot_item *item,
		    slot_drop_fn drop, void *ctx);

/**
 * slot_queue_pop() - remove the next item for a free slot
 * @queue: the queue
 * @drop: called for each item found that can't be answered in time
 * @ctx: passed to @drop
 *
 * Return: NULL if the queue is empty.
 */
struct slot_item *slot_queue_pop(struct slot_queue *queue, slot_drop_fn drop,
				 void *ctx);

/**
 * slot_queue_remove() - remove an item, which need not be queued
 * @queue: the queue
 * @item: the item
 */
void slot_queue_remove(struct slot_queue *queue, struct slot_item *item);

/**
 * slot_queue_limit_deadlines() - move later deadlines of all items
 * @queue: the queue
 * @deadline: the latest one, microseconds
 *
 * The order of the items stays the same.
 */
void slot_queue_limit_deadlines(struct slot_queue *queue, int64_t deadline);

/**
 * slot_queue_expire() - drop all items that can't be answered in time
 * @queue: the queue
 * @drop: called for each dropped item
 * @ctx: passed to @drop
 */
void slot_queue_expire(struct slot_queue *queue, slot_drop_fn drop, void *ctx);

/**
 * slot_queue_cost_before() - total cost of the items that would be served
 * before a new one that meets its goal
 * @queue: the queue
 * @priority: of the new item
 */
double slot_queue_cost_before(const struct slot_queue *queue, int priority);

/**
 * slot_queue_record_time() - record the processing time of a request
 * @queue: the queue
 * @usec: microseconds
 */
void slot_queue_record_time(struct slot_queue *queue, int64_t usec);

/**
 * slot_queue_wait() - expected wait of a new item behind all queued ones
 * @queue: the queue
 *
 * Return: microseconds.
 */
int64_t slot_queue_wait(const struct slot_queue *queue);

#endif
