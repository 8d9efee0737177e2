/* Executes requests: attempts, resends, tickets, answer checks and history. */
#ifndef BENCH_LOAD_REQUEST_H
#define BENCH_LOAD_REQUEST_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include "load_caller.h"
#include "load_direct.h"
#include "load_query.h"
#include "load_report.h"

struct clock;
struct event_base;

/**
 * struct load_requests - state shared by all requests
 * @base: event loop, borrowed like all pointers here
 * @clock: of all times
 * @callers: send the requests in turn
 * @direct: if set, searches go directly to the backend servers
 * @queries: searches to select from
 * @report: statistics of the attempts
 * @history: file of JSON lines, one for each attempt; may be NULL
 * @history_answers: include the bodies of answers in the history
 * @run_service: service of the runs, which are requests that are not idempotent
 * @run_deadline_ms: deadline of the runs, 0 for none
 * @run_ratio: fraction of the requests that are runs
 * @repeat_ratio: fraction of the runs whose ticket is sent again to another
 *	instance
 * @resend_not_run: resend requests with the outcome not_run
 * @resend_time: how long, counted from the intended start, microseconds
 * @seed: state of erand48()
 * @id_prefix: prefix of request ids, unique per run of the program
 * @n_started: requests started, which numbers their ids
 * @in_flight: requests not yet finished
 * @lateness: from the intended to the actual start
 */
struct load_requests {
	struct event_base *base;
	const struct clock *clock;
	struct load_callers *callers;
	struct load_direct *direct;
	struct load_queries *queries;
	struct load_report *report;
	FILE *history;
	bool history_answers;
	const char *run_service;
	int64_t run_deadline_ms;
	double run_ratio;
	double repeat_ratio;
	bool resend_not_run;
	int64_t resend_time;
	unsigned short seed[3];
	char id_prefix[24];
	uint64_t n_started;
	uint64_t in_flight;
	struct load_samples lateness;
};

/**
 * load_requests_start() - start a request
 * @requests: all requests
 * @intended: scheduled start, monotonic microseconds
 */
void load_requests_start(struct load_requests *requests, int64_t intended);

#endif
