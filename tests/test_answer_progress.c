#include "answer_progress.h"
#include "clock.h"
#include "unit.h"

#define MB (1024 * 1024)

static void test_progress_is_seen(void)
{
	struct answer_progress progress;

	answer_progress_start(&progress, 100, 0);
	CU_ASSERT(answer_progress_look(&progress, 99));
	CU_ASSERT(!answer_progress_look(&progress, 99));
	CU_ASSERT(answer_progress_look(&progress, 0));
	CU_ASSERT(answer_progress_look(&progress, 0));
}

static void test_nothing_taken_is_seen(void)
{
	struct answer_progress progress;

	answer_progress_start(&progress, 100, 0);
	CU_ASSERT(!answer_progress_look(&progress, 100));
}

/* Guards against callers that read steadily taken for those that do not. */
static void test_time_left(void)
{
	struct answer_progress progress;

	answer_progress_start(&progress, 8 * MB, 0);
	CU_ASSERT(answer_progress_time_left(&progress, 6 * MB, MSEC(1000)) <=
		  MSEC(3000));
	CU_ASSERT(answer_progress_time_left(&progress, 8 * MB, MSEC(1000)) >
		  MSEC(1000000));
	CU_ASSERT(!answer_progress_time_left(&progress, 0, MSEC(1000)));
}

static double cost(size_t size, size_t unsent, int64_t time)
{
	struct answer_progress progress;

	answer_progress_start(&progress, size, MSEC(5));
	return answer_progress_cost(&progress, size, unsent, MSEC(5) + time);
}

static void test_costs(void)
{
	/* Holds more. */
	CU_ASSERT(cost(2 * MB, 2 * MB, MSEC(10)) > cost(MB, MB, MSEC(10)));
	/* Moves less. */
	CU_ASSERT(cost(MB, MB, MSEC(10)) > cost(MB, MB / 2, MSEC(10)));
	/* Lasts longer. */
	CU_ASSERT(cost(MB, MB / 2, MSEC(20)) > cost(MB, MB / 2, MSEC(10)));
	/* A long answer that is read is spared before one that is not. */
	CU_ASSERT(cost(8 * MB, 4 * MB, MSEC(1000)) <
		  cost(MB / 2, MB / 2, MSEC(1000)));
}

static const struct unit_test tests[] = {
	{"bytes that were taken are seen", test_progress_is_seen},
	{"a caller that takes nothing is seen", test_nothing_taken_is_seen},
	{"time left follows from the pace", test_time_left},
	{"cost grows with memory and with time per byte", test_costs},
};

UNIT_MAIN("answer_progress", tests)
