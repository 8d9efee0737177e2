/* What another gateway tells of its view, and asks for. */
#include "fuzz.h"

#include "platform/names.h"
#include "view_share.h"

struct world {
	struct clock clock;
	struct registry registry;
	struct store_sync sync;
	struct view_share share;
};

static void on_call(void *arg, const struct store_call *call, int64_t timeout)
{
	(void)arg;
	(void)call;
	(void)timeout;
}

static void on_routes(void *arg)
{
	(void)arg;
}

static void on_server(void *arg, const char *id, uint64_t changed_at,
		      bool removed)
{
	struct world *world = arg;

	view_share_record_change(&world->share, id, changed_at, removed);
}

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static bool on_update(void *arg, const char *member,
		      const Peer__ViewUpdate *message)
{
	(void)arg;
	(void)member;
	(void)message;
	return true;
}

static bool on_request(void *arg, const char *member,
		       const Peer__ViewRequest *message)
{
	(void)arg;
	(void)member;
	(void)message;
	return true;
}

static const struct store_sync_ops sync_ops = {
	.call = on_call,
	.routes = on_routes,
	.server = on_server,
};

static const struct view_share_ops share_ops = {
	.update = on_update,
	.request = on_request,
};

static void start(struct world *world)
{
	clock_init_paused(&world->clock, MSEC(1000000));
	registry_init(&world->registry, STR("dc"), on_closing, NULL);
	store_sync_init(&world->sync, &world->clock, &platform_store, &sync_ops,
			world, &world->registry);
	view_share_init(&world->share, &world->clock, &share_ops, world,
			&world->sync, "self", "dc");
}

static void finish(struct world *world)
{
	view_share_finish(&world->share);
	store_sync_finish(&world->sync);
	registry_finish(&world->registry);
}

static void take(struct world *world, const uint8_t *data, size_t size)
{
	Peer__ViewUpdate *update = peer__view_update__unpack(NULL, size, data);
	Peer__ViewRequest *request =
		peer__view_request__unpack(NULL, size, data);

	if (update) {
		view_share_update(&world->share, "peer", update);
		peer__view_update__free_unpacked(update, NULL);
	}
	if (request) {
		view_share_request(&world->share, "peer", request);
		peer__view_request__free_unpacked(request, NULL);
	}
	clock_advance(&world->clock, MSEC(700));
	store_sync_tick(&world->sync);
	view_share_publish(&world->share);
}

/* Several messages, each behind a byte with its length. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct world world;
	size_t at = 0;

	start(&world);
	while (at < size) {
		size_t len = data[at++];

		if (len > size - at)
			len = size - at;
		take(&world, data + at, len);
		at += len;
	}
	finish(&world);
	return 0;
}
