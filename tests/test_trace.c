#include <stdio.h>
#include <string.h>

#include "error.h"
#include "trace.h"
#include "unit.h"

static struct clock clock_;
static struct trace_store book;

static void set_up(int64_t max, int64_t bytes_max, int64_t parts_max)
{
	struct trace_limits limits = {max, bytes_max, parts_max};

	clock_init_paused(&clock_, MSEC(1000));
	trace_store_init(&book, &clock_);
	trace_store_set_limits(&book, &limits);
}

static void add(const char *id, int code)
{
	struct trace_summary summary = {.code = code, .notable = code != 0};

	snprintf(summary.request_id, sizeof(summary.request_id), "%s", id);
	trace_store_add(&book, &summary, NULL);
}

static int find(const char *id, const struct trace **out)
{
	return trace_store_find(&book, str_from(id), NULL, out);
}

static void test_parts(void)
{
	struct trace_summary summary = {.request_id = "a"};
	const struct trace *trace;
	struct trace_log log;

	set_up(10, 1 << 20, 10);
	trace_log_init(&log, &book, clock_now(&clock_));
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
	/* A part counts as back once: a later word changes nothing. */
	trace_log_set_times(&log, 0, 1, 2);
	trace_log_done(&log, 0, clock_now(&clock_), ERR_LOST);
	trace_store_add(&book, &summary, &log);
	trace_log_finish(&log);
	CU_ASSERT_EQUAL_FATAL(find("a", &trace), 0);
	CU_ASSERT_EQUAL_FATAL(trace->n_parts, 3);
	CU_ASSERT_STRING_EQUAL(trace_name_text(trace->parts[0].server), "s1");
	CU_ASSERT_EQUAL(trace->parts[0].sent_us, 100);
	CU_ASSERT_EQUAL(trace->parts[0].back_us, 2000);
	CU_ASSERT_EQUAL(trace->parts[0].wait_us, 20);
	CU_ASSERT_EQUAL(trace->parts[0].code, 0);
	CU_ASSERT_EQUAL(trace->parts[1].code, ERR_SHED);
	CU_ASSERT_EQUAL(trace->parts[2].why, TRACE_RETRY);
	CU_ASSERT_FALSE(trace->parts[2].is_back);
	trace_store_finish(&book);
}

/*
 * A search starts again at a newer snapshot, and its parts are numbered from 0
 * again. An answer to the new part 0 must not be written to the old one, or the
 * operator reads that a server answered which was cancelled.
 */
static void test_restart(void)
{
	struct trace_summary summary = {.request_id = "a"};
	const struct trace *trace;
	struct trace_log log;

	set_up(10, 1 << 20, 10);
	trace_log_init(&log, &book, clock_now(&clock_));
	trace_log_sent(&log, clock_now(&clock_), STR("s1"), STR("h"),
		       TRACE_FIRST, 1);
	trace_log_restart(&log);
	trace_log_sent(&log, clock_now(&clock_), STR("s2"), STR("h"),
		       TRACE_FIRST, 1);
	trace_log_done(&log, 0, clock_now(&clock_), 0);
	trace_log_done(&log, 1, clock_now(&clock_), 0);
	trace_store_add(&book, &summary, &log);
	trace_log_finish(&log);
	CU_ASSERT_EQUAL_FATAL(find("a", &trace), 0);
	CU_ASSERT_FALSE(trace->parts[0].is_back);
	CU_ASSERT_TRUE(trace->parts[1].is_back);
	CU_ASSERT_EQUAL(trace->parts[1].restarts, 1);
	trace_store_finish(&book);
}

/* Above the bound, failed parts stay first, then the slowest. */
static void test_parts_cut(void)
{
	struct trace_summary summary = {.request_id = "a"};
	const struct trace *trace;
	struct trace_log log;
	int i;

	set_up(10, 1 << 20, 3);
	trace_log_init(&log, &book, clock_now(&clock_));
	for (i = 0; i < 8; i++)
		trace_log_sent(&log, clock_now(&clock_), STR("s"), STR("h"),
			       TRACE_FIRST, i);
	for (i = 0; i < 8; i++) {
		clock_advance(&clock_, 1000);
		trace_log_done(&log, i, clock_now(&clock_),
			       i == 2 ? ERR_LOST : 0);
		clock_advance(&clock_, i >= 5 ? 100000 : 0);
	}
	trace_store_add(&book, &summary, &log);
	trace_log_finish(&log);
	CU_ASSERT_EQUAL_FATAL(find("a", &trace), 0);
	CU_ASSERT_EQUAL_FATAL(trace->n_parts, 3);
	CU_ASSERT_EQUAL(trace->n_left_out, 5);
	CU_ASSERT_EQUAL(trace->parts[0].n_shards, 2);
	CU_ASSERT_EQUAL(trace->parts[1].n_shards, 6);
	CU_ASSERT_EQUAL(trace->parts[2].n_shards, 7);
	trace_store_finish(&book);
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
	trace_store_finish(&book);
}

/*
 * One search is refused, and thousands of good ones follow in the minute that
 * the operator needs to ask about it. Oldest-first eviction would have thrown
 * away the only record that anybody asks for.
 */
static void test_notable_stay(void)
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
	CU_ASSERT_EQUAL(book.ordinary.n, 9);
	for (i = 0; i < 1000; i++) {
		snprintf(id, sizeof(id), "bad-%d", i);
		add(id, ERR_TOO_LATE);
	}
	CU_ASSERT_EQUAL(book.ordinary.n, 5);
	CU_ASSERT_EQUAL(book.notable.n, 5);
	CU_ASSERT_EQUAL(find("good-999", &trace), 0);
	CU_ASSERT_EQUAL(find("bad", &trace), ERR_TRACE_EVICTED);
	trace_store_finish(&book);
}

static void test_bytes(void)
{
	struct trace_limits fewer = {1000, 65536, 100};
	struct trace_log log;
	int i;

	set_up(1000000, 1 << 20, 100);
	for (i = 0; i < 2000; i++) {
		struct trace_summary summary = {.request_id = "a"};
		char name[32];
		int j;

		snprintf(name, sizeof(name), "server-%d", i);
		trace_log_init(&log, &book, clock_now(&clock_));
		for (j = 0; j < 20; j++)
			trace_log_sent(&log, clock_now(&clock_), str_from(name),
				       STR("h"), TRACE_FIRST, 1);
		trace_store_add(&book, &summary, &log);
		trace_log_finish(&log);
		CU_ASSERT(book.ordinary.bytes + book.name_bytes <= 1 << 20);
	}
	CU_ASSERT(book.ordinary.n > 100);
	trace_store_set_limits(&book, &fewer);
	CU_ASSERT(book.ordinary.bytes + book.name_bytes <= 65536);
	CU_ASSERT(book.ordinary.n > 1);
	trace_store_finish(&book);
	CU_ASSERT_PTR_NULL(book.names);
}

/* A caller that sends the same id again: each record, the newest first. */
static void test_same_id(void)
{
	const struct trace *trace;

	set_up(10, 1 << 20, 10);
	add("a", 0);
	add("a", ERR_OVERLOAD);
	add("a", 0);
	CU_ASSERT_EQUAL_FATAL(find("a", &trace), 0);
	CU_ASSERT_EQUAL(trace->number, 3);
	CU_ASSERT_EQUAL_FATAL(trace_store_find(&book, STR("a"), trace, &trace),
			      0);
	CU_ASSERT_EQUAL(trace->number, 2);
	CU_ASSERT_EQUAL_FATAL(trace_store_find(&book, STR("a"), trace, &trace),
			      0);
	CU_ASSERT_EQUAL(trace->number, 1);
	CU_ASSERT_EQUAL(trace_store_find(&book, STR("a"), trace, &trace),
			ERR_NO_TRACE);
	trace_store_finish(&book);
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

static void test_kept_since(void)
{
	set_up(2, 1 << 20, 10);
	CU_ASSERT_EQUAL(trace_store_oldest(&book), MSEC(1000));
	clock_advance(&clock_, MSEC(5));
	add("a", 0);
	clock_advance(&clock_, MSEC(5));
	add("b", ERR_LOST);
	CU_ASSERT_EQUAL(trace_store_oldest(&book), MSEC(1005));
	trace_store_finish(&book);
}

static const struct unit_test tests[] = {
	{"parts with their times and outcomes", test_parts},
	{"a restart numbers parts anew", test_restart},
	{"a long record keeps failed and slow parts", test_parts_cut},
	{"evicted and unknown are told apart", test_evicted},
	{"notable records stay longer", test_notable_stay},
	{"memory is bounded", test_bytes},
	{"the same id twice", test_same_id},
	{"missing shards by reason", test_missing},
	{"age of the oldest record", test_kept_since},
};

UNIT_MAIN("trace", tests)
