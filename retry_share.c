#include "retry_share.h"

#include <string.h>

#include "clock.h"

/* Margins below the configured budget. */
#define RETRY_RATIO_KEPT 0.95
#define RETRY_SLACK_KEPT 0.8
/* Minimum divisor: a new or isolated instance does not know the others. */
#define ENTRIES_LEAST 4
/*
 * The slack is divided by the peak number of entries within one to two
 * of these spans: callers keep an address for 15 s at most, and second sends
 * are counted over 10 s and the 10 s before.
 */
#define ENTRIES_SPAN MSEC(40000)

void retry_share_init(struct retry_share *share, int64_t now)
{
	memset(share, 0, sizeof(*share));
	peak_init(&share->entries, ENTRIES_SPAN, ENTRIES_LEAST, now);
	share->entries_peak = ENTRIES_LEAST;
}

/*
 * The current number may be too low: former entries may still have requests,
 * and other instances may know of more.
 */
void retry_share_update(struct retry_share *share,
			const struct retry_settings *settings,
			const struct retry_membership *membership, int64_t now)
{
	struct budget_limit *limit = &share->limit;

	share->entries_peak =
		peak_add(&share->entries, membership->entries, now);
	limit->ratio = settings->ratio * RETRY_RATIO_KEPT;
	limit->burst = settings->slack * RETRY_SLACK_KEPT / share->entries_peak;
	limit->per_second = 0;
}
