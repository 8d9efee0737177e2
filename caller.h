/* HTTP for callers and operators. */
#ifndef CALLER_H
#define CALLER_H

#include "accept_guard.h"
#include "blackboard.h"
#include "caller_conn.h"
#include "entry_net.h"
#include "run_net.h"

struct evhtp;

struct caller {
	struct blackboard *board;
	struct entry_net *entry;
	struct run_net *runs;
	struct evhtp *http;
	uint64_t next_id;
	struct caller_conns conns;
	struct accept_backoff guard;
	struct blackboard_watch table_watch;
};

/**
 * caller_init() - listen for callers
 *
 * Return: 0, or ERR_ADDRESS if the caller address cannot be bound.
 */
int caller_init(struct caller *caller, struct blackboard *board,
		struct entry_net *entry, struct run_net *runs);
void caller_finish(struct caller *caller);

/**
 * caller_search_done() - answer the caller of a search; for entry_net_init()
 */
void caller_search_done(struct search *search);

#endif
