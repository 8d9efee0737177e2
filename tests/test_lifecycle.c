#include "lifecycle.h"
#include "board_fixture.h"
#include "unit.h"

/* Defaults of address_lifetime_ms and leave_spread_ms. */
#define WAIT_MS (5000 + 2000)
#define STOP_MAX_MS 30000

static void leave(struct board_fixture *path)
{
	board_fixture_init(path, 1);
	lifecycle_leave(&path->board);
}

static void test_serving_does_not_stop(void)
{
	struct board_fixture path;

	board_fixture_init(&path, 1);
	path.board.lifecycle = LIFECYCLE_SERVING;
	clock_advance(&path.clock, MSEC(STOP_MAX_MS));
	CU_ASSERT_FALSE(lifecycle_may_stop(&path.board, true));
	board_fixture_finish(&path);
}

/*
 * Another instance that hasn't learned of the stop yet may still give a caller
 * the address of the leaving one, and the caller uses it for the lifetime of
 * that address list. If the leaving instance only waits until its own lists
 * have expired, it exits too early and cuts off the caller's request.
 */
static void test_waits_for_address_lists(void)
{
	struct board_fixture path;

	leave(&path);
	clock_advance(&path.clock, MSEC(WAIT_MS) - 1);
	CU_ASSERT_FALSE(lifecycle_may_stop(&path.board, true));
	clock_advance(&path.clock, 1);
	CU_ASSERT_TRUE(lifecycle_may_stop(&path.board, true));
	board_fixture_finish(&path);
}

/* Work in flight is finished first, but stop_max_ms limits the wait. */
static void test_waits_for_work(void)
{
	struct board_fixture path;

	leave(&path);
	clock_advance(&path.clock, MSEC(WAIT_MS));
	CU_ASSERT_FALSE(lifecycle_may_stop(&path.board, false));
	metric_add(&path.board.counters.searches_open, 1);
	CU_ASSERT_FALSE(lifecycle_may_stop(&path.board, true));
	metric_add(&path.board.counters.searches_open, -1);
	metric_add(&path.board.counters.runs_open, 1);
	CU_ASSERT_FALSE(lifecycle_may_stop(&path.board, true));
	clock_advance(&path.clock,
		      path.board.stop.exit_at - clock_now(&path.clock) - 1);
	CU_ASSERT_FALSE(lifecycle_may_stop(&path.board, true));
	clock_advance(&path.clock, 1);
	CU_ASSERT_TRUE(lifecycle_may_stop(&path.board, true));
	CU_ASSERT(path.board.stop.exit_at <
		  path.board.leaving_since + MSEC(STOP_MAX_MS));
	board_fixture_finish(&path);
}

/* Guards against a stop before the first table that lasts by the defaults. */
static void test_first_table_plans_again(void)
{
	struct board_fixture path;
	int64_t since;

	leave(&path);
	since = path.board.stop.since;
	clock_advance(&path.clock, MSEC(100));
	path.board.table->tunables.stop_max_ms = 2000;
	lifecycle_plan_again(&path.board);
	CU_ASSERT_EQUAL(path.board.stop.since, since);
	CU_ASSERT_EQUAL(path.board.lifecycle, LIFECYCLE_LEAVING);
	clock_advance(&path.clock, MSEC(2000 - 100));
	CU_ASSERT_TRUE(lifecycle_may_stop(&path.board, false));
	board_fixture_finish(&path);
}

static const struct unit_test tests[] = {
	{"serving does not stop", test_serving_does_not_stop},
	{"waits for address lists of others", test_waits_for_address_lists},
	{"waits for work", test_waits_for_work},
	{"first table plans again", test_first_table_plans_again},
};

UNIT_MAIN("lifecycle", tests)
