/* JSON responses to callers. See docs/PROTOCOL.md. */
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
 * @code: 0 or an error
 * @maybe_ran: bytes may have reached a backend server
 */
const char *answer_outcome(int code, bool maybe_ran);

/**
 * answer_error() - write an error response
 * @code: an error
 * @maybe_ran: bytes may have reached a backend server
 * @retry_after_ms: time after which the caller may retry
 * @err: details of a bad request; NULL if there are none
 */
void answer_error(struct evbuffer *out, struct str request_id, int code,
		  bool maybe_ran, int64_t retry_after_ms,
		  const struct error *err);

/**
 * answer_search() - write the result of a search, or its error
 */
void answer_search(struct evbuffer *out, const struct blackboard *board,
		   const struct search *search);

/**
 * answer_ticket() - write a ticket
 */
void answer_ticket(struct evbuffer *out, struct str request_id,
		   struct str ticket, int64_t expires_in_ms);

/**
 * answer_run_status() - HTTP status of a non-idempotent request
 * @code: 0 or an error
 */
int answer_run_status(int code);

/**
 * answer_run_outcome() - "done", "not_run", "bad_request" or "unknown"
 * @code: 0 or an error
 */
const char *answer_run_outcome(int code);

/**
 * answer_run() - write the result of a non-idempotent request, or its error
 */
void answer_run(struct evbuffer *out, struct str request_id,
		const struct ticket_answer *answer);

/**
 * answer_addresses() - write the addresses for callers to use, preferred first
 * @data_centre: of the caller; empty if it is not known
 */
void answer_addresses(struct evbuffer *out, const struct blackboard *board,
		      struct str data_centre);

/**
 * answer_status_page() - write the state of this instance and its view of the
 * fleet
 */
void answer_status_page(struct evbuffer *out, struct blackboard *board);

#endif
