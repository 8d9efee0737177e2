/*
 * Queues of this instance's requests to backend servers: the most urgent first,
 * then the one with the least time left to its goal. Under overload only few
 * requests are sent to a server at a time, since those in the server's own
 * queue can't be overtaken or withdrawn. Requests that can't be served in time
 * are returned to the caller unsent.
 *
 * Does no I/O: requests are sent through struct server_queue_ops, their results
 * arrive through server_job_done() and server_queue_capacity_freed(), and
 * timers through server_queue_tick(). See docs/design/turns.md; logs and
 * metrics call a job a turn.
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
 * struct server_job_rank - position of a request in the queue
 * @priority: of its route, 0 is the most urgent
 * @goal_at: soft deadline: an answer after it is worth little, microseconds
 * @send_by: it is not sent later, microseconds; INT64_MAX: its deadline counts
 */
struct server_job_rank {
	int64_t priority;
	int64_t goal_at;
	int64_t send_by;
};

enum server_job_state {
	JOB_WAITING,
	JOB_SENT,
	JOB_UNSENT, /* not sent; to be reported */
};

/**
 * struct server_job - one request
 * @queues: borrowed
 * @server: holds a reference
 * @request: borrowed
 * @deadline: microseconds
 * @connections_max: as of upstream_send()
 * @cb: called with the result
 * @arg: passed to @cb
 * @handle: for the owner of the operations, while the request is sent
 * @state: see enum server_job_state
 * @queued_at: when it was passed to the queue, microseconds
 * @sent_at: when it was sent, microseconds
 * @processing_time: expected by server_queue_processing_time(), microseconds;
 *	0 if other requests were in progress when it was sent
 * @code: error of a request that ended unsent
 * @item: its entry in the queue
 * @prev: in the list of jobs that ended unsent
 * @next: in the list of jobs that ended unsent
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
	enum server_job_state state;
	int64_t queued_at;
	int64_t sent_at;
	double processing_time;
	int code;
	struct slot_item item;
	struct server_job *prev;
	struct server_job *next;
};

/**
 * struct server_queue_ops - operations of the owner
 * @send: send a request now. Return: 0 with @job->handle set to any value;
 *	otherwise an error as from upstream_send(). Must not call
 *	server_job_done() or server_queue_capacity_freed() before it returns
 * @abandon: see server_job_abandon()
 * @hurry: see server_job_hurry()
 * @under_way: number of requests of this instance in progress at a server
 * @wake: call server_queue_tick() at the given time or earlier
 */
struct server_queue_ops {
	int (*send)(void *arg, struct server_job *job);
	void (*abandon)(void *arg, struct server_job *job, int64_t linger,
			struct delivery *delivery);
	void (*hurry)(void *arg, struct server_job *job, int64_t linger);
	int (*under_way)(void *arg, const struct registry_server *server);
	void (*wake)(void *arg, int64_t at);
};

/**
 * struct server_queues - state shared by the queues of all servers
 * @clock: borrowed
 * @ops: operations of the owner, borrowed
 * @arg: passed to @ops
 * @stats: counters, borrowed
 * @senders: number of instances that send to the servers of this data centre
 *	and share their slots; at least 1
 * @enabled: otherwise requests are sent at once
 * @costs: processing time of requests by urgency level, relative to the mean;
 *	0: unknown
 * @random_order_until: use the random order until then, as not all requests can
 *	meet their goals; see slot_queue_set_random_order()
 * @waiting: queues of servers that have queued requests
 * @ended: jobs that ended unsent and were not reported yet
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
 * server_queue_send() - send a request now, or queue it
 * @queues: the queues of this instance
 * @server: the server
 * @request: borrowed until @cb is called or the job is abandoned
 * @rank: copied
 * @deadline: microseconds
 * @connections_max: as of upstream_send()
 * @cb: as of upstream_send(), never called before this function has returned;
 *	ERR_OVERLOAD: not sent, as it would not have been answered in time
 * @arg: passed to @cb
 * @out: valid until @cb is called or the job is abandoned
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
 * server_queues_limit_time() - end the requests that are queued by a given time
 * @queues: the queues of this instance
 * @until: microseconds
 *
 * One that would not be answered by then is returned unsent, as of
 * server_queue_send().
 */
void server_queues_limit_time(struct server_queues *queues, int64_t until);

/**
 * server_job_is_unsent() - whether the request was not sent, and so did not run
 * @job: the request
 */
bool server_job_is_unsent(const struct server_job *job);

/**
 * server_job_limit() - return a request unsent if it is still queued later on
 * @job: the request
 * @send_by: as of struct server_job_rank
 */
void server_job_limit(struct server_job *job, int64_t send_by);

/**
 * server_job_abandon() - abandon a request without reporting its end
 * @job: the request
 * @linger: as of exchange_abandon(); an unsent request is dropped
 * @delivery: told how the send ends; may be NULL
 */
void server_job_abandon(struct server_job *job, int64_t linger,
			struct delivery *delivery);

/**
 * server_job_hurry() - as server_job_abandon(), but the end is reported
 * @job: the request
 * @linger: as of exchange_set_timeout()
 */
void server_job_hurry(struct server_job *job, int64_t linger);

/**
 * server_job_done() - a request that was sent has ended; not for abandoned ones
 * @job: the request
 * @result: how the request ended
 */
void server_job_done(struct server_job *job,
		     const struct exchange_result *result);

/**
 * server_queue_capacity_freed() - a request to a server ended, and its
 * connection can be reused
 * @queues: the queues of this instance
 * @server: the server
 */
void server_queue_capacity_freed(struct server_queues *queues,
				 struct registry_server *server);

/**
 * server_queue_close() - a server gets no new requests: return queued ones
 * @queues: the queues of this instance
 * @server: the server
 */
void server_queue_close(struct server_queues *queues,
			struct registry_server *server);

/**
 * server_queue_tick() - expire queued requests, report those that ended unsent
 * @queues: the queues of this instance
 */
void server_queue_tick(struct server_queues *queues);

#endif
