#include <string.h>

#include "crash_check.h"
#include "error.h"
#include "poison.h"
#include "unit.h"

#define SERVER STR("b1")
#define HASH 101

/* One server with a suspicious run, and what its checks lead to. */
struct fixture {
	struct clock clock;
	struct poison poison;
	struct poison_run run;
	struct crash_check check;
	bool is_connected;
	int probe_error;
	int confirm_error;
	int n_probes;
	int n_confirms;
	int n_judged;
	enum crash_evidence evidence;
	int n_reports; /* to peers */
};

static bool is_connected(void *arg)
{
	return ((struct fixture *)arg)->is_connected;
}

static int on_probe(void *arg)
{
	struct fixture *f = arg;

	f->n_probes++;
	return f->probe_error;
}

static int on_confirm(void *arg)
{
	struct fixture *f = arg;

	f->n_confirms++;
	return f->confirm_error;
}

static void on_judged(void *arg, enum crash_evidence evidence)
{
	struct fixture *f = arg;

	f->n_judged++;
	f->evidence = evidence;
	if (crash_evidence_is_crash(evidence))
		poison_server_lost(&f->poison, SERVER);
}

static void on_changed(void *ctx, const struct poison_report *report)
{
	(void)report;
	((struct fixture *)ctx)->n_reports++;
}

static const struct crash_check_ops ops = {
	.is_connected = is_connected,
	.probe = on_probe,
	.confirm = on_confirm,
	.judged = on_judged,
};

static void setup(struct fixture *f)
{
	static const struct poison_tunables tunables = {
		.max_entries = 64,
		.suspect_ttl = MSEC(60000),
		.ban_ttl = MSEC(600000),
	};

	memset(f, 0, sizeof(*f));
	clock_init_paused(&f->clock, MSEC(1000));
	poison_init(&f->poison, &f->clock, on_changed, f);
	poison_set_tunables(&f->poison, &tunables);
	crash_check_init(&f->check, &f->clock, &ops, f);
	poison_begin(&f->poison, &f->run, HASH, SERVER, SERVER, false,
		     INT64_MAX);
	crash_check_start(&f->check);
}

static void finish(struct fixture *f)
{
	poison_end(&f->poison, &f->run, false);
	poison_finish(&f->poison);
}

static void advance(struct fixture *f, int64_t usec)
{
	clock_advance(&f->clock, usec);
	crash_check_tick(&f->check);
}

static bool is_suspect(struct fixture *f)
{
	uint32_t retry;

	return poison_check(&f->poison, HASH, &retry) == POISON_PROBATION;
}

/* Guards against a living server that is silent being held for crashed. */
static void test_silent_server_is_no_crash(void)
{
	struct fixture f;

	setup(&f);
	advance(&f, CRASH_CHECK_DELAY);
	CU_ASSERT_EQUAL(f.n_probes, 1);
	crash_check_probed(&f.check, CRASH_EVIDENCE_LISTENS);
	advance(&f, 20 * CRASH_CHECK_PROBE_TIMEOUT);
	CU_ASSERT_EQUAL(f.n_judged, 1);
	CU_ASSERT_FALSE(is_suspect(&f));
	CU_ASSERT_EQUAL(f.n_reports, 0);
	poison_end(&f.poison, &f.run, true);
	CU_ASSERT_FALSE(is_suspect(&f));
	finish(&f);
}

/*
 * Guards against a connection made while the probe's result is outstanding
 * being overlooked.
 */
static void test_connected_at_the_timeout_is_no_crash(void)
{
	struct fixture f;

	setup(&f);
	advance(&f, CRASH_CHECK_DELAY);
	f.is_connected = true;
	advance(&f, CRASH_CHECK_PROBE_TIMEOUT);
	CU_ASSERT_EQUAL(f.n_judged, 1);
	CU_ASSERT_FALSE(is_suspect(&f));
	CU_ASSERT_EQUAL(f.n_reports, 0);
	finish(&f);
}

/* Guards against a crash that goes unseen: its port refuses connections. */
static void test_refused_is_a_crash(void)
{
	struct fixture f;

	setup(&f);
	advance(&f, CRASH_CHECK_DELAY);
	crash_check_probed(&f.check, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT_EQUAL(f.evidence, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT(is_suspect(&f));
	CU_ASSERT_EQUAL(f.n_reports, 1);
	advance(&f, CRASH_CHECK_PROBE_TIMEOUT);
	CU_ASSERT_EQUAL(f.n_judged, 1);
	finish(&f);
}

/* Guards against a machine that is gone keeping its lost jobs waiting. */
static void test_machine_gone_is_judged_in_time(void)
{
	struct fixture f;

	setup(&f);
	advance(&f, CRASH_CHECK_DELAY);
	advance(&f, CRASH_CHECK_PROBE_TIMEOUT - 1);
	CU_ASSERT_EQUAL(f.n_judged, 0);
	advance(&f, 1);
	CU_ASSERT_EQUAL(f.n_judged, 1);
	CU_ASSERT_EQUAL(f.evidence, CRASH_EVIDENCE_NO_REPLY);
	crash_check_probed(&f.check, CRASH_EVIDENCE_LISTENS);
	CU_ASSERT_EQUAL(f.n_judged, 1);
	finish(&f);
}

static void check_without_reply(struct fixture *f)
{
	crash_check_start(&f->check);
	advance(f, CRASH_CHECK_DELAY);
	advance(f, CRASH_CHECK_PROBE_TIMEOUT);
}

/* Guards against a crash that goes unseen: its machine is gone with it. */
static void test_machine_gone_is_a_crash(void)
{
	int64_t gone_at;
	struct fixture f;

	setup(&f);
	gone_at = clock_now(&f.clock);
	while (clock_now(&f.clock) < gone_at + CRASH_CHECK_NO_REPLY_MIN) {
		CU_ASSERT_FALSE(is_suspect(&f));
		check_without_reply(&f);
	}
	CU_ASSERT_EQUAL(f.evidence, CRASH_EVIDENCE_UNREACHED);
	CU_ASSERT(is_suspect(&f));
	CU_ASSERT_EQUAL(f.n_reports, 1);
	CU_ASSERT(clock_now(&f.clock) - gone_at <
		  CRASH_CHECK_NO_REPLY_MIN + CRASH_CHECK_DELAY +
			  CRASH_CHECK_PROBE_TIMEOUT);
	finish(&f);
}

/* Guards against pauses of a living server adding up to a crash. */
static void test_full_accept_queue_is_no_crash(void)
{
	struct fixture f;
	int i;

	setup(&f);
	for (i = 0; i < 3; i++) {
		int64_t until =
			clock_now(&f.clock) + CRASH_CHECK_NO_REPLY_MIN / 2;

		while (clock_now(&f.clock) < until)
			check_without_reply(&f);
		crash_check_start(&f.check);
		advance(&f, CRASH_CHECK_DELAY);
		crash_check_probed(&f.check, CRASH_EVIDENCE_LISTENS);
		crash_check_confirmed(&f.check, true);
	}
	CU_ASSERT_EQUAL(f.evidence, CRASH_EVIDENCE_ANSWERED);
	CU_ASSERT_FALSE(is_suspect(&f));
	CU_ASSERT_EQUAL(f.n_reports, 0);
	finish(&f);
}

/* Guards against a shortage of this machine being blamed on a server. */
static void test_failed_probe_is_no_crash(void)
{
	struct fixture f;

	setup(&f);
	f.probe_error = ERR_SYSTEM;
	advance(&f, CRASH_CHECK_DELAY);
	CU_ASSERT_EQUAL(f.evidence, CRASH_EVIDENCE_UNKNOWN);
	CU_ASSERT_FALSE(is_suspect(&f));
	CU_ASSERT_EQUAL(f.n_reports, 0);
	finish(&f);
}

/* Guards against one closed connection of several being held for a crash. */
static void test_other_connection_is_no_crash(void)
{
	struct fixture f;

	setup(&f);
	f.is_connected = true;
	advance(&f, CRASH_CHECK_DELAY - 1);
	CU_ASSERT_EQUAL(f.n_judged, 0);
	/* The second connection to break joins the check that runs. */
	crash_check_start(&f.check);
	advance(&f, 1);
	CU_ASSERT_EQUAL(f.n_confirms, 1);
	advance(&f, CRASH_CHECK_CONFIRM_TIMEOUT - CRASH_CHECK_DELAY);
	CU_ASSERT_EQUAL(f.evidence, CRASH_EVIDENCE_OTHER_CONNECTION);
	CU_ASSERT_EQUAL(f.n_probes, 0);
	CU_ASSERT_FALSE(is_suspect(&f));
	f.is_connected = false;
	crash_check_start(&f.check);
	advance(&f, CRASH_CHECK_DELAY);
	CU_ASSERT_EQUAL(f.n_probes, 1);
	finish(&f);
}

/* Guards against callers who wait although the server has shown that it lives.
 */
static void test_answer_ends_the_check(void)
{
	struct fixture f;

	setup(&f);
	advance(&f, CRASH_CHECK_DELAY);
	crash_check_probed(&f.check, CRASH_EVIDENCE_LISTENS);
	CU_ASSERT_EQUAL(f.n_judged, 0);
	crash_check_confirmed(&f.check, true);
	CU_ASSERT_EQUAL(f.n_judged, 1);
	CU_ASSERT_EQUAL(f.evidence, CRASH_EVIDENCE_ANSWERED);
	CU_ASSERT_FALSE(is_suspect(&f));
	finish(&f);
}

/* Guards against a verdict that a socket which is about to close decides. */
static void test_listening_socket_closes_later(void)
{
	struct fixture f;

	setup(&f);
	advance(&f, CRASH_CHECK_DELAY);
	crash_check_probed(&f.check, CRASH_EVIDENCE_LISTENS);
	advance(&f, MSEC(10));
	crash_check_confirmed(&f.check, false);
	CU_ASSERT_EQUAL(f.n_judged, 0);
	advance(&f, CRASH_CHECK_DELAY);
	CU_ASSERT_EQUAL(f.n_probes, 2);
	crash_check_probed(&f.check, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT(is_suspect(&f));
	finish(&f);
}

/* Guards against a check without end of a server that breaks each connection.
 */
static void test_broken_confirmations_end(void)
{
	struct fixture f;
	int i;

	setup(&f);
	for (i = 0; i < 100 && !f.n_judged; i++) {
		advance(&f, CRASH_CHECK_DELAY);
		crash_check_probed(&f.check, CRASH_EVIDENCE_LISTENS);
		crash_check_confirmed(&f.check, false);
	}
	CU_ASSERT(i < 20);
	CU_ASSERT_EQUAL(f.evidence, CRASH_EVIDENCE_LISTENS);
	CU_ASSERT_FALSE(is_suspect(&f));
	finish(&f);
}

static const struct unit_test tests[] = {
	{"silent server is no crash", test_silent_server_is_no_crash},
	{"connected at the timeout is no crash",
	 test_connected_at_the_timeout_is_no_crash},
	{"refused is a crash", test_refused_is_a_crash},
	{"machine gone is judged in time", test_machine_gone_is_judged_in_time},
	{"machine gone is a crash", test_machine_gone_is_a_crash},
	{"full accept queue is no crash", test_full_accept_queue_is_no_crash},
	{"failed probe is no crash", test_failed_probe_is_no_crash},
	{"other connection is no crash", test_other_connection_is_no_crash},
	{"answer ends the check", test_answer_ends_the_check},
	{"listening socket closes later", test_listening_socket_closes_later},
	{"broken confirmations end", test_broken_confirmations_end},
};

UNIT_MAIN("crash_check", tests)
