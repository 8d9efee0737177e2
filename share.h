/*
 * Which part of each backend server's slots and connections this instance may
 * use: homes by rendezvous hashing, and the settling of changes so that the
 * sum over all instances stays within the limits. Decides without sockets. See
 * docs/design/shares.md.
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

#define SHARE_HOMES 2
#define SHARE_VIEWS 16

/**
 * struct quota - a part of a backend server's limits
 */
struct quota {
	int slots;
	int connections;
};

/* A member in a view. */
struct share_seat {
	uint64_t hash; /* of the instance's name */
	uint64_t incarnation;
};

/* Who holds the shares of one data centre's backend servers. */
struct share_view {
	uint64_t digest;
	struct share_seat *seats;
	int n;
	bool has_self;
};

/* What another instance said last of its view. */
struct share_peer {
	uint64_t incarnation;
	char *instance;
	bool required; /* it may hold shares under one of our views */
	uint64_t digest;
	uint64_t generation;
	uint64_t echo;
	bool drained;
	bool settled;
	bool established;
	bool answer; /* it waits for our state */
	uint64_t sent_state;
	int64_t sent_at;
	UT_hash_handle hh;
};

/**
 * struct share_pool - the shares of one data centre's backend servers
 * @views: all that may still be in force somewhere; the last is wanted
 * @overflow: more views than @views has room for were unsettled
 * @fresh: nothing may be used: just started, or the lease ran out
 * @full: the wanted view is in force here
 * @established: has had @full since @fresh
 * @dirty: something came in since it was last looked at
 */
struct share_pool {
	char *data_centre;
	uint64_t dc_hash;
	struct share_view views[SHARE_VIEWS];
	int n_views;
	bool overflow;
	bool fresh;
	bool full;
	bool established;
	bool drained;
	bool settled;
	bool dirty;
	uint64_t generation;
	struct share_peer *peers;
	UT_hash_handle hh;
};

/* One backend server of the table in force. */
struct share_row {
	uint64_t hash;
	struct share_pool *pool;
	struct quota limit;
	struct quota want; /* under the wanted view */
	struct quota cap;  /* least under all views */
	struct quota used;
};

/**
 * struct share_ops - what the shares want done
 * @send_view: by TCP; the message is borrowed during the call
 * @changed: some of the shares may be other than before; may be NULL
 * @report: call share_report_usage() for all that is used, now; may be NULL if
 *each change of it is reported at once
 */
struct share_ops {
	void (*send_view)(void *arg, const struct member *to,
			  const struct Peer__ViewState *message);
	void (*changed)(void *arg);
	void (*report)(void *arg);
};

struct share;

/**
 * struct share_rule - when a share may be used
 *
 * share_settled is in force; share_naive, where each instance trusts its own
 * view, is the baseline of tests and experiments.
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
 * @confirmed: when the last ping was sent that a peer acknowledged
 * @started: when this incarnation began or its lease last ran out
 * @moves: homes that changed under the wanted views, counted
 */
struct share {
	const struct clock *clock;
	const struct member_table *members;
	const struct share_ops *ops;
	const struct share_rule *rule;
	void *arg;
	int64_t lease;
	int64_t confirmed;
	int64_t started;
	int64_t last_tick;
	uint64_t incarnation;
	uint64_t seen_version;
	uint64_t generation;
	struct share_pool *pools;
	struct share_row *rows;
	int n_rows;
	uint64_t moves;
	uint64_t sent_messages;
	uint64_t sent_bytes;
};

/**
 * share_init() - start with no share of anything
 * @members: outlives the share; its changes are seen by themselves
 * @ops: outlives the share
 * @lease: microseconds; the same in all instances
 */
void share_init(struct share *share, const struct clock *clock,
		const struct member_table *members, const struct share_ops *ops,
		void *arg, int64_t lease, const struct share_rule *rule);
void share_finish(struct share *share);

/**
 * share_set_lease() - take a changed tunable
 * @lease: microseconds
 */
void share_set_lease(struct share *share, int64_t lease);

/**
 * share_table_changed() - another table is in force
 *
 * The rows of @share are those of the table's sheet "servers". Use that was
 * reported is kept by the name of the server.
 */
void share_table_changed(struct share *share, const struct table *table);

/**
 * share_receive_view_state() - a ViewState frame came
 */
void share_receive_view_state(struct share *share,
			      const struct Peer__ViewState *state);

/**
 * share_report_usage() - report what is used of a server
 */
void share_report_usage(struct share *share, int row, int slots,
			int connections);

/**
 * share_confirm_lease() - a peer holds this instance for present
 * @sent_at: when it was asked, microseconds
 */
void share_confirm_lease(struct share *share, int64_t sent_at);

/**
 * share_tick() - time passed; call at least 5 times a probe period
 */
void share_tick(struct share *share);

/**
 * share_slots() - requests that may run at the server at once, from here
 *
 * To be asked before each request is sent: a process that wakes late finds
 * its lease gone here.
 */
int share_slots(struct share *share, int row);

/**
 * share_connections() - connections that may be open to the server, from here
 *
 * 0 without a lease: then open none. Open ones may stay, unused, until the
 * lease is back or the share is gone.
 */
int share_connections(struct share *share, int row);

/**
 * share_lease_valid() - whether anything may be used at all
 */
bool share_lease_valid(struct share *share);

/**
 * share_drained() - whether nothing is held that others wait for
 *
 * After member_table_leave(): the hand-over is done.
 */
bool share_drained(struct share *share);

/**
 * share_homes() - the instances that hold shares of a server
 * @out: members; this instance stands as &members->self
 *
 * Return: how many, under the wanted view.
 */
int share_homes(struct share *share, int row,
		const struct member *out[SHARE_HOMES]);

#endif
