/*
 * Connects membership and shares to the network and the blackboard: sends and
 * receives datagrams and frames, takes the platform's list from the blackboard,
 * and writes the fleet and the shares to it.
 */
#ifndef MEMBER_NET_H
#define MEMBER_NET_H

#include <event2/util.h>

#include "blackboard.h"
#include "member.h"
#include "peer.h"
#include "share.h"

struct event;

/* Called when a heartbeat of a peer had the version of its table. */
typedef void (*member_net_beacon_cb)(void *arg, const char *instance,
				     const struct member_beacon *beacon);

/**
 * struct member_net - membership of this instance
 * @board: borrowed
 * @peers: borrowed
 * @members: owned
 * @share: owned
 * @on_beacon: see member_net_init()
 * @arg: passed to @on_beacon
 * @fd: UDP socket at the peer address
 * @readable: @fd has datagrams
 * @timer: runs the ticks of @members and @share
 * @checks: owned; TCP connection attempts in progress
 * @handler: registered with @peers
 * @instances_watch: of the platform's list
 * @table_watch: of the table
 * @lifecycle_watch: of the stop of this instance
 * @reply_link: link whose frame is being processed, for a reply; or NULL
 * @applying_table: while a new table is applied and shares don't match it yet
 * @published_version: version of @members that is on the blackboard; 0 to
 *	publish again
 */
struct member_net {
	struct blackboard *board;
	struct peers *peers;
	struct member_table members;
	struct share share;
	member_net_beacon_cb on_beacon;
	void *arg;
	evutil_socket_t fd;
	struct event *readable;
	struct event *timer;
	struct member_check *checks;
	struct peer_handler handler;
	struct blackboard_watch instances_watch;
	struct blackboard_watch table_watch;
	struct blackboard_watch lifecycle_watch;
	struct peer_link *reply_link;
	bool applying_table;
	uint64_t published_version;
};

/**
 * member_net_init() - join the fleet
 * @net: to be finished with member_net_finish(), unless this fails
 * @board: outlives @net
 * @peers: outlives @net
 * @on_beacon: called with @arg for each heartbeat of a member with a table
 * @arg: passed to @on_beacon
 *
 * Has to be called after everything else that watches the table: this way the
 * shares are updated for a new table first, before the homes query them.
 *
 * Return: 0, ERR_ADDRESS if the peer address can't be bound, or ERR_SYSTEM if
 * there is no socket.
 */
int member_net_init(struct member_net *net, struct blackboard *board,
		    struct peers *peers, member_net_beacon_cb on_beacon,
		    void *arg);

/**
 * member_net_finish() - announce the release of all shares and leave the fleet
 * @net: initialised by member_net_init()
 */
void member_net_finish(struct member_net *net);

#endif
