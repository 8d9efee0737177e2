/*
 * When a shard is asked of a second replica, and when a search that is late
 * is answered with what there is.
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
 * @asked: the replica it went to
 * @others: replicas of the same shards; @asked may be among them
 * @again: it is a hedge itself
 *
 * The time that all but a few requests take, at the quicker of the server
 * asked and the replicas that could be asked instead. It follows the
 * service: when every server slows down it grows with them.
 *
 * Return: microseconds from sending.
 */
int64_t hedge_delay(const struct observe *observe,
		    const struct service *service, const struct replica *asked,
		    const struct replica *others, int n, bool again);

/**
 * hedge_useful() - whether a hedge to a replica can still help
 * @target: the replica it would go to
 * @deadline: of the search, microseconds
 *
 * Not when the target is ejected, nor when it is itself late with most of what
 * it was asked (all are slow: more load makes it worse), and not when its
 * answer would come after the deadline.
 */
bool hedge_useful(const struct observe *observe, const struct replica *target,
		  int64_t deadline);

/**
 * hedge_soft_timeout() - when a search is late
 *
 * A latency-first search that reached min_coverage is answered then. A
 * coverage-first one uses its deadline.
 *
 * Return: microseconds from the start of the search.
 */
int64_t hedge_soft_timeout(const struct observe *observe,
			   const struct service *service,
			   const struct observe_service *seen,
			   int64_t deadline_us);

#endif
