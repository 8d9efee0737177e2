/*
 * What the store and peers say of backend servers, and what of it holds: puts
 * it into the registry. Keeps entries that vanish while the store may have been
 * away until those that live had time to come back. Decides without sockets.
 */
#ifndef SERVER_VIEW_H
#define SERVER_VIEW_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "registry.h"
#include "store.h"

struct vanished_server;

/**
 * struct server_view_ops - what the module wants done
 * @changed: a server's entry changed in the view, or is gone from it
 */
struct server_view_ops {
	void (*changed)(void *arg, const char *id, uint64_t changed_at,
			bool removed);
};

/**
 * struct server_view - the state of one instance
 * @known: the view was complete once
 * @absent: servers whose entries vanished while or just after the store was
 *	away: those that live are back within two seconds of its return
 * @list: counts the lists that were begun
 * @returned_at: when the store last answered after it was away, or may have
 *	been
 * @era_until: until then, what the store has may be from before what was known
 *	here, see server_view_enter_era()
 * @passed_over: a list named a server that was not taken for that reason
 */
struct server_view {
	const struct clock *clock;
	struct registry *registry;
	const struct server_view_ops *ops;
	void *arg;
	bool known;
	struct vanished_server *absent;
	uint64_t list;
	int64_t returned_at;
	int64_t era_until;
	bool passed_over;
};

void server_view_init(struct server_view *view, const struct clock *clock,
		      struct registry *registry,
		      const struct server_view_ops *ops, void *arg);
void server_view_finish(struct server_view *view);

/**
 * server_view_store_returned() - the store is back
 *
 * Entries that vanish from now on are kept for a while.
 */
void server_view_store_returned(struct server_view *view);

/**
 * server_view_enter_era() - the store went back to a copy
 *
 * Servers that the copy lacks are kept until those that live had time to write
 * again; until then, too, one that is known to drain does so whatever the copy
 * says, and one that left is not back before it writes.
 *
 * Return: when that ends, microseconds.
 */
int64_t server_view_enter_era(struct server_view *view);

/**
 * server_view_needs_full_list() - a list named servers that were not taken, as
 * they had left, and they had time to write again
 */
bool server_view_needs_full_list(const struct server_view *view);

/**
 * server_view_put() - a server's entry, from the store or a peer
 * @changed_at: the store's revision of it
 */
void server_view_put(struct server_view *view, const struct server_entry *entry,
		     uint64_t changed_at);

/**
 * server_view_list() - the list that was begun last names a server
 */
void server_view_list(struct server_view *view,
		      const struct server_entry *entry, uint64_t changed_at);

/**
 * server_view_vanished() - the store has a server's entry no more
 */
void server_view_vanished(struct server_view *view, const char *id,
			  uint64_t changed_at);

/**
 * server_view_remove() - a server's entry is gone for good
 */
void server_view_remove(struct server_view *view, const char *id,
			uint64_t changed_at, const char *why);

/**
 * server_view_begin_list() - a whole list follows, entry by entry
 */
void server_view_begin_list(struct server_view *view);

/**
 * server_view_end_list() - what the list did not name has vanished
 * @at: the store's revision as of which it is complete; what is newer stays
 */
void server_view_end_list(struct server_view *view, uint64_t at);

/**
 * server_view_tick() - take out what did not come back
 */
void server_view_tick(struct server_view *view);

/**
 * server_view_due() - when to call server_view_tick() next, microseconds
 */
int64_t server_view_due(const struct server_view *view);

/**
 * server_view_holds_back() - entries are in the view that the store has not
 */
bool server_view_holds_back(const struct server_view *view);

#endif
