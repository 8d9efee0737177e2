/*
 * A budget for extra requests (hedges and retries): a fraction of the requests
 * needed, so that extra requests do not amplify an overload or outage.
 */
#ifndef BUDGET_H
#define BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Time constant of the average that limits the tokens saved up. */
#define BUDGET_WINDOW_US 200000

/**
 * struct budget - a token bucket filled by requests needed
 * @tokens: extra requests that may be sent now, without @time_tokens
 * @time_tokens: further ones, granted by time alone
 * @recent_needed: requests needed, decaying with BUDGET_WINDOW_US
 * @decayed_needed: requests needed, decaying with the limit's @decay_time
 * @updated_at: time of the last update, microseconds
 * @needed: total number of requests needed
 * @spent: total number of extra requests granted
 * @refused: total number of extra requests refused
 * @refused_unread: those of @refused while @unread was not 0
 * @uncharged: extra requests that took no token because no earlier send had
 *	reached a server
 * @unread: extra requests that servers may still receive
 *
 * All zero is a valid empty budget.
 */
struct budget {
	double tokens;
	double time_tokens;
	double recent_needed;
	double decayed_needed;
	int64_t updated_at;
	uint64_t needed;
	uint64_t spent;
	uint64_t refused;
	uint64_t refused_unread;
	uint64_t uncharged;
	int unread;
};

/**
 * struct budget_limit - parameters of a budget
 * @ratio: extra requests for each one needed; 0 allows none
 * @burst: extra requests granted on top, and after idle time
 * @per_second: extra requests granted by time alone, at most @burst at once
 * @decay_time: microseconds; if not 0, a new budget has @initial tokens, and
 *	its capacity, which then also limits tokens from @per_second, is what
 *	requests within about this time earned: at most @burst, unless those of
 *	BUDGET_WINDOW_US earned more
 * @reserve: with @decay_time, minimum capacity; tokens up to it do not decay
 * @initial: with @decay_time, tokens of a new budget
 * @unread_max: with @decay_time, maximum number of extra requests granted that
 *	servers may still receive
 */
struct budget_limit {
	double ratio;
	double burst;
	double per_second;
	int64_t decay_time;
	double reserve;
	double initial;
	double unread_max;
};

/**
 * budget_init() - start with the burst, or with @initial if there is a decay
 *	time
 * @now: microseconds
 */
void budget_init(struct budget *budget, const struct budget_limit *limit,
		 int64_t now);

/**
 * budget_earn() - add the tokens that requests needed earn
 * @n: number of requests
 * @now: microseconds
 */
void budget_earn(struct budget *budget, const struct budget_limit *limit, int n,
		 int64_t now);

/**
 * budget_count_needed() - count requests needed, and add what they earn
 * @n: number of requests
 * @now: microseconds
 */
void budget_count_needed(struct budget *budget,
			 const struct budget_limit *limit, int n, int64_t now);

/**
 * budget_take() - take tokens for one extra request
 * @cost: tokens it takes, at least 1; always 1 if taken from @time_tokens
 * @now: microseconds
 *
 * Over any stretch of time the extra requests granted are at most the ratio
 * of those needed, plus the burst, plus the ratio of those needed within
 * BUDGET_WINDOW_US before, plus what time alone grants. With a decay time
 * they are at most the ratio of those needed, plus what time alone grants, plus
 * @initial, plus the larger of @reserve and the ratio of those needed within
 * about @decay_time before. What servers may still receive is taken off the
 * capacity, so that the same holds for the extra requests that arrive. These
 * bounds add up over any number of budgets, regardless of when each was created
 * or discarded.
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
 * budget_is_half_full() - whether at least half of the capacity is available
 * @now: microseconds
 *
 * For extra requests that are less important than others of the same budget.
 */
bool budget_is_half_full(struct budget *budget,
			 const struct budget_limit *limit, int64_t now);

/**
 * budget_refund() - return the token of an extra request that was not sent
 */
void budget_refund(struct budget *budget);

#endif
