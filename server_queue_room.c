/* How much of a server is this instance's, and how long one more would wait. */
#include "server_queue_private.h"

#include <limits.h>

/* To a server elsewhere, asked directly, are under way at least so many. */
#define FAR_LEAST 2
/* A server that refuses more than this share has others' work in it. */
#define REFUSALS_MOST 0.1
/* Weight of the newest answer in what the requests of a level cost. */
#define COST_WEIGHT 0.02
#define COST_LEAST 0.1
#define COST_MOST 10.0

/* What keeps this instance's share of the slots busy. */
int server_queue_limit(const struct server_queues *queues,
		       const struct registry_server *server)
{
	int64_t share = server->entry.slots / queues->senders;

	if (share < 1)
		share = 1;
	if (share > SERVER_QUEUE_MAX)
		share = SERVER_QUEUE_MAX;
	if (server->remote)
		return share > FAR_LEAST ? (int)share : FAR_LEAST;
	/* One more, so that a slot does not wait for the way. */
	return (int)share + (server->score.refusals <= REFUSALS_MOST);
}

bool server_queue_has_capacity(const struct server_queues *queues,
			       const struct registry_server *server)
{
	return queues->ops->under_way(queues->arg, server) <
	       server_queue_limit(queues, server);
}

double server_queue_processing_time(const struct server_queues *queues,
				    const struct registry_server *server)
{
	return server_estimate_processing_time(&server->outlook,
					       server->service->latency,
					       clock_now(queues->clock));
}

/*
 * Until the next of those under way ends. With n of them, one ends every n-th
 * of the time that each takes, whoever else uses the slots.
 *
 * Return: 0 if one more may be sent at once.
 */
static double until_next(const struct server_queues *queues,
			 const struct registry_server *server)
{
	if (!server->queue && server_queue_has_capacity(queues, server))
		return 0;
	return server_queue_processing_time(queues, server) /
	       server_queue_limit(queues, server);
}

static int64_t ahead_of(const struct registry_server *server, int priority,
			double next)
{
	double n = 1;

	if (server->queue)
		n += slot_queue_cost_before(&server->queue->items, priority);
	return (int64_t)(n * next);
}

int64_t server_queue_wait(const struct server_queues *queues,
			  const struct registry_server *server, int priority)
{
	return ahead_of(server, priority, until_next(queues, server));
}

void server_queue_update_estimate(const struct server_queues *queues,
				  struct registry_server *server)
{
	int64_t now = clock_now(queues->clock);
	double next;
	int level;

	if (!queues->enabled)
		return;
	next = until_next(queues, server);
	for (level = 0; level < ESTIMATE_LEVELS; level++) {
		int priority = level < ESTIMATE_LEVELS - 1 ? level : INT_MAX;

		server_estimate_set_wait(&server->outlook, level,
					 ahead_of(server, priority, next), now);
	}
}

double server_queue_cost(const struct server_queues *queues, int64_t priority)
{
	double cost = queues->costs[server_estimate_level(priority)];

	return cost > 0 ? cost : 1;
}

/* Behind others, it would show the time of these as well. */
void server_queue_learn_cost(const struct server_job *turn, int64_t took)
{
	int level = server_estimate_level(turn->item.priority);
	double *cost = &turn->queues->costs[level];
	double sample;

	if (turn->pace <= 0)
		return;
	sample = (double)took / turn->pace;
	if (sample < COST_LEAST)
		sample = COST_LEAST;
	if (sample > COST_MOST)
		sample = COST_MOST;
	if (*cost > 0)
		*cost += (sample - *cost) * COST_WEIGHT;
	else
		*cost = sample;
}
