#define LOG_MODULE "home"
#include "home.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "log.h"
#include "mem.h"
#include "share.h"

#define LATENCY_WEIGHT 8

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

void home_finish(struct home *home)
{
	struct home_server *server;
	struct home_server *next;

	while (home->queries)
		free_query(home->queries);
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

static struct home_job *job_of(struct slot_item *item)
{
	return (struct home_job *)((char *)item -
				   offsetof(struct home_job, item));
}

static void report(struct home_job *job, int code)
{
	struct home_query *query = job->query;

	if (!job->started_at)
		job->done_at = clock_now(query->home->board->clock);
	/* Its end says more than that it is late. */
	query->n_unsent -= job->tells_late;
	job->tells_late = false;
	job->state = HOME_JOB_DONE;
	job->code = code;
	query->n_open--;
	query->n_unsent++;
	query->home->ops->want_flush(query->home->arg);
}

static void left_queue(struct home_job *job)
{
	job->server->queued--;
	metric_add(&job->query->home->board->counters.home_queued, -1);
}

/* Dropped by the queue: it provably did not run. */
static void on_drop(void *ctx, struct slot_item *item, int code)
{
	struct home_job *job = job_of(item);

	(void)ctx;
	left_queue(job);
	metric_inc(&job->query->home->board->counters.home_dropped);
	report(job, code);
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
	job->item.deadline = job->query->deadline_at;
	job->item.random_rank = 0;
	job->item.cost = 1;
	ret = slot_queue_push(&server->queue, &job->item, on_drop, home);
	if (ret)
		return ret;
	server->queued++;
	metric_add(&home->board->counters.home_queued, 1);
	return 0;
}

static void dequeue(struct home_job *job)
{
	slot_queue_remove(&job->server->queue, &job->item);
	left_queue(job);
}

/* Few samples say nothing of what is unusual. */
#define TIMES_MIN 8.0
#define LATE_QUANTILE 0.985
#define SILENT_QUANTILE 0.99
#define MEDIAN 0.5

static int64_t half_life(const struct home *home)
{
	return MSEC(blackboard_tunables(home->board)->observe_half_life_ms);
}

/*
 * The entry sees a request that runs and one that waits behind it for a slot
 * alike. The home tells it of those that run for too long: they hold the slot
 * until somebody else has answered in their place.
 */
static int64_t late_after(const struct tunables *tunables,
			  const struct sketch *times)
{
	double most = tunables->hedge_median_factor *
		      (double)sketch_quantile(times, MEDIAN);
	int64_t late = sketch_quantile(times, LATE_QUANTILE);

	return (double)late < most ? late : (int64_t)most;
}

static int64_t silent_after(const struct tunables *tunables,
			    const struct sketch *times)
{
	int64_t floor = MSEC(tunables->silent_floor_ms);
	double bound = tunables->silent_factor *
		       (double)sketch_quantile(times, SILENT_QUANTILE);

	return bound > (double)floor ? (int64_t)bound : floor;
}

static void wake(struct home *home, int64_t at)
{
	if (at < home->wake_at)
		home->wake_at = at;
}

/* What must not be repeated is neither hedged nor given up. */
static void watch(struct home *home, struct home_job *job)
{
	const struct tunables *tunables = blackboard_tunables(home->board);
	const struct sketch *times = &job->server->times;

	job->late_at = INT64_MAX;
	job->silent_at = INT64_MAX;
	if (job->query->run || !home->ops->silent ||
	    sketch_count(times, job->started_at, half_life(home)) < TIMES_MIN)
		return;
	job->late_at = job->started_at + late_after(tunables, times);
	job->silent_at = job->started_at + silent_after(tunables, times);
	wake(home, job->late_at);
	wake(home, job->silent_at);
}

static struct str replica_set_of(const struct home *home,
				 const struct home_server *server)
{
	const struct table *table = home->board->table;
	int row = table ? table_find_server(table, str_from(server->name)) : -1;

	return row < 0 ? STR("") : str_from(table->servers[row].replica_set);
}

/* One that must not be repeated runs on one server anyway. */
static int begin_poison(struct home *home, struct home_job *job)
{
	const struct home_query *query = job->query;

	if (!query->message->fingerprint)
		return 0;
	return poison_begin(&home->board->poison, &job->poison,
			    query->message->fingerprint,
			    str_from(job->server->name),
			    replica_set_of(home, job->server),
			    query->run || query->message->watched);
}

static void start(struct home_job *job)
{
	struct home *home = job->query->home;
	int ret;

	left_queue(job);
	ret = begin_poison(home, job);
	if (ret) {
		report(job, ret);
		return;
	}
	job->state = HOME_JOB_RUNNING;
	job->started_at = clock_now(home->board->clock);
	job->server->in_flight++;
	metric_add(&home->board->counters.home_in_flight, 1);
	metric_inc(&home->board->counters.home_sent);
	watch(home, job);
	home->ops->start(home->arg, job);
}

/*
 * A process that was stopped wakes with a queue of requests nobody waits for:
 * the queue reads the time again before each is sent.
 */
static void serve_queue(struct home *home, struct home_server *server)
{
	struct share *share = home->board->share;
	struct slot_item *item;

	/*
	 * Against a process that was stopped and wakes with requests in its
	 * queue and shares that others have taken over: the lease ran out
	 * meanwhile, and the check takes the shares away.
	 */
	if (share && !share_lease_valid(share))
		return;
	while (server->in_flight < server->slots &&
	       (item = slot_queue_pop(&server->queue, on_drop, home)))
		start(job_of(item));
}

static void refuse_queue(struct home_server *server, int code)
{
	while (server->queue.n) {
		struct home_job *job = job_of(server->queue.items[0]);

		dequeue(job);
		report(job, code);
	}
}

void home_set_share(struct home *home, struct home_server *server,
		    uint32_t slots, uint32_t connections)
{
	server->slots = slots;
	server->connections = connections;
	if (!slots)
		refuse_queue(server, ERR_NOT_HOME);
	serve_queue(home, server);
}

static int home_priority(const struct home *home, const char *service)
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
		report(job, ERR_NOT_HOME);
		return;
	}
	job->state = HOME_JOB_QUEUED;
	ret = enqueue(job);
	if (ret) {
		metric_inc(&home->board->counters.home_dropped);
		report(job, ret);
		return;
	}
	serve_queue(home, job->server);
}

static void take_query(struct home *home, void *link, Peer__Query *message,
		       Peer__Run *run)
{
	struct home_query *query = mem_zalloc(sizeof(*query));
	int i;

	query->home = home;
	query->link = link;
	query->message = message;
	query->run = run;
	query->deadline_at = clock_now(home->board->clock) -
			     blackboard_stall(home->board) +
			     MSEC(message->deadline_ms);
	query->n_jobs = (int)message->n_parts;
	query->n_open = query->n_jobs;
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
	take_query(home, link, message, NULL);
}

/* Released like one that came in a frame. */
static Peer__Query *query_of_run(const struct home *home, const Peer__Run *run)
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
	query->priority = (uint32_t)home_priority(home, run->service);
	peer__server_part__init(part);
	part->server = mem_dup(run->server);
	query->parts = mem_zalloc(sizeof(*query->parts));
	query->parts[0] = part;
	query->n_parts = 1;
	return query;
}

void home_run(struct home *home, void *link, Peer__Run *message)
{
	take_query(home, link, query_of_run(home, message), message);
}

/*
 * A request that must not be repeated is left to its server while its time
 * lasts, also when its issuer is gone: half of it may have been done.
 */
static bool may_cancel(const struct home_job *job)
{
	const struct home_query *query = job->query;

	return !query->run ||
	       clock_now(query->home->board->clock) >= query->deadline_at;
}

static void give_up(struct home_job *job, int code)
{
	struct home *home;

	/* A reported job has no query any more. */
	if (job->state == HOME_JOB_DONE)
		return;
	home = job->query->home;
	if (job->state == HOME_JOB_QUEUED) {
		dequeue(job);
		report(job, code);
	} else if (job->state == HOME_JOB_RUNNING && may_cancel(job)) {
		home->ops->cancel(home->arg, job);
	}
}

static void give_up_all(struct home_query *query, int code)
{
	int i;

	for (i = 0; i < query->n_jobs; i++)
		give_up(&query->jobs[i], code);
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
				give_up(&query->jobs[i], ERR_CANCELLED);
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
		give_up_all(query, ERR_CANCELLED);
	}
	home->ops->want_flush(home->arg);
}

static void learn_latency(struct home_server *server, int64_t latency)
{
	if (!server->latency_us)
		server->latency_us = latency;
	server->latency_us += (latency - server->latency_us) / LATENCY_WEIGHT;
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
	 * Silence counts as a time too: if the server is slow and its
	 * connections are not at fault, the bound rises above what it takes.
	 */
	if (!code || code == ERR_SILENT)
		sketch_add(&server->times, latency, job->done_at,
			   half_life(home));
	if (!code) {
		learn_latency(server, latency);
		slot_queue_record_time(&server->queue, latency);
		metric_histogram_add(
			&home->board->counters.server_time.histogram, latency);
	}
	poison_end(&home->board->poison, &job->poison, !code);
	server->in_flight--;
	metric_add(&home->board->counters.home_in_flight, -1);
	report(job, code);
	serve_queue(home, server);
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

/* Done jobs are marked reported by a NULL query. */
static bool is_reportable(const struct home_job *job)
{
	return job->tells_late || (job->state == HOME_JOB_DONE && job->query);
}

/*
 * Fills in results until their answers would be more than a frame may carry:
 * a frame that is too large is not sent at all, and the entry would wait for
 * it until its deadline.
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
		job->tells_late = false;
		query->n_unsent--;
		fill_result(job, result);
		out->results[out->n_results++] = result;
	}
}

static void flush_query(struct home *home, struct home_query *query)
{
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult *results =
		mem_zalloc((size_t)query->n_unsent * sizeof(*results));

	result.id = query->message->id;
	result.results =
		mem_zalloc((size_t)query->n_unsent * sizeof(*result.results));
	while (query->n_unsent) {
		fill_results(query, results, &result);
		result.done = !query->n_open && !query->n_unsent;
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
	query->n_unsent = 0;
	if (query->link)
		home->ops->reply_run(home->arg, query->link, &result);
}

void home_flush(struct home *home)
{
	struct home_query *query;
	struct home_query *next;

	DL_FOREACH_SAFE (home->queries, query, next) {
		if (query->n_unsent && query->run)
			flush_run(home, query);
		else if (query->n_unsent)
			flush_query(home, query);
		if (!query->n_open)
			free_query(query);
	}
}

static void tick_job(struct home *home, struct home_job *job, int64_t time)
{
	if (job->state != HOME_JOB_RUNNING)
		return;
	if (time >= job->silent_at) {
		metric_inc(&home->board->counters.server_silences);
		home->ops->silent(home->arg, job);
		return;
	}
	wake(home, job->silent_at);
	if (job->is_late)
		return;
	if (time < job->late_at) {
		wake(home, job->late_at);
		return;
	}
	job->is_late = true;
	job->tells_late = true;
	job->query->n_unsent++;
	home->ops->want_flush(home->arg);
}

static void tick_query(struct home *home, struct home_query *query,
		       int64_t time)
{
	int i;

	if (time >= query->deadline_at) {
		give_up_all(query, ERR_TOO_LATE);
		return;
	}
	wake(home, query->deadline_at);
	for (i = 0; i < query->n_jobs; i++)
		tick_job(home, &query->jobs[i], time);
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
		if (query->n_open)
			tick_query(home, query, time);
	}
	return home->wake_at;
}

bool home_is_idle(const struct home *home)
{
	return !home->queries;
}
