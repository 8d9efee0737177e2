/*
 * Predicts whether a request to many shards will be answered in time, and which
 * of its parts are worth sending. If servers are overloaded or slow for a
 * while, parts wait in queues, and a part that is answered too late for its
 * caller uses server time that another part could have used. Does no I/O.
 */
#ifndef FORECAST_H
#define FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct forecast_part - a part that can be sent
 * @queue_wait: expected time until its server starts it, microseconds
 * @run_time: expected time from then until the answer arrives, microseconds
 * @reported_at: when its server's queue was last reported, microseconds; 0:
 *	never
 * @index: of the part in its request
 * @left_out: set by forecast_decide(): not worth sending
 */
struct forecast_part {
	int64_t queue_wait;
	int64_t run_time;
	int64_t reported_at;
	int index;
	bool left_out;
};

/**
 * struct forecast - input and result of the prediction for one request
 * @parts: parts that can be sent; owned by the caller
 * @n: number of @parts
 * @needed: number of parts needed for an answer, at most @n
 * @goal: time left until an answer is worth less, microseconds
 * @deadline: time left until an answer is worthless, microseconds
 * @lag: recent mean delay of answers beyond their expected time, microseconds
 * @promised: a caller was promised capacity for it; it is only refused if it
 *	cannot be answered by its deadline
 * @probe: it is sent in any case
 * @n_in_time: number of parts expected by the goal
 * @n_left_out: number of parts not worth sending
 * @refused: no part is worth sending
 * @capacity_in: with @refused: time until one more request fits, microseconds
 * @last_needed: the part expected last among those needed
 */
struct forecast {
	struct forecast_part *parts;
	int n;
	int needed;
	int64_t goal;
	int64_t deadline;
	int64_t lag;
	bool promised;
	bool probe;
	int n_in_time;
	int n_left_out;
	bool refused;
	int64_t capacity_in;
	const struct forecast_part *last_needed;
};

/**
 * forecast_needed() - number of parts needed for an answer
 * @n_parts: parts of the request, including lost ones
 * @coverage_min: minimum fraction of parts, 0 to 1
 *
 * Return: at least 1.
 */
int forecast_needed(int n_parts, double coverage_min);

/**
 * forecast_answer_time() - expected time until a part is answered
 *
 * Return: microseconds from now.
 */
int64_t forecast_answer_time(const struct forecast_part *part);

/**
 * forecast_decide() - compute the fields after @probe from those before
 *
 * Sorts the parts by their expected answer times.
 */
void forecast_decide(struct forecast *forecast);

#endif
