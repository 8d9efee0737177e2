/* Shared by the files of share only. */
#ifndef SHARE_PRIVATE_H
#define SHARE_PRIVATE_H

#include "peer.pb-c.h"
#include "share.h"

/* share_quota.c: what follows from a view */

bool share_lease_runs(const struct share *share);

/**
 * share_quota() - the part of one instance under one view
 * @self: hash of the instance's name
 */
struct quota share_quota(const struct share_view *view,
			 const struct share_row *row, uint64_t self);

/**
 * share_rank() - the best seats of a view for a server, best first
 *
 * Return: how many homes the server has.
 */
int share_rank(const struct share_view *view, const struct share_row *row,
	       const struct share_seat *out[SHARE_HOMES]);

/* share_pool.c: one data centre's instances agree on a view */

struct share_pool *share_pool_get(struct share *share, const char *data_centre);
void share_pool_finish(struct share_pool *pool);

static inline const struct share_view *
share_pool_wanted(const struct share_pool *pool)
{
	return pool->n_views ? &pool->views[pool->n_views - 1] : NULL;
}

/**
 * share_pool_want() - take the view that follows from the members
 */
void share_pool_want(struct share *share, struct share_pool *pool);

/**
 * share_pool_reset() - use nothing until all have settled again
 * @forget: under a new incarnation: nobody counts on what was
 */
void share_pool_reset(struct share *share, struct share_pool *pool,
		      bool forget);

/**
 * share_pool_settle() - see how far the wanted view is settled, and tell
 */
void share_pool_settle(struct share *share, struct share_pool *pool);

/**
 * share_pool_hear() - a peer told its state
 */
void share_pool_hear(struct share *share, const Peer__ViewState *state);

/**
 * share_row_caps() - recompute a row under all views of its pool
 */
void share_row_caps(const struct share *share, struct share_row *row);

#endif
