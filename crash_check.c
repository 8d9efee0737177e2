#include "crash_check.h"

#include <errno.h>
#include <string.h>

const char *crash_evidence_name(enum crash_evidence evidence)
{
	static const char *const names[] = {
		[CRASH_EVIDENCE_OTHER_CONNECTION] = "other_connection",
		[CRASH_EVIDENCE_LISTENS] = "listens",
		[CRASH_EVIDENCE_REFUSED] = "refused",
		[CRASH_EVIDENCE_NO_REPLY] = "no_reply",
		[CRASH_EVIDENCE_UNREACHED] = "unreached",
		[CRASH_EVIDENCE_UNKNOWN] = "unknown",
		[CRASH_EVIDENCE_ANSWERED] = "answered",
		[CRASH_EVIDENCE_GONE] = "gone",
		[CRASH_EVIDENCE_UNANSWERED] = "unanswered",
	};

	return names[evidence];
}

enum crash_evidence crash_evidence_of(int error)
{
	switch (error) {
	case 0:
	/* It was accepted, then reset. */
	case ECONNRESET:
		return CRASH_EVIDENCE_LISTENS;
	case ECONNREFUSED:
		return CRASH_EVIDENCE_REFUSED;
	case EHOSTUNREACH:
	case ETIMEDOUT:
		return CRASH_EVIDENCE_UNREACHED;
	default:
		return CRASH_EVIDENCE_UNKNOWN;
	}
}

/*
 * A machine that is gone counts: what crashed may have taken its address with
 * it.
 */
bool crash_evidence_is_crash(enum crash_evidence evidence)
{
	return evidence == CRASH_EVIDENCE_REFUSED ||
	       evidence == CRASH_EVIDENCE_UNREACHED ||
	       evidence == CRASH_EVIDENCE_GONE ||
	       evidence == CRASH_EVIDENCE_UNANSWERED;
}

void crash_check_init(struct crash_check *check, const struct clock *clock,
		      const struct crash_check_ops *ops, void *arg)
{
	memset(check, 0, sizeof(*check));
	check->clock = clock;
	check->ops = ops;
	check->arg = arg;
	check->wake_at = INT64_MAX;
}

void crash_check_start(struct crash_check *check)
{
	if (check->state != CRASH_CHECK_IDLE)
		return;
	check->state = CRASH_CHECK_DELAYED;
	check->started_at = clock_now(check->clock);
	check->wake_at = check->started_at + CRASH_CHECK_DELAY;
}

static void judge(struct crash_check *check, enum crash_evidence evidence)
{
	if (evidence != CRASH_EVIDENCE_NO_REPLY)
		check->no_reply_since = 0;
	check->state = CRASH_CHECK_IDLE;
	check->wake_at = INT64_MAX;
	check->ops->judged(check->arg, evidence);
}

/* It takes connections: whether it lives, an answer tells. */
static void confirm(struct crash_check *check, enum crash_evidence evidence)
{
	int64_t until = check->started_at + CRASH_CHECK_CONFIRM_TIMEOUT;

	if (clock_now(check->clock) >= until ||
	    check->ops->confirm(check->arg)) {
		judge(check, evidence);
		return;
	}
	check->evidence = evidence;
	check->state = CRASH_CHECK_CONFIRMING;
	check->wake_at = until;
}

static void probe(struct crash_check *check)
{
	if (check->ops->is_connected(check->arg)) {
		confirm(check, CRASH_EVIDENCE_OTHER_CONNECTION);
		return;
	}
	if (check->ops->probe(check->arg)) {
		judge(check, CRASH_EVIDENCE_UNKNOWN);
		return;
	}
	check->state = CRASH_CHECK_PROBING;
	check->wake_at = clock_now(check->clock) + CRASH_CHECK_PROBE_TIMEOUT;
}

void crash_check_probed(struct crash_check *check, enum crash_evidence evidence)
{
	if (check->state != CRASH_CHECK_PROBING)
		return;
	if (evidence == CRASH_EVIDENCE_LISTENS)
		confirm(check, evidence);
	else
		judge(check, evidence);
}

void crash_check_confirmed(struct crash_check *check, bool answered)
{
	if (check->state != CRASH_CHECK_CONFIRMING)
		return;
	if (answered) {
		judge(check, CRASH_EVIDENCE_ANSWERED);
		return;
	}
	check->state = CRASH_CHECK_DELAYED;
	check->wake_at = clock_now(check->clock) + CRASH_CHECK_DELAY;
}

static void judge_no_reply(struct crash_check *check)
{
	int64_t now = clock_now(check->clock);

	if (!check->no_reply_since)
		check->no_reply_since = check->started_at;
	judge(check, now - check->no_reply_since < CRASH_CHECK_NO_REPLY_MIN
			     ? CRASH_EVIDENCE_NO_REPLY
			     : CRASH_EVIDENCE_UNREACHED);
}

void crash_check_tick(struct crash_check *check)
{
	if (clock_now(check->clock) < check->wake_at)
		return;
	if (check->state == CRASH_CHECK_DELAYED)
		probe(check);
	else if (check->state == CRASH_CHECK_CONFIRMING)
		judge(check, check->evidence);
	else if (check->ops->is_connected(check->arg))
		judge(check, CRASH_EVIDENCE_OTHER_CONNECTION);
	else
		judge_no_reply(check);
}
