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

static const struct unit_test tests[] = {
	{"one server first", test_one_server_first},
	{"lost trial ends the request", test_lost_trial_ends_the_request},
	{"refused trial goes elsewhere", test_refused_trial_goes_elsewhere},
	{"trial without its service", test_trial_without_its_service},
	{"banned trial ends", test_banned_trial_ends},
};

UNIT_MAIN("dispatch_trial", tests)
