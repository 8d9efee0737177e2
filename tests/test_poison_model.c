/* A model of instances, servers and searches that crash them. */
#include "poison_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"

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

static const struct unit_test tests[] = {
	{"simulation, crashing request", test_model_poison},
	{"simulation, crashing request without canaries",
	 test_model_poison_plain},
	{"simulation, crashing request from many callers",
	 test_model_poison_at_once},
	{"simulation, false bans", test_model_false_bans},
};

UNIT_MAIN("poison_model", tests)
