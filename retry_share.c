#include "retry_share.h"

#include <math.h>
#include <string.h>

#include "clock.h"

/*
 * The budget of second sends is fleet-wide, but an instance cannot rely on its
 * count of the others. Tokens earned by its own requests add up to the ratio
 * over all instances without coordination. This factor keeps a margin below the
 * configured ratio.
 */
#define RATIO_MARGIN 0.95
/*
 * Decay time of saved tokens in instances without a share of the slack, as a
 * fraction of the window. This bound adds up without coordination, too.
 */
#define DECAY_WINDOW_RATIO 0.2
/*
 * Tokens that do not decay, to allow second sends at low request rates: in each
 * instance at most this fraction of the slack, divided by the number of
 * members.
 */
#define RESERVE_SLACK_RATIO 0.5
#define RESERVE_MAX 1
/* The entries divide this fraction of the slack, less the reserves. */
#define SLACK_MARGIN 0.9
/*
 * Each entry may save up this fraction of its share. The remainder is granted
 * at a constant rate, once per window in total.
 */
#define SAVED_SHARE_RATIO 0.55
/*
 * Second sends that servers may still receive, of an instance without a share
 * of the slack. They may arrive when nothing else is sent, so only what does
 * not depend on the traffic may be unread: this one, or the saved share.
 */
#define UNREAD_MAX 1
/* Minimum divisor: a new or isolated instance does not know the others. */
#define ENTRIES_MIN 4
/*
 * The slack is divided by at least the peak number of entries within one to two
 * of these spans: callers keep an address for 15 s at most, and second sends
 * are counted over 10 s and the 10 s before.
 */
#define ENTRIES_PEAK_SPAN MSEC(40000)

void retry_share_init(struct retry_share *share, int64_t now)
{
	memset(share, 0, sizeof(*share));
	peak_init(&share->entries, ENTRIES_PEAK_SPAN, ENTRIES_MIN, now);
	share->entries_peak = ENTRIES_MIN;
	share->started_at = now;
}

static void update_maxima(struct retry_share *share,
			  const struct retry_membership *membership,
			  bool past_first_window, int64_t now)
{
	share->entries_peak =
		(int)peak_add(&share->entries, membership->entries, now);
	if (!past_first_window)
		return;
	if (membership->entries > share->entries_max)
		share->entries_max = membership->entries;
	if (membership->members > share->members_max)
		share->members_max = membership->members;
}

/*
 * The current membership may be incomplete during partitions and restarts,
 * which would make the shares of all instances exceed the slack. The divisors
 * are therefore never below the maxima since the first window.
 */
void retry_share_update(struct retry_share *share,
			const struct retry_settings *settings,
			const struct retry_membership *membership, int64_t now)
{
	bool past_first_window = now - share->started_at >= settings->window;
	struct budget_limit *limit = &share->limit;
	double members;
	double slack_share;
	bool has_slack_share;

	update_maxima(share, membership, past_first_window, now);
	members = fmax(1, fmax(membership->members, share->members_max));
	share->divisor = (int)fmax(ENTRIES_MIN, fmax(share->entries_peak,
						     share->entries_max));
	/* An instance that has never known another one may be isolated. */
	has_slack_share = past_first_window && membership->is_entry &&
			  share->members_max > 1;
	limit->ratio = settings->ratio * RATIO_MARGIN;
	limit->reserve = fmin(RESERVE_MAX,
			      settings->slack * RESERVE_SLACK_RATIO / members);
	slack_share = settings->slack * SLACK_MARGIN - limit->reserve * members;
	slack_share = fmax(0, slack_share) / share->divisor;
	limit->burst = slack_share * SAVED_SHARE_RATIO;
	limit->decay_time = settings->window;
	limit->unread_max =
		has_slack_share ? fmax(UNREAD_MAX, limit->burst) : UNREAD_MAX;
	limit->per_second = slack_share * (1 - SAVED_SHARE_RATIO) *
			    USEC_PER_SEC / (double)settings->window;
	if (has_slack_share) {
		/*
		 * A service that had no requests yet begins with the saved
		 * share: an earlier process here ended more than a window ago.
		 */
		limit->reserve = fmax(limit->reserve, limit->burst);
		limit->initial = limit->reserve;
	} else {
		limit->decay_time = (int64_t)(DECAY_WINDOW_RATIO *
					      (double)settings->window);
		limit->per_second = 0;
		limit->initial = 0;
	}
}
