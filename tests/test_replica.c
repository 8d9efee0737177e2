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
 * struct world - some replicas of one group
 */
struct world {
	struct clock clock;
	struct table table;
	struct policy policy;
	struct replica replicas[SERVERS_MAX];
	int n;
	int chosen[SERVERS_MAX];
};

static void load_table(struct world *world, int first, int n)
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
	if (table_init(&world->table, text, (size_t)len, 1, &err))
		abort();
}

static void set_up(struct world *world, int n)
{
	int i;

	memset(world, 0, sizeof(*world));
	log_init(LOG_LEVEL_ERROR, NULL);
	clock_init_paused(&world->clock, 1000 * (int64_t)USEC_PER_SEC);
	load_table(world, 0, n);
	policy_init(&world->policy, &world->clock, 11);
	policy_set_table(&world->policy, &world->table);
	world->n = n;
	for (i = 0; i < n; i++) {
		char name[8];

		snprintf(name, sizeof(name), "b%d", i);
		world->replicas[i] = (struct replica){
			.server = observe_server(&world->policy.observe,
						 str_from(name)),
			.weight = 100,
			.homes = {{HOME, 1}, {OTHER_HOME, 1}},
			.n_homes = 2,
		};
	}
	/* Out of the slow start of a new table. */
	clock_advance(&world->clock, 60 * (int64_t)USEC_PER_SEC);
}

static void tear_down(struct world *world)
{
	policy_finish(&world->policy);
	table_finish(&world->table);
}

static void sent(struct world *world, int i)
{
	policy_request_sent(&world->policy, world->replicas[i].server, HOME);
}

static void done(struct world *world, int i, int code, int64_t usec)
{
	struct observe_result result = {
		.code = code,
		.sent = true,
		.elapsed_us = usec,
		.latency_us = code ? 0 : usec,
	};

	policy_request_done(&world->policy, world->replicas[i].server, HOME,
			    false, &result);
}

static void ask(struct world *world, int i, int code, int64_t usec)
{
	sent(world, i);
	clock_advance(&world->clock, usec);
	done(world, i, code, usec);
}

static int choose(struct world *world)
{
	struct replica_pick pick;
	int64_t when;
	int ret = world->policy.ops->choose(&world->policy, world->replicas,
					    world->n, false, &pick, &when);

	if (ret)
		return ret;
	world->chosen[pick.replica]++;
	return pick.replica;
}

/* Choose and answer, all of them after the same time. */
static void run(struct world *world, int n, int64_t usec)
{
	memset(world->chosen, 0, sizeof(world->chosen));
	while (n--)
		ask(world, choose(world), 0, usec);
}

/* Chi-square of the choices against weights. */
static double chi_square(const struct world *world, int n)
{
	double total = 0;
	double sum = 0;
	int i;

	for (i = 0; i < world->n; i++)
		total += (double)world->replicas[i].weight;
	for (i = 0; i < world->n; i++) {
		double want = n * (double)world->replicas[i].weight / total;
		double off = world->chosen[i] - want;

		sum += off * off / want;
	}
	return sum;
}

/*
 * An operator gives one server three times the weight of the others. All are
 * equally quick, and the work is shared in that proportion: 11.3 is passed by
 * chance in 1 of 100 seeds.
 */
static void test_weights(void)
{
	struct world world;

	set_up(&world, 4);
	world.replicas[0].weight = 300;
	run(&world, 4000, 1000);
	CU_ASSERT(chi_square(&world, 4000) < 11.3);
	tear_down(&world);
}

static void test_weight_zero_is_last_resort(void)
{
	struct world world;

	set_up(&world, 2);
	world.replicas[0].weight = 0;
	run(&world, 100, 1000);
	CU_ASSERT_EQUAL(world.chosen[0], 0);
	world.replicas[1].excluded = true;
	CU_ASSERT_EQUAL(choose(&world), 0);
	world.replicas[0].excluded = true;
	CU_ASSERT_EQUAL(choose(&world), ERR_NO_REPLICA);
	tear_down(&world);
}

/*
 * A server takes ten times as long as its replica. By a random choice half of
 * the requests meet it; by observation nearly none do, and it is asked now
 * and then, so that its recovery is seen.
 */
static void test_slow_server(void)
{
	struct world world;
	int i;

	set_up(&world, 2);
	for (i = 0; i < 50; i++) {
		ask(&world, 0, 0, 4000);
		ask(&world, 1, 0, 1000);
	}
	run(&world, 200, 1000);
	CU_ASSERT(world.chosen[0] < 20);
	/* A minute later what was seen has faded. */
	clock_advance(&world.clock, 60 * (int64_t)USEC_PER_SEC);
	run(&world, 200, 1000);
	CU_ASSERT(world.chosen[0] > 60);
	tear_down(&world);
}

/*
 * A server that refuses at once has the shortest latency and never anything
 * in flight. Taken for quick, it would draw all the traffic.
 */
static void test_refusals_are_not_quick(void)
{
	struct world world;
	int i;

	set_up(&world, 2);
	for (i = 0; i < 30; i++)
		ask(&world, 1, 0, 5000);
	for (i = 0; i < 30; i++)
		ask(&world, 0, ERR_WRONG_VERSION, 50);
	memset(world.chosen, 0, sizeof(world.chosen));
	for (i = 0; i < 200; i++) {
		int chosen = choose(&world);

		ask(&world, chosen, chosen ? 0 : ERR_WRONG_VERSION,
		    chosen ? 5000 : 50);
	}
	CU_ASSERT(world.chosen[0] < 30);
	tear_down(&world);
}

/*
 * A server sheds and says when to come back. It is left alone until then, and
 * longer each time it sheds again; asked alone it is not asked either.
 */
static void test_back_off(void)
{
	struct world world;
	struct replica_pick pick;
	int64_t when = 0;
	int64_t first;

	set_up(&world, 1);
	ask(&world, 0, ERR_SHED, 100);
	CU_ASSERT_EQUAL(replica_choose(&world.policy.observe, &world.policy.rng,
				       world.replicas, 1, true, &pick, &when),
			ERR_SHED);
	first = when - clock_now(&world.clock);
	CU_ASSERT(first > 0);
	clock_advance(&world.clock, first);
	CU_ASSERT_EQUAL(choose(&world), 0);
	ask(&world, 0, ERR_SHED, 100);
	replica_choose(&world.policy.observe, &world.policy.rng, world.replicas,
		       1, true, &pick, &when);
	CU_ASSERT(when - clock_now(&world.clock) > first);
	clock_advance(&world.clock, when);
	ask(&world, 0, 0, 1000);
	CU_ASSERT_EQUAL(choose(&world), 0);
	tear_down(&world);
}

static void fail_often(struct world *world, int i)
{
	int k;

	for (k = 0; k < 10; k++)
		ask(world, i, ERR_LOST, 100);
}

/*
 * A switch fails and all servers of a group seem to. If all were ejected the
 * market would be empty, although some may still answer.
 */
static void test_ejection_cap(void)
{
	struct world world;
	int n = 0;
	int i;

	set_up(&world, 6);
	for (i = 0; i < 6; i++)
		fail_often(&world, i);
	for (i = 0; i < 6; i++)
		n += replica_ejected(world.replicas[i].server);
	CU_ASSERT_EQUAL(n, 2);
	for (i = 0; i < 100; i++)
		CU_ASSERT(choose(&world) >= 0);
	tear_down(&world);
}

/* The only replica is never ejected. */
static void test_single_server(void)
{
	struct world world;

	set_up(&world, 1);
	fail_often(&world, 0);
	CU_ASSERT_FALSE(replica_ejected(world.replicas[0].server));
	CU_ASSERT_EQUAL(choose(&world), 0);
	tear_down(&world);
}

static void wait_ejection(struct world *world, int i)
{
	int64_t left = world->replicas[i].server->ejected_until -
		       clock_now(&world->clock);

	clock_advance(&world->clock, left);
}

/*
 * An ejected server is tried by one request when its time is up. If that
 * fails it stays out for twice as long; if it is answered it comes back.
 */
static void test_readmission(void)
{
	struct world world;
	struct observe_server *server;
	int64_t first;

	set_up(&world, 2);
	server = world.replicas[0].server;
	fail_often(&world, 0);
	CU_ASSERT(replica_ejected(server));
	first = server->ejected_until - clock_now(&world.clock);
	run(&world, 50, 100);
	CU_ASSERT_EQUAL(world.chosen[0], 0);
	wait_ejection(&world, 0);
	CU_ASSERT_EQUAL(choose(&world), 0);
	CU_ASSERT_EQUAL(choose(&world), 1);
	ask(&world, 0, ERR_LOST, 100);
	CU_ASSERT(server->ejected_until - clock_now(&world.clock) > first);
	wait_ejection(&world, 0);
	CU_ASSERT_EQUAL(choose(&world), 0);
	ask(&world, 0, 0, 100);
	CU_ASSERT_FALSE(replica_ejected(server));
	tear_down(&world);
}

/*
 * The health endpoint says that a server which answers well is dead, and that
 * one which fails is in order. Neither ejects or admits anything.
 */
static void test_lying_health(void)
{
	struct world world;

	set_up(&world, 2);
	observe_set_health(world.replicas[0].server, 0);
	run(&world, 1000, 1000);
	CU_ASSERT(world.chosen[0] > 200);
	CU_ASSERT_FALSE(replica_ejected(world.replicas[0].server));
	observe_set_health(world.replicas[1].server, 1);
	fail_often(&world, 1);
	CU_ASSERT(replica_ejected(world.replicas[1].server));
	observe_set_health(world.replicas[1].server, 1);
	CU_ASSERT(replica_ejected(world.replicas[1].server));
	tear_down(&world);
}

/*
 * A restarted server has empty caches. With its full share at once each of
 * its answers would be slow; it gets a tenth, and more as it warms up.
 */
static void test_cold_server(void)
{
	struct world world;

	set_up(&world, 2);
	world.replicas[0].is_cold = true;
	run(&world, 1000, 1000);
	CU_ASSERT(world.chosen[0] < 150);
	CU_ASSERT(world.chosen[0] > 30);
	world.replicas[0].is_cold = false;
	clock_advance(&world.clock, 5 * (int64_t)USEC_PER_SEC);
	run(&world, 1000, 1000);
	CU_ASSERT(world.chosen[0] > 250);
	CU_ASSERT(world.chosen[0] < 500);
	clock_advance(&world.clock, 10 * (int64_t)USEC_PER_SEC);
	run(&world, 1000, 1000);
	CU_ASSERT(world.chosen[0] > 420);
	tear_down(&world);
}

/*
 * Connections go silent, the server does not: the path is given up, and the
 * server is neither ejected nor taken for slow.
 */
static void test_silence_is_not_the_server(void)
{
	struct world world;
	int i;

	set_up(&world, 2);
	run(&world, 100, 1000);
	for (i = 0; i < 25; i++)
		ask(&world, 0, ERR_SILENT, 200000);
	CU_ASSERT_FALSE(replica_ejected(world.replicas[0].server));
	CU_ASSERT(observe_mean(&world.policy.observe,
			       world.replicas[0].server) < 2000);
	run(&world, 1000, 1000);
	CU_ASSERT(world.chosen[0] > 400);
	tear_down(&world);
}

/* The home with more room of its share is asked, the other only if full. */
static void test_home_by_room(void)
{
	struct world world;
	struct replica *replica;
	int i;

	set_up(&world, 1);
	replica = &world.replicas[0];
	for (i = 0; i < 3; i++)
		sent(&world, 0);
	CU_ASSERT_EQUAL(replica_choose_home(&world.policy.observe,
					    &world.policy.rng, replica, 0),
			1);
	CU_ASSERT_EQUAL(replica_choose_home(&world.policy.observe,
					    &world.policy.rng, replica,
					    OTHER_HOME),
			0);
	for (i = 0; i < 3; i++)
		done(&world, 0, 0, 1000);
	tear_down(&world);
}

/* A server leaves the table while it is asked, and is forgotten later. */
static void test_forgotten_after_its_requests(void)
{
	struct world world;
	struct table next;

	set_up(&world, 2);
	sent(&world, 0);
	next = world.table;
	load_table(&world, 1, 1);
	policy_set_table(&world.policy, &world.table);
	table_finish(&next);
	done(&world, 0, 0, 1000);
	CU_ASSERT_PTR_NOT_NULL(
		observe_server(&world.policy.observe, STR("b0")));
	policy_set_table(&world.policy, &world.table);
	CU_ASSERT_PTR_NULL(observe_server(&world.policy.observe, STR("b0")));
	CU_ASSERT_PTR_NOT_NULL(
		observe_server(&world.policy.observe, STR("b1")));
	tear_down(&world);
}

static const struct unit_test tests[] = {
	{"weights are kept in proportion", test_weights},
	{"weight 0 is a last resort", test_weight_zero_is_last_resort},
	{"slow server", test_slow_server},
	{"refusals are not quick", test_refusals_are_not_quick},
	{"back-off", test_back_off},
	{"ejection has a cap", test_ejection_cap},
	{"a single server is never ejected", test_single_server},
	{"readmission", test_readmission},
	{"lying health endpoint", test_lying_health},
	{"cold server", test_cold_server},
	{"silence is not the server's", test_silence_is_not_the_server},
	{"home by room", test_home_by_room},
	{"forgotten after its requests", test_forgotten_after_its_requests},
};

UNIT_MAIN("replica", tests)
