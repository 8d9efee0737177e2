#include "poison_private.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

/* Fingerprints known to be safe that are stored per suspect or ban. */
#define SAFE_PER_ENTRY 4
/* A trial lasts this many times as long as the run that ended in a crash. */
#define TRIAL_FACTOR 2
#define TRIAL_MIN MSEC(50)
/* Part of the time left that a trial takes at most: 1/2. */
#define TRIAL_LEFT_DIVISOR 2
/*
 * A request that ran well stays safe for so long after servers have crashed
 * under it: others crash at the same time if another request crashes them.
 */
#define SAFE_AFTER_CRASH MSEC(1000)
/* How long another suspect runs on a server isn't known. */
#define OTHER_SUSPECT_RETRY MSEC(20)

struct poison_safe_entry {
	uint64_t hash;
	uint64_t cleared_version;
	int64_t expires;
	UT_hash_handle hh;
};

struct poison_server {
	uint64_t name;
	struct poison_run *runs;
	UT_hash_handle hh;
};

struct poison_entry *poison_find_entry(const struct poison *poison,
				       uint64_t hash)
{
	struct poison_entry *entry;

	HASH_FIND(hh, poison->entries, &hash, sizeof(hash), entry);
	return entry;
}

static struct poison_safe_entry *find_safe_entry(const struct poison *poison,
						 uint64_t hash)
{
	struct poison_safe_entry *safe_entry;

	HASH_FIND(hh, poison->safe_entries, &hash, sizeof(hash), safe_entry);
	return safe_entry;
}

void poison_drop_entry(struct poison *poison, struct poison_entry *entry)
{
	HASH_DEL(poison->entries, entry);
	free(entry);
}

static void drop_safe_entry(struct poison *poison,
			    struct poison_safe_entry *safe_entry)
{
	HASH_DEL(poison->safe_entries, safe_entry);
	free(safe_entry);
}

struct poison_entry *poison_find_live_entry(struct poison *poison,
					    uint64_t hash)
{
	struct poison_entry *entry = poison_find_entry(poison, hash);

	if (!entry || entry->expires > clock_now(poison->clock))
		return entry;
	poison_drop_entry(poison, entry);
	return NULL;
}

/*
 * Evicts the oldest suspect. Bans are evicted only if there are no suspects,
 * as losing a ban costs more than losing a suspect.
 */
static void evict_if_full(struct poison *poison)
{
	struct poison_entry *entry = poison->entries;

	if ((int64_t)HASH_COUNT(poison->entries) < poison->tunables.max_entries)
		return;
	while (entry && entry->banned)
		entry = entry->hh.next;
	poison_drop_entry(poison, entry ? entry : poison->entries);
}

struct poison_entry *poison_add_entry(struct poison *poison, uint64_t hash)
{
	struct poison_entry *entry;

	evict_if_full(poison);
	entry = mem_zalloc(sizeof(*entry));
	entry->hash = hash;
	entry->version = poison_cleared_version(poison, hash);
	HASH_ADD(hh, poison->entries, hash, sizeof(hash), entry);
	return entry;
}

/*
 * An unwatched crash of a fingerprint that was known to be safe doesn't count.
 * Otherwise restarting servers one after the other could ban a popular search:
 * it runs on all servers, so the first restart always hits it, and the second
 * may hit it while it is on probation.
 */
static int count_crashes(const struct poison_entry *entry)
{
	bool counted = entry->unwatched_crash && !entry->was_safe;

	return entry->n_servers + counted;
}

bool poison_entry_has_server(const struct poison_entry *entry, uint64_t server)
{
	int i;

	for (i = 0; i < entry->n_servers; i++) {
		if (entry->servers[i] == server)
			return true;
	}
	return false;
}

void poison_entry_add_server(struct poison_entry *entry, uint64_t server)
{
	if (entry->n_servers < POISON_SERVERS_MAX &&
	    !poison_entry_has_server(entry, server))
		entry->servers[entry->n_servers++] = server;
}

/* A doubt stands for one server: two had broken under it. */
static bool has_crashed_enough(const struct poison *poison,
			       const struct poison_entry *entry)
{
	return count_crashes(entry) + entry->in_doubt >= poison->ban_after;
}

/* A hash for one more crash of a server that is back under the same name. */
static uint64_t next_life(const struct poison_entry *entry, uint64_t server)
{
	while (poison_entry_has_server(entry, server))
		server = str_hash_mix(server, 1);
	return server;
}

void poison_update_ban(struct poison *poison, struct poison_entry *entry)
{
	int64_t now = clock_now(poison->clock);
	struct poison_safe_entry *safe_entry =
		find_safe_entry(poison, entry->hash);

	if (safe_entry)
		drop_safe_entry(poison, safe_entry);
	if (has_crashed_enough(poison, entry) &&
	    (entry->crashed_on_trial || !poison->no_canaries))
		entry->banned = true;
	entry->updated = now;
	entry->expires = now + (entry->banned ? poison->tunables.ban_ttl
					      : poison->tunables.suspect_ttl);
}

static void clear_entry(struct poison *poison, struct poison_entry *entry)
{
	struct poison_report report = {.hash = entry->hash,
				       .version = entry->version};

	poison_clear(poison, report.hash, report.version);
	if (poison->changed)
		poison->changed(poison->ctx, &report);
}

void poison_init(struct poison *poison, const struct clock *clock,
		 void (*changed)(void *ctx, const struct poison_report *report),
		 void *ctx)
{
	memset(poison, 0, sizeof(*poison));
	poison->clock = clock;
	poison->ban_after = POISON_BAN_AFTER_CRASHES;
	poison->changed = changed;
	poison->ctx = ctx;
}

void poison_finish(struct poison *poison)
{
	struct poison_server *server;
	struct poison_server *next;

	while (poison->entries)
		poison_drop_entry(poison, poison->entries);
	while (poison->safe_entries)
		drop_safe_entry(poison, poison->safe_entries);
	HASH_ITER (hh, poison->servers, server, next) {
		HASH_DEL(poison->servers, server);
		free(server);
	}
}

void poison_set_tunables(struct poison *poison,
			 const struct poison_tunables *tunables)
{
	poison->tunables = *tunables;
}

uint64_t poison_fingerprint(struct str service, struct str what, uint64_t kind)
{
	uint64_t hash = str_hash_mix(str_hash(service), str_hash(what));

	hash = str_hash_mix(hash, kind);
	return hash ? hash : 1;
}

static bool is_known_safe(const struct poison *poison, uint64_t hash)
{
	const struct poison_safe_entry *safe_entry =
		find_safe_entry(poison, hash);

	return safe_entry && safe_entry->expires > clock_now(poison->clock);
}

bool poison_has_run_well(const struct poison *poison, uint64_t hash)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);

	return is_known_safe(poison, hash) || (entry && entry->was_safe);
}

enum poison_verdict poison_check(struct poison *poison, uint64_t hash,
				 uint32_t *retry_after_ms)
{
	int64_t now = clock_now(poison->clock);
	struct poison_entry *entry = poison_find_live_entry(poison, hash);

	if (entry && entry->banned) {
		*retry_after_ms =
			(uint32_t)((entry->expires - now) / USEC_PER_MSEC) + 1;
		return POISON_BANNED;
	}
	if (entry)
		return POISON_PROBATION;
	return is_known_safe(poison, hash) ? POISON_KNOWN_SAFE : POISON_CANARY;
}

int64_t poison_trial_time(const struct poison *poison, uint64_t hash,
			  int64_t left)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);
	int64_t most = left / TRIAL_LEFT_DIVISOR;
	int64_t trial;

	if (!entry || !entry->ran)
		return most;
	trial = TRIAL_FACTOR * entry->ran;
	if (trial < TRIAL_MIN)
		trial = TRIAL_MIN;
	return trial < most ? trial : most;
}

static struct poison_server *find_server(const struct poison *poison,
					 uint64_t name)
{
	struct poison_server *server;

	HASH_FIND(hh, poison->servers, &name, sizeof(name), server);
	return server;
}

static struct poison_server *get_server(struct poison *poison, uint64_t name)
{
	struct poison_server *server = find_server(poison, name);

	if (server)
		return server;
	server = mem_zalloc(sizeof(*server));
	server->name = name;
	HASH_ADD(hh, poison->servers, name, sizeof(name), server);
	return server;
}

static const struct poison_run *
find_oldest_run(const struct poison_server *server, uint64_t hash)
{
	const struct poison_run *oldest = NULL;
	const struct poison_run *run;

	DL_FOREACH (server->runs, run) {
		if (run->hash == hash && !run->in_doubt &&
		    (!oldest || run->started < oldest->started))
			oldest = run;
	}
	return oldest;
}

/* A crash can be attributed to a suspect only if no other one runs there. */
static const struct poison_run *
find_other_suspect(const struct poison_server *server, uint64_t hash)
{
	const struct poison_run *run;

	DL_FOREACH (server->runs, run) {
		if (run->suspect && run->hash != hash && !run->in_doubt)
			return run;
	}
	return NULL;
}

/*
 * A suspect on trial on two servers could crash both. Its trial on a server
 * ends with that of its oldest run there.
 */
const struct poison_run *poison_blocking_run(const struct poison *poison,
					     uint64_t hash, struct str server,
					     int64_t left, int64_t *wait)
{
	int64_t trial = poison_trial_time(poison, hash, left);
	const struct poison_server *target =
		find_server(poison, str_hash(server));
	const struct poison_server *other;
	const struct poison_run *run;

	*wait = OTHER_SUSPECT_RETRY;
	run = target ? find_other_suspect(target, hash) : NULL;
	for (other = poison->servers; other && !run; other = other->hh.next) {
		run = find_oldest_run(other, hash);
		*wait = run ? run->started + trial - clock_now(poison->clock)
			    : 0;
		if (*wait <= 0)
			run = NULL;
	}
	return run;
}

static bool is_suspect(const struct poison_entry *entry)
{
	return entry && (entry->in_doubt || count_crashes(entry));
}

uint64_t poison_suspect_set(const struct poison *poison, uint64_t hash)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);

	return is_suspect(entry) ? entry->replica_set : 0;
}

int poison_n_crashed(const struct poison *poison, uint64_t hash)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);

	return entry ? count_crashes(entry) : 0;
}

/* Without canaries: it ran well until servers began to crash just now. */
static bool is_still_safe(const struct poison *poison,
			  const struct poison_entry *entry)
{
	return poison->no_canaries && entry && entry->was_safe &&
	       clock_now(poison->clock) < entry->safe_until;
}

/* Without canaries: it may run on one server only. */
static bool must_be_tried(const struct poison *poison,
			  const struct poison_entry *entry)
{
	return poison->no_canaries && has_crashed_enough(poison, entry);
}

bool poison_note_until(const struct poison *poison, int64_t *known,
		       int64_t until)
{
	if (until <= *known + POISON_REPORT_WAIT ||
	    *known > clock_now(poison->clock))
		return false;
	*known = until;
	return true;
}

bool poison_start_trial(struct poison *poison, uint64_t hash, int64_t until,
			uint64_t ticket)
{
	struct poison_entry *entry = poison_find_live_entry(poison, hash);

	if (!poison->no_canaries || !is_suspect(entry) ||
	    !poison_note_until(poison, &entry->trial_until, until))
		return false;
	entry->trial_ticket = ticket;
	poison_notify_changed(poison, entry);
	return true;
}

static bool shares_server(const struct poison_entry *a,
			  const struct poison_entry *b)
{
	int i;

	for (i = 0; i < a->n_servers; i++) {
		if (poison_entry_has_server(b, a->servers[i]))
			return true;
	}
	return false;
}

bool poison_waits_for_trial(const struct poison *poison, uint64_t hash,
			    uint64_t ticket)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);
	const struct poison_entry *other = poison->entries;
	int64_t now = clock_now(poison->clock);

	for (; entry && other; other = other->hh.next) {
		if (other != entry && !other->banned &&
		    other->trial_until > now && other->trial_ticket < ticket &&
		    shares_server(entry, other))
			return true;
	}
	return false;
}

bool poison_owns_trial(const struct poison *poison, uint64_t hash,
		       uint64_t ticket)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);

	return !entry || entry->trial_ticket == ticket;
}

void poison_hold(struct poison *poison, uint64_t hash, int64_t until)
{
	struct poison_entry *entry = poison_find_live_entry(poison, hash);

	if (is_suspect(entry) &&
	    poison_note_until(poison, &entry->held_until, until))
		poison_notify_changed(poison, entry);
}

int64_t poison_calm_wait(const struct poison *poison, uint64_t hash)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);
	int64_t now = clock_now(poison->clock);
	int64_t calm_at;

	if (!is_suspect(entry))
		return 0;
	/* Servers that crash at the same time would seem to crash by trials. */
	calm_at = entry->updated + POISON_REPORT_WAIT;
	if (entry->held_until > calm_at)
		calm_at = entry->held_until;
	return calm_at > now ? calm_at - now : 0;
}

int64_t poison_trial_wait(const struct poison *poison, uint64_t hash)
{
	const struct poison_entry *entry = poison_find_entry(poison, hash);
	int64_t calm_wait = poison_calm_wait(poison, hash);
	int64_t now = clock_now(poison->clock);

	if (!is_suspect(entry) || calm_wait)
		return calm_wait;
	return entry->trial_until > now
		       ? poison_trial_time(poison, hash,
					   entry->trial_until - now)
		       : 0;
}

void poison_doubt(struct poison *poison, uint64_t hash, struct str replica_set)
{
	struct poison_entry *entry = poison_find_live_entry(poison, hash);

	if (is_suspect(entry) || poison_has_run_well(poison, hash))
		return;
	if (!entry)
		entry = poison_add_entry(poison, hash);
	entry->in_doubt = true;
	entry->version++;
	entry->replica_set = str_hash(replica_set);
	poison_update_ban(poison, entry);
	poison_notify_changed(poison, entry);
}

int poison_begin(struct poison *poison, struct poison_run *run, uint64_t hash,
		 struct str server, struct str replica_set,
		 enum poison_trial trial, int64_t left)
{
	const struct poison_entry *entry = poison_find_live_entry(poison, hash);
	uint64_t name = str_hash(server);
	int64_t wait;

	if (entry && entry->banned)
		return ERR_BANNED;
	if (entry && !trial && must_be_tried(poison, entry))
		return ERR_BANNED;
	if (entry && !trial && !poison->no_canaries)
		return ERR_SHED;
	if (entry && !poison->no_canaries &&
	    poison_blocking_run(poison, hash, server, left, &wait))
		return ERR_NO_SLOT;
	run->hash = hash;
	run->replica_set = str_hash(replica_set);
	run->watched = trial == POISON_ON_TRIAL;
	run->suspect = entry;
	run->safe = is_known_safe(poison, hash) ||
		    trial == POISON_TRIAL_PASSED ||
		    is_still_safe(poison, entry);
	run->in_doubt = false;
	run->started = clock_now(poison->clock);
	run->server = get_server(poison, name);
	DL_APPEND(run->server->runs, run);
	return 0;
}

void poison_move_in_doubt(struct poison_run *run, struct poison_run *in_doubt)
{
	*in_doubt = *run;
	in_doubt->in_doubt = true;
	if (!run->server)
		return;
	DL_REPLACE_ELEM(run->server->runs, run, in_doubt);
	run->server = NULL;
}

static void drop_run(struct poison *poison, struct poison_run *run)
{
	struct poison_server *server = run->server;

	DL_DELETE(server->runs, run);
	run->server = NULL;
	if (server->runs)
		return;
	HASH_DEL(poison->servers, server);
	free(server);
}

/*
 * A run clears a suspect only if it began after the last crash and ran on the
 * same replica set: a request may crash on the records of one replica set and
 * succeed on those of another.
 */
static bool clears_suspicion(const struct poison_entry *entry,
			     const struct poison_run *run)
{
	if (entry->in_doubt && !count_crashes(entry))
		return true;
	return !entry->banned && run->suspect &&
	       run->started >= entry->updated &&
	       run->replica_set == entry->replica_set;
}

void poison_end(struct poison *poison, struct poison_run *run, bool answered)
{
	struct poison_entry *entry;

	if (!run->server)
		return;
	drop_run(poison, run);
	if (!answered)
		return;
	entry = poison_find_live_entry(poison, run->hash);
	if (entry && clears_suspicion(entry, run))
		clear_entry(poison, entry);
	poison_mark_safe(poison, run->hash);
}

void poison_entry_raise_ran(struct poison_entry *entry, int64_t ran)
{
	if (ran > entry->ran)
		entry->ran = ran;
}

void poison_entry_add_unwatched_crash(const struct poison *poison,
				      struct poison_entry *entry, bool was_safe)
{
	if (was_safe && !entry->unwatched_crash)
		entry->safe_until = clock_now(poison->clock) + SAFE_AFTER_CRASH;
	entry->was_safe =
		was_safe && (entry->was_safe || !entry->unwatched_crash);
	entry->unwatched_crash = true;
}

/*
 * Without canaries, crashes of what has run well before them never count, even
 * if that was not known when the run began.
 */
static bool is_counted(const struct poison *poison,
		       const struct poison_run *run, bool safe)
{
	return poison->no_canaries ? !safe : run->watched;
}

/* Attributes the crash of a server to a request that was running there. */
static void record_crash(struct poison *poison, const struct poison_run *run,
			 uint64_t server)
{
	struct poison_entry *entry = poison_find_live_entry(poison, run->hash);
	int64_t ran = clock_now(poison->clock) - run->started;
	bool safe = run->safe ||
		    (poison->no_canaries && is_known_safe(poison, run->hash)) ||
		    is_still_safe(poison, entry);
	bool counted = is_counted(poison, run, safe);
	bool was_banned;

	if (!entry)
		entry = poison_add_entry(poison, run->hash);
	entry->version++;
	poison_entry_raise_ran(entry, ran);
	if (!counted)
		poison_entry_add_unwatched_crash(poison, entry, safe);
	else if (poison_entry_has_server(entry, server) &&
		 run->started > entry->updated)
		/* The same server restarted and crashed again. */
		poison_entry_add_server(entry, next_life(entry, server));
	else
		poison_entry_add_server(entry, server);
	entry->crashed_on_trial |= run->watched && counted;
	/* What its trial did is known now. */
	if (run->watched)
		entry->held_until = 0;
	entry->replica_set = run->replica_set;
	was_banned = entry->banned;
	poison_update_ban(poison, entry);
	poison->n_banned += entry->banned && !was_banned;
	poison_notify_changed(poison, entry);
}

void poison_server_lost(struct poison *poison, struct str name)
{
	struct poison_server *server = find_server(poison, str_hash(name));
	struct poison_run *runs;
	struct poison_run *run;
	bool watched = false;

	if (!server)
		return;
	runs = server->runs;
	DL_FOREACH (runs, run) {
		watched = watched || run->watched;
		run->server = NULL;
	}
	/*
	 * If any watched request ran there, only the watched ones are blamed,
	 * as all others are known to be safe. Without canaries, new ones are
	 * not. Otherwise all are blamed.
	 */
	DL_FOREACH (runs, run) {
		if (run->watched || !watched ||
		    (poison->no_canaries && !run->safe))
			record_crash(poison, run, server->name);
	}
	HASH_DEL(poison->servers, server);
	free(server);
}

void poison_mark_safe(struct poison *poison, uint64_t hash)
{
	struct poison_safe_entry *safe_entry = find_safe_entry(poison, hash);

	if (poison_find_entry(poison, hash))
		return;
	if (safe_entry)
		HASH_DEL(poison->safe_entries, safe_entry);
	else
		safe_entry = mem_zalloc(sizeof(*safe_entry));
	safe_entry->hash = hash;
	safe_entry->expires =
		clock_now(poison->clock) + poison->tunables.suspect_ttl;
	HASH_ADD(hh, poison->safe_entries, hash, sizeof(hash), safe_entry);
	if ((int64_t)HASH_COUNT(poison->safe_entries) >
	    poison->tunables.max_entries * SAFE_PER_ENTRY)
		drop_safe_entry(poison, poison->safe_entries);
}

uint64_t poison_cleared_version(const struct poison *poison, uint64_t hash)
{
	const struct poison_safe_entry *safe_entry =
		find_safe_entry(poison, hash);

	return safe_entry ? safe_entry->cleared_version : 0;
}

void poison_clear(struct poison *poison, uint64_t hash, uint64_t version)
{
	struct poison_entry *entry = poison_find_entry(poison, hash);
	struct poison_safe_entry *safe_entry;

	if (entry)
		poison_drop_entry(poison, entry);
	poison_mark_safe(poison, hash);
	safe_entry = find_safe_entry(poison, hash);
	if (safe_entry && safe_entry->cleared_version < version)
		safe_entry->cleared_version = version;
}

void poison_mark_cleared(struct poison *poison, uint64_t hash)
{
	if (!poison_find_entry(poison, hash))
		poison_mark_safe(poison, hash);
}

void poison_expire(struct poison *poison)
{
	int64_t now = clock_now(poison->clock);
	struct poison_entry *entry;
	struct poison_entry *next;
	struct poison_safe_entry *safe_entry;
	struct poison_safe_entry *next_safe;

	HASH_ITER (hh, poison->entries, entry, next) {
		if (entry->expires <= now)
			poison_drop_entry(poison, entry);
	}
	HASH_ITER (hh, poison->safe_entries, safe_entry, next_safe) {
		if (safe_entry->expires <= now)
			drop_safe_entry(poison, safe_entry);
	}
}
