/* Requests that run on one server before any other. */
#include "dispatch_fixture.h"

static enum dispatch_outcome start_trial(struct fixture *fixture,
					 const char *path, const char *service)
{
	init_dispatch(fixture, path);
	dispatch_begin_trial(&fixture->dispatch, str_hash(str_from(service)));
	return dispatch_start(&fixture->dispatch);
}

static const char *service_of(const struct fixture *fixture, int i)
{
	return fixture->sent[i]->part->service->name;
}

/* Guards against a suspect that crashes a server of each shard at once. */
static void test_one_server_first(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	CU_ASSERT(start_trial(&fixture, "/shards/", "s2") == DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	CU_ASSERT_STRING_EQUAL(service_of(&fixture, 0), "s2");
	CU_ASSERT(advance(&fixture, 60) == DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	CU_ASSERT(deliver_answer(&fixture, 0, 0, false, "a") ==
		  DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 4);
	deliver_answer(&fixture, 1, 0, false, "b");
	deliver_answer(&fixture, 2, 0, false, "c");
	CU_ASSERT(deliver_answer(&fixture, 3, 0, false, "d") ==
		  DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

/* Guards against a suspect that is sent on from each server it crashes. */
static void test_lost_trial_ends_the_request(void)
{
	static const char *const paths[] = {"/shards/", "/any/"};
	struct fixture fixture;
	size_t i;

	for (i = 0; i < sizeof(paths) / sizeof(*paths); i++) {
		fixture_init(&fixture);
		start_trial(&fixture, paths[i], "s0");
		CU_ASSERT(deliver_answer(&fixture, 0, ERR_LOST, false, "") ==
			  DISPATCH_FAILED);
		CU_ASSERT_EQUAL(fixture.dispatch.code, ERR_LOST);
		CU_ASSERT_EQUAL(fixture.n_sent, 1);
		fixture_finish(&fixture);
	}
}

/* Guards against a suspect that is refused because one server is busy. */
static void test_refused_trial_goes_elsewhere(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_trial(&fixture, "/shards/", "s1");
	CU_ASSERT(deliver_answer(&fixture, 0, ERR_DRAINING, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	CU_ASSERT_STRING_EQUAL(service_of(&fixture, 1), "s1");
	CU_ASSERT(deliver_answer(&fixture, 1, ERR_DRAINING, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 3);
	CU_ASSERT_STRING_EQUAL(service_of(&fixture, 2), "s0");
	fixture_finish(&fixture);
}

/* Guards against a suspect that waits for a shard without servers. */
static void test_trial_without_its_service(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	CU_ASSERT(start_trial(&fixture, "/shards/", "gone") ==
		  DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	CU_ASSERT_STRING_EQUAL(service_of(&fixture, 0), "s0");
	fixture_finish(&fixture);
}

/* Guards against a banned request that is offered to all servers in turn. */
static void test_banned_trial_ends(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.send_error = ERR_BANNED;
	CU_ASSERT(start_trial(&fixture, "/shards/", "s0") == DISPATCH_REFUSED);
	CU_ASSERT_EQUAL(fixture.dispatch.code, ERR_BANNED);
	fixture_finish(&fixture);
}

/* A request that is not known to run well, to a service of @n servers, loses
 * two of them. */
static void lose_two_servers(struct fixture *fixture, int n)
{
	int i;

	fixture_init(fixture);
	for (i = 2; i < n; i++)
		add_server(fixture, "s0", i);
	fixture->safe = false;
	fixture->may_be_tried = true;
	fixture->trial_wait = MSEC(200);
	CU_ASSERT(start_dispatch(fixture, "/any/") == DISPATCH_PENDING);
	deliver_answer(fixture, 0, ERR_LOST, false, "");
	fixture->n_crashed = 1;
	advance(fixture, 2);
	CU_ASSERT_EQUAL(fixture->n_sent, 2);
	deliver_answer(fixture, 1, ERR_LOST, false, "");
}

static void wait_for_trial(struct fixture *fixture)
{
	fixture->n_crashed = 2;
	CU_ASSERT(advance(fixture, 2) == DISPATCH_PENDING);
	fixture->trial_wait = 0;
	CU_ASSERT_EQUAL(fixture->dispatch.trial_due,
			clock_now(&fixture->clock) + MSEC(200));
	advance(fixture, 200);
}

/* Guards against a request that crashes servers again with the next sending of
 * its caller, as the first one did not suffice for a ban. */
static void test_trial_after_crashes(void)
{
	struct fixture fixture;

	lose_two_servers(&fixture, 3);
	CU_ASSERT_EQUAL(fixture.dispatch.outcome, DISPATCH_PENDING);
	wait_for_trial(&fixture);
	CU_ASSERT_EQUAL(fixture.n_sent, 3);
	CU_ASSERT_STRING_EQUAL(fixture.sent[2]->why, "trial");
	CU_ASSERT(fixture.dispatch.trial_part != NULL);
	CU_ASSERT(deliver_answer(&fixture, 2, ERR_LOST, false, "") ==
		  DISPATCH_FAILED);
	CU_ASSERT_EQUAL(fixture.dispatch.code, ERR_LOST);
	CU_ASSERT_EQUAL(fixture.n_sent, 3);
	fixture_finish(&fixture);
}

/* Guards against a failure of what only ran beside a request that crashes
 * servers. */
static void test_trial_after_crashes_is_answered(void)
{
	struct fixture fixture;

	lose_two_servers(&fixture, 3);
	wait_for_trial(&fixture);
	CU_ASSERT(deliver_answer(&fixture, 2, 0, false, "c") ==
		  DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

/* The same for a request to shards: the parts that were lost are sent again. */
static void test_trial_of_shards_after_crashes(void)
{
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	fixture.safe = false;
	fixture.may_be_tried = true;
	start_dispatch(&fixture, "/shards/");
	for (i = 0; i < 3; i++)
		deliver_answer(&fixture, i, ERR_LOST, false, "");
	fixture.n_crashed = 3;
	CU_ASSERT(advance(&fixture, 2) == DISPATCH_PENDING);
	CU_ASSERT_EQUAL(fixture.n_sent, 4);
	deliver_answer(&fixture, 3, ERR_LOST, false, "");
	CU_ASSERT(advance(&fixture, 2) == DISPATCH_PENDING);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 5);
	CU_ASSERT_STRING_EQUAL(service_of(&fixture, 4), "s0");
	CU_ASSERT(deliver_answer(&fixture, 4, 0, false, "a") ==
		  DISPATCH_PENDING);
	advance(&fixture, 0);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 8);
	for (i = 5; i < 8; i++) {
		CU_ASSERT_STRING_EQUAL(fixture.sent[i]->why, "retry");
		deliver_answer(&fixture, i, 0, false, (char[]){'a' + i, 0});
	}
	CU_ASSERT_EQUAL(fixture.dispatch.outcome, DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

/* Guards against a wait for what is known not to come: another server, a
 * verdict, or a trial that is another instance's. */
static void test_no_trial_after_crashes(void)
{
	struct fixture fixture;

	lose_two_servers(&fixture, 2);
	CU_ASSERT_EQUAL(fixture.dispatch.outcome, DISPATCH_FAILED);
	fixture_finish(&fixture);

	lose_two_servers(&fixture, 3);
	CU_ASSERT(advance(&fixture, 248) == DISPATCH_PENDING);
	CU_ASSERT(advance(&fixture, 2) == DISPATCH_FAILED);
	fixture_finish(&fixture);

	lose_two_servers(&fixture, 3);
	fixture.may_be_tried = false;
	fixture.n_crashed = 2;
	CU_ASSERT(advance(&fixture, 2) == DISPATCH_FAILED);
	fixture_finish(&fixture);

	lose_two_servers(&fixture, 3);
	fixture.n_crashed = 2;
	fixture.trial_wait = MSEC(5000);
	CU_ASSERT(advance(&fixture, 2) == DISPATCH_FAILED);
	fixture_finish(&fixture);

	lose_two_servers(&fixture, 3);
	fixture.living = fixture.sent[1];
	CU_ASSERT(advance(&fixture, 2) == DISPATCH_FAILED);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	fixture_finish(&fixture);
}

/* Guards against a repeat of what must run at most once. */
static void test_no_trial_of_run_once(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.safe = false;
	fixture.may_be_tried = true;
	fixture.n_crashed = 2;
	start_dispatch(&fixture, "/once/");
	CU_ASSERT(deliver_answer(&fixture, 0, ERR_LOST, false, "") ==
		  DISPATCH_FAILED);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	fixture_finish(&fixture);
}

static const struct unit_test tests[] = {
	{"one server first", test_one_server_first},
	{"lost trial ends the request", test_lost_trial_ends_the_request},
	{"refused trial goes elsewhere", test_refused_trial_goes_elsewhere},
	{"trial without its service", test_trial_without_its_service},
	{"banned trial ends", test_banned_trial_ends},
	{"trial after crashes", test_trial_after_crashes},
	{"trial after crashes is answered",
	 test_trial_after_crashes_is_answered},
	{"trial of shards after crashes", test_trial_of_shards_after_crashes},
	{"no trial after crashes", test_no_trial_after_crashes},
	{"no trial of what runs once", test_no_trial_of_run_once},
};

UNIT_MAIN("dispatch_trial", tests)
