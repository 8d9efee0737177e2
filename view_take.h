/* What a peer told of its view, put into this instance's. */
#ifndef VIEW_TAKE_H
#define VIEW_TAKE_H

#include "view_share.h"

/**
 * view_apply() - a message came
 * @body: its long parts, unpacked; NULL if it was not packed
 *
 * Return: 0; ERR_VERSION if it builds on what is not known here; ERR_STALE if
 * it is of an earlier era of the store; or why the routes in it are invalid.
 */
int view_apply(struct view_share *share, const char *member,
	       const Peer__ViewUpdate *message, const Peer__ViewBody *body);

#endif
