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
		budget->floor = limit->burst;
	else
		budget->tokens = limit->burst;
	budget->at = now;
}

/*
 * Tokens saved under high load could feed a retry storm after it: the capacity
 * shrinks with the request rate, down to the burst, or to the reserve if the
 * limit has a decay time.
 */
double budget_capacity(const struct budget *budget,
		       const struct budget_limit *limit)
{
	double earned = limit->ratio * budget->recent;
	double saved;

	if (!limit->decay_time)
		return limit->burst + earned;
	saved = fmin(limit->burst, limit->ratio * budget->decayed_needed);
	return fmax(limit->reserve, fmax(earned, saved));
}

static void settle(struct budget *budget, const struct budget_limit *limit,
		   int64_t now)
{
	double age = (double)(now - budget->at);

	budget->recent *= exp(-age / BUDGET_WINDOW_US);
	if (limit->decay_time)
		budget->decayed_needed *= exp(-age / (double)limit->decay_time);
	budget->at = now;
	/* With a decay time, the capacity also bounds what time grants. */
	if (limit->decay_time)
		budget->tokens += age * limit->per_second / USEC_PER_SEC;
	else
		budget->floor = fmin(limit->burst,
				     budget->floor + age * limit->per_second /
							     USEC_PER_SEC);
	budget->tokens = fmin(budget->tokens, budget_capacity(budget, limit));
}

void budget_count_needed(struct budget *budget,
			 const struct budget_limit *limit, int n, int64_t now)
{
	settle(budget, limit, now);
	budget->needed += (uint64_t)n;
	budget->recent += n;
	budget->decayed_needed += n;
	budget->tokens += limit->ratio * n;
	settle(budget, limit, now);
}

bool budget_take(struct budget *budget, const struct budget_limit *limit,
		 double cost, int64_t now)
{
	settle(budget, limit, now);
	if (limit->ratio > 0 && budget->floor >= 1) {
		budget->floor -= 1;
		budget->spent++;
		return true;
	}
	if (budget->tokens < cost || limit->ratio <= 0) {
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
	settle(budget, limit, now);
	return budget->tokens * 2 >= budget_capacity(budget, limit);
}
