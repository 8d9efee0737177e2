#include "clock.h"
#include "peak.h"
#include "unit.h"

#define SPAN MSEC(30000)
#define START MSEC(1000000)

/*
 * Guards against a peak that never falls. An instance that starts may take all
 * instances for entries at first, 277 instead of 18, and its share of the retry
 * budget and of a server's connections must not stay that small.
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
 * Guards against a peak that falls too early. While half of the entries are cut
 * off for a second, they still send what they started, and the others must not
 * take over their share of the limits.
 */
static void test_peak_holds_for_span(void)
{
	struct peak peak;
	int64_t t;

	peak_init(&peak, SPAN, 4, START);
	peak_add(&peak, 18, START);
	for (t = 0; t < SPAN; t += MSEC(1000))
		CU_ASSERT(peak_add(&peak, 9, START + t) == 18);
	/* The higher value may come just before a new span. */
	peak_add(&peak, 20, START + SPAN - 1);
	for (t = SPAN; t < 2 * SPAN; t += MSEC(1000))
		CU_ASSERT(peak_add(&peak, 9, START + t) == 20);
}

/* A process that was stopped for long ignores values from before. */
static void test_no_updates(void)
{
	struct peak peak;

	peak_init(&peak, SPAN, 50, START);
	CU_ASSERT(peak_add(&peak, 7, START + 5 * SPAN) == 7);
}

static const struct unit_test tests[] = {
	{"old peak expires", test_old_peak_expires},
	{"peak holds for a span", test_peak_holds_for_span},
	{"no updates", test_no_updates},
};

UNIT_MAIN("peak", tests)
