/* Tests of links between instances, whose other end the test reads. */
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
#include "unit.h"

#define FRAMES 300
#define SUBJECT_SIZE 2
#define LARGE_FRAMES 4
#define LARGE_FRAME_SIZE (512 * 1024)
#define LOOP_PRIORITIES 8
/* A flush that takes longer ends the program. */
#define FLUSH_MAX_S 5

struct fixture {
	struct clock clock;
	struct settings settings;
	struct event_base *base;
	struct blackboard board;
	struct peers peers;
	struct peer_link *link;
	int other_end; /* socket */
	struct evbuffer *received;
};

static struct peer_link *add_link(struct fixture *fixture, int *other_end)
{
	struct peer_link *link = mem_zalloc(sizeof(*link));
	int fds[2];

	CU_ASSERT_EQUAL_FATAL(socketpair(AF_UNIX, SOCK_STREAM, 0, fds), 0);
	evutil_make_socket_nonblocking(fds[0]);
	evutil_make_socket_nonblocking(fds[1]);
	*other_end = fds[1];
	link->peers = &fixture->peers;
	link->up = true;
	link->bev = bufferevent_socket_new(fixture->base, fds[0],
					   BEV_OPT_CLOSE_ON_FREE);
	DL_APPEND(fixture->peers.links, link);
	return link;
}

static void set_up(struct fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	clock_init_paused(&fixture->clock, MSEC(1000000));
	address_parse(STR("127.0.0.1:0"), &fixture->settings.peer_address);
	fixture->base = event_base_new();
	event_base_priority_init(fixture->base, LOOP_PRIORITIES);
	blackboard_init(&fixture->board, &fixture->clock, &fixture->settings,
			fixture->base, 1);
	CU_ASSERT_EQUAL_FATAL(peers_init(&fixture->peers, &fixture->board), 0);
	fixture->link = add_link(fixture, &fixture->other_end);
	fixture->received = evbuffer_new();
}

static void tear_down(struct fixture *fixture)
{
	close(fixture->other_end);
	evbuffer_free(fixture->received);
	blackboard_finish(&fixture->board);
	event_base_free(fixture->base);
}

static void send_frames(struct peer_link *link, int n, size_t size)
{
	static char subject[LARGE_FRAME_SIZE];
	Peer__Failure failure = PEER__FAILURE__INIT;
	int i;

	memset(subject, 'x', size - 1);
	subject[size - 1] = '\0';
	failure.subject = subject;
	for (i = 0; i < n; i++)
		CU_ASSERT_EQUAL(peer_send(link, FRAME_FAILURE, &failure.base),
				0);
}

static int count_received(struct fixture *fixture, int other_end)
{
	struct frame frame;
	int n = 0;

	while (evbuffer_read(fixture->received, other_end, -1) > 0)
		continue;
	while (frame_read(fixture->received, &frame) == 1) {
		frame_finish(&frame);
		n++;
	}
	return n;
}

/* Guards against frames that an exit leaves in the memory of the process. */
static void test_exit_writes_frames(void)
{
	struct fixture fixture;

	set_up(&fixture);
	send_frames(fixture.link, FRAMES, SUBJECT_SIZE);
	peers_finish(&fixture.peers);
	CU_ASSERT_EQUAL(count_received(&fixture, fixture.other_end), FRAMES);
	tear_down(&fixture);
}

/* Guards against frames that wait for a loop which does not run again. */
static void test_flush(void)
{
	struct fixture fixture;

	set_up(&fixture);
	send_frames(fixture.link, FRAMES, SUBJECT_SIZE);
	peers_flush(&fixture.peers);
	CU_ASSERT_EQUAL(peer_backlog(fixture.link), 0);
	CU_ASSERT_EQUAL(count_received(&fixture, fixture.other_end), FRAMES);
	peers_finish(&fixture.peers);
	tear_down(&fixture);
}

/* Guards against an exit that waits for a peer that does not read. */
static void test_flush_does_not_block(void)
{
	struct peer_link *next;
	struct fixture fixture;
	int next_end;

	set_up(&fixture);
	next = add_link(&fixture, &next_end);
	send_frames(fixture.link, LARGE_FRAMES, LARGE_FRAME_SIZE);
	send_frames(next, FRAMES, SUBJECT_SIZE);
	alarm(FLUSH_MAX_S);
	peers_flush(&fixture.peers);
	CU_ASSERT(peer_backlog(fixture.link) > 0);
	CU_ASSERT_EQUAL(count_received(&fixture, next_end), FRAMES);
	peers_finish(&fixture.peers);
	alarm(0);
	close(next_end);
	tear_down(&fixture);
}

/* Guards against peers that read nothing, each little enough to be borne. */
static void test_backlogs_are_limited_together(void)
{
	Peer__Failure failure = PEER__FAILURE__INIT;
	struct peer_link *next;
	struct fixture fixture;
	int next_end;

	set_up(&fixture);
	fixture.peers.backlog_max = LARGE_FRAMES * LARGE_FRAME_SIZE;
	next = add_link(&fixture, &next_end);
	send_frames(fixture.link, LARGE_FRAMES, LARGE_FRAME_SIZE);
	/* One with a short backlog is still sent to. */
	send_frames(next, 1, LARGE_FRAME_SIZE);
	failure.subject = (char *)"";
	CU_ASSERT_EQUAL(peer_send(next, FRAME_FAILURE, &failure.base),
			ERR_UNAVAILABLE);
	CU_ASSERT_EQUAL(fixture.board.counters.peer_frames_refused.value, 1);
	peers_finish(&fixture.peers);
	close(next_end);
	tear_down(&fixture);
}

static void count_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	int *n = arg;

	(void)link;
	(void)frame;
	++*n;
}

/* Guards against last frames that are lost as news of the end comes first. */
static void test_last_frames_are_read(void)
{
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	struct fixture fixture;
	struct evbuffer *out;
	int n = 0;
	struct peer_handler handler = {
		.frame = count_frame,
		.types = 1u << FRAME_QUERY_RESULT,
		.arg = &n,
	};

	set_up(&fixture);
	peers_add_handler(&fixture.peers, &handler);
	fixture.link->outgoing = true;
	str_copy(fixture.link->instance, sizeof(fixture.link->instance),
		 STR("gone"));
	out = evbuffer_new();
	frame_write(out, FRAME_QUERY_RESULT, &result.base);
	evbuffer_write(out, fixture.other_end);
	evbuffer_free(out);
	peers_update_links(&fixture.peers);
	CU_ASSERT(fixture.link->closed);
	CU_ASSERT_EQUAL(n, 1);
	peers_finish(&fixture.peers);
	tear_down(&fixture);
}

static const struct unit_test tests[] = {
	{"an exit writes queued frames", test_exit_writes_frames},
	{"queued frames are written at once", test_flush},
	{"a peer that does not read holds nothing up",
	 test_flush_does_not_block},
	{"last frames are read", test_last_frames_are_read},
	{"backlogs of all links together are limited",
	 test_backlogs_are_limited_together},
};

UNIT_MAIN("peer", tests)
