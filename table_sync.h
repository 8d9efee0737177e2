/*
 * Which table is in force, from where it comes and to whom it goes.
 *
 * The highest revision of the platform wins. A lower one is never taken, from
 * the platform or a peer; the same revision with other content is an alarm and
 * changes nothing. A few readers (reader.h) get changes from the platform and
 * push them as row differences down a tree of their data centre
 * (table_peers.h); what is lost on the way is repaired by the revision and
 * digest in each heartbeat.
 *
 * The module has no sockets: events come in as calls, actions go out through
 * struct table_sync_ops.
 */
#ifndef TABLE_SYNC_H
#define TABLE_SYNC_H

#include "peer.pb-c.h"
#include "reader.h"
#include "table.h"
#include "table_delta.h"
#include "table_parts.h"
#include "table_peers.h"

/* Row differences of so many last revisions are kept for peers. */
#define TABLE_SYNC_HISTORY 8
/* Refused revisions that are remembered. */
#define TABLE_SYNC_REFUSALS 8
#define TABLE_SYNC_PEER_SIZE 256
#define TABLE_SYNC_START_PEERS_MAX 16

/**
 * struct table_sync_ops - what the module wants done
 * @call: read "table" or "instances" from the platform; the answer goes to
 *        table_sync_receive_answer()
 * @fetch_part: read another key of the platform, whole and without waiting;
 *              the answer goes to table_sync_receive_part()
 * @send_digest: to the peer; messages are borrowed during the call
 * @send_request: to the peer
 * @send_update: to the peer
 * @in_force: takes over @table, which is on the heap; the module goes on using
 *            it until the next one
 * @instances: the platform's list of instances, as it came
 *
 * None of them may call back into the module before it returns. Messages may
 * be lost.
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
 * struct platform_answer - what came of a call on the platform
 * @code: 0; or ERR_KEY_MISSING (404), ERR_BUDGET (429), ERR_UNAVAILABLE (503),
 *        or why the call failed
 * @newer: with code 0: @text is a value; else there was nothing newer (304)
 * @revision: of @text
 * @retry_after_ms: as the platform asked, 0 if it did not
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
	TABLE_ALARM_CONFLICT,	     /* same revision, other content */
	TABLE_ALARM_PLATFORM_BEHIND, /* the platform shows a lower revision */
	TABLE_ALARM_PARTS,	     /* parts of a newer table are missing */
	TABLE_ALARM_UNCONFIRMED,     /* nobody heard from the platform lately */
	TABLE_ALARMS,
};

extern const char *const table_alarm_names[];

/**
 * struct table_alarm_state - one alarm
 * @since: when it was raised, microseconds
 * @count: times it was raised
 * @revision: that it is about
 */
struct table_alarm_state {
	bool active;
	int64_t since;
	uint64_t count;
	uint64_t revision;
};

enum table_confirmation {
	TABLE_CONFIRMED,
	TABLE_NONE,	      /* there is no table */
	TABLE_UNHEARD,	      /* never confirmed since the start */
	TABLE_OLD,	      /* the last confirmation is too old */
	TABLE_OVERTAKEN,      /* a peer has a higher revision */
	TABLE_PLATFORM_LOWER, /* the platform has a lower revision */
};

extern const char *const table_confirmation_names[];

/**
 * struct table_refusal - why a revision was refused
 * @digest: of what was refused; 0 if a peer refused it
 * @from: the peer that refused it; empty: this instance
 */
struct table_refusal {
	uint64_t revision;
	uint64_t digest;
	struct error error;
	char from[TABLE_SYNC_PEER_SIZE];
};

/**
 * struct table_want - a revision that a peer has and this instance lacks
 * @peer: who has it
 * @other: another one who has it, or empty
 * @at: when to ask
 * @asked: the answer is awaited until @at
 */
struct table_want {
	uint64_t revision;
	uint64_t digest;
	char peer[TABLE_SYNC_PEER_SIZE];
	char other[TABLE_SYNC_PEER_SIZE];
	int64_t at;
	bool asked;
	bool whole;
};

/**
 * struct table_sync_counts - what happened since the start
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
	uint64_t whole_sent;
};

/**
 * struct table_sync - the state of one instance
 * @in_force: NULL if there is none
 * @raw_digest: of the platform's value that @in_force was read from
 * @confirmed_at: when the platform last had nothing newer; -1: never
 * @behind_at: when the platform last showed a lower revision
 * @platform_shown: revision that the platform showed last
 * @settled_at: all that had come in by then was handled
 * @serving: the start is over, see table_sync_ready()
 * @heard: hashes of the first peers heard since the start
 * @parts: of a newer table, while they are collected
 * @last_parts: of the last table that came in parts
 * @parts_call_id: the call that gave their manifest
 * @parts_digest: of that manifest
 * @platform_refused: refused revision that the platform has now, 0 if none
 * @refusals: what this instance refused lately
 * @refused: the highest refusal, of this instance or heard from a peer
 * @conflict_digest: the other content under the revision in force
 * @list_revision: of the list of instances, told with each digest; set by the
 *                 owner, see list_sync.h
 * @list_digest: of that list; set by the owner
 * @history: differences that led to the table in force
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
	int64_t behind_at;
	uint64_t platform_shown;
	int64_t last_tick;
	int64_t settled_at;
	int64_t started_at;
	int64_t next_hello;
	int64_t next_compare;
	bool serving;
	uint64_t heard[TABLE_SYNC_START_PEERS_MAX];
	int n_heard;
	struct table_want want;
	struct table_parts *parts;
	struct table_parts last_parts;
	uint64_t part_id;
	uint64_t parts_call_id;
	uint64_t parts_digest;
	uint64_t platform_refused;
	struct table_refusal refusals[TABLE_SYNC_REFUSALS];
	int next_refusal;
	struct table_refusal refused;
	uint64_t conflict_digest;
	struct table_delta history[TABLE_SYNC_HISTORY];
	int next_history;
	uint64_t list_revision;
	uint64_t list_digest;
	struct table_alarm_state alarms[TABLE_ALARMS];
	struct table_sync_counts counts;
};

/**
 * table_sync_init() - an instance that has no table
 * @ops: borrowed, with @ctx
 * @seed: for jitter
 */
void table_sync_init(struct table_sync *sync, const struct clock *clock,
		     const char *instance, const char *data_centre,
		     const struct table_sync_ops *ops, void *ctx,
		     uint64_t seed);
void table_sync_finish(struct table_sync *sync);

/**
 * table_sync_tick() - do what is due; call it every 100 ms or oftener
 */
void table_sync_tick(struct table_sync *sync);

/**
 * table_sync_set_members() - the fleet as membership knows it
 * @members: instances that are not gone, with or without this one
 */
void table_sync_set_members(struct table_sync *sync,
			    const struct table_member *members, int n);

/**
 * table_sync_receive_answer() - the platform answered a call, or it failed
 */
void table_sync_receive_answer(struct table_sync *sync, enum reader_key key,
			       uint64_t id,
			       const struct platform_answer *answer);
void table_sync_receive_part(struct table_sync *sync, uint64_t id,
			     const struct platform_answer *answer);

/**
 * table_sync_receive_heartbeat() - a peer's heartbeat told its table
 * @revision: 0 if it has none
 * @age_ms: see TableDigest in peer.proto
 */
void table_sync_receive_heartbeat(struct table_sync *sync, const char *peer,
				  uint64_t revision, uint64_t digest,
				  uint32_t age_ms);
void table_sync_receive_digest(struct table_sync *sync, const char *peer,
			       const Peer__TableDigest *message);
void table_sync_receive_request(struct table_sync *sync, const char *peer,
				const Peer__TableRequest *message);

/**
 * table_sync_receive_update() - a peer sent a table
 *
 * Return: 0 if it is in force now; ERR_STALE for one that is not newer;
 * ERR_CONFLICT, ERR_VERSION (another base: asked for anew), ERR_PROTOCOL, or
 * an error of table_init(), with the table in force unchanged.
 */
int table_sync_receive_update(struct table_sync *sync, const char *peer,
			      const Peer__TableUpdate *message);

/**
 * table_sync_ready() - whether this instance may serve
 *
 * Return: 0; ERR_NOT_RUN while it has no table, or is new and has not yet
 * heard from the platform and enough peers.
 */
int table_sync_ready(const struct table_sync *sync);

/**
 * table_sync_age() - time since the table was last confirmed to be the newest
 *
 * Return: microseconds, or -1 if it never was.
 */
int64_t table_sync_age(const struct table_sync *sync);

/**
 * table_sync_age_ms() - the age as peers are told, see TableDigest
 */
uint32_t table_sync_age_ms(const struct table_sync *sync);

/**
 * table_sync_confirmation() - why the table is unconfirmed; TABLE_CONFIRMED if
 * it is
 */
enum table_confirmation table_sync_confirmation(const struct table_sync *sync);

#endif
