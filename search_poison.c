#include "search_poison.h"

#include "search_internal.h"
#include "search_part.h"

#define CANDIDATES_MAX 64

/* Lists the servers that hold any due shard, up to the maximum. */
static int list_candidates(const struct search_round *round,
			   struct catalog_server **servers)
{
	const struct catalog_placement *placement = round->placement;
	int n = 0;
	int shard;
	int i;
	int k;

	for (shard = 0; shard < round->search->map->n_shards; shard++) {
		if (!search_shard_is_due(round->search, shard))
			continue;
		for (i = placement->first[shard];
		     i < placement->first[shard + 1]; i++) {
			for (k = 0; k < n; k++) {
				if (servers[k] == placement->servers[i])
					break;
			}
			if (k == n && n < CANDIDATES_MAX)
				servers[n++] = placement->servers[i];
		}
	}
	return n;
}

static struct str replica_set_of(const struct search *search,
				 const struct catalog_server *server)
{
	const struct table *table = search->searches->board->table;
	int row = table ? table_find_server(table, str_from(server->name)) : -1;

	return row < 0 ? STR("") : str_from(table->servers[row].replica_set);
}

static struct catalog_instance *
preferred_home(const struct search *search, const struct catalog_server *server)
{
	struct catalog_instance *best = NULL;
	uint64_t least = UINT64_MAX;
	int i;

	for (i = 0; i < server->n_homes; i++) {
		struct catalog_instance *home = server->homes[i].instance;
		uint64_t rank = poison_home_rank(search->fingerprint,
						 str_from(home->name));

		if (!catalog_home_usable(&server->homes[i]) || rank >= least)
			continue;
		best = home;
		least = rank;
	}
	return best;
}

/* Whether the search has failed there on trial, after it had reached it. */
static bool was_tried(const struct search *search,
		      const struct catalog_server *server)
{
	int i;

	for (i = 0; i < search->n_parts; i++) {
		const struct search_part *part = &search->parts[i];

		if (part->server == server && part->trial_until &&
		    part->is_done && part->code && part->was_sent)
			return true;
	}
	return false;
}

static int pick_server(const struct search_round *round,
		       struct search_choice *choice)
{
	const struct search *search = round->search;
	struct catalog_server *servers[CANDIDATES_MAX];
	struct poison_candidate candidates[CANDIDATES_MAX];
	int n = list_candidates(round, servers);
	int ret;
	int i;

	for (i = 0; i < n; i++) {
		candidates[i] = (struct poison_candidate){
			.server = str_from(servers[i]->name),
			.replica_set = replica_set_of(search, servers[i]),
			.reachable = preferred_home(search, servers[i]),
			.tried = was_tried(search, servers[i]),
		};
	}
	ret = poison_pick(&search->searches->board->poison, search->fingerprint,
			  candidates, n);
	if (ret < 0)
		return ret;
	choice->server = servers[ret];
	choice->home = preferred_home(search, servers[ret]);
	return 0;
}

static bool holds(const struct search_round *round, int shard,
		  const struct catalog_server *server)
{
	const struct catalog_placement *placement = round->placement;
	int i;

	for (i = placement->first[shard]; i < placement->first[shard + 1];
	     i++) {
		if (placement->servers[i] == server)
			return true;
	}
	return false;
}

void search_poison_plan(struct search_round *round)
{
	struct search *search = round->search;
	struct search_choice choice;
	int ret = pick_server(round, &choice);
	int i;

	for (i = 0; i < search->map->n_shards; i++) {
		if (!search_shard_is_due(search, i))
			continue;
		if (ret || search->shards[i].attempts >= SEARCH_ATTEMPTS_MAX)
			search_plan_failed(round, i, ret ? ret : ERR_LOST, 0);
		else if (holds(round, i, choice.server))
			search_plan_assign(round, i, &choice);
	}
}

void search_poison_begin_trial(struct search *search, struct search_part *part)
{
	int64_t left = search->deadline_at - part->sent_at;

	part->trial_until = part->sent_at +
			    poison_trial_time(&search->searches->board->poison,
					      search->fingerprint, left);
	search_wake(search, part->trial_until);
}

bool search_poison_check(struct search *search)
{
	struct blackboard *board = search->searches->board;
	uint32_t retry_after_ms = 0;
	enum poison_verdict verdict =
		poison_check(&board->poison, search->fingerprint,
			     &retry_after_ms);

	if (verdict == POISON_BANNED)
		search->retry_after_ms = retry_after_ms;
	search->single_server =
		verdict == POISON_PROBATION ||
		(verdict == POISON_CANARY &&
		 blackboard_tunables(board)->canary == SWITCH_ON &&
		 !search->n_answered);
	return verdict == POISON_BANNED;
}
