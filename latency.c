#include "latency.h"

/* Weight of one answer in the average; low, as each request brings many. */
#define UNLOADED_WEIGHT 0.005
/* Weight of one request in the average forecast error. */
#define FORECAST_ERROR_WEIGHT 0.05
/* Step size of the tail estimate, as share of its value. */
#define TAIL_STEP 0.05

void latency_init(struct latency *latency, int64_t guess)
{
	latency->unloaded = 0;
	latency->forecast_error = 0;
	latency->tail = (double)guess;
}

void latency_add_unloaded(struct latency *latency, double usec)
{
	if (!latency->unloaded)
		latency->unloaded = usec;
	latency->unloaded += (usec - latency->unloaded) * UNLOADED_WEIGHT;
}

void latency_add_forecast_error(struct latency *latency, int64_t usec)
{
	latency->forecast_error += ((double)usec - latency->forecast_error) *
				   FORECAST_ERROR_WEIGHT;
}

void latency_add(struct latency *latency, int64_t usec)
{
	if ((double)usec > latency->tail)
		latency->tail *= 1 + TAIL_STEP * (1 - LATENCY_TAIL_SHARE);
	else
		latency->tail *= 1 - TAIL_STEP * LATENCY_TAIL_SHARE;
}
