/*
 * Declarations shared by the member_*.c files only. Each file calls functions
 * of those listed before it: member_state.c, member_send.c, member_probe.c,
 * member_merge.c, member_datagram.c and member.c.
 */
#ifndef MEMBER_PRIVATE_H
#define MEMBER_PRIVATE_H

#include "member.h"
#include "peer.pb-c.h"

/* Members of a data centre that are enough to monitor each other. */
#define MEMBER_LOCAL_MIN 4
/* Probe periods without a tick after which the process was suspended. */
#define MEMBER_LATE_PERIODS 2
/* How long members that are gone and tombstones are kept, microseconds. */
#define MEMBER_GONE_RETENTION MSEC(600000)

/* Type of a datagram, its first byte. */
enum member_datagram_kind {
	MEMBER_DATAGRAM_PING = 1,
	MEMBER_DATAGRAM_ACK = 2,
};

/**
 * struct member_wire - a Peer__Member with the storage for its addresses
 * @message: borrows the other texts from the struct member
 * @peer_address: formatted
 * @caller_address: formatted
 */
struct member_wire {
	Peer__Member message;
	char peer_address[ADDRESS_TEXT_SIZE];
	char caller_address[ADDRESS_TEXT_SIZE];
};

/* member_state.c */

/**
 * member_to_wire() - fill a message from a member
 * @wire: borrows texts of @member
 */
void member_to_wire(const struct member *member, struct member_wire *wire);

/**
 * member_fill() - set names and addresses; frees the previous ones
 */
void member_fill(struct member *member, const char *instance,
		 const char *data_centre, const struct address *peer_address,
		 const struct address *caller_address);
void member_free(struct member *member);

/**
 * member_add() - add a member that was never heard, as MEMBER_NAMED
 *
 * Return: the member, owned by @table.
 */
struct member *member_add(struct member_table *table, const char *instance,
			  const char *data_centre,
			  const struct address *peer_address,
			  const struct address *caller_address);

/**
 * member_set_location() - set data centre and addresses
 *
 * The name, which is the key in the hash table, stays.
 */
void member_set_location(struct member *member, const char *data_centre,
			 const struct address *peer_address,
			 const struct address *caller_address);

/**
 * member_set_status() - set status and incarnation
 *
 * All changes of these two go through here, to keep digest and version.
 */
void member_set_status(struct member_table *table, struct member *member,
		       enum member_status status, uint64_t incarnation);

/**
 * member_set_self_incarnation() - set the incarnation of this instance
 * @incarnation: replaced by a random one if 0 or known to have ended
 */
void member_set_self_incarnation(struct member_table *table,
				 uint64_t incarnation);

/**
 * member_add_tombstone() - remember that an incarnation has ended
 * @incarnation: 0 is ignored
 */
void member_add_tombstone(struct member_table *table, uint64_t incarnation);

/**
 * member_dequeue_update() - stop sending the record of a member
 */
void member_dequeue_update(struct member_table *table,
			   const struct member *member);

/**
 * member_queue_update() - send a member's record with the next datagrams
 */
void member_queue_update(struct member_table *table, struct member *member);

/**
 * member_update_repeated() - a peer sent a record that is known already
 *
 * Sends the record fewer times, because others send it too. Without this, when
 * many instances join at once, most of them receive each record many times.
 */
void member_update_repeated(struct member_table *table, struct member *member);

/**
 * member_mark_suspect() - it answered neither us nor the members we asked
 */
void member_mark_suspect(struct member_table *table, struct member *member);

/**
 * member_mark_gone() - change the status to MEMBER_GONE
 * @proven: its process ended or gave up its shares; otherwise its shares are
 *	released after a delay
 */
void member_mark_gone(struct member_table *table, struct member *member,
		      bool proven);

/**
 * member_adopt_incarnation() - a new process has taken a member's name
 * @replaces: the previous incarnation if the member had none, or 0
 */
void member_adopt_incarnation(struct member_table *table, struct member *member,
			      uint64_t incarnation, uint64_t replaces);

/**
 * member_renew_incarnation() - give this instance a new incarnation
 *
 * Needed when peers consider the current one gone.
 */
void member_renew_incarnation(struct member_table *table);

/**
 * member_is_tombstone() - whether an incarnation is known to have ended
 */
bool member_is_tombstone(const struct member_table *table,
			 uint64_t incarnation);

/**
 * member_mark_heard() - a datagram from the member itself was received
 */
void member_mark_heard(struct member_table *table, struct member *member);

/* member_send.c */

/**
 * member_send_ping() - send a ping to a member
 *
 * Return: the probe that awaits the answer, owned by @table.
 */
struct member_probe *member_send_ping(struct member_table *table,
				      struct member *member);

/**
 * member_send_ping_request() - ask a helper to ping the target of a probe
 */
void member_send_ping_request(struct member_table *table,
			      const struct member *helper,
			      const struct member_probe *probe);

/**
 * member_send_ack() - acknowledge a ping
 * @peer: its sender; NULL if unknown
 * @gone: tell the sender that its incarnation is considered gone
 */
void member_send_ack(struct member_table *table, const struct address *to,
		     const struct member *peer, const Peer__Ping *ping,
		     bool gone);

/**
 * member_send_relayed_ack() - forward the answer to a relayed ping
 */
void member_send_relayed_ack(struct member_table *table,
			     const struct member_probe *probe,
			     const Peer__Ack *answer);

/**
 * member_request_members() - request all members, sending only our own record
 *
 * Return: whether there was a connection to send it on.
 */
bool member_request_members(struct member_table *table,
			    const struct address *to);

/**
 * member_send_members() - send all members
 * @reply: request all members of the peer
 *
 * Return: whether there was a connection to send it on.
 */
bool member_send_members(struct member_table *table, const struct address *to,
			 bool reply);

/* member_probe.c */

/**
 * member_probe_forget() - drop all references to a member that is removed
 */
void member_probe_forget(struct member_table *table,
			 const struct member *member);

/**
 * member_probe_now() - ping a member unless an answer from it is pending
 */
void member_probe_now(struct member_table *table, struct member *member);

/**
 * member_probe_burst() - ping up to @n random members at once
 */
void member_probe_burst(struct member_table *table, int n);

/**
 * member_probe_tick() - check pending pings, and send those that are due
 */
void member_probe_tick(struct member_table *table);

/**
 * member_probe_discard_all() - forget all pending pings
 */
void member_probe_discard_all(struct member_table *table);

/* member_merge.c */

/**
 * member_merge() - apply a record from a peer, which may be about ourselves
 */
void member_merge(struct member_table *table, const Peer__Member *update);

#endif
