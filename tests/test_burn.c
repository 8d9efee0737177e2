#include <math.h>
#include <stdio.h>

#include "burn.h"
#include "unit.h"

#define MINUTE ((int64_t)60 * USEC_PER_SEC)
#define HOUR (60 * MINUTE)
#define NEAR(a, b) CU_ASSERT_DOUBLE_EQUAL(a, b, 1e-9)

static const struct burn_target target = {"be", 100, 0.99, 0.95};
static const struct burn_event good = {true, true, MSEC(100)};
static const struct burn_event late = {true, true, MSEC(100) + 1};
static const struct burn_event partial = {true, false, MSEC(1)};
static const struct burn_event refused = {false, false, MSEC(1)};

static struct clock clock_;
static struct burn burn;

static void set_up(void)
{
	clock_init_paused(&clock_, HOUR);
	burn_init(&burn, &clock_);
	burn_set_services_max(&burn, 100);
}

static struct burn_service *add(const char *service,
				const struct burn_event *event, int n)
{
	struct burn_service *found = NULL;

	while (n--)
		found = burn_record(&burn, str_from(service), &target, event);
	return found;
}

static uint64_t total(enum burn_window window)
{
	struct burn_counts counts;

	burn_count_window(&burn, burn_find(&burn, STR("desk")), window,
			  &counts);
	return counts.total;
}

static enum burn_state state(const char *service, enum burn_window window)
{
	struct burn_counts counts;

	return burn_count_window(&burn, burn_find(&burn, str_from(service)),
				 window, &counts);
}

/*
 * By hand: 1000 requests, 900 good, 40 late, 30 partial, 30 refused. Bad for
 * latency are 40 + 30 = 70 of 1000, and 1 - 0.99 = 10 may be: 7 times. Bad for
 * coverage are 30 + 30 = 60, and 1 - 0.95 = 50 may be: 1.2 times.
 */
static void test_arithmetic(void)
{
	struct burn_counts counts;
	double allowed;

	set_up();
	add("desk", &good, 900);
	add("desk", &late, 40);
	add("desk", &partial, 30);
	add("desk", &refused, 30);
	burn_count_window(&burn, burn_find(&burn, STR("desk")), BURN_5M,
			  &counts);
	CU_ASSERT_EQUAL(counts.total, 1000);
	CU_ASSERT_EQUAL(counts.late, 40);
	CU_ASSERT_EQUAL(counts.partial, 30);
	CU_ASSERT_EQUAL(counts.refused, 30);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_LATENCY), 70);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_COVERAGE), 60);
	allowed = 1000 * (1 - burn_required_ratio(&target, BURN_LATENCY));
	NEAR(burn_rate(70, allowed), 7);
	NEAR(burn_budget_left(70, allowed), -6);
	allowed = 1000 * (1 - burn_required_ratio(&target, BURN_COVERAGE));
	NEAR(burn_rate(60, allowed), 1.2);
	NEAR(burn_budget_left(60, allowed), -0.2);
	NEAR(burn_rate(0, 0), 0);
	CU_ASSERT(isinf(burn_rate(1, 0)));
	burn_finish(&burn);
}

static void test_windows(void)
{
	set_up();
	add("desk", &good, 7);
	CU_ASSERT_EQUAL(total(BURN_5M), 7);
	clock_advance(&clock_, 4 * MINUTE);
	add("desk", &good, 1);
	CU_ASSERT_EQUAL(total(BURN_5M), 8);
	clock_advance(&clock_, MINUTE);
	CU_ASSERT_EQUAL(total(BURN_5M), 1);
	CU_ASSERT_EQUAL(total(BURN_1H), 8);
	clock_advance(&clock_, HOUR);
	CU_ASSERT_EQUAL(total(BURN_1H), 0);
	CU_ASSERT_EQUAL(total(BURN_6H), 8);
	clock_advance(&clock_, 6 * HOUR);
	CU_ASSERT_EQUAL(total(BURN_6H), 0);
	CU_ASSERT_EQUAL(total(BURN_3D), 8);
	clock_advance(&clock_, 72 * HOUR);
	CU_ASSERT_EQUAL(total(BURN_3D), 0);
	burn_finish(&burn);
}

/*
 * A process is paused for hours and wakes. The ring still holds what it held
 * before; if the places were not emptied, the report would show the burn of
 * last night as that of now.
 */
static void test_wakes_late(void)
{
	set_up();
	add("desk", &refused, 50);
	clock_advance(&clock_, 100 * HOUR);
	CU_ASSERT_EQUAL(total(BURN_5M), 0);
	CU_ASSERT_EQUAL(total(BURN_1H), 0);
	CU_ASSERT_EQUAL(total(BURN_6H), 0);
	CU_ASSERT_EQUAL(total(BURN_3D), 0);
	add("desk", &good, 2);
	CU_ASSERT_EQUAL(total(BURN_5M), 2);
	CU_ASSERT_EQUAL(total(BURN_3D), 2);
	burn_finish(&burn);
}

/* Every step of a long run: what the windows say is what was counted. */
static void test_against_a_list(void)
{
	static int per_minute[600];
	int sum;
	int i;
	int j;

	set_up();
	for (i = 0; i < 600; i++) {
		per_minute[i] = i * 7 % 11;
		add("desk", &good, per_minute[i]);
		clock_advance(&clock_, MINUTE - 1);
		for (sum = 0, j = i; j >= 0 && j > i - 5; j--)
			sum += per_minute[j];
		CU_ASSERT_EQUAL(total(BURN_5M), sum);
		for (sum = 0, j = i; j >= 0 && j > i - 60; j--)
			sum += per_minute[j];
		CU_ASSERT_EQUAL(total(BURN_1H), sum);
		clock_advance(&clock_, 1);
	}
	burn_finish(&burn);
}

static void test_states(void)
{
	set_up();
	CU_ASSERT_EQUAL(state("desk", BURN_5M), BURN_EMPTY);
	add("desk", &good, 1);
	CU_ASSERT_EQUAL(state("desk", BURN_5M), BURN_SHORT);
	CU_ASSERT_EQUAL(burn_observed(&burn, BURN_5M), 0);
	clock_advance(&clock_, 4 * MINUTE);
	CU_ASSERT_EQUAL(state("desk", BURN_5M), BURN_SHORT);
	CU_ASSERT_EQUAL(burn_observed(&burn, BURN_5M), 4 * MINUTE);
	clock_advance(&clock_, 2 * MINUTE);
	CU_ASSERT_EQUAL(state("desk", BURN_5M), BURN_ROLLED_OVER);
	CU_ASSERT_EQUAL(state("desk", BURN_1H), BURN_SHORT);
	CU_ASSERT_EQUAL(state("other", BURN_1H), BURN_EMPTY);
	clock_advance(&clock_, HOUR);
	add("desk", &good, 1);
	CU_ASSERT_EQUAL(state("desk", BURN_1H), BURN_FULL);
	CU_ASSERT_EQUAL(burn_observed(&burn, BURN_1H), HOUR);
	CU_ASSERT_EQUAL(state("desk", BURN_3D), BURN_SHORT);
	burn_finish(&burn);
}

static void test_alarms(void)
{
	const uint64_t many[] = {10, 10, 10, 10};
	const uint64_t few[] = {4, 4, 4, 4};
	const double fast[] = {15, 15, 2, 0.5};
	const double over[] = {15, 14, 2, 0.5};
	const double slow[] = {0, 0, 1.1, 1.1};
	const double mended[] = {0, 0, 0.9, 1.1};

	CU_ASSERT_TRUE(burn_is_fast(fast, many));
	CU_ASSERT_FALSE(burn_is_fast(over, many));
	CU_ASSERT_FALSE(burn_is_fast(fast, few));
	CU_ASSERT_FALSE(burn_is_slow(fast, many));
	CU_ASSERT_TRUE(burn_is_slow(slow, many));
	CU_ASSERT_FALSE(burn_is_slow(mended, many));
	CU_ASSERT_FALSE(burn_is_slow(slow, few));
}

static void test_blame(void)
{
	struct burn_service *service;
	struct top_k top;

	set_up();
	service = add("desk", &late, 1);
	burn_add_cause(&burn, service, BURN_SERVER, STR("s1"), 0);
	burn_add_cause(&burn, service, BURN_SERVER, STR("s2"), -25);
	burn_add_cause(&burn, service, BURN_SERVER, STR("s2"), -21);
	burn_add_cause(&burn, service, BURN_SHARD, STR("0-9"), 0);
	burn_top_causes(&burn, service, BURN_SERVER, &top);
	CU_ASSERT_EQUAL_FATAL(top.n, 2);
	CU_ASSERT_STRING_EQUAL(top.entries[0].key, "s2");
	CU_ASSERT_EQUAL(top.entries[0].count, 2);
	CU_ASSERT_EQUAL(top.entries[0].code, -21);
	clock_advance(&clock_, HOUR);
	burn_add_cause(&burn, service, BURN_SERVER, STR("s1"), 0);
	burn_add_cause(&burn, service, BURN_SERVER, STR("s1"), 0);
	burn_top_causes(&burn, service, BURN_SERVER, &top);
	CU_ASSERT_EQUAL_FATAL(top.n, 2);
	CU_ASSERT_STRING_EQUAL(top.entries[0].key, "s1");
	CU_ASSERT_EQUAL(top.entries[0].count, 3);
	clock_advance(&clock_, HOUR);
	burn_top_causes(&burn, service, BURN_SERVER, &top);
	CU_ASSERT_EQUAL_FATAL(top.n, 1);
	CU_ASSERT_EQUAL(top.entries[0].count, 2);
	clock_advance(&clock_, HOUR);
	burn_top_causes(&burn, service, BURN_SERVER, &top);
	CU_ASSERT_EQUAL(top.n, 0);
	burn_finish(&burn);
}

/* A frequent key stays, whatever number of rare ones pass by. */
static void test_top_k(void)
{
	struct top_k top = {0};
	char key[16];
	int i;

	for (i = 0; i < 3000; i++) {
		snprintf(key, sizeof(key), "rare-%d", i);
		top_k_add(&top, str_from(key), 1, 0, 0);
		if (i % 3 == 0)
			top_k_add(&top, STR("often"), 1, 0, 0);
	}
	top_k_sort(&top);
	CU_ASSERT_EQUAL(top.n, TOP_K_SIZE);
	CU_ASSERT_STRING_EQUAL(top.entries[0].key, "often");
	CU_ASSERT(top.entries[0].count >= 1000);
	CU_ASSERT(top.entries[0].count - top.entries[0].error <= 1000);
}

static void test_services_max(void)
{
	set_up();
	burn_set_services_max(&burn, 2);
	CU_ASSERT_PTR_NOT_NULL(add("a", &good, 1));
	CU_ASSERT_PTR_NOT_NULL(add("b", &good, 1));
	CU_ASSERT_PTR_NULL(add("c", &good, 1));
	CU_ASSERT_EQUAL(burn.uncounted, 1);
	clock_advance(&clock_, 73 * HOUR);
	add("b", &good, 1);
	CU_ASSERT_PTR_NOT_NULL(add("c", &good, 1));
	CU_ASSERT_PTR_NULL(burn_find(&burn, STR("a")));
	burn_finish(&burn);
}

static const struct unit_test tests[] = {
	{"rates and budgets by hand", test_arithmetic},
	{"windows roll over", test_windows},
	{"a process that wakes late", test_wakes_late},
	{"windows against a list", test_against_a_list},
	{"states of a window", test_states},
	{"alarms", test_alarms},
	{"who is to blame", test_blame},
	{"frequent keys", test_top_k},
	{"services are bounded", test_services_max},
};

UNIT_MAIN("burn", tests)
