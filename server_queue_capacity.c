/*
 * This instance's share of a server's slots, and the wait of one more request.
 */
#include "server_queue_private.h"

#include <limits.h>

/* Minimum number of requests in progress at a server in another data centre. */
#define REMOTE_MIN 2
/* Above this share of refusals, a server is also loaded by other senders. */
#define REFUSALS_MAX 0.1
/* Weight of the latest answer in the cost of a level. */
#define COST_WEIGHT 0.02
#define COST_MIN 0.1
#define COST_MAX 10.0

/* Enough to keep this instance's share of the slots busy. */
int server_queue_limit(const struct server_queues *queues,
		       const struct registry_server *server)
{
	int64_t share = server->entry.slots / queues->senders;

	if (share < 1)
		share = 1;
	if (share > SERVER_QUEUE_MAX)
		share = SERVER_QUEUE_MAX;
	if (server->remote)
		return share > REMOTE_MIN ? (int)share : REMOTE_MIN;
	/* One more, so that a slot is not idle during the network transfer. */
	return (int)share + (server->score.refusals <= REFUSALS_MAX);
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
	return server_estimate_processing_time(&server->estimate,
					       server->service->latency,
					       clock_now(queues->clock));
}

/*
 * Time until the next of the requests in progress ends. Of n requests, one ends
 * every n-th of their processing time, whoever else uses the slots.
 *
 * Return: 0 if one more may be sent at once.
 */
static double time_to_next_slot(const struct server_queues *queues,
				const struct registry_server *server)
{
	if (!server->queue && server_queue_has_capacity(queues, server))
		return 0;
	return server_queue_processing_time(queues, server) /
	       server_queue_limit(queues, server);
}

static int64_t wait_of(const struct registry_server *server, int priority,
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
	return wait_of(server, priority, time_to_next_slot(queues, server));
}

void server_queue_update_estimate(const struct server_queues *queues,
				  struct registry_server *server)
{
	int64_t now = clock_now(queues->clock);
	double next;
	int level;

	if (!queues->enabled)
		return;
	next = time_to_next_slot(queues, server);
	for (level = 0; level < ESTIMATE_LEVELS; level++) {
		int priority = level < ESTIMATE_LEVELS - 1 ? level : INT_MAX;

		server_estimate_set_wait(&server->estimate, level,
					 wait_of(server, priority, next), now);
	}
}

double server_queue_cost(const struct server_queues *queues, int64_t priority)
{
	double cost = queues->costs[server_estimate_level(priority)];

	return cost > 0 ? cost : 1;
}

/* Only measured while alone: behind others, the time would include theirs. */
void server_queue_learn_cost(const struct server_job *job, int64_t took)
{
	int level = server_estimate_level(job->item.priority);
	double *cost = &job->queues->costs[level];
	double sample;

	if (job->processing_time <= 0)
		return;
	sample = (double)took / job->processing_time;
	if (sample < COST_MIN)
		sample = COST_MIN;
	if (sample > COST_MAX)
		sample = COST_MAX;
	if (*cost > 0)
		*cost += (sample - *cost) * COST_WEIGHT;
	else
		*cost = sample;
}
