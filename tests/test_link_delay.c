#include "clock.h"
#include "link_delay.h"
#include "unit.h"

/* The sender's clock is far ahead. */
#define OFFSET MSEC(5000000)
#define START MSEC(1000)

/* Returns what is found of a message that took @delay. */
static int64_t receive(struct link_delay *link, int64_t at, int64_t delay)
{
	return link_delay_add(link, (uint64_t)(OFFSET + at - delay), at);
}

/* Guards against taking the offset of the clocks for a delay. */
static void test_offset(void)
{
	struct link_delay link = {0};

	CU_ASSERT(receive(&link, START, MSEC(3)) == 0);
	CU_ASSERT(receive(&link, START + MSEC(10), MSEC(2)) == 0);
	CU_ASSERT(receive(&link, START + MSEC(20), MSEC(5)) == MSEC(3));
}

/* Guards against taking messages that come together for quick ones. */
static void test_held_back(void)
{
	struct link_delay link = {0};
	int64_t at = START + MSEC(9000);
	int i;

	receive(&link, START, MSEC(2));
	for (i = 0; i < 9; i++)
		CU_ASSERT(receive(&link, at, MSEC(9002 - 1000 * i)) ==
			  MSEC(9000 - 1000 * i));
	CU_ASSERT(receive(&link, at + MSEC(10), MSEC(2)) == 0);
}

/* Guards against a growing delay while the clocks drift apart. */
static void test_drift(void)
{
	struct link_delay link = {0};
	int64_t at = START;
	int64_t found = 0;
	int i;

	for (i = 0; i < 3600; i++) {
		int64_t drift = i * 50; /* 50 microseconds a second */

		found = receive(&link, at, MSEC(2) + drift);
		at += MSEC(1000);
	}
	CU_ASSERT(found <= MSEC(10));
}

/* Guards against overflow by a peer's time, and builds that send none. */
static void test_any_time(void)
{
	struct link_delay link = {0};

	CU_ASSERT(link_delay_add(&link, 0, START) == 0);
	CU_ASSERT(link_delay_add(&link, UINT64_MAX, START) == 0);
	CU_ASSERT(link_delay_add(&link, INT64_MAX, START) == 0);
	CU_ASSERT(link_delay_add(&link, 1, START) == 0);
	CU_ASSERT(link_delay_add(&link, INT64_MAX / 4, START) == 0);
}

static const struct unit_test tests[] = {
	{"offset of the clocks", test_offset},
	{"messages held back", test_held_back},
	{"clocks drift apart", test_drift},
	{"any time", test_any_time},
};

UNIT_MAIN("link_delay", tests)
