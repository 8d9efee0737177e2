#include "clock.h"

#include <time.h>

static int64_t read_clock(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static int64_t running_now(const struct clock *clock)
{
	(void)clock;
	return read_clock(CLOCK_BOOTTIME);
}

static int64_t running_wall(const struct clock *clock)
{
	(void)clock;
	return read_clock(CLOCK_REALTIME);
}

static int64_t paused_now(const struct clock *clock)
{
	return clock->paused_now;
}

static const struct clock_ops running_ops = {
	.now = running_now,
	.wall = running_wall,
};

static const struct clock_ops paused_ops = {
	.now = paused_now,
	.wall = paused_now,
};

void clock_init(struct clock *clock)
{
	clock->ops = &running_ops;
	clock->paused_now = 0;
}

void clock_init_paused(struct clock *clock, int64_t now)
{
	clock->ops = &paused_ops;
	clock->paused_now = now;
}

void clock_advance(struct clock *clock, int64_t usec)
{
	clock->paused_now += usec;
}
