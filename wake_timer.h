/*
 * A one-shot timer with a deadline that can be brought forward. It calls a
 * decision module, one without I/O, no later than the time it asked for.
 */
#ifndef WAKE_TIMER_H
#define WAKE_TIMER_H

#include <stdint.h>

#include "clock.h"

struct event;
struct event_base;

/**
 * struct wake_timer - one pending call
 * @event: owned
 * @clock: borrowed
 * @wake: function to call
 * @arg: passed to @wake
 * @at: time of the call, microseconds; INT64_MAX if none is pending
 */
struct wake_timer {
	struct event *event;
	const struct clock *clock;
	void (*wake)(void *arg);
	void *arg;
	int64_t at;
};

/**
 * wake_timer_init() - create a timer that isn't armed
 * @timer: to be finished with wake_timer_finish()
 * @base: event loop of the timer
 * @clock: borrowed; outlives the timer
 * @wake: called once for each time the timer is armed; may arm it again
 * @arg: passed to @wake
 */
void wake_timer_init(struct wake_timer *timer, struct event_base *base,
		     const struct clock *clock, void (*wake)(void *arg),
		     void *arg);
void wake_timer_finish(struct wake_timer *timer);

/**
 * wake_timer_arm() - request a call no later than @at
 * @timer: the timer
 * @at: microseconds; INT64_MAX changes nothing
 *
 * A pending call at an earlier time is kept.
 */
void wake_timer_arm(struct wake_timer *timer, int64_t at);

/**
 * wake_timer_move() - as wake_timer_arm(), but replace the pending call
 * @timer: the timer
 * @at: microseconds; with INT64_MAX a pending call may still be made
 */
void wake_timer_move(struct wake_timer *timer, int64_t at);

#endif
