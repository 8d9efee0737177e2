/* Shared by the files that order requests before a server. */
#ifndef SERVER_QUEUE_PRIVATE_H
#define SERVER_QUEUE_PRIVATE_H

#include "server_queue.h"

/* Requests that wait for one server here. */
#define SERVER_QUEUE_MAX 128

/**
 * struct server_queue - of one server, while something waits
 */
struct server_queue {
	struct registry_server *server;
	struct slot_queue items;
	struct server_queue *prev;
	struct server_queue *next;
};

/**
 * server_queue_limit() - requests that this instance may have under way there
 */
int server_queue_limit(const struct server_queues *queues,
		       const struct registry_server *server);
bool server_queue_has_capacity(const struct server_queues *queues,
			       const struct registry_server *server);

/**
 * server_queue_processing_time() - how long a request takes there, sent to
 * answered
 *
 * Return: microseconds.
 */
double server_queue_processing_time(const struct server_queues *queues,
				    const struct registry_server *server);

/**
 * server_queue_wait() - how long one more request would wait
 *
 * Return: microseconds.
 */
int64_t server_queue_wait(const struct server_queues *queues,
			  const struct registry_server *server, int priority);

/**
 * server_queue_update_estimate() - the server's outlook follows what waits
 */
void server_queue_update_estimate(const struct server_queues *queues,
				  struct registry_server *server);

/**
 * server_queue_cost() - what requests of a priority take, compared to the mean
 */
double server_queue_cost(const struct server_queues *queues, int64_t priority);

/**
 * server_queue_learn_cost() - a request was answered
 * @took: since it was sent, microseconds
 */
void server_queue_learn_cost(const struct server_job *turn, int64_t took);

#endif
