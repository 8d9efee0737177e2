/*
 * Queues and running jobs of the backend servers that this instance holds a
 * share of, i.e. whose home it is.
 *
 * Performs no I/O. Queries arrive from entries, the instances that callers
 * connect to. Each job of a query is sent to its server by
 * struct home_ops.start and ends with exactly one call of home_job_done(). The
 * results are collected per query and returned to the entry.
 */
#ifndef HOME_H
#define HOME_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "backend.pb-c.h"
#include "blackboard.h"
#include "peer.pb-c.h"
#include "sketch.h"
#include "slot_queue.h"

#define HOME_NAME_SIZE 65

/*
 * Largest answer that is passed on, and the limit for all answers in one
 * message, so that it fits a frame.
 */
#define HOME_ANSWER_MAX_BYTES (4 * 1024 * 1024)

struct home;
struct home_query;
struct home_server;

enum home_job_state {
	HOME_JOB_QUEUED,
	HOME_JOB_RUNNING,
	HOME_JOB_DONE,
};

/**
 * struct home_job - one backend server's part of a query
 * @query: set to NULL once the result was reported
 * @server: NULL if this home doesn't know it
 * @part: number within the query, chosen by the entry
 * @ranges: requested shards, owned
 * @n_ranges: entries in @ranges
 * @state: queued, running or done
 * @handle: identifies the running request, set by struct home_ops.start
 * @queued_at: microseconds, as all times here
 * @started_at: 0 if it never ran
 * @done_at: when it ended
 * @late_at: when the entry is told that it runs unusually long; INT64_MAX for
 * never
 * @silent_at: when its connection is considered dead and closed; INT64_MAX for
 * never
 * @is_late: @late_at has passed
 * @is_given_up: it was cancelled while it ran; its server may still work on it
 * @late_unreported: it is late and the entry was not told yet
 * @code: 0 or an error
 * @sent: bytes may have reached the server
 * @retry_after_ms: from the server, or for a suspect that is held, milliseconds
 * @answer: unmodified answer of the server, owned; NULL unless @code is 0
 * @answer_len: bytes in @answer
 * @item: entry in the server's queue
 * @poison: tracks the request while it runs, in case it crashes the server
 */
struct home_job {
	struct home_query *query;
	struct home_server *server;
	uint32_t part;
	Backend__KeyRange *ranges;
	size_t n_ranges;
	enum home_job_state state;
	void *handle;
	int64_t queued_at;
	int64_t started_at;
	int64_t done_at;
	int64_t late_at;
	int64_t silent_at;
	bool is_late;
	bool is_given_up;
	bool late_unreported;
	int code;
	bool sent;
	uint32_t retry_after_ms;
	char *answer;
	size_t answer_len;
	struct slot_item item;
	struct poison_run poison;
};

/**
 * struct home_query - a query of an entry
 * @home: the owner
 * @link: connection that results are sent to; NULL once it is closed
 * @message: the query, owned; built from @run if that is set
 * @run: a non-repeatable request, owned; NULL for a search
 * @deadline_at: microseconds
 * @full_deadline_at: same, if the process does not stop
 * @jobs: one for each part, owned
 * @n_jobs: entries in @jobs
 * @n_pending: jobs that are queued or running
 * @n_unreported: results, and notices of late jobs, to be sent to the entry
 * @prev: in struct home.queries
 * @next: in struct home.queries
 */
struct home_query {
	struct home *home;
	void *link;
	Peer__Query *message;
	Peer__Run *run;
	int64_t deadline_at;
	int64_t full_deadline_at;
	struct home_job *jobs;
	int n_jobs;
	int n_pending;
	int n_unreported;
	struct home_query *prev;
	struct home_query *next;
};

/**
 * struct home_server - a backend server this instance has a share of
 * @name: key of struct home.servers
 * @service: the service it belongs to
 * @address: where it is connected to
 * @slots: share of its slots; 0 while the lease is not valid
 * @connections: share of its connections
 * @in_flight: jobs running
 * @queued: jobs in @queue
 * @queue: jobs waiting for a slot
 * @run_times: durations of jobs that were answered or timed out as silent
 * @latency_us: exponentially weighted mean of answered jobs, microseconds
 * @transport: connection state, owned by home_net
 * @in_table: for home_net: the table in force has it at the same address
 * @hh: in struct home.servers
 */
struct home_server {
	char name[HOME_NAME_SIZE];
	char service[HOME_NAME_SIZE];
	struct address address;
	uint32_t slots;
	uint32_t connections;
	uint32_t in_flight;
	uint32_t queued;
	struct slot_queue queue;
	struct sketch run_times;
	int64_t latency_us;
	void *transport;
	bool in_table;
	UT_hash_handle hh;
};

/**
 * struct home_ops - I/O callbacks
 * @start: send a job to its server; home_job_done() always follows, but never
 *	   during the call
 * @cancel: cancel a running job; home_job_done() follows
 * @close_silent: close the connection of a running job that makes no progress;
 *	    home_job_done() with ERR_SILENT follows, possibly during the call;
 *	    NULL disables the detection of late and silent jobs
 * @reply: send results to the entry; @result is valid during the call only
 * @reply_run: send the result of a non-repeatable request to the issuer of its
 *	    ticket; @result is valid during the call only
 * @want_flush: schedule a call of home_flush()
 */
struct home_ops {
	void (*start)(void *arg, struct home_job *job);
	void (*cancel)(void *arg, struct home_job *job);
	void (*close_silent)(void *arg, struct home_job *job);
	void (*reply)(void *arg, void *link, const Peer__QueryResult *result);
	void (*reply_run)(void *arg, void *link, const Peer__RunResult *result);
	void (*want_flush)(void *arg);
};

/**
 * struct home - the queries and servers of this instance
 * @board: shared state of the process, not owned
 * @ops: I/O callbacks, not owned
 * @arg: first argument of each callback
 * @servers: by name, owned
 * @queries: in the order of arrival, owned
 * @wake_at: when home_tick() is due, microseconds; may be lowered when a job
 *	     starts
 */
struct home {
	struct blackboard *board;
	const struct home_ops *ops;
	void *arg;
	struct home_server *servers;
	struct home_query *queries;
	int64_t wake_at;
};

/**
 * home_init() - start without servers and queries
 * @home: to be finished with home_finish()
 * @board: outlives the home
 * @ops: outlives the home
 * @arg: first argument of each callback
 */
void home_init(struct home *home, struct blackboard *board,
	       const struct home_ops *ops, void *arg);

/**
 * home_finish() - free all queries and servers; no job may be running
 * @home: the home
 */
void home_finish(struct home *home);

/**
 * home_find_server() - return a server, NULL if the home doesn't know it
 * @home: the home
 * @name: of the server
 */
struct home_server *home_find_server(const struct home *home, struct str name);

/**
 * home_find_or_add_server() - return the server, added without a share if new
 * @home: the home
 * @name: copied
 */
struct home_server *home_find_or_add_server(struct home *home, struct str name);

/**
 * home_remove_server() - remove and free a server that has no jobs
 * @home: the home
 * @server: freed
 */
void home_remove_server(struct home *home, struct home_server *server);

/**
 * home_set_share() - change the share of a server
 * @home: the home
 * @server: of this home
 * @slots: requests that may run at once
 * @connections: connections that may be open
 *
 * Jobs that run above a smaller share are not interrupted. With 0 slots the
 * queued ones end with ERR_NOT_HOME, not sent.
 */
void home_set_share(struct home *home, struct home_server *server,
		    uint32_t slots, uint32_t connections);

/**
 * home_query() - accept a query of an entry
 * @home: the home
 * @link: connection that results are sent to
 * @message: ownership passes to @home
 */
void home_query(struct home *home, void *link, Peer__Query *message);

/**
 * home_run() - accept a non-repeatable request from the issuer of its ticket
 * @home: the home
 * @link: connection that the result is sent to
 * @message: ownership passes to @home; its server is set
 *
 * It is sent to that server at most once. Once started it isn't cancelled
 * before its deadline: it ends with the server's answer or an unknown outcome.
 */
void home_run(struct home *home, void *link, Peer__Run *message);

/**
 * home_cancel() - cancel one part of a query, or all of it
 * @home: the home
 * @link: connection that the query came from
 * @cancel: not kept
 */
void home_cancel(struct home *home, void *link, const Peer__Cancel *cancel);

/**
 * home_link_lost() - cancel the queries of an entry whose connection broke
 * @home: the home
 * @link: the connection
 */
void home_link_lost(struct home *home, void *link);

/**
 * home_job_done() - end a started job
 * @home: the home
 * @job: valid until the next home_flush()
 * @code: 0 or an error
 * @sent: bytes of the request may have reached the server
 * @retry_after_ms: from the server, milliseconds
 * @answer: copied; of length 0 unless @code is 0; the body of the server's
 * RunAnswer for a job of home_run()
 */
void home_job_done(struct home *home, struct home_job *job, int code, bool sent,
		   uint32_t retry_after_ms, struct str answer);

/**
 * home_flush() - send unreported results and free finished queries
 * @home: the home
 */
void home_flush(struct home *home);

/**
 * home_stop() - end all queries before the process ends
 * @home: the home
 *
 * Jobs that wait for a slot until blackboard_start_by() end with ERR_LEAVING,
 * not sent. To be called when the stop has been planned, before home_tick().
 */
void home_stop(struct home *home);

/**
 * home_tick() - process deadlines, late jobs and silent connections
 * @home: the home
 *
 * Return: latest time of the next call, microseconds; INT64_MAX if none is
 * needed.
 */
int64_t home_tick(struct home *home);

/**
 * home_is_idle() - whether there is no query
 * @home: the home
 */
bool home_is_idle(const struct home *home);

#endif
