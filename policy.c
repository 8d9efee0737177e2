#include "policy.h"

#include <string.h>

#include "error.h"
#include "hedge.h"

#define RETRY_WAIT_US MSEC(5)
#define RETRY_DOUBLINGS_MAX 6
/* When a budget is used up and there is time: how soon to ask it again. */
#define BUDGET_WAIT_US MSEC(20)
#define RETRY_COST_MAX 10.0
#define GONE_RATIO 0.5
#define PLAIN_ATTEMPTS 3

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
 * A service of few requests needs more than its ratio when a server fails,
 * and a few retries a second are no storm.
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

static struct observe_service *seen_of(const struct policy *policy,
				       const struct service *service)
{
	return observe_service(&policy->observe, str_from(service->name));
}

void policy_count_needed(struct policy *policy, const struct service *service,
			 int n)
{
	struct observe_service *seen = seen_of(policy, service);
	struct budget_limit hedges = hedge_limit(policy, service);
	struct budget_limit retries = retry_limit(policy, service);
	int64_t now = clock_now(policy->observe.clock);

	if (!seen)
		return;
	budget_count_needed(&seen->hedges, &hedges, n, now);
	budget_count_needed(&seen->retries, &retries, n, now);
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
	replica_review(&policy->observe, server,
		       observe_outcome_of(result->code, result->sent),
		       result->elapsed_us);
}

void policy_hedge_cancelled(struct policy *policy,
			    const struct service *service)
{
	struct observe_service *seen = seen_of(policy, service);

	if (seen)
		budget_refund(&seen->hedges);
}

void policy_search_done(struct policy *policy, const struct service *service,
			int64_t elapsed_us)
{
	struct observe_service *seen = seen_of(policy, service);

	if (seen)
		observe_searched(&policy->observe, seen, elapsed_us);
}

/*
 * All replicas of a shard shed. While others of the service answer it is worth
 * the wait; when the service is gone, the caller is told at once and not held
 * until its deadline.
 */
static int adaptive_choose(struct policy *policy,
			   const struct replica *replicas, int n, bool urgent,
			   struct replica_pick *pick, int64_t *when)
{
	int ret = replica_choose(&policy->observe, &policy->rng, replicas, n,
				 urgent, pick, when);
	const struct observe_server *server = n ? replicas[0].server : NULL;

	if (ret == ERR_SHED && server &&
	    observe_service_accept_ratio(server->service) < GONE_RATIO)
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
 * Behind a straggler others wait for its slot, and are late as well. They must
 * not use up what is needed to free them: the first half of the budget is for
 * requests that are known to run.
 */
static bool adaptive_hedge(struct policy *policy, const struct service *service,
			   const struct replica *target, int attempts,
			   bool told, int64_t deadline)
{
	struct observe_service *seen = seen_of(policy, service);
	struct budget_limit limit = hedge_limit(policy, service);
	int64_t now = clock_now(policy->observe.clock);

	if (!seen || attempts >= policy->observe.tunables.attempts_max ||
	    !hedge_useful(&policy->observe, target, deadline))
		return false;
	if (!told && !budget_is_half_full(&seen->hedges, &limit, now))
		return false;
	return budget_take(&seen->hedges, &limit, 1, now);
}

/* Whether asking again can bring another answer. */
static bool may_help(int code)
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
 * Another replica is asked at once, but only the first time: instances that
 * go on in step would hit the servers in waves, so later waits have chance in
 * them. Servers that shed are left out by the choice, not by this wait.
 */
static int64_t retry_wait(struct policy *policy,
			  const struct policy_failure *failure)
{
	int doublings = failure->attempts - 1;
	bool missed = observe_outcome_of(failure->code, failure->sent) ==
		      OBSERVE_NOT_HELD;

	if (doublings < 1 || missed)
		return 0;
	if (doublings > RETRY_DOUBLINGS_MAX)
		doublings = RETRY_DOUBLINGS_MAX;
	return (int64_t)((double)(RETRY_WAIT_US << doublings) *
			 (1 + rng_unit(&policy->rng)));
}

/*
 * What no server worked on costs no server anything. A silent connection is
 * closed and a lost home is not asked again, so that each can cost only one
 * request in flight. None of these needs the budget.
 */
static bool is_free(const struct policy_failure *failure)
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
 * The less a service answers, the less a retry helps, and the more each one
 * costs: when all of it is gone, next to none are made.
 */
static double retry_cost(const struct observe_service *seen)
{
	double cost = 1 / observe_service_accept_ratio(seen);

	return cost < RETRY_COST_MAX ? cost : RETRY_COST_MAX;
}

/*
 * The budget fills again with the next searches. It is worth the wait, unless
 * the service as a whole is gone: then the answer is given at once.
 */
static int out_of_budget(const struct service *service,
			 const struct observe_service *seen,
			 const struct policy_failure *failure, int64_t *when)
{
	bool gone = observe_service_accept_ratio(seen) < GONE_RATIO;

	*when += BUDGET_WAIT_US;
	if (*when >= failure->deadline ||
	    (gone && service->mode == SERVICE_LATENCY))
		*when = INT64_MAX;
	return ERR_BUDGET;
}

static int adaptive_retry(struct policy *policy, const struct service *service,
			  const struct policy_failure *failure, int64_t *when)
{
	struct observe_service *seen = seen_of(policy, service);
	struct budget_limit limit = retry_limit(policy, service);
	int64_t now = clock_now(policy->observe.clock);

	if (!may_help(failure->code) || !seen ||
	    failure->attempts >= policy->observe.tunables.attempts_max)
		return failure->code;
	*when = now + retry_wait(policy, failure);
	if (*when >= failure->deadline)
		return ERR_TOO_LATE;
	if (is_free(failure) ||
	    budget_take(&seen->retries, &limit, retry_cost(seen), now))
		return 0;
	return out_of_budget(service, seen, failure, when);
}

static int64_t adaptive_answer_after(struct policy *policy,
				     const struct service *service,
				     int64_t deadline_us)
{
	struct observe_service *seen = seen_of(policy, service);

	if (!seen)
		return deadline_us;
	return hedge_soft_timeout(&policy->observe, service, seen, deadline_us);
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
	int left = 0;
	int i;

	(void)urgent;
	(void)when;
	for (i = 0; i < n; i++)
		left += !replicas[i].excluded && replicas[i].n_homes;
	if (!left)
		return ERR_NO_REPLICA;
	left = (int)(rng_next(&policy->rng) % (uint64_t)left);
	for (i = 0; i < n; i++) {
		if (replicas[i].excluded || !replicas[i].n_homes)
			continue;
		if (!left--)
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
			const struct replica *target, int attempts, bool told,
			int64_t deadline)
{
	(void)policy;
	(void)service;
	(void)target;
	(void)attempts;
	(void)told;
	(void)deadline;
	return false;
}

static int plain_retry(struct policy *policy, const struct service *service,
		       const struct policy_failure *failure, int64_t *when)
{
	(void)service;
	if (!may_help(failure->code) || failure->attempts >= PLAIN_ATTEMPTS)
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
