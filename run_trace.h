/*
 * Records answered POST /v1/run requests: a trace without parts, and an event
 * for the burn rate of the service's objectives.
 */
#ifndef RUN_TRACE_H
#define RUN_TRACE_H

#include "blackboard.h"
#include "request.h"
#include "ticket.h"

/**
 * struct run_trace - data of a request that is recorded at its end
 * @request_id: id of the request
 * @service: name of the service
 * @started_at: time of the start, microseconds
 * @deadline_ms: milliseconds
 */
struct run_trace {
	char request_id[REQUEST_ID_SIZE];
	char service[REQUEST_NAME_SIZE];
	int64_t started_at;
	int64_t deadline_ms;
};

/**
 * run_trace_init() - note the start of a request
 * @run: owned by the caller
 * @board: state of this instance
 * @request: copied
 */
void run_trace_init(struct run_trace *run, const struct blackboard *board,
		    const struct run_request *request);

/**
 * run_trace_end() - record a request that was answered
 * @run: the request
 * @board: state of this instance, to which the record is added
 * @answer: the answer to its caller
 *
 * An invalid request is the caller's fault and doesn't count for the burn rate.
 */
void run_trace_end(const struct run_trace *run, struct blackboard *board,
		   const struct ticket_answer *answer);

#endif
