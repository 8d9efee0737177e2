#define LOG_MODULE "lifecycle"
#include "lifecycle.h"

#include <signal.h>
#include <string.h>

#include <event2/event.h>

#include "caller_conn.h"
#include "log.h"

#define STOP_CHECK_MS 20

static void plan_stop(struct blackboard *board, int64_t since)
{
	stop_plan_init(&board->stop, since,
		       MSEC(blackboard_tunables(board)->stop_max_ms));
	blackboard_notify(board, BLACKBOARD_LIFECYCLE);
}

void lifecycle_leave(struct blackboard *board)
{
	board->lifecycle = LIFECYCLE_LEAVING;
	board->leaving_since = clock_now(board->clock);
	/* The signal may have waited since the event loop's last tick. */
	plan_stop(board, board->leaving_since - blackboard_stall(board));
}

void lifecycle_plan_again(struct blackboard *board)
{
	plan_stop(board, board->stop.since);
}

bool lifecycle_may_stop(const struct blackboard *board, bool idle)
{
	const struct tunables *tunables = blackboard_tunables(board);
	int64_t now = clock_now(board->clock);
	int64_t elapsed = now - board->leaving_since;

	if (board->lifecycle != LIFECYCLE_LEAVING)
		return false;
	if (now >= board->stop.exit_at)
		return true;
	/* Others give its address to callers until they learn of the stop. */
	return elapsed >= MSEC(tunables->address_lifetime_ms +
			       tunables->leave_spread_ms) &&
	       idle && !board->counters.searches_open.value &&
	       !board->counters.runs_open.value;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct lifecycle_control *control = arg;
	struct blackboard *board = control->board;
	int64_t now = clock_now(board->clock);
	bool idle;

	(void)fd;
	(void)what;
	/* What ends now is written before the next check. */
	idle = home_is_idle(control->home) &&
	       caller_conns_are_idle(control->callers);
	if (now >= board->stop.answer_by)
		caller_conns_refuse_partial(control->callers);
	if (!lifecycle_may_stop(board, idle))
		return;
	LOG_INFO("stopping", LOG_I64("busy", !idle),
		 LOG_I64("after_us", now - board->stop.since),
		 LOG_I64("searches_open", board->counters.searches_open.value),
		 LOG_I64("runs_open", board->counters.runs_open.value),
		 LOG_I64("ended", board->counters.stop_ended.value),
		 LOG_I64("jobs_ended", board->counters.home_stop_ended.value));
	board->lifecycle = LIFECYCLE_STOPPED;
	event_base_loopexit(board->base, NULL);
}

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	static const struct timeval period = {0, STOP_CHECK_MS * 1000};
	struct lifecycle_control *control = arg;
	struct blackboard *board = control->board;

	(void)fd;
	(void)what;
	if (board->lifecycle >= LIFECYCLE_LEAVING)
		return;
	LOG_INFO("leaving",
		 LOG_I64("searches_open", board->counters.searches_open.value),
		 LOG_I64("runs_open", board->counters.runs_open.value));
	control->lacks_table = !board->table;
	lifecycle_leave(board);
	event_add(control->timer, &period);
}

static void on_table(void *arg)
{
	struct lifecycle_control *control = arg;

	if (!control->lacks_table)
		return;
	control->lacks_table = false;
	lifecycle_plan_again(control->board);
}

void lifecycle_init(struct lifecycle_control *control, struct blackboard *board,
		    const struct home *home, struct caller_conns *callers)
{
	control->board = board;
	control->home = home;
	control->callers = callers;
	control->lacks_table = false;
	control->term = evsignal_new(board->base, SIGTERM, on_signal, control);
	control->interrupt =
		evsignal_new(board->base, SIGINT, on_signal, control);
	control->timer =
		event_new(board->base, -1, EV_PERSIST, on_timer, control);
	event_add(control->term, NULL);
	event_add(control->interrupt, NULL);
	blackboard_watch(board, BLACKBOARD_TABLE, &control->table_watch,
			 on_table, control);
}

void lifecycle_finish(struct lifecycle_control *control)
{
	event_free(control->term);
	event_free(control->interrupt);
	event_free(control->timer);
}
