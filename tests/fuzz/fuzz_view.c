/* Fuzzes the view updates and view requests of another gateway. */
#include "fuzz.h"

#include "platform/names.h"
#include "view_share.h"

struct fixture {
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
	struct fixture *fixture = arg;

	view_share_record_change(&fixture->share, id, changed_at, removed);
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
	.routes_changed = on_routes,
	.server_changed = on_server,
};

static const struct view_share_ops share_ops = {
	.update = on_update,
	.request = on_request,
};

static void fixture_init(struct fixture *fixture)
{
	clock_init_paused(&fixture->clock, MSEC(1000000));
	registry_init(&fixture->registry, STR("dc"), on_closing, NULL);
	store_sync_init(&fixture->sync, &fixture->clock, &platform_store,
			&sync_ops, fixture, &fixture->registry);
	view_share_init(&fixture->share, &fixture->clock, &share_ops, fixture,
			&fixture->sync, "self", "dc");
}

static void fixture_finish(struct fixture *fixture)
{
	view_share_finish(&fixture->share);
	store_sync_finish(&fixture->sync);
	registry_finish(&fixture->registry);
}

static void process_message(struct fixture *fixture, const uint8_t *data,
			    size_t size)
{
	Peer__ViewUpdate *update = peer__view_update__unpack(NULL, size, data);
	Peer__ViewRequest *request =
		peer__view_request__unpack(NULL, size, data);

	if (update) {
		view_share_update(&fixture->share, "peer", update);
		peer__view_update__free_unpacked(update, NULL);
	}
	if (request) {
		view_share_request(&fixture->share, "peer", request);
		peer__view_request__free_unpacked(request, NULL);
	}
	clock_advance(&fixture->clock, MSEC(700));
	store_sync_tick(&fixture->sync);
	view_share_publish(&fixture->share);
}

/* An input holds several messages, each preceded by a length byte. */
int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct fixture fixture;
	size_t at = 0;

	fixture_init(&fixture);
	while (at < size) {
		size_t len = data[at++];

		if (len > size - at)
			len = size - at;
		process_message(&fixture, data + at, len);
		at += len;
	}
	fixture_finish(&fixture);
	return 0;
}
