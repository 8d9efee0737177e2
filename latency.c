#include "latency.h"

/* One late answer moves the estimate by this share. */
#define STEP 0.05
/* Answers that make the usual latency. */
#define USUAL_SPAN 2048

void latency_init(struct latency *latency, int64_t guess)
{
	latency->late = (double)guess;
	latency->usual = (double)guess;
	latency->n_usual = 0;
}

void latency_add(struct latency *latency, int64_t usec)
{
	if ((double)usec > latency->late)
		latency->late *= 1 + STEP * (1 - LATENCY_LATE);
	else
		latency->late *= 1 - STEP * LATENCY_LATE;
}

void latency_add_usual(struct latency *latency, int64_t usec)
{
	if (latency->n_usual < USUAL_SPAN)
		latency->n_usual++;
	latency->usual += ((double)usec - latency->usual) / latency->n_usual;
}
