/*
 * Requests of this instance that wait for their turn at a backend server: the
 * most urgent first, then the one with the least time left to its goal. Answers
 * the load that servers cannot bear: what stands in a server's own queue cannot
 * be overtaken or taken back, so that few are sent to it at a time. What cannot
 * be served in time goes back to who gave it, unsent.
 *
 * Decides without sockets: sends go out through struct server_queue_ops, their
 * ends come in by server_job_done() and server_queue_capacity_freed(), and time
 * by server_queue_tick(). See docs/design/turns.md.
 */
#ifndef SERVER_QUEUE_H
#define SERVER_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "gateway_stats.h"
#include "registry.h"
#include "slot_queue.h"
#include "upstream.h"

struct server_queues;

/**
 * struct server_job_rank - the place of a request among those that wait
 * @priority: of its route, 0 is the most urgent
 * @goal_at: an answer later than this is worth little, microseconds
 */
struct server_job_rank {
	int64_t priority;
	int64_t goal_at;
};

enum server_job_state {
	JOB_WAITING,
	JOB_SENT,
	JOB_UNSENT, /* unsent; that is yet to be reported */
};

/**
 * struct server_job - one request
 * @server: held
 * @handle: of the owner of the operations, while it is sent
 * @watch: the same
 * @code: why it ended unsent
 */
struct server_job {
	struct server_queues *queues;
	struct registry_server *server;
	const struct upstream_request *request;
	int64_t deadline;
	int64_t connections_max;
	exchange_cb cb;
	void *arg;
	void *handle;
	void *watch;
	enum server_job_state state;
	int64_t queued_at;
	int64_t sent_at;
	double pace; /* of the server when it was sent alone; else 0 */
	int code;
	struct slot_item item;
	struct server_job *prev; /* of those that ended */
	struct server_job *next;
};

/**
 * struct server_queue_ops - what the module wants done
 * @send: send a request now. Return: 0 with @turn->handle set, as the owner
 *	likes; or why not, as upstream_send()
 * @abandon: see server_job_abandon()
 * @hurry: see server_job_hurry()
 * @under_way: requests of this instance that a server has not ended
 * @wake: call server_queue_tick() at the latest at a time
 */
struct server_queue_ops {
	int (*send)(void *arg, struct server_job *turn);
	void (*abandon)(void *arg, struct server_job *turn, int64_t linger);
	void (*hurry)(void *arg, struct server_job *turn, int64_t linger);
	int (*under_way)(void *arg, const struct registry_server *server);
	void (*wake)(void *arg, int64_t at);
};

/**
 * struct server_queues - what the queues of all servers share
 * @senders: instances that send to the servers of this data centre, whose slots
 *	they share; at least 1
 * @enabled: else all is sent at once
 * @costs: of requests by level of urgency, compared to the mean; 0: not known
 * @random_order_until: not all can be in time, see
 *slot_queue_set_random_order()
 * @waiting: servers for which requests wait
 * @ended: turns that ended unsent, not reported yet
 */
struct server_queues {
	const struct clock *clock;
	const struct server_queue_ops *ops;
	void *arg;
	struct gateway_stats *stats;
	int senders;
	bool enabled;
	double costs[ESTIMATE_LEVELS];
	int64_t random_order_until;
	struct server_queue *waiting;
	struct server_job *ended;
};

void server_queues_init(struct server_queues *queues, const struct clock *clock,
			const struct server_queue_ops *ops, void *arg,
			struct gateway_stats *stats);

/**
 * server_queue_send() - send a request, now or when its turn comes
 * @request: borrowed until @cb is called or the turn is abandoned
 * @cb: as of upstream_send(); with ERR_OVERLOAD it was not sent, since it would
 *	not have been answered in time
 * @out: valid until @cb is called or it is abandoned
 *
 * Return: 0; ERR_OVERLOAD if it would not be answered by its deadline; or as
 * upstream_send().
 */
int server_queue_send(struct server_queues *queues,
		      struct registry_server *server,
		      const struct upstream_request *request,
		      const struct server_job_rank *rank, int64_t deadline,
		      int64_t connections_max, exchange_cb cb, void *arg,
		      struct server_job **out);

/**
 * server_job_is_unsent() - it was not sent, and surely has not run
 */
bool server_job_is_unsent(const struct server_job *turn);

/**
 * server_job_abandon() - the answer is not needed any more
 * @linger: as of exchange_abandon(); what was not sent is forgotten
 */
void server_job_abandon(struct server_job *turn, int64_t linger);

/**
 * server_job_hurry() - as server_job_abandon(), but its end is still reported
 */
void server_job_hurry(struct server_job *turn, int64_t linger);

/**
 * server_job_done() - a send ended that was not abandoned
 */
void server_job_done(struct server_job *turn,
		     const struct exchange_result *result);

/**
 * server_queue_capacity_freed() - a request to a server ended, and its
 * connection can be used
 */
void server_queue_capacity_freed(struct server_queues *queues,
				 struct registry_server *server);

/**
 * server_queue_close() - a server gets no new requests: what waits goes back
 */
void server_queue_close(struct server_queues *queues,
			struct registry_server *server);

/**
 * server_queue_tick() - time passed, or something ended unsent
 */
void server_queue_tick(struct server_queues *queues);

#endif
