/*
 * Tickets guarantee that a request runs at most once, without stored state. A
 * ticket is bound to the incarnation of the instance that issued it, and only
 * that incarnation may run a request under it. See docs/design/at-most-once.md.
 */
#ifndef TICKET_H
#define TICKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "str.h"

struct clock;
struct ticket_entry;

/* Size of the text of a ticket with its terminator, bytes. */
#define TICKET_TEXT_SIZE 128
/* Number of latest tickets for which a store knows whether they were used. */
#define TICKET_HISTORY (1U << 20)

/**
 * struct ticket_id - fields of a parsed ticket
 * @incarnation: incarnation of the issuer
 * @sequence: counted from 1 by each incarnation of the issuer
 * @nonce: random, so that tickets can't be forged
 * @instance: name of the issuer; borrowed from the text
 */
struct ticket_id {
	uint64_t incarnation;
	uint64_t sequence;
	uint64_t nonce;
	struct str instance;
};

/**
 * struct ticket_answer - final answer to a request
 * @code: 0 if the request ran, else an error code
 * @body: body of the backend server's answer; borrowed
 * @retry_after_ms: when to retry with a new ticket; 0 if unspecified
 */
struct ticket_answer {
	int code;
	struct str body;
	uint32_t retry_after_ms;
};

/**
 * struct ticket_waiter - receives the answer to a running request
 * @answered: called once, after the waiter was unlinked; the answer is borrowed
 * @entry: the request's entry; NULL if not waiting
 * @prev: previous waiter of @entry
 * @next: next waiter of @entry
 */
struct ticket_waiter {
	void (*answered)(struct ticket_waiter *waiter,
			 const struct ticket_answer *answer);
	struct ticket_entry *entry;
	struct ticket_waiter *prev;
	struct ticket_waiter *next;
};

/**
 * struct ticket_limits - bounds of a store
 * @lifetime: time from issue to expiry, microseconds
 * @tickets_max: maximum number of tickets that haven't expired
 * @bytes_max: maximum size of all entries and their answers
 * @answer_reserve: bytes reserved for the answer of each ticket
 */
struct ticket_limits {
	int64_t lifetime;
	int64_t tickets_max;
	int64_t bytes_max;
	int64_t answer_reserve;
};

/**
 * struct ticket_store - tickets issued by one incarnation
 * @clock: borrowed
 * @instance: name of this instance; borrowed
 * @incarnation: incarnation of this process, never 0
 * @random: source of nonces; must not be predictable in production
 * @limits: see ticket_store_set_limits()
 * @issued: number of tickets issued so far
 * @entries: entries by sequence number
 * @oldest: the same entries as a list in the order of issue
 * @n_entries: number of entries
 * @bytes: size of all entries, including reserved bytes
 * @used: bitmap of used tickets among the last %TICKET_HISTORY
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

/* State of a valid ticket, returned by ticket_use(). */
enum ticket_state {
	TICKET_FIRST = 1, /* run the request, then call ticket_answer() */
	TICKET_RUNNING,	  /* the request is running, see ticket_wait() */
	TICKET_ANSWERED,  /* the stored answer was filled in */
};

/**
 * ticket_store_init() - initialise an empty store, without limits
 * @store: owned by the caller
 * @clock: borrowed
 * @instance: name of this instance; borrowed
 * @incarnation: incarnation of this process, not 0
 * @random: source of nonces
 */
void ticket_store_init(struct ticket_store *store, const struct clock *clock,
		       struct str instance, uint64_t incarnation,
		       uint64_t (*random)(void));

/**
 * ticket_store_finish() - answer all waiters with ERR_UNKNOWN and free the
 * entries
 * @store: the store
 */
void ticket_store_finish(struct ticket_store *store);

/**
 * ticket_store_set_limits() - replace the bounds
 * @store: the store
 * @limits: copied
 *
 * Tickets already issued keep the lifetime that their holders were told.
 */
void ticket_store_set_limits(struct ticket_store *store,
			     const struct ticket_limits *limits);

/**
 * ticket_issue() - issue a ticket for one request
 * @store: the store
 * @service: name of the service that the ticket is valid for
 * @text: buffer of TICKET_TEXT_SIZE bytes, filled in on success
 * @retry_after_ms: set on failure only
 *
 * Return: 0, or ERR_OVERLOAD if the store is full.
 */
int ticket_issue(struct ticket_store *store, struct str service, char *text,
		 uint32_t *retry_after_ms);

/**
 * ticket_parse() - parse a ticket of any issuer
 * @text: the ticket
 * @out: filled in on success; borrows from @text
 *
 * Return: 0, or ERR_TICKET.
 */
int ticket_parse(struct str text, struct ticket_id *out);

/**
 * ticket_is_own() - check whether this incarnation issued a ticket
 * @store: the store
 * @id: the ticket
 *
 * Return: whether it did, and so may run a request under it.
 */
bool ticket_is_own(const struct ticket_store *store,
		   const struct ticket_id *id);

/**
 * ticket_use() - redeem a ticket of this incarnation
 * @store: the store
 * @id: a ticket for which ticket_is_own() holds
 * @service: name of the service, as passed to ticket_issue()
 * @digest: digest of the whole request; must be the same for a repeat
 * @answer: filled in for TICKET_ANSWERED; its body is valid until the next call
 *	on @store
 *
 * Return: an enum ticket_state; or
 * ERR_TICKET: forged, or issued for another service;
 * ERR_BAD_REQUEST: already used for another request;
 * ERR_TICKET_EXPIRED: expired unused: its request has not run and never will;
 * ERR_TICKET_LOST: expired, and its request may have run.
 */
int ticket_use(struct ticket_store *store, const struct ticket_id *id,
	       struct str service, uint64_t digest,
	       struct ticket_answer *answer);

/**
 * ticket_time_left() - time until a ticket expires
 * @store: the store
 * @sequence: sequence number of the ticket
 *
 * Return: microseconds; 0 if it has expired or is unknown.
 */
int64_t ticket_time_left(const struct ticket_store *store, uint64_t sequence);

/**
 * ticket_wait() - wait for the answer to a running request
 * @store: the store
 * @sequence: sequence number of the ticket
 * @waiter: owned by the caller, with @answered set
 *
 * Return: 0, or ERR_TICKET if no request runs under the ticket.
 */
int ticket_wait(struct ticket_store *store, uint64_t sequence,
		struct ticket_waiter *waiter);

/**
 * ticket_unwait() - stop waiting
 * @waiter: the waiter; nothing happens if it isn't waiting
 */
void ticket_unwait(struct ticket_waiter *waiter);

/**
 * ticket_answer() - store the final answer and pass it to all waiters
 * @store: the store
 * @sequence: sequence number of the ticket
 * @answer: copied
 *
 * Only the first answer counts, so that every repeat gets the same one. Does
 * nothing if no request runs under the ticket.
 */
void ticket_answer(struct ticket_store *store, uint64_t sequence,
		   const struct ticket_answer *answer);

/**
 * ticket_expire() - free expired entries
 * @store: the store
 *
 * An expired entry whose request is still running is kept until the answer, as
 * it may have waiters.
 */
void ticket_expire(struct ticket_store *store);

#endif
