/*
 * Which instances call the platform, and when. A few instances of each data
 * centre, chosen by rendezvous hashing without coordination, watch the
 * platform by long polls; the others call it only when they start, and rarely
 * while their table is unconfirmed. Calls thus grow with the data centres.
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
 * struct reader_call - one call on the platform
 * @id: given back to reader_call_done()
 * @conditional: only a revision above @after is wanted
 * @wait_ms: how long the platform may wait for one
 */
struct reader_call {
	enum reader_key key;
	uint64_t id;
	bool conditional;
	uint64_t after;
	int64_t wait_ms;
};

/**
 * struct reader_watch - the calls for one key
 * @sent_after: what the current call has in @after
 * @after: highest revision seen, 0 if none; set by the owner
 * @answered: a call was answered since the start
 * @verify: the next call is for the whole value
 * @by_all: every instance watches this key; set by the owner
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
	bool by_all;
};

/**
 * struct reader - the policy's state
 * @tunables: borrowed; the owner changes it with the table in force
 * @rank: place among the candidates of the data centre, 0 is the first
 * @n: candidates in the data centre, this one included
 * @unconfirmed: the owner's table is unconfirmed
 * @behind: the platform last showed a lower revision; set by the owner
 * @unseen: the platform has not yet shown the revision in force to this
 *          instance; set by the owner
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
	bool behind;
	bool unseen;
	int64_t ask_at;
	struct reader_watch watches[READER_KEYS];
};

/**
 * reader_init() - an instance that just started
 * @seed: for jitter
 */
void reader_init(struct reader *reader, const struct clock *clock,
		 const struct tunables *tunables, uint64_t seed);

/**
 * reader_score() - rendezvous score of an instance; the highest reads
 */
uint64_t reader_score(struct str instance);

/**
 * reader_set_rank() - the data centre's members changed
 */
void reader_set_rank(struct reader *reader, int rank, int n, bool leaving);
bool reader_is_watching(const struct reader *reader);

/**
 * reader_set_starting() - whether the instance still calls as a new one
 */
void reader_set_starting(struct reader *reader, bool starting);

/**
 * reader_set_unconfirmed() - whether no peer's confirmation is fresh
 */
void reader_set_unconfirmed(struct reader *reader, bool unconfirmed);

/**
 * reader_next() - the next call that is due
 *
 * Return: whether there is one; ask again until there is none.
 */
bool reader_next(struct reader *reader, struct reader_call *call);

/**
 * reader_is_current_call() - whether the call is the current one for its key
 */
bool reader_is_current_call(const struct reader *reader, enum reader_key key,
			    uint64_t id);

/**
 * reader_call_done() - a call was answered, with all that it led to, or failed
 * @code: 0 also if there was nothing newer; or why it failed
 * @newer: a value came
 * @retry_after_ms: what the platform asked for, 0 if nothing
 */
void reader_call_done(struct reader *reader, enum reader_key key, uint64_t id,
		      int code, bool newer, int64_t retry_after_ms);

/**
 * reader_random() - a number from 0 to below @n; 0 if @n is 0
 */
int64_t reader_random(struct reader *reader, int64_t n);

#endif
