#include "share_status.h"

#include <event2/buffer.h>

#include "json_text.h"
#include "member.h"
#include "share.h"

static int own_servers(const struct share *share, const struct share_pool *pool)
{
	int n = 0;
	int i;

	for (i = 0; i < share->n_rows; i++)
		n += share->rows[i].pool == pool && share->rows[i].cap.slots;
	return n;
}

/* Members that have not settled the target view yet and so delay it. */
static void add_waiting(struct evbuffer *out, const struct share_pool *pool)
{
	const struct share_view *view = &pool->views[pool->n_views - 1];
	const struct share_peer *peer;
	int n = 0;

	evbuffer_add_printf(out, ",\"waiting_for\":[");
	for (peer = pool->peers; peer; peer = peer->hh.next) {
		if (pool->in_force || !peer->required ||
		    (peer->digest == view->digest && peer->settled &&
		     peer->echo == pool->generation))
			continue;
		if (n++)
			evbuffer_add(out, ",", 1);
		json_text_add_string(out, str_from(peer->instance));
	}
	evbuffer_add(out, "]}", 2);
}

static void add_pool(struct evbuffer *out, const struct share *share,
		     const struct share_pool *pool)
{
	evbuffer_add_printf(out, "{\"data_centre\":");
	json_text_add_string(out, str_from(pool->data_centre));
	evbuffer_add_printf(out,
			    ",\"holders\":%d,\"in_force\":%s,\"servers\":%d",
			    pool->views[pool->n_views - 1].n,
			    pool->in_force ? "true" : "false",
			    pool->suspended ? 0 : own_servers(share, pool));
	add_waiting(out, pool);
}

void share_status_add(struct evbuffer *out, struct share *share)
{
	const struct share_pool *pool;
	int n = 0;

	if (!share) {
		evbuffer_add_printf(out, "null");
		return;
	}
	evbuffer_add_printf(out, "{\"lease_valid\":%s,\"data_centres\":[",
			    share_lease_valid(share) ? "true" : "false");
	for (pool = share->pools; pool; pool = pool->hh.next) {
		if (!pool->n_views || !pool->views[pool->n_views - 1].has_self)
			continue;
		if (n++)
			evbuffer_add(out, ",", 1);
		add_pool(out, share, pool);
	}
	evbuffer_add(out, "]}", 2);
}
