#include <stdio.h>

#include "clock.h"
#include "retry_fleet.h"
#include "unit.h"

#define SLACK_SMALL 54
#define SLACK_LARGE 156
#define LARGE_ENTRIES 6
#define LARGE_MEMBERS 58
/* Longer than a peak of the number of entries is kept. */
#define SETTLE_TIME MSEC(100000)

static void check_budget(const struct retry_fleet *fleet, uint64_t seed)
{
	double excess = retry_fleet_excess(fleet);

	if (excess > 0)
		printf("seed %d: budget exceeded by %.1f\n", (int)seed, excess);
	CU_ASSERT(excess <= 0);
}

/* Guards against a full share of the slack for each restarted process. */
static void test_rolling_restarts(void)
{
	struct retry_fleet fleet;
	int i;

	retry_fleet_init(&fleet, 7, SLACK_SMALL, 1);
	retry_fleet_run(&fleet, SETTLE_TIME);
	fleet.refuse_ratio = 0.8;
	for (i = 0; i < 4 * fleet.n; i++) {
		retry_fleet_restart(&fleet, i % fleet.n);
		retry_fleet_run(&fleet, MSEC(500));
	}
	check_budget(&fleet, 1);
	retry_fleet_finish(&fleet);
}

/* Guards against full shares after repeated restarts of all instances. */
static void test_simultaneous_restarts(void)
{
	struct retry_fleet fleet;
	int i;
	int j;

	retry_fleet_init(&fleet, 7, SLACK_SMALL, 2);
	retry_fleet_run(&fleet, SETTLE_TIME);
	fleet.refuse_ratio = 0.8;
	for (i = 0; i < 6; i++) {
		for (j = 0; j < fleet.n; j++)
			retry_fleet_restart(&fleet, j);
		retry_fleet_run(&fleet, MSEC(3000));
	}
	check_budget(&fleet, 2);
	retry_fleet_finish(&fleet);
}

/* Guards against slack used by instances that the divisor does not count. */
static void test_uncounted_instances(void)
{
	struct retry_fleet fleet;

	retry_fleet_init(&fleet, LARGE_MEMBERS, SLACK_LARGE, 3);
	retry_fleet_set_membership(&fleet, LARGE_ENTRIES, LARGE_MEMBERS);
	retry_fleet_run(&fleet, SETTLE_TIME);
	fleet.refuse_ratio = 0.8;
	retry_fleet_run(&fleet, MSEC(20000));
	check_budget(&fleet, 3);
	retry_fleet_finish(&fleet);
}

/* Guards against isolated instances that each use the whole slack. */
static void test_isolated_instances(void)
{
	struct retry_fleet fleet;

	retry_fleet_init(&fleet, 7, SLACK_SMALL, 4);
	retry_fleet_set_membership(&fleet, 1, 1);
	retry_fleet_run(&fleet, SETTLE_TIME);
	fleet.refuse_ratio = 0.8;
	retry_fleet_run(&fleet, MSEC(20000));
	check_budget(&fleet, 4);
	retry_fleet_finish(&fleet);
}

/* Guards against larger shares once the entries peak expires in a partition. */
static void test_long_partition(void)
{
	struct retry_fleet fleet;

	retry_fleet_init(&fleet, 7, SLACK_SMALL, 8);
	retry_fleet_run(&fleet, SETTLE_TIME);
	retry_fleet_set_membership(&fleet, 1, 1);
	retry_fleet_run(&fleet, 2 * SETTLE_TIME);
	fleet.refuse_ratio = 0.8;
	retry_fleet_run(&fleet, MSEC(20000));
	check_budget(&fleet, 8);
	retry_fleet_finish(&fleet);
}

/* Guards against new shares for instances that take over the callers. */
static void test_callers_switch_instances(void)
{
	struct retry_fleet fleet;
	int i;

	retry_fleet_init(&fleet, LARGE_MEMBERS, SLACK_LARGE, 5);
	retry_fleet_set_membership(&fleet, LARGE_ENTRIES, LARGE_MEMBERS);
	for (i = LARGE_ENTRIES; i < LARGE_MEMBERS; i++)
		fleet.instances[i].weight = 0.02;
	retry_fleet_run(&fleet, SETTLE_TIME);
	fleet.refuse_ratio = 0.8;
	retry_fleet_run(&fleet, MSEC(3000));
	for (i = 0; i < LARGE_MEMBERS; i++)
		fleet.instances[i].weight = i < LARGE_ENTRIES ? 0 : 1;
	retry_fleet_run(&fleet, MSEC(10000));
	check_budget(&fleet, 5);
	retry_fleet_finish(&fleet);
}

static void apply_random_event(struct retry_fleet *fleet)
{
	struct rng *rng = &fleet->rng;
	int n = fleet->n;
	int i;

	switch (rng_next(rng) % 5) {
	case 0:
		retry_fleet_restart(fleet, (int)(rng_next(rng) % n));
		break;
	case 1:
		for (i = 0; i < n; i++)
			retry_fleet_restart(fleet, i);
		break;
	case 2:
		retry_fleet_set_membership(fleet, 1 + (int)(rng_next(rng) % n),
					   n);
		break;
	case 3:
		for (i = 0; i < n; i++)
			fleet->instances[i].weight = rng_uniform(rng);
		break;
	default:
		fleet->refuse_ratio = rng_uniform(rng);
		break;
	}
}

/* Guards against excess from combinations of the events above. */
static void test_random_events(void)
{
	uint64_t seed;
	int i;

	for (seed = 1; seed <= 60; seed++) {
		struct retry_fleet fleet;
		bool large = seed % 2;

		retry_fleet_init(&fleet, large ? LARGE_MEMBERS : 7,
				 large ? SLACK_LARGE : SLACK_SMALL, seed);
		retry_fleet_run(&fleet, MSEC(20000));
		fleet.refuse_ratio = 0.8;
		for (i = 0; i < 40; i++) {
			apply_random_event(&fleet);
			retry_fleet_run(&fleet,
					(int64_t)(rng_uniform(&fleet.rng) *
						  MSEC(2000)));
		}
		check_budget(&fleet, seed);
		retry_fleet_finish(&fleet);
	}
}

static void randomize_memberships(struct retry_fleet *fleet)
{
	struct rng *rng = &fleet->rng;
	int i;

	for (i = 0; i < fleet->n; i++) {
		struct retry_membership *membership =
			&fleet->instances[i].membership;

		membership->members = 1 + (int)(rng_next(rng) % fleet->n);
		membership->entries =
			1 + (int)(rng_next(rng) % membership->members);
		membership->is_entry = rng_uniform(rng) < 0.7;
	}
}

/* Guards against excess when instances disagree about the membership. */
static void test_different_memberships(void)
{
	uint64_t seed;
	int i;

	for (seed = 101; seed <= 160; seed++) {
		struct retry_fleet fleet;
		bool large = seed % 2;

		retry_fleet_init(&fleet, large ? LARGE_MEMBERS : 7,
				 large ? SLACK_LARGE : SLACK_SMALL, seed);
		retry_fleet_run(&fleet, MSEC(20000));
		fleet.refuse_ratio = 0.8;
		for (i = 0; i < 40; i++) {
			randomize_memberships(&fleet);
			if (i % 4 == 3)
				apply_random_event(&fleet);
			retry_fleet_run(&fleet,
					(int64_t)(rng_uniform(&fleet.rng) *
						  MSEC(2000)));
		}
		check_budget(&fleet, seed);
		retry_fleet_finish(&fleet);
	}
}

/* Guards against initial tokens on top of the slack. */
static void test_first_requests(void)
{
	struct retry_fleet fleet;

	retry_fleet_init(&fleet, 7, SLACK_SMALL, 9);
	fleet.next_at += SETTLE_TIME;
	fleet.refuse_ratio = 1;
	retry_fleet_run(&fleet, SETTLE_TIME + MSEC(20000));
	CU_ASSERT(fleet.n_extra > 0);
	check_budget(&fleet, 9);
	retry_fleet_finish(&fleet);
}

/* Guards against second sends that pile up at servers that receive nothing. */
static void test_held_back_sends(void)
{
	uint64_t seed;
	int i;

	for (seed = 201; seed <= 260; seed++) {
		struct retry_fleet fleet;
		double rate = seed % 2 ? 28 : 90;

		retry_fleet_init(&fleet, 7, SLACK_SMALL, seed);
		fleet.rate = rate;
		retry_fleet_run(&fleet, MSEC(20000));
		fleet.refuse_ratio = 0.9;
		for (i = 0; i < 5; i++) {
			double held_s = 2 + 7 * rng_uniform(&fleet.rng);

			/* Callers who wait send fewer requests. */
			fleet.rate = rate / 3;
			retry_fleet_hold(&fleet, true);
			retry_fleet_run(&fleet, (int64_t)(held_s * 1e6));
			fleet.rate = rate;
			retry_fleet_hold(&fleet, false);
			retry_fleet_run(&fleet,
					(int64_t)(rng_uniform(&fleet.rng) *
						  MSEC(6000)));
		}
		check_budget(&fleet, seed);
		retry_fleet_finish(&fleet);
	}
}

/*
 * Guards against sends that wait for a server while the processes that sent
 * them are replaced again and again.
 */
static void test_held_back_beside_restarts(void)
{
	uint64_t seed;
	int i;
	int j;

	for (seed = 301; seed <= 360; seed++) {
		struct retry_fleet fleet;

		retry_fleet_init(&fleet, 7, SLACK_SMALL, seed);
		retry_fleet_run(&fleet, MSEC(20000));
		fleet.refuse_ratio = 0.9;
		retry_fleet_hold(&fleet, true);
		for (i = 0; i < 3; i++) {
			retry_fleet_run(
				&fleet,
				MSEC(1000) + (int64_t)(rng_uniform(&fleet.rng) *
						       MSEC(2000)));
			for (j = 0; j < fleet.n; j++)
				retry_fleet_restart(&fleet, j);
		}
		retry_fleet_hold(&fleet, false);
		retry_fleet_run(&fleet, MSEC(12000));
		check_budget(&fleet, seed);
		retry_fleet_finish(&fleet);
	}
}

/* Guards against tokens for requests that no server has received. */
static void test_held_back_beside_many_restarts(void)
{
	uint64_t seed;
	int i;

	for (seed = 401; seed <= 420; seed++) {
		struct retry_fleet fleet;

		retry_fleet_init(&fleet, 7, SLACK_SMALL, seed);
		retry_fleet_run(&fleet, MSEC(20000));
		fleet.refuse_ratio = 0.9;
		retry_fleet_hold(&fleet, true);
		for (i = 0; i < 100; i++) {
			retry_fleet_run(&fleet, MSEC(200));
			retry_fleet_restart(&fleet, i % fleet.n);
		}
		retry_fleet_hold(&fleet, false);
		retry_fleet_run(&fleet, MSEC(12000));
		check_budget(&fleet, seed);
		retry_fleet_finish(&fleet);
	}
}

/* Guards against meeting the budget by granting no second sends. */
static void test_sustained_retries(void)
{
	struct retry_fleet fleet;
	int needed_before;

	retry_fleet_init(&fleet, 7, SLACK_SMALL, 6);
	retry_fleet_run(&fleet, SETTLE_TIME);
	fleet.refuse_ratio = 1;
	needed_before = fleet.n_needed;
	retry_fleet_run(&fleet, MSEC(30000));
	CU_ASSERT(fleet.n_extra > 0.17 * (fleet.n_needed - needed_before));
	check_budget(&fleet, 6);
	retry_fleet_finish(&fleet);
}

static int take_all(struct fleet_instance *instance, int64_t now)
{
	int n = 0;

	while (budget_take(&instance->budget, &instance->share.limit, 1, now))
		n++;
	return n;
}

/* Guards against refused first retries, also at low request rates. */
static void test_immediate_retries(void)
{
	struct retry_fleet fleet;

	retry_fleet_init(&fleet, 7, SLACK_SMALL, 7);
	retry_fleet_run(&fleet, SETTLE_TIME);
	CU_ASSERT(take_all(&fleet.instances[0], fleet.now) >= 3);
	fleet.rate = 3;
	retry_fleet_run(&fleet, SETTLE_TIME);
	CU_ASSERT(take_all(&fleet.instances[0], fleet.now) >= 1);
	retry_fleet_finish(&fleet);
}

static const struct unit_test tests[] = {
	{"rolling restarts", test_rolling_restarts},
	{"simultaneous restarts", test_simultaneous_restarts},
	{"uncounted instances", test_uncounted_instances},
	{"isolated instances", test_isolated_instances},
	{"long partition", test_long_partition},
	{"callers switch instances", test_callers_switch_instances},
	{"random events", test_random_events},
	{"different memberships", test_different_memberships},
	{"first requests", test_first_requests},
	{"held back sends", test_held_back_sends},
	{"held back beside restarts", test_held_back_beside_restarts},
	{"held back beside many restarts", test_held_back_beside_many_restarts},
	{"sustained retries", test_sustained_retries},
	{"immediate retries", test_immediate_retries},
};

UNIT_MAIN("retry_share", tests)
