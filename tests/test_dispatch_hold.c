/* Retries of requests that may have crashed the servers they ran on. */
#include "dispatch_fixture.h"

static void start_new_request(struct fixture *fixture, const char *path)
{
	fixture_init(fixture);
	fixture->safe = false;
	CU_ASSERT(start_dispatch(fixture, path) == DISPATCH_PENDING);
}

static enum dispatch_outcome lose(struct fixture *fixture, int i)
{
	return deliver_answer(fixture, i, ERR_LOST, false, "");
}

/* Guards against the second server of a shard being crashed like its first. */
static void test_break_before_the_verdict(void)
{
	struct fixture fixture;

	start_new_request(&fixture, "/shards/");
	lose(&fixture, 0);
	lose(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 4);
	CU_ASSERT_EQUAL(fixture.n_held, 2);
	CU_ASSERT(advance(&fixture, 4) == DISPATCH_PENDING);
	fixture.n_crashed = 2;
	CU_ASSERT(advance(&fixture, 2) == DISPATCH_FAILED);
	CU_ASSERT_EQUAL(fixture.dispatch.code, ERR_LOST);
	CU_ASSERT_EQUAL(fixture.n_sent, 4);
	fixture_finish(&fixture);
}

/* Guards against a request that fails with a server that crashed of its own. */
static void test_lone_crash(void)
{
	struct fixture fixture;

	start_new_request(&fixture, "/shards/");
	lose(&fixture, 0);
	fixture.n_crashed = 1;
	CU_ASSERT(advance(&fixture, 4) == DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 4);
	deliver_answer(&fixture, 1, 0, false, "b");
	CU_ASSERT_EQUAL(dispatch_due(&fixture.dispatch),
			clock_now(&fixture.clock));
	CU_ASSERT(advance(&fixture, 0) == DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 5);
	CU_ASSERT_STRING_EQUAL(fixture.let_go, "runs_well");
	deliver_answer(&fixture, 2, 0, false, "c");
	deliver_answer(&fixture, 3, 0, false, "d");
	CU_ASSERT(deliver_answer(&fixture, 4, 0, false, "a") ==
		  DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

/* Guards against a delay of retries of what is known to run well. */
static void test_known_request_is_not_held(void)
{
	static const char *const paths[] = {"/shards/", "/any/"};
	struct fixture fixture;
	size_t i;
	int sent;

	for (i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		fixture_init(&fixture);
		start_dispatch(&fixture, paths[i]);
		sent = fixture.n_sent;
		lose(&fixture, 0);
		CU_ASSERT_EQUAL(fixture.n_sent, sent + 1);
		CU_ASSERT_EQUAL(fixture.n_held, 0);
		fixture_finish(&fixture);
	}
}

/*
 * Guards against a new request that is lost when all connections of its
 * instance break at once.
 */
static void test_all_connections_break(void)
{
	struct fixture fixture;
	int i;

	start_new_request(&fixture, "/shards/");
	for (i = 0; i < 4; i++)
		lose(&fixture, i);
	CU_ASSERT_EQUAL(fixture.n_sent, 4);
	fixture.living = fixture.sent[2];
	CU_ASSERT(advance(&fixture, 2) == DISPATCH_PENDING);
	CU_ASSERT_EQUAL(dispatch_due(&fixture.dispatch),
			clock_now(&fixture.clock));
	CU_ASSERT(advance(&fixture, 0) == DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 8);
	CU_ASSERT_STRING_EQUAL(fixture.let_go, "server_lives");
	for (i = 4; i < 7; i++)
		deliver_answer(&fixture, i, 0, false, (char[]){'a' + i, 0});
	CU_ASSERT(deliver_answer(&fixture, 7, 0, false, "z") ==
		  DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

/* Guards against waiting for the deadline if nothing is learned of servers. */
static void test_one_at_a_time_without_evidence(void)
{
	struct fixture fixture;
	int i;

	start_new_request(&fixture, "/shards/");
	for (i = 0; i < 4; i++)
		lose(&fixture, i);
	for (i = 0; i < 124; i++)
		advance(&fixture, 2);
	CU_ASSERT_EQUAL(fixture.n_sent, 4);
	advance(&fixture, 2);
	advance(&fixture, 2);
	CU_ASSERT_EQUAL(fixture.n_sent, 5);
	CU_ASSERT_STRING_EQUAL(fixture.let_go, "time");
	CU_ASSERT(deliver_answer(&fixture, 4, 0, false, "a") ==
		  DISPATCH_PENDING);
	advance(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.n_sent, 8);
	fixture_finish(&fixture);
}

/* Guards against a service that loses its last server to a new request. */
static void test_last_server_of_a_service(void)
{
	struct fixture fixture;

	start_new_request(&fixture, "/any/");
	lose(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	fixture.living = fixture.sent[0];
	advance(&fixture, 2);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	fixture_finish(&fixture);

	start_new_request(&fixture, "/any/");
	lose(&fixture, 0);
	fixture.n_crashed = 1;
	advance(&fixture, 2);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	CU_ASSERT_STRING_EQUAL(fixture.let_go, "crashed");
	fixture_finish(&fixture);
}

/* Guards against a hedge that crashes the last server of a service as well. */
static void test_hedge_leaves_the_last_server(void)
{
	struct fixture fixture;

	start_new_request(&fixture, "/any/");
	advance(&fixture, 60);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	fixture.safe = true;
	advance(&fixture, 5);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	fixture_finish(&fixture);

	fixture_init(&fixture);
	fixture.safe = false;
	add_server(&fixture, "s0", 2);
	start_dispatch(&fixture, "/any/");
	advance(&fixture, 60);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	fixture_finish(&fixture);
}

/* Guards against hedges that end while one of the other servers is cold. */
static void test_cold_server_is_no_lost_one(void)
{
	struct registry_server *cold;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.safe = false;
	add_server(&fixture, "s0", 2);
	cold = registry_find(&fixture.registry, STR("s0-2"));
	cold->service->warmup.bound = 1;
	registry_set_cold(cold, MSEC(5000), clock_now(&fixture.clock));
	start_dispatch(&fixture, "/any/");
	advance(&fixture, 60);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	fixture_finish(&fixture);
}

/* Guards against a delay where the service has servers to spare. */
static void test_service_with_more_servers(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.safe = false;
	add_server(&fixture, "s0", 2);
	start_dispatch(&fixture, "/any/");
	lose(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	CU_ASSERT_EQUAL(fixture.n_held, 0);
	fixture_finish(&fixture);
}

static const struct unit_test tests[] = {
	{"break before the verdict", test_break_before_the_verdict},
	{"lone crash", test_lone_crash},
	{"known request is not held", test_known_request_is_not_held},
	{"all connections break", test_all_connections_break},
	{"one at a time without evidence", test_one_at_a_time_without_evidence},
	{"last server of a service", test_last_server_of_a_service},
	{"hedge leaves the last server", test_hedge_leaves_the_last_server},
	{"cold server is no lost one", test_cold_server_is_no_lost_one},
	{"service with more servers", test_service_with_more_servers},
};

UNIT_MAIN("dispatch_hold", tests)
