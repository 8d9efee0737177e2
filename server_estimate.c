#include "server_estimate.h"

#include <math.h>

#include "clock.h"

/* Limit for values from peers. */
#define WAIT_MAX MSEC(10000)
/*
 * Time constant of the return to the baseline: a server that gets no requests
 * may have recovered.
 */
#define DECAY_US 1500000.0
/* Maximum ratio to the baseline, in either direction. */
#define PROCESSING_TIME_RANGE 16.0
/* Limit for values from peers and samples, microseconds. */
#define PROCESSING_TIME_MAX_US 60e6
/*
 * Reports within this period come from different senders, and are based on
 * equally many answers.
 */
#define REPORT_MERGE_PERIOD MSEC(250)
/*
 * The weight of a sample depends on the time since the last update, within
 * these bounds.
 */
#define SAMPLE_WEIGHT_MIN 0.1
#define SAMPLE_WEIGHT_MAX 0.5
#define SAMPLE_SPAN_US 2000000.0
/* A sample counts for at most this multiple of the current estimate. */
#define SAMPLE_CLIP 4.0

int server_estimate_level(int64_t priority)
{
	if (priority < 0)
		return 0;
	return priority < ESTIMATE_LEVELS ? (int)priority : ESTIMATE_LEVELS - 1;
}

void server_estimate_set_wait(struct server_estimate *estimate, int level,
			      int64_t wait, int64_t now)
{
	if (wait < 0)
		wait = 0;
	estimate->levels[level].wait = wait < WAIT_MAX ? wait : WAIT_MAX;
	estimate->levels[level].at = now;
}

static double clamp(double value, double min, double max)
{
	if (value < min)
		return min;
	return value < max ? value : max;
}

static void set_processing_time(struct server_estimate *estimate,
				double processing_time, int64_t now)
{
	estimate->processing_time = processing_time < PROCESSING_TIME_MAX_US
					    ? processing_time
					    : PROCESSING_TIME_MAX_US;
	estimate->processing_time_at = now;
}

void server_estimate_add_report(struct server_estimate *estimate,
				double processing_time, int64_t now)
{
	if (processing_time <= 0)
		return;
	if (estimate->processing_time_at &&
	    now - estimate->processing_time_at < REPORT_MERGE_PERIOD)
		processing_time =
			(processing_time + estimate->processing_time) / 2;
	set_processing_time(estimate, processing_time, now);
}

void server_estimate_add_sample(struct server_estimate *estimate, int64_t took,
				double baseline_latency, int64_t now)
{
	double age = (double)(now - estimate->processing_time_at);
	double weight = clamp(1 - exp(-age / SAMPLE_SPAN_US), SAMPLE_WEIGHT_MIN,
			      SAMPLE_WEIGHT_MAX);
	double processing_time =
		server_estimate_processing_time(estimate, baseline_latency,
						now);
	double sample = clamp((double)took, 0, processing_time * SAMPLE_CLIP);

	set_processing_time(estimate,
			    processing_time +
				    (sample - processing_time) * weight,
			    now);
}

int64_t server_estimate_wait(const struct server_estimate *estimate, int level,
			     int64_t now)
{
	int64_t wait = estimate->levels[level].wait;
	int64_t left = wait - (now - estimate->levels[level].at);

	return left > 0 ? left : 0;
}

int64_t server_estimate_max_wait(const struct server_estimate *estimate,
				 int64_t now)
{
	int64_t longest = 0;
	int level;

	for (level = 0; level < ESTIMATE_LEVELS; level++) {
		int64_t wait = server_estimate_wait(estimate, level, now);

		if (wait > longest)
			longest = wait;
	}
	return longest;
}

double server_estimate_processing_time(const struct server_estimate *estimate,
				       double baseline_latency, int64_t now)
{
	double processing_time;
	double decay;

	if (!estimate->processing_time_at)
		return baseline_latency;
	decay = exp(-(double)(now - estimate->processing_time_at) / DECAY_US);
	processing_time = clamp(estimate->processing_time,
				baseline_latency / PROCESSING_TIME_RANGE,
				baseline_latency * PROCESSING_TIME_RANGE);
	return baseline_latency + (processing_time - baseline_latency) * decay;
}
