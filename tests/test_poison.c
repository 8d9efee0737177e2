#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"
#include "poison.h"
#include "unit.h"

#define HASH_A 101
#define HASH_B 202
#define REPLICA_SET STR("r1")

static const struct poison_tunables tunables = {
	.max_entries = 64,
	.suspect_ttl = MSEC(60000),
	.ban_ttl = MSEC(600000),
};

struct fixture {
	struct clock clock;
	struct poison poison;
	struct poison_report last;
	int reports;
};

static void on_changed(void *ctx, const struct poison_report *report)
{
	struct fixture *f = ctx;

	f->last = *report;
	f->reports++;
}

static void setup(struct fixture *f)
{
	memset(f, 0, sizeof(*f));
	clock_init_paused(&f->clock, MSEC(1000));
	poison_init(&f->poison, &f->clock, on_changed, f);
	poison_set_tunables(&f->poison, &tunables);
}

static enum poison_verdict verdict(struct fixture *f, uint64_t hash)
{
	uint32_t retry;

	return poison_check(&f->poison, hash, &retry);
}

static int begin(struct fixture *f, struct poison_run *run, uint64_t hash,
		 const char *server, enum poison_trial trial)
{
	clock_advance(&f->clock, 1);
	return poison_begin(&f->poison, run, hash, str_from(server),
			    REPLICA_SET, trial, INT64_MAX);
}

static void lose_server(struct fixture *f, const char *server)
{
	poison_server_lost(&f->poison, str_from(server));
}

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

/*
 * Simulation in steps of 1 ms: instances that are both entries and homes,
 * servers with two homes each, searches that query every server, and reports
 * with a delay.
 */
#define NODES 8
#define SERVERS 8
#define HOMES 2
#define POPULAR 100
#define RING_SLOTS 4096
#define DOWN_MS 1000
#define NAME_SIZE 8

enum event_kind {
	EVENT_PART,   /* a part of a query arrives at a home */
	EVENT_DONE,   /* a server answers */
	EVENT_BROKEN, /* a home loses all connections to a server */
	EVENT_REPORT,
	EVENT_RETRY,
};

struct query {
	uint64_t hash;
	int node;
	int tries;
	int open_parts;
	bool watched;
	bool poison;
};

struct event {
	enum event_kind kind;
	struct query *query;
	struct poison_run run;
	int node;
	int server;
	bool watched;
	struct poison_report report;
	struct event *next;
};

struct model_node {
	struct model *model;
	int index;
	struct poison poison;
	char name[NAME_SIZE];
};

struct model_server {
	char name[NAME_SIZE];
	int64_t down_until;
	int64_t changed;
};

struct model {
	struct clock clock;
	bool plain; /* no canaries and no bans */
	struct model_node nodes[NODES];
	struct model_server servers[SERVERS];
	struct event *ring[RING_SLOTS];
	int64_t now;
	int crashes;
	int crashes_by_poison;
	int queries;
	int answered;
	int refused;
	uint64_t unique;
};

static uint64_t random_state;

static uint64_t next_random(void)
{
	uint64_t z = random_state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static bool chance(int one_in)
{
	return next_random() % (uint64_t)one_in == 0;
}

static void schedule(struct model *model, struct event *event, int ms)
{
	struct event **slot = &model->ring[(model->now + ms) % RING_SLOTS];

	event->next = *slot;
	*slot = event;
}

static struct event *new_event(enum event_kind kind, int node)
{
	struct event *event = mem_zalloc(sizeof(*event));

	event->kind = kind;
	event->node = node;
	return event;
}

static int random_ms(int lo, int hi)
{
	return lo + (int)(next_random() % (uint64_t)(hi - lo + 1));
}

static void model_changed(void *ctx, const struct poison_report *report)
{
	struct model_node *node = ctx;
	int i;

	for (i = 0; i < NODES; i++) {
		struct event *event;

		if (i == node->index)
			continue;
		event = new_event(EVENT_REPORT, i);
		event->report = *report;
		schedule(node->model, event, random_ms(1, 3));
	}
}

static int home_of(const struct model *model, int server, uint64_t hash,
		   bool by_rank)
{
	int first = server % NODES;
	int second = (server + 1) % NODES;

	if (!by_rank)
		return chance(2) ? first : second;
	return poison_home_rank(hash, str_from(model->nodes[first].name)) <
			       poison_home_rank(
				       hash,
				       str_from(model->nodes[second].name))
		       ? first
		       : second;
}

static void send_part(struct model *model, struct query *query, int server,
		      bool watched)
{
	struct event *event =
		new_event(EVENT_PART,
			  home_of(model, server, query->hash, watched));

	event->query = query;
	event->server = server;
	event->watched = watched;
	query->open_parts++;
	schedule(model, event, random_ms(1, 2));
}

static bool is_up(const struct model *model, int server)
{
	return model->servers[server].down_until <= model->now;
}

static int pick_server(const struct model *model, const struct query *query)
{
	const struct poison *poison = &model->nodes[query->node].poison;
	struct poison_candidate candidates[SERVERS];
	int i;

	for (i = 0; i < SERVERS; i++) {
		const struct model_server *server = &model->servers[i];

		candidates[i] = (struct poison_candidate){
			.server = str_from(server->name),
			.replica_set = STR("set"),
			.reachable = is_up(model, i),
			.changed = MSEC(server->changed),
		};
	}
	return poison_pick(poison, query->hash, candidates, SERVERS);
}

static void send_all(struct model *model, struct query *query, int except)
{
	int i;

	query->watched = false;
	for (i = 0; i < SERVERS; i++) {
		if (i != except && is_up(model, i))
			send_part(model, query, i, false);
	}
}

static void end_query(struct model *model, struct query *query, bool answered)
{
	if (answered) {
		model->answered++;
		poison_mark_safe(&model->nodes[query->node].poison,
				 query->hash);
	} else {
		model->refused++;
	}
	free(query);
}

static void start_query(struct model *model, struct query *query)
{
	uint32_t retry;
	enum poison_verdict decision =
		poison_check(&model->nodes[query->node].poison, query->hash,
			     &retry);
	int server;

	if (model->plain || decision == POISON_KNOWN_SAFE) {
		send_all(model, query, -1);
	} else if (decision != POISON_BANNED) {
		server = pick_server(model, query);
		query->watched = true;
		if (server >= 0)
			send_part(model, query, server, true);
	}
	if (!query->open_parts)
		end_query(model, query, false);
}

static void send_query(struct model *model, uint64_t hash, int node,
		       bool poison)
{
	struct query *query = mem_zalloc(sizeof(*query));

	query->hash = hash;
	query->node = node;
	query->poison = poison;
	model->queries++;
	start_query(model, query);
}

/* Ends a part; after a watched run the query is sent to all other servers. */
static void end_part(struct model *model, struct query *query, int server,
		     bool answered)
{
	struct event *event;

	query->open_parts--;
	if (query->watched && answered) {
		send_all(model, query, server);
	} else if (query->watched && query->tries++ < 2) {
		event = new_event(EVENT_RETRY, query->node);
		event->query = query;
		schedule(model, event, random_ms(5, 10));
		return;
	}
	if (!query->open_parts)
		end_query(model, query, answered || !query->watched);
}

static void crash(struct model *model, int index)
{
	struct model_server *server = &model->servers[index];
	struct event *event;
	int i;

	if (!is_up(model, index))
		return;
	model->crashes++;
	server->down_until = model->now + DOWN_MS;
	server->changed = model->now;
	for (i = 0; i < HOMES; i++) {
		event = new_event(EVENT_BROKEN, (index + i) % NODES);
		event->server = index;
		schedule(model, event, random_ms(1, 2));
	}
}

static void on_part(struct model *model, struct event *event)
{
	struct query *query = event->query;
	struct model_server *server = &model->servers[event->server];
	struct poison *poison = &model->nodes[event->node].poison;

	if (!is_up(model, event->server) ||
	    (!model->plain && poison_begin(poison, &event->run, query->hash,
					   str_from(server->name), STR("set"),
					   event->watched, INT64_MAX))) {
		end_part(model, query, event->server, false);
		free(event);
		return;
	}
	event->kind = EVENT_DONE;
	schedule(model, event, query->poison ? 3 : random_ms(5, 15));
	if (query->poison) {
		model->crashes_by_poison += is_up(model, event->server);
		crash(model, event->server);
	}
}

static void on_done(struct model *model, struct event *event)
{
	struct poison *poison = &model->nodes[event->node].poison;
	/* A server that is down at this point hasn't answered. */
	bool answered = is_up(model, event->server) && !event->query->poison;

	if (!model->plain)
		poison_end(poison, &event->run, answered);
	end_part(model, event->query, event->server, answered);
	free(event);
}

static void handle_event(struct model *model, struct event *event)
{
	struct poison *poison = &model->nodes[event->node].poison;

	switch (event->kind) {
	case EVENT_PART:
		on_part(model, event);
		return;
	case EVENT_DONE:
		on_done(model, event);
		return;
	case EVENT_BROKEN:
		poison_server_lost(poison,
				   str_from(
					   model->servers[event->server].name));
		break;
	case EVENT_REPORT:
		poison_apply_report(poison, &event->report);
		break;
	case EVENT_RETRY:
		start_query(model, event->query);
		break;
	}
	free(event);
}

static void model_step(struct model *model)
{
	struct event **slot;
	struct event *event;

	model->now++;
	clock_advance(&model->clock, MSEC(1));
	slot = &model->ring[model->now % RING_SLOTS];
	while ((event = *slot)) {
		*slot = event->next;
		handle_event(model, event);
	}
}

static void init_server(struct model_server *server, int index)
{
	snprintf(server->name, sizeof(server->name), "b%d", index);
	server->changed = -RING_SLOTS;
}

static void model_init(struct model *model, uint64_t seed, bool plain)
{
	int i;

	memset(model, 0, sizeof(*model));
	random_state = seed;
	model->plain = plain;
	clock_init_paused(&model->clock, 0);
	for (i = 0; i < NODES; i++) {
		struct model_node *node = &model->nodes[i];

		node->model = model;
		node->index = i;
		snprintf(node->name, sizeof(node->name), "n%d", i);
		poison_init(&node->poison, &model->clock, model_changed, node);
		poison_set_tunables(&node->poison,
				    &(struct poison_tunables){
					    .max_entries = 4096,
					    .suspect_ttl = MSEC(60000),
					    .ban_ttl = MSEC(600000),
				    });
	}
	for (i = 0; i < SERVERS; i++)
		init_server(&model->servers[i], i);
}

static void model_finish(struct model *model)
{
	int i;

	for (i = 0; i < RING_SLOTS; i++)
		model_step(model);
	for (i = 0; i < NODES; i++)
		poison_finish(&model->nodes[i].poison);
}

/* Skewed distribution of popular searches; one in four is unique. */
static uint64_t random_hash(struct model *model)
{
	uint64_t n = next_random() % POPULAR;

	if (chance(4))
		return 1000000 + model->unique++;
	return 1 + n * n / POPULAR;
}

/*
 * Runs 500 searches a second. Each server also crashes for unrelated reasons
 * every @crash_s seconds on average, never if 0.
 */
static void model_run(struct model *model, int ms, int crash_s)
{
	int i;

	while (ms--) {
		model_step(model);
		if (chance(2))
			send_query(model, random_hash(model),
				   (int)(next_random() % NODES), false);
		for (i = 0; i < SERVERS && crash_s; i++) {
			if (chance(crash_s * 1000))
				crash(model, i);
		}
	}
}

static uint64_t count_bans(const struct model *model)
{
	uint64_t n = 0;
	int i;

	for (i = 0; i < NODES; i++)
		n += model->nodes[i].poison.n_banned;
	return n;
}

#define RESENDS 10
#define POISONS 20

/*
 * Sends crashing searches, each several times to different instances. Returns
 * the maximum number of servers that one of them crashed.
 */
static int poison_losses(bool plain)
{
	struct model model;
	int most = 0;
	int i;
	int j;

	model_init(&model, 3, plain);
	model_run(&model, 2000, 0);
	for (i = 0; i < POISONS; i++) {
		int before = model.crashes_by_poison;

		for (j = 0; j < RESENDS; j++) {
			send_query(&model, 500 + (uint64_t)i, (i + j) % NODES,
				   true);
			model_run(&model, random_ms(5, 50), 0);
		}
		model_run(&model, DOWN_MS, 0);
		if (model.crashes_by_poison - before > most)
			most = model.crashes_by_poison - before;
	}
	printf("\n%s: most servers lost to one of %d requests sent %d times: "
	       "%d; bans %d",
	       plain ? "plain" : "watched", POISONS, RESENDS, most,
	       (int)count_bans(&model));
	model_finish(&model);
	return most;
}

/*
 * A caller resends a search that crashes every server, to another instance each
 * time. It must not crash more than two servers.
 */
static void test_model_poison(void)
{
	CU_ASSERT(poison_losses(false) <= POISON_BAN_AFTER_CRASHES);
}

/*
 * Control: plain fan-out loses all servers at once, and again after each
 * restart.
 */
static void test_model_poison_plain(void)
{
	CU_ASSERT(poison_losses(true) > POISON_BAN_AFTER_CRASHES);
}

/* Many callers send the same crashing search at the same time. */
static void test_model_poison_at_once(void)
{
	struct model model;
	int i;

	model_init(&model, 5, false);
	model_run(&model, 1000, 0);
	for (i = 0; i < 40; i++)
		send_query(&model, 700, i % NODES, true);
	model_run(&model, 3000, 0);
	CU_ASSERT(model.crashes_by_poison <= POISON_BAN_AFTER_CRASHES);
	CU_ASSERT_EQUAL(poison_check(&model.nodes[0].poison, 700,
				     &(uint32_t){0}),
			POISON_BANNED);
	model_finish(&model);
}

/*
 * Servers crash for unrelated reasons, far more often than in production, while
 * popular searches run. Every ban is a false positive.
 */
static void test_model_false_bans(void)
{
	struct model model;
	uint64_t bans;

	model_init(&model, 9, false);
	model_run(&model, 200000, 5);
	bans = count_bans(&model);
	printf("\nservers crash of their own every 5 s: %d crashes, %d "
	       "searches, refused %d, falsely banned %d",
	       model.crashes, model.queries, model.refused, (int)bans);
	CU_ASSERT(model.crashes > 200);
	CU_ASSERT(bans <= (uint64_t)model.crashes / 50);
	model_finish(&model);
}

/* As gateways use it: nothing new is tried on one server first. */
static void setup_without_canaries(struct fixture *f)
{
	setup(f);
	f->poison.no_canaries = true;
	f->poison.ban_after = 3;
}

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
	{"trial ends with an answer", test_trial_ends_with_an_answer},
	{"run in doubt", test_run_in_doubt},
	{"same server three times", test_same_server_three_times},
	{"crashes after the trial", test_crashes_after_the_trial},
	{"bounds", test_bounds},
	{"expiry of a received ban", test_learned_expiry},
	{"simulation, crashing request", test_model_poison},
	{"simulation, crashing request without canaries",
	 test_model_poison_plain},
	{"simulation, crashing request from many callers",
	 test_model_poison_at_once},
	{"simulation, false bans", test_model_false_bans},
};

UNIT_MAIN("poison", tests)
