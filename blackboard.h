/*
 * The shared state of an instance (blackboard pattern). Controllers do not call
 * each other: each writes its state here and notifies the watchers of the topic
 * it changed. docs/ARCHITECTURE.md lists who reads and who writes what.
 */
#ifndef BLACKBOARD_H
#define BLACKBOARD_H

#include <stdbool.h>
#include <stdint.h>

#include "burn.h"
#include "catalog.h"
#include "clock.h"
#include "counters.h"
#include "error.h"
#include "fleet.h"
#include "poison.h"
#include "settings.h"
#include "stop_plan.h"
#include "table.h"
#include "trace.h"

struct event_base;
struct member_table;
struct share;
struct table_sync;

enum blackboard_topic {
	BLACKBOARD_TABLE,     /* a new table is in force */
	BLACKBOARD_FLEET,     /* members joined, left or changed */
	BLACKBOARD_CATALOG,   /* what servers hold, or their home instances */
	BLACKBOARD_INSTANCES, /* the platform's list of instances was read */
	BLACKBOARD_SHARES,    /* shares of backend servers changed */
	BLACKBOARD_USAGE,     /* report usage now, see share_report_usage() */
	BLACKBOARD_LIFECYCLE, /* enum lifecycle of this instance changed */
	BLACKBOARD_N_TOPICS,
};

enum lifecycle {
	LIFECYCLE_STARTING, /* no table yet */
	LIFECYCLE_SERVING,
	LIFECYCLE_LEAVING, /* no longer named to callers, still serving */
	LIFECYCLE_STOPPED,
};

/**
 * struct blackboard_watch - a subscription to a topic
 * @changed: called after each change
 * @arg: passed to @changed
 */
struct blackboard_watch {
	void (*changed)(void *arg);
	void *arg;
	struct blackboard_watch *next;
};

/**
 * struct blackboard - all shared state of one instance
 * @clock: the only source of time
 * @settings: as read at startup
 * @base: the event loop; not used by modules that work without sockets
 * @incarnation: random number of this process, never 0
 * @lifecycle: written by lifecycle
 * @leaving_since: time of the change to LIFECYCLE_LEAVING
 * @stop: times of the graceful stop; written by lifecycle
 * @table: in force, NULL before the first; written by the table controller
 * @table_sync: state of the table controller, for status queries
 * @table_confirmed_at: when @table was last known to be the newest; -1: never
 * @table_refused: why the newest revision was rejected, code 0 if it was not
 * @table_refused_revision: the rejected revision
 * @platform_list: instances listed by the platform; written by the table
 *	controller
 * @fleet: members; written by membership
 * @members: state of membership, for status queries
 * @share: the shares of backend servers; written by membership
 * @catalog: what servers hold and their homes; written by catalog_net
 * @counters: metrics
 * @traces: traces of finished requests; written by search_trace
 * @burn: error budgets; written by search_trace
 * @poison: requests that crash servers; written by home and poison_net
 * @last_tick_at: when the timer of loop_lag last ran, 0 before the first;
 *	written by loop_lag
 * @watches: subscriptions by topic
 */
struct blackboard {
	const struct clock *clock;
	const struct settings *settings;
	struct event_base *base;
	uint64_t incarnation;
	enum lifecycle lifecycle;
	int64_t leaving_since;
	struct stop_plan stop;
	struct table *table;
	const struct table_sync *table_sync;
	int64_t table_confirmed_at;
	struct error table_refused;
	uint64_t table_refused_revision;
	struct fleet platform_list;
	struct fleet fleet;
	const struct member_table *members;
	struct share *share;
	struct catalog catalog;
	struct counters counters;
	struct trace_store traces;
	struct burn burn;
	struct poison poison;
	int64_t last_tick_at;
	struct blackboard_watch *watches[BLACKBOARD_N_TOPICS];
};

/**
 * blackboard_init() - initialise
 * @clock: borrowed
 * @settings: borrowed
 * @base: borrowed
 * @incarnation: random, not 0
 */
void blackboard_init(struct blackboard *board, const struct clock *clock,
		     const struct settings *settings, struct event_base *base,
		     uint64_t incarnation);
void blackboard_finish(struct blackboard *board);

/**
 * blackboard_watch() - subscribe to changes of a topic
 * @watch: owned by the caller, must outlive @board
 * @changed: called with @arg after each change
 */
void blackboard_watch(struct blackboard *board, enum blackboard_topic topic,
		      struct blackboard_watch *watch,
		      void (*changed)(void *arg), void *arg);

/**
 * blackboard_notify() - call the watchers of a topic
 */
void blackboard_notify(struct blackboard *board, enum blackboard_topic topic);

/**
 * blackboard_set_table() - put a new table in force and free the previous one
 * @table: on the heap; the blackboard takes ownership
 */
void blackboard_set_table(struct blackboard *board, struct table *table);

/**
 * blackboard_tunables() - tunables of the table in force, or the defaults
 */
const struct tunables *blackboard_tunables(const struct blackboard *board);

/**
 * blackboard_stall() - how long data may have waited in a socket
 *
 * After a process was suspended, its sockets hold requests that arrived in the
 * meantime. The remaining time that such a request states counts from when it
 * was sent, not from when it is read.
 *
 * Return: microseconds since the event loop's last tick; 0 while the loop runs
 * normally.
 */
int64_t blackboard_stall(const struct blackboard *board);

/**
 * blackboard_start_by() - latest start of work on a backend server
 *
 * What still waits for a server then is known not to have run, and there is
 * time to say so before the process ends.
 *
 * Return: microseconds; INT64_MAX while not stopping.
 */
int64_t blackboard_start_by(const struct blackboard *board);

#endif
