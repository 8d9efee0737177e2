/*
 * Detects and bans requests that crash the backend servers running them. A
 * request whose fingerprint isn't known to be safe runs on one server first
 * (canary), and all instances choose the same one. A fingerprint that has
 * crashed a server is a suspect and runs on one server at a time (probation).
 * After crashes of two servers it is banned on all instances. See
 * docs/design/poison.md.
 */
#ifndef POISON_H
#define POISON_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "str.h"

struct poison_entry;
struct poison_safe_entry;
struct poison_server;

/* Crashes of servers after which a fingerprint is banned. */
#define POISON_BAN_AFTER_CRASHES 2
/* Crashed servers stored for each fingerprint. */
#define POISON_SERVERS_MAX 4
/* Kind of POST /v1/run requests, distinct from all modes of searches. */
#define POISON_KIND_RUN 100
/* Maximum number of entries sent to a newly connected peer. */
#define POISON_EXPORT_MAX 256
/* Time allowed for crash reports to reach all instances. */
#define POISON_REPORT_WAIT MSEC(200)

/**
 * enum poison_verdict - how a request may run
 * @POISON_KNOWN_SAFE: without restriction: it completed recently
 * @POISON_CANARY: on one server first: nothing is known about it
 * @POISON_PROBATION: on one server at a time: it is a suspect
 * @POISON_BANNED: not at all
 */
enum poison_verdict {
	POISON_KNOWN_SAFE,
	POISON_CANARY,
	POISON_PROBATION,
	POISON_BANNED,
};

/**
 * enum poison_trial - whether a suspect was tried on one server first
 * @POISON_NOT_TRIED: no, or it is none
 * @POISON_ON_TRIAL: it runs on this server only
 * @POISON_TRIAL_PASSED: it ran well on one server, and now runs on others
 */
enum poison_trial {
	POISON_NOT_TRIED,
	POISON_ON_TRIAL,
	POISON_TRIAL_PASSED,
};

/**
 * struct poison_report - state of a fingerprint, exchanged between instances
 * @hash: the fingerprint
 * @unwatched_crash: a server crashed while the request ran there unwatched,
 *	that is neither as a canary nor on probation
 * @was_safe: the fingerprint was known to be safe before each unwatched crash,
 *	so these don't count towards a ban
 * @n_servers: number of servers that crashed while running it watched
 * @servers: hashes of their names
 * @replica_set: hash of the replica set of the server that crashed last
 * @ran: the longest time that it had run on a server when that crashed,
 *	microseconds; 0 if not known
 * @crashed_on_trial: one of @servers crashed while it ran on that one only
 * @trial: it may be on trial for that much longer, microseconds; 0: it is not
 * @trial_ticket: of that trial, drawn by its instance
 * @held: it is held back for that much longer, see poison_hold(),
 *	microseconds; 0: it is not
 * @banned: refused on all instances
 * @in_doubt: see poison_doubt()
 * @remaining: time until it expires, microseconds
 * @version: raised by each crash; one that clears has the version that it
 *	clears, and ends what was reported up to that. 0: unknown
 *
 * A report with @unwatched_crash, @n_servers, @banned and @in_doubt all unset
 * says that the fingerprint was cleared.
 */
struct poison_report {
	uint64_t hash;
	bool unwatched_crash;
	bool was_safe;
	int n_servers;
	uint64_t servers[POISON_SERVERS_MAX];
	uint64_t replica_set;
	int64_t ran;
	bool crashed_on_trial;
	int64_t trial;
	uint64_t trial_ticket;
	int64_t held;
	bool banned;
	bool in_doubt;
	int64_t remaining;
	uint64_t version;
};

/**
 * struct poison_run - a request running on a server
 * @hash: its fingerprint
 * @replica_set: hash of the name of the server's replica set
 * @watched: sent as a canary or on probation
 * @suspect: the fingerprint was a suspect at the start
 * @safe: the fingerprint was known to be safe at the start, or has passed its
 *	trial
 * @in_doubt: its connection broke, and its server may have crashed
 * @started: time of the start, microseconds
 * @server: where it runs; NULL once the server is lost
 * @prev: previous run on @server
 * @next: next run on @server
 *
 * Owned by the home, linked until poison_end() or poison_server_lost().
 */
struct poison_run {
	uint64_t hash;
	uint64_t replica_set;
	bool watched;
	bool suspect;
	bool safe;
	bool in_doubt;
	int64_t started;
	struct poison_server *server;
	struct poison_run *prev;
	struct poison_run *next;
};

/**
 * struct poison_tunables - settings from the table
 * @max_entries: maximum number of suspects and bans; four times as many
 *	fingerprints known to be safe are stored
 * @suspect_ttl: how long a suspect or safe fingerprint is stored, microseconds
 * @ban_ttl: how long a ban lasts, microseconds
 */
struct poison_tunables {
	int64_t max_entries;
	int64_t suspect_ttl;
	int64_t ban_ttl;
};

/**
 * struct poison - what one instance knows about fingerprints
 * @clock: borrowed
 * @tunables: see poison_set_tunables()
 * @entries: suspects and bans, by hash, oldest first
 * @safe_entries: fingerprints known to be safe, by hash, oldest first
 * @servers: servers with running requests, by hash of the name
 * @ban_after: number of crashes that lead to a ban; set by the owner, at most
 *	POISON_SERVERS_MAX, default POISON_BAN_AFTER_CRASHES
 * @no_canaries: set by the owner where only suspects are tried on one server
 *	first: each crash counts against all requests running on that server
 *	that are not known to be safe, and a ban takes a crash on trial, as only
 *	that one can't be another request's
 * @changed: called when an entry changed here and peers should be informed;
 *	may be NULL
 * @ctx: argument of @changed
 * @n_banned: bans decided here, not received from peers, since the start
 */
struct poison {
	const struct clock *clock;
	struct poison_tunables tunables;
	struct poison_entry *entries;
	struct poison_safe_entry *safe_entries;
	struct poison_server *servers;
	int ban_after;
	bool no_canaries;
	void (*changed)(void *ctx, const struct poison_report *report);
	void *ctx;
	uint64_t n_banned;
};

/**
 * poison_init() - initialise the state of an instance, without tunables
 * @poison: owned by the caller
 * @clock: borrowed
 * @changed: see struct poison; may be NULL
 * @ctx: argument of @changed
 */
void poison_init(struct poison *poison, const struct clock *clock,
		 void (*changed)(void *ctx, const struct poison_report *report),
		 void *ctx);

/**
 * poison_finish() - free all entries; no request may be running
 * @poison: state of this instance
 */
void poison_finish(struct poison *poison);

/**
 * poison_set_tunables() - replace the settings
 * @poison: state of this instance
 * @tunables: copied
 */
void poison_set_tunables(struct poison *poison,
			 const struct poison_tunables *tunables);

/**
 * poison_fingerprint() - hash the parts of a request that may crash a server
 * @service: name of the service
 * @what: the search's "where" clause or the payload
 * @kind: the mode of a search, or another constant
 *
 * Return: a hash, never 0.
 */
uint64_t poison_fingerprint(struct str service, struct str what, uint64_t kind);

/**
 * poison_check() - decide how a request may run, called by the entry instance
 * @poison: state of this instance
 * @hash: fingerprint of the request
 * @retry_after_ms: set for POISON_BANNED only: time until the ban ends
 *
 * Return: the decision.
 */
enum poison_verdict poison_check(struct poison *poison, uint64_t hash,
				 uint32_t *retry_after_ms);

/**
 * struct poison_candidate - a server that a watched request could run on
 * @server: its name
 * @replica_set: name of its replica set
 * @reachable: whether this entry instance can reach it
 * @changed: time of the last change of @reachable, microseconds
 * @tried: the request has run there without success
 */
struct poison_candidate {
	struct str server;
	struct str replica_set;
	bool reachable;
	int64_t changed;
	bool tried;
};

/**
 * poison_pick() - choose the server for a request not known to be safe
 * @poison: state of this instance
 * @hash: fingerprint of the request
 * @candidates: servers to choose from
 * @n: number of @candidates
 *
 * All instances choose the same server, so that one server runs the request
 * first even if many callers send it at the same time. For a suspect, servers
 * of the replica set that crashed last are preferred, as they hold the same
 * records; servers that it has crashed before are used last, but for those that
 * the request has been tried on.
 *
 * Return: index of the candidate; ERR_NO_REPLICA if none is reachable;
 * ERR_NO_SLOT for a suspect whose preferred server became unreachable less
 * than POISON_REPORT_WAIT ago: the suspect may be the cause, and the crash
 * reports may still be on their way.
 */
int poison_pick(const struct poison *poison, uint64_t hash,
		const struct poison_candidate *candidates, int n);

/**
 * poison_trial_time() - how long a watched request is on trial on a server
 * @poison: state of this instance
 * @hash: fingerprint of the request
 * @left: time until the request's deadline, microseconds
 *
 * After it, another server may run the request, though the first still does: it
 * has run for longer there than where it crashed, or half of its time is up.
 *
 * Return: microseconds.
 */
int64_t poison_trial_time(const struct poison *poison, uint64_t hash,
			  int64_t left);

/**
 * poison_home_rank() - rank a home of the chosen server
 * @hash: fingerprint of the request
 * @home: name of the home's instance
 *
 * Return: the rank; the request goes to the home with the lowest.
 */
uint64_t poison_home_rank(uint64_t hash, struct str home);

/**
 * poison_doubt() - servers may have crashed under a request, which takes too
 * long to find out
 * @poison: state of this instance, without canaries
 * @hash: fingerprint of the request
 * @replica_set: name of the replica set of one of the servers
 *
 * Unless it is known to be safe, it becomes a suspect on all instances: its
 * next sending runs on one server first, not before POISON_REPORT_WAIT. Any
 * answer clears it. For a ban it counts as one server, besides crashes on
 * trial.
 */
void poison_doubt(struct poison *poison, uint64_t hash, struct str replica_set);

/**
 * poison_begin() - register a request that a home is about to send to a server
 * @poison: state of this instance
 * @run: owned by the caller; must stay valid until poison_end() or until the
 *	server is lost
 * @hash: fingerprint of the request
 * @server: name of the server
 * @replica_set: name of its replica set
 * @trial: whether the entry instance sent it as a canary or on probation
 * @left: time until its deadline, microseconds
 *
 * Return: 0; on error the request must not be sent, and @run is unchanged:
 * ERR_BANNED: the fingerprint is banned, or, without canaries, has crashed
 *	@ban_after servers and must be tried on one first;
 * ERR_SHED: a suspect here, but the entry instance sent it unwatched;
 * ERR_NO_SLOT: a suspect, and either another suspect runs on this server or
 * the same request is on trial anywhere.
 */
int poison_begin(struct poison *poison, struct poison_run *run, uint64_t hash,
		 struct str server, struct str replica_set,
		 enum poison_trial trial, int64_t left);

/**
 * poison_suspect_set() - hash of the name of the replica set that a suspect
 * crashed last
 * @poison: state of this instance
 * @hash: fingerprint of the request
 *
 * Return: 0 if it is no suspect, or none of its crashes counts.
 */
uint64_t poison_suspect_set(const struct poison *poison, uint64_t hash);

/**
 * poison_has_run_well() - whether a fingerprint was answered not long ago, or
 * had been before the first server crashed under it
 * @poison: state of this instance
 * @hash: fingerprint of the request
 */
bool poison_has_run_well(const struct poison *poison, uint64_t hash);

/**
 * poison_n_crashed() - number of crashes that count against a fingerprint
 * @poison: state of this instance
 * @hash: fingerprint of the request
 */
int poison_n_crashed(const struct poison *poison, uint64_t hash);

/**
 * poison_start_trial() - a suspect is about to run on one server
 * @poison: state of this instance
 * @hash: fingerprint of the request
 * @until: its deadline, microseconds
 * @ticket: drawn for this trial, not 0
 *
 * Unless it was known to be safe before, all instances are told, so that they
 * don't try it at the same time.
 *
 * Return: whether they are told.
 */
bool poison_start_trial(struct poison *poison, uint64_t hash, int64_t until,
			uint64_t ticket);

/**
 * poison_owns_trial() - whether a trial has the lowest ticket of those that
 * were announced at the same time
 * @poison: state of this instance
 * @hash: fingerprint of the request
 * @ticket: as in poison_start_trial()
 *
 * Return: true also if the request is no suspect any more.
 */
bool poison_owns_trial(const struct poison *poison, uint64_t hash,
		       uint64_t ticket);

/**
 * poison_waits_for_trial() - whether another suspect goes first, that ran on
 * one of the crashed servers, too
 * @poison: state of this instance
 * @hash: fingerprint of the request
 * @ticket: as in poison_start_trial()
 *
 * Both on one server at once, the one that did nothing would be banned with the
 * other.
 */
bool poison_waits_for_trial(const struct poison *poison, uint64_t hash,
			    uint64_t ticket);

/**
 * poison_hold() - a trial ended, and its server may have crashed
 * @poison: state of this instance
 * @hash: fingerprint of the request
 * @until: when it is known whether it has, microseconds
 *
 * All instances are told, so that they don't try it on the next server before
 * that.
 */
void poison_hold(struct poison *poison, uint64_t hash, int64_t until);

/**
 * poison_calm_wait() - time until no server has crashed under a suspect for
 * POISON_REPORT_WAIT, and its last trial is decided
 * @poison: state of this instance
 * @hash: fingerprint of the request
 *
 * Return: microseconds; 0 if that is so.
 */
int64_t poison_calm_wait(const struct poison *poison, uint64_t hash);

/**
 * poison_trial_wait() - how long to hold a suspect back that is on trial, whose
 * last trial is not decided, or under which a server crashed less than
 * POISON_REPORT_WAIT ago
 * @poison: state of this instance
 * @hash: fingerprint of the request
 *
 * Return: microseconds; 0 if it may run now.
 */
int64_t poison_trial_wait(const struct poison *poison, uint64_t hash);

/**
 * poison_blocking_run() - find the run that a suspect has to wait for
 * @poison: state of this instance
 * @hash: fingerprint of the suspect
 * @server: name of the server that it is to run on
 * @left: time until its deadline, microseconds
 * @wait: set with the result: when to try again, in microseconds from now
 *
 * Return: the run because of which poison_begin() returns ERR_NO_SLOT, or NULL.
 */
const struct poison_run *poison_blocking_run(const struct poison *poison,
					     uint64_t hash, struct str server,
					     int64_t left, int64_t *wait);

/**
 * poison_move_in_doubt() - keep a run although its request has ended
 * @run: as ended by poison_end() afterwards
 * @in_doubt: takes its place until poison_end() or poison_server_lost(); it is
 *	blamed if its server turns out to have crashed, and holds nobody back
 */
void poison_move_in_doubt(struct poison_run *run, struct poison_run *in_doubt);

/**
 * poison_end() - a request ended without a crash of its server
 * @poison: state of this instance
 * @run: the request
 * @answered: it was answered, rather than cancelled, refused or abandoned
 *
 * Does nothing for a run whose server was lost.
 */
void poison_end(struct poison *poison, struct poison_run *run, bool answered);

/**
 * poison_server_lost() - all connections to a server broke at once
 * @poison: state of this instance
 * @server: name of the server
 *
 * Ends the requests that ran there and makes some of their fingerprints
 * suspects or bans them.
 */
void poison_server_lost(struct poison *poison, struct str server);

/**
 * poison_mark_safe() - the entry instance received a complete answer
 * @poison: state of this instance
 * @hash: fingerprint of the request
 *
 * Does nothing for a suspect or banned fingerprint.
 */
void poison_mark_safe(struct poison *poison, uint64_t hash);

/**
 * poison_mark_cleared() - the entry instance got the answer to a watched run
 * @poison: state of this instance
 * @hash: fingerprint of the request
 *
 * The home decides whether that clears the fingerprint and reports it to all
 * instances. Marking it safe here only avoids waiting for that report.
 */
void poison_mark_cleared(struct poison *poison, uint64_t hash);

/**
 * poison_apply_report() - merge a report received from a peer
 * @poison: state of this instance
 * @report: copied
 *
 * Return: whether anything changed.
 */
bool poison_apply_report(struct poison *poison,
			 const struct poison_report *report);

/**
 * poison_export() - report the newest entries, for a newly connected peer
 * @poison: state of this instance
 * @reports: array of @max reports, filled in
 * @max: maximum number of reports
 *
 * Return: number of reports filled in.
 */
int poison_export(struct poison *poison, struct poison_report *reports,
		  int max);

/**
 * poison_expire() - remove expired entries
 * @poison: state of this instance
 */
void poison_expire(struct poison *poison);

#endif
