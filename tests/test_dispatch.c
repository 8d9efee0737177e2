#include "dispatch_fixture.h"

static void test_all_parts(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 4);
	CU_ASSERT(deliver_answer(&fixture, 0, 0, false, "a") ==
		  DISPATCH_PENDING);
	CU_ASSERT(deliver_answer(&fixture, 1, 0, false, "b") ==
		  DISPATCH_PENDING);
	CU_ASSERT(deliver_answer(&fixture, 2, 0, false, "c") ==
		  DISPATCH_PENDING);
	CU_ASSERT(deliver_answer(&fixture, 3, 0, false, "d") ==
		  DISPATCH_COMPLETE);
	CU_ASSERT(fixture.dispatch.records.n == 3);
	fixture_finish(&fixture);
}

/*
 * A server hangs before it answers. Without a hedge to the shard's other server
 * the request misses its goal. The first of the two answers is accepted.
 */
static void test_hedge(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "b");
	deliver_answer(&fixture, 2, 0, false, "c");
	CU_ASSERT(advance(&fixture, 10) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 4);
	CU_ASSERT(advance(&fixture, 15) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	CU_ASSERT(fixture.sent[4]->server != fixture.sent[3]->server);
	CU_ASSERT(fixture.sent[4]->part == fixture.sent[3]->part);
	CU_ASSERT(deliver_answer(&fixture, 4, 0, false, "d") ==
		  DISPATCH_COMPLETE);
	CU_ASSERT(fixture.n_abandoned == 1);
	fixture_finish(&fixture);
}

/*
 * Both servers of a shard hang in turn. When the hedge is due, the other server
 * does not respond either. It must be hedged to as soon as it recovers, as the
 * first one may hang for longer than the goal.
 */
static void test_hedge_when_other_recovers(void)
{
	struct fixture fixture;
	struct registry_server *other;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/any/");
	other = registry_find(
		&fixture.registry,
		str_eq_text(str_from(fixture.sent[0]->server->entry.id), "s0-0")
			? STR("s0-1")
			: STR("s0-0"));
	other->score.avoid_until = clock_now(&fixture.clock) + MSEC(40);
	CU_ASSERT(advance(&fixture, 25) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 1);
	CU_ASSERT(dispatch_due(&fixture.dispatch) <=
		  clock_now(&fixture.clock) + MSEC(5));
	CU_ASSERT(advance(&fixture, 16) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 2);
	CU_ASSERT(fixture.sent[1]->server == other);
	fixture_finish(&fixture);
}

/*
 * During a burst, twice the usual rate for half a second, all servers have
 * queues and all parts are late. Hedging each part would double the load and
 * make all answers late. Hedges start once half of the parts are answered.
 */
static void test_no_hedges_while_all_are_late(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	CU_ASSERT(advance(&fixture, 50) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 4);
	deliver_answer(&fixture, 0, 0, false, "a");
	CU_ASSERT(advance(&fixture, 5) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 4);
	deliver_answer(&fixture, 1, 0, false, "b");
	CU_ASSERT(dispatch_due(&fixture.dispatch) <=
		  clock_now(&fixture.clock) + MSEC(5));
	CU_ASSERT(advance(&fixture, 5) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 6);
	fixture_finish(&fixture);
}

/*
 * Both servers of a shard refuse a part for lack of a free slot. It must be
 * retried while the other parts are pending, or the answer would be partial
 * although a slot is free a moment later.
 */
static void test_shard_without_a_free_slot(void)
{
	struct fixture fixture;
	int first = 3;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	CU_ASSERT(deliver_answer(&fixture, first, ERR_SHED, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	CU_ASSERT(deliver_answer(&fixture, 4, ERR_SHED, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	CU_ASSERT(advance(&fixture, 5) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 6);
	CU_ASSERT(fixture.sent[5]->part == &fixture.dispatch.parts[3]);
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "b");
	deliver_answer(&fixture, 2, 0, false, "c");
	CU_ASSERT(deliver_answer(&fixture, 5, 0, false, "d") ==
		  DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

/*
 * A shard does not answer. Once the others reach coverage_min, the partial
 * answer must be sent shortly before the goal rather than miss it.
 */
static void test_partial_at_goal(void)
{
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	for (i = 0; i < 3; i++)
		deliver_answer(&fixture, i, 0, false,
			       i == 0	? "a"
			       : i == 1 ? "b"
					: "c");
	CU_ASSERT(advance(&fixture, 85) == DISPATCH_PENDING);
	CU_ASSERT(dispatch_due(&fixture.dispatch) ==
		  clock_now(&fixture.clock) + MSEC(5));
	CU_ASSERT(advance(&fixture, 5) == DISPATCH_PARTIAL);
	CU_ASSERT(fixture.dispatch.n_answered == 3);
	fixture_finish(&fixture);
}

static void test_late_part_reaches_coverage(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "b");
	CU_ASSERT(advance(&fixture, 300) == DISPATCH_PENDING);
	CU_ASSERT(deliver_answer(&fixture, 2, 0, false, "c") ==
		  DISPATCH_PARTIAL);
	fixture_finish(&fixture);
}

/*
 * Two of four shards fail, so that a coverage of three quarters cannot be
 * reached. The request must fail at once, not at the caller's timeout.
 */
static void test_unreachable_coverage_fails_at_once(void)
{
	struct fixture fixture;
	enum dispatch_outcome outcome = DISPATCH_PENDING;
	int i;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	for (i = 0; i < fixture.n_sent && !outcome; i++) {
		if (fixture.sent[i]->part - fixture.dispatch.parts < 2)
			outcome = deliver_answer(&fixture, i, ERR_LOST, false,
						 "");
	}
	CU_ASSERT(outcome == DISPATCH_FAILED);
	CU_ASSERT(clock_now(&fixture.clock) == fixture.dispatch.start);
	fixture_finish(&fixture);
}

/* Has connections to all servers of a service fail several times in a row. */
static void make_unreachable(struct fixture *fixture, const char *name)
{
	struct registry_service *service =
		registry_service(&fixture->registry, str_from(name));
	int64_t now = clock_now(&fixture->clock);
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
	struct fixture fixture;

	fixture_init(&fixture);
	make_unreachable(&fixture, "s1");
	make_unreachable(&fixture, "s2");
	clock_advance(&fixture.clock, MSEC(300));
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_REFUSED);
	CU_ASSERT(fixture.n_sent == 0);
	CU_ASSERT(fixture.dispatch.code == ERR_NO_REPLICA);
	CU_ASSERT(dispatch_retry_after(&fixture.dispatch) == 300);
	fixture_finish(&fixture);
}

/*
 * A shard is unreachable during a burst. The retry time of a request refused
 * for overload must not depend on the outage.
 */
static void test_refused_for_load(void)
{
	struct fixture fixture;
	struct load_limit *load;

	fixture_init(&fixture);
	make_unreachable(&fixture, "s1");
	clock_advance(&fixture.clock, MSEC(3000));
	load = &registry_service(&fixture.registry, STR("s0"))->load;
	load_limit_count_request(load, 0, 1, clock_now(&fixture.clock));
	load_limit_admit_always(load, 0, 2, clock_now(&fixture.clock));
	load->limit = 2;
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_REFUSED);
	CU_ASSERT(fixture.n_sent == 0);
	CU_ASSERT(fixture.dispatch.code == ERR_OVERLOAD);
	CU_ASSERT(dispatch_retry_after(&fixture.dispatch) == 100);
	CU_ASSERT(load->in_progress == 2);
	fixture_finish(&fixture);
}

/*
 * One of four shards is unreachable, and the route needs three. The partial
 * answer must be sent as soon as the others have answered.
 */
static void test_lost_shard_does_not_delay(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	make_unreachable(&fixture, "s1");
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 3);
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "b");
	CU_ASSERT(deliver_answer(&fixture, 2, 0, false, "c") ==
		  DISPATCH_PARTIAL);
	CU_ASSERT(clock_now(&fixture.clock) == fixture.dispatch.start);
	fixture_finish(&fixture);
}

/*
 * Two shards were unreachable, and a check reaches a server of one of them. The
 * next request must be sent, not refused for the earlier outage.
 */
static void test_shard_recovers(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	make_unreachable(&fixture, "s1");
	make_unreachable(&fixture, "s2");
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_REFUSED);
	dispatch_finish(&fixture.dispatch);
	outage_tick(&fixture.outage);
	CU_ASSERT(fixture.n_checks == 4);
	outage_check_done(&fixture.outage, fixture.outage_check, true);
	CU_ASSERT(start_dispatch(&fixture, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 3);
	fixture_finish(&fixture);
}

/*
 * The connection of a non-idempotent request breaks. As it may have run, it
 * must neither be sent to another server nor be reported as not run.
 */
static void test_once_is_not_repeated(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/once/");
	CU_ASSERT(advance(&fixture, 200) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 1);
	CU_ASSERT(deliver_answer(&fixture, 0, ERR_LOST, false, "") ==
		  DISPATCH_FAILED);
	CU_ASSERT(fixture.n_sent == 1);
	fixture_finish(&fixture);
}

static void test_once_goes_on_if_not_run(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/once/");
	CU_ASSERT(deliver_answer(&fixture, 0, ERR_SHED, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 2);
	CU_ASSERT(deliver_answer(&fixture, 1, ERR_SHED, true, "") ==
		  DISPATCH_REFUSED);
	fixture_finish(&fixture);
}

/* A request in flight at its deadline may run: it must not be "not run". */
static void test_timeout_under_way(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/once/");
	CU_ASSERT(advance(&fixture, 1000) == DISPATCH_FAILED);
	CU_ASSERT(fixture.dispatch.code == ERR_TOO_LATE);
	fixture_finish(&fixture);
}

/* Guards against a caller who leaves before the goal and gets nothing. */
static void test_partial_at_the_deadline(void)
{
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	fixture.dispatch.deadline = clock_now(&fixture.clock) + MSEC(50);
	for (i = 0; i < 3; i++)
		deliver_answer(&fixture, i, 0, false,
			       i == 0	? "a"
			       : i == 1 ? "b"
					: "c");
	CU_ASSERT(advance(&fixture, 50) == DISPATCH_PARTIAL);
	fixture_finish(&fixture);
}

/* Guards against requests that know nothing of the end of the process. */
static void test_limited_time_under_way(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/once/");
	dispatch_limit_time(&fixture.dispatch,
			    clock_now(&fixture.clock) + MSEC(300));
	CU_ASSERT(advance(&fixture, 290) == DISPATCH_PENDING);
	CU_ASSERT(advance(&fixture, 10) == DISPATCH_FAILED);
	CU_ASSERT(fixture.dispatch.code == ERR_LEAVING);
	fixture_finish(&fixture);
}

static void test_limited_time_in_the_queue(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/once/");
	fixture.queued_send = fixture.sent[0];
	fixture.send_error = ERR_DRAINING;
	dispatch_limit_time(&fixture.dispatch,
			    clock_now(&fixture.clock) + MSEC(300));
	CU_ASSERT(advance(&fixture, 300) == DISPATCH_REFUSED);
	CU_ASSERT(fixture.dispatch.code == ERR_LEAVING);
	fixture_finish(&fixture);
}

/* A later end than the caller's is none. */
static void test_limited_time_after_the_deadline(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/once/");
	dispatch_limit_time(&fixture.dispatch,
			    clock_now(&fixture.clock) + MSEC(5000));
	CU_ASSERT(advance(&fixture, 1000) == DISPATCH_FAILED);
	CU_ASSERT(fixture.dispatch.code == ERR_TOO_LATE);
	fixture_finish(&fixture);
}

static void test_limited_time_brings_the_partial_answer(void)
{
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	dispatch_limit_time(&fixture.dispatch,
			    clock_now(&fixture.clock) + MSEC(50));
	for (i = 0; i < 3; i++)
		deliver_answer(&fixture, i, 0, false,
			       i == 0	? "a"
			       : i == 1 ? "b"
					: "c");
	CU_ASSERT(advance(&fixture, 50) == DISPATCH_PARTIAL);
	fixture_finish(&fixture);
}

static void test_attempts_are_bounded(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	add_server(&fixture, "s0", 2);
	add_server(&fixture, "s0", 3);
	start_dispatch(&fixture, "/any/");
	CU_ASSERT(deliver_answer(&fixture, 0, ERR_LOST, false, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(deliver_answer(&fixture, 1, ERR_LOST, false, "") ==
		  DISPATCH_FAILED);
	CU_ASSERT(fixture.n_sent == 2);
	fixture_finish(&fixture);
}

/*
 * Many servers crash and refuse connections. Sends that reached no server must
 * not use up the budget of hedges and retries, or requests would fail although
 * each shard has a live server.
 */
static void test_refused_connections_cost_nothing(void)
{
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	fixture.limits.budget =
		(struct budget_limit){.ratio = 0.001, .burst = 0};
	for (i = 0; i < 20; i++) {
		fixture.n_sent = 0;
		CU_ASSERT(start_dispatch(&fixture, "/any/") ==
			  DISPATCH_PENDING);
		deliver_answer(&fixture, 0, ERR_CONNECT, true, "");
		CU_ASSERT(fixture.n_sent == 2);
		CU_ASSERT(deliver_answer(&fixture, 1, 0, false, "x") ==
			  DISPATCH_COMPLETE);
		dispatch_finish(&fixture.dispatch);
	}
	start_dispatch(&fixture, "/any/");
	fixture_finish(&fixture);
}

/*
 * Refusals have used up the budget of hedges and retries when another part is
 * refused. It must be retried before the soft deadline, as new requests add to
 * the budget.
 */
static void test_retry_waits_for_budget(void)
{
	struct fixture fixture;
	struct registry_service *service;

	fixture_init(&fixture);
	fixture.limits.budget.burst = 0;
	start_dispatch(&fixture, "/any/");
	service = registry_service(&fixture.registry, STR("s0"));
	CU_ASSERT(deliver_answer(&fixture, 0, ERR_SHED, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 1);
	budget_count_needed(&service->budget, &fixture.limits.budget, 20,
			    clock_now(&fixture.clock));
	CU_ASSERT(dispatch_due(&fixture.dispatch) <=
		  clock_now(&fixture.clock) + MSEC(5));
	CU_ASSERT(advance(&fixture, 5) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 2);
	fixture_finish(&fixture);
}

/*
 * All connections that this instance may have to a service's servers are in
 * use. One is free again soon, so the request must not fail before its soft
 * deadline.
 */
static void test_waits_for_connection(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.send_error = ERR_BUDGET;
	CU_ASSERT(start_dispatch(&fixture, "/any/") == DISPATCH_PENDING);
	CU_ASSERT(advance(&fixture, 5) == DISPATCH_PENDING);
	fixture.send_error = 0;
	CU_ASSERT(advance(&fixture, 5) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 1);
	CU_ASSERT(deliver_answer(&fixture, 0, 0, false, "x") ==
		  DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

/* The same, reported by a relay: the server may be tried again. */
static void test_relay_has_no_connection(void)
{
	struct fixture fixture;
	int i;

	fixture_init(&fixture);
	fixture.limits.budget = (struct budget_limit){.ratio = 0, .burst = 0};
	start_dispatch(&fixture, "/any/");
	for (i = 0; i < 3; i++) {
		CU_ASSERT(deliver_answer(&fixture, i, ERR_BUDGET, true, "") ==
			  DISPATCH_PENDING);
		advance(&fixture, 5);
		CU_ASSERT(fixture.n_sent == i + 2);
	}
	CU_ASSERT(deliver_answer(&fixture, 3, 0, false, "x") ==
		  DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

/*
 * For a while no server of a service has a free connection, as a relay reports
 * again and again. The request must wait for one, without sending more than one
 * message to each server in 5 ms.
 */
static void test_long_busy_servers(void)
{
	struct fixture fixture;
	int ended = 0;
	int ms;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/any/");
	for (ms = 0; ms < 60; ms++) {
		while (ended < fixture.n_sent)
			CU_ASSERT(deliver_answer(&fixture, ended++, ERR_BUDGET,
						 true, "") == DISPATCH_PENDING);
		advance(&fixture, 1);
	}
	CU_ASSERT(fixture.n_sent >= 12);
	CU_ASSERT(fixture.n_sent <= 26);
	advance(&fixture, 5);
	CU_ASSERT(deliver_answer(&fixture, fixture.n_sent - 1, 0, false, "x") ==
		  DISPATCH_COMPLETE);
	fixture_finish(&fixture);
}

static void test_retry_gives_up_at_goal(void)
{
	struct fixture fixture;
	enum dispatch_outcome outcome = DISPATCH_PENDING;
	int i;

	fixture_init(&fixture);
	fixture.limits.budget = (struct budget_limit){.ratio = 0, .burst = 0};
	start_dispatch(&fixture, "/any/");
	deliver_answer(&fixture, 0, ERR_SHED, true, "");
	for (i = 0; i < 18 && !outcome; i++)
		outcome = advance(&fixture, 5);
	CU_ASSERT(outcome == DISPATCH_REFUSED);
	CU_ASSERT(fixture.n_sent == 1);
	fixture_finish(&fixture);
}

static void test_no_server(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	registry_remove(&fixture.registry, STR("s0-0"), 2);
	registry_remove(&fixture.registry, STR("s0-1"), 2);
	CU_ASSERT(start_dispatch(&fixture, "/any/") == DISPATCH_REFUSED);
	CU_ASSERT(fixture.dispatch.code == ERR_NO_REPLICA);
	fixture_finish(&fixture);
}

/* Merging the same answer twice would make the result wrong. */
static void test_duplicate_stamp(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "a");
	CU_ASSERT(fixture.dispatch.n_answered == 1);
	fixture_finish(&fixture);
}

static void test_caller_left(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	deliver_answer(&fixture, 0, 0, false, "a");
	dispatch_cancel(&fixture.dispatch);
	CU_ASSERT(fixture.dispatch.outcome == DISPATCH_CANCELLED);
	CU_ASSERT(fixture.n_abandoned == 3);
	fixture_finish(&fixture);
}

/*
 * A relay returns a part unsent, as its server is cold or draining. The part
 * must go to the shard's other server at once, and use up neither one of its
 * two attempts nor the budget.
 */
static void test_unsent(int code)
{
	struct fixture fixture;
	double tokens;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	tokens = fixture.sent[3]->part->service->budget.tokens;
	CU_ASSERT(deliver_answer(&fixture, 3, code, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	CU_ASSERT(fixture.sent[4]->part == fixture.sent[3]->part);
	CU_ASSERT(fixture.sent[4]->server != fixture.sent[3]->server);
	CU_ASSERT(fixture.sent[3]->part->n_maybe_run == 1);
	CU_ASSERT(fixture.sent[3]->part->service->budget.tokens >= tokens);
	fixture_finish(&fixture);
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
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.send_error = ERR_COLD;
	CU_ASSERT(start_dispatch(&fixture, "/any/") == DISPATCH_REFUSED);
	CU_ASSERT(fixture.dispatch.code == ERR_COLD);
	fixture_finish(&fixture);

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	deliver_answer(&fixture, 0, 0, false, "a");
	deliver_answer(&fixture, 1, 0, false, "b");
	deliver_answer(&fixture, 2, 0, false, "c");
	fixture.send_error = ERR_COLD;
	CU_ASSERT(deliver_answer(&fixture, 3, ERR_COLD, true, "") ==
		  DISPATCH_PARTIAL);
	fixture_finish(&fixture);
}

/* A queued part is moved when a hedge is due, without using up the budget. */
static void test_queued_part_is_moved(void)
{
	struct budget *budget;
	struct fixture fixture;
	double before;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	fixture.queued_send = fixture.sent[3];
	budget = &fixture.sent[3]->part->service->budget;
	before = budget->tokens;
	CU_ASSERT(advance(&fixture, 25) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	CU_ASSERT(fixture.n_abandoned == 1);
	CU_ASSERT(fixture.sent[4]->server != fixture.sent[3]->server);
	CU_ASSERT(fixture.sent[4]->part->n_maybe_run == 1);
	CU_ASSERT(budget->tokens >= before);
	CU_ASSERT(fixture.dispatch.n_extra == 0);
	fixture_finish(&fixture);
}

/* A non-idempotent request is moved only while it certainly has not run. */
static void test_once_moves_only_while_queued(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/once/");
	fixture.queued_send = fixture.sent[0];
	CU_ASSERT(dispatch_due(&fixture.dispatch) <=
		  clock_now(&fixture.clock) + MSEC(20));
	CU_ASSERT(advance(&fixture, 25) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 2);
	fixture.queued_send = NULL;
	CU_ASSERT(advance(&fixture, 50) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 2);
	fixture_finish(&fixture);
}

/* An error sent at the deadline is too late: the caller has disconnected. */
static void test_error_before_deadline(void)
{
	struct fixture fixture;
	int64_t due;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	while (!dispatch_tick(&fixture.dispatch) &&
	       clock_now(&fixture.clock) < fixture.dispatch.deadline) {
		due = dispatch_due(&fixture.dispatch);
		if (due > clock_now(&fixture.clock))
			clock_advance(&fixture.clock,
				      due - clock_now(&fixture.clock));
		else
			clock_advance(&fixture.clock, MSEC(1));
	}
	CU_ASSERT(fixture.dispatch.outcome == DISPATCH_FAILED);
	CU_ASSERT(clock_now(&fixture.clock) < fixture.dispatch.deadline);
	fixture_finish(&fixture);
}

/* A request that is still queued at its deadline is reported as not run. */
static void test_queued_until_deadline_has_not_run(void)
{
	struct fixture fixture;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/once/");
	fixture.queued_send = fixture.sent[0];
	fixture.send_error = ERR_DRAINING;
	CU_ASSERT(advance(&fixture, 1000) == DISPATCH_REFUSED);
	CU_ASSERT(fixture.n_abandoned == 1);
	fixture_finish(&fixture);
}

/* A part returned for overload uses up neither an attempt nor the budget. */
static void test_overloaded_part_goes_elsewhere(void)
{
	struct dispatch_part *part;
	struct fixture fixture;
	double before;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/shards/");
	part = fixture.sent[3]->part;
	before = part->service->budget.tokens;
	CU_ASSERT(deliver_answer(&fixture, 3, ERR_OVERLOAD, true, "") ==
		  DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 5);
	CU_ASSERT(fixture.sent[4]->part == part);
	CU_ASSERT(deliver_answer(&fixture, 4, ERR_OVERLOAD, true, "") ==
		  DISPATCH_PENDING);
	/* Both servers are tried again after the retry delay. */
	CU_ASSERT(advance(&fixture, 5) == DISPATCH_PENDING);
	CU_ASSERT(fixture.n_sent == 6);
	CU_ASSERT(part->n_maybe_run == 1);
	CU_ASSERT(part->service->budget.tokens >= before);
	fixture_finish(&fixture);
}

/* Guards against forgetting the first send once its hedge is answered. */
static void test_unread_after_hedge(void)
{
	struct fixture fixture;
	const struct budget *budget;

	fixture_init(&fixture);
	fixture.keep_deliveries = true;
	start_dispatch(&fixture, "/any/");
	budget = &fixture.dispatch.parts[0].service->budget;
	CU_ASSERT(budget->unread == 0);
	advance(&fixture, 60);
	CU_ASSERT(fixture.n_sent == 2);
	CU_ASSERT(budget->unread == 1);
	CU_ASSERT(deliver_answer(&fixture, 1, 0, false, "a") ==
		  DISPATCH_COMPLETE);
	CU_ASSERT(fixture.n_abandoned == 1);
	CU_ASSERT(budget->unread == 1);
	delivery_end(fixture.deliveries[0], true);
	CU_ASSERT(budget->unread == 0);
	fixture_finish(&fixture);
}

/* Guards against second sends that stop without anybody asking why. */
static void test_refused_while_unread(void)
{
	struct fixture fixture;
	struct budget *budget;

	fixture_init(&fixture);
	fixture.limits.budget.burst = 0;
	start_dispatch(&fixture, "/any/");
	budget = &fixture.dispatch.parts[0].service->budget;
	advance(&fixture, 60);
	CU_ASSERT(fixture.n_sent == 1);
	CU_ASSERT(budget->refused > 0 && !budget->refused_unread);
	CU_ASSERT(fixture.n_unread == 0);
	budget->unread = 1;
	advance(&fixture, 10);
	CU_ASSERT(fixture.n_sent == 1);
	CU_ASSERT(fixture.n_unread > 0);
	CU_ASSERT(budget->refused_unread == (uint64_t)fixture.n_unread);
	budget->unread = 0;
	fixture_finish(&fixture);
}

/* Guards against counting a refused send as one that may still arrive. */
static void test_unread_after_refusal(void)
{
	struct fixture fixture;
	const struct budget *budget;

	fixture_init(&fixture);
	start_dispatch(&fixture, "/any/");
	budget = &fixture.dispatch.parts[0].service->budget;
	deliver_answer(&fixture, 0, ERR_SHED, true, "");
	CU_ASSERT(fixture.n_sent == 2);
	CU_ASSERT(budget->unread == 1);
	deliver_answer(&fixture, 1, 0, false, "a");
	CU_ASSERT(budget->unread == 0);
	fixture_finish(&fixture);
}

/* Guards against forgetting a send whose end showed nothing of the server. */
static void test_unread_after_silence(void)
{
	struct fixture fixture;
	struct registry_service *service;
	struct dispatch_answer silence = {.code = ERR_SILENT,
					  .delivery = DELIVERY_UNKNOWN};

	fixture_init(&fixture);
	start_dispatch(&fixture, "/any/");
	service = fixture.dispatch.parts[0].service;
	dispatch_result(&fixture.dispatch, fixture.sent[0], &silence);
	CU_ASSERT(fixture.n_sent == 2);
	CU_ASSERT(service->budget.unread == 1);
	deliver_answer(&fixture, 1, 0, false, "a");
	CU_ASSERT(service->budget.unread == 1);
	CU_ASSERT(service->unread_sends &&
		  service->unread_sends->server == fixture.sent[0]->server);
	fixture_finish(&fixture);
}

static const struct unit_test tests[] = {
	{"first send is unread after its hedge", test_unread_after_hedge},
	{"refused while others are unread", test_refused_while_unread},
	{"refused send is not unread", test_unread_after_refusal},
	{"silent send is unread", test_unread_after_silence},
	{"queued part is moved to another server", test_queued_part_is_moved},
	{"non-idempotent request moves only while queued",
	 test_once_moves_only_while_queued},
	{"request queued until its deadline has not run",
	 test_queued_until_deadline_has_not_run},
	{"part returned for overload goes elsewhere",
	 test_overloaded_part_goes_elsewhere},
	{"complete once all parts are answered", test_all_parts},
	{"part returned unsent by a cold server", test_unsent_for_cold},
	{"part returned unsent by a draining server", test_unsent_for_draining},
	{"all servers are cold", test_all_cold},
	{"hedge to the other server", test_hedge},
	{"hedge when the other server recovers",
	 test_hedge_when_other_recovers},
	{"no hedges while all parts are late",
	 test_no_hedges_while_all_are_late},
	{"shard without a free slot", test_shard_without_a_free_slot},
	{"partial answer at the goal", test_partial_at_goal},
	{"late part reaches the minimum coverage",
	 test_late_part_reaches_coverage},
	{"unreachable coverage fails at once",
	 test_unreachable_coverage_fails_at_once},
	{"request is refused at once if shards are lost",
	 test_lost_shards_refuse_at_once},
	{"retry time of an overload ignores an outage", test_refused_for_load},
	{"lost shard does not delay the answer",
	 test_lost_shard_does_not_delay},
	{"requests are sent once a shard recovers", test_shard_recovers},
	{"non-idempotent request is not repeated", test_once_is_not_repeated},
	{"non-idempotent request is retried if not run",
	 test_once_goes_on_if_not_run},
	{"request in flight at its deadline may have run",
	 test_timeout_under_way},
	{"partial answer at the deadline", test_partial_at_the_deadline},
	{"request under way when its instance ends",
	 test_limited_time_under_way},
	{"queued request when its instance ends",
	 test_limited_time_in_the_queue},
	{"instance ends after the deadline",
	 test_limited_time_after_the_deadline},
	{"partial answer when its instance ends",
	 test_limited_time_brings_the_partial_answer},
	{"attempts are bounded", test_attempts_are_bounded},
	{"refused connections do not use up the budget",
	 test_refused_connections_cost_nothing},
	{"retry waits for budget", test_retry_waits_for_budget},
	{"request waits for a free connection", test_waits_for_connection},
	{"relay has no free connection", test_relay_has_no_connection},
	{"servers have no free connection for long", test_long_busy_servers},
	{"retry gives up at the goal", test_retry_gives_up_at_goal},
	{"service has no server", test_no_server},
	{"answers with the same stamp count once", test_duplicate_stamp},
	{"caller disconnects", test_caller_left},
	{"error is sent before the deadline", test_error_before_deadline},
};

UNIT_MAIN("dispatch", tests)
