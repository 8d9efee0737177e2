/* Sends a view to members; view_share.h describes the topology. */
#ifndef VIEW_SEND_H
#define VIEW_SEND_H

#include "view_share.h"
#include "view_update.h"

/**
 * view_send_member() - send to one member
 *
 * Return: whether the member can be reached.
 */
bool view_send_member(struct view_share *share, const char *member,
		      struct view_update *update);

/**
 * view_send_data_centre() - send to all members of the own data centre
 * @except: a member to skip, as it has the view; may be NULL
 */
void view_send_data_centre(struct view_share *share, struct view_update *update,
			   const char *except);

/**
 * view_send_other_centres() - send to one hub of each other data centre, which
 * forwards it
 */
void view_send_other_centres(struct view_share *share,
			     struct view_update *update);

/**
 * view_send_all() - send to all members; an instance that is no hub does so
 * through a hub of its data centre
 */
void view_send_all(struct view_share *share, struct view_update *update);

#endif
