#include "search_result.h"

#include <string.h>

#include "search_hedge.h"
#include "search_internal.h"
#include "search_part.h"
#include "search_round.h"
#include "search_trace.h"

static bool is_answer_to(const struct search *search,
			 const struct search_part *part,
			 const Backend__SearchAnswer *answer)
{
	char wire_id[SEARCH_WIRE_ID_SIZE];
	int i;

	search_round_wire_id(search, part->round, wire_id);
	if (strcmp(answer->request_id, wire_id) ||
	    strcmp(answer->server, part->server->name) ||
	    answer->version != search->map->version ||
	    answer->n_shards != (size_t)part->n_shards)
		return false;
	for (i = 0; i < part->n_shards; i++) {
		const struct catalog_shard *shard =
			&search->map->shards[part->shards[i]];
		const Backend__KeyRange *range = answer->shards[i]->shard;

		if (!range || range->lo != shard->lo || range->hi != shard->hi)
			return false;
	}
	return true;
}

static bool is_sorted(const Backend__ShardPartial *partial)
{
	size_t i;

	for (i = 1; i < partial->n_records; i++) {
		if (merge_compare(partial->records[i - 1],
				  partial->records[i]) >= 0)
			return false;
	}
	return true;
}

/*
 * Counts above the shard's size or unsorted records would corrupt the merged
 * result of all servers.
 */
static int check_partial(const struct search *search, int index,
			 const Backend__ShardPartial *partial)
{
	if (partial->status != BACKEND__SHARD_STATUS__SHARD_OK ||
	    partial->held != search->map->shards[index].n_records)
		return ERR_NOT_HELD;
	if (partial->count > partial->held ||
	    partial->n_records > partial->count || !is_sorted(partial))
		return ERR_PROTOCOL;
	return 0;
}

static void apply_shard(struct search *search, int index,
			const Backend__ShardPartial *partial)
{
	struct search_shard *shard = &search->shards[index];
	int code;

	shard->n_in_flight--;
	/* A hedge or retry was faster: the shard must not count twice. */
	if (shard->state == SEARCH_SHARD_ANSWERED)
		return;
	code = check_partial(search, index, partial);
	if (code) {
		shard->code = (int16_t)code;
		if (shard->n_in_flight)
			return;
		shard->state = SEARCH_SHARD_PENDING;
		shard->send_at = search_now(search);
		return;
	}
	shard->state = SEARCH_SHARD_ANSWERED;
	search->n_open--;
	search->n_answered++;
	search->count += partial->count;
	search->covered += partial->held;
	merge_add(&search->merge, partial->records, partial->n_records);
}

/* Cancels parts whose shards were all answered by a faster part. */
static void cancel_losers(struct search *search)
{
	int i;
	int k;

	for (i = 0; i < search->n_parts; i++) {
		struct search_part *part = &search->parts[i];

		for (k = 0; k < part->n_shards && !part->is_done; k++) {
			if (search->shards[part->shards[k]].state ==
			    SEARCH_SHARD_IN_FLIGHT)
				break;
		}
		if (!part->is_done && k == part->n_shards)
			search_part_supersede(search, i, ERR_CANCELLED);
	}
}

/* Whether any of its shards is still in flight in another part. */
static bool was_hedged(const struct search *search,
		       const struct search_part *part)
{
	int i;

	for (i = 0; i < part->n_shards; i++) {
		if (search->shards[part->shards[i]].n_in_flight)
			return true;
	}
	return false;
}

static void apply_answer(struct search *search, struct search_part *part,
			 const Backend__SearchAnswer *answer)
{
	int i;

	for (i = 0; i < part->n_shards; i++)
		apply_shard(search, part->shards[i], answer->shards[i]);
	if (was_hedged(search, part))
		cancel_losers(search);
	if (search->single_server)
		poison_mark_cleared(&search->searches->board->poison,
				    search->fingerprint);
	search->single_server = false;
}

static struct search_part *find_part(struct search *search, struct str home,
				     uint32_t index)
{
	struct search_part *part;

	if (index >= (uint32_t)search->n_parts)
		return NULL;
	part = &search->parts[index];
	return str_eq_text(home, part->home->name) ? part : NULL;
}

/* A hedge cancelled before it got a slot caused no load on a server. */
static void handle_cancelled(struct search *search, struct search_part *part,
			     const Peer__ServerResult *result)
{
	const struct service *service = search_service(search);

	if (part->is_hedge && part->is_cancelled && !result->sent &&
	    result->code == ERR_CANCELLED && service)
		policy_hedge_cancelled(&search->searches->policy, service);
	part->is_cancelled = false;
}

static void fill_observed(const struct search *search,
			  const struct search_part *part,
			  const Peer__ServerResult *result,
			  struct observe_result *out)
{
	out->code = result->code;
	out->sent = result->sent;
	out->elapsed_us = search_now(search) - part->sent_at;
	out->latency_us = result->latency_us;
	out->home_load = result->in_flight + result->queued;
	out->retry_after_us = MSEC(result->retry_after_ms);
}

/* That a suspect has to wait for another run says nothing about load. */
static bool is_shed(const struct observe_result *result)
{
	if (search_part_is_held(result))
		return false;
	return result->code == ERR_SHED || result->code == ERR_OVERLOAD ||
	       result->code == ERR_NO_SLOT ||
	       (result->code == ERR_TOO_LATE && !result->sent);
}

/* Statistics for admission control. */
static void record_queueing(struct search *search,
			    const Peer__ServerResult *result,
			    const struct observe_result *observed)
{
	search->n_results++;
	search->n_shed += is_shed(observed);
	search->wait_us += result->wait_us;
}

/* A server that refused the request got it, but did not run it. */
static bool may_have_run(const Peer__ServerResult *result)
{
	switch (observe_outcome_of(result->code, result->sent)) {
	case OBSERVE_REFUSED:
	case OBSERVE_NOT_HELD:
		return false;
	default:
		return result->sent;
	}
}

void search_result_handle(struct search *search, struct str home,
			  const Peer__ServerResult *result)
{
	struct counters *counters = &search->searches->board->counters;
	struct arena *arena = &search->searches->arena;
	const Backend__SearchAnswer *answer = NULL;
	struct search_part *part = find_part(search, home, result->part);
	struct observe_result observed;

	if (!part) {
		metric_inc(&counters->answers_foreign);
		return;
	}
	if (part->is_done) {
		handle_cancelled(search, part, result);
		return;
	}
	if (result->late) {
		if (part->hedge_at != INT64_MAX)
			search_hedge_part(search, (int)result->part, true);
		return;
	}
	if (may_have_run(result))
		search->maybe_ran = true;
	fill_observed(search, part, result, &observed);
	record_queueing(search, result, &observed);
	search_trace_times(search, (int)result->part, result);
	arena_reset(arena);
	if (!observed.code)
		answer = backend__search_answer__unpack(&arena->allocator,
							result->answer.len,
							result->answer.data);
	if (!observed.code &&
	    (!answer || !is_answer_to(search, part, answer))) {
		metric_inc(&counters->answers_foreign);
		observed.code = ERR_FOREIGN;
	}
	if (observed.code) {
		search_part_failed(search, (int)result->part, &observed);
		return;
	}
	search_part_end(search, part, &observed);
	apply_answer(search, part, answer);
}
