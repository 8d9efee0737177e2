/*
 * Calls on the platform's store, and what its answers change: the routes in
 * force and the list of backend servers. The highest version of the routes wins
 * for the life of the process. Decides without sockets.
 */
#ifndef STORE_SYNC_H
#define STORE_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "cordon_sync.h"
#include "registry.h"
#include "routes.h"
#include "server_view.h"
#include "store.h"

/**
 * struct store_sync_ops - what the module wants done
 * @call: call the store; the answer goes to store_sync_answered()
 * @routes: other routes are in force
 * @server: a server's entry changed in the view, or is gone from it
 */
struct store_sync_ops {
	void (*call)(void *arg, const struct store_call *call, int64_t timeout);
	void (*routes)(void *arg);
	void (*server)(void *arg, const char *id, uint64_t changed_at,
		       bool removed);
};

/**
 * struct store_feed - one topic
 * @busy: a call is under way
 * @outdated: it was made in an earlier era, its answer says nothing
 * @watching: it, or the last one, asks for changes and not for a list
 * @listed: the list was read as a whole; changes are watched since
 * @listing: pages are being read, the next from @from on
 * @lost: the last call failed
 * @at: the store's revision up to which all changes are known
 * @list_at: revision of the first page of the list under way
 * @next_at: when to call next, microseconds
 * @asked_at: when the last call was made
 * @fresh_at: the view is as new as the store was at that time; -1: never
 * @failures: calls that failed in a row
 */
struct store_feed {
	enum store_topic topic;
	bool busy;
	bool outdated;
	bool watching;
	bool listed;
	bool listing;
	bool lost;
	uint64_t at;
	uint64_t list_at;
	char from[STORE_KEY_SIZE];
	int64_t next_at;
	int64_t asked_at;
	int64_t fresh_at;
	int failures;
};

/**
 * struct store_sync - the state of one instance
 * @routes: in force, NULL before the first
 * @era: that all revisions here are of: how often the store went back to a
 *copy, as far as is known; 0: it never said
 * @cordons: data centres that get no new requests
 * @patience: how old the view may get before the store is called, microseconds;
 *	0: it is called regularly
 * @rank: among those that would read; the higher, the less often it tries again
 *	what failed
 * @start_wait: without any view, how long it waits for a peer's, microseconds
 */
struct store_sync {
	const struct clock *clock;
	const struct store_ops *format;
	const struct store_sync_ops *ops;
	void *arg;
	struct registry *registry;
	struct route_set *routes;
	uint64_t era;
	struct cordon_sync cordons;
	struct server_view servers;
	struct store_feed feeds[STORE_TOPICS];
	int64_t patience;
	int rank;
	int64_t start_wait;
	uint64_t refused_version;
};

void store_sync_init(struct store_sync *sync, const struct clock *clock,
		     const struct store_ops *format,
		     const struct store_sync_ops *ops, void *arg,
		     struct registry *registry);
void store_sync_finish(struct store_sync *sync);

/**
 * store_sync_tick() - make the calls that are due
 */
void store_sync_tick(struct store_sync *sync);

/**
 * store_sync_due() - when to call store_sync_tick() next, microseconds
 */
int64_t store_sync_due(const struct store_sync *sync);

void store_sync_answered(struct store_sync *sync, enum store_topic topic,
			 const struct store_answer *answer);

/**
 * store_sync_enter_era() - a word came, of the store or a peer; to be asked
 * before anything with a revision is taken from it
 * @era: that its revisions are of, 0: not known
 * @at: the revision up to which it is complete, for the log
 *
 * A later era is entered: what is known here stays, any word of that era wins
 * over it, and the store is listed anew.
 *
 * Return: 0 if its revisions can be compared with those here; ERR_STALE if they
 * are of an earlier era.
 */
int store_sync_enter_era(struct store_sync *sync, uint64_t era, uint64_t at,
			 const char *from);

/**
 * store_sync_apply_routes() - a document came, from the store or a peer
 *
 * Return: 0 if it is in force now; ERR_STALE if it is not newer; or why it is
 * not taken.
 */
int store_sync_apply_routes(struct store_sync *sync, struct str text,
			    const char *from);

/**
 * store_sync_set_max_view_age() - see struct store_sync
 */
void store_sync_set_max_view_age(struct store_sync *sync, int64_t patience,
				 int rank);

/**
 * store_sync_begin_snapshot() - a peer's whole view follows, entry by entry
 */
void store_sync_begin_snapshot(struct store_sync *sync);

/**
 * store_sync_end_snapshot() - what it did not name is gone
 * @at: the store's revision as of which the peer's view is complete
 */
void store_sync_end_snapshot(struct store_sync *sync, uint64_t at);

/**
 * store_sync_confirm() - a peer's view of a topic is now this one's
 * @at: the store's revision up to which it holds all changes
 * @fresh_at: when it was known to be the newest, microseconds
 */
void store_sync_confirm(struct store_sync *sync, enum store_topic topic,
			uint64_t at, int64_t fresh_at);

/**
 * store_sync_ready() - routes and servers are known
 */
bool store_sync_ready(const struct store_sync *sync);

/**
 * store_sync_routes_age() - since the routes were last known to be the newest
 *
 * Return: microseconds; INT64_MAX if they never were.
 */
int64_t store_sync_routes_age(const struct store_sync *sync);

#endif
