#include "search_part.h"

#include "search_internal.h"
#include "search_trace.h"

void search_part_end(struct search *search, struct search_part *part,
		     const struct observe_result *result)
{
	part->is_done = true;
	search_trace_part_done(search, (int)(part - search->parts), result);
	if (!part->observed_server)
		return;
	policy_request_done(&search->searches->policy, part->observed_server,
			    part->home->hash, part->is_late, result);
	part->observed_server = NULL;
}

void search_part_cancel(struct search *search, int index, int code)
{
	struct searches *searches = search->searches;
	struct search_part *part = &search->parts[index];
	Peer__Cancel cancel = PEER__CANCEL__INIT;
	struct observe_result result = {
		.code = code,
		.elapsed_us = search_now(search) - part->sent_at,
	};

	cancel.id = search->id;
	cancel.part = (uint32_t)index;
	search_part_end(search, part, &result);
	part->is_cancelled = true;
	searches->ops->cancel(searches->arg, str_from(part->home->name),
			      &cancel);
}

void search_part_cancel_open(struct search *search)
{
	bool late = search_now(search) >= search->deadline_at;
	int i;

	for (i = 0; i < search->n_parts; i++) {
		if (!search->parts[i].is_done)
			search_part_cancel(search, i,
					   late ? ERR_TOO_LATE : ERR_CANCELLED);
	}
}

void search_shard_give_up(struct search *search, int shard, int code)
{
	search->shards[shard].state = SEARCH_SHARD_MISSING;
	search->shards[shard].code = (int16_t)code;
	search->n_open--;
}

void search_shard_give_up_open(struct search *search, int code)
{
	int i;

	for (i = 0; i < search->map->n_shards; i++) {
		if (search->shards[i].state < SEARCH_SHARD_ANSWERED)
			search_shard_give_up(search, i, code);
	}
}

bool search_shard_is_due(const struct search *search, int shard)
{
	const struct search_shard *state = &search->shards[shard];

	return state->state == SEARCH_SHARD_PENDING &&
	       state->send_at <= search_now(search);
}

int search_part_attempts(const struct search *search,
			 const struct search_part *part)
{
	int max_attempts = 0;
	int i;

	for (i = 0; i < part->n_shards; i++) {
		int attempts = search->shards[part->shards[i]].attempts;

		if (attempts > max_attempts)
			max_attempts = attempts;
	}
	return max_attempts;
}

static bool is_waiting_for(const struct search *search, int shard, int part)
{
	return search->shards[shard].state == SEARCH_SHARD_RETRY_WAIT &&
	       search->shards[shard].last_part == part;
}

/* Requests the waiting shards of a failed part again, or gives them up. */
static void end_retry_wait(struct search *search, int index, int code,
			   int64_t when)
{
	struct search_part *part = &search->parts[index];
	int i;

	for (i = 0; i < part->n_shards; i++) {
		int shard = part->shards[i];

		if (!is_waiting_for(search, shard, index))
			continue;
		if (code) {
			search_shard_give_up(search, shard, part->code);
			continue;
		}
		search->shards[shard].state = SEARCH_SHARD_PENDING;
		search->shards[shard].send_at = when;
	}
	search_wake(search, when);
}

/* It was not sent, so that it counts as no attempt. */
static void forget_attempt(struct search *search,
			   const struct search_part *part)
{
	int i;

	for (i = 0; i < part->n_shards; i++)
		search->shards[part->shards[i]].attempts--;
}

/* Asks again when the run in the way is over, or gives up at once. */
static void retry_held(struct search *search, int index)
{
	struct search_part *part = &search->parts[index];
	int64_t when = search_now(search) + part->held_for;

	search->held_for = part->held_for;
	part->held_for = 0;
	forget_attempt(search, part);
	end_retry_wait(search, index,
		       when < search->deadline_at ? 0 : ERR_NO_SLOT, when);
}

void search_part_retry(struct search *search, int index)
{
	struct search_part *part = &search->parts[index];
	struct policy *policy = &search->searches->policy;
	const struct service *service = search_service(search);
	struct policy_failure failure = {
		.code = part->code,
		.sent = part->was_sent,
		.attempts = search_part_attempts(search, part),
		.deadline = search->deadline_at,
	};
	int64_t when = INT64_MAX;
	int ret = ERR_NO_SERVICE;

	part->retry_at = INT64_MAX;
	if (part->held_for) {
		retry_held(search, index);
		return;
	}
	if (service)
		ret = policy->ops->retry(policy, service, &failure, &when);
	if (ret == ERR_BUDGET && when != INT64_MAX) {
		part->retry_at = when;
		search_wake(search, when);
		return;
	}
	end_retry_wait(search, index, ret, when);
}

bool search_part_is_held(const struct observe_result *result)
{
	return result->code == ERR_NO_SLOT && !result->sent &&
	       result->retry_after_us;
}

void search_part_failed(struct search *search, int index,
			const struct observe_result *result)
{
	struct search_part *part = &search->parts[index];
	bool waits = false;
	int i;

	search_part_end(search, part, result);
	part->code = result->code;
	part->was_sent = result->sent;
	if (search_part_is_held(result))
		part->held_for = result->retry_after_us;
	for (i = 0; i < part->n_shards; i++) {
		struct search_shard *shard = &search->shards[part->shards[i]];

		shard->n_in_flight--;
		if (shard->state != SEARCH_SHARD_IN_FLIGHT)
			continue;
		shard->code = (int16_t)result->code;
		if (shard->n_in_flight)
			continue;
		shard->state = SEARCH_SHARD_RETRY_WAIT;
		shard->last_part = index;
		waits = true;
	}
	if (waits)
		search_part_retry(search, index);
}

void search_part_lost(struct search *search, int index, int code)
{
	struct observe_result result = {
		.code = code,
		.elapsed_us = search_now(search) - search->parts[index].sent_at,
	};

	search_part_failed(search, index, &result);
}

void search_part_supersede(struct search *search, int index, int code)
{
	struct search_part *part = &search->parts[index];
	int i;

	search_part_cancel(search, index, code);
	for (i = 0; i < part->n_shards; i++) {
		struct search_shard *shard = &search->shards[part->shards[i]];

		shard->n_in_flight--;
		if (shard->state != SEARCH_SHARD_IN_FLIGHT ||
		    shard->n_in_flight)
			continue;
		shard->state = SEARCH_SHARD_PENDING;
		shard->send_at = search_now(search);
	}
}
