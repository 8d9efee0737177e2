/*
 * Records of what recent requests did, so that each can be explained.
 *
 * While a request runs, its parts go into a struct trace_log; when it is over,
 * the log is cut to a struct trace and kept in a struct trace_store, bounded by
 * number and bytes. Requests that went wrong are kept longer than others. No
 * sockets here, and time comes from the clock.
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
	TRACE_RUN, /* a request that must not be repeated */
};

enum trace_attempt {
	TRACE_FIRST,
	TRACE_HEDGE, /* beside a part that is slow */
	TRACE_RETRY, /* after a part that failed */
};

/**
 * struct trace_part - what was asked of one backend server
 * @home: the instance it went through
 * @sent_us: since the request was taken
 * @back_us: likewise; meaningless unless @is_back
 * @wait_us: queued at the home, as the home says
 * @server_us: from sent to answered at the home, as the home says
 * @code: 0 or why it came to nothing
 * @why: enum trace_attempt
 * @restarts: restarts of the request before it
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
	uint8_t why;
	uint8_t restarts;
	bool is_back;
};

/**
 * struct trace_log - parts of a request in flight
 * @base: parts before the last restart
 */
struct trace_log {
	struct trace_store *book;
	int64_t started_at;
	struct trace_part *parts;
	int n;
	int cap;
	int base;
	uint8_t restarts;
};

struct trace_range {
	uint16_t lo;
	uint16_t hi;
};

/**
 * struct trace_reason - shards missing for the same reason
 * @records: records of the snapshot in them
 * @ranges: points in them, the first TRACE_RANGES_MAX runs
 * @n_ranges: runs, also of those not kept
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
 * @code: 0, or why there was no answer
 * @maybe_ran: bytes of it may have reached a backend server
 * @notable: kept longer: it went wrong or was slow
 * @started_wall: microseconds since 1970
 * @elapsed: microseconds
 * @deadline: microseconds after the start
 * @covered: records in the shards that answered
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
	int n_missing; /* shards, also of reasons not kept */
};

/**
 * struct trace - the record of a request that is over
 * @number: counts up within the book
 * @n_left_out: parts that were answered quickly and not kept
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
 * struct trace_limits - what a book may keep
 * @max: records
 * @bytes_max: memory of records and the names in them
 * @parts_max: parts a record
 */
struct trace_limits {
	int64_t max;
	int64_t bytes_max;
	int64_t parts_max;
};

/* One of a book's two lists, oldest first. */
struct trace_list {
	struct trace *first;
	int64_t n;
	int64_t bytes;
};

/**
 * struct trace_store - records of one instance
 * @ordinary: of requests that went well
 * @notable: of the others; half of the book is theirs
 * @names: of servers and homes in records and logs
 * @evicted: hashes of the last request ids that made room
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

void trace_store_init(struct trace_store *book, const struct clock *clock);
void trace_store_finish(struct trace_store *book);

/**
 * trace_store_set_limits() - take other limits; evicts at once what is above
 */
void trace_store_set_limits(struct trace_store *book,
			    const struct trace_limits *limits);

/**
 * trace_store_add() - keep the record of a request that is over
 * @log: emptied; NULL if nothing was sent
 */
void trace_store_add(struct trace_store *book,
		     const struct trace_summary *summary,
		     struct trace_log *log);

/**
 * trace_store_find() - the newest record of a request id
 * @before: a record found before, to find the next older one; or NULL
 * @out: valid until the book changes
 *
 * Return: 0; ERR_TRACE_EVICTED if it was known and made room for others;
 * ERR_NO_TRACE.
 */
int trace_store_find(const struct trace_store *book, struct str request_id,
		     const struct trace *before, const struct trace **out);

/**
 * trace_store_oldest() - end of the oldest record kept
 *
 * Return: on the clock; the present time if nothing is kept.
 */
int64_t trace_store_oldest(const struct trace_store *book);

/**
 * trace_store_count() - records kept
 */
int64_t trace_store_count(const struct trace_store *book);

/**
 * trace_store_bytes() - memory of records and the names in them
 */
int64_t trace_store_bytes(const struct trace_store *book);

/**
 * trace_name_text() - name of a server or home
 */
const char *trace_name_text(const struct trace_name *name);

/**
 * trace_log_init() - begin the log of a request
 * @started_at: on the book's clock
 */
void trace_log_init(struct trace_log *log, struct trace_store *book,
		    int64_t started_at);
void trace_log_finish(struct trace_log *log);

/**
 * trace_log_sent() - a part leaves for a home
 * @at: on the clock; given, as reading it for each part would cost most
 */
void trace_log_sent(struct trace_log *log, int64_t at, struct str server,
		    struct str home, enum trace_attempt why, int n_shards);

/**
 * trace_log_set_times() - where a part's time went, as its home says
 * @index: of the part, counted from 0 after each restart
 */
void trace_log_set_times(struct trace_log *log, int index, uint32_t wait_us,
			 uint32_t server_us);

/**
 * trace_log_done() - a part is over
 * @at: on the clock
 * @code: 0, or why it came to nothing
 */
void trace_log_done(struct trace_log *log, int index, int64_t at, int code);

/**
 * trace_log_restart() - the request begins again with other parts
 */
void trace_log_restart(struct trace_log *log);

/**
 * trace_summary_add_missing() - a shard was not covered; in the order of points
 */
void trace_summary_add_missing(struct trace_summary *summary, int code,
			       uint16_t lo, uint16_t hi, uint64_t records);

#endif
