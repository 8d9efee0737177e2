#include "view_update.h"

#include <stdlib.h>

#include "mem.h"
#include "view_compress.h"

static void view_update_init(struct view_update *update, int max)
{
	size_t n = (size_t)(max > 0 ? max : 1);

	peer__view_update__init(&update->message);
	update->rows = mem_zalloc(n * sizeof(*update->rows));
	update->row_pointers = mem_zalloc(n * sizeof(*update->row_pointers));
	update->addresses = mem_zalloc(n * sizeof(*update->addresses));
	update->packed = NULL;
	update->n_rows = 0;
	update->max = max;
}

void view_update_failure(const struct view_share *share,
			 struct view_update *update)
{
	view_update_init(update, 0);
	update->message.store_failed = true;
	update->message.store_era = share->sync->era;
	update->message.routes_age_ms = UINT32_MAX;
	update->message.servers_age_ms = UINT32_MAX;
}

void view_update_finish(struct view_update *update)
{
	free(update->rows);
	free(update->row_pointers);
	free(update->addresses);
	free(update->packed);
}

static Peer__ViewServer *add_row(struct view_update *update)
{
	Peer__ViewServer *row = &update->rows[update->n_rows];

	peer__view_server__init(row);
	update->row_pointers[update->n_rows++] = row;
	return row;
}

static void add_server(struct view_update *update,
		       struct registry_server *server, int64_t now)
{
	char *address = update->addresses[update->n_rows];
	Peer__ViewServer *row = add_row(update);

	address_format(&server->entry.address, address, ADDRESS_TEXT_SIZE);
	row->id = server->entry.id;
	row->service = server->entry.service;
	row->data_centre = server->entry.data_centre;
	row->address = address;
	row->slots = (uint32_t)server->entry.slots;
	row->draining = server->entry.draining;
	row->changed_at = server->changed_at;
	row->born = server->entry.started_at_ms;
	row->created_at = server->entry.created_at;
	row->sequence = server->entry.sequence;
	row->recounted_at = server->entry.recounted_at;
	if (server->cold_until > now)
		row->cold_for_ms =
			(uint32_t)((server->cold_until - now) / USEC_PER_MSEC);
}

static uint32_t age_ms(const struct view_share *share,
		       const struct store_feed *feed)
{
	int64_t age = clock_now(share->clock) - feed->fresh_at;

	return feed->fresh_at < 0 ? UINT32_MAX
				  : (uint32_t)(age / USEC_PER_MSEC);
}

/* Each message has all cordons, so that a lost one needs no repair. */
static void add_cordons(const struct cordon_set *cordons,
			struct view_update *update)
{
	int i;

	for (i = 0; i < cordons->n; i++) {
		Peer__ViewCordon *row = &update->cordons[i];

		peer__view_cordon__init(row);
		row->data_centre = (char *)cordons->list[i].data_centre;
		row->changed_at = cordons->list[i].changed_at;
		update->cordon_pointers[i] = row;
	}
	update->message.cordons = update->cordon_pointers;
	update->message.n_cordons = (size_t)cordons->n;
}

void view_update_fill_ages(const struct view_share *share,
			   struct view_update *update)
{
	const struct store_feed *feeds = share->sync->feeds;
	Peer__ViewUpdate *message = &update->message;

	message->store_era = share->sync->era;
	message->routes_age_ms = age_ms(share, &feeds[STORE_ROUTES]);
	message->routes_at = feeds[STORE_ROUTES].revision;
	message->servers_age_ms = age_ms(share, &feeds[STORE_SERVERS]);
	/*
	 * While removals are held back here, no revision is stated: receivers
	 * must still get these removals, from another instance if this one
	 * fails.
	 */
	if (!server_view_holds_back(&share->sync->servers))
		message->servers_at = feeds[STORE_SERVERS].revision;
	if (share->sync->routes)
		message->routes_version = share->sync->routes->version;
	add_cordons(&share->sync->registry->cordons, update);
}

void view_update_add_state(const struct view_share *share,
			   struct view_update *update, bool with_routes)
{
	const struct route_set *routes = share->sync->routes;
	Peer__ViewUpdate *message = &update->message;

	view_update_fill_ages(share, update);
	message->servers = update->row_pointers;
	message->n_servers = (size_t)update->n_rows;
	if (routes && with_routes) {
		message->routes.data = (uint8_t *)routes->text;
		message->routes.len = routes->text_len;
	}
	update->packed = view_compress(message);
}

static void add_change(const struct view_share *share,
		       struct view_update *update,
		       const struct view_change *change)
{
	struct registry_server *server =
		registry_find(share->sync->registry, str_from(change->id));
	Peer__ViewServer *row;

	if (server) {
		add_server(update, server, clock_now(share->clock));
		return;
	}
	/* Removed since, which a later change records. */
	if (!change->removed)
		return;
	row = add_row(update);
	row->id = (char *)change->id;
	row->removed = true;
	row->changed_at = change->changed_at;
}

int view_update_count_changes(const struct view_share *share, uint64_t since)
{
	const struct store_feed *feed = &share->sync->feeds[STORE_SERVERS];
	uint64_t i = share->n_changes;
	int n = 0;

	if (!store_feed_has_changes(feed, since))
		return -1;
	while (i > 0) {
		const struct view_change *change =
			&share->changes[(i - 1) % VIEW_CHANGES_MAX];

		if (change->view_revision <= since)
			return n;
		if (++n == VIEW_CHANGES_MAX)
			return -1;
		i--;
	}
	return n;
}

void view_update_changes(struct view_share *share, struct view_update *update,
			 uint64_t since, int n)
{
	uint64_t i;

	view_update_init(update, n);
	for (i = share->n_changes - (uint64_t)n; i < share->n_changes; i++)
		add_change(share, update,
			   &share->changes[i % VIEW_CHANGES_MAX]);
	update->message.servers_from = since;
}

void view_update_snapshot(struct view_share *share, struct view_update *update)
{
	struct registry *registry = share->sync->registry;
	struct registry_server *server;

	view_update_init(update, (int)HASH_COUNT(registry->servers));
	for (server = registry->servers; server; server = server->hh.next)
		add_server(update, server, clock_now(share->clock));
	update->message.whole = true;
}
