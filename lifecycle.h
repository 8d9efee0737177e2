/*
 * Start and graceful stop of an instance.
 *
 * When told to stop, an instance at once leaves the address lists that it gives
 * to callers. It keeps serving until the address lists that contain it have
 * expired and nothing is in flight, and then exits; after stop_max_ms it exits
 * in any case. Other instances may hand out its address for up to
 * leave_spread_ms more, until they have learned of the stop.
 */
#ifndef LIFECYCLE_H
#define LIFECYCLE_H

#include "blackboard.h"
#include "home.h"

struct event;

/**
 * struct lifecycle_control - signal handlers and the stop check
 * @board: borrowed
 * @home: borrowed
 * @term: SIGTERM
 * @interrupt: SIGINT
 * @timer: periodic check once the instance is leaving
 */
struct lifecycle_control {
	struct blackboard *board;
	const struct home *home;
	struct event *term;
	struct event *interrupt;
	struct event *timer;
};

/**
 * lifecycle_init() - stop gracefully on SIGTERM and SIGINT
 * @control: to be finished with lifecycle_finish()
 * @board: outlives @control
 * @home: outlives @control
 */
void lifecycle_init(struct lifecycle_control *control, struct blackboard *board,
		    const struct home *home);
void lifecycle_finish(struct lifecycle_control *control);

/**
 * lifecycle_may_stop() - whether a leaving instance may exit now
 * @board: its lifecycle and counters of work in flight are read
 * @home_idle: no query of an entry is open at this home
 */
bool lifecycle_may_stop(const struct blackboard *board, bool home_idle);

#endif
