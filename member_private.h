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
 * @member: must outlive @wire
 * @wire: borrows texts of @member
 */
void member_to_wire(const struct member *member, struct member_wire *wire);

/**
 * member_fill() - set names and addresses; frees the previous ones
 * @member: the member
 * @instance: name, copied
 * @data_centre: name, copied
 * @peer_address: for other instances
 * @caller_address: for callers
 */
void member_fill(struct member *member, const char *instance,
		 const char *data_centre, const struct address *peer_address,
		 const struct address *caller_address);
void member_free(struct member *member);

/**
 * member_add() - add a member that was never heard, as MEMBER_NAMED
 * @table: the membership
 * @instance: name, copied
 * @data_centre: name, copied
 * @peer_address: for other instances
 * @caller_address: for callers
 *
 * Return: the member, owned by @table.
 */
struct member *member_add(struct member_table *table, const char *instance,
			  const char *data_centre,
			  const struct address *peer_address,
			  const struct address *caller_address);

/**
 * member_set_location() - set data centre and addresses
 * @member: the member
 * @data_centre: name, copied
 * @peer_address: for other instances
 * @caller_address: for callers
 *
 * The name, which is the key in the hash table, stays.
 */
void member_set_location(struct member *member, const char *data_centre,
			 const struct address *peer_address,
			 const struct address *caller_address);

/**
 * member_set_status() - set status and incarnation
 * @table: the membership
 * @member: the member
 * @status: the new one
 * @incarnation: the new one
 *
 * The two of a member that is present must not be set in any other way, because
 * this also updates digest, version and the number of present members.
 */
void member_set_status(struct member_table *table, struct member *member,
		       enum member_status status, uint64_t incarnation);

/**
 * member_set_self_incarnation() - set the incarnation of this instance
 * @table: the membership
 * @incarnation: replaced by a random one if 0 or known to have ended
 */
void member_set_self_incarnation(struct member_table *table,
				 uint64_t incarnation);

/**
 * member_add_tombstone() - remember that an incarnation has ended
 * @table: the membership
 * @incarnation: 0 is ignored
 */
void member_add_tombstone(struct member_table *table, uint64_t incarnation);

/**
 * member_dequeue_update() - stop sending the record of a member
 * @table: the membership
 * @member: the member
 */
void member_dequeue_update(struct member_table *table,
			   const struct member *member);

/**
 * member_queue_update() - send a member's record with the next datagrams
 * @table: the membership
 * @member: the member
 */
void member_queue_update(struct member_table *table, struct member *member);

/**
 * member_update_repeated() - a peer sent a record that is known already
 * @table: the membership
 * @member: the member
 *
 * Sends the record fewer times, because others send it too. Without this, when
 * many instances join at once, most of them receive each record many times.
 */
void member_update_repeated(struct member_table *table, struct member *member);

/**
 * member_mark_suspect() - it answered neither us nor the members we asked
 * @table: the membership
 * @member: the member
 */
void member_mark_suspect(struct member_table *table, struct member *member);

/**
 * member_mark_gone() - change the status to MEMBER_GONE
 * @table: the membership
 * @member: the member
 * @proven: its process ended or gave up its shares; otherwise its shares are
 *	released after a delay
 */
void member_mark_gone(struct member_table *table, struct member *member,
		      bool proven);

/**
 * member_adopt_incarnation() - a new process has taken a member's name
 * @table: the membership
 * @member: the member
 * @incarnation: of the new process
 * @replaces: the previous incarnation if the member had none, or 0
 */
void member_adopt_incarnation(struct member_table *table, struct member *member,
			      uint64_t incarnation, uint64_t replaces);

/**
 * member_renew_incarnation() - give this instance a new incarnation
 * @table: the membership
 *
 * Needed when peers consider the current one gone.
 */
void member_renew_incarnation(struct member_table *table);

/**
 * member_is_tombstone() - whether an incarnation is known to have ended
 * @table: the membership
 * @incarnation: of a process
 */
bool member_is_tombstone(const struct member_table *table,
			 uint64_t incarnation);

/**
 * member_mark_heard() - a datagram from the member itself was received
 * @table: the membership
 * @member: the member
 */
void member_mark_heard(struct member_table *table, struct member *member);

/* member_send.c */

/**
 * member_send_ping() - send a ping to a member
 * @table: the membership
 * @member: the member
 *
 * Return: the probe that awaits the answer, owned by @table.
 */
struct member_probe *member_send_ping(struct member_table *table,
				      struct member *member);

/**
 * member_send_ping_request() - ask a helper to ping the target of a probe
 * @table: the membership
 * @helper: receives the request
 * @probe: unanswered
 */
void member_send_ping_request(struct member_table *table,
			      const struct member *helper,
			      const struct member_probe *probe);

/**
 * member_send_ack() - acknowledge a ping
 * @table: the membership
 * @to: source of the ping
 * @peer: its sender; NULL if unknown
 * @ping: borrowed during the call
 * @gone: tell the sender that its incarnation is considered gone
 */
void member_send_ack(struct member_table *table, const struct address *to,
		     const struct member *peer, const Peer__Ping *ping,
		     bool gone);

/**
 * member_send_relayed_ack() - forward the answer to a relayed ping
 * @table: the membership
 * @probe: with the origin of the ping
 * @answer: of its target; borrowed during the call
 */
void member_send_relayed_ack(struct member_table *table,
			     const struct member_probe *probe,
			     const Peer__Ack *answer);

/**
 * member_request_members() - request all members, sending only our own record
 * @table: the membership
 * @to: peer address of the receiver
 *
 * Return: whether there was a connection to send it on.
 */
bool member_request_members(struct member_table *table,
			    const struct address *to);

/**
 * member_send_members() - send all members
 * @table: the membership
 * @to: peer address of the receiver
 * @reply: request all members of the peer
 *
 * Return: whether there was a connection to send it on.
 */
bool member_send_members(struct member_table *table, const struct address *to,
			 bool reply);

/* member_probe.c */

/**
 * member_probe_forget() - drop all references to a member that is removed
 * @table: the membership
 * @member: the member
 */
void member_probe_forget(struct member_table *table,
			 const struct member *member);

/**
 * member_probe_now() - ping a member unless an answer from it is pending
 * @table: the membership
 * @member: the member
 */
void member_probe_now(struct member_table *table, struct member *member);

/**
 * member_probe_burst() - ping up to @n random members at once
 * @table: the membership
 * @n: maximum number of pings
 */
void member_probe_burst(struct member_table *table, int n);

/**
 * member_probe_tick() - check pending pings, and send those that are due
 * @table: the membership
 */
void member_probe_tick(struct member_table *table);

/**
 * member_probe_discard_all() - forget all pending pings
 * @table: the membership
 */
void member_probe_discard_all(struct member_table *table);

/* member_merge.c */

/**
 * member_merge() - apply a record from a peer, which may be about ourselves
 * @table: the membership
 * @update: the record, borrowed during the call
 */
void member_merge(struct member_table *table, const Peer__Member *update);

#endif
