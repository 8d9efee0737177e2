/* The order in which a gateway's event loop handles what waits. */
#include <time.h>
#include <unistd.h>

#include <event2/event.h>

#include "loop.h"
#include "unit.h"

#define REQUESTS 400
#define REQUEST_TIME_NS 1000000
/* Those that fit into a slice of 20 ms, and the one that ends it. */
#define REQUESTS_BEFORE_STATE_MAX 22

/**
 * struct fixture - a loop with requests that wait, and a pipe for state
 * @n_before_state: requests that were handled between the write to the pipe and
 *		    its read
 */
struct fixture {
	struct event_base *base;
	struct event *requests[REQUESTS];
	struct event *state;
	int pipe[2];
	int n_requests;
	int n_before_state;
};

static void on_state(evutil_socket_t fd, short what, void *arg)
{
	struct fixture *f = arg;
	char c;

	(void)what;
	CU_ASSERT_EQUAL(read(fd, &c, 1), 1);
	f->n_before_state = f->n_requests;
}

static void on_request(evutil_socket_t fd, short what, void *arg)
{
	static const struct timespec time = {0, REQUEST_TIME_NS};
	struct fixture *f = arg;

	(void)fd;
	(void)what;
	if (!f->n_requests++)
		CU_ASSERT_EQUAL(write(f->pipe[1], "x", 1), 1);
	nanosleep(&time, NULL);
}

/* Guards against a view that waits behind all requests of a busy gateway. */
static void test_state_before_requests(void)
{
	struct fixture f = {.base = loop_new()};
	int i;

	CU_ASSERT_EQUAL(pipe(f.pipe), 0);
	f.state = event_new(f.base, f.pipe[0], EV_READ | EV_PERSIST, on_state,
			    &f);
	event_priority_set(f.state, LOOP_STATE);
	event_add(f.state, NULL);
	for (i = 0; i < REQUESTS; i++) {
		f.requests[i] = event_new(f.base, -1, 0, on_request, &f);
		event_active(f.requests[i], EV_TIMEOUT, 1);
	}
	while (f.n_requests < REQUESTS)
		event_base_loop(f.base, EVLOOP_ONCE);
	CU_ASSERT(f.n_before_state > 0);
	CU_ASSERT(f.n_before_state <= REQUESTS_BEFORE_STATE_MAX);
	for (i = 0; i < REQUESTS; i++)
		event_free(f.requests[i]);
	event_free(f.state);
	close(f.pipe[0]);
	close(f.pipe[1]);
	event_base_free(f.base);
}

static const struct unit_test tests[] = {
	{"state before requests", test_state_before_requests},
};

UNIT_MAIN("loop", tests)
