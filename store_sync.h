/*
 * Keeps the routes in force, the cordons and the list of backend servers in
 * sync with the platform's store and with peers' views of it. The routes'
 * version never decreases during the life of the process. Pure decisions, no
 * sockets.
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

struct metric_histogram;

/**
 * struct store_sync_ops - callbacks
 * @call: call the store, with a time-out in microseconds; answered by
 *	  store_sync_answered()
 * @routes_changed: other routes are in force
 * @server_changed: a server's entry changed in the view, or was removed from it
 */
struct store_sync_ops {
	void (*call)(void *arg, const struct store_call *call, int64_t timeout);
	void (*routes_changed)(void *arg);
	void (*server_changed)(void *arg, const char *id, uint64_t changed_at,
			       bool removed);
};

/**
 * struct store_feed - sync state of a topic
 * @topic: which one
 * @busy: a call is under way
 * @call_outdated: that call was made in an earlier era, its answer is ignored
 * @watching: the current or last call is a watch, not a list
 * @listed: the list was read completely; changes are watched since
 * @listing: the list is being read, its next page starts after @list_from
 * @is_failing: the last call failed
 * @revision: store revision up to which all changes are known
 * @gap_from: revision before the last complete list or view, the store's or a
 *	      peer's; what came and went between the two is not known here
 * @gap_to: revision of that list or view
 * @history_from: the same as @gap_to for the one before it; from there to
 *		  @gap_from all changes are known
 * @list_revision: store revision of the first page of the list that is being
 *		   read
 * @list_from: last key of the previous page, empty for the first
 * @next_at: earliest time of the next call, microseconds
 * @asked_at: when the last call was made, microseconds
 * @fresh_at: last time at which the view was known to be up to date,
 *	      microseconds; -1: never
 * @failures: calls that failed in a row
 */
struct store_feed {
	enum store_topic topic;
	bool busy;
	bool call_outdated;
	bool watching;
	bool listed;
	bool listing;
	bool is_failing;
	uint64_t revision;
	uint64_t history_from;
	uint64_t gap_from;
	uint64_t gap_to;
	uint64_t list_revision;
	struct store_key list_from;
	int64_t next_at;
	int64_t asked_at;
	int64_t fresh_at;
	int failures;
};

/**
 * struct store_sync - what an instance knows from the store
 * @clock: borrowed
 * @format: formats of the store; borrowed
 * @ops: borrowed
 * @arg: given to @ops
 * @registry: filled with the servers and cordons; borrowed
 * @routes: in force, NULL before the first; a reference
 * @era: of all revisions here: how often the store was restored from a backup,
 *	 as far as is known; 0: the store never reported it
 * @cordons: data centres that get no new requests
 * @servers: view of the backend servers
 * @feeds: by topic
 * @max_view_age: how old the view may become before this instance calls the
 *		  store, microseconds; 0: it calls regularly
 * @rank: of this instance among those that may read the store; the higher, the
 *	  later it retries after a failure
 * @start_delay: how long it waits for a peer's view while it has none,
 *		 microseconds
 * @reached_at: last time at which this instance or a peer is known to have
 *		reached the store, microseconds; -1: never
 * @failed_at: when a call of this instance or a peer failed last, microseconds;
 *	       -1: never
 * @view_gaps: time between the moments at which the view of the servers was
 *	       known to be up to date; NULL: not recorded
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
	int64_t max_view_age;
	int rank;
	int64_t start_delay;
	int64_t reached_at;
	int64_t failed_at;
	struct metric_histogram *view_gaps;
};

/**
 * store_sync_init() - set up the state without a view
 * @sync: set up
 * @clock: borrowed
 * @format: formats of the store; borrowed
 * @ops: borrowed
 * @arg: given to @ops
 * @registry: filled with the servers and cordons; borrowed
 */
void store_sync_init(struct store_sync *sync, const struct clock *clock,
		     const struct store_ops *format,
		     const struct store_sync_ops *ops, void *arg,
		     struct registry *registry);
void store_sync_finish(struct store_sync *sync);

/**
 * store_sync_tick() - make the calls that are due
 * @sync: the state of this instance
 */
void store_sync_tick(struct store_sync *sync);

/**
 * store_sync_due() - when to call store_sync_tick() next
 * @sync: the state of this instance
 *
 * Return: microseconds.
 */
int64_t store_sync_due(const struct store_sync *sync);

/**
 * store_sync_answered() - a call for a topic ended
 * @sync: the state of this instance
 * @topic: of the call
 * @answer: borrowed
 */
void store_sync_answered(struct store_sync *sync, enum store_topic topic,
			 const struct store_answer *answer);

/**
 * store_sync_enter_era() - check the era of a message from the store or a peer,
 * before anything with a revision is applied from it
 * @sync: the state of this instance
 * @era: of the revisions in the message, 0: not known
 * @at: the revision up to which the message is complete, for the log
 * @from: the sender, for the log
 *
 * A later era is entered: all that is known here is kept, but any information
 * of the new era overrides it, and the store is listed again.
 *
 * Return: 0 if the revisions can be compared with those here; ERR_STALE if they
 * are of an earlier era.
 */
int store_sync_enter_era(struct store_sync *sync, uint64_t era, uint64_t at,
			 const char *from);

/**
 * store_sync_apply_routes() - apply a routes document from the store or a peer
 * @sync: the state of this instance
 * @text: the document; copied
 * @from: the sender, for the log
 *
 * Return: 0 if it is in force now; ERR_STALE if it is not newer; else as
 * route_set_parse().
 */
int store_sync_apply_routes(struct store_sync *sync, struct str text,
			    const char *from);

/**
 * store_sync_set_max_view_age() - set when to call the store without a view
 * from peers
 * @sync: the state of this instance
 * @max_view_age: microseconds; 0: call the store regularly
 * @rank: 0 is the first
 */
void store_sync_set_max_view_age(struct store_sync *sync, int64_t max_view_age,
				 int rank);

/**
 * store_sync_begin_snapshot() - a peer's complete view of the servers follows,
 * entry by entry
 * @sync: the state of this instance
 */
void store_sync_begin_snapshot(struct store_sync *sync);

/**
 * store_sync_end_snapshot() - remove the servers that were not in a peer's
 * complete view
 * @sync: the state of this instance
 * @at: store revision at which that view was complete
 * @fresh_at: when that view was known to be up to date, microseconds
 *
 * They are kept for a while if the store may have been away.
 */
void store_sync_end_snapshot(struct store_sync *sync, uint64_t at,
			     int64_t fresh_at);

/**
 * store_sync_note_failure() - a call of this instance or a peer failed
 * @sync: the state of this instance
 */
void store_sync_note_failure(struct store_sync *sync);

/**
 * store_sync_confirm() - the view of a topic now includes all of a peer's view
 * @sync: the state of this instance
 * @topic: which one
 * @at: store revision up to which that view has all changes
 * @fresh_at: when that view was known to be up to date, microseconds
 */
void store_sync_confirm(struct store_sync *sync, enum store_topic topic,
			uint64_t at, int64_t fresh_at);

/**
 * store_feed_has_changes() - whether all changes since a revision are known
 * @feed: the sync state of a topic
 * @since: store revision
 */
bool store_feed_has_changes(const struct store_feed *feed, uint64_t since);

/**
 * store_sync_ready() - whether routes and servers are known
 * @sync: the state of this instance
 */
bool store_sync_ready(const struct store_sync *sync);

/**
 * store_sync_routes_age() - time since the routes were last known to be up to
 * date
 * @sync: the state of this instance
 *
 * Return: microseconds; INT64_MAX if they never were.
 */
int64_t store_sync_routes_age(const struct store_sync *sync);

#endif
