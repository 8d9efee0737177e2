#include "return_book.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

/* New requests need room as well, and are better served at once. */
#define ROOM_SHARE 0.2
/* Without any knowledge. */
#define WAIT_UNKNOWN MSEC(100)
/* Sooner, nothing has changed; later, what was seen now says nothing. */
#define WAIT_LEAST MSEC(20)
#define WAIT_MOST MSEC(5000)
/* A caller's clock and the way to it are not exact. */
#define EARLY_BY MSEC(10)
/* A caller may need a new connection first, and meet a slow link. */
#define KEPT_FOR MSEC(500)
#define SWEEP_PERIOD MSEC(200)

void return_schedule_init(struct return_schedule *book,
			  const struct clock *clock)
{
	memset(book, 0, sizeof(*book));
	book->clock = clock;
}

static void forget(struct return_schedule *book, struct scheduled_return *entry)
{
	HASH_DEL(book->entries, entry);
	free(entry);
}

void return_schedule_finish(struct return_schedule *book)
{
	struct scheduled_return *entry;
	struct scheduled_return *next;

	HASH_ITER (hh, book->entries, entry, next)
		forget(book, entry);
}

static bool is_over(const struct scheduled_return *entry, int64_t now)
{
	return now > entry->due + KEPT_FOR;
}

static void sweep(struct return_schedule *book, int64_t now)
{
	struct scheduled_return *entry;
	struct scheduled_return *next;

	if (now - book->swept_at < SWEEP_PERIOD)
		return;
	book->swept_at = now;
	HASH_ITER (hh, book->entries, entry, next) {
		if (is_over(entry, now))
			forget(book, entry);
	}
}

static struct return_queue *oldest_line(struct return_schedule *book)
{
	struct return_queue *oldest = &book->lines[0];
	int i;

	for (i = 1; i < book->n_lines; i++) {
		if (book->lines[i].used_at < oldest->used_at)
			oldest = &book->lines[i];
	}
	return oldest;
}

static struct return_queue *line_of(struct return_schedule *book,
				    uint64_t service, int64_t now)
{
	struct return_queue *line = NULL;
	int i;

	for (i = 0; i < book->n_lines && !line; i++) {
		if (book->lines[i].service == service)
			line = &book->lines[i];
	}
	if (!line) {
		line = book->n_lines < RETURN_QUEUES_MAX
			       ? &book->lines[book->n_lines++]
			       : oldest_line(book);
		memset(line, 0, sizeof(*line));
		line->service = service;
	}
	line->used_at = now;
	return line;
}

/* The less urgent come after it; promises they have already are kept. */
static void book_room(struct return_queue *line, int level, int64_t cost,
		      int64_t now)
{
	int i;

	for (i = level; i < ESTIMATE_LEVELS; i++) {
		if (!line->room[i])
			continue;
		if (line->free_at[i] < now)
			line->free_at[i] = now;
		line->free_at[i] +=
			(int64_t)((double)cost * USEC_PER_SEC / line->room[i]);
	}
}

static struct scheduled_return *put(struct return_schedule *book,
				    const struct scheduled_return *from)
{
	struct scheduled_return *entry;

	HASH_FIND(hh, book->entries, &from->fingerprint,
		  sizeof(from->fingerprint), entry);
	if (entry)
		forget(book, entry);
	if (HASH_COUNT(book->entries) >= RETURN_SCHEDULE_MAX)
		return NULL;
	entry = mem_zalloc(sizeof(*entry));
	*entry = *from;
	HASH_ADD(hh, book->entries, fingerprint, sizeof(entry->fingerprint),
		 entry);
	return entry;
}

/* Until the room that this request needs is not promised to others. */
static int64_t wait_for_room(const struct return_queue *line,
			     const struct return_request *ask, int64_t now)
{
	double room = line->room[ask->level];
	int64_t start = now + ask->room_in;
	int64_t wait;

	if (!room)
		return ask->room_in ? ask->room_in : WAIT_UNKNOWN;
	if (line->free_at[ask->level] > start)
		start = line->free_at[ask->level];
	wait = start - now + (int64_t)((double)ask->cost * USEC_PER_SEC / room);
	if (wait < WAIT_LEAST)
		return WAIT_LEAST;
	return wait < WAIT_MOST ? wait : WAIT_MOST;
}

int64_t return_schedule_offer(struct return_schedule *book,
			      const struct return_request *ask,
			      struct scheduled_return *out)
{
	int64_t now = clock_now(book->clock);
	struct return_queue *line = line_of(book, ask->service, now);
	int64_t wait;

	sweep(book, now);
	line->room[ask->level] = ask->room * ROOM_SHARE;
	wait = wait_for_room(line, ask, now);
	memset(out, 0, sizeof(*out));
	out->fingerprint = ask->fingerprint;
	out->service = ask->service;
	out->level = ask->level;
	out->cost = ask->cost;
	out->kept = wait <= ask->patience;
	out->due = now + (out->kept ? wait : ask->patience);
	if (!put(book, out))
		out->kept = false;
	if (out->kept)
		book_room(line, ask->level, ask->cost, now + ask->room_in);
	return wait;
}

const struct scheduled_return *
return_schedule_find(struct return_schedule *book, uint64_t fingerprint)
{
	struct scheduled_return *entry;

	HASH_FIND(hh, book->entries, &fingerprint, sizeof(fingerprint), entry);
	if (!entry || is_over(entry, clock_now(book->clock)))
		return NULL;
	return entry;
}

enum return_state return_schedule_check(const struct return_schedule *book,
					const struct scheduled_return *entry)
{
	if (!entry)
		return RETURN_NONE;
	if (clock_now(book->clock) < entry->due - EARLY_BY)
		return RETURN_EARLY;
	return entry->kept ? RETURN_DUE : RETURN_NONE;
}

void return_schedule_remove(struct return_schedule *book, uint64_t fingerprint)
{
	struct scheduled_return *entry;

	HASH_FIND(hh, book->entries, &fingerprint, sizeof(fingerprint), entry);
	if (entry)
		forget(book, entry);
}

void return_schedule_receive(struct return_schedule *book,
			     const struct scheduled_return *entry)
{
	int64_t now = clock_now(book->clock);

	sweep(book, now);
	if (entry->taken) {
		return_schedule_remove(book, entry->fingerprint);
		return;
	}
	if (is_over(entry, now) || entry->due > now + WAIT_MOST)
		return;
	if (put(book, entry) && entry->kept)
		book_room(line_of(book, entry->service, now), entry->level,
			  entry->cost, now);
}
