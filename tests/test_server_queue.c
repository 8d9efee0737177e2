/* The load of requests before one server, played on a paused clock. */
#include <stdio.h>
#include <string.h>

#include "error.h"
#include "server_queue.h"
#include "unit.h"

#define TURNS_MAX 1024
#define SLOTS 2
#define SENDERS 2
/* This instance's share of the slots, and the one on the way. */
#define MOST (SLOTS / SENDERS + 1)
#define STEP MSEC(1)
#define DEADLINE MSEC(1000)

/* A request and what became of it. */
struct asked {
	struct upstream_request request;
	char id[8];
	struct server_job *turn; /* NULL once it is over */
	int64_t priority;
	int64_t goal_at;
	int64_t work;
	int64_t ends_at; /* at the server, 0: it is not there */
	int n_ends;
	int code;
	bool ran;
	bool in_time;
};

/*
 * A server of which this instance has one slot, so that it runs one request
 * after the other, as they came.
 */
struct world {
	struct clock clock;
	struct registry registry;
	struct registry_server *server;
	struct gateway_stats stats;
	struct server_queues queues;
	struct asked asked[TURNS_MAX];
	int n;
	int under_way;
	int most_under_way;
	int64_t free_at;
	bool silent;
	int refuse; /* what a send returns */
	int64_t wake_at;
};

static struct asked *asked_of(const struct server_job *turn)
{
	return turn->arg;
}

static int on_send(void *arg, struct server_job *turn)
{
	struct world *world = arg;
	struct asked *asked = asked_of(turn);
	int64_t now = clock_now(&world->clock);

	if (world->refuse)
		return world->refuse;
	if (world->free_at < now)
		world->free_at = now;
	world->free_at += asked->work;
	asked->ends_at = world->free_at;
	asked->ran = true;
	server_score_sent(&turn->server->score, now);
	if (++world->under_way > world->most_under_way)
		world->most_under_way = world->under_way;
	return 0;
}

static void on_abandon(void *arg, struct server_job *turn, int64_t linger)
{
	(void)arg;
	(void)linger;
	asked_of(turn)->turn = NULL;
}

static void on_hurry(void *arg, struct server_job *turn, int64_t linger)
{
	(void)arg;
	(void)turn;
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
	struct asked *asked = arg;

	asked->turn = NULL;
	asked->n_ends++;
	asked->code = result->code;
	/* What came back unsent must not run, now or later. */
	if (result->not_run)
		CU_ASSERT(!asked->ran);
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

static void answer(struct world *world, struct asked *asked, int code)
{
	int64_t now = clock_now(&world->clock);
	int64_t took = asked->turn ? now - asked->turn->sent_at : asked->work;
	const struct exchange_result result = {.code = code,
					       .not_run = code == ERR_SHED,
					       .took = took};

	asked->ends_at = 0;
	if (code == ERR_SHED)
		asked->ran = false;
	asked->in_time = !code && now <= asked->goal_at;
	world->under_way--;
	server_score_result(&world->server->score, server_result_of(code, true),
			    took, now);
	if (asked->turn)
		server_job_done(asked->turn, &result);
	server_queue_capacity_freed(&world->queues, world->server);
}

static void step(struct world *world)
{
	int64_t now;
	int i;

	clock_advance(&world->clock, STEP);
	now = clock_now(&world->clock);
	for (i = 0; i < world->n; i++) {
		struct asked *asked = &world->asked[i];

		if (asked->ends_at && asked->ends_at <= now && !world->silent)
			answer(world, asked, 0);
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

static struct asked *ask(struct world *world, int64_t priority, int64_t goal,
			 int64_t work)
{
	struct asked *asked = &world->asked[world->n++];
	int64_t now = clock_now(&world->clock);
	struct server_job_rank rank = {.priority = priority,
				       .goal_at = now + goal};
	int ret;

	snprintf(asked->id, sizeof(asked->id), "%d", world->n);
	asked->request.id = str_from(asked->id);
	asked->priority = priority;
	asked->goal_at = now + goal;
	asked->work = work;
	ret = server_queue_send(&world->queues, world->server, &asked->request,
				&rank, now + DEADLINE, 64, on_result, asked,
				&asked->turn);
	if (!ret)
		return asked;
	CU_ASSERT_EQUAL(asked->n_ends, 0);
	asked->turn = NULL;
	asked->n_ends++;
	asked->code = ret;
	return asked;
}

/* Each request ended exactly once, and nothing is left behind. */
static void finish(struct world *world)
{
	int i;

	for (i = 0; i < world->n; i++)
		CU_ASSERT_EQUAL(world->asked[i].n_ends, 1);
	CU_ASSERT_PTR_NULL(world->queues.waiting);
	CU_ASSERT_PTR_NULL(world->queues.ended);
	CU_ASSERT(world->most_under_way <= MOST);
	registry_server_unref(world->server);
	registry_finish(&world->registry);
}

static int count_in_time(const struct world *world, int64_t priority, int *n)
{
	int in_time = 0;
	int i;

	*n = 0;
	for (i = 0; i < world->n; i++) {
		if (world->asked[i].priority != priority)
			continue;
		in_time += world->asked[i].in_time;
		++*n;
	}
	return in_time;
}

/*
 * Twice what the server bears, for a second: an urgent kind of 4 ms takes a
 * third of the slot, a patient one of 20 ms asks for more than is left.
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

/* The urgent kind alone is more than the server bears. */
static void test_floor(void)
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

/* Twice what the server bears, and what of it is answered in time. */
static int play_twice(int64_t work, bool in_time[ROUNDS])
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
		in_time[i] = world.asked[i].in_time;
		n += in_time[i];
	}
	finish(&world);
	return n;
}

/*
 * Requests have a part at each of two servers that bear half of them: both
 * serve the same half, or hardly a request is whole.
 */
static void test_same_requests(void)
{
	bool here[ROUNDS];
	bool there[ROUNDS];
	int n = play_twice(MSEC(10), here);
	int both = 0;
	int i;

	CU_ASSERT(n >= 0.45 * ROUNDS);
	CU_ASSERT(play_twice(MSEC(14), there) >= 0.45 * ROUNDS);
	for (i = 0; i < ROUNDS; i++)
		both += here[i] && there[i];
	CU_ASSERT(both >= 0.75 * n);
}

/* On a calm day nothing waits. */
static void test_calm(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < 100; i++) {
		CU_ASSERT(!server_job_is_unsent(
			ask(&world, 1, MSEC(100), MSEC(4))->turn));
		CU_ASSERT_EQUAL(server_estimate_wait(&world.server->outlook, 1,
						     clock_now(&world.clock)),
				0);
		pass(&world, MSEC(5));
	}
	CU_ASSERT_EQUAL(world.stats.turns_waited.value, 0);
	finish(&world);
}

/* The outlook counts what goes first, by urgency. */
static void test_outlook(void)
{
	struct server_estimate *outlook;
	struct world world;
	int64_t now;
	int i;

	start(&world);
	outlook = &world.server->outlook;
	for (i = 0; i < MOST + 3; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	now = clock_now(&world.clock);
	CU_ASSERT_EQUAL(server_estimate_wait(outlook, 0, now), MSEC(10) / MOST);
	CU_ASSERT_EQUAL(server_estimate_wait(outlook, 1, now),
			4 * MSEC(10) / MOST);
	pass(&world, MSEC(100));
	CU_ASSERT_EQUAL(server_estimate_wait(outlook, 1,
					     clock_now(&world.clock)),
			0);
	finish(&world);
}

/* A server leaves with requests waiting: they go back at once, unsent. */
static void test_server_leaves(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < MOST + 4; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	registry_remove(&world.registry, STR("a"), 2);
	CU_ASSERT_EQUAL(world.asked[MOST].n_ends, 0);
	server_queue_tick(&world.queues);
	for (i = MOST; i < MOST + 4; i++)
		CU_ASSERT_EQUAL(world.asked[i].code, ERR_DRAINING);
	CU_ASSERT_EQUAL(world.asked[0].n_ends, 0);
	pass(&world, MSEC(100));
	CU_ASSERT_EQUAL(world.asked[0].code, 0);
	finish(&world);
}

/* A server starts again: what waited for the earlier start goes back. */
static void test_server_restarts(void)
{
	struct server_entry entry;
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < MOST + 1; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	entry = world.server->entry;
	entry.born = 1;
	registry_put(&world.registry, &entry, 2);
	server_queue_tick(&world.queues);
	CU_ASSERT_EQUAL(world.asked[MOST].code, ERR_DRAINING);
	pass(&world, MSEC(100));
	finish(&world);
}

/* A server falls silent: what waits is back before its deadline, unsent. */
static void test_server_silent(void)
{
	struct world world;
	int i;

	start(&world);
	world.silent = true;
	for (i = 0; i < MOST + 3; i++)
		ask(&world, 1, MSEC(100), MSEC(10));
	pass(&world, DEADLINE);
	for (i = MOST; i < MOST + 3; i++)
		CU_ASSERT_EQUAL(world.asked[i].code, ERR_OVERLOAD);
	world.silent = false;
	pass(&world, STEP);
	finish(&world);
}

/* A pause of 200 ms ends: what waited goes out a few at a time. */
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
		CU_ASSERT(world.asked[i].in_time);
	finish(&world);
}

/* Callers that leave take what waits with them, and it never runs. */
static void test_abandoned(void)
{
	struct asked *kept;
	struct asked *gone;
	struct world world;

	start(&world);
	ask(&world, 1, MSEC(500), MSEC(10));
	ask(&world, 1, MSEC(500), MSEC(10));
	gone = ask(&world, 0, MSEC(500), MSEC(10));
	kept = ask(&world, 1, MSEC(500), MSEC(10));
	server_job_abandon(gone->turn, 0);
	gone->n_ends++;
	pass(&world, MSEC(100));
	CU_ASSERT(!gone->ran);
	CU_ASSERT(kept->ran);
	CU_ASSERT_EQUAL(world.stats.turns_forgotten.value, 1);
	finish(&world);
}

/* Told to hurry, what waits ends unsent, and its end is still reported. */
static void test_hurried(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < MOST + 1; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	for (i = 0; i < MOST + 1; i++)
		server_job_hurry(world.asked[i].turn, 0);
	CU_ASSERT_EQUAL(world.asked[MOST].n_ends, 0);
	pass(&world, MSEC(100));
	CU_ASSERT_EQUAL(world.asked[MOST].code, ERR_CANCELLED);
	CU_ASSERT_EQUAL(world.asked[0].code, 0);
	finish(&world);
}

/* One that missed its goal does not push back one that can meet it. */
static void test_late_goes_last(void)
{
	struct asked *late;
	struct asked *live;
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
	CU_ASSERT_EQUAL(world.stats.turns_late.value, 1);
	finish(&world);
}

/* No connection is free when the turn comes: it goes back with that. */
static void test_send_fails(void)
{
	struct asked *waits;
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < MOST; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	waits = ask(&world, 1, MSEC(500), MSEC(10));
	world.refuse = ERR_BUDGET;
	pass(&world, MSEC(30));
	CU_ASSERT_EQUAL(waits->code, ERR_BUDGET);
	CU_ASSERT(!waits->ran);
	finish(&world);
}

/* A server that refuses has others' work in it and is given one fewer. */
static void test_server_refuses(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < MOST + 2; i++)
		ask(&world, 1, MSEC(500), MSEC(10));
	answer(&world, &world.asked[0], ERR_SHED);
	CU_ASSERT_EQUAL(world.asked[0].code, ERR_SHED);
	CU_ASSERT_EQUAL(world.under_way, MOST - 1);
	pass(&world, MSEC(200));
	finish(&world);
}

/* No more wait than a server can answer by their deadline. */
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
	/* An urgent one finds room. */
	CU_ASSERT_EQUAL(ask(&world, 0, MSEC(100), MSEC(10))->code, 0);
	pass(&world, 2 * DEADLINE);
	finish(&world);
}

static const struct unit_test tests[] = {
	{"urgent first", test_urgent_first},
	{"floor", test_floor},
	{"same requests", test_same_requests},
	{"calm", test_calm},
	{"outlook", test_outlook},
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
