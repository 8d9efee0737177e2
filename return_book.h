/*
 * Callers that were refused for load, and when there will be room for them.
 * Room is a rate: each promise is booked behind those to requests that are as
 * urgent or more, and what nobody comes back for is there for others. Answers
 * callers that are refused again and again, and those that repeat at once:
 * these gain nothing. Decides without sockets.
 */
#ifndef RETURN_BOOK_H
#define RETURN_BOOK_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "server_estimate.h"

/* Callers that are remembered at a time. */
#define RETURN_BOOK_MOST 2048
/* Services whose promises are counted. */
#define RETURN_LINES_MOST 64

/**
 * struct return_entry - a request that was refused
 * @fingerprint: the same when it comes again
 * @service: hash of the name of the one that is short
 * @due: before that it is refused again, microseconds
 * @cost: its work, microseconds
 * @kept: there is room for it from then on
 * @taken: for other instances: it came back
 */
struct return_entry {
	uint64_t fingerprint;
	uint64_t service;
	int64_t due;
	int64_t cost;
	int level;
	bool kept;
	bool taken;
	UT_hash_handle hh;
};

/**
 * struct return_line - promises of a service
 * @free_at: by level: from when on room is not promised
 * @room: by level: work a second that is promised at most; 0: not known
 */
struct return_line {
	uint64_t service;
	double room[ESTIMATE_LEVELS];
	int64_t free_at[ESTIMATE_LEVELS];
	int64_t used_at;
};

struct return_book {
	const struct clock *clock;
	struct return_entry *entries;
	struct return_line lines[RETURN_LINES_MOST];
	int n_lines;
	int64_t swept_at;
};

/**
 * struct return_ask - a request that is refused for load
 * @room: work a second that all instances serve of the service; 0: not known
 * @room_in: there is none before, microseconds; 0: not known
 * @patience: the caller waits so long at most, microseconds
 */
struct return_ask {
	uint64_t fingerprint;
	uint64_t service;
	int level;
	int64_t cost;
	double room;
	int64_t room_in;
	int64_t patience;
};

enum return_state {
	RETURN_NONE,  /* nothing is known of the request */
	RETURN_EARLY, /* it is to be refused again */
	RETURN_DUE,   /* there is room for it */
};

void return_book_init(struct return_book *book, const struct clock *clock);
void return_book_finish(struct return_book *book);

/**
 * return_book_offer() - when a refused request may come back
 * @out: set; @out->kept says whether it is a promise
 *
 * A caller that will not wait so long is promised nothing.
 *
 * Return: after how many microseconds there is room.
 */
int64_t return_book_offer(struct return_book *book,
			  const struct return_ask *ask,
			  struct return_entry *out);

/**
 * return_book_find() - what is known of a request that came
 *
 * Return: NULL if nothing, or it came too late.
 */
const struct return_entry *return_book_find(struct return_book *book,
					    uint64_t fingerprint);

/**
 * return_book_arrive() - whether it comes at its time
 * @entry: may be NULL
 */
enum return_state return_book_arrive(const struct return_book *book,
				     const struct return_entry *entry);

/**
 * return_book_drop() - the request is let in, or needs no promise any more
 */
void return_book_drop(struct return_book *book, uint64_t fingerprint);

/**
 * return_book_told() - another instance gave a promise, or it was used there
 */
void return_book_told(struct return_book *book,
		      const struct return_entry *entry);

#endif
