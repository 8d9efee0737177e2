/*
 * The greatest value of the last while: a bound that must hold for what was
 * begun under an earlier value, and comes down once that is over.
 */
#ifndef PEAK_H
#define PEAK_H

#include <stdint.h>

/**
 * struct peak - the greatest value of the last @span to twice @span
 * @span: microseconds
 * @span_start: of @current, microseconds
 * @current: the greatest since then
 * @previous: the greatest of the span before
 */
struct peak {
	int64_t span;
	int64_t span_start;
	int current;
	int previous;
};

void peak_init(struct peak *peak, int64_t span, int value, int64_t now);

/**
 * peak_add() - a value holds now
 *
 * Return: the greatest.
 */
int peak_add(struct peak *peak, int value, int64_t now);

#endif
