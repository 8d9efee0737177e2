/*
 * Replication of the table: decides which table is in force, fetches it from
 * the platform or a peer and distributes it to other peers.
 *
 * The highest revision of the platform wins. A lower one is never applied, from
 * the platform or a peer; the same revision with other content raises an alarm
 * and changes nothing. A few readers (reader.h) receive changes from the
 * platform and push row differences down a tree of their data centre
 * (table_peers.h). Instances that missed a push notice it by the revision and
 * digest in each heartbeat and pull the table.
 *
 * The module has no sockets: events are function calls, and actions are
 * callbacks in struct table_sync_ops.
 */
#ifndef TABLE_SYNC_H
#define TABLE_SYNC_H

#include "peer.pb-c.h"
#include "reader.h"
#include "table.h"
#include "table_delta.h"
#include "table_parts.h"
#include "table_peers.h"

/* Number of most recent deltas that are kept for peers. */
#define TABLE_SYNC_HISTORY 8
/* Number of refused revisions that are remembered. */
#define TABLE_SYNC_REFUSALS 8
#define TABLE_SYNC_PEER_SIZE 256
#define TABLE_SYNC_START_PEERS_MAX 16

/**
 * struct table_sync_ops - callbacks for the actions of the module
 * @call: read "table" or "instances" from the platform and pass the answer to
 *        table_sync_receive_answer()
 * @fetch_part: read another key of the platform unconditionally, without a long
 *              poll, and pass the answer to table_sync_receive_part()
 * @send_digest: send @message to @peer; it is borrowed during the call, as are
 *               those below
 * @send_request: send @message to @peer
 * @send_update: send @message to @peer
 * @in_force: a new table is in force; the callee takes ownership of @table,
 *            which is on the heap, and must keep it until the next call, as
 *            the module goes on using it
 * @instances: the platform returned the list of instances; @text is unparsed
 *
 * A callback must not call functions of the module. Messages may be lost.
 */
struct table_sync_ops {
	void (*call)(void *ctx, const struct reader_call *call);
	void (*fetch_part)(void *ctx, const char *key, uint64_t id);
	void (*send_digest)(void *ctx, const char *peer,
			    const Peer__TableDigest *message);
	void (*send_request)(void *ctx, const char *peer,
			     const Peer__TableRequest *message);
	void (*send_update)(void *ctx, const char *peer,
			    const Peer__TableUpdate *message);
	void (*in_force)(void *ctx, struct table *table);
	void (*instances)(void *ctx, struct str text, uint64_t revision);
};

/**
 * struct platform_answer - result of a call on the platform
 * @code: 0; or ERR_KEY_MISSING (404), ERR_BUDGET (429), ERR_UNAVAILABLE (503),
 *        or another error if the call failed
 * @newer: valid if @code is 0: true if @text holds a value, false if there is
 *         nothing newer (304)
 * @revision: revision of @text
 * @text: value, borrowed
 * @retry_after_ms: pause that the platform asked for, 0 if none
 */
struct platform_answer {
	int code;
	bool newer;
	uint64_t revision;
	struct str text;
	int64_t retry_after_ms;
};

enum table_alarm {
	TABLE_ALARM_REFUSED,	     /* a newer table is invalid */
	TABLE_ALARM_CONFLICT,	     /* one revision, two contents */
	TABLE_ALARM_PLATFORM_BEHIND, /* the platform has a lower revision */
	TABLE_ALARM_PARTS,	     /* reading the parts of a table failed */
	TABLE_ALARM_UNCONFIRMED,     /* not confirmed lately */
	TABLE_ALARMS,
};

extern const char *const table_alarm_names[];

/**
 * struct table_alarm_state - state of one alarm
 * @active: raised and not cleared
 * @since: time at which it became active, microseconds
 * @count: how often it was raised
 * @revision: revision that caused it
 */
struct table_alarm_state {
	bool active;
	int64_t since;
	uint64_t count;
	uint64_t revision;
};

/* Whether the table in force is confirmed to be the newest; if not, why. */
enum table_confirmation {
	TABLE_CONFIRMED,
	TABLE_NONE,		/* there is no table */
	TABLE_NEVER_CONFIRMED,	/* not since the start */
	TABLE_CONFIRMATION_OLD, /* too long ago */
	TABLE_OVERTAKEN,	/* a peer has a higher revision */
	TABLE_PLATFORM_BEHIND,	/* the platform has a lower revision */
};

extern const char *const table_confirmation_names[];

/**
 * struct table_refusal - revision that was refused, and why
 * @revision: refused revision
 * @digest: digest of the refused content; 0 if a peer refused it
 * @error: validation error
 * @from: peer that refused it; empty if this instance did
 */
struct table_refusal {
	uint64_t revision;
	uint64_t digest;
	struct error error;
	char from[TABLE_SYNC_PEER_SIZE];
};

/**
 * struct table_pull - pending pull of a newer revision from a peer
 * @revision: revision to pull; 0 if there is no pull
 * @digest: digest of that table
 * @peer: peer that has the revision
 * @fallback: another peer that has it, or empty
 * @next_at: when to send the request, or when it times out; microseconds
 * @requested: the request was sent and the update is awaited until @next_at
 * @needs_full_text: request the full text, as a delta failed
 */
struct table_pull {
	uint64_t revision;
	uint64_t digest;
	char peer[TABLE_SYNC_PEER_SIZE];
	char fallback[TABLE_SYNC_PEER_SIZE];
	int64_t next_at;
	bool requested;
	bool needs_full_text;
};

/**
 * struct table_sync_counts - event counters since the start
 * @calls: calls on the platform
 * @in_force: tables that were put in force
 * @by_delta: of these, tables received from a peer as a delta
 * @refused: invalid tables
 * @stale: answers of the platform with a lower revision
 * @conflicts: other contents seen under the revision in force
 * @pushes: deltas, or digests in their place, sent to children in the tree
 * @pulls: requests sent to peers
 * @pull_timeouts: requests that were not answered in time
 * @full_sent: updates sent as the full text
 */
struct table_sync_counts {
	uint64_t calls;
	uint64_t in_force;
	uint64_t by_delta;
	uint64_t refused;
	uint64_t stale;
	uint64_t conflicts;
	uint64_t pushes;
	uint64_t pulls;
	uint64_t pull_timeouts;
	uint64_t full_sent;
};

/**
 * struct table_sync - replication state of one instance
 * @clock: borrowed
 * @ops: borrowed
 * @ctx: passed to @ops
 * @defaults: tunables in use while there is no table
 * @reader: schedules the calls on the platform
 * @peers: distribution tree
 * @in_force: table in force, owned by the owner of @ops; NULL if there is none
 * @raw_digest: digest of the platform's value that @in_force was parsed from
 * @in_force_at: when @in_force was put in force
 * @confirmed_at: when the platform last had nothing newer; -1 if never
 * @platform_behind_at: when the platform last returned a lower revision
 * @platform_revision: last revision returned by the platform, unless lower than
 *                     the one in force
 * @last_tick: time of the last table_sync_tick()
 * @processed_until: all messages received by then were processed
 * @started_at: time of table_sync_init()
 * @next_start_query: when to ask peers for their revision during the start
 * @next_digest_exchange: when to compare revisions with a random peer
 * @serving: the start is over, see table_sync_ready()
 * @start_peers: hashes of the names of the first peers that sent a message
 * @n_start_peers: number of @start_peers
 * @pull: pending pull
 * @parts: parts of a newer table that are being fetched; NULL if there are none
 * @last_parts: parts of the last table that was split, for reuse
 * @part_call_id: call that fetches the current part
 * @manifest_call_id: call that returned the manifest of @parts
 * @manifest_digest: digest of that manifest
 * @platform_refused_revision: refused revision that the platform has now, 0 if
 *                             none
 * @refusals: ring buffer of what this instance refused lately
 * @next_refusal: next slot in @refusals
 * @highest_refusal: refusal of the highest revision, by this instance or a peer
 * @conflict_digest: digest of the other content under the revision in force
 * @history: ring buffer of the deltas that led to the table in force
 * @next_history: next slot in @history
 * @list_revision: revision of the list of instances, sent with each digest; set
 *                 by the owner, see list_sync.h
 * @list_digest: digest of that list; set by the owner
 * @alarms: by enum table_alarm
 * @counts: event counters
 *
 * All times are in microseconds of @clock.
 */
struct table_sync {
	const struct clock *clock;
	const struct table_sync_ops *ops;
	void *ctx;
	struct tunables defaults;
	struct reader reader;
	struct table_peers peers;
	struct table *in_force;
	uint64_t raw_digest;
	int64_t in_force_at;
	int64_t confirmed_at;
	int64_t platform_behind_at;
	uint64_t platform_revision;
	int64_t last_tick;
	int64_t processed_until;
	int64_t started_at;
	int64_t next_start_query;
	int64_t next_digest_exchange;
	bool serving;
	uint64_t start_peers[TABLE_SYNC_START_PEERS_MAX];
	int n_start_peers;
	struct table_pull pull;
	struct table_parts *parts;
	struct table_parts last_parts;
	uint64_t part_call_id;
	uint64_t manifest_call_id;
	uint64_t manifest_digest;
	uint64_t platform_refused_revision;
	struct table_refusal refusals[TABLE_SYNC_REFUSALS];
	int next_refusal;
	struct table_refusal highest_refusal;
	uint64_t conflict_digest;
	struct table_delta history[TABLE_SYNC_HISTORY];
	int next_history;
	uint64_t list_revision;
	uint64_t list_digest;
	struct table_alarm_state alarms[TABLE_ALARMS];
	struct table_sync_counts counts;
};

/**
 * table_sync_init() - initialize the state of an instance without a table
 * @sync: release with table_sync_finish()
 * @clock: borrowed
 * @instance: name of this instance; copied
 * @data_centre: data centre of this instance; copied
 * @ops: borrowed
 * @ctx: passed to @ops
 * @seed: seed of the random numbers, for jitter
 */
void table_sync_init(struct table_sync *sync, const struct clock *clock,
		     const char *instance, const char *data_centre,
		     const struct table_sync_ops *ops, void *ctx,
		     uint64_t seed);
void table_sync_finish(struct table_sync *sync);

/**
 * table_sync_tick() - run timed actions; call at least every 100 ms
 * @sync: state
 */
void table_sync_tick(struct table_sync *sync);

/**
 * table_sync_set_members() - set the members of the fleet
 * @sync: recomputes the distribution tree and the readers
 * @members: instances that are not gone, with or without this one; copied
 * @n: number of @members
 */
void table_sync_set_members(struct table_sync *sync,
			    const struct table_member *members, int n);

/**
 * table_sync_receive_answer() - process the result of a call on the platform
 * @sync: state
 * @key: key that was read
 * @id: id of the call; results of other calls than the pending one are ignored
 * @answer: borrowed
 */
void table_sync_receive_answer(struct table_sync *sync, enum reader_key key,
			       uint64_t id,
			       const struct platform_answer *answer);

/**
 * table_sync_receive_part() - process the result of fetch_part()
 * @sync: state
 * @id: id of the call; results of other calls than the pending one are ignored
 * @answer: borrowed
 */
void table_sync_receive_part(struct table_sync *sync, uint64_t id,
			     const struct platform_answer *answer);

/**
 * table_sync_receive_heartbeat() - process the table state in a heartbeat
 * @sync: state
 * @peer: sender
 * @revision: revision of the peer's table, 0 if it has none
 * @digest: digest of that table
 * @age_ms: see TableDigest in peer.proto
 */
void table_sync_receive_heartbeat(struct table_sync *sync, const char *peer,
				  uint64_t revision, uint64_t digest,
				  uint32_t age_ms);

/**
 * table_sync_receive_digest() - process the table state in a digest message
 * @sync: state; a digest is sent back if @peer asked for it or lags
 * @peer: sender
 * @message: borrowed
 */
void table_sync_receive_digest(struct table_sync *sync, const char *peer,
			       const Peer__TableDigest *message);

/**
 * table_sync_receive_request() - answer a peer's request for the table in force
 * @sync: state
 * @peer: sender
 * @message: borrowed; a delta is sent if the history reaches back to the
 *           revision in it, otherwise the full text
 */
void table_sync_receive_request(struct table_sync *sync, const char *peer,
				const Peer__TableRequest *message);

/**
 * table_sync_receive_update() - process a table sent by a peer
 * @sync: state
 * @peer: sender
 * @message: full text or delta; borrowed
 *
 * Return: 0 if the table is in force now; otherwise the table in force is
 * unchanged: ERR_STALE if the update is not newer or was refused before,
 * ERR_CONFLICT, ERR_VERSION (a delta with another base; another update was
 * requested), ERR_PROTOCOL, or an error of table_init().
 */
int table_sync_receive_update(struct table_sync *sync, const char *peer,
			      const Peer__TableUpdate *message);

/**
 * table_sync_ready() - check whether this instance may serve
 * @sync: state
 *
 * Return: 0; ERR_NOT_RUN while it has no table, or has just started and has not
 * received answers from the platform and enough peers.
 */
int table_sync_ready(const struct table_sync *sync);

/**
 * table_sync_age() - return the time since the table was last confirmed
 * @sync: state
 *
 * Return: microseconds, or -1 if it never was.
 */
int64_t table_sync_age(const struct table_sync *sync);

/**
 * table_sync_age_ms() - return the age as sent to peers, see TableDigest
 * @sync: state
 */
uint32_t table_sync_age_ms(const struct table_sync *sync);

/**
 * table_sync_confirmation() - return whether the table is confirmed
 * @sync: state
 *
 * Return: TABLE_CONFIRMED, or why the table is unconfirmed.
 */
enum table_confirmation table_sync_confirmation(const struct table_sync *sync);

#endif
