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
 * server_queue_most() - requests that this instance may have under way there
 */
int server_queue_most(const struct server_queues *queues,
		      const struct registry_server *server);
bool server_queue_has_room(const struct server_queues *queues,
			   const struct registry_server *server);

/**
 * server_queue_pace() - how long a request takes there, sent to answered
 *
 * Return: microseconds.
 */
double server_queue_pace(const struct server_queues *queues,
			 const struct registry_server *server);

/**
 * server_queue_ahead() - how long one more request would wait
 *
 * Return: microseconds.
 */
int64_t server_queue_ahead(const struct server_queues *queues,
			   const struct registry_server *server, int priority);

/**
 * server_queue_tell() - the server's outlook follows what waits
 */
void server_queue_tell(const struct server_queues *queues,
		       struct registry_server *server);

/**
 * server_queue_cost() - what requests of a priority take, compared to the mean
 */
double server_queue_cost(const struct server_queues *queues, int64_t priority);

/**
 * server_queue_learn() - a request was answered
 * @took: since it was sent, microseconds
 */
void server_queue_learn(const struct server_turn *turn, int64_t took);

#endif
