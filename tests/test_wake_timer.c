#include <stdbool.h>
#include <string.h>

#include <event2/event.h>

#include "unit.h"
#include "wake_timer.h"

#define START MSEC(1000)

struct fixture {
	struct event_base *base;
	struct clock clock;
	struct wake_timer timer;
	int n_calls;
	int64_t rearm_at;
};

static void on_wake(void *arg)
{
	struct fixture *f = arg;
	int64_t rearm_at = f->rearm_at;

	f->n_calls++;
	f->rearm_at = INT64_MAX;
	wake_timer_arm(&f->timer, rearm_at);
}

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	f->base = event_base_new();
	f->rearm_at = INT64_MAX;
	clock_init_paused(&f->clock, START);
	wake_timer_init(&f->timer, f->base, &f->clock, on_wake, f);
}

static void finish(struct fixture *f)
{
	wake_timer_finish(&f->timer);
	event_base_free(f->base);
}

static bool is_pending(const struct fixture *f)
{
	return event_pending(f->timer.event, EV_TIMEOUT, NULL);
}

static void test_infinite_deadline(void)
{
	struct fixture f;

	setup(&f);
	wake_timer_arm(&f.timer, INT64_MAX);
	CU_ASSERT_FALSE(is_pending(&f));
	finish(&f);
}

static void test_past_deadline(void)
{
	struct fixture f;

	setup(&f);
	wake_timer_arm(&f.timer, START - MSEC(1));
	event_base_dispatch(f.base);
	CU_ASSERT_EQUAL(f.n_calls, 1);
	CU_ASSERT_FALSE(is_pending(&f));
	finish(&f);
}

static void test_earliest_is_kept(void)
{
	struct fixture f;

	setup(&f);
	wake_timer_arm(&f.timer, START + MSEC(60000));
	wake_timer_arm(&f.timer, START);
	wake_timer_arm(&f.timer, START + MSEC(70000));
	CU_ASSERT_EQUAL(f.timer.at, START);
	event_base_dispatch(f.base);
	CU_ASSERT_EQUAL(f.n_calls, 1);
	finish(&f);
}

static void test_rearmed_by_callback(void)
{
	struct fixture f;

	setup(&f);
	f.rearm_at = START;
	wake_timer_arm(&f.timer, START);
	event_base_dispatch(f.base);
	CU_ASSERT_EQUAL(f.n_calls, 2);
	finish(&f);
}

static void test_deadline_replaced(void)
{
	struct fixture f;

	setup(&f);
	wake_timer_arm(&f.timer, START);
	wake_timer_move(&f.timer, START + MSEC(60000));
	CU_ASSERT_EQUAL(f.timer.at, START + MSEC(60000));
	event_base_loop(f.base, EVLOOP_NONBLOCK);
	CU_ASSERT_EQUAL(f.n_calls, 0);
	CU_ASSERT_TRUE(is_pending(&f));
	finish(&f);
}

static const struct unit_test tests[] = {
	{"infinite deadline", test_infinite_deadline},
	{"past deadline", test_past_deadline},
	{"earliest is kept", test_earliest_is_kept},
	{"rearmed by its callback", test_rearmed_by_callback},
	{"deadline replaced", test_deadline_replaced},
};

UNIT_MAIN("wake_timer", tests)
