/*
 * Requests that crash the backend servers that run them. A request whose
 * fingerprint is not known to be safe runs on one server first, and every
 * instance takes the same one; the fingerprint is refused everywhere once two
 * servers were lost to it. See docs/design/poison.md.
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

/* Servers lost to a fingerprint before it is banned. */
#define POISON_BAN_AFTER_CRASHES 2
/* Servers lost to one fingerprint that are remembered. */
#define POISON_SERVERS_MAX 4
/* A kind of request that is not a mode of searches. */
#define POISON_KIND_RUN 100
/* Most entries told to a peer at once. */
#define POISON_EXPORT_MAX 256
/* Time for the reports of a crash to reach all instances. */
#define POISON_REPORT_WAIT MSEC(200)

/**
 * enum poison_verdict - how a request may run
 * @POISON_KNOWN_SAFE: it completed well lately
 * @POISON_CANARY: not known: on one server first
 * @POISON_PROBATION: suspect: on one server at a time
 * @POISON_BANNED: not at all
 */
enum poison_verdict {
	POISON_KNOWN_SAFE,
	POISON_CANARY,
	POISON_PROBATION,
	POISON_BANNED,
};

/**
 * struct poison_report - what instances tell each other of a fingerprint
 * @hash: of the request
 * @unwatched: a server was lost while it ran there among others
 * @was_safe: it had run well before each such loss, so that these do not count
 * @n_servers: lost while it ran there under watch
 * @servers: hashes of their names
 * @replica_set: hash of that of the last one lost
 * @banned: refused everywhere
 * @left: until it expires, microseconds
 *
 * One with neither @unwatched nor @n_servers nor @banned says that the
 * fingerprint was cleared.
 */
struct poison_report {
	uint64_t hash;
	bool unwatched;
	bool was_safe;
	int n_servers;
	uint64_t servers[POISON_SERVERS_MAX];
	uint64_t replica_set;
	bool banned;
	int64_t left;
};

/**
 * struct poison_run - a request that runs on a server; owned by the home until
 * poison_end() or until its server was lost
 */
struct poison_run {
	uint64_t hash;
	uint64_t replica_set;
	bool watched;
	bool suspect;
	bool safe;
	int64_t started;
	struct poison_server *server;
	struct poison_run *prev;
	struct poison_run *next;
};

/**
 * struct poison_tunables - from the table
 * @max: entries, and a fourth of the fingerprints known to be safe
 * @suspect: how long a suspect is remembered, microseconds
 * @ban: how long a ban lasts, microseconds
 */
struct poison_tunables {
	int64_t max;
	int64_t suspect;
	int64_t ban;
};

/**
 * struct poison - what one instance knows
 * @entries: suspects and banned, by hash, oldest first
 * @goods: known to be safe, by hash, oldest first
 * @servers: those with requests running, by hash of the name
 * @ban_after: servers lost to a fingerprint before it is banned; set by the
 *	owner, POISON_BAN_AFTER_CRASHES unless told otherwise,
 *POISON_SERVERS_MAX at most
 * @tolerant: set by the owner where requests cannot be tried on one server
 *	first: suspects run as all others, and each server that is lost counts
 *	against all that ran there
 * @changed: an entry changed here and peers should know; may be NULL
 * @n_banned: bans made here, not learned, since the start
 */
struct poison {
	const struct clock *clock;
	struct poison_tunables tunables;
	struct poison_entry *entries;
	struct poison_safe_entry *goods;
	struct poison_server *servers;
	int ban_after;
	bool tolerant;
	void (*changed)(void *ctx, const struct poison_report *report);
	void *ctx;
	uint64_t n_banned;
};

void poison_init(struct poison *poison, const struct clock *clock,
		 void (*changed)(void *ctx, const struct poison_report *report),
		 void *ctx);

/**
 * poison_finish() - free everything; nothing may run
 */
void poison_finish(struct poison *poison);
void poison_set_tunables(struct poison *poison,
			 const struct poison_tunables *tunables);

/**
 * poison_fingerprint() - of what may crash a server
 * @service: name
 * @what: the where or the payload
 * @kind: the mode of a search, or another constant
 *
 * Return: a hash, never 0.
 */
uint64_t poison_fingerprint(struct str service, struct str what, uint64_t kind);

/**
 * poison_check() - how a request may run, asked by the entry
 * @retry_after_ms: set with POISON_BANNED: when the ban ends
 */
enum poison_verdict poison_check(struct poison *poison, uint64_t hash,
				 uint32_t *retry_after_ms);

/**
 * struct poison_candidate - a server that a request could run on first
 * @server: name
 * @replica_set: of it
 * @reachable: as far as this entry knows
 * @changed: when @reachable last changed, microseconds
 */
struct poison_candidate {
	struct str server;
	struct str replica_set;
	bool reachable;
	int64_t changed;
};

/**
 * poison_pick() - which server a request not known to be safe runs on
 *
 * All instances take the same one, so that however many callers send such a
 * request at once, one server runs it first. For a suspect that is one with
 * the same records as the server lost, and none lost before while there is
 * another.
 *
 * Return: index of the candidate; ERR_NO_REPLICA if none is reachable; or
 * ERR_NO_SLOT for a suspect whose server broke just now, maybe from it: the
 * reports of that are awaited.
 */
int poison_pick(const struct poison *poison, uint64_t hash,
		const struct poison_candidate *candidates, int n);

/**
 * poison_home_rank() - which of that server's homes: that of the lowest rank
 */
uint64_t poison_home_rank(uint64_t hash, struct str home);

/**
 * poison_begin() - a home is about to send a request to a server
 * @run: owned by the caller
 * @watched: the entry sent it as a canary or on probation
 *
 * Return: 0, or with nothing sent and @run left alone
 * ERR_BANNED;
 * ERR_SHED: suspect here, but the entry did not know;
 * ERR_NO_SLOT: suspect, and a suspect runs there or this one elsewhere.
 */
int poison_begin(struct poison *poison, struct poison_run *run, uint64_t hash,
		 struct str server, struct str replica_set, bool watched);

/**
 * poison_end() - the request ended, and its server lives
 * @well: it was answered; not cancelled, refused or given up
 *
 * Does nothing for a run whose server was lost.
 */
void poison_end(struct poison *poison, struct poison_run *run, bool well);

/**
 * poison_server_lost() - all connections to a server broke at once
 *
 * Its runs have ended; some fingerprints of them are blamed.
 */
void poison_server_lost(struct poison *poison, struct str server);

/**
 * poison_mark_safe() - an entry saw the whole request answered
 */
void poison_mark_safe(struct poison *poison, uint64_t hash);

/**
 * poison_mark_cleared() - an entry saw what it sent under watch answered
 *
 * The home has judged it and told everybody; this only spares the wait.
 */
void poison_mark_cleared(struct poison *poison, uint64_t hash);

/**
 * poison_apply_report() - a peer's report
 *
 * Return: whether anything changed.
 */
bool poison_apply_report(struct poison *poison,
			 const struct poison_report *report);

/**
 * poison_export() - the newest entries, for a peer that just connected
 * @reports: room for @max
 *
 * Return: how many were filled.
 */
int poison_export(struct poison *poison, struct poison_report *reports,
		  int max);

/**
 * poison_expire() - forget what is over
 */
void poison_expire(struct poison *poison);

#endif
