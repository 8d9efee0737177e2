#include "home_net.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>

#include "mem.h"
#include "run.h"
#include "server_link.h"
#include "share.h"

static struct server_link *link_of(const struct home_server *server)
{
	return server->transport;
}

static void on_catalog(void *arg)
{
	struct home_net *net = arg;
	struct home_server *server;
	struct home_server *next;

	HASH_ITER (hh, net->home.servers, server, next)
		server_link_follow_version_switch(link_of(server));
}

/* Running jobs. */

/* Jobs started since may become late or silent before the timer is due. */
static void arm_tick_earlier(struct home_net *net)
{
	wake_timer_arm(&net->tick_timer, net->home.wake_at);
}

static void tick_and_rearm(struct home_net *net)
{
	home_tick(&net->home);
	wake_timer_move(&net->tick_timer, net->home.wake_at);
}

static void on_tick_timer(void *arg)
{
	tick_and_rearm(arg);
}

/* Return: whether the job is kept to be reported later as lost. */
static bool delay_lost_job(struct home_job *job, int code, bool sent)
{
	if (code != ERR_LOST || !sent || !job->query->message->fingerprint)
		return false;
	job->handle = NULL;
	lost_jobs_add(&link_of(job->server)->lost, job);
	return true;
}

static void on_search_answer(void *arg, const struct server_reply *reply)
{
	struct home_job *job = arg;
	struct server_link *link = link_of(job->server);
	struct str answer = {NULL, 0};
	int code = reply->code;

	if (delay_lost_job(job, code, reply->sent))
		return;
	/* Validated by the entry, which knows what it requested. */
	if (!code && reply->body) {
		answer.data = (char *)evbuffer_pullup(reply->body, -1);
		answer.len = evbuffer_get_length(reply->body);
	}
	if (!code && !answer.len)
		code = ERR_PROTOCOL;
	/* Entries need the server's new state for their next queries. */
	if (code == ERR_WRONG_VERSION || code == ERR_DRAINING)
		server_link_request_holdings(link);
	home_job_done(job->query->home, job, code, reply->sent,
		      reply->retry_after_ms, answer);
}

static void pack_search(const struct home_job *job,
			Backend__SearchRequest *request, int64_t now)
{
	const Peer__Query *query = job->query->message;
	int64_t left = job->query->deadline_at - now;

	backend__search_request__init(request);
	request->request_id = query->request_id;
	request->service = query->service;
	request->version = query->version;
	request->mode = query->mode;
	request->where = query->where;
	request->limit = query->limit;
	request->deadline_ms = left > 0 ? (uint32_t)(left / USEC_PER_MSEC) : 0;
	request->priority = query->priority;
}

static int post_search(struct home_net *net, struct home_job *job)
{
	struct server_link *link = link_of(job->server);
	Backend__SearchRequest request;
	Backend__KeyRange **ranges =
		mem_zalloc(job->n_ranges * sizeof(*ranges));
	size_t i;
	int ret;

	pack_search(job, &request, clock_now(net->board->clock));
	for (i = 0; i < job->n_ranges; i++)
		ranges[i] = &job->ranges[i];
	request.n_shards = job->n_ranges;
	request.shards = ranges;
	ret = server_pool_post(&link->pool, "/v1/search", &request.base,
			       on_search_answer, job, &job->handle);
	free(ranges);
	return ret;
}

/* Running non-repeatable requests. */

static int unpack_run_answer(const struct home_job *job, struct evbuffer *body,
			     Backend__RunAnswer **out)
{
	size_t len = evbuffer_get_length(body);
	Backend__RunAnswer *answer =
		backend__run_answer__unpack(NULL, len,
					    evbuffer_pullup(body, -1));

	if (!answer)
		return ERR_PROTOCOL;
	if (strcmp(answer->request_id, job->query->run->request_id)) {
		backend__run_answer__free_unpacked(answer, NULL);
		return ERR_FOREIGN;
	}
	*out = answer;
	return 0;
}

static void on_run_answer(void *arg, const struct server_reply *reply)
{
	struct home_job *job = arg;
	struct server_link *link = link_of(job->server);
	Backend__RunAnswer *answer = NULL;
	struct str body = {NULL, 0};
	int code = run_reply_error(reply->status, reply->code, reply->sent);

	if (delay_lost_job(job, code, reply->sent))
		return;
	if (!code && reply->body)
		code = unpack_run_answer(job, reply->body, &answer);
	else if (!code)
		code = ERR_PROTOCOL;
	if (answer)
		body = (struct str){(char *)answer->body.data,
				    answer->body.len};
	if (code == ERR_NOT_HELD || code == ERR_WRONG_VERSION)
		server_link_request_holdings(link);
	home_job_done(job->query->home, job, code, reply->sent,
		      reply->retry_after_ms, body);
	if (answer)
		backend__run_answer__free_unpacked(answer, NULL);
}

static int post_run(struct home_net *net, struct home_job *job)
{
	const Peer__Run *run = job->query->run;
	int64_t left = job->query->deadline_at - clock_now(net->board->clock);
	Backend__RunRequest request = BACKEND__RUN_REQUEST__INIT;

	request.request_id = run->request_id;
	request.service = run->service;
	request.ticket = run->ticket;
	request.key = run->key;
	request.payload = run->payload;
	request.deadline_ms = left > 0 ? (uint32_t)(left / USEC_PER_MSEC) : 0;
	return server_pool_post(&link_of(job->server)->pool, "/v1/run",
				&request.base, on_run_answer, job,
				&job->handle);
}

static void fail_job(struct home_job *job, int code)
{
	struct server_reply reply = {.code = code};

	if (job->query->run)
		on_run_answer(job, &reply);
	else
		on_search_answer(job, &reply);
}

struct failed_job {
	struct home_job *job;
	int code;
};

static void on_failed_job(evutil_socket_t fd, short what, void *arg)
{
	struct failed_job *failed = arg;

	(void)fd;
	(void)what;
	fail_job(failed->job, failed->code);
	free(failed);
}

/* struct home_ops.start must not call home_job_done() itself. */
static void fail_job_later(struct home_net *net, struct home_job *job, int code)
{
	static const struct timeval at_once = {0, 0};
	struct failed_job *failed = mem_zalloc(sizeof(*failed));

	failed->job = job;
	failed->code = code;
	event_base_once(net->board->base, -1, EV_TIMEOUT, on_failed_job, failed,
			&at_once);
}

static void start_job(void *arg, struct home_job *job)
{
	struct home_net *net = arg;
	int ret = job->query->run ? post_run(net, job) : post_search(net, job);

	if (ret)
		fail_job_later(net, job, ret);
}

static void close_silent_job(void *arg, struct home_job *job)
{
	(void)arg;
	if (job->handle)
		server_pool_close_stalled(&link_of(job->server)->pool,
					  job->handle);
}

static void cancel_job(void *arg, struct home_job *job)
{
	(void)arg;
	if (!job->handle)
		return;
	/* The server isn't asked to stop a non-repeatable request halfway. */
	server_pool_abandon(&link_of(job->server)->pool, job->handle,
			    job->query->run ? NULL
					    : job->query->message->request_id);
}

static void reply_to_entry(void *arg, void *link,
			   const Peer__QueryResult *result)
{
	(void)arg;
	peer_send(link, FRAME_QUERY_RESULT, &result->base);
}

static void reply_run(void *arg, void *link, const Peer__RunResult *result)
{
	(void)arg;
	peer_send(link, FRAME_RUN_RESULT, &result->base);
}

static void want_flush(void *arg)
{
	struct home_net *net = arg;

	event_active(net->flush_event, EV_TIMEOUT, 1);
}

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct home_net *net = arg;

	(void)fd;
	(void)what;
	home_flush(&net->home);
	arm_tick_earlier(net);
}

static const struct home_ops ops = {
	.start = start_job,
	.cancel = cancel_job,
	.close_silent = close_silent_job,
	.reply = reply_to_entry,
	.reply_run = reply_run,
	.want_flush = want_flush,
};

/* Frames from entries. */

static void send_map(struct home_net *net, struct peer_link *link,
		     const Peer__MapRequest *wanted)
{
	struct home_server *server;
	struct home_server *next;
	size_t i;

	HASH_ITER (hh, net->home.servers, server, next) {
		const Backend__Holdings *holdings = link_of(server)->holdings;

		if (!holdings || strcmp(server->service, wanted->service))
			continue;
		for (i = 0; i < holdings->n_snapshots; i++) {
			const Backend__Snapshot *s = holdings->snapshots[i];
			Peer__Map map = PEER__MAP__INIT;

			if (s->version != wanted->version ||
			    link_of(server)->digests[i] != wanted->digest)
				continue;
			map.service = wanted->service;
			map.version = s->version;
			map.digest = wanted->digest;
			map.n_shards = s->n_map;
			map.shards = s->map;
			peer_send(link, FRAME_MAP, &map.base);
			return;
		}
	}
}

/* A request without a server is for the ticket's issuer, see run_net. */
static void handle_run(struct home_net *net, struct peer_link *link,
		       struct frame *frame)
{
	Peer__Run *run = (Peer__Run *)frame->message;

	if (!*run->server)
		return;
	frame->message = NULL;
	home_run(&net->home, link, run);
	tick_and_rearm(net);
}

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	struct home_net *net = arg;

	switch (frame->type) {
	case FRAME_QUERY:
		home_query(&net->home, link, (Peer__Query *)frame->message);
		frame->message = NULL;
		tick_and_rearm(net);
		break;
	case FRAME_RUN:
		handle_run(net, link, frame);
		break;
	case FRAME_CANCEL:
		home_cancel(&net->home, link, (Peer__Cancel *)frame->message);
		break;
	case FRAME_MAP_REQUEST:
		send_map(net, link, (Peer__MapRequest *)frame->message);
		break;
	default:
		break;
	}
}

static void on_link_up(void *arg, struct peer_link *link)
{
	struct home_net *net = arg;
	struct home_server *server;
	struct home_server *next;

	if (link->outgoing)
		return;
	HASH_ITER (hh, net->home.servers, server, next)
		server_link_send_state(link_of(server), link);
}

static void on_link_down(void *arg, struct peer_link *link)
{
	struct home_net *net = arg;

	if (!link->outgoing)
		home_link_lost(&net->home, link);
}

/* Following the table and the shares. */

/*
 * Without a lease nothing may be sent. Open connections are kept for when the
 * lease is renewed.
 */
static void read_share(const struct home_net *net, int row,
		       const struct home_server *server, uint32_t *slots,
		       uint32_t *connections)
{
	struct share *share = net->board->share;

	*slots = 0;
	*connections = 0;
	if (!share)
		return;
	*slots = (uint32_t)share_slots(share, row);
	*connections = (uint32_t)share_connections(share, row);
	if (server && !share_lease_valid(share))
		*connections = server->connections;
}

static struct home_server *find_or_add_server(struct home_net *net,
					      const struct backend_server *row,
					      uint32_t connections)
{
	struct home_server *server =
		home_find_or_add_server(&net->home, str_from(row->name));
	struct server_link *link;

	if (server->transport)
		return server;
	server->address = row->address;
	str_copy(server->service, sizeof(server->service),
		 str_from(row->service));
	link = mem_zalloc(sizeof(*link));
	server_link_init(link, &net->home, server, net->peers, connections);
	server->transport = link;
	return server;
}

static void sync_row(struct home_net *net, int index)
{
	const struct backend_server *row = &net->board->table->servers[index];
	struct home_server *server =
		home_find_server(&net->home, str_from(row->name));
	struct server_link *link;
	uint32_t slots;
	uint32_t connections;

	/* It still runs jobs at its old address, see drop_server(). */
	if (server && !server->in_table)
		return;
	read_share(net, index, server, &slots, &connections);
	if (!slots && !server)
		return;
	server = find_or_add_server(net, row, connections);
	server->in_table = true;
	link = link_of(server);
	link->row = index;
	if (server->slots == slots && server->connections == connections)
		return;
	home_set_share(&net->home, server, slots, connections);
	server_pool_set_max(&link->pool, connections);
	server_link_push_state(link);
	server_link_request_holdings(link);
}

static void drop_server(struct home_net *net, struct home_server *server)
{
	struct server_link *link = link_of(server);

	if (server->slots) {
		home_set_share(&net->home, server, 0, 0);
		server_link_push_state(link);
	}
	/* Removed by a later sync_servers(), once its jobs have ended. */
	home_flush(&net->home);
	if (server->in_flight) {
		net->has_removed_servers = true;
		return;
	}
	server_link_finish(link);
	free(link);
	home_remove_server(&net->home, server);
}

static bool has_changed(const struct home_server *server,
			const struct backend_server *row)
{
	return strcmp(server->service, row->service) ||
	       !address_eq(&server->address, &row->address);
}

static void sync_servers(void *arg)
{
	struct home_net *net = arg;
	const struct table *table = net->board->table;
	struct home_server *server;
	struct home_server *next;
	int i;

	if (!table)
		return;
	net->has_removed_servers = false;
	HASH_ITER (hh, net->home.servers, server, next) {
		int row = table_find_server(table, str_from(server->name));

		server->in_table =
			row >= 0 && !has_changed(server, &table->servers[row]);
		link_of(server)->row = -1;
		if (!server->in_table)
			drop_server(net, server);
	}
	for (i = 0; i < table->n_servers; i++)
		sync_row(net, i);
}

static void report_usage(void *arg)
{
	struct home_net *net = arg;
	struct home_server *server;
	struct home_server *next;

	HASH_ITER (hh, net->home.servers, server, next) {
		const struct server_link *link = link_of(server);

		if (link->row >= 0)
			share_report_usage(net->board->share, link->row,
					   (int)server->in_flight,
					   (int)link->pool.n_conns);
	}
}

static void on_poll(evutil_socket_t fd, short what, void *arg)
{
	struct home_net *net = arg;
	int64_t period = blackboard_tunables(net->board)->holdings_poll_ms;
	struct timeval tv = {period / 1000, (period % 1000) * 1000};
	struct home_server *server;
	struct home_server *next;

	(void)fd;
	(void)what;
	if (net->has_removed_servers)
		sync_servers(net);
	HASH_ITER (hh, net->home.servers, server, next)
		server_link_request_holdings(link_of(server));
	evtimer_add(net->poll_timer, &tv);
}

static void on_lifecycle(void *arg)
{
	struct home_net *net = arg;

	if (!stop_plan_is_stopping(&net->board->stop))
		return;
	home_stop(&net->home);
	tick_and_rearm(net);
}

void home_net_init(struct home_net *net, struct blackboard *board,
		   struct peers *peers)
{
	memset(net, 0, sizeof(*net));
	net->board = board;
	net->peers = peers;
	home_init(&net->home, board, &ops, net);
	net->flush_event = evtimer_new(board->base, on_flush, net);
	wake_timer_init(&net->tick_timer, board->base, board->clock,
			on_tick_timer, net);
	net->poll_timer = evtimer_new(board->base, on_poll, net);
	net->handler.up = on_link_up;
	net->handler.down = on_link_down;
	net->handler.frame = on_frame;
	net->handler.types = 1u << FRAME_QUERY | 1u << FRAME_RUN |
			     1u << FRAME_CANCEL | 1u << FRAME_MAP_REQUEST;
	net->handler.arg = net;
	peers_add_handler(peers, &net->handler);
	blackboard_watch(board, BLACKBOARD_TABLE, &net->table_watch,
			 sync_servers, net);
	blackboard_watch(board, BLACKBOARD_SHARES, &net->shares_watch,
			 sync_servers, net);
	blackboard_watch(board, BLACKBOARD_LIFECYCLE, &net->lifecycle_watch,
			 on_lifecycle, net);
	blackboard_watch(board, BLACKBOARD_CATALOG, &net->catalog_watch,
			 on_catalog, net);
	blackboard_watch(board, BLACKBOARD_USAGE, &net->usage_watch,
			 report_usage, net);
	on_poll(-1, 0, net);
}

void home_net_finish(struct home_net *net)
{
	struct home_server *server;
	struct home_server *next;

	HASH_ITER (hh, net->home.servers, server, next) {
		struct server_link *link = link_of(server);

		server_link_finish(link);
		free(link);
	}
	home_finish(&net->home);
	event_free(net->flush_event);
	wake_timer_finish(&net->tick_timer);
	event_free(net->poll_timer);
}
