/* Declarations shared by share.c, share_pool.c and share_quota.c. */
#ifndef SHARE_PRIVATE_H
#define SHARE_PRIVATE_H

#include "peer.pb-c.h"
#include "share.h"

/* share_quota.c: shares under a given view */

/**
 * share_lease_runs() - whether the lease has not expired
 * @share: the shares
 */
bool share_lease_runs(const struct share *share);

/**
 * share_quota() - the share of this instance under a view
 * @view: members with shares
 * @row: the server
 * @self: hash of the instance's name
 */
struct quota share_quota(const struct share_view *view,
			 const struct share_row *row, uint64_t self);

/**
 * share_rank_homes() - the homes of a server under a view
 * @view: members with shares
 * @row: the server
 * @out: in order of rank, best first; NULL for those that a small view lacks
 *
 * Return: number of homes: fewer than SHARE_HOMES if the view or one of the
 * server's limits is smaller.
 */
int share_rank_homes(const struct share_view *view, const struct share_row *row,
		     const struct share_holder *out[SHARE_HOMES]);

/* share_pool.c: agreement on a view between the instances concerned */

/**
 * share_pool_get() - the pool of a data centre, added if there is none
 * @share: the shares
 * @data_centre: name, copied
 */
struct share_pool *share_pool_get(struct share *share, const char *data_centre);

/**
 * share_pool_finish() - free what a pool owns, but not the pool
 * @pool: no longer in @pools of struct share
 */
void share_pool_finish(struct share_pool *pool);

/**
 * share_pool_target_view() - the view to be brought into force; NULL if none
 * @pool: of a data centre
 */
static inline const struct share_view *
share_pool_target_view(const struct share_pool *pool)
{
	return pool->n_views ? &pool->views[pool->n_views - 1] : NULL;
}

/**
 * share_pool_update_view() - derive the target view from the current members
 * @share: the shares
 * @pool: of a data centre
 */
void share_pool_update_view(struct share *share, struct share_pool *pool);

/**
 * share_pool_suspend() - use no share until the target view is in force again
 * @share: the shares
 * @pool: of a data centre
 * @new_incarnation: drop all views and peers, too: other instances attribute
 *	them to the previous incarnation
 */
void share_pool_suspend(struct share *share, struct share_pool *pool,
			bool new_incarnation);

/**
 * share_pool_settle() - advance the agreement on the target view, and send the
 * new state to the peers concerned
 * @share: the shares
 * @pool: of a data centre
 */
void share_pool_settle(struct share *share, struct share_pool *pool);

/**
 * share_pool_receive() - process the state of a peer
 * @share: the shares
 * @state: not kept
 */
void share_pool_receive(struct share *share, const Peer__ViewState *state);

/**
 * share_row_update_caps() - recompute a row's target and cap from all views of
 * its pool
 * @share: the shares
 * @row: the server
 */
void share_row_update_caps(const struct share *share, struct share_row *row);

#endif
