#include <stdio.h>
#include <string.h>

#include "error.h"
#include "trace.h"
#include "unit.h"

static struct clock clock_;
static struct trace_store store;

static void set_up(int64_t max, int64_t bytes_max, int64_t parts_max)
{
	struct trace_limits limits = {max, bytes_max, parts_max};

	clock_init_paused(&clock_, MSEC(1000));
	trace_store_init(&store, &clock_);
	trace_store_set_limits(&store, &limits);
}

static void add(const char *id, int code)
{
	struct trace_summary summary = {.code = code, .notable = code != 0};

	snprintf(summary.request_id, sizeof(summary.request_id), "%s", id);
	trace_store_add(&store, &summary, NULL);
}

static int find(const char *id, const struct trace **out)
{
	return trace_store_find(&store, str_from(id), NULL, out);
}

static void test_parts(void)
{
	struct trace_summary summary = {.request_id = "a"};
	const struct trace *trace;
	struct trace_log log;

	set_up(10, 1 << 20, 10);
	trace_log_init(&log, &store, clock_now(&clock_));
	clock_advance(&clock_, 100);
	trace_log_sent(&log, clock_now(&clock_), STR("s1"), STR("h1"),
		       TRACE_FIRST, 3);
	trace_log_sent(&log, clock_now(&clock_), STR("s2"), STR("h1"),
		       TRACE_FIRST, 1);
	clock_advance(&clock_, 900);
	trace_log_done(&log, 1, clock_now(&clock_), ERR_SHED);
	trace_log_sent(&log, clock_now(&clock_), STR("s1"), STR("h2"),
		       TRACE_RETRY, 1);
	clock_advance(&clock_, 1000);
	trace_log_set_times(&log, 0, 20, 1500);
	trace_log_done(&log, 0, clock_now(&clock_), 0);
	/* Reports about a part that has ended are ignored. */
	trace_log_set_times(&log, 0, 1, 2);
	trace_log_done(&log, 0, clock_now(&clock_), ERR_LOST);
	trace_store_add(&store, &summary, &log);
	trace_log_finish(&log);
	CU_ASSERT_EQUAL_FATAL(find("a", &trace), 0);
	CU_ASSERT_EQUAL_FATAL(trace->n_parts, 3);
	CU_ASSERT_STRING_EQUAL(trace_name_text(trace->parts[0].server), "s1");
	CU_ASSERT_EQUAL(trace->parts[0].sent_us, 100);
	CU_ASSERT_EQUAL(trace->parts[0].back_us, 2000);
	CU_ASSERT_EQUAL(trace->parts[0].wait_us, 20);
	CU_ASSERT_EQUAL(trace->parts[0].code, 0);
	CU_ASSERT_EQUAL(trace->parts[1].code, ERR_SHED);
	CU_ASSERT_EQUAL(trace->parts[2].attempt, TRACE_RETRY);
	CU_ASSERT_FALSE(trace->parts[2].is_done);
	trace_store_finish(&store);
}

/*
 * After a restart at a newer snapshot, parts are numbered from 0 again. If the
 * answer to the new part 0 were recorded for the old one, the trace would show
 * an answer of a server whose request was cancelled.
 */
static void test_restart(void)
{
	struct trace_summary summary = {.request_id = "a"};
	const struct trace *trace;
	struct trace_log log;

	set_up(10, 1 << 20, 10);
	trace_log_init(&log, &store, clock_now(&clock_));
	trace_log_sent(&log, clock_now(&clock_), STR("s1"), STR("h"),
		       TRACE_FIRST, 1);
	trace_log_restart(&log);
	trace_log_sent(&log, clock_now(&clock_), STR("s2"), STR("h"),
		       TRACE_FIRST, 1);
	trace_log_done(&log, 0, clock_now(&clock_), 0);
	trace_log_done(&log, 1, clock_now(&clock_), 0);
	trace_store_add(&store, &summary, &log);
	trace_log_finish(&log);
	CU_ASSERT_EQUAL_FATAL(find("a", &trace), 0);
	CU_ASSERT_FALSE(trace->parts[0].is_done);
	CU_ASSERT_TRUE(trace->parts[1].is_done);
	CU_ASSERT_EQUAL(trace->parts[1].restarts, 1);
	trace_store_finish(&store);
}

/* Above the limit, failed parts are kept first, then the slowest. */
static void test_parts_max(void)
{
	struct trace_summary summary = {.request_id = "a"};
	const struct trace *trace;
	struct trace_log log;
	int i;

	set_up(10, 1 << 20, 3);
	trace_log_init(&log, &store, clock_now(&clock_));
	for (i = 0; i < 8; i++)
		trace_log_sent(&log, clock_now(&clock_), STR("s"), STR("h"),
			       TRACE_FIRST, i);
	for (i = 0; i < 8; i++) {
		clock_advance(&clock_, 1000);
		trace_log_done(&log, i, clock_now(&clock_),
			       i == 2 ? ERR_LOST : 0);
		clock_advance(&clock_, i >= 5 ? 100000 : 0);
	}
	trace_store_add(&store, &summary, &log);
	trace_log_finish(&log);
	CU_ASSERT_EQUAL_FATAL(find("a", &trace), 0);
	CU_ASSERT_EQUAL_FATAL(trace->n_parts, 3);
	CU_ASSERT_EQUAL(trace->n_left_out, 5);
	CU_ASSERT_EQUAL(trace->parts[0].n_shards, 2);
	CU_ASSERT_EQUAL(trace->parts[1].n_shards, 6);
	CU_ASSERT_EQUAL(trace->parts[2].n_shards, 7);
	trace_store_finish(&store);
}

static void test_evicted(void)
{
	const struct trace *trace;

	set_up(2, 1 << 20, 10);
	add("a", 0);
	add("b", 0);
	add("c", 0);
	CU_ASSERT_EQUAL(find("a", &trace), ERR_TRACE_EVICTED);
	CU_ASSERT_EQUAL(find("b", &trace), 0);
	CU_ASSERT_EQUAL(find("c", &trace), 0);
	CU_ASSERT_EQUAL(find("d", &trace), ERR_NO_TRACE);
	trace_store_finish(&store);
}

/*
 * A failed search is followed by many successful ones before the operator looks
 * it up. With oldest-first eviction its trace would be lost.
 */
static void test_notable_kept(void)
{
	const struct trace *trace;
	char id[16];
	int i;

	set_up(10, 1 << 20, 10);
	add("bad", ERR_TOO_LATE);
	for (i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "good-%d", i);
		add(id, 0);
	}
	CU_ASSERT_EQUAL(find("bad", &trace), 0);
	CU_ASSERT_EQUAL(store.ordinary.n, 9);
	for (i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "bad-%d", i);
		add(id, ERR_TOO_LATE);
	}
	CU_ASSERT_EQUAL(store.ordinary.n, 5);
	CU_ASSERT_EQUAL(store.notable.n, 5);
	CU_ASSERT_EQUAL(find("good-999", &trace), 0);
	CU_ASSERT_EQUAL(find("bad", &trace), ERR_TRACE_EVICTED);
	trace_store_finish(&store);
}

static void test_bytes(void)
{
	struct trace_limits lower = {1000, 65536, 100};
	struct trace_log log;
	int i;

	set_up(1000000, 1 << 20, 100);
	for (i = 0; i < 2000; i++) {
		struct trace_summary summary = {.request_id = "a"};
		char name[32];
		int j;

		snprintf(name, sizeof(name), "server-%d", i);
		trace_log_init(&log, &store, clock_now(&clock_));
		for (j = 0; j < 20; j++)
			trace_log_sent(&log, clock_now(&clock_), str_from(name),
				       STR("h"), TRACE_FIRST, 1);
		trace_store_add(&store, &summary, &log);
		trace_log_finish(&log);
		CU_ASSERT(store.ordinary.bytes + store.name_bytes <= 1 << 20);
	}
	CU_ASSERT(store.ordinary.n > 100);
	trace_store_set_limits(&store, &lower);
	CU_ASSERT(store.ordinary.bytes + store.name_bytes <= 65536);
	CU_ASSERT(store.ordinary.n > 1);
	trace_store_finish(&store);
	CU_ASSERT_PTR_NULL(store.names);
}

/* Traces with the same request id are all found, the newest first. */
static void test_same_id(void)
{
	const struct trace *trace;

	set_up(10, 1 << 20, 10);
	add("a", 0);
	add("a", ERR_OVERLOAD);
	add("a", 0);
	CU_ASSERT_EQUAL_FATAL(find("a", &trace), 0);
	CU_ASSERT_EQUAL(trace->number, 3);
	CU_ASSERT_EQUAL_FATAL(trace_store_find(&store, STR("a"), trace, &trace),
			      0);
	CU_ASSERT_EQUAL(trace->number, 2);
	CU_ASSERT_EQUAL_FATAL(trace_store_find(&store, STR("a"), trace, &trace),
			      0);
	CU_ASSERT_EQUAL(trace->number, 1);
	CU_ASSERT_EQUAL(trace_store_find(&store, STR("a"), trace, &trace),
			ERR_NO_TRACE);
	trace_store_finish(&store);
}

static void test_missing(void)
{
	struct trace_summary summary = {0};
	int i;

	trace_summary_add_missing(&summary, ERR_TOO_LATE, 0, 9, 5);
	trace_summary_add_missing(&summary, ERR_TOO_LATE, 10, 19, 6);
	trace_summary_add_missing(&summary, ERR_LOST, 20, 29, 7);
	trace_summary_add_missing(&summary, ERR_TOO_LATE, 30, 39, 8);
	CU_ASSERT_EQUAL(summary.n_missing, 4);
	CU_ASSERT_EQUAL_FATAL(summary.n_reasons, 2);
	CU_ASSERT_EQUAL(summary.reasons[0].n_shards, 3);
	CU_ASSERT_EQUAL(summary.reasons[0].records, 19);
	CU_ASSERT_EQUAL(summary.reasons[0].n_ranges, 2);
	CU_ASSERT_EQUAL(summary.reasons[0].ranges[0].hi, 19);
	CU_ASSERT_EQUAL(summary.reasons[0].ranges[1].lo, 30);
	CU_ASSERT_EQUAL(summary.reasons[1].code, ERR_LOST);
	for (i = 0; i < 20; i++) {
		uint16_t lo = (uint16_t)(100 + i * 20);

		trace_summary_add_missing(&summary, ERR_LOST, lo, lo + 9, 1);
		trace_summary_add_missing(&summary, ERR_LOST, lo + 10, lo + 14,
					  1);
	}
	CU_ASSERT_EQUAL(summary.reasons[1].n_ranges, 21);
	CU_ASSERT_EQUAL(summary.reasons[1].n_shards, 41);
}

static void test_oldest(void)
{
	set_up(2, 1 << 20, 10);
	CU_ASSERT_EQUAL(trace_store_oldest(&store), MSEC(1000));
	clock_advance(&clock_, MSEC(5));
	add("a", 0);
	clock_advance(&clock_, MSEC(5));
	add("b", ERR_LOST);
	CU_ASSERT_EQUAL(trace_store_oldest(&store), MSEC(1005));
	trace_store_finish(&store);
}

static const struct unit_test tests[] = {
	{"times and outcomes of parts", test_parts},
	{"a restart numbers parts from 0 again", test_restart},
	{"a long trace keeps failed and slow parts", test_parts_max},
	{"evicted and unknown ids differ", test_evicted},
	{"notable traces are kept longer", test_notable_kept},
	{"memory is limited", test_bytes},
	{"several traces of one id", test_same_id},
	{"missing shards by reason", test_missing},
	{"age of the oldest trace", test_oldest},
};

UNIT_MAIN("trace", tests)
