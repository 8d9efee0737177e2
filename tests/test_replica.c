#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#define LOG_MODULE "test"
#include "log.h"
#include "policy.h"
#include "unit.h"

#define SERVERS_MAX 8
#define HOME 7
#define OTHER_HOME 8
#define TEXT_SIZE 2048

/**
 * struct fixture - replicas of one group, and how often each was chosen
 */
struct fixture {
	struct clock clock;
	struct table table;
	struct policy policy;
	struct replica replicas[SERVERS_MAX];
	int n;
	int chosen[SERVERS_MAX];
};

static void load_table(struct fixture *fixture, int first, int n)
{
	char text[TEXT_SIZE];
	struct error err;
	int len;
	int i;

	len = snprintf(text, sizeof(text),
		       "{\"markets\":{\"columns\":[\"name\"],\"rows\":["
		       "[\"m\"]]},\"services\":{\"columns\":[\"name\","
		       "\"market\"],\"rows\":[[\"s\",\"m\"]]},\"servers\":{"
		       "\"columns\":[\"name\",\"service\",\"data_centre\","
		       "\"address\"],\"rows\":[");
	for (i = first; i < first + n; i++)
		len += snprintf(text + len, sizeof(text) - (size_t)len,
				"%s[\"b%d\",\"s\",\"d\",\"127.0.0.1:9000\"]",
				i > first ? "," : "", i);
	len += snprintf(text + len, sizeof(text) - (size_t)len, "]}}");
	if (table_init(&fixture->table, text, (size_t)len, 1, &err))
		abort();
}

static void set_up(struct fixture *fixture, int n)
{
	int i;

	memset(fixture, 0, sizeof(*fixture));
	log_init(LOG_LEVEL_ERROR, NULL);
	clock_init_paused(&fixture->clock, 1000 * (int64_t)USEC_PER_SEC);
	load_table(fixture, 0, n);
	policy_init(&fixture->policy, &fixture->clock, 11);
	policy_set_table(&fixture->policy, &fixture->table);
	fixture->n = n;
	for (i = 0; i < n; i++) {
		char name[8];

		snprintf(name, sizeof(name), "b%d", i);
		fixture->replicas[i] = (struct replica){
			.server = observe_server(&fixture->policy.observe,
						 str_from(name)),
			.weight = 100,
			.homes = {{HOME, 1}, {OTHER_HOME, 1}},
			.n_homes = 2,
		};
	}
	/* Skip the slow start that follows a new table. */
	clock_advance(&fixture->clock, 60 * (int64_t)USEC_PER_SEC);
}

static void tear_down(struct fixture *fixture)
{
	policy_finish(&fixture->policy);
	table_finish(&fixture->table);
}

static void send_request(struct fixture *fixture, int i)
{
	policy_request_sent(&fixture->policy, fixture->replicas[i].server,
			    HOME);
}

static void complete_request(struct fixture *fixture, int i, int code,
			     int64_t usec)
{
	struct observe_result result = {
		.code = code,
		.sent = true,
		.elapsed_us = usec,
		.latency_us = code ? 0 : usec,
	};

	policy_request_done(&fixture->policy, fixture->replicas[i].server, HOME,
			    false, &result);
}

static void send_and_complete(struct fixture *fixture, int i, int code,
			      int64_t usec)
{
	send_request(fixture, i);
	clock_advance(&fixture->clock, usec);
	complete_request(fixture, i, code, usec);
}

static int choose_replica(struct fixture *fixture)
{
	struct replica_pick pick;
	int64_t when;
	int ret =
		fixture->policy.ops->choose(&fixture->policy, fixture->replicas,
					    fixture->n, false, &pick, &when);

	if (ret)
		return ret;
	fixture->chosen[pick.replica]++;
	return pick.replica;
}

/* Chooses and completes @n requests, each of them after @usec. */
static void run_requests(struct fixture *fixture, int n, int64_t usec)
{
	memset(fixture->chosen, 0, sizeof(fixture->chosen));
	while (n--)
		send_and_complete(fixture, choose_replica(fixture), 0, usec);
}

/* Chi-square statistic of the choices against the weights. */
static double chi_square(const struct fixture *fixture, int n)
{
	double total = 0;
	double sum = 0;
	int i;

	for (i = 0; i < fixture->n; i++)
		total += (double)fixture->replicas[i].weight;
	for (i = 0; i < fixture->n; i++) {
		double expected =
			n * (double)fixture->replicas[i].weight / total;
		double diff = fixture->chosen[i] - expected;

		sum += diff * diff / expected;
	}
	return sum;
}

/*
 * One server has three times the weight of the others and all are equally
 * fast, so requests must follow the weights. Chance exceeds a chi-square of
 * 11.3 for 1 seed in 100.
 */
static void test_weights(void)
{
	struct fixture fixture;

	set_up(&fixture, 4);
	fixture.replicas[0].weight = 300;
	run_requests(&fixture, 4000, 1000);
	CU_ASSERT(chi_square(&fixture, 4000) < 11.3);
	tear_down(&fixture);
}

static void test_weight_zero_is_last_resort(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	fixture.replicas[0].weight = 0;
	run_requests(&fixture, 100, 1000);
	CU_ASSERT_EQUAL(fixture.chosen[0], 0);
	fixture.replicas[1].excluded = true;
	CU_ASSERT_EQUAL(choose_replica(&fixture), 0);
	fixture.replicas[0].excluded = true;
	CU_ASSERT_EQUAL(choose_replica(&fixture), ERR_NO_REPLICA);
	tear_down(&fixture);
}

/*
 * A server that takes four times as long as its replica gets almost no
 * requests, where a random choice would send it half of them. Its statistics
 * fade with time, so that it is tried again and its recovery is noticed.
 */
static void test_slow_server(void)
{
	struct fixture fixture;
	int i;

	set_up(&fixture, 2);
	for (i = 0; i < 50; i++) {
		send_and_complete(&fixture, 0, 0, 4000);
		send_and_complete(&fixture, 1, 0, 1000);
	}
	run_requests(&fixture, 200, 1000);
	CU_ASSERT(fixture.chosen[0] < 20);
	/* A minute later the statistics have faded. */
	clock_advance(&fixture.clock, 60 * (int64_t)USEC_PER_SEC);
	run_requests(&fixture, 200, 1000);
	CU_ASSERT(fixture.chosen[0] > 60);
	tear_down(&fixture);
}

/*
 * A server that refuses at once has the lowest latency and nothing in flight.
 * If refusals counted as fast answers, it would attract all traffic.
 */
static void test_refusals_are_not_fast(void)
{
	struct fixture fixture;
	int i;

	set_up(&fixture, 2);
	for (i = 0; i < 30; i++)
		send_and_complete(&fixture, 1, 0, 5000);
	for (i = 0; i < 30; i++)
		send_and_complete(&fixture, 0, ERR_WRONG_VERSION, 50);
	memset(fixture.chosen, 0, sizeof(fixture.chosen));
	for (i = 0; i < 200; i++) {
		int chosen = choose_replica(&fixture);

		send_and_complete(&fixture, chosen,
				  chosen ? 0 : ERR_WRONG_VERSION,
				  chosen ? 5000 : 50);
	}
	CU_ASSERT(fixture.chosen[0] < 30);
	tear_down(&fixture);
}

/*
 * A server that sheds load gets no requests until its back-off is over, not
 * even as the only replica. The back-off grows each time it sheds again.
 */
static void test_back_off(void)
{
	struct fixture fixture;
	struct replica_pick pick;
	int64_t when = 0;
	int64_t first;

	set_up(&fixture, 1);
	send_and_complete(&fixture, 0, ERR_SHED, 100);
	CU_ASSERT_EQUAL(replica_choose(&fixture.policy.observe,
				       &fixture.policy.rng, fixture.replicas, 1,
				       true, &pick, &when),
			ERR_SHED);
	first = when - clock_now(&fixture.clock);
	CU_ASSERT(first > 0);
	clock_advance(&fixture.clock, first);
	CU_ASSERT_EQUAL(choose_replica(&fixture), 0);
	send_and_complete(&fixture, 0, ERR_SHED, 100);
	replica_choose(&fixture.policy.observe, &fixture.policy.rng,
		       fixture.replicas, 1, true, &pick, &when);
	CU_ASSERT(when - clock_now(&fixture.clock) > first);
	clock_advance(&fixture.clock, when);
	send_and_complete(&fixture, 0, 0, 1000);
	CU_ASSERT_EQUAL(choose_replica(&fixture), 0);
	tear_down(&fixture);
}

static void fail_ten_requests(struct fixture *fixture, int i)
{
	int k;

	for (k = 0; k < 10; k++)
		send_and_complete(fixture, i, ERR_LOST, 100);
}

/*
 * A network switch fails, and all servers of a group seem to fail. If all were
 * ejected, none would be left, although some may still answer.
 */
static void test_ejection_cap(void)
{
	struct fixture fixture;
	int n = 0;
	int i;

	set_up(&fixture, 6);
	for (i = 0; i < 6; i++)
		fail_ten_requests(&fixture, i);
	for (i = 0; i < 6; i++)
		n += replica_ejected(fixture.replicas[i].server);
	CU_ASSERT_EQUAL(n, 2);
	for (i = 0; i < 100; i++)
		CU_ASSERT(choose_replica(&fixture) >= 0);
	tear_down(&fixture);
}

/* The only replica is never ejected. */
static void test_single_server(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	fail_ten_requests(&fixture, 0);
	CU_ASSERT_FALSE(replica_ejected(fixture.replicas[0].server));
	CU_ASSERT_EQUAL(choose_replica(&fixture), 0);
	tear_down(&fixture);
}

static void wait_ejection_end(struct fixture *fixture, int i)
{
	int64_t left = fixture->replicas[i].server->ejected_until -
		       clock_now(&fixture->clock);

	clock_advance(&fixture->clock, left);
}

/*
 * Once its ejection is over, a server is probed with one request. If that
 * fails, the next ejection is twice as long; if it succeeds, the server is
 * readmitted.
 */
static void test_readmission(void)
{
	struct fixture fixture;
	struct observe_server *server;
	int64_t first;

	set_up(&fixture, 2);
	server = fixture.replicas[0].server;
	fail_ten_requests(&fixture, 0);
	CU_ASSERT(replica_ejected(server));
	first = server->ejected_until - clock_now(&fixture.clock);
	run_requests(&fixture, 50, 100);
	CU_ASSERT_EQUAL(fixture.chosen[0], 0);
	wait_ejection_end(&fixture, 0);
	CU_ASSERT_EQUAL(choose_replica(&fixture), 0);
	CU_ASSERT_EQUAL(choose_replica(&fixture), 1);
	send_and_complete(&fixture, 0, ERR_LOST, 100);
	CU_ASSERT(server->ejected_until - clock_now(&fixture.clock) > first);
	wait_ejection_end(&fixture, 0);
	CU_ASSERT_EQUAL(choose_replica(&fixture), 0);
	send_and_complete(&fixture, 0, 0, 100);
	CU_ASSERT_FALSE(replica_ejected(server));
	tear_down(&fixture);
}

/*
 * The health endpoint reports a working server as dead and a failing one as
 * healthy. It must neither eject nor readmit a server.
 */
static void test_wrong_health(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	observe_set_health(fixture.replicas[0].server, 0);
	run_requests(&fixture, 1000, 1000);
	CU_ASSERT(fixture.chosen[0] > 200);
	CU_ASSERT_FALSE(replica_ejected(fixture.replicas[0].server));
	observe_set_health(fixture.replicas[1].server, 1);
	fail_ten_requests(&fixture, 1);
	CU_ASSERT(replica_ejected(fixture.replicas[1].server));
	observe_set_health(fixture.replicas[1].server, 1);
	CU_ASSERT(replica_ejected(fixture.replicas[1].server));
	tear_down(&fixture);
}

/*
 * A restarted server has empty caches and would answer every request slowly at
 * its full share. It starts with a tenth of it, which grows as it warms up.
 */
static void test_cold_server(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	fixture.replicas[0].is_cold = true;
	run_requests(&fixture, 1000, 1000);
	CU_ASSERT(fixture.chosen[0] < 150);
	CU_ASSERT(fixture.chosen[0] > 30);
	fixture.replicas[0].is_cold = false;
	clock_advance(&fixture.clock, 5 * (int64_t)USEC_PER_SEC);
	run_requests(&fixture, 1000, 1000);
	CU_ASSERT(fixture.chosen[0] > 250);
	CU_ASSERT(fixture.chosen[0] < 500);
	clock_advance(&fixture.clock, 10 * (int64_t)USEC_PER_SEC);
	run_requests(&fixture, 1000, 1000);
	CU_ASSERT(fixture.chosen[0] > 420);
	tear_down(&fixture);
}

/*
 * Connections stop delivering data while the server works. The failures must
 * neither eject the server nor raise its latency.
 */
static void test_silent_connections(void)
{
	struct fixture fixture;
	int i;

	set_up(&fixture, 2);
	run_requests(&fixture, 100, 1000);
	for (i = 0; i < 25; i++)
		send_and_complete(&fixture, 0, ERR_SILENT, 200000);
	CU_ASSERT_FALSE(replica_ejected(fixture.replicas[0].server));
	CU_ASSERT(observe_mean(&fixture.policy.observe,
			       fixture.replicas[0].server) < 2000);
	run_requests(&fixture, 1000, 1000);
	CU_ASSERT(fixture.chosen[0] > 400);
	tear_down(&fixture);
}

/* The home with fewer requests in flight per slot is chosen. */
static void test_home_choice(void)
{
	struct fixture fixture;
	struct replica *replica;
	int i;

	set_up(&fixture, 1);
	replica = &fixture.replicas[0];
	for (i = 0; i < 3; i++)
		send_request(&fixture, 0);
	CU_ASSERT_EQUAL(replica_choose_home(&fixture.policy.observe,
					    &fixture.policy.rng, replica, 0),
			1);
	CU_ASSERT_EQUAL(replica_choose_home(&fixture.policy.observe,
					    &fixture.policy.rng, replica,
					    OTHER_HOME),
			0);
	for (i = 0; i < 3; i++)
		complete_request(&fixture, 0, 0, 1000);
	tear_down(&fixture);
}

/*
 * A server leaves the table with a request in flight: its statistics are kept
 * until that request is over.
 */
static void test_removed_server_kept(void)
{
	struct fixture fixture;
	struct table next;

	set_up(&fixture, 2);
	send_request(&fixture, 0);
	next = fixture.table;
	load_table(&fixture, 1, 1);
	policy_set_table(&fixture.policy, &fixture.table);
	table_finish(&next);
	complete_request(&fixture, 0, 0, 1000);
	CU_ASSERT_PTR_NOT_NULL(
		observe_server(&fixture.policy.observe, STR("b0")));
	policy_set_table(&fixture.policy, &fixture.table);
	CU_ASSERT_PTR_NULL(observe_server(&fixture.policy.observe, STR("b0")));
	CU_ASSERT_PTR_NOT_NULL(
		observe_server(&fixture.policy.observe, STR("b1")));
	tear_down(&fixture);
}

static const struct unit_test tests[] = {
	{"requests follow the weights", test_weights},
	{"a server of weight 0 is a last resort",
	 test_weight_zero_is_last_resort},
	{"a slow server gets few requests", test_slow_server},
	{"refusals do not count as fast answers", test_refusals_are_not_fast},
	{"back-off", test_back_off},
	{"the number of ejected servers is capped", test_ejection_cap},
	{"a single server is never ejected", test_single_server},
	{"readmission", test_readmission},
	{"a wrong health endpoint does not eject or readmit",
	 test_wrong_health},
	{"slow start of a cold server", test_cold_server},
	{"silent connections are not held against the server",
	 test_silent_connections},
	{"choice of the home by load per slot", test_home_choice},
	{"a removed server is kept until its requests are over",
	 test_removed_server_kept},
};

UNIT_MAIN("replica", tests)
