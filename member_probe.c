/* Heartbeats: pings, acknowledgements and the news that they carry. */
#define LOG_MODULE "member"
#include "member.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "error.h"
#include "log.h"
#include "mem.h"
#include "member_private.h"

#define HELPERS 3 /* asked to ping a member that did not answer us */
#define UPDATES_MAX 24
#define HEADER_ROOM 128 /* of a datagram, for all but the updates */
#define RANDOM_TRIES 16
#define SYNC_RETRY_PERIODS 4
#define SYNC_PERIOD MSEC(60000)
#define SYNC_START MSEC(120000)
#define SYNC_MISSING_PART 100
#define SYNC_QUIET MSEC(15000)

enum datagram_kind {
	DATAGRAM_PING = 1,
	DATAGRAM_ACK = 2,
};

/* News that fits into one datagram. */
struct updates {
	struct member_wire wires[UPDATES_MAX];
	Peer__Member *pointers[UPDATES_MAX];
	int n;
	size_t room;
};

static bool put_update(struct updates *updates, const struct member *member)
{
	struct member_wire *wire = &updates->wires[updates->n];
	size_t size;
	int i;

	if (updates->n == UPDATES_MAX || !member->incarnation)
		return false;
	for (i = 0; i < updates->n; i++) {
		if (updates->wires[i].message.incarnation ==
		    member->incarnation)
			return false;
	}
	member_to_wire(member, wire);
	size = peer__member__get_packed_size(&wire->message) + 3;
	if (size > updates->room)
		return false;
	updates->room -= size;
	updates->pointers[updates->n++] = &wire->message;
	return true;
}

static int by_transmits(const void *a, const void *b)
{
	const struct member *x = *(struct member *const *)a;
	const struct member *y = *(struct member *const *)b;

	return y->transmits_left - x->transmits_left;
}

/* Newest first; each news goes out a bounded number of times. */
static void put_news(struct member_table *table, struct updates *updates)
{
	int kept = 0;
	int i;

	if (!table->n_hot)
		return;
	qsort(table->hot, table->n_hot, sizeof(*table->hot), by_transmits);
	for (i = 0; i < table->n_hot; i++) {
		struct member *member = table->hot[i];

		if (put_update(updates, member))
			member->transmits_left--;
		if (member->transmits_left > 0)
			table->hot[kept++] = member;
	}
	table->n_hot = kept;
}

/*
 * @peer: NULL if unknown
 * @with_self: the receiver may not know our record
 */
static void choose_updates(struct member_table *table,
			   const struct member *peer, bool with_self,
			   struct updates *updates)
{
	updates->n = 0;
	updates->room = MEMBER_DATAGRAM_MAX - HEADER_ROOM -
			strlen(table->self.instance);
	if (with_self)
		put_update(updates, &table->self);
	/* Whom we suspect shall know, to refute it or to start anew. */
	if (peer &&
	    (peer->status == MEMBER_SUSPECT || peer->status == MEMBER_GONE))
		put_update(updates, peer);
	put_news(table, updates);
}

static void send_datagram(struct member_table *table, const struct address *to,
			  const uint8_t *data, size_t len)
{
	table->sent_messages++;
	table->sent_bytes += len;
	table->ops->send_datagram(table->arg, to, data, len);
}

static void send_ping_message(struct member_table *table,
			      const struct address *to,
			      const struct member *peer, uint64_t sequence,
			      const char *target, bool with_self)
{
	uint8_t data[MEMBER_DATAGRAM_MAX];
	struct updates updates;
	Peer__Ping ping = PEER__PING__INIT;

	choose_updates(table, peer, with_self, &updates);
	ping.sequence = sequence;
	ping.from = table->self.instance;
	ping.incarnation = table->self.incarnation;
	if (target)
		ping.target = (char *)target;
	ping.updates = updates.pointers;
	ping.n_updates = updates.n;
	ping.members_digest = table->digest;
	ping.table_revision = table->beacon.table_revision;
	ping.table_digest = table->beacon.table_digest;
	ping.table_age_ms = table->beacon.table_age_ms;
	data[0] = DATAGRAM_PING;
	if (peer__ping__get_packed_size(&ping) >= sizeof(data))
		return;
	send_datagram(table, to, data, 1 + peer__ping__pack(&ping, data + 1));
}

/* The oldest slot is taken; a ping so old is judged already. */
static struct member_probe *new_probe(struct member_table *table,
				      struct member *member)
{
	struct member_probe *probe = &table->probes[table->next_probe_slot];
	int64_t now = clock_now(table->clock);
	int64_t timeout = table->probe_period * 2 / 5;

	table->next_probe_slot = (table->next_probe_slot + 1) % MEMBER_PROBES;
	memset(probe, 0, sizeof(*probe));
	probe->sequence = ++table->sequence;
	probe->member = member;
	probe->sent_at = now;
	/* Slow ourselves, we wait longer before we accuse others. */
	probe->judge_at = now + timeout * (1 + table->health);
	probe->incarnation = table->self.incarnation;
	return probe;
}

static struct member_probe *send_ping(struct member_table *table,
				      struct member *member)
{
	struct member_probe *probe = new_probe(table, member);

	probe->told_self = !member->knows_us;
	send_ping_message(table, &member->peer_address, member, probe->sequence,
			  NULL, probe->told_self);
	return probe;
}

void member_probe_now(struct member_table *table, struct member *member)
{
	int i;

	for (i = 0; i < MEMBER_PROBES; i++) {
		if (table->probes[i].member == member &&
		    !table->probes[i].answered)
			return;
	}
	send_ping(table, member);
}

void member_probe_forget(struct member_table *table,
			 const struct member *member)
{
	int i;

	for (i = 0; i < MEMBER_PROBES; i++) {
		if (table->probes[i].member == member)
			table->probes[i].member = NULL;
	}
	for (i = 0; i < table->n_order; i++) {
		if (table->order[i] == member)
			table->order[i] = NULL;
	}
	if (table->last_acker == member)
		table->last_acker = NULL;
}

void member_probe_void(struct member_table *table)
{
	int i;

	for (i = 0; i < MEMBER_PROBES; i++)
		table->probes[i].member = NULL;
}

static void swap(struct member **a, struct member **b)
{
	struct member *old = *a;

	*a = *b;
	*b = old;
}

/*
 * One that is gone is asked while the list names it: two sides of a cut may
 * hold each other for gone, and nobody else would tell them.
 */
static bool worth_asking(const struct member_table *table,
			 const struct member *member)
{
	return member->status != MEMBER_GONE || member->listed || table->seeded;
}

static void shuffle(struct member_table *table)
{
	struct member *member;
	int i;

	table->n_order = 0;
	table->at_order = 0;
	for (member = table->members; member; member = member->hh.next) {
		if (!worth_asking(table, member))
			continue;
		MEM_GROW(table->order, table->n_order, table->cap_order);
		table->order[table->n_order++] = member;
	}
	for (i = table->n_order - 1; i > 0; i--)
		swap(&table->order[i],
		     &table->order[table->ops->random(table->arg) % (i + 1)]);
}

static struct member *next_in_order(struct member_table *table)
{
	while (table->at_order < table->n_order) {
		struct member *member = table->order[table->at_order++];

		if (member && worth_asking(table, member))
			return member;
	}
	return NULL;
}

static struct member *next_target(struct member_table *table)
{
	struct member *member = next_in_order(table);

	if (member)
		return member;
	shuffle(table);
	return next_in_order(table);
}

static struct member *random_alive(struct member_table *table,
				   const struct member *except)
{
	int i;

	if (!table->n_order)
		shuffle(table);
	for (i = 0; i < RANDOM_TRIES && table->n_order; i++) {
		uint64_t at = table->ops->random(table->arg) % table->n_order;
		struct member *member = table->order[at];

		if (member && member != except &&
		    (member->status == MEMBER_ALIVE ||
		     member->status == MEMBER_LEAVING))
			return member;
	}
	return NULL;
}

void member_probe_burst(struct member_table *table, int n)
{
	int i;

	shuffle(table);
	for (i = 0; i < n && i < table->n_order; i++)
		send_ping(table, table->order[i]);
}

static void ask_helpers(struct member_table *table, struct member_probe *probe)
{
	int i;

	probe->indirect = true;
	probe->judge_at += table->probe_period * 3 / 5 * (1 + table->health);
	table->ops->check_address(table->arg, probe->member);
	for (i = 0; i < HELPERS; i++) {
		struct member *helper = random_alive(table, probe->member);

		if (helper)
			send_ping_message(table, &helper->peer_address, helper,
					  probe->sequence,
					  probe->member->instance,
					  !helper->knows_us);
	}
}

static void probe_failed(struct member_table *table, struct member_probe *probe)
{
	struct member *member = probe->member;

	probe->member = NULL;
	if (member->last_heard > probe->sent_at)
		return;
	if (table->health < MEMBER_HEALTH_MAX)
		table->health++;
	member_suspect(table, member);
}

static void judge(struct member_table *table, struct member_probe *probe,
		  int64_t now)
{
	if (!probe->member || probe->answered || now < probe->judge_at)
		return;
	if (probe->relayed || !member_present(probe->member)) {
		if (probe->member->status == MEMBER_NAMED && !probe->relayed)
			table->ops->check_address(table->arg, probe->member);
		probe->member = NULL;
		return;
	}
	if (!probe->indirect)
		ask_helpers(table, probe);
	else
		probe_failed(table, probe);
}

/*
 * With many members silent, the round-robin may find none that answers for
 * longer than the lease: then the one that did last is asked again.
 */
static void keep_lease(struct member_table *table, int64_t now)
{
	struct member *member = table->last_acker;

	if (now - table->last_confirmed < table->lease / 2)
		return;
	if (!member || member->status == MEMBER_SUSPECT ||
	    !member_present(member) || now - member->last_heard > table->lease)
		member = random_alive(table, NULL);
	if (member)
		send_ping(table, member);
}

/* Of the members that the list names, more than a few were never heard. */
static bool misses_many(const struct member_table *table)
{
	int known = (int)HASH_COUNT(table->members);
	const struct member *member;
	int named = 0;

	for (member = table->members; member; member = member->hh.next)
		named += member->status == MEMBER_NAMED && !member->refused;
	return named > known / SYNC_MISSING_PART + 1;
}

static bool wants_sync(const struct member_table *table, int64_t now)
{
	if (!table->synced || !table->complete)
		return true;
	return now - table->self.since < SYNC_START && misses_many(table);
}

/*
 * A new member asks one peer for all members, and others until somebody knew
 * them all: two that both just started may know nobody else, and when all
 * start at once nobody knows many.
 */
static void keep_synced(struct member_table *table, int64_t now)
{
	struct member *member;

	if (now < table->next_sync || !wants_sync(table, now))
		return;
	member = random_alive(table, NULL);
	if (!member)
		return;
	table->synced = true;
	table->next_sync = now + SYNC_RETRY_PERIODS * table->probe_period;
	member_send_members(table, &member->peer_address, true);
}

void member_probe_tick(struct member_table *table)
{
	int64_t now = clock_now(table->clock);
	struct member *member;
	int i;

	for (i = 0; i < MEMBER_PROBES; i++)
		judge(table, &table->probes[i], now);
	keep_synced(table, now);
	if (now < table->next_probe)
		return;
	table->next_probe = now + table->probe_period * 9 / 10 +
			    (int64_t)(table->ops->random(table->arg) %
				      (table->probe_period / 5 + 1));
	member = next_target(table);
	if (member)
		send_ping(table, member);
	keep_lease(table, now);
}

void member_send_members(struct member_table *table, const struct address *to,
			 bool reply)
{
	struct member_wire *wires =
		mem_zalloc((HASH_COUNT(table->members) + 1) * sizeof(*wires));
	Peer__Member **pointers = mem_zalloc((HASH_COUNT(table->members) + 1) *
					     sizeof(*pointers));
	char own_address[ADDRESS_TEXT_SIZE];
	Peer__Members message = PEER__MEMBERS__INIT;
	struct member *member;
	int n = 0;

	member_to_wire(&table->self, &wires[n++]);
	for (member = table->members; member; member = member->hh.next) {
		if (member->incarnation)
			member_to_wire(member, &wires[n++]);
	}
	for (message.n_members = 0; message.n_members < (size_t)n;
	     message.n_members++)
		pointers[message.n_members] = &wires[message.n_members].message;
	message.members = pointers;
	message.reply = reply;
	message.complete = table->complete;
	address_format(&table->self.peer_address, own_address,
		       sizeof(own_address));
	message.peer_address = own_address;
	table->sent_messages++;
	table->sent_bytes += peer__members__get_packed_size(&message);
	table->ops->send_members(table->arg, to, &message);
	free(pointers);
	free(wires);
}

static void send_ack(struct member_table *table, const struct address *to,
		     const struct member *peer, const Peer__Ping *ping,
		     bool gone)
{
	uint8_t data[MEMBER_DATAGRAM_MAX];
	struct updates updates;
	Peer__Ack ack = PEER__ACK__INIT;

	choose_updates(table, peer, ping->n_updates > 0, &updates);
	ack.sequence = ping->sequence;
	ack.from = table->self.instance;
	ack.incarnation = table->self.incarnation;
	ack.you_are_gone = gone;
	ack.updates = updates.pointers;
	ack.n_updates = updates.n;
	ack.members_digest = table->digest;
	ack.table_revision = table->beacon.table_revision;
	ack.table_digest = table->beacon.table_digest;
	ack.table_age_ms = table->beacon.table_age_ms;
	data[0] = DATAGRAM_ACK;
	if (peer__ack__get_packed_size(&ack) >= sizeof(data))
		return;
	send_datagram(table, to, data, 1 + peer__ack__pack(&ack, data + 1));
}

/* The member itself speaks, in the incarnation that we know. */
static struct member *speaker(struct member_table *table, const char *instance,
			      uint64_t incarnation)
{
	struct member *member = member_table_find(table, instance);

	if (!member || member->incarnation != incarnation ||
	    !member_present(member))
		return NULL;
	member_heard(table, member);
	return member;
}

static void merge_updates(struct member_table *table, Peer__Member **updates,
			  size_t n)
{
	size_t i;

	for (i = 0; i < n; i++)
		member_merge(table, updates[i]);
}

static void relay(struct member_table *table, const struct address *from,
		  const Peer__Ping *ping)
{
	struct member *member = member_table_find(table, ping->target);
	struct member_probe *probe;

	if (!member || member->status == MEMBER_GONE)
		return;
	probe = send_ping(table, member);
	probe->relayed = true;
	probe->origin = *from;
	probe->origin_sequence = ping->sequence;
}

static void take_ping(struct member_table *table, const struct address *from,
		      const Peer__Ping *ping)
{
	struct member_beacon beacon = {ping->table_revision, ping->table_digest,
				       ping->table_age_ms};
	struct member *member;
	bool gone = member_is_tombstone(table, ping->incarnation);

	merge_updates(table, ping->updates, ping->n_updates);
	member = gone ? NULL : speaker(table, ping->from, ping->incarnation);
	if (member && table->ops->beacon)
		table->ops->beacon(table->arg, member, &beacon);
	if (*ping->target)
		relay(table, from, ping);
	else
		send_ack(table, from, member, ping, gone);
}

static struct member_probe *find_probe(struct member_table *table,
				       uint64_t sequence)
{
	int i;

	for (i = 0; i < MEMBER_PROBES; i++) {
		if (table->probes[i].member &&
		    table->probes[i].sequence == sequence)
			return &table->probes[i];
	}
	return NULL;
}

static void send_relayed_ack(struct member_table *table,
			     const struct member_probe *probe,
			     const Peer__Ack *answer)
{
	uint8_t data[MEMBER_DATAGRAM_MAX];
	Peer__Ack ack = PEER__ACK__INIT;

	ack.sequence = probe->origin_sequence;
	ack.from = answer->from;
	ack.incarnation = answer->incarnation;
	data[0] = DATAGRAM_ACK;
	if (peer__ack__get_packed_size(&ack) >= sizeof(data))
		return;
	send_datagram(table, &probe->origin, data,
		      1 + peer__ack__pack(&ack, data + 1));
}

/*
 * Only the answer to a fresh sequence number shows who is there now: a ping of
 * a process that has ended may come late.
 */
static void take_fresh_answer(struct member_table *table, struct member *member,
			      const Peer__Ack *ack)
{
	if (member_is_tombstone(table, ack->incarnation))
		return;
	if (strcmp(member->instance, ack->from)) {
		/* Another instance has its address: its process has ended. */
		if (member_present(member))
			member_gone(table, member, true);
		return;
	}
	if (member->incarnation != ack->incarnation)
		member_adopt(table, member, ack->incarnation, 0);
}

static bool from_member(const struct address *from, const struct member *member)
{
	return from->port == member->peer_address.port &&
	       !strcmp(from->ip, member->peer_address.ip);
}

static void take_direct_ack(struct member_table *table,
			    struct member_probe *probe, const Peer__Ack *ack)
{
	struct member *member = probe->member;

	if (probe->told_self && probe->incarnation == table->self.incarnation)
		member->knows_us = true;
	if (member->incarnation != ack->incarnation ||
	    probe->incarnation != table->self.incarnation)
		return;
	table->last_acker = member;
	if (probe->sent_at <= table->last_confirmed)
		return;
	table->last_confirmed = probe->sent_at;
	table->ops->confirmed(table->arg, probe->sent_at);
}

static void sync_if_apart(struct member_table *table,
			  const struct member *member, uint64_t digest)
{
	int64_t now = clock_now(table->clock);

	if (digest == table->digest || now < table->next_sync ||
	    now - table->digest_since < SYNC_QUIET)
		return;
	table->next_sync = now + SYNC_PERIOD;
	member_send_members(table, &member->peer_address, true);
}

static void take_ack(struct member_table *table, const struct address *from,
		     const Peer__Ack *ack)
{
	struct member_beacon beacon = {ack->table_revision, ack->table_digest,
				       ack->table_age_ms};
	struct member_probe *probe;
	struct member *member;

	merge_updates(table, ack->updates, ack->n_updates);
	probe = find_probe(table, ack->sequence);
	if (!probe)
		return;
	if (!from_member(from, probe->member)) {
		/* By a helper: it lives, but says nothing of our lease. */
		if (speaker(table, ack->from, ack->incarnation))
			probe->answered = true;
		return;
	}
	if (ack->you_are_gone) {
		if (probe->incarnation == table->self.incarnation)
			member_renew(table);
		return;
	}
	take_fresh_answer(table, probe->member, ack);
	member = speaker(table, ack->from, ack->incarnation);
	if (member != probe->member)
		return;
	if (probe->relayed)
		send_relayed_ack(table, probe, ack);
	if (!probe->answered && !probe->indirect && table->health > 0)
		table->health--;
	probe->answered = true;
	take_direct_ack(table, probe, ack);
	sync_if_apart(table, member, ack->members_digest);
	if (table->ops->beacon)
		table->ops->beacon(table->arg, member, &beacon);
}

int member_table_datagram(struct member_table *table,
			  const struct address *from, const void *data,
			  size_t len)
{
	const uint8_t *bytes = data;
	Peer__Ping *ping;
	Peer__Ack *ack;

	if (len < 1)
		return ERR_FRAME;
	if (bytes[0] == DATAGRAM_PING) {
		ping = peer__ping__unpack(NULL, len - 1, bytes + 1);
		if (!ping)
			return ERR_FRAME;
		take_ping(table, from, ping);
		peer__ping__free_unpacked(ping, NULL);
		return 0;
	}
	if (bytes[0] != DATAGRAM_ACK)
		return ERR_FRAME;
	ack = peer__ack__unpack(NULL, len - 1, bytes + 1);
	if (!ack)
		return ERR_FRAME;
	take_ack(table, from, ack);
	peer__ack__free_unpacked(ack, NULL);
	return 0;
}
