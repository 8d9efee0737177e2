/*
 * The relay's side: sends a request to backend servers near this instance for
 * an entry in another data centre, merges what comes and tells it in few
 * messages. It decides nothing: servers, retries and hedges are the entry's.
 */
#ifndef RELAY_SERVE_H
#define RELAY_SERVE_H

#include <stdint.h>

#include <event2/util.h>

#include "blackboard.h"
#include "peer.h"
#include "registry.h"
#include "server_queue.h"

struct relay_job;

/**
 * struct relay_serve - jobs of other instances
 */
struct relay_serve {
	struct event_base *base;
	struct blackboard *board;
	struct peers *peers;
	struct registry *registry;
	struct server_queues *queues;
	struct peer_handler handler;
	struct relay_job *jobs;
};

void relay_serve_init(struct relay_serve *relay, struct blackboard *board,
		      struct peers *peers, struct registry *registry,
		      struct server_queues *queues);
void relay_serve_finish(struct relay_serve *relay);

#endif
