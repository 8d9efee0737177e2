/*
 * Exchanges the fingerprints of requests that crash servers with the other
 * instances.
 */
#ifndef POISON_NET_H
#define POISON_NET_H

#include "blackboard.h"
#include "peer.h"

/**
 * struct poison_net - exchange of fingerprint reports
 * @board: state of this instance, borrowed
 * @peers: connections to other instances, borrowed
 * @flood: set by the owner where not all instances are connected to each other:
 *	reports with new information are forwarded to all connected peers
 * @handler: handler of fingerprint frames
 * @table_watch: watch for changes of the tunables
 */
struct poison_net {
	struct blackboard *board;
	struct peers *peers;
	bool flood;
	struct peer_handler handler;
	struct blackboard_watch table_watch;
};

/**
 * poison_net_init() - start exchanging reports
 * @net: owned by the caller
 * @board: whose poison state is exchanged; borrowed
 * @peers: connections to other instances; borrowed
 */
void poison_net_init(struct poison_net *net, struct blackboard *board,
		     struct peers *peers);

/**
 * poison_net_tick() - remove expired entries
 * @net: the exchange
 */
void poison_net_tick(struct poison_net *net);

#endif
