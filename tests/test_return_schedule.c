#include "return_schedule.h"
#include "unit.h"

#define START MSEC(1000000)
#define SERVICE 7

static struct return_request make_request(uint64_t fingerprint, int level)
{
	return (struct return_request){
		.fingerprint = fingerprint,
		.service = SERVICE,
		.level = level,
		.cost = MSEC(10),
		.capacity = 1000000, /* allows 20 promises per second */
		.patience = MSEC(300),
	};
}

/* Guards against promising the same time to all callers refused at once. */
static void test_promises_are_spread(void)
{
	struct clock clock;
	struct return_schedule schedule;
	struct scheduled_return entry;
	struct return_request request;
	uint64_t i;

	clock_init_paused(&clock, START);
	return_schedule_init(&schedule, &clock);
	for (i = 1; i <= 6; i++) {
		request = make_request(i, 1);
		CU_ASSERT(return_schedule_offer(&schedule, &request, &entry) ==
			  MSEC(50) * (int64_t)i);
		CU_ASSERT(entry.promised);
	}
	request = make_request(7, 1);
	CU_ASSERT(return_schedule_offer(&schedule, &request, &entry) ==
		  MSEC(350));
	CU_ASSERT(!entry.promised);
	/* More urgent requests are scheduled first, others after them. */
	request = make_request(8, 0);
	CU_ASSERT(return_schedule_offer(&schedule, &request, &entry) ==
		  MSEC(50));
	request = make_request(9, 1);
	CU_ASSERT(return_schedule_offer(&schedule, &request, &entry) ==
		  MSEC(400));
	/* There is no capacity before this time. */
	request = make_request(10, 0);
	request.capacity_in = MSEC(120);
	CU_ASSERT(return_schedule_offer(&schedule, &request, &entry) ==
		  MSEC(170));
	return_schedule_finish(&schedule);
}

static enum return_state check_return(struct return_schedule *schedule,
				      uint64_t fingerprint)
{
	return return_schedule_check(schedule,
				     return_schedule_find(schedule,
							  fingerprint));
}

/* Returns before, at and after their time, and one used at another instance. */
static void test_return_in_time(void)
{
	const struct return_request one = make_request(1, 0);
	const struct return_request two = make_request(2, 0);
	struct clock clock;
	struct return_schedule schedule;
	struct scheduled_return entry;

	clock_init_paused(&clock, START);
	return_schedule_init(&schedule, &clock);
	return_schedule_offer(&schedule, &one, &entry);
	return_schedule_offer(&schedule, &two, &entry);
	CU_ASSERT(check_return(&schedule, 1) == RETURN_EARLY);
	CU_ASSERT(check_return(&schedule, 3) == RETURN_NONE);
	clock_advance(&clock, MSEC(50));
	CU_ASSERT(check_return(&schedule, 1) == RETURN_DUE);
	CU_ASSERT(check_return(&schedule, 2) == RETURN_EARLY);
	return_schedule_remove(&schedule, 1);
	CU_ASSERT(check_return(&schedule, 1) == RETURN_NONE);
	clock_advance(&clock, MSEC(50));
	CU_ASSERT(check_return(&schedule, 2) == RETURN_DUE);
	entry.taken = true;
	return_schedule_receive(&schedule, &entry);
	CU_ASSERT(check_return(&schedule, 2) == RETURN_NONE);
	return_schedule_offer(&schedule, &one, &entry);
	clock_advance(&clock, MSEC(1000));
	CU_ASSERT(check_return(&schedule, 1) == RETURN_NONE);
	return_schedule_finish(&schedule);
}

/* Guards against unbounded memory for many refused callers. */
static void test_schedule_is_bounded(void)
{
	struct clock clock;
	struct return_schedule schedule;
	struct scheduled_return entry;
	uint64_t i;

	clock_init_paused(&clock, START);
	return_schedule_init(&schedule, &clock);
	for (i = 1; i <= RETURN_SCHEDULE_MAX + 1; i++) {
		const struct return_request request = make_request(i, 0);

		return_schedule_offer(&schedule, &request, &entry);
	}
	CU_ASSERT(HASH_COUNT(schedule.entries) == RETURN_SCHEDULE_MAX);
	CU_ASSERT(!entry.promised);
	clock_advance(&clock, MSEC(5000));
	return_schedule_receive(&schedule, &entry);
	CU_ASSERT(HASH_COUNT(schedule.entries) == 0);
	return_schedule_finish(&schedule);
}

static const struct unit_test tests[] = {
	{"promises are spread", test_promises_are_spread},
	{"return in time", test_return_in_time},
	{"schedule is bounded", test_schedule_is_bounded},
};

UNIT_MAIN("return schedule", tests)
