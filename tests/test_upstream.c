/*
 * Connections to backend servers on a real event loop, with a clock that may
 * advance on each read.
 */
#include <string.h>
#include <sys/socket.h>

#include <event2/event.h>
#include <event2/listener.h>

#include "error.h"
#include "unit.h"
#include "upstream.h"

#define CONNECTIONS_MAX 10
#define LOOPS_MAX 1000

/**
 * struct stepping_clock - a clock that advances each time it is read
 * @step: by so much, microseconds
 */
struct stepping_clock {
	struct clock clock;
	int64_t now;
	int64_t step;
};

struct fixture {
	struct stepping_clock clock;
	struct event_base *base;
	struct evconnlistener *listener;
	struct registry registry;
	struct upstream upstream;
	struct registry_server *server;
	int n_results;
	int n_observed;
	int code;
	bool not_run;
	bool connected;
};

static int64_t stepping_now(const struct clock *clock)
{
	struct stepping_clock *stepping = (struct stepping_clock *)clock;

	stepping->now += stepping->step;
	return stepping->now;
}

static const struct clock_ops stepping_ops = {
	.now = stepping_now,
	.wall = stepping_now,
};

static const struct upstream_header_names names = {
	.request_id = STR("x-request-id"),
	.deadline = STR("x-deadline-ms"),
	.server_id = STR("x-expect-instance"),
	.stamp = STR("x-server-stamp"),
	.not_run = STR("x-not-executed"),
	.load = STR("x-load"),
	.cold = STR("x-cold"),
	.instance_id = STR("x-instance-id"),
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static void on_answered(void *arg, struct registry_server *server,
			int64_t sent_at)
{
	struct fixture *fixture = arg;

	(void)server;
	(void)sent_at;
	fixture->n_observed++;
}

static void on_connected(void *arg, struct registry_server *server,
			 enum crash_evidence evidence)
{
	struct fixture *fixture = arg;

	(void)server;
	(void)evidence;
	fixture->n_observed++;
}

static void on_server(void *arg, struct registry_server *server)
{
	struct fixture *fixture = arg;

	(void)server;
	fixture->n_observed++;
}

static const struct upstream_observer observer = {
	.answered = on_answered,
	.connected = on_connected,
	.broke = on_server,
	.replaced = on_server,
};

static void on_result(void *arg, const struct exchange_result *result)
{
	struct fixture *fixture = arg;

	fixture->n_results++;
	fixture->code = result->code;
	fixture->not_run = result->not_run;
}

static void on_check(void *arg, enum crash_evidence evidence)
{
	struct fixture *fixture = arg;

	fixture->connected = evidence == CRASH_EVIDENCE_LISTENS;
}

/* Accepts connections, and answers nothing. */
static void on_accept(struct evconnlistener *listener, evutil_socket_t fd,
		      struct sockaddr *sa, int len, void *arg)
{
	(void)listener;
	(void)fd;
	(void)sa;
	(void)len;
	(void)arg;
}

static void listen_at(struct fixture *fixture, struct address *address)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	address_parse(STR("127.0.0.1:0"), address);
	sin = address_sockaddr(address);
	fixture->listener =
		evconnlistener_new_bind(fixture->base, on_accept, fixture,
					LEV_OPT_CLOSE_ON_FREE, -1,
					(struct sockaddr *)&sin, sizeof(sin));
	getsockname(evconnlistener_get_fd(fixture->listener),
		    (struct sockaddr *)&sin, &len);
	address->port = ntohs(sin.sin_port);
}

/* @address: of the server; NULL: one that accepts connections. */
static void set_up(struct fixture *fixture, const char *address)
{
	struct server_entry entry = {
		.id = "a",
		.service = "s",
		.data_centre = "here",
		.slots = 2,
	};

	memset(fixture, 0, sizeof(*fixture));
	fixture->clock.clock.ops = &stepping_ops;
	fixture->clock.now = MSEC(1000000);
	fixture->base = event_base_new();
	if (address)
		address_parse(str_from(address), &entry.address);
	else
		listen_at(fixture, &entry.address);
	registry_init(&fixture->registry, STR("here"), on_closing, NULL);
	registry_put(&fixture->registry, &entry, 1);
	fixture->server = registry_find(&fixture->registry, STR("a"));
	upstream_init(&fixture->upstream, fixture->base, &fixture->clock.clock,
		      &names);
	fixture->upstream.observer = &observer;
	fixture->upstream.observer_arg = fixture;
	fixture->upstream.on_released = on_server;
	fixture->upstream.on_released_arg = fixture;
}

static void tear_down(struct fixture *fixture)
{
	upstream_finish(&fixture->upstream);
	registry_finish(&fixture->registry);
	if (fixture->listener)
		evconnlistener_free(fixture->listener);
	event_base_free(fixture->base);
}

static void open_idle_connection(struct fixture *fixture)
{
	int i;

	CU_ASSERT_EQUAL(upstream_check(&fixture->upstream, fixture->server,
				       false, on_check, fixture),
			0);
	for (i = 0; i < LOOPS_MAX && !fixture->connected; i++)
		event_base_loop(fixture->base, EVLOOP_ONCE);
	CU_ASSERT(fixture->connected);
}

static int send_request(struct fixture *fixture, int64_t left,
			struct exchange **exchange)
{
	static const struct upstream_request request = {
		.head = STR("GET / HTTP/1.1\r\n"),
		.body = STR(""),
		.id = STR("r1"),
	};

	return upstream_send(&fixture->upstream, fixture->server, &request,
			     fixture->clock.now + left, CONNECTIONS_MAX,
			     on_result, fixture, exchange);
}

/* A send either fails and reports nothing, or reports after it returned. */
static void check_send(struct fixture *fixture, int64_t left)
{
	struct exchange *exchange = NULL;
	int ret;

	fixture->n_results = 0;
	fixture->n_observed = 0;
	ret = send_request(fixture, left, &exchange);
	CU_ASSERT_EQUAL(fixture->n_results, 0);
	CU_ASSERT_EQUAL(fixture->n_observed, 0);
	if (!ret && !fixture->n_results)
		exchange_abandon(exchange, 0, NULL);
	/* Without time left, it is closed. */
	event_base_loop(fixture->base, EVLOOP_NONBLOCK);
}

/* Guards against a request that is answered within its own send and freed. */
static void test_deadline_passes_within_send(void)
{
	struct fixture fixture;
	int ms;

	for (ms = 0; ms < 12; ms++) {
		set_up(&fixture, NULL);
		open_idle_connection(&fixture);
		fixture.clock.step = USEC_PER_MSEC;
		check_send(&fixture, MSEC(ms));
		tear_down(&fixture);
	}
}

/* Guards against a result of a send that could not open a connection. */
static void test_connect_fails_at_once(void)
{
	struct exchange *exchange;
	struct fixture fixture;

	set_up(&fixture, "255.255.255.255:9");
	CU_ASSERT_EQUAL(send_request(&fixture, MSEC(1000), &exchange),
			ERR_CONNECT);
	CU_ASSERT_EQUAL(fixture.n_results, 0);
	CU_ASSERT_EQUAL(fixture.n_observed, 0);
	CU_ASSERT_EQUAL(upstream_check(&fixture.upstream, fixture.server, false,
				       on_check, &fixture),
			ERR_CONNECT);
	CU_ASSERT_EQUAL(fixture.n_observed, 0);
	CU_ASSERT_EQUAL(fixture.server->n_conns, 0);
	tear_down(&fixture);
}

/* Guards against a request that is sent with a deadline that has passed. */
static void test_deadline_passes_while_connecting(void)
{
	struct exchange *exchange;
	struct fixture fixture;
	int i;

	set_up(&fixture, NULL);
	CU_ASSERT_EQUAL(send_request(&fixture, MSEC(2), &exchange), 0);
	fixture.clock.now += MSEC(5);
	for (i = 0; i < LOOPS_MAX && !fixture.n_results; i++)
		event_base_loop(fixture.base, EVLOOP_ONCE);
	CU_ASSERT_EQUAL(fixture.n_results, 1);
	CU_ASSERT_EQUAL(fixture.code, ERR_TOO_LATE);
	CU_ASSERT(fixture.not_run);
	tear_down(&fixture);
}

static const struct unit_test tests[] = {
	{"deadline passes within send", test_deadline_passes_within_send},
	{"connect fails at once", test_connect_fails_at_once},
	{"deadline passes while connecting",
	 test_deadline_passes_while_connecting},
};

UNIT_MAIN("upstream", tests)
