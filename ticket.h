/*
 * Tickets: at most one run of a request without stored state. A ticket is
 * bound to the incarnation of the instance that issued it, and only that
 * incarnation may run it. See docs/design/at-most-once.md.
 */
#ifndef TICKET_H
#define TICKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

struct clock;
struct ticket_entry;

#define TICKET_TEXT_SIZE 128
/* Sequence numbers for which a book remembers whether they were ever used. */
#define TICKET_HISTORY (1U << 20)

/**
 * struct ticket_id - a ticket taken apart
 * @incarnation: of the issuer
 * @sequence: from 1, counted by the issuer's incarnation
 * @nonce: random, so that a ticket can't be made up
 * @instance: the issuer; borrowed from the text
 */
struct ticket_id {
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t nonce;
	struct str instance;
};

/**
 * struct ticket_answer - the final answer of a request
 * @code: 0 when it ran, else an error code
 * @body: of the backend server's answer; borrowed
 * @retry_after_ms: when to come back with a new ticket; 0: nothing to say
 */
struct ticket_answer {
	int code;
	struct str body;
	uint32_t retry_after_ms;
};

/**
 * struct ticket_waiter - one who waits for the answer of a running request
 * @answered: called once; the waiter is then off the list
 */
struct ticket_waiter {
	void (*answered)(struct ticket_waiter *waiter,
			 const struct ticket_answer *answer);
	struct ticket_entry *entry;
	struct ticket_waiter *prev;
	struct ticket_waiter *next;
};

/**
 * struct ticket_limits - bounds of a book
 * @lifetime: from issue to expiry, microseconds
 * @tickets_max: tickets not yet expired
 * @bytes_max: of all entries with their answers
 * @answer_reserve: bytes set aside for the answer of each ticket
 */
struct ticket_limits {
	int64_t lifetime;
	int64_t tickets_max;
	int64_t bytes_max;
	int64_t answer_reserve;
};

/**
 * struct ticket_store - the tickets that one incarnation has issued
 * @instance: name of this instance; borrowed
 * @incarnation: of this process, never 0
 * @random: source of nonces; must not be predictable in production
 * @issued: tickets issued so far
 * @entries: by sequence number
 * @oldest: entries in the order of issue
 * @bytes: in use or set aside
 * @used: a bit for each of the last %TICKET_HISTORY sequence numbers
 */
struct ticket_store {
	const struct clock *clock;
	struct str instance;
	uint64_t incarnation;
	uint64_t (*random)(void);
	struct ticket_limits limits;
	uint64_t issued;
	struct ticket_entry *entries;
	struct ticket_entry *oldest;
	int64_t n_entries;
	int64_t bytes;
	uint8_t *used;
};

/* What ticket_use() found. */
enum ticket_state {
	TICKET_FIRST = 1, /* run it now, then call ticket_answer() */
	TICKET_RUNNING,	  /* wait for it: ticket_wait() */
	TICKET_ANSWERED,  /* the answer is filled in */
};

void ticket_store_init(struct ticket_store *book, const struct clock *clock,
		       struct str instance, uint64_t incarnation,
		       uint64_t (*random)(void));

/**
 * ticket_store_finish() - free the entries
 *
 * Waiters are told ERR_UNKNOWN.
 */
void ticket_store_finish(struct ticket_store *book);

/**
 * ticket_store_set_limits() - take new bounds
 *
 * Tickets already issued keep the lifetime their holders were told.
 */
void ticket_store_set_limits(struct ticket_store *book,
			     const struct ticket_limits *limits);

/**
 * ticket_issue() - make a ticket for one request
 * @service: the service it is for
 * @text: of TICKET_TEXT_SIZE bytes, filled on success
 * @retry_after_ms: set on failure
 *
 * Return: 0, or ERR_OVERLOAD while the book is full.
 */
int ticket_issue(struct ticket_store *book, struct str service, char *text,
		 uint32_t *retry_after_ms);

/**
 * ticket_parse() - take a ticket apart, whoever issued it
 *
 * Return: 0, or ERR_TICKET.
 */
int ticket_parse(struct str text, struct ticket_id *out);

/**
 * ticket_is_own() - whether this incarnation issued, and so may run, a ticket
 */
bool ticket_is_own(const struct ticket_store *book, const struct ticket_id *id);

/**
 * ticket_use() - present a ticket of this incarnation
 * @id: for which ticket_is_own() holds
 * @service: as given to ticket_issue()
 * @digest: of the whole request; a repeat must have the same
 * @answer: filled with TICKET_ANSWERED; its body is valid until the next call
 * on @book
 *
 * Return: an enum ticket_state; or
 * ERR_TICKET: made up, or for another service;
 * ERR_BAD_REQUEST: a ticket used before for another request;
 * ERR_TICKET_EXPIRED: expired unused: it has not run and never will;
 * ERR_TICKET_LOST: expired, and it may have been used.
 */
int ticket_use(struct ticket_store *book, const struct ticket_id *id,
	       struct str service, uint64_t digest,
	       struct ticket_answer *answer);

/**
 * ticket_time_left() - time until a ticket expires
 *
 * Return: microseconds, 0 for one that is expired or not known.
 */
int64_t ticket_time_left(const struct ticket_store *book, uint64_t sequence);

/**
 * ticket_wait() - be told the answer of a running request
 * @waiter: owned by the caller, with @answered set
 *
 * Return: 0, or ERR_TICKET if @sequence is not running.
 */
int ticket_wait(struct ticket_store *book, uint64_t sequence,
		struct ticket_waiter *waiter);

/**
 * ticket_unwait() - leave the list; does nothing when not on one
 */
void ticket_unwait(struct ticket_waiter *waiter);

/**
 * ticket_answer() - store the final answer and tell the waiters
 *
 * The first answer stays, so that a repeat gets the same one. Does nothing
 * for a ticket that is not running.
 */
void ticket_answer(struct ticket_store *book, uint64_t sequence,
		   const struct ticket_answer *answer);

/**
 * ticket_expire() - free the entries whose time is over
 *
 * An expired entry that still runs stays until it is answered: it has waiters.
 */
void ticket_expire(struct ticket_store *book);

#endif
