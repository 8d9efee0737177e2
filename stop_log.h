/*
 * Log lines and counters of requests that end with their process: why a caller
 * of an instance that stopped has less than it asked for.
 */
#ifndef STOP_LOG_H
#define STOP_LOG_H

#include "blackboard.h"
#include "run.h"
#include "search.h"

/**
 * struct stop_log_run - what is known of a run beside its waiter
 * @waiter: its @asked is set
 * @request_id: id of the request
 * @service: name of the service
 * @peer: instance that forwarded it; empty for a caller's
 */
struct stop_log_run {
	const struct run_waiter *waiter;
	struct str request_id;
	struct str service;
	struct str peer;
};

/**
 * stop_log_search_ended() - search_ended_by_stop() holds for a search
 */
void stop_log_search_ended(const struct search *search);

/**
 * stop_log_search_cut() - the process ends without an answer to a search
 */
void stop_log_search_cut(const struct search *search);

/**
 * stop_log_run_ended() - run_ended_by_stop() holds for a run
 * @code: of its answer
 */
void stop_log_run_ended(struct blackboard *board,
			const struct stop_log_run *run, int code);

/**
 * stop_log_run_cut() - the process ends without an answer to a run
 */
void stop_log_run_cut(struct blackboard *board, const struct stop_log_run *run);

#endif
