/*
 * Computes the share of one instance in the fleet-wide budget of second sends.
 * Does no I/O.
 */
#ifndef RETRY_SHARE_H
#define RETRY_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "budget.h"
#include "peak.h"

/**
 * struct retry_settings - fleet-wide budget of second sends to a service
 * @ratio: second sends for each request
 * @slack: second sends allowed on top of @ratio within @window
 * @window: microseconds
 */
struct retry_settings {
	double ratio;
	double slack;
	int64_t window;
};

/**
 * struct retry_membership - the fleet as known to this instance
 * @entries: instances that accept callers
 * @members: all live instances
 * @is_entry: this instance is one of the entries
 */
struct retry_membership {
	int entries;
	int members;
	bool is_entry;
};

/**
 * struct retry_share - share of one instance in the budget
 * @entries: recent peak of the number of instances that accept callers
 * @entries_peak: latest result of peak_add() on @entries
 * @started_at: time of retry_share_init(), microseconds
 * @entries_max: maximum number of entries known since the end of the first
 *	window
 * @members_max: maximum number of members known since then
 * @divisor: number of entries among which the slack is divided
 * @limit: applies to the budget of each service
 */
struct retry_share {
	struct peak entries;
	int entries_peak;
	int64_t started_at;
	int entries_max;
	int members_max;
	int divisor;
	struct budget_limit limit;
};

/**
 * retry_share_init() - start with the minimum number of entries
 * @now: microseconds
 */
void retry_share_init(struct retry_share *share, int64_t now);

/**
 * retry_share_update() - recompute the limit from settings and membership
 * @settings: of the fleet
 * @membership: as currently known
 * @now: microseconds
 */
void retry_share_update(struct retry_share *share,
			const struct retry_settings *settings,
			const struct retry_membership *membership, int64_t now);

#endif
