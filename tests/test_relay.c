/*
 * Tests of the requesting side of relaying: results of a relay are passed to it
 * directly, on a paused clock.
 */
#include <string.h>

#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utlist.h>

#include "error.h"
#include "relay_ask.h"
#include "unit.h"

#define SERVERS 3
#define RECORDS_MAX 2

struct fixture {
	struct clock clock;
	struct settings settings;
	struct event_base *base;
	struct blackboard board;
	struct registry registry;
	struct peers peers;
	struct peer_link link;
	struct relay_ask relay_ask;
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
	struct fixture *fixture = send->handle;
	long i = send - fixture->sends;

	fixture->codes[i] = answer->code;
	fixture->lens[i] = answer->body.len;
	fixture->took[i] = answer->took;
}

static void on_batch(void *arg)
{
	(void)arg;
}

static void add_server(struct fixture *fixture, int i)
{
	struct server_entry entry = {.slots = 2, .id = {(char)('a' + i)}};

	str_copy(entry.service, sizeof(entry.service), STR("s"));
	str_copy(entry.data_centre, sizeof(entry.data_centre), STR("there"));
	registry_put(&fixture->registry, &entry, 1);
}

static void send_parts(struct fixture *fixture, void **handles)
{
	int i;

	for (i = 0; i < SERVERS; i++) {
		const char id[] = {(char)('a' + i), 0};

		fixture->sends[i].server =
			registry_find(&fixture->registry, str_from(id));
		fixture->sends[i].handle = fixture;
		fixture->codes[i] = 1;
		CU_ASSERT_EQUAL(relay_ask_send(&fixture->relay_ask,
					       &fixture->client,
					       &fixture->sends[i], "there",
					       NULL, &handles[i]),
				0);
	}
	relay_ask_flush(&fixture->relay_ask, &fixture->client);
}

static void set_up(struct fixture *fixture)
{
	struct fleet_member *member;

	memset(fixture, 0, sizeof(*fixture));
	clock_init_paused(&fixture->clock, MSEC(1000000));
	fixture->base = event_base_new();
	blackboard_init(&fixture->board, &fixture->clock, &fixture->settings,
			fixture->base, 1);
	member = fleet_find_or_add(&fixture->board.fleet, STR("far"));
	member->status = FLEET_ALIVE;
	str_copy(member->data_centre, sizeof(member->data_centre),
		 STR("there"));
	registry_init(&fixture->registry, STR("here"), on_closing, NULL);
	add_server(fixture, 0);
	add_server(fixture, 1);
	add_server(fixture, 2);
	fixture->peers.board = &fixture->board;
	fixture->link.peers = &fixture->peers;
	fixture->link.outgoing = true;
	fixture->link.up = true;
	str_copy(fixture->link.instance, sizeof(fixture->link.instance),
		 STR("far"));
	fixture->link.bev = bufferevent_socket_new(fixture->base, -1, 0);
	DL_APPEND(fixture->peers.links, &fixture->link);
	relay_ask_init(&fixture->relay_ask, &fixture->board, &fixture->peers,
		       &fixture->registry, on_usable, fixture);
	fixture->client = (struct relay_client){
		.request = &fixture->request,
		.deadline = MSEC(1001000),
		.flush_after = MSEC(20),
		.records_max = RECORDS_MAX,
		.result = on_result,
		.begin_batch = on_batch,
		.end_batch = on_batch,
		.arg = fixture,
	};
}

static void tear_down(struct fixture *fixture)
{
	relay_client_finish(&fixture->relay_ask, &fixture->client);
	relay_ask_finish(&fixture->relay_ask);
	registry_finish(&fixture->registry);
	blackboard_finish(&fixture->board);
	bufferevent_free(fixture->link.bev);
	event_base_free(fixture->base);
}

static void receive_result(struct fixture *fixture, Peer__PartDone *done,
			   bool floor, int n_records)
{
	Peer__PartResult message = PEER__PART_RESULT__INIT;
	Peer__PartDone *parts[] = {done};
	uint8_t records[RECORDS_MAX * 16] = {0};
	uint8_t origins[RECORDS_MAX] = {0};
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
	fixture->relay_ask.handler.frame(&fixture->relay_ask, &fixture->link,
					 &frame);
}

/* Passes on a successful result of one part, with its records. */
static void receive_part(struct fixture *fixture, uint32_t index, bool floor,
			 int n_records)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;

	done.index = index;
	done.success = true;
	receive_result(fixture, &done, floor, n_records);
}

/*
 * Guards against slow detection of failing servers. When half of the servers
 * lost 4 of 10 answers, an entry, which gets two answers per second from each
 * server, took seconds to avoid them. A relay sees the answers for all entries,
 * so the failure rate that it sends along, even with a good answer, must be
 * used at once.
 */
static void test_relay_tells_failures(void)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;
	struct registry_server *failing;
	void *handles[SERVERS];
	struct fixture fixture;

	set_up(&fixture);
	failing = registry_find(&fixture.registry, STR("a"));
	send_parts(&fixture, handles);
	done.success = true;
	done.failures = 400;
	receive_result(&fixture, &done, false, 1);
	CU_ASSERT_EQUAL(fixture.codes[0], 0);
	CU_ASSERT_DOUBLE_EQUAL(failing->score.failures, 0.4, 0.001);
	tear_down(&fixture);
}

/*
 * If a cold server is at its limit, the relay returns the part unsent, and the
 * entry must prefer other servers for the given time.
 */
static void test_cold_part_comes_back(void)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;
	struct registry_server *cold;
	void *handles[SERVERS];
	struct fixture fixture;

	set_up(&fixture);
	cold = registry_find(&fixture.registry, STR("a"));
	cold->service->warmup.bound = 14;
	send_parts(&fixture, handles);
	done.code = ERR_COLD;
	done.not_run = true;
	done.cold_for_ms = UINT32_MAX;
	receive_result(&fixture, &done, false, 0);
	CU_ASSERT_EQUAL(fixture.codes[0], ERR_COLD);
	CU_ASSERT(registry_is_cold(cold, clock_now(&fixture.clock)));
	/* The relay's value is not trusted and limited to one minute. */
	clock_advance(&fixture.clock, MSEC(60001));
	CU_ASSERT(!registry_is_cold(cold, clock_now(&fixture.clock)));
	tear_down(&fixture);
}

/*
 * After a relay has returned the first records, later parts have only records
 * that can still be in the answer, perhaps none. They count as complete.
 */
static void test_floor(void)
{
	void *handles[SERVERS];
	struct fixture fixture;

	set_up(&fixture);
	send_parts(&fixture, handles);
	receive_part(&fixture, 0, true, 2);
	CU_ASSERT_EQUAL(fixture.codes[0], 0);
	CU_ASSERT_EQUAL(fixture.lens[0], 32);
	receive_part(&fixture, 1, false, 0);
	CU_ASSERT_EQUAL(fixture.codes[1], 0);
	CU_ASSERT_EQUAL(fixture.lens[1], 0);
	tear_down(&fixture);
}

/*
 * A part that raised the floor is not used, because another server has answered
 * it. Records left out below that floor may be in the answer, so later parts of
 * this relay are incomplete.
 */
static void test_floor_not_taken(void)
{
	void *handles[SERVERS];
	struct fixture fixture;

	set_up(&fixture);
	send_parts(&fixture, handles);
	relay_ask_abandon(handles[0], NULL);
	receive_part(&fixture, 0, true, 2);
	CU_ASSERT_EQUAL(fixture.codes[0], 1);
	receive_part(&fixture, 1, false, 0);
	CU_ASSERT_EQUAL(fixture.codes[1], ERR_PROTOCOL);
	tear_down(&fixture);
}

/*
 * The same, with so few records in the first parts that none is displaced: the
 * unused part still has raised the floor for later ones.
 */
static void test_short_floor_not_taken(void)
{
	void *handles[SERVERS];
	struct fixture fixture;

	set_up(&fixture);
	send_parts(&fixture, handles);
	relay_ask_abandon(handles[0], NULL);
	receive_part(&fixture, 0, true, 1);
	receive_part(&fixture, 1, true, 1);
	CU_ASSERT_EQUAL(fixture.codes[1], ERR_PROTOCOL);
	tear_down(&fixture);
}

/* An unused part that did not raise the floor leaves later parts complete. */
static void test_no_floor(void)
{
	void *handles[SERVERS];
	struct fixture fixture;

	set_up(&fixture);
	send_parts(&fixture, handles);
	receive_part(&fixture, 0, true, 1);
	relay_ask_abandon(handles[1], NULL);
	receive_part(&fixture, 1, false, 2);
	receive_part(&fixture, 2, false, 1);
	CU_ASSERT_EQUAL(fixture.codes[2], 0);
	CU_ASSERT_EQUAL(fixture.lens[2], 16);
	tear_down(&fixture);
}

/* Guards against counting the wait in the relay's queue as server latency. */
static void test_wait_is_not_the_servers(void)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;
	struct registry_server *server;
	void *handles[SERVERS];
	struct fixture fixture;
	int64_t now;

	set_up(&fixture);
	fixture.client.priority = 1;
	server = registry_find(&fixture.registry, STR("a"));
	send_parts(&fixture, handles);
	clock_advance(&fixture.clock, MSEC(50));
	now = clock_now(&fixture.clock);
	done.success = true;
	done.took_us = MSEC(8);
	done.wait_us = MSEC(40);
	done.ahead_us = MSEC(30);
	done.pace_us = MSEC(9);
	receive_result(&fixture, &done, false, 1);
	CU_ASSERT_EQUAL(fixture.took[0], MSEC(50));
	CU_ASSERT_DOUBLE_EQUAL(server->score.latency, MSEC(10), 1);
	CU_ASSERT_EQUAL(server_estimate_wait(&server->estimate, 1, now),
			MSEC(30));
	CU_ASSERT_EQUAL(server_estimate_wait(&server->estimate, 0, now), 0);
	CU_ASSERT_DOUBLE_EQUAL(server->estimate.processing_time, MSEC(9), 1);
	tear_down(&fixture);
}

/* Guards against times from a relay that exceed the time since the send. */
static void test_times_of_a_part_are_bounded(void)
{
	Peer__PartDone done = PEER__PART_DONE__INIT;
	struct registry_server *server;
	void *handles[SERVERS];
	struct fixture fixture;

	set_up(&fixture);
	server = registry_find(&fixture.registry, STR("a"));
	send_parts(&fixture, handles);
	clock_advance(&fixture.clock, MSEC(50));
	done.success = true;
	done.took_us = UINT32_MAX;
	done.wait_us = UINT32_MAX;
	receive_result(&fixture, &done, false, 1);
	CU_ASSERT_EQUAL(fixture.took[0], MSEC(50));
	CU_ASSERT(server->score.latency <= MSEC(50));
	/* Without a pace from the relay, the time of the part is used. */
	CU_ASSERT(server->estimate.processing_time_at);
	CU_ASSERT(server->estimate.processing_time <= MSEC(50));
	tear_down(&fixture);
}

static const struct unit_test tests[] = {
	{"parts without records below the floor are complete", test_floor},
	{"floor raised by an unused part", test_floor_not_taken},
	{"floor raised by an unused part with few records",
	 test_short_floor_not_taken},
	{"unused part that did not raise the floor", test_no_floor},
	{"failure rate from a relay is used", test_relay_tells_failures},
	{"part returned unsent by a cold server", test_cold_part_comes_back},
	{"wait in a relay's queue is not server latency",
	 test_wait_is_not_the_servers},
	{"times reported for a part are bounded",
	 test_times_of_a_part_are_bounded},
};

UNIT_MAIN("relay", tests)
