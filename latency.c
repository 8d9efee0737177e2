#include "latency.h"

/* One late answer moves the estimate by this share. */
#define STEP 0.05

void latency_init(struct latency *latency, int64_t guess)
{
	latency->late = (double)guess;
}

void latency_add(struct latency *latency, int64_t usec)
{
	if ((double)usec > latency->late)
		latency->late *= 1 + STEP * (1 - LATENCY_LATE);
	else
		latency->late *= 1 - STEP * LATENCY_LATE;
}
