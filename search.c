#include "search.h"

#include <stdlib.h>

#include "mem.h"
#include "search_hedge.h"
#include "search_internal.h"
#include "search_part.h"
#include "search_result.h"
#include "search_round.h"
#include "search_trace.h"

/* How long a search waits for the catalog to show where its data moved. */
#define MOVE_WAIT_US MSEC(50)
/* A server's change of snapshot explains missing replicas for this long. */
#define MOVE_RECENT_US MSEC(500)

static void on_table_changed(void *arg)
{
	struct searches *searches = arg;

	policy_set_table(&searches->policy, searches->board->table);
}

void searches_init(struct searches *searches, struct blackboard *board,
		   const struct search_ops *ops, void *arg, uint64_t seed)
{
	searches->board = board;
	searches->ops = ops;
	searches->arg = arg;
	searches->by_id = NULL;
	searches->next_id = 1;
	searches->wake_at = INT64_MAX;
	arena_init(&searches->arena);
	policy_init(&searches->policy, board->clock, seed);
	blackboard_watch(board, BLACKBOARD_TABLE, &searches->table_watch,
			 on_table_changed, searches);
	if (board->table)
		on_table_changed(searches);
}

static void clear_parts(struct search *search)
{
	int i;

	for (i = 0; i < search->n_parts; i++) {
		struct search_part *part = &search->parts[i];

		catalog_server_unref(search_catalog(search), part->server);
		catalog_instance_unref(search_catalog(search), part->home);
		free(part->shards);
	}
	search->n_parts = 0;
}

static void free_search(struct search *search)
{
	struct searches *searches = search->searches;

	if (search->id)
		HASH_DEL(searches->by_id, search);
	clear_parts(search);
	if (search->map)
		catalog_map_unref(search_catalog(search), search->map);
	free(search->parts);
	free(search->shards);
	merge_finish(&search->merge);
	search_request_finish(&search->request);
	free(search);
}

void searches_finish(struct searches *searches)
{
	struct search *search;
	struct search *next;

	HASH_ITER (hh, searches->by_id, search, next) {
		trace_log_finish(&search->trace);
		free_search(search);
	}
	policy_finish(&searches->policy);
	arena_finish(&searches->arena);
}

double search_ratio(const struct search *search)
{
	uint64_t total = search_total(search);

	return total ? (double)search->covered / (double)total : 1;
}

static void count_outcome(struct search *search)
{
	struct counters *counters = &search->searches->board->counters;

	metric_add(&counters->searches_open, -1);
	if (search->code) {
		metric_inc(&counters->searches_refused);
		return;
	}
	metric_inc(&counters->searches_done);
	if (search->covered < search_total(search))
		metric_inc(&counters->searches_partial);
	metric_histogram_add(&counters->search_time.histogram,
			     search_now(search) - search->started_at);
}

/* Cancels open parts, reports the outcome and frees the search. */
static void finish(struct search *search, int code)
{
	struct searches *searches = search->searches;

	search_part_cancel_open(search);
	search->code = code;
	count_outcome(search);
	searches->ops->done(searches->arg, search);
	search_trace_end(search);
	free_search(search);
}

/* A search without any answer is refused, with the error of its first shard. */
static int refusal_code(const struct search *search)
{
	if (search_now(search) >= search->deadline_at)
		return ERR_TOO_LATE;
	if (!search->map->n_shards)
		return ERR_NO_SNAPSHOT;
	return search->shards[0].code;
}

/*
 * A search that failed early is no sample of the usual duration: it would
 * lower the estimate and make later searches answer partially too early.
 */
static void record_duration(struct search *search)
{
	const struct service *service = search_service(search);
	bool whole = search->n_answered == search->map->n_shards;

	if (service &&
	    (whole || search_now(search) >= search->partial_answer_at))
		policy_search_done(&search->searches->policy, service,
				   search_now(search) - search->started_at);
}

static void complete(struct search *search)
{
	int code = 0;

	record_duration(search);
	if (!search->covered && search->map->total)
		code = refusal_code(search);
	if (code == ERR_NO_SLOT)
		search->retry_after_ms = msec_round_up(search->held_for);
	finish(search, code);
}

/* Whether servers of the service switched to another map recently. */
static bool map_changed_recently(const struct search *search)
{
	const struct catalog_service *service =
		catalog_find_service(search_catalog(search),
				     str_from(search->request.service));

	return service && service->new_map_digest &&
	       search_now(search) - service->new_map_at < MOVE_RECENT_US;
}

/*
 * Whether shards are missing because data moved: a server does not hold what
 * the catalog says, or it has already announced the move and others have not.
 */
static bool has_data_moved(const struct search *search)
{
	bool moving = map_changed_recently(search);
	int i;

	for (i = 0; i < search->map->n_shards; i++) {
		const struct search_shard *shard = &search->shards[i];

		if (shard->state != SEARCH_SHARD_MISSING)
			continue;
		if (shard->code == ERR_WRONG_VERSION ||
		    shard->code == ERR_NOT_HELD)
			return true;
		if (shard->code == ERR_NO_REPLICA && moving)
			return true;
	}
	return false;
}

static void set_map(struct search *search, struct catalog_map *map)
{
	search->map = catalog_map_ref(map);
	search->shards =
		mem_zalloc((size_t)map->n_shards * sizeof(*search->shards));
	search->n_open = map->n_shards;
	search->n_answered = 0;
	search->count = 0;
	search->covered = 0;
	merge_init(&search->merge, search->request.mode == REQUEST_COUNT
					   ? 0
					   : (int)search->request.limit);
}

static void clear_map(struct search *search)
{
	search_part_cancel_open(search);
	clear_parts(search);
	merge_finish(&search->merge);
	free(search->shards);
	catalog_map_unref(search_catalog(search), search->map);
	search->map = NULL;
}

static void assign_new_id(struct search *search)
{
	struct searches *searches = search->searches;

	if (search->id)
		HASH_DEL(searches->by_id, search);
	search->id = searches->next_id++;
	HASH_ADD(hh, searches->by_id, id, sizeof(search->id), search);
}

/* A snapshot with better coverage than this search has, or NULL. */
static const struct catalog_placement *better_snapshot(struct search *search)
{
	const struct catalog_placement *best =
		catalog_best_placement(search_catalog(search),
				       str_from(search->request.service));
	double ratio;

	if (!best || best->map == search->map || !best->map->total)
		return NULL;
	ratio = (double)best->covered / (double)best->map->total;
	return ratio > search_ratio(search) ? best : NULL;
}

static void restart(struct search *search, struct catalog_map *map)
{
	catalog_map_ref(map);
	clear_map(search);
	search_trace_restart(search);
	set_map(search, map);
	catalog_map_unref(search_catalog(search), map);
	assign_new_id(search);
	search->move_wait_until = 0;
	search->n_restarts++;
	metric_inc(&search->searches->board->counters.restarts);
}

/*
 * Handles replicas that moved to another version during the search, which
 * shows as servers that no longer hold the search's version. Answers of two
 * versions must not be mixed, so the search restarts from nothing, with a new
 * id that keeps out late answers from the old snapshot. The catalog learns
 * what servers hold now slightly later: the search waits for that, for a
 * limited time, as the update may never arrive.
 *
 * Returns whether the search has something to wait for or to request.
 */
static bool handle_data_move(struct search *search)
{
	const struct catalog_placement *best;
	bool waited;

	if (search->n_restarts == SEARCH_RESTARTS_MAX ||
	    search_now(search) >= search->deadline_at ||
	    !has_data_moved(search))
		return false;
	if (!search->move_wait_until)
		search->move_wait_until = search_now(search) + MOVE_WAIT_US;
	waited = search_now(search) >= search->move_wait_until;
	best = better_snapshot(search);
	if (best && (waited || best->covered == best->map->total)) {
		restart(search, best->map);
		return true;
	}
	return !waited;
}

/*
 * Whether a search that is late compared to others of its service stops
 * waiting for the rest because its coverage is sufficient.
 */
static bool may_answer_partially(const struct search *search)
{
	return search_now(search) >= search->partial_answer_at &&
	       search->covered && search_ratio(search) >= search->min_coverage;
}

/*
 * Sends requests for all shards that are due, and completes the search once
 * every shard is answered or given up.
 *
 * Returns false if the search was freed.
 */
static bool advance(struct search *search)
{
	bool must_continue;

	do {
		while (search_round_is_due(search))
			search_round_run(search);
		must_continue = !search->n_open && handle_data_move(search);
	} while (must_continue && !search->move_wait_until);
	if (must_continue) {
		search_wake(search, search->move_wait_until);
		return true;
	}
	if (search->n_open && may_answer_partially(search))
		search_shard_give_up_open(search, ERR_TOO_LATE);
	if (search->n_open)
		return true;
	complete(search);
	return false;
}

static bool is_missing(const struct search *search, int code)
{
	int i;

	for (i = 0; search->map && i < search->map->n_shards; i++) {
		if (search->shards[i].state == SEARCH_SHARD_MISSING &&
		    search->shards[i].code == code)
			return true;
	}
	return false;
}

bool search_ended_by_stop(const struct search *search)
{
	const struct stop_plan *stop = &search->searches->board->stop;
	int64_t now = search_now(search);

	if (!stop_plan_is_stopping(stop) || now >= search->full_deadline_at)
		return false;
	if (!search->code && search->covered >= search_total(search))
		return false;
	if (now >= stop->answer_by || search->code == ERR_LEAVING ||
	    is_missing(search, ERR_LEAVING))
		return true;
	/* Homes were told the limited deadline, in whole milliseconds. */
	return search->full_deadline_at > stop->answer_by &&
	       !may_answer_partially(search) &&
	       is_missing(search, ERR_TOO_LATE);
}

static void set_answer_time(struct search *search,
			    const struct service *service)
{
	struct policy *policy = &search->searches->policy;
	int64_t left = search->deadline_at - search->started_at;

	search->partial_answer_at =
		search->started_at +
		policy->ops->answer_after(policy, service, left);
	search->wake_at = INT64_MAX;
	search_wake(search, search->deadline_at);
	search_wake(search, search->partial_answer_at);
}

static int prepare(struct search *search)
{
	struct blackboard *board = search->searches->board;
	const struct catalog_placement *best;
	const struct service *service;
	int row;

	if (!board->table)
		return ERR_NOT_RUN;
	if (search_now(search) >= blackboard_start_by(board))
		return ERR_LEAVING;
	row = table_find_service(board->table,
				 str_from(search->request.service));
	if (row < 0)
		return error_set(&search->error, ERR_NO_SERVICE, "service",
				 search->request.service,
				 "a service of the table");
	service = &board->table->services[row];
	search->deadline_at =
		stop_plan_deadline(&board->stop, search->full_deadline_at);
	search->min_coverage = service->min_coverage;
	search->mode = service->mode;
	search->priority = (int)service->priority;
	set_answer_time(search, service);
	search->fingerprint =
		poison_fingerprint(str_from(service->name),
				   str_from(search->request.where),
				   (uint64_t)search->request.mode);
	best = catalog_best_placement(&board->catalog, str_from(service->name));
	if (!best)
		return ERR_NO_SNAPSHOT;
	set_map(search, best->map);
	return 0;
}

static void set_full_deadline(struct search *search)
{
	const struct service *service;
	int64_t ms;

	if (!search->searches->board->table)
		return;
	service = search_service(search);
	if (!service)
		return;
	ms = service->deadline_ms;
	if (search->request.deadline_ms && search->request.deadline_ms < ms)
		ms = search->request.deadline_ms;
	search->full_deadline_at = search->started_at + MSEC(ms);
}

static struct search *create_search(struct searches *searches,
				    struct search_request *request, void *owner)
{
	struct search *search = mem_zalloc(sizeof(*search));
	struct counters *counters = &searches->board->counters;
	int64_t arrived_at = request->arrived_at;

	metric_inc(&counters->searches);
	metric_add(&counters->searches_open, 1);
	search->searches = searches;
	search->request = *request;
	request->where = NULL;
	search->owner = owner;
	search->started_at =
		arrived_at ? arrived_at : clock_now(searches->board->clock);
	set_full_deadline(search);
	search_trace_begin(search);
	assign_new_id(search);
	return search;
}

void search_start(struct searches *searches, struct search_request *request,
		  void *owner)
{
	struct search *search = create_search(searches, request, owner);
	int ret = prepare(search);

	if (ret)
		finish(search, ret);
	else
		advance(search);
}

void search_refuse(struct searches *searches, struct search_request *request,
		   void *owner, int code, int64_t retry_after_ms)
{
	struct search *search = create_search(searches, request, owner);

	search->retry_after_ms = retry_after_ms;
	finish(search, code);
}

static struct search *find_search(struct searches *searches, uint64_t id)
{
	struct search *search;

	HASH_FIND(hh, searches->by_id, &id, sizeof(id), search);
	return search;
}

void searches_result(struct searches *searches, struct str home,
		     const Peer__QueryResult *result)
{
	struct search *search = find_search(searches, result->id);
	size_t i;

	/* Too late: the search is over or restarted on another snapshot. */
	if (!search || !search->map)
		return;
	for (i = 0; i < result->n_results; i++)
		search_result_handle(search, home, result->results[i]);
	advance(search);
}

static bool fail_home_parts(struct search *search, struct str home)
{
	bool lost = false;
	int i;

	for (i = 0; i < search->n_parts; i++) {
		struct search_part *part = &search->parts[i];

		if (part->is_done || !str_eq_text(home, part->home->name))
			continue;
		search->maybe_ran = true;
		search_part_lost(search, i, ERR_UNAVAILABLE);
		lost = true;
	}
	return lost;
}

void searches_home_lost(struct searches *searches, struct str home)
{
	struct search *search;
	struct search *next;

	HASH_ITER (hh, searches->by_id, search, next) {
		if (search->map && fail_home_parts(search, home))
			advance(search);
	}
}

static void expire(struct search *search)
{
	search_shard_give_up_open(search, ERR_TOO_LATE);
	search->maybe_ran = true;
	complete(search);
}

static void tick_parts(struct search *search)
{
	int64_t time = search_now(search);
	int n = search->n_parts;
	int i;

	for (i = 0; i < n; i++) {
		if (!search->parts[i].is_done &&
		    search->parts[i].hedge_at <= time)
			search_hedge_part(search, i, false);
		else if (search->parts[i].retry_at <= time)
			search_part_retry(search, i);
	}
}

static void wake_at_trial_end(struct search *search,
			      const struct search_part *part)
{
	if (part->trial_until > search_now(search))
		search_wake(search, part->trial_until);
}

static void update_wake_at(struct search *search)
{
	int i;

	search->wake_at = INT64_MAX;
	search_wake(search, search->deadline_at);
	if (search->partial_answer_at > search_now(search))
		search_wake(search, search->partial_answer_at);
	if (search->move_wait_until)
		search_wake(search, search->move_wait_until);
	for (i = 0; i < search->n_parts; i++) {
		if (!search->parts[i].is_done) {
			search_wake(search, search->parts[i].hedge_at);
			wake_at_trial_end(search, &search->parts[i]);
		}
		search_wake(search, search->parts[i].retry_at);
	}
	for (i = 0; i < search->map->n_shards; i++) {
		if (search->shards[i].state == SEARCH_SHARD_PENDING)
			search_wake(search, search->shards[i].send_at);
	}
}

static void tick(struct search *search)
{
	if (search_now(search) >= search->deadline_at) {
		expire(search);
		return;
	}
	tick_parts(search);
	if (advance(search))
		update_wake_at(search);
}

void searches_tick(struct searches *searches)
{
	int64_t time = clock_now(searches->board->clock);
	struct search *search;
	struct search *next;

	searches->wake_at = INT64_MAX;
	HASH_ITER (hh, searches->by_id, search, next) {
		if (time >= search->wake_at)
			tick(search);
		else
			search_wake(search, search->wake_at);
	}
}

void searches_catalog_changed(struct searches *searches)
{
	struct search *search;
	struct search *next;

	HASH_ITER (hh, searches->by_id, search, next) {
		if (search->map && search->move_wait_until)
			advance(search);
	}
}

void searches_stop(struct searches *searches)
{
	const struct stop_plan *stop = &searches->board->stop;
	struct search *search;
	struct search *next;

	HASH_ITER (hh, searches->by_id, search, next) {
		search->deadline_at =
			stop_plan_deadline(stop, search->deadline_at);
		search_wake(search, search->deadline_at);
	}
}

void searches_end_all(struct searches *searches, int code)
{
	struct search *search;
	struct search *next;

	HASH_ITER (hh, searches->by_id, search, next)
		finish(search, code);
}

void searches_drop(struct searches *searches, struct search *search)
{
	metric_add(&searches->board->counters.searches_open, -1);
	search_part_cancel_open(search);
	search_trace_caller_gone(search);
	free_search(search);
}
