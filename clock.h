/* A monotonic clock that tests can pause and advance explicitly. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

#define USEC_PER_MSEC 1000
#define USEC_PER_SEC 1000000
#define MSEC(n) ((int64_t)(n)*USEC_PER_MSEC)

/* For delays told to others: they must not come back too early. */
static inline int64_t msec_round_up(int64_t usec)
{
	return (usec + USEC_PER_MSEC - 1) / USEC_PER_MSEC;
}

struct clock;

/**
 * struct clock_ops - how a clock is read
 * @now: monotonic microseconds; must advance while the process is stopped
 * @wall: microseconds since 1970, for logs and records only
 */
struct clock_ops {
	int64_t (*now)(const struct clock *clock);
	int64_t (*wall)(const struct clock *clock);
};

/**
 * struct clock - a source of time
 * @ops: how it is read
 * @paused_now: current time of a paused clock, microseconds
 */
struct clock {
	const struct clock_ops *ops;
	int64_t paused_now;
};

/**
 * clock_init() - initialise a clock that reads CLOCK_BOOTTIME
 * @clock: the clock
 *
 * It advances while the process is stopped by a signal and while the machine is
 * suspended, so that a process that resumes late sees the elapsed time.
 */
void clock_init(struct clock *clock);

/**
 * clock_init_paused() - initialise a clock that only clock_advance() advances
 * @clock: the clock
 * @now: initial time, microseconds
 */
void clock_init_paused(struct clock *clock, int64_t now);

/**
 * clock_advance() - advance a paused clock
 * @clock: initialised by clock_init_paused()
 * @usec: microseconds
 */
void clock_advance(struct clock *clock, int64_t usec);

static inline int64_t clock_now(const struct clock *clock)
{
	return clock->ops->now(clock);
}

static inline int64_t clock_wall(const struct clock *clock)
{
	return clock->ops->wall(clock);
}

#endif
