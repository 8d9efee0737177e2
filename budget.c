#include "budget.h"

#include <math.h>
#include <string.h>

#include "clock.h"

void budget_init(struct budget *budget, const struct budget_limit *limit,
		 int64_t now)
{
	memset(budget, 0, sizeof(*budget));
	if (limit->decay_time)
		budget->tokens = limit->initial;
	else if (limit->per_second > 0)
		budget->time_tokens = limit->burst;
	else
		budget->tokens = limit->burst;
	budget->updated_at = now;
}

/*
 * Tokens saved under high load could cause a retry storm later. The capacity
 * therefore falls with the request rate, down to the burst, or to the reserve
 * if the limit has a decay time.
 */
double budget_capacity(const struct budget *budget,
		       const struct budget_limit *limit)
{
	double earned = limit->ratio * budget->recent_needed;
	double saved;

	if (!limit->decay_time)
		return limit->burst + earned;
	saved = fmin(limit->burst, limit->ratio * budget->decayed_needed);
	return fmax(limit->reserve, fmax(earned, saved));
}

/* What is still to arrive counts in some later window beside new tokens. */
static double unused_capacity(const struct budget *budget,
			      const struct budget_limit *limit)
{
	double capacity = budget_capacity(budget, limit);

	if (!limit->decay_time)
		return capacity;
	return fmax(0, capacity - budget->unread);
}

static bool is_unread_max(const struct budget *budget,
			  const struct budget_limit *limit)
{
	return limit->decay_time && budget->unread + 1 > limit->unread_max;
}

static void update_tokens(struct budget *budget,
			  const struct budget_limit *limit, int64_t now)
{
	double age = (double)(now - budget->updated_at);

	budget->recent_needed *= exp(-age / BUDGET_WINDOW_US);
	if (limit->decay_time)
		budget->decayed_needed *= exp(-age / (double)limit->decay_time);
	budget->updated_at = now;
	/* With a decay time, the capacity also limits tokens from time. */
	if (limit->decay_time)
		budget->tokens += age * limit->per_second / USEC_PER_SEC;
	else
		budget->time_tokens =
			fmin(limit->burst,
			     budget->time_tokens +
				     age * limit->per_second / USEC_PER_SEC);
	budget->tokens = fmin(budget->tokens, unused_capacity(budget, limit));
}

void budget_earn(struct budget *budget, const struct budget_limit *limit, int n,
		 int64_t now)
{
	update_tokens(budget, limit, now);
	budget->recent_needed += n;
	budget->decayed_needed += n;
	budget->tokens += limit->ratio * n;
	update_tokens(budget, limit, now);
}

void budget_count_needed(struct budget *budget,
			 const struct budget_limit *limit, int n, int64_t now)
{
	budget->needed += (uint64_t)n;
	budget_earn(budget, limit, n, now);
}

bool budget_take(struct budget *budget, const struct budget_limit *limit,
		 double cost, int64_t now)
{
	update_tokens(budget, limit, now);
	if (limit->ratio > 0 && budget->time_tokens >= 1) {
		budget->time_tokens -= 1;
		budget->spent++;
		return true;
	}
	if (budget->tokens < cost || limit->ratio <= 0 ||
	    is_unread_max(budget, limit)) {
		budget->refused++;
		return false;
	}
	budget->tokens -= cost;
	budget->spent++;
	return true;
}

void budget_refund(struct budget *budget)
{
	budget->tokens += 1;
	budget->spent--;
}

bool budget_is_half_full(struct budget *budget,
			 const struct budget_limit *limit, int64_t now)
{
	update_tokens(budget, limit, now);
	return budget->tokens * 2 >= budget_capacity(budget, limit);
}
