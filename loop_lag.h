/*
 * Watches the event loop itself: how late it comes to its timer, and when it
 * last did.
 */
#ifndef LOOP_LAG_H
#define LOOP_LAG_H

#include <stdint.h>

#include "blackboard.h"

struct event;

#define LOOP_LAG_PERIOD MSEC(20)
/* So many periods without a beat: the process was stopped or is stuck. */
#define LOOP_LAG_STALL_PERIODS 3

/**
 * struct loop_lag - one timer
 * @beat: called every LOOP_LAG_PERIOD or so with how late it is, microseconds
 */
struct loop_lag {
	struct blackboard *board;
	struct event *timer;
	void (*beat)(void *arg, int64_t lag);
	void *arg;
};

void loop_lag_init(struct loop_lag *loop, struct blackboard *board,
		   void (*beat)(void *arg, int64_t lag), void *arg);
void loop_lag_finish(struct loop_lag *loop);

#endif
