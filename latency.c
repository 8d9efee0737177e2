#include "latency.h"

/* Of the newest answer in what is usual: one request brings many at a time. */
#define UNLOADED_WEIGHT 0.005
/* Of the newest request in the lag. */
#define LAG_WEIGHT 0.05
/* One late answer moves the estimate by this share. */
#define STEP 0.05

void latency_init(struct latency *latency, int64_t guess)
{
	latency->unloaded = 0;
	latency->lag = 0;
	latency->late = (double)guess;
}

void latency_add_unloaded(struct latency *latency, double usec)
{
	if (!latency->unloaded)
		latency->unloaded = usec;
	latency->unloaded += (usec - latency->unloaded) * UNLOADED_WEIGHT;
}

void latency_add_forecast_error(struct latency *latency, int64_t usec)
{
	latency->lag += ((double)usec - latency->lag) * LAG_WEIGHT;
}

void latency_add(struct latency *latency, int64_t usec)
{
	if ((double)usec > latency->late)
		latency->late *= 1 + STEP * (1 - LATENCY_TAIL_SHARE);
	else
		latency->late *= 1 - STEP * LATENCY_TAIL_SHARE;
}
