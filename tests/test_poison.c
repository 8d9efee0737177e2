#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"
#include "poison.h"
#include "unit.h"

#define F 101
#define G 202
#define SET STR("r1")

static const struct poison_tunables tunables = {
	.max = 64,
	.suspect = MSEC(60000),
	.ban = MSEC(600000),
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
		 const char *server, bool watched)
{
	clock_advance(&f->clock, 1);
	return poison_begin(&f->poison, run, hash, str_from(server), SET,
			    watched);
}

static void lose(struct fixture *f, const char *server)
{
	poison_server_lost(&f->poison, str_from(server));
}

/*
 * A search crashes the server that runs it; its caller sends it again, and it
 * takes the next one. Then it is refused, until the ban ends.
 */
static void test_two_crashes(void)
{
	struct poison_run run;
	uint32_t retry = 0;
	struct fixture f;

	setup(&f);
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_CANARY);
	CU_ASSERT_EQUAL(begin(&f, &run, F, "b1", true), 0);
	lose(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	CU_ASSERT_FALSE(f.last.banned);
	CU_ASSERT_EQUAL(begin(&f, &run, F, "b2", true), 0);
	lose(&f, "b2");
	CU_ASSERT_EQUAL(poison_check(&f.poison, F, &retry), POISON_BANNED);
	CU_ASSERT_EQUAL(retry, 600001);
	CU_ASSERT(f.last.banned);
	CU_ASSERT_EQUAL(begin(&f, &run, F, "b3", true), ERR_BANNED);
	CU_ASSERT_EQUAL(f.poison.n_banned, 1);
	clock_advance(&f.clock, MSEC(600000));
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_CANARY);
	poison_finish(&f.poison);
}

/*
 * A server dies of its own while a popular search runs there. The search is
 * suspect, runs well elsewhere on its own, and is as free as before.
 */
static void test_cleared(void)
{
	struct poison_run run;
	struct poison_run old;
	struct fixture f;

	setup(&f);
	poison_mark_safe(&f.poison, F);
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_KNOWN_SAFE);
	begin(&f, &old, F, "b3", false);
	begin(&f, &run, F, "b1", false);
	lose(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	/* One that began before the crash proves nothing. */
	poison_end(&f.poison, &old, true);
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	CU_ASSERT_EQUAL(begin(&f, &run, F, "b2", true), 0);
	poison_end(&f.poison, &run, true);
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_KNOWN_SAFE);
	CU_ASSERT_EQUAL(f.reports, 2);
	CU_ASSERT_FALSE(f.last.unwatched);
	poison_finish(&f.poison);
}

/*
 * A search not known to be safe crashes a server where popular ones run too.
 * Those are not blamed.
 */
static void test_innocent_not_blamed(void)
{
	struct poison_run bad;
	struct poison_run good;
	struct fixture f;

	setup(&f);
	poison_mark_safe(&f.poison, G);
	begin(&f, &good, G, "b1", false);
	begin(&f, &bad, F, "b1", true);
	lose(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	CU_ASSERT_EQUAL(verdict(&f, G), POISON_KNOWN_SAFE);
	poison_end(&f.poison, &good, true);
	poison_finish(&f.poison);
}

/*
 * A rack goes down, and two servers with it that both ran a popular search. It
 * must not be banned for that.
 */
static void test_rack(void)
{
	struct poison_run runs[2];
	struct fixture f;

	setup(&f);
	poison_mark_safe(&f.poison, F);
	begin(&f, &runs[0], F, "b1", false);
	begin(&f, &runs[1], F, "b2", false);
	lose(&f, "b1");
	lose(&f, "b2");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	poison_finish(&f.poison);
}

/* One crash seen by both homes of the server counts once. */
static void test_seen_twice(void)
{
	struct poison_report report;
	struct poison_run run;
	struct fixture a;
	struct fixture b;

	setup(&a);
	setup(&b);
	begin(&a, &run, F, "b1", true);
	lose(&a, "b1");
	begin(&b, &run, F, "b1", true);
	lose(&b, "b1");
	report = a.last;
	CU_ASSERT_FALSE(poison_apply_report(&b.poison, &report));
	CU_ASSERT_EQUAL(verdict(&b, F), POISON_PROBATION);
	begin(&a, &run, F, "b2", true);
	lose(&a, "b2");
	CU_ASSERT(poison_apply_report(&b.poison, &a.last));
	CU_ASSERT_EQUAL(verdict(&b, F), POISON_BANNED);
	poison_finish(&a.poison);
	poison_finish(&b.poison);
}

/*
 * Two homes each lose a server to the same search before either heard of the
 * other. Together that is two: it is banned at once.
 */
static void test_learned_together(void)
{
	struct poison_run run;
	struct fixture a;
	struct fixture b;

	setup(&a);
	setup(&b);
	begin(&a, &run, F, "b1", true);
	lose(&a, "b1");
	begin(&b, &run, F, "b2", true);
	lose(&b, "b2");
	CU_ASSERT(poison_apply_report(&b.poison, &a.last));
	CU_ASSERT_EQUAL(verdict(&b, F), POISON_BANNED);
	poison_finish(&a.poison);
	poison_finish(&b.poison);
}

/* The only server of a service comes back and is lost to it again. */
static void test_same_server(void)
{
	struct poison_run run;
	struct fixture f;

	setup(&f);
	begin(&f, &run, F, "b1", true);
	lose(&f, "b1");
	begin(&f, &run, F, "b1", true);
	lose(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_BANNED);
	poison_finish(&f.poison);
}

/* Suspects run one at a time on a server, and each on one server. */
static void test_one_at_a_time(void)
{
	struct poison_run runs[3];
	struct fixture f;

	setup(&f);
	begin(&f, &runs[0], F, "b1", true);
	begin(&f, &runs[1], G, "b1", true);
	lose(&f, "b1");
	CU_ASSERT_EQUAL(begin(&f, &runs[0], F, "b2", false), ERR_SHED);
	CU_ASSERT_EQUAL(begin(&f, &runs[0], F, "b2", true), 0);
	CU_ASSERT_EQUAL(begin(&f, &runs[1], F, "b3", true), ERR_NO_SLOT);
	CU_ASSERT_EQUAL(begin(&f, &runs[1], G, "b2", true), ERR_NO_SLOT);
	CU_ASSERT_EQUAL(begin(&f, &runs[1], G, "b3", true), 0);
	poison_end(&f.poison, &runs[0], false);
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	CU_ASSERT_EQUAL(begin(&f, &runs[0], F, "b2", true), 0);
	poison_end(&f.poison, &runs[0], true);
	poison_end(&f.poison, &runs[1], true);
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_KNOWN_SAFE);
	poison_finish(&f.poison);
}

/*
 * What crashes on the records of one replica set runs well on another's. That
 * must not clear it, and its next run is where it can be told. While the server
 * for that run has only just broken, the reports are awaited.
 */
static void test_replica_set(void)
{
	struct poison_candidate candidates[] = {
		{STR("b1"), SET, true, MSEC(-1000)},
		{STR("b2"), SET, true, MSEC(-1000)},
		{STR("c1"), STR("r2"), true, MSEC(-1000)},
	};
	struct poison_run run;
	struct fixture f;

	setup(&f);
	begin(&f, &run, F, "b1", true);
	lose(&f, "b1");
	CU_ASSERT_EQUAL(poison_begin(&f.poison, &run, F, STR("c1"), STR("r2"),
				     true),
			0);
	poison_end(&f.poison, &run, true);
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	CU_ASSERT_EQUAL(poison_pick(&f.poison, F, candidates, 3), 1);
	candidates[1].reachable = false;
	CU_ASSERT_EQUAL(poison_pick(&f.poison, F, candidates, 3), 2);
	candidates[1].changed = clock_now(&f.clock);
	CU_ASSERT_EQUAL(poison_pick(&f.poison, F, candidates, 3), ERR_NO_SLOT);
	clock_advance(&f.clock, POISON_REPORT_WAIT);
	CU_ASSERT_EQUAL(poison_pick(&f.poison, F, candidates, 3), 2);
	candidates[2].reachable = false;
	CU_ASSERT_EQUAL(poison_pick(&f.poison, F, candidates, 3), 0);
	candidates[0].reachable = false;
	CU_ASSERT_EQUAL(poison_pick(&f.poison, F, candidates, 3),
			ERR_NO_REPLICA);
	poison_finish(&f.poison);
}

/*
 * Servers are restarted one after the other while a popular search runs
 * everywhere. It ran among others on the first, and on its own on the second
 * when that went too. It had run well until then, so that two restarts alone
 * do not ban it, here or at a peer; only a second server lost on its own does.
 */
static void test_restarts_in_a_row(void)
{
	struct poison_run run;
	struct fixture peer;
	struct fixture f;

	setup(&f);
	setup(&peer);
	poison_mark_safe(&f.poison, F);
	begin(&f, &run, F, "b1", false);
	lose(&f, "b1");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(verdict(&peer, F), POISON_PROBATION);
	begin(&f, &run, F, "b2", true);
	lose(&f, "b2");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(verdict(&peer, F), POISON_PROBATION);
	begin(&f, &run, F, "b3", true);
	lose(&f, "b3");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_BANNED);
	CU_ASSERT(poison_apply_report(&peer.poison, &f.last));
	CU_ASSERT_EQUAL(verdict(&peer, F), POISON_BANNED);
	poison_finish(&f.poison);
	poison_finish(&peer.poison);
}

/*
 * A search that was cleared by one home ran well, and the others know it: when
 * a server of theirs is restarted next, that does not count against it either.
 */
static void test_cleared_elsewhere(void)
{
	struct poison_run run;
	struct fixture home;
	struct fixture f;

	setup(&f);
	setup(&home);
	begin(&home, &run, F, "b1", false);
	lose(&home, "b1");
	poison_apply_report(&f.poison, &home.last);
	begin(&home, &run, F, "b2", true);
	poison_end(&home.poison, &run, true);
	CU_ASSERT(poison_apply_report(&f.poison, &home.last));
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_KNOWN_SAFE);
	begin(&f, &run, F, "b3", false);
	lose(&f, "b3");
	begin(&f, &run, F, "b4", true);
	lose(&f, "b4");
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_PROBATION);
	poison_finish(&f.poison);
	poison_finish(&home.poison);
}

/*
 * A search nobody knew crashes all that it was sent to, and two homes see one
 * each. One had seen it run well on other records, the other had not: the
 * crash counts, and one more bans it.
 */
static void test_safe_elsewhere_only(void)
{
	struct poison_run run;
	struct fixture home;
	struct fixture f;

	setup(&f);
	setup(&home);
	poison_mark_safe(&home.poison, F);
	begin(&f, &run, F, "b1", false);
	lose(&f, "b1");
	begin(&home, &run, F, "b2", false);
	lose(&home, "b2");
	CU_ASSERT(poison_apply_report(&home.poison, &f.last));
	poison_apply_report(&f.poison, &home.last);
	begin(&home, &run, F, "b3", true);
	lose(&home, "b3");
	CU_ASSERT_EQUAL(verdict(&home, F), POISON_BANNED);
	CU_ASSERT(poison_apply_report(&f.poison, &home.last));
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_BANNED);
	poison_finish(&f.poison);
	poison_finish(&home.poison);
}

/* However many fingerprints are sent, memory is bounded, and bans stay. */
static void test_bounds(void)
{
	struct poison_report report = {
		.n_servers = 1,
		.servers = {1},
		.left = MSEC(1000),
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
	CU_ASSERT_PTR_NULL(f.poison.goods);
	poison_finish(&f.poison);
}

/* A ban learned late lasts as long as with the one who made it. */
static void test_learned_expiry(void)
{
	struct poison_report report = {
		.hash = F,
		.banned = true,
		.left = MSEC(50),
	};
	struct fixture f;

	setup(&f);
	CU_ASSERT(poison_apply_report(&f.poison, &report));
	CU_ASSERT_FALSE(poison_apply_report(&f.poison, &report));
	clock_advance(&f.clock, MSEC(50));
	CU_ASSERT_EQUAL(verdict(&f, F), POISON_CANARY);
	report.left = 0;
	CU_ASSERT_FALSE(poison_apply_report(&f.poison, &report));
	poison_finish(&f.poison);
}

/*
 * A model: instances that are entries and homes, servers with two homes each,
 * searches that ask every server, reports that take a while. Steps of 1 ms.
 */
#define NODES 8
#define SERVERS 8
#define HOMES 2
#define POPULAR 100
#define RING 4096
#define DOWN_MS 1000
#define NAME_SIZE 8

enum act_kind {
	ACT_PART,   /* a part reaches a home */
	ACT_DONE,   /* a server answered */
	ACT_BROKEN, /* a home sees all connections of a server break */
	ACT_REPORT,
	ACT_RETRY,
};

struct query {
	uint64_t hash;
	int node;
	int tries;
	int open;
	bool watched;
	bool poison;
};

struct act {
	enum act_kind kind;
	struct query *query;
	struct poison_run run;
	int node;
	int server;
	bool watched;
	struct poison_report report;
	struct act *next;
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
	bool plain;
	struct model_node nodes[NODES];
	struct model_server servers[SERVERS];
	struct act *ring[RING];
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

static void later(struct model *model, struct act *act, int ms)
{
	struct act **slot = &model->ring[(model->now + ms) % RING];

	act->next = *slot;
	*slot = act;
}

static struct act *new_act(enum act_kind kind, int node)
{
	struct act *act = mem_zalloc(sizeof(*act));

	act->kind = kind;
	act->node = node;
	return act;
}

static int some_ms(int lo, int hi)
{
	return lo + (int)(next_random() % (uint64_t)(hi - lo + 1));
}

static void model_changed(void *ctx, const struct poison_report *report)
{
	struct model_node *node = ctx;
	int i;

	for (i = 0; i < NODES; i++) {
		struct act *act;

		if (i == node->index)
			continue;
		act = new_act(ACT_REPORT, i);
		act->report = *report;
		later(node->model, act, some_ms(1, 3));
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
	struct act *act =
		new_act(ACT_PART, home_of(model, server, query->hash, watched));

	act->query = query;
	act->server = server;
	act->watched = watched;
	query->open++;
	later(model, act, some_ms(1, 2));
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

static void send_all(struct model *model, struct query *query, int but)
{
	int i;

	query->watched = false;
	for (i = 0; i < SERVERS; i++) {
		if (i != but && is_up(model, i))
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
	enum poison_verdict how =
		poison_check(&model->nodes[query->node].poison, query->hash,
			     &retry);
	int server;

	if (model->plain || how == POISON_KNOWN_SAFE) {
		send_all(model, query, -1);
	} else if (how != POISON_BANNED) {
		server = pick_server(model, query);
		query->watched = true;
		if (server >= 0)
			send_part(model, query, server, true);
	}
	if (!query->open)
		end_query(model, query, false);
}

static void offer(struct model *model, uint64_t hash, int node, bool poison)
{
	struct query *query = mem_zalloc(sizeof(*query));

	query->hash = hash;
	query->node = node;
	query->poison = poison;
	model->queries++;
	start_query(model, query);
}

/* A part ended; a canary or a run on probation opens the way for the rest. */
static void end_part(struct model *model, struct query *query, int server,
		     bool well)
{
	struct act *act;

	query->open--;
	if (query->watched && well) {
		send_all(model, query, server);
	} else if (query->watched && query->tries++ < 2) {
		act = new_act(ACT_RETRY, query->node);
		act->query = query;
		later(model, act, some_ms(5, 10));
		return;
	}
	if (!query->open)
		end_query(model, query, well || !query->watched);
}

static void crash(struct model *model, int index)
{
	struct model_server *server = &model->servers[index];
	struct act *act;
	int i;

	if (!is_up(model, index))
		return;
	model->crashes++;
	server->down_until = model->now + DOWN_MS;
	server->changed = model->now;
	for (i = 0; i < HOMES; i++) {
		act = new_act(ACT_BROKEN, (index + i) % NODES);
		act->server = index;
		later(model, act, some_ms(1, 2));
	}
}

static void on_part(struct model *model, struct act *act)
{
	struct query *query = act->query;
	struct model_server *server = &model->servers[act->server];
	struct poison *poison = &model->nodes[act->node].poison;

	if (!is_up(model, act->server) ||
	    (!model->plain &&
	     poison_begin(poison, &act->run, query->hash,
			  str_from(server->name), STR("set"), act->watched))) {
		end_part(model, query, act->server, false);
		free(act);
		return;
	}
	act->kind = ACT_DONE;
	later(model, act, query->poison ? 3 : some_ms(5, 15));
	if (query->poison) {
		model->crashes_by_poison += is_up(model, act->server);
		crash(model, act->server);
	}
}

static void on_done(struct model *model, struct act *act)
{
	struct poison *poison = &model->nodes[act->node].poison;
	/* A server that was down since this began answered nothing. */
	bool well = is_up(model, act->server) && !act->query->poison;

	if (!model->plain)
		poison_end(poison, &act->run, well);
	end_part(model, act->query, act->server, well);
	free(act);
}

static void handle(struct model *model, struct act *act)
{
	struct poison *poison = &model->nodes[act->node].poison;

	switch (act->kind) {
	case ACT_PART:
		on_part(model, act);
		return;
	case ACT_DONE:
		on_done(model, act);
		return;
	case ACT_BROKEN:
		poison_server_lost(poison,
				   str_from(model->servers[act->server].name));
		break;
	case ACT_REPORT:
		poison_apply_report(poison, &act->report);
		break;
	case ACT_RETRY:
		start_query(model, act->query);
		break;
	}
	free(act);
}

static void model_step(struct model *model)
{
	struct act **slot;
	struct act *act;

	model->now++;
	clock_advance(&model->clock, MSEC(1));
	slot = &model->ring[model->now % RING];
	while ((act = *slot)) {
		*slot = act->next;
		handle(model, act);
	}
}

static void init_server(struct model_server *server, int index)
{
	snprintf(server->name, sizeof(server->name), "b%d", index);
	server->changed = -RING;
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
					    .max = 4096,
					    .suspect = MSEC(60000),
					    .ban = MSEC(600000),
				    });
	}
	for (i = 0; i < SERVERS; i++)
		init_server(&model->servers[i], i);
}

static void model_finish(struct model *model)
{
	int i;

	for (i = 0; i < RING; i++)
		model_step(model);
	for (i = 0; i < NODES; i++)
		poison_finish(&model->nodes[i].poison);
}

/* Popular ones by a steep law, and some that nobody sent before. */
static uint64_t some_hash(struct model *model)
{
	uint64_t n = next_random() % POPULAR;

	if (chance(4))
		return 1000000 + model->unique++;
	return 1 + n * n / POPULAR;
}

/*
 * Searches at 500 a second, and servers that crash of their own, each every
 * @crash_s seconds.
 */
static void model_run(struct model *model, int ms, int crash_s)
{
	int i;

	while (ms--) {
		model_step(model);
		if (chance(2))
			offer(model, some_hash(model),
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

/* The caller sends it again, each time to another instance. */
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
			offer(&model, 500 + (uint64_t)i, (i + j) % NODES, true);
			model_run(&model, some_ms(5, 50), 0);
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
 * A caller sends a search that crashes every server that runs it, again and
 * again and to other instances. At most two servers are lost to it.
 */
static void test_model_poison(void)
{
	CU_ASSERT(poison_losses(false) <= POISON_BAN_AFTER_CRASHES);
}

/* Plain fan-out loses all servers at once, and again as they come back. */
static void test_model_poison_plain(void)
{
	CU_ASSERT(poison_losses(true) > POISON_BAN_AFTER_CRASHES);
}

/* The same poison from many callers at the same moment. */
static void test_model_poison_at_once(void)
{
	struct model model;
	int i;

	model_init(&model, 5, false);
	model_run(&model, 1000, 0);
	for (i = 0; i < 40; i++)
		offer(&model, 700, i % NODES, true);
	model_run(&model, 3000, 0);
	CU_ASSERT(model.crashes_by_poison <= POISON_BAN_AFTER_CRASHES);
	CU_ASSERT_EQUAL(poison_check(&model.nodes[0].poison, 700,
				     &(uint32_t){0}),
			POISON_BANNED);
	model_finish(&model);
}

/*
 * Servers crash of their own, far more often than any does, while popular
 * searches run. Bans of these are false.
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

static const struct unit_test tests[] = {
	{"two crashes", test_two_crashes},
	{"cleared", test_cleared},
	{"innocent not blamed", test_innocent_not_blamed},
	{"rack", test_rack},
	{"seen twice", test_seen_twice},
	{"learned together", test_learned_together},
	{"same server", test_same_server},
	{"one at a time", test_one_at_a_time},
	{"replica set", test_replica_set},
	{"restarts in a row", test_restarts_in_a_row},
	{"cleared elsewhere", test_cleared_elsewhere},
	{"safe elsewhere only", test_safe_elsewhere_only},
	{"bounds", test_bounds},
	{"learned expiry", test_learned_expiry},
	{"model, poison", test_model_poison},
	{"model, poison, plain", test_model_poison_plain},
	{"model, poison at once", test_model_poison_at_once},
	{"model, false bans", test_model_false_bans},
};

UNIT_MAIN("poison", tests)
