/* Pings and acknowledgements that came in, and what they show. */
#include "member_private.h"

#include <string.h>

#include "clock.h"
#include "error.h"

#define SYNC_PERIOD MSEC(60000)
#define SYNC_QUIET MSEC(15000)

/* The member itself speaks, in the incarnation that we know. */
static struct member *speaker(struct member_table *table, const char *instance,
			      uint64_t incarnation)
{
	struct member *member = member_table_find(table, instance);

	if (!member || member->incarnation != incarnation ||
	    !member_present(member))
		return NULL;
	member_mark_heard(table, member);
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
	probe = member_send_ping(table, member);
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
		member_send_ack(table, from, member, ping, gone);
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
			member_mark_gone(table, member, true);
		return;
	}
	if (member->incarnation != ack->incarnation)
		member_adopt_incarnation(table, member, ack->incarnation, 0);
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
	if (!address_eq(from, &probe->member->peer_address)) {
		/* By a helper: it lives, but says nothing of our lease. */
		if (speaker(table, ack->from, ack->incarnation))
			probe->answered = true;
		return;
	}
	if (ack->you_are_gone) {
		if (probe->incarnation == table->self.incarnation)
			member_renew_incarnation(table);
		return;
	}
	take_fresh_answer(table, probe->member, ack);
	member = speaker(table, ack->from, ack->incarnation);
	if (member != probe->member)
		return;
	if (probe->relayed)
		member_send_relayed_ack(table, probe, ack);
	if (!probe->answered && !probe->indirect && table->health > 0)
		table->health--;
	probe->answered = true;
	take_direct_ack(table, probe, ack);
	sync_if_apart(table, member, ack->members_digest);
	if (table->ops->beacon)
		table->ops->beacon(table->arg, member, &beacon);
}

int member_table_receive_datagram(struct member_table *table,
				  const struct address *from, const void *data,
				  size_t len)
{
	const uint8_t *bytes = data;
	Peer__Ping *ping;
	Peer__Ack *ack;

	if (len < 1)
		return ERR_FRAME;
	if (bytes[0] == MEMBER_DATAGRAM_PING) {
		ping = peer__ping__unpack(NULL, len - 1, bytes + 1);
		if (!ping)
			return ERR_FRAME;
		take_ping(table, from, ping);
		peer__ping__free_unpacked(ping, NULL);
		return 0;
	}
	if (bytes[0] != MEMBER_DATAGRAM_ACK)
		return ERR_FRAME;
	ack = peer__ack__unpack(NULL, len - 1, bytes + 1);
	if (!ack)
		return ERR_FRAME;
	take_ack(table, from, ack);
	peer__ack__free_unpacked(ack, NULL);
	return 0;
}
