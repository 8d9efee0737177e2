/*
 * A quantile sketch of durations: a histogram with logarithmic buckets whose
 * weights decay exponentially with time.
 */
#ifndef SKETCH_H
#define SKETCH_H

#include <stdint.h>

/* From 64 us to about 16 s, four buckets per octave. */
#define SKETCH_STEPS 4
#define SKETCH_BUCKETS (18 * SKETCH_STEPS)

/**
 * struct sketch - histogram of recent durations; all zero is empty
 * @weights: by bucket; a sample weighs 1 at @epoch and more after it
 * @total: sum of @weights
 * @epoch: time at which a new sample weighs 1, microseconds
 */
struct sketch {
	float weights[SKETCH_BUCKETS];
	float total;
	int64_t epoch;
};

/**
 * sketch_add() - add a duration
 * @usec: microseconds
 * @now: microseconds
 * @half_life: time in which a sample's weight halves, microseconds
 */
void sketch_add(struct sketch *sketch, int64_t usec, int64_t now,
		int64_t half_life);

/**
 * sketch_count() - effective number of samples
 * @now: microseconds
 * @half_life: as for sketch_add()
 *
 * Return: sum of the decayed weights; a sample added at @now counts as 1.
 */
double sketch_count(const struct sketch *sketch, int64_t now,
		    int64_t half_life);

/**
 * sketch_quantile() - estimate a quantile, with an error of at most a tenth
 * @q: 0 to 1
 *
 * Return: microseconds; 0 if the sketch is empty.
 */
int64_t sketch_quantile(const struct sketch *sketch, double q);

#endif
