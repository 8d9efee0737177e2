#include "clock.h"
#include "peak.h"
#include "unit.h"

#define SPAN MSEC(30000)
#define START MSEC(1000000)

/*
 * An instance that starts knows small instances first and takes all of them
 * for entries: 277 in place of 18. Its part of the retry budget and of a
 * server's connections must not stay so small for the life of the process.
 */
static void test_old_peak_expires(void)
{
	struct peak peak;

	peak_init(&peak, SPAN, 4, START);
	CU_ASSERT(peak_add(&peak, 277, START + MSEC(500)) == 277);
	CU_ASSERT(peak_add(&peak, 18, START + MSEC(1000)) == 277);
	CU_ASSERT(peak_add(&peak, 18, START + SPAN + MSEC(1)) == 277);
	CU_ASSERT(peak_add(&peak, 18, START + 2 * SPAN + MSEC(2)) == 18);
}

/*
 * Half of the entries are cut off for a second. They still send what they have
 * begun, so that the others must not take over their part of the limits.
 */
static void test_peak_holds_for_span(void)
{
	struct peak peak;
	int64_t t;

	peak_init(&peak, SPAN, 4, START);
	peak_add(&peak, 18, START);
	for (t = 0; t < SPAN; t += MSEC(1000))
		CU_ASSERT(peak_add(&peak, 9, START + t) == 18);
	/* Also where the last greater value came just before a new span. */
	peak_add(&peak, 20, START + SPAN - 1);
	for (t = SPAN; t < 2 * SPAN; t += MSEC(1000))
		CU_ASSERT(peak_add(&peak, 9, START + t) == 20);
}

/* A process that was stopped for long goes by what it sees when it wakes. */
static void test_no_updates(void)
{
	struct peak peak;

	peak_init(&peak, SPAN, 50, START);
	CU_ASSERT(peak_add(&peak, 7, START + 5 * SPAN) == 7);
}

static const struct unit_test tests[] = {
	{"comes down", test_old_peak_expires},
	{"holds for a span", test_peak_holds_for_span},
	{"long silence", test_no_updates},
};

UNIT_MAIN("peak", tests)
