#include "wake_timer.h"

#include <event2/event.h>

static void on_event(evutil_socket_t fd, short what, void *arg)
{
	struct wake_timer *timer = arg;

	(void)fd;
	(void)what;
	timer->at = INT64_MAX;
	timer->wake(timer->arg);
}

void wake_timer_init(struct wake_timer *timer, struct event_base *base,
		     const struct clock *clock, void (*wake)(void *arg),
		     void *arg)
{
	timer->event = evtimer_new(base, on_event, timer);
	timer->clock = clock;
	timer->wake = wake;
	timer->arg = arg;
	timer->at = INT64_MAX;
}

void wake_timer_finish(struct wake_timer *timer)
{
	event_free(timer->event);
}

void wake_timer_arm(struct wake_timer *timer, int64_t at)
{
	int64_t left = at - clock_now(timer->clock);
	struct timeval tv;

	if (at >= timer->at)
		return;
	if (left < 0)
		left = 0;
	tv.tv_sec = left / USEC_PER_SEC;
	tv.tv_usec = left % USEC_PER_SEC;
	timer->at = at;
	evtimer_add(timer->event, &tv);
}

void wake_timer_move(struct wake_timer *timer, int64_t at)
{
	timer->at = INT64_MAX;
	wake_timer_arm(timer, at);
}
