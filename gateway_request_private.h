/* Shared by the files that handle a gateway's request. */
#ifndef GATEWAY_REQUEST_PRIVATE_H
#define GATEWAY_REQUEST_PRIVATE_H

#include "gateway.h"

/* An answer of a server, kept while something better may come. */
struct kept_answer {
	int status;
	struct evbuffer *fields;
	char *body;
	size_t body_len;
};

/**
 * struct gateway_request - one caller's request, from its first byte to its
 * answer
 * @routes: the version it is handled by
 * @request: as it is sent to each server
 * @head: bytes of it
 * @kept: of a request to one service
 * @fingerprint: for requests that crash servers
 * @go_on: called after something happened to the dispatch; answers and frees
 *	the request if it is over
 */
struct gateway_request {
	struct gateway *gateway;
	struct inbound_conn *conn;
	struct route_set *routes;
	const struct route *route;
	struct dispatch dispatch;
	struct upstream_request request;
	struct evbuffer *head;
	struct event *timer;
	struct kept_answer kept;
	struct relay_client relay;
	uint64_t fingerprint;
	void (*go_on)(struct gateway_request *request,
		      enum dispatch_outcome outcome);
	struct gateway_request *prev;
	struct gateway_request *next;
};

/**
 * gateway_answer() - answer a request by the outcome of its dispatch
 */
void gateway_answer(struct gateway_request *request);

/**
 * gateway_request_log() - the log of a request's end: all that decided it
 * @status: that the caller gets, 0 if it left
 */
void gateway_request_log(const struct gateway_request *request, int status);

/**
 * gateway_answer_error() - an answer of the gateway's own
 * @retry_after_ms: when to come back, 0 if nothing is said of it
 * @why: a word
 */
void gateway_answer_error(struct inbound_conn *conn, int status,
			  int64_t retry_after_ms, const char *why);

/**
 * gateway_status_implies_not_run() - a status says that the request did not run
 *
 * A server that does not say so by its own header may have run it, and its
 * status must not promise otherwise.
 */
bool gateway_status_implies_not_run(int status);

/**
 * gateway_send_ops - makes the sends that a dispatch decides on, with a struct
 * gateway_request
 */
extern const struct dispatch_ops gateway_send_ops;

/**
 * gateway_report_forecast() - log what was expected of a request that was
 * refused, or that parts are left out of; @arg is its struct gateway_request
 */
void gateway_report_forecast(void *arg, const struct forecast *forecast);

/**
 * gateway_report_resend_left_out() - log that a part is not sent again
 */
void gateway_report_resend_left_out(void *arg, const struct dispatch_part *part,
				    const struct forecast_part *expected);

/**
 * gateway_send_init() - after the dispatch is
 */
void gateway_send_init(struct gateway_request *request);

#endif
