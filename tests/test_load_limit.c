#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "error.h"
#include "load_limit.h"
#include "mem.h"
#include "rng.h"
#include "unit.h"

#define START MSEC(1000000)
#define SHARDS 8
#define ANSWER_MARGIN MSEC(10)
#define SLOTS 2
#define QUEUE 12
#define WORK_MS 15
#define GOAL_MS 120
#define JOBS_MAX (SLOTS + QUEUE)
#define OPEN_MAX 512

/* One request at a server of the model. */
struct job {
	struct dispatch_send *send;
	int left_ms;
};

/* A server: runs @SLOTS requests at a time, queues some, refuses the rest. */
struct model_server {
	char id[REGISTRY_NAME_SIZE];
	struct job jobs[JOBS_MAX];
	int n_jobs;
	struct dispatch_send *refused[OPEN_MAX];
	int n_refused;
	bool crashed; /* connections to it are not made */
};

/* One instance, all shards behind it, and the callers that it takes. */
struct world {
	struct clock clock;
	struct registry registry;
	struct route_set *routes;
	struct latency latency;
	struct outage outage;
	struct dispatch_limits limits;
	struct model_server servers[SHARDS * 2];
	struct rng rng;
	double refusing; /* share that the first server of a shard refuses */
	struct dispatch *open[OPEN_MAX];
	int n_open;
	bool unlimited;
	int n_stamps;
	int served[2]; /* in the goal, by route */
	int refused;
	int refused_late;
	int late;
};

static struct model_server *server_of(struct world *world,
				      const struct dispatch_send *send)
{
	int i;

	for (i = 0; strcmp(world->servers[i].id, send->server->entry.id);)
		i++;
	return &world->servers[i];
}

/* From a half to one and a half times the mean. */
static int work_of(struct world *world)
{
	return (int)(WORK_MS * (0.5 + rng_unit(&world->rng)) + 0.5);
}

static bool is_refusing(struct world *world, const struct model_server *server)
{
	return (server - world->servers) % 2 == 0 &&
	       rng_unit(&world->rng) < world->refusing;
}

static int on_send(void *arg, struct dispatch_send *send, int64_t deadline)
{
	struct world *world = arg;
	struct model_server *server = server_of(world, send);

	(void)deadline;
	server_score_sent(&send->server->score, clock_now(&world->clock));
	if (server->n_jobs < JOBS_MAX && !server->crashed &&
	    !is_refusing(world, server))
		server->jobs[server->n_jobs++] =
			(struct job){send, work_of(world)};
	else
		server->refused[server->n_refused++] = send;
	return 0;
}

/* Given up here, but run to its end: closing in time is not modelled. */
static void on_abandon(void *arg, struct dispatch_send *send)
{
	struct model_server *server = server_of(arg, send);
	int i;

	for (i = 0; i < server->n_jobs; i++) {
		if (server->jobs[i].send == send)
			server->jobs[i].send = NULL;
	}
	for (i = 0; i < server->n_refused; i++) {
		if (server->refused[i] == send)
			server->refused[i] = NULL;
	}
}

static const struct dispatch_ops ops = {
	.send = on_send,
	.abandon = on_abandon,
};

/* Never answered: who crashed stays away. */
static void on_check(void *arg, struct registry_server *server,
		     struct outage_server *check)
{
	(void)arg;
	(void)server;
	(void)check;
}

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static void write_routes(char *out, size_t size)
{
	char shards[256] = "";
	char services[512] = "";
	int i;

	for (i = 0; i < SHARDS; i++) {
		sprintf(shards + strlen(shards), "%s\"s%d\"", i ? "," : "", i);
		sprintf(services + strlen(services), "%s{\"name\":\"s%d\"}",
			i ? "," : "", i);
	}
	snprintf(out, size,
		 "{\"version\":1,\"services\":[%s],\"routes\":["
		 "{\"host\":\"h\",\"prefix\":\"/all/\",\"shards\":[%s],"
		 "\"timeout_ms\":800,\"goal_ms\":%d,\"servers_max\":2,"
		 "\"records_max\":3,\"coverage_min\":0.85,\"priority\":1},"
		 "{\"host\":\"h\",\"prefix\":\"/most/\",\"shards\":[%s],"
		 "\"timeout_ms\":800,\"goal_ms\":%d,\"servers_max\":2,"
		 "\"records_max\":3,\"coverage_min\":0.6,\"priority\":2}]}",
		 services, shards, GOAL_MS, shards, GOAL_MS);
}

static void add_server(struct world *world, int i)
{
	struct server_entry entry = {.slots = SLOTS};

	snprintf(entry.id, sizeof(entry.id), "s%d-%d", i / 2, i % 2);
	snprintf(entry.service, sizeof(entry.service), "s%d", i / 2);
	str_copy(world->servers[i].id, sizeof(world->servers[i].id),
		 str_from(entry.id));
	registry_put(&world->registry, &entry, 1);
}

static void world_init(struct world *world)
{
	static const struct outage_ops no_checks = {.check = on_check};
	char document[2048];
	int i;

	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, START);
	rng_init(&world->rng, 1);
	registry_init(&world->registry, STR(""), on_closing, NULL);
	outage_init(&world->outage, &world->clock, &no_checks, NULL);
	world->limits.budget = (struct budget_limit){.ratio = 0.2, .burst = 5};
	world->limits.outage = &world->outage;
	latency_init(&world->latency, MSEC(GOAL_MS / 4));
	write_routes(document, sizeof(document));
	CU_ASSERT(!route_set_parse(str_from(document), &world->routes, NULL));
	for (i = 0; i < SHARDS * 2; i++)
		add_server(world, i);
}

static void note_end(struct world *world, const struct dispatch *dispatch)
{
	int64_t took = clock_now(&world->clock) - dispatch->start;
	bool urgent = dispatch->route->priority == 1;

	if (dispatch->outcome == DISPATCH_REFUSED && !dispatch->n_sends) {
		world->refused++;
		world->refused_late += took > MSEC(10);
	} else if (dispatch->outcome < DISPATCH_FAILED &&
		   took <= MSEC(GOAL_MS)) {
		world->served[urgent ? 0 : 1]++;
	} else {
		world->late++;
	}
}

static void reap(struct world *world)
{
	int i;

	for (i = world->n_open - 1; i >= 0; i--) {
		struct dispatch *dispatch = world->open[i];

		if (!dispatch->outcome &&
		    dispatch_due(dispatch) <= clock_now(&world->clock))
			dispatch_tick(dispatch);
		if (!dispatch->outcome)
			continue;
		note_end(world, dispatch);
		dispatch_finish(dispatch);
		free(dispatch);
		world->open[i] = world->open[--world->n_open];
	}
}

static void arrive(struct world *world, const char *path)
{
	struct dispatch *dispatch = mem_zalloc(sizeof(*dispatch));
	const struct route *route =
		route_set_find(world->routes, STR("h"), str_from(path));

	if (world->unlimited)
		registry_service(&world->registry, STR("s0"))->load.limit = 0;
	dispatch_init(dispatch, &world->clock, &ops, &world->limits, world,
		      &world->registry, route, NULL, &world->latency,
		      clock_now(&world->clock) + MSEC(route->timeout_ms),
		      MSEC(route->goal_ms) - ANSWER_MARGIN);
	world->open[world->n_open++] = dispatch;
	dispatch_start(dispatch);
}

static void answer(struct world *world, struct dispatch_send *send, int code)
{
	char stamp[24];
	struct dispatch_answer answer = {
		.code = code,
		.success = !code,
		.not_run = code,
		.body = STR("0123456789abcdef"),
		.took = clock_now(&world->clock) - send->sent_at,
	};

	snprintf(stamp, sizeof(stamp), "%d", world->n_stamps++);
	answer.stamp = str_from(stamp);
	server_score_result(&send->server->score, server_result_of(code, !code),
			    answer.took, clock_now(&world->clock));
	dispatch_result(send->part->dispatch, send, &answer);
}

static void run_server(struct world *world, struct model_server *server)
{
	int i;

	while (server->n_refused) {
		struct dispatch_send *send =
			server->refused[--server->n_refused];

		if (send)
			answer(world, send,
			       server->crashed ? ERR_CONNECT : ERR_SHED);
	}
	for (i = 0; i < SLOTS && i < server->n_jobs; i++)
		server->jobs[i].left_ms--;
	for (i = 0; i < server->n_jobs; i++) {
		struct dispatch_send *send = server->jobs[i].send;

		if (server->jobs[i].left_ms > 0)
			continue;
		memmove(&server->jobs[i], &server->jobs[i + 1],
			(size_t)(--server->n_jobs - i) * sizeof(struct job));
		i--;
		if (send)
			answer(world, send, 0);
	}
}

/* Callers at an even pace, a quarter of them of the less urgent route. */
static void play(struct world *world, int ms, int per_s)
{
	int due = 0;
	int n = 0;
	int i;

	for (; ms > 0; ms--) {
		clock_advance(&world->clock, MSEC(1));
		for (i = 0; i < SHARDS * 2; i++)
			run_server(world, &world->servers[i]);
		for (due += per_s; due >= 1000; due -= 1000)
			arrive(world, n++ % 4 == 3 ? "/most/" : "/all/");
		reap(world);
	}
}

static void clear_counts(struct world *world)
{
	memset(world->served, 0, sizeof(world->served));
	world->refused = 0;
	world->refused_late = 0;
	world->late = 0;
}

static void world_finish(struct world *world)
{
	play(world, 1000, 0);
	CU_ASSERT(world->n_open == 0);
	route_set_unref(world->routes);
	outage_finish(&world->outage);
	registry_finish(&world->registry);
}

/*
 * The shards can bear 266 requests a second: 4 slots and 15 ms each. At 200, no
 * caller is refused, and nearly all are served in time.
 */
static void test_usual_load(void)
{
	struct world world;

	world_init(&world);
	play(&world, 3000, 200);
	CU_ASSERT(world.refused == 0);
	CU_ASSERT(world.served[0] + world.served[1] >= 580);
	world_finish(&world);
}

/* Two seconds at three times the usual rate; one server of each pair refuses
 * half of what comes. */
static void play_burst(struct world *world, bool unlimited)
{
	world_init(world);
	play(world, 1000, 200);
	clear_counts(world);
	world->unlimited = unlimited;
	world->refusing = 0.5;
	play(world, 2000, 600);
	world->refusing = 0;
}

/*
 * Callers come three times as often as usual. All of them sent, each gets some
 * of its parts in time and few get enough. With the limit more are served in
 * time, the others are told at once that nothing ran, and neither route is
 * starved for the other. Of 1,200 callers served in time: 109 without, 283
 * with.
 */
static void test_burst(void)
{
	struct world world;
	int unlimited;

	play_burst(&world, true);
	unlimited = world.served[0] + world.served[1];
	world_finish(&world);
	play_burst(&world, false);
	CU_ASSERT(world.served[0] + world.served[1] >= 2 * unlimited);
	CU_ASSERT(world.served[0] + world.served[1] >= 240);
	/* Of 900 and 300 callers. */
	CU_ASSERT(world.served[0] * 2 >= world.served[1] * 3);
	CU_ASSERT(world.served[1] * 6 >= world.served[0]);
	CU_ASSERT(world.refused_late == 0);
	/* A second after the burst nobody is refused any more. */
	play(&world, 1000, 200);
	clear_counts(&world);
	play(&world, 1000, 200);
	CU_ASSERT(world.refused == 0);
	CU_ASSERT(world.served[0] + world.served[1] >= 190);
	world_finish(&world);
}

/*
 * One shard of eight is ten times slower, and the routes can miss it. That is
 * no reason to refuse callers: the other shards have room.
 */
static void test_one_slow_shard(void)
{
	struct world world;
	int ms;
	int i;

	world_init(&world);
	for (ms = 0; ms < 2000; ms++) {
		/* A slow server gets one tenth of each millisecond. */
		for (i = 0; i < SLOTS && ms % 10; i++) {
			world.servers[0].jobs[i].left_ms++;
			world.servers[1].jobs[i].left_ms++;
		}
		play(&world, 1, ms % 10 ? 0 : 1000);
	}
	CU_ASSERT(world.refused == 0);
	CU_ASSERT(world.served[0] + world.served[1] >= 150);
	world_finish(&world);
}

/*
 * All servers of two of eight shards crash, and a route needs seven: its
 * requests fail at once, with few parts in. The other six have room, and the
 * callers of the route that can do with them, 50 in a second, are served.
 */
static void test_lost_shards_are_no_load(void)
{
	struct world world;
	int i;

	world_init(&world);
	play(&world, 500, 200);
	for (i = 0; i < 4; i++)
		world.servers[i].crashed = true;
	/* Until this instance knows. */
	play(&world, 200, 200);
	clear_counts(&world);
	play(&world, 1000, 200);
	CU_ASSERT(world.served[1] >= 47);
	world_finish(&world);
}

static bool admit(struct load_limit *load)
{
	load_limit_count_request(load, 0, 1, START);
	return load_limit_admit(load, 0, 1, NULL, START);
}

static void test_limit_moves(void)
{
	struct load_limit load = {0};
	int i;

	for (i = 0; i < 100; i++)
		CU_ASSERT(admit(&load));
	load_limit_lower(&load, MSEC(60), START);
	CU_ASSERT(load.limit == 50);
	/* Those that were admitted before are late as well. */
	load_limit_lower(&load, MSEC(60), START + MSEC(59));
	CU_ASSERT(load.limit == 50);
	CU_ASSERT(!admit(&load));
	for (i = 0; i < 60; i++)
		load_limit_release(&load, 0, 1);
	CU_ASSERT(admit(&load));
	for (i = 0; i < 10; i++)
		load_limit_lower(&load, MSEC(60), START + MSEC(100) * (i + 1));
	CU_ASSERT(load.limit == 2);
	CU_ASSERT(!admit(&load));
	for (i = 0; i < 41; i++)
		load_limit_release(&load, 0, 1);
	/* One is always sent: it shows whether the load is over. */
	CU_ASSERT(admit(&load));
	for (i = 0; i < 40000; i++)
		load_limit_raise(&load, 1, 1);
	CU_ASSERT(load.limit == 0);
}

/* A server that refuses one kind alone must not lower what is sent to it */
static void test_full_server(void)
{
	struct load_limit load = {0};
	int i;

	for (i = 0; i < 10; i++) {
		load_limit_count_request(&load, 1, 1, START);
		load_limit_admit_always(&load, 1, 1, START);
	}
	CU_ASSERT(!load_limit_servers_full(&load, START));
	CU_ASSERT(load_limit_is_most_urgent(&load, 1, START));
	load_limit_count_request(&load, 0, 1, START);
	CU_ASSERT(!load_limit_is_most_urgent(&load, 1, START));
	CU_ASSERT(load_limit_servers_full(&load, START));
	CU_ASSERT(load_limit_admit(&load, 0, 1, NULL, START));
	CU_ASSERT(!load_limit_admit(&load, 1, 1, NULL, START));
}

static const struct unit_test tests[] = {
	{"limit moves", test_limit_moves},
	{"full server", test_full_server},
	{"usual load", test_usual_load},
	{"burst", test_burst},
	{"one slow shard", test_one_slow_shard},
	{"lost shards are no load", test_lost_shards_are_no_load},
};

UNIT_MAIN("load limit", tests)
