#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "dispatch.h"
#include "error.h"
#include "load_limit.h"
#include "mem.h"
#include "rng.h"
#include "unit.h"

#define START_TIME MSEC(1000000)
#define SHARDS 8
#define ANSWER_MARGIN MSEC(10)
#define SLOTS 2
#define QUEUE_MAX 12
#define MEAN_WORK_MS 15
#define GOAL_MS 120
#define JOBS_MAX (SLOTS + QUEUE_MAX)
#define OPEN_MAX 512

/* One request at a simulated server. */
struct job {
	struct dispatch_send *send;
	int left_ms;
};

/* A server that runs SLOTS requests at a time, queues some, refuses others. */
struct model_server {
	char id[REGISTRY_NAME_SIZE];
	struct job jobs[JOBS_MAX];
	int n_jobs;
	struct dispatch_send *refused[OPEN_MAX];
	int n_refused;
	bool crashed; /* connections are refused */
};

/* One instance, the servers of all shards, and its callers. */
struct simulation {
	struct clock clock;
	struct registry registry;
	struct route_set *routes;
	struct latency latency;
	struct outage outage;
	struct dispatch_limits limits;
	struct model_server servers[SHARDS * 2];
	struct rng rng;
	double refuse_ratio; /* of the first server of a shard */
	struct dispatch *open[OPEN_MAX];
	int n_open;
	bool without_limit;
	int n_stamps;
	int served[2]; /* within the goal, by route */
	int refused;
	int refused_late;
	int late;
};

static struct model_server *server_of(struct simulation *simulation,
				      const struct dispatch_send *send)
{
	int i;

	for (i = 0; strcmp(simulation->servers[i].id, send->server->entry.id);)
		i++;
	return &simulation->servers[i];
}

/* Uniform between half and one and a half times the mean. */
static int random_work_ms(struct simulation *simulation)
{
	return (int)(MEAN_WORK_MS * (0.5 + rng_uniform(&simulation->rng)) +
		     0.5);
}

static bool refuses_request(struct simulation *simulation,
			    const struct model_server *server)
{
	return (server - simulation->servers) % 2 == 0 &&
	       rng_uniform(&simulation->rng) < simulation->refuse_ratio;
}

static int on_send(void *arg, struct dispatch_send *send, int64_t deadline)
{
	struct simulation *simulation = arg;
	struct model_server *server = server_of(simulation, send);

	(void)deadline;
	server_score_sent(&send->server->score, clock_now(&simulation->clock));
	if (server->n_jobs < JOBS_MAX && !server->crashed &&
	    !refuses_request(simulation, server))
		server->jobs[server->n_jobs++] =
			(struct job){send, random_work_ms(simulation)};
	else
		server->refused[server->n_refused++] = send;
	return 0;
}

/* The server still runs the abandoned request; closing is not modelled. */
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

/* Checks get no result: crashed servers do not come back. */
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

static void add_server(struct simulation *simulation, int i)
{
	struct server_entry entry = {.slots = SLOTS};

	snprintf(entry.id, sizeof(entry.id), "s%d-%d", i / 2, i % 2);
	snprintf(entry.service, sizeof(entry.service), "s%d", i / 2);
	str_copy(simulation->servers[i].id, sizeof(simulation->servers[i].id),
		 str_from(entry.id));
	registry_put(&simulation->registry, &entry, 1);
}

static void simulation_init(struct simulation *simulation)
{
	static const struct outage_ops no_checks = {.check = on_check};
	char document[2048];
	int i;

	memset(simulation, 0, sizeof(*simulation));
	clock_init_paused(&simulation->clock, START_TIME);
	rng_init(&simulation->rng, 1);
	registry_init(&simulation->registry, STR(""), on_closing, NULL);
	outage_init(&simulation->outage, &simulation->clock, &no_checks, NULL);
	simulation->limits.budget =
		(struct budget_limit){.ratio = 0.2, .burst = 5};
	simulation->limits.outage = &simulation->outage;
	latency_init(&simulation->latency, MSEC(GOAL_MS / 4));
	write_routes(document, sizeof(document));
	CU_ASSERT(!route_set_parse(str_from(document), &simulation->routes,
				   NULL));
	for (i = 0; i < SHARDS * 2; i++)
		add_server(simulation, i);
}

static void count_outcome(struct simulation *simulation,
			  const struct dispatch *dispatch)
{
	int64_t took = clock_now(&simulation->clock) - dispatch->start;
	bool urgent = dispatch->route->priority == 1;

	if (dispatch->outcome == DISPATCH_REFUSED && !dispatch->n_sends) {
		simulation->refused++;
		simulation->refused_late += took > MSEC(10);
	} else if (dispatch->outcome < DISPATCH_FAILED &&
		   took <= MSEC(GOAL_MS)) {
		simulation->served[urgent ? 0 : 1]++;
	} else {
		simulation->late++;
	}
}

static void finish_dispatches(struct simulation *simulation)
{
	int i;

	for (i = simulation->n_open - 1; i >= 0; i--) {
		struct dispatch *dispatch = simulation->open[i];

		if (!dispatch->outcome &&
		    dispatch_due(dispatch) <= clock_now(&simulation->clock))
			dispatch_tick(dispatch);
		if (!dispatch->outcome)
			continue;
		count_outcome(simulation, dispatch);
		dispatch_finish(dispatch);
		free(dispatch);
		simulation->open[i] = simulation->open[--simulation->n_open];
	}
}

static void send_request(struct simulation *simulation, const char *path)
{
	struct dispatch *dispatch = mem_zalloc(sizeof(*dispatch));
	const struct route *route =
		route_set_find(simulation->routes, STR("h"), str_from(path));

	if (simulation->without_limit)
		registry_service(&simulation->registry, STR("s0"))->load.limit =
			0;
	dispatch_init(dispatch, &simulation->clock, &ops, &simulation->limits,
		      simulation, &simulation->registry, route, NULL,
		      &simulation->latency,
		      clock_now(&simulation->clock) + MSEC(route->timeout_ms),
		      MSEC(route->goal_ms) - ANSWER_MARGIN);
	simulation->open[simulation->n_open++] = dispatch;
	dispatch_start(dispatch);
}

static void send_answer(struct simulation *simulation,
			struct dispatch_send *send, int code)
{
	char stamp[24];
	struct dispatch_answer send_answer = {
		.code = code,
		.success = !code,
		.not_run = code,
		.body = STR("0123456789abcdef"),
		.took = clock_now(&simulation->clock) - send->sent_at,
	};

	snprintf(stamp, sizeof(stamp), "%d", simulation->n_stamps++);
	send_answer.stamp = str_from(stamp);
	server_score_result(&send->server->score, server_result_of(code, !code),
			    send_answer.took, clock_now(&simulation->clock));
	dispatch_result(send->part->dispatch, send, &send_answer);
}

static void advance_server(struct simulation *simulation,
			   struct model_server *server)
{
	int i;

	while (server->n_refused) {
		struct dispatch_send *send =
			server->refused[--server->n_refused];

		if (send)
			send_answer(simulation, send,
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
			send_answer(simulation, send, 0);
	}
}

/* Requests at a constant rate, a quarter of them for the less urgent route. */
static void simulate(struct simulation *simulation, int ms, int per_s)
{
	int due = 0;
	int n = 0;
	int i;

	for (; ms > 0; ms--) {
		clock_advance(&simulation->clock, MSEC(1));
		for (i = 0; i < SHARDS * 2; i++)
			advance_server(simulation, &simulation->servers[i]);
		for (due += per_s; due >= 1000; due -= 1000)
			send_request(simulation,
				     n++ % 4 == 3 ? "/most/" : "/all/");
		finish_dispatches(simulation);
	}
}

static void clear_counts(struct simulation *simulation)
{
	memset(simulation->served, 0, sizeof(simulation->served));
	simulation->refused = 0;
	simulation->refused_late = 0;
	simulation->late = 0;
}

static void simulation_finish(struct simulation *simulation)
{
	simulate(simulation, 1000, 0);
	CU_ASSERT(simulation->n_open == 0);
	route_set_unref(simulation->routes);
	outage_finish(&simulation->outage);
	registry_finish(&simulation->registry);
}

/*
 * Guards against refusals below capacity, which is 266 requests a second: 4
 * slots and 15 ms each. At 200, no request is refused and nearly all are
 * answered in time.
 */
static void test_usual_load(void)
{
	struct simulation simulation;

	simulation_init(&simulation);
	simulate(&simulation, 3000, 200);
	CU_ASSERT(simulation.refused == 0);
	CU_ASSERT(simulation.served[0] + simulation.served[1] >= 580);
	simulation_finish(&simulation);
}

/*
 * Two seconds at three times the usual rate; one server of each pair refuses
 * half of the requests.
 */
static void simulate_burst(struct simulation *simulation, bool without_limit)
{
	simulation_init(simulation);
	simulate(simulation, 1000, 200);
	clear_counts(simulation);
	simulation->without_limit = without_limit;
	simulation->refuse_ratio = 0.5;
	simulate(simulation, 2000, 600);
	simulation->refuse_ratio = 0;
}

/*
 * Guards against late answers under overload, at three times the usual rate. If
 * all requests are sent, each gets some of its parts in time and few get
 * enough. With the limit more are answered in time, others are refused at once
 * without having run, and neither route starves. Of 1,200 requests answered in
 * time: 109 without the limit, 283 with it.
 */
static void test_burst(void)
{
	struct simulation simulation;
	int without_limit;

	simulate_burst(&simulation, true);
	without_limit = simulation.served[0] + simulation.served[1];
	simulation_finish(&simulation);
	simulate_burst(&simulation, false);
	CU_ASSERT(simulation.served[0] + simulation.served[1] >=
		  2 * without_limit);
	CU_ASSERT(simulation.served[0] + simulation.served[1] >= 240);
	/* Of 900 and 300 requests. */
	CU_ASSERT(simulation.served[0] * 2 >= simulation.served[1] * 3);
	CU_ASSERT(simulation.served[1] * 6 >= simulation.served[0]);
	CU_ASSERT(simulation.refused_late == 0);
	/* One second after the burst, no request is refused any more. */
	simulate(&simulation, 1000, 200);
	clear_counts(&simulation);
	simulate(&simulation, 1000, 200);
	CU_ASSERT(simulation.refused == 0);
	CU_ASSERT(simulation.served[0] + simulation.served[1] >= 190);
	simulation_finish(&simulation);
}

/*
 * Guards against refusals because of one slow shard: one of eight is ten times
 * slower, the routes can answer without it, and the others have capacity.
 */
static void test_one_slow_shard(void)
{
	struct simulation simulation;
	int ms;
	int i;

	simulation_init(&simulation);
	for (ms = 0; ms < 2000; ms++) {
		/* Slow servers only progress every tenth millisecond. */
		for (i = 0; i < SLOTS && ms % 10; i++) {
			simulation.servers[0].jobs[i].left_ms++;
			simulation.servers[1].jobs[i].left_ms++;
		}
		simulate(&simulation, 1, ms % 10 ? 0 : 1000);
	}
	CU_ASSERT(simulation.refused == 0);
	CU_ASSERT(simulation.served[0] + simulation.served[1] >= 150);
	simulation_finish(&simulation);
}

/*
 * Guards against taking lost shards for overload: all servers of two of eight
 * shards crash, and requests of a route that needs seven fail at once with few
 * parts. The other six have capacity, and the route that can do with them, at
 * 50 requests a second, is served.
 */
static void test_lost_shards_are_no_load(void)
{
	struct simulation simulation;
	int i;

	simulation_init(&simulation);
	simulate(&simulation, 500, 200);
	for (i = 0; i < 4; i++)
		simulation.servers[i].crashed = true;
	/* Until the instance detects the crashes. */
	simulate(&simulation, 200, 200);
	clear_counts(&simulation);
	simulate(&simulation, 1000, 200);
	CU_ASSERT(simulation.served[1] >= 47);
	simulation_finish(&simulation);
}

static bool admit_one(struct load_limit *load)
{
	load_limit_count_request(load, 0, 1, START_TIME);
	return load_limit_admit(load, 0, 1, NULL, START_TIME);
}

static void test_limit_moves(void)
{
	struct load_limit load = {0};
	int i;

	for (i = 0; i < 100; i++)
		CU_ASSERT(admit_one(&load));
	load_limit_lower(&load, MSEC(60), START_TIME);
	CU_ASSERT(load.limit == 50);
	/* Requests admitted before the decrease are late as well. */
	load_limit_lower(&load, MSEC(60), START_TIME + MSEC(59));
	CU_ASSERT(load.limit == 50);
	CU_ASSERT(!admit_one(&load));
	for (i = 0; i < 60; i++)
		load_limit_release(&load, 0, 1);
	CU_ASSERT(admit_one(&load));
	for (i = 0; i < 10; i++)
		load_limit_lower(&load, MSEC(60),
				 START_TIME + MSEC(100) * (i + 1));
	CU_ASSERT(load.limit == 2);
	CU_ASSERT(!admit_one(&load));
	for (i = 0; i < 41; i++)
		load_limit_release(&load, 0, 1);
	/* The minimum limit shows whether the overload is over. */
	CU_ASSERT(admit_one(&load));
	for (i = 0; i < 40000; i++)
		load_limit_raise(&load, 1, 1);
	CU_ASSERT(load.limit == 0);
}

/* Guards against a lower limit where all requests have the same level. */
static void test_full_server(void)
{
	struct load_limit load = {0};
	int i;

	for (i = 0; i < 10; i++) {
		load_limit_count_request(&load, 1, 1, START_TIME);
		load_limit_admit_always(&load, 1, 1, START_TIME);
	}
	CU_ASSERT(!load_limit_servers_full(&load, START_TIME));
	CU_ASSERT(load_limit_is_most_urgent(&load, 1, START_TIME));
	load_limit_count_request(&load, 0, 1, START_TIME);
	CU_ASSERT(!load_limit_is_most_urgent(&load, 1, START_TIME));
	CU_ASSERT(load_limit_servers_full(&load, START_TIME));
	CU_ASSERT(load_limit_admit(&load, 0, 1, NULL, START_TIME));
	CU_ASSERT(!load_limit_admit(&load, 1, 1, NULL, START_TIME));
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
