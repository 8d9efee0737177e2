#define LOG_MODULE "server_queue"
#include "server_queue_private.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "error.h"
#include "log.h"
#include "mem.h"

/* So many turns go before the least urgent has one. */
#define FLOOR_TURNS 8
/* Lots that are drawn for requests. */
#define LOTS 8
/* Since it was found that not all can be in time, at any server. */
#define BY_LOT_FOR MSEC(500)
/* How often what waits is looked through for what cannot be served in time. */
#define TICK MSEC(20)

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

static struct server_job *turn_of(struct slot_item *item)
{
	return (struct server_job *)((char *)item -
				     offsetof(struct server_job, item));
}

static void free_turn(struct server_job *turn)
{
	registry_server_unref(turn->server);
	free(turn);
}

/* Reported later: whoever has to hear of it may be at work on its requests. */
static void end_unsent(struct server_job *turn, int code)
{
	struct server_queues *queues = turn->queues;

	turn->state = JOB_UNSENT;
	turn->code = code;
	DL_APPEND(queues->ended, turn);
	queues->ops->wake(queues->arg, now_of(queues));
}

static void log_turn_dropped(const struct server_job *turn, int code)
{
	const struct server_queues *queues = turn->queues;
	int64_t now = now_of(queues);

	LOG_INFO("turn_dropped", LOG_STR("request", turn->request->id),
		 LOG_TEXT("server", turn->server->entry.id),
		 LOG_TEXT("error", error_name(code)),
		 LOG_I64("priority", turn->item.priority),
		 LOG_I64("waited_us", now - turn->queued_at),
		 LOG_I64("left_us", turn->deadline - now),
		 LOG_I64("ahead_us", server_queue_wait(queues, turn->server,
						       turn->item.priority)),
		 LOG_F64("pace_us",
			 server_queue_processing_time(queues, turn->server)));
}

static void drop(struct server_job *turn, int code)
{
	metric_inc(&turn->queues->stats->turns_dropped);
	log_turn_dropped(turn, code);
	end_unsent(turn, code);
}

/* It would not have been answered in time, or the queue is full. */
static void on_drop(void *ctx, struct slot_item *item, int code)
{
	(void)ctx;
	(void)code;
	drop(turn_of(item), ERR_OVERLOAD);
}

static struct server_queue *queue_of(struct server_queues *queues,
				     struct registry_server *server)
{
	struct server_queue *queue = server->queue;

	if (!queue) {
		queue = mem_zalloc(sizeof(*queue));
		queue->server = server;
		slot_queue_init(&queue->items, queues->clock, SERVER_QUEUE_MAX);
		queue->items.floor = FLOOR_TURNS;
		DL_APPEND(queues->waiting, queue);
		server->queue = queue;
		queues->ops->wake(queues->arg, now_of(queues) + TICK);
	}
	queue->items.slots = server_queue_limit(queues, server);
	queue->items.usual = server_queue_processing_time(queues, server);
	queue->items.mean = queue->items.usual;
	slot_queue_set_random_order(&queue->items,
				    now_of(queues) <
					    queues->random_order_until);
	return queue;
}

static void note_short(struct server_queues *queues,
		       const struct server_queue *queue)
{
	int64_t until = queue->items.overloaded_at + BY_LOT_FOR;

	if (queue->items.overloaded_at && until > queues->random_order_until)
		queues->random_order_until = until;
}

/* The queue ends with the last that waits. */
static void review(struct server_queues *queues, struct registry_server *server)
{
	struct server_queue *queue = server->queue;

	if (queue)
		note_short(queues, queue);
	if (queue && !queue->items.n) {
		DL_DELETE(queues->waiting, queue);
		slot_queue_finish(&queue->items);
		free(queue);
		server->queue = NULL;
	}
	server_queue_update_estimate(queues, server);
}

static int send_now(struct server_job *turn)
{
	struct server_queues *queues = turn->queues;
	bool alone = queues->enabled &&
		     !queues->ops->under_way(queues->arg, turn->server);

	turn->pace =
		alone ? server_queue_processing_time(queues, turn->server) : 0;
	turn->state = JOB_SENT;
	turn->sent_at = now_of(queues);
	return queues->ops->send(queues->arg, turn);
}

static void note_wait(const struct server_job *turn)
{
	struct server_queues *queues = turn->queues;
	int64_t now = now_of(queues);
	int64_t waited = now - turn->queued_at;

	metric_histogram_add(&queues->stats->turn_wait.histogram, waited);
	if (!turn->item.late)
		return;
	metric_inc(&queues->stats->turns_late);
	LOG_INFO("turn_late", LOG_STR("request", turn->request->id),
		 LOG_TEXT("server", turn->server->entry.id),
		 LOG_I64("priority", turn->item.priority),
		 LOG_I64("waited_us", waited),
		 LOG_I64("goal_in_us", turn->item.goal - now),
		 LOG_F64("pace_us",
			 server_queue_processing_time(queues, turn->server)));
}

/* Why nothing that waits can be sent any more; 0: it can. */
static int reason_to_close(const struct registry_server *server)
{
	if (!registry_is_open(server))
		return ERR_DRAINING;
	return server_score_is_lost(&server->score) ? ERR_CONNECT : 0;
}

static void return_all(struct server_queue *queue, int code)
{
	while (queue->items.n) {
		struct server_job *turn = turn_of(queue->items.items[0]);

		slot_queue_remove(&queue->items, &turn->item);
		drop(turn, code);
	}
}

/* Send what may go out. */
static void go_on(struct server_queues *queues, struct registry_server *server)
{
	int code = reason_to_close(server);
	struct server_queue *queue;
	struct slot_item *item;
	int ret;

	if (!server->queue)
		return;
	queue = queue_of(queues, server);
	if (code)
		return_all(queue, code);
	while (queue->items.n && (!queues->enabled ||
				  server_queue_has_capacity(queues, server))) {
		item = slot_queue_pop(&queue->items, on_drop, queues);
		if (!item)
			break;
		note_wait(turn_of(item));
		ret = send_now(turn_of(item));
		if (ret)
			end_unsent(turn_of(item), ret);
	}
}

static int enqueue(struct server_job *turn)
{
	struct server_queues *queues = turn->queues;
	struct registry_server *server = turn->server;
	struct server_queue *queue;
	int ret = reason_to_close(server);

	if (ret)
		return ret;
	queue = queue_of(queues, server);
	ret = slot_queue_push(&queue->items, &turn->item, on_drop, queues);
	if (ret) {
		metric_inc(&queues->stats->turns_dropped);
		log_turn_dropped(turn, ERR_OVERLOAD);
		return ERR_OVERLOAD;
	}
	metric_inc(&queues->stats->turns_waited);
	go_on(queues, server);
	return 0;
}

static bool must_wait(const struct server_queues *queues,
		      const struct registry_server *server)
{
	return queues->enabled &&
	       (server->queue || !server_queue_has_capacity(queues, server));
}

static struct server_job *new_turn(struct server_queues *queues,
				   struct registry_server *server,
				   const struct upstream_request *request,
				   const struct server_job_rank *rank,
				   int64_t deadline)
{
	struct server_job *turn = mem_zalloc(sizeof(*turn));

	turn->queues = queues;
	turn->request = request;
	turn->server = registry_server_ref(server);
	turn->deadline = deadline;
	turn->queued_at = now_of(queues);
	turn->item.priority =
		rank->priority < INT_MAX ? (int)rank->priority : INT_MAX;
	turn->item.goal = rank->goal_at < deadline ? rank->goal_at : deadline;
	turn->item.deadline = deadline;
	turn->item.lot = (int)(str_hash(request->id) % LOTS);
	turn->item.cost = server_queue_cost(queues, rank->priority);
	return turn;
}

int server_queue_send(struct server_queues *queues,
		      struct registry_server *server,
		      const struct upstream_request *request,
		      const struct server_job_rank *rank, int64_t deadline,
		      int64_t connections_max, exchange_cb cb, void *arg,
		      struct server_job **out)
{
	struct server_job *turn =
		new_turn(queues, server, request, rank, deadline);
	int ret;

	turn->connections_max = connections_max;
	turn->cb = cb;
	turn->arg = arg;
	ret = must_wait(queues, server) ? enqueue(turn) : send_now(turn);
	review(queues, server);
	if (ret)
		free_turn(turn);
	else
		*out = turn;
	return ret;
}

bool server_job_is_unsent(const struct server_job *turn)
{
	return turn->state != JOB_SENT;
}

static void leave_queue(struct server_job *turn)
{
	slot_queue_remove(&turn->server->queue->items, &turn->item);
	metric_inc(&turn->queues->stats->turns_forgotten);
	review(turn->queues, turn->server);
}

void server_job_abandon(struct server_job *turn, int64_t linger)
{
	struct server_queues *queues = turn->queues;

	if (turn->state == JOB_WAITING)
		leave_queue(turn);
	else if (turn->state == JOB_UNSENT)
		DL_DELETE(queues->ended, turn);
	else
		queues->ops->abandon(queues->arg, turn, linger);
	free_turn(turn);
}

void server_job_hurry(struct server_job *turn, int64_t linger)
{
	struct server_queues *queues = turn->queues;

	if (turn->state == JOB_SENT)
		queues->ops->hurry(queues->arg, turn, linger);
	if (turn->state != JOB_WAITING)
		return;
	leave_queue(turn);
	end_unsent(turn, ERR_CANCELLED);
}

static void report(struct server_job *turn,
		   const struct exchange_result *result)
{
	exchange_cb cb = turn->cb;
	void *arg = turn->arg;

	free_turn(turn);
	cb(arg, result);
}

void server_job_done(struct server_job *turn,
		     const struct exchange_result *result)
{
	struct exchange_result told = *result;

	told.waited = turn->sent_at - turn->queued_at;
	if (!result->code && turn->queues->enabled)
		server_queue_learn_cost(turn, result->took);
	report(turn, &told);
}

void server_queue_capacity_freed(struct server_queues *queues,
				 struct registry_server *server)
{
	go_on(queues, server);
	review(queues, server);
}

void server_queue_close(struct server_queues *queues,
			struct registry_server *server)
{
	server_queue_capacity_freed(queues, server);
}

static void look_through(struct server_queues *queues)
{
	struct server_queue *queue;
	struct server_queue *next;

	DL_FOREACH_SAFE (queues->waiting, queue, next) {
		struct registry_server *server = queue->server;

		slot_queue_expire(&queue->items, on_drop, queues);
		go_on(queues, server);
		review(queues, server);
	}
	if (queues->waiting)
		queues->ops->wake(queues->arg, now_of(queues) + TICK);
}

void server_queue_tick(struct server_queues *queues)
{
	look_through(queues);
	while (queues->ended) {
		struct server_job *turn = queues->ended;
		const struct exchange_result result = {
			.code = turn->code,
			.not_run = true,
			.stamp = STR(""),
			.waited = now_of(queues) - turn->queued_at,
		};

		DL_DELETE(queues->ended, turn);
		report(turn, &result);
	}
}
