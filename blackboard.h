/*
 * The blackboard: what the controllers of an instance read and write. A
 * controller never calls another; it writes here and says what it changed.
 * docs/ARCHITECTURE.md lists who reads and who writes what.
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
#include "table.h"
#include "trace.h"

struct event_base;
struct member_table;
struct share;
struct table_sync;

enum blackboard_topic {
	BLACKBOARD_TABLE,     /* another table is in force */
	BLACKBOARD_FLEET,     /* members came, went or changed */
	BLACKBOARD_CATALOG,   /* what servers hold, or who is their home */
	BLACKBOARD_INSTANCES, /* the platform's list came */
	BLACKBOARD_SHARES,    /* shares of backend servers changed */
	BLACKBOARD_USAGE, /* report what is used, see share_report_usage() */
	BLACKBOARD_LIFECYCLE, /* this instance serves, leaves or stops */
	BLACKBOARD_N_TOPICS,
};

enum lifecycle {
	LIFECYCLE_STARTING, /* no table yet */
	LIFECYCLE_SERVING,
	LIFECYCLE_LEAVING, /* out of callers' answers, still serving */
	LIFECYCLE_STOPPED,
};

struct blackboard_watch {
	void (*changed)(void *arg);
	void *arg;
	struct blackboard_watch *next;
};

/**
 * struct blackboard - all shared state of one instance
 * @clock: the only source of time
 * @settings: as read at start
 * @base: the event loop; decision modules do not touch it
 * @incarnation: random at start, never 0
 * @lifecycle: written by lifecycle
 * @leaving_since: time of the change to LIFECYCLE_LEAVING
 * @table: in force, NULL before the first; written by the table controller
 * @table_sync: what the table controller decides by, for answers
 * @table_confirmed_at: when @table was last known to be the newest; -1: never
 * @table_refused: why the newest revision was refused, code 0 if it was not
 * @table_refused_revision: which revision that was
 * @listed: the platform's list; written by the table controller
 * @fleet: members; written by membership
 * @members: what membership decides by, for answers
 * @share: the shares of backend servers; decided by membership
 * @catalog: what servers hold and their homes; written by catalog_net
 * @counters: metrics
 * @traces: what requests did that are over; written by search_trace
 * @burn: error budgets; written by search_trace
 * @poison: requests that crash servers; written by home and poison_net
 * @beat_at: when the event loop last came to its timer, 0 before the first;
 * written by loop_lag
 * @watches: by topic
 */
struct blackboard {
	const struct clock *clock;
	const struct settings *settings;
	struct event_base *base;
	uint64_t incarnation;
	enum lifecycle lifecycle;
	int64_t leaving_since;
	struct table *table;
	const struct table_sync *table_sync;
	int64_t table_confirmed_at;
	struct error table_refused;
	uint64_t table_refused_revision;
	struct fleet listed;
	struct fleet fleet;
	const struct member_table *members;
	struct share *share;
	struct catalog catalog;
	struct counters counters;
	struct trace_store traces;
	struct burn burn;
	struct poison poison;
	int64_t beat_at;
	struct blackboard_watch *watches[BLACKBOARD_N_TOPICS];
};

void blackboard_init(struct blackboard *board, const struct clock *clock,
		     const struct settings *settings, struct event_base *base,
		     uint64_t incarnation);
void blackboard_finish(struct blackboard *board);

/**
 * blackboard_watch() - be told of changes to a topic
 * @watch: owned by the caller, must outlive the blackboard's use
 */
void blackboard_watch(struct blackboard *board, enum blackboard_topic topic,
		      struct blackboard_watch *watch,
		      void (*changed)(void *arg), void *arg);

/**
 * blackboard_notify() - tell the watchers of a topic
 */
void blackboard_notify(struct blackboard *board, enum blackboard_topic topic);

/**
 * blackboard_set_table() - put another table in force
 * @table: on the heap; the blackboard owns it from here on
 */
void blackboard_set_table(struct blackboard *board, struct table *table);

/**
 * blackboard_tunables() - tunables of the table in force, or the defaults
 */
const struct tunables *blackboard_tunables(const struct blackboard *board);

/**
 * blackboard_stall() - how old what is read from a socket now may be
 *
 * A process that was stopped finds requests in its sockets that came while it
 * slept. Their time left was stated when they were sent, so that it must be
 * counted from there and not from when they are read.
 *
 * Return: microseconds; 0 while the event loop runs as usual.
 */
int64_t blackboard_stall(const struct blackboard *board);

#endif
