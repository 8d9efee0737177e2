/*
 * Trace of a search for later diagnosis, and its effect on the error budget of
 * its service.
 */
#ifndef SEARCH_TRACE_H
#define SEARCH_TRACE_H

#include "search.h"

/**
 * search_trace_begin() - start the trace of a new search
 */
void search_trace_begin(struct search *search);

/**
 * search_trace_sent() - record that a part is sent, in the order of the parts
 * @is_retry: not in the first round of the search
 */
void search_trace_sent(struct search *search, const struct search_part *part,
		       bool is_retry);

/**
 * search_trace_times() - record the queueing time and latency of a part
 */
void search_trace_times(struct search *search, int index,
			const Peer__ServerResult *result);

/**
 * search_trace_part_done() - record the result of a part
 */
void search_trace_part_done(struct search *search, int index,
			    const struct observe_result *result);

/**
 * search_trace_restart() - record that the search restarts without its parts
 */
void search_trace_restart(struct search *search);

/**
 * search_trace_end() - store the trace of a search that was answered
 */
void search_trace_end(struct search *search);

/**
 * search_trace_caller_gone() - store the trace of a search whose caller left
 *
 * It counts against the error budget only if the caller had waited for longer
 * than the latency target.
 */
void search_trace_caller_gone(struct search *search);

#endif
