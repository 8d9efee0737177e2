#include "view_apply.h"

#include <string.h>

#include "error.h"
#include "server_name.h"

static void apply_row(struct view_share *share, const Peer__ViewServer *row,
		      bool listing)
{
	uint64_t complete_to = share->sync->feeds[STORE_SERVERS].revision;
	struct server_view *view = &share->sync->servers;
	struct server_entry entry;
	int ret = server_name_check(str_from(row->id));

	/* From an earlier era, retained by the peer until it reads a list. */
	if (!row->changed_at && complete_to)
		return;
	if (ret) {
		server_view_refuse(view, str_from(row->id), ret,
				   row->changed_at);
		return;
	}
	if (row->removed) {
		server_view_remove(view, row->id, row->changed_at, "peer");
		return;
	}
	/* Whoever has confirmed a write sends it later than its revision. */
	if (row->recounted_at != row->changed_at &&
	    server_view_has_left(view, row->id, row->changed_at, complete_to))
		return;
	memset(&entry, 0, sizeof(entry));
	str_copy(entry.id, sizeof(entry.id), str_from(row->id));
	str_copy(entry.service, sizeof(entry.service), str_from(row->service));
	str_copy(entry.data_centre, sizeof(entry.data_centre),
		 str_from(row->data_centre));
	entry.slots = row->slots;
	entry.draining = row->draining;
	entry.started_at_ms = row->born;
	entry.created_at = row->created_at;
	entry.sequence = row->sequence;
	entry.recounted_at = row->recounted_at;
	entry.cold_for = MSEC((int64_t)row->cold_for_ms);
	if (address_parse(str_from(row->address), &entry.address))
		return;
	if (listing)
		server_view_list(view, &entry, row->changed_at);
	else
		server_view_put(view, &entry, row->changed_at);
}

static int64_t confirmed_at(const struct view_share *share, uint32_t age)
{
	return clock_now(share->clock) - MSEC((int64_t)age);
}

/* Independent of the routes: applied even if those are invalid. */
static void apply_cordons(struct view_share *share,
			  const Peer__ViewUpdate *message)
{
	struct cordon_set cordons = {.revision = message->routes_at};
	size_t i;

	if (message->routes_age_ms == UINT32_MAX)
		return;
	for (i = 0; i < message->n_cordons && i < CORDONS_MAX; i++)
		cordon_set_add(&cordons,
			       str_from(message->cordons[i]->data_centre),
			       message->cordons[i]->changed_at);
	cordon_sync_apply_peer_set(&share->sync->cordons, &cordons);
}

static int apply_document(struct view_share *share,
			  const ProtobufCBinaryData *text)
{
	const struct str document = {(char *)text->data, text->len};
	int ret;

	if (!text->len)
		return 0;
	ret = store_sync_apply_routes(share->sync, document, "peer");
	return ret == ERR_STALE ? 0 : ret;
}

static int apply_routes(struct view_share *share,
			const Peer__ViewUpdate *message,
			const ProtobufCBinaryData *text)
{
	struct store_sync *sync = share->sync;
	int ret = apply_document(share, text);

	if (ret)
		return ret;
	if (!sync->routes || sync->routes->version < message->routes_version)
		return ERR_VERSION;
	/* A lower version is outdated, whatever age the message states. */
	if (sync->routes->version == message->routes_version &&
	    message->routes_age_ms != UINT32_MAX)
		store_sync_confirm(sync, STORE_ROUTES, message->routes_at,
				   confirmed_at(share, message->routes_age_ms));
	return 0;
}

static bool has_row(Peer__ViewServer *const *rows, size_t n, const char *id)
{
	size_t i;

	for (i = 0; i < n; i++) {
		if (!strcmp(rows[i]->id, id))
			return true;
	}
	return false;
}

/*
 * The changes since a revision have a row for each server that was created
 * since and that the sender ever knew. A server that came and went before the
 * sender noticed has none, and would stay here for good.
 */
static bool has_unknown_server(const struct view_share *share,
			       const Peer__ViewUpdate *message,
			       Peer__ViewServer *const *rows, size_t n)
{
	const struct registry *registry = share->sync->registry;
	const struct registry_server *server;

	for (server = registry->servers; server; server = server->hh.next) {
		/* Those of an earlier era have no revision. */
		if (server->changed_at &&
		    server->changed_at <= message->servers_at &&
		    server->entry.created_at > message->servers_from &&
		    !has_row(rows, n, server->entry.id))
			return true;
	}
	return false;
}

static int apply_servers(struct view_share *share,
			 const Peer__ViewUpdate *message,
			 Peer__ViewServer *const *servers, size_t n)
{
	struct store_feed *feed = &share->sync->feeds[STORE_SERVERS];
	int64_t fresh_at = confirmed_at(share, message->servers_age_ms);
	bool is_ahead = share->last_change > message->servers_from;
	size_t i;

	if (message->servers_age_ms == UINT32_MAX)
		return 0;
	if (message->whole)
		store_sync_begin_snapshot(share->sync);
	for (i = 0; i < n; i++)
		apply_row(share, servers[i], message->whole);
	if (message->whole)
		store_sync_end_snapshot(share->sync, message->servers_at,
					fresh_at);
	else if (feed->fresh_at < 0 || feed->revision < message->servers_from)
		return ERR_VERSION;
	else if (is_ahead && has_unknown_server(share, message, servers, n))
		return ERR_CONFLICT;
	store_sync_confirm(share->sync, STORE_SERVERS, message->servers_at,
			   fresh_at);
	return 0;
}

/* Servers are applied even if the routes are invalid. */
int view_apply(struct view_share *share, const char *member,
	       const Peer__ViewUpdate *message, const Peer__ViewBody *body)
{
	const ProtobufCBinaryData *routes =
		body ? &body->routes : &message->routes;
	int servers_ret;
	int ret;

	/* Routes are ordered by version in all eras; the rest is outdated. */
	if (store_sync_enter_era(share->sync, message->store_era,
				 message->servers_at, member)) {
		apply_document(share, routes);
		return ERR_STALE;
	}
	view_share_follow_era(share);
	if (message->store_failed) {
		share->failure_at = clock_now(share->clock);
		store_sync_note_failure(share->sync);
		return 0;
	}
	apply_cordons(share, message);
	ret = apply_routes(share, message, routes);
	servers_ret =
		apply_servers(share, message,
			      body ? body->servers : message->servers,
			      body ? body->n_servers : message->n_servers);
	return ret ? ret : servers_ret;
}
