/* Runs of one gateway on one server, on a paused clock without network. */
#include <string.h>

#include "crash_watch.h"
#include "error.h"
#include "mem.h"
#include "unit.h"
#include "upstream.h"

#define HASH 101
#define OTHER_HASH 202
#define DEADLINE MSEC(2000)

struct fixture {
	struct clock clock;
	struct poison poison;
	struct crash_watch watch;
	struct registry_server *server;
	struct watched_run *run;
	int64_t wake_at;
	int probe_error;
	int n_probes;
};

static int on_probe(void *arg, struct registry_server *server)
{
	struct fixture *f = arg;

	(void)server;
	f->n_probes++;
	return f->probe_error;
}

static void on_wake(void *arg, int64_t at)
{
	struct fixture *f = arg;

	if (at < f->wake_at)
		f->wake_at = at;
}

static const struct crash_watch_ops ops = {
	.probe = on_probe,
	.wake = on_wake,
};

static struct registry_server *new_server(const char *id)
{
	struct registry_server *server =
		registry_server_ref(mem_zalloc(sizeof(*server)));

	str_copy(server->entry.id, sizeof(server->entry.id), str_from(id));
	return server;
}

static struct watched_run *begin_on(struct fixture *f,
				    struct registry_server *server,
				    uint64_t fingerprint, int64_t deadline)
{
	const struct upstream_request request = {.fingerprint = fingerprint};
	struct watched_run *run = NULL;

	crash_watch_begin(&f->watch, server, &request, deadline, &run);
	return run;
}

static struct watched_run *begin(struct fixture *f, uint64_t fingerprint,
				 int64_t deadline)
{
	return begin_on(f, f->server, fingerprint, deadline);
}

static int begin_trial(struct fixture *f, uint64_t fingerprint,
		       struct watched_run **out)
{
	const struct upstream_request request = {
		.fingerprint = fingerprint,
		.trial = POISON_ON_TRIAL,
	};

	return crash_watch_begin(&f->watch, f->server, &request, INT64_MAX,
				 out);
}

static void setup(struct fixture *f)
{
	static const struct poison_tunables tunables = {
		.max_entries = 64,
		.suspect_ttl = MSEC(60000),
		.ban_ttl = MSEC(600000),
	};

	memset(f, 0, sizeof(*f));
	clock_init_paused(&f->clock, MSEC(1000));
	poison_init(&f->poison, &f->clock, NULL, NULL);
	poison_set_tunables(&f->poison, &tunables);
	f->poison.no_canaries = true;
	crash_watch_init(&f->watch, &f->clock, &f->poison, &ops, f);
	f->wake_at = INT64_MAX;
	f->server = new_server("b1");
	crash_watch_answered(&f->watch, f->server, clock_now(&f->clock));
	f->run = begin(f, HASH, clock_now(&f->clock) + DEADLINE);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->run);
}

static void finish(struct fixture *f)
{
	crash_watch_finish(&f->watch);
	registry_server_unref(f->server);
	poison_finish(&f->poison);
}

static bool is_suspect(struct fixture *f, uint64_t hash)
{
	uint32_t retry;

	return poison_check(&f->poison, hash, &retry) == POISON_PROBATION;
}

/* Lets time pass, and the owner call back whenever it was asked to. */
static void advance(struct fixture *f, int64_t usec)
{
	int64_t until = clock_now(&f->clock) + usec;

	while (f->wake_at <= until) {
		if (f->wake_at > clock_now(&f->clock))
			clock_advance(&f->clock,
				      f->wake_at - clock_now(&f->clock));
		f->wake_at = INT64_MAX;
		crash_watch_tick(&f->watch);
	}
	clock_advance(&f->clock, until - clock_now(&f->clock));
}

/* Guards against a crash that goes unseen: the port refuses connections. */
static void test_refused_is_a_crash(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_LOST);
	advance(&f, MSEC(10));
	CU_ASSERT_EQUAL(f.n_probes, 1);
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against a crash that goes unseen: its machine is gone. */
static void test_unreached_is_a_crash(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_LOST);
	advance(&f, MSEC(10));
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_UNREACHED);
	CU_ASSERT(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against a verdict that a socket which is about to close decides. */
static void test_listening_socket_closes_later(void)
{
	static const int64_t gaps[] = {MSEC(1), MSEC(50), MSEC(2000)};
	struct fixture f;
	size_t i;

	for (i = 0; i < sizeof(gaps) / sizeof(*gaps); i++) {
		setup(&f);
		watched_run_end(f.run, RUN_LOST);
		advance(&f, MSEC(10));
		f.server->n_conns = 1;
		crash_watch_connected(&f.watch, f.server,
				      CRASH_EVIDENCE_LISTENS);
		CU_ASSERT_FALSE(is_suspect(&f, HASH));
		advance(&f, gaps[i]);
		f.server->n_conns = 0;
		crash_watch_broke(&f.watch, f.server);
		advance(&f, MSEC(200));
		CU_ASSERT_EQUAL(f.n_probes, 2);
		crash_watch_connected(&f.watch, f.server,
				      CRASH_EVIDENCE_REFUSED);
		CU_ASSERT(is_suspect(&f, HASH));
		finish(&f);
	}
}

/* Guards against a server that only closed a connection being blamed for it. */
static void test_answer_is_no_crash(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_LOST);
	advance(&f, MSEC(10));
	f.server->n_conns = 1;
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_LISTENS);
	crash_watch_answered(&f.watch, f.server, clock_now(&f.clock));
	CU_ASSERT_PTR_NULL(f.watch.servers);
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against an answer that was sent before the crash hiding it. */
static void test_earlier_answer_proves_nothing(void)
{
	struct fixture f;

	setup(&f);
	advance(&f, MSEC(5));
	watched_run_end(f.run, RUN_LOST);
	crash_watch_answered(&f.watch, f.server, clock_now(&f.clock) - MSEC(1));
	advance(&f, MSEC(10));
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against probes of a server whose open connections will tell. */
static void test_open_connection_is_awaited(void)
{
	struct fixture f;

	setup(&f);
	f.server->n_conns = 1;
	watched_run_end(f.run, RUN_LOST);
	advance(&f, MSEC(500));
	CU_ASSERT_EQUAL(f.n_probes, 0);
	f.server->n_conns = 0;
	crash_watch_broke(&f.watch, f.server);
	advance(&f, MSEC(10));
	CU_ASSERT_EQUAL(f.n_probes, 1);
	finish(&f);
}

/* Guards against a shortage of this machine being blamed on a server. */
static void test_failed_probe_is_no_crash(void)
{
	struct fixture f;

	setup(&f);
	f.probe_error = ERR_CONNECT;
	watched_run_end(f.run, RUN_LOST);
	advance(&f, MSEC(1000));
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	/* Once connections can be opened again, the crash is still seen. */
	f.probe_error = 0;
	advance(&f, MSEC(300));
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against probes without end of a server that can't be reached now. */
static void test_probes_get_rarer(void)
{
	struct fixture f;
	int i;

	setup(&f);
	watched_run_end(f.run, RUN_LOST);
	for (i = 0; i < 1000; i++) {
		int before = f.n_probes;

		advance(&f, MSEC(10));
		if (f.n_probes != before)
			crash_watch_connected(&f.watch, f.server,
					      CRASH_EVIDENCE_UNKNOWN);
	}
	CU_ASSERT(f.n_probes < 60);
	CU_ASSERT_EQUAL(f.watch.n_unjudged, 1);
	CU_ASSERT_PTR_NULL(f.watch.servers);
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	finish(&f);
}

/* Meets a server whose address accepts connections and then breaks them. */
static void accept_and_break(struct fixture *f, int64_t for_us)
{
	int64_t until = clock_now(&f->clock) + for_us;

	while (clock_now(&f->clock) < until) {
		int before = f->n_probes;

		advance(f, MSEC(1));
		if (f->n_probes == before)
			continue;
		crash_watch_connected(&f->watch, f->server,
				      CRASH_EVIDENCE_LISTENS);
		crash_watch_broke(&f->watch, f->server);
	}
}

/* Guards against a crash that goes unseen: the address accepts connections. */
static void test_accepting_address_hides_no_crash(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_LOST);
	accept_and_break(&f, MSEC(500));
	CU_ASSERT(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against requests sent to a dead server whose address accepts. */
static void test_unanswering_server_is_lost_until_it_answers(void)
{
	char health_path[] = "/health";
	struct registry_service service = {.health_path = health_path};
	struct fixture f;

	setup(&f);
	f.server->service = &service;
	watched_run_end(f.run, RUN_LOST);
	accept_and_break(&f, MSEC(500));
	CU_ASSERT(f.server->down);
	CU_ASSERT(server_score_is_lost(&f.server->score));
	watched_run_end(begin(&f, OTHER_HASH, INT64_MAX), RUN_LOST);
	CU_ASSERT_PTR_NULL(f.watch.servers);
	crash_watch_answered(&f.watch, f.server, clock_now(&f.clock));
	CU_ASSERT_FALSE(f.server->down);
	finish(&f);
}

/* Makes HASH a suspect on a server that is gone, and goes on with another. */
static void become_suspect(struct fixture *f)
{
	watched_run_end(f->run, RUN_LOST);
	crash_watch_connected(&f->watch, f->server, CRASH_EVIDENCE_REFUSED);
	registry_server_unref(f->server);
	f->server = new_server("b2");
	crash_watch_answered(&f->watch, f->server, clock_now(&f->clock));
	advance(f, MSEC(300));
	CU_ASSERT_EQUAL(poison_trial_wait(&f->poison, HASH), 0);
}

/* Guards against a question of health for each run that is given up. */
static void test_answering_server_is_not_asked(void)
{
	char health_path[] = "/health";
	struct registry_service service = {.health_path = health_path};
	struct fixture f;
	int i;

	setup(&f);
	f.server->service = &service;
	f.server->n_conns = 1;
	watched_run_end(f.run, RUN_GIVEN_UP);
	for (i = 0; i < 5; i++) {
		advance(&f, MSEC(100));
		crash_watch_answered(&f.watch, f.server, clock_now(&f.clock));
	}
	CU_ASSERT_EQUAL(f.n_probes, 0);
	advance(&f, MSEC(500));
	CU_ASSERT_EQUAL(f.n_probes, 1);
	finish(&f);
}

/* A trial on the server is refused, which is asked for its health instead. */
static void check_trial_asks_first(struct fixture *f)
{
	struct watched_run *trial;

	f->n_probes = 0;
	CU_ASSERT_EQUAL(begin_trial(f, HASH, &trial), ERR_CONNECT);
	CU_ASSERT_EQUAL(f->n_probes, 1);
	crash_watch_answered(&f->watch, f->server, clock_now(&f->clock));
	CU_ASSERT_EQUAL(begin_trial(f, HASH, &trial), 0);
	watched_run_end(trial, RUN_ANSWERED);
}

/* Guards against a suspect that is held back as nothing else is sent. */
static void test_trial_in_doubt_asks_the_server(void)
{
	char health_path[] = "/health";
	struct registry_service service = {.health_path = health_path};
	struct fixture f;

	setup(&f);
	become_suspect(&f);
	f.server->service = &service;
	crash_watch_broke(&f.watch, f.server);
	check_trial_asks_first(&f);
	finish(&f);
}

/* Guards against trials that count for nothing, on a server just started. */
static void test_trial_waits_for_a_sign_of_life(void)
{
	char health_path[] = "/health";
	struct registry_service service = {.health_path = health_path};
	struct fixture f;

	setup(&f);
	become_suspect(&f);
	f.server->service = &service;
	f.server->broke_at = 0;
	f.server->answered_at = 0;
	check_trial_asks_first(&f);
	finish(&f);
}

/* Guards against a link that resets for a moment being taken for a crash. */
static void test_few_broken_connections_are_no_crash(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_LOST);
	accept_and_break(&f, MSEC(90));
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	crash_watch_answered(&f.watch, f.server, clock_now(&f.clock));
	CU_ASSERT_PTR_NULL(f.watch.servers);
	finish(&f);
}

/* Guards against a ban because a link resets while a request is on trial. */
static void test_trial_needs_more_broken_connections(void)
{
	struct watched_run *trial;
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_ANSWERED);
	CU_ASSERT_EQUAL(begin_trial(&f, OTHER_HASH, &trial), 0);
	watched_run_end(trial, RUN_LOST);
	accept_and_break(&f, MSEC(1990));
	CU_ASSERT_FALSE(is_suspect(&f, OTHER_HASH));
	accept_and_break(&f, MSEC(300));
	CU_ASSERT(is_suspect(&f, OTHER_HASH));
	finish(&f);
}

/* Guards against trial after trial while it is unknown what the first did. */
static void test_undecided_trial_holds_back(void)
{
	static const enum run_end ends[] = {RUN_LOST, RUN_GIVEN_UP};
	struct watched_run *trial;
	struct fixture f;
	size_t i;

	for (i = 0; i < sizeof(ends) / sizeof(*ends); i++) {
		setup(&f);
		become_suspect(&f);
		CU_ASSERT_EQUAL(begin_trial(&f, HASH, &trial), 0);
		watched_run_end(trial, ends[i]);
		advance(&f, MSEC(2100));
		CU_ASSERT(poison_trial_wait(&f.poison, HASH) > 0);
		advance(&f, MSEC(4000));
		CU_ASSERT_EQUAL(poison_trial_wait(&f.poison, HASH), 0);
		finish(&f);
	}
}

/* Guards against a ban by a trial on a server that was down before it. */
static void test_no_trial_on_a_server_in_doubt(void)
{
	struct watched_run *trial;
	struct fixture f;

	setup(&f);
	become_suspect(&f);
	watched_run_end(begin(&f, OTHER_HASH, INT64_MAX), RUN_LOST);
	CU_ASSERT_EQUAL(begin_trial(&f, HASH, &trial), ERR_CONNECT);
	crash_watch_answered(&f.watch, f.server, clock_now(&f.clock));
	CU_ASSERT_EQUAL(begin_trial(&f, HASH, &trial), 0);
	watched_run_end(trial, RUN_ANSWERED);
	finish(&f);
}

/* Guards against blame for a server that was down before anything ran. */
static void test_server_never_seen_alive(void)
{
	struct fixture f;

	setup(&f);
	f.server->answered_at = 0;
	watched_run_end(f.run, RUN_LOST);
	accept_and_break(&f, MSEC(500));
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against a request being blamed that was sent to a dead server. */
static void test_run_after_the_break_is_not_blamed(void)
{
	struct watched_run *later;
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_LOST);
	advance(&f, MSEC(1));
	later = begin(&f, OTHER_HASH, INT64_MAX);
	watched_run_end(later, RUN_LOST);
	crash_watch_gone(&f.watch, f.server);
	CU_ASSERT(is_suspect(&f, HASH));
	CU_ASSERT_FALSE(is_suspect(&f, OTHER_HASH));
	finish(&f);
}

/* Guards against a crash that goes unseen: connections stay open and silent. */
static void test_silence_hides_no_crash(void)
{
	struct fixture f;

	setup(&f);
	f.server->n_conns = 1;
	advance(&f, MSEC(1000));
	watched_run_end(f.run, RUN_GIVEN_UP);
	advance(&f, MSEC(3000));
	crash_watch_gone(&f.watch, f.server);
	CU_ASSERT(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against a crash that goes unseen: the server is back at once. */
static void test_entry_gone_is_a_crash(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_LOST);
	advance(&f, MSEC(10));
	f.server->n_conns = 1;
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_LISTENS);
	advance(&f, MSEC(2000));
	crash_watch_gone(&f.watch, f.server);
	CU_ASSERT(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against requests being blamed that a leaving server cut off. */
static void test_draining_server_is_no_crash(void)
{
	struct fixture f;

	setup(&f);
	f.server->entry.draining = true;
	watched_run_end(f.run, RUN_LOST);
	CU_ASSERT_PTR_NULL(f.watch.servers);
	crash_watch_gone(&f.watch, f.server);
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against a run that ended well being blamed for a later crash. */
static void test_only_runs_at_the_crash_are_blamed(void)
{
	struct watched_run *answered;
	struct watched_run *running;
	struct fixture f;

	setup(&f);
	answered = begin(&f, OTHER_HASH, INT64_MAX);
	running = begin(&f, OTHER_HASH + 1, INT64_MAX);
	watched_run_end(answered, RUN_ANSWERED);
	watched_run_end(f.run, RUN_LOST);
	advance(&f, MSEC(10));
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT(is_suspect(&f, HASH));
	CU_ASSERT_FALSE(is_suspect(&f, OTHER_HASH));
	CU_ASSERT(is_suspect(&f, OTHER_HASH + 1));
	/* Its connection breaks a moment later: still one crash. */
	watched_run_end(running, RUN_LOST);
	advance(&f, MSEC(10));
	CU_ASSERT_PTR_NULL(f.watch.servers);
	finish(&f);
}

/* Guards against a crash that goes unseen: the run was given up before it. */
static void test_given_up_run_crashes_later(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_GIVEN_UP);
	advance(&f, MSEC(10));
	CU_ASSERT_EQUAL(f.n_probes, 1);
	f.server->n_conns = 1;
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_LISTENS);
	advance(&f, MSEC(300));
	/* What it answers before the deadline shows nothing of the run. */
	crash_watch_answered(&f.watch, f.server, clock_now(&f.clock));
	advance(&f, MSEC(900));
	f.server->n_conns = 0;
	crash_watch_broke(&f.watch, f.server);
	advance(&f, MSEC(200));
	CU_ASSERT_EQUAL(f.n_probes, 2);
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_REFUSED);
	CU_ASSERT(is_suspect(&f, HASH));
	finish(&f);
}

/* Guards against a run being blamed that its server has outlived. */
static void test_given_up_run_ends_with_its_deadline(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_GIVEN_UP);
	advance(&f, DEADLINE + MSEC(1));
	crash_watch_answered(&f.watch, f.server, clock_now(&f.clock));
	CU_ASSERT_PTR_NULL(f.watch.servers);
	finish(&f);
}

/* Guards against a network cut being blamed on what was given up. */
static void test_given_up_run_and_cut(void)
{
	struct fixture f;

	setup(&f);
	watched_run_end(f.run, RUN_GIVEN_UP);
	advance(&f, MSEC(10));
	crash_watch_connected(&f.watch, f.server, CRASH_EVIDENCE_UNREACHED);
	crash_watch_gone(&f.watch, f.server);
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	advance(&f, MSEC(60000));
	CU_ASSERT_PTR_NULL(f.watch.servers);
	CU_ASSERT_EQUAL(f.watch.n_unjudged, 0);
	finish(&f);
}

/* Two servers run the request, and the connections of both break. */
static void break_two(struct fixture *f, struct registry_server **other)
{
	struct watched_run *run;

	*other = new_server("b2");
	crash_watch_answered(&f->watch, *other, clock_now(&f->clock));
	run = begin_on(f, *other, HASH, clock_now(&f->clock) + DEADLINE);
	advance(f, MSEC(1));
	watched_run_end(f->run, RUN_LOST);
	watched_run_end(run, RUN_LOST);
}

/*
 * Guards against the next sending taking the other server of each shard, while
 * nothing shows yet that the first ones have crashed.
 */
static void test_doubt_is_reported_before_the_verdict(void)
{
	struct registry_server *other;
	struct fixture f;

	setup(&f);
	break_two(&f, &other);
	advance(&f, MSEC(24));
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	advance(&f, MSEC(1));
	CU_ASSERT(is_suspect(&f, HASH));
	CU_ASSERT(poison_trial_wait(&f.poison, HASH) > 0);
	CU_ASSERT_EQUAL(poison_n_crashed(&f.poison, HASH), 0);
	finish(&f);
	registry_server_unref(other);
}

/* Guards against doubts in a request because one server's link was reset. */
static void test_one_server_raises_no_doubt(void)
{
	struct registry_server *other;
	struct fixture f;

	setup(&f);
	break_two(&f, &other);
	advance(&f, MSEC(20));
	crash_watch_answered(&f.watch, other, clock_now(&f.clock));
	advance(&f, MSEC(100));
	CU_ASSERT_FALSE(is_suspect(&f, HASH));
	finish(&f);
	registry_server_unref(other);
}

/* Guards against doubts in what was sent to servers already down. */
static void test_no_doubt_in_later_runs(void)
{
	struct registry_server *other;
	struct watched_run *run;
	struct fixture f;

	setup(&f);
	break_two(&f, &other);
	advance(&f, MSEC(1));
	run = begin(&f, OTHER_HASH, INT64_MAX);
	watched_run_end(run, RUN_LOST);
	run = begin_on(&f, other, OTHER_HASH, INT64_MAX);
	watched_run_end(run, RUN_LOST);
	advance(&f, MSEC(40));
	CU_ASSERT_FALSE(is_suspect(&f, OTHER_HASH));
	finish(&f);
	registry_server_unref(other);
}

/* Guards against a memory that grows with the sends that are given up. */
static void test_given_up_runs_are_bounded(void)
{
	const struct watched_run *oldest;
	struct watched_run *run;
	struct fixture f;
	int n = 0;
	int i;

	setup(&f);
	for (i = 0; i < 1000; i++) {
		run = begin(&f, OTHER_HASH, INT64_MAX / 2);
		watched_run_end(run, RUN_GIVEN_UP);
	}
	for (oldest = f.run; oldest; oldest = oldest->next)
		n++;
	CU_ASSERT_EQUAL(n, 65);
	watched_run_end(f.run, RUN_ANSWERED);
	finish(&f);
}

static const struct unit_test tests[] = {
	{"refused is a crash", test_refused_is_a_crash},
	{"unreached is a crash", test_unreached_is_a_crash},
	{"listening socket closes later", test_listening_socket_closes_later},
	{"answer is no crash", test_answer_is_no_crash},
	{"earlier answer proves nothing", test_earlier_answer_proves_nothing},
	{"open connection is awaited", test_open_connection_is_awaited},
	{"failed probe is no crash", test_failed_probe_is_no_crash},
	{"probes get rarer", test_probes_get_rarer},
	{"accepting address hides no crash",
	 test_accepting_address_hides_no_crash},
	{"unanswering server is lost until it answers",
	 test_unanswering_server_is_lost_until_it_answers},
	{"answering server is not asked", test_answering_server_is_not_asked},
	{"trial in doubt asks the server", test_trial_in_doubt_asks_the_server},
	{"trial waits for a sign of life", test_trial_waits_for_a_sign_of_life},
	{"few broken connections are no crash",
	 test_few_broken_connections_are_no_crash},
	{"trial needs more broken connections",
	 test_trial_needs_more_broken_connections},
	{"undecided trial holds back", test_undecided_trial_holds_back},
	{"no trial on a server in doubt", test_no_trial_on_a_server_in_doubt},
	{"server never seen alive", test_server_never_seen_alive},
	{"run after the break is not blamed",
	 test_run_after_the_break_is_not_blamed},
	{"silence hides no crash", test_silence_hides_no_crash},
	{"entry gone is a crash", test_entry_gone_is_a_crash},
	{"draining server is no crash", test_draining_server_is_no_crash},
	{"only runs at the crash are blamed",
	 test_only_runs_at_the_crash_are_blamed},
	{"given up run crashes later", test_given_up_run_crashes_later},
	{"given up run ends with its deadline",
	 test_given_up_run_ends_with_its_deadline},
	{"given up run and cut", test_given_up_run_and_cut},
	{"doubt is reported before the verdict",
	 test_doubt_is_reported_before_the_verdict},
	{"one server raises no doubt", test_one_server_raises_no_doubt},
	{"no doubt in later runs", test_no_doubt_in_later_runs},
	{"given up runs are bounded", test_given_up_runs_are_bounded},
};

UNIT_MAIN("crash_watch", tests)
