#define LOG_MODULE "member"
#include "member.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "mem.h"
#include "member_private.h"

/* Each news goes out with this many datagrams times log2 of the fleet. */
#define SPREAD_FACTOR 3
/* Silence is taken for a stop after this many probe periods. */
#define SUSPECT_PERIODS 6
#define GONE_KEEP MSEC(600000)
#define UNLISTED_SILENCE MSEC(60000)
#define LEAVE_BURST 8

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
static void set_status(struct member_table *table, struct member *member,
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

static void set_self_incarnation(struct member_table *table,
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

static void fill(struct member *member, const char *instance,
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
	fill(&table->self, config->instance, config->data_centre,
	     &config->peer_address, &config->caller_address);
	table->self.since = clock_now(clock);
	table->self.capacity = config->capacity;
	table->last_confirmed = INT64_MIN / 2;
	set_self_incarnation(table, config->incarnation);
	table->sequence = ops->random(arg);
}

static void free_member(struct member *member)
{
	free(member->instance);
	free(member->data_centre);
	free(member);
}

static void forget_hot(struct member_table *table, const struct member *member)
{
	int i;

	for (i = 0; i < table->n_hot; i++) {
		if (table->hot[i] != member)
			continue;
		table->hot[i] = table->hot[--table->n_hot];
		return;
	}
}

static void remove_member(struct member_table *table, struct member *member)
{
	set_status(table, member, MEMBER_NAMED, 0);
	HASH_DEL(table->members, member);
	forget_hot(table, member);
	member_probe_forget(table, member);
	free_member(member);
}

void member_table_finish(struct member_table *table)
{
	struct member *member;
	struct member *next;
	struct member_tombstone *tombstone;
	struct member_tombstone *after;

	HASH_ITER (hh, table->members, member, next) {
		HASH_DEL(table->members, member);
		free_member(member);
	}
	HASH_ITER (hh, table->tombstones, tombstone, after) {
		HASH_DEL(table->tombstones, tombstone);
		free(tombstone);
	}
	free(table->self.instance);
	free(table->self.data_centre);
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

struct member *member_table_find(const struct member_table *table,
				 const char *instance)
{
	struct member *member;

	HASH_FIND_STR(table->members, instance, member);
	return member;
}

static struct member *add_member(struct member_table *table,
				 const char *instance, const char *data_centre,
				 const struct address *peer_address,
				 const struct address *caller_address)
{
	struct member *member = mem_zalloc(sizeof(*member));

	fill(member, instance, data_centre, peer_address, caller_address);
	member->status = MEMBER_NAMED;
	member->since = clock_now(table->clock);
	HASH_ADD_KEYPTR(hh, table->members, member->instance,
			strlen(member->instance), member);
	table->version++;
	return member;
}

static bool same_address(const struct address *a, const struct address *b)
{
	return a->port == b->port && !strcmp(a->ip, b->ip);
}

/*
 * Texts that only the list or the member itself tells. The name, by which the
 * hash table finds it, stays.
 */
static void move_member(struct member *member, const char *data_centre,
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
static void add_tombstone(struct member_table *table, uint64_t incarnation)
{
	struct member_tombstone *tombstone;

	if (!incarnation || member_is_tombstone(table, incarnation))
		return;
	tombstone = mem_zalloc(sizeof(*tombstone));
	tombstone->incarnation = incarnation;
	tombstone->until = clock_now(table->clock) + GONE_KEEP;
	HASH_ADD(hh, table->tombstones, incarnation, sizeof(incarnation),
		 tombstone);
}

void member_spread(struct member_table *table, struct member *member)
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

void member_heard(struct member_table *table, struct member *member)
{
	member->last_heard = clock_now(table->clock);
	member->silent_since = 0;
	member->refused = false;
	member->dropped = false;
}

void member_suspect(struct member_table *table, struct member *member)
{
	if (!member_present(member))
		return;
	if (!member->silent_since)
		member->silent_since = clock_now(table->clock);
	if (member->status != MEMBER_ALIVE)
		return;
	LOG_INFO("member_suspect", LOG_TEXT("member", member->instance));
	set_status(table, member, MEMBER_SUSPECT, member->incarnation);
	member_spread(table, member);
}

void member_gone(struct member_table *table, struct member *member, bool proven)
{
	int64_t now = clock_now(table->clock);

	if (member->status == MEMBER_GONE && (member->proven || !proven))
		return;
	add_tombstone(table, member->incarnation);
	member->released_at = proven ? now : now + hold_time(table);
	member->proven = proven;
	LOG_INFO("member_gone", LOG_TEXT("member", member->instance),
		 LOG_U64("incarnation", member->incarnation),
		 LOG_TEXT("evidence", proven ? "ended" : "silent"));
	set_status(table, member, MEMBER_GONE, member->incarnation);
	member->since = now;
	member_spread(table, member);
}

void member_adopt(struct member_table *table, struct member *member,
		  uint64_t incarnation, uint64_t replaces)
{
	add_tombstone(table, member->incarnation);
	if (member->incarnation)
		replaces = member->incarnation;
	add_tombstone(table, replaces);
	member->replaces = replaces;
	member->counter = 0;
	member->proven = false;
	member->knows_us = false;
	member->since = clock_now(table->clock);
	member_heard(table, member);
	set_status(table, member, MEMBER_ALIVE, incarnation);
	member_spread(table, member);
	LOG_INFO("member_joined", LOG_TEXT("member", member->instance),
		 LOG_U64("incarnation", incarnation),
		 LOG_U64("replaces", replaces));
}

void member_renew(struct member_table *table)
{
	struct member *member;

	LOG_WARN("incarnation_lost",
		 LOG_U64("incarnation", table->self.incarnation));
	add_tombstone(table, table->self.incarnation);
	table->self.replaces = table->self.incarnation;
	set_self_incarnation(table, 0);
	table->last_confirmed = INT64_MIN / 2;
	for (member = table->members; member; member = member->hh.next)
		member->knows_us = false;
	member_spread(table, &table->self);
}

/* Peers say that we are silent, or that somebody with our name is gone. */
static void merge_self(struct member_table *table, const Peer__Member *update)
{
	struct member *self = &table->self;

	if (update->incarnation != self->incarnation) {
		if (update->status == PEER__MEMBER_STATUS__GONE)
			return;
		if (member_is_tombstone(table, update->incarnation))
			return;
		/* A process before us, at our address: we prove its end. */
		add_tombstone(table, update->incarnation);
		self->replaces = update->incarnation;
		member_spread(table, self);
		return;
	}
	if (update->status == PEER__MEMBER_STATUS__GONE) {
		if (self->status != MEMBER_GONE)
			member_renew(table);
		return;
	}
	if (update->status != PEER__MEMBER_STATUS__SUSPECT ||
	    update->counter < self->counter)
		return;
	self->counter = update->counter + 1;
	if (table->health < MEMBER_HEALTH_MAX)
		table->health++;
	member_spread(table, self);
}

/* Same incarnation: the higher counter wins, then the graver status. */
static void merge_status(struct member_table *table, struct member *member,
			 const Peer__Member *update)
{
	enum member_status status = (enum member_status)update->status;

	/* Not known yet of one that was met by its heartbeat. */
	if (update->capacity != member->capacity) {
		member->capacity = update->capacity;
		table->version++;
	}

	if (status == MEMBER_GONE) {
		member_gone(table, member, update->proven);
		return;
	}
	if (member->status == MEMBER_GONE)
		return;
	if (update->counter < member->counter)
		return;
	if (update->counter == member->counter && status <= member->status)
		return;
	/* A leaving member does not come back in this incarnation. */
	if (member->status == MEMBER_LEAVING)
		status = MEMBER_LEAVING;
	member->counter = update->counter;
	if (status == MEMBER_ALIVE) {
		member->silent_since = 0;
		member->dropped = false;
	}
	if (status != member->status)
		set_status(table, member, status, member->incarnation);
	member_spread(table, member);
}

static void adopt_update(struct member_table *table, struct member *member,
			 const Peer__Member *update,
			 const struct address *peer_address,
			 const struct address *caller_address)
{
	move_member(member, update->data_centre, peer_address, caller_address);
	member_adopt(table, member, update->incarnation, update->replaces);
	member->counter = update->counter;
	member->capacity = update->capacity;
	if (update->status != PEER__MEMBER_STATUS__ALIVE)
		set_status(table, member, (enum member_status)update->status,
			   update->incarnation);
}

/* A peer holds a process for gone of which we knew the name at most. */
static void merge_unknown_gone(struct member_table *table,
			       struct member *member,
			       const Peer__Member *update,
			       const struct address *peer_address)
{
	add_tombstone(table, update->incarnation);
	if (member->incarnation ||
	    !same_address(&member->peer_address, peer_address))
		return;
	member->incarnation = update->incarnation;
	member_gone(table, member, update->proven);
}

static bool unreleased(const struct member_table *table,
		       const struct member *member)
{
	return member->status == MEMBER_GONE &&
	       clock_now(table->clock) < member->released_at;
}

static void merge_other_incarnation(struct member_table *table,
				    struct member *member,
				    const Peer__Member *update,
				    const struct address *peer_address,
				    const struct address *caller_address)
{
	if (member_present(member) && update->replaces == member->incarnation) {
		adopt_update(table, member, update, peer_address,
			     caller_address);
		return;
	}
	if (member_present(member) || unreleased(table, member)) {
		/*
		 * Which of the two lives is seen only by asking: the news may
		 * be older than what we know.
		 */
		member_probe_now(table, member);
		return;
	}
	adopt_update(table, member, update, peer_address, caller_address);
}

void member_merge(struct member_table *table, const Peer__Member *update)
{
	struct address peer_address;
	struct address caller_address;
	struct member *member;

	if (!update->incarnation || !*update->instance ||
	    update->status > PEER__MEMBER_STATUS__GONE)
		return;
	if (!strcmp(update->instance, table->self.instance)) {
		merge_self(table, update);
		return;
	}
	if (address_parse(str_from(update->peer_address), &peer_address) ||
	    address_parse(str_from(update->caller_address), &caller_address))
		return;
	member = member_table_find(table, update->instance);
	if (member && member->incarnation == update->incarnation) {
		merge_status(table, member, update);
		return;
	}
	if (update->status != PEER__MEMBER_STATUS__GONE &&
	    member_is_tombstone(table, update->incarnation))
		return;
	if (!member)
		member =
			add_member(table, update->instance, update->data_centre,
				   &peer_address, &caller_address);
	if (update->status == PEER__MEMBER_STATUS__GONE) {
		merge_unknown_gone(table, member, update, &peer_address);
		return;
	}
	merge_other_incarnation(table, member, update, &peer_address,
				&caller_address);
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

static void list_entry(struct member_table *table,
		       const struct member_entry *entry)
{
	struct member *member;

	if (!strcmp(entry->instance, table->self.instance)) {
		if (same_address(&entry->peer_address,
				 &table->self.peer_address))
			table->list_names_self = true;
		return;
	}
	member = member_table_find(table, entry->instance);
	if (!member)
		member = add_member(table, entry->instance, entry->data_centre,
				    &entry->peer_address,
				    &entry->caller_address);
	if (!same_address(&entry->peer_address, &member->peer_address)) {
		/* Moved: the process at the old address needs its own end. */
		if (member_present(member) ||
		    (member->status == MEMBER_GONE && !member->proven))
			return;
		move_member(member, entry->data_centre, &entry->peer_address,
			    &entry->caller_address);
		set_status(table, member, MEMBER_NAMED, 0);
	}
	member->listed = true;
	member->listed_leaving = entry->leaving;
	member->address_only = entry->address_only;
}

void member_table_list(struct member_table *table,
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

	if (same_address(address, &table->self.peer_address))
		return true;
	for (member = table->members; member; member = member->hh.next) {
		if (!member->address_only &&
		    same_address(address, &member->peer_address))
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

void member_table_seeds(struct member_table *table,
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
		if (member->address_only && !member->listed)
			remove_member(table, member);
	}
	member_probe_burst(table, n);
}

void member_table_members(struct member_table *table,
			  const Peer__Members *message)
{
	struct address from;
	size_t i;

	table->quiet = true;
	for (i = 0; i < message->n_members; i++)
		member_merge(table, message->members[i]);
	table->quiet = false;
	table->complete |= message->complete || table->seeded;
	if (message->reply &&
	    !address_parse(str_from(message->peer_address), &from))
		member_send_members(table, &from, false);
}

void member_table_hello(struct member_table *table,
			const struct member_entry *entry, uint64_t incarnation)
{
	char peer_address[ADDRESS_TEXT_SIZE];
	char caller_address[ADDRESS_TEXT_SIZE];
	Peer__Member update = PEER__MEMBER__INIT;

	address_format(&entry->peer_address, peer_address,
		       sizeof(peer_address));
	address_format(&entry->caller_address, caller_address,
		       sizeof(caller_address));
	update.instance = (char *)entry->instance;
	update.data_centre = (char *)entry->data_centre;
	update.peer_address = peer_address;
	update.caller_address = caller_address;
	update.incarnation = incarnation;
	update.status = entry->leaving ? PEER__MEMBER_STATUS__LEAVING
				       : PEER__MEMBER_STATUS__ALIVE;
	member_merge(table, &update);
}

void member_table_refused(struct member_table *table, const char *instance,
			  uint64_t incarnation)
{
	struct member *member = member_table_find(table, instance);

	if (!member || member->incarnation != incarnation)
		return;
	member->refused = true;
	if (member_present(member))
		member_gone(table, member, true);
}

void member_table_lost(struct member_table *table, const char *instance)
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
	member_spread(table, &table->self);
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
			member_gone(table, member, false);
		if (member->status == MEMBER_GONE && !member->listed &&
		    now - member->since > GONE_KEEP)
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
	member_probe_void(table);
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
	    now - table->last_tick > MEMBER_TICKS_LATE * table->probe_period)
		forget_observations(table, now);
	table->last_tick = now;
	if (now >= table->next_probe) {
		drop_named_seeds(table);
		review_members(table, now);
		review_tombstones(table, now);
	}
	member_probe_tick(table);
}
