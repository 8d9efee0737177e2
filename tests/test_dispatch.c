#include "dispatch_world.h"

static void test_all_parts(void)
{
	struct world world;

	world_init(&world);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	CU_ASSERT(result(&world, 0, 0, false, "a") == DISPATCH_PENDING);
	CU_ASSERT(result(&world, 1, 0, false, "b") == DISPATCH_PENDING);
	CU_ASSERT(result(&world, 2, 0, false, "c") == DISPATCH_PENDING);
	CU_ASSERT(result(&world, 3, 0, false, "d") == DISPATCH_COMPLETE);
	CU_ASSERT(world.dispatch.records.n == 3);
	world_finish(&world);
}

/*
 * A server hangs before it answers. Without a hedge to the shard's other server
 * the request misses its goal. The first of the two answers is accepted.
 */
static void test_hedge(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	result(&world, 2, 0, false, "c");
	CU_ASSERT(pass(&world, 10) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	CU_ASSERT(pass(&world, 15) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(world.sent[4]->server != world.sent[3]->server);
	CU_ASSERT(world.sent[4]->part == world.sent[3]->part);
	CU_ASSERT(result(&world, 4, 0, false, "d") == DISPATCH_COMPLETE);
	CU_ASSERT(world.n_abandoned == 1);
	world_finish(&world);
}

/*
 * Both servers of a shard hang in turn. When the hedge is due, the other server
 * does not respond either. It must be hedged to as soon as it recovers, as the
 * first one may hang for longer than the goal.
 */
static void test_hedge_when_other_recovers(void)
{
	struct world world;
	struct registry_server *other;

	world_init(&world);
	start(&world, "/any/");
	other = registry_find(
		&world.registry,
		str_eq_text(str_from(world.sent[0]->server->entry.id), "s0-0")
			? STR("s0-1")
			: STR("s0-0"));
	other->score.avoid_until = clock_now(&world.clock) + MSEC(40);
	CU_ASSERT(pass(&world, 25) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 1);
	CU_ASSERT(dispatch_due(&world.dispatch) <=
		  clock_now(&world.clock) + MSEC(5));
	CU_ASSERT(pass(&world, 16) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 2);
	CU_ASSERT(world.sent[1]->server == other);
	world_finish(&world);
}

/*
 * During a burst, twice the usual rate for half a second, all servers have
 * queues and all parts are late. Hedging each part would double the load and
 * make all answers late. Hedges start once half of the parts are answered.
 */
static void test_no_hedges_while_all_are_late(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/shards/");
	CU_ASSERT(pass(&world, 50) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	result(&world, 0, 0, false, "a");
	CU_ASSERT(pass(&world, 5) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	result(&world, 1, 0, false, "b");
	CU_ASSERT(dispatch_due(&world.dispatch) <=
		  clock_now(&world.clock) + MSEC(5));
	CU_ASSERT(pass(&world, 5) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 6);
	world_finish(&world);
}

/*
 * Both servers of a shard refuse a part for lack of a free slot. It must be
 * retried while the other parts are pending, or the answer would be partial
 * although a slot is free a moment later.
 */
static void test_shard_without_a_free_slot(void)
{
	struct world world;
	int first = 3;

	world_init(&world);
	start(&world, "/shards/");
	CU_ASSERT(result(&world, first, ERR_SHED, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(result(&world, 4, ERR_SHED, true, "") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(pass(&world, 5) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 6);
	CU_ASSERT(world.sent[5]->part == &world.dispatch.parts[3]);
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	result(&world, 2, 0, false, "c");
	CU_ASSERT(result(&world, 5, 0, false, "d") == DISPATCH_COMPLETE);
	world_finish(&world);
}

/*
 * A shard does not answer. Once the others reach coverage_min, the partial
 * answer must be sent shortly before the goal rather than miss it.
 */
static void test_partial_at_goal(void)
{
	struct world world;
	int i;

	world_init(&world);
	start(&world, "/shards/");
	for (i = 0; i < 3; i++)
		result(&world, i, 0, false, i == 0 ? "a" : i == 1 ? "b" : "c");
	CU_ASSERT(pass(&world, 85) == DISPATCH_PENDING);
	CU_ASSERT(dispatch_due(&world.dispatch) ==
		  clock_now(&world.clock) + MSEC(5));
	CU_ASSERT(pass(&world, 5) == DISPATCH_PARTIAL);
	CU_ASSERT(world.dispatch.n_answered == 3);
	world_finish(&world);
}

static void test_late_part_reaches_coverage(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	CU_ASSERT(pass(&world, 300) == DISPATCH_PENDING);
	CU_ASSERT(result(&world, 2, 0, false, "c") == DISPATCH_PARTIAL);
	world_finish(&world);
}

/*
 * Two of four shards fail, so that a coverage of three quarters cannot be
 * reached. The request must fail at once, not at the caller's timeout.
 */
static void test_unreachable_coverage_fails_at_once(void)
{
	struct world world;
	enum dispatch_outcome outcome = DISPATCH_PENDING;
	int i;

	world_init(&world);
	start(&world, "/shards/");
	for (i = 0; i < world.n_sent && !outcome; i++) {
		if (world.sent[i]->part - world.dispatch.parts < 2)
			outcome = result(&world, i, ERR_LOST, false, "");
	}
	CU_ASSERT(outcome == DISPATCH_FAILED);
	CU_ASSERT(clock_now(&world.clock) == world.dispatch.start);
	world_finish(&world);
}

/* Has connections to all servers of a service fail several times in a row. */
static void make_unreachable(struct world *world, const char *name)
{
	struct registry_service *service =
		registry_service(&world->registry, str_from(name));
	int64_t now = clock_now(&world->clock);
	int i;
	int j;

	for (i = 0; i < service->n; i++) {
		for (j = 0; j < 3; j++) {
			server_score_sent(&service->servers[i]->score, now);
			server_score_result(&service->servers[i]->score,
					    SERVER_UNREACHABLE, 0, now);
		}
	}
}

/*
 * All servers of two of four shards crashed 300 ms ago, and the route needs
 * three. Sending the other parts would only load their servers, so the request
 * must be refused at once, with a time to retry.
 */
static void test_lost_shards_refuse_at_once(void)
{
	struct world world;

	world_init(&world);
	make_unreachable(&world, "s1");
	make_unreachable(&world, "s2");
	clock_advance(&world.clock, MSEC(300));
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_REFUSED);
	CU_ASSERT(world.n_sent == 0);
	CU_ASSERT(world.dispatch.code == ERR_NO_REPLICA);
	CU_ASSERT(dispatch_retry_after(&world.dispatch) == 300);
	world_finish(&world);
}

/*
 * A shard is unreachable during a burst. The retry time of a request refused
 * for overload must not depend on the outage.
 */
static void test_refused_for_load(void)
{
	struct world world;
	struct load_limit *load;

	world_init(&world);
	make_unreachable(&world, "s1");
	clock_advance(&world.clock, MSEC(3000));
	load = &registry_service(&world.registry, STR("s0"))->load;
	load_limit_count_request(load, 0, 1, clock_now(&world.clock));
	load_limit_admit_always(load, 0, 2, clock_now(&world.clock));
	load->limit = 2;
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_REFUSED);
	CU_ASSERT(world.n_sent == 0);
	CU_ASSERT(world.dispatch.code == ERR_OVERLOAD);
	CU_ASSERT(dispatch_retry_after(&world.dispatch) == 100);
	CU_ASSERT(load->open == 2);
	world_finish(&world);
}

/*
 * One of four shards is unreachable, and the route needs three. The partial
 * answer must be sent as soon as the others have answered.
 */
static void test_lost_shard_does_not_delay(void)
{
	struct world world;

	world_init(&world);
	make_unreachable(&world, "s1");
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 3);
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	CU_ASSERT(result(&world, 2, 0, false, "c") == DISPATCH_PARTIAL);
	CU_ASSERT(clock_now(&world.clock) == world.dispatch.start);
	world_finish(&world);
}

/*
 * Two shards were unreachable, and a check reaches a server of one of them. The
 * next request must be sent, not refused for the earlier outage.
 */
static void test_shard_recovers(void)
{
	struct world world;

	world_init(&world);
	make_unreachable(&world, "s1");
	make_unreachable(&world, "s2");
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_REFUSED);
	dispatch_finish(&world.dispatch);
	outage_tick(&world.outage);
	CU_ASSERT(world.n_checks == 4);
	outage_check_done(&world.outage, world.check, true);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 3);
	world_finish(&world);
}

/*
 * The connection of a non-idempotent request breaks. As it may have run, it
 * must neither be sent to another server nor be reported as not run.
 */
static void test_once_is_not_repeated(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/once/");
	CU_ASSERT(pass(&world, 200) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 1);
	CU_ASSERT(result(&world, 0, ERR_LOST, false, "") == DISPATCH_FAILED);
	CU_ASSERT(world.n_sent == 1);
	world_finish(&world);
}

static void test_once_goes_on_if_not_run(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/once/");
	CU_ASSERT(result(&world, 0, ERR_SHED, true, "") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 2);
	CU_ASSERT(result(&world, 1, ERR_SHED, true, "") == DISPATCH_REFUSED);
	world_finish(&world);
}

/* A request in flight at its deadline may run: it must not be "not run". */
static void test_timeout_under_way(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/once/");
	CU_ASSERT(pass(&world, 1000) == DISPATCH_FAILED);
	CU_ASSERT(world.dispatch.code == ERR_TOO_LATE);
	world_finish(&world);
}

static void test_attempts_are_bounded(void)
{
	struct world world;

	world_init(&world);
	add_server(&world, "s0", 2);
	add_server(&world, "s0", 3);
	start(&world, "/any/");
	CU_ASSERT(result(&world, 0, ERR_LOST, false, "") == DISPATCH_PENDING);
	CU_ASSERT(result(&world, 1, ERR_LOST, false, "") == DISPATCH_FAILED);
	CU_ASSERT(world.n_sent == 2);
	world_finish(&world);
}

/*
 * Many servers crash and refuse connections. Sends that reached no server must
 * not use up the budget of hedges and retries, or requests would fail although
 * each shard has a live server.
 */
static void test_refused_connections_cost_nothing(void)
{
	struct world world;
	int i;

	world_init(&world);
	world.limits.budget = (struct budget_limit){.ratio = 0.001, .burst = 0};
	for (i = 0; i < 20; i++) {
		world.n_sent = 0;
		CU_ASSERT(start(&world, "/any/") == DISPATCH_PENDING);
		result(&world, 0, ERR_CONNECT, true, "");
		CU_ASSERT(world.n_sent == 2);
		CU_ASSERT(result(&world, 1, 0, false, "x") ==
			  DISPATCH_COMPLETE);
		dispatch_finish(&world.dispatch);
	}
	start(&world, "/any/");
	world_finish(&world);
}

/*
 * Refusals have used up the budget of hedges and retries when another part is
 * refused. It must be retried before the soft deadline, as new requests add to
 * the budget.
 */
static void test_retry_waits_for_budget(void)
{
	struct world world;
	struct registry_service *service;

	world_init(&world);
	world.limits.budget.burst = 0;
	start(&world, "/any/");
	service = registry_service(&world.registry, STR("s0"));
	CU_ASSERT(result(&world, 0, ERR_SHED, true, "") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 1);
	budget_count_needed(&service->budget, &world.limits.budget, 20,
			    clock_now(&world.clock));
	CU_ASSERT(dispatch_due(&world.dispatch) <=
		  clock_now(&world.clock) + MSEC(5));
	CU_ASSERT(pass(&world, 5) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 2);
	world_finish(&world);
}

/*
 * All connections that this instance may have to a service's servers are in
 * use. One is free again soon, so the request must not fail before its soft
 * deadline.
 */
static void test_waits_for_connection(void)
{
	struct world world;

	world_init(&world);
	world.refuse = ERR_BUDGET;
	CU_ASSERT(start(&world, "/any/") == DISPATCH_PENDING);
	CU_ASSERT(pass(&world, 5) == DISPATCH_PENDING);
	world.refuse = 0;
	CU_ASSERT(pass(&world, 5) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 1);
	CU_ASSERT(result(&world, 0, 0, false, "x") == DISPATCH_COMPLETE);
	world_finish(&world);
}

/* The same, reported by a relay: the server may be tried again. */
static void test_relay_has_no_connection(void)
{
	struct world world;
	int i;

	world_init(&world);
	world.limits.budget = (struct budget_limit){.ratio = 0, .burst = 0};
	start(&world, "/any/");
	for (i = 0; i < 3; i++) {
		CU_ASSERT(result(&world, i, ERR_BUDGET, true, "") ==
			  DISPATCH_PENDING);
		pass(&world, 5);
		CU_ASSERT(world.n_sent == i + 2);
	}
	CU_ASSERT(result(&world, 3, 0, false, "x") == DISPATCH_COMPLETE);
	world_finish(&world);
}

/*
 * For a while no server of a service has a free connection, as a relay reports
 * again and again. The request must wait for one, without sending more than one
 * message to each server in 5 ms.
 */
static void test_long_busy_servers(void)
{
	struct world world;
	int ended = 0;
	int ms;

	world_init(&world);
	start(&world, "/any/");
	for (ms = 0; ms < 60; ms++) {
		while (ended < world.n_sent)
			CU_ASSERT(result(&world, ended++, ERR_BUDGET, true,
					 "") == DISPATCH_PENDING);
		pass(&world, 1);
	}
	CU_ASSERT(world.n_sent >= 12);
	CU_ASSERT(world.n_sent <= 26);
	pass(&world, 5);
	CU_ASSERT(result(&world, world.n_sent - 1, 0, false, "x") ==
		  DISPATCH_COMPLETE);
	world_finish(&world);
}

static void test_retry_gives_up_at_goal(void)
{
	struct world world;
	enum dispatch_outcome outcome = DISPATCH_PENDING;
	int i;

	world_init(&world);
	world.limits.budget = (struct budget_limit){.ratio = 0, .burst = 0};
	start(&world, "/any/");
	result(&world, 0, ERR_SHED, true, "");
	for (i = 0; i < 18 && !outcome; i++)
		outcome = pass(&world, 5);
	CU_ASSERT(outcome == DISPATCH_REFUSED);
	CU_ASSERT(world.n_sent == 1);
	world_finish(&world);
}

static void test_no_server(void)
{
	struct world world;

	world_init(&world);
	registry_remove(&world.registry, STR("s0-0"), 2);
	registry_remove(&world.registry, STR("s0-1"), 2);
	CU_ASSERT(start(&world, "/any/") == DISPATCH_REFUSED);
	CU_ASSERT(world.dispatch.code == ERR_NO_REPLICA);
	world_finish(&world);
}

/* Merging the same answer twice would make the result wrong. */
static void test_duplicate_stamp(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "a");
	CU_ASSERT(world.dispatch.n_answered == 1);
	world_finish(&world);
}

static void test_caller_left(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	dispatch_cancel(&world.dispatch);
	CU_ASSERT(world.dispatch.outcome == DISPATCH_CANCELLED);
	CU_ASSERT(world.n_abandoned == 3);
	world_finish(&world);
}

/*
 * A relay returns a part unsent, as its server is cold or draining. The part
 * must go to the shard's other server at once, and use up neither one of its
 * two attempts nor the budget.
 */
static void test_unsent(int code)
{
	struct world world;
	double tokens;

	world_init(&world);
	start(&world, "/shards/");
	tokens = world.sent[3]->part->service->budget.tokens;
	CU_ASSERT(result(&world, 3, code, true, "") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(world.sent[4]->part == world.sent[3]->part);
	CU_ASSERT(world.sent[4]->server != world.sent[3]->server);
	CU_ASSERT(world.sent[3]->part->n_maybe_run == 1);
	CU_ASSERT(world.sent[3]->part->service->budget.tokens >= tokens);
	world_finish(&world);
}

static void test_unsent_for_cold(void)
{
	test_unsent(ERR_COLD);
}

static void test_unsent_for_draining(void)
{
	test_unsent(ERR_DRAINING);
}

/*
 * All servers of a service are cold. A part that none accepts before the soft
 * deadline must not delay the answer, and a caller of a single server must get
 * the error at once.
 */
static void test_all_cold(void)
{
	struct world world;

	world_init(&world);
	world.refuse = ERR_COLD;
	CU_ASSERT(start(&world, "/any/") == DISPATCH_REFUSED);
	CU_ASSERT(world.dispatch.code == ERR_COLD);
	world_finish(&world);

	world_init(&world);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	result(&world, 2, 0, false, "c");
	world.refuse = ERR_COLD;
	CU_ASSERT(result(&world, 3, ERR_COLD, true, "") == DISPATCH_PARTIAL);
	world_finish(&world);
}

/* A queued part is moved when a hedge is due, without using up the budget. */
static void test_queued_part_is_moved(void)
{
	struct budget *budget;
	struct world world;
	double before;

	world_init(&world);
	start(&world, "/shards/");
	world.waits = world.sent[3];
	budget = &world.sent[3]->part->service->budget;
	before = budget->tokens;
	CU_ASSERT(pass(&world, 25) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(world.n_abandoned == 1);
	CU_ASSERT(world.sent[4]->server != world.sent[3]->server);
	CU_ASSERT(world.sent[4]->part->n_maybe_run == 1);
	CU_ASSERT(budget->tokens >= before);
	CU_ASSERT(world.dispatch.n_extra == 0);
	world_finish(&world);
}

/* A non-idempotent request is moved only while it certainly has not run. */
static void test_once_moves_only_while_queued(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/once/");
	world.waits = world.sent[0];
	CU_ASSERT(dispatch_due(&world.dispatch) <=
		  clock_now(&world.clock) + MSEC(20));
	CU_ASSERT(pass(&world, 25) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 2);
	world.waits = NULL;
	CU_ASSERT(pass(&world, 50) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 2);
	world_finish(&world);
}

/* An error sent at the deadline is too late: the caller has disconnected. */
static void test_error_before_deadline(void)
{
	struct world world;
	int64_t due;

	world_init(&world);
	start(&world, "/shards/");
	while (!dispatch_tick(&world.dispatch) &&
	       clock_now(&world.clock) < world.dispatch.deadline) {
		due = dispatch_due(&world.dispatch);
		if (due > clock_now(&world.clock))
			clock_advance(&world.clock,
				      due - clock_now(&world.clock));
		else
			clock_advance(&world.clock, MSEC(1));
	}
	CU_ASSERT(world.dispatch.outcome == DISPATCH_FAILED);
	CU_ASSERT(clock_now(&world.clock) < world.dispatch.deadline);
	world_finish(&world);
}

/* A request that is still queued at its deadline is reported as not run. */
static void test_queued_until_deadline_has_not_run(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/once/");
	world.waits = world.sent[0];
	world.refuse = ERR_DRAINING;
	CU_ASSERT(pass(&world, 1000) == DISPATCH_REFUSED);
	CU_ASSERT(world.n_abandoned == 1);
	world_finish(&world);
}

/* A part returned for overload uses up neither an attempt nor the budget. */
static void test_overloaded_part_goes_elsewhere(void)
{
	struct dispatch_part *part;
	struct world world;
	double before;

	world_init(&world);
	start(&world, "/shards/");
	part = world.sent[3]->part;
	before = part->service->budget.tokens;
	CU_ASSERT(result(&world, 3, ERR_OVERLOAD, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(world.sent[4]->part == part);
	CU_ASSERT(result(&world, 4, ERR_OVERLOAD, true, "") ==
		  DISPATCH_PENDING);
	/* Both servers are tried again after the retry delay. */
	CU_ASSERT(pass(&world, 5) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 6);
	CU_ASSERT(part->n_maybe_run == 1);
	CU_ASSERT(part->service->budget.tokens >= before);
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"waiting part is moved", test_queued_part_is_moved},
	{"only waiting is moved once", test_once_moves_only_while_queued},
	{"waiting to the end has not run",
	 test_queued_until_deadline_has_not_run},
	{"unfit part goes elsewhere", test_overloaded_part_goes_elsewhere},
	{"all parts", test_all_parts},
	{"unsent for cold", test_unsent_for_cold},
	{"unsent for leaving", test_unsent_for_draining},
	{"all cold", test_all_cold},
	{"hedge", test_hedge},
	{"hedge when the other is back", test_hedge_when_other_recovers},
	{"no hedges while all are late", test_no_hedges_while_all_are_late},
	{"shard without a free slot", test_shard_without_a_free_slot},
	{"partial at the goal", test_partial_at_goal},
	{"a late part makes it enough", test_late_part_reaches_coverage},
	{"hopeless fails at once", test_unreachable_coverage_fails_at_once},
	{"lost shards refuse at once", test_lost_shards_refuse_at_once},
	{"refused for load", test_refused_for_load},
	{"lost shard holds nobody up", test_lost_shard_does_not_delay},
	{"shard is back", test_shard_recovers},
	{"once is not repeated", test_once_is_not_repeated},
	{"once goes on if not run", test_once_goes_on_if_not_run},
	{"time-out while under way", test_timeout_under_way},
	{"attempts are bounded", test_attempts_are_bounded},
	{"refused connections cost nothing",
	 test_refused_connections_cost_nothing},
	{"a retry waits for budget", test_retry_waits_for_budget},
	{"waits for a connection", test_waits_for_connection},
	{"a relay has no connection", test_relay_has_no_connection},
	{"busy for long", test_long_busy_servers},
	{"a retry gives up at the goal", test_retry_gives_up_at_goal},
	{"no server", test_no_server},
	{"the same stamp twice", test_duplicate_stamp},
	{"the caller left", test_caller_left},
	{"told before the deadline", test_error_before_deadline},
};

UNIT_MAIN("dispatch", tests)
