/* The runtime's clock: monotonic, and in tests paused and advanced by hand. */
#ifndef CLOCK_H
#define CLOCK_H

#include <stdint.h>

#define USEC_PER_MSEC 1000
#define USEC_PER_SEC 1000000
#define MSEC(n) ((int64_t)(n)*USEC_PER_MSEC)

struct clock;

/**
 * struct clock_ops - how a clock tells the time
 * @now: monotonic microseconds; must count while the process is paused
 * @wall: microseconds since 1970, for logs and records only
 */
struct clock_ops {
	int64_t (*now)(const struct clock *clock);
	int64_t (*wall)(const struct clock *clock);
};

/**
 * struct clock - a source of time
 * @ops: how to read it
 * @paused_now: what a paused clock shows, microseconds
 */
struct clock {
	const struct clock_ops *ops;
	int64_t paused_now;
};

/**
 * clock_init() - a clock that runs (CLOCK_BOOTTIME)
 *
 * It goes on while a process is stopped by a signal and while the machine is
 * suspended, so that a process which wakes late sees the elapsed time.
 */
void clock_init(struct clock *clock);

/**
 * clock_init_paused() - a clock that only clock_advance() moves
 * @now: where it starts, microseconds
 */
void clock_init_paused(struct clock *clock, int64_t now);
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
