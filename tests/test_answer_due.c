#include "answer_due.h"
#include "clock.h"
#include "unit.h"

#define GOAL MSEC(60)
#define PATIENCE MSEC(600)
#define ROUND_TRIP MSEC(6)

static int64_t after(int64_t told, int64_t round_trip)
{
	const struct answer_due due = {.goal = GOAL,
				       .patience = PATIENCE,
				       .told = told,
				       .round_trip = round_trip};

	return answer_due_timeout(&due);
}

/* When the caller has it, on its own clock. */
static int64_t caller_has_it(int64_t used)
{
	return used + ROUND_TRIP + after(PATIENCE - used, ROUND_TRIP);
}

/*
 * A caller opens a connection, which takes a round trip, and asks for addresses
 * before that. Requests were answered so long before the goal as is right for
 * one that came on an open connection: these callers had their answers late.
 */
static void test_time_used(void)
{
	int64_t used;

	for (used = 0; used <= MSEC(25); used += MSEC(1)) {
		CU_ASSERT(caller_has_it(used) < GOAL);
		/* Nor sooner than it need be: parts come until then. */
		CU_ASSERT(caller_has_it(used) >= GOAL - MSEC(6));
	}
}

static void test_far_callers(void)
{
	CU_ASSERT(after(PATIENCE, MSEC(1)) - after(PATIENCE, MSEC(6)) ==
		  MSEC(5));
	/* A measure that is absurd does not end all requests at once. */
	CU_ASSERT(after(PATIENCE, MSEC(100000)) > GOAL / 2);
}

/*
 * A caller that waits less than the others, for a reason of its own, and
 * one that has used up its goal already: neither gains from fewer parts.
 */
static void test_other_reasons(void)
{
	CU_ASSERT(after(MSEC(200), ROUND_TRIP) == after(PATIENCE, ROUND_TRIP));
	CU_ASSERT(after(-1, ROUND_TRIP) == after(PATIENCE, ROUND_TRIP));
	CU_ASSERT(after(0, ROUND_TRIP) == after(PATIENCE, ROUND_TRIP));
	CU_ASSERT(after(PATIENCE + MSEC(500), ROUND_TRIP) ==
		  after(PATIENCE, ROUND_TRIP));
}

/* On a loopback, or where the system does not say. */
static void test_not_measured(void)
{
	CU_ASSERT(after(PATIENCE, 0) > GOAL / 2);
	CU_ASSERT(after(PATIENCE, 0) < GOAL);
}

static const struct unit_test tests[] = {
	{"time used", test_time_used},
	{"far callers", test_far_callers},
	{"other reasons", test_other_reasons},
	{"not measured", test_not_measured},
};

UNIT_MAIN("answer_due", tests)
