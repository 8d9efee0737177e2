#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include <event2/event.h>

#include "crash_watch.h"
#include "mem.h"
#include "unit.h"

#define HASH 101

/* A gateway's connections to one server at a loopback address. */
struct fixture {
	struct event_base *base;
	struct clock clock;
	struct poison poison;
	struct upstream upstream;
	struct registry_server *server;
	struct crash_watch *watch;
	int listener;
};

static void listen_anywhere(struct fixture *f)
{
	struct sockaddr_in sin = {.sin_family = AF_INET};
	socklen_t len = sizeof(sin);

	sin.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	f->listener = socket(AF_INET, SOCK_STREAM, 0);
	CU_ASSERT_EQUAL(bind(f->listener, (struct sockaddr *)&sin, len), 0);
	CU_ASSERT_EQUAL(listen(f->listener, 1), 0);
	getsockname(f->listener, (struct sockaddr *)&sin, &len);
	str_copy(f->server->entry.address.ip,
		 sizeof(f->server->entry.address.ip), STR("127.0.0.1"));
	f->server->entry.address.port = ntohs(sin.sin_port);
}

static void setup(struct fixture *f)
{
	static const struct poison_tunables tunables = {
		.max_entries = 64,
		.suspect_ttl = MSEC(60000),
		.ban_ttl = MSEC(600000),
	};
	static const struct upstream_header_names names;

	memset(f, 0, sizeof(*f));
	f->base = event_base_new();
	clock_init(&f->clock);
	poison_init(&f->poison, &f->clock, NULL, NULL);
	poison_set_tunables(&f->poison, &tunables);
	f->poison.no_canaries = true;
	upstream_init(&f->upstream, f->base, &f->clock, &names);
	f->server = registry_server_ref(mem_zalloc(sizeof(*f->server)));
	str_copy(f->server->entry.id, sizeof(f->server->entry.id), STR("b1"));
	listen_anywhere(f);
	f->watch = crash_watch_new(&f->poison, &f->upstream, f->server, HASH);
	CU_ASSERT_PTR_NOT_NULL_FATAL(f->watch);
}

static void finish(struct fixture *f)
{
	upstream_finish(&f->upstream);
	registry_server_unref(f->server);
	poison_finish(&f->poison);
	event_base_free(f->base);
	close(f->listener);
}

static bool is_suspect(struct fixture *f)
{
	uint32_t retry;

	return poison_check(&f->poison, HASH, &retry) == POISON_PROBATION;
}

/* The connection of the watched request breaks. */
static void break_connection(struct fixture *f)
{
	crash_watch_end(f->watch, true);
	while (f->poison.servers)
		event_base_loop(f->base, EVLOOP_ONCE);
}

/* Guards against a crash that goes unseen: the port refuses connections. */
static void test_refused_is_a_crash(void)
{
	struct fixture f;

	setup(&f);
	shutdown(f.listener, SHUT_RDWR);
	break_connection(&f);
	CU_ASSERT(is_suspect(&f));
	finish(&f);
}

/* Guards against a server that only closed a connection being blamed for it. */
static void test_listening_is_no_crash(void)
{
	struct fixture f;

	setup(&f);
	break_connection(&f);
	CU_ASSERT_FALSE(is_suspect(&f));
	finish(&f);
}

/* Guards against a gateway without descriptors holding servers for crashed. */
static void test_no_descriptors_is_no_crash(void)
{
	struct rlimit before;
	struct rlimit none;
	struct fixture f;

	setup(&f);
	getrlimit(RLIMIT_NOFILE, &before);
	none = before;
	none.rlim_cur = 0;
	setrlimit(RLIMIT_NOFILE, &none);
	break_connection(&f);
	setrlimit(RLIMIT_NOFILE, &before);
	CU_ASSERT_FALSE(is_suspect(&f));
	finish(&f);
}

static const struct unit_test tests[] = {
	{"refused is a crash", test_refused_is_a_crash},
	{"listening is no crash", test_listening_is_no_crash},
	{"no descriptors is no crash", test_no_descriptors_is_no_crash},
};

UNIT_MAIN("crash_watch", tests)
