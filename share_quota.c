/* The share of an instance under a view, and the state of its lease. */
#include "share_private.h"

#include "clock.h"
#include "str.h"

bool share_lease_runs(const struct share *share)
{
	return clock_now(share->clock) - share->lease_confirmed_at <
	       share->lease;
}

static int count_homes(const struct share_view *view,
		       const struct share_row *row)
{
	int n = SHARE_HOMES;

	if (row->limit.slots < n)
		n = row->limit.slots;
	if (row->limit.connections < n)
		n = row->limit.connections;
	return view->n < n ? view->n : n;
}

int share_rank_homes(const struct share_view *view, const struct share_row *row,
		     const struct share_holder *out[SHARE_HOMES])
{
	uint64_t best = 0;
	uint64_t second = 0;
	int i;

	out[0] = NULL;
	out[1] = NULL;
	for (i = 0; i < view->n; i++) {
		const struct share_holder *holder = &view->holders[i];
		uint64_t score = str_hash_mix(row->hash, holder->hash);

		if (!out[0] || score > best) {
			out[1] = out[0];
			second = best;
			out[0] = holder;
			best = score;
		} else if (!out[1] || score > second) {
			out[1] = holder;
			second = score;
		}
	}
	return count_homes(view, row);
}

struct quota share_quota(const struct share_view *view,
			 const struct share_row *row, uint64_t self)
{
	const struct share_holder *rank[SHARE_HOMES];
	struct quota quota = {0, 0};
	int n;
	int i;

	if (!view->has_self)
		return quota;
	n = share_rank_homes(view, row, rank);
	for (i = 0; i < n; i++) {
		if (rank[i]->hash != self)
			continue;
		/* The first home gets the remainder of the division. */
		quota.slots = (row->limit.slots + n - 1 - i) / n;
		quota.connections = (row->limit.connections + n - 1 - i) / n;
	}
	return quota;
}
