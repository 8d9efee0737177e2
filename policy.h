/*
 * How a search meets slow, refusing and lost servers: which replica it asks,
 * when it hedges, retries, and answers with less than everything.
 *
 * Two tables of functions: policy_adaptive, and policy_plain, the baseline of
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
 * struct policy_failure - a shard that was asked for in vain
 * @code: why
 * @sent: the server may have got the request
 * @attempts: times the shard was asked for, this one included
 * @deadline: of the search, microseconds
 */
struct policy_failure {
	int code;
	bool sent;
	int attempts;
	int64_t deadline;
};

/**
 * struct policy_ops - what varies between policies
 * @choose: which replica and home to ask. Return: 0, ERR_NO_REPLICA, or
 *	ERR_SHED with @when set: all asked not to be called before; INT64_MAX:
 *	not in this search
 * @hedge_delay: when to hedge. Return: microseconds from sending; INT64_MAX:
 *	never
 * @hedge: whether a hedge to @target may go out now, after @attempts for the
 *	shard; if so it is paid for. @told: its home told that it runs too
 *	long, so that it is known to hold a slot
 * @retry: whether and when to ask again. Return: 0 with @when set; ERR_BUDGET
 *	with @when set to when this may be asked again, INT64_MAX: not in this
 *	search; ERR_TOO_LATE, or the code itself, if it is final
 * @answer_after: when a search answers at min_coverage, microseconds from its
 *	start
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
		      const struct replica *target, int attempts, bool told,
		      int64_t deadline);
	int (*retry)(struct policy *policy, const struct service *service,
		     const struct policy_failure *failure, int64_t *when);
	int64_t (*answer_after)(struct policy *policy,
				const struct service *service,
				int64_t deadline_us);
};

extern const struct policy_ops policy_adaptive;
extern const struct policy_ops policy_plain;

/**
 * struct policy - decisions of one instance
 * @ops: as the tunable search_policy says
 * @observe: what they rest on; kept up by either policy
 */
struct policy {
	const struct policy_ops *ops;
	struct observe observe;
	struct rng rng;
};

/**
 * policy_init() - start with nothing known
 * @seed: of its random choices
 */
void policy_init(struct policy *policy, const struct clock *clock,
		 uint64_t seed);
void policy_finish(struct policy *policy);

/**
 * policy_set_table() - take another table and the policy it names
 */
void policy_set_table(struct policy *policy, const struct table *table);

/**
 * policy_count_needed() - a search begins, with that many requests to servers
 *
 * Budgets of extra requests are filled by these alone.
 */
void policy_count_needed(struct policy *policy, const struct service *service,
			 int n);

/**
 * policy_request_sent() - a request goes out to a server
 * @instance: hash of the home's name
 */
void policy_request_sent(struct policy *policy, struct observe_server *server,
			 uint64_t instance);

/**
 * policy_request_done() - it is over; every policy_request_sent() needs one
 * @was_late: observe_late() was called for it
 */
void policy_request_done(struct policy *policy, struct observe_server *server,
			 uint64_t instance, bool was_late,
			 const struct observe_result *result);

/**
 * policy_hedge_cancelled() - a hedge was cancelled before any server was asked
 */
void policy_hedge_cancelled(struct policy *policy,
			    const struct service *service);

/**
 * policy_search_done() - a search reached full coverage, or was late
 *
 * Not to be called for one that failed at once: failures are no speed.
 */
void policy_search_done(struct policy *policy, const struct service *service,
			int64_t elapsed_us);

#endif
