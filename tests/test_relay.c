/* An entry and what a relay tells it, on a paused clock and by hand. */
#include <string.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utlist.h>

#include "error.h"
#include "relay_ask.h"
#include "unit.h"

#define SERVERS 3
#define RECORDS_MOST 2

struct world {
	struct clock clock;
	struct settings settings;
	struct event_base *base;
	struct blackboard board;
	struct registry registry;
	struct peers peers;
	struct peer_link link;
	struct relay_ask ask;
	struct relay_client client;
	struct upstream_request request;
	struct dispatch_send sends[SERVERS];
	int codes[SERVERS];
	size_t lens[SERVERS];
	int64_t took[SERVERS];
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static bool on_usable(void *arg, const struct fleet_member *member)
{
	(void)arg;
	(void)member;
	return true;
}

static void on_result(struct dispatch_send *send,
		      const struct dispatch_answer *answer)
{
	struct world *world = send->handle;
	long i = send - world->sends;

	world->codes[i] = answer->code;
	world->lens[i] = answer->body.len;
	world->took[i] = answer->took;
}

static void on_hold(void *arg)
{
	(void)arg;
}

static void add_server(struct world *world, int i)
{
	struct server_entry entry = {.slots = 2, .id = {(char)('a' + i)}};

	str_copy(entry.service, sizeof(entry.service), STR("s"));
	str_copy(entry.data_centre, sizeof(entry.data_centre), STR("there"));
	registry_put(&world->registry, &entry, 1);
}

static void ask(struct world *world, void **handles)
{
	int i;

	for (i = 0; i < SERVERS; i++) {
		const char id[] = {(char)('a' + i), 0};

		world->sends[i].server =
			registry_find(&world->registry, str_from(id));
		world->sends[i].handle = world;
		world->codes[i] = 1;
		CU_ASSERT_EQUAL(relay_ask_send(&world->ask, &world->client,
					       &world->sends[i], "there", NULL,
					       &handles[i]),
				0);
	}
	relay_ask_flush(&world->ask, &world->client);
}

static void start(struct world *world)
{
	struct fleet_member *member;

	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, MSEC(1000000));
	world->base = event_base_new();
	blackboard_init(&world->board, &world->clock, &world->settings,
			world->base, 1);
	member = fleet_find_or_add(&world->board.fleet, STR("far"));
	member->status = FLEET_ALIVE;
	str_copy(member->data_centre, sizeof(member->data_centre),
		 STR("there"));
	registry_init(&world->registry, STR("here"), on_closing, NULL);
	add_server(world, 0);
	add_server(world, 1);
	add_server(world, 2);
	world->peers.board = &world->board;
	world->link.peers = &world->peers;
	world->link.outgoing = true;
	world->link.up = true;
	str_copy(world->link.instance, sizeof(world->link.instance),
		 STR("far"));
	world->link.bev = bufferevent_socket_new(world->base, -1, 0);
	DL_APPEND(world->peers.links, &world->link);
	relay_ask_init(&world->ask, &world->board, &world->peers,
		       &world->registry, on_usable, world);
	world->client = (struct relay_client){
		.request = &world->request,
		.deadline = MSEC(1001000),
		.flush_after = MSEC(20),
		.records_max = RECORDS_MOST,
		.result = on_result,
		.hold = on_hold,
		.release = on_hold,
		.arg = world,
	};
}

static void finish(struct world *world)
{
	relay_client_finish(&world->ask, &world->client);
	relay_ask_finish(&world->ask);
	registry_finish(&world->registry);
	blackboard_finish(&world->board);
	bufferevent_free(world->link.bev);
	event_base_free(world->base);
}

static void tell_done(struct world *world, Peer__PartDone *done, bool floor,
		      int n_records)
{
	Peer__PartResult message = PEER__PART_RESULT__INIT;
	Peer__PartDone *parts[] = {done};
	uint8_t records[RECORDS_MOST * 16] = {0};
	uint8_t origins[RECORDS_MOST] = {0};
	struct frame frame = {.type = FRAME_PART_RESULT};

	done->stamp = (char *)"s";
	message.id = 1;
	message.parts = parts;
	message.n_parts = 1;
	message.floor = floor;
	message.records.data = records;
	message.records.len = (size_t)n_records * 16;
	message.origins.data = origins;
	message.origins.len = (size_t)n_records;
	frame.message = &message.base;
	world->ask.handler.frame(&world->ask, &world->link, &frame);
}

/* The relay tells one part with its records. */
static void tell(struct world *world, uint32_t index, bool floor, int n_records)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;

	done.index = index;
	done.success = true;
	tell_done(world, &done, floor, n_records);
}

/*
 * Half of the servers lose four answers of ten. An entry hears two answers a
 * second of each and took seconds to leave the unsound ones; a relay hears
 * those of all entries. What it tells beside a good answer turns the choice at
 * once.
 */
static void test_relay_tells_failures(void)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;
	struct registry_server *unsound;
	void *handles[SERVERS];
	struct world world;

	start(&world);
	unsound = registry_find(&world.registry, STR("a"));
	ask(&world, handles);
	done.success = true;
	done.failures = 400;
	tell_done(&world, &done, false, 1);
	CU_ASSERT_EQUAL(world.codes[0], 0);
	CU_ASSERT_DOUBLE_EQUAL(unsound->score.failures, 0.4, 0.001);
	finish(&world);
}

/*
 * A server is cold and the relay has sent it what it bears: the part comes back
 * unsent, and the entry knows for how long to ask others first.
 */
static void test_cold_part_comes_back(void)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;
	struct registry_server *cold;
	void *handles[SERVERS];
	struct world world;

	start(&world);
	cold = registry_find(&world.registry, STR("a"));
	cold->service->warmup.bound = 14;
	ask(&world, handles);
	done.code = ERR_COLD;
	done.not_run = true;
	done.cold_for_ms = UINT32_MAX;
	tell_done(&world, &done, false, 0);
	CU_ASSERT_EQUAL(world.codes[0], ERR_COLD);
	CU_ASSERT(registry_is_cold(cold, clock_now(&world.clock)));
	/* A relay may say any number: a minute is believed at most. */
	clock_advance(&world.clock, MSEC(60001));
	CU_ASSERT(!registry_is_cold(cold, clock_now(&world.clock)));
	finish(&world);
}

/*
 * Once a relay has told the greatest records, later parts come with those that
 * can still be among them, perhaps none. They count as whole.
 */
static void test_floor(void)
{
	void *handles[SERVERS];
	struct world world;

	start(&world);
	ask(&world, handles);
	tell(&world, 0, true, 2);
	CU_ASSERT_EQUAL(world.codes[0], 0);
	CU_ASSERT_EQUAL(world.lens[0], 32);
	tell(&world, 1, false, 0);
	CU_ASSERT_EQUAL(world.codes[1], 0);
	CU_ASSERT_EQUAL(world.lens[1], 0);
	finish(&world);
}

/*
 * Of the parts that later ones are measured by, one is not taken: another
 * server had answered for it. What was left out for its records may belong to
 * the answer, so that later parts of this relay are not whole.
 */
static void test_floor_not_taken(void)
{
	void *handles[SERVERS];
	struct world world;

	start(&world);
	ask(&world, handles);
	relay_ask_abandon(handles[0]);
	tell(&world, 0, true, 2);
	CU_ASSERT_EQUAL(world.codes[0], 1);
	tell(&world, 1, false, 0);
	CU_ASSERT_EQUAL(world.codes[1], ERR_PROTOCOL);
	finish(&world);
}

/*
 * The first parts hold few records, so that none is displaced among them. One
 * is not taken; later ones are measured by it all the same.
 */
static void test_short_floor_not_taken(void)
{
	void *handles[SERVERS];
	struct world world;

	start(&world);
	ask(&world, handles);
	relay_ask_abandon(handles[0]);
	tell(&world, 0, true, 1);
	tell(&world, 1, true, 1);
	CU_ASSERT_EQUAL(world.codes[1], ERR_PROTOCOL);
	finish(&world);
}

/* A part that is not taken, but that nothing was measured by, does no harm. */
static void test_no_floor(void)
{
	void *handles[SERVERS];
	struct world world;

	start(&world);
	ask(&world, handles);
	tell(&world, 0, true, 1);
	relay_ask_abandon(handles[1]);
	tell(&world, 1, false, 2);
	tell(&world, 2, false, 1);
	CU_ASSERT_EQUAL(world.codes[2], 0);
	CU_ASSERT_EQUAL(world.lens[2], 16);
	finish(&world);
}

/* Guards against a wait at the relay that counts as a slow server. */
static void test_wait_is_not_the_servers(void)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;
	struct registry_server *server;
	void *handles[SERVERS];
	struct world world;
	int64_t now;

	start(&world);
	world.client.priority = 1;
	server = registry_find(&world.registry, STR("a"));
	ask(&world, handles);
	clock_advance(&world.clock, MSEC(50));
	now = clock_now(&world.clock);
	done.success = true;
	done.took_us = MSEC(8);
	done.wait_us = MSEC(40);
	done.ahead_us = MSEC(30);
	done.pace_us = MSEC(9);
	tell_done(&world, &done, false, 1);
	CU_ASSERT_EQUAL(world.took[0], MSEC(50));
	CU_ASSERT_DOUBLE_EQUAL(server->score.latency, MSEC(10), 1);
	CU_ASSERT_EQUAL(server_estimate_wait(&server->outlook, 1, now),
			MSEC(30));
	CU_ASSERT_EQUAL(server_estimate_wait(&server->outlook, 0, now), 0);
	CU_ASSERT_DOUBLE_EQUAL(server->outlook.pace, MSEC(9), 1);
	finish(&world);
}

/* Guards against a relay's figures that no part can have taken. */
static void test_times_of_a_part_are_bounded(void)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;
	struct registry_server *server;
	void *handles[SERVERS];
	struct world world;

	start(&world);
	server = registry_find(&world.registry, STR("a"));
	ask(&world, handles);
	clock_advance(&world.clock, MSEC(50));
	done.success = true;
	done.took_us = UINT32_MAX;
	done.wait_us = UINT32_MAX;
	tell_done(&world, &done, false, 1);
	CU_ASSERT_EQUAL(world.took[0], MSEC(50));
	CU_ASSERT(server->score.latency <= MSEC(50));
	/* It told no pace: what the part took is all that is known. */
	CU_ASSERT(server->outlook.pace_at);
	CU_ASSERT(server->outlook.pace <= MSEC(50));
	finish(&world);
}

static const struct unit_test tests[] = {
	{"floor", test_floor},
	{"floor not taken", test_floor_not_taken},
	{"short floor not taken", test_short_floor_not_taken},
	{"no floor", test_no_floor},
	{"relay tells failures", test_relay_tells_failures},
	{"cold part comes back", test_cold_part_comes_back},
	{"a wait is not the server's", test_wait_is_not_the_servers},
	{"times of a part are bounded", test_times_of_a_part_are_bounded},
};

UNIT_MAIN("relay", tests)
