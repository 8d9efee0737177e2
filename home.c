#define LOG_MODULE "home"
#include "home.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "log.h"
#include "mem.h"
#include "share.h"

/* Weight of a sample in the mean latency: 1/8. */
#define LATENCY_EWMA_DIVISOR 8

void home_init(struct home *home, struct blackboard *board,
	       const struct home_ops *ops, void *arg)
{
	memset(home, 0, sizeof(*home));
	home->board = board;
	home->ops = ops;
	home->arg = arg;
	home->wake_at = INT64_MAX;
}

static void free_query(struct home_query *query)
{
	int i;

	DL_DELETE(query->home->queries, query);
	for (i = 0; i < query->n_jobs; i++) {
		struct home_job *job = &query->jobs[i];

		free(job->ranges);
		free(job->answer);
	}
	free(query->jobs);
	peer__query__free_unpacked(query->message, NULL);
	if (query->run)
		peer__run__free_unpacked(query->run, NULL);
	free(query);
}

/* One list of members for both events; their names have to be constants. */
#define JOB_FIELDS(job, now)                                                   \
	LOG_TEXT("request", (job)->query->message->request_id),                \
		LOG_TEXT("service", (job)->query->message->service),           \
		LOG_TEXT("server", (job)->server ? (job)->server->name : "-"), \
		LOG_I64("run", (job)->query->run != NULL),                     \
		LOG_I64("not_run", !(job)->started_at),                        \
		LOG_I64("took_us", (now) - (job)->queued_at),                  \
		LOG_I64("left_us", (job)->query->full_deadline_at - (now))

static void log_job_ended(const struct home_job *job)
{
	struct blackboard *board = job->query->home->board;

	metric_inc(&board->counters.home_stop_ended);
	LOG_INFO("job_ended", JOB_FIELDS(job, clock_now(board->clock)));
}

/* Nobody waits for a job that was given up, or whose link is closed. */
static void log_jobs_cut(const struct home_query *query)
{
	int64_t now = clock_now(query->home->board->clock);
	int i;

	for (i = 0; query->link && i < query->n_jobs; i++) {
		const struct home_job *job = &query->jobs[i];

		if (job->state != HOME_JOB_DONE && !job->is_given_up)
			LOG_WARN("job_cut", JOB_FIELDS(job, now));
	}
}

void home_finish(struct home *home)
{
	struct home_server *server;
	struct home_server *next;

	while (home->queries) {
		log_jobs_cut(home->queries);
		free_query(home->queries);
	}
	HASH_ITER (hh, home->servers, server, next)
		home_remove_server(home, server);
}

struct home_server *home_find_server(const struct home *home, struct str name)
{
	struct home_server *server;

	HASH_FIND(hh, home->servers, name.data, name.len, server);
	return server;
}

struct home_server *home_find_or_add_server(struct home *home, struct str name)
{
	struct home_server *server = home_find_server(home, name);

	if (server)
		return server;
	server = mem_zalloc(sizeof(*server));
	str_copy(server->name, sizeof(server->name), name);
	slot_queue_init(&server->queue, home->board->clock, 0);
	HASH_ADD_STR(home->servers, name, server);
	return server;
}

void home_remove_server(struct home *home, struct home_server *server)
{
	HASH_DEL(home->servers, server);
	slot_queue_finish(&server->queue);
	free(server);
}

static struct home_job *job_from_item(struct slot_item *item)
{
	return (struct home_job *)((char *)item -
				   offsetof(struct home_job, item));
}

static void finish_job(struct home_job *job, int code)
{
	struct home_query *query = job->query;

	if (code == ERR_LEAVING && !job->is_given_up)
		log_job_ended(job);
	if (!job->started_at)
		job->done_at = clock_now(query->home->board->clock);
	/* The result supersedes the notice that the job is late. */
	query->n_unreported -= job->late_unreported;
	job->late_unreported = false;
	job->state = HOME_JOB_DONE;
	job->code = code;
	query->n_pending--;
	query->n_unreported++;
	query->home->ops->want_flush(query->home->arg);
}

static void count_dequeued(struct home_job *job)
{
	job->server->queued--;
	metric_add(&job->query->home->board->counters.home_queued, -1);
}

/* The entry asks another home if this one ends before the query does. */
static int too_late_error(const struct home_query *query)
{
	const struct blackboard *board = query->home->board;

	if (stop_plan_is_stopping(&board->stop) &&
	    clock_now(board->clock) < query->full_deadline_at)
		return ERR_LEAVING;
	return ERR_TOO_LATE;
}

/* A run that was sent may have run, which ERR_LEAVING would deny. */
static int end_error(const struct home_query *query, int code)
{
	if (query->run || (code != ERR_TOO_LATE && code != ERR_CANCELLED))
		return code;
	return too_late_error(query) == ERR_LEAVING ? ERR_LEAVING : code;
}

/* Only jobs that were never sent are dropped. */
static void on_drop(void *ctx, struct slot_item *item, int code)
{
	struct home_job *job = job_from_item(item);

	(void)ctx;
	if (code == ERR_TOO_LATE)
		code = too_late_error(job->query);
	count_dequeued(job);
	metric_inc(&job->query->home->board->counters.home_dropped);
	finish_job(job, code);
}

static int64_t start_deadline(const struct home_query *query)
{
	int64_t start_by = blackboard_start_by(query->home->board);

	return query->deadline_at < start_by ? query->deadline_at : start_by;
}

static int enqueue(struct home_job *job)
{
	struct home *home = job->query->home;
	struct home_server *server = job->server;
	const struct tunables *tunables = blackboard_tunables(home->board);
	int ret;

	server->queue.deadline_only = tunables->admission == SWITCH_OFF;
	server->queue.max = server->queue.deadline_only
				    ? SIZE_MAX
				    : (size_t)tunables->server_queue_max;
	server->queue.slots = (int)server->slots;
	job->item.priority = (int)job->query->message->priority;
	job->item.goal = job->query->deadline_at;
	job->item.deadline = start_deadline(job->query);
	job->item.random_rank = 0;
	job->item.cost = 1;
	ret = slot_queue_push(&server->queue, &job->item, on_drop, home);
	if (ret == ERR_TOO_LATE)
		return too_late_error(job->query);
	if (ret)
		return ret;
	server->queued++;
	metric_add(&home->board->counters.home_queued, 1);
	return 0;
}

static void dequeue(struct home_job *job)
{
	slot_queue_remove(&job->server->queue, &job->item);
	count_dequeued(job);
}

/* Fewer samples don't show which duration is unusual. */
#define RUN_TIMES_MIN_SAMPLES 8.0
#define LATE_QUANTILE 0.985
#define SILENT_QUANTILE 0.99
#define MEDIAN_QUANTILE 0.5

static int64_t run_times_half_life(const struct home *home)
{
	return MSEC(blackboard_tunables(home->board)->observe_half_life_ms);
}

/*
 * Duration after which a running job is reported to the entry as late. The
 * entry can't tell a slow job from those queued behind it; hedging the slow one
 * frees its slot as soon as another server has answered.
 */
static int64_t late_threshold(const struct tunables *tunables,
			      const struct sketch *run_times)
{
	double most = tunables->hedge_median_factor *
		      (double)sketch_quantile(run_times, MEDIAN_QUANTILE);
	int64_t late = sketch_quantile(run_times, LATE_QUANTILE);

	return (double)late < most ? late : (int64_t)most;
}

/* Duration after which the connection of a running job is closed. */
static int64_t silence_threshold(const struct tunables *tunables,
				 const struct sketch *run_times)
{
	int64_t floor = MSEC(tunables->silent_floor_ms);
	double bound = tunables->silent_factor *
		       (double)sketch_quantile(run_times, SILENT_QUANTILE);

	return bound > (double)floor ? (int64_t)bound : floor;
}

static void schedule_tick(struct home *home, int64_t at)
{
	if (at < home->wake_at)
		home->wake_at = at;
}

/* A non-repeatable request is neither hedged nor abandoned. */
static void set_run_limits(struct home *home, struct home_job *job)
{
	const struct tunables *tunables = blackboard_tunables(home->board);
	const struct sketch *run_times = &job->server->run_times;

	job->late_at = INT64_MAX;
	job->silent_at = INT64_MAX;
	if (job->query->run || !home->ops->close_silent ||
	    sketch_count(run_times, job->started_at,
			 run_times_half_life(home)) < RUN_TIMES_MIN_SAMPLES)
		return;
	job->late_at = job->started_at + late_threshold(tunables, run_times);
	job->silent_at =
		job->started_at + silence_threshold(tunables, run_times);
	schedule_tick(home, job->late_at);
	schedule_tick(home, job->silent_at);
}

static struct str replica_set_of(const struct home *home,
				 const struct home_server *server)
{
	const struct table *table = home->board->table;
	int row = table ? table_find_server(table, str_from(server->name)) : -1;

	return row < 0 ? STR("") : str_from(table->servers[row].replica_set);
}

static int64_t time_left(const struct home_query *query)
{
	return query->deadline_at - clock_now(query->home->board->clock);
}

/* A non-repeatable request runs on one server only, so it counts as watched. */
static int begin_poison(struct home *home, struct home_job *job)
{
	const struct home_query *query = job->query;

	if (!query->message->fingerprint)
		return 0;
	return poison_begin(&home->board->poison, &job->poison,
			    query->message->fingerprint,
			    str_from(job->server->name),
			    replica_set_of(home, job->server),
			    query->run || query->message->watched,
			    time_left(query));
}

/* Tells the entry when to try again, and the log which run is in the way. */
static void hold_suspect(const struct home *home, struct home_job *job)
{
	const struct home_query *query = job->query;
	int64_t wait = 0;
	const struct poison_run *run =
		poison_blocking_run(&home->board->poison,
				    query->message->fingerprint,
				    str_from(job->server->name),
				    time_left(query), &wait);
	const struct home_job *other;

	if (!run)
		return;
	job->retry_after_ms = (uint32_t)msec_round_up(wait);
	other = (const struct home_job *)((const char *)run -
					  offsetof(struct home_job, poison));
	LOG_INFO("suspect_held",
		 LOG_TEXT("request", query->message->request_id),
		 LOG_U64("fingerprint", query->message->fingerprint),
		 LOG_TEXT("server", job->server->name),
		 LOG_TEXT("runs_on", other->server->name),
		 LOG_TEXT("by", other->query->message->request_id),
		 LOG_I64("for_ms",
			 (clock_now(home->board->clock) - other->started_at) /
				 USEC_PER_MSEC),
		 LOG_U64("given_up", other->is_given_up),
		 LOG_U64("retry_after_ms", job->retry_after_ms));
}

static void start_job(struct home_job *job)
{
	struct home *home = job->query->home;
	int ret;

	count_dequeued(job);
	ret = begin_poison(home, job);
	if (ret == ERR_NO_SLOT)
		hold_suspect(home, job);
	if (ret) {
		finish_job(job, ret);
		return;
	}
	job->state = HOME_JOB_RUNNING;
	job->started_at = clock_now(home->board->clock);
	job->server->in_flight++;
	metric_add(&home->board->counters.home_in_flight, 1);
	metric_inc(&home->board->counters.home_sent);
	set_run_limits(home, job);
	home->ops->start(home->arg, job);
}

/*
 * Starts queued jobs while slots are free. The queue reads the clock before
 * each, as a process that was suspended may resume with expired requests.
 */
static void start_queued_jobs(struct home *home, struct home_server *server)
{
	struct share *share = home->board->share;
	struct slot_item *item;

	/*
	 * A process that was suspended may resume after other instances have
	 * taken over its shares. Its lease has expired by then, and this check
	 * drops the shares.
	 */
	if (share && !share_lease_valid(share))
		return;
	while (server->in_flight < server->slots &&
	       (item = slot_queue_pop(&server->queue, on_drop, home)))
		start_job(job_from_item(item));
}

static void fail_queued_jobs(struct home_server *server, int code)
{
	while (server->queue.n) {
		struct home_job *job = job_from_item(server->queue.items[0]);

		dequeue(job);
		finish_job(job, code);
	}
}

void home_set_share(struct home *home, struct home_server *server,
		    uint32_t slots, uint32_t connections)
{
	server->slots = slots;
	server->connections = connections;
	if (!slots)
		fail_queued_jobs(server, ERR_NOT_HOME);
	start_queued_jobs(home, server);
}

static int service_priority(const struct home *home, const char *service)
{
	const struct table *table = home->board->table;
	int row = table ? table_find_service(table, str_from(service)) : -1;

	return row < 0 ? 0 : (int)table->services[row].priority;
}

static void init_job(struct home_job *job, struct home_query *query,
		     Peer__ServerPart *part)
{
	size_t i;

	job->query = query;
	job->part = part->part;
	job->queued_at = clock_now(query->home->board->clock);
	job->server = home_find_server(query->home, str_from(part->server));
	job->n_ranges = part->n_shards;
	job->ranges = mem_zalloc(part->n_shards * sizeof(*job->ranges));
	for (i = 0; i < part->n_shards; i++)
		job->ranges[i] = *part->shards[i];
}

static void admit(struct home_job *job)
{
	struct home *home = job->query->home;
	int ret;

	metric_inc(&home->board->counters.home_requests);
	if (!job->server || !job->server->slots) {
		finish_job(job, ERR_NOT_HOME);
		return;
	}
	job->state = HOME_JOB_QUEUED;
	ret = enqueue(job);
	if (ret) {
		metric_inc(&home->board->counters.home_dropped);
		finish_job(job, ret);
		return;
	}
	start_queued_jobs(home, job->server);
}

static void accept_query(struct home *home, void *link, Peer__Query *message,
			 Peer__Run *run)
{
	struct home_query *query = mem_zalloc(sizeof(*query));
	int i;

	query->home = home;
	query->link = link;
	query->message = message;
	query->run = run;
	query->full_deadline_at = clock_now(home->board->clock) -
				  blackboard_stall(home->board) +
				  MSEC(message->deadline_ms);
	query->deadline_at =
		stop_plan_deadline(&home->board->stop, query->full_deadline_at);
	query->n_jobs = (int)message->n_parts;
	query->n_pending = query->n_jobs;
	query->jobs = mem_zalloc((size_t)query->n_jobs * sizeof(*query->jobs));
	DL_APPEND(home->queries, query);
	for (i = 0; i < query->n_jobs; i++)
		init_job(&query->jobs[i], query, message->parts[i]);
	for (i = 0; i < query->n_jobs; i++)
		admit(&query->jobs[i]);
	home->ops->want_flush(home->arg);
}

void home_query(struct home *home, void *link, Peer__Query *message)
{
	accept_query(home, link, message, NULL);
}

/* All strings are allocated: the result is freed like an unpacked message. */
static Peer__Query *make_run_query(const struct home *home,
				   const Peer__Run *run)
{
	Peer__Query *query = mem_zalloc(sizeof(*query));
	Peer__ServerPart *part = mem_zalloc(sizeof(*part));

	peer__query__init(query);
	query->id = run->id;
	query->request_id = mem_dup(run->request_id);
	query->service = mem_dup(run->service);
	query->deadline_ms = run->deadline_ms;
	query->fingerprint =
		poison_fingerprint(str_from(run->service),
				   (struct str){(char *)run->payload.data,
						run->payload.len},
				   POISON_KIND_RUN);
	query->priority = (uint32_t)service_priority(home, run->service);
	peer__server_part__init(part);
	part->server = mem_dup(run->server);
	query->parts = mem_zalloc(sizeof(*query->parts));
	query->parts[0] = part;
	query->n_parts = 1;
	return query;
}

void home_run(struct home *home, void *link, Peer__Run *message)
{
	accept_query(home, link, make_run_query(home, message), message);
}

/*
 * A non-repeatable request runs until its deadline even if its issuer is gone:
 * the server may have executed a part of it.
 */
static bool may_cancel(const struct home_job *job)
{
	const struct home_query *query = job->query;

	return !query->run ||
	       clock_now(query->home->board->clock) >= query->deadline_at;
}

static void abort_job(struct home_job *job, int code)
{
	struct home *home;

	/* The query of a reported job is NULL. */
	if (job->state == HOME_JOB_DONE)
		return;
	home = job->query->home;
	if (job->state == HOME_JOB_QUEUED) {
		dequeue(job);
		finish_job(job, code);
	} else if (job->state == HOME_JOB_RUNNING && may_cancel(job)) {
		job->is_given_up = true;
		home->ops->cancel(home->arg, job);
	}
}

/* Its server is at work on it, and the entry would have waited longer. */
static void log_given_up(const struct home_query *query)
{
	int i;

	for (i = 0; i < query->n_jobs; i++) {
		const struct home_job *job = &query->jobs[i];

		if (job->state == HOME_JOB_RUNNING && !job->is_given_up)
			log_job_ended(job);
	}
}

static void abort_query(struct home_query *query, int code)
{
	int i;

	for (i = 0; i < query->n_jobs; i++)
		abort_job(&query->jobs[i], code);
}

void home_cancel(struct home *home, void *link, const Peer__Cancel *cancel)
{
	struct home_query *query;
	int i;

	DL_FOREACH (home->queries, query) {
		if (query->link != link || query->message->id != cancel->id)
			continue;
		for (i = 0; i < query->n_jobs; i++) {
			if (cancel->whole ||
			    query->jobs[i].part == cancel->part)
				abort_job(&query->jobs[i], ERR_CANCELLED);
		}
	}
}

void home_link_lost(struct home *home, void *link)
{
	struct home_query *query;

	DL_FOREACH (home->queries, query) {
		if (query->link != link)
			continue;
		query->link = NULL;
		abort_query(query, ERR_CANCELLED);
	}
	home->ops->want_flush(home->arg);
}

static void update_latency(struct home_server *server, int64_t latency)
{
	if (!server->latency_us)
		server->latency_us = latency;
	server->latency_us +=
		(latency - server->latency_us) / LATENCY_EWMA_DIVISOR;
}

void home_job_done(struct home *home, struct home_job *job, int code, bool sent,
		   uint32_t retry_after_ms, struct str answer)
{
	struct home_server *server = job->server;
	int64_t latency;

	if (answer.len > HOME_ANSWER_MAX_BYTES) {
		code = ERR_TOO_LARGE;
		answer.len = 0;
	}
	job->done_at = clock_now(home->board->clock);
	latency = job->done_at - job->started_at;
	job->sent = sent;
	job->retry_after_ms = retry_after_ms;
	job->answer = answer.len ? mem_dup_len(answer.data, answer.len) : NULL;
	job->answer_len = answer.len;
	/*
	 * Silent jobs are samples too: if the server is slow and its
	 * connections are sound, the threshold rises above its run times.
	 */
	if (!code || code == ERR_SILENT)
		sketch_add(&server->run_times, latency, job->done_at,
			   run_times_half_life(home));
	if (!code) {
		update_latency(server, latency);
		slot_queue_record_time(&server->queue, latency);
		metric_histogram_add(
			&home->board->counters.server_time.histogram, latency);
	}
	poison_end(&home->board->poison, &job->poison, !code);
	server->in_flight--;
	metric_add(&home->board->counters.home_in_flight, -1);
	finish_job(job, end_error(job->query, code));
	start_queued_jobs(home, server);
}

static void fill_result(struct home_job *job, Peer__ServerResult *out)
{
	peer__server_result__init(out);
	out->part = job->part;
	out->late = job->state == HOME_JOB_RUNNING;
	out->code = job->code;
	out->sent = job->sent;
	out->retry_after_ms = job->retry_after_ms;
	if (out->late) {
		out->wait_us = (uint32_t)(job->started_at - job->queued_at);
	} else if (job->started_at) {
		out->latency_us = (uint32_t)(job->done_at - job->started_at);
		out->wait_us = (uint32_t)(job->started_at - job->queued_at);
	} else {
		out->wait_us = (uint32_t)(job->done_at - job->queued_at);
	}
	if (job->server) {
		out->in_flight = job->server->in_flight;
		out->queued = job->server->queued;
	}
	out->answer.data = (uint8_t *)job->answer;
	out->answer.len = job->answer_len;
}

/* A done job was reported if its query is NULL. */
static bool is_reportable(const struct home_job *job)
{
	return job->late_unreported ||
	       (job->state == HOME_JOB_DONE && job->query);
}

/*
 * Adds results up to the size limit of a frame. An oversized frame would not be
 * sent at all, and the entry would wait for it until its deadline.
 */
static void fill_results(struct home_query *query, Peer__ServerResult *results,
			 Peer__QueryResult *out)
{
	size_t bytes = 0;
	int i;

	out->n_results = 0;
	for (i = 0; i < query->n_jobs; i++) {
		struct home_job *job = &query->jobs[i];
		Peer__ServerResult *result = &results[out->n_results];

		if (!is_reportable(job))
			continue;
		bytes += job->answer_len;
		if (out->n_results && bytes > HOME_ANSWER_MAX_BYTES)
			return;
		if (job->state == HOME_JOB_DONE)
			job->query = NULL;
		job->late_unreported = false;
		query->n_unreported--;
		fill_result(job, result);
		out->results[out->n_results++] = result;
	}
}

static void flush_query(struct home *home, struct home_query *query)
{
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult *results =
		mem_zalloc((size_t)query->n_unreported * sizeof(*results));

	result.id = query->message->id;
	result.results = mem_zalloc((size_t)query->n_unreported *
				    sizeof(*result.results));
	while (query->n_unreported) {
		fill_results(query, results, &result);
		result.done = !query->n_pending && !query->n_unreported;
		if (query->link)
			home->ops->reply(home->arg, query->link, &result);
	}
	free(results);
	free(result.results);
}

static void flush_run(struct home *home, struct home_query *query)
{
	const struct home_job *job = &query->jobs[0];
	Peer__RunResult result = PEER__RUN_RESULT__INIT;

	result.id = query->message->id;
	result.code = job->code;
	result.retry_after_ms = job->retry_after_ms;
	result.body.data = (uint8_t *)job->answer;
	result.body.len = job->answer_len;
	query->n_unreported = 0;
	if (query->link)
		home->ops->reply_run(home->arg, query->link, &result);
}

void home_flush(struct home *home)
{
	struct home_query *query;
	struct home_query *next;

	DL_FOREACH_SAFE (home->queries, query, next) {
		if (query->n_unreported && query->run)
			flush_run(home, query);
		else if (query->n_unreported)
			flush_query(home, query);
		if (!query->n_pending)
			free_query(query);
	}
}

static void tick_job(struct home *home, struct home_job *job, int64_t time)
{
	if (job->state != HOME_JOB_RUNNING)
		return;
	if (time >= job->silent_at) {
		metric_inc(&home->board->counters.server_silences);
		home->ops->close_silent(home->arg, job);
		return;
	}
	schedule_tick(home, job->silent_at);
	if (job->is_late)
		return;
	if (time < job->late_at) {
		schedule_tick(home, job->late_at);
		return;
	}
	job->is_late = true;
	job->late_unreported = true;
	job->query->n_unreported++;
	home->ops->want_flush(home->arg);
}

static void tick_query(struct home *home, struct home_query *query,
		       int64_t time)
{
	int i;

	if (time >= query->deadline_at) {
		if (time < query->full_deadline_at)
			log_given_up(query);
		abort_query(query, too_late_error(query));
		return;
	}
	schedule_tick(home, query->deadline_at);
	if (time < start_deadline(query))
		schedule_tick(home, start_deadline(query));
	for (i = 0; i < query->n_jobs; i++)
		tick_job(home, &query->jobs[i], time);
}

void home_stop(struct home *home)
{
	const struct stop_plan *stop = &home->board->stop;
	struct home_server *server;
	struct home_server *next;
	struct home_query *query;

	HASH_ITER (hh, home->servers, server, next)
		slot_queue_limit_deadlines(&server->queue,
					   blackboard_start_by(home->board));
	DL_FOREACH (home->queries, query)
		query->deadline_at =
			stop_plan_deadline(stop, query->deadline_at);
}

int64_t home_tick(struct home *home)
{
	int64_t time = clock_now(home->board->clock);
	struct home_server *server;
	struct home_server *next_server;
	struct home_query *query;

	home->wake_at = INT64_MAX;
	HASH_ITER (hh, home->servers, server, next_server)
		slot_queue_expire(&server->queue, on_drop, home);
	DL_FOREACH (home->queries, query) {
		if (query->n_pending)
			tick_query(home, query, time);
	}
	return home->wake_at;
}

bool home_is_idle(const struct home *home)
{
	return !home->queries;
}
