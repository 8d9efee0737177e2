/* State of the members: status, incarnation, tombstones and queued updates. */
#define LOG_MODULE "member"
#include "member_private.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "mem.h"

/* A record is sent in this many datagrams, times log2 of the fleet's size. */
#define TRANSMIT_FACTOR 2
/* Each time a peer sends the same record, so many of these are saved. */
#define TRANSMITS_SAVED 3

static const char *const status_names[] = {
	"alive", "suspect", "leaving", "gone", "named",
};

const char *member_status_name(enum member_status status)
{
	return status_names[status];
}

static int log2_up(int n)
{
	int bits = 0;

	while ((1 << bits) < n)
		bits++;
	return bits;
}

static int transmit_limit(const struct member_table *table)
{
	return TRANSMIT_FACTOR * (log2_up(table->present + 1) + 1);
}

/*
 * Time from when a silent member is considered gone until its shares are free:
 * the record has to reach all members, so that none of them renews its lease
 * any more, and then the lease has to expire.
 */
static int64_t release_delay(const struct member_table *table)
{
	int periods = 2 * (log2_up(table->present + 1) + 2);

	return table->lease + periods * table->probe_period;
}

static uint64_t identity_hash(const struct member *member)
{
	return str_hash_mix(member->hash, member->incarnation);
}

static void count_present(struct member_table *table,
			  const struct member *member, bool was_present)
{
	table->version++;
	if (member_present(member) == was_present)
		return;
	table->present += was_present ? -1 : 1;
}

void member_set_status(struct member_table *table, struct member *member,
		       enum member_status status, uint64_t incarnation)
{
	bool was_present = member_present(member);

	if (was_present)
		table->digest ^= identity_hash(member);
	member->status = status;
	member->incarnation = incarnation;
	if (member_present(member))
		table->digest ^= identity_hash(member);
	count_present(table, member, was_present);
	table->digest_since = clock_now(table->clock);
	LOG_DEBUG("member_status", LOG_TEXT("member", member->instance),
		  LOG_U64("incarnation", incarnation),
		  LOG_TEXT("status", member_status_name(status)));
}

void member_set_self_incarnation(struct member_table *table,
				 uint64_t incarnation)
{
	while (!incarnation || member_is_tombstone(table, incarnation))
		incarnation = table->ops->random(table->arg);
	if (table->self.incarnation)
		table->digest ^= identity_hash(&table->self);
	table->self.incarnation = incarnation;
	table->digest ^= identity_hash(&table->self);
	table->version++;
}

void member_fill(struct member *member, const char *instance,
		 const char *data_centre, const struct address *peer_address,
		 const struct address *caller_address)
{
	free(member->instance);
	free(member->data_centre);
	member->instance = mem_dup(instance);
	member->data_centre = mem_dup(data_centre);
	member->hash = str_hash(str_from(instance));
	member->dc_hash = str_hash(str_from(data_centre));
	member->peer_address = *peer_address;
	member->caller_address = *caller_address;
}

void member_free(struct member *member)
{
	free(member->instance);
	free(member->data_centre);
	free(member);
}

void member_dequeue_update(struct member_table *table,
			   const struct member *member)
{
	int i;

	for (i = 0; i < table->n_queued; i++) {
		if (table->queued[i] != member)
			continue;
		table->queued[i] = table->queued[--table->n_queued];
		return;
	}
}

struct member *member_table_find(const struct member_table *table,
				 const char *instance)
{
	struct member *member;

	HASH_FIND_STR(table->members, instance, member);
	return member;
}

struct member *member_add(struct member_table *table, const char *instance,
			  const char *data_centre,
			  const struct address *peer_address,
			  const struct address *caller_address)
{
	struct member *member = mem_zalloc(sizeof(*member));

	member_fill(member, instance, data_centre, peer_address,
		    caller_address);
	member->status = MEMBER_NAMED;
	member->since = clock_now(table->clock);
	HASH_ADD_KEYPTR(hh, table->members, member->instance,
			strlen(member->instance), member);
	table->version++;
	return member;
}

void member_set_location(struct member *member, const char *data_centre,
			 const struct address *peer_address,
			 const struct address *caller_address)
{
	char *copy = mem_dup(data_centre);

	free(member->data_centre);
	member->data_centre = copy;
	member->dc_hash = str_hash(str_from(copy));
	member->peer_address = *peer_address;
	member->caller_address = *caller_address;
}

bool member_is_tombstone(const struct member_table *table, uint64_t incarnation)
{
	struct member_tombstone *tombstone;

	HASH_FIND(hh, table->tombstones, &incarnation, sizeof(incarnation),
		  tombstone);
	return tombstone;
}

/*
 * A datagram may arrive after its sender has ended. The tombstone keeps it from
 * making that incarnation a member again.
 */
void member_add_tombstone(struct member_table *table, uint64_t incarnation)
{
	struct member_tombstone *tombstone;

	if (!incarnation || member_is_tombstone(table, incarnation))
		return;
	tombstone = mem_zalloc(sizeof(*tombstone));
	tombstone->incarnation = incarnation;
	tombstone->until = clock_now(table->clock) + MEMBER_GONE_RETENTION;
	HASH_ADD(hh, table->tombstones, incarnation, sizeof(incarnation),
		 tombstone);
}

void member_queue_update(struct member_table *table, struct member *member)
{
	/* Members that lack these records request them all as well. */
	if (table->suppress_updates && member != &table->self)
		return;
	if (!member->transmits_left) {
		MEM_GROW(table->queued, table->n_queued, table->cap_queued);
		table->queued[table->n_queued++] = member;
	}
	member->transmits_left = transmit_limit(table);
}

void member_update_repeated(struct member_table *table, struct member *member)
{
	if (!member->transmits_left)
		return;
	member->transmits_left -= TRANSMITS_SAVED;
	if (member->transmits_left > 0)
		return;
	member->transmits_left = 0;
	member_dequeue_update(table, member);
}

void member_mark_heard(struct member_table *table, struct member *member)
{
	member->last_heard = clock_now(table->clock);
	member->silent_since = 0;
	member->connection_refused = false;
	member->delisted = false;
}

void member_mark_suspect(struct member_table *table, struct member *member)
{
	if (!member_present(member))
		return;
	if (!member->silent_since)
		member->silent_since = clock_now(table->clock);
	if (member->status != MEMBER_ALIVE)
		return;
	LOG_INFO("member_suspect", LOG_TEXT("member", member->instance));
	member_set_status(table, member, MEMBER_SUSPECT, member->incarnation);
	member_queue_update(table, member);
}

void member_mark_gone(struct member_table *table, struct member *member,
		      bool proven)
{
	int64_t now = clock_now(table->clock);

	if (member->status == MEMBER_GONE && (member->proven || !proven))
		return;
	member_add_tombstone(table, member->incarnation);
	member->released_at = proven ? now : now + release_delay(table);
	member->proven = proven;
	LOG_INFO("member_gone", LOG_TEXT("member", member->instance),
		 LOG_U64("incarnation", member->incarnation),
		 LOG_TEXT("evidence", proven ? "ended" : "silent"));
	member_set_status(table, member, MEMBER_GONE, member->incarnation);
	member->since = now;
	member_queue_update(table, member);
}

void member_adopt_incarnation(struct member_table *table, struct member *member,
			      uint64_t incarnation, uint64_t replaces)
{
	member_add_tombstone(table, member->incarnation);
	if (member->incarnation)
		replaces = member->incarnation;
	member_add_tombstone(table, replaces);
	member->replaces = replaces;
	member->counter = 0;
	member->proven = false;
	member->knows_us = false;
	member->since = clock_now(table->clock);
	member_mark_heard(table, member);
	member_set_status(table, member, MEMBER_ALIVE, incarnation);
	member_queue_update(table, member);
	LOG_INFO("member_joined", LOG_TEXT("member", member->instance),
		 LOG_U64("incarnation", incarnation),
		 LOG_U64("replaces", replaces));
}

void member_renew_incarnation(struct member_table *table)
{
	struct member *member;

	LOG_WARN("incarnation_lost",
		 LOG_U64("incarnation", table->self.incarnation));
	member_add_tombstone(table, table->self.incarnation);
	table->self.replaces = table->self.incarnation;
	member_set_self_incarnation(table, 0);
	table->last_confirmed = INT64_MIN / 2;
	for (member = table->members; member; member = member->hh.next)
		member->knows_us = false;
	member_queue_update(table, &table->self);
}

void member_to_wire(const struct member *member, struct member_wire *wire)
{
	Peer__Member *message = &wire->message;

	peer__member__init(message);
	address_format(&member->peer_address, wire->peer_address,
		       sizeof(wire->peer_address));
	address_format(&member->caller_address, wire->caller_address,
		       sizeof(wire->caller_address));
	message->instance = member->instance;
	message->incarnation = member->incarnation;
	message->data_centre = member->data_centre;
	message->peer_address = wire->peer_address;
	message->caller_address = wire->caller_address;
	message->status = (Peer__MemberStatus)member->status;
	message->counter = member->counter;
	message->proven = member->proven;
	message->replaces = member->replaces;
	message->capacity = member->capacity;
}
