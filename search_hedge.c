#include "search_hedge.h"

#include "search_internal.h"
#include "search_part.h"
#include "search_round.h"

/* A refused hedge is retried after this fraction of the hedge delay. */
#define HEDGE_RETRY_DIVISOR 4
#define HEDGE_RETRY_MIN_US MSEC(1)

/* Whether the part is the latest one in flight for the shard. */
static bool is_hedgeable(const struct search *search, int shard, int part)
{
	return search->shards[shard].state == SEARCH_SHARD_IN_FLIGHT &&
	       search->shards[shard].last_part == part;
}

static bool have_common_shard(const struct search_part *a,
			      const struct search_part *b)
{
	int i;
	int k;

	for (i = 0; i < a->n_shards; i++) {
		for (k = 0; k < b->n_shards; k++) {
			if (a->shards[i] == b->shards[k])
				return true;
		}
	}
	return false;
}

/*
 * If all replicas of a shard are late, a hedge may go to a server that has been
 * asked before. Its older request is cancelled, so that a server never works
 * twice on one shard of a search.
 */
static void cancel_replaced_parts(struct search *search, int first_new)
{
	int i;
	int k;

	for (i = first_new; i < search->n_parts; i++) {
		for (k = 0; k < first_new; k++) {
			struct search_part *old = &search->parts[k];

			if (!old->is_done &&
			    old->server == search->parts[i].server &&
			    have_common_shard(old, &search->parts[i]))
				search_part_supersede(search, k, ERR_CANCELLED);
		}
	}
}

void search_hedge_part(struct search *search, int index, bool late_notice)
{
	struct search_part *part = &search->parts[index];
	struct search_round round;
	int64_t step = part->hedge_after / HEDGE_RETRY_DIVISOR;
	bool still_open = false;
	int i;

	if (!part->is_late)
		observe_mark_late(part->observed_server);
	part->is_late = true;
	part->hedge_at = INT64_MAX;
	if (search->single_server)
		return;
	search_round_init(&round, search, index);
	round.late_notice = late_notice;
	for (i = 0; i < search->parts[index].n_shards && round.placement &&
		    round.service;
	     i++) {
		int shard = search->parts[index].shards[i];

		if (!is_hedgeable(search, shard, index))
			continue;
		search_plan_shard(&round, shard);
		still_open |= is_hedgeable(search, shard, index);
	}
	part = &search->parts[index];
	if (step < HEDGE_RETRY_MIN_US)
		step = HEDGE_RETRY_MIN_US;
	part->hedge_at = still_open ? search_now(search) + step : INT64_MAX;
	cancel_replaced_parts(search, round.first_part);
	search_round_send(&round);
	search_round_finish(&round);
}
