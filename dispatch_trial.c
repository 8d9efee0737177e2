/* Requests that run on one server before any other. */
#include "dispatch_private.h"

#include "error.h"

/* How often it is looked for verdicts on the servers, and how long. */
#define VERDICT_CHECK_PERIOD MSEC(2)
#define VERDICT_WAIT_MAX MSEC(250)
/* How soon a server that is asked for a sign of life may have answered. */
#define LIFE_CHECK_PERIOD MSEC(10)
/*
 * For verdicts, for a time without crashes, for the announcement, and for the
 * trial of another suspect.
 */
#define TRIAL_WAIT_MAX MSEC(1000)

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
	       !dispatch->tried_after_crashes &&
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

static int count_broken_sends(const struct dispatch_part *part)
{
	int n = 0;
	int i;

	for (i = 0; i < part->n_sends; i++)
		n += part->sends[i].broke;
	return n;
}

static bool has_broken_enough(const struct dispatch *dispatch)
{
	int n = 0;
	int i;

	for (i = 0; i < dispatch->n_parts; i++)
		n += count_broken_sends(&dispatch->parts[i]);
	return n >= DISPATCH_CRASHES_MIN;
}

static bool is_in_flight(const struct dispatch *dispatch)
{
	int i;

	for (i = 0; i < dispatch->n_parts; i++) {
		if (dispatch_part_in_flight(&dispatch->parts[i]))
			return true;
	}
	return false;
}

static bool may_be_tried(const struct dispatch *dispatch)
{
	return dispatch_may_crash_servers(dispatch) &&
	       dispatch->ops->evidence->trial_wait &&
	       dispatch->route->repeatable && !dispatch->tried_after_crashes &&
	       !dispatch->server_lives && has_broken_enough(dispatch);
}

/*
 * Return: microseconds until the trial may begin, 0 if it may; below 0 if it
 * may not.
 */
static int64_t get_trial_wait(struct dispatch *dispatch, uint64_t *service)
{
	const struct dispatch_evidence *evidence = dispatch->ops->evidence;
	int64_t waited = clock_now(dispatch->clock) - dispatch->trial_asked_at;
	int64_t wait;

	if (evidence->n_crashed(dispatch->arg) < DISPATCH_CRASHES_MIN)
		return waited < VERDICT_WAIT_MAX ? VERDICT_CHECK_PERIOD : -1;
	wait = evidence->trial_wait(dispatch->arg, service);
	return !wait && is_in_flight(dispatch) ? VERDICT_CHECK_PERIOD : wait;
}

/*
 * Servers that crashed run it no longer. Return: 0; ERR_CONNECT if no server is
 * known to live, which they are asked for now; ERR_NO_REPLICA.
 */
static int start_trial_again(struct dispatch *dispatch, uint64_t service)
{
	struct dispatch_part *part;
	int n_broken;
	int ret;

	dispatch->trial_service = service;
	part = pick_trial_part(dispatch);
	if (!part)
		return ERR_NO_REPLICA;
	n_broken = count_broken_sends(part);
	part->n_maybe_run -= n_broken;
	dispatch->trial_part = part;
	ret = dispatch_part_send_again(part, "trial", false);
	if (ret == ERR_NO_REPLICA) {
		part->n_maybe_run += n_broken;
		dispatch->trial_part = NULL;
		return part->code == ERR_CONNECT ? ERR_CONNECT : ret;
	}
	dispatch->tried_after_crashes = true;
	if (ret)
		dispatch_part_retry_or_fail(part, ret);
	return dispatch_has_failed_trial(dispatch) ? ERR_NO_REPLICA : 0;
}

/* Return: whether it is waited for. */
static bool wait_for_trial(struct dispatch *dispatch, int64_t wait)
{
	int64_t at = clock_now(dispatch->clock) + wait;

	if (wait < 0 || at > dispatch->trial_asked_at + TRIAL_WAIT_MAX ||
	    at >= dispatch->deadline)
		return false;
	dispatch->trial_due = at;
	return true;
}

bool dispatch_try_after_crashes(struct dispatch *dispatch)
{
	uint64_t service = 0;
	int64_t wait;
	int ret;

	dispatch->trial_due = INT64_MAX;
	if (!may_be_tried(dispatch) ||
	    (dispatch->n_parts == 1 &&
	     !dispatch_part_pick(&dispatch->parts[0], false)))
		return false;
	if (!dispatch->trial_asked_at)
		dispatch->trial_asked_at = clock_now(dispatch->clock);
	wait = get_trial_wait(dispatch, &service);
	if (wait)
		return wait_for_trial(dispatch, wait);
	ret = start_trial_again(dispatch, service);
	if (ret == ERR_CONNECT)
		return wait_for_trial(dispatch, LIFE_CHECK_PERIOD);
	return !ret;
}
