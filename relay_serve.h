/*
 * Serving side of relaying: sends requests to backend servers in this data
 * centre on behalf of another instance, merges the answers and returns them in
 * few messages. Servers, retries and hedges are chosen by the entry, the
 * instance that accepted the caller's request.
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
 * struct relay_serve - jobs that other instances have sent
 * @base: event loop
 * @board: clock and stalls of the event loop
 * @peers: connections between instances
 * @registry: backend servers
 * @queues: sends that wait for a backend server
 * @handler: receives jobs and cancellations
 * @jobs: list of unfinished jobs
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

/**
 * relay_serve_init() - register for jobs on the connections from peers
 * @board: outlives @relay, like the other arguments
 */
void relay_serve_init(struct relay_serve *relay, struct blackboard *board,
		      struct peers *peers, struct registry *registry,
		      struct server_queues *queues);
void relay_serve_finish(struct relay_serve *relay);

#endif
