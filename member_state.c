/*
 * What is known of each member, and how it changes: the one place where a
 * status, an incarnation or a tombstone is set.
 */
#define LOG_MODULE "member"
#include "member_private.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "log.h"
#include "mem.h"

/* Each news goes out with this many datagrams times log2 of the fleet. */
#define SPREAD_FACTOR 2
/* Of these, what each word of it that comes from others takes away. */
#define SPREAD_HEARD 3

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

static int spread_limit(const struct member_table *table)
{
	return SPREAD_FACTOR * (log2_up(table->present + 1) + 1);
}

/*
 * From a member's being dropped for silence until its shares are free: news
 * reaches everybody, who then refuse it the lease, and the lease runs out.
 */
static int64_t hold_time(const struct member_table *table)
{
	int periods = 2 * (log2_up(table->present + 1) + 2);

	return table->lease + periods * table->probe_period;
}

static uint64_t identity(const struct member *member)
{
	return str_hash_mix(member->hash, member->incarnation);
}

static void set_present(struct member_table *table, const struct member *member,
			bool before)
{
	table->version++;
	if (member_present(member) == before)
		return;
	table->present += before ? -1 : 1;
}

/* All changes of status and incarnation go through here. */
void member_set_status(struct member_table *table, struct member *member,
		       enum member_status status, uint64_t incarnation)
{
	bool before = member_present(member);

	if (before)
		table->digest ^= identity(member);
	member->status = status;
	member->incarnation = incarnation;
	if (member_present(member))
		table->digest ^= identity(member);
	set_present(table, member, before);
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
		table->digest ^= identity(&table->self);
	table->self.incarnation = incarnation;
	table->digest ^= identity(&table->self);
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

	for (i = 0; i < table->n_hot; i++) {
		if (table->hot[i] != member)
			continue;
		table->hot[i] = table->hot[--table->n_hot];
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

/*
 * Texts that only the list or the member itself tells. The name, by which the
 * hash table finds it, stays.
 */
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
 * Against a datagram of a process that has ended, which arrives late and would
 * bring its incarnation back: what is gone once stays gone here.
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
	/* What a peer tells in whole is asked for by all who miss it. */
	if (table->quiet && member != &table->self)
		return;
	if (!member->transmits_left) {
		MEM_GROW(table->hot, table->n_hot, table->cap_hot);
		table->hot[table->n_hot++] = member;
	}
	member->transmits_left = spread_limit(table);
}

void member_update_repeated(struct member_table *table, struct member *member)
{
	if (!member->transmits_left)
		return;
	member->transmits_left -= SPREAD_HEARD;
	if (member->transmits_left > 0)
		return;
	member->transmits_left = 0;
	member_dequeue_update(table, member);
}

void member_mark_heard(struct member_table *table, struct member *member)
{
	member->last_heard = clock_now(table->clock);
	member->silent_since = 0;
	member->refused = false;
	member->dropped = false;
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
	member->released_at = proven ? now : now + hold_time(table);
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
