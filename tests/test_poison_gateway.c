/* Suspects, doubts and bans as gateways use them. */
#include "poison_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"

/*
 * Guards against a ban of a popular request because servers crash of their own
 * while it runs there.
 */
static void test_popular_beside_crashes(void)
{
	struct poison_run on_crashed;
	struct poison_run on_other;
	struct fixture f;
	char server[8];
	int i;

	setup_without_canaries(&f);
	begin(&f, &on_other, HASH_A, "b0", false);
	poison_end(&f.poison, &on_other, true);
	for (i = 1; i < 20; i++) {
		snprintf(server, sizeof(server), "b%d", i);
		CU_ASSERT_EQUAL(begin(&f, &on_crashed, HASH_A, server, false),
				0);
		lose_server(&f, server);
		CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
		CU_ASSERT_EQUAL(begin(&f, &on_other, HASH_A, "b0", false), 0);
		poison_end(&f.poison, &on_other, true);
		CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_KNOWN_SAFE);
	}
	poison_finish(&f.poison);
}

/* Guards against a ban because a rack goes down under a popular request. */
static void test_popular_on_a_rack(void)
{
	struct poison_run runs[8];
	struct fixture f;
	char server[8];
	int i;

	setup_without_canaries(&f);
	begin(&f, &runs[0], HASH_A, "b0", false);
	poison_end(&f.poison, &runs[0], true);
	for (i = 0; i < 8; i++) {
		snprintf(server, sizeof(server), "b%d", i);
		begin(&f, &runs[i], HASH_A, server, false);
	}
	for (i = 0; i < 8; i++) {
		snprintf(server, sizeof(server), "b%d", i);
		lose_server(&f, server);
	}
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	poison_finish(&f.poison);
}

/* Runs on a server that crashes. */
static void run_and_lose(struct fixture *f, const char *server)
{
	struct poison_run run;

	CU_ASSERT_EQUAL(begin(f, &run, HASH_A, server, POISON_NOT_TRIED), 0);
	lose_server(f, server);
}

/*
 * Guards against a ban of a popular request that goes on to run while another
 * one crashes servers; one that crashes them itself is counted after that.
 */
static void test_popular_while_another_crashes_servers(void)
{
	struct poison_run run;
	struct fixture f;

	setup_without_canaries(&f);
	begin(&f, &run, HASH_A, "b0", false);
	poison_end(&f.poison, &run, true);
	run_and_lose(&f, "b1");
	clock_advance(&f.clock, MSEC(60));
	run_and_lose(&f, "b2");
	run_and_lose(&f, "b3");
	run_and_lose(&f, "b4");
	CU_ASSERT_EQUAL(f.last.n_servers, 0);
	clock_advance(&f.clock, MSEC(1000));
	run_and_lose(&f, "b5");
	run_and_lose(&f, "b6");
	run_and_lose(&f, "b7");
	CU_ASSERT_EQUAL(f.last.n_servers, 3);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_A, "b8", POISON_NOT_TRIED),
			ERR_BANNED);
	poison_finish(&f.poison);
}

/*
 * Guards against a ban of a popular request after a start of all instances: its
 * first runs began before any was answered.
 */
static void test_popular_answered_while_it_runs(void)
{
	static const char *const servers[] = {"b1", "b2", "b3", "b4"};
	struct poison_run runs[4];
	struct poison_run run;
	struct fixture f;
	int i;

	setup_without_canaries(&f);
	for (i = 0; i < 4; i++)
		begin(&f, &runs[i], HASH_A, servers[i], POISON_NOT_TRIED);
	begin(&f, &run, HASH_A, "b0", POISON_NOT_TRIED);
	poison_end(&f.poison, &run, true);
	for (i = 0; i < 4; i++)
		lose_server(&f, servers[i]);
	CU_ASSERT_EQUAL(f.last.n_servers, 0);
	poison_finish(&f.poison);
}

/* Guards against a popular request on trial, where a crash leads to a ban. */
static void test_uncounted_crash_needs_no_trial(void)
{
	struct poison_run run;
	struct fixture f;

	setup_without_canaries(&f);
	begin(&f, &run, HASH_A, "b0", POISON_NOT_TRIED);
	poison_end(&f.poison, &run, true);
	run_and_lose(&f, "b1");
	CU_ASSERT_EQUAL(poison_suspect_set(&f.poison, HASH_A), 0);
	clock_advance(&f.clock, MSEC(1000));
	run_and_lose(&f, "b2");
	CU_ASSERT_EQUAL(poison_suspect_set(&f.poison, HASH_A),
			str_hash(REPLICA_SET));
	poison_finish(&f.poison);
}

/*
 * Guards against a request that seems to crash servers being sent everywhere
 * again, and against one that only seems so being refused for long.
 */
static void test_doubt(void)
{
	struct poison_run run;
	struct fixture peer;
	struct fixture f;

	setup_without_canaries(&f);
	setup_without_canaries(&peer);
	poison_doubt(&f.poison, HASH_A, REPLICA_SET);
	CU_ASSERT_EQUAL(f.reports, 1);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_FALSE(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(poison_trial_wait(&peer.poison, HASH_A),
			POISON_REPORT_WAIT);
	clock_advance(&peer.clock, POISON_REPORT_WAIT);
	CU_ASSERT_EQUAL(poison_trial_wait(&peer.poison, HASH_A), 0);
	CU_ASSERT_EQUAL(poison_suspect_set(&peer.poison, HASH_A),
			str_hash(REPLICA_SET));
	begin(&peer, &run, HASH_A, "b1", POISON_ON_TRIAL);
	poison_end(&peer.poison, &run, true);
	CU_ASSERT(poison_apply_report(&f.poison, &peer.last));
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_KNOWN_SAFE);
	CU_ASSERT_EQUAL(verdict(&peer, HASH_A), POISON_KNOWN_SAFE);
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/* Guards against doubts in popular requests on servers that break. */
static void test_no_doubt_in_a_safe_request(void)
{
	struct fixture f;

	setup_without_canaries(&f);
	poison_mark_safe(&f.poison, HASH_A);
	poison_doubt(&f.poison, HASH_A, REPLICA_SET);
	CU_ASSERT_EQUAL(f.reports, 0);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_KNOWN_SAFE);
	poison_finish(&f.poison);
}

/*
 * Guards against four sendings of a request before its ban, where instances
 * that have just started can't tell what its first one did.
 */
static void test_two_trials_after_a_doubt(void)
{
	static const char *const servers[] = {"b1", "b2"};
	struct poison_run run;
	struct fixture f;
	int i;

	setup_without_canaries(&f);
	poison_doubt(&f.poison, HASH_A, REPLICA_SET);
	for (i = 0; i < 2; i++) {
		CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
		begin(&f, &run, HASH_A, servers[i], POISON_ON_TRIAL);
		lose_server(&f, servers[i]);
	}
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_BANNED);
	poison_finish(&f.poison);
}

/*
 * Guards against popular requests being held back by all instances, because one
 * that has just started doubts them.
 */
static void test_doubt_is_no_news_where_it_runs_well(void)
{
	struct fixture started;
	struct fixture f;

	setup_without_canaries(&f);
	setup_without_canaries(&started);
	poison_mark_safe(&f.poison, HASH_A);
	poison_doubt(&started.poison, HASH_A, REPLICA_SET);
	CU_ASSERT_FALSE(poison_apply_report(&f.poison, &started.last));
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_KNOWN_SAFE);
	CU_ASSERT_EQUAL(poison_trial_wait(&f.poison, HASH_A), 0);
	poison_finish(&f.poison);
	poison_finish(&started.poison);
}

/* Guards against the same once another request has crashed a server. */
static void test_no_doubt_beside_a_crash(void)
{
	struct poison_run run;
	struct fixture f;

	setup_without_canaries(&f);
	poison_mark_safe(&f.poison, HASH_A);
	begin(&f, &run, HASH_A, "b1", POISON_NOT_TRIED);
	lose_server(&f, "b1");
	clock_advance(&f.clock, MSEC(2000));
	poison_doubt(&f.poison, HASH_A, REPLICA_SET);
	CU_ASSERT_EQUAL(poison_trial_wait(&f.poison, HASH_A), 0);
	CU_ASSERT_EQUAL(poison_suspect_set(&f.poison, HASH_A), 0);
	poison_finish(&f.poison);
}

/* Guards against a doubt that hides the crash which it was about. */
static void test_doubt_then_crash(void)
{
	struct poison_run run;
	struct fixture f;

	setup_without_canaries(&f);
	begin(&f, &run, HASH_A, "b1", POISON_NOT_TRIED);
	poison_doubt(&f.poison, HASH_A, REPLICA_SET);
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(poison_n_crashed(&f.poison, HASH_A), 1);
	poison_finish(&f.poison);
}

#define MESH_SIZE 6
#define MESH_QUEUE 4096

/* A report on its way; @from: the sender, to which it isn't forwarded. */
struct mesh_message {
	int from;
	int to;
	struct poison_report report;
};

/* Instances that forward each report that changes something, as gateways do. */
struct mesh {
	struct fixture instances[MESH_SIZE];
	struct mesh_message queue[MESH_QUEUE];
	int head;
	int tail;
};

static void mesh_send(struct mesh *mesh, int from, int except,
		      const struct poison_report *report)
{
	int to;

	for (to = 0; to < MESH_SIZE; to++) {
		if (to == from || to == except || mesh->tail == MESH_QUEUE)
			continue;
		mesh->queue[mesh->tail++] = (struct mesh_message){
			.from = from,
			.to = to,
			.report = *report,
		};
	}
}

static void mesh_deliver(struct mesh *mesh, int n)
{
	while (mesh->head < mesh->tail && n--) {
		const struct mesh_message *m = &mesh->queue[mesh->head++];

		if (poison_apply_report(&mesh->instances[m->to].poison,
					&m->report))
			mesh_send(mesh, m->to, m->from, &m->report);
	}
}

/*
 * Guards against reports that follow each other through the fleet without end:
 * of a crash, and that the request was cleared meanwhile.
 */
static void test_flooding_ends(void)
{
	struct mesh *mesh = mem_zalloc(sizeof(*mesh));
	struct fixture *first = &mesh->instances[0];
	struct fixture *second = &mesh->instances[1];
	struct poison_run run;
	int i;

	for (i = 0; i < MESH_SIZE; i++)
		setup_without_canaries(&mesh->instances[i]);
	begin(first, &run, HASH_A, "b1", POISON_NOT_TRIED);
	lose_server(first, "b1");
	mesh_send(mesh, 0, 0, &first->last);
	mesh_deliver(mesh, 1);
	begin(second, &run, HASH_A, "b2", POISON_ON_TRIAL);
	poison_end(&second->poison, &run, true);
	mesh_send(mesh, 1, 1, &second->last);
	mesh_deliver(mesh, MESH_QUEUE);
	CU_ASSERT(mesh->tail < MESH_QUEUE);
	for (i = 0; i < MESH_SIZE; i++) {
		CU_ASSERT_EQUAL(verdict(&mesh->instances[i], HASH_A),
				POISON_KNOWN_SAFE);
		poison_finish(&mesh->instances[i].poison);
	}
	free(mesh);
}

/* Guards against a crash being forgotten for an earlier answer. */
static void test_older_answer_clears_no_newer_crash(void)
{
	struct poison_report cleared;
	struct poison_run run;
	struct fixture peer;
	struct fixture f;

	setup_without_canaries(&f);
	setup_without_canaries(&peer);
	run_and_lose(&f, "b1");
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	begin(&peer, &run, HASH_A, "b2", POISON_ON_TRIAL);
	poison_end(&peer.poison, &run, true);
	cleared = peer.last;
	run_and_lose(&f, "b3");
	CU_ASSERT_FALSE(poison_apply_report(&f.poison, &cleared));
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(verdict(&peer, HASH_A), POISON_PROBATION);
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/* A search and another one run on servers that crash. */
static void crash_four(struct fixture *f)
{
	static const char *const servers[] = {"b1", "b2", "b3", "b4"};
	struct poison_run runs[4][2];
	int i;

	for (i = 0; i < 4; i++) {
		CU_ASSERT_EQUAL(begin(f, &runs[i][0], HASH_A, servers[i],
				      POISON_NOT_TRIED),
				0);
		begin(f, &runs[i][1], HASH_B, servers[i], POISON_NOT_TRIED);
	}
	for (i = 0; i < 4; i++)
		lose_server(f, servers[i]);
}

/*
 * Guards against a ban of a request that ran only beside the one which crashes
 * servers; the latter loses one more server, and no second one.
 */
static void test_trial_tells_apart(void)
{
	struct poison_run run;
	struct fixture peer;
	struct fixture f;

	setup_without_canaries(&f);
	setup_without_canaries(&peer);
	crash_four(&f);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT_EQUAL(verdict(&f, HASH_B), POISON_PROBATION);
	CU_ASSERT_EQUAL(poison_suspect_set(&f.poison, HASH_A),
			str_hash(REPLICA_SET));
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_A, "b5", POISON_NOT_TRIED),
			ERR_BANNED);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_A, "b5", POISON_ON_TRIAL), 0);
	lose_server(&f, "b5");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_BANNED);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(verdict(&peer, HASH_A), POISON_BANNED);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_B, "b6", POISON_ON_TRIAL), 0);
	poison_end(&f.poison, &run, true);
	CU_ASSERT_EQUAL(verdict(&f, HASH_B), POISON_KNOWN_SAFE);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_B, "b7", POISON_NOT_TRIED), 0);
	poison_end(&f.poison, &run, true);
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/* Guards against a trial on one instance being forgotten on the others. */
static void test_trial_and_crashes_of_two_instances(void)
{
	struct poison_run run;
	struct fixture peer;
	struct fixture f;

	setup_without_canaries(&f);
	setup_without_canaries(&peer);
	begin(&peer, &run, HASH_A, "b5", POISON_ON_TRIAL);
	lose_server(&peer, "b5");
	CU_ASSERT_EQUAL(verdict(&peer, HASH_A), POISON_PROBATION);
	crash_four(&f);
	CU_ASSERT(poison_apply_report(&f.poison, &peer.last));
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_BANNED);
	CU_ASSERT_EQUAL(verdict(&f, HASH_B), POISON_PROBATION);
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/* Guards against parts that are refused after the trial of their search. */
static void test_passed_trial_runs_everywhere(void)
{
	struct poison_run run;
	struct fixture f;

	setup_without_canaries(&f);
	crash_four(&f);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_B, "b6", POISON_TRIAL_PASSED), 0);
	poison_end(&f.poison, &run, false);
	poison_finish(&f.poison);
}

/*
 * Guards against a suspect that is tried on many instances at once and crashes
 * a server on each.
 */
static void test_one_trial_at_a_time(void)
{
	int64_t deadline;
	struct fixture peer;
	struct fixture f;
	int reports;

	setup_without_canaries(&f);
	setup_without_canaries(&peer);
	crash_four(&f);
	poison_apply_report(&peer.poison, &f.last);
	CU_ASSERT_EQUAL(poison_trial_wait(&f.poison, f.last.hash),
			POISON_REPORT_WAIT);
	clock_advance(&f.clock, POISON_REPORT_WAIT);
	clock_advance(&peer.clock, POISON_REPORT_WAIT + 4);
	deadline = clock_now(&f.clock) + MSEC(2000);
	CU_ASSERT_EQUAL(poison_trial_wait(&f.poison, f.last.hash), 0);
	poison_start_trial(&f.poison, f.last.hash, deadline, 1);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(poison_trial_wait(&peer.poison, f.last.hash), MSEC(50));
	/* The same report on another way is not passed on again. */
	clock_advance(&peer.clock, MSEC(1));
	CU_ASSERT_FALSE(poison_apply_report(&peer.poison, &f.last));
	reports = f.reports;
	poison_start_trial(&f.poison, f.last.hash, deadline + MSEC(100), 2);
	CU_ASSERT_EQUAL(f.reports, reports);
	clock_advance(&f.clock, MSEC(2000));
	CU_ASSERT_EQUAL(poison_trial_wait(&f.poison, f.last.hash), 0);
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/* Guards against a server lost on each of several instances at once. */
static void test_trials_announced_at_once(void)
{
	struct poison_report own;
	struct fixture peer;
	struct fixture f;
	int64_t until;

	setup_without_canaries(&f);
	setup_without_canaries(&peer);
	crash_four(&f);
	poison_apply_report(&peer.poison, &f.last);
	until = clock_now(&f.clock) + MSEC(2000);
	CU_ASSERT(poison_start_trial(&f.poison, f.last.hash, until, 7));
	CU_ASSERT(poison_start_trial(&peer.poison, f.last.hash, until, 5));
	own = f.last;
	CU_ASSERT(poison_apply_report(&f.poison, &peer.last));
	CU_ASSERT_FALSE(poison_apply_report(&peer.poison, &own));
	CU_ASSERT_FALSE(poison_owns_trial(&f.poison, f.last.hash, 7));
	CU_ASSERT(poison_owns_trial(&peer.poison, f.last.hash, 5));
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/* Guards against a suspect that is held back for what its trial did when that
 * is known: its next trial is another sending of its caller then. */
static void test_verdict_ends_the_hold(void)
{
	struct poison_run run;
	struct fixture f;

	setup_without_canaries(&f);
	begin(&f, &run, HASH_A, "b0", POISON_NOT_TRIED);
	lose_server(&f, "b0");
	begin(&f, &run, HASH_A, "b1", POISON_ON_TRIAL);
	poison_hold(&f.poison, HASH_A, clock_now(&f.clock) + MSEC(2500));
	CU_ASSERT_EQUAL(poison_calm_wait(&f.poison, HASH_A), MSEC(2500));
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(poison_calm_wait(&f.poison, HASH_A),
			POISON_REPORT_WAIT);
	clock_advance(&f.clock, POISON_REPORT_WAIT);
	CU_ASSERT_EQUAL(poison_calm_wait(&f.poison, HASH_A), 0);
	poison_finish(&f.poison);
}

/* Guards against a ban of what ran beside a request that crashes servers, as
 * both are on trial on one server at the same time. */
static void test_trials_of_one_crash_in_turn(void)
{
	struct poison_run a;
	struct poison_run b;
	struct fixture f;
	int64_t until;

	setup_without_canaries(&f);
	begin(&f, &a, HASH_A, "b0", POISON_NOT_TRIED);
	begin(&f, &b, HASH_B, "b0", POISON_NOT_TRIED);
	lose_server(&f, "b0");
	until = clock_now(&f.clock) + MSEC(2000);
	CU_ASSERT(poison_start_trial(&f.poison, HASH_A, until, 7));
	CU_ASSERT(poison_start_trial(&f.poison, HASH_B, until, 5));
	CU_ASSERT(poison_waits_for_trial(&f.poison, HASH_A, 7));
	CU_ASSERT_FALSE(poison_waits_for_trial(&f.poison, HASH_B, 5));
	clock_advance(&f.clock, POISON_REPORT_WAIT);
	begin(&f, &b, HASH_B, "b1", POISON_ON_TRIAL);
	poison_end(&f.poison, &b, true);
	CU_ASSERT_FALSE(poison_waits_for_trial(&f.poison, HASH_A, 7));
	poison_finish(&f.poison);
}

/* Guards against a cleared request that goes on waiting for its trial. */
static void test_trial_ends_with_an_answer(void)
{
	struct poison_run run;
	struct fixture peer;
	struct fixture f;

	setup_without_canaries(&f);
	setup_without_canaries(&peer);
	crash_four(&f);
	poison_apply_report(&peer.poison, &f.last);
	poison_start_trial(&peer.poison, f.last.hash,
			   clock_now(&peer.clock) + MSEC(2000), 1);
	/* The report of the trial arrives after its run has begun. */
	begin(&f, &run, f.last.hash, "b6", POISON_ON_TRIAL);
	clock_advance(&f.clock, MSEC(1));
	CU_ASSERT(poison_apply_report(&f.poison, &peer.last));
	poison_end(&f.poison, &run, true);
	CU_ASSERT_EQUAL(verdict(&f, peer.last.hash), POISON_KNOWN_SAFE);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(poison_trial_wait(&peer.poison, f.last.hash), 0);
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/* Guards against a suspect that is held back by a run which has ended. */
static void test_run_in_doubt(void)
{
	struct poison_run doubt;
	struct poison_run run;
	struct fixture f;
	int64_t wait;

	setup(&f);
	begin(&f, &run, HASH_A, "b1", true);
	poison_move_in_doubt(&run, &doubt);
	poison_end(&f.poison, &run, false);
	CU_ASSERT_PTR_NULL(poison_blocking_run(&f.poison, HASH_A, STR("b1"),
					       MSEC(600), &wait));
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	poison_end(&f.poison, &doubt, false);
	poison_finish(&f.poison);
}

/* Guards against crashes that go uncounted: the servers are back as before. */
static void test_same_server_three_times(void)
{
	struct poison_run run;
	struct fixture f;
	int i;

	setup_without_canaries(&f);
	for (i = 0; i < 3; i++) {
		CU_ASSERT_EQUAL(verdict(&f, HASH_A) == POISON_BANNED, false);
		begin(&f, &run, HASH_A, "b1", POISON_ON_TRIAL);
		lose_server(&f, "b1");
	}
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_BANNED);
	poison_finish(&f.poison);
}

/*
 * Guards against a ban of a request that runs well on one server each time, and
 * then on others which crash of their own.
 */
static void test_crashes_after_the_trial(void)
{
	struct poison_run run;
	struct fixture f;
	char server[8];
	int i;

	setup_without_canaries(&f);
	begin(&f, &run, HASH_A, "b0", POISON_ON_TRIAL);
	lose_server(&f, "b0");
	for (i = 1; i < 10; i++) {
		snprintf(server, sizeof(server), "b%d", i);
		CU_ASSERT_EQUAL(begin(&f, &run, HASH_A, server,
				      POISON_TRIAL_PASSED),
				0);
		lose_server(&f, server);
	}
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	poison_finish(&f.poison);
}

static const struct unit_test tests[] = {
	{"popular request beside crashes", test_popular_beside_crashes},
	{"popular request on a rack", test_popular_on_a_rack},
	{"uncounted crash needs no trial", test_uncounted_crash_needs_no_trial},
	{"popular answered while it runs", test_popular_answered_while_it_runs},
	{"trials announced at once", test_trials_announced_at_once},
	{"doubt", test_doubt},
	{"no doubt in a safe request", test_no_doubt_in_a_safe_request},
	{"doubt is no news where it runs well",
	 test_doubt_is_no_news_where_it_runs_well},
	{"two trials after a doubt", test_two_trials_after_a_doubt},
	{"no doubt beside a crash", test_no_doubt_beside_a_crash},
	{"doubt then crash", test_doubt_then_crash},
	{"flooding ends", test_flooding_ends},
	{"older answer clears no newer crash",
	 test_older_answer_clears_no_newer_crash},
	{"popular while another crashes servers",
	 test_popular_while_another_crashes_servers},
	{"trial tells apart", test_trial_tells_apart},
	{"trial and crashes of two instances",
	 test_trial_and_crashes_of_two_instances},
	{"passed trial runs everywhere", test_passed_trial_runs_everywhere},
	{"one trial at a time", test_one_trial_at_a_time},
	{"verdict ends the hold", test_verdict_ends_the_hold},
	{"trials of one crash in turn", test_trials_of_one_crash_in_turn},
	{"trial ends with an answer", test_trial_ends_with_an_answer},
	{"run in doubt", test_run_in_doubt},
	{"same server three times", test_same_server_three_times},
	{"crashes after the trial", test_crashes_after_the_trial},
};

UNIT_MAIN("poison_gateway", tests)
