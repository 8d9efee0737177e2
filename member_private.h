/*
 * Shared by the files of member only. Each calls those above it here:
 * member_state.c, member_send.c, member_probe.c, member_merge.c,
 * member_datagram.c and member.c.
 */
#ifndef MEMBER_PRIVATE_H
#define MEMBER_PRIVATE_H

#include "member.h"
#include "peer.pb-c.h"

/* Neighbours that together ask each other often enough. */
#define MEMBER_LOCAL_MIN 4
#define MEMBER_LATE_PERIODS 2 /* probe periods without a tick */
/* How long what is gone is remembered. */
#define MEMBER_GONE_RETENTION MSEC(600000)

/* The first byte of a datagram. */
enum member_datagram_kind {
	MEMBER_DATAGRAM_PING = 1,
	MEMBER_DATAGRAM_ACK = 2,
};

/**
 * struct member_wire - a Peer__Member with the room for its texts
 */
struct member_wire {
	Peer__Member message;
	char peer_address[ADDRESS_TEXT_SIZE];
	char caller_address[ADDRESS_TEXT_SIZE];
};

/* member_state.c */

void member_to_wire(const struct member *member, struct member_wire *wire);

/**
 * member_fill() - set texts and addresses; what was there is freed
 */
void member_fill(struct member *member, const char *instance,
		 const char *data_centre, const struct address *peer_address,
		 const struct address *caller_address);
void member_free(struct member *member);

/**
 * member_add() - known by name only
 */
struct member *member_add(struct member_table *table, const char *instance,
			  const char *data_centre,
			  const struct address *peer_address,
			  const struct address *caller_address);

/**
 * member_set_location() - texts that only the list or the member itself tells
 */
void member_set_location(struct member *member, const char *data_centre,
			 const struct address *peer_address,
			 const struct address *caller_address);

/**
 * member_set_status() - all changes of status and incarnation go through here
 */
void member_set_status(struct member_table *table, struct member *member,
		       enum member_status status, uint64_t incarnation);
void member_set_self_incarnation(struct member_table *table,
				 uint64_t incarnation);
void member_add_tombstone(struct member_table *table, uint64_t incarnation);

/**
 * member_dequeue_update() - tell no news of it any more
 */
void member_dequeue_update(struct member_table *table,
			   const struct member *member);

/**
 * member_queue_update() - put a member's record into the next datagrams
 */
void member_queue_update(struct member_table *table, struct member *member);

/**
 * member_update_repeated() - a peer told of it what is known here
 *
 * Where many join at once, news of each goes round until most have heard it
 * many times. Who hears it again stops telling it sooner.
 */
void member_update_repeated(struct member_table *table, struct member *member);

/**
 * member_mark_suspect() - it did not answer us, nor those whom we asked
 */
void member_mark_suspect(struct member_table *table, struct member *member);

/**
 * member_mark_gone() - drop a member on evidence
 * @proven: its process ended, or gave up its shares
 */
void member_mark_gone(struct member_table *table, struct member *member,
		      bool proven);

/**
 * member_adopt_incarnation() - a new incarnation is at a member's place
 */
void member_adopt_incarnation(struct member_table *table, struct member *member,
			      uint64_t incarnation, uint64_t replaces);

/**
 * member_renew_incarnation() - go on under a new incarnation: peers hold ours
 * for gone
 */
void member_renew_incarnation(struct member_table *table);

bool member_is_tombstone(const struct member_table *table,
			 uint64_t incarnation);

/**
 * member_mark_heard() - a datagram came from the member itself
 */
void member_mark_heard(struct member_table *table, struct member *member);

/* member_send.c */

/**
 * member_send_ping() - ask a member whether it lives
 *
 * Return: what awaits its answer.
 */
struct member_probe *member_send_ping(struct member_table *table,
				      struct member *member);

/**
 * member_send_ping_request() - ask a helper to ask the member of a ping
 */
void member_send_ping_request(struct member_table *table,
			      const struct member *helper,
			      const struct member_probe *probe);
void member_send_ack(struct member_table *table, const struct address *to,
		     const struct member *peer, const Peer__Ping *ping,
		     bool gone);
void member_send_relayed_ack(struct member_table *table,
			     const struct member_probe *probe,
			     const Peer__Ack *answer);

/**
 * member_request_members() - ask for all that are known, and tell of this
 * instance
 *
 * Return: whether there was a way to send it.
 */
bool member_request_members(struct member_table *table,
			    const struct address *to);

/**
 * member_send_members() - tell who is known
 * @reply: ask for the same
 *
 * Return: whether there was a way to send it.
 */
bool member_send_members(struct member_table *table, const struct address *to,
			 bool reply);

/* member_probe.c */

void member_probe_forget(struct member_table *table,
			 const struct member *member);
void member_probe_now(struct member_table *table, struct member *member);
void member_probe_burst(struct member_table *table, int n);
void member_probe_tick(struct member_table *table);
void member_probe_discard_all(struct member_table *table);

/* member_merge.c */

/**
 * member_merge() - take what a peer says about somebody, maybe about us
 */
void member_merge(struct member_table *table, const Peer__Member *update);

#endif
