#define LOG_MODULE "member"
#include "member.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "member_private.h"
#include "pack.h"

/* Probe periods of silence after which a delisted member is gone. */
#define DELISTED_SILENCE_PERIODS 6
/* The same without a list that dropped the member, microseconds. */
#define UNLISTED_SILENCE MSEC(60000)
#define LEAVE_PINGS 8 /* sent at once to announce a stop */
/* Maximum size of all members, bytes; 10,000 of them take 1 MB. */
#define MEMBERS_SIZE_MAX (8 * 1024 * 1024)

void member_table_init(struct member_table *table, const struct clock *clock,
		       const struct member_ops *ops, void *arg,
		       const struct member_config *config)
{
	memset(table, 0, sizeof(*table));
	table->clock = clock;
	table->ops = ops;
	table->arg = arg;
	table->probe_period = config->probe_period;
	table->lease = config->lease;
	table->self.status = MEMBER_ALIVE;
	member_fill(&table->self, config->instance, config->data_centre,
		    &config->peer_address, &config->caller_address);
	table->self.since = clock_now(clock);
	table->self.capacity = config->capacity;
	table->last_confirmed = INT64_MIN / 2;
	member_set_self_incarnation(table, config->incarnation);
	table->sequence = ops->random(arg);
}

static void remove_member(struct member_table *table, struct member *member)
{
	member_set_status(table, member, MEMBER_NAMED, 0);
	HASH_DEL(table->members, member);
	member_dequeue_update(table, member);
	member_probe_forget(table, member);
	member_free(member);
}

void member_table_finish(struct member_table *table)
{
	struct member *member;
	struct member *next;
	struct member_tombstone *tombstone;
	struct member_tombstone *after;

	HASH_ITER (hh, table->members, member, next) {
		HASH_DEL(table->members, member);
		member_free(member);
	}
	HASH_ITER (hh, table->tombstones, tombstone, after) {
		HASH_DEL(table->tombstones, tombstone);
		free(tombstone);
	}
	free(table->self.instance);
	free(table->self.data_centre);
	free(table->snapshot.packed);
	free(table->probe_order);
	free(table->queued);
}

void member_table_set_periods(struct member_table *table, int64_t probe_period,
			      int64_t lease)
{
	table->probe_period = probe_period;
	/* Others may still rely on the longer one. */
	if (lease > table->lease)
		table->lease = lease;
}

static void apply_entry(struct member_table *table,
			const struct member_entry *entry)
{
	struct member *member;

	if (!strcmp(entry->instance, table->self.instance)) {
		if (address_eq(&entry->peer_address, &table->self.peer_address))
			table->list_names_self = true;
		return;
	}
	member = member_table_find(table, entry->instance);
	if (!member)
		member = member_add(table, entry->instance, entry->data_centre,
				    &entry->peer_address,
				    &entry->caller_address);
	if (!address_eq(&entry->peer_address, &member->peer_address)) {
		/*
		 * The address has changed, but the process at the old one may
		 * still run: it has to be proven to have ended first.
		 */
		if (member_present(member) ||
		    (member->status == MEMBER_GONE && !member->proven))
			return;
		member_set_location(member, entry->data_centre,
				    &entry->peer_address,
				    &entry->caller_address);
		member_set_status(table, member, MEMBER_NAMED, 0);
	}
	member->listed = true;
	member->listed_leaving = entry->leaving;
	member->address_only = entry->address_only;
}

void member_table_apply_list(struct member_table *table,
			     const struct member_entry *entries, int n)
{
	struct member *member;
	struct member *next;
	int i;

	for (member = table->members; member; member = member->hh.next) {
		member->was_listed = member->listed;
		member->listed = false;
		member->listed_leaving = false;
	}
	table->list_seen = true;
	table->list_names_self = false;
	for (i = 0; i < n; i++)
		apply_entry(table, &entries[i]);
	table->complete |= table->list_names_self;
	HASH_ITER (hh, table->members, member, next) {
		if (member->listed)
			member->delisted = false;
		else if (member->was_listed && table->list_names_self)
			member->delisted = true;
		if (member->status == MEMBER_NAMED && !member->listed)
			remove_member(table, member);
	}
}

static bool is_known_address(const struct member_table *table,
			     const struct address *address)
{
	const struct member *member;

	if (address_eq(address, &table->self.peer_address))
		return true;
	for (member = table->members; member; member = member->hh.next) {
		if (!member->address_only &&
		    address_eq(address, &member->peer_address))
			return true;
	}
	return false;
}

static void remove_resolved_seeds(struct member_table *table)
{
	struct member *member;
	struct member *next;

	HASH_ITER (hh, table->members, member, next) {
		if (member->address_only &&
		    is_known_address(table, &member->peer_address))
			remove_member(table, member);
	}
}

void member_table_apply_seeds(struct member_table *table,
			      const struct member_entry *entries, int n)
{
	struct member *member;
	struct member *next;
	int i;

	table->seeded = true;
	for (member = table->members; member; member = member->hh.next)
		member->listed = false;
	for (i = 0; i < n; i++) {
		if (!is_known_address(table, &entries[i].peer_address))
			apply_entry(table, &entries[i]);
	}
	HASH_ITER (hh, table->members, member, next) {
		if (!member->address_only)
			continue;
		if (member->listed)
			member_probe_now(table, member);
		else
			remove_member(table, member);
	}
}

static void merge_members(struct member_table *table,
			  const Peer__Members *message)
{
	size_t i;

	table->suppress_updates = true;
	for (i = 0; i < message->n_members; i++)
		member_merge(table, message->members[i]);
	table->suppress_updates = false;
}

static void merge_packed(struct member_table *table,
			 const Peer__Members *message)
{
	Peer__Members *body = NULL;
	uint8_t *raw = NULL;

	if (message->packed_size <= MEMBERS_SIZE_MAX)
		raw = decompress_bytes(message->packed.data,
				       message->packed.len,
				       message->packed_size);
	if (raw)
		body = peer__members__unpack(NULL, message->packed_size, raw);
	free(raw);
	if (!body) {
		LOG_WARN("members_refused",
			 LOG_TEXT("peer", message->peer_address),
			 LOG_U64("bytes", message->packed.len));
		return;
	}
	merge_members(table, body);
	peer__members__free_unpacked(body, NULL);
}

void member_table_receive_members(struct member_table *table,
				  const Peer__Members *message)
{
	struct address from;

	merge_members(table, message);
	if (message->packed.len)
		merge_packed(table, message);
	/* A request for all members only has the record of its sender. */
	table->complete |=
		message->complete || (table->seeded && !message->reply);
	if (message->reply &&
	    !address_parse(str_from(message->peer_address), &from))
		member_send_members(table, &from, false);
}

void member_table_probe_now(struct member_table *table, const char *instance)
{
	struct member *member = member_table_find(table, instance);

	if (member && member_present(member))
		member_probe_now(table, member);
}

void member_table_connection_refused(struct member_table *table,
				     const char *instance, uint64_t incarnation)
{
	struct member *member = member_table_find(table, instance);

	if (!member || member->incarnation != incarnation)
		return;
	member->connection_refused = true;
	if (member_present(member))
		member_mark_gone(table, member, true);
}

void member_table_link_lost(struct member_table *table, const char *instance)
{
	struct member *member = member_table_find(table, instance);

	if (member && member_present(member))
		table->ops->check_address(table->arg, member);
}

static void announce(struct member_table *table, enum member_status status)
{
	table->self.status = status;
	table->self.counter++;
	table->version++;
	member_queue_update(table, &table->self);
	member_probe_burst(table, LEAVE_PINGS);
}

void member_table_leave(struct member_table *table)
{
	if (table->self.status != MEMBER_ALIVE)
		return;
	announce(table, MEMBER_LEAVING);
}

void member_table_release(struct member_table *table)
{
	if (table->self.status == MEMBER_GONE)
		return;
	table->self.proven = true;
	announce(table, MEMBER_GONE);
}

/*
 * Whether a member that isn't proven to have ended has to be considered gone.
 * The list alone may be outdated or wrong, and silence alone may be a suspended
 * process or a network partition, so both are required, as well as an expired
 * lease. A list that doesn't have this instance is not trusted. A list that
 * lacked the member while it was still heard is wrong or older than the member;
 * then only a longer silence counts.
 */
static bool is_silent_and_unlisted(const struct member_table *table,
				   const struct member *member, int64_t now)
{
	int64_t min_silence = DELISTED_SILENCE_PERIODS * table->probe_period;

	if (!member_present(member) || !member->silent_since)
		return false;
	if (table->seeded)
		return now - member->silent_since >= UNLISTED_SILENCE;
	if (!table->list_names_self || member->listed)
		return false;
	if (!member->delisted && min_silence < UNLISTED_SILENCE)
		min_silence = UNLISTED_SILENCE;
	return now - member->silent_since >= min_silence &&
	       now - member->last_heard >= table->lease;
}

static void expire_members(struct member_table *table, int64_t now)
{
	struct member *member;
	struct member *next;

	HASH_ITER (hh, table->members, member, next) {
		if (is_silent_and_unlisted(table, member, now))
			member_mark_gone(table, member, false);
		if (member->status == MEMBER_GONE && !member->listed &&
		    now - member->since > MEMBER_GONE_RETENTION)
			remove_member(table, member);
	}
}

static void expire_tombstones(struct member_table *table, int64_t now)
{
	struct member_tombstone *tombstone;
	struct member_tombstone *next;

	HASH_ITER (hh, table->tombstones, tombstone, next) {
		if (now < tombstone->until)
			continue;
		HASH_DEL(table->tombstones, tombstone);
		free(tombstone);
	}
}

/*
 * After a process was suspended, its own pings have timed out and all others
 * seem silent. Discards what it observed before, so that it doesn't suspect
 * them.
 */
static void discard_observations(struct member_table *table, int64_t now)
{
	struct member *member;

	LOG_WARN("woke_late", LOG_I64("late_us", now - table->last_tick));
	member_probe_discard_all(table);
	for (member = table->members; member; member = member->hh.next) {
		member->silent_since = 0;
		member->last_heard = now;
	}
}

void member_table_tick(struct member_table *table)
{
	int64_t now = clock_now(table->clock);

	if (table->self.status == MEMBER_GONE)
		return;
	if (table->last_tick &&
	    now - table->last_tick > MEMBER_LATE_PERIODS * table->probe_period)
		discard_observations(table, now);
	table->last_tick = now;
	if (now >= table->next_probe) {
		remove_resolved_seeds(table);
		expire_members(table, now);
		expire_tombstones(table, now);
	}
	member_probe_tick(table);
}
