#include "slot_queue.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

#define QUANTILE 0.95
#define QUANTILE_STEP 0.1
#define SMOOTHING 0.05

/*
 * Whether @a goes before @b. Of those that missed their goals the last to do so
 * is first: the others have waited in vain the longest, and would all be served
 * just at their deadlines.
 */
static bool before(const struct slot_queue *queue, const struct slot_item *a,
		   const struct slot_item *b)
{
	if (a->late != b->late)
		return b->late;
	if (a->priority != b->priority)
		return a->priority < b->priority;
	if (queue->random_order && a->lot != b->lot)
		return a->lot < b->lot;
	if (a->goal != b->goal)
		return a->late ? a->goal > b->goal : a->goal < b->goal;
	return a->order < b->order;
}

static void put(struct slot_queue *queue, size_t i, struct slot_item *item)
{
	queue->items[i] = item;
	item->place = i + 1;
}

static void move_up(struct slot_queue *queue, size_t i)
{
	struct slot_item *item = queue->items[i];

	while (i) {
		size_t parent = (i - 1) / 2;

		if (!before(queue, item, queue->items[parent]))
			break;
		put(queue, i, queue->items[parent]);
		i = parent;
	}
	put(queue, i, item);
}

static void move_down(struct slot_queue *queue, size_t i)
{
	struct slot_item *item = queue->items[i];

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= queue->n)
			break;
		if (child + 1 < queue->n &&
		    before(queue, queue->items[child + 1], queue->items[child]))
			child++;
		if (!before(queue, queue->items[child], item))
			break;
		put(queue, i, queue->items[child]);
		i = child;
	}
	put(queue, i, item);
}

static void take_out(struct slot_queue *queue, size_t i)
{
	struct slot_item *last = queue->items[--queue->n];

	queue->items[i]->place = 0;
	if (i == queue->n)
		return;
	put(queue, i, last);
	move_up(queue, i);
	move_down(queue, last->place - 1);
}

/*
 * A server that became slow must still get requests, or nothing would show
 * that it is quick again: at most half of what an item came with is asked of
 * it.
 */
static bool misses(const struct slot_queue *queue, const struct slot_item *item,
		   int64_t end, int64_t now)
{
	int64_t need = queue->plain ? 0 : (int64_t)(queue->usual * item->cost);
	int64_t most = (end - item->pushed) / 2;

	if (need > most)
		need = most;
	return now + need >= end;
}

static bool is_late(const struct slot_queue *queue,
		    const struct slot_item *item, int64_t now)
{
	return misses(queue, item, item->deadline, now);
}

static bool misses_goal(const struct slot_queue *queue,
			const struct slot_item *item, int64_t now)
{
	return item->late || misses(queue, item, item->goal, now);
}

static int64_t wait_behind(const struct slot_queue *queue, size_t n)
{
	if (queue->slots <= 0 || queue->plain)
		return 0;
	return (int64_t)((double)n * queue->mean / queue->slots);
}

static size_t count_before(const struct slot_queue *queue,
			   const struct slot_item *item)
{
	size_t n = 0;
	size_t i;

	for (i = 0; i < queue->n; i++)
		n += before(queue, queue->items[i], item);
	return n;
}

/* The last in order; only sought when the queue is full. */
static struct slot_item *find_last(const struct slot_queue *queue)
{
	struct slot_item *last = queue->items[0];
	size_t i;

	for (i = 1; i < queue->n; i++) {
		if (before(queue, last, queue->items[i]))
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
	if (!last->late && last->priority <= item->priority)
		return ERR_OVERLOAD;
	take_out(queue, last->place - 1);
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

	item->place = 0;
	item->pushed = now;
	item->order = ++queue->pushes;
	item->late = false;
	wait = wait_behind(queue, count_before(queue, item));
	if (item->deadline <= now || is_late(queue, item, now + wait))
		return ERR_TOO_LATE;
	if (make_room(queue, item, drop, ctx))
		return ERR_OVERLOAD;
	MEM_GROW(queue->items, queue->n, queue->cap);
	put(queue, queue->n, item);
	move_up(queue, queue->n++);
	if (misses_goal(queue, item, now + wait))
		queue->overloaded_at = now;
	return 0;
}

/* Whoever would miss its goal goes behind all that would not. */
static struct slot_item *find_first(struct slot_queue *queue, int64_t now)
{
	struct slot_item *first = queue->items[0];

	while (!first->late && misses_goal(queue, first, now) &&
	       !is_late(queue, first, now)) {
		first->late = true;
		move_down(queue, 0);
		queue->overloaded_at = now;
		first = queue->items[0];
	}
	return first;
}

/* Of the least urgent that can be in time, the first. */
static struct slot_item *find_least(const struct slot_queue *queue, int64_t now)
{
	struct slot_item *least = NULL;
	size_t i;

	for (i = 0; i < queue->n; i++) {
		struct slot_item *item = queue->items[i];

		if (misses_goal(queue, item, now))
			continue;
		if (!least || item->priority > least->priority ||
		    (item->priority == least->priority &&
		     before(queue, item, least)))
			least = item;
	}
	return least;
}

static struct slot_item *find_next(struct slot_queue *queue, int64_t now)
{
	struct slot_item *first = find_first(queue, now);
	struct slot_item *least = NULL;

	if (queue->floor)
		least = find_least(queue, now);
	if (!least || least->priority <= first->priority)
		least = first;
	else if (++queue->passed < queue->floor)
		return first;
	queue->passed = 0;
	return least;
}

struct slot_item *slot_queue_pop(struct slot_queue *queue, slot_drop_fn drop,
				 void *ctx)
{
	int64_t now = clock_now(queue->clock);

	while (queue->n) {
		struct slot_item *next = find_next(queue, now);

		take_out(queue, next->place - 1);
		if (!is_late(queue, next, now))
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
	if (item->place)
		take_out(queue, item->place - 1);
}

static struct slot_item *find_late(const struct slot_queue *queue, int64_t now)
{
	size_t i;

	for (i = 0; i < queue->n; i++) {
		if (is_late(queue, queue->items[i], now))
			return queue->items[i];
	}
	return NULL;
}

void slot_queue_expire(struct slot_queue *queue, slot_drop_fn drop, void *ctx)
{
	int64_t now = clock_now(queue->clock);
	struct slot_item *late;

	while ((late = find_late(queue, now))) {
		take_out(queue, late->place - 1);
		drop(ctx, late, ERR_TOO_LATE);
	}
}

void slot_queue_record_time(struct slot_queue *queue, int64_t usec)
{
	double step = queue->usual * QUANTILE_STEP + 1;

	if (queue->usual <= 0) {
		queue->usual = (double)usec;
		queue->mean = (double)usec;
	}
	if ((double)usec > queue->usual)
		queue->usual += step * QUANTILE;
	else if ((double)usec < queue->usual)
		queue->usual -= step * (1 - QUANTILE);
	queue->mean += ((double)usec - queue->mean) * SMOOTHING;
}

int64_t slot_queue_wait(const struct slot_queue *queue)
{
	return wait_behind(queue, queue->n);
}
