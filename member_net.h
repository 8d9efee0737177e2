/*
 * Membership and shares on the wire: datagrams and frames in and out, the
 * platform's list from the blackboard, the fleet and the shares to it.
 */
#ifndef MEMBER_NET_H
#define MEMBER_NET_H

#include <event2/util.h>

#include "blackboard.h"
#include "member.h"
#include "peer.h"
#include "share.h"

struct event;

/* A peer that tells its table in a heartbeat. */
typedef void (*member_net_beacon_cb)(void *arg, const char *instance,
				     const struct member_beacon *beacon);

struct member_net {
	struct blackboard *board;
	struct peers *peers;
	struct member_table members;
	struct share share;
	member_net_beacon_cb heard;
	void *arg;
	evutil_socket_t fd;
	struct event *readable;
	struct event *timer;
	struct member_check *checks; /* connections being tried */
	struct peer_handler handler;
	struct blackboard_watch instances_watch;
	struct blackboard_watch table_watch;
	struct blackboard_watch lifecycle_watch;
	struct peer_link *asked_on; /* while its frame is handled */
	bool applying;		    /* a table: shares and rows do not fit */
	uint64_t published;	    /* version of @members on the blackboard */
};

/**
 * member_net_init() - join the fleet
 * @heard: called with @arg for each heartbeat of a member
 *
 * To be called after all that watch the table: the shares see a new table
 * first, and the homes ask them then.
 *
 * Return: 0, or ERR_ADDRESS if the peer address cannot be bound.
 */
int member_net_init(struct member_net *net, struct blackboard *board,
		    struct peers *peers, member_net_beacon_cb heard, void *arg);

/**
 * member_net_finish() - say that nothing is used any more, and leave
 */
void member_net_finish(struct member_net *net);

#endif
