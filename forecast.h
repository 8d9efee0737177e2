/*
 * Whether a request to many shards will be answered in time, and which of its
 * parts are worth sending. The load that this answers is more requests than the
 * servers can bear, or servers that are slow for a while: parts wait in queues,
 * and one whose answer comes too late for its caller has taken the time of one
 * that would not have. Decides by numbers alone.
 */
#ifndef FORECAST_H
#define FORECAST_H

#include <stdbool.h>
#include <stdint.h>

/**
 * struct forecast_part - a part that can be sent; microseconds
 * @ahead: until its server takes it up
 * @run: from then until its answer is here
 * @told_at: when its server's queue was told of last; 0: never
 * @index: of the part in its request
 * @left_out: set by forecast_decide(): not worth sending
 */
struct forecast_part {
	int64_t ahead;
	int64_t run;
	int64_t told_at;
	int index;
	bool left_out;
};

/**
 * struct forecast - what is expected of a request
 * @parts: those that can be sent, @n of them; the owner's
 * @needed: so many make an answer; @n at most
 * @goal: time left until an answer is worth less, microseconds
 * @deadline: time left until it is worth nothing, microseconds
 * @lag: so much later than expected enough parts come lately, microseconds
 * @promised: it is sent if it can be answered by its deadline at all
 * @probe: it is sent in any case
 * @n_in_time: parts that are expected by the goal
 * @n_left_out: parts that are not worth sending
 * @refused: none is
 * @room_in: with @refused: one more request fits after so long, microseconds
 * @deciding: the last part that is needed
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
	int64_t room_in;
	const struct forecast_part *deciding;
};

/**
 * forecast_needed() - parts that make an answer
 * @n_parts: of the request, lost ones included
 * @coverage_min: least share of them
 */
int forecast_needed(int n_parts, double coverage_min);

/**
 * forecast_answer_time() - when the answer of a part is expected, from now
 */
int64_t forecast_answer_time(const struct forecast_part *part);

/**
 * forecast_decide() - set what follows @probe from what comes before
 *
 * Sorts the parts by the times that are expected.
 */
void forecast_decide(struct forecast *forecast);

#endif
