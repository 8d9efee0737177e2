#include "clock.h"
#include "log_quota.h"
#include "unit.h"

static int take(struct log_quota *quota, int64_t now, int n)
{
	int taken = 0;

	while (n--)
		taken += log_quota_take(quota, now);
	return taken;
}

static void test_lines_are_limited(void)
{
	struct log_quota quota = {0};
	int first = take(&quota, MSEC(1), 1000);

	CU_ASSERT(first > 0);
	CU_ASSERT(first < 100);
	CU_ASSERT(!take(&quota, MSEC(50000), 1000));
	CU_ASSERT_EQUAL(take(&quota, MSEC(70000), 1000), first);
}

static const struct unit_test tests[] = {
	{"lines are limited, and again in the next window",
	 test_lines_are_limited},
};

UNIT_MAIN("log_quota", tests)
