#include "search_round.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"
#include "search_internal.h"
#include "search_part.h"
#include "search_poison.h"
#include "search_trace.h"

/* The message for one home, built from the round's parts for it. */
struct outgoing {
	struct catalog_instance *home;
	Peer__Query query;
	Peer__ServerPart **parts;
};

static Peer__ServerPart *pack_part(const struct search *search, int index)
{
	const struct search_part *part = &search->parts[index];
	Peer__ServerPart *out = mem_zalloc(sizeof(*out));
	Backend__KeyRange *ranges;
	int i;

	peer__server_part__init(out);
	out->server = part->server->name;
	out->part = (uint32_t)index;
	out->n_shards = (size_t)part->n_shards;
	out->shards = mem_zalloc((size_t)part->n_shards *
				 (sizeof(*out->shards) + sizeof(*ranges)));
	ranges = (Backend__KeyRange *)(out->shards + part->n_shards);
	for (i = 0; i < part->n_shards; i++) {
		const struct catalog_shard *shard =
			&search->map->shards[part->shards[i]];

		backend__key_range__init(&ranges[i]);
		ranges[i].lo = shard->lo;
		ranges[i].hi = shard->hi;
		out->shards[i] = &ranges[i];
	}
	return out;
}

/*
 * Callers may use the same id twice, and a cancellation names a request by
 * its id: one on the wire must be of this search and round alone, or a
 * cancelled request would take another one with it.
 */
void search_round_wire_id(const struct search *search, int round,
			  char out[SEARCH_WIRE_ID_SIZE])
{
	const struct blackboard *board = search->searches->board;

	snprintf(out, SEARCH_WIRE_ID_SIZE, "%s/%s.%" PRIx64 ".%" PRIx64 ".%d",
		 search->request.request_id, board->settings->instance,
		 board->incarnation, search->id, round);
}

static void fill_query(const struct search *search, char *wire_id,
		       Peer__Query *query)
{
	const struct search_request *request = &search->request;
	int64_t left = search->deadline_at - search_now(search);

	peer__query__init(query);
	query->id = search->id;
	query->request_id = wire_id;
	query->service = (char *)request->service;
	query->version = search->map->version;
	query->mode = request->mode == REQUEST_COUNT ? BACKEND__MODE__COUNT
						     : BACKEND__MODE__RECORDS;
	query->where = request->where;
	query->limit =
		request->mode == REQUEST_COUNT ? 0 : (uint32_t)request->limit;
	query->deadline_ms = left > 0 ? (uint32_t)(left / USEC_PER_MSEC) : 0;
	query->priority = (uint32_t)search->priority;
	query->fingerprint = search->fingerprint;
	query->watched = search->watched;
}

static void free_outgoing(struct outgoing *out)
{
	size_t i;

	for (i = 0; i < out->query.n_parts; i++) {
		free(out->parts[i]->shards);
		free(out->parts[i]);
	}
	free(out->parts);
}

static void send_one(struct search *search, struct outgoing *out)
{
	struct searches *searches = search->searches;
	size_t i;
	int ret;

	out->query.parts = out->parts;
	ret = searches->ops->send_query(searches->arg,
					str_from(out->home->name), &out->query);
	for (i = 0; i < out->query.n_parts && ret; i++)
		search_part_lost(search, (int)out->parts[i]->part, ret);
}

/* A shard that waited for its first request is not asked again. */
static bool is_repeat(const struct search *search,
		      const struct search_part *part)
{
	return search_part_tries(search, part) > 1;
}

static void count_part(struct search_round *round, struct search_part *part)
{
	struct counters *counters = &round->search->searches->board->counters;

	round->search->n_requests++;
	metric_inc(&counters->parts_sent);
	if (part->is_hedge) {
		round->search->n_hedges++;
		metric_inc(&counters->parts_hedged);
	} else if (is_repeat(round->search, part)) {
		round->search->n_retries++;
		metric_inc(&counters->parts_retried);
	}
}

/* From here on search_part_end() must follow. */
static void observe_part(struct search_round *round, struct search_part *part)
{
	struct search *search = round->search;
	struct policy *policy = &search->searches->policy;
	struct replica asked = {.weight = part->server->weight};
	int n = search_plan_replicas(round, part->shards[0], false);

	part->sent_at = search_now(search);
	search_trace_sent(search, part, round->is_retry);
	part->seen =
		observe_server(&policy->observe, str_from(part->server->name));
	if (!part->seen)
		return;
	policy_request_sent(policy, part->seen, part->home->hash);
	asked.server = part->seen;
	part->hedge_after =
		policy->ops->hedge_delay(policy, round->service, &asked,
					 round->replicas, n, part->is_hedge);
	if (part->hedge_after == INT64_MAX)
		return;
	part->hedge_at = part->sent_at + part->hedge_after;
	search_wake(search, part->hedge_at);
}

static struct outgoing *put_outgoing(struct search_round *round,
				     struct outgoing *outs, int *n,
				     struct catalog_instance *home)
{
	struct outgoing *out;
	int max = round->search->n_parts - round->first_part;

	if (home->plan_round == round->id)
		return &outs[home->plan_slot];
	home->plan_round = round->id;
	home->plan_slot = *n;
	out = &outs[(*n)++];
	out->home = home;
	out->parts = mem_zalloc((size_t)max * sizeof(*out->parts));
	fill_query(round->search, round->wire_id, &out->query);
	return out;
}

static void send_round(struct search_round *round)
{
	struct search *search = round->search;
	int n_new = search->n_parts - round->first_part;
	struct outgoing *outs = mem_zalloc((size_t)n_new * sizeof(*outs));
	int n = 0;
	int i;

	for (i = round->first_part; i < search->n_parts; i++) {
		struct outgoing *out =
			put_outgoing(round, outs, &n, search->parts[i].home);

		count_part(round, &search->parts[i]);
		observe_part(round, &search->parts[i]);
		out->parts[out->query.n_parts++] = pack_part(search, i);
	}
	search->n_homes += n;
	for (i = 0; i < n; i++) {
		send_one(search, &outs[i]);
		free_outgoing(&outs[i]);
	}
	free(outs);
}

static bool is_waiting(const struct search *search)
{
	int i;

	for (i = 0; i < search->n_parts; i++) {
		if (!search->parts[i].back)
			return true;
	}
	return false;
}

bool search_round_wanted(const struct search *search)
{
	int i;

	/* What is watched runs on one server at a time. */
	if (search->watched && is_waiting(search))
		return false;

	for (i = 0; i < search->map->n_shards; i++) {
		if (search_shard_is_due(search, i))
			return true;
	}
	return false;
}

static void give_up_wanted(struct search *search)
{
	int i;

	for (i = 0; i < search->map->n_shards; i++) {
		struct search_shard *shard = &search->shards[i];

		if (shard->state == SEARCH_SHARD_WANTED)
			search_shard_give_up(search, i,
					     shard->code ? shard->code
							 : ERR_NO_REPLICA);
	}
}

static int count_first(const struct search_round *round)
{
	const struct search *search = round->search;
	int n = 0;
	int i;

	for (i = round->first_part; i < search->n_parts; i++)
		n += !is_repeat(search, &search->parts[i]);
	return n;
}

/* Take a round from its plan to the homes. */
void search_round_send(struct search_round *round)
{
	struct search *search = round->search;
	int n_new = search->n_parts - round->first_part;

	if (!n_new)
		return;
	if (round->hedged < 0 && round->service)
		policy_count_needed(&search->searches->policy, round->service,
				    count_first(round));
	search_round_wire_id(search, search->n_rounds, round->wire_id);
	search->n_rounds++;
	send_round(round);
}

void search_round_init(struct search_round *round, struct search *search,
		       int hedged)
{
	struct searches *searches = search->searches;

	memset(round, 0, sizeof(*round));
	round->search = search;
	round->placement =
		catalog_find_placement(search_catalog(search), search->map);
	round->service = search_service(search);
	round->id = searches->next_id++;
	round->first_part = search->n_parts;
	round->hedged = hedged;
	round->is_retry = search->n_parts > 0;
}

void search_round_finish(struct search_round *round)
{
	free(round->replicas);
}

void search_round_run(struct search *search)
{
	struct search_round round;

	if (search_poison_check(search)) {
		search_shard_give_up_open(search, ERR_BANNED);
		return;
	}
	search_round_init(&round, search, -1);
	if (round.placement && round.service && search->watched) {
		search_poison_plan(&round);
		search_round_send(&round);
	} else if (round.placement && round.service) {
		search_plan_shards(&round);
		search_round_send(&round);
	} else {
		give_up_wanted(search);
	}
	search_round_finish(&round);
}
