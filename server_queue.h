/*
 * Requests of this instance that wait for their turn at a backend server: the
 * most urgent first, then the one with the least time left to its goal. Answers
 * the load that servers cannot bear: what stands in a server's own queue cannot
 * be overtaken or taken back, so that few are sent to it at a time. What cannot
 * be served in time goes back to who gave it, unsent.
 */
#ifndef SERVER_QUEUE_H
#define SERVER_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "registry.h"
#include "upstream.h"

struct server_turn;

/**
 * struct server_rank - the place of a request among those that wait
 * @priority: of its route, 0 is the most urgent
 * @goal_at: an answer later than this is worth little, microseconds
 */
struct server_rank {
	int64_t priority;
	int64_t goal_at;
};

/**
 * struct server_queues - what the queues of all servers share
 * @senders: instances that send to the servers of this data centre, whose slots
 *	they share; at least 1
 * @enabled: else all is sent at once
 */
struct server_queues {
	const struct clock *clock;
	struct upstream *upstream;
	int senders;
	bool enabled;
};

void server_queues_init(struct server_queues *queues, const struct clock *clock,
			struct upstream *upstream);

/**
 * server_queue_send() - send a request, now or when its turn comes
 * @request: borrowed until @cb is called or the turn is abandoned
 * @cb: as of upstream_send(); with ERR_OVERLOAD it was not sent, since it would
 *	not have been answered in time
 * @out: valid until @cb is called or it is abandoned
 *
 * Return: 0, or as upstream_send().
 */
int server_queue_send(struct server_queues *queues,
		      struct registry_server *server,
		      const struct upstream_request *request,
		      const struct server_rank *rank, int64_t deadline,
		      int64_t connections_max, exchange_cb cb, void *arg,
		      struct server_turn **out);

/**
 * server_turn_abandon() - the answer is not needed any more
 * @linger: as of exchange_abandon(); what was not sent is forgotten
 */
void server_turn_abandon(struct server_turn *turn, int64_t linger);

/**
 * server_turn_hurry() - as server_turn_abandon(), but its end is still reported
 */
void server_turn_hurry(struct server_turn *turn, int64_t linger);

#endif
