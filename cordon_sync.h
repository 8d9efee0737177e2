/*
 * Keeps the registry's cordons up to date with the store and with peers, so
 * that no server of a cordoned data centre is chosen or sent a request. Does no
 * I/O.
 */
#ifndef CORDON_SYNC_H
#define CORDON_SYNC_H

#include "clock.h"
#include "cordon.h"
#include "registry.h"
#include "store.h"

/**
 * struct cordon_sync - the state of one instance
 * @clock: borrowed
 * @registry: borrowed
 * @listed: cordons in the pages of the list that is being read
 * @retain_until: until this time a cordon that is missing from a list or a
 *	peer's set stays in force, see cordon_sync_enter_era()
 * @retained: a cordon may have stayed in force for that reason
 */
struct cordon_sync {
	const struct clock *clock;
	struct registry *registry;
	struct cordon_set listed;
	int64_t retain_until;
	bool retained;
};

/**
 * cordon_sync_init() - initialise; both pointers are borrowed
 */
void cordon_sync_init(struct cordon_sync *sync, const struct clock *clock,
		      struct registry *registry);

/**
 * cordon_sync_begin_list() - start of a complete list, which comes in pages
 */
void cordon_sync_begin_list(struct cordon_sync *sync);

/**
 * cordon_sync_end_list() - remove cordons that the list does not contain
 * @at: the store's revision as of which the list is complete
 */
void cordon_sync_end_list(struct cordon_sync *sync, uint64_t at);

/**
 * cordon_sync_apply_item() - apply an item of a list or of a watch
 */
void cordon_sync_apply_item(struct cordon_sync *sync,
			    const struct store_item *item);

/**
 * cordon_sync_confirm() - all changes up to a revision were applied
 * @at: the store's revision
 */
void cordon_sync_confirm(struct cordon_sync *sync, uint64_t at);

/**
 * cordon_sync_apply_peer_set() - apply the set of a peer
 */
void cordon_sync_apply_peer_set(struct cordon_sync *sync,
				const struct cordon_set *from);

/**
 * cordon_sync_enter_era() - the store was restored and reuses revisions
 * @until: time until which cordons may be missing from the restored copy
 */
void cordon_sync_enter_era(struct cordon_sync *sync, int64_t until);

/**
 * cordon_sync_needs_list() - whether retained cordons must be checked
 *
 * Return: true once, after which the caller reads the list again.
 */
bool cordon_sync_needs_list(struct cordon_sync *sync);

#endif
