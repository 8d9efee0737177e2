/* Datagrams and messages that go out, with the news that they carry. */
#include "member_private.h"

#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"
#include "compress.h"

#define UPDATES_MAX 24
/* A packed list of members is told again for so long, though some changed. */
#define LIST_KEPT MSEC(100)
#define HEADER_ROOM 128 /* of a datagram, for all but the updates */

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

/*
 * That another instance joined matters in its own data centre; hubs of others
 * are told by itself, and the rest by whole lists. Spread by all to all, joins
 * were most of what passes between data centres while many start.
 */
static bool is_for_near(const struct member *member)
{
	return member->status == MEMBER_ALIVE && !member->counter;
}

static bool is_far(const struct member_table *table, const struct member *peer)
{
	return table->seeded && table->n_near >= MEMBER_LOCAL_MIN &&
	       (!peer || peer->dc_hash != table->self.dc_hash);
}

/* Newest first; each news goes out a bounded number of times. */
static void put_news(struct member_table *table, bool far,
		     struct updates *updates)
{
	int kept = 0;
	int i;

	if (!table->n_hot)
		return;
	qsort(table->hot, table->n_hot, sizeof(*table->hot), by_transmits);
	for (i = 0; i < table->n_hot; i++) {
		struct member *member = table->hot[i];

		if (!(far && is_for_near(member)) &&
		    put_update(updates, member))
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
	put_news(table, is_far(table, peer), updates);
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

struct member_probe *member_send_ping(struct member_table *table,
				      struct member *member)
{
	struct member_probe *probe = new_probe(table, member);

	probe->told_self = !member->knows_us;
	send_ping_message(table, &member->peer_address, member, probe->sequence,
			  NULL, probe->told_self);
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

/* 295 members take 25 KB, and a third of it packed. */
static void pack_list(struct member_snapshot *list, const Peer__Members *body,
		      size_t size)
{
	uint8_t *raw = mem_zalloc(size);
	size_t len;

	peer__members__pack(body, raw);
	free(list->packed);
	list->packed = compress_bytes(raw, size, &len);
	list->len = list->packed ? len : 0;
	list->size = size;
	free(raw);
}

/*
 * At a start of hundreds all ask the seeds, which may have a tenth of a core,
 * for the same list.
 */
static const struct member_snapshot *packed_list(struct member_table *table)
{
	struct member_snapshot *list = &table->list;
	int64_t now = clock_now(table->clock);
	struct member_wire *wires;
	Peer__Member **pointers;
	Peer__Members body = PEER__MEMBERS__INIT;
	size_t most = HASH_COUNT(table->members) + 1;

	if (list->packed && (list->version == table->version ||
			     now - list->made_at < LIST_KEPT))
		return list;
	wires = mem_zalloc(most * sizeof(*wires));
	pointers = mem_zalloc(most * sizeof(*pointers));
	body.n_members = (size_t)fill_members(table, wires, pointers);
	body.members = pointers;
	pack_list(list, &body, peer__members__get_packed_size(&body));
	list->version = table->version;
	list->made_at = now;
	free(pointers);
	free(wires);
	return list;
}

static bool send_list(struct member_table *table, const struct address *to,
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
	return send_list(table, to, &message);
}

bool member_send_members(struct member_table *table, const struct address *to,
			 bool reply)
{
	size_t most = HASH_COUNT(table->members) + 1;
	Peer__Members message = PEER__MEMBERS__INIT;
	const struct member_snapshot *list;
	struct member_wire *wires;
	Peer__Member **pointers;
	bool sent;

	message.reply = reply;
	/* Without seeds, instances of an earlier version may listen. */
	list = table->seeded ? packed_list(table) : NULL;
	if (list && list->packed) {
		message.packed.data = list->packed;
		message.packed.len = list->len;
		message.packed_size = (uint32_t)list->size;
		return send_list(table, to, &message);
	}
	wires = mem_zalloc(most * sizeof(*wires));
	pointers = mem_zalloc(most * sizeof(*pointers));
	message.n_members = (size_t)fill_members(table, wires, pointers);
	message.members = pointers;
	sent = send_list(table, to, &message);
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
