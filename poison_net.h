/*
 * Tells the other instances of requests that crash servers, and hears of those
 * they know.
 */
#ifndef POISON_NET_H
#define POISON_NET_H

#include "blackboard.h"
#include "peer.h"

/**
 * struct poison_net - the state of one instance
 * @flood: set by the owner where instances are not all connected to each other:
 *	what is news here goes on to all that are
 */
struct poison_net {
	struct blackboard *board;
	struct peers *peers;
	bool flood;
	struct peer_handler handler;
	struct blackboard_watch table_watch;
};

void poison_net_init(struct poison_net *net, struct blackboard *board,
		     struct peers *peers);

/**
 * poison_net_tick() - let time pass
 */
void poison_net_tick(struct poison_net *net);

#endif
