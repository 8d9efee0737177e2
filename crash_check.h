/*
 * Decides whether a backend server whose connections broke has crashed. The
 * module does no I/O: its owner probes the server and passes in what it met.
 *
 * Only a server at which nobody listens is held for crashed, however long one
 * takes to answer; one that neither takes nor refuses connections, after a
 * time. An accepted connection is no proof that it lives, as a process that
 * ends closes its sockets one by one: only an answer is.
 */
#ifndef CRASH_CHECK_H
#define CRASH_CHECK_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"

/* Time for the other connections of a crashed server to break, too. */
#define CRASH_CHECK_DELAY MSEC(3)
/* A server that accepts connections does so within a round trip. */
#define CRASH_CHECK_PROBE_TIMEOUT MSEC(50)
/* A living server's queue of new connections is full for less. */
#define CRASH_CHECK_NO_REPLY_MIN MSEC(1000)
/* How long to wait for an answer of a server that accepts connections. */
#define CRASH_CHECK_CONFIRM_TIMEOUT MSEC(50)

/**
 * enum crash_evidence - what is known of a server whose connections broke
 * @CRASH_EVIDENCE_OTHER_CONNECTION: another connection to it is still open
 * @CRASH_EVIDENCE_LISTENS: it accepted a new connection
 * @CRASH_EVIDENCE_REFUSED: its machine refused a new connection
 * @CRASH_EVIDENCE_NO_REPLY: its machine has not answered yet: it may be gone,
 *or the server's queue of new connections is full
 * @CRASH_EVIDENCE_UNREACHED: its machine did not answer for long, or can't be
 *	reached
 * @CRASH_EVIDENCE_UNKNOWN: it could not be probed, for want of a connection or
 *	of resources of this machine
 * @CRASH_EVIDENCE_ANSWERED: it answered what was sent after the connections
 *	broke
 * @CRASH_EVIDENCE_GONE: its entry is gone, or another server is at its address
 * @CRASH_EVIDENCE_UNANSWERED: it accepted new connections and answered on none
 */
enum crash_evidence {
	CRASH_EVIDENCE_OTHER_CONNECTION,
	CRASH_EVIDENCE_LISTENS,
	CRASH_EVIDENCE_REFUSED,
	CRASH_EVIDENCE_NO_REPLY,
	CRASH_EVIDENCE_UNREACHED,
	CRASH_EVIDENCE_UNKNOWN,
	CRASH_EVIDENCE_ANSWERED,
	CRASH_EVIDENCE_GONE,
	CRASH_EVIDENCE_UNANSWERED,
};

/**
 * crash_evidence_name() - name for logs
 */
const char *crash_evidence_name(enum crash_evidence evidence);

/**
 * crash_evidence_of() - what an attempt to connect shows
 * @error: errno of the attempt, 0 if it succeeded
 */
enum crash_evidence crash_evidence_of(int error);

/**
 * crash_evidence_is_crash() - whether the server is held for crashed
 */
bool crash_evidence_is_crash(enum crash_evidence evidence);

/**
 * struct crash_check_ops - I/O callbacks
 * @is_connected: whether any connection to the server is open
 * @confirm: ask the server for something that it answers at once, and report to
 *	crash_check_confirmed(), not during the call; returns 0, or a negative
 *	error if that isn't possible
 * @probe: open a new connection and report to crash_check_probed(), not during
 *	the call; returns 0, or a negative error if that isn't possible
 * @judged: the check has ended; the probe, if one runs, is no longer needed
 */
struct crash_check_ops {
	bool (*is_connected)(void *arg);
	int (*probe)(void *arg);
	int (*confirm)(void *arg);
	void (*judged)(void *arg, enum crash_evidence evidence);
};

enum crash_check_state {
	CRASH_CHECK_IDLE,
	CRASH_CHECK_DELAYED,
	CRASH_CHECK_PROBING,
	CRASH_CHECK_CONFIRMING,
};

/**
 * struct crash_check - the checks of one server
 * @clock: borrowed
 * @ops: borrowed, called with @arg
 * @state: see enum crash_check_state
 * @started_at: when the first connection broke, microseconds
 * @evidence: of the server taking connections, while confirming
 * @no_reply_since: when the first of the checks began that met no reply, one
 *	after the other, microseconds; 0: the last one met something else
 * @wake_at: when crash_check_tick() is due, microseconds; INT64_MAX: not
 */
struct crash_check {
	const struct clock *clock;
	const struct crash_check_ops *ops;
	void *arg;
	enum crash_check_state state;
	int64_t started_at;
	enum crash_evidence evidence;
	int64_t no_reply_since;
	int64_t wake_at;
};

/**
 * crash_check_init() - set up without a check running
 * @check: owned by the caller, needs no finish
 * @clock: borrowed
 * @ops: borrowed
 * @arg: first argument of each callback
 */
void crash_check_init(struct crash_check *check, const struct clock *clock,
		      const struct crash_check_ops *ops, void *arg);

/**
 * crash_check_start() - a connection broke while a request ran on it
 * @check: nothing changes if it runs already
 */
void crash_check_start(struct crash_check *check);

/**
 * crash_check_probed() - the probe ended
 * @check: nothing changes unless it waits for a probe
 * @evidence: what the probe met
 */
void crash_check_probed(struct crash_check *check,
			enum crash_evidence evidence);

/**
 * crash_check_confirmed() - the server answered, or failed to
 * @check: nothing changes unless it waits for that
 * @answered: it answered what was sent after the check began; otherwise the
 *	connection broke
 */
void crash_check_confirmed(struct crash_check *check, bool answered);

/**
 * crash_check_tick() - go on with a check at its @wake_at
 * @check: nothing changes before that time
 */
void crash_check_tick(struct crash_check *check);

#endif
