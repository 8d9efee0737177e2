#define LOG_MODULE "server_queue"
#include "server_queue_private.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "error.h"
#include "log.h"
#include "mem.h"

/*
 * Prevents starvation: the least urgent item is bypassed fewer than this many
 * times in a row.
 */
#define BYPASS_LIMIT 8
/* Number of random ranks for requests. */
#define RANDOM_RANKS 8
/*
 * How long to use the random order after an overload at any server was found.
 */
#define RANDOM_ORDER_PERIOD MSEC(500)
/* How often queues are checked for requests that can't be served in time. */
#define TICK_PERIOD MSEC(20)

void server_queues_init(struct server_queues *queues, const struct clock *clock,
			const struct server_queue_ops *ops, void *arg,
			struct gateway_stats *stats)
{
	memset(queues, 0, sizeof(*queues));
	queues->clock = clock;
	queues->ops = ops;
	queues->arg = arg;
	queues->stats = stats;
	queues->senders = 1;
}

static int64_t now_of(const struct server_queues *queues)
{
	return clock_now(queues->clock);
}

static struct server_job *job_of(struct slot_item *item)
{
	return (struct server_job *)((char *)item -
				     offsetof(struct server_job, item));
}

static void free_job(struct server_job *job)
{
	registry_server_unref(job->server);
	free(job);
}

/*
 * Reported on the next tick, as the caller may be iterating over its requests.
 */
static void finish_unsent(struct server_job *job, int code)
{
	struct server_queues *queues = job->queues;

	job->state = JOB_UNSENT;
	job->code = code;
	DL_APPEND(queues->ended, job);
	queues->ops->wake(queues->arg, now_of(queues));
}

static void log_job_dropped(const struct server_job *job, int code)
{
	const struct server_queues *queues = job->queues;
	int64_t now = now_of(queues);

	LOG_INFO("turn_dropped", LOG_STR("request", job->request->id),
		 LOG_TEXT("server", job->server->entry.id),
		 LOG_TEXT("error", error_name(code)),
		 LOG_I64("priority", job->item.priority),
		 LOG_I64("waited_us", now - job->queued_at),
		 LOG_I64("left_us", job->deadline - now),
		 LOG_I64("ahead_us", server_queue_wait(queues, job->server,
						       job->item.priority)),
		 LOG_F64("pace_us",
			 server_queue_processing_time(queues, job->server)));
}

static void drop(struct server_job *job, int code)
{
	metric_inc(&job->queues->stats->queued_sends_dropped);
	log_job_dropped(job, code);
	finish_unsent(job, code);
}

/* It could not be answered in time, or the queue is full. */
static void on_drop(void *ctx, struct slot_item *item, int code)
{
	(void)ctx;
	(void)code;
	drop(job_of(item), ERR_OVERLOAD);
}

static struct server_queue *queue_of(struct server_queues *queues,
				     struct registry_server *server)
{
	struct server_queue *queue = server->queue;

	if (!queue) {
		queue = mem_zalloc(sizeof(*queue));
		queue->server = server;
		slot_queue_init(&queue->items, queues->clock, SERVER_QUEUE_MAX);
		queue->items.bypass_limit = BYPASS_LIMIT;
		DL_APPEND(queues->waiting, queue);
		server->queue = queue;
		queues->ops->wake(queues->arg, now_of(queues) + TICK_PERIOD);
	}
	queue->items.slots = server_queue_limit(queues, server);
	queue->items.assumed_time =
		server_queue_processing_time(queues, server);
	queue->items.mean_time = queue->items.assumed_time;
	slot_queue_set_random_order(&queue->items,
				    now_of(queues) <
					    queues->random_order_until);
	return queue;
}

static void extend_random_order(struct server_queues *queues,
				const struct server_queue *queue)
{
	int64_t until = queue->items.overloaded_at + RANDOM_ORDER_PERIOD;

	if (queue->items.overloaded_at && until > queues->random_order_until)
		queues->random_order_until = until;
}

/* Frees the queue if it is empty, and updates the estimate. */
static void update_queue(struct server_queues *queues,
			 struct registry_server *server)
{
	struct server_queue *queue = server->queue;

	if (queue)
		extend_random_order(queues, queue);
	if (queue && !queue->items.n) {
		DL_DELETE(queues->waiting, queue);
		slot_queue_finish(&queue->items);
		free(queue);
		server->queue = NULL;
	}
	server_queue_update_estimate(queues, server);
}

static int send_now(struct server_job *job)
{
	struct server_queues *queues = job->queues;
	bool alone = queues->enabled &&
		     !queues->ops->under_way(queues->arg, job->server);

	job->processing_time =
		alone ? server_queue_processing_time(queues, job->server) : 0;
	job->state = JOB_SENT;
	job->sent_at = now_of(queues);
	return queues->ops->send(queues->arg, job);
}

static void record_wait(const struct server_job *job)
{
	struct server_queues *queues = job->queues;
	int64_t now = now_of(queues);
	int64_t waited = now - job->queued_at;

	metric_histogram_add(&queues->stats->queue_wait_time.histogram, waited);
	if (!job->item.missed_goal)
		return;
	metric_inc(&queues->stats->queued_sends_late);
	LOG_INFO("turn_late", LOG_STR("request", job->request->id),
		 LOG_TEXT("server", job->server->entry.id),
		 LOG_I64("priority", job->item.priority),
		 LOG_I64("waited_us", waited),
		 LOG_I64("goal_in_us", job->item.goal - now),
		 LOG_F64("pace_us",
			 server_queue_processing_time(queues, job->server)));
}

/* Error for requests that can't be sent because the server is closed, or 0. */
static int closed_error(const struct registry_server *server)
{
	if (!registry_is_open(server))
		return ERR_DRAINING;
	return server_score_is_lost(&server->score) ? ERR_CONNECT : 0;
}

static void drop_all(struct server_queue *queue, int code)
{
	while (queue->items.n) {
		struct server_job *job = job_of(queue->items.items[0]);

		slot_queue_remove(&queue->items, &job->item);
		drop(job, code);
	}
}

/* Sends queued requests as far as the limit allows. */
static void send_waiting(struct server_queues *queues,
			 struct registry_server *server)
{
	int code = closed_error(server);
	struct server_queue *queue;
	struct slot_item *item;
	int ret;

	if (!server->queue)
		return;
	queue = queue_of(queues, server);
	if (code)
		drop_all(queue, code);
	while (queue->items.n && (!queues->enabled ||
				  server_queue_has_capacity(queues, server))) {
		item = slot_queue_pop(&queue->items, on_drop, queues);
		if (!item)
			break;
		record_wait(job_of(item));
		ret = send_now(job_of(item));
		if (ret)
			finish_unsent(job_of(item), ret);
	}
}

static int enqueue(struct server_job *job)
{
	struct server_queues *queues = job->queues;
	struct registry_server *server = job->server;
	struct server_queue *queue;
	int ret = closed_error(server);

	if (ret)
		return ret;
	queue = queue_of(queues, server);
	ret = slot_queue_push(&queue->items, &job->item, on_drop, queues);
	if (ret) {
		metric_inc(&queues->stats->queued_sends_dropped);
		log_job_dropped(job, ERR_OVERLOAD);
		return ERR_OVERLOAD;
	}
	metric_inc(&queues->stats->queued_sends);
	send_waiting(queues, server);
	return 0;
}

static void limit_deadline(struct server_job *job, int64_t until)
{
	if (job->deadline > until)
		job->deadline = until;
}

void server_queues_limit_time(struct server_queues *queues, int64_t until)
{
	struct server_queue *queue;
	size_t i;

	DL_FOREACH (queues->waiting, queue) {
		slot_queue_limit_deadlines(&queue->items, until);
		for (i = 0; i < queue->items.n; i++)
			limit_deadline(job_of(queue->items.items[i]), until);
	}
}

static bool must_wait(const struct server_queues *queues,
		      const struct registry_server *server)
{
	return queues->enabled &&
	       (server->queue || !server_queue_has_capacity(queues, server));
}

void server_job_limit(struct server_job *job, int64_t send_by)
{
	if (job->item.deadline > send_by)
		job->item.deadline = send_by;
}

static struct server_job *new_job(struct server_queues *queues,
				  struct registry_server *server,
				  const struct upstream_request *request,
				  const struct server_job_rank *rank,
				  int64_t deadline)
{
	struct server_job *job = mem_zalloc(sizeof(*job));

	job->queues = queues;
	job->request = request;
	job->server = registry_server_ref(server);
	job->deadline = deadline;
	job->queued_at = now_of(queues);
	job->item.priority =
		rank->priority < INT_MAX ? (int)rank->priority : INT_MAX;
	job->item.goal = rank->goal_at < deadline ? rank->goal_at : deadline;
	job->item.deadline = deadline;
	server_job_limit(job, rank->send_by);
	job->item.random_rank = (int)(str_hash(request->id) % RANDOM_RANKS);
	job->item.cost = server_queue_cost(queues, rank->priority);
	return job;
}

int server_queue_send(struct server_queues *queues,
		      struct registry_server *server,
		      const struct upstream_request *request,
		      const struct server_job_rank *rank, int64_t deadline,
		      int64_t connections_max, exchange_cb cb, void *arg,
		      struct server_job **out)
{
	struct server_job *job =
		new_job(queues, server, request, rank, deadline);
	int ret;

	job->connections_max = connections_max;
	job->cb = cb;
	job->arg = arg;
	ret = must_wait(queues, server) ? enqueue(job) : send_now(job);
	update_queue(queues, server);
	if (ret)
		free_job(job);
	else
		*out = job;
	return ret;
}

bool server_job_is_unsent(const struct server_job *job)
{
	return job->state != JOB_SENT;
}

static void dequeue(struct server_job *job)
{
	slot_queue_remove(&job->server->queue->items, &job->item);
	metric_inc(&job->queues->stats->queued_sends_cancelled);
	update_queue(job->queues, job->server);
}

void server_job_abandon(struct server_job *job, int64_t linger,
			struct delivery *delivery)
{
	struct server_queues *queues = job->queues;

	if (job->state == JOB_WAITING)
		dequeue(job);
	else if (job->state == JOB_UNSENT)
		DL_DELETE(queues->ended, job);
	else
		queues->ops->abandon(queues->arg, job, linger, delivery);
	free_job(job);
}

void server_job_hurry(struct server_job *job, int64_t linger)
{
	struct server_queues *queues = job->queues;

	if (job->state == JOB_SENT)
		queues->ops->hurry(queues->arg, job, linger);
	if (job->state != JOB_WAITING)
		return;
	dequeue(job);
	finish_unsent(job, ERR_CANCELLED);
}

static void report(struct server_job *job, const struct exchange_result *result)
{
	exchange_cb cb = job->cb;
	void *arg = job->arg;

	free_job(job);
	cb(arg, result);
}

void server_job_done(struct server_job *job,
		     const struct exchange_result *result)
{
	struct exchange_result reported = *result;

	reported.waited = job->sent_at - job->queued_at;
	if (!result->code && job->queues->enabled)
		server_queue_learn_cost(job, result->took);
	report(job, &reported);
}

void server_queue_capacity_freed(struct server_queues *queues,
				 struct registry_server *server)
{
	send_waiting(queues, server);
	update_queue(queues, server);
}

void server_queue_close(struct server_queues *queues,
			struct registry_server *server)
{
	server_queue_capacity_freed(queues, server);
}

static void expire_waiting(struct server_queues *queues)
{
	struct server_queue *queue;
	struct server_queue *next;

	DL_FOREACH_SAFE (queues->waiting, queue, next) {
		struct registry_server *server = queue->server;

		slot_queue_expire(&queue->items, on_drop, queues);
		send_waiting(queues, server);
		update_queue(queues, server);
	}
	if (queues->waiting)
		queues->ops->wake(queues->arg, now_of(queues) + TICK_PERIOD);
}

void server_queue_tick(struct server_queues *queues)
{
	expire_waiting(queues);
	while (queues->ended) {
		struct server_job *job = queues->ended;
		const struct exchange_result result = {
			.code = job->code,
			.not_run = true,
			.stamp = STR(""),
			.waited = now_of(queues) - job->queued_at,
		};

		DL_DELETE(queues->ended, job);
		report(job, &result);
	}
}
