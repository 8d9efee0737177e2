/* Which server a watched request runs on. */
#include "poison_private.h"

#include "error.h"

/* Leaves the three highest bits of a rank for the flags below. */
#define RANK_SHIFT 3
#define RANK_TRIED (1ULL << 63)
#define RANK_CRASHED_BEFORE (1ULL << 62)
#define RANK_OTHER_REPLICA_SET (1ULL << 61)

static uint64_t rank_server(const struct poison *poison, uint64_t hash,
			    const struct poison_candidate *candidate)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);
	uint64_t server = str_hash(candidate->server);
	uint64_t rank = str_hash_mix(hash, server) >> RANK_SHIFT;

	if (candidate->tried)
		rank |= RANK_TRIED;
	if (!entry)
		return rank;
	if (entry->replica_set != str_hash(candidate->replica_set))
		rank |= RANK_OTHER_REPLICA_SET;
	if (poison_entry_has_server(entry, server))
		rank |= RANK_CRASHED_BEFORE;
	return rank;
}

/*
 * Until the report of a crash has arrived here, the suspect would be sent to
 * the next server and could crash a third one.
 */
static bool is_awaiting_reports(const struct poison *poison, uint64_t hash,
				const struct poison_candidate *candidate)
{
	int64_t since = clock_now(poison->clock) - candidate->changed;

	return !candidate->reachable && since < POISON_REPORT_WAIT &&
	       poison_find_entry(poison, hash) &&
	       !poison_entry_has_server(poison_find_entry(poison, hash),
					str_hash(candidate->server));
}

int poison_pick(const struct poison *poison, uint64_t hash,
		const struct poison_candidate *candidates, int n)
{
	uint64_t least = UINT64_MAX;
	int best = ERR_NO_REPLICA;
	int i;

	for (i = 0; i < n; i++) {
		uint64_t rank = rank_server(poison, hash, &candidates[i]);

		if (rank >= least)
			continue;
		if (is_awaiting_reports(poison, hash, &candidates[i]))
			best = ERR_NO_SLOT;
		else if (candidates[i].reachable)
			best = i;
		else
			continue;
		least = rank;
	}
	return best;
}

uint64_t poison_home_rank(uint64_t hash, struct str home)
{
	return str_hash_mix(hash, str_hash(home));
}
