/*
 * Which data centres get no new requests, as the store and peers tell it. Puts
 * it into the registry, so that no server there is chosen or sent to from then
 * on. Decides without sockets.
 */
#ifndef CORDON_SYNC_H
#define CORDON_SYNC_H

#include "clock.h"
#include "cordon.h"
#include "registry.h"
#include "store.h"

/**
 * struct cordon_sync - the state of one instance
 * @listed: what the pages of a list named so far
 * @keep_until: until then, what is not named holds on, see
 *	cordon_sync_enter_era(); @kept: that was so
 */
struct cordon_sync {
	const struct clock *clock;
	struct registry *registry;
	struct cordons listed;
	int64_t keep_until;
	bool kept;
};

void cordon_sync_init(struct cordon_sync *sync, const struct clock *clock,
		      struct registry *registry);

/**
 * cordon_sync_begin_list() - pages of a whole list follow
 */
void cordon_sync_begin_list(struct cordon_sync *sync);

/**
 * cordon_sync_end_list() - what it did not name does not hold any more
 * @at: the store's revision as of which it is complete
 */
void cordon_sync_end_list(struct cordon_sync *sync, uint64_t at);

/**
 * cordon_sync_apply_item() - an item of a list, or a change
 */
void cordon_sync_apply_item(struct cordon_sync *sync,
			    const struct store_item *item);

/**
 * cordon_sync_confirm() - all changes up to a revision were taken
 */
void cordon_sync_confirm(struct cordon_sync *sync, uint64_t at);

/**
 * cordon_sync_apply_peer_set() - a peer told all that it knows
 */
void cordon_sync_apply_peer_set(struct cordon_sync *sync,
				const struct cordons *from);

/**
 * cordon_sync_enter_era() - the store gives revisions out again
 * @until: the operators' word may be missing in its copy until then
 */
void cordon_sync_enter_era(struct cordon_sync *sync, int64_t until);

/**
 * cordon_sync_needs_list() - what was kept may hold no more
 *
 * Return: true once, when a list is to be read again.
 */
bool cordon_sync_needs_list(struct cordon_sync *sync);

#endif
