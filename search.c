#include "search.h"

#include <stdlib.h>

#include "mem.h"
#include "search_hedge.h"
#include "search_internal.h"
#include "search_part.h"
#include "search_result.h"
#include "search_round.h"
#include "search_trace.h"

#define MOVED_WAIT_US MSEC(50)
#define MOVE_RECENT_US MSEC(500)

static void on_table(void *arg)
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
			 on_table, searches);
	if (board->table)
		on_table(searches);
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

static void release(struct search *search)
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
		release(search);
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

/* The search is gone when this returns. */
static void finish(struct search *search, int code)
{
	struct searches *searches = search->searches;

	search_part_cancel_open(search);
	search->code = code;
	count_outcome(search);
	searches->ops->done(searches->arg, search);
	search_trace_end(search);
	release(search);
}

/* Without any answer the outcome is a refusal: the reason most shards have. */
static int refusal_code(const struct search *search)
{
	if (search_now(search) >= search->deadline_at)
		return ERR_TOO_LATE;
	if (!search->map->n_shards)
		return ERR_NO_SNAPSHOT;
	return search->shards[0].code;
}

/*
 * A search that failed at once says nothing of how long they take: taken for
 * quick, it would let later ones answer with gaps too early.
 */
static void learn_time(struct search *search)
{
	const struct service *service = search_service(search);
	bool whole = search->n_answered == search->map->n_shards;

	if (service && (whole || search_now(search) >= search->answer_at))
		policy_search_done(&search->searches->policy, service,
				   search_now(search) - search->started_at);
}

static void conclude(struct search *search)
{
	learn_time(search);
	if (search->covered || !search->map->total)
		finish(search, 0);
	else
		finish(search, refusal_code(search));
}

/* Servers of the service took up another map a moment ago. */
static bool is_moving(const struct search *search)
{
	const struct catalog_service *service =
		catalog_find_service(search_catalog(search),
				     str_from(search->request.service));

	return service && service->arrived &&
	       search_now(search) - service->arrived_at < MOVE_RECENT_US;
}

/*
 * Shards are missing because data moved: a server does not hold what the
 * catalog says it holds, or has already said so while others have not.
 */
static bool moved_on(const struct search *search)
{
	bool moving = is_moving(search);
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

static void take_map(struct search *search, struct catalog_map *map)
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

static void drop_map(struct search *search)
{
	search_part_cancel_open(search);
	clear_parts(search);
	merge_finish(&search->merge);
	free(search->shards);
	catalog_map_unref(search_catalog(search), search->map);
	search->map = NULL;
}

static void enter(struct search *search)
{
	struct searches *searches = search->searches;

	if (search->id)
		HASH_DEL(searches->by_id, search);
	search->id = searches->next_id++;
	HASH_ADD(hh, searches->by_id, id, sizeof(search->id), search);
}

/* Another snapshot that promises more than this search has, or NULL. */
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
	drop_map(search);
	search_trace_restart(search);
	take_map(search, map);
	catalog_map_unref(search_catalog(search), map);
	enter(search);
	search->moved_until = 0;
	search->n_restarts++;
	metric_inc(&search->searches->board->counters.restarts);
}

/*
 * The replicas moved on to another version while the search ran: it shows as
 * servers that do not hold the search's version any more. A mixture would
 * break the one snapshot, so everything counted so far is dropped, and a new
 * id keeps late answers of the old snapshot out. What servers hold now is
 * known a moment later: the search waits for that, but not for long, since the
 * word may never come.
 *
 * Return: whether there is something to wait for or to ask.
 */
static bool follow(struct search *search)
{
	const struct catalog_placement *best;
	bool waited;

	if (search->n_restarts == SEARCH_RESTARTS_MAX ||
	    search_now(search) >= search->deadline_at || !moved_on(search))
		return false;
	if (!search->moved_until)
		search->moved_until = search_now(search) + MOVED_WAIT_US;
	waited = search_now(search) >= search->moved_until;
	best = better_snapshot(search);
	if (best && (waited || best->covered == best->map->total)) {
		restart(search, best->map);
		return true;
	}
	return !waited;
}

/*
 * Latency-first: what is still missing once the search is late, compared to
 * others of its service, is not waited for if there is enough.
 */
static bool is_late_enough(const struct search *search)
{
	return search_now(search) >= search->answer_at && search->covered &&
	       search_ratio(search) >= search->min_coverage;
}

/*
 * Ask until every shard is asked, answered or given up; then conclude.
 *
 * Return: false if the search is gone.
 */
static bool advance(struct search *search)
{
	bool follows;

	do {
		while (search_round_wanted(search))
			search_round_run(search);
		follows = !search->n_open && follow(search);
	} while (follows && !search->moved_until);
	if (follows) {
		search_wake(search, search->moved_until);
		return true;
	}
	if (search->n_open && is_late_enough(search))
		search_shard_give_up_open(search, ERR_TOO_LATE);
	if (search->n_open)
		return true;
	conclude(search);
	return false;
}

static void set_answer_time(struct search *search,
			    const struct service *service)
{
	struct policy *policy = &search->searches->policy;
	int64_t left = search->deadline_at - search->started_at;

	search->answer_at = search->started_at +
			    policy->ops->answer_after(policy, service, left);
	search->wake_at = INT64_MAX;
	search_wake(search, search->deadline_at);
	search_wake(search, search->answer_at);
}

static int prepare(struct search *search)
{
	struct blackboard *board = search->searches->board;
	const struct catalog_placement *best;
	const struct service *service;
	int64_t deadline_ms;
	int row;

	if (!board->table)
		return ERR_NOT_RUN;
	row = table_find_service(board->table,
				 str_from(search->request.service));
	if (row < 0)
		return error_set(&search->error, ERR_NO_SERVICE, "service",
				 search->request.service,
				 "a service of the table");
	service = &board->table->services[row];
	deadline_ms = service->deadline_ms;
	if (search->request.deadline_ms &&
	    search->request.deadline_ms < deadline_ms)
		deadline_ms = search->request.deadline_ms;
	search->deadline_at = search->started_at + MSEC(deadline_ms);
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
	take_map(search, best->map);
	return 0;
}

static struct search *take_request(struct searches *searches,
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
	search_trace_begin(search);
	enter(search);
	return search;
}

void search_start(struct searches *searches, struct search_request *request,
		  void *owner)
{
	struct search *search = take_request(searches, request, owner);
	int ret = prepare(search);

	if (ret)
		finish(search, ret);
	else
		advance(search);
}

void search_refuse(struct searches *searches, struct search_request *request,
		   void *owner, int code, int64_t retry_after_ms)
{
	struct search *search = take_request(searches, request, owner);

	search->retry_after_ms = retry_after_ms;
	finish(search, code);
}

static struct search *find(struct searches *searches, uint64_t id)
{
	struct search *search;

	HASH_FIND(hh, searches->by_id, &id, sizeof(id), search);
	return search;
}

void searches_result(struct searches *searches, struct str home,
		     const Peer__QueryResult *result)
{
	struct search *search = find(searches, result->id);
	size_t i;

	/* Late: the search has its outcome, or runs on another snapshot. */
	if (!search || !search->map)
		return;
	for (i = 0; i < result->n_results; i++)
		search_result_take(search, home, result->results[i]);
	advance(search);
}

static bool lose_parts(struct search *search, struct str home)
{
	bool lost = false;
	int i;

	for (i = 0; i < search->n_parts; i++) {
		struct search_part *part = &search->parts[i];

		if (part->back || !str_eq_text(home, part->home->name))
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
		if (search->map && lose_parts(search, home))
			advance(search);
	}
}

static void expire(struct search *search)
{
	search_shard_give_up_open(search, ERR_TOO_LATE);
	search->maybe_ran = true;
	conclude(search);
}

static void tick_parts(struct search *search)
{
	int64_t time = search_now(search);
	int n = search->n_parts;
	int i;

	for (i = 0; i < n; i++) {
		if (!search->parts[i].back && search->parts[i].hedge_at <= time)
			search_hedge_part(search, i, false);
		else if (search->parts[i].retry_at <= time)
			search_part_retry(search, i);
	}
}

static void set_wake(struct search *search)
{
	int i;

	search->wake_at = INT64_MAX;
	search_wake(search, search->deadline_at);
	if (search->answer_at > search_now(search))
		search_wake(search, search->answer_at);
	if (search->moved_until)
		search_wake(search, search->moved_until);
	for (i = 0; i < search->n_parts; i++) {
		if (!search->parts[i].back)
			search_wake(search, search->parts[i].hedge_at);
		search_wake(search, search->parts[i].retry_at);
	}
	for (i = 0; i < search->map->n_shards; i++) {
		if (search->shards[i].state == SEARCH_SHARD_WANTED)
			search_wake(search, search->shards[i].ask_at);
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
		set_wake(search);
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
		if (search->map && search->moved_until)
			advance(search);
	}
}

void searches_drop(struct searches *searches, struct search *search)
{
	metric_add(&searches->board->counters.searches_open, -1);
	search_part_cancel_open(search);
	search_trace_dropped(search);
	release(search);
}
