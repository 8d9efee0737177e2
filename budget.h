/*
 * A budget of extra requests: a part of those needed, so that hedges and
 * retries cannot grow with the trouble they answer to.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Requests needed within about this time bound what may be saved up. */
#define BUDGET_WINDOW_US 200000

/**
 * struct budget - a token bucket filled by requests needed; all zero is new
 * @tokens: extra requests that may be sent now
 * @floor: of these, those granted by time alone
 * @recent: requests needed lately, fading with BUDGET_WINDOW_US
 * @decayed_needed: requests needed, decaying with the limit's @decay_time
 * @at: time of the last change, microseconds
 * @needed: all that were ever needed
 * @spent: all extra requests ever granted
 * @refused: all that were refused
 * @uncharged: extra requests that took no token because no earlier send had
 *	reached a server
 */
struct budget {
	double tokens;
	double floor;
	double recent;
	double decayed_needed;
	int64_t at;
	uint64_t needed;
	uint64_t spent;
	uint64_t refused;
	uint64_t uncharged;
};

/**
 * struct budget_limit - how much a budget grants
 * @ratio: extra requests for each one needed
 * @burst: extra requests granted on top, and after idle time
 * @per_second: extra requests granted by time alone, at most @burst at once
 * @decay_time: if not 0, a new budget has @initial, and its capacity, which
 *then also bounds tokens from @per_second, is what requests of about this time
 *	earned, microseconds; at most @burst, unless those of BUDGET_WINDOW_US
 *	earned more
 * @reserve: with @decay_time, minimum capacity; tokens up to it do not decay
 * @initial: with @decay_time, tokens of a new budget
 */
struct budget_limit {
	double ratio;
	double burst;
	double per_second;
	int64_t decay_time;
	double reserve;
	double initial;
};

/**
 * budget_init() - a budget with its burst, or @initial with a decay time
 */
void budget_init(struct budget *budget, const struct budget_limit *limit,
		 int64_t now);

/**
 * budget_count_needed() - count requests that were needed
 */
void budget_count_needed(struct budget *budget,
			 const struct budget_limit *limit, int n, int64_t now);

/**
 * budget_take() - ask for one extra request
 * @cost: tokens it takes, at least 1; 1 while time alone grants it
 *
 * Over any stretch of time the extra requests granted are at most the ratio
 * of those needed, plus the burst, plus the ratio of those needed within
 * BUDGET_WINDOW_US before, plus what time alone grants. With a decay time
 * they are at most the ratio of those needed, plus what time alone grants, plus
 * @initial, plus the larger of @reserve and the ratio of those needed within
 * about @decay_time before. These bounds add up over any number of budgets,
 * regardless of when each was created or discarded.
 *
 * Return: whether it may be sent.
 */
bool budget_take(struct budget *budget, const struct budget_limit *limit,
		 double cost, int64_t now);

/**
 * budget_capacity() - maximum number of saved tokens at the last change
 */
double budget_capacity(const struct budget *budget,
		       const struct budget_limit *limit);

/**
 * budget_is_half_full() - whether half of what can be saved up is there
 *
 * For requests that matter less than others of the same budget.
 */
bool budget_is_half_full(struct budget *budget,
			 const struct budget_limit *limit, int64_t now);

/**
 * budget_refund() - an extra request that was granted was never made
 */
void budget_refund(struct budget *budget);

#endif
