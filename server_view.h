/*
 * The view of backend servers: decides which updates from the store and from
 * peers are valid, and applies them to the registry. Entries that disappear
 * while the store may have been unavailable are kept until live servers had
 * time to write them again. Does no I/O.
 */
#ifndef SERVER_VIEW_H
#define SERVER_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "log_quota.h"
#include "registry.h"
#include "store.h"

struct vanished_server;
struct unconfirmed_entry;

/**
 * struct server_view_ops - callbacks
 * @changed: a server's entry was changed in or removed from the view
 */
struct server_view_ops {
	void (*changed)(void *arg, const char *id, uint64_t changed_at,
			bool removed);
};

/**
 * struct server_view - the view of one instance
 * @clock: borrowed
 * @registry: to update, borrowed
 * @ops: callbacks, borrowed
 * @arg: passed to callbacks
 * @synced: the view was complete at least once
 * @vanished: servers whose entries disappeared during or just after an outage
 *	of the store; live ones are back within two seconds of its return
 * @unconfirmed: entries in the store that look like earlier writes of their
 *	servers; if they stand, they are the servers' own
 * @list_seq: number of full lists that were started
 * @store_returned_at: when the store last answered after an outage or a
 *	possible outage
 * @era_until: until then the store may contain outdated data, see
 *	server_view_enter_era()
 * @skipped_removed: a list contained a server that was ignored as removed in an
 *	earlier era
 * @n_refused: entries that were refused
 * @refused_log: limits their lines, as another writer may leave thousands
 */
struct server_view {
	const struct clock *clock;
	struct registry *registry;
	const struct server_view_ops *ops;
	void *arg;
	bool synced;
	struct vanished_server *vanished;
	struct unconfirmed_entry *unconfirmed;
	uint64_t list_seq;
	int64_t store_returned_at;
	int64_t era_until;
	bool skipped_removed;
	uint64_t n_refused;
	struct log_quota refused_log;
};

void server_view_init(struct server_view *view, const struct clock *clock,
		      struct registry *registry,
		      const struct server_view_ops *ops, void *arg);
void server_view_finish(struct server_view *view);

/**
 * server_view_store_returned() - the store is available again
 * @view: the view
 *
 * Entries that disappear from now on are kept for a while.
 */
void server_view_store_returned(struct server_view *view);

/**
 * server_view_refuse() - count an entry that is not used, and log it unless
 * many were refused of late
 * @view: the view
 * @name: of the entry, any bytes
 * @code: why it is refused
 * @changed_at: store revision of the entry
 */
void server_view_refuse(struct server_view *view, struct str name, int code,
			uint64_t changed_at);

/**
 * server_view_enter_era() - the store was restored from a backup
 * @view: the view
 *
 * Servers that the backup lacks are kept until live ones had time to write
 * their entries again. Until then, draining servers stay draining whatever the
 * backup says, and removed servers stay removed until they write an entry.
 *
 * Return: when that period ends, microseconds.
 */
int64_t server_view_enter_era(struct server_view *view);

/**
 * server_view_needs_full_list() - whether a list contained servers that were
 * ignored as removed, and that had time to write their entries again
 * @view: the view
 */
bool server_view_needs_full_list(const struct server_view *view);

/**
 * server_view_has_left() - whether an entry of a peer is of a server that has
 * left
 * @view: the view
 * @id: of the server
 * @changed_at: store revision of the entry
 * @complete_to: store revision up to which @view has all changes; 0: none
 *
 * A view without the server, complete up to the entry's revision, is from after
 * the removal, even if it started too late to see the removal itself.
 */
bool server_view_has_left(const struct server_view *view, const char *id,
			  uint64_t changed_at, uint64_t complete_to);

/**
 * server_view_put() - apply a server's entry from the store or a peer
 * @view: the view
 * @entry: the entry, copied
 * @changed_at: store revision of @entry
 */
void server_view_put(struct server_view *view, const struct server_entry *entry,
		     uint64_t changed_at);

/**
 * server_view_note_shown() - the store itself shows a server's entry
 * @view: the view
 * @entry: the entry, copied
 * @changed_at: store revision of @entry
 *
 * To be called before server_view_put() or server_view_list(). An earlier write
 * is kept until the store shows another one, or it is confirmed. Those of peers
 * are not: what overwrites them may not be told to all.
 */
void server_view_note_shown(struct server_view *view,
			    const struct server_entry *entry,
			    uint64_t changed_at);

/**
 * server_view_confirm() - the view was up to date at a time
 * @view: the view
 * @at: microseconds
 *
 * Applies earlier writes of servers that have stood in the store until then for
 * longer than the entry of a server that does not write again.
 */
void server_view_confirm(struct server_view *view, int64_t at);

/**
 * server_view_list() - apply an entry of the list that was started last
 * @view: the view
 * @entry: the entry, copied
 * @changed_at: store revision of @entry
 */
void server_view_list(struct server_view *view,
		      const struct server_entry *entry, uint64_t changed_at);

/**
 * server_view_vanished() - the store no longer contains a server's entry
 * @view: the view
 * @id: server id
 * @changed_at: store revision of the removal
 */
void server_view_vanished(struct server_view *view, const char *id,
			  uint64_t changed_at);

/**
 * server_view_remove() - remove a server permanently
 * @view: the view
 * @id: server id
 * @changed_at: store revision of the removal
 * @why: reason, for the log line
 */
void server_view_remove(struct server_view *view, const char *id,
			uint64_t changed_at, const char *why);

/**
 * server_view_begin_list() - start of a full list; its entries follow
 * @view: the view
 */
void server_view_begin_list(struct server_view *view);

/**
 * server_view_end_list() - end of a full list: servers not on it have vanished
 * @view: the view
 * @at: store revision of the list; newer entries are kept
 */
void server_view_end_list(struct server_view *view, uint64_t at);

/**
 * server_view_end_store_list() - as server_view_end_list(), for a list of the
 * store itself: earlier writes that it lacks are gone
 * @view: the view
 * @at: store revision of the list; newer entries are kept
 */
void server_view_end_store_list(struct server_view *view, uint64_t at);

/**
 * server_view_tick() - remove vanished servers that did not come back in time
 * @view: the view
 */
void server_view_tick(struct server_view *view);

/**
 * server_view_due() - when to call server_view_tick() next, microseconds
 * @view: the view
 */
int64_t server_view_due(const struct server_view *view);

/**
 * server_view_holds_back() - whether the view contains entries that the store
 * does not
 * @view: the view
 */
bool server_view_holds_back(const struct server_view *view);

#endif
