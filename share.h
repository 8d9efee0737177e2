/*
 * Shares: the part of each backend server's slots and connections that this
 * instance may use. The instances that hold a share of a server are its homes;
 * rendezvous hashing selects them from a view, i.e. a set of members. A new
 * view comes into force only when all instances concerned have agreed on it, so
 * that the sum of all shares stays within the server's limits. Performs no I/O.
 * See docs/design/shares.md.
 */
#ifndef SHARE_H
#define SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

struct clock;
struct Peer__ViewState;
struct member;
struct member_table;
struct table;

#define SHARE_HOMES 2  /* most homes of a server */
#define SHARE_VIEWS 16 /* most unsettled views that are kept */

/**
 * struct quota - a part of a backend server's limits
 * @slots: requests that may run at once
 * @connections: connections that may be open
 */
struct quota {
	int slots;
	int connections;
};

/**
 * struct share_holder - a member of a view
 * @hash: of the instance's name
 * @incarnation: of the process
 */
struct share_holder {
	uint64_t hash;
	uint64_t incarnation;
};

/**
 * struct share_view - the members that hold the shares of one data centre
 * @digest: of @holders, independent of their order
 * @holders: owned
 * @n: entries in @holders
 * @has_self: this instance is one of @holders
 */
struct share_view {
	uint64_t digest;
	struct share_holder *holders;
	int n;
	bool has_self;
};

/**
 * struct share_peer - the last ViewState of another instance
 * @incarnation: of its process
 * @instance: its name, owned
 * @required: it may hold shares under one of our views, so it has to agree
 * @digest: of its target view
 * @generation: of its state, see struct share_pool
 * @echo: our generation that it received last
 * @drained: see struct share_pool
 * @settled: see struct share_pool
 * @established: see struct share_pool
 * @wants_reply: it waits for our state
 * @sent_state_hash: hash of the state that was sent to it last
 * @sent_at: when that was sent, microseconds
 * @hh: in struct share_pool.peers
 */
struct share_peer {
	uint64_t incarnation;
	char *instance;
	bool required;
	uint64_t digest;
	uint64_t generation;
	uint64_t echo;
	bool drained;
	bool settled;
	bool established;
	bool wants_reply;
	uint64_t sent_state_hash;
	int64_t sent_at;
	UT_hash_handle hh;
};

/**
 * struct share_pool - the shares of one data centre's backend servers
 * @data_centre: name, owned
 * @dc_hash: of @data_centre
 * @views: all views that may still be in force in some instance; the last is
 *	the target view
 * @n_views: entries in @views
 * @views_dropped: views had to be dropped: more than SHARE_VIEWS were unsettled
 * @suspended: no share may be used: the process has just started or its lease
 *	expired, or it is in none of the views
 * @in_force: the target view is in force here
 * @established: a target view has come into force since @suspended was set
 * @drained: no more is in use than all of @views allow
 * @settled: all required peers are drained, too
 * @dirty: a state arrived or the target view changed since the last
 *	share_pool_settle()
 * @generation: raised when the target view changes or the pool is suspended;
 *	@drained and @settled start anew
 * @peers: by incarnation, owned
 * @hh: in struct share.pools
 */
struct share_pool {
	char *data_centre;
	uint64_t dc_hash;
	struct share_view views[SHARE_VIEWS];
	int n_views;
	bool views_dropped;
	bool suspended;
	bool in_force;
	bool established;
	bool drained;
	bool settled;
	bool dirty;
	uint64_t generation;
	struct share_peer *peers;
	UT_hash_handle hh;
};

/**
 * struct share_row - one backend server of the table in force
 * @hash: of the server's name
 * @pool: of the server's data centre
 * @limit: of the server, for all instances together
 * @target: share under the target view
 * @cap: least share under any of the pool's views
 * @used: what this instance uses now
 */
struct share_row {
	uint64_t hash;
	struct share_pool *pool;
	struct quota limit;
	struct quota target;
	struct quota cap;
	struct quota used;
};

/**
 * struct share_ops - callbacks
 * @send_view: send a message by TCP; @message is valid during the call only
 * @changed: some shares may have changed; may be NULL
 * @report: call share_report_usage() for each server in use, before returning;
 *	may be NULL if each change of usage is reported at once
 */
struct share_ops {
	void (*send_view)(void *arg, const struct member *to,
			  const struct Peer__ViewState *message);
	void (*changed)(void *arg);
	void (*report)(void *arg);
};

struct share;

/**
 * struct share_rule - decides when a share may be used
 * @name: for reports
 * @usable: the share that may be used now
 *
 * Instances use share_settled. share_naive, where each instance trusts its own
 * view, is the baseline of tests and benchmarks.
 */
struct share_rule {
	const char *name;
	struct quota (*usable)(const struct share *share,
			       const struct share_row *row);
};

extern const struct share_rule share_settled;
extern const struct share_rule share_naive;

/**
 * struct share - the shares of this instance
 * @clock: not owned
 * @members: not owned
 * @ops: not owned
 * @rule: when a share may be used
 * @arg: first argument of each callback
 * @lease: microseconds
 * @lease_confirmed_at: when the latest acknowledged ping was sent; the lease
 *	runs from then, microseconds
 * @started_at: when this incarnation began or its lease last expired,
 *	microseconds
 * @last_tick: microseconds
 * @incarnation: of this process, as last seen in @members
 * @members_version: version of @members that the views follow from
 * @generation: the highest of all pools
 * @pools: by data centre, owned
 * @rows: by row of the table's sheet "servers", owned
 * @n_rows: entries in @rows
 * @home_changes: times that this instance became a home of a server or ceased
 *	to be one, under the target views
 * @sent_messages: number, for statistics
 * @sent_bytes: number, for statistics
 */
struct share {
	const struct clock *clock;
	const struct member_table *members;
	const struct share_ops *ops;
	const struct share_rule *rule;
	void *arg;
	int64_t lease;
	int64_t lease_confirmed_at;
	int64_t started_at;
	int64_t last_tick;
	uint64_t incarnation;
	uint64_t members_version;
	uint64_t generation;
	struct share_pool *pools;
	struct share_row *rows;
	int n_rows;
	uint64_t home_changes;
	uint64_t sent_messages;
	uint64_t sent_bytes;
};

/**
 * share_init() - start without any share
 * @share: to be finished with share_finish()
 * @clock: outlives the share
 * @members: outlives the share; every call here looks for its changes
 * @ops: outlives the share
 * @arg: first argument of each callback
 * @lease: microseconds; the same in all instances
 * @rule: outlives the share
 */
void share_init(struct share *share, const struct clock *clock,
		const struct member_table *members, const struct share_ops *ops,
		void *arg, int64_t lease, const struct share_rule *rule);

/**
 * share_finish() - free all memory
 * @share: the shares
 */
void share_finish(struct share *share);

/**
 * share_set_lease() - change the duration of the lease
 * @share: the shares
 * @lease: microseconds
 */
void share_set_lease(struct share *share, int64_t lease);

/**
 * share_table_changed() - apply a new table
 * @share: the shares
 * @table: not kept
 *
 * The rows of @share are those of the table's sheet "servers". Reported usage
 * is carried over by the server's name.
 */
void share_table_changed(struct share *share, const struct table *table);

/**
 * share_receive_view_state() - process a ViewState frame of a peer
 * @share: the shares
 * @state: not kept
 */
void share_receive_view_state(struct share *share,
			      const struct Peer__ViewState *state);

/**
 * share_report_usage() - set what this instance uses of a server
 * @share: the shares
 * @row: of the server
 * @slots: running requests
 * @connections: open connections
 */
void share_report_usage(struct share *share, int row, int slots,
			int connections);

/**
 * share_confirm_lease() - renew the lease: a peer confirmed that this instance
 * is present
 * @share: the shares
 * @sent_at: when the confirmed ping was sent, microseconds
 */
void share_confirm_lease(struct share *share, int64_t sent_at);

/**
 * share_tick() - periodic work; to be called at least 5 times a probe period
 * @share: the shares
 */
void share_tick(struct share *share);

/**
 * share_slots() - requests of this instance that may run at the server at once
 * @share: the shares
 * @row: of the server
 *
 * To be checked before each request is sent: the lease may have expired while
 * the process was suspended.
 */
int share_slots(struct share *share, int row);

/**
 * share_connections() - connections of this instance that may be open to the
 * server
 * @share: the shares
 * @row: of the server
 *
 * 0 without a valid lease: no connection may be opened then. Open ones may be
 * kept, unused, until the lease is renewed or the share withdrawn.
 */
int share_connections(struct share *share, int row);

/**
 * share_lease_valid() - whether the lease runs; no share is usable without it
 * @share: the shares
 */
bool share_lease_valid(struct share *share);

/**
 * share_drained() - whether no more is in use than the shares allow
 * @share: the shares
 *
 * After member_table_leave() it tells that all shares were handed over.
 */
bool share_drained(struct share *share);

/**
 * share_homes() - the homes of a server under the target view
 * @share: the shares
 * @row: of the server
 * @out: members, borrowed; NULL for a holder that is no member any more;
 *	&members->self for this instance
 *
 * Return: number of entries in @out.
 */
int share_homes(struct share *share, int row,
		const struct member *out[SHARE_HOMES]);

#endif
