/*
 * Shares the view of the store among all instances, so that only few read it.
 * There is no elected reader. Each instance reads the store once its view
 * exceeds a maximum age, which grows with its rank among the instances that are
 * alive, and sends what it read to the others, which keeps their views fresh.
 * If the first instance fails or loses the store, the view of the next one
 * reaches its maximum age. Does no I/O.
 *
 * A reader that is a hub (see hubs.h) sends to the members of its own data
 * centre and to one hub of each other data centre, which forwards to its own.
 * Any other reader sends to one hub of its data centre, which forwards to all.
 */
#ifndef VIEW_SHARE_H
#define VIEW_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "fleet.h"
#include "hubs.h"
#include "peer.pb-c.h"
#include "store_sync.h"

/* Changes of servers that are recorded for members that missed some. */
#define VIEW_CHANGES_MAX 1024

/**
 * struct view_share_ops - callbacks
 * @update: send to a member; may be lost. Return: whether it can be reached
 * @request: the same
 */
struct view_share_ops {
	bool (*update)(void *arg, const char *member,
		       const Peer__ViewUpdate *message);
	bool (*request)(void *arg, const char *member,
			const Peer__ViewRequest *message);
};

/**
 * struct view_change - a change of a server's entry
 * @id: of the server
 * @view_revision: a view that is complete up to this revision of the store
 *	includes the change
 * @changed_at: the store's revision of the change itself
 * @removed: the entry was removed
 */
struct view_change {
	char id[REGISTRY_NAME_SIZE];
	uint64_t view_revision;
	uint64_t changed_at;
	bool removed;
};

/**
 * struct view_snapshot - the compressed routes and servers of the last complete
 * view that was sent
 * @packed: owned; NULL if there is none
 * @len: bytes of @packed
 * @size: bytes before compression
 * @n_changes: view_share.n_changes when it was made
 * @version: of the routes
 *
 * Hundreds of instances that start request the same view. Compressing it takes
 * some milliseconds, which for each of them would add up to a second on a small
 * instance.
 */
struct view_snapshot {
	uint8_t *packed;
	size_t len;
	uint32_t size;
	uint64_t n_changes;
	uint64_t version;
};

/**
 * struct view_share - the state of one instance
 * @clock: borrowed
 * @ops: callbacks, called with @arg
 * @sync: borrowed; holds the view
 * @instance: name of this instance
 * @data_centre: of this instance
 * @members: alive, this one included; by rank, the largest first
 * @n_members: length of @members
 * @cap_members: allocated length
 * @rank: of this instance among @members
 * @era: the store's era that all following fields belong to
 * @sent_version: version of the routes that were sent last
 * @sent_revision: revision of the servers that were sent last; 0: none. The
 *	first complete view counts as sent even if it was received
 * @sent_changes: @n_changes at that time
 * @sent_cordons: number of cordon changes at that time
 * @last_sent_at: when this instance last sent what it read
 * @failure_at: when this instance last sent or received that the store failed
 * @requested_at: when a view was last requested from a member
 * @next_request: index of the member to send the next request to
 * @snapshot_period_start: see @n_snapshots
 * @n_snapshots: complete views sent since @snapshot_period_start
 * @snapshot: cached for further requests
 * @changes: a ring buffer of the last changes
 * @n_changes: changes since startup
 * @last_change: @view_revision of the last change; never decreases in an era
 * @updates_in: messages received
 * @updates_out: messages sent
 */
struct view_share {
	const struct clock *clock;
	const struct view_share_ops *ops;
	void *arg;
	struct store_sync *sync;
	char instance[FLEET_NAME_SIZE];
	char data_centre[FLEET_NAME_SIZE];
	struct hub_member *members;
	int n_members;
	int cap_members;
	int rank;
	uint64_t era;
	uint64_t sent_version;
	uint64_t sent_revision;
	uint64_t sent_changes;
	uint64_t sent_cordons;
	int64_t last_sent_at;
	int64_t failure_at;
	int64_t requested_at;
	unsigned int next_request;
	int64_t snapshot_period_start;
	int n_snapshots;
	struct view_snapshot snapshot;
	struct view_change changes[VIEW_CHANGES_MAX];
	uint64_t n_changes;
	uint64_t last_change;
	uint64_t updates_in;
	uint64_t updates_out;
};

/**
 * view_share_init() - initialise; all pointers are borrowed
 */
void view_share_init(struct view_share *share, const struct clock *clock,
		     const struct view_share_ops *ops, void *arg,
		     struct store_sync *sync, const char *instance,
		     const char *data_centre);
void view_share_finish(struct view_share *share);

/**
 * view_share_set_members() - the fleet changed
 */
void view_share_set_members(struct view_share *share,
			    const struct fleet *fleet);

/**
 * view_share_tick() - request the view of a member if the own one is old; call
 * several times per second
 */
void view_share_tick(struct view_share *share);

/**
 * view_share_record_change() - record that an entry of the view changed
 * @changed_at: the store's revision of the change
 * @removed: the entry was removed
 */
void view_share_record_change(struct view_share *share, const char *id,
			      uint64_t changed_at, bool removed);

/**
 * view_share_publish() - send the view to the others after a read of the store
 */
void view_share_publish(struct view_share *share);

/**
 * view_share_publish_failure() - send the others that a call of the store
 * failed
 *
 * Once in each time that nobody is known to reach the store: others that make
 * no call must know that it was away.
 */
void view_share_publish_failure(struct view_share *share);

/**
 * view_share_follow_era() - reset recorded and sent changes if the store
 * entered a new era
 */
void view_share_follow_era(struct view_share *share);

/**
 * view_share_member_reachable() - a member can be reached
 *
 * An instance without a view requests it from one member at a time.
 */
void view_share_member_reachable(struct view_share *share, const char *member);

/**
 * view_share_update() - handle a view that a member sent
 *
 * Return: 0; ERR_VERSION if earlier changes are missing, which are then
 * requested; ERR_CONFLICT if the member can't know what became of a server that
 * is known here, so that its complete view is requested; or an error of
 * view_decompress() or view_apply().
 */
int view_share_update(struct view_share *share, const char *member,
		      const Peer__ViewUpdate *message);

/**
 * view_share_request() - send a member the changes that it lacks
 */
void view_share_request(struct view_share *share, const char *member,
			const Peer__ViewRequest *message);

#endif
