#include "dispatch_world.h"

#define USUAL_LATENCY MSEC(10)
#define LONG_WAIT MSEC(400)

/* Reports an expected wait of @ahead for all servers of shards @first to 3. */
static void report_wait(struct world *world, int first, int64_t ahead)
{
	int64_t now = clock_now(&world->clock);
	struct registry_server *server;

	for (server = world->registry.servers; server;
	     server = server->hh.next) {
		if (server->entry.service[1] - '0' < first)
			continue;
		server_estimate_set_wait(&server->outlook, 0, ahead, now);
		server_estimate_add_report(&server->outlook,
					   (double)USUAL_LATENCY, now);
	}
}

/* Enables load control, with @n_others requests in flight to each server. */
static void init(struct world *world, int n_others)
{
	struct registry_server *server;

	world_init(world);
	world->control.left_out = true;
	latency_add_unloaded(&world->latency, (double)USUAL_LATENCY);
	for (server = world->registry.servers; server;
	     server = server->hh.next) {
		server->service->usual = (double)USUAL_LATENCY;
		server->score.outstanding = n_others;
		server->score.waiting_since = clock_now(&world->clock);
	}
}

/* A request that would be late must not load the servers. */
static void test_refused(void)
{
	struct world world;

	init(&world, 1);
	report_wait(&world, 0, LONG_WAIT);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_REFUSED);
	CU_ASSERT(world.n_sent == 0);
	CU_ASSERT(world.dispatch.code == ERR_OVERLOAD);
	CU_ASSERT(world.dispatch.refused_by_forecast);
	CU_ASSERT(world.dispatch.capacity_delay > MSEC(300));
	CU_ASSERT(world.dispatch.capacity_delay <= LONG_WAIT);
	world_finish(&world);
}

static void test_switched_off(void)
{
	struct world world;

	init(&world, 1);
	world.control.left_out = false;
	report_wait(&world, 0, LONG_WAIT);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	world_finish(&world);
}

/* Missing or outdated reports must not cause refusals. */
static void test_incomplete_reports(void)
{
	struct world world;

	init(&world, 1);
	report_wait(&world, 0, LONG_WAIT);
	clock_advance(&world.clock, LONG_WAIT);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	world_finish(&world);

	init(&world, 1);
	world.latency.unloaded = 0;
	report_wait(&world, 0, LONG_WAIT);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	world_finish(&world);

	/* One shard has no reports, but too many others would be late. */
	init(&world, 1);
	report_wait(&world, 1, LONG_WAIT);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_REFUSED);
	world_finish(&world);
}

/* Refusing every request would never show that servers have recovered. */
static void test_probe(void)
{
	struct world world;

	init(&world, 0);
	report_wait(&world, 0, LONG_WAIT);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	world_finish(&world);
}

/* A caller that returns at the promised time must not be refused again. */
static void test_promised(void)
{
	struct world world;

	init(&world, 1);
	report_wait(&world, 0, LONG_WAIT);
	prepare(&world, "/shards/");
	world.dispatch.promised = true;
	CU_ASSERT(dispatch_start(&world.dispatch) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	world_finish(&world);
}

/* A single busy shard must not delay the answer until the goal. */
static void test_left_out(void)
{
	struct world world;

	init(&world, 1);
	report_wait(&world, 3, LONG_WAIT);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 3);
	CU_ASSERT(world.dispatch.n_left_out == 1);
	CU_ASSERT(world.dispatch.parts[3].code == ERR_LEFT_OUT);
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	CU_ASSERT(result(&world, 2, 0, false, "c") == DISPATCH_PARTIAL);
	CU_ASSERT(clock_now(&world.clock) == world.dispatch.start);
	world_finish(&world);
}

/* A part that was left out must be sent if another one fails. */
static void test_left_out_part_needed_later(void)
{
	struct world world;

	init(&world, 1);
	report_wait(&world, 3, LONG_WAIT);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	CU_ASSERT(result(&world, 2, ERR_LOST, false, "") == DISPATCH_PENDING);
	CU_ASSERT(result(&world, 3, ERR_LOST, false, "") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(world.sent[4]->part == &world.dispatch.parts[3]);
	CU_ASSERT(result(&world, 4, 0, false, "d") == DISPATCH_PARTIAL);
	world_finish(&world);
}

/*
 * Hedges and retries whose answers would miss the goal must not be sent once
 * coverage_min is reached.
 */
static void test_useless_sends_suppressed(void)
{
	struct world world;

	init(&world, 0);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	report_wait(&world, 2, LONG_WAIT);
	CU_ASSERT(result(&world, 2, ERR_LOST, false, "") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	result(&world, 4, 0, false, "c");
	CU_ASSERT(pass(&world, 40) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(result(&world, 3, ERR_LOST, false, "") == DISPATCH_PARTIAL);
	world_finish(&world);
}

/* A burst must not find each queue as short as its first request did. */
static void test_own_sends_count(void)
{
	const struct server_estimate *outlook;
	struct world world;

	init(&world, 0);
	report_wait(&world, 0, 0);
	start(&world, "/shards/");
	outlook = &world.sent[0]->server->outlook;
	CU_ASSERT(server_estimate_wait(outlook, 0, world.dispatch.start) ==
		  USUAL_LATENCY / 2);
	CU_ASSERT(server_estimate_wait(outlook, 3, world.dispatch.start) ==
		  USUAL_LATENCY / 2);
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"refused", test_refused},
	{"switched off", test_switched_off},
	{"little known", test_incomplete_reports},
	{"probe", test_probe},
	{"promised", test_promised},
	{"left out", test_left_out},
	{"what was left out is needed", test_left_out_part_needed_later},
	{"kept back", test_useless_sends_suppressed},
	{"own sends count", test_own_sends_count},
};

UNIT_MAIN("dispatch_forecast", tests)
