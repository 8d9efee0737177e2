#include "clock.h"
#include "rng.h"
#include "stop_plan.h"
#include "unit.h"

#define START MSEC(1000000)
#define RUNS 2000
#define ARRIVALS 50

static int64_t draw(struct rng *rng, int64_t max)
{
	return (int64_t)(rng_next(rng) % (uint64_t)max);
}

static struct stop_request draw_request(struct rng *rng, int64_t now)
{
	struct stop_request request = {
		.deadline = now + 1 + draw(rng, MSEC(10000)),
		.goal = MSEC(20) + draw(rng, MSEC(2000)),
		.usual = MSEC(1) + draw(rng, MSEC(1500)),
		.repeatable = draw(rng, 2),
		.others_ready = draw(rng, 4),
	};

	request.slowest = request.usual + draw(rng, MSEC(3000));
	return request;
}

static int64_t max_of(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Guards against a refusal of what would be served with time to spare. */
static void check_refused(const struct stop_plan *plan,
			  const struct stop_request *request, int64_t now)
{
	int64_t spare = max_of(2 * request->usual, request->goal);

	if (!request->repeatable)
		spare = max_of(spare, request->slowest);
	CU_ASSERT(now + spare > plan->answer_by);
	CU_ASSERT(request->deadline > plan->answer_by);
	if (!request->others_ready)
		CU_ASSERT(now + request->usual > plan->answer_by);
}

/*
 * Guards against a request that was taken and has no answer when the process
 * ends, whatever its server does.
 */
static void check_taken(const struct stop_plan *plan,
			const struct stop_request *request, int64_t work,
			int64_t now)
{
	int64_t by = stop_plan_deadline(plan, request->deadline);

	CU_ASSERT(now <= stop_plan_send_by(plan, request));
	CU_ASSERT(by <= plan->answer_by && by <= request->deadline);
	CU_ASSERT(now < by);
	/* One that is answered in its usual time is answered by its server. */
	if (work <= request->usual && now + work <= request->deadline)
		CU_ASSERT(now + work <= by);
}

static void test_taken_requests_are_answered(void)
{
	struct rng rng;
	int run;
	int i;

	rng_init(&rng, 1);
	for (run = 0; run < RUNS; run++) {
		int64_t grace = MSEC(50) + draw(&rng, MSEC(60000));
		struct stop_plan plan;

		stop_plan_init(&plan, START, grace);
		CU_ASSERT(plan.since < plan.close_at);
		CU_ASSERT(plan.close_at < plan.answer_by);
		CU_ASSERT(plan.answer_by < plan.exit_at);
		CU_ASSERT(plan.exit_at < START + grace);
		for (i = 0; i < ARRIVALS; i++) {
			int64_t now = START + draw(&rng, grace);
			struct stop_request request = draw_request(&rng, now);
			int64_t work = draw(&rng, 2 * request.usual);

			if (stop_plan_takes(&plan, &request, now))
				check_taken(&plan, &request, work, now);
			else if (now < plan.answer_by)
				check_refused(&plan, &request, now);
		}
	}
}

static void test_without_a_stop_all_is_taken(void)
{
	const struct stop_plan plan = {0};
	const struct stop_request request = {.deadline = START + MSEC(5000),
					     .usual = MSEC(60000)};

	CU_ASSERT(!stop_plan_is_stopping(&plan));
	CU_ASSERT(stop_plan_takes(&plan, &request, START));
	CU_ASSERT(stop_plan_deadline(&plan, START) == START);
}

/* Guards against an order that is taken when its answer may come too late. */
static void test_orders_are_refused_sooner(void)
{
	struct stop_request request = {
		.deadline = START + MSEC(20000),
		.goal = MSEC(400),
		.usual = MSEC(100),
		.slowest = MSEC(3000),
		.others_ready = true,
	};
	struct stop_plan plan;
	int64_t now;

	stop_plan_init(&plan, START, MSEC(6000));
	now = plan.answer_by - MSEC(2000);
	CU_ASSERT(!stop_plan_takes(&plan, &request, now));
	request.repeatable = true;
	CU_ASSERT(stop_plan_takes(&plan, &request, now));
	CU_ASSERT_EQUAL(stop_plan_send_by(&plan, &request), INT64_MAX);
	request.repeatable = false;
	CU_ASSERT_EQUAL(stop_plan_send_by(&plan, &request),
			plan.answer_by - request.slowest);
	request.others_ready = false;
	CU_ASSERT(stop_plan_takes(&plan, &request, now));
	request.others_ready = true;
	request.deadline = now + MSEC(1900);
	CU_ASSERT(stop_plan_takes(&plan, &request, now));
}

static const struct unit_test tests[] = {
	{"taken requests are answered", test_taken_requests_are_answered},
	{"without a stop all is taken", test_without_a_stop_all_is_taken},
	{"orders are refused sooner", test_orders_are_refused_sooner},
};

UNIT_MAIN("stop_plan", tests)
