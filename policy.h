/*
 * How a search handles slow, refusing and lost servers: choice of replicas,
 * hedging, retries, and answers with partial coverage.
 *
 * There are two policies: policy_adaptive, and policy_plain as the baseline for
 * experiments (tunable search_policy).
 */
#ifndef POLICY_H
#define POLICY_H

#include <stdbool.h>
#include <stdint.h>

#include "observe.h"
#include "replica.h"
#include "rng.h"

struct policy;

/**
 * struct policy_failure - a failed request for a shard
 * @code: error code
 * @sent: the server may have received the request
 * @attempts: number of requests for the shard, including this one
 * @deadline: of the search, microseconds
 */
struct policy_failure {
	int code;
	bool sent;
	int attempts;
	int64_t deadline;
};

/**
 * struct policy_ops - functions of a policy
 * @name: name of the policy
 * @choose: choose the replica and home instance to ask. Return: 0;
 *	ERR_NO_REPLICA; or ERR_SHED, with @when set to the time before which all
 *	replicas asked not to be called, INT64_MAX: not in this search
 * @hedge_delay: when to hedge a request to @asked; @again: the request is a
 *	hedge itself. Return: microseconds from sending; INT64_MAX: never
 * @hedge: whether a hedge to @target may be sent now, after @attempts requests
 *	for the shard; takes it from the hedge budget if so. @reported_slow: the
 *	home instance reported that the request runs too long, so it is known to
 *	occupy a slot
 * @retry: whether and when to retry. Return: 0 with @when set; ERR_BUDGET with
 *	@when set to when to call this again, INT64_MAX: not in this search;
 *	ERR_TOO_LATE, or the code of the failure, if it is final
 * @answer_after: when a search may answer at min_coverage. Return: microseconds
 *	from its start
 */
struct policy_ops {
	const char *name;
	int (*choose)(struct policy *policy, const struct replica *replicas,
		      int n, bool urgent, struct replica_pick *pick,
		      int64_t *when);
	int64_t (*hedge_delay)(struct policy *policy,
			       const struct service *service,
			       const struct replica *asked,
			       const struct replica *others, int n, bool again);
	bool (*hedge)(struct policy *policy, const struct service *service,
		      const struct replica *target, int attempts,
		      bool reported_slow, int64_t deadline);
	int (*retry)(struct policy *policy, const struct service *service,
		     const struct policy_failure *failure, int64_t *when);
	int64_t (*answer_after)(struct policy *policy,
				const struct service *service,
				int64_t deadline_us);
};

extern const struct policy_ops policy_adaptive;
extern const struct policy_ops policy_plain;

/**
 * struct policy - policy state of one instance
 * @ops: selected by the tunable search_policy
 * @observe: statistics about servers; updated under either policy
 * @rng: random number generator
 */
struct policy {
	const struct policy_ops *ops;
	struct observe observe;
	struct rng rng;
};

/**
 * policy_init() - start without statistics, with the adaptive policy
 * @seed: for random choices
 */
void policy_init(struct policy *policy, const struct clock *clock,
		 uint64_t seed);
void policy_finish(struct policy *policy);

/**
 * policy_set_table() - use another routing table and the policy it selects
 */
void policy_set_table(struct policy *policy, const struct table *table);

/**
 * policy_count_needed() - count the first requests of a search that begins
 * @n: number of requests to servers
 *
 * Only these earn tokens in the budgets for extra requests.
 */
void policy_count_needed(struct policy *policy, const struct service *service,
			 int n);

/**
 * policy_request_sent() - count a request sent to a server
 * @instance: hash of the home instance's name
 */
void policy_request_sent(struct policy *policy, struct observe_server *server,
			 uint64_t instance);

/**
 * policy_request_done() - record the result of a request
 * @instance: hash of the home instance's name
 * @was_late: observe_mark_late() was called for it
 * @result: result of the request
 *
 * Call once for each policy_request_sent().
 */
void policy_request_done(struct policy *policy, struct observe_server *server,
			 uint64_t instance, bool was_late,
			 const struct observe_result *result);

/**
 * policy_hedge_cancelled() - refund a hedge that no server was asked for
 */
void policy_hedge_cancelled(struct policy *policy,
			    const struct service *service);

/**
 * policy_search_done() - record the duration of a search that reached full
 *	coverage or its deadline
 * @elapsed_us: microseconds
 *
 * Not for searches that failed at once: these would distort the latency.
 */
void policy_search_done(struct policy *policy, const struct service *service,
			int64_t elapsed_us);

#endif
