#include "slot_queue.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

#define ASSUMED_TIME_QUANTILE 0.95
#define QUANTILE_STEP 0.1
#define MEAN_WEIGHT 0.05

/*
 * Whether @a is served before @b. Of the items that missed their goals the last
 * to do so is first: the others have waited longer in vain, and would all be
 * served just before their deadlines.
 */
static bool goes_before(const struct slot_queue *queue,
			const struct slot_item *a, const struct slot_item *b)
{
	if (a->missed_goal != b->missed_goal)
		return b->missed_goal;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (queue->random_order && a->random_rank != b->random_rank)
		return a->random_rank < b->random_rank;
	if (a->goal != b->goal)
		return a->missed_goal ? a->goal > b->goal : a->goal < b->goal;
	return a->seq < b->seq;
}

static void set_item(struct slot_queue *queue, size_t i, struct slot_item *item)
{
	queue->items[i] = item;
	item->heap_pos = i + 1;
}

static void move_up(struct slot_queue *queue, size_t i)
{
	struct slot_item *item = queue->items[i];

	while (i) {
		size_t parent = (i - 1) / 2;

		if (!goes_before(queue, item, queue->items[parent]))
			break;
		set_item(queue, i, queue->items[parent]);
		i = parent;
	}
	set_item(queue, i, item);
}

static void move_down(struct slot_queue *queue, size_t i)
{
	struct slot_item *item = queue->items[i];

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= queue->n)
			break;
		if (child + 1 < queue->n &&
		    goes_before(queue, queue->items[child + 1],
				queue->items[child]))
			child++;
		if (!goes_before(queue, queue->items[child], item))
			break;
		set_item(queue, i, queue->items[child]);
		i = child;
	}
	set_item(queue, i, item);
}

static void remove_at(struct slot_queue *queue, size_t i)
{
	struct slot_item *last = queue->items[--queue->n];

	queue->items[i]->heap_pos = 0;
	if (i == queue->n)
		return;
	set_item(queue, i, last);
	move_up(queue, i);
	move_down(queue, last->heap_pos - 1);
}

/*
 * A server that became slow must still get requests, or its recovery would go
 * unnoticed: the required time is at most half of what an item had left when it
 * was queued.
 */
static bool misses(const struct slot_queue *queue, const struct slot_item *item,
		   int64_t end, int64_t now)
{
	int64_t need = queue->deadline_only
			       ? 0
			       : (int64_t)(queue->assumed_time * item->cost);
	int64_t max_need = (end - item->pushed_at) / 2;

	if (need > max_need)
		need = max_need;
	return now + need >= end;
}

static bool misses_deadline(const struct slot_queue *queue,
			    const struct slot_item *item, int64_t now)
{
	return misses(queue, item, item->deadline, now);
}

static bool misses_goal(const struct slot_queue *queue,
			const struct slot_item *item, int64_t now)
{
	return item->missed_goal || misses(queue, item, item->goal, now);
}

static int64_t wait_after(const struct slot_queue *queue, size_t n)
{
	if (queue->slots <= 0 || queue->deadline_only)
		return 0;
	return (int64_t)((double)n * queue->mean_time / queue->slots);
}

static size_t count_before(const struct slot_queue *queue,
			   const struct slot_item *item)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < queue->n; i++)
		n += goes_before(queue, queue->items[i], item);
	return n;
}

/* The last item in order. Linear, but only needed if the queue is full. */
static struct slot_item *find_last(const struct slot_queue *queue)
{
	struct slot_item *last = queue->items[0];
	size_t i;

	for (i = 1; i < queue->n; i++) {
		if (goes_before(queue, last, queue->items[i]))
			last = queue->items[i];
	}
	return last;
}

static int make_room(struct slot_queue *queue, const struct slot_item *item,
		     slot_drop_fn drop, void *ctx)
{
	struct slot_item *last;

	if (queue->n < queue->max)
		return 0;
	if (!queue->n)
		return ERR_OVERLOAD;
	last = find_last(queue);
	if (!last->missed_goal && last->priority <= item->priority)
		return ERR_OVERLOAD;
	remove_at(queue, last->heap_pos - 1);
	drop(ctx, last, ERR_OVERLOAD);
	return 0;
}

void slot_queue_init(struct slot_queue *queue, const struct clock *clock,
		     size_t max)
{
	memset(queue, 0, sizeof(*queue));
	queue->clock = clock;
	queue->max = max;
}

void slot_queue_set_random_order(struct slot_queue *queue, bool random_order)
{
	size_t i;

	if (queue->random_order == random_order)
		return;
	queue->random_order = random_order;
	for (i = queue->n / 2; i-- > 0;)
		move_down(queue, i);
}

void slot_queue_finish(struct slot_queue *queue)
{
	free(queue->items);
	queue->items = NULL;
	queue->n = 0;
	queue->cap = 0;
}

int slot_queue_push(struct slot_queue *queue, struct slot_item *item,
		    slot_drop_fn drop, void *ctx)
{
	int64_t now = clock_now(queue->clock);
	int64_t wait;

	item->heap_pos = 0;
	item->pushed_at = now;
	item->seq = ++queue->pushes;
	item->missed_goal = false;
	wait = wait_after(queue, count_before(queue, item));
	if (item->deadline <= now || misses_deadline(queue, item, now + wait))
		return ERR_TOO_LATE;
	if (make_room(queue, item, drop, ctx))
		return ERR_OVERLOAD;
	MEM_GROW(queue->items, queue->n, queue->cap);
	set_item(queue, queue->n, item);
	move_up(queue, queue->n++);
	if (misses_goal(queue, item, now + wait))
		queue->overloaded_at = now;
	return 0;
}

/* Moves items that would miss their goals behind all that would not. */
static struct slot_item *find_first(struct slot_queue *queue, int64_t now)
{
	struct slot_item *first = queue->items[0];

	while (!first->missed_goal && misses_goal(queue, first, now) &&
	       !misses_deadline(queue, first, now)) {
		first->missed_goal = true;
		move_down(queue, 0);
		queue->overloaded_at = now;
		first = queue->items[0];
	}
	return first;
}

/* The first of the least urgent items that can meet their goals. */
static struct slot_item *find_least_urgent(const struct slot_queue *queue,
					   int64_t now)
{
	struct slot_item *least_urgent = NULL;
	size_t i;

	for (i = 0; i < queue->n; i++) {
		struct slot_item *item = queue->items[i];

		if (misses_goal(queue, item, now))
			continue;
		if (!least_urgent || item->priority > least_urgent->priority ||
		    (item->priority == least_urgent->priority &&
		     goes_before(queue, item, least_urgent)))
			least_urgent = item;
	}
	return least_urgent;
}

static struct slot_item *find_next(struct slot_queue *queue, int64_t now)
{
	struct slot_item *first = find_first(queue, now);
	struct slot_item *least_urgent = NULL;

	if (queue->bypass_limit)
		least_urgent = find_least_urgent(queue, now);
	if (!least_urgent || least_urgent->priority <= first->priority)
		least_urgent = first;
	else if (++queue->n_bypassed < queue->bypass_limit)
		return first;
	queue->n_bypassed = 0;
	return least_urgent;
}

struct slot_item *slot_queue_pop(struct slot_queue *queue, slot_drop_fn drop,
				 void *ctx)
{
	int64_t now = clock_now(queue->clock);

	while (queue->n) {
		struct slot_item *next = find_next(queue, now);

		remove_at(queue, next->heap_pos - 1);
		if (!misses_deadline(queue, next, now))
			return next;
		drop(ctx, next, ERR_TOO_LATE);
	}
	return NULL;
}

double slot_queue_cost_before(const struct slot_queue *queue, int priority)
{
	int64_t now = clock_now(queue->clock);
	double cost = 0;
	size_t i;

	for (i = 0; i < queue->n; i++) {
		const struct slot_item *item = queue->items[i];

		if (item->priority <= priority &&
		    !misses_goal(queue, item, now))
			cost += item->cost;
	}
	return cost;
}

void slot_queue_remove(struct slot_queue *queue, struct slot_item *item)
{
	if (item->heap_pos)
		remove_at(queue, item->heap_pos - 1);
}

static struct slot_item *find_expired(const struct slot_queue *queue,
				      int64_t now)
{
	size_t i;

	for (i = 0; i < queue->n; i++) {
		if (misses_deadline(queue, queue->items[i], now))
			return queue->items[i];
	}
	return NULL;
}

void slot_queue_limit_deadlines(struct slot_queue *queue, int64_t deadline)
{
	size_t i;

	for (i = 0; i < queue->n; i++) {
		if (queue->items[i]->deadline > deadline)
			queue->items[i]->deadline = deadline;
	}
}

void slot_queue_expire(struct slot_queue *queue, slot_drop_fn drop, void *ctx)
{
	int64_t now = clock_now(queue->clock);
	struct slot_item *expired;

	while ((expired = find_expired(queue, now))) {
		remove_at(queue, expired->heap_pos - 1);
		drop(ctx, expired, ERR_TOO_LATE);
	}
}

void slot_queue_record_time(struct slot_queue *queue, int64_t usec)
{
	double step = queue->assumed_time * QUANTILE_STEP + 1;

	if (queue->assumed_time <= 0) {
		queue->assumed_time = (double)usec;
		queue->mean_time = (double)usec;
	}
	if ((double)usec > queue->assumed_time)
		queue->assumed_time += step * ASSUMED_TIME_QUANTILE;
	else if ((double)usec < queue->assumed_time)
		queue->assumed_time -= step * (1 - ASSUMED_TIME_QUANTILE);
	queue->mean_time += ((double)usec - queue->mean_time) * MEAN_WEIGHT;
}

int64_t slot_queue_wait(const struct slot_queue *queue)
{
	return wait_after(queue, queue->n);
}
