/*
 * A search at its entry instance: fans out to the shards of one snapshot and
 * merges their partial answers into one response.
 *
 * The module does no I/O. Its owner passes in requests, partial answers, lost
 * connections and the passing of time; it sends queries through struct
 * search_ops and reports the outcome through @done. Each shard counts once, no
 * matter how many servers answer it.
 */
#ifndef SEARCH_H
#define SEARCH_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "arena.h"
#include "blackboard.h"
#include "catalog.h"
#include "merge.h"
#include "peer.pb-c.h"
#include "policy.h"
#include "request.h"
#include "trace.h"

#define SEARCH_RESTARTS_MAX 2 /* on newer snapshots, per search */
/* The upper bound of the tunable attempts_max. */
#define SEARCH_ATTEMPTS_MAX 10
#define SEARCH_WIRE_ID_SIZE 176 /* bytes, with the NUL */

struct search;
struct searches;

/**
 * struct search_ops - output of searches
 * @send_query: send one batched query to a home; the message is only valid
 *		during the call. Returns 0, or a negative error if it was
 *		definitely not sent
 * @cancel: tell a home to cancel a server's part of a query
 * @done: the search has its outcome; it is freed after the call
 */
struct search_ops {
	int (*send_query)(void *arg, struct str home, const Peer__Query *query);
	void (*cancel)(void *arg, struct str home, const Peer__Cancel *cancel);
	void (*done)(void *arg, struct search *search);
};

enum search_shard_state {
	SEARCH_SHARD_PENDING,	 /* to be requested at send_at */
	SEARCH_SHARD_IN_FLIGHT,	 /* at least one part is in flight */
	SEARCH_SHARD_RETRY_WAIT, /* see search_part_retry() */
	SEARCH_SHARD_ANSWERED,	 /* counted */
	SEARCH_SHARD_MISSING,	 /* given up, see code */
};

/**
 * struct search_shard - one shard of the search's partition map
 * @state: enum search_shard_state
 * @attempts: parts sent for it, to the servers in @tried
 * @n_in_flight: parts for it in flight
 * @code: error of the last failure
 * @last_part: the latest part sent for it, or the failed one to retry
 * @send_at: when a pending shard is requested, microseconds
 * @tried: borrowed from the parts
 */
struct search_shard {
	uint8_t state;
	uint8_t attempts;
	uint8_t n_in_flight;
	int16_t code;
	int last_part;
	int64_t send_at;
	struct catalog_server *tried[SEARCH_ATTEMPTS_MAX];
};

/**
 * struct search_part - the part of a search sent to one server via one home
 * @server: reference held
 * @home: reference held
 * @observed_server: statistics of the server, borrowed; NULL unless in flight
 * @shards: owned: indexes into the partition map
 * @round: number of the round it was sent in, from 0
 * @code: error of its failure
 * @sent_at: microseconds, as all times here
 * @hedge_after: time in flight after which it is late; INT64_MAX: never
 * @hedge_at: when a hedge is considered next
 * @retry_at: when the retry budget is asked again
 * @trial_until: for a search with @single_server, when the next server may be
 *	asked though this one has not answered
 * @held_for: its home kept it from its server for this long, microseconds; 0
 *	otherwise
 * @is_hedge: sent as a hedge of another part
 * @is_late: in flight for @hedge_after, or reported late by its home
 * @is_cancelled: cancelled, and its home's result has not been handled
 * @was_sent: it failed after bytes may have been sent to the server
 * @is_done: answered, failed or cancelled
 */
struct search_part {
	struct catalog_server *server;
	struct catalog_instance *home;
	struct observe_server *observed_server;
	int *shards;
	int n_shards;
	int cap_shards;
	int round;
	int code;
	int64_t sent_at;
	int64_t hedge_after;
	int64_t hedge_at;
	int64_t retry_at;
	int64_t trial_until;
	int64_t held_for;
	bool is_hedge;
	bool is_late;
	bool is_cancelled;
	bool was_sent;
	bool is_done;
};

/**
 * struct search - one search in flight
 * @id: unique within the incarnation; on the wire between entry and homes
 * @owner: opaque, for struct search_ops.done
 * @started_at: microseconds, as all times here
 * @deadline_at: when it ends with the answers that it has
 * @full_deadline_at: same, if the process does not stop; 0: service unknown
 * @partial_answer_at: when coverage of @min_coverage starts to be sufficient
 * @wake_at: no later than the next time searches_tick() must handle it
 * @move_wait_until: limit of the wait for the new place of moved data; 0: none
 * @min_coverage: share of the snapshot's records, 0 to 1
 * @mode: of the service: latency-first or coverage-first
 * @priority: of the service
 * @map: partition map of the snapshot, reference held; NULL before prepare()
 * @shards: owned, one per shard of @map
 * @n_answered: shards that are answered
 * @n_open: shards neither answered nor missing
 * @parts: owned
 * @n_rounds: rounds of parts sent
 * @merge: records of the answered shards
 * @count: matching records of the answered shards
 * @covered: records held by the answered shards
 * @n_homes: queries sent to homes
 * @n_requests: parts sent, including @n_hedges and @n_retries
 * @n_restarts: how often it restarted on another snapshot
 * @fingerprint: see poison.h
 * @single_server: it must run on one server at a time, see poison.h
 * @held_for: how long its home last kept it from a server as a suspect,
 *	microseconds; 0: never
 * @n_results: parts that homes answered
 * @n_shed: of these, refused because of load
 * @wait_us: sum of their queueing times at homes, microseconds
 * @maybe_ran: bytes of it may have reached a backend server
 * @code: 0 when it is done with an answer, else the error
 * @error: for a refusal, its subject and what was expected
 * @retry_after_ms: when the caller may retry; 0: not said
 * @hh: in struct searches.by_id
 */
struct search {
	uint64_t id;
	struct searches *searches;
	struct search_request request;
	void *owner;
	int64_t started_at;
	int64_t deadline_at;
	int64_t full_deadline_at;
	int64_t partial_answer_at;
	int64_t wake_at;
	int64_t move_wait_until;
	double min_coverage;
	int mode;
	int priority;
	struct catalog_map *map;
	struct search_shard *shards;
	int n_answered;
	int n_open;
	struct search_part *parts;
	int n_parts;
	int cap_parts;
	int n_rounds;
	struct merge merge;
	uint64_t count;
	uint64_t covered;
	int n_homes;
	int n_requests;
	int n_hedges;
	int n_retries;
	int n_restarts;
	uint64_t fingerprint;
	bool single_server;
	int64_t held_for;
	int n_results;
	int n_shed;
	int64_t wait_us;
	bool maybe_ran;
	int code;
	struct error error;
	int64_t retry_after_ms;
	struct trace_log trace;
	UT_hash_handle hh;
};

/**
 * struct searches - all searches of an instance
 * @board: borrowed
 * @ops: borrowed, called with @arg
 * @by_id: hash of the searches in flight
 * @next_id: id of the next search or round
 * @policy: chooses replicas, hedges and retries
 * @table_watch: updates @policy with each new table
 * @wake_at: when searches_tick() must be called at the latest, microseconds
 * @arena: scratch memory for the answer being handled
 */
struct searches {
	struct blackboard *board;
	const struct search_ops *ops;
	void *arg;
	struct search *by_id;
	uint64_t next_id;
	struct policy policy;
	struct blackboard_watch table_watch;
	int64_t wake_at;
	struct arena arena;
};

/**
 * searches_init() - set up without any search
 * @board: borrowed, as @ops and @arg
 * @seed: of the random choices
 */
void searches_init(struct searches *searches, struct blackboard *board,
		   const struct search_ops *ops, void *arg, uint64_t seed);

/**
 * searches_finish() - free all searches without reporting an outcome
 */
void searches_finish(struct searches *searches);

/**
 * search_start() - start a caller's search
 * @request: moved into the search, which frees it
 * @owner: opaque, for struct search_ops.done
 *
 * The outcome may be reported before this returns.
 *
 * Updates @wake_at of @searches, as do the functions below.
 */
void search_start(struct searches *searches, struct search_request *request,
		  void *owner);

/**
 * search_refuse() - count and trace a caller's search that is refused
 * @request: moved, as by search_start()
 * @owner: opaque, for struct search_ops.done
 * @code: why it is refused
 * @retry_after_ms: when the caller may retry; 0: not said
 *
 * The outcome is reported before this returns.
 */
void search_refuse(struct searches *searches, struct search_request *request,
		   void *owner, int code, int64_t retry_after_ms);

/**
 * searches_result() - handle partial answers from a home
 * @result: borrowed
 */
void searches_result(struct searches *searches, struct str home,
		     const Peer__QueryResult *result);

/**
 * searches_home_lost() - fail all parts sent to a home whose connection broke
 */
void searches_home_lost(struct searches *searches, struct str home);

/**
 * searches_tick() - handle all deadlines, hedges and retries that are due
 */
void searches_tick(struct searches *searches);

/**
 * searches_catalog_changed() - continue searches that wait for moved data
 */
void searches_catalog_changed(struct searches *searches);

/**
 * searches_stop() - end all searches before the process ends
 *
 * To be called when the stop has been planned.
 */
void searches_stop(struct searches *searches);

/**
 * searches_end_all() - end all searches with an error, and report it
 */
void searches_end_all(struct searches *searches, int code);

/**
 * searches_drop() - cancel and free a search whose caller has disconnected
 *
 * Reports no outcome.
 */
void searches_drop(struct searches *searches, struct search *search);

/**
 * search_ended_by_stop() - whether the stop of this process is why a search
 * ends without all its answers
 * @search: has its outcome
 */
bool search_ended_by_stop(const struct search *search);

/**
 * search_total() - records in the search's snapshot
 */
static inline uint64_t search_total(const struct search *search)
{
	return search->map ? search->map->total : 0;
}

/**
 * search_ratio() - covered share of the snapshot's records, 1 if it is empty
 */
double search_ratio(const struct search *search);

#endif
