/*
 * Measures the lag of the event loop: a periodic timer records how late it
 * fires and when it last fired.
 */
#ifndef LOOP_LAG_H
#define LOOP_LAG_H

#include <stdint.h>

#include "blackboard.h"

struct event;

#define LOOP_LAG_PERIOD MSEC(20) /* microseconds */
/* Periods without a tick after which the process was stopped or is stuck. */
#define LOOP_LAG_STALL_PERIODS 3

/**
 * struct loop_lag - the periodic timer of one event loop
 * @board: borrowed; its beat_at is the time of the last tick
 * @timer: fires every LOOP_LAG_PERIOD
 * @on_tick: called about every LOOP_LAG_PERIOD with the lag, microseconds
 * @arg: passed to @on_tick
 */
struct loop_lag {
	struct blackboard *board;
	struct event *timer;
	void (*on_tick)(void *arg, int64_t lag);
	void *arg;
};

/**
 * loop_lag_init() - start the timer
 * @loop: to be finished with loop_lag_finish()
 * @board: outlives @loop
 * @on_tick: called for the first time before this function returns
 * @arg: passed to @on_tick
 */
void loop_lag_init(struct loop_lag *loop, struct blackboard *board,
		   void (*on_tick)(void *arg, int64_t lag), void *arg);
void loop_lag_finish(struct loop_lag *loop);

#endif
