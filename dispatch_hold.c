#include "dispatch_hold.h"

#include "dispatch_private.h"

/* How often it is looked for evidence. */
#define HOLD_CHECK_PERIOD MSEC(2)
/* Servers that say nothing for so long are not waited for any longer. */
#define HOLD_TIME_MAX MSEC(250)

bool dispatch_may_crash_servers(const struct dispatch *dispatch)
{
	const struct dispatch_evidence *evidence = dispatch->ops->evidence;

	return evidence && !dispatch->trial_part && !dispatch->n_answered &&
	       !evidence->is_safe(dispatch->arg);
}

void dispatch_hold_note_break(struct dispatch_send *send)
{
	struct dispatch_part *part = send->part;

	send->broke = true;
	if (part->broke)
		return;
	part->broke = true;
	part->dispatch->n_broke++;
}

static bool has_living_server(const struct dispatch_part *part)
{
	const struct dispatch *dispatch = part->dispatch;
	int i;

	for (i = 0; i < part->n_sends; i++) {
		const struct dispatch_send *send = &part->sends[i];

		if (send->broke &&
		    dispatch->ops->evidence->lives(dispatch->arg, send))
			return true;
	}
	return false;
}

static int count_crashed(const struct dispatch *dispatch)
{
	return dispatch->ops->evidence->n_crashed(dispatch->arg);
}

/* Return: why the retry goes on, for the log; NULL: it is held back. */
static const char *reason_to_go_on(const struct dispatch_part *part)
{
	const struct dispatch *dispatch = part->dispatch;

	if (!dispatch_may_crash_servers(dispatch))
		return "runs_well";
	if (dispatch->server_lives)
		return "server_lives";
	if (dispatch->n_parts > 1)
		return NULL;
	if (dispatch_part_has_spare_server(part))
		return "not_the_last";
	/* It goes on as a trial. */
	return count_crashed(dispatch) ? "crashed" : NULL;
}

static void start_hold(struct dispatch_part *part, int64_t now)
{
	struct dispatch *dispatch = part->dispatch;

	if (!dispatch->release_at)
		dispatch->release_at = now + HOLD_TIME_MAX;
	if (part->held_since)
		return;
	part->held_since = now;
	dispatch->ops->evidence->held(part);
}

static void end_hold(struct dispatch_part *part, const char *why, int64_t now)
{
	if (part->held_since)
		part->dispatch->ops->evidence->let_go(part, why,
						      now - part->held_since);
	part->held_since = 0;
}

bool dispatch_hold_back(struct dispatch_part *part)
{
	struct dispatch *dispatch = part->dispatch;
	int64_t now = clock_now(dispatch->clock);
	const char *why;

	if (!part->broke || !dispatch->ops->evidence)
		return false;
	if (!dispatch->server_lives && has_living_server(part)) {
		dispatch->server_lives = true;
		dispatch_hold_end(dispatch);
	}
	why = reason_to_go_on(part);
	if (why) {
		end_hold(part, why, now);
		return false;
	}
	start_hold(part, now);
	if (now >= dispatch->release_at) {
		dispatch->release_at = now + HOLD_TIME_MAX;
		end_hold(part, "time", now);
		return false;
	}
	part->retry_at = now + HOLD_CHECK_PERIOD;
	return true;
}

bool dispatch_hold_forbids_hedge(const struct dispatch_part *part)
{
	return part->dispatch->n_parts == 1 &&
	       dispatch_may_crash_servers(part->dispatch) &&
	       !dispatch_part_has_spare_server(part);
}

void dispatch_hold_end(struct dispatch *dispatch)
{
	int64_t now = clock_now(dispatch->clock);
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		if (dispatch->parts[i].held_since)
			dispatch->parts[i].retry_at = now;
	}
}

bool dispatch_hold_is_hopeless(const struct dispatch *dispatch)
{
	return dispatch->n_parts > 1 &&
	       dispatch->n_broke >= DISPATCH_CRASHES_MIN &&
	       dispatch_may_crash_servers(dispatch) &&
	       count_crashed(dispatch) >= DISPATCH_CRASHES_MIN &&
	       !dispatch->server_lives;
}
