/*
 * Connects table_sync and list_sync to the platform, the peers and the
 * blackboard.
 */
#ifndef TABLE_CONTROL_H
#define TABLE_CONTROL_H

#include "blackboard.h"
#include "list_sync.h"
#include "peer.h"
#include "platform.h"
#include "table_sync.h"

struct event;

/**
 * struct table_control - replication of the table and instance list
 * @board: borrowed
 * @peers: borrowed
 * @platform: client of the platform
 * @sync: table
 * @list: list of instances
 * @timer: runs table_sync_tick() and list_sync_tick()
 * @handler: receives frames from peers
 * @fleet_watch: updates the members when the fleet changes
 * @lifecycle_watch: updates the members when this instance leaves
 */
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

/**
 * table_control_init() - start replication of the table and instance list
 * @control: release with table_control_finish()
 * @board: borrowed
 * @peers: borrowed
 */
void table_control_init(struct table_control *control, struct blackboard *board,
			struct peers *peers);
void table_control_finish(struct table_control *control);

/**
 * table_control_receive_heartbeat() - process the table state in a heartbeat
 * @control: controller
 * @peer: sender
 * @revision: revision of the peer's table, 0 if it has none
 * @digest: digest of that table
 * @age_ms: see TableDigest in peer.proto
 */
void table_control_receive_heartbeat(struct table_control *control,
				     const char *peer, uint64_t revision,
				     uint64_t digest, uint32_t age_ms);

#endif
