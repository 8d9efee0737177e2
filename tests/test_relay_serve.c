/*
 * Tests of the serving side of relaying, on a paused clock: what an entry gets
 * from an instance that stops. The other end of its link is read.
 */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utlist.h>

#include "error.h"
#include "mem.h"
#include "peer.h"
#include "relay_serve.h"
#include "unit.h"

#define SLOTS 1
/* A server gets one more than it has slots, which is in transfer meanwhile. */
#define AT_WORK (SLOTS + 1)
#define SENDS (AT_WORK + 1)
#define DEADLINE_MS 4000
#define LOOP_PRIORITIES 8
#define BODY_SIZE 64

struct fixture {
	struct clock clock;
	struct settings settings;
	struct event_base *base;
	struct blackboard board;
	struct registry registry;
	struct registry_server *server;
	struct gateway_stats stats;
	struct server_queues queues;
	struct peers peers;
	struct peer_link *link;
	int entry; /* socket of the other end of @link */
	struct evbuffer *received;
	struct relay_serve relay;
	struct server_job *sent;
	int n_sent;
	int n_abandoned;
	uint32_t deadline_ms; /* of what the entry asks for */
	uint8_t body[BODY_SIZE];
	int64_t deadline;
};

static int on_send(void *arg, struct server_job *job)
{
	struct fixture *fixture = arg;

	fixture->sent = job;
	fixture->n_sent++;
	fixture->deadline = job->deadline;
	return 0;
}

static void on_abandon(void *arg, struct server_job *job, int64_t linger,
		       struct delivery *delivery)
{
	struct fixture *fixture = arg;

	(void)job;
	(void)linger;
	(void)delivery;
	fixture->n_abandoned++;
}

static void on_hurry(void *arg, struct server_job *job, int64_t linger)
{
	(void)arg;
	(void)job;
	(void)linger;
}

static int on_under_way(void *arg, const struct registry_server *server)
{
	const struct fixture *fixture = arg;

	(void)server;
	return fixture->n_sent;
}

static void on_wake(void *arg, int64_t at)
{
	(void)arg;
	(void)at;
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
	(void)arg;
	(void)server;
}

static void add_link(struct fixture *fixture)
{
	int fds[2];

	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	evutil_make_socket_nonblocking(fds[0]);
	evutil_make_socket_nonblocking(fds[1]);
	fixture->entry = fds[1];
	fixture->link = mem_zalloc(sizeof(*fixture->link));
	fixture->link->peers = &fixture->peers;
	fixture->link->up = true;
	str_copy(fixture->link->instance, sizeof(fixture->link->instance),
		 STR("entry"));
	fixture->link->bev = bufferevent_socket_new(fixture->base, fds[0],
						    BEV_OPT_CLOSE_ON_FREE);
	DL_APPEND(fixture->peers.links, fixture->link);
}

static void set_up(struct fixture *fixture)
{
	const struct server_entry entry = {.id = "a",
					   .service = "s",
					   .data_centre = "here",
					   .slots = SLOTS};

	memset(fixture, 0, sizeof(*fixture));
	clock_init_paused(&fixture->clock, MSEC(1000000));
	address_parse(STR("127.0.0.1:0"), &fixture->settings.peer_address);
	fixture->base = event_base_new();
	event_base_priority_init(fixture->base, LOOP_PRIORITIES);
	blackboard_init(&fixture->board, &fixture->clock, &fixture->settings,
			fixture->base, 1);
	gateway_stats_init(&fixture->stats);
	server_queues_init(&fixture->queues, &fixture->clock, &ops, fixture,
			   &fixture->stats);
	fixture->queues.enabled = true;
	registry_init(&fixture->registry, STR("here"), on_closing, NULL);
	registry_put(&fixture->registry, &entry, 1);
	fixture->server = registry_find(&fixture->registry, STR("a"));
	CU_ASSERT_EQUAL_FATAL(peers_init(&fixture->peers, &fixture->board), 0);
	add_link(fixture);
	relay_serve_init(&fixture->relay, &fixture->board, &fixture->peers,
			 &fixture->registry, &fixture->queues);
	fixture->received = evbuffer_new();
	fixture->deadline_ms = DEADLINE_MS;
}

static void finish(struct fixture *fixture)
{
	relay_serve_finish(&fixture->relay);
	peers_finish(&fixture->peers);
}

static void tear_down(struct fixture *fixture)
{
	close(fixture->entry);
	evbuffer_free(fixture->received);
	registry_finish(&fixture->registry);
	blackboard_finish(&fixture->board);
	event_base_free(fixture->base);
}

/* Each send is for the same server. */
static void ask(struct fixture *fixture, int n_sends)
{
	Peer__PartRequest message = PEER__PART_REQUEST__INIT;
	Peer__PartSend sends[SENDS];
	Peer__PartSend *ptrs[SENDS];
	struct frame frame = {.type = FRAME_PART_REQUEST};
	int i;

	for (i = 0; i < n_sends; i++) {
		peer__part_send__init(&sends[i]);
		sends[i].index = (uint32_t)i;
		sends[i].server = (char *)"a";
		ptrs[i] = &sends[i];
	}
	message.id = 7;
	message.request_id = (char *)"r";
	message.deadline_ms = fixture->deadline_ms;
	message.goal_ms = DEADLINE_MS;
	message.flush_ms = 100;
	message.connections_max = 10;
	message.body.data = fixture->body;
	message.body.len = sizeof(fixture->body);
	message.sends = ptrs;
	message.n_sends = (size_t)n_sends;
	frame.message = &message.base;
	fixture->relay.handler.frame(&fixture->relay, fixture->link, &frame);
}

/* Return: false if the entry has received no whole frame. */
static bool receive(struct fixture *fixture, struct frame *frame)
{
	while (evbuffer_read(fixture->received, fixture->entry, -1) > 0)
		continue;
	return frame_read(fixture->received, frame) == 1;
}

static void check_part(const Peer__PartResult *message, size_t i, int code,
		       bool not_run)
{
	CU_ASSERT_EQUAL(message->parts[i]->code, code);
	CU_ASSERT_EQUAL(message->parts[i]->not_run, not_run);
	CU_ASSERT_FALSE(message->parts[i]->success);
}

/* The last send waits for the others. */
static void check_open_job(struct fixture *fixture)
{
	const Peer__PartResult *message;
	struct frame frame;

	if (!receive(fixture, &frame)) {
		CU_FAIL("the entry was told nothing");
		return;
	}
	message = (const Peer__PartResult *)frame.message;
	CU_ASSERT_EQUAL(message->id, 7);
	CU_ASSERT_EQUAL_FATAL(message->n_parts, SENDS);
	check_part(message, 0, ERR_LEAVING, false);
	check_part(message, 1, ERR_LEAVING, false);
	check_part(message, AT_WORK, ERR_BUDGET, true);
	frame_finish(&frame);
}

static void check_only_part(struct fixture *fixture, int code, bool not_run)
{
	const Peer__PartResult *message;
	struct frame frame;

	if (!receive(fixture, &frame)) {
		CU_FAIL("the entry was told nothing");
		return;
	}
	message = (const Peer__PartResult *)frame.message;
	CU_ASSERT_EQUAL_FATAL(message->n_parts, 1);
	check_part(message, 0, code, not_run);
	frame_finish(&frame);
}

static void check_not_run(struct fixture *fixture)
{
	check_only_part(fixture, ERR_BUDGET, true);
}

/* Guards against an exit that leaves entries without a word of their parts. */
static void test_exit_returns_jobs(void)
{
	struct fixture fixture;

	set_up(&fixture);
	ask(&fixture, SENDS);
	CU_ASSERT_EQUAL(fixture.n_sent, AT_WORK);
	ask(&fixture, 1);
	finish(&fixture);
	check_open_job(&fixture);
	check_not_run(&fixture);
	tear_down(&fixture);
}

/* Guards against servers that work on for parts that nobody waits for. */
static void test_exit_cancels_sends(void)
{
	struct fixture fixture;

	set_up(&fixture);
	ask(&fixture, SENDS);
	finish(&fixture);
	CU_ASSERT_EQUAL(fixture.n_abandoned, AT_WORK);
	tear_down(&fixture);
}

/* Guards against an instance that takes parts which it can't serve any more. */
static void test_no_jobs_after_the_end(void)
{
	struct fixture fixture;

	set_up(&fixture);
	CU_ASSERT(relay_serve_is_idle(&fixture.relay));
	ask(&fixture, SENDS);
	CU_ASSERT_FALSE(relay_serve_is_idle(&fixture.relay));
	relay_serve_end_jobs(&fixture.relay);
	CU_ASSERT(relay_serve_is_idle(&fixture.relay));
	peers_flush(&fixture.peers);
	check_open_job(&fixture);
	ask(&fixture, 1);
	CU_ASSERT(relay_serve_is_idle(&fixture.relay));
	CU_ASSERT_EQUAL(fixture.n_sent, AT_WORK);
	peers_flush(&fixture.peers);
	check_not_run(&fixture);
	finish(&fixture);
	tear_down(&fixture);
}

/* Guards against requests of other instances that take all memory. */
static void test_memory_is_limited(void)
{
	struct fixture fixture;

	set_up(&fixture);
	fixture.relay.memory.max = BODY_SIZE - 1;
	ask(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 0);
	peers_flush(&fixture.peers);
	check_not_run(&fixture);
	CU_ASSERT_EQUAL(fixture.relay.memory.used, 0);
	CU_ASSERT_EQUAL(fixture.board.counters.relay_sends_refused.value, 1);
	fixture.relay.memory.max = BODY_SIZE;
	ask(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	CU_ASSERT_EQUAL(fixture.relay.memory.used, BODY_SIZE);
	finish(&fixture);
	CU_ASSERT_EQUAL(fixture.relay.memory.used, 0);
	tear_down(&fixture);
}

/* Guards against a server that works on when its answer can't be passed on. */
static void test_time_is_limited(void)
{
	struct fixture fixture;
	int64_t until;

	set_up(&fixture);
	until = clock_now(&fixture.clock) + MSEC(1000);
	relay_serve_limit_time(&fixture.relay, until);
	ask(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	CU_ASSERT_EQUAL(fixture.deadline, until);
	finish(&fixture);
	tear_down(&fixture);
}

/* Guards against a part that is sent though its server takes longer. */
static void test_too_little_time(void)
{
	struct fixture fixture;

	set_up(&fixture);
	relay_serve_limit_time(&fixture.relay,
			       clock_now(&fixture.clock) + MSEC(1));
	ask(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 0);
	peers_flush(&fixture.peers);
	check_not_run(&fixture);
	finish(&fixture);
	tear_down(&fixture);
}

/* Guards against a stop that refuses a part though it takes no time from it. */
static void test_entry_with_too_little_time(void)
{
	struct fixture fixture;

	set_up(&fixture);
	relay_serve_limit_time(&fixture.relay,
			       clock_now(&fixture.clock) + MSEC(1000));
	fixture.deadline_ms = 1;
	ask(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	finish(&fixture);
	tear_down(&fixture);
}

/* Guards against a limit that gives a server more time than the entry has. */
static void test_limit_is_no_extension(void)
{
	struct fixture fixture;
	int64_t deadline;

	set_up(&fixture);
	deadline = clock_now(&fixture.clock) + MSEC(DEADLINE_MS);
	relay_serve_limit_time(&fixture.relay, deadline + MSEC(1000));
	ask(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	CU_ASSERT_EQUAL(fixture.deadline, deadline);
	finish(&fixture);
	tear_down(&fixture);
}

/* The entry is told @code of a part that ends with @result. */
static void check_told(int64_t limit, const struct exchange_result *result,
		       int code)
{
	struct fixture fixture;

	set_up(&fixture);
	relay_serve_limit_time(&fixture.relay,
			       clock_now(&fixture.clock) + limit);
	ask(&fixture, 1);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 1);
	clock_advance(&fixture.clock, limit + MSEC(10));
	server_job_done(fixture.sent, result);
	peers_flush(&fixture.peers);
	check_only_part(&fixture, code, result->not_run);
	finish(&fixture);
	tear_down(&fixture);
}

/* Guards against calling a server slow when this instance ran out of time. */
static void test_limit_is_no_fault_of_the_server(void)
{
	const struct exchange_result silent = {.code = ERR_SILENT,
					       .stamp = STR("")};

	check_told(MSEC(1000), &silent, ERR_LEAVING);
}

/* Guards against a part that an entry gives up as if its caller had no time. */
static void test_limit_is_not_of_the_caller(void)
{
	const struct exchange_result too_late = {.code = ERR_TOO_LATE,
						 .not_run = true,
						 .stamp = STR("")};

	check_told(MSEC(1000), &too_late, ERR_BUDGET);
}

/* Guards against a server called overloaded as its queue ends with a relay. */
static void test_end_of_a_queue_is_no_overload(void)
{
	const struct exchange_result dropped = {.code = ERR_OVERLOAD,
						.not_run = true,
						.stamp = STR("")};

	check_told(MSEC(1000), &dropped, ERR_BUDGET);
}

/* Guards against a stop that hides from entries which servers are slow. */
static void test_slow_server_is_told(void)
{
	const struct exchange_result silent = {.code = ERR_SILENT,
					       .stamp = STR("")};

	check_told(MSEC(DEADLINE_MS), &silent, ERR_SILENT);
}

/* Guards against calling a server slow whose part waited for the relay. */
static void test_limit_of_a_queued_part_is_no_fault_of_the_server(void)
{
	const struct exchange_result silent = {.code = ERR_SILENT,
					       .stamp = STR("")};
	const Peer__PartResult *message;
	struct fixture fixture;
	struct frame frame;
	int64_t until;

	set_up(&fixture);
	ask(&fixture, SENDS);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, AT_WORK);
	/* As gateway_stop() does. */
	until = clock_now(&fixture.clock) + MSEC(1000);
	server_queues_limit_time(&fixture.queues, until);
	relay_serve_limit_time(&fixture.relay, until);
	fixture.n_sent = 0;
	server_queue_capacity_freed(&fixture.queues, fixture.server);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 1);
	CU_ASSERT_EQUAL(fixture.deadline, until);
	clock_advance(&fixture.clock, MSEC(1000));
	server_job_done(fixture.sent, &silent);
	peers_flush(&fixture.peers);
	CU_ASSERT_FATAL(receive(&fixture, &frame));
	message = (const Peer__PartResult *)frame.message;
	check_part(message, 0, ERR_LEAVING, false);
	frame_finish(&frame);
	finish(&fixture);
	tear_down(&fixture);
}

static const struct unit_test tests[] = {
	{"an exit returns unfinished jobs", test_exit_returns_jobs},
	{"an exit cancels sends", test_exit_cancels_sends},
	{"no jobs are taken after the end", test_no_jobs_after_the_end},
	{"time of new jobs is limited", test_time_is_limited},
	{"part that takes longer than the limit is not sent",
	 test_too_little_time},
	{"entry's own lack of time is left to the queue",
	 test_entry_with_too_little_time},
	{"limit later than a deadline changes nothing",
	 test_limit_is_no_extension},
	{"limit of a job is no fault of its server",
	 test_limit_is_no_fault_of_the_server},
	{"limit of a queued part is no fault of its server",
	 test_limit_of_a_queued_part_is_no_fault_of_the_server},
	{"limit of a job is not its caller's", test_limit_is_not_of_the_caller},
	{"end of a queue is no overload", test_end_of_a_queue_is_no_overload},
	{"slow server is told during a stop", test_slow_server_is_told},
	{"memory is limited", test_memory_is_limited},
};

UNIT_MAIN("relay_serve", tests)
