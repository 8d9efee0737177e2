/* The part of one instance under one view, and whether it may be used. */
#include "share_private.h"

#include "clock.h"
#include "str.h"

bool share_lease_runs(const struct share *share)
{
	return clock_now(share->clock) - share->confirmed < share->lease;
}

static int homes_of(const struct share_view *view, const struct share_row *row)
{
	int n = SHARE_HOMES;

	if (row->limit.slots < n)
		n = row->limit.slots;
	if (row->limit.connections < n)
		n = row->limit.connections;
	return view->n < n ? view->n : n;
}

int share_rank(const struct share_view *view, const struct share_row *row,
	       const struct share_seat *out[SHARE_HOMES])
{
	uint64_t best = 0;
	uint64_t second = 0;
	int i;

	out[0] = NULL;
	out[1] = NULL;
	for (i = 0; i < view->n; i++) {
		const struct share_seat *seat = &view->seats[i];
		uint64_t score = str_hash_mix(row->hash, seat->hash);

		if (!out[0] || score > best) {
			out[1] = out[0];
			second = best;
			out[0] = seat;
			best = score;
		} else if (!out[1] || score > second) {
			out[1] = seat;
			second = score;
		}
	}
	return homes_of(view, row);
}

struct quota share_quota(const struct share_view *view,
			 const struct share_row *row, uint64_t self)
{
	const struct share_seat *rank[SHARE_HOMES];
	struct quota quota = {0, 0};
	int n;
	int i;

	if (!view->has_self)
		return quota;
	n = share_rank(view, row, rank);
	for (i = 0; i < n; i++) {
		if (rank[i]->hash != self)
			continue;
		/* The first home has what does not divide. */
		quota.slots = (row->limit.slots + n - 1 - i) / n;
		quota.connections = (row->limit.connections + n - 1 - i) / n;
	}
	return quota;
}
