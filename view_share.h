/*
 * What few instances read from the store reaches all: who reads it and when,
 * who tells whom, and what. There is no fixed reader. Every instance reads once
 * its view is older than its patience, which grows with its rank among the
 * instances that live; who reads tells the others, so that theirs is not. If
 * the first is lost or cut off from the store, the next one's patience ends.
 * Decides without sockets.
 *
 * A reader that is a hub (see hubs.h) tells the members of its own data centre
 * and one hub of each other one, which passes it on. Any other reader tells one
 * hub of its own data centre, which passes it on to all.
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

/* Changes of servers that are kept for those that missed some. */
#define VIEW_CHANGES_MAX 1024

/**
 * struct view_share_ops - what the module wants done
 * @update: to a member; may be lost. Return: whether there is a way to it
 * @request: the same
 */
struct view_share_ops {
	bool (*update)(void *arg, const char *member,
		       const Peer__ViewUpdate *message);
	bool (*request)(void *arg, const char *member,
			const Peer__ViewRequest *message);
};

/**
 * struct view_change - a server that changed
 * @at: a view that is complete up to this revision of the store holds it
 */
struct view_change {
	char id[REGISTRY_NAME_SIZE];
	uint64_t at;
	uint64_t changed_at;
	bool removed;
};

/**
 * struct view_snapshot - a whole view as it was told last, packed
 *
 * Hundreds that start ask for the same one: to pack it for each takes some
 * milliseconds of a core, which is a second on a small instance.
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
 * @members: alive, this one included; by rank, the largest first
 * @rank: of this instance among them
 * @era: of the store, that what follows is of
 * @complete_at: changes before this revision are not among @changes;
 *	UINT64_MAX: none is in this era yet
 * @told_version: of the routes told last
 * @told_at: revision of the servers told last
 * @told_changes: changes that were told
 * @told_cordons: changes of the cordons that were told
 * @asked_at: when a member was last asked for its view
 * @asked_next: index of the one to ask next
 * @n_whole: whole views told since @whole_since
 * @changes: a ring; @n_changes since the start
 * @last_change: revision that the last of them came with; it only rises
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
	uint64_t complete_at;
	uint64_t told_version;
	uint64_t told_at;
	uint64_t told_changes;
	uint64_t told_cordons;
	int64_t told_time;
	int64_t asked_at;
	unsigned int asked_next;
	int64_t whole_since;
	int n_whole;
	struct view_snapshot kept;
	struct view_change changes[VIEW_CHANGES_MAX];
	uint64_t n_changes;
	uint64_t last_change;
	uint64_t updates_in;
	uint64_t updates_out;
};

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
 * view_share_tick() - to be called some times a second: asks for a view that
 * grew old
 */
void view_share_tick(struct view_share *share);

/**
 * view_share_record_change() - a server's entry changed or went, in the view
 */
void view_share_record_change(struct view_share *share, const char *id,
			      uint64_t changed_at, bool removed);

/**
 * view_share_publish() - the store answered this instance; tell the others
 */
void view_share_publish(struct view_share *share);

/**
 * view_share_follow_era() - the store may be in a later era: what was kept and
 * told is of the earlier one
 */
void view_share_follow_era(struct view_share *share);

/**
 * view_share_member_reachable() - a member can be reached
 *
 * An instance without a view asks one member for all of it, and another one if
 * that does not answer.
 */
void view_share_member_reachable(struct view_share *share, const char *member);

/**
 * view_share_update() - a member told what it knows
 *
 * Return: 0; or ERR_VERSION if changes before it are missing: asked for.
 */
int view_share_update(struct view_share *share, const char *member,
		      const Peer__ViewUpdate *message);
void view_share_request(struct view_share *share, const char *member,
			const Peer__ViewRequest *message);

#endif
