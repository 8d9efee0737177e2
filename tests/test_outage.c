#include <stdio.h>
#include <string.h>

#include "outage.h"
#include "unit.h"

#define START MSEC(1000000)

/* A service of two servers, and whether anybody listens at their addresses. */
struct world {
	struct clock clock;
	struct registry registry;
	struct outage outage;
	bool listens;
	int64_t answers_after; /* of a check; negative: never */
	struct outage_server *checks[64];
	int64_t ends[64];
	int n_checks;
	int n_ended;
	int n_changes;
};

static const struct registry_criteria anywhere;

static void on_check(void *arg, struct registry_server *server,
		     struct outage_server *check)
{
	struct world *world = arg;

	(void)server;
	world->checks[world->n_checks] = check;
	world->ends[world->n_checks++] =
		clock_now(&world->clock) + world->answers_after;
}

static void on_changed(void *arg, const struct registry_server *server,
		       bool lost, int64_t lost_for)
{
	struct world *world = arg;

	(void)server;
	(void)lost;
	(void)lost_for;
	world->n_changes++;
}

static const struct outage_ops ops = {
	.check = on_check,
	.changed = on_changed,
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static void add_server(struct world *world, const char *id)
{
	struct server_entry entry = {.slots = 2};

	snprintf(entry.id, sizeof(entry.id), "%s", id);
	snprintf(entry.service, sizeof(entry.service), "s");
	registry_put(&world->registry, &entry, 1);
}

static void world_init(struct world *world)
{
	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, START);
	registry_init(&world->registry, STR("dc"), on_closing, NULL);
	outage_init(&world->outage, &world->clock, &ops, world);
	add_server(world, "a");
	add_server(world, "b");
}

static void world_finish(struct world *world)
{
	outage_finish(&world->outage);
	registry_finish(&world->registry);
}

static void result(struct world *world, const char *id,
		   enum server_result result)
{
	struct registry_server *server =
		registry_find(&world->registry, str_from(id));
	int64_t now = clock_now(&world->clock);

	server_score_sent(&server->score, now);
	server_score_result(&server->score, result, 0, now);
}

static bool hits(struct world *world)
{
	int64_t since;

	return outage_affects(&world->outage,
			      registry_service(&world->registry, STR("s")),
			      &since);
}

static void lose_all(struct world *world)
{
	result(world, "a", SERVER_UNREACHABLE);
	result(world, "a", SERVER_UNREACHABLE);
	result(world, "b", SERVER_UNREACHABLE);
	result(world, "b", SERVER_UNREACHABLE);
}

/* A request a millisecond, and checks that end when the world says so. */
static void play(struct world *world, int64_t ms)
{
	for (; ms > 0; ms--) {
		hits(world);
		while (world->n_ended < world->n_checks &&
		       world->answers_after >= 0 &&
		       world->ends[world->n_ended] <= clock_now(&world->clock))
			outage_check_done(&world->outage,
					  world->checks[world->n_ended++],
					  world->listens);
		if (outage_due(&world->outage) <= clock_now(&world->clock))
			outage_tick(&world->outage);
		clock_advance(&world->clock, MSEC(1));
	}
}

/*
 * One packet to each server is lost, or one connection too many is refused. The
 * shard lives, and must not be left out of callers' answers for that.
 */
static void test_one_failure_is_no_outage(void)
{
	struct world world;

	world_init(&world);
	result(&world, "a", SERVER_UNREACHABLE);
	result(&world, "b", SERVER_UNREACHABLE);
	CU_ASSERT(!hits(&world));
	result(&world, "a", SERVER_ANSWERED);
	result(&world, "a", SERVER_UNREACHABLE);
	result(&world, "b", SERVER_UNREACHABLE);
	CU_ASSERT(!hits(&world));
	CU_ASSERT(!world.n_changes);
	world_finish(&world);
}

/*
 * One of two servers crashed. A request that found out is answered by the other
 * one; the next ones must not each try the dead one first. One failed check
 * more, and it is left alone until it listens.
 */
static void test_checked_not_tried(void)
{
	struct world world;
	struct registry_service *service;
	int64_t now;

	world_init(&world);
	service = registry_service(&world.registry, STR("s"));
	result(&world, "a", SERVER_UNREACHABLE);
	CU_ASSERT(!hits(&world));
	play(&world, 60);
	now = clock_now(&world.clock) + MSEC(10000);
	result(&world, "b", SERVER_SILENT);
	CU_ASSERT(registry_pick(service, &anywhere, now) ==
		  registry_find(&world.registry, STR("b")));
	world.listens = true;
	play(&world, 60);
	result(&world, "b", SERVER_UNREACHABLE);
	result(&world, "b", SERVER_UNREACHABLE);
	CU_ASSERT(registry_pick(service, &anywhere, now) ==
		  registry_find(&world.registry, STR("a")));
	world_finish(&world);
}

/* A server that refuses for load lives; one that is silent may be paused. */
static void test_refusal_and_silence(void)
{
	struct world world;

	world_init(&world);
	lose_all(&world);
	CU_ASSERT(hits(&world));
	result(&world, "b", SERVER_REFUSED);
	CU_ASSERT(!hits(&world));
	result(&world, "b", SERVER_SILENT);
	result(&world, "b", SERVER_SILENT);
	CU_ASSERT(!hits(&world));
	world_finish(&world);
}

/*
 * Both servers of a shard are down for 3 s and refuse connections. Requests
 * come all the while. Once one is back, requests go there within 60 ms, and
 * until then each server saw no more than 20 connections a second.
 */
static void test_back_within_60_ms(void)
{
	struct world world;
	int ms;

	world_init(&world);
	lose_all(&world);
	CU_ASSERT(hits(&world));
	for (ms = 0; ms < 600; ms += 100) {
		play(&world, 100);
		CU_ASSERT(world.n_checks <= 2 * (ms + 100) / 50 + 2);
	}
	CU_ASSERT(hits(&world));
	world.listens = true;
	for (ms = 0; hits(&world) && ms < 1000; ms++)
		play(&world, 1);
	CU_ASSERT(ms <= 60);
	CU_ASSERT(world.n_changes >= 2);
	world_finish(&world);
}

/*
 * The servers lost power: packets to them get no answer, and a check ends after
 * 250 ms. Others are started meanwhile, so that their return is seen as soon,
 * but no more than five are open at a time.
 */
static void test_no_answer(void)
{
	struct world world;

	world_init(&world);
	world.answers_after = -1;
	lose_all(&world);
	play(&world, 1000);
	CU_ASSERT(world.n_checks == 10);
	world_finish(&world);
}

/* The last request for the shard was long ago: nobody needs the checks. */
static void test_nobody_asks(void)
{
	struct world world;
	int n;

	world_init(&world);
	lose_all(&world);
	play(&world, 200);
	clock_advance(&world.clock, MSEC(2100));
	n = world.n_checks;
	outage_tick(&world.outage);
	CU_ASSERT(world.n_checks == n);
	/* And they begin anew with the next request. */
	play(&world, 100);
	CU_ASSERT(world.n_checks > n);
	world_finish(&world);
}

/* What is published counts too: a service may have no server at all. */
static void test_no_server(void)
{
	struct world world;

	world_init(&world);
	result(&world, "a", SERVER_UNREACHABLE);
	result(&world, "a", SERVER_UNREACHABLE);
	CU_ASSERT(!hits(&world));
	registry_remove(&world.registry, STR("b"), 2);
	CU_ASSERT(hits(&world));
	registry_remove(&world.registry, STR("a"), 3);
	CU_ASSERT(hits(&world));
	add_server(&world, "c");
	CU_ASSERT(!hits(&world));
	world_finish(&world);
}

/*
 * An outage of unknown length: told to come back at once, callers would come in
 * vain again and again; told to come back in a minute, they would stay away
 * long after a restart of two seconds.
 */
static void test_retry_after(void)
{
	struct world world;
	int64_t since = START - MSEC(700);

	world_init(&world);
	CU_ASSERT(outage_retry_after(&world.outage, since) == 700);
	CU_ASSERT(outage_retry_after(&world.outage, START) == 100);
	CU_ASSERT(outage_retry_after(&world.outage, 0) == 100);
	CU_ASSERT(outage_retry_after(&world.outage, START - MSEC(60000)) ==
		  5000);
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"one failure is no outage", test_one_failure_is_no_outage},
	{"checked, not tried", test_checked_not_tried},
	{"refusal and silence", test_refusal_and_silence},
	{"back within 60 ms", test_back_within_60_ms},
	{"no answer", test_no_answer},
	{"nobody asks", test_nobody_asks},
	{"no server", test_no_server},
	{"retry after", test_retry_after},
};

UNIT_MAIN("outage", tests)
