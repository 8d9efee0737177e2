/*
 * Running estimates of a latency: of one quantile (stochastic approximation: a
 * number moved up a little by each sample above it and down a little by each
 * one below), and of the mean.
 */
#ifndef LATENCY_H
#define LATENCY_H

#include <stdint.h>

/**
 * struct latency - the latency of one kind of request
 * @unloaded: that an answer takes of a server that is as quick as usual,
 *	microseconds; 0: none came yet
 * @lag: so much later than expected enough parts of a request come lately,
 *	microseconds
 * @late: so many microseconds are exceeded by LATENCY_TAIL_SHARE of the answers
 */
struct latency {
	double unloaded;
	double lag;
	double late;
};

/* Answers later than this share of all are worth asking another server for. */
#define LATENCY_TAIL_SHARE 0.05

/**
 * latency_init() - before the first answer
 * @guess: microseconds
 */
void latency_init(struct latency *latency, int64_t guess);

/**
 * latency_add_unloaded() - an answer came
 * @usec: that it would have taken of a server that is as quick as usual
 */
void latency_add_unloaded(struct latency *latency, double usec);

/**
 * latency_add_forecast_error() - enough parts of a request came
 * @usec: so much later than was expected
 */
void latency_add_forecast_error(struct latency *latency, int64_t usec);

/**
 * latency_add() - an answer came
 */
void latency_add(struct latency *latency, int64_t usec);

#endif
