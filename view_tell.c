#include "view_tell.h"

#include <string.h>

bool view_send_member(struct view_share *share, const char *member,
		      struct view_update *update)
{
	if (!share->ops->update(share->arg, member, &update->message))
		return false;
	share->updates_out++;
	return true;
}

void view_send_data_centre(struct view_share *share, struct view_update *update,
			   const char *except)
{
	int i;

	update->message.forward = false;
	update->message.spread = false;
	for (i = 0; i < share->n_members; i++) {
		const struct hub_member *member = &share->members[i];

		if (strcmp(member->data_centre, share->data_centre) ||
		    !strcmp(member->instance, share->instance) ||
		    (except && !strcmp(member->instance, except)))
			continue;
		view_send_member(share, member->instance, update);
	}
}

/* The first hub of a data centre that there is a way to. */
static void tell_hub(struct view_share *share, struct view_update *update,
		     const char *data_centre)
{
	int i;

	for (i = 0; i < share->n_members; i++) {
		const struct hub_member *member = &share->members[i];

		if (member->is_hub &&
		    strcmp(member->instance, share->instance) &&
		    !strcmp(member->data_centre, data_centre) &&
		    view_send_member(share, member->instance, update))
			return;
	}
}

void view_send_other_centres(struct view_share *share,
			     struct view_update *update)
{
	int i;

	update->message.forward = true;
	update->message.spread = false;
	for (i = 0; i < share->n_members; i++) {
		const struct hub_member *member = &share->members[i];

		if (!member->dc_rank &&
		    strcmp(member->data_centre, share->data_centre))
			tell_hub(share, update, member->data_centre);
	}
}

static bool is_hub(const struct view_share *share)
{
	return !share->n_members || share->members[share->rank].is_hub;
}

void view_send_all(struct view_share *share, struct view_update *update)
{
	if (is_hub(share)) {
		view_send_data_centre(share, update, NULL);
		view_send_other_centres(share, update);
		return;
	}
	update->message.forward = true;
	update->message.spread = true;
	tell_hub(share, update, share->data_centre);
}
