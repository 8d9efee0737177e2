#include "budget.h"
#include "unit.h"

#define SECOND 1000000

static const struct budget_limit limit = {.ratio = 0.1, .burst = 5};

/* No initial burst; saved tokens decay within 2 s to a reserve of 1. */
static const struct budget_limit decaying = {.ratio = 0.1,
					     .burst = 50,
					     .decay_time = 2 * SECOND,
					     .reserve = 1,
					     .unread_max = 3};

static int take_all(struct budget *budget, int64_t now)
{
	int n = 0;

	while (budget_take(budget, &limit, 1, now))
		n++;
	return n;
}

/*
 * Guards against retry storms: every request fails and each failure asks for a
 * retry. The total stays below 1.1 times the requests needed.
 */
static void test_outage(void)
{
	struct budget budget;
	int64_t now = SECOND;
	int taken = 0;
	int i;

	budget_init(&budget, &limit, now);
	for (i = 0; i < 10000; i++) {
		now += 1000;
		budget_count_needed(&budget, &limit, 10, now);
		taken += take_all(&budget, now);
	}
	CU_ASSERT(taken <= 10000 + 5);
	CU_ASSERT(taken > 9000);
	CU_ASSERT_EQUAL(budget.needed, 100000);
	CU_ASSERT_EQUAL(budget.spent, (uint64_t)taken);
}

/*
 * Guards against tokens kept over an idle hour, which would allow a retry storm
 * at the first fault after it.
 */
static void test_idle_saves_nothing(void)
{
	struct budget budget;
	int64_t now = SECOND;
	int i;

	budget_init(&budget, &limit, now);
	for (i = 0; i < 1000; i++)
		budget_count_needed(&budget, &limit, 100, now += 1000);
	now += 3600LL * SECOND;
	CU_ASSERT_EQUAL(take_all(&budget, now), 5);
	budget_count_needed(&budget, &limit, 10, now);
	CU_ASSERT_EQUAL(take_all(&budget, now), 1);
}

/* Guards against saving more than the traffic of BUDGET_WINDOW_US earns. */
static void test_saved_tokens(void)
{
	struct budget budget;
	int64_t now = SECOND;
	int i;

	budget_init(&budget, &limit, now);
	for (i = 0; i < 1000; i++)
		budget_count_needed(&budget, &limit, 10, now += 1000);
	/* 10,000 a second over 0.2 s at a ratio of 0.1: 200 tokens. */
	CU_ASSERT(take_all(&budget, now) <= 5 + 200);
}

/* A retry of a higher cost takes more tokens. */
static void test_cost(void)
{
	struct budget budget;
	int64_t now = SECOND;

	budget_init(&budget, &limit, now);
	CU_ASSERT(budget_take(&budget, &limit, 5, now));
	CU_ASSERT_FALSE(budget_take(&budget, &limit, 1, now));
	CU_ASSERT_EQUAL(budget.refused, 1);
}

/*
 * Guards against lost requests in a small service that loses one of its two
 * servers: so few requests earn next to no tokens, although the other server
 * could answer the retries.
 */
static void test_few_requests(void)
{
	const struct budget_limit small = {.ratio = 0.1,
					   .burst = 5,
					   .per_second = 5};
	struct budget budget;
	int64_t now = SECOND;
	int n = 0;
	int i;

	budget_init(&budget, &small, now);
	for (i = 0; i < 100; i++) {
		now += SECOND / 10;
		budget_count_needed(&budget, &small, 1, now);
		if (i % 2)
			n += budget_take(&budget, &small, 10, now);
	}
	CU_ASSERT_EQUAL(n, 50);
	/* An idle hour saves no more than the burst. */
	now += 3600LL * SECOND;
	for (n = 0; budget_take(&budget, &small, 10, now); n++)
		;
	CU_ASSERT_EQUAL(n, 5);
}

static void test_ratio_zero(void)
{
	const struct budget_limit zero_ratio = {.ratio = 0, .burst = 5};
	struct budget budget;

	budget_init(&budget, &zero_ratio, SECOND);
	budget_count_needed(&budget, &zero_ratio, 1000, SECOND);
	CU_ASSERT_FALSE(budget_take(&budget, &zero_ratio, 1, SECOND));
}

/* Guards against second sends right after a start, before any request. */
static void test_starts_empty(void)
{
	struct budget budget;

	budget_init(&budget, &decaying, SECOND);
	CU_ASSERT_FALSE(budget_take(&budget, &decaying, 1, SECOND));
	budget_count_needed(&budget, &decaying, 10, SECOND);
	CU_ASSERT(budget_take(&budget, &decaying, 1, SECOND));
	CU_ASSERT_FALSE(budget_take(&budget, &decaying, 1, SECOND));
}

/* Guards against many instances that spend old tokens at the same time. */
static void test_saved_tokens_decay(void)
{
	struct budget budget;
	int64_t now = SECOND;
	int i;
	int n;

	budget_init(&budget, &decaying, now);
	for (i = 0; i < 1000; i++)
		budget_count_needed(&budget, &decaying, 1, now += 10000);
	for (n = 0; budget_take(&budget, &decaying, 1, now); n++)
		;
	/* 100 requests a second at a ratio of 0.1, over about 2 s. */
	CU_ASSERT(n >= 15 && n <= 20);
	for (i = 0; i < 1000; i++)
		budget_count_needed(&budget, &decaying, 1, now += 10000);
	now += 20 * SECOND;
	CU_ASSERT(budget_take(&budget, &decaying, 1, now));
	CU_ASSERT_FALSE(budget_take(&budget, &decaying, 1, now));
}

/* Guards against time-granted tokens at the start and saved while idle. */
static void test_granted_by_time(void)
{
	const struct budget_limit with_rate = {.ratio = 0.1,
					       .burst = 50,
					       .per_second = 2,
					       .decay_time = 2 * SECOND,
					       .reserve = 1,
					       .unread_max = 1};
	struct budget budget;
	int64_t now = SECOND;
	int n = 0;
	int i;

	budget_init(&budget, &with_rate, now);
	CU_ASSERT_FALSE(budget_take(&budget, &with_rate, 1, now));
	for (i = 0; i < 1000; i++) {
		budget_count_needed(&budget, &with_rate, 1, now += 10000);
		n += budget_take(&budget, &with_rate, 1, now);
	}
	/* 10 s: 0.1 for each of 1000 requests, plus 2 a second. */
	CU_ASSERT(n >= 118 && n <= 120);
	now += 3600LL * SECOND;
	CU_ASSERT(budget_take(&budget, &with_rate, 1, now));
	CU_ASSERT_FALSE(budget_take(&budget, &with_rate, 1, now));
}

/* Guards against new tokens for second sends that are still to arrive. */
static void test_unread_keeps_tokens(void)
{
	struct budget budget;
	int64_t now = SECOND;
	int i;

	budget_init(&budget, &decaying, now);
	for (i = 0; i < 1000; i++)
		budget_count_needed(&budget, &decaying, 1, now += 1000);
	for (; budget.unread < 3; budget.unread++)
		CU_ASSERT(budget_take(&budget, &decaying, 1, now));
	CU_ASSERT_FALSE(budget_take(&budget, &decaying, 1, now));
	/* Of the capacity, what is unread is used. */
	for (i = 0; i < 20000; i++)
		budget_count_needed(&budget, &decaying, 1, now += 1000);
	CU_ASSERT(budget.tokens <= budget_capacity(&budget, &decaying) - 3);
	/* Requests end: only the reserve is left, and it is used. */
	now += 20 * SECOND;
	budget.unread = 1;
	CU_ASSERT_FALSE(budget_take(&budget, &decaying, 1, now));
}

static const struct unit_test tests[] = {
	{"unread second sends keep tokens", test_unread_keeps_tokens},
	{"outage", test_outage},
	{"idle time saves nothing", test_idle_saves_nothing},
	{"saved tokens", test_saved_tokens},
	{"cost", test_cost},
	{"few requests", test_few_requests},
	{"starts empty", test_starts_empty},
	{"saved tokens decay", test_saved_tokens_decay},
	{"granted by time", test_granted_by_time},
	{"a ratio of 0 allows nothing", test_ratio_zero},
};

UNIT_MAIN("budget", tests)
