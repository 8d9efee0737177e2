#include "server_queue_net.h"

#include "error.h"

static enum run_end run_end_of(const struct exchange_result *result)
{
	/* A failure of the server does not show that the request runs well. */
	if (!result->code)
		return result->message->parser.status_code <
				       HTTP_STATUS_INTERNAL_SERVER_ERROR
			       ? RUN_ANSWERED
			       : RUN_HARMLESS;
	if (result->not_run || result->code == ERR_CANCELLED)
		return RUN_HARMLESS;
	return result->code == ERR_LOST ? RUN_LOST : RUN_GIVEN_UP;
}

static void on_run_ended(void *arg, const struct exchange_result *result)
{
	watched_run_end(arg, run_end_of(result));
}

static void on_result(void *arg, const struct exchange_result *result)
{
	server_job_done(arg, result);
}

/* Queued requests are not watched: they can't crash the server. */
static int send_job(void *arg, struct server_job *job)
{
	struct server_queue_net *net = arg;
	struct watched_run *run;
	struct exchange *exchange;
	int ret;

	ret = crash_watch_begin(&net->watch, job->server, job->request,
				job->deadline, &run);
	if (ret)
		return ret;
	ret = upstream_send(net->upstream, job->server, job->request,
			    job->deadline, job->connections_max, on_result, job,
			    &exchange);
	if (ret) {
		watched_run_end(run, RUN_HARMLESS);
		return ret;
	}
	exchange_on_end(exchange, on_run_ended, run);
	job->handle = exchange;
	return 0;
}

/* A trial goes on without its caller: otherwise another one would be needed. */
static int64_t linger_of(const struct server_queue_net *net,
			 const struct server_job *job, int64_t linger)
{
	int64_t left = job->deadline - clock_now(net->upstream->clock);

	if (job->request->trial != POISON_ON_TRIAL || left <= linger)
		return linger;
	return left;
}

static void abandon(void *arg, struct server_job *job, int64_t linger,
		    struct delivery *delivery)
{
	struct server_queue_net *net = arg;

	exchange_abandon(job->handle, linger_of(net, job, linger), delivery);
}

static void hurry(void *arg, struct server_job *job, int64_t linger)
{
	struct server_queue_net *net = arg;

	exchange_set_timeout(job->handle, linger_of(net, job, linger));
}

static int under_way(void *arg, const struct registry_server *server)
{
	(void)arg;
	return upstream_in_flight(server);
}

static void wake(void *arg, int64_t at)
{
	struct server_queue_net *net = arg;

	wake_timer_arm(&net->timer, at);
}

static const struct server_queue_ops ops = {
	.send = send_job,
	.abandon = abandon,
	.hurry = hurry,
	.under_way = under_way,
	.wake = wake,
};

/* The observer is told of the result. */
static int probe(void *arg, struct registry_server *server)
{
	struct server_queue_net *net = arg;

	return upstream_check(net->upstream, server, true, NULL, NULL);
}

static void wake_watch(void *arg, int64_t at)
{
	struct server_queue_net *net = arg;

	wake_timer_arm(&net->watch_timer, at);
}

static const struct crash_watch_ops watch_ops = {
	.probe = probe,
	.wake = wake_watch,
};

static void on_watch_timer(void *arg)
{
	struct server_queue_net *net = arg;

	crash_watch_tick(&net->watch);
}

static void on_answered(void *arg, struct registry_server *server,
			int64_t sent_at)
{
	struct server_queue_net *net = arg;

	crash_watch_answered(&net->watch, server, sent_at);
}

static void on_connected(void *arg, struct registry_server *server,
			 enum crash_evidence evidence)
{
	struct server_queue_net *net = arg;

	crash_watch_connected(&net->watch, server, evidence);
}

static void on_broke(void *arg, struct registry_server *server)
{
	struct server_queue_net *net = arg;

	crash_watch_broke(&net->watch, server);
}

void server_queue_net_server_gone(struct server_queue_net *net,
				  struct registry_server *server)
{
	crash_watch_gone(&net->watch, server);
}

static void on_replaced(void *arg, struct registry_server *server)
{
	server_queue_net_server_gone(arg, server);
}

static const struct upstream_observer observer = {
	.answered = on_answered,
	.connected = on_connected,
	.broke = on_broke,
	.replaced = on_replaced,
};

static void on_freed(void *arg, struct registry_server *server)
{
	struct server_queue_net *net = arg;

	server_queue_capacity_freed(&net->queues, server);
}

static void on_timer(void *arg)
{
	struct server_queue_net *net = arg;

	server_queue_tick(&net->queues);
}

void server_queue_net_init(struct server_queue_net *net,
			   struct event_base *base, struct upstream *upstream,
			   struct poison *poison, struct gateway_stats *stats)
{
	net->upstream = upstream;
	crash_watch_init(&net->watch, upstream->clock, poison, &watch_ops, net);
	server_queues_init(&net->queues, upstream->clock, &ops, net, stats);
	wake_timer_init(&net->timer, base, upstream->clock, on_timer, net);
	wake_timer_init(&net->watch_timer, base, upstream->clock,
			on_watch_timer, net);
	upstream->observer = &observer;
	upstream->observer_arg = net;
	upstream->on_released = on_freed;
	upstream->on_released_arg = net;
}

void server_queue_net_finish(struct server_queue_net *net)
{
	net->upstream->on_released = NULL;
	net->upstream->observer = NULL;
	crash_watch_finish(&net->watch);
	wake_timer_finish(&net->timer);
	wake_timer_finish(&net->watch_timer);
}
