#include <arpa/inet.h>
#include <fcntl.h>
#include <string.h>
#include <sys/resource.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include "server_pool.h"
#include "unit.h"

#define BOUND_MS 10000 /* limit of every wait; only reached if a test fails */
#define SERVER_CONNS_MAX 16
#define DESCRIPTORS_MAX 1024

/* How the server handles a connection or a request. */
enum behaviour {
	ANSWER,
	ANSWER_CLOSE,	   /* announces it, and closes */
	ANSWER_THEN_CLOSE, /* closes without announcing it */
	ANSWER_CUT,	   /* closes in the middle of the body */
	ANSWER_NO_LENGTH,  /* the body ends with the connection */
	ANSWER_CUT_CHUNKS, /* closes between two chunks */
	ANSWER_GARBAGE,
	ANSWER_ODD,   /* what the test says */
	CLOSE_UNREAD, /* closes as soon as it accepted */
	CLOSE_READ,   /* resets after it received the request */
	SILENT,
};

struct world {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
	struct evconnlistener *listener;
	struct address address;
	struct bufferevent *conns[SERVER_CONNS_MAX];
	int n_accepted;
	int n_open;
	int most_open;
	int n_requests;
	int n_cancels;
	enum behaviour behaviour;
	const char *odd;
	struct server_pool pool;
	struct server_reply reply;
	int n_replies;
	char body[64];
	bool is_inside; /* inside a call to the pool */
	bool timed_out;
};

static const char answer[] = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
			     "ETag: \"t\"\r\n\r\nbody";

static void forget(struct world *world, struct bufferevent *bev)
{
	int i;

	for (i = 0; i < world->n_accepted; i++) {
		if (world->conns[i] != bev)
			continue;
		world->conns[i] = NULL;
		world->n_open--;
	}
	bufferevent_free(bev);
}

static void on_server_event(struct bufferevent *bev, short what, void *arg)
{
	(void)what;
	forget(arg, bev);
}

static void close_when_written(struct bufferevent *bev, void *arg)
{
	forget(arg, bev);
}

static void reset(struct world *world, struct bufferevent *bev)
{
	struct linger linger = {1, 0};

	setsockopt(bufferevent_getfd(bev), SOL_SOCKET, SO_LINGER, &linger,
		   sizeof(linger));
	forget(world, bev);
}

static void send_text(struct world *world, struct bufferevent *bev,
		      const char *text, bool then_close)
{
	bufferevent_write(bev, text, strlen(text));
	if (then_close)
		bufferevent_setcb(bev, NULL, close_when_written,
				  on_server_event, world);
}

static void act(struct world *world, struct bufferevent *bev)
{
	switch (world->behaviour) {
	case ANSWER:
		send_text(world, bev, answer, false);
		break;
	case ANSWER_CLOSE:
		send_text(world, bev,
			  "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
			  "Connection: close\r\n\r\nbody",
			  true);
		break;
	case ANSWER_THEN_CLOSE:
		send_text(world, bev, answer, true);
		break;
	case ANSWER_CUT:
		send_text(world, bev,
			  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
			  true);
		break;
	case ANSWER_NO_LENGTH:
		send_text(world, bev, "HTTP/1.1 200 OK\r\n\r\nbody", true);
		break;
	case ANSWER_CUT_CHUNKS:
		send_text(world, bev,
			  "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
			  "\r\n4\r\nbody\r\n",
			  true);
		break;
	case ANSWER_GARBAGE:
		send_text(world, bev, "\x01\x02 no HTTP at all\r\n\r\n", true);
		break;
	case ANSWER_ODD:
		send_text(world, bev, world->odd, true);
		break;
	case CLOSE_READ:
		reset(world, bev);
		break;
	default:
		break;
	}
}

static void on_server_read(struct bufferevent *bev, void *arg)
{
	struct world *world = arg;
	struct evbuffer *in = bufferevent_get_input(bev);
	size_t len = evbuffer_get_length(in);
	const char *text = (char *)evbuffer_pullup(in, -1);

	/* All requests here fit into one segment. */
	if (memmem(text, len, "/v1/cancel", 10))
		world->n_cancels++;
	else
		world->n_requests++;
	evbuffer_drain(in, len);
	act(world, bev);
}

static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	struct world *world = arg;
	struct bufferevent *bev;

	(void)listener;
	(void)sa;
	(void)len;
	CU_ASSERT_FATAL(world->n_accepted < SERVER_CONNS_MAX);
	bev = bufferevent_socket_new(world->board.base, fd,
				     BEV_OPT_CLOSE_ON_FREE);
	world->conns[world->n_accepted++] = bev;
	if (++world->n_open > world->most_open)
		world->most_open = world->n_open;
	bufferevent_setcb(bev, on_server_read, NULL, on_server_event, world);
	if (world->behaviour == CLOSE_UNREAD)
		forget(world, bev);
	else
		bufferevent_enable(bev, EV_READ | EV_WRITE);
}

static void set_up(struct world *world, uint32_t max)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);

	memset(world, 0, sizeof(*world));
	clock_init(&world->clock);
	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	blackboard_init(&world->board, &world->clock, &world->settings,
			event_base_new(), 7);
	world->listener =
		evconnlistener_new_bind(world->board.base, on_accept, world,
					LEV_OPT_CLOSE_ON_FREE, -1,
					(struct sockaddr *)&sin, sizeof(sin));
	getsockname(evconnlistener_get_fd(world->listener),
		    (struct sockaddr *)&sin, &len);
	strcpy(world->address.ip, "127.0.0.1");
	world->address.port = ntohs(sin.sin_port);
	server_pool_init(&world->pool, &world->board, &world->address, max);
}

static void tear_down(struct world *world)
{
	int i;

	server_pool_finish(&world->pool);
	for (i = 0; i < world->n_accepted; i++) {
		if (world->conns[i])
			bufferevent_free(world->conns[i]);
	}
	if (world->listener)
		evconnlistener_free(world->listener);
	event_base_free(world->board.base);
	blackboard_finish(&world->board);
}

static void on_reply(void *arg, const struct server_reply *reply)
{
	struct world *world = arg;
	size_t len;

	CU_ASSERT_FALSE(world->is_inside);
	world->n_replies++;
	world->reply = *reply;
	world->body[0] = '\0';
	if (!reply->body)
		return;
	len = evbuffer_get_length(reply->body);
	str_copy(world->body, sizeof(world->body),
		 (struct str){(char *)evbuffer_pullup(reply->body, -1), len});
}

static void on_bound(evutil_socket_t fd, short what, void *arg)
{
	struct world *world = arg;

	(void)fd;
	(void)what;
	world->timed_out = true;
}

/* Runs the event loop until a counter reaches a value. */
static void run_until(struct world *world, const int *number, int wanted)
{
	static const struct timeval bound = {BOUND_MS / 1000, 0};
	struct event *timer = evtimer_new(world->board.base, on_bound, world);

	evtimer_add(timer, &bound);
	while (*number != wanted && !world->timed_out)
		event_base_loop(world->board.base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(*number, wanted);
	event_free(timer);
}

/* Processes all events that are already pending. */
static void settle(struct world *world)
{
	int i;

	for (i = 0; i < 100; i++)
		event_base_loop(world->board.base, EVLOOP_NONBLOCK);
}

static int post(struct world *world, void **handle)
{
	Backend__CancelRequest message = BACKEND__CANCEL_REQUEST__INIT;
	int ret;

	message.request_id = (char *)"r";
	world->is_inside = true;
	ret = server_pool_post(&world->pool, "/v1/search", &message.base,
			       on_reply, world, handle);
	world->is_inside = false;
	return ret;
}

static void ask(struct world *world)
{
	int wanted = world->n_replies + 1;

	CU_ASSERT_EQUAL_FATAL(post(world, NULL), 0);
	run_until(world, &world->n_replies, wanted);
}

static void test_connections_are_kept(void)
{
	struct world world;
	int i;

	set_up(&world, 2);
	for (i = 0; i < 5; i++) {
		ask(&world);
		CU_ASSERT_EQUAL(world.reply.code, 0);
		CU_ASSERT_EQUAL(world.reply.status, 200);
		CU_ASSERT_TRUE(world.reply.sent);
		CU_ASSERT_STRING_EQUAL(world.body, "body");
	}
	CU_ASSERT_EQUAL(world.n_accepted, 1);
	CU_ASSERT_EQUAL(world.board.counters.server_connects.value, 1);
	tear_down(&world);
}

/* Nothing is listening: the request certainly did not run. */
static void test_connect_refused_is_not_sent(void)
{
	struct world world;

	set_up(&world, 2);
	evconnlistener_free(world.listener);
	world.listener = NULL;
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, ERR_CONNECT);
	CU_ASSERT_FALSE(world.reply.sent);
	settle(&world);
	CU_ASSERT_EQUAL(world.pool.n_conns, 0);
	tear_down(&world);
}

/* The server crashes on a request: it may have run. */
static void test_reset_after_sending_is_sent(void)
{
	struct world world;

	set_up(&world, 2);
	world.behaviour = CLOSE_READ;
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, ERR_LOST);
	CU_ASSERT_TRUE(world.reply.sent);
	/* The request was not sent again. */
	settle(&world);
	CU_ASSERT_EQUAL(world.n_requests, 1);
	CU_ASSERT_EQUAL(world.n_accepted, 1);
	world.behaviour = ANSWER;
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, 0);
	tear_down(&world);
}

/*
 * A server closes connections after each answer, or restarts. The next request
 * opens another; the closed one does not count against the share.
 */
static void test_closed_between_requests(void)
{
	enum behaviour ways[] = {ANSWER_CLOSE, ANSWER_THEN_CLOSE};
	size_t i;

	for (i = 0; i < 2; i++) {
		struct world world;
		int k;

		set_up(&world, 1);
		world.behaviour = ways[i];
		for (k = 1; k <= 3; k++) {
			ask(&world);
			CU_ASSERT_EQUAL(world.reply.code, 0);
			run_until(&world, &world.n_open, 0);
			settle(&world);
			CU_ASSERT_EQUAL(world.n_requests, k);
			CU_ASSERT_EQUAL(
				world.board.counters.server_connects.value, k);
		}
		tear_down(&world);
	}
}

/*
 * The server closes an idle connection while a request is being sent on it. The
 * request may have been read: it counts as sent, and is not sent again.
 */
static void test_closed_while_sending(void)
{
	struct world world;
	int i;

	set_up(&world, 1);
	ask(&world);
	for (i = 0; i < world.n_accepted; i++)
		reset(&world, world.conns[i]);
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, ERR_LOST);
	CU_ASSERT_TRUE(world.reply.sent);
	CU_ASSERT_EQUAL(world.n_requests, 1);
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, 0);
	CU_ASSERT_EQUAL(world.n_accepted, 2);
	tear_down(&world);
}

/*
 * A connection above the server's limit is accepted and closed at once. The
 * request may have been sent by then, which can't be told from a request that
 * crashed the server: it must end as lost.
 */
static void test_accepted_and_closed_is_lost(void)
{
	struct world world;

	set_up(&world, 2);
	world.behaviour = CLOSE_UNREAD;
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, ERR_LOST);
	CU_ASSERT_TRUE(world.reply.sent);
	settle(&world);
	CU_ASSERT_EQUAL(world.n_accepted, 1);
	tear_down(&world);
}

/*
 * A server crashes in the middle of an answer. Without a length, a truncated
 * answer looks complete, as the end of the connection marks its end.
 */
static void test_cut_answers_are_never_whole(void)
{
	enum behaviour ways[] = {ANSWER_CUT, ANSWER_NO_LENGTH,
				 ANSWER_CUT_CHUNKS, ANSWER_GARBAGE};
	size_t i;

	for (i = 0; i < sizeof(ways) / sizeof(*ways); i++) {
		struct world world;

		set_up(&world, 2);
		world.behaviour = ways[i];
		ask(&world);
		CU_ASSERT_NOT_EQUAL(world.reply.code, 0);
		CU_ASSERT_TRUE(world.reply.sent);
		world.behaviour = ANSWER;
		ask(&world);
		CU_ASSERT_EQUAL(world.reply.code, 0);
		tear_down(&world);
	}
}

/* Guards against the same for an answer that ends anywhere in its head. */
static void test_cut_anywhere(void)
{
	char cut[sizeof(answer)];
	size_t len;

	for (len = 1; len < strlen(answer); len++) {
		struct world world;

		memcpy(cut, answer, len);
		cut[len] = '\0';
		set_up(&world, 2);
		world.behaviour = ANSWER_ODD;
		world.odd = cut;
		ask(&world);
		CU_ASSERT_NOT_EQUAL(world.reply.code, 0);
		CU_ASSERT_TRUE(world.reply.sent);
		tear_down(&world);
	}
}

#define LENGTH "Content-Length: 4\r\n"

/* Guards against an odd answer that counts, or as a request never sent. */
static void test_odd_answers_are_none(void)
{
	static const char *const odd[] = {
		"HTTP/1.1 000 Unknown\r\n" LENGTH "\r\nbody",
		"HTTP/1.1 000\r\n\r\n",
		"HTTP/1.1 000 Unknown\r\n\r\nHTTP/1.1 200 OK\r\n" LENGTH
		"\r\nbody",
		"HTTP/1.1 007 Odd\r\n" LENGTH "\r\nbody",
		"HTTP/1.1 20 OK\r\n" LENGTH "\r\nbody",
		"HTTP/1.1 999 Odd\r\n" LENGTH "\r\nbody",
		"HTTP/1.1 200 OK\r\nContent-Length : 4\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		"4\r\nbodyXY0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbody",
		"HTTP/1.1 200 OK\r\n" LENGTH "X\r\n\r\nbody",
	};
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(*odd); i++) {
		struct world world;

		set_up(&world, 2);
		world.behaviour = ANSWER_ODD;
		world.odd = odd[i];
		ask(&world);
		if (!world.reply.code || !world.reply.sent)
			printf("\n    %zu: code %d, sent %d\n", i,
			       world.reply.code, world.reply.sent);
		CU_ASSERT_NOT_EQUAL(world.reply.code, 0);
		CU_ASSERT_TRUE(world.reply.sent);
		tear_down(&world);
	}
}

/* Opens all descriptors but @spare. Returns how many are open. */
static int take_descriptors(int *taken, struct rlimit *old, int spare)
{
	struct rlimit limit;
	int n = 0;

	getrlimit(RLIMIT_NOFILE, old);
	limit = *old;
	limit.rlim_cur = 128;
	setrlimit(RLIMIT_NOFILE, &limit);
	while (n < DESCRIPTORS_MAX) {
		int fd = open("/dev/null", O_RDONLY);

		if (fd < 0)
			break;
		taken[n++] = fd;
	}
	while (spare--)
		close(taken[--n]);
	return n;
}

/*
 * The process has no free descriptors. Opening a connection fails inside the
 * call: the caller must get an error and no callback, and requests must work
 * again once descriptors are free.
 */
static void test_out_of_descriptors(void)
{
	int taken[DESCRIPTORS_MAX];
	void *handle = NULL;
	struct rlimit old;
	struct world world;
	int n;
	int i;

	set_up(&world, 2);
	n = take_descriptors(taken, &old, 0);
	for (i = 0; i < 5; i++) {
		CU_ASSERT_EQUAL(post(&world, &handle), ERR_CONNECT);
		CU_ASSERT_PTR_NULL(handle);
		world.is_inside = true;
		CU_ASSERT_EQUAL(server_pool_get(&world.pool, "/v1/holdings",
						NULL, on_reply, &world),
				ERR_CONNECT);
		world.is_inside = false;
		settle(&world);
	}
	CU_ASSERT_EQUAL(world.n_replies, 0);
	CU_ASSERT_EQUAL(world.pool.n_conns, 0);
	for (i = 0; i < n; i++)
		close(taken[i]);
	setrlimit(RLIMIT_NOFILE, &old);
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, 0);
	tear_down(&world);
}

/*
 * The server does not answer. Abandoned requests must keep their connection
 * until they time out, so that the server never sees more than the share.
 */
static void test_never_more_than_the_share(void)
{
	struct world world;
	void *handles[2];
	int i;

	set_up(&world, 2);
	world.behaviour = SILENT;
	for (i = 0; i < 2; i++)
		CU_ASSERT_EQUAL(post(&world, &handles[i]), 0);
	CU_ASSERT_EQUAL(post(&world, NULL), ERR_NO_SLOT);
	run_until(&world, &world.n_requests, 2);
	for (i = 0; i < 2; i++)
		server_pool_abandon(&world.pool, handles[i], "r");
	CU_ASSERT_EQUAL(post(&world, NULL), ERR_NO_SLOT);
	CU_ASSERT_EQUAL(world.pool.n_conns, 2);
	run_until(&world, &world.n_replies, 2);
	CU_ASSERT_EQUAL(world.reply.code, ERR_SILENT);
	CU_ASSERT_TRUE(world.reply.sent);
	run_until(&world, &world.n_open, 0);
	CU_ASSERT_EQUAL(world.most_open, 2);
	world.behaviour = ANSWER;
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, 0);
	CU_ASSERT_EQUAL(world.most_open, 2);
	tear_down(&world);
}

static void test_abandoned_request_is_cancelled(void)
{
	struct world world;
	void *handle;

	set_up(&world, 2);
	world.behaviour = SILENT;
	CU_ASSERT_EQUAL(post(&world, &handle), 0);
	run_until(&world, &world.n_requests, 1);
	server_pool_abandon(&world.pool, handle, "r");
	server_pool_abandon(&world.pool, handle, "r");
	run_until(&world, &world.n_cancels, 1);
	run_until(&world, &world.n_replies, 1);
	settle(&world);
	CU_ASSERT_EQUAL(world.n_cancels, 1);
	CU_ASSERT_EQUAL(world.n_replies, 1);
	tear_down(&world);
}

/*
 * A request for holdings gets no answer, as the connection is dead. Without a
 * timeout of its own the home would never ask again.
 */
static void test_silent_control_request_ends(void)
{
	struct world world;

	set_up(&world, 2);
	world.behaviour = SILENT;
	CU_ASSERT_EQUAL(server_pool_get(&world.pool, "/v1/holdings", NULL,
					on_reply, &world),
			0);
	run_until(&world, &world.n_replies, 1);
	CU_ASSERT_EQUAL(world.reply.code, ERR_SILENT);
	tear_down(&world);
}

/*
 * The server's machine drops connection attempts, as with a full backlog. The
 * request was certainly not sent, and must fail after the connect timeout
 * instead of that for answers.
 */
static void test_connect_timeout(void)
{
	struct world world;
	int fillers[8];
	int i;

	set_up(&world, 2);
	evconnlistener_disable(world.listener);
	/* The kernel takes one more than the backlog, and drops the rest. */
	listen(evconnlistener_get_fd(world.listener), 0);
	for (i = 0; i < 8; i++) {
		struct sockaddr_in sin = {.sin_family = AF_INET};

		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		sin.sin_port = htons(world.address.port);
		sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		(void)connect(fillers[i], (struct sockaddr *)&sin, sizeof(sin));
	}
	ask(&world);
	CU_ASSERT_EQUAL(world.reply.code, ERR_CONNECT);
	CU_ASSERT_FALSE(world.reply.sent);
	settle(&world);
	CU_ASSERT_EQUAL(world.pool.n_conns, 0);
	for (i = 0; i < 8; i++)
		close(fillers[i]);
	tear_down(&world);
}

/* The connect timeout must not end a request that takes longer. */
static void test_long_requests_are_possible(void)
{
	struct world world;
	static const struct timeval longer = {0, 800 * USEC_PER_MSEC};
	struct event *timer;

	set_up(&world, 2);
	world.behaviour = SILENT;
	CU_ASSERT_EQUAL(post(&world, NULL), 0);
	run_until(&world, &world.n_requests, 1);
	timer = evtimer_new(world.board.base, on_bound, &world);
	evtimer_add(timer, &longer);
	while (!world.timed_out)
		event_base_loop(world.board.base, EVLOOP_ONCE);
	world.timed_out = false;
	event_free(timer);
	CU_ASSERT_EQUAL(world.n_replies, 0);
	world.behaviour = ANSWER;
	act(&world, world.conns[0]);
	run_until(&world, &world.n_replies, 1);
	CU_ASSERT_EQUAL(world.reply.code, 0);
	tear_down(&world);
}

static void test_smaller_share_closes_idle_connections(void)
{
	struct world world;
	int i;

	set_up(&world, 3);
	for (i = 0; i < 3; i++)
		CU_ASSERT_EQUAL(post(&world, NULL), 0);
	run_until(&world, &world.n_replies, 3);
	CU_ASSERT_EQUAL(world.n_open, 3);
	server_pool_set_max(&world.pool, 1);
	run_until(&world, &world.n_open, 1);
	CU_ASSERT_EQUAL(world.pool.n_conns, 1);
	ask(&world);
	CU_ASSERT_EQUAL(world.n_accepted, 3);
	tear_down(&world);
}

/* An instance stops with requests in progress: no callback, no leak. */
static void test_finish_with_open_requests(void)
{
	struct world world;

	set_up(&world, 2);
	world.behaviour = SILENT;
	CU_ASSERT_EQUAL(post(&world, NULL), 0);
	run_until(&world, &world.n_requests, 1);
	CU_ASSERT_EQUAL(post(&world, NULL), 0);
	tear_down(&world);
	CU_ASSERT_EQUAL(world.n_replies, 0);
}

static const struct unit_test tests[] = {
	{"connections are kept", test_connections_are_kept},
	{"connect refused is not sent", test_connect_refused_is_not_sent},
	{"reset after sending is sent", test_reset_after_sending_is_sent},
	{"closed between requests", test_closed_between_requests},
	{"closed while sending", test_closed_while_sending},
	{"accepted and closed is lost", test_accepted_and_closed_is_lost},
	{"cut answers are never whole", test_cut_answers_are_never_whole},
	{"cut anywhere", test_cut_anywhere},
	{"odd answers are none", test_odd_answers_are_none},
	{"out of descriptors", test_out_of_descriptors},
	{"never more than the share", test_never_more_than_the_share},
	{"abandoned request is cancelled", test_abandoned_request_is_cancelled},
	{"silent control request ends", test_silent_control_request_ends},
	{"connect timeout", test_connect_timeout},
	{"long requests are possible", test_long_requests_are_possible},
	{"smaller share closes idle connections",
	 test_smaller_share_closes_idle_connections},
	{"finish with open requests", test_finish_with_open_requests},
};

UNIT_MAIN("server_pool", tests)
