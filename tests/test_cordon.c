#include <stdio.h>
#include <string.h>

#include "cordon_sync.h"
#include "unit.h"

#define START MSEC(1000000)
#define COLD_FOR MSEC(3000)

struct world {
	struct clock clock;
	struct registry registry;
	struct cordon_sync sync;
	int n_closed;
};

static void on_closing(void *arg, struct registry_server *server)
{
	struct world *world = arg;

	(void)server;
	world->n_closed++;
}

static struct registry_server *add_server(struct world *world, const char *id,
					  const char *dc)
{
	struct server_entry entry = {.slots = 2, .service = "s"};

	snprintf(entry.id, sizeof(entry.id), "%s", id);
	snprintf(entry.data_centre, sizeof(entry.data_centre), "%s", dc);
	registry_put(&world->registry, &entry, 1);
	return registry_find(&world->registry, str_from(id));
}

static void world_init(struct world *world)
{
	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, START);
	registry_init(&world->registry, STR("dc1"), on_closing, world);
	cordon_sync_init(&world->sync, &world->clock, &world->registry);
}

static void apply_change(struct world *world, const char *dc, uint64_t at,
			 bool removed)
{
	struct store_item item = {.kind = STORE_ITEM_CORDON,
				  .changed_at = at,
				  .removed = removed};

	store_key_set(&item.name, str_from(dc));
	cordon_sync_apply_item(&world->sync, &item);
	cordon_sync_confirm(&world->sync, at);
}

static struct registry_server *pick_server(struct world *world)
{
	static const struct registry_criteria anywhere;

	return registry_pick(registry_service(&world->registry, STR("s")),
			     &anywhere, clock_now(&world->clock));
}

/*
 * Operators cordon a data centre and stop its servers. When the cordon was not
 * evaluated, requests were still sent there and hung until their deadline.
 */
static void test_cordoned_server_is_not_picked(void)
{
	struct registry_server *near;
	struct registry_server *far;
	struct world world;

	world_init(&world);
	near = add_server(&world, "near", "dc1");
	far = add_server(&world, "far", "dc2");
	CU_ASSERT(pick_server(&world) == near);
	apply_change(&world, "dc1", 10, false);
	CU_ASSERT(!registry_is_open(near) && registry_is_open(far));
	CU_ASSERT(pick_server(&world) == far);
	CU_ASSERT(world.n_closed == 1);
	/* A server added to a cordoned data centre is not open either. */
	CU_ASSERT(!registry_is_open(add_server(&world, "new", "dc1")));
	/* No server is picked rather than a cordoned one. */
	apply_change(&world, "dc2", 11, false);
	CU_ASSERT(!pick_server(&world));
	apply_change(&world, "dc1", 12, true);
	CU_ASSERT(pick_server(&world) == near);
	registry_finish(&world.registry);
}

/*
 * The servers may have restarted during the cordon and are cold afterwards;
 * they crash if the full load returns at once.
 */
static void test_cold_afterwards(void)
{
	struct registry_server *server;
	struct world world;

	world_init(&world);
	server = add_server(&world, "a", "dc1");
	server->service->warmup =
		(struct warmup_limit){.cold_for = COLD_FOR, .bound = 14};
	CU_ASSERT(!registry_is_cold(server, START));
	apply_change(&world, "dc1", 10, false);
	clock_advance(&world.clock, MSEC(9000));
	apply_change(&world, "dc1", 11, true);
	CU_ASSERT(registry_is_cold(server, clock_now(&world.clock)));
	clock_advance(&world.clock, COLD_FOR);
	CU_ASSERT(!registry_is_cold(server, clock_now(&world.clock)));
	registry_finish(&world.registry);
}

/*
 * An instance gets the whole set from a peer, then an older set from another
 * one. The older set must neither remove a cordon nor restore a removed one.
 */
static void test_newer_set_wins(void)
{
	struct cordon_set from = {.revision = 20};
	struct world world;

	world_init(&world);
	apply_change(&world, "dc1", 10, false);
	cordon_set_add(&from, STR("dc2"), 15);
	cordon_sync_apply_peer_set(&world.sync, &from);
	CU_ASSERT(!cordon_set_contains(&world.registry.cordons, STR("dc1")));
	CU_ASSERT(cordon_set_contains(&world.registry.cordons, STR("dc2")));
	from = (struct cordon_set){.revision = 12};
	cordon_set_add(&from, STR("dc1"), 10);
	cordon_sync_apply_peer_set(&world.sync, &from);
	CU_ASSERT(!cordon_set_contains(&world.registry.cordons, STR("dc1")));
	CU_ASSERT(cordon_set_contains(&world.registry.cordons, STR("dc2")));
	/* A cordon newer than the peer's revision stays. */
	apply_change(&world, "dc3", 30, false);
	world.registry.cordons.revision = 20;
	from = (struct cordon_set){.revision = 25};
	cordon_sync_apply_peer_set(&world.sync, &from);
	CU_ASSERT(cordon_set_contains(&world.registry.cordons, STR("dc3")));
	CU_ASSERT(!cordon_set_contains(&world.registry.cordons, STR("dc2")));
	registry_finish(&world.registry);
}

/*
 * The store compacted its history after a cordon was removed: the instance sees
 * no removal, only a list without the cordon.
 */
static void test_list_without_it(void)
{
	struct world world;

	world_init(&world);
	apply_change(&world, "dc1", 10, false);
	cordon_sync_begin_list(&world.sync);
	apply_change(&world, "dc2", 12, false);
	cordon_sync_end_list(&world.sync, 15);
	CU_ASSERT(!cordon_set_contains(&world.registry.cordons, STR("dc1")));
	CU_ASSERT(cordon_set_contains(&world.registry.cordons, STR("dc2")));
	registry_finish(&world.registry);
}

/* A removal that arrives after the cordon was set again is ignored. */
static void test_late_removal(void)
{
	struct world world;

	world_init(&world);
	apply_change(&world, "dc1", 10, false);
	apply_change(&world, "dc1", 12, false);
	apply_change(&world, "dc1", 11, true);
	CU_ASSERT(cordon_set_contains(&world.registry.cordons, STR("dc1")));
	registry_finish(&world.registry);
}

static void test_bounded(void)
{
	struct cordon_set cordons = {.n = 0};
	char name[16];
	int i;

	for (i = 0; i < CORDONS_MAX; i++) {
		snprintf(name, sizeof(name), "dc%d", i);
		CU_ASSERT(cordon_set_add(&cordons, str_from(name), 1));
	}
	CU_ASSERT(!cordon_set_add(&cordons, STR("one-more"), 1));
	CU_ASSERT(cordons.n == CORDONS_MAX);
}

/* Guards against a name that is cut, and so names another data centre. */
static void test_odd_names(void)
{
	struct store_item item = {.kind = STORE_ITEM_CORDON, .changed_at = 12};
	char name[CORDON_NAME_SIZE + 1];
	struct world world;

	world_init(&world);
	memset(name, 'd', sizeof(name));
	name[CORDON_NAME_SIZE] = '\0';
	apply_change(&world, name, 10, false);
	apply_change(&world, "", 10, false);
	store_key_set(&item.name, STR("dc1\0x"));
	cordon_sync_apply_item(&world.sync, &item);
	CU_ASSERT_EQUAL(world.registry.cordons.n, 0);
	apply_change(&world, name + 1, 10, false);
	apply_change(&world, "dc1", 10, false);
	CU_ASSERT_EQUAL(world.registry.cordons.n, 2);
	item.removed = true;
	cordon_sync_apply_item(&world.sync, &item);
	CU_ASSERT(cordon_set_contains(&world.registry.cordons, STR("dc1")));
	registry_finish(&world.registry);
}

static const struct unit_test tests[] = {
	{"cordoned server is not picked", test_cordoned_server_is_not_picked},
	{"cold afterwards", test_cold_afterwards},
	{"newer set wins", test_newer_set_wins},
	{"list without it", test_list_without_it},
	{"late removal", test_late_removal},
	{"bounded", test_bounded},
	{"odd names", test_odd_names},
};

UNIT_MAIN("cordon", tests)
