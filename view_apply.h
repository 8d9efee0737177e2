/* Applies the view of a peer to that of this instance. */
#ifndef VIEW_APPLY_H
#define VIEW_APPLY_H

#include "view_share.h"

/**
 * view_apply() - apply a received message
 * @member: the sender
 * @body: its decompressed routes and servers; NULL if it was not compressed
 *
 * Return: 0; ERR_VERSION if it builds on changes that are missing here;
 * ERR_STALE if it is of an earlier era of the store; or the error in its
 * routes.
 */
int view_apply(struct view_share *share, const char *member,
	       const Peer__ViewUpdate *message, const Peer__ViewBody *body);

#endif
