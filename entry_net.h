/*
 * Runs the searches of this instance: sends queries to homes, takes their
 * results and what they say of servers.
 */
#ifndef ENTRY_NET_H
#define ENTRY_NET_H

#include "admission.h"
#include "blackboard.h"
#include "peer.h"
#include "search.h"
#include "wake_timer.h"

/**
 * struct entry_net - the wiring of searches
 * @done: takes the outcome of a search, see struct search_ops.done
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
};

void entry_net_init(struct entry_net *net, struct blackboard *board,
		    struct peers *peers, void (*done)(struct search *search));
void entry_net_finish(struct entry_net *net);

/**
 * entry_net_search() - take a search, which may wait or be refused for load;
 * see search_start()
 */
void entry_net_search(struct entry_net *net, struct search_request *request,
		      void *owner);

/**
 * entry_net_tick() - told now and then how late the event loop is
 * @lag: microseconds
 */
void entry_net_tick(struct entry_net *net, int64_t lag);

/**
 * entry_net_overloaded() - whether new work for a service is refused now
 * @retry_after_ms: set if so
 */
bool entry_net_overloaded(struct entry_net *net, struct str service,
			  uint32_t *retry_after_ms);

#endif
