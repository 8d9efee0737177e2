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

/* The query for one home, with all parts of the round for it. */
struct home_query {
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
 * Callers may reuse their request ids, and backend servers cancel requests by
 * id. The id on the wire must be unique to the search and round, or a
 * cancellation could hit another request.
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
	query->watched = search->single_server;
}

static void free_home_query(struct home_query *out)
{
	size_t i;

	for (i = 0; i < out->query.n_parts; i++) {
		free(out->parts[i]->shards);
		free(out->parts[i]);
	}
	free(out->parts);
}

static void send_home_query(struct search *search, struct home_query *out)
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

/* Whether any shard of the part was requested before. */
static bool is_repeat(const struct search *search,
		      const struct search_part *part)
{
	return search_part_attempts(search, part) > 1;
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

/* Records the part as sent; search_part_end() must follow for it. */
static void observe_part(struct search_round *round, struct search_part *part)
{
	struct search *search = round->search;
	struct policy *policy = &search->searches->policy;
	struct replica asked = {.weight = part->server->weight};
	int n = search_plan_replicas(round, part->shards[0], false);

	part->sent_at = search_now(search);
	if (search->single_server)
		search_poison_begin_trial(search, part);
	search_trace_sent(search, part, round->is_retry);
	part->observed_server =
		observe_server(&policy->observe, str_from(part->server->name));
	if (!part->observed_server)
		return;
	policy_request_sent(policy, part->observed_server, part->home->hash);
	asked.server = part->observed_server;
	part->hedge_after =
		policy->ops->hedge_delay(policy, round->service, &asked,
					 round->replicas, n, part->is_hedge);
	if (part->hedge_after == INT64_MAX)
		return;
	part->hedge_at = part->sent_at + part->hedge_after;
	search_wake(search, part->hedge_at);
}

static struct home_query *get_home_query(struct search_round *round,
					 struct home_query *queries, int *n,
					 struct catalog_instance *home)
{
	struct home_query *out;
	int max = round->search->n_parts - round->first_part;

	if (home->plan_round == round->id)
		return &queries[home->plan_slot];
	home->plan_round = round->id;
	home->plan_slot = *n;
	out = &queries[(*n)++];
	out->home = home;
	out->parts = mem_zalloc((size_t)max * sizeof(*out->parts));
	fill_query(round->search, round->wire_id, &out->query);
	return out;
}

static void send_round(struct search_round *round)
{
	struct search *search = round->search;
	int n_new = search->n_parts - round->first_part;
	struct home_query *queries =
		mem_zalloc((size_t)n_new * sizeof(*queries));
	int n = 0;
	int i;

	for (i = round->first_part; i < search->n_parts; i++) {
		struct home_query *out = get_home_query(round, queries, &n,
							search->parts[i].home);

		count_part(round, &search->parts[i]);
		observe_part(round, &search->parts[i]);
		out->parts[out->query.n_parts++] = pack_part(search, i);
	}
	search->n_homes += n;
	for (i = 0; i < n; i++) {
		send_home_query(search, &queries[i]);
		free_home_query(&queries[i]);
	}
	free(queries);
}

static bool has_part_on_trial(const struct search *search)
{
	int i;

	for (i = 0; i < search->n_parts; i++) {
		if (!search->parts[i].is_done &&
		    search_now(search) < search->parts[i].trial_until)
			return true;
	}
	return false;
}

bool search_round_is_due(const struct search *search)
{
	int i;

	/* A possible poison request is on trial on one server at a time. */
	if (search->single_server && has_part_on_trial(search))
		return false;

	for (i = 0; i < search->map->n_shards; i++) {
		if (search_shard_is_due(search, i))
			return true;
	}
	return false;
}

static void give_up_pending(struct search *search)
{
	int i;

	for (i = 0; i < search->map->n_shards; i++) {
		struct search_shard *shard = &search->shards[i];

		if (shard->state == SEARCH_SHARD_PENDING)
			search_shard_give_up(search, i,
					     shard->code ? shard->code
							 : ERR_NO_REPLICA);
	}
}

static int count_first_attempts(const struct search_round *round)
{
	const struct search *search = round->search;
	int n = 0;
	int i;

	for (i = round->first_part; i < search->n_parts; i++)
		n += !is_repeat(search, &search->parts[i]);
	return n;
}

void search_round_send(struct search_round *round)
{
	struct search *search = round->search;
	int n_new = search->n_parts - round->first_part;

	if (!n_new)
		return;
	/* What a home held back is asked for again, but needed only once. */
	if (round->hedged_part < 0 && round->service && !search->held_for)
		policy_count_needed(&search->searches->policy, round->service,
				    count_first_attempts(round));
	search_round_wire_id(search, search->n_rounds, round->wire_id);
	search->n_rounds++;
	send_round(round);
}

void search_round_init(struct search_round *round, struct search *search,
		       int hedged_part)
{
	struct searches *searches = search->searches;

	memset(round, 0, sizeof(*round));
	round->search = search;
	round->placement =
		catalog_find_placement(search_catalog(search), search->map);
	round->service = search_service(search);
	round->id = searches->next_id++;
	round->first_part = search->n_parts;
	round->hedged_part = hedged_part;
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
	if (round.placement && round.service && search->single_server) {
		search_poison_plan(&round);
		search_round_send(&round);
	} else if (round.placement && round.service) {
		search_plan_shards(&round);
		search_round_send(&round);
	} else {
		give_up_pending(search);
	}
	search_round_finish(&round);
}
