/*
 * A running estimate of one quantile of a latency (stochastic approximation):
 * one number, moved up a little by each sample above it and down a little by
 * each one below.
 */
#ifndef LATENCY_H
#define LATENCY_H

#include <stdint.h>

/**
 * struct latency - the latency of one kind of request
 * @late: so many microseconds are exceeded by LATENCY_LATE of the answers
 * @usual: moving average of answers that did not wait for others, microseconds
 * @n_usual: answers that are in it
 */
struct latency {
	double late;
	double usual;
	int n_usual;
};

/* Answers later than this share of all are worth asking another server for. */
#define LATENCY_LATE 0.05

/**
 * latency_init() - before the first answer
 * @guess: microseconds
 */
void latency_init(struct latency *latency, int64_t guess);
void latency_add(struct latency *latency, int64_t usec);

/**
 * latency_add_usual() - an answer that shows what the work takes
 */
void latency_add_usual(struct latency *latency, int64_t usec);

#endif
