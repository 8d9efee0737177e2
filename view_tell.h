/* Whom a view is told: see the order of it in view_share.h. */
#ifndef VIEW_TELL_H
#define VIEW_TELL_H

#include "view_share.h"
#include "view_update.h"

/**
 * view_send_member() - one member
 *
 * Return: whether there is a way to it.
 */
bool view_send_member(struct view_share *share, const char *member,
		      struct view_update *update);

/**
 * view_send_data_centre() - the members of the own data centre
 * @except: one that knows it; may be NULL
 */
void view_send_data_centre(struct view_share *share, struct view_update *update,
			   const char *except);

/**
 * view_send_other_centres() - one hub of each other data centre, which passes
 * it on
 */
void view_send_other_centres(struct view_share *share,
			     struct view_update *update);

/**
 * view_send_all() - all, as a hub does, or by a hub of the own data centre
 */
void view_send_all(struct view_share *share, struct view_update *update);

#endif
