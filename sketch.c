#include "sketch.h"

#include <math.h>

#define BUCKET_MIN_US 64.0
/* After this many half-lives, weights are rescaled to 1 to keep precision. */
#define RESCALE_HALVINGS 16.0

static int bucket_of(int64_t usec)
{
	int bucket;

	if ((double)usec <= BUCKET_MIN_US)
		return 0;
	bucket = (int)(log2((double)usec / BUCKET_MIN_US) * SKETCH_STEPS);
	return bucket < SKETCH_BUCKETS ? bucket : SKETCH_BUCKETS - 1;
}

static double bucket_start(double bucket)
{
	return BUCKET_MIN_US * exp2(bucket / SKETCH_STEPS);
}

static void rescale(struct sketch *sketch, double halvings, int64_t now)
{
	float factor = (float)exp2(-halvings);
	int i;

	for (i = 0; i < SKETCH_BUCKETS; i++)
		sketch->weights[i] *= factor;
	sketch->total *= factor;
	sketch->epoch = now;
}

void sketch_add(struct sketch *sketch, int64_t usec, int64_t now,
		int64_t half_life)
{
	double halvings;
	float weight;

	if (sketch->total <= 0)
		sketch->epoch = now;
	halvings = (double)(now - sketch->epoch) / (double)half_life;
	if (halvings > RESCALE_HALVINGS) {
		rescale(sketch, halvings, now);
		halvings = 0;
	}
	weight = (float)exp2(halvings);
	sketch->weights[bucket_of(usec)] += weight;
	sketch->total += weight;
}

double sketch_count(const struct sketch *sketch, int64_t now, int64_t half_life)
{
	double halvings = (double)(now - sketch->epoch) / (double)half_life;

	return (double)sketch->total * exp2(-halvings);
}

int64_t sketch_quantile(const struct sketch *sketch, double q)
{
	double rank = q * (double)sketch->total;
	double cumulative = 0;
	int i;

	if (sketch->total <= 0)
		return 0;
	for (i = 0; i < SKETCH_BUCKETS; i++) {
		double weight = (double)sketch->weights[i];

		if (weight > 0 && cumulative + weight >= rank)
			return (int64_t)bucket_start(i + (rank - cumulative) /
								 weight);
		cumulative += weight;
	}
	return (int64_t)bucket_start(SKETCH_BUCKETS);
}
