#define LOG_MODULE "accept_guard"
#include "accept_backoff.h"

#include <event2/event.h>
#include <event2/listener.h>
#include <event2/util.h>

#include "error.h"
#include "log.h"

#define BACKOFF_MS 100

static void resume_listening(evutil_socket_t fd, short what, void *arg)
{
	struct accept_backoff *backoff = arg;

	(void)fd;
	(void)what;
	evconnlistener_enable(backoff->listener);
}

void accept_backoff_init(struct accept_backoff *backoff,
			 struct event_base *base,
			 struct evconnlistener *listener)
{
	backoff->listener = listener;
	backoff->timer = evtimer_new(base, resume_listening, backoff);
}

void accept_backoff_finish(struct accept_backoff *backoff)
{
	event_free(backoff->timer);
}

void accept_backoff_start(struct accept_backoff *backoff)
{
	static const struct timeval pause = {0, BACKOFF_MS * 1000};

	LOG_WARN("accept_failed", LOG_TEXT("error", error_name(ERR_SYSTEM)),
		 LOG_I64("errno", EVUTIL_SOCKET_ERROR()));
	evconnlistener_disable(backoff->listener);
	evtimer_add(backoff->timer, &pause);
}
