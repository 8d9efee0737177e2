/*
 * A request that is dispatched on the paused clock, and what became of its
 * sends: four shards of two servers each, three of them needed.
 */
#ifndef DISPATCH_WORLD_H
#define DISPATCH_WORLD_H

#include <stdio.h>
#include <string.h>

#include "dispatch.h"
#include "error.h"
#include "gateway_settings.h"
#include "unit.h"

#define SENDS_MAX 128
#define ANSWER_MARGIN MSEC(10)

struct world {
	struct clock clock;
	struct registry registry;
	struct route_set *routes;
	struct latency latency;
	struct outage outage;
	int n_checks;
	struct outage_server *check;
	struct load_control control;
	struct dispatch_limits limits;
	struct dispatch dispatch;
	struct dispatch_send *sent[SENDS_MAX];
	int n_sent;
	int n_abandoned;
	int refuse; /* what ops->send returns */
	struct dispatch_send *waits;
};

static inline int on_send(void *arg, struct dispatch_send *send,
			  int64_t deadline)
{
	struct world *world = arg;

	(void)deadline;
	if (world->refuse)
		return world->refuse;
	server_score_sent(&send->server->score, clock_now(&world->clock));
	world->sent[world->n_sent++] = send;
	return 0;
}

static inline void on_abandon(void *arg, struct dispatch_send *send)
{
	struct world *world = arg;

	(void)send;
	world->n_abandoned++;
}

static inline bool on_waits(void *arg, const struct dispatch_send *send)
{
	const struct world *world = arg;

	return send == world->waits;
}

static const struct dispatch_ops ops = {
	.send = on_send,
	.abandon = on_abandon,
	.is_queued = on_waits,
};

static inline void on_check(void *arg, struct registry_server *server,
			    struct outage_server *check)
{
	struct world *world = arg;

	(void)server;
	world->n_checks++;
	world->check = check;
}

static const struct outage_ops outage_ops = {.check = on_check};

static inline void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static inline void add_server(struct world *world, const char *service, int i)
{
	struct server_entry entry = {.slots = 2};

	snprintf(entry.id, sizeof(entry.id), "%s-%d", service, i);
	snprintf(entry.service, sizeof(entry.service), "%s", service);
	snprintf(entry.data_centre, sizeof(entry.data_centre), "dc%d", i);
	registry_put(&world->registry, &entry, 1);
}

static const char document[] =
	"{\"version\": 1, \"services\": [{\"name\": \"s0\"}, {\"name\":"
	"\"s1\"}, {\"name\": \"s2\"}, {\"name\": \"s3\"}], \"routes\": ["
	"{\"host\": \"h\", \"prefix\": \"/shards/\", \"shards\": [\"s0\","
	"\"s1\", \"s2\", \"s3\"], \"timeout_ms\": 1000, \"goal_ms\": 100,"
	"\"servers_max\": 2, \"records_max\": 3, \"coverage_min\": 0.75},"
	"{\"host\": \"h\", \"prefix\": \"/once/\", \"service\": \"s0\","
	"\"repeat\": \"once\", \"timeout_ms\": 1000, \"goal_ms\": 100,"
	"\"servers_max\": 2},"
	"{\"host\": \"h\", \"prefix\": \"/any/\", \"service\": \"s0\","
	"\"repeat\": \"any\", \"timeout_ms\": 1000, \"goal_ms\": 100,"
	"\"servers_max\": 2}]}";

static inline void world_init(struct world *world)
{
	char name[8];
	int i;

	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, MSEC(1000000));
	registry_init(&world->registry, STR("dc0"), on_closing, NULL);
	for (i = 0; i < 4; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		add_server(world, name, 0);
		add_server(world, name, 1);
	}
	CU_ASSERT(!route_set_parse(str_from(document), &world->routes, NULL));
	latency_init(&world->latency, MSEC(20));
	world->limits.budget = (struct budget_limit){.ratio = 0.2, .burst = 5};
	outage_init(&world->outage, &world->clock, &outage_ops, world);
	world->limits.outage = &world->outage;
	world->limits.control = &world->control;
}

static inline void world_finish(struct world *world)
{
	dispatch_finish(&world->dispatch);
	outage_finish(&world->outage);
	route_set_unref(world->routes);
	registry_finish(&world->registry);
}

static inline void prepare(struct world *world, const char *path)
{
	const struct route *route =
		route_set_find(world->routes, STR("h"), str_from(path));

	dispatch_init(&world->dispatch, &world->clock, &ops, &world->limits,
		      world, &world->registry, route, route->targets[0].service,
		      &world->latency,
		      clock_now(&world->clock) + MSEC(route->timeout_ms),
		      MSEC(route->goal_ms) - ANSWER_MARGIN);
}

static inline enum dispatch_outcome start(struct world *world, const char *path)
{
	prepare(world, path);
	return dispatch_start(&world->dispatch);
}

static inline enum dispatch_outcome pass(struct world *world, int64_t ms)
{
	clock_advance(&world->clock, MSEC(ms));
	return dispatch_tick(&world->dispatch);
}

static inline enum dispatch_outcome result(struct world *world, int i, int code,
					   bool not_run, const char *stamp)
{
	struct dispatch_answer answer = {
		.code = code,
		.success = !code,
		.not_run = not_run,
		.stamp = str_from(stamp),
		.body = STR("0123456789abcdef"),
	};

	return dispatch_result(&world->dispatch, world->sent[i], &answer);
}

#endif
