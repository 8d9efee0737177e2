#include "dispatch_world.h"

#define USUAL MSEC(10)
#define LATE MSEC(400)

/* All that is said of the servers of shards @first to 3 is said at once. */
static void tell(struct world *world, int first, int64_t ahead)
{
	int64_t now = clock_now(&world->clock);
	struct registry_server *server;

	for (server = world->registry.servers; server;
	     server = server->hh.next) {
		if (server->entry.service[1] - '0' < first)
			continue;
		server_estimate_set_wait(&server->estimate, 0, ahead, now);
		server_estimate_add_report(&server->estimate, (double)USUAL,
					   now);
	}
}

/* Load control is on, and this many requests of others are under way. */
static void init(struct world *world, int n_others)
{
	struct registry_server *server;

	world_init(world);
	world->control.left_out = true;
	latency_add_unloaded(&world->latency, (double)USUAL);
	for (server = world->registry.servers; server;
	     server = server->hh.next) {
		server->service->baseline_latency = (double)USUAL;
		server->score.outstanding = n_others;
		server->score.waiting_since = clock_now(&world->clock);
	}
}

/* Guards against a request that burdens all servers and is late all the same.
 */
static void test_refused(void)
{
	struct world world;

	init(&world, 1);
	tell(&world, 0, LATE);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_REFUSED);
	CU_ASSERT(world.n_sent == 0);
	CU_ASSERT(world.dispatch.code == ERR_OVERLOAD);
	CU_ASSERT(world.dispatch.foreseen);
	CU_ASSERT(world.dispatch.room_in > MSEC(300));
	CU_ASSERT(world.dispatch.room_in <= LATE);
	world_finish(&world);
}

static void test_switched_off(void)
{
	struct world world;

	init(&world, 1);
	world.control.left_out = false;
	tell(&world, 0, LATE);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	world_finish(&world);
}

/* Guards against refusing on what is not known, or not known any more. */
static void test_little_known(void)
{
	struct world world;

	init(&world, 1);
	tell(&world, 0, LATE);
	clock_advance(&world.clock, LATE);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	world_finish(&world);

	init(&world, 1);
	world.latency.unloaded = 0;
	tell(&world, 0, LATE);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	world_finish(&world);

	/* Of one shard nothing is known; too many others are late. */
	init(&world, 1);
	tell(&world, 1, LATE);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_REFUSED);
	world_finish(&world);
}

/* Guards against an instance that never learns that servers recovered. */
static void test_probe(void)
{
	struct world world;

	init(&world, 0);
	tell(&world, 0, LATE);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	world_finish(&world);
}

/* Guards against a caller that keeps to its time and is sent away again. */
static void test_promised(void)
{
	struct world world;

	init(&world, 1);
	tell(&world, 0, LATE);
	prepare(&world, "/shards/");
	world.dispatch.promised = true;
	CU_ASSERT(dispatch_start(&world.dispatch) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 4);
	world_finish(&world);
}

/* Guards against one busy shard that holds a caller up until its goal. */
static void test_left_out(void)
{
	struct world world;

	init(&world, 1);
	tell(&world, 3, LATE);
	CU_ASSERT(start(&world, "/shards/") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 3);
	CU_ASSERT(world.dispatch.n_left_out == 1);
	CU_ASSERT(world.dispatch.parts[3].code == ERR_LEFT_OUT);
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	CU_ASSERT(result(&world, 2, 0, false, "c") == DISPATCH_PARTIAL);
	CU_ASSERT(clock_now(&world.clock) == world.dispatch.start);
	world_finish(&world);
}

/* Guards against failing for want of a part that was never asked for. */
static void test_left_out_is_needed(void)
{
	struct world world;

	init(&world, 1);
	tell(&world, 3, LATE);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	CU_ASSERT(result(&world, 2, ERR_LOST, false, "") == DISPATCH_PENDING);
	CU_ASSERT(result(&world, 3, ERR_LOST, false, "") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(world.sent[4]->part == &world.dispatch.parts[3]);
	CU_ASSERT(result(&world, 4, 0, false, "d") == DISPATCH_PARTIAL);
	world_finish(&world);
}

/* Guards against second sends that help nobody, beside an answer that stands.
 */
static void test_kept_back(void)
{
	struct world world;

	init(&world, 0);
	start(&world, "/shards/");
	result(&world, 0, 0, false, "a");
	result(&world, 1, 0, false, "b");
	tell(&world, 2, LATE);
	CU_ASSERT(result(&world, 2, ERR_LOST, false, "") == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	result(&world, 4, 0, false, "c");
	CU_ASSERT(pass(&world, 40) == DISPATCH_PENDING);
	CU_ASSERT(world.n_sent == 5);
	CU_ASSERT(result(&world, 3, ERR_LOST, false, "") == DISPATCH_PARTIAL);
	world_finish(&world);
}

/* Guards against a burst that finds each queue as short as its first request.
 */
static void test_own_sends_count(void)
{
	const struct server_estimate *outlook;
	struct world world;

	init(&world, 0);
	tell(&world, 0, 0);
	start(&world, "/shards/");
	outlook = &world.sent[0]->server->estimate;
	CU_ASSERT(server_estimate_wait(outlook, 0, world.dispatch.start) ==
		  USUAL / 2);
	CU_ASSERT(server_estimate_wait(outlook, 3, world.dispatch.start) ==
		  USUAL / 2);
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"refused", test_refused},
	{"switched off", test_switched_off},
	{"little known", test_little_known},
	{"probe", test_probe},
	{"promised", test_promised},
	{"left out", test_left_out},
	{"what was left out is needed", test_left_out_is_needed},
	{"kept back", test_kept_back},
	{"own sends count", test_own_sends_count},
};

UNIT_MAIN("dispatch_forecast", tests)
