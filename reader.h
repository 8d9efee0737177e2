/*
 * Decides which instances call the platform, and when. A few instances of each
 * data centre, chosen by rendezvous hashing without coordination, watch the
 * platform with long polls. The others call it only when they start, and rarely
 * while their table is unconfirmed. The rate of calls thus depends on the
 * number of data centres, not of instances.
 */
#ifndef READER_H
#define READER_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "table.h"

enum reader_key {
	READER_TABLE,
	READER_INSTANCES,
	READER_KEYS,
};

/**
 * struct reader_call - a call to the platform
 * @key: what to read
 * @id: given back to reader_call_done()
 * @conditional: request only a revision above @after
 * @after: a revision of the key
 * @wait_ms: how long the platform may wait for such a revision
 */
struct reader_call {
	enum reader_key key;
	uint64_t id;
	bool conditional;
	uint64_t after;
	int64_t wait_ms;
};

/**
 * struct reader_watch - the state of the calls for one key
 * @busy: a call is under way
 * @call_id: of the current or last call
 * @sent_at: when that call was made, microseconds
 * @wait_ms: how long the platform may wait in that call
 * @next_at: earliest time of the next call, microseconds
 * @verified_at: when the whole value was last read, microseconds
 * @failures: calls that failed in a row
 * @answered: a call was answered since the start
 * @verify: the next call reads the whole value
 * @conditional: the current call is conditional
 * @sent_after: @after of the current call
 * @after: highest revision seen, 0 if none; set by the owner
 * @watched_by_all: every instance watches this key; set by the owner
 */
struct reader_watch {
	bool busy;
	uint64_t call_id;
	int64_t sent_at;
	int64_t wait_ms;
	int64_t next_at;
	int64_t verified_at;
	int failures;
	bool answered;
	bool verify;
	bool conditional;
	uint64_t sent_after;
	uint64_t after;
	bool watched_by_all;
};

/**
 * struct reader - when this instance calls the platform
 * @clock: borrowed
 * @tunables: borrowed; the owner updates it with the table in force
 * @random: state of the generator for jitter
 * @last_id: of the last call
 * @rank: position among the candidates of the data centre, 0 is the first
 * @n: candidates in the data centre, this one included
 * @leaving: this instance is shutting down and does not watch
 * @starting: this instance calls each key until it was answered once
 * @unconfirmed: the owner's table is unconfirmed
 * @platform_behind: the platform last returned a lower revision than the one in
 *		     force; set by the owner
 * @revision_unseen: the platform has not yet returned the revision in force to
 *		     this instance; set by the owner
 * @next_poll_at: earliest time of the next call while @unconfirmed,
 *		  microseconds; for instances that do not watch
 * @watches: by key
 */
struct reader {
	const struct clock *clock;
	const struct tunables *tunables;
	uint64_t random;
	uint64_t last_id;
	int rank;
	int n;
	bool leaving;
	bool starting;
	bool unconfirmed;
	bool platform_behind;
	bool revision_unseen;
	int64_t next_poll_at;
	struct reader_watch watches[READER_KEYS];
};

/**
 * reader_init() - set up the reader of an instance that just started
 * @reader: set up
 * @clock: borrowed
 * @tunables: borrowed
 * @seed: for jitter
 */
void reader_init(struct reader *reader, const struct clock *clock,
		 const struct tunables *tunables, uint64_t seed);

/**
 * reader_score() - rendezvous score of an instance
 * @instance: its name
 *
 * The instances with the highest scores of a data centre watch the platform.
 */
uint64_t reader_score(struct str instance);

/**
 * reader_set_rank() - the data centre's members changed
 * @reader: the state of this instance
 * @rank: position of this instance among the candidates, by score
 * @n: candidates in the data centre
 * @leaving: this instance is shutting down
 */
void reader_set_rank(struct reader *reader, int rank, int n, bool leaving);

/**
 * reader_is_watching() - whether this instance watches the platform
 * @reader: the state of this instance
 */
bool reader_is_watching(const struct reader *reader);

/**
 * reader_set_starting() - set whether the instance calls each key until it was
 * answered once, also if it does not watch
 * @reader: the state of this instance
 * @starting: whether it does so
 */
void reader_set_starting(struct reader *reader, bool starting);

/**
 * reader_set_unconfirmed() - set whether the table is unconfirmed
 * @reader: the state of this instance
 * @unconfirmed: no peer has confirmed the table recently
 */
void reader_set_unconfirmed(struct reader *reader, bool unconfirmed);

/**
 * reader_next() - get the next call that is due
 * @reader: the state of this instance
 * @call: filled if there is one
 *
 * Return: whether there is one; call again until there is none.
 */
bool reader_next(struct reader *reader, struct reader_call *call);

/**
 * reader_is_current_call() - whether a call is the one under way for its key
 * @reader: the state of this instance
 * @key: of the call
 * @id: of the call
 */
bool reader_is_current_call(const struct reader *reader, enum reader_key key,
			    uint64_t id);

/**
 * reader_call_done() - a call failed, or its answer was processed completely
 * @reader: the state of this instance
 * @key: of the call
 * @id: of the call; ignored unless it is the current one
 * @code: 0, also if there was nothing newer; or the error
 * @newer: the answer had a value
 * @retry_after_ms: pause that the platform asked for, 0 if none
 */
void reader_call_done(struct reader *reader, enum reader_key key, uint64_t id,
		      int code, bool newer, int64_t retry_after_ms);

/**
 * reader_random() - a random number from 0 to @n - 1; 0 if @n is not above 0
 * @reader: the state of its generator is advanced
 * @n: number of possible values
 */
int64_t reader_random(struct reader *reader, int64_t n);

#endif
