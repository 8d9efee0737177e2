/*
 * Start and graceful stop of an instance.
 *
 * When told to stop, an instance at once leaves the address lists that it gives
 * to callers. It keeps serving until the address lists that contain it have
 * expired and nothing is in flight, and then exits. Other instances may hand
 * out its address for up to leave_spread_ms more, until they have learned of
 * the stop.
 *
 * stop_max_ms limits this: it ends the deadlines of all that is open, so that
 * every caller has a whole answer before the process exits, see stop_plan.h.
 */
#ifndef LIFECYCLE_H
#define LIFECYCLE_H

#include "blackboard.h"
#include "home.h"

struct caller_conns;
struct event;

/**
 * struct lifecycle_control - signal handlers and the stop check
 * @board: borrowed
 * @home: borrowed
 * @callers: borrowed
 * @term: SIGTERM
 * @interrupt: SIGINT
 * @timer: periodic check once the instance is leaving
 * @table_watch: of the first table
 * @lacks_table: the stop was planned before the first table was in force
 */
struct lifecycle_control {
	struct blackboard *board;
	const struct home *home;
	struct caller_conns *callers;
	struct event *term;
	struct event *interrupt;
	struct event *timer;
	struct blackboard_watch table_watch;
	bool lacks_table;
};

/**
 * lifecycle_init() - stop gracefully on SIGTERM and SIGINT
 * @control: to be finished with lifecycle_finish()
 * @board: outlives @control
 * @home: outlives @control
 * @callers: outlives @control
 */
void lifecycle_init(struct lifecycle_control *control, struct blackboard *board,
		    const struct home *home, struct caller_conns *callers);
void lifecycle_finish(struct lifecycle_control *control);

/**
 * lifecycle_leave() - begin a graceful stop
 * @board: its lifecycle and the plan of the stop are written, and its watchers
 *	of BLACKBOARD_LIFECYCLE notified
 *
 * A later change of stop_max_ms has no effect on the plan.
 */
void lifecycle_leave(struct blackboard *board);

/**
 * lifecycle_plan_again() - let a stop end by the tunables now in force
 * @board: leaving; the plan of its stop is replaced, from the same beginning,
 *	and its watchers of BLACKBOARD_LIFECYCLE notified
 *
 * For an instance that was told to stop before it had its first table.
 */
void lifecycle_plan_again(struct blackboard *board);

/**
 * lifecycle_may_stop() - whether a leaving instance may exit now
 * @board: its lifecycle and counters of work in flight are read
 * @idle: no query of an entry is open at this home, and no request or response
 *	on a caller's connection
 */
bool lifecycle_may_stop(const struct blackboard *board, bool idle);

#endif
