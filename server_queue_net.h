/* Sends queued requests to backend servers, and watches for crashes. */
#ifndef SERVER_QUEUE_NET_H
#define SERVER_QUEUE_NET_H

#include "crash_watch.h"
#include "server_queue.h"
#include "upstream.h"
#include "wake_timer.h"

struct event_base;

/**
 * struct server_queue_net - the queues of an instance
 * @queues: requests to all servers
 * @upstream: sends the requests, borrowed
 * @watch: detects requests that crash servers
 * @timer: for server_queue_tick()
 * @watch_timer: for crash_watch_tick()
 */
struct server_queue_net {
	struct server_queues queues;
	struct upstream *upstream;
	struct crash_watch watch;
	struct wake_timer timer;
	struct wake_timer watch_timer;
};

void server_queue_net_init(struct server_queue_net *net,
			   struct event_base *base, struct upstream *upstream,
			   struct poison *poison, struct gateway_stats *stats);

/**
 * server_queue_net_server_gone() - a server's entry is gone
 * @net: the queues
 * @server: the server
 */
void server_queue_net_server_gone(struct server_queue_net *net,
				  struct registry_server *server);

/**
 * server_queue_net_finish() - free; all jobs must be abandoned or done
 * @net: the queues
 */
void server_queue_net_finish(struct server_queue_net *net);

#endif
