/* Shared by crash_watch.c, crash_doubt.c and crash_verdict.c. */
#ifndef CRASH_WATCH_PRIVATE_H
#define CRASH_WATCH_PRIVATE_H

#include "crash_watch.h"

/* The entry of a server that crashed is gone or replaced within this time. */
#define CRASH_DOUBT_MAX MSEC(10000)
/*
 * How long a server that runs a trial leaves new connections unanswered before
 * it is held for crashed.
 */
#define CRASH_UNANSWERED_TIME_ON_TRIAL MSEC(2000)

/**
 * struct watched_server - a server with watched runs
 * @server: holds a reference
 * @runs: that run, or that ended and are not judged yet
 * @n_given_up: number of @runs that were given up
 * @n_probes: connections that were tried since it last answered
 * @n_accepted: how many of them were accepted
 * @n_unanswered: how many of these ended without an answer
 * @awaiting: one was accepted and has neither ended nor been answered
 * @probing: a probe is connecting
 * @probe_at: when to probe, microseconds; INT64_MAX: not
 * @probe_delay: before the next probe, microseconds
 * @doubt_at: when its runs are reported as in doubt, microseconds; INT64_MAX:
 *	not
 * @doubted: they were
 */
struct watched_server {
	struct registry_server *server;
	struct watched_run *runs;
	int n_given_up;
	int n_probes;
	int n_accepted;
	int n_unanswered;
	bool awaiting;
	bool probing;
	int64_t probe_at;
	int64_t probe_delay;
	int64_t doubt_at;
	bool doubted;
	struct watched_server *prev;
	struct watched_server *next;
};

/**
 * crash_doubt_start() - the first connection to a server broke
 */
void crash_doubt_start(struct watched_server *watched);

/**
 * crash_doubt_end() - it is known what became of the server
 */
void crash_doubt_end(struct watched_server *watched);

/**
 * crash_doubt_report_if_due() - report the requests that may have crashed a
 * server and others
 */
void crash_doubt_report_if_due(struct crash_watch *watch,
			       struct watched_server *watched);

/**
 * crash_has_lost_run() - whether a run is lost, and not only given up
 */
bool crash_has_lost_run(const struct watched_server *watched);

/**
 * crash_is_in_doubt() - whether a run has ended without an answer
 */
bool crash_is_in_doubt(const struct watched_server *watched);

/**
 * crash_is_witness() - whether a run may have crashed its server
 * @run: a run on a server that is held for crashed
 * @evidence: by which it is
 *
 * What began when connections had broken already met a server that was down,
 * unless the server listened again, which only an address shows that has
 * stopped listening since.
 */
bool crash_is_witness(const struct watched_run *run,
		      enum crash_evidence evidence);

/**
 * crash_is_proved() - whether a server is held for crashed
 * @watched: the server
 * @evidence: what was seen of it just now
 *
 * Without a broken connection, an address that can't be reached does not show
 * that the process has ended, nor does an entry that is gone while the server
 * goes on answering.
 */
bool crash_is_proved(const struct watched_server *watched,
		     enum crash_evidence evidence);

/**
 * crash_is_unanswering() - whether a server accepts connections and has
 * answered on none for long enough
 */
bool crash_is_unanswering(const struct watched_server *watched);

#endif
