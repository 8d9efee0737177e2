/* Suspects and bans as homes of serve use them. */
#include "poison_fixture.h"

#include <stdio.h>
#include <string.h>

#include "error.h"

/*
 * A search that crashes every server it runs on is resent by its caller. It is
 * banned after the second crash, until the ban expires.
 */
static void test_two_crashes(void)
{
	struct poison_run run;
	uint32_t retry = 0;
	struct fixture f;

	setup(&f);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_CANARY);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_A, "b1", true), 0);
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT_FALSE(f.last.banned);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_A, "b2", true), 0);
	lose_server(&f, "b2");
	CU_ASSERT_EQUAL(poison_check(&f.poison, HASH_A, &retry), POISON_BANNED);
	CU_ASSERT_EQUAL(retry, 600001);
	CU_ASSERT(f.last.banned);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_A, "b3", true), ERR_BANNED);
	CU_ASSERT_EQUAL(f.poison.n_banned, 1);
	clock_advance(&f.clock, MSEC(600000));
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_CANARY);
	poison_finish(&f.poison);
}

/*
 * A server crashes for another reason while a popular search runs there. The
 * search becomes a suspect, completes on another server on probation, and is
 * known to be safe again.
 */
static void test_cleared(void)
{
	struct poison_run run;
	struct poison_run old;
	struct fixture f;

	setup(&f);
	poison_mark_safe(&f.poison, HASH_A);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_KNOWN_SAFE);
	begin(&f, &old, HASH_A, "b3", false);
	begin(&f, &run, HASH_A, "b1", false);
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	/* A run that began before the crash doesn't clear the search. */
	poison_end(&f.poison, &old, true);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT_EQUAL(begin(&f, &run, HASH_A, "b2", true), 0);
	poison_end(&f.poison, &run, true);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_KNOWN_SAFE);
	CU_ASSERT_EQUAL(f.reports, 2);
	CU_ASSERT_FALSE(f.last.unwatched_crash);
	poison_finish(&f.poison);
}

/*
 * A canary crashes a server where a search known to be safe runs too. The safe
 * search must not become a suspect.
 */
static void test_innocent_not_blamed(void)
{
	struct poison_run bad;
	struct poison_run good;
	struct fixture f;

	setup(&f);
	poison_mark_safe(&f.poison, HASH_B);
	begin(&f, &good, HASH_B, "b1", false);
	begin(&f, &bad, HASH_A, "b1", true);
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT_EQUAL(verdict(&f, HASH_B), POISON_KNOWN_SAFE);
	poison_end(&f.poison, &good, true);
	poison_finish(&f.poison);
}

/*
 * A rack fails with two servers that both ran a popular search. The search must
 * not be banned for that.
 */
static void test_rack(void)
{
	struct poison_run runs[2];
	struct fixture f;

	setup(&f);
	poison_mark_safe(&f.poison, HASH_A);
	begin(&f, &runs[0], HASH_A, "b1", false);
	begin(&f, &runs[1], HASH_A, "b2", false);
	lose_server(&f, "b1");
	lose_server(&f, "b2");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	poison_finish(&f.poison);
}

/* One crash that both homes of the server detect counts once. */
static void test_seen_twice(void)
{
	struct poison_report report;
	struct poison_run run;
	struct fixture a;
	struct fixture b;

	setup(&a);
	setup(&b);
	begin(&a, &run, HASH_A, "b1", true);
	lose_server(&a, "b1");
	begin(&b, &run, HASH_A, "b1", true);
	lose_server(&b, "b1");
	report = a.last;
	CU_ASSERT_FALSE(poison_apply_report(&b.poison, &report));
	CU_ASSERT_EQUAL(verdict(&b, HASH_A), POISON_PROBATION);
	begin(&a, &run, HASH_A, "b2", true);
	lose_server(&a, "b2");
	CU_ASSERT(poison_apply_report(&b.poison, &a.last));
	CU_ASSERT_EQUAL(verdict(&b, HASH_A), POISON_BANNED);
	poison_finish(&a.poison);
	poison_finish(&b.poison);
}

/*
 * Two homes each see the same search crash a server before either has received
 * the other's report. The merged report has two crashes and bans the search.
 */
static void test_learned_together(void)
{
	struct poison_run run;
	struct fixture a;
	struct fixture b;

	setup(&a);
	setup(&b);
	begin(&a, &run, HASH_A, "b1", true);
	lose_server(&a, "b1");
	begin(&b, &run, HASH_A, "b2", true);
	lose_server(&b, "b2");
	CU_ASSERT(poison_apply_report(&b.poison, &a.last));
	CU_ASSERT_EQUAL(verdict(&b, HASH_A), POISON_BANNED);
	poison_finish(&a.poison);
	poison_finish(&b.poison);
}

/* The only server of a service restarts and is crashed a second time. */
static void test_same_server(void)
{
	struct poison_run run;
	struct fixture f;

	setup(&f);
	begin(&f, &run, HASH_A, "b1", true);
	lose_server(&f, "b1");
	begin(&f, &run, HASH_A, "b1", true);
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_BANNED);
	poison_finish(&f.poison);
}

/* A server runs one suspect at a time, and a suspect runs on one server. */
static void test_one_at_a_time(void)
{
	struct poison_run runs[3];
	struct fixture f;

	setup(&f);
	begin(&f, &runs[0], HASH_A, "b1", true);
	begin(&f, &runs[1], HASH_B, "b1", true);
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(begin(&f, &runs[0], HASH_A, "b2", false), ERR_SHED);
	CU_ASSERT_EQUAL(begin(&f, &runs[0], HASH_A, "b2", true), 0);
	CU_ASSERT_EQUAL(begin(&f, &runs[1], HASH_A, "b3", true), ERR_NO_SLOT);
	CU_ASSERT_EQUAL(begin(&f, &runs[1], HASH_B, "b2", true), ERR_NO_SLOT);
	CU_ASSERT_EQUAL(begin(&f, &runs[1], HASH_B, "b3", true), 0);
	poison_end(&f.poison, &runs[0], false);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT_EQUAL(begin(&f, &runs[0], HASH_A, "b2", true), 0);
	poison_end(&f.poison, &runs[0], true);
	poison_end(&f.poison, &runs[1], true);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_KNOWN_SAFE);
	poison_finish(&f.poison);
}

/* Makes A a suspect that crashed b1 after 20 ms, so that a trial takes 50 ms.
 */
static void make_suspect(struct fixture *f)
{
	struct poison_run run;

	begin(f, &run, HASH_A, "b1", false);
	clock_advance(&f->clock, MSEC(20));
	lose_server(f, "b1");
}

/* Guards against a server that does not answer holding a suspect for good. */
static void test_trial_ends(void)
{
	struct poison_run runs[3];
	struct fixture peer;
	struct fixture f;
	int64_t wait = 0;

	setup(&f);
	setup(&peer);
	make_suspect(&f);
	CU_ASSERT_EQUAL(begin(&f, &runs[0], HASH_A, "b2", true), 0);
	clock_advance(&f.clock, MSEC(49));
	CU_ASSERT_EQUAL(begin(&f, &runs[1], HASH_A, "b3", true), ERR_NO_SLOT);
	CU_ASSERT_PTR_EQUAL(poison_blocking_run(&f.poison, HASH_A, STR("b3"),
						INT64_MAX, &wait),
			    &runs[0]);
	CU_ASSERT_EQUAL(wait, MSEC(1) - 1);
	clock_advance(&f.clock, wait);
	CU_ASSERT_EQUAL(begin(&f, &runs[1], HASH_A, "b3", true), 0);
	/* The run on b2 is still watched. */
	lose_server(&f, "b2");
	CU_ASSERT_EQUAL(f.last.n_servers, 1);
	CU_ASSERT(f.last.banned);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(poison_trial_time(&peer.poison, HASH_A, INT64_MAX),
			poison_trial_time(&f.poison, HASH_A, INT64_MAX));
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/*
 * Guards against callers of one suspect refusing each other a server that is
 * only slow, and against one crash there that counts twice.
 */
static void test_same_server_after_trial(void)
{
	struct poison_run runs[3];
	struct fixture f;

	setup(&f);
	make_suspect(&f);
	CU_ASSERT_EQUAL(begin(&f, &runs[0], HASH_A, "b2", true), 0);
	CU_ASSERT_EQUAL(begin(&f, &runs[1], HASH_A, "b2", true), ERR_NO_SLOT);
	clock_advance(&f.clock, MSEC(50));
	/* The oldest run decides: a younger one starts no new trial. */
	CU_ASSERT_EQUAL(begin(&f, &runs[1], HASH_A, "b2", true), 0);
	CU_ASSERT_EQUAL(begin(&f, &runs[2], HASH_A, "b3", true), 0);
	lose_server(&f, "b2");
	CU_ASSERT_EQUAL(f.last.n_servers, 1);
	poison_finish(&f.poison);
}

static void test_trial_time(void)
{
	struct fixture f;

	setup(&f);
	CU_ASSERT_EQUAL(poison_trial_time(&f.poison, HASH_A, MSEC(600)),
			MSEC(300));
	make_suspect(&f);
	CU_ASSERT_EQUAL(poison_trial_time(&f.poison, HASH_A, MSEC(600)),
			MSEC(50));
	CU_ASSERT_EQUAL(poison_trial_time(&f.poison, HASH_A, MSEC(60)),
			MSEC(30));
	poison_finish(&f.poison);
}

/* Guards against a suspect that stays at a server which only fails it. */
static void test_tried_server_is_last(void)
{
	struct poison_candidate candidates[] = {
		{STR("b2"), REPLICA_SET, true, MSEC(-1000)},
		{STR("b3"), REPLICA_SET, true, MSEC(-1000)},
		{STR("c1"), STR("r2"), true, MSEC(-1000)},
	};
	struct fixture f;
	int first;
	int second;

	setup(&f);
	make_suspect(&f);
	first = poison_pick(&f.poison, HASH_A, candidates, 3);
	candidates[first].tried = true;
	second = poison_pick(&f.poison, HASH_A, candidates, 3);
	CU_ASSERT_EQUAL(first + second, 1);
	candidates[second].tried = true;
	CU_ASSERT_EQUAL(poison_pick(&f.poison, HASH_A, candidates, 3), 2);
	candidates[2].tried = true;
	CU_ASSERT_EQUAL(poison_pick(&f.poison, HASH_A, candidates, 3), first);
	poison_finish(&f.poison);
}

/*
 * A search crashes on the records of one replica set and completes on another.
 * That must not clear it, and its next run goes to the replica set where it
 * crashed. While the server for that run has only just become unreachable, the
 * run waits for crash reports.
 */
static void test_replica_set(void)
{
	struct poison_candidate candidates[] = {
		{STR("b1"), REPLICA_SET, true, MSEC(-1000)},
		{STR("b2"), REPLICA_SET, true, MSEC(-1000)},
		{STR("c1"), STR("r2"), true, MSEC(-1000)},
	};
	struct poison_run run;
	struct fixture f;

	setup(&f);
	begin(&f, &run, HASH_A, "b1", true);
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(poison_begin(&f.poison, &run, HASH_A, STR("c1"),
				     STR("r2"), true, INT64_MAX),
			0);
	poison_end(&f.poison, &run, true);
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT_EQUAL(poison_pick(&f.poison, HASH_A, candidates, 3), 1);
	candidates[1].reachable = false;
	CU_ASSERT_EQUAL(poison_pick(&f.poison, HASH_A, candidates, 3), 2);
	candidates[1].changed = clock_now(&f.clock);
	CU_ASSERT_EQUAL(poison_pick(&f.poison, HASH_A, candidates, 3),
			ERR_NO_SLOT);
	clock_advance(&f.clock, POISON_REPORT_WAIT);
	CU_ASSERT_EQUAL(poison_pick(&f.poison, HASH_A, candidates, 3), 2);
	candidates[2].reachable = false;
	CU_ASSERT_EQUAL(poison_pick(&f.poison, HASH_A, candidates, 3), 0);
	candidates[0].reachable = false;
	CU_ASSERT_EQUAL(poison_pick(&f.poison, HASH_A, candidates, 3),
			ERR_NO_REPLICA);
	poison_finish(&f.poison);
}

/*
 * Servers are restarted one after the other while a popular search runs on all
 * of them, unwatched on the first and watched on the second. As the search was
 * known to be safe, the first restart doesn't count, and these two must not ban
 * it, here or on a peer; a second crash of a watched run does.
 */
static void test_restarts_in_a_row(void)
{
	struct poison_run run;
	struct fixture peer;
	struct fixture f;

	setup(&f);
	setup(&peer);
	poison_mark_safe(&f.poison, HASH_A);
	begin(&f, &run, HASH_A, "b1", false);
	lose_server(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(verdict(&peer, HASH_A), POISON_PROBATION);
	begin(&f, &run, HASH_A, "b2", true);
	lose_server(&f, "b2");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(verdict(&peer, HASH_A), POISON_PROBATION);
	begin(&f, &run, HASH_A, "b3", true);
	lose_server(&f, "b3");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_BANNED);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(verdict(&peer, HASH_A), POISON_BANNED);
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/*
 * One home clears a search and reports it. The other home must treat it as
 * known to be safe too: a restart of a server there must not count against it.
 */
static void test_cleared_elsewhere(void)
{
	struct poison_run run;
	struct fixture home;
	struct fixture f;

	setup(&f);
	setup(&home);
	begin(&home, &run, HASH_A, "b1", false);
	lose_server(&home, "b1");
	poison_apply_report(&f.poison, &home.last);
	begin(&home, &run, HASH_A, "b2", true);
	poison_end(&home.poison, &run, true);
	CU_ASSERT(poison_apply_report(&f.poison, &home.last));
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_KNOWN_SAFE);
	begin(&f, &run, HASH_A, "b3", false);
	lose_server(&f, "b3");
	begin(&f, &run, HASH_A, "b4", true);
	lose_server(&f, "b4");
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_PROBATION);
	poison_finish(&f.poison);
	poison_finish(&home.poison);
}

/*
 * Two homes each see an unwatched crash of the same search. It is known to be
 * safe at only one of them, from a run on other records. The crash must count,
 * so that one more bans the search.
 */
static void test_safe_elsewhere_only(void)
{
	struct poison_run run;
	struct fixture home;
	struct fixture f;

	setup(&f);
	setup(&home);
	poison_mark_safe(&home.poison, HASH_A);
	begin(&f, &run, HASH_A, "b1", false);
	lose_server(&f, "b1");
	begin(&home, &run, HASH_A, "b2", false);
	lose_server(&home, "b2");
	CU_ASSERT(poison_apply_report(&home.poison, &f.last));
	poison_apply_report(&f.poison, &home.last);
	begin(&home, &run, HASH_A, "b3", true);
	lose_server(&home, "b3");
	CU_ASSERT_EQUAL(verdict(&home, HASH_A), POISON_BANNED);
	CU_ASSERT(poison_apply_report(&f.poison, &home.last));
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_BANNED);
	poison_finish(&f.poison);
	poison_finish(&home.poison);
}

/* Memory is bounded for any number of fingerprints, and bans aren't evicted. */
static void test_bounds(void)
{
	struct poison_report report = {
		.n_servers = 1,
		.servers = {1},
		.remaining = MSEC(1000),
	};
	struct poison_report all[POISON_EXPORT_MAX];
	struct fixture f;
	int i;

	setup(&f);
	report.hash = 5;
	report.banned = true;
	poison_apply_report(&f.poison, &report);
	report.banned = false;
	for (i = 0; i < 1000; i++) {
		report.hash = 1000 + (uint64_t)i;
		poison_apply_report(&f.poison, &report);
		poison_mark_safe(&f.poison, 10000 + (uint64_t)i);
	}
	CU_ASSERT_EQUAL(poison_export(&f.poison, all, POISON_EXPORT_MAX), 64);
	CU_ASSERT_EQUAL(poison_export(&f.poison, all, 10), 10);
	CU_ASSERT_EQUAL(all[9].hash, 1999);
	CU_ASSERT_EQUAL(verdict(&f, 5), POISON_BANNED);
	CU_ASSERT_EQUAL(verdict(&f, 10999), POISON_KNOWN_SAFE);
	CU_ASSERT_EQUAL(verdict(&f, 10000), POISON_CANARY);
	clock_advance(&f.clock, MSEC(60000));
	poison_expire(&f.poison);
	CU_ASSERT_EQUAL(poison_export(&f.poison, all, POISON_EXPORT_MAX), 0);
	CU_ASSERT_PTR_NULL(f.poison.safe_entries);
	poison_finish(&f.poison);
}

/* A ban received from a peer expires at the same time as on the peer. */
static void test_learned_expiry(void)
{
	struct poison_report report = {
		.hash = HASH_A,
		.banned = true,
		.remaining = MSEC(50),
	};
	struct fixture f;

	setup(&f);
	CU_ASSERT(poison_apply_report(&f.poison, &report));
	CU_ASSERT_FALSE(poison_apply_report(&f.poison, &report));
	clock_advance(&f.clock, MSEC(50));
	CU_ASSERT_EQUAL(verdict(&f, HASH_A), POISON_CANARY);
	report.remaining = 0;
	CU_ASSERT_FALSE(poison_apply_report(&f.poison, &report));
	poison_finish(&f.poison);
}

static const struct unit_test tests[] = {
	{"two crashes", test_two_crashes},
	{"suspect cleared by a later run", test_cleared},
	{"safe request not blamed for a canary's crash",
	 test_innocent_not_blamed},
	{"two servers fail together", test_rack},
	{"crash detected by two homes", test_seen_twice},
	{"crashes merged from two homes", test_learned_together},
	{"same server crashed twice", test_same_server},
	{"one suspect at a time", test_one_at_a_time},
	{"a trial ends", test_trial_ends},
	{"same server after its trial", test_same_server_after_trial},
	{"trial time", test_trial_time},
	{"tried server is last", test_tried_server_is_last},
	{"cleared only on the same replica set", test_replica_set},
	{"servers restarted one after the other", test_restarts_in_a_row},
	{"cleared by another home", test_cleared_elsewhere},
	{"known safe at one home only", test_safe_elsewhere_only},
	{"bounds", test_bounds},
	{"expiry of a received ban", test_learned_expiry},
};

UNIT_MAIN("poison", tests)
