#include "reader.h"

#include <string.h>

#include "error.h"

/* Any constant, the same in all instances. */
#define SCORE_KEY UINT64_C(0x7265616465720001)
#define START_JITTER MSEC(100)
/* Shortest time between the starts of two calls for one key. */
#define CALL_GAP MSEC(100)
/* Pause after a watching call that came back at once without news. */
#define EARLY_PAUSE MSEC(1000)
/* A call this much over its wait is given up. */
#define CALL_GRACE MSEC(5000)
/* Part of the wait by which watches are spread, so that they don't align. */
#define WAIT_SPREAD 5
#define BACKOFF_SHIFT_MAX 16
/* Whole reads are this much more frequent while the platform is behind. */
#define BEHIND_VERIFY 10

/* splitmix64 */
static uint64_t next_random(struct reader *reader)
{
	uint64_t z = reader->random += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	return z ^ (z >> 31);
}

int64_t reader_random(struct reader *reader, int64_t n)
{
	if (n <= 0)
		return 0;
	return (int64_t)(next_random(reader) % (uint64_t)n);
}

void reader_init(struct reader *reader, const struct clock *clock,
		 const struct tunables *tunables, uint64_t seed)
{
	int64_t now = clock_now(clock);
	int i;

	memset(reader, 0, sizeof(*reader));
	reader->clock = clock;
	reader->tunables = tunables;
	reader->random = seed;
	reader->n = 1;
	reader->starting = true;
	for (i = 0; i < READER_KEYS; i++) {
		reader->watches[i].next_at =
			now + reader_random(reader, START_JITTER);
		reader->watches[i].verify = true;
	}
}

uint64_t reader_score(struct str instance)
{
	return str_hash_mix(str_hash(instance), SCORE_KEY);
}

void reader_set_rank(struct reader *reader, int rank, int n, bool leaving)
{
	reader->rank = rank;
	reader->n = n;
	reader->leaving = leaving;
}

bool reader_is_watching(const struct reader *reader)
{
	return !reader->leaving &&
	       reader->rank < reader->tunables->table_readers;
}

void reader_set_starting(struct reader *reader, bool starting)
{
	reader->starting = starting;
}

/*
 * Against a storm on a platform that comes back after an outage: all tables
 * turn unconfirmed at about the same time. Each instance waits in proportion
 * to the size of its data centre, so that a data centre as a whole makes one
 * call in table_ask_ms, however many instances it has.
 */
static int64_t ask_pause(struct reader *reader)
{
	int64_t mean = MSEC(reader->tunables->table_ask_ms) * reader->n;

	return reader_random(reader, 2 * mean);
}

void reader_set_unconfirmed(struct reader *reader, bool unconfirmed)
{
	if (unconfirmed && !reader->unconfirmed)
		reader->ask_at = clock_now(reader->clock) + ask_pause(reader);
	reader->unconfirmed = unconfirmed;
}

static int64_t backoff(struct reader *reader, int failures)
{
	int64_t cap = MSEC(reader->tunables->table_backoff_max_ms);
	int64_t pause = MSEC(reader->tunables->table_backoff_min_ms);
	int shift = failures < BACKOFF_SHIFT_MAX ? failures : BACKOFF_SHIFT_MAX;

	pause <<= shift;
	if (pause > cap)
		pause = cap;
	return pause / 2 + reader_random(reader, pause / 2 + 1);
}

static void fail(struct reader *reader, struct reader_watch *watch,
		 int64_t retry_after_ms)
{
	int64_t pause = backoff(reader, watch->failures++);
	int64_t asked = MSEC(retry_after_ms);

	if (pause < asked)
		pause = asked + reader_random(reader, asked / 2 + 1);
	watch->next_at = clock_now(reader->clock) + pause;
	/* It may come back from a backup: read the whole value. */
	watch->verify = true;
}

/*
 * Against a call that is never answered (a silent connection, or a process
 * that slept): without this the watch would wait for it for good.
 */
static void give_up_lost(struct reader *reader, struct reader_watch *watch)
{
	int64_t now = clock_now(reader->clock);

	if (!watch->busy ||
	    now - watch->sent_at < MSEC(watch->wait_ms) + CALL_GRACE)
		return;
	watch->busy = false;
	fail(reader, watch, 0);
}

/*
 * Against a platform restored from a backup: "nothing newer than N" is also
 * what it answers when it has lost N. Only a whole read shows what it has.
 */
static bool must_verify(const struct reader *reader,
			const struct reader_watch *watch, enum reader_key key)
{
	int64_t period = MSEC(reader->tunables->table_verify_ms);

	if (key == READER_TABLE && reader->behind)
		period /= BEHIND_VERIFY;
	else if (watch->verify || (key == READER_TABLE && reader->unseen))
		return true;
	return clock_now(reader->clock) - watch->verified_at >= period;
}

static void start_call(struct reader *reader, struct reader_watch *watch,
		       bool whole, bool wait, struct reader_call *call)
{
	int64_t now = clock_now(reader->clock);
	int64_t wait_ms = reader->tunables->table_watch_ms;

	wait_ms -= reader_random(reader, wait_ms / WAIT_SPREAD + 1);
	call->id = ++reader->last_id;
	call->conditional = !whole && watch->after;
	call->after = call->conditional ? watch->after : 0;
	call->wait_ms = call->conditional && wait ? wait_ms : 0;
	watch->busy = true;
	watch->call_id = call->id;
	watch->sent_at = now;
	watch->wait_ms = call->wait_ms;
	watch->conditional = call->conditional;
	watch->sent_after = call->after;
}

static bool watch_due(struct reader *reader, struct reader_watch *watch,
		      struct reader_call *call)
{
	int64_t now = clock_now(reader->clock);

	bool watches = reader_is_watching(reader) || watch->by_all;

	if (watch->busy || now < watch->next_at)
		return false;
	if (!watches && !(reader->starting && !watch->answered))
		return false;
	start_call(reader, watch, must_verify(reader, watch, call->key),
		   watches, call);
	return true;
}

static bool ask_due(struct reader *reader, struct reader_call *call)
{
	struct reader_watch *watch = &reader->watches[READER_TABLE];
	int64_t now = clock_now(reader->clock);

	if (!reader->unconfirmed || watch->busy || now < reader->ask_at ||
	    reader->starting || reader->leaving)
		return false;
	reader->ask_at = now + ask_pause(reader);
	call->key = READER_TABLE;
	start_call(reader, watch, reader->unseen, false, call);
	return true;
}

bool reader_next(struct reader *reader, struct reader_call *call)
{
	int i;

	for (i = 0; i < READER_KEYS; i++) {
		call->key = i;
		give_up_lost(reader, &reader->watches[i]);
		if (watch_due(reader, &reader->watches[i], call))
			return true;
	}
	return !reader_is_watching(reader) && ask_due(reader, call);
}

/*
 * Against a platform that answers a watch at once: without a pause the calls
 * would follow each other as fast as the network allows.
 */
static int64_t pause_after(const struct reader_watch *watch, int64_t now,
			   bool newer)
{
	if (!newer && watch->wait_ms &&
	    now - watch->sent_at < MSEC(watch->wait_ms) / 2)
		return EARLY_PAUSE;
	return CALL_GAP;
}

bool reader_is_current_call(const struct reader *reader, enum reader_key key,
			    uint64_t id)
{
	const struct reader_watch *watch = &reader->watches[key];

	return watch->busy && watch->call_id == id;
}

void reader_call_done(struct reader *reader, enum reader_key key, uint64_t id,
		      int code, bool newer, int64_t retry_after_ms)
{
	struct reader_watch *watch = &reader->watches[key];
	int64_t now = clock_now(reader->clock);

	if (!reader_is_current_call(reader, key, id))
		return;
	watch->busy = false;
	if (code) {
		fail(reader, watch, retry_after_ms);
		return;
	}
	watch->failures = 0;
	watch->answered = true;
	if (!watch->conditional) {
		watch->verify = false;
		watch->verified_at = now;
	}
	watch->next_at = watch->sent_at + CALL_GAP;
	if (pause_after(watch, now, newer) == EARLY_PAUSE)
		watch->next_at = now + EARLY_PAUSE;
}
