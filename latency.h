/*
 * Running estimates of the latency of a kind of request: moving averages, and
 * a tail quantile by stochastic approximation (each sample above the estimate
 * raises it a little, each one below lowers it).
 */
#ifndef LATENCY_H
#define LATENCY_H

#include <stdint.h>

/**
 * struct latency - latency of one kind of request
 * @unloaded: average time of an answer from a server of its service's usual
 *	speed, microseconds; 0: no answer yet
 * @forecast_error: average delay of sufficient coverage compared with its
 *	forecast, microseconds
 * @tail: exceeded by LATENCY_TAIL_SHARE of the answers, microseconds
 */
struct latency {
	double unloaded;
	double forecast_error;
	double tail;
};

/* Share of answers that take longer than the tail estimate; hedged. */
#define LATENCY_TAIL_SHARE 0.05

/**
 * latency_init() - start without samples
 * @guess: first estimate of the tail, microseconds
 */
void latency_init(struct latency *latency, int64_t guess);

/**
 * latency_add_unloaded() - add a sample to the average
 * @usec: time of the answer, normalised to a server of usual speed
 */
void latency_add_unloaded(struct latency *latency, double usec);

/**
 * latency_add_forecast_error() - add a sample of the forecast's error
 * @usec: time from the expected to the actual moment of sufficient coverage
 */
void latency_add_forecast_error(struct latency *latency, int64_t usec);

/**
 * latency_add() - add a sample to the tail estimate
 * @usec: time of the answer
 */
void latency_add(struct latency *latency, int64_t usec);

#endif
