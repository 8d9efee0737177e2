/*
 * Connects the searches that enter at this instance to the network: sends
 * queries to home instances and handles their results and server states.
 */
#ifndef ENTRY_NET_H
#define ENTRY_NET_H

#include "admission.h"
#include "blackboard.h"
#include "peer.h"
#include "search.h"
#include "wake_timer.h"

/**
 * struct entry_net - searches that enter at this instance
 * @board: borrowed
 * @peers: borrowed
 * @searches: those that were started
 * @admission: limits how many run at once
 * @handler: for frames from homes
 * @timer: for the next timeout of @searches
 * @done: called with the outcome of a search, see struct search_ops.done
 * @table_watch: for new tables
 * @lifecycle_watch: for the stop of this instance
 */
struct entry_net {
	struct blackboard *board;
	struct peers *peers;
	struct searches searches;
	struct admission admission;
	struct peer_handler handler;
	struct wake_timer timer;
	void (*done)(struct search *search);
	struct blackboard_watch table_watch;
	struct blackboard_watch lifecycle_watch;
};

/**
 * entry_net_init() - register for frames and tables; all pointers are borrowed
 */
void entry_net_init(struct entry_net *net, struct blackboard *board,
		    struct peers *peers, void (*done)(struct search *search));
void entry_net_finish(struct entry_net *net);

/**
 * entry_net_search() - submit a search; admission may start, queue or refuse it
 * @request: copied; its @where is moved
 * @owner: for @done, see search_start()
 */
void entry_net_search(struct entry_net *net, struct search_request *request,
		      void *owner);

/**
 * entry_net_tick() - run admission; called periodically
 * @lag: delay of the event loop, microseconds
 */
void entry_net_tick(struct entry_net *net, int64_t lag);

/**
 * entry_net_overloaded() - whether new requests for a service are refused now
 * @retry_after_ms: set if they are
 */
bool entry_net_overloaded(struct entry_net *net, struct str service,
			  uint32_t *retry_after_ms);

#endif
