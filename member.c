#define LOG_MODULE "member"
#include "member.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "member_private.h"
#include "compress.h"

/* Silence is taken for a stop after this many probe periods. */
#define SUSPECT_PERIODS 6
#define UNLISTED_SILENCE MSEC(60000)
#define LEAVE_BURST 8
/* Bytes of a list of members: 10,000 take 1 MB. */
#define MEMBERS_SIZE_MOST (8 * 1024 * 1024)

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
	free(table->list.packed);
	free(table->order);
	free(table->hot);
}

void member_table_set_periods(struct member_table *table, int64_t probe_period,
			      int64_t lease)
{
	table->probe_period = probe_period;
	/* Others may still work under a longer one. */
	if (lease > table->lease)
		table->lease = lease;
}

static void list_entry(struct member_table *table,
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
		/* Moved: the process at the old address needs its own end. */
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
		list_entry(table, &entries[i]);
	table->complete |= table->list_names_self;
	HASH_ITER (hh, table->members, member, next) {
		if (member->listed)
			member->dropped = false;
		else if (member->was_listed && table->list_names_self)
			member->dropped = true;
		if (member->status == MEMBER_NAMED && !member->listed)
			remove_member(table, member);
	}
}

static bool has_address(const struct member_table *table,
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

static void drop_named_seeds(struct member_table *table)
{
	struct member *member;
	struct member *next;

	HASH_ITER (hh, table->members, member, next) {
		if (member->address_only &&
		    has_address(table, &member->peer_address))
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
		if (!has_address(table, &entries[i].peer_address))
			list_entry(table, &entries[i]);
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

	table->quiet = true;
	for (i = 0; i < message->n_members; i++)
		member_merge(table, message->members[i]);
	table->quiet = false;
}

static void merge_packed(struct member_table *table,
			 const Peer__Members *message)
{
	Peer__Members *body = NULL;
	uint8_t *raw = NULL;

	if (message->packed_size <= MEMBERS_SIZE_MOST)
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
	/* Who asks tells of itself alone. */
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
	member->refused = true;
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
	member_probe_burst(table, LEAVE_BURST);
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
 * The list alone may lag or be wrong, silence alone may be a pause or a cut:
 * only both together, and the lease run out, end a member that is not proven
 * to have ended. A list that does not name ourselves proves nothing. One that
 * did not name the member while it was heard is wrong or older than the
 * member: then only a long silence counts.
 */
static bool silent_and_unlisted(const struct member_table *table,
				const struct member *member, int64_t now)
{
	int64_t patience = SUSPECT_PERIODS * table->probe_period;

	if (!member_present(member) || !member->silent_since)
		return false;
	if (table->seeded)
		return now - member->silent_since >= UNLISTED_SILENCE;
	if (!table->list_names_self || member->listed)
		return false;
	if (!member->dropped && patience < UNLISTED_SILENCE)
		patience = UNLISTED_SILENCE;
	return now - member->silent_since >= patience &&
	       now - member->last_heard >= table->lease;
}

static void review_members(struct member_table *table, int64_t now)
{
	struct member *member;
	struct member *next;

	HASH_ITER (hh, table->members, member, next) {
		if (silent_and_unlisted(table, member, now))
			member_mark_gone(table, member, false);
		if (member->status == MEMBER_GONE && !member->listed &&
		    now - member->since > MEMBER_GONE_RETENTION)
			remove_member(table, member);
	}
}

static void review_tombstones(struct member_table *table, int64_t now)
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
 * A process that was stopped finds all its pings unanswered and all others
 * silent, and would accuse them: what it observed before says nothing.
 */
static void forget_observations(struct member_table *table, int64_t now)
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
		forget_observations(table, now);
	table->last_tick = now;
	if (now >= table->next_probe) {
		drop_named_seeds(table);
		review_members(table, now);
		review_tombstones(table, now);
	}
	member_probe_tick(table);
}
