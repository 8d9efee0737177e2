/* Shared by the files of the poison module. */
#ifndef POISON_PRIVATE_H
#define POISON_PRIVATE_H

#include <uthash.h>

#include "poison.h"

/**
 * struct poison_entry - a suspect or a ban; times in microseconds
 * @hash: the fingerprint
 * @unwatched_crash: see struct poison_report, as for the members up to
 *	@crashed_on_trial
 * @in_doubt: servers may have crashed under it, see poison_doubt()
 * @trial_until: it may be on trial until then
 * @trial_ticket: of that trial, see poison_owns_trial()
 * @held_until: it is held back until then, see poison_hold()
 * @safe_until: with @was_safe: crashes do not count until then
 * @updated: time of the last change
 * @expires: when it is dropped
 * @version: see struct poison_report
 */
struct poison_entry {
	uint64_t hash;
	bool unwatched_crash;
	bool was_safe;
	bool banned;
	bool in_doubt;
	int n_servers;
	uint64_t servers[POISON_SERVERS_MAX];
	uint64_t replica_set;
	int64_t ran;
	bool crashed_on_trial;
	int64_t trial_until;
	uint64_t trial_ticket;
	int64_t held_until;
	int64_t safe_until;
	int64_t updated;
	int64_t expires;
	uint64_t version;
	UT_hash_handle hh;
};

/**
 * poison_find_entry() - look up a suspect or ban, which may have expired
 *
 * Return: NULL if there is none.
 */
struct poison_entry *poison_find_entry(const struct poison *poison,
				       uint64_t hash);

/**
 * poison_find_live_entry() - look up a suspect or ban, and drop it if it has
 * expired
 *
 * Return: NULL if there is none.
 */
struct poison_entry *poison_find_live_entry(struct poison *poison,
					    uint64_t hash);
struct poison_entry *poison_add_entry(struct poison *poison, uint64_t hash);
void poison_drop_entry(struct poison *poison, struct poison_entry *entry);

/**
 * poison_cleared_version() - up to which version a fingerprint was cleared
 */
uint64_t poison_cleared_version(const struct poison *poison, uint64_t hash);

/**
 * poison_clear() - take a fingerprint for safe, in spite of what was reported
 * up to a version
 */
void poison_clear(struct poison *poison, uint64_t hash, uint64_t version);

/**
 * poison_entry_has_server() - whether a server's crash is counted
 * @server: hash of its name
 */
bool poison_entry_has_server(const struct poison_entry *entry, uint64_t server);
void poison_entry_add_server(struct poison_entry *entry, uint64_t server);

/**
 * poison_entry_add_unwatched_crash() - note a crash that isn't counted by
 * server
 * @was_safe: the fingerprint was known to be safe before it
 */
void poison_entry_add_unwatched_crash(const struct poison *poison,
				      struct poison_entry *entry,
				      bool was_safe);
void poison_entry_raise_ran(struct poison_entry *entry, int64_t ran);

/**
 * poison_note_until() - note that something lasts until a time
 * @known: until when it was known to last, microseconds
 * @until: microseconds
 *
 * What lasts already stays as it is: reports of it arrive on several ways, and
 * each would seem to end a little later.
 *
 * Return: whether @known was set.
 */
bool poison_note_until(const struct poison *poison, int64_t *known,
		       int64_t until);

/**
 * poison_update_ban() - ban a fingerprint that has crashed enough servers, and
 * renew its expiry
 */
void poison_update_ban(struct poison *poison, struct poison_entry *entry);

/**
 * poison_notify_changed() - tell peers of an entry
 */
void poison_notify_changed(const struct poison *poison,
			   const struct poison_entry *entry);

#endif
