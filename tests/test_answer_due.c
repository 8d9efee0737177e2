#include "answer_due.h"
#include "clock.h"
#include "unit.h"

#define GOAL MSEC(60)
#define LONGEST_TIMEOUT MSEC(600)
#define ROUND_TRIP MSEC(6)

static int64_t answer_timeout(int64_t caller_timeout, int64_t round_trip)
{
	const struct answer_due due = {.goal = GOAL,
				       .longest_timeout = LONGEST_TIMEOUT,
				       .caller_timeout = caller_timeout,
				       .round_trip = round_trip};

	return answer_due_timeout(&due);
}

/* Time from the caller's start until it has the answer. */
static int64_t received_after(int64_t elapsed)
{
	return elapsed + ROUND_TRIP +
	       answer_timeout(LONGEST_TIMEOUT - elapsed, ROUND_TRIP);
}

/*
 * Callers that look up addresses and open a connection first have used part of
 * their goal when the request arrives. Without deducting that time, they
 * receive their answers after the goal.
 */
static void test_time_elapsed_at_caller(void)
{
	int64_t elapsed;

	for (elapsed = 0; elapsed <= MSEC(25); elapsed += MSEC(1)) {
		CU_ASSERT(received_after(elapsed) < GOAL);
		/* An earlier answer would lack parts for no reason. */
		CU_ASSERT(received_after(elapsed) >= GOAL - MSEC(6));
	}
}

static void test_far_callers(void)
{
	CU_ASSERT(answer_timeout(LONGEST_TIMEOUT, MSEC(1)) -
			  answer_timeout(LONGEST_TIMEOUT, MSEC(6)) ==
		  MSEC(5));
	/* An absurd measurement must not cut requests short. */
	CU_ASSERT(answer_timeout(LONGEST_TIMEOUT, MSEC(100000)) > GOAL / 2);
}

/*
 * Neither a caller with a shorter timeout than others nor one that has already
 * exceeded its goal benefits from an answer with fewer parts.
 */
static void test_other_timeouts(void)
{
	CU_ASSERT(answer_timeout(MSEC(200), ROUND_TRIP) ==
		  answer_timeout(LONGEST_TIMEOUT, ROUND_TRIP));
	CU_ASSERT(answer_timeout(-1, ROUND_TRIP) ==
		  answer_timeout(LONGEST_TIMEOUT, ROUND_TRIP));
	CU_ASSERT(answer_timeout(0, ROUND_TRIP) ==
		  answer_timeout(LONGEST_TIMEOUT, ROUND_TRIP));
	CU_ASSERT(answer_timeout(LONGEST_TIMEOUT + MSEC(500), ROUND_TRIP) ==
		  answer_timeout(LONGEST_TIMEOUT, ROUND_TRIP));
}

/* Loopback connections, or systems that do not report a round trip. */
static void test_round_trip_not_measured(void)
{
	CU_ASSERT(answer_timeout(LONGEST_TIMEOUT, 0) > GOAL / 2);
	CU_ASSERT(answer_timeout(LONGEST_TIMEOUT, 0) < GOAL);
}

static const struct unit_test tests[] = {
	{"time elapsed at the caller is deducted", test_time_elapsed_at_caller},
	{"round trip is deducted within limits", test_far_callers},
	{"unusual caller timeouts are ignored", test_other_timeouts},
	{"round trip is not measured", test_round_trip_not_measured},
};

UNIT_MAIN("answer_due", tests)
