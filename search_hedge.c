#include "search_hedge.h"

#include "search_internal.h"
#include "search_part.h"
#include "search_round.h"

/* A hedge that was refused is asked for again after part of the delay. */
#define HEDGE_AGAIN_STEPS 4
#define HEDGE_AGAIN_MIN_US MSEC(1)

/* The shard waits for this part and no newer one. */
static bool is_hedgeable(const struct search *search, int shard, int part)
{
	return search->shards[shard].state == SEARCH_SHARD_ASKED &&
	       search->shards[shard].last_part == part;
}

static bool share_shard(const struct search_part *a,
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
 * All replicas of a shard are late with it, and a hedge went back to the
 * first: that request is given up, so that a server never works twice on one
 * shard of a search.
 */
static void replace_parts(struct search *search, int first_new)
{
	int i;
	int k;

	for (i = first_new; i < search->n_parts; i++) {
		for (k = 0; k < first_new; k++) {
			struct search_part *old = &search->parts[k];

			if (!old->back &&
			    old->server == search->parts[i].server &&
			    share_shard(old, &search->parts[i]))
				search_part_drop(search, k, ERR_CANCELLED);
		}
	}
}

void search_hedge_part(struct search *search, int index, bool told)
{
	struct search_part *part = &search->parts[index];
	struct search_round round;
	int64_t step = part->hedge_after / HEDGE_AGAIN_STEPS;
	bool open = false;
	int i;

	if (!part->is_late)
		observe_mark_late(part->seen);
	part->is_late = true;
	part->hedge_at = INT64_MAX;
	if (search->watched)
		return;
	search_round_init(&round, search, index);
	round.told = told;
	for (i = 0; i < search->parts[index].n_shards && round.placement &&
		    round.service;
	     i++) {
		int shard = search->parts[index].shards[i];

		if (!is_hedgeable(search, shard, index))
			continue;
		search_plan_shard(&round, shard);
		open |= is_hedgeable(search, shard, index);
	}
	part = &search->parts[index];
	if (step < HEDGE_AGAIN_MIN_US)
		step = HEDGE_AGAIN_MIN_US;
	part->hedge_at = open ? search_now(search) + step : INT64_MAX;
	replace_parts(search, round.first_part);
	search_round_send(&round);
	search_round_finish(&round);
}
