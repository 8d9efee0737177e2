/*
 * When a sharded request is answered with the parts that are in. A caller
 * counts its goal from its own first step: the way here, connections that it
 * opened and addresses that it asked for are used up by the time the request
 * arrives, and the way back is still to come. Decides without sockets.
 */
#ifndef ANSWER_DUE_H
#define ANSWER_DUE_H

#include <stdint.h>

/**
 * struct answer_due - what is known of a request when it is taken; microseconds
 * @goal: of the route
 * @patience: the longest that callers of the route said lately they will wait
 * @told: what this one says; -1: it does not
 * @round_trip: to the caller and back, as its connection measured; 0: not known
 */
struct answer_due {
	int64_t goal;
	int64_t patience;
	int64_t told;
	int64_t round_trip;
};

/**
 * answer_due_timeout() - how long after it was taken a request is answered
 *
 * Return: microseconds, a quarter of the goal at least.
 */
int64_t answer_due_timeout(const struct answer_due *due);

#endif
