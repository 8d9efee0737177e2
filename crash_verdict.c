/* What connections and entries show of a server's end, and of what caused it.
 */
#include "crash_watch_private.h"

#include <utlist.h>

/* A process that ends closes its sockets within this time. */
#define ENDING_MAX MSEC(200)
/*
 * New connections that end without an answer, and the time since the first one
 * broke, before the server is held for crashed. A crash on trial leads to a
 * ban, so that a link which resets for a moment must not be taken for one.
 */
#define UNANSWERED_MIN 3
#define UNANSWERED_TIME MSEC(100)
/* A pause of a server, or a slow answer, is shorter. */
#define SILENT_MIN MSEC(1000)

bool crash_has_lost_run(const struct watched_server *watched)
{
	const struct watched_run *run;

	DL_FOREACH (watched->runs, run) {
		if (run->ended_at && run->end == RUN_LOST)
			return true;
	}
	return false;
}

static bool has_lost_trial(const struct watched_server *watched)
{
	const struct watched_run *run;

	DL_FOREACH (watched->runs, run) {
		if (run->ended_at && run->end == RUN_LOST && run->run.watched)
			return true;
	}
	return false;
}

bool crash_is_in_doubt(const struct watched_server *watched)
{
	return watched->n_given_up || crash_has_lost_run(watched);
}

/* When the first of the runs began that the server has not answered since. */
static int64_t silent_from(const struct watched_server *watched)
{
	int64_t from = clock_now(watched->runs->watch->clock);
	const struct watched_run *run;

	DL_FOREACH (watched->runs, run) {
		if (run->run.started >= watched->server->answered_at &&
		    run->run.started < from)
			from = run->run.started;
	}
	return from;
}

bool crash_is_witness(const struct watched_run *run,
		      enum crash_evidence evidence)
{
	int64_t broke_at = run->server->server->broke_at;
	int64_t after_break = run->run.started - broke_at;

	/* Never seen alive from here: it may have been down before the run. */
	if (!run->server->server->answered_at &&
	    (evidence == CRASH_EVIDENCE_GONE ||
	     evidence == CRASH_EVIDENCE_UNANSWERED))
		return false;
	if (!broke_at)
		return evidence != CRASH_EVIDENCE_GONE ||
		       run->run.started <=
			       silent_from(run->server) + ENDING_MAX;
	if (after_break <= 0 || after_break >= CRASH_DOUBT_MAX)
		return true;
	return evidence == CRASH_EVIDENCE_REFUSED && after_break >= ENDING_MAX;
}

/* Whether it was asked something and has answered nothing for long. */
static bool is_silent(const struct watched_server *watched)
{
	int64_t now = clock_now(watched->runs->watch->clock);

	return now - watched->server->answered_at >= SILENT_MIN &&
	       (watched->n_unanswered || silent_from(watched) < now);
}

bool crash_is_proved(const struct watched_server *watched,
		     enum crash_evidence evidence)
{
	if (watched->server->entry.draining || !crash_is_in_doubt(watched))
		return false;
	return evidence == CRASH_EVIDENCE_REFUSED ||
	       (crash_evidence_is_crash(evidence) &&
		crash_has_lost_run(watched)) ||
	       (evidence == CRASH_EVIDENCE_GONE && is_silent(watched));
}

bool crash_is_unanswering(const struct watched_server *watched)
{
	int64_t since = clock_now(watched->runs->watch->clock) -
			watched->server->broke_at;

	return watched->n_unanswered >= UNANSWERED_MIN &&
	       since >= (has_lost_trial(watched)
				 ? CRASH_UNANSWERED_TIME_ON_TRIAL
				 : UNANSWERED_TIME);
}
