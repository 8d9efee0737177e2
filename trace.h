/*
 * Traces of recent requests, for GET /v1/explain.
 *
 * While a request runs, its parts are recorded in a struct trace_log. When it
 * ends, the log is reduced to a struct trace and kept in a struct trace_store,
 * whose number of traces and bytes are limited. Traces of failed or slow
 * requests are kept longer than others. Does no I/O; the time comes from the
 * clock.
 */
#ifndef TRACE_H
#define TRACE_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "str.h"

struct trace_store;
struct trace_name;

#define TRACE_TEXT_SIZE 65
#define TRACE_REASONS_MAX 8
#define TRACE_RANGES_MAX 8
#define TRACE_EVICTED_MAX 16384

enum trace_kind {
	TRACE_SEARCH,
	TRACE_RUN, /* a request that must not be sent twice */
};

enum trace_attempt {
	TRACE_FIRST,
	TRACE_HEDGE, /* in addition to a part that is slow */
	TRACE_RETRY, /* after a part that failed */
};

/**
 * struct trace_part - a request to one backend server
 * @server: name of the server, reference held
 * @home: name of the instance that it was sent through, reference held
 * @sent_us: when it was sent, microseconds since the start of the request
 * @back_us: when it ended, likewise; only valid if @is_done
 * @wait_us: time in the home's queue as the home reported it, microseconds
 * @server_us: time from the home's sending to the server's answer as the home
 *	       reported it, microseconds
 * @code: 0, or the error code of its failure
 * @n_shards: number of shards asked for
 * @attempt: enum trace_attempt
 * @restarts: how often the request had been restarted when it was sent
 * @is_done: it was answered, failed or was cancelled
 */
struct trace_part {
	struct trace_name *server;
	struct trace_name *home;
	uint32_t sent_us;
	uint32_t back_us;
	uint32_t wait_us;
	uint32_t server_us;
	int16_t code;
	uint16_t n_shards;
	uint8_t attempt;
	uint8_t restarts;
	bool is_done;
};

/**
 * struct trace_log - parts of a request in flight
 * @store: holds the names of servers and homes; outlives the log
 * @started_at: start of the request on the store's clock, microseconds
 * @parts: owned, in the order sent
 * @n: number of @parts
 * @cap: allocated size of @parts
 * @first_part: index of the first part since the last restart
 * @restarts: number of restarts
 */
struct trace_log {
	struct trace_store *store;
	int64_t started_at;
	struct trace_part *parts;
	int n;
	int cap;
	int first_part;
	uint8_t restarts;
};

/* A range of points, both ends included. */
struct trace_range {
	uint16_t lo;
	uint16_t hi;
};

/**
 * struct trace_reason - shards missing for the same reason
 * @code: the error code
 * @n_shards: number of shards
 * @records: number of the snapshot's records in these shards
 * @ranges: contiguous ranges of points of these shards; the first
 *	    TRACE_RANGES_MAX
 * @n_ranges: number of ranges, including those not kept in @ranges
 * @last_hi: last point of the latest shard added
 */
struct trace_reason {
	int code;
	int n_shards;
	uint64_t records;
	struct trace_range ranges[TRACE_RANGES_MAX];
	int n_ranges;
	uint16_t last_hi;
};

/**
 * struct trace_summary - a request as a whole
 * @request_id: as given by the caller
 * @service: name of the service
 * @kind: search or run
 * @code: 0, or the error code if there was no answer
 * @maybe_ran: bytes of it may have reached a backend server
 * @notable: it failed or was slow, so its trace is kept longer
 * @started_wall: start by the wall clock, microseconds since 1970
 * @elapsed: duration, microseconds
 * @deadline: deadline after the start, microseconds
 * @retry_after_ms: delay before a retry that the caller was given,
 *		    milliseconds; 0: none
 * @table_revision: revision of the table in use
 * @snapshot: version of the snapshot searched
 * @n_shards: shards of the snapshot
 * @n_answered: of these, shards that answered
 * @covered: records in the shards that answered
 * @total: records in the snapshot
 * @min_coverage: required ratio of @covered to @total
 * @n_homes: homes asked
 * @n_requests: requests to backend servers
 * @n_hedges: of these, hedges
 * @n_retries: of these, retries
 * @n_restarts: restarts at another snapshot
 * @reasons: missing shards by error code; the first TRACE_REASONS_MAX codes
 * @n_reasons: number of @reasons
 * @n_missing: missing shards, including those of codes not in @reasons
 */
struct trace_summary {
	char request_id[TRACE_TEXT_SIZE];
	char service[TRACE_TEXT_SIZE];
	enum trace_kind kind;
	int code;
	bool maybe_ran;
	bool notable;
	int64_t started_wall;
	int64_t elapsed;
	int64_t deadline;
	int64_t retry_after_ms;
	uint64_t table_revision;
	uint64_t snapshot;
	int n_shards;
	int n_answered;
	uint64_t covered;
	uint64_t total;
	double min_coverage;
	int n_homes;
	int n_requests;
	int n_hedges;
	int n_retries;
	int n_restarts;
	struct trace_reason reasons[TRACE_REASONS_MAX];
	int n_reasons;
	int n_missing;
};

/**
 * struct trace - trace of a finished request
 * @summary: the request as a whole
 * @id_hash: hash of the request id
 * @number: sequence number within the store
 * @ended_at: end of the request on the store's clock, microseconds
 * @bytes: memory of this struct
 * @n_left_out: parts that were answered quickly and not kept
 * @n_parts: number of @parts
 * @prev: in its list
 * @next: in its list
 * @parts: in the order sent
 */
struct trace {
	struct trace_summary summary;
	uint64_t id_hash;
	uint64_t number;
	int64_t ended_at;
	size_t bytes;
	int n_left_out;
	int n_parts;
	struct trace *prev;
	struct trace *next;
	struct trace_part parts[];
};

/**
 * struct trace_limits - limits of a store
 * @max: number of traces
 * @bytes_max: memory of traces and the names in them, bytes
 * @parts_max: number of parts per trace
 */
struct trace_limits {
	int64_t max;
	int64_t bytes_max;
	int64_t parts_max;
};

/**
 * struct trace_list - traces in the order added
 * @first: the oldest
 * @n: number of traces
 * @bytes: memory of the traces without names
 */
struct trace_list {
	struct trace *first;
	int64_t n;
	int64_t bytes;
};

/**
 * struct trace_store - traces of one instance
 * @clock: not owned
 * @limits: set by trace_store_set_limits()
 * @ordinary: traces of other requests
 * @notable: traces of requests that failed or were slow; evicted first only
 *	     above half of the limits
 * @names: names of servers and homes in traces and logs, reference-counted
 * @name_bytes: memory of @names
 * @evicted: ring buffer of hashes of the last TRACE_EVICTED_MAX request ids
 *	     that were evicted; owned, NULL before the first
 * @n_evicted: number of traces evicted so far
 * @n_added: number of traces added so far
 */
struct trace_store {
	const struct clock *clock;
	struct trace_limits limits;
	struct trace_list ordinary;
	struct trace_list notable;
	struct trace_name *names;
	int64_t name_bytes;
	uint64_t *evicted;
	uint64_t n_evicted;
	uint64_t n_added;
};

void trace_store_init(struct trace_store *store, const struct clock *clock);
void trace_store_finish(struct trace_store *store);

/**
 * trace_store_set_limits() - set limits and evict the traces above them
 */
void trace_store_set_limits(struct trace_store *store,
			    const struct trace_limits *limits);

/**
 * trace_store_add() - add the trace of a finished request
 * @summary: copied
 * @log: its parts, moved into the store; NULL if nothing was sent
 *
 * May evict older traces.
 */
void trace_store_add(struct trace_store *store,
		     const struct trace_summary *summary,
		     struct trace_log *log);

/**
 * trace_store_find() - find the newest trace of a request id
 * @before: a trace found earlier, to find the next older one; or NULL
 * @out: owned by the store, valid until it changes; NULL if not found
 *
 * Return: 0; ERR_TRACE_EVICTED if a trace of this id was evicted; ERR_NO_TRACE
 * otherwise.
 */
int trace_store_find(const struct trace_store *store, struct str request_id,
		     const struct trace *before, const struct trace **out);

/**
 * trace_store_oldest() - when the oldest request in the store ended
 *
 * Return: microseconds on the clock; the current time if the store is empty.
 */
int64_t trace_store_oldest(const struct trace_store *store);

/**
 * trace_store_count() - number of traces in the store
 */
int64_t trace_store_count(const struct trace_store *store);

/**
 * trace_store_bytes() - memory of traces and the names in them, bytes
 */
int64_t trace_store_bytes(const struct trace_store *store);

/**
 * trace_name_text() - name of a server or home as text, owned by the store
 */
const char *trace_name_text(const struct trace_name *name);

/**
 * trace_log_init() - start the log of a request
 * @store: outlives the log
 * @started_at: start of the request on the store's clock, microseconds
 */
void trace_log_init(struct trace_log *log, struct trace_store *store,
		    int64_t started_at);
void trace_log_finish(struct trace_log *log);

/**
 * trace_log_sent() - record that a part was sent
 * @at: time on the store's clock, microseconds; a parameter because reading
 *	the clock for each part would be the largest cost of the trace
 * @server: name of the backend server
 * @home: name of the instance that it is sent through
 * @attempt: why it was sent
 * @n_shards: number of shards asked for
 */
void trace_log_sent(struct trace_log *log, int64_t at, struct str server,
		    struct str home, enum trace_attempt attempt, int n_shards);

/**
 * trace_log_set_times() - record the times that a part's home reported
 * @index: of the part, counted from 0 after each restart
 * @wait_us: time in the home's queue, microseconds
 * @server_us: time until the server answered, microseconds
 *
 * Ignored if the part has ended.
 */
void trace_log_set_times(struct trace_log *log, int index, uint32_t wait_us,
			 uint32_t server_us);

/**
 * trace_log_done() - record that a part ended
 * @index: of the part, counted from 0 after each restart
 * @at: time on the store's clock, microseconds
 * @code: 0, or the error code of its failure
 *
 * Ignored if the part has ended before.
 */
void trace_log_done(struct trace_log *log, int index, int64_t at, int code);

/**
 * trace_log_restart() - record that the request starts again with new parts
 */
void trace_log_restart(struct trace_log *log);

/**
 * trace_summary_add_missing() - add a shard that was not covered
 * @code: why
 * @lo: first point of the shard
 * @hi: last point of the shard
 * @records: number of records in it
 *
 * To be called in ascending order of points, so that adjacent shards join to
 * one range.
 */
void trace_summary_add_missing(struct trace_summary *summary, int code,
			       uint16_t lo, uint16_t hi, uint64_t records);

#endif
