/* HTTP server for callers and operators. */
#ifndef CALLER_H
#define CALLER_H

#include "accept_backoff.h"
#include "blackboard.h"
#include "caller_conn.h"
#include "entry_net.h"
#include "run_net.h"

struct evhtp;

/**
 * struct caller - the HTTP server for callers
 * @board: borrowed, as @entry and @runs
 * @entry: starts searches
 * @runs: issues tickets, and runs requests that must not be repeated
 * @http: owned
 * @next_request_id: number of the next generated request id
 * @conns: limits on callers' connections
 * @accept_backoff: pauses accepting when accept() fails
 * @table_watch: applies the idle timeout of each new table
 */
struct caller {
	struct blackboard *board;
	struct entry_net *entry;
	struct run_net *runs;
	struct evhtp *http;
	uint64_t next_request_id;
	struct caller_conns conns;
	struct accept_backoff accept_backoff;
	struct blackboard_watch table_watch;
};

/**
 * caller_init() - listen for callers
 *
 * All arguments are borrowed and must outlive @caller.
 *
 * Return: 0, or ERR_ADDRESS if the caller address cannot be bound.
 */
int caller_init(struct caller *caller, struct blackboard *board,
		struct entry_net *entry, struct run_net *runs);

/**
 * caller_finish() - close the listener and the HTTP server
 */
void caller_finish(struct caller *caller);

/**
 * caller_search_done() - send the response of a search; for entry_net_init()
 * @search: borrowed; its @owner is the caller's pending request
 */
void caller_search_done(struct search *search);

#endif
