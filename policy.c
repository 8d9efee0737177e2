#include "policy.h"

#include <string.h>

#include "error.h"
#include "hedge.h"

#define RETRY_DELAY_US MSEC(5)
#define RETRY_DOUBLINGS_MAX 6
/* Interval at which an exhausted budget is tried again. */
#define BUDGET_RETRY_DELAY_US MSEC(20)
#define RETRY_COST_MAX 10.0
#define UNAVAILABLE_RATIO 0.5
#define PLAIN_ATTEMPTS_MAX 3

void policy_init(struct policy *policy, const struct clock *clock,
		 uint64_t seed)
{
	memset(policy, 0, sizeof(*policy));
	policy->ops = &policy_adaptive;
	observe_init(&policy->observe, clock);
	rng_init(&policy->rng, seed);
}

void policy_finish(struct policy *policy)
{
	observe_finish(&policy->observe);
}

void policy_set_table(struct policy *policy, const struct table *table)
{
	bool plain = table->tunables.search_policy == SEARCH_PLAIN;

	observe_set_table(&policy->observe, table);
	policy->ops = plain ? &policy_plain : &policy_adaptive;
}

static struct budget_limit hedge_limit(const struct policy *policy,
				       const struct service *service)
{
	return (struct budget_limit){
		.ratio = service->hedge_extra,
		.burst = (double)policy->observe.tunables.extra_burst,
	};
}

/*
 * A service with few requests needs more retries than its ratio when a server
 * fails, and a few retries per second are no storm.
 */
static struct budget_limit retry_limit(const struct policy *policy,
				       const struct service *service)
{
	return (struct budget_limit){
		.ratio = service->retry_extra,
		.burst = (double)policy->observe.tunables.extra_burst,
		.per_second = (double)policy->observe.tunables.extra_burst,
	};
}

static struct observe_service *find_stats(const struct policy *policy,
					  const struct service *service)
{
	return observe_service(&policy->observe, str_from(service->name));
}

void policy_count_needed(struct policy *policy, const struct service *service,
			 int n)
{
	struct observe_service *stats = find_stats(policy, service);
	struct budget_limit hedges = hedge_limit(policy, service);
	struct budget_limit retries = retry_limit(policy, service);
	int64_t now = clock_now(policy->observe.clock);

	if (!stats)
		return;
	budget_count_needed(&stats->hedges, &hedges, n, now);
	budget_count_needed(&stats->retries, &retries, n, now);
}

void policy_request_sent(struct policy *policy, struct observe_server *server,
			 uint64_t instance)
{
	observe_sent(&policy->observe, server, instance);
}

void policy_request_done(struct policy *policy, struct observe_server *server,
			 uint64_t instance, bool was_late,
			 const struct observe_result *result)
{
	observe_done(&policy->observe, server, instance, was_late, result);
	replica_update_ejection(&policy->observe, server,
				observe_outcome_of(result->code, result->sent),
				result->elapsed_us);
}

void policy_hedge_cancelled(struct policy *policy,
			    const struct service *service)
{
	struct observe_service *stats = find_stats(policy, service);

	if (stats)
		budget_refund(&stats->hedges);
}

void policy_search_done(struct policy *policy, const struct service *service,
			int64_t elapsed_us)
{
	struct observe_service *stats = find_stats(policy, service);

	if (stats)
		observe_search_done(&policy->observe, stats, elapsed_us);
}

/*
 * If all replicas of a shard shed, waiting is worthwhile while others of the
 * service answer. If the service as a whole is unavailable, the caller is told
 * at once instead of at its deadline.
 */
static int adaptive_choose(struct policy *policy,
			   const struct replica *replicas, int n, bool urgent,
			   struct replica_pick *pick, int64_t *when)
{
	int ret = replica_choose(&policy->observe, &policy->rng, replicas, n,
				 urgent, pick, when);
	const struct observe_server *server = n ? replicas[0].server : NULL;

	if (ret == ERR_SHED && server &&
	    observe_service_accept_ratio(server->service) < UNAVAILABLE_RATIO)
		*when = INT64_MAX;
	return ret;
}

static int64_t adaptive_hedge_delay(struct policy *policy,
				    const struct service *service,
				    const struct replica *asked,
				    const struct replica *others, int n,
				    bool again)
{
	return hedge_delay(&policy->observe, service, asked, others, n, again);
}

/*
 * Requests queued behind a slow one for its slot are late as well. They must
 * not use up the budget needed to hedge the slow one: the first half of the
 * budget is reserved for requests that are known to run.
 */
static bool adaptive_hedge(struct policy *policy, const struct service *service,
			   const struct replica *target, int attempts,
			   bool reported_slow, int64_t deadline)
{
	struct observe_service *stats = find_stats(policy, service);
	struct budget_limit limit = hedge_limit(policy, service);
	int64_t now = clock_now(policy->observe.clock);

	if (!stats || attempts >= policy->observe.tunables.attempts_max ||
	    !hedge_useful(&policy->observe, target, deadline))
		return false;
	if (!reported_slow && !budget_is_half_full(&stats->hedges, &limit, now))
		return false;
	return budget_take(&stats->hedges, &limit, 1, now);
}

/* Whether a retry may succeed. */
static bool is_retryable(int code)
{
	switch (code) {
	case ERR_BAD_REQUEST:
	case ERR_BANNED:
	case ERR_TOO_LATE:
	case ERR_CANCELLED:
	case ERR_NO_SERVICE:
		return false;
	default:
		return true;
	}
}

/*
 * The first retry is sent at once to another replica. Later ones are delayed at
 * random, because instances that retry in step would hit the servers in waves.
 * Servers that shed are excluded by the choice of replicas, not by this delay.
 */
static int64_t retry_delay(struct policy *policy,
			   const struct policy_failure *failure)
{
	int doublings = failure->attempts - 1;
	bool not_held = observe_outcome_of(failure->code, failure->sent) ==
			OBSERVE_NOT_HELD;

	if (doublings < 1 || not_held)
		return 0;
	if (doublings > RETRY_DOUBLINGS_MAX)
		doublings = RETRY_DOUBLINGS_MAX;
	return (int64_t)((double)(RETRY_DELAY_US << doublings) *
			 (1 + rng_uniform(&policy->rng)));
}

/*
 * Retries of requests that no server worked on cost no server time. Silent
 * connections are closed and lost home instances are not asked again, so that
 * each can cost only one request in flight. None of these need the budget.
 */
static bool needs_no_budget(const struct policy_failure *failure)
{
	switch (observe_outcome_of(failure->code, failure->sent)) {
	case OBSERVE_SILENT:
	case OBSERVE_NOT_HELD:
		return true;
	case OBSERVE_NOT_ASKED:
		return !failure->sent || failure->code == ERR_UNAVAILABLE;
	default:
		return failure->code == ERR_DRAINING;
	}
}

/*
 * The fewer requests a service answers, the less likely a retry succeeds and
 * the more it costs. If the service is unavailable, next to none are sent.
 */
static double retry_cost(const struct observe_service *stats)
{
	double cost = 1 / observe_service_accept_ratio(stats);

	return cost < RETRY_COST_MAX ? cost : RETRY_COST_MAX;
}

/*
 * The budget is refilled by the next searches, which is worth waiting for,
 * unless the service as a whole is unavailable: then the search answers at
 * once.
 */
static int out_of_budget(const struct service *service,
			 const struct observe_service *stats,
			 const struct policy_failure *failure, int64_t *when)
{
	bool unavailable =
		observe_service_accept_ratio(stats) < UNAVAILABLE_RATIO;

	*when += BUDGET_RETRY_DELAY_US;
	if (*when >= failure->deadline ||
	    (unavailable && service->mode == SERVICE_LATENCY))
		*when = INT64_MAX;
	return ERR_BUDGET;
}

static int adaptive_retry(struct policy *policy, const struct service *service,
			  const struct policy_failure *failure, int64_t *when)
{
	struct observe_service *stats = find_stats(policy, service);
	struct budget_limit limit = retry_limit(policy, service);
	int64_t now = clock_now(policy->observe.clock);

	if (!is_retryable(failure->code) || !stats ||
	    failure->attempts >= policy->observe.tunables.attempts_max)
		return failure->code;
	*when = now + retry_delay(policy, failure);
	if (*when >= failure->deadline)
		return ERR_TOO_LATE;
	if (needs_no_budget(failure) ||
	    budget_take(&stats->retries, &limit, retry_cost(stats), now))
		return 0;
	return out_of_budget(service, stats, failure, when);
}

static int64_t adaptive_answer_after(struct policy *policy,
				     const struct service *service,
				     int64_t deadline_us)
{
	struct observe_service *stats = find_stats(policy, service);

	if (!stats)
		return deadline_us;
	return hedge_soft_timeout(&policy->observe, service, stats,
				  deadline_us);
}

const struct policy_ops policy_adaptive = {
	.name = "adaptive",
	.choose = adaptive_choose,
	.hedge_delay = adaptive_hedge_delay,
	.hedge = adaptive_hedge,
	.retry = adaptive_retry,
	.answer_after = adaptive_answer_after,
};

static int plain_choose(struct policy *policy, const struct replica *replicas,
			int n, bool urgent, struct replica_pick *pick,
			int64_t *when)
{
	int n_eligible = 0;
	int i;

	(void)urgent;
	(void)when;
	for (i = 0; i < n; i++)
		n_eligible += !replicas[i].excluded && replicas[i].n_homes;
	if (!n_eligible)
		return ERR_NO_REPLICA;
	n_eligible = (int)(rng_next(&policy->rng) % (uint64_t)n_eligible);
	for (i = 0; i < n; i++) {
		if (replicas[i].excluded || !replicas[i].n_homes)
			continue;
		if (!n_eligible--)
			break;
	}
	pick->replica = i;
	pick->home =
		(int)(rng_next(&policy->rng) % (uint64_t)replicas[i].n_homes);
	pick->probe = false;
	return 0;
}

static int64_t plain_hedge_delay(struct policy *policy,
				 const struct service *service,
				 const struct replica *asked,
				 const struct replica *others, int n,
				 bool again)
{
	(void)policy;
	(void)service;
	(void)asked;
	(void)others;
	(void)n;
	(void)again;
	return INT64_MAX;
}

static bool plain_hedge(struct policy *policy, const struct service *service,
			const struct replica *target, int attempts,
			bool reported_slow, int64_t deadline)
{
	(void)policy;
	(void)service;
	(void)target;
	(void)attempts;
	(void)reported_slow;
	(void)deadline;
	return false;
}

static int plain_retry(struct policy *policy, const struct service *service,
		       const struct policy_failure *failure, int64_t *when)
{
	(void)service;
	if (!is_retryable(failure->code) ||
	    failure->attempts >= PLAIN_ATTEMPTS_MAX)
		return failure->code;
	*when = clock_now(policy->observe.clock);
	return *when < failure->deadline ? 0 : ERR_TOO_LATE;
}

static int64_t plain_answer_after(struct policy *policy,
				  const struct service *service,
				  int64_t deadline_us)
{
	(void)policy;
	(void)service;
	return deadline_us;
}

const struct policy_ops policy_plain = {
	.name = "plain",
	.choose = plain_choose,
	.hedge_delay = plain_hedge_delay,
	.hedge = plain_hedge,
	.retry = plain_retry,
	.answer_after = plain_answer_after,
};
