#include <string.h>

#include "board_fixture.h"
#include "run_trace.h"
#include "unit.h"

static struct board_fixture path;

static const struct trace *end(int code, int64_t elapsed)
{
	struct run_request request = {.request_id = "r", .deadline_ms = 1000};
	struct ticket_answer answer = {.code = code};
	const struct trace *trace = NULL;
	struct run_trace run;

	str_copy(request.service, sizeof(request.service),
		 STR(FIXTURE_SERVICE));
	run_trace_init(&run, &path.board, &request);
	clock_advance(&path.clock, elapsed);
	run_trace_end(&run, &path.board, &answer);
	CU_ASSERT_EQUAL_FATAL(trace_store_find(&path.board.traces, STR("r"),
					       NULL, &trace),
			      0);
	return trace;
}

static struct burn_counts counted(void)
{
	struct burn *burn = &path.board.burn;
	struct burn_counts counts;

	burn_count_window(burn, burn_find(burn, STR(FIXTURE_SERVICE)), BURN_5M,
			  &counts);
	return counts;
}

static void test_record(void)
{
	const struct trace *trace;

	board_fixture_init(&path, 1);
	trace = end(0, MSEC(3));
	CU_ASSERT_EQUAL(trace->summary.kind, TRACE_RUN);
	CU_ASSERT_EQUAL(trace->summary.elapsed, MSEC(3));
	CU_ASSERT_EQUAL(trace->summary.deadline, MSEC(1000));
	CU_ASSERT_FALSE(trace->summary.maybe_ran);
	CU_ASSERT_FALSE(trace->summary.notable);
	CU_ASSERT_EQUAL(counted().total, 1);
	board_fixture_finish(&path);
}

/*
 * A request with an unknown outcome must not be recorded as not run, and counts
 * as bad for both objectives.
 */
static void test_unknown(void)
{
	board_fixture_init(&path, 1);
	CU_ASSERT_TRUE(end(ERR_UNKNOWN, MSEC(3))->summary.maybe_ran);
	CU_ASSERT_TRUE(end(ERR_TICKET_LOST, MSEC(3))->summary.maybe_ran);
	CU_ASSERT_FALSE(end(ERR_OVERLOAD, MSEC(3))->summary.maybe_ran);
	CU_ASSERT_EQUAL(counted().total, 3);
	CU_ASSERT_EQUAL(counted().refused, 3);
	board_fixture_finish(&path);
}

static void test_invalid_request_not_counted(void)
{
	board_fixture_init(&path, 1);
	CU_ASSERT_FALSE(end(ERR_BAD_REQUEST, MSEC(3))->summary.notable);
	CU_ASSERT_EQUAL(counted().total, 0);
	board_fixture_finish(&path);
}

static const struct unit_test tests[] = {
	{"trace of an answered request", test_record},
	{"unknown outcome", test_unknown},
	{"invalid request not counted", test_invalid_request_not_counted},
};

UNIT_MAIN("run_trace", tests)
