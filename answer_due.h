/*
 * Soft timeout of a sharded request: how long to wait for all parts before a
 * partial answer is sent. Callers measure the route's goal from their own
 * start, so that time spent on the network, on connecting and on looking up
 * addresses is deducted, and so is the way back. Does no I/O.
 */
#ifndef ANSWER_DUE_H
#define ANSWER_DUE_H

#include <stdint.h>

/**
 * struct answer_due - timing of a request on arrival; microseconds
 * @goal: latency goal of the route
 * @longest_timeout: longest remaining time that callers of the route sent
 *	recently
 * @caller_timeout: remaining time that this caller sent; -1: none
 * @round_trip: measured on the caller's connection; 0: not known
 */
struct answer_due {
	int64_t goal;
	int64_t longest_timeout;
	int64_t caller_timeout;
	int64_t round_trip;
};

/**
 * answer_due_timeout() - soft timeout of a request
 *
 * Return: microseconds from its arrival, at least a quarter of the goal.
 */
int64_t answer_due_timeout(const struct answer_due *due);

#endif
