#define LOG_MODULE "accept_guard"
#include "accept_guard.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "error.h"
#include "log.h"

#define REST_MS 100

static void go_on(evutil_socket_t fd, short what, void *arg)
{
	struct accept_backoff *guard = arg;

	(void)fd;
	(void)what;
	evconnlistener_enable(guard->listener);
}

void accept_backoff_init(struct accept_backoff *guard, struct event_base *base,
			 struct evconnlistener *listener)
{
	guard->listener = listener;
	guard->timer = evtimer_new(base, go_on, guard);
}

void accept_backoff_finish(struct accept_backoff *guard)
{
	event_free(guard->timer);
}

void accept_backoff_start(struct accept_backoff *guard)
{
	static const struct timeval rest = {0, REST_MS * 1000};

	LOG_WARN("accept_failed", LOG_TEXT("error", error_name(ERR_SYSTEM)),
		 LOG_I64("errno", EVUTIL_SOCKET_ERROR()));
	evconnlistener_disable(guard->listener);
	evtimer_add(guard->timer, &rest);
}
