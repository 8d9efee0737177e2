/* Requests that run on one server before any other. */
#include "dispatch_private.h"

#include "error.h"

int64_t dispatch_servers_max(const struct dispatch *dispatch)
{
	return dispatch->trial_part ? 1 : dispatch->route->servers_max;
}

bool dispatch_has_failed_trial(const struct dispatch *dispatch)
{
	return dispatch->trial_part &&
	       dispatch->trial_part->state == PART_FAILED;
}

static struct dispatch_part *pick_trial_part(struct dispatch *dispatch)
{
	struct dispatch_part *picked = NULL;
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		struct dispatch_part *part = &dispatch->parts[i];

		if (part->state != PART_PENDING)
			continue;
		if (str_hash(str_from(part->service->name)) ==
		    dispatch->trial_service)
			return part;
		if (!picked)
			picked = part;
	}
	return picked;
}

/* A part that did not run anywhere is followed by another one. */
void dispatch_continue_trial(struct dispatch *dispatch)
{
	while (dispatch_has_failed_trial(dispatch) &&
	       !dispatch->trial_part->n_maybe_run &&
	       dispatch->trial_part->code != ERR_BANNED) {
		struct dispatch_part *part = pick_trial_part(dispatch);

		if (!part)
			return;
		dispatch->trial_part = part;
		dispatch_start_part(part);
	}
}

void dispatch_begin_trial(struct dispatch *dispatch, uint64_t service)
{
	dispatch->trial_service = service;
	dispatch->trial_part = &dispatch->parts[0];
}

void dispatch_start_trial(struct dispatch *dispatch)
{
	struct dispatch_part *part = pick_trial_part(dispatch);

	if (!part)
		return;
	dispatch->trial_part = part;
	dispatch_start_part(part);
	dispatch_continue_trial(dispatch);
}
