/*
 * Membership of the fleet: a SWIM-like failure detector with heartbeats between
 * peers, combined with the platform's list of instances. Does no I/O itself.
 * See docs/design/membership.md.
 */
#ifndef MEMBER_H
#define MEMBER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "address.h"

struct clock;
struct Peer__Members;

#define MEMBER_DATAGRAM_MAX 1200 /* bytes */
#define MEMBER_PROBES 32	 /* unanswered pings that are remembered */
#define MEMBER_HEALTH_MAX 8

enum member_status {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* unresponsive; keeps its shares, gets no new work */
	MEMBER_LEAVING, /* announced that it is stopping */
	MEMBER_GONE,	/* on evidence, see @proven of struct member */
	MEMBER_NAMED,	/* known by the list or a seed only; never heard */
};

/**
 * struct member - what is known about one instance
 * @instance: its name, owned
 * @data_centre: name, owned
 * @peer_address: for other instances
 * @caller_address: for callers
 * @hash: of @instance
 * @dc_hash: of @data_centre
 * @incarnation: random number of the process; 0 while MEMBER_NAMED
 * @replaces: the previous incarnation, proven to have ended; or 0
 * @counter: raised by the member to refute suspicion
 * @status: of other members, changed by member_set_status()
 * @proven: it is MEMBER_GONE because its process ended or gave up its shares;
 *	otherwise because it was unresponsive and no longer in the list
 * @listed: the platform's list has it, at this address
 * @was_listed: value of @listed before the latest list
 * @listed_leaving: the list says that it is leaving
 * @delisted: the list had it but no longer does, and it wasn't heard since
 * @connection_refused: its peer address refused a TCP connection
 * @knows_us: it acknowledged our record
 * @capacity: CPU capacity, thousandths of a core; 0 if unknown
 * @address_only: a seed whose name is unknown, see struct member_entry
 * @released_at: once MEMBER_GONE, it can't use any share after this time,
 *	microseconds
 * @last_heard: last message from the member itself, microseconds
 * @silent_since: our probes have failed since then, microseconds; 0 if the
 *	latest one didn't
 * @since: when it was added, took @incarnation or became MEMBER_GONE,
 *	microseconds
 * @transmits_left: datagrams that still carry its record; 0 if not queued
 * @hh: by @instance
 */
struct member {
	char *instance;
	char *data_centre;
	struct address peer_address;
	struct address caller_address;
	uint64_t hash;
	uint64_t dc_hash;
	uint64_t incarnation;
	uint64_t replaces;
	uint32_t counter;
	enum member_status status;
	bool proven;
	bool listed;
	bool was_listed;
	bool listed_leaving;
	bool delisted;
	bool connection_refused;
	bool knows_us;
	uint32_t capacity;
	bool address_only;
	int64_t released_at;
	int64_t last_heard;
	int64_t silent_since;
	int64_t since;
	int transmits_left;
	UT_hash_handle hh;
};

/**
 * struct member_entry - a row of the platform's instance list, or a seed
 * @instance: its name, borrowed
 * @data_centre: name, borrowed
 * @peer_address: for other instances
 * @caller_address: for callers
 * @leaving: the list says that it is leaving
 * @address_only: a seed: only @peer_address is known, and @instance is a
 *	placeholder until the instance there has sent its name
 */
struct member_entry {
	const char *instance;
	const char *data_centre;
	struct address peer_address;
	struct address caller_address;
	bool leaving;
	bool address_only;
};

/**
 * struct member_beacon - the version of its table that a heartbeat carries
 * @table_revision: of the table in force, or of a gateway's routes; 0 if none
 * @table_digest: of the table in force
 * @table_age_ms: time since the table was last confirmed, milliseconds
 */
struct member_beacon {
	uint64_t table_revision;
	uint64_t table_digest;
	uint32_t table_age_ms;
};

/**
 * struct member_ops - callbacks for I/O and events
 * @send_datagram: send at most MEMBER_DATAGRAM_MAX bytes by UDP
 * @send_members: send a message by TCP; it is borrowed during the call. Return:
 *	whether there is a connection for it
 * @check_address: try a TCP connection to the member's peer address, and call
 *	member_table_connection_refused() if it is refused; other failures are
 *	ignored
 * @confirmed: a peer acknowledged a ping that was sent at that time,
 *	microseconds, and considers this incarnation present
 * @beacon: a heartbeat of a peer came; may be NULL
 * @random: return 64 random bits
 */
struct member_ops {
	void (*send_datagram)(void *arg, const struct address *to,
			      const void *data, size_t len);
	bool (*send_members)(void *arg, const struct address *to,
			     const struct Peer__Members *message);
	void (*check_address)(void *arg, const struct member *member);
	void (*confirmed)(void *arg, int64_t sent_at);
	void (*beacon)(void *arg, const struct member *member,
		       const struct member_beacon *beacon);
	uint64_t (*random)(void *arg);
};

/**
 * struct member_config - identity and timing of this instance
 * @instance: its name
 * @data_centre: name
 * @peer_address: for other instances
 * @caller_address: for callers
 * @incarnation: the first one; 0 to draw a random one
 * @capacity: sent to the others, see struct member
 * @probe_period: time between two pings, microseconds
 * @lease: time for which an acknowledgement allows the use of shares,
 *	microseconds
 */
struct member_config {
	const char *instance;
	const char *data_centre;
	struct address peer_address;
	struct address caller_address;
	uint64_t incarnation;
	uint32_t capacity;
	int64_t probe_period;
	int64_t lease;
};

/**
 * struct member_probe - a ping that awaits its acknowledgement
 * @sequence: identifies the ping
 * @incarnation: of this instance when the ping was sent
 * @member: its target; NULL if the slot is free
 * @sent_at: microseconds
 * @check_at: when a missing answer is acted upon, microseconds
 * @sent_self: it carried the record of this instance
 * @indirect: other members were asked to ping the target too
 * @answered: by the target or through another member
 * @relayed: it was sent on behalf of another instance
 * @origin: peer address of that instance
 * @origin_sequence: of its ping
 */
struct member_probe {
	uint64_t sequence;
	uint64_t incarnation;
	struct member *member;
	int64_t sent_at;
	int64_t check_at;
	bool sent_self;
	bool indirect;
	bool answered;
	bool relayed;
	struct address origin;
	uint64_t origin_sequence;
};

/**
 * struct member_tombstone - an incarnation that has ended
 * @incarnation: not accepted again
 * @until: when this is forgotten, microseconds
 * @hh: by @incarnation
 */
struct member_tombstone {
	uint64_t incarnation;
	int64_t until;
	UT_hash_handle hh;
};

/**
 * struct member_snapshot - all members, serialised and compressed
 * @packed: owned
 * @len: of @packed, bytes
 * @size: uncompressed, bytes
 * @version: of the table at @made_at
 * @made_at: microseconds
 */
struct member_snapshot {
	uint8_t *packed;
	size_t len;
	size_t size;
	uint64_t version;
	int64_t made_at;
};

/**
 * struct member_table - the membership of the fleet as this instance sees it
 * @clock: borrowed
 * @ops: borrowed
 * @arg: passed to @ops
 * @probe_period: microseconds
 * @lease: microseconds
 * @self: this instance; not in @members
 * @members: owned, by name of the instance
 * @tombstones: owned, by incarnation
 * @beacon: sent with each heartbeat; set by the caller
 * @snapshot: cached, to answer many requests for all members
 * @version: raised whenever a member is added, removed or changes its status
 * @digest: of @self and the members that @present counts
 * @present: number of other members that are ALIVE, SUSPECT or LEAVING
 * @health: local health, as in Lifeguard: 0 is good, up to MEMBER_HEALTH_MAX.
 *	The slower this instance is itself, the longer it waits for others
 * @list_seen: there was a list
 * @seeded: there is no list of instances, only seeds: members are learned from
 *	other members, and removed after a long silence alone
 * @list_names_self: the latest list has this instance, so that it is no older
 *	than its start
 * @complete: no instance that joined earlier is missing: a list had this
 *	instance once, or a peer that is complete sent all its members; with
 *	@seeded, any peer
 * @synced: all members were requested from a peer at least once
 * @n_local: members alive in this data centre, at the latest round
 * @suppress_updates: members being merged aren't queued for sending
 * @leaving: unused
 * @sequence: of the latest ping
 * @probes: a ring buffer
 * @next_probe_slot: index into @probes
 * @probe_order: members to ping in this round, shuffled
 * @n_probe_order: length of @probe_order
 * @cap_probe_order: allocated length of @probe_order
 * @probe_order_pos: index of the next one
 * @queued: members whose records the next datagrams carry
 * @n_queued: length of @queued
 * @cap_queued: allocated length of @queued
 * @last_acker: member that last acknowledged a ping of this incarnation
 *	directly; or NULL
 * @last_confirmed: when the ping was sent that last confirmed the lease,
 *	microseconds
 * @last_tick: microseconds
 * @next_probe: microseconds
 * @next_sync: all members aren't requested before, microseconds
 * @digest_since: latest change of a member's status or incarnation,
 *	microseconds
 * @sent_messages: number, for statistics
 * @sent_bytes: number, for statistics
 */
struct member_table {
	const struct clock *clock;
	const struct member_ops *ops;
	void *arg;
	int64_t probe_period;
	int64_t lease;
	struct member self;
	struct member *members;
	struct member_tombstone *tombstones;
	struct member_beacon beacon;
	struct member_snapshot snapshot;
	uint64_t version;
	uint64_t digest;
	int present;
	int health;
	bool list_seen;
	bool seeded;
	bool list_names_self;
	bool complete;
	bool synced;
	int n_local;
	bool suppress_updates;
	bool leaving;
	uint64_t sequence;
	struct member_probe probes[MEMBER_PROBES];
	int next_probe_slot;
	struct member **probe_order;
	int n_probe_order;
	int cap_probe_order;
	int probe_order_pos;
	struct member **queued;
	int n_queued;
	int cap_queued;
	struct member *last_acker;
	int64_t last_confirmed;
	int64_t last_tick;
	int64_t next_probe;
	int64_t next_sync;
	int64_t digest_since;
	uint64_t sent_messages;
	uint64_t sent_bytes;
};

/**
 * member_table_init() - start with this instance as the only member
 * @table: to be finished with member_table_finish()
 * @clock: outlives the table
 * @ops: outlives the table
 * @arg: passed to @ops
 * @config: copied
 */
void member_table_init(struct member_table *table, const struct clock *clock,
		       const struct member_ops *ops, void *arg,
		       const struct member_config *config);
void member_table_finish(struct member_table *table);

/**
 * member_table_set_periods() - apply changed tunables
 * @table: the membership
 * @probe_period: microseconds
 * @lease: microseconds; ignored if shorter than the current one
 */
void member_table_set_periods(struct member_table *table, int64_t probe_period,
			      int64_t lease);

/**
 * member_table_apply_list() - apply the platform's list of instances
 * @table: the membership
 * @entries: copied
 * @n: number of @entries
 *
 * Members are added, but not removed for being absent, unless they were never
 * heard.
 */
void member_table_apply_list(struct member_table *table,
			     const struct member_entry *entries, int n);

/**
 * member_table_apply_seeds() - set the addresses to find other instances at
 * @table: the membership
 * @entries: copied; with @address_only; may be stale or contain this instance
 * @n: number of @entries
 *
 * Replaces member_table_apply_list() where there is no list of instances.
 */
void member_table_apply_seeds(struct member_table *table,
			      const struct member_entry *entries, int n);

/**
 * member_table_receive_datagram() - process a datagram
 * @table: the membership
 * @from: its source address
 * @data: borrowed during the call
 * @len: bytes
 *
 * Return: 0, or ERR_FRAME if it is malformed.
 */
int member_table_receive_datagram(struct member_table *table,
				  const struct address *from, const void *data,
				  size_t len);

/**
 * member_table_receive_members() - process a Members frame
 * @table: the membership
 * @message: borrowed during the call
 */
void member_table_receive_members(struct member_table *table,
				  const struct Peer__Members *message);

/**
 * member_table_hello() - a peer identified itself on a connection
 * @table: the membership
 * @entry: borrowed during the call
 * @incarnation: of the peer
 */
void member_table_hello(struct member_table *table,
			const struct member_entry *entry, uint64_t incarnation);

/**
 * member_table_probe_now() - ping a member now instead of in its turn
 * @table: the membership
 * @instance: name of the member
 */
void member_table_probe_now(struct member_table *table, const char *instance);

/**
 * member_table_connection_refused() - a member's peer address refused a
 * connection
 * @table: the membership
 * @instance: as in check_address
 * @incarnation: of the member when the connection was tried
 *
 * This proves that the process of that incarnation has ended.
 */
void member_table_connection_refused(struct member_table *table,
				     const char *instance,
				     uint64_t incarnation);

/**
 * member_table_link_lost() - a connection to a member broke
 * @table: the membership
 * @instance: name of the member
 *
 * Checks whether the member still listens.
 */
void member_table_link_lost(struct member_table *table, const char *instance);

/**
 * member_table_leave() - announce that this instance is stopping
 * @table: the membership
 */
void member_table_leave(struct member_table *table);

/**
 * member_table_release() - announce that this instance uses no shares any more
 * @table: the membership
 *
 * The last message of a graceful stop.
 */
void member_table_release(struct member_table *table);

/**
 * member_table_tick() - run the timers; call at least 5 times a probe period
 * @table: the membership
 */
void member_table_tick(struct member_table *table);

/**
 * member_table_find() - look up a member by name
 * @table: the membership
 * @instance: name of the member
 *
 * Return: the member, owned by @table, or NULL.
 */
struct member *member_table_find(const struct member_table *table,
				 const char *instance);

/**
 * member_table_next() - iterate over the members
 * @table: the membership
 * @prev: the previous one; NULL to start
 *
 * Return: the next member, or NULL at the end.
 */
static inline const struct member *
member_table_next(const struct member_table *table, const struct member *prev)
{
	return prev ? prev->hh.next : table->members;
}

/**
 * member_present() - whether it was heard and is not gone: it may hold shares
 * @member: the member
 */
static inline bool member_present(const struct member *member)
{
	return member->status <= MEMBER_LEAVING;
}

/**
 * member_released() - whether it is gone and can no longer use any share
 * @member: the member
 * @now: microseconds
 */
static inline bool member_released(const struct member *member, int64_t now)
{
	return member->status == MEMBER_GONE && now >= member->released_at;
}

/**
 * member_status_name() - name of a status, for status pages and logs
 * @status: the status
 */
const char *member_status_name(enum member_status status);

#endif
