/* Sends queued requests to backend servers, and watches for crashes. */
#ifndef SERVER_QUEUE_NET_H
#define SERVER_QUEUE_NET_H

#include "poison.h"
#include "server_queue.h"
#include "upstream.h"
#include "wake_timer.h"

struct event_base;

/**
 * struct server_queue_net - the queues of an instance
 * @queues: requests to all servers
 * @upstream: sends the requests, borrowed
 * @poison: detects requests that crash servers, borrowed
 * @timer: for server_queue_tick()
 */
struct server_queue_net {
	struct server_queues queues;
	struct upstream *upstream;
	struct poison *poison;
	struct wake_timer timer;
};

void server_queue_net_init(struct server_queue_net *net,
			   struct event_base *base, struct upstream *upstream,
			   struct poison *poison, struct gateway_stats *stats);

/**
 * server_queue_net_finish() - free; all jobs must be abandoned or done
 * @net: the queues
 */
void server_queue_net_finish(struct server_queue_net *net);

#endif
