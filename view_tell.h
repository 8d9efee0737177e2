/* Whom a view is told: see the order of it in view_share.h. */
#ifndef VIEW_TELL_H
#define VIEW_TELL_H

#include "view_share.h"
#include "view_update.h"

/**
 * view_tell() - one member
 *
 * Return: whether there is a way to it.
 */
bool view_tell(struct view_share *share, const char *member,
	       struct view_update *update);

/**
 * view_tell_own() - the members of the own data centre
 * @except: one that knows it; may be NULL
 */
void view_tell_own(struct view_share *share, struct view_update *update,
		   const char *except);

/**
 * view_tell_others() - one hub of each other data centre, which passes it on
 */
void view_tell_others(struct view_share *share, struct view_update *update);

/**
 * view_tell_all() - all, as a hub does, or by a hub of the own data centre
 */
void view_tell_all(struct view_share *share, struct view_update *update);

#endif
