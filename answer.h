/* Answers to callers, as JSON. See docs/PROTOCOL.md. */
#ifndef ANSWER_H
#define ANSWER_H

#include "blackboard.h"
#include "search.h"
#include "ticket.h"

struct evbuffer;

/**
 * answer_status() - HTTP status of an outcome
 * @code: 0 or an error
 * @maybe_ran: bytes may have reached a backend server
 */
int answer_status(int code, bool maybe_ran);

/**
 * answer_outcome() - "done", "bad_request", "not_run", "too_late" or "unknown"
 */
const char *answer_outcome(int code, bool maybe_ran);

/**
 * answer_error() - write a refusal
 * @err: what is wrong with a bad request; NULL if nothing to add
 */
void answer_error(struct evbuffer *out, struct str request_id, int code,
		  bool maybe_ran, int64_t retry_after_ms,
		  const struct error *err);

/**
 * answer_search() - write the outcome of a search
 */
void answer_search(struct evbuffer *out, const struct blackboard *board,
		   const struct search *search);

/**
 * answer_ticket() - write a ticket
 */
void answer_ticket(struct evbuffer *out, struct str request_id,
		   struct str ticket, int64_t expires_in_ms);

/**
 * answer_run_status() - HTTP status of a request that must not be repeated
 * @code: 0 or an error
 */
int answer_run_status(int code);

/**
 * answer_run_outcome() - "done", "not_run", "bad_request" or "unknown"
 */
const char *answer_run_outcome(int code);

/**
 * answer_run() - write the outcome of a request that must not be repeated
 */
void answer_run(struct evbuffer *out, struct str request_id,
		const struct ticket_answer *answer);

/**
 * answer_addresses() - write the addresses a caller shall use, best first
 * @data_centre: of the caller; empty if it did not say
 */
void answer_addresses(struct evbuffer *out, const struct blackboard *board,
		      struct str data_centre);

/**
 * answer_status_page() - write this instance's view of itself and the fleet
 */
void answer_status_page(struct evbuffer *out, struct blackboard *board);

#endif
