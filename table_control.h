/*
 * The table's controller: wires table_sync and list_sync to the platform, the
 * peers and the blackboard.
 */
#ifndef TABLE_CONTROL_H
#define TABLE_CONTROL_H

#include "blackboard.h"
#include "list_sync.h"
#include "peer.h"
#include "platform.h"
#include "table_sync.h"

struct event;

struct table_control {
	struct blackboard *board;
	struct peers *peers;
	struct platform platform;
	struct table_sync sync;
	struct list_sync list;
	struct event *timer;
	struct peer_handler handler;
	struct blackboard_watch fleet_watch;
	struct blackboard_watch lifecycle_watch;
};

void table_control_init(struct table_control *control, struct blackboard *board,
			struct peers *peers);
void table_control_finish(struct table_control *control);

/**
 * table_control_receive_heartbeat() - a heartbeat told a peer's table
 * @age_ms: see TableDigest in peer.proto
 */
void table_control_receive_heartbeat(struct table_control *control,
				     const char *peer, uint64_t revision,
				     uint64_t digest, uint32_t age_ms);

#endif
