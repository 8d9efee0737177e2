#include "dispatch_fixture.h"

#define USUAL_LATENCY MSEC(10)
#define LONG_WAIT MSEC(400)

/* Reports an expected wait of @ahead for all servers of shards @first to 3. */
static void report_wait(struct fixture *fixture, int first, int64_t ahead)
{
	int64_t now = clock_now(&fixture->clock);
	struct registry_server *server;

	for (server = fixture->registry.servers; server;
	     server = server->hh.next) {
		if (server->entry.service[1] - '0' < first)
			continue;
		server_estimate_set_wait(&server->estimate, 0, ahead, now);
		server_estimate_add_report(&server->estimate,
					   (double)USUAL_LATENCY, now);
	}
}

/* Enables load control, with @n_others requests in flight to each server. */
static void init(struct fixture *fixture, int n_others)
{
	struct registry_server *server;

	fixture_init(fixture);
	fixture->control.left_out = true;
	latency_add_unloaded(&fixture->latency, (double)USUAL_LATENCY);
	for (server = fixture->registry.servers; server;
	     server = server->hh.next) {
		server->service->baseline_latency = (double)USUAL_LATENCY;
		server->score.outstanding = n_others;
		server->score.waiting_since = clock_now(&fixture->clock);
	}
}

/* A request that would be late must not load the servers. */
static void test_refused(void)
{
	struct fixture fixture;

	init(&fixture, 1);
	report_wait(&fixture, 0, LONG_WAIT);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_REFUSED);
	CU_ASSERT(fixture.n_sent == 0);
	CU_ASSERT(fixture.dispatch.code == ERR_OVERLOAD);
	CU_ASSERT(fixture.dispatch.refused_by_forecast);
	CU_ASSERT(fixture.dispatch.capacity_delay > MSEC(300));
	CU_ASSERT(fixture.dispatch.capacity_delay <= LONG_WAIT);
	fixture_finish(&fixture);
}

static void test_switched_off(void)
{
	struct fixture fixture;

	init(&fixture, 1);
	fixture.control.left_out = false;
	report_wait(&fixture, 0, LONG_WAIT);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 4);
	fixture_finish(&fixture);
}

/* Missing or outdated reports must not cause refusals. */
static void test_incomplete_reports(void)
{
	struct fixture fixture;

	init(&fixture, 1);
	report_wait(&fixture, 0, LONG_WAIT);
	clock_advance(&fixture.clock, LONG_WAIT);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 4);
	fixture_finish(&fixture);

	init(&fixture, 1);
	fixture.latency.unloaded = 0;
	report_wait(&fixture, 0, LONG_WAIT);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_PENDING);
	fixture_finish(&fixture);

	/* One shard has no reports, but too many others would be late. */
	init(&fixture, 1);
	report_wait(&fixture, 1, LONG_WAIT);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_REFUSED);
	fixture_finish(&fixture);
}

/* Refusing every request would never show that servers have recovered. */
static void test_probe(void)
{
	struct fixture fixture;

	init(&fixture, 0);
	report_wait(&fixture, 0, LONG_WAIT);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 4);
	fixture_finish(&fixture);
}

/* A caller that returns at the promised time must not be refused again. */
static void test_promised(void)
{
	struct fixture fixture;

	init(&fixture, 1);
	report_wait(&fixture, 0, LONG_WAIT);
	init_dispatch(&fixture, "/shards/");
	fixture.dispatch.promised = true;
	CU_ASSERT(dispatch_start(&fixture.dispatch) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 4);
	fixture_finish(&fixture);
}

/* A single busy shard must not delay the answer until the goal. */
static void test_left_out(void)
{
	struct fixture fixture;

	init(&fixture, 1);
	report_wait(&fixture, 3, LONG_WAIT);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 3);
	CU_ASSERT(fixture.dispatch.n_left_out == 1);
	CU_ASSERT(fixture.dispatch.parts[3].code == ERR_LEFT_OUT);
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "b");
	CU_ASSERT(deliver_answer(&fixture, 2, 0, false, "c") ==
		  DISPATCH_PARTIAL);
	CU_ASSERT(clock_now(&fixture.clock) == fixture.dispatch.start);
	fixture_finish(&fixture);
}

/* A part that was left out must be sent if another one fails. */
static void test_left_out_part_needed_later(void)
{
	struct fixture fixture;

	init(&fixture, 1);
	report_wait(&fixture, 3, LONG_WAIT);
	start_dispatch(&fixture, "/shards/");
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "b");
	CU_ASSERT(deliver_answer(&fixture, 2, ERR_LOST, false, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(deliver_answer(&fixture, 3, ERR_LOST, false, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	CU_ASSERT(fixture.sent[4]->part == &fixture.dispatch.parts[3]);
	CU_ASSERT(deliver_answer(&fixture, 4, 0, false, "d") ==
		  DISPATCH_PARTIAL);
	fixture_finish(&fixture);
}

/*
 * Hedges and retries whose answers would miss the goal must not be sent once
 * coverage_min is reached.
 */
static void test_useless_sends_suppressed(void)
{
	struct fixture fixture;

	init(&fixture, 0);
	start_dispatch(&fixture, "/shards/");
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "b");
	report_wait(&fixture, 2, LONG_WAIT);
	CU_ASSERT(deliver_answer(&fixture, 2, ERR_LOST, false, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	deliver_answer(&fixture, 4, 0, false, "c");
	CU_ASSERT(advance(&fixture, 40) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	CU_ASSERT(deliver_answer(&fixture, 3, ERR_LOST, false, "") ==
		  DISPATCH_PARTIAL);
	fixture_finish(&fixture);
}

/* A burst must not find each queue as short as its first request did. */
static void test_own_sends_count(void)
{
	const struct server_estimate *outlook;
	struct fixture fixture;

	init(&fixture, 0);
	report_wait(&fixture, 0, 0);
	start_dispatch(&fixture, "/shards/");
	outlook = &fixture.sent[0]->server->estimate;
	CU_ASSERT(server_estimate_wait(outlook, 0, fixture.dispatch.start) ==
		  USUAL_LATENCY / 2);
	CU_ASSERT(server_estimate_wait(outlook, 3, fixture.dispatch.start) ==
		  USUAL_LATENCY / 2);
	fixture_finish(&fixture);
}

static const struct unit_test tests[] = {
	{"request that would be late is refused", test_refused},
	{"no refusals when switched off", test_switched_off},
	{"missing or outdated reports", test_incomplete_reports},
	{"request to idle servers is sent as a probe", test_probe},
	{"caller returning at the promised time is not refused", test_promised},
	{"part that would be late is left out", test_left_out},
	{"left-out part is sent when another fails",
	 test_left_out_part_needed_later},
	{"useless hedges and retries are not sent",
	 test_useless_sends_suppressed},
	{"own sends add to the expected wait", test_own_sends_count},
};

UNIT_MAIN("dispatch_forecast", tests)
