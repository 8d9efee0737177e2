/*
 * Serving side of relaying: sends requests to backend servers in this data
 * centre on behalf of another instance, merges the answers and returns them in
 * few messages. Servers, retries and hedges are chosen by the entry, the
 * instance that accepted the caller's request.
 */
#ifndef RELAY_SERVE_H
#define RELAY_SERVE_H

#include <stdbool.h>
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
 * @memory: of requests that jobs hold; beyond its limit, further jobs are not
 *	run
 * @time_limit: see relay_serve_limit_time()
 * @ended: relay_serve_end_jobs() was called
 */
struct relay_serve {
	struct event_base *base;
	struct blackboard *board;
	struct peers *peers;
	struct registry *registry;
	struct server_queues *queues;
	struct peer_handler handler;
	struct relay_job *jobs;
	struct http_memory memory;
	int64_t time_limit;
	bool ended;
};

/**
 * relay_serve_init() - register for jobs on the connections from peers
 * @board: outlives @relay, like the other arguments
 */
void relay_serve_init(struct relay_serve *relay, struct blackboard *board,
		      struct peers *peers, struct registry *registry,
		      struct server_queues *queues);

/**
 * relay_serve_finish() - as relay_serve_end_jobs(), and free
 * @relay: its peers are not finished yet
 */
void relay_serve_finish(struct relay_serve *relay);

/**
 * relay_serve_is_idle() - whether no job is unfinished
 * @relay: the jobs
 */
bool relay_serve_is_idle(const struct relay_serve *relay);

/**
 * relay_serve_limit_time() - end the time of all jobs, also of new ones, by a
 * given time
 * @relay: the jobs
 * @until: microseconds
 *
 * Sends of new jobs that are expected to take longer are returned at once, as
 * not run.
 */
void relay_serve_limit_time(struct relay_serve *relay, int64_t until);

/**
 * relay_serve_end_jobs() - return all unfinished jobs to their entries, and new
 * ones as they arrive
 * @relay: the jobs
 *
 * A send that its server has not received is returned as not run, with
 * ERR_BUDGET: the entry may repeat it at once, on the same server too. Any
 * other is returned with ERR_LEAVING: its outcome is unknown, and the server is
 * not at fault. The results are on the links of the peers, see peers_flush().
 */
void relay_serve_end_jobs(struct relay_serve *relay);

#endif
