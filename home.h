/*
 * The home of backend servers: slots, queues and partial answers on their way
 * back to the entry.
 *
 * A decision module without sockets. Queries come in by entries, jobs go out
 * to servers through struct home_ops.start, and each job comes back exactly
 * once by home_job_done().
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

/* The largest answer that is passed on: it must fit a frame, with others. */
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
 * @part: number within the query, chosen by the entry
 * @ranges: the shards asked for, owned
 * @late_at: when it has run for longer than nearly all others at the server
 * @silent_at: when its connection is held for dead
 * @tells_late: its entry is yet to be told that it is late
 * @handle: of whoever runs it, set by struct home_ops.start
 * @code: result, 0 or an error
 * @sent: bytes may have reached the server
 * @answer: as the server gave it, owned; empty unless @code is 0
 * @item: its place in the server's queue
 * @poison: its run while it has a slot
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
	bool tells_late;
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
 * @link: where it came from and the answers go
 * @message: the query as it came, owned; of a request that must not be
 * repeated, one made from it
 * @run: a request that must not be repeated, owned; NULL for a search
 * @n_open: jobs that are not done
 * @n_unsent: jobs done and not reported yet
 */
struct home_query {
	struct home *home;
	void *link;
	Peer__Query *message;
	Peer__Run *run;
	int64_t deadline_at;
	struct home_job *jobs;
	int n_jobs;
	int n_open;
	int n_unsent;
	struct home_query *prev;
	struct home_query *next;
};

/**
 * struct home_server - a backend server this instance has a share of
 * @slots: share of its slots; 0 while none is leased
 * @connections: share of its connections
 * @in_flight: jobs running
 * @queue: jobs waiting
 * @times: how long answered jobs ran
 * @latency_us: exponentially weighted mean
 * @pool: of the connections, for the wiring
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
	struct sketch times;
	int64_t latency_us;
	int64_t backoff_until;
	void *pool;
	bool seen;
	UT_hash_handle hh;
};

/**
 * struct home_ops - what a home does to the world
 * @start: run a job at its server; home_job_done() follows in any case, but
 *	   not during the call
 * @cancel: a running job is not wanted any more; home_job_done() follows
 * @silent: a running job's connection makes no progress: close it;
 *	    home_job_done() with ERR_SILENT follows, also during the call
 * @reply: send results to the entry; valid during the call only
 * @reply_run: likewise, to the issuer of a ticket
 * @want_flush: call home_flush() soon
 */
struct home_ops {
	void (*start)(void *arg, struct home_job *job);
	void (*cancel)(void *arg, struct home_job *job);
	void (*silent)(void *arg, struct home_job *job);
	void (*reply)(void *arg, void *link, const Peer__QueryResult *result);
	void (*reply_run)(void *arg, void *link, const Peer__RunResult *result);
	void (*want_flush)(void *arg);
};

struct home {
	struct blackboard *board;
	const struct home_ops *ops;
	void *arg;
	struct home_server *servers;
	struct home_query *queries;
	int64_t wake_at;
};

void home_init(struct home *home, struct blackboard *board,
	       const struct home_ops *ops, void *arg);

/**
 * home_finish() - drop all queries and servers; no job may be running
 */
void home_finish(struct home *home);

struct home_server *home_find_server(const struct home *home, struct str name);
struct home_server *home_find_or_add_server(struct home *home, struct str name);

/**
 * home_remove_server() - forget a server without jobs
 */
void home_remove_server(struct home *home, struct home_server *server);

/**
 * home_set_share() - take another share of a server
 *
 * Jobs running above the new share end by themselves; waiting ones are
 * refused as not run when nothing is left.
 */
void home_set_share(struct home *home, struct home_server *server,
		    uint32_t slots, uint32_t connections);

/**
 * home_query() - take a query of an entry
 * @message: moved into the home
 */
void home_query(struct home *home, void *link, Peer__Query *message);

/**
 * home_run() - take a request that must not be repeated, from the issuer of
 * its ticket
 * @message: moved into the home; its server is set
 *
 * It is sent to that server at most once. A started one is never cancelled: it
 * ends with what the server answers, or unknown.
 */
void home_run(struct home *home, void *link, Peer__Run *message);
void home_cancel(struct home *home, void *link, const Peer__Cancel *cancel);

/**
 * home_link_lost() - an entry's connection broke: its queries are given up
 */
void home_link_lost(struct home *home, void *link);

/**
 * home_job_done() - a started job has ended
 * @code: 0, or why not
 * @sent: bytes of it may have reached the server
 * @answer: copied; of length 0 unless @code is 0; the body of the server's
 * RunAnswer for a job of home_run()
 */
void home_job_done(struct home *home, struct home_job *job, int code, bool sent,
		   uint32_t retry_after_ms, struct str answer);

/**
 * home_flush() - report what is done
 */
void home_flush(struct home *home);

/**
 * home_tick() - let time pass: deadlines, late jobs, silent connections
 *
 * Return: when to call again at the latest, INT64_MAX if nothing waits.
 */
int64_t home_tick(struct home *home);

/**
 * home_is_idle() - whether no query is open
 */
bool home_is_idle(const struct home *home);

#endif
