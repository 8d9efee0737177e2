/* Shared by the source files of server_queue. */
#ifndef SERVER_QUEUE_PRIVATE_H
#define SERVER_QUEUE_PRIVATE_H

#include "server_queue.h"

/* Maximum number of requests queued for one server on this instance. */
#define SERVER_QUEUE_MAX 128

/**
 * struct server_queue - the queue of one server, exists while it is not empty
 * @server: that the requests are for
 * @items: the queued requests
 * @prev: in the list of queues
 * @next: in the list of queues
 */
struct server_queue {
	struct registry_server *server;
	struct slot_queue items;
	struct server_queue *prev;
	struct server_queue *next;
};

/**
 * server_queue_limit() - maximum number of requests of this instance in
 * progress at a server
 * @queues: the queues of this instance
 * @server: the server
 */
int server_queue_limit(const struct server_queues *queues,
		       const struct registry_server *server);
bool server_queue_has_capacity(const struct server_queues *queues,
			       const struct registry_server *server);

/**
 * server_queue_processing_time() - expected time from sending a request to its
 * answer
 * @queues: the queues of this instance
 * @server: the server
 *
 * Return: microseconds.
 */
double server_queue_processing_time(const struct server_queues *queues,
				    const struct registry_server *server);

/**
 * server_queue_wait() - expected wait of one more request
 * @queues: the queues of this instance
 * @server: the server
 * @priority: 0 is the most urgent
 *
 * Return: microseconds.
 */
int64_t server_queue_wait(const struct server_queues *queues,
			  const struct registry_server *server, int priority);

/**
 * server_queue_update_estimate() - update the server's estimate from its queue
 * @queues: the queues of this instance
 * @server: the server
 */
void server_queue_update_estimate(const struct server_queues *queues,
				  struct registry_server *server);

/**
 * server_queue_cost() - expected processing time of requests of a priority,
 * relative to the mean
 * @queues: the queues of this instance
 * @priority: 0 is the most urgent
 */
double server_queue_cost(const struct server_queues *queues, int64_t priority);

/**
 * server_queue_learn_cost() - update the cost of a priority from an answer
 * @job: the request
 * @took: since the request was sent, microseconds
 */
void server_queue_learn_cost(const struct server_job *job, int64_t took);

#endif
