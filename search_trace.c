#include "search_trace.h"

#include <stdio.h>
#include <string.h>

/* Servers and shards reported as causes of one bad search, of each kind. */
#define CAUSES_MAX 16
#define SHARD_KEY_SIZE 16

void search_trace_begin(struct search *search)
{
	trace_log_init(&search->trace, &search->searches->board->traces,
		       search->started_at);
}

void search_trace_sent(struct search *search, const struct search_part *part,
		       bool is_retry)
{
	enum trace_attempt why = is_retry ? TRACE_RETRY : TRACE_FIRST;

	if (part->is_hedge)
		why = TRACE_HEDGE;
	trace_log_sent(&search->trace, part->sent_at,
		       str_from(part->server->name), str_from(part->home->name),
		       why, part->n_shards);
}

void search_trace_times(struct search *search, int index,
			const Peer__ServerResult *result)
{
	trace_log_set_times(&search->trace, index, result->wait_us,
			    result->latency_us);
}

void search_trace_part_done(struct search *search, int index,
			    const struct observe_result *result)
{
	trace_log_done(&search->trace, index,
		       search->parts[index].sent_at + result->elapsed_us,
		       result->code);
}

void search_trace_restart(struct search *search)
{
	trace_log_restart(&search->trace);
}

static void add_missing(const struct search *search,
			struct trace_summary *summary)
{
	int i;

	for (i = 0; i < search->map->n_shards; i++) {
		const struct catalog_shard *shard = &search->map->shards[i];

		if (search->shards[i].state != SEARCH_SHARD_ANSWERED)
			trace_summary_add_missing(summary,
						  search->shards[i].code,
						  shard->lo, shard->hi,
						  shard->n_records);
	}
}

static void fill_summary(const struct search *search,
			 struct trace_summary *summary)
{
	const struct blackboard *board = search->searches->board;
	int64_t elapsed = clock_now(board->clock) - search->started_at;

	memset(summary, 0, sizeof(*summary));
	str_copy(summary->request_id, sizeof(summary->request_id),
		 str_from(search->request.request_id));
	str_copy(summary->service, sizeof(summary->service),
		 str_from(search->request.service));
	summary->kind = TRACE_SEARCH;
	summary->code = search->code;
	summary->maybe_ran = search->maybe_ran;
	summary->started_wall = clock_wall(board->clock) - elapsed;
	summary->elapsed = elapsed;
	if (search->deadline_at)
		summary->deadline = search->deadline_at - search->started_at;
	summary->retry_after_ms = search->retry_after_ms;
	if (board->table)
		summary->table_revision = board->table->revision;
	summary->min_coverage = search->min_coverage;
	summary->n_homes = search->n_homes;
	summary->n_requests = search->n_requests;
	summary->n_hedges = search->n_hedges;
	summary->n_retries = search->n_retries;
	summary->n_restarts = search->n_restarts;
	if (!search->map)
		return;
	summary->snapshot = search->map->version;
	summary->n_shards = search->map->n_shards;
	summary->n_answered = search->n_answered;
	summary->covered = search->covered;
	summary->total = search_total(search);
	add_missing(search, summary);
}

static void blame_shard(struct search *search, struct burn_service *service,
			int index, int code)
{
	const struct catalog_shard *shard = &search->map->shards[index];
	char key[SHARD_KEY_SIZE];

	snprintf(key, sizeof(key), "%d-%d", shard->lo, shard->hi);
	burn_add_cause(&search->searches->board->burn, service, BURN_SHARD,
		       str_from(key), code);
}

static void blame_missing(struct search *search, struct burn_service *service)
{
	int n = 0;
	int i;

	if (!search->map)
		return;
	for (i = 0; i < search->map->n_shards && n < CAUSES_MAX; i++) {
		const struct search_shard *shard = &search->shards[i];

		if (shard->state == SEARCH_SHARD_ANSWERED)
			continue;
		blame_shard(search, service, i, shard->code);
		n++;
	}
}

static int count_logged(const struct search *search)
{
	return search->trace.n - search->trace.base;
}

static const struct trace_part *logged_part(const struct search *search,
					    int index)
{
	return &search->trace.parts[search->trace.base + index];
}

static void blame_server(struct search *search, struct burn_service *service,
			 int index)
{
	burn_add_cause(&search->searches->board->burn, service, BURN_SERVER,
		       str_from(trace_name_text(
			       logged_part(search, index)->server)),
		       logged_part(search, index)->code);
}

static void blame_failed(struct search *search, struct burn_service *service)
{
	int n = 0;
	int i;

	for (i = 0; i < count_logged(search) && n < CAUSES_MAX; i++) {
		int code = logged_part(search, i)->code;

		if (!code || code == ERR_CANCELLED)
			continue;
		blame_server(search, service, i);
		n++;
	}
}

static void blame_part(struct search *search, struct burn_service *service,
		       int index)
{
	const struct search_part *part = &search->parts[index];
	int i;

	blame_server(search, service, index);
	for (i = 0; i < part->n_shards && i < CAUSES_MAX; i++)
		blame_shard(search, service, part->shards[i], 0);
}

/* Blames the parts that exceeded the latency target, or else the last one. */
static void blame_slow(struct search *search, struct burn_service *service)
{
	int64_t target = MSEC(service->target.latency_ms);
	int last = -1;
	int n = 0;
	int i;

	for (i = 0; i < count_logged(search); i++) {
		const struct trace_part *part = logged_part(search, i);

		if (part->code)
			continue;
		if (last < 0 ||
		    part->back_us > logged_part(search, last)->back_us)
			last = i;
		if (part->back_us <= target || n == CAUSES_MAX)
			continue;
		blame_part(search, service, i);
		n++;
	}
	if (!n && last >= 0)
		blame_part(search, service, last);
}

static const struct service *find_row(const struct search *search)
{
	const struct table *table = search->searches->board->table;
	int row;

	if (!table)
		return NULL;
	row = table_find_service(table, str_from(search->request.service));
	return row < 0 ? NULL : &table->services[row];
}

static void record_burn(struct search *search, struct trace_summary *summary)
{
	struct burn_event event = {
		.answered = !summary->code,
		.complete = summary->covered == summary->total,
		.latency = summary->elapsed,
	};
	const struct service *row = find_row(search);
	struct burn_target target;
	struct burn_service *service;

	/* A service that is not in the table has no error budget. */
	if (!row)
		return;
	burn_target_fill(&target, row);
	summary->notable |= burn_is_bad(&target, &event);
	service = burn_record(&search->searches->board->burn,
			      str_from(row->name), &target, &event);
	if (!service || !burn_is_bad(&target, &event))
		return;
	blame_missing(search, service);
	blame_failed(search, service);
	if (event.answered && event.complete)
		blame_slow(search, service);
}

static void store_trace(struct search *search, struct trace_summary *summary)
{
	struct blackboard *board = search->searches->board;
	struct counters *counters = &board->counters;

	trace_store_add(&board->traces, summary, &search->trace);
	trace_log_finish(&search->trace);
	metric_set(&counters->traces, trace_store_count(&board->traces));
	metric_set(&counters->trace_bytes, trace_store_bytes(&board->traces));
	metric_set(&counters->traces_evicted, (int64_t)board->traces.n_evicted);
	metric_set(&counters->burn_uncounted, (int64_t)board->burn.uncounted);
}

void search_trace_end(struct search *search)
{
	struct trace_summary summary;

	fill_summary(search, &summary);
	summary.notable = summary.n_restarts > 0;
	record_burn(search, &summary);
	store_trace(search, &summary);
}

void search_trace_caller_gone(struct search *search)
{
	const struct service *row = find_row(search);
	struct trace_summary summary;

	fill_summary(search, &summary);
	summary.code = ERR_CANCELLED;
	if (row && summary.elapsed > MSEC(row->slo_latency_ms))
		record_burn(search, &summary);
	store_trace(search, &summary);
}
