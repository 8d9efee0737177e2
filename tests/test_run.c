#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "rng.h"
#include "run.h"
#include "unit.h"

#define SERVERS 2
#define DEADLINE_MS 400
#define NAME_SIZE 16

static const char *const server_names[SERVERS] = {"b0", "b1"};
static struct rng rng;

static uint64_t next_random(void)
{
	return rng_next(&rng);
}

/* One instance whose frames are counted. */
struct fixture {
	struct clock clock;
	struct ticket_store tickets;
	struct run_tracker runs;
	char text[TICKET_TEXT_SIZE];
	int picks;
	int sends;
	int forwards;
	int fail_send;
	uint64_t id;
	uint32_t deadline_ms;
};

struct fixture_waiter {
	struct run_waiter base;
	const struct run_tracker *runs;
	int calls;
	int code;
	uint32_t retry_after_ms;
	bool ended_by_stop;
	char server[NAME_SIZE];
};

static int fixture_pick(void *ctx, struct str service, uint16_t point,
			const struct str *tried, int n_tried,
			struct run_target *target)
{
	struct fixture *fixture = ctx;

	(void)service;
	(void)point;
	(void)tried;
	if (n_tried >= SERVERS)
		return ERR_NO_REPLICA;
	fixture->picks++;
	target->server = str_from(server_names[n_tried]);
	target->home = STR("h");
	return 0;
}

static int fixture_forward(void *ctx, uint64_t id, struct str issuer,
			   const struct run_message *request)
{
	struct fixture *fixture = ctx;

	(void)issuer;
	fixture->deadline_ms = request->deadline_ms;
	fixture->forwards++;
	fixture->id = id;
	return 0;
}

static int fixture_send(void *ctx, uint64_t id, const struct run_target *target,
			const struct run_message *request)
{
	struct fixture *fixture = ctx;

	(void)target;
	fixture->sends++;
	fixture->id = id;
	fixture->deadline_ms = request->deadline_ms;
	return fixture->fail_send-- > 0 ? ERR_UNAVAILABLE : 0;
}

static const struct run_ops fixture_ops = {
	.pick = fixture_pick,
	.forward = fixture_forward,
	.send = fixture_send,
};

static void fixture_init(struct fixture *fixture)
{
	struct ticket_limits limits = {
		.lifetime = MSEC(1000),
		.tickets_max = 100,
		.bytes_max = 1 << 20,
		.answer_reserve = 16,
	};
	uint32_t retry;

	memset(fixture, 0, sizeof(*fixture));
	rng_init(&rng, 1);
	clock_init_paused(&fixture->clock, MSEC(1));
	ticket_store_init(&fixture->tickets, &fixture->clock, STR("a"), 42,
			  next_random);
	ticket_store_set_limits(&fixture->tickets, &limits);
	run_tracker_init(&fixture->runs, &fixture->clock, &fixture->tickets,
			 &fixture_ops, fixture);
	ticket_issue(&fixture->tickets, STR("desk"), fixture->text, &retry);
}

static void fixture_finish(struct fixture *fixture)
{
	run_tracker_finish(&fixture->runs);
	ticket_store_finish(&fixture->tickets);
}

static void fixture_answered(struct run_waiter *base,
			     const struct ticket_answer *answer)
{
	struct fixture_waiter *waiter = (struct fixture_waiter *)base;

	waiter->calls++;
	waiter->code = answer->code;
	waiter->retry_after_ms = answer->retry_after_ms;
	waiter->ended_by_stop =
		run_ended_by_stop(waiter->runs, base, answer->code);
	str_copy(waiter->server, sizeof(waiter->server), base->asked.server);
}

static void fixture_accept_text(struct fixture *fixture,
				struct fixture_waiter *waiter, const char *text)
{
	struct run_message request = {
		.ticket = str_from(text),
		.service = STR("desk"),
		.key = STR("order"),
		.payload = STR("{}"),
		.deadline_ms = DEADLINE_MS,
	};

	memset(waiter, 0, sizeof(*waiter));
	waiter->base.answered = fixture_answered;
	waiter->runs = &fixture->runs;
	run_accept(&fixture->runs, &request, &waiter->base);
}

static void fixture_accept(struct fixture *fixture,
			   struct fixture_waiter *waiter)
{
	fixture_accept_text(fixture, waiter, fixture->text);
}

static void fixture_result(struct fixture *fixture, const char *from, int code)
{
	struct ticket_answer answer = {.code = code};

	run_handle_result(&fixture->runs, fixture->id, str_from(from), &answer);
}

/*
 * The first server has no free slot. The request provably has not run there, so
 * it is sent to the second one at once.
 */
static void test_next_server(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(fixture.sends, 2);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_result(&fixture, "h", 0);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(waiter.code, 0);
	fixture_finish(&fixture);
}

/*
 * The connection to the server breaks after the request was sent. It may have
 * run, so no other server gets it, and the outcome is reported as unknown.
 */
static void test_lost_after_send(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	fixture_result(&fixture, "h", ERR_LOST);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	fixture_finish(&fixture);
}

/* The same after the connection to the home breaks. */
static void test_home_lost(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	run_peer_lost(&fixture.runs, STR("other"));
	CU_ASSERT_EQUAL(waiter.calls, 0);
	run_peer_lost(&fixture.runs, STR("h"));
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	fixture_finish(&fixture);
}

/* A home that can't be reached got no byte, so the next one is tried. */
static void test_home_unreachable(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.fail_send = 1;
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(fixture.sends, 2);
	fixture_result(&fixture, "h", 0);
	CU_ASSERT_EQUAL(waiter.code, 0);
	fixture_finish(&fixture);
}

/*
 * No server accepts the request: the caller gets "not run" at once, not at the
 * deadline. A repeat with the same ticket gets the same answer and doesn't run,
 * so that retrying with a new ticket can't run the request twice.
 */
static void test_not_run_is_final(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	fixture_result(&fixture, "h", ERR_SHED);
	fixture_result(&fixture, "h", ERR_CONNECT);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_NOT_RUN);
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_NOT_RUN);
	CU_ASSERT_EQUAL(fixture.sends, 2);
	fixture_finish(&fixture);
}

/*
 * The home's answer "no slot" arrives twice, the second time after the request
 * was sent to another server. It must not be taken for the answer of that one.
 */
static void test_duplicate_result(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;
	uint64_t first;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	first = fixture.id;
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	fixture.id = first;
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(fixture.sends, 2);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_finish(&fixture);
}

/*
 * The issuer is stopped before it reads "no slot" and resumes after the
 * deadline. It must not send the request again, and reports it as not run.
 */
static void test_stopped_issuer(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	clock_advance(&fixture.clock, MSEC(30000));
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	CU_ASSERT_EQUAL(waiter.code, ERR_TOO_LATE);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_NOT_RUN);
	fixture_finish(&fixture);
}

static void fixture_advance_to(struct fixture *fixture, int64_t time)
{
	clock_advance(&fixture->clock, time - clock_now(&fixture->clock));
	run_tick(&fixture->runs);
}

/* Guards against an exit with runs open, whose callers are left in doubt. */
static void test_runs_end_before_the_exit(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	run_stop(&fixture.runs, MSEC(101), MSEC(151));
	CU_ASSERT(run_tick(&fixture.runs) <= MSEC(151));
	fixture_advance_to(&fixture, MSEC(150));
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_advance_to(&fixture, MSEC(151));
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT(waiter.ended_by_stop);
	CU_ASSERT_STRING_EQUAL(waiter.server, server_names[0]);
	fixture_finish(&fixture);
}

/* Guards against a log that blames a stop for what it did not end. */
static void test_runs_that_a_stop_does_not_end(void)
{
	static const int codes[] = {0, ERR_UNKNOWN, ERR_LOST};
	struct fixture_waiter waiter;
	struct fixture fixture;
	size_t i;

	for (i = 0; i < sizeof(codes) / sizeof(*codes); i++) {
		fixture_init(&fixture);
		fixture_accept(&fixture, &waiter);
		run_stop(&fixture.runs, MSEC(101), MSEC(151));
		fixture_result(&fixture, "h", codes[i]);
		CU_ASSERT_EQUAL(waiter.calls, 1);
		CU_ASSERT(!waiter.ended_by_stop);
		CU_ASSERT_STRING_EQUAL(waiter.server, server_names[0]);
		fixture_finish(&fixture);
	}
}

/* Guards against an order that is sent on when its issuer ends. */
static void test_no_run_at_the_end_of_a_stop(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	run_stop(&fixture.runs, MSEC(101), MSEC(151));
	fixture_advance_to(&fixture, MSEC(101));
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_NOT_RUN);
	CU_ASSERT(waiter.ended_by_stop);
	fixture_finish(&fixture);
}

/* Guards against homes that are given more time than their issuer has. */
static void test_run_during_a_stop(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	run_stop(&fixture.runs, MSEC(101), MSEC(151));
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(fixture.deadline_ms, 100);
	fixture_advance_to(&fixture, MSEC(151));
	CU_ASSERT_EQUAL(waiter.calls, 1);
	fixture_finish(&fixture);
}

/* The deadline of an attempt doesn't exceed the expiry of the ticket. */
static void test_deadline_within_lifetime(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	clock_advance(&fixture.clock, MSEC(900));
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(fixture.deadline_ms, 100);
	fixture_finish(&fixture);
}

/*
 * The home doesn't answer before the deadline, and the caller gets an unknown
 * outcome. A repeat with the same ticket gets the answer that arrives later.
 */
static void test_late_answer(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	clock_advance(&fixture.clock, MSEC(DEADLINE_MS));
	run_tick(&fixture.runs);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	fixture_result(&fixture, "h", 0);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(waiter.code, 0);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	fixture_finish(&fixture);
}

#define OTHER_TICKET "1-000000000000002b-0000000000000001-0000000000000001-b"
#define FORMER_TICKET "1-000000000000002b-0000000000000001-0000000000000001-a"

/* Guards against an issuer that has more time than who waits for it. */
static void test_forward_during_a_stop(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	run_stop(&fixture.runs, MSEC(101), MSEC(151));
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	CU_ASSERT_EQUAL(fixture.forwards, 1);
	CU_ASSERT_EQUAL(fixture.deadline_ms, 100);
	fixture_finish(&fixture);
}

/* Guards against an order that runs when its caller is told nothing of it. */
static void test_no_forward_at_the_end_of_a_stop(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	run_stop(&fixture.runs, MSEC(101), MSEC(151));
	fixture_advance_to(&fixture, MSEC(151));
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	run_tick(&fixture.runs);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(fixture.forwards, 0);
	fixture_finish(&fixture);
}

/* The issuer is gone or restarted: the outcome is unknown. */
static void test_issuer_gone(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	CU_ASSERT_EQUAL(fixture.forwards, 1);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	run_peer_lost(&fixture.runs, STR("b"));
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	fixture_accept_text(&fixture, &waiter, FORMER_TICKET);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(waiter.code, ERR_TICKET_LOST);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(fixture.sends, 0);
	fixture_finish(&fixture);
}

/*
 * An answer from an instance that the frame wasn't sent to is ignored. This can
 * happen after a change of connections.
 */
static void test_result_of_other_instance(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	fixture_result(&fixture, "c", 0);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_result(&fixture, "b", 0);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	fixture_finish(&fixture);
}

/*
 * Too many requests are in progress. The issuer answers "not run" for good. A
 * forwarding instance can't, as the request may arrive through another one.
 */
static void test_overload(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.runs.calls_max = 0;
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT(waiter.retry_after_ms > 0);
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(waiter.code, ERR_OVERLOAD);
	fixture.runs.calls_max = 10;
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(waiter.code, ERR_OVERLOAD);
	CU_ASSERT_EQUAL(fixture.sends, 0);
	fixture_finish(&fixture);
}

/* A caller disconnects: its request continues, and a repeat gets the answer. */
static void test_abandon(void)
{
	struct fixture_waiter waiter;
	struct fixture_waiter again;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	run_abandon(&waiter.base);
	fixture_accept(&fixture, &again);
	fixture_result(&fixture, "h", 0);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	CU_ASSERT_EQUAL(again.calls, 1);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	run_abandon(&waiter.base);
	fixture_result(&fixture, "b", 0);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_finish(&fixture);
}

/* An unknown error code never means "not run". */
static void test_outcome(void)
{
	CU_ASSERT_EQUAL(run_outcome(-9999), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(7), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_LOST), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_SILENT), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_PROTOCOL), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_FOREIGN), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_UNAVAILABLE), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_CANCELLED), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_SHED), RUN_NOT_RUN);
}

/*
 * A server that is leaving answers with 200 and also says that it is leaving.
 * Taken for a refusal, the request would be sent to another server and run
 * twice.
 */
static void test_reply(void)
{
	static const int proofs[] = {404, 409, 429, 503};
	static const int others[] = {201, 204, 304, 401, 413,
				     499, 500, 502, 504, 999};
	size_t i;

	CU_ASSERT_EQUAL(run_reply_error(200, ERR_DRAINING, true), 0);
	for (i = 0; i < sizeof(proofs) / sizeof(*proofs); i++)
		CU_ASSERT_EQUAL(run_outcome(
					run_reply_error(proofs[i], 0, true)),
				RUN_NOT_RUN);
	for (i = 0; i < sizeof(others) / sizeof(*others); i++)
		CU_ASSERT_EQUAL(run_outcome(run_reply_error(others[i],
							    ERR_TOO_LATE,
							    true)),
				RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(run_reply_error(400, 0, true)),
			RUN_REFUSED);
	CU_ASSERT_EQUAL(run_outcome(run_reply_error(0, ERR_CONNECT, false)),
			RUN_NOT_RUN);
	CU_ASSERT_EQUAL(run_outcome(run_reply_error(0, ERR_CONNECT, true)),
			RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(run_reply_error(0, ERR_LOST, true)),
			RUN_UNKNOWN);
}

static const struct unit_test tests[] = {
	{"next server after a refusal", test_next_server},
	{"connection lost after sending", test_lost_after_send},
	{"connection to home lost", test_home_lost},
	{"home unreachable", test_home_unreachable},
	{"not run is final", test_not_run_is_final},
	{"duplicate result", test_duplicate_result},
	{"issuer stopped past the deadline", test_stopped_issuer},
	{"deadline within lifetime", test_deadline_within_lifetime},
	{"late answer", test_late_answer},
	{"issuer gone", test_issuer_gone},
	{"result from another instance", test_result_of_other_instance},
	{"too many requests", test_overload},
	{"caller disconnects", test_abandon},
	{"outcome of error codes", test_outcome},
	{"outcome of HTTP replies", test_reply},
	{"runs end before the exit", test_runs_end_before_the_exit},
	{"no run at the end of a stop", test_no_run_at_the_end_of_a_stop},
	{"run during a stop", test_run_during_a_stop},
	{"forward during a stop", test_forward_during_a_stop},
	{"no forward at the end of a stop",
	 test_no_forward_at_the_end_of_a_stop},
	{"runs that a stop does not end", test_runs_that_a_stop_does_not_end},
};

UNIT_MAIN("run", tests)
