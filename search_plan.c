#include "search_plan.h"

#include <string.h>

#include "mem.h"
#include "search_internal.h"
#include "search_part.h"

static bool was_tried(const struct search_shard *shard,
		      const struct catalog_server *server)
{
	int i;

	for (i = 0; i < shard->tries; i++) {
		if (shard->tried[i] == server)
			return true;
	}
	return false;
}

static int usable_homes(const struct catalog_server *server)
{
	int n = 0;
	int i;

	for (i = 0; i < server->n_homes; i++)
		n += catalog_home_usable(&server->homes[i]);
	return n;
}

/*
 * Whether a server that was asked for a shard may be asked again: a hedge
 * then takes the place of its older request, a silent connection or lost home
 * is gone around, and coverage-first searches go on until their deadline.
 */
static bool may_ask_again(const struct search_round *round, int shard,
			  const struct catalog_server *server)
{
	const struct search *search = round->search;
	int code = search->shards[shard].code;

	if (round->hedged >= 0)
		return search->parts[round->hedged].server != server;
	switch (code) {
	case ERR_NOT_HELD:
	case ERR_WRONG_VERSION:
		return false;
	case ERR_SILENT:
		return true;
	case ERR_UNAVAILABLE:
		return usable_homes(server) > 1;
	default:
		return search->mode == SERVICE_COVERAGE;
	}
}

/* A shard is first asked of each server once. */
static bool is_excluded(const struct search_round *round, int shard, bool again,
			const struct catalog_server *server)
{
	if (!was_tried(&round->search->shards[shard], server))
		return false;
	return !again || !may_ask_again(round, shard, server);
}

static struct catalog_instance *nth_home(const struct catalog_server *server,
					 int n)
{
	int i;

	for (i = 0; i < server->n_homes; i++) {
		if (catalog_home_usable(&server->homes[i]) && !n--)
			return server->homes[i].instance;
	}
	return NULL;
}

static void fill_homes(const struct catalog_server *server,
		       struct replica *replica)
{
	int i;

	for (i = 0; i < server->n_homes; i++) {
		const struct catalog_home *home = &server->homes[i];

		if (!catalog_home_usable(home) ||
		    replica->n_homes == OBSERVE_HOMES_MAX)
			continue;
		replica->homes[replica->n_homes].instance =
			home->instance->hash;
		replica->homes[replica->n_homes].slots = home->slots;
		replica->n_homes++;
		if (home->cold)
			replica->is_cold = true;
	}
}

int search_plan_replicas(struct search_round *round, int shard, bool again)
{
	const struct catalog_placement *placement = round->placement;
	struct observe *observe = &round->search->searches->policy.observe;
	int n = 0;
	int i;

	for (i = placement->first[shard]; i < placement->first[shard + 1];
	     i++) {
		struct catalog_server *server = placement->servers[i];
		struct replica *replica;

		MEM_GROW(round->replicas, n, round->cap_replicas);
		replica = &round->replicas[n++];
		memset(replica, 0, sizeof(*replica));
		replica->server =
			observe_server(observe, str_from(server->name));
		replica->weight = server->weight;
		replica->replaced =
			again && round->hedged >= 0 &&
			was_tried(&round->search->shards[shard], server);
		replica->excluded = !replica->server ||
				    is_excluded(round, shard, again, server);
		fill_homes(server, replica);
	}
	return n;
}

static int pick_replica(struct search_round *round, int shard, bool again,
			struct search_choice *choice, int64_t *when)
{
	struct search *search = round->search;
	struct policy *policy = &search->searches->policy;
	bool urgent = round->is_retry || round->hedged >= 0;
	int n = search_plan_replicas(round, shard, again);
	struct replica_pick pick;
	int ret;

	ret = policy->ops->choose(policy, round->replicas, n, urgent, &pick,
				  when);
	if (ret)
		return ret;
	choice->server =
		round->placement->servers[round->placement->first[shard] +
					  pick.replica];
	choice->home = nth_home(choice->server, pick.home);
	if (round->hedged < 0)
		return 0;
	return policy->ops->hedge(policy, round->service,
				  &round->replicas[pick.replica],
				  search->shards[shard].tries, round->told,
				  search->deadline_at)
		       ? 0
		       : ERR_BUDGET;
}

static bool may_join(const struct search_round *round, int shard,
		     const struct catalog_server *server)
{
	if (server->plan_round != round->id)
		return false;
	if (!is_excluded(round, shard, false, server))
		return true;
	return round->search->shards[shard].tries &&
	       !is_excluded(round, shard, true, server);
}

/* A server that this round asks already gets the shard too, if it holds it. */
static struct catalog_server *planned_server(const struct search_round *round,
					     int shard)
{
	const struct catalog_placement *placement = round->placement;
	int i;

	for (i = placement->first[shard]; i < placement->first[shard + 1];
	     i++) {
		if (may_join(round, shard, placement->servers[i]))
			return placement->servers[i];
	}
	return NULL;
}

static int choose(struct search_round *round, int shard,
		  struct search_choice *choice, int64_t *when)
{
	int ret;

	choice->home = NULL;
	choice->server = planned_server(round, shard);
	if (choice->server)
		return 0;
	ret = pick_replica(round, shard, false, choice, when);
	if (ret == ERR_NO_REPLICA && round->search->shards[shard].tries)
		ret = pick_replica(round, shard, true, choice, when);
	return ret;
}

static struct search_part *put_part(struct search_round *round,
				    const struct search_choice *choice)
{
	struct search *search = round->search;
	struct catalog_server *server = choice->server;
	struct search_part *part;

	if (server->plan_round == round->id)
		return &search->parts[server->plan_slot];
	MEM_GROW(search->parts, search->n_parts, search->cap_parts);
	server->plan_round = round->id;
	server->plan_slot = search->n_parts;
	part = &search->parts[search->n_parts++];
	memset(part, 0, sizeof(*part));
	part->server = catalog_server_ref(server);
	part->home = catalog_instance_ref(choice->home);
	part->round = search->n_rounds;
	part->is_hedge = round->hedged >= 0;
	part->hedge_at = INT64_MAX;
	part->retry_at = INT64_MAX;
	return part;
}

void search_plan_failed(struct search_round *round, int index, int code,
			int64_t when)
{
	struct search *search = round->search;
	struct search_shard *shard = &search->shards[index];

	/* What is hedged is still asked for. */
	if (round->hedged >= 0)
		return;
	if (code == ERR_SHED && when < search->deadline_at) {
		shard->ask_at = when;
		search_wake(search, when);
		return;
	}
	search_shard_give_up(search, index, shard->code ? shard->code : code);
}

/* Puts a shard onto a part without asking the policy. */
void search_plan_put(struct search_round *round, int index,
		     const struct search_choice *choice)
{
	struct search *search = round->search;
	struct search_shard *shard = &search->shards[index];
	struct search_part *part = put_part(round, choice);

	MEM_GROW(part->shards, part->n_shards, part->cap_shards);
	part->shards[part->n_shards++] = index;
	shard->tried[shard->tries++] = choice->server;
	shard->out++;
	shard->last_part = (int)(part - search->parts);
	shard->state = SEARCH_SHARD_ASKED;
}

void search_plan_shard(struct search_round *round, int index)
{
	struct search *search = round->search;
	struct search_shard *shard = &search->shards[index];
	struct search_choice choice;
	int64_t when = 0;
	int ret = ERR_NO_REPLICA;

	if (shard->tries < SEARCH_TRIES_MAX)
		ret = choose(round, index, &choice, &when);
	if (ret) {
		search_plan_failed(round, index, ret, when);
		return;
	}
	search_plan_put(round, index, &choice);
}

void search_plan_shards(struct search_round *round)
{
	struct search *search = round->search;
	int i;

	for (i = 0; i < search->map->n_shards; i++) {
		if (search_shard_is_due(search, i))
			search_plan_shard(round, i);
	}
}
