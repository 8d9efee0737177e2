/*
 * When a shard's request is hedged to a second replica, and the soft timeout
 * of a search, after which a partial answer is sent.
 */
#ifndef HEDGE_H
#define HEDGE_H

#include <stdbool.h>
#include <stdint.h>

#include "observe.h"
#include "replica.h"

/**
 * hedge_delay() - how long a request may take before it is hedged
 * @service: row of the table
 * @asked: replica it was sent to
 * @others: the @n replicas of the same shards; may include @asked
 * @is_hedge: the request is itself a hedge
 *
 * A high quantile of the response time, taken from the faster of @asked and
 * the replicas that could be used instead. If all servers slow down, the delay
 * grows with them.
 *
 * Return: microseconds from sending.
 */
int64_t hedge_delay(const struct observe *observe,
		    const struct service *service, const struct replica *asked,
		    const struct replica *others, int n, bool is_hedge);

/**
 * hedge_useful() - whether a hedge to a replica can still help
 * @target: replica it would be sent to
 * @deadline: of the search, microseconds
 *
 * Not if the target is ejected, if its own late requests exceed half of its
 * slots or of the requests in flight there (all replicas are slow then, and
 * more load makes it worse), or if its answer is expected after the deadline.
 */
bool hedge_useful(const struct observe *observe, const struct replica *target,
		  int64_t deadline);

/**
 * hedge_soft_timeout() - how long a search waits for all shards
 * @service: row of the table
 * @seen: observations of the service
 * @deadline_us: deadline of the search, from its start
 *
 * After that a latency-first search is answered once it has min_coverage. A
 * coverage-first search waits until its deadline.
 *
 * Return: microseconds from the start of the search.
 */
int64_t hedge_soft_timeout(const struct observe *observe,
			   const struct service *service,
			   const struct observe_service *seen,
			   int64_t deadline_us);

#endif
