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
 * A server stops while a shard's answer is due. The caller would wait for it
 * until the goal is missed; the shard's other server is asked once the answer
 * is later than most, and the first of the two counts.
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
 * Both servers of a shard stop, one after the other. When a hedge is due the
 * other one does not answer either; a moment later it does, and must be asked
 * then, for the first one may stay away for longer than the goal.
 */
static void test_hedge_when_other_is_back(void)
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
 * Callers come at twice the usual rate for half a second. All shards' answers
 * are late, since all servers have queues; with a hedge for each part the
 * queues would double, and all callers' answers be late. Hedges go out once
 * half of the parts are in, for then the others are what is late.
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
 * Both servers of a shard have no slot free at the moment and say so at once.
 * The caller waits for other shards anyway; a moment later one has a slot, and
 * the answer is whole.
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
 * A shard is lost. With enough of the others, the answer goes out shortly
 * before the goal; waiting longer would make it late for all.
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
	CU_ASSERT(world.dispatch.n_in == 3);
	world_finish(&world);
}

static void test_late_part_makes_it_enough(void)
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
 * Two of four shards are lost for good, so that three quarters cannot be
 * reached. The caller is told at once; it would otherwise wait for its timeout
 * to learn the same.
 */
static void test_hopeless_fails_at_once(void)
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

/* Connections to a service's servers were refused, several times in a row. */
static void lose_service(struct world *world, const char *name)
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
 * three. A request that is sent to the others would burden them and fail all
 * the same: the caller is told at once that nothing ran, and when to come back.
 */
static void test_lost_shards_refuse_at_once(void)
{
	struct world world;

	world_init(&world);
	lose_service(&world, "s1");
	lose_service(&world, "s2");
	clock_advance(&world.clock, MSEC(300));
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_REFUSED);
	CU_ASSERT(world.n_sent == 0);
	CU_ASSERT(world.dispatch.code == ERR_NO_REPLICA);
	CU_ASSERT(dispatch_retry_after(&world.dispatch) == 300);
	world_finish(&world);
}

/*
 * A shard is lost, as before, and callers come in a burst. Who is refused for
 * the load is told to come back when there may be room, not by the outage.
 */
static void test_refused_for_load(void)
{
	struct world world;
	struct load_limit *load;

	world_init(&world);
	lose_service(&world, "s1");
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
 * One of four shards is lost, and the route can miss one. The answer goes out
 * once the others are in; the caller does not wait for what cannot come.
 */
static void test_lost_shard_holds_nobody_up(void)
{
	struct world world;

	world_init(&world);
	lose_service(&world, "s1");
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 3);
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	CU_ASSERT(result(&world, 2, 0, false, "c") == DISPATCH_PARTIAL);
	CU_ASSERT(clock_now(&world.clock) == world.dispatch.start);
	world_finish(&world);
}

/*
 * Two shards were lost and one is back: a check finds a server that listens.
 * The next request must be sent to it, not refused by what was known before.
 */
static void test_shard_is_back(void)
{
	struct world world;

	world_init(&world);
	lose_service(&world, "s1");
	lose_service(&world, "s2");
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
 * A request that must not be repeated was sent, and its connection broke. It
 * may have run: no other server may get it, and nobody may be told that it did
 * not run.
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

/* Still under way when time is up: it may run, so that "not run" is untrue. */
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
 * Many servers crash, and their connections are refused. What never arrived is
 * no extra load, and must not use up what retries and hedges are allowed:
 * else requests fail although a server of each shard lives.
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
 * Servers refuse much. The budget of second sends is used up, and the next
 * request's part is refused too. It waits while other parts are waited for:
 * requests that come meanwhile add to the budget.
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
 * All connections that this instance may have to a shard's servers are in use.
 * One is free again in a moment; the request must not fail before it would have
 * been answered for its other parts.
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

/* The same, told by a relay: the server may be asked again. */
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
 * All servers of a service have no connection free for a while, and the relay
 * says so at once, again and again. The request must live until one has, and
 * not send more than one message to each in 5 ms.
 */
static void test_busy_for_long(void)
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

/* A stamp that is in already would make the whole answer wrong. */
static void test_same_stamp_twice(void)
{
	struct world world;

	world_init(&world);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "a");
	CU_ASSERT(world.dispatch.n_in == 1);
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
 * A relay holds back a part for a server that is cold or gets nothing any more.
 * It comes back unsent and goes to the shard's other server at once, and takes
 * neither one of the part's two attempts nor the budget of second sends.
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

static void test_unsent_for_leaving(void)
{
	test_unsent(ERR_DRAINING);
}

/*
 * All servers of a service are cold. A part is left out at once if no server
 * takes it before the answer is due, and holds nobody up; a caller of a single
 * server is told at once that its request did not run.
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

/* A part waits here for its turn: when a hedge is due it is moved, for free. */
static void test_waiting_part_is_moved(void)
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

/* What must not be repeated is moved while it surely has not run, not after. */
static void test_only_waiting_is_moved_once(void)
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

/* An error that is told at the deadline comes too late: the caller has left. */
static void test_told_before_the_deadline(void)
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

/* A deadline passes while all waits here: the caller is told it has not run. */
static void test_waiting_to_the_end_has_not_run(void)
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

/* A part that did not fit comes back unsent: no attempt and no budget is gone.
 */
static void test_unfit_part_goes_elsewhere(void)
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
	/* Both servers are asked again in a moment. */
	CU_ASSERT(pass(&world, 5) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 6);
	CU_ASSERT(part->n_maybe_run == 1);
	CU_ASSERT(part->service->budget.tokens >= before);
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"waiting part is moved", test_waiting_part_is_moved},
	{"only waiting is moved once", test_only_waiting_is_moved_once},
	{"waiting to the end has not run", test_waiting_to_the_end_has_not_run},
	{"unfit part goes elsewhere", test_unfit_part_goes_elsewhere},
	{"all parts", test_all_parts},
	{"unsent for cold", test_unsent_for_cold},
	{"unsent for leaving", test_unsent_for_leaving},
	{"all cold", test_all_cold},
	{"hedge", test_hedge},
	{"hedge when the other is back", test_hedge_when_other_is_back},
	{"no hedges while all are late", test_no_hedges_while_all_are_late},
	{"shard without a free slot", test_shard_without_a_free_slot},
	{"partial at the goal", test_partial_at_goal},
	{"a late part makes it enough", test_late_part_makes_it_enough},
	{"hopeless fails at once", test_hopeless_fails_at_once},
	{"lost shards refuse at once", test_lost_shards_refuse_at_once},
	{"refused for load", test_refused_for_load},
	{"lost shard holds nobody up", test_lost_shard_holds_nobody_up},
	{"shard is back", test_shard_is_back},
	{"once is not repeated", test_once_is_not_repeated},
	{"once goes on if not run", test_once_goes_on_if_not_run},
	{"time-out while under way", test_timeout_under_way},
	{"attempts are bounded", test_attempts_are_bounded},
	{"refused connections cost nothing",
	 test_refused_connections_cost_nothing},
	{"a retry waits for budget", test_retry_waits_for_budget},
	{"waits for a connection", test_waits_for_connection},
	{"a relay has no connection", test_relay_has_no_connection},
	{"busy for long", test_busy_for_long},
	{"a retry gives up at the goal", test_retry_gives_up_at_goal},
	{"no server", test_no_server},
	{"the same stamp twice", test_same_stamp_twice},
	{"the caller left", test_caller_left},
	{"told before the deadline", test_told_before_the_deadline},
};

UNIT_MAIN("dispatch", tests)
