/* Requests to one server under load, on a paused clock. */
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "server_queue.h"
#include "unit.h"

#define JOBS_MAX 1024
#define SLOTS 2
#define SENDERS 2
/* This instance's share of the slots, and one in transfer. */
#define LIMIT (SLOTS / SENDERS + 1)
#define STEP MSEC(1)
#define DEADLINE MSEC(1000)

/* A request and its result. */
struct call {
	struct upstream_request request;
	char id[8];
	struct server_job *job; /* NULL once it ended */
	int64_t priority;
	int64_t goal_at;
	int64_t work;
	int64_t ends_at; /* at the server, 0: not there */
	int n_ends;
	int code;
	bool ran;
	bool in_time;
};

/*
 * A server with one slot for this instance, so that it runs its requests one
 * after the other, in order of arrival.
 */
struct world {
	struct clock clock;
	struct registry registry;
	struct registry_server *server;
	struct gateway_stats stats;
	struct server_queues queues;
	struct call calls[JOBS_MAX];
	int n;
	int under_way;
	int max_under_way;
	int64_t free_at;
	bool silent;
	int refuse; /* error of the send operation */
	int64_t wake_at;
};

static struct call *call_of(const struct server_job *job)
{
	return job->arg;
}

static int on_send(void *arg, struct server_job *job)
{
	struct world *world = arg;
	struct call *call = call_of(job);
	int64_t now = clock_now(&world->clock);

	if (world->refuse)
		return world->refuse;
	if (world->free_at < now)
		world->free_at = now;
	world->free_at += call->work;
	call->ends_at = world->free_at;
	call->ran = true;
	server_score_sent(&job->server->score, now);
	if (++world->under_way > world->max_under_way)
		world->max_under_way = world->under_way;
	return 0;
}

static void on_abandon(void *arg, struct server_job *job, int64_t linger,
		       struct delivery *delivery)
{
	(void)arg;
	(void)delivery;
	(void)linger;
	call_of(job)->job = NULL;
}

static void on_hurry(void *arg, struct server_job *job, int64_t linger)
{
	(void)arg;
	(void)job;
	(void)linger;
}

static int on_under_way(void *arg, const struct registry_server *server)
{
	const struct world *world = arg;

	(void)server;
	return world->under_way;
}

static void on_wake(void *arg, int64_t at)
{
	struct world *world = arg;

	if (at < world->wake_at)
		world->wake_at = at;
}

static const struct server_queue_ops ops = {
	.send = on_send,
	.abandon = on_abandon,
	.hurry = on_hurry,
	.under_way = on_under_way,
	.wake = on_wake,
};

static void on_closing(void *arg, struct registry_server *server)
{
	struct world *world = arg;

	server_queue_close(&world->queues, server);
}

static void on_result(void *arg, const struct exchange_result *result)
{
	struct call *call = arg;

	call->job = NULL;
	call->n_ends++;
	call->code = result->code;
	/* A request that was returned as not run must never run. */
	if (result->not_run)
		CU_ASSERT(!call->ran);
}

static void start(struct world *world)
{
	struct server_entry entry = {.id = "a",
				     .service = "s",
				     .data_centre = "here",
				     .slots = 2};

	memset(world, 0, sizeof(*world));
	world->wake_at = INT64_MAX;
	clock_init_paused(&world->clock, MSEC(1000000));
	gateway_stats_init(&world->stats);
	server_queues_init(&world->queues, &world->clock, &ops, world,
			   &world->stats);
	world->queues.enabled = true;
	world->queues.senders = SENDERS;
	registry_init(&world->registry, STR("here"), on_closing, world);
	registry_put(&world->registry, &entry, 1);
	world->server = registry_find(&world->registry, STR("a"));
	registry_server_ref(world->server);
}

static void answer(struct world *world, struct call *call, int code)
{
	int64_t now = clock_now(&world->clock);
	int64_t took = call->job ? now - call->job->sent_at : call->work;
	const struct exchange_result result = {.code = code,
					       .not_run = code == ERR_SHED,
					       .took = took};

	call->ends_at = 0;
	if (code == ERR_SHED)
		call->ran = false;
	call->in_time = !code && now <= call->goal_at;
	world->under_way--;
	server_score_result(&world->server->score, server_result_of(code, true),
			    took, now);
	if (call->job)
		server_job_done(call->job, &result);
	server_queue_capacity_freed(&world->queues, world->server);
}

static void step(struct world *world)
{
	int64_t now;
	int i;

	clock_advance(&world->clock, STEP);
	now = clock_now(&world->clock);
	for (i = 0; i < world->n; i++) {
		struct call *call = &world->calls[i];

		if (call->ends_at && call->ends_at <= now && !world->silent)
			answer(world, call, 0);
	}
	if (now < world->wake_at)
		return;
	world->wake_at = INT64_MAX;
	server_queue_tick(&world->queues);
}

static void pass(struct world *world, int64_t usec)
{
	int64_t end = clock_now(&world->clock) + usec;

	while (clock_now(&world->clock) < end)
		step(world);
}

static struct call *ask(struct world *world, int64_t priority, int64_t goal,
			int64_t work)
{
	struct call *call = &world->calls[world->n++];
	int64_t now = clock_now(&world->clock);
	struct server_job_rank rank = {.priority = priority,
				       .goal_at = now + goal,
				       .send_by = INT64_MAX};
	int ret;

	snprintf(call->id, sizeof(call->id), "%d", world->n);
	call->request.id = str_from(call->id);
	call->priority = priority;
	call->goal_at = now + goal;
	call->work = work;
	ret = server_queue_send(&world->queues, world->server, &call->request,
				&rank, now + DEADLINE, 64, on_result, call,
				&call->job);
	if (!ret)
		return call;
	CU_ASSERT_EQUAL(call->n_ends, 0);
	call->job = NULL;
	call->n_ends++;
	call->code = ret;
	return call;
}

/* Each request ended exactly once, and no state is left. */
static void finish(struct world *world)
{
	int i;

	for (i = 0; i < world->n; i++)
		CU_ASSERT_EQUAL(world->calls[i].n_ends, 1);
	CU_ASSERT_PTR_NULL(world->queues.waiting);
	CU_ASSERT_PTR_NULL(world->queues.ended);
	CU_ASSERT(world->max_under_way <= LIMIT);
	registry_server_unref(world->server);
	registry_finish(&world->registry);
}

static int count_in_time(const struct world *world, int64_t priority, int *n)
{
	int in_time = 0;
	int i;

	*n = 0;
	for (i = 0; i < world->n; i++) {
		if (world->calls[i].priority != priority)
			continue;
		in_time += world->calls[i].in_time;
		++*n;
	}
	return in_time;
}

/*
 * Twice the server's capacity for a second: urgent requests of 4 ms need a
 * third of the slot, less urgent ones of 20 ms need more than the rest.
 */
static void test_urgent_first(void)
{
	struct world world;
	int urgent;
	int patient;
	int n;
	int i;

	start(&world);
	for (i = 0; i < 1000; i++) {
		if (i % 12 == 0)
			ask(&world, 0, MSEC(50), MSEC(4));
		if (i % 12 == 5)
			ask(&world, 1, MSEC(150), MSEC(20));
		pass(&world, STEP);
	}
	pass(&world, 2 * DEADLINE);
	urgent = count_in_time(&world, 0, &n);
	CU_ASSERT(urgent >= n * 0.95);
	patient = count_in_time(&world, 1, &n);
	/* Two thirds of a second are left for them, 20 ms each. */
	CU_ASSERT(patient >= 0.7 * 33);
	finish(&world);
}

/*
 * The urgent requests alone exceed the server's capacity. The others must not
 * starve.
 */
static void test_no_starvation(void)
{
	struct world world;
	int patient;
	int n;
	int i;

	start(&world);
	for (i = 0; i < 1000; i++) {
		if (i % 5 == 0)
			ask(&world, 0, MSEC(100), MSEC(10));
		if (i % 50 == 0)
			ask(&world, 1, MSEC(400), MSEC(10));
		pass(&world, STEP);
	}
	patient = count_in_time(&world, 1, &n);
	CU_ASSERT(patient >= 6);
	CU_ASSERT(patient <= 25);
	pass(&world, 2 * DEADLINE);
	finish(&world);
}

#define ROUNDS 300

/* Sends twice the server's capacity, returns the number answered in time. */
static int play_overload(int64_t work, bool in_time[ROUNDS])
{
	struct world world;
	int n = 0;
	int i;

	start(&world);
	for (i = 0; i < ROUNDS; i++) {
		ask(&world, 1, MSEC(150), work);
		pass(&world, work / 2);
	}
	pass(&world, 2 * DEADLINE);
	for (i = 0; i < ROUNDS; i++) {
		in_time[i] = world.calls[i].in_time;
		n += in_time[i];
	}
	finish(&world);
	return n;
}

/*
 * Requests have a part at each of two servers, each with capacity for half of
 * them. Both must serve the same half, or hardly any request is complete.
 */
static void test_same_requests(void)
{
	bool here[ROUNDS];
	bool there[ROUNDS];
	int n = play_overload(MSEC(10), here);
	int both = 0;
	int i;

	CU_ASSERT(n >= 0.45 * ROUNDS);
	CU_ASSERT(play_overload(MSEC(14), there) >= 0.45 * ROUNDS);
	for (i = 0; i < ROUNDS; i++)
		both += here[i] && there[i];
	CU_ASSERT(both >= 0.75 * n);
}

/* Without overload nothing is queued. */
static void test_no_wait_without_load(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < 100; i++) {
		CU_ASSERT(!server_job_is_unsent(
			ask(&world, 1, MSEC(100), MSEC(4))->job));
		CU_ASSERT_EQUAL(server_estimate_wait(&world.server->estimate, 1,
						     clock_now(&world.clock)),
				0);
		pass(&world, MSEC(5));
	}
	CU_ASSERT_EQUAL(world.stats.queued_sends.value, 0);
	finish(&world);
}

/* The estimate includes the queued requests that go first, by urgency. */
static void test_estimate(void)
{
	struct server_estimate *estimate;
	struct world world;
	int64_t now;
	int i;

	start(&world);
	estimate = &world.server->estimate;
	for (i = 0; i < LIMIT + 3; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	now = clock_now(&world.clock);
	CU_ASSERT_EQUAL(server_estimate_wait(estimate, 0, now),
			MSEC(10) / LIMIT);
	CU_ASSERT_EQUAL(server_estimate_wait(estimate, 1, now),
			4 * MSEC(10) / LIMIT);
	pass(&world, MSEC(100));
	CU_ASSERT_EQUAL(server_estimate_wait(estimate, 1,
					     clock_now(&world.clock)),
			0);
	finish(&world);
}

/* A server is removed: queued requests are returned at once, unsent. */
static void test_server_leaves(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < LIMIT + 4; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	registry_remove(&world.registry, STR("a"), 2);
	CU_ASSERT_EQUAL(world.calls[LIMIT].n_ends, 0);
	server_queue_tick(&world.queues);
	for (i = LIMIT; i < LIMIT + 4; i++)
		CU_ASSERT_EQUAL(world.calls[i].code, ERR_DRAINING);
	CU_ASSERT_EQUAL(world.calls[0].n_ends, 0);
	pass(&world, MSEC(100));
	CU_ASSERT_EQUAL(world.calls[0].code, 0);
	finish(&world);
}

/* A server restarts: requests queued for the previous process are returned. */
static void test_server_restarts(void)
{
	struct server_entry entry;
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < LIMIT + 1; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	entry = world.server->entry;
	entry.started_at_ms = 1;
	registry_put(&world.registry, &entry, 2);
	server_queue_tick(&world.queues);
	CU_ASSERT_EQUAL(world.calls[LIMIT].code, ERR_DRAINING);
	pass(&world, MSEC(100));
	finish(&world);
}

/*
 * A server stops answering: queued requests are returned unsent before their
 * deadline.
 */
static void test_server_silent(void)
{
	struct world world;
	int i;

	start(&world);
	world.silent = true;
	for (i = 0; i < LIMIT + 3; i++)
		ask(&world, 1, MSEC(100), MSEC(10));
	pass(&world, DEADLINE);
	for (i = LIMIT; i < LIMIT + 3; i++)
		CU_ASSERT_EQUAL(world.calls[i].code, ERR_OVERLOAD);
	world.silent = false;
	pass(&world, STEP);
	finish(&world);
}

/* A pause of 200 ms ends: queued requests are sent a few at a time. */
static void test_after_pause(void)
{
	struct world world;
	int i;

	start(&world);
	world.silent = true;
	for (i = 0; i < 40; i++) {
		ask(&world, i % 2, MSEC(400), MSEC(4));
		pass(&world, MSEC(5));
	}
	world.silent = false;
	pass(&world, MSEC(400));
	for (i = 0; i < world.n; i++)
		CU_ASSERT(world.calls[i].in_time);
	finish(&world);
}

/* Queued requests are removed when callers abandon them, and never run. */
static void test_abandoned(void)
{
	struct call *kept;
	struct call *abandoned;
	struct world world;

	start(&world);
	ask(&world, 1, MSEC(500), MSEC(10));
	ask(&world, 1, MSEC(500), MSEC(10));
	abandoned = ask(&world, 0, MSEC(500), MSEC(10));
	kept = ask(&world, 1, MSEC(500), MSEC(10));
	server_job_abandon(abandoned->job, 0, NULL);
	abandoned->n_ends++;
	pass(&world, MSEC(100));
	CU_ASSERT(!abandoned->ran);
	CU_ASSERT(kept->ran);
	CU_ASSERT_EQUAL(world.stats.queued_sends_cancelled.value, 1);
	finish(&world);
}

/* Queued requests end unsent when hurried, and their end is reported. */
static void test_hurried(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < LIMIT + 1; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	for (i = 0; i < LIMIT + 1; i++)
		server_job_hurry(world.calls[i].job, 0);
	CU_ASSERT_EQUAL(world.calls[LIMIT].n_ends, 0);
	pass(&world, MSEC(100));
	CU_ASSERT_EQUAL(world.calls[LIMIT].code, ERR_CANCELLED);
	CU_ASSERT_EQUAL(world.calls[0].code, 0);
	finish(&world);
}

/* Guards against requests that are sent when nobody waits for them any more. */
static void test_limited_time(void)
{
	struct call *queued;
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < LIMIT; i++)
		ask(&world, 1, MSEC(500), MSEC(200));
	queued = ask(&world, 1, MSEC(500), MSEC(10));
	server_queues_limit_time(&world.queues,
				 clock_now(&world.clock) + MSEC(100));
	CU_ASSERT_EQUAL(queued->n_ends, 0);
	pass(&world, MSEC(105));
	CU_ASSERT_EQUAL(queued->n_ends, 1);
	CU_ASSERT_EQUAL(queued->code, ERR_OVERLOAD);
	pass(&world, DEADLINE);
	CU_ASSERT(!queued->ran);
	finish(&world);
}

/* Guards against an order that gets its turn when it may take too long. */
static void test_send_by(void)
{
	struct call *queued;
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < LIMIT; i++)
		ask(&world, 1, MSEC(500), MSEC(50));
	queued = ask(&world, 1, MSEC(500), MSEC(10));
	server_job_limit(queued->job, clock_now(&world.clock) + MSEC(40));
	pass(&world, MSEC(45));
	CU_ASSERT_EQUAL(queued->code, ERR_OVERLOAD);
	pass(&world, MSEC(200));
	CU_ASSERT(!queued->ran);
	finish(&world);
}

/* A request that missed its goal does not delay one that can meet its goal. */
static void test_late_goes_last(void)
{
	struct call *late;
	struct call *live;
	struct world world;

	start(&world);
	ask(&world, 0, MSEC(500), MSEC(40));
	ask(&world, 0, MSEC(500), MSEC(40));
	late = ask(&world, 0, MSEC(20), MSEC(10));
	live = ask(&world, 1, MSEC(500), MSEC(10));
	pass(&world, MSEC(55));
	CU_ASSERT(live->ran);
	CU_ASSERT(!late->ran);
	pass(&world, MSEC(200));
	CU_ASSERT_EQUAL(late->code, 0);
	CU_ASSERT_EQUAL(world.stats.queued_sends_late.value, 1);
	finish(&world);
}

/*
 * Sending a queued request fails without a free connection: it ends with that
 * error.
 */
static void test_send_fails(void)
{
	struct call *waits;
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < LIMIT; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	waits = ask(&world, 1, MSEC(500), MSEC(10));
	world.refuse = ERR_BUDGET;
	pass(&world, MSEC(30));
	CU_ASSERT_EQUAL(waits->code, ERR_BUDGET);
	CU_ASSERT(!waits->ran);
	finish(&world);
}

/*
 * A server that refuses requests is loaded by other senders, and gets one
 * fewer.
 */
static void test_server_refuses(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < LIMIT + 2; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	answer(&world, &world.calls[0], ERR_SHED);
	CU_ASSERT_EQUAL(world.calls[0].code, ERR_SHED);
	CU_ASSERT_EQUAL(world.under_way, LIMIT - 1);
	pass(&world, MSEC(200));
	finish(&world);
}

/* No more requests are queued than the server can answer by their deadlines. */
static void test_full(void)
{
	struct world world;
	int refused = 0;
	int i;

	start(&world);
	for (i = 0; i < 300; i++)
		refused += ask(&world, 1, MSEC(100), MSEC(10))->code ==
			   ERR_OVERLOAD;
	CU_ASSERT(refused >= 100);
	/* A more urgent one still finds room. */
	CU_ASSERT_EQUAL(ask(&world, 0, MSEC(100), MSEC(10))->code, 0);
	pass(&world, 2 * DEADLINE);
	finish(&world);
}

static const struct unit_test tests[] = {
	{"urgent first", test_urgent_first},
	{"no starvation", test_no_starvation},
	{"same requests", test_same_requests},
	{"no wait without load", test_no_wait_without_load},
	{"estimate", test_estimate},
	{"limited time", test_limited_time},
	{"latest time to send", test_send_by},
	{"server leaves", test_server_leaves},
	{"server restarts", test_server_restarts},
	{"server silent", test_server_silent},
	{"after a pause", test_after_pause},
	{"abandoned", test_abandoned},
	{"hurried", test_hurried},
	{"late goes last", test_late_goes_last},
	{"send fails", test_send_fails},
	{"server refuses", test_server_refuses},
	{"full", test_full},
};

UNIT_MAIN("server_queue", tests)
