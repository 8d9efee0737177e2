/*
 * Limits on callers' connections: their number, the size of a request, and the
 * time to send it.
 */
#ifndef CALLER_CONN_H
#define CALLER_CONN_H

#include <stdbool.h>
#include <stdint.h>

#include <evhtp.h>

#include "blackboard.h"
#include "log_quota.h"

struct caller_conn;

/**
 * struct caller_conns - all connections of callers
 * @open: the open connections
 * @n_open: number of them
 * @request_bytes: received of requests that are read or processed
 * @send_refusal: sends the response to a refused request, with an error code
 * @unsent_timer: limits the responses of all callers that are unsent, while
 *	there are long ones
 * @given_up_log: limits the lines about callers that were cut off
 */
struct caller_conns {
	struct blackboard *board;
	struct caller_conn *open;
	int64_t n_open;
	int64_t request_bytes;
	void (*send_refusal)(evhtp_request_t *http, int code);
	struct event *unsent_timer;
	struct log_quota given_up_log;
};

/**
 * caller_conns_init() - limit the connections that an HTTP server accepts
 * @http: borrowed; its post-accept callback is set
 * @send_refusal: sends the response to a refused request
 */
void caller_conns_init(struct caller_conns *conns, struct blackboard *board,
		       evhtp_t *http,
		       void (*send_refusal)(evhtp_request_t *http, int code));

/**
 * caller_conns_are_idle() - whether no request is being read or processed, and
 * all responses were passed to the kernel
 */
bool caller_conns_are_idle(const struct caller_conns *conns);

/**
 * caller_conns_refuse_partial() - answer requests that are still being read
 *
 * They have not run, and their callers can send them elsewhere.
 */
void caller_conns_refuse_partial(struct caller_conns *conns);

/**
 * caller_conns_finish() - close all connections
 *
 * Passes what is unsent to the kernel, as far as it has room, without waiting.
 */
void caller_conns_finish(struct caller_conns *conns);

/**
 * caller_conn_close_after() - end the connection once a request is answered
 * @http: not answered yet; its response has "Connection: close"
 */
void caller_conn_close_after(evhtp_request_t *http);

#endif
