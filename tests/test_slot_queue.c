#include <string.h>

#include "clock.h"
#include "error.h"
#include "slot_queue.h"
#include "unit.h"

struct fixture {
	struct clock clock;
	struct slot_queue queue;
	struct slot_item *dropped[16];
	int codes[16];
	int n_dropped;
};

static void setup(struct fixture *f, size_t max)
{
	memset(f, 0, sizeof(*f));
	clock_init_paused(&f->clock, MSEC(1000));
	slot_queue_init(&f->queue, &f->clock, max);
	f->queue.slots = 1;
	slot_queue_record_time(&f->queue, MSEC(10));
}

static void on_drop(void *ctx, struct slot_item *item, int code)
{
	struct fixture *f = ctx;

	f->dropped[f->n_dropped] = item;
	f->codes[f->n_dropped++] = code;
}

static int push(struct fixture *f, struct slot_item *item, int priority,
		int64_t in_ms)
{
	item->priority = priority;
	item->deadline = clock_now(&f->clock) + MSEC(in_ms);
	item->goal = item->deadline;
	item->random_rank = 0;
	item->cost = 1;
	return slot_queue_push(&f->queue, item, on_drop, f);
}

static struct slot_item *pop(struct fixture *f)
{
	return slot_queue_pop(&f->queue, on_drop, f);
}

static void test_order(void)
{
	struct slot_item late;
	struct slot_item soon;
	struct slot_item urgent;
	struct slot_item soon_too;
	struct fixture f;

	setup(&f, 10);
	CU_ASSERT_EQUAL(push(&f, &late, 5, 900), 0);
	CU_ASSERT_EQUAL(push(&f, &soon, 5, 100), 0);
	CU_ASSERT_EQUAL(push(&f, &urgent, 0, 950), 0);
	CU_ASSERT_EQUAL(push(&f, &soon_too, 5, 100), 0);
	CU_ASSERT_PTR_EQUAL(pop(&f), &urgent);
	CU_ASSERT_PTR_EQUAL(pop(&f), &soon);
	CU_ASSERT_PTR_EQUAL(pop(&f), &soon_too);
	CU_ASSERT_PTR_EQUAL(pop(&f), &late);
	CU_ASSERT_PTR_NULL(pop(&f));
	slot_queue_finish(&f.queue);
}

/*
 * A server is slow for a while, and requests in its queue expire. They must not
 * take slots from those that can still be answered, and their entry instance
 * must learn at once that they did not run.
 */
static void test_drop(void)
{
	struct slot_item first;
	struct slot_item second;
	struct slot_item third;
	struct fixture f;

	setup(&f, 10);
	push(&f, &first, 5, 40);
	push(&f, &second, 5, 50);
	push(&f, &third, 5, 500);
	clock_advance(&f.clock, MSEC(35));
	CU_ASSERT_PTR_EQUAL(pop(&f), &second);
	CU_ASSERT_EQUAL(f.n_dropped, 1);
	CU_ASSERT_PTR_EQUAL(f.dropped[0], &first);
	CU_ASSERT_EQUAL(f.codes[0], ERR_TOO_LATE);
	clock_advance(&f.clock, MSEC(460));
	slot_queue_expire(&f.queue, on_drop, &f);
	CU_ASSERT_EQUAL(f.n_dropped, 2);
	CU_ASSERT_PTR_EQUAL(f.dropped[1], &third);
	CU_ASSERT_PTR_NULL(pop(&f));
	slot_queue_finish(&f.queue);
}

/* A stopped process continues: the requests in its queue have expired. */
static void test_wake_after_stop(void)
{
	struct slot_item item;
	struct fixture f;

	setup(&f, 10);
	push(&f, &item, 0, 400);
	clock_advance(&f.clock, MSEC(30000));
	CU_ASSERT_PTR_NULL(pop(&f));
	CU_ASSERT_EQUAL(f.n_dropped, 1);
	slot_queue_finish(&f.queue);
}

/* Requests that can't be answered after those in the queue are refused. */
static void test_refused_on_arrival(void)
{
	struct slot_item items[8];
	struct slot_item item;
	struct fixture f;
	int i;

	setup(&f, 10);
	for (i = 0; i < 8; i++)
		CU_ASSERT_EQUAL(push(&f, &items[i], 5, 200), 0);
	CU_ASSERT_EQUAL(push(&f, &item, 5, 0), ERR_TOO_LATE);
	CU_ASSERT_EQUAL(push(&f, &item, 6, 85), ERR_TOO_LATE);
	CU_ASSERT_EQUAL(push(&f, &item, 5, 85), 0);
	CU_ASSERT_EQUAL(slot_queue_wait(&f.queue), MSEC(90));
	slot_queue_finish(&f.queue);
}

/* In random order, the rank precedes the goal, but not the priority. */
static void test_random_order(void)
{
	struct slot_item urgent;
	struct slot_item low;
	struct slot_item high;
	struct fixture f;

	setup(&f, 10);
	push(&f, &high, 5, 100);
	high.random_rank = 7;
	push(&f, &low, 5, 200);
	push(&f, &urgent, 0, 900);
	urgent.random_rank = 7;
	slot_queue_set_random_order(&f.queue, true);
	CU_ASSERT_PTR_EQUAL(pop(&f), &urgent);
	CU_ASSERT_PTR_EQUAL(pop(&f), &low);
	CU_ASSERT_PTR_EQUAL(pop(&f), &high);
	slot_queue_finish(&f.queue);
}

static void test_full(void)
{
	struct slot_item items[2];
	struct slot_item urgent;
	struct slot_item same;
	struct fixture f;

	setup(&f, 2);
	push(&f, &items[0], 5, 500);
	push(&f, &items[1], 5, 600);
	CU_ASSERT_EQUAL(push(&f, &same, 5, 400), ERR_OVERLOAD);
	CU_ASSERT_EQUAL(push(&f, &urgent, 1, 400), 0);
	CU_ASSERT_EQUAL(f.n_dropped, 1);
	CU_ASSERT_PTR_EQUAL(f.dropped[0], &items[1]);
	CU_ASSERT_EQUAL(f.codes[0], ERR_OVERLOAD);
	slot_queue_finish(&f.queue);
}

static void test_remove(void)
{
	struct slot_item items[5];
	struct fixture f;
	int i;

	setup(&f, 10);
	for (i = 0; i < 5; i++)
		push(&f, &items[i], 5, 500 + i);
	slot_queue_remove(&f.queue, &items[0]);
	slot_queue_remove(&f.queue, &items[3]);
	slot_queue_remove(&f.queue, &items[3]);
	CU_ASSERT_PTR_EQUAL(pop(&f), &items[1]);
	CU_ASSERT_PTR_EQUAL(pop(&f), &items[2]);
	CU_ASSERT_PTR_EQUAL(pop(&f), &items[4]);
	CU_ASSERT_PTR_NULL(pop(&f));
	slot_queue_finish(&f.queue);
}

/* Guards against items that wait for longer than their process lives. */
static void test_limited_deadlines(void)
{
	struct slot_item items[3];
	struct fixture f;
	int i;

	setup(&f, 10);
	for (i = 0; i < 3; i++)
		push(&f, &items[i], 5, i ? 1000 : 60);
	slot_queue_limit_deadlines(&f.queue, clock_now(&f.clock) + MSEC(500));
	clock_advance(&f.clock, MSEC(100));
	slot_queue_expire(&f.queue, on_drop, &f);
	CU_ASSERT_EQUAL(f.n_dropped, 1);
	CU_ASSERT_PTR_EQUAL(f.dropped[0], &items[0]);
	CU_ASSERT_PTR_EQUAL(pop(&f), &items[1]);
	clock_advance(&f.clock, MSEC(400));
	slot_queue_expire(&f.queue, on_drop, &f);
	CU_ASSERT_EQUAL(f.n_dropped, 2);
	CU_ASSERT_EQUAL(f.codes[1], ERR_TOO_LATE);
	CU_ASSERT_PTR_NULL(pop(&f));
	slot_queue_finish(&f.queue);
}

/*
 * A server was so slow that no request seems to meet its deadline. Some must
 * still be sent, or its recovery would go unnoticed.
 */
static void test_slow_server_is_tried(void)
{
	struct slot_item item;
	struct fixture f;
	int i;

	setup(&f, 10);
	for (i = 0; i < 500; i++)
		slot_queue_record_time(&f.queue, MSEC(5000));
	CU_ASSERT_EQUAL(push(&f, &item, 5, 100), 0);
	CU_ASSERT_PTR_EQUAL(pop(&f), &item);
	slot_queue_finish(&f.queue);
}

/* Compares random pushes and pops with a linear search for the first. */
static void test_random(void)
{
	struct slot_item items[64];
	struct fixture f;
	uint64_t state = 1;
	int i;
	int round;

	setup(&f, 64);
	f.queue.assumed_time = 0;
	f.queue.mean_time = 0;
	memset(items, 0, sizeof(items));
	for (round = 0; round < 5000; round++) {
		state = state * 6364136223846793005ULL + 1442695040888963407ULL;
		i = (int)(state >> 33) % 64;
		if (!items[i].heap_pos) {
			push(&f, &items[i], (int)(state >> 40) % 3,
			     1 + (int64_t)(state >> 45) % 50);
		} else if (state >> 63) {
			slot_queue_remove(&f.queue, &items[i]);
		} else {
			struct slot_item *first = pop(&f);
			int j;

			for (j = 0; j < 64; j++) {
				if (!items[j].heap_pos)
					continue;
				CU_ASSERT(first->priority <= items[j].priority);
				CU_ASSERT(first->priority < items[j].priority ||
					  first->deadline <= items[j].deadline);
			}
		}
	}
	slot_queue_finish(&f.queue);
}

static const struct unit_test tests[] = {
	{"order", test_order},
	{"drop", test_drop},
	{"wake after stop", test_wake_after_stop},
	{"refused on arrival", test_refused_on_arrival},
	{"random order", test_random_order},
	{"full", test_full},
	{"remove", test_remove},
	{"slow server is tried", test_slow_server_is_tried},
	{"random", test_random},
	{"limited deadlines", test_limited_deadlines},
};

UNIT_MAIN("slot_queue", tests)
