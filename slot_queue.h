/*
 * The queue for the slots of one backend server: the most urgent priority
 * first, then the earliest goal. What would miss its goal goes last, and what
 * would miss its deadline is dropped before it takes a slot, and so provably
 * did not run.
 */
#ifndef SLOT_QUEUE_H
#define SLOT_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct clock;

/**
 * struct slot_item - a request that waits; owned by the caller until it is
 * popped, removed or dropped
 * @priority: 0 is the most urgent
 * @goal: an answer later than this is worth little; @deadline where there is no
 *	such time, microseconds
 * @deadline: on the clock, microseconds
 * @lot: drawn for its request, the same at all servers
 * @cost: it takes so many times the usual, 1 where nothing is known
 * @pushed: when it was queued, microseconds
 */
struct slot_item {
	int priority;
	int64_t goal;
	int64_t deadline;
	int lot;
	double cost;
	int64_t pushed;
	/* Of the module. */
	bool late; /* it was found that it misses its goal */
	uint64_t order;
	size_t place; /* in the heap, from 1; 0: not queued */
};

/**
 * struct slot_queue - the queue of one server
 * @items: a heap
 * @max: most items
 * @plain: drop at the deadline only, as a baseline of experiments
 * @floor: the least urgent is passed over for fewer turns in a row than these;
 *	0: for any number
 * @random_order: see slot_queue_set_random_order()
 * @overloaded_at: when it was last found that not all can be in time; 0: never
 * @slots: of them this instance's share, for the estimate of waits
 * @usual: nearly all take less with a slot, microseconds; 0: not known
 * @mean: time with a slot, microseconds
 */
struct slot_queue {
	const struct clock *clock;
	struct slot_item **items;
	size_t n;
	size_t cap;
	size_t max;
	bool plain;
	int floor;
	bool random_order;
	int64_t overloaded_at;
	int slots;
	double usual;
	double mean;
	uint64_t pushes;
	int passed; /* turns in a row that went before the least urgent */
};

/* Told of an item that left the queue without a slot; @code as slot_queue_push.
 */
typedef void (*slot_drop_fn)(void *ctx, struct slot_item *item, int code);

void slot_queue_init(struct slot_queue *queue, const struct clock *clock,
		     size_t max);

/**
 * slot_queue_finish() - free the queue; items left are forgotten
 */
void slot_queue_finish(struct slot_queue *queue);

/**
 * slot_queue_set_random_order() - the least lots go first, and then the goals
 *
 * Where not all can be in time: else the first to miss their goals would at
 * each server be others, and nearly all requests of many parts lack some.
 */
void slot_queue_set_random_order(struct slot_queue *queue, bool random_order);

/**
 * slot_queue_push() - wait for a slot
 * @drop: may be called for a less urgent item that makes room
 *
 * Return: 0; ERR_TOO_LATE if it could not be answered by its deadline even if
 * all goes as usual; ERR_OVERLOAD if the queue is full of what is as urgent.
 */
int slot_queue_push(struct slot_queue *queue, struct slot_item *item,
		    slot_drop_fn drop, void *ctx);

/**
 * slot_queue_pop() - the next item for a free slot
 * @drop: called for each item found that can't be answered in time
 *
 * Return: NULL if none waits.
 */
struct slot_item *slot_queue_pop(struct slot_queue *queue, slot_drop_fn drop,
				 void *ctx);

/**
 * slot_queue_remove() - take out an item, which may not be queued
 */
void slot_queue_remove(struct slot_queue *queue, struct slot_item *item);

/**
 * slot_queue_expire() - drop at once all that can't be answered in time
 */
void slot_queue_expire(struct slot_queue *queue, slot_drop_fn drop, void *ctx);

/**
 * slot_queue_cost_before() - what would be served before a new item that is in
 * time
 * @priority: of the new one
 *
 * Return: the sum of their costs.
 */
double slot_queue_cost_before(const struct slot_queue *queue, int priority);

/**
 * slot_queue_record_time() - learn how long a request had a slot
 */
void slot_queue_record_time(struct slot_queue *queue, int64_t usec);

/**
 * slot_queue_wait() - how long a new item would wait, with none less urgent
 *
 * Return: microseconds.
 */
int64_t slot_queue_wait(const struct slot_queue *queue);

#endif
