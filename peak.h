/*
 * Maximum over a sliding time window: a bound that also covers work started
 * under an earlier value, and falls once that work has ended.
 */
#ifndef PEAK_H
#define PEAK_H

#include <stdint.h>

/**
 * struct peak - maximum of the last @span to twice @span
 * @span: microseconds
 * @span_start: start of the current span, microseconds
 * @current: maximum since @span_start
 * @previous: maximum of the span before
 */
struct peak {
	int64_t span;
	int64_t span_start;
	int64_t current;
	int64_t previous;
};

/**
 * peak_init() - start with a value that holds for at least one span
 * @span: microseconds
 * @value: initial maximum
 * @now: microseconds
 */
void peak_init(struct peak *peak, int64_t span, int64_t value, int64_t now);

/**
 * peak_add() - add the current value
 * @value: current value
 * @now: microseconds
 *
 * Return: the maximum.
 */
int64_t peak_add(struct peak *peak, int64_t value, int64_t now);

#endif
