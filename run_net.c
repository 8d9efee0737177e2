#define LOG_MODULE "run_net"
#include "run_net.h"

#include <stdlib.h>
#include <string.h>

#include <event2/util.h>
#include <utlist.h>

#include "catalog.h"
#include "log.h"
#include "mem.h"
#include "request.h"
#include "stop_log.h"

#define LEAVING_RETRY_MS 50
/* Deadline for a service that was removed from the table. */
#define DEADLINE_DEFAULT_MS 1000

/* A request that another instance forwarded, as this one issued its ticket. */
struct run_forwarded {
	struct run_waiter waiter;
	struct run_net *net;
	struct peer_link *link;
	uint64_t id;
	char request_id[REQUEST_ID_SIZE];
	char service[REQUEST_NAME_SIZE];
	struct run_forwarded *prev;
	struct run_forwarded *next;
};

static uint64_t random_u64(void)
{
	uint64_t n;

	evutil_secure_rng_get_bytes(&n, sizeof(n));
	return n;
}

static struct str str_from_binary(const ProtobufCBinaryData *data)
{
	return (struct str){(const char *)data->data, data->len};
}

/* Choice of a server. */

static bool was_tried(const struct catalog_server *server,
		      const struct str *tried, int n_tried)
{
	int i;

	for (i = 0; i < n_tried; i++) {
		if (str_eq_text(tried[i], server->name))
			return true;
	}
	return false;
}

/* Chooses the usable home with the lowest fraction of slots in use. */
static const struct catalog_home *
choose_home(const struct catalog_server *server)
{
	const struct catalog_home *best = NULL;
	double least = 0;
	int i;

	for (i = 0; i < server->n_homes; i++) {
		const struct catalog_home *home = &server->homes[i];
		double load =
			home->slots ? (double)home->in_flight / home->slots : 0;

		if (!catalog_home_usable(home) || (best && load >= least))
			continue;
		best = home;
		least = load;
	}
	return best;
}

static int find_shard(const struct catalog_map *map, uint16_t point)
{
	int lo = 0;
	int hi = map->n_shards - 1;

	while (lo < hi) {
		int middle = (lo + hi) / 2;

		if (map->shards[middle].hi < point)
			lo = middle + 1;
		else
			hi = middle;
	}
	return map->n_shards ? lo : ERR_NO_REPLICA;
}

/*
 * Chooses an untried server of the shard at random by the weights of the table.
 * Servers without weight are used only if no other is available.
 */
static const struct catalog_server *
choose_server(const struct catalog_placement *placement, int shard,
	      const struct str *tried, int n_tried)
{
	const struct catalog_server *chosen = NULL;
	uint64_t sum = 0;
	int i;

	for (i = placement->first[shard]; i < placement->first[shard + 1];
	     i++) {
		const struct catalog_server *server = placement->servers[i];

		if (was_tried(server, tried, n_tried) || !choose_home(server))
			continue;
		if (!chosen)
			chosen = server;
		if (server->weight <= 0)
			continue;
		sum += (uint64_t)server->weight;
		if (random_u64() % sum < (uint64_t)server->weight)
			chosen = server;
	}
	return chosen;
}

static int pick_target(void *ctx, struct str service, uint16_t point,
		       const struct str *tried, int n_tried,
		       struct run_target *target)
{
	struct run_net *net = ctx;
	const struct catalog_placement *placement =
		catalog_best_placement(&net->board->catalog, service);
	const struct catalog_server *server;
	int shard;

	if (!placement)
		return ERR_NO_SNAPSHOT;
	shard = find_shard(placement->map, point);
	if (shard < 0)
		return shard;
	server = choose_server(placement, shard, tried, n_tried);
	if (!server)
		return ERR_NO_REPLICA;
	target->server = str_from(server->name);
	target->home = str_from(choose_home(server)->instance->name);
	return 0;
}

/* Outgoing frames. */

static char *dup_str(struct str s)
{
	return mem_dup_len(s.data, s.len);
}

static int send_run(struct run_net *net, struct str instance, uint64_t id,
		    struct str server, const struct run_message *message)
{
	struct peer_link *link = peers_find(net->peers, instance);
	Peer__Run run = PEER__RUN__INIT;
	int ret;

	if (!link)
		return ERR_UNAVAILABLE;
	run.id = id;
	run.ticket = dup_str(message->ticket);
	run.request_id = dup_str(message->request_id);
	run.service = dup_str(message->service);
	run.key = dup_str(message->key);
	run.server = dup_str(server);
	run.payload.data = (uint8_t *)message->payload.data;
	run.payload.len = message->payload.len;
	run.deadline_ms = message->deadline_ms;
	ret = peer_send(link, FRAME_RUN, &run.base);
	free(run.ticket);
	free(run.request_id);
	free(run.service);
	free(run.key);
	free(run.server);
	return ret;
}

static int forward(void *ctx, uint64_t id, struct str issuer,
		   const struct run_message *message)
{
	return send_run(ctx, issuer, id, STR(""), message);
}

static int send_to_home(void *ctx, uint64_t id, const struct run_target *target,
			const struct run_message *message)
{
	return send_run(ctx, target->home, id, target->server, message);
}

static const struct run_ops ops = {
	.pick = pick_target,
	.forward = forward,
	.send = send_to_home,
};

/* Timer. */

static void on_timer(void *arg)
{
	struct run_net *net = arg;

	ticket_expire(&net->tickets);
	wake_timer_arm(&net->timer, run_tick(&net->runs));
}

/* Incoming frames. */

static void end_forwarded(struct run_forwarded *forwarded)
{
	struct run_net *net = forwarded->net;

	metric_add(&net->board->counters.runs_open, -1);
	DL_DELETE(net->forwarded, forwarded);
	free(forwarded);
}

static void log_end_by_stop(const struct run_forwarded *forwarded, int code)
{
	struct run_net *net = forwarded->net;
	struct stop_log_run run = {
		.waiter = &forwarded->waiter,
		.request_id = str_from(forwarded->request_id),
		.service = str_from(forwarded->service),
		.peer = str_from(forwarded->link->instance),
	};

	if (net->board->lifecycle == LIFECYCLE_STOPPED)
		stop_log_run_cut(net->board, &run);
	else if (run_ended_by_stop(&net->runs, &forwarded->waiter, code))
		stop_log_run_ended(net->board, &run, code);
}

static void on_forwarded_answer(struct run_waiter *waiter,
				const struct ticket_answer *answer)
{
	struct run_forwarded *forwarded = (struct run_forwarded *)waiter;
	Peer__RunResult result = PEER__RUN_RESULT__INIT;

	result.id = forwarded->id;
	result.code = answer->code;
	result.body.data = (uint8_t *)answer->body.data;
	result.body.len = answer->body.len;
	result.retry_after_ms = answer->retry_after_ms;
	log_end_by_stop(forwarded, answer->code);
	peer_send(forwarded->link, FRAME_RUN_RESULT, &result.base);
	end_forwarded(forwarded);
}

/* Subtracts the time by which this process read the message late. */
static uint32_t time_left(const struct run_net *net, uint32_t deadline_ms)
{
	int64_t left = MSEC(deadline_ms) - blackboard_stall(net->board);

	return left > 0 ? (uint32_t)(left / USEC_PER_MSEC) : 0;
}

static void handle_run(struct run_net *net, struct peer_link *link,
		       const Peer__Run *run)
{
	struct run_forwarded *forwarded = mem_zalloc(sizeof(*forwarded));
	struct run_message message = {
		.ticket = str_from(run->ticket),
		.request_id = str_from(run->request_id),
		.service = str_from(run->service),
		.key = str_from(run->key),
		.payload = str_from_binary(&run->payload),
		.deadline_ms = time_left(net, run->deadline_ms),
	};

	forwarded->waiter.answered = on_forwarded_answer;
	forwarded->net = net;
	forwarded->link = link;
	forwarded->id = run->id;
	str_copy(forwarded->request_id, sizeof(forwarded->request_id),
		 str_from(run->request_id));
	str_copy(forwarded->service, sizeof(forwarded->service),
		 str_from(run->service));
	DL_APPEND(net->forwarded, forwarded);
	metric_add(&net->board->counters.runs_open, 1);
	run_accept_forwarded(&net->runs, &message, &forwarded->waiter);
	wake_timer_arm(&net->timer, run_tick(&net->runs));
}

static void handle_result(struct run_net *net, struct peer_link *link,
			  const Peer__RunResult *result)
{
	struct ticket_answer answer = {
		.code = result->code,
		.body = str_from_binary(&result->body),
		.retry_after_ms = result->retry_after_ms,
	};

	run_handle_result(&net->runs, result->id, str_from(link->instance),
			  &answer);
	wake_timer_arm(&net->timer, run_tick(&net->runs));
}

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	const Peer__Run *run = (const Peer__Run *)frame->message;
	struct run_net *net = arg;

	if (frame->type == FRAME_RUN_RESULT && link->outgoing)
		handle_result(net, link,
			      (const Peer__RunResult *)frame->message);
	/* A frame that names a server is for the home, see home_net.c. */
	else if (frame->type == FRAME_RUN && run && !*run->server)
		handle_run(net, link, run);
}

static void on_link_down(void *arg, struct peer_link *link)
{
	struct run_forwarded *forwarded;
	struct run_forwarded *next;
	struct run_net *net = arg;

	if (link->outgoing) {
		run_peer_lost(&net->runs, str_from(link->instance));
		return;
	}
	DL_FOREACH_SAFE (net->forwarded, forwarded, next) {
		if (forwarded->link != link)
			continue;
		run_abandon(&forwarded->waiter);
		end_forwarded(forwarded);
	}
}

static void on_table(void *arg)
{
	struct run_net *net = arg;
	const struct tunables *tunables = blackboard_tunables(net->board);
	struct ticket_limits limits = {
		.lifetime = MSEC(tunables->ticket_lifetime_ms),
		.tickets_max = tunables->ticket_max,
		.bytes_max = tunables->ticket_bytes_max,
		.answer_reserve = tunables->ticket_answer_bytes,
	};

	ticket_store_set_limits(&net->tickets, &limits);
	net->runs.calls_max = (int)tunables->run_max;
}

/* After answer_by, at which homes report what they end: these know more. */
static int64_t last_answer(const struct stop_plan *stop)
{
	return stop->answer_by + (stop->exit_at - stop->answer_by) / 2;
}

static void on_lifecycle(void *arg)
{
	struct run_net *net = arg;
	const struct blackboard *board = net->board;

	if (!stop_plan_is_stopping(&board->stop))
		return;
	run_stop(&net->runs, blackboard_start_by(board),
		 last_answer(&board->stop));
	wake_timer_arm(&net->timer, run_tick(&net->runs));
}

void run_net_init(struct run_net *net, struct blackboard *board,
		  struct peers *peers)
{
	memset(net, 0, sizeof(*net));
	net->board = board;
	net->peers = peers;
	ticket_store_init(&net->tickets, board->clock,
			  str_from(board->settings->instance),
			  board->incarnation, random_u64);
	run_tracker_init(&net->runs, board->clock, &net->tickets, &ops, net);
	on_table(net);
	wake_timer_init(&net->timer, board->base, board->clock, on_timer, net);
	net->handler.frame = on_frame;
	net->handler.down = on_link_down;
	net->handler.types = 1u << FRAME_RUN | 1u << FRAME_RUN_RESULT;
	net->handler.arg = net;
	peers_add_handler(peers, &net->handler);
	blackboard_watch(board, BLACKBOARD_TABLE, &net->table_watch, on_table,
			 net);
	blackboard_watch(board, BLACKBOARD_LIFECYCLE, &net->lifecycle_watch,
			 on_lifecycle, net);
}

void run_net_finish(struct run_net *net)
{
	run_tracker_finish(&net->runs);
	ticket_store_finish(&net->tickets);
	wake_timer_finish(&net->timer);
}

static const struct service *find_service(const struct run_net *net,
					  struct str name)
{
	const struct table *table = net->board->table;
	int row = table ? table_find_service(table, name) : ERR_NO_SERVICE;

	return row < 0 ? NULL : &table->services[row];
}

int run_net_issue(struct run_net *net, struct str service, char *text,
		  uint32_t *retry_after_ms)
{
	int ret;

	*retry_after_ms = 0;
	if (!find_service(net, service))
		return net->board->table ? ERR_NO_SERVICE : ERR_NOT_RUN;
	/*
	 * A ticket is invalid once its issuer is gone, so another instance has
	 * to issue it.
	 */
	if (net->board->lifecycle >= LIFECYCLE_LEAVING) {
		*retry_after_ms = LEAVING_RETRY_MS;
		return ERR_LEAVING;
	}
	ret = ticket_issue(&net->tickets, service, text, retry_after_ms);
	metric_inc(ret ? &net->board->counters.tickets_refused
		       : &net->board->counters.tickets);
	return ret;
}

void run_net_run(struct run_net *net, struct run_message *message,
		 struct run_waiter *waiter)
{
	const struct service *service = find_service(net, message->service);
	int64_t max_ms = service ? service->deadline_ms : DEADLINE_DEFAULT_MS;

	if (!message->deadline_ms || message->deadline_ms > max_ms)
		message->deadline_ms = (uint32_t)max_ms;
	run_accept(&net->runs, message, waiter);
	wake_timer_arm(&net->timer, run_tick(&net->runs));
}
