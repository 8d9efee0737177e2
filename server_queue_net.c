#include "server_queue_net.h"

#include "crash_watch.h"
#include "error.h"

static void on_result(void *arg, const struct exchange_result *result)
{
	struct server_job *job = arg;

	crash_watch_end(job->watch, result->code == ERR_LOST);
	server_job_done(job, result);
}

/* Queued requests are not watched: they can't crash the server. */
static int send_job(void *arg, struct server_job *job)
{
	struct server_queue_net *net = arg;
	struct exchange *exchange;
	int ret;

	job->watch = crash_watch_new(net->poison, net->upstream, job->server,
				     job->request->fingerprint);
	if (!job->watch)
		return ERR_BANNED;
	ret = upstream_send(net->upstream, job->server, job->request,
			    job->deadline, job->connections_max, on_result, job,
			    &exchange);
	if (ret)
		crash_watch_end(job->watch, false);
	else
		job->handle = exchange;
	return ret;
}

static void abandon(void *arg, struct server_job *job, int64_t linger,
		    struct delivery *delivery)
{
	struct server_queue_net *net = arg;

	metric_inc(&net->queues.stats->runs_unwatched);
	crash_watch_end(job->watch, false);
	exchange_abandon(job->handle, linger, delivery);
}

static void hurry(void *arg, struct server_job *job, int64_t linger)
{
	(void)arg;
	exchange_set_timeout(job->handle, linger);
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
	net->poison = poison;
	server_queues_init(&net->queues, upstream->clock, &ops, net, stats);
	wake_timer_init(&net->timer, base, upstream->clock, on_timer, net);
	upstream->on_released = on_freed;
	upstream->on_released_arg = net;
}

void server_queue_net_finish(struct server_queue_net *net)
{
	net->upstream->on_released = NULL;
	wake_timer_finish(&net->timer);
}
