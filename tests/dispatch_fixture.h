/*
 * Test fixture: dispatches a request on a paused clock and records its sends.
 * There are four shards with two servers each; three shards suffice for an
 * answer.
 */
#ifndef DISPATCH_FIXTURE_H
#define DISPATCH_FIXTURE_H

#include <stdio.h>
#include <string.h>

#include "dispatch.h"
#include "error.h"
#include "gateway_settings.h"
#include "unit.h"

#define SENDS_MAX 128
#define ANSWER_MARGIN MSEC(10)

/**
 * struct fixture - a dispatched request
 * @n_checks: connection checks that @outage has begun
 * @outage_check: the latest of them
 * @sent: sends of the request, in order
 * @n_abandoned: sends that were abandoned
 * @keep_deliveries: an abandoned send stays pending, until the test ends it
 * @deliveries: of abandoned sends, with @keep_deliveries
 * @send_error: error that each send fails with, or 0
 * @queued_send: send that is in the queue of its server, or NULL
 * @safe: the request is known to run well
 * @living: send whose server has answered since its connection broke, or NULL
 * @n_crashed: servers that are held for crashed by the request
 * @may_be_tried: it may run on one more server, as a trial
 * @trial_wait: how long until then, microseconds
 * @n_held: retries that were held back
 * @n_unread: second sends that were refused while others were unread
 * @let_go: why the last of them was let go, or NULL
 */
struct fixture {
	struct clock clock;
	struct registry registry;
	struct route_set *routes;
	struct latency latency;
	struct outage outage;
	int n_checks;
	struct outage_server *outage_check;
	struct load_control control;
	struct dispatch_limits limits;
	struct dispatch dispatch;
	struct dispatch_send *sent[SENDS_MAX];
	int n_sent;
	int n_abandoned;
	bool keep_deliveries;
	struct delivery *deliveries[SENDS_MAX];
	int send_error;
	struct dispatch_send *queued_send;
	bool safe;
	const struct dispatch_send *living;
	int n_crashed;
	bool may_be_tried;
	int64_t trial_wait;
	int n_held;
	int n_unread;
	const char *let_go;
};

static inline int on_send(void *arg, struct dispatch_send *send,
			  int64_t deadline)
{
	struct fixture *fixture = arg;

	(void)deadline;
	if (fixture->send_error)
		return fixture->send_error;
	server_score_sent(&send->server->score, clock_now(&fixture->clock));
	fixture->sent[fixture->n_sent++] = send;
	return 0;
}

static inline void on_abandon(void *arg, struct dispatch_send *send)
{
	struct fixture *fixture = arg;

	if (fixture->keep_deliveries)
		fixture->deliveries[fixture->n_abandoned] =
			delivery_add(send->delivery);
	fixture->n_abandoned++;
}

static inline bool on_is_queued(void *arg, const struct dispatch_send *send)
{
	const struct fixture *fixture = arg;

	return send == fixture->queued_send;
}

static inline bool on_is_safe(void *arg)
{
	return ((const struct fixture *)arg)->safe;
}

static inline bool on_lives(void *arg, const struct dispatch_send *send)
{
	return ((const struct fixture *)arg)->living == send;
}

static inline int on_n_crashed(void *arg)
{
	return ((const struct fixture *)arg)->n_crashed;
}

static inline int64_t on_trial_wait(void *arg, uint64_t *service)
{
	const struct fixture *fixture = arg;

	*service = str_hash(STR("s0"));
	return fixture->may_be_tried ? fixture->trial_wait : -1;
}

static inline void on_held(const struct dispatch_part *part)
{
	struct fixture *fixture = part->dispatch->arg;

	fixture->n_held++;
}

static inline void on_let_go(const struct dispatch_part *part, const char *why,
			     int64_t held_for)
{
	struct fixture *fixture = part->dispatch->arg;

	(void)held_for;
	fixture->let_go = why;
}

static inline void on_unread(void *arg, struct registry_service *service)
{
	struct fixture *fixture = arg;

	(void)service;
	fixture->n_unread++;
}

static const struct dispatch_evidence evidence = {
	.is_safe = on_is_safe,
	.lives = on_lives,
	.n_crashed = on_n_crashed,
	.trial_wait = on_trial_wait,
	.held = on_held,
	.let_go = on_let_go,
};

static const struct dispatch_ops ops = {
	.send = on_send,
	.abandon = on_abandon,
	.is_queued = on_is_queued,
	.unread = on_unread,
	.evidence = &evidence,
};

static inline void on_check(void *arg, struct registry_server *server,
			    struct outage_server *check)
{
	struct fixture *fixture = arg;

	(void)server;
	fixture->n_checks++;
	fixture->outage_check = check;
}

static const struct outage_ops outage_ops = {.check = on_check};

static inline void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static inline void add_server(struct fixture *fixture, const char *service,
			      int i)
{
	struct server_entry entry = {.slots = 2};

	snprintf(entry.id, sizeof(entry.id), "%s-%d", service, i);
	snprintf(entry.service, sizeof(entry.service), "%s", service);
	snprintf(entry.data_centre, sizeof(entry.data_centre), "dc%d", i);
	registry_put(&fixture->registry, &entry, 1);
}

static const char routes_json[] =
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

static inline void fixture_init(struct fixture *fixture)
{
	char name[8];
	int i;

	memset(fixture, 0, sizeof(*fixture));
	fixture->safe = true;
	clock_init_paused(&fixture->clock, MSEC(1000000));
	registry_init(&fixture->registry, STR("dc0"), on_closing, NULL);
	for (i = 0; i < 4; i++) {
		snprintf(name, sizeof(name), "s%d", i);
		add_server(fixture, name, 0);
		add_server(fixture, name, 1);
	}
	CU_ASSERT(!route_set_parse(str_from(routes_json), &fixture->routes,
				   NULL));
	latency_init(&fixture->latency, MSEC(20));
	fixture->limits.budget =
		(struct budget_limit){.ratio = 0.2, .burst = 5};
	outage_init(&fixture->outage, &fixture->clock, &outage_ops, fixture);
	fixture->limits.outage = &fixture->outage;
	fixture->limits.control = &fixture->control;
}

static inline void fixture_finish(struct fixture *fixture)
{
	dispatch_finish(&fixture->dispatch);
	outage_finish(&fixture->outage);
	route_set_unref(fixture->routes);
	registry_finish(&fixture->registry);
}

static inline void init_dispatch(struct fixture *fixture, const char *path)
{
	const struct route *route =
		route_set_find(fixture->routes, STR("h"), str_from(path));

	dispatch_init(&fixture->dispatch, &fixture->clock, &ops,
		      &fixture->limits, fixture, &fixture->registry, route,
		      route->targets[0].service, &fixture->latency,
		      clock_now(&fixture->clock) + MSEC(route->timeout_ms),
		      MSEC(route->goal_ms) - ANSWER_MARGIN);
}

static inline enum dispatch_outcome start_dispatch(struct fixture *fixture,
						   const char *path)
{
	init_dispatch(fixture, path);
	return dispatch_start(&fixture->dispatch);
}

static inline enum dispatch_outcome advance(struct fixture *fixture, int64_t ms)
{
	clock_advance(&fixture->clock, MSEC(ms));
	return dispatch_tick(&fixture->dispatch);
}

static inline enum dispatch_outcome deliver_answer(struct fixture *fixture,
						   int i, int code,
						   bool not_run,
						   const char *stamp)
{
	struct dispatch_answer answer = {
		.code = code,
		.success = !code,
		.not_run = not_run,
		.broke = code == ERR_LOST,
		.stamp = str_from(stamp),
		.body = STR("0123456789abcdef"),
	};

	return dispatch_result(&fixture->dispatch, fixture->sent[i], &answer);
}

#endif
