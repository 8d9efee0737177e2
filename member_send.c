/* Sent datagrams and messages, with the member records that they carry. */
#include "member_private.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"
#include "pack.h"

#define UPDATES_MAX 24 /* in one datagram */
/* Time for which a snapshot is sent although members changed, microseconds. */
#define SNAPSHOT_MAX_AGE MSEC(100)
/* Bytes of a datagram that are reserved for everything but the updates. */
#define HEADER_RESERVE 128

/* Member records for one datagram. */
struct updates {
	struct member_wire wires[UPDATES_MAX];
	Peer__Member *pointers[UPDATES_MAX];
	int n;
	size_t space_left;
};

static bool add_update(struct updates *updates, const struct member *member)
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
	size = peer__member__get_packed_size(&wire->message) +
	       3; /* tag and length */
	if (size > updates->space_left)
		return false;
	updates->space_left -= size;
	updates->pointers[updates->n++] = &wire->message;
	return true;
}

static int by_transmits(const void *a, const void *b)
{
	const struct member *x = *(struct member *const *)a;
	const struct member *y = *(struct member *const *)b;

	return y->transmits_left - x->transmits_left;
}

/*
 * Whether a record is sent within this data centre only. The others need no
 * record of an instance that joined: it contacts the hubs there itself, and the
 * rest get it with the list of all members. Sent by everyone to everyone, joins
 * were most of the traffic between data centres while many instances started.
 */
static bool is_local_update(const struct member *member)
{
	return member->status == MEMBER_ALIVE && !member->counter;
}

static bool is_remote(const struct member_table *table,
		      const struct member *peer)
{
	return table->seeded && table->n_local >= MEMBER_LOCAL_MIN &&
	       (!peer || peer->dc_hash != table->self.dc_hash);
}

/* Newest first; each record is sent a limited number of times. */
static void add_queued_updates(struct member_table *table, bool remote,
			       struct updates *updates)
{
	int kept = 0;
	int i;

	if (!table->n_queued)
		return;
	qsort(table->queued, table->n_queued, sizeof(*table->queued),
	      by_transmits);
	for (i = 0; i < table->n_queued; i++) {
		struct member *member = table->queued[i];

		if (!(remote && is_local_update(member)) &&
		    add_update(updates, member))
			member->transmits_left--;
		if (member->transmits_left > 0)
			table->queued[kept++] = member;
	}
	table->n_queued = kept;
}

/*
 * @peer: the receiver; NULL if unknown
 * @with_self: the receiver may not know our record
 */
static void choose_updates(struct member_table *table,
			   const struct member *peer, bool with_self,
			   struct updates *updates)
{
	updates->n = 0;
	updates->space_left = MEMBER_DATAGRAM_MAX - HEADER_RESERVE -
			      strlen(table->self.instance);
	if (with_self)
		add_update(updates, &table->self);
	/* Lets it refute the suspicion, or take a new incarnation if gone. */
	if (peer &&
	    (peer->status == MEMBER_SUSPECT || peer->status == MEMBER_GONE))
		add_update(updates, peer);
	add_queued_updates(table, is_remote(table, peer), updates);
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
	data[0] = MEMBER_DATAGRAM_PING;
	if (peer__ping__get_packed_size(&ping) >= sizeof(data))
		return;
	send_datagram(table, to, data, 1 + peer__ping__pack(&ping, data + 1));
}

/* Reuses the oldest slot; a ping so old has been checked already. */
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
	/* An instance that is slow itself waits longer for others. */
	probe->check_at = now + timeout * (1 + table->health);
	probe->incarnation = table->self.incarnation;
	return probe;
}

struct member_probe *member_send_ping(struct member_table *table,
				      struct member *member)
{
	struct member_probe *probe = new_probe(table, member);

	probe->sent_self = !member->knows_us;
	send_ping_message(table, &member->peer_address, member, probe->sequence,
			  NULL, probe->sent_self);
	return probe;
}

void member_send_ping_request(struct member_table *table,
			      const struct member *helper,
			      const struct member_probe *probe)
{
	send_ping_message(table, &helper->peer_address, helper, probe->sequence,
			  probe->member->instance, !helper->knows_us);
}

static int fill_members(const struct member_table *table,
			struct member_wire *wires, Peer__Member **pointers)
{
	const struct member *member;
	int n = 0;
	int i;

	member_to_wire(&table->self, &wires[n++]);
	for (member = table->members; member; member = member->hh.next) {
		if (member->incarnation)
			member_to_wire(member, &wires[n++]);
	}
	for (i = 0; i < n; i++)
		pointers[i] = &wires[i].message;
	return n;
}

/* 295 members take 25 KB, and a third of it compressed. */
static void pack_snapshot(struct member_snapshot *snapshot,
			  const Peer__Members *body, size_t size)
{
	uint8_t *raw = mem_zalloc(size);
	size_t len;

	peer__members__pack(body, raw);
	free(snapshot->packed);
	snapshot->packed = compress_bytes(raw, size, &len);
	snapshot->len = snapshot->packed ? len : 0;
	snapshot->size = size;
	free(raw);
}

/*
 * Cached, because when hundreds of instances start together they all request
 * the same members from the seeds, which may have a tenth of a core only.
 */
static const struct member_snapshot *get_snapshot(struct member_table *table)
{
	struct member_snapshot *snapshot = &table->snapshot;
	int64_t now = clock_now(table->clock);
	struct member_wire *wires;
	Peer__Member **pointers;
	Peer__Members body = PEER__MEMBERS__INIT;
	size_t max = HASH_COUNT(table->members) + 1;

	if (snapshot->packed && (snapshot->version == table->version ||
				 now - snapshot->made_at < SNAPSHOT_MAX_AGE))
		return snapshot;
	wires = mem_zalloc(max * sizeof(*wires));
	pointers = mem_zalloc(max * sizeof(*pointers));
	body.n_members = (size_t)fill_members(table, wires, pointers);
	body.members = pointers;
	pack_snapshot(snapshot, &body, peer__members__get_packed_size(&body));
	snapshot->version = table->version;
	snapshot->made_at = now;
	free(pointers);
	free(wires);
	return snapshot;
}

static bool send_members_message(struct member_table *table,
				 const struct address *to,
				 Peer__Members *message)
{
	char own_address[ADDRESS_TEXT_SIZE];

	message->complete = table->complete;
	address_format(&table->self.peer_address, own_address,
		       sizeof(own_address));
	message->peer_address = own_address;
	if (!table->ops->send_members(table->arg, to, message))
		return false;
	table->sent_messages++;
	table->sent_bytes += peer__members__get_packed_size(message);
	return true;
}

bool member_request_members(struct member_table *table,
			    const struct address *to)
{
	Peer__Members message = PEER__MEMBERS__INIT;
	struct member_wire wire;
	Peer__Member *pointers[] = {&wire.message};

	member_to_wire(&table->self, &wire);
	message.members = pointers;
	message.n_members = 1;
	message.reply = true;
	return send_members_message(table, to, &message);
}

bool member_send_members(struct member_table *table, const struct address *to,
			 bool reply)
{
	size_t max = HASH_COUNT(table->members) + 1;
	Peer__Members message = PEER__MEMBERS__INIT;
	const struct member_snapshot *snapshot;
	struct member_wire *wires;
	Peer__Member **pointers;
	bool sent;

	message.reply = reply;
	/* Without seeds, the peer may run a version without compression. */
	snapshot = table->seeded ? get_snapshot(table) : NULL;
	if (snapshot && snapshot->packed) {
		message.packed.data = snapshot->packed;
		message.packed.len = snapshot->len;
		message.packed_size = (uint32_t)snapshot->size;
		return send_members_message(table, to, &message);
	}
	wires = mem_zalloc(max * sizeof(*wires));
	pointers = mem_zalloc(max * sizeof(*pointers));
	message.n_members = (size_t)fill_members(table, wires, pointers);
	message.members = pointers;
	sent = send_members_message(table, to, &message);
	free(pointers);
	free(wires);
	return sent;
}

void member_send_ack(struct member_table *table, const struct address *to,
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
	data[0] = MEMBER_DATAGRAM_ACK;
	if (peer__ack__get_packed_size(&ack) >= sizeof(data))
		return;
	send_datagram(table, to, data, 1 + peer__ack__pack(&ack, data + 1));
}

void member_send_relayed_ack(struct member_table *table,
			     const struct member_probe *probe,
			     const Peer__Ack *answer)
{
	uint8_t data[MEMBER_DATAGRAM_MAX];
	Peer__Ack ack = PEER__ACK__INIT;

	ack.sequence = probe->origin_sequence;
	ack.from = answer->from;
	ack.incarnation = answer->incarnation;
	data[0] = MEMBER_DATAGRAM_ACK;
	if (peer__ack__get_packed_size(&ack) >= sizeof(data))
		return;
	send_datagram(table, &probe->origin, data,
		      1 + peer__ack__pack(&ack, data + 1));
}
