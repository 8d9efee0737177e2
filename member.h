/*
 * Membership of the fleet: who is there, by the platform's list and by
 * heartbeats between peers. Decides without sockets. See
 * docs/design/membership.md.
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

#define MEMBER_DATAGRAM_MAX 1200
#define MEMBER_PROBES 32
#define MEMBER_HEALTH_MAX 8

enum member_status {
	MEMBER_ALIVE,
	MEMBER_SUSPECT, /* silent; keeps its shares, gets no new work */
	MEMBER_LEAVING, /* announced its stop */
	MEMBER_GONE,	/* on evidence, see struct member */
	MEMBER_NAMED,	/* by the platform's list; never heard */
};

/**
 * struct member - what is known of one instance
 * @incarnation: of the process; 0 while MEMBER_NAMED
 * @replaces: the incarnation before, proven to have ended; or 0
 * @counter: raised by the member to refute suspicion
 * @proven: MEMBER_GONE because the process ended or gave up its shares; else
 *	because it was silent and the list dropped it
 * @released_at: from then on a MEMBER_GONE surely uses no share, microseconds
 * @listed: the platform's list names it at this address
 * @was_listed: before the last list
 * @listed_leaving: and says that it is leaving
 * @dropped: the list named it and does so no more, and it was not heard since
 * @refused: a connection to its peer address was
 * @knows_us: it acknowledged our record
 * @capacity: processor time it has, thousandths of a core; 0: not known
 * @address_only: a seed whose name is not known, see struct member_entry
 * @last_heard: last word from itself, microseconds
 * @silent_since: own probes fail since then; 0 if they do not
 * @since: when it came into the table, microseconds
 */
struct member {
	char *instance;
	char *data_centre;
	struct address peer_address;
	struct address caller_address;
	uint64_t hash;	  /* of the instance's name */
	uint64_t dc_hash; /* of the data centre's name */
	uint64_t incarnation;
	uint64_t replaces;
	uint32_t counter;
	enum member_status status;
	bool proven;
	bool listed;
	bool was_listed;
	bool listed_leaving;
	bool dropped;
	bool refused;
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
 * @address_only: a seed: only @peer_address is known, @instance is a
 *	placeholder until the instance there tells its name
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
 * struct member_beacon - what heartbeats carry of the table in force
 */
struct member_beacon {
	uint64_t table_revision;
	uint64_t table_digest;
	uint32_t table_age_ms;
};

/**
 * struct member_ops - what the membership wants done
 * @send_datagram: by UDP, of at most MEMBER_DATAGRAM_MAX bytes
 * @send_members: by TCP; the message is borrowed during the call. Return:
 *	whether there is a connection for it
 * @check_address: try a TCP connection to the member's peer address and call
 *	member_table_connection_refused() if it is refused; nothing on other
 *failures
 * @confirmed: a peer acknowledged a ping sent at that time and holds this
 *	incarnation for present
 * @beacon: a peer told its table; may be NULL
 * @random: 64 random bits
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
 * struct member_config - who this instance is and its periods
 * @incarnation: the first one; 0: draw one
 * @capacity: told to the others, see struct member
 * @probe_period: microseconds
 * @lease: microseconds
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

/* A ping that waits for its acknowledgement. */
struct member_probe {
	uint64_t sequence;
	uint64_t incarnation; /* ours, when it was sent */
	struct member *member;
	int64_t sent_at;
	int64_t judge_at;
	bool told_self; /* our own record was in it */
	bool indirect;	/* others were asked to ping */
	bool answered;
	bool relayed; /* on behalf of another */
	struct address origin;
	uint64_t origin_sequence;
};

/* An incarnation that must not come back. */
struct member_tombstone {
	uint64_t incarnation;
	int64_t until;
	UT_hash_handle hh;
};

/**
 * struct member_snapshot - all members, packed to be told
 * @size: bytes unpacked
 * @version: of the table when it was made
 */
struct member_snapshot {
	uint8_t *packed;
	size_t len;
	size_t size;
	uint64_t version;
	int64_t made_at;
};

/**
 * struct member_table - the membership of the fleet as seen here
 * @self: this instance; not among @members
 * @members: by name of the instance
 * @version: raised whenever a member came, went or changed its status
 * @present: others that are ALIVE, SUSPECT or LEAVING
 * @digest: of those and of @self
 * @list_names_self: the last list did, so that it is no older than our start
 * @complete: nobody who came before us is missing: a list named us once, or a
 *	peer that is complete told us all it knows
 * @seeded: there is no list of instances but seeds; members come by news, and
 *	go by a long silence alone
 * @health: 0 is well, up to MEMBER_HEALTH_MAX: how slow we judge others for
 *	being slow ourselves
 * @beacon: sent with each heartbeat; set by the caller
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
	struct member_snapshot list;
	uint64_t version;
	uint64_t digest;
	int present;
	int health;
	bool list_seen;
	bool seeded;
	bool list_names_self;
	bool complete;
	bool synced;
	int n_near; /* alive in this data centre, at the last round */
	bool quiet; /* merging what needs no spreading */
	bool leaving;
	uint64_t sequence;
	struct member_probe probes[MEMBER_PROBES];
	int next_probe_slot;
	struct member **order;
	int n_order;
	int cap_order;
	int at_order;
	struct member **hot; /* members with news to spread */
	int n_hot;
	int cap_hot;
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
 * member_table_init() - start with nobody but this instance
 * @clock: outlives the table
 * @ops: outlives the table
 * @arg: handed to @ops
 * @config: copied
 */
void member_table_init(struct member_table *table, const struct clock *clock,
		       const struct member_ops *ops, void *arg,
		       const struct member_config *config);
void member_table_finish(struct member_table *table);

/**
 * member_table_set_periods() - take changed tunables
 * @probe_period: microseconds
 * @lease: microseconds; a shorter one than before is not taken
 */
void member_table_set_periods(struct member_table *table, int64_t probe_period,
			      int64_t lease);

/**
 * member_table_apply_list() - the platform's instance list came
 */
void member_table_apply_list(struct member_table *table,
			     const struct member_entry *entries, int n);

/**
 * member_table_apply_seeds() - the only instances that are known from outside
 * @entries: with @address_only; may be stale or name this instance
 *
 * In place of member_table_apply_list(), where there is no list of instances.
 */
void member_table_apply_seeds(struct member_table *table,
			      const struct member_entry *entries, int n);

/**
 * member_table_receive_datagram() - a datagram came
 * @from: its source
 *
 * Return: 0, or ERR_FRAME if it is malformed.
 */
int member_table_receive_datagram(struct member_table *table,
				  const struct address *from, const void *data,
				  size_t len);

/**
 * member_table_receive_members() - a Members frame came
 */
void member_table_receive_members(struct member_table *table,
				  const struct Peer__Members *message);

/**
 * member_table_hello() - a peer introduced itself on a connection
 */
void member_table_hello(struct member_table *table,
			const struct member_entry *entry, uint64_t incarnation);

/**
 * member_table_probe_now() - ask a member for a heartbeat now, not by its turn
 */
void member_table_probe_now(struct member_table *table, const char *instance);

/**
 * member_table_connection_refused() - nobody listens at a member's peer address
 * @instance: as in check_address
 * @incarnation: as it was when the connection was tried
 */
void member_table_connection_refused(struct member_table *table,
				     const char *instance,
				     uint64_t incarnation);

/**
 * member_table_link_lost() - a connection to a member broke; look what it means
 */
void member_table_link_lost(struct member_table *table, const char *instance);

/**
 * member_table_leave() - announce that this instance is stopping
 */
void member_table_leave(struct member_table *table);

/**
 * member_table_release() - announce that it uses no share any more; the last
 * word of a graceful stop
 */
void member_table_release(struct member_table *table);

/**
 * member_table_tick() - time passed; call at least 5 times a probe period
 */
void member_table_tick(struct member_table *table);

/**
 * member_table_find() - the member of that name, or NULL
 */
struct member *member_table_find(const struct member_table *table,
				 const char *instance);

static inline const struct member *
member_table_next(const struct member_table *table, const struct member *prev)
{
	return prev ? prev->hh.next : table->members;
}

/**
 * member_present() - heard, and not gone: it may hold shares
 */
static inline bool member_present(const struct member *member)
{
	return member->status <= MEMBER_LEAVING;
}

/**
 * member_released() - gone, and surely using no share any more
 */
static inline bool member_released(const struct member *member, int64_t now)
{
	return member->status == MEMBER_GONE && now >= member->released_at;
}

/**
 * member_status_name() - for status and logs
 */
const char *member_status_name(enum member_status status);

#endif
