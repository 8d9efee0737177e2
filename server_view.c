#define LOG_MODULE "server_view"
#include "server_view.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "error.h"
#include "log.h"
#include "mem.h"

/*
 * Entries that expired during an outage of the store are back after about 2 s.
 */
#define RETURN_GRACE MSEC(2300)

/*
 * A server writes every 1.2 s, and an entry expires after three writes are
 * missing: what stands for four is confirmed by the server that it names.
 */
#define CONFIRM_TIME MSEC(4800)

/* A server whose entry disappeared, and may come back. */
struct vanished_server {
	char id[REGISTRY_NAME_SIZE];
	int64_t until;
	uint64_t changed_at;
	struct vanished_server *prev;
	struct vanished_server *next;
};

/*
 * An entry that the store shows, but whose sequence is lower than the known
 * one. A write that the store does late is overwritten by the server's next
 * one, or expires; a server that counts anew, or whose known entry was written
 * by somebody else, leaves it standing or goes on counting.
 */
struct unconfirmed_entry {
	struct server_entry entry;
	uint64_t changed_at;
	uint64_t list_seq;
	int64_t until;
	struct unconfirmed_entry *prev;
	struct unconfirmed_entry *next;
};

void server_view_init(struct server_view *view, const struct clock *clock,
		      struct registry *registry,
		      const struct server_view_ops *ops, void *arg)
{
	memset(view, 0, sizeof(*view));
	view->clock = clock;
	view->registry = registry;
	view->ops = ops;
	view->arg = arg;
	view->store_returned_at = INT64_MIN / 2;
	view->era_until = INT64_MIN / 2;
}

static void forget_missing(struct server_view *view,
			   struct vanished_server *missing)
{
	DL_DELETE(view->vanished, missing);
	free(missing);
}

static void forget_unconfirmed(struct server_view *view,
			       struct unconfirmed_entry *unconfirmed)
{
	DL_DELETE(view->unconfirmed, unconfirmed);
	free(unconfirmed);
}

void server_view_finish(struct server_view *view)
{
	while (view->unconfirmed)
		forget_unconfirmed(view, view->unconfirmed);
	while (view->vanished)
		forget_missing(view, view->vanished);
}

/* The store expired no entry while it was away. */
void server_view_store_returned(struct server_view *view)
{
	struct unconfirmed_entry *unconfirmed;

	view->store_returned_at = clock_now(view->clock);
	DL_FOREACH (view->unconfirmed, unconfirmed)
		unconfirmed->until = view->store_returned_at + CONFIRM_TIME;
}

int64_t server_view_enter_era(struct server_view *view)
{
	while (view->vanished)
		forget_missing(view, view->vanished);
	while (view->unconfirmed)
		forget_unconfirmed(view, view->unconfirmed);
	registry_enter_era(view->registry);
	server_view_store_returned(view);
	view->era_until = view->store_returned_at + RETURN_GRACE;
	view->skipped_removed = false;
	return view->era_until;
}

bool server_view_needs_full_list(const struct server_view *view)
{
	return view->skipped_removed &&
	       clock_now(view->clock) >= view->era_until;
}

static struct vanished_server *find_missing(const struct server_view *view,
					    const char *id)
{
	struct vanished_server *missing;

	DL_FOREACH (view->vanished, missing) {
		if (!strcmp(missing->id, id))
			return missing;
	}
	return NULL;
}

static struct unconfirmed_entry *
find_unconfirmed(const struct server_view *view, const char *id)
{
	struct unconfirmed_entry *unconfirmed;

	DL_FOREACH (view->unconfirmed, unconfirmed) {
		if (!strcmp(unconfirmed->entry.id, id))
			return unconfirmed;
	}
	return NULL;
}

static void log_ignored_update(const char *id, const char *update,
			       const char *why, uint64_t changed_at,
			       uint64_t known_at)
{
	LOG_INFO("server_word_dropped", LOG_TEXT("server", id),
		 LOG_TEXT("word", update), LOG_TEXT("why", why),
		 LOG_U64("store_revision", changed_at),
		 LOG_U64("known_revision", known_at));
}

bool server_view_has_left(const struct server_view *view, const char *id,
			  uint64_t changed_at, uint64_t complete_to)
{
	if (!complete_to || changed_at > complete_to ||
	    registry_find(view->registry, str_from(id)))
		return false;
	log_ignored_update(id, "entry", "left", changed_at, complete_to);
	return true;
}

void server_view_refuse(struct server_view *view, struct str name, int code,
			uint64_t changed_at)
{
	int64_t now = clock_now(view->clock);

	view->n_refused++;
	if (log_quota_take(&view->refused_log, now))
		LOG_WARN("server_entry_refused", LOG_STR("server", name),
			 LOG_TEXT("error", error_name(code)),
			 LOG_U64("store_revision", changed_at),
			 LOG_U64("refused", view->n_refused));
}

static const char *state_name(const struct server_entry *entry)
{
	return entry->draining ? "draining" : "ready";
}

static void log_ignored_entry(const struct server_view *view,
			      const struct server_entry *entry, const char *why,
			      uint64_t changed_at)
{
	const struct str id = str_from(entry->id);
	const struct registry_write known =
		registry_known_write(view->registry, id);

	LOG_INFO("server_word_dropped", LOG_STR("server", id),
		 LOG_TEXT("word", state_name(entry)), LOG_TEXT("why", why),
		 LOG_U64("store_revision", changed_at),
		 LOG_U64("known_revision",
			 registry_known_revision(view->registry, id)),
		 LOG_I64("born", entry->started_at_ms),
		 LOG_I64("known_born", known.started_at_ms),
		 LOG_U64("sequence", entry->sequence),
		 LOG_U64("known_sequence", known.sequence),
		 LOG_U64("recounted_at", entry->recounted_at),
		 LOG_U64("known_recounted_at", known.recounted_at));
}

void server_view_remove(struct server_view *view, const char *id,
			uint64_t changed_at, const char *why)
{
	const struct registry_server *server =
		registry_find(view->registry, str_from(id));
	bool is_repeated =
		registry_was_removed(view->registry, str_from(id), changed_at);
	struct unconfirmed_entry *unconfirmed = find_unconfirmed(view, id);

	if (unconfirmed && changed_at >= unconfirmed->changed_at)
		forget_unconfirmed(view, unconfirmed);

	if (server && changed_at < server->changed_at)
		log_ignored_update(id, "removal", "older", changed_at,
				   server->changed_at);
	if (registry_remove(view->registry, str_from(id), changed_at))
		LOG_INFO("server_gone", LOG_TEXT("server", id),
			 LOG_TEXT("why", why),
			 LOG_U64("store_revision", changed_at));
	else if (server || is_repeated)
		return;
	/* Peers may know the server even if this instance never did. */
	view->ops->changed(view->arg, id, changed_at, true);
}

/*
 * Entries expire during an outage of the store although their servers live,
 * which would leave shards without servers. They are kept until live servers
 * had time to write them again.
 */
void server_view_vanished(struct server_view *view, const char *id,
			  uint64_t changed_at)
{
	int64_t until = view->store_returned_at + RETURN_GRACE;
	struct vanished_server *missing = find_missing(view, id);
	const struct registry_server *server =
		registry_find(view->registry, str_from(id));

	if (!server || changed_at < server->changed_at ||
	    clock_now(view->clock) >= until) {
		server_view_remove(view, id, changed_at, "removed");
		return;
	}
	if (missing) {
		if (changed_at > missing->changed_at)
			missing->changed_at = changed_at;
		return;
	}
	missing = mem_zalloc(sizeof(*missing));
	str_copy(missing->id, sizeof(missing->id), str_from(id));
	missing->until = until;
	missing->changed_at = changed_at;
	DL_APPEND(view->vanished, missing);
}

void server_view_tick(struct server_view *view)
{
	int64_t now = clock_now(view->clock);
	struct vanished_server *missing;
	struct vanished_server *next;

	DL_FOREACH_SAFE (view->vanished, missing, next) {
		if (now < missing->until)
			continue;
		server_view_remove(view, missing->id, missing->changed_at,
				   "not_back");
		forget_missing(view, missing);
	}
}

int64_t server_view_due(const struct server_view *view)
{
	const struct vanished_server *missing;
	int64_t due = INT64_MAX;

	DL_FOREACH (view->vanished, missing) {
		if (missing->until < due)
			due = missing->until;
	}
	return due;
}

bool server_view_holds_back(const struct server_view *view)
{
	return view->vanished;
}

/* Return: whether this extends the known cold period noticeably. */
static bool apply_cold(const struct server_view *view,
		       const struct server_entry *entry)
{
	struct registry_server *server =
		registry_find(view->registry, str_from(entry->id));

	return server && entry->cold_for > 0 &&
	       registry_set_cold(server, entry->cold_for,
				 clock_now(view->clock));
}

void server_view_note_shown(struct server_view *view,
			    const struct server_entry *entry,
			    uint64_t changed_at)
{
	struct unconfirmed_entry *unconfirmed =
		find_unconfirmed(view, entry->id);
	bool goes_on =
		unconfirmed && entry->sequence > unconfirmed->entry.sequence;

	if (registry_compare(view->registry, entry, changed_at) !=
	    REGISTRY_EARLIER_WRITE)
		return;
	if (!unconfirmed) {
		unconfirmed = mem_zalloc(sizeof(*unconfirmed));
		DL_APPEND(view->unconfirmed, unconfirmed);
	}
	unconfirmed->list_seq = view->list_seq;
	if (changed_at <= unconfirmed->changed_at)
		return;
	unconfirmed->entry = *entry;
	unconfirmed->changed_at = changed_at;
	if (!goes_on)
		unconfirmed->until = clock_now(view->clock) + CONFIRM_TIME;
}

/*
 * Peers that have listed the store meanwhile may know nothing but this entry:
 * they are told what is known here, which holds at its revision, too.
 */
static void ignore_earlier_write(struct server_view *view,
				 const struct server_entry *entry,
				 uint64_t changed_at)
{
	registry_put(view->registry, entry, changed_at);
	view->ops->changed(view->arg, entry->id, changed_at,
			   !registry_find(view->registry, str_from(entry->id)));
}

/*
 * Ignored updates are logged with the reason, to trace entries that stay wrong.
 */
static bool is_accepted(struct server_view *view,
			const struct server_entry *entry, uint64_t changed_at)
{
	enum registry_order order =
		registry_compare(view->registry, entry, changed_at);
	uint64_t known_at =
		registry_known_revision(view->registry, str_from(entry->id));

	if (order == REGISTRY_NEWER || order == REGISTRY_REPEATED)
		return true;
	/* It was ignored before. */
	if (order == REGISTRY_EARLIER_WRITE && changed_at == known_at)
		return false;
	log_ignored_entry(view, entry, registry_order_name(order), changed_at);
	if (order == REGISTRY_EARLIER_WRITE)
		ignore_earlier_write(view, entry, changed_at);
	return false;
}

/* A peer that does not know of the removal may still send the entry. */
static bool clear_missing(struct server_view *view,
			  const struct server_entry *entry, uint64_t changed_at)
{
	struct vanished_server *missing = find_missing(view, entry->id);

	if (!missing)
		return true;
	if (changed_at <= missing->changed_at) {
		log_ignored_update(entry->id, state_name(entry), "vanished",
				   changed_at, missing->changed_at);
		return false;
	}
	forget_missing(view, missing);
	return true;
}

static bool is_era_settling(const struct server_view *view)
{
	return clock_now(view->clock) < view->era_until;
}

/* The backup may be from before the server began to drain. */
static bool was_draining(const struct server_view *view,
			 const struct server_entry *entry)
{
	const struct registry_server *server =
		registry_find(view->registry, str_from(entry->id));

	return is_era_settling(view) && server && server->entry.draining &&
	       !entry->draining &&
	       server->entry.started_at_ms == entry->started_at_ms &&
	       address_eq(&server->entry.address, &entry->address);
}

static void put_entry(struct server_view *view,
		      const struct server_entry *entry, uint64_t changed_at)
{
	struct unconfirmed_entry *unconfirmed;
	bool changed;

	if (!is_accepted(view, entry, changed_at) ||
	    !clear_missing(view, entry, changed_at))
		return;
	changed = registry_put(view->registry, entry, changed_at);
	changed |= apply_cold(view, entry);
	unconfirmed = find_unconfirmed(view, entry->id);
	/* Peers may be waiting for it to be confirmed, too. */
	if (unconfirmed && changed_at > unconfirmed->changed_at) {
		forget_unconfirmed(view, unconfirmed);
		changed = true;
	}
	if (!changed)
		return;
	/* The first list is logged in one line instead of, say, 9,200. */
	if (view->synced)
		LOG_INFO("server_changed", LOG_TEXT("server", entry->id),
			 LOG_TEXT("service", entry->service),
			 LOG_TEXT("state", state_name(entry)),
			 LOG_I64("born", entry->started_at_ms),
			 LOG_I64("cold_for_ms",
				 entry->cold_for / USEC_PER_MSEC),
			 LOG_U64("sequence", entry->sequence),
			 LOG_U64("store_revision", changed_at));
	view->ops->changed(view->arg, entry->id, changed_at, false);
}

void server_view_confirm(struct server_view *view, int64_t at)
{
	struct unconfirmed_entry *unconfirmed;
	struct unconfirmed_entry *next;

	DL_FOREACH_SAFE (view->unconfirmed, unconfirmed, next) {
		struct server_entry entry = unconfirmed->entry;
		uint64_t changed_at = unconfirmed->changed_at;

		if (at < unconfirmed->until)
			continue;
		forget_unconfirmed(view, unconfirmed);
		log_ignored_entry(view, &entry, "confirmed", changed_at);
		entry.recounted_at = changed_at;
		put_entry(view, &entry, changed_at);
	}
}

void server_view_put(struct server_view *view, const struct server_entry *entry,
		     uint64_t changed_at)
{
	struct server_entry kept = *entry;

	if (was_draining(view, entry)) {
		log_ignored_update(entry->id, state_name(entry),
				   "drained_before", changed_at, 0);
		kept.draining = true;
	}
	put_entry(view, &kept, changed_at);
}

void server_view_list(struct server_view *view,
		      const struct server_entry *entry, uint64_t changed_at)
{
	struct registry_server *server;

	if (is_era_settling(view) &&
	    registry_removed_in_earlier_era(view->registry,
					    str_from(entry->id))) {
		log_ignored_update(entry->id, state_name(entry), "left_before",
				   changed_at, 0);
		view->skipped_removed = true;
		return;
	}
	server_view_put(view, entry, changed_at);
	server = registry_find(view->registry, str_from(entry->id));
	if (server)
		server->list_seq = view->list_seq;
}

void server_view_begin_list(struct server_view *view)
{
	view->list_seq++;
	if (server_view_needs_full_list(view))
		view->skipped_removed = false;
}

void server_view_end_list(struct server_view *view, uint64_t at)
{
	struct registry_server *server;
	struct registry_server *next;
	char id[REGISTRY_NAME_SIZE];

	HASH_ITER (hh, view->registry->servers, server, next) {
		if (server->list_seq == view->list_seq ||
		    server->changed_at > at)
			continue;
		/* The server may be freed, and its id with it. */
		str_copy(id, sizeof(id), str_from(server->entry.id));
		server_view_vanished(view, id, at);
	}
}

void server_view_end_store_list(struct server_view *view, uint64_t at)
{
	struct unconfirmed_entry *unconfirmed;
	struct unconfirmed_entry *next;

	server_view_end_list(view, at);
	DL_FOREACH_SAFE (view->unconfirmed, unconfirmed, next) {
		if (unconfirmed->list_seq != view->list_seq &&
		    unconfirmed->changed_at <= at)
			forget_unconfirmed(view, unconfirmed);
	}
}
