#include "loop_lag.h"

#include <event2/event.h>

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	static const struct timeval period = {0, LOOP_LAG_PERIOD};
	struct loop_lag *loop = arg;
	struct blackboard *board = loop->board;
	int64_t now = clock_now(board->clock);
	int64_t lag = now - board->last_tick_at - LOOP_LAG_PERIOD;

	(void)fd;
	(void)what;
	if (!board->last_tick_at || lag < 0)
		lag = 0;
	board->last_tick_at = now;
	metric_histogram_add(&board->counters.loop_lag.histogram, lag);
	loop->on_tick(loop->arg, lag);
	evtimer_add(loop->timer, &period);
}

void loop_lag_init(struct loop_lag *loop, struct blackboard *board,
		   void (*on_tick)(void *arg, int64_t lag), void *arg)
{
	loop->board = board;
	loop->on_tick = on_tick;
	loop->arg = arg;
	loop->timer = evtimer_new(board->base, on_timer, loop);
	on_timer(-1, 0, loop);
}

void loop_lag_finish(struct loop_lag *loop)
{
	event_free(loop->timer);
}
