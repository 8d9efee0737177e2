/*
 * Entries that choose among the servers of one shard, one a data centre, on the
 * paused clock. Those of a server's data centre send to it directly and tell
 * the others what they see.
 */
#include <string.h>

#include "registry.h"
#include "server_pace.h"
#include "unit.h"

#define ENTRIES 6
#define SERVERS 3
#define SLOTS 2
#define PARTS 8192
#define USUAL MSEC(10)
#define WAY MSEC(2)

static const char *const data_centres[SERVERS] = {"a", "b", "c"};

struct part {
	int entry;
	int server;
	int64_t starts_at;
	int64_t ends_at; /* 0: it is over */
};

struct world {
	struct clock clock;
	struct registry entries[ENTRIES];
	int64_t pace[SERVERS];
	int64_t free_at[SERVERS][SLOTS];
	struct part parts[PARTS];
	int n_parts;
	int sent[SERVERS];
	int64_t longest_wait;
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static void add_server(struct registry *registry, int i, uint64_t changed_at)
{
	struct server_entry entry = {.slots = SLOTS};

	str_copy(entry.id, sizeof(entry.id), str_from(data_centres[i]));
	str_copy(entry.service, sizeof(entry.service), STR("shard"));
	str_copy(entry.data_centre, sizeof(entry.data_centre),
		 str_from(data_centres[i]));
	registry_put(registry, &entry, changed_at);
}

static void start(struct world *world)
{
	int i;
	int k;

	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, MSEC(1000000));
	for (i = 0; i < ENTRIES; i++) {
		struct registry *registry = &world->entries[i];

		registry_init(registry, str_from(data_centres[i % SERVERS]),
			      on_closing, NULL);
		registry->use_shared_estimates = true;
		for (k = 0; k < SERVERS; k++)
			add_server(registry, k, 1);
	}
	for (k = 0; k < SERVERS; k++)
		world->pace[k] = USUAL;
}

static void finish(struct world *world)
{
	int i;

	for (i = 0; i < ENTRIES; i++)
		registry_finish(&world->entries[i]);
}

static struct registry_server *server_at(struct world *world, int entry, int k)
{
	return registry_find(&world->entries[entry], str_from(data_centres[k]));
}

static bool is_near(int entry, int server)
{
	return entry % SERVERS == server;
}

/* The first slot of a server that is free. */
static int64_t *next_slot(struct world *world, int server)
{
	int64_t *slots = world->free_at[server];

	return slots[0] <= slots[1] ? &slots[0] : &slots[1];
}

static int64_t ahead_at(struct world *world, int server)
{
	int64_t ahead = *next_slot(world, server) - clock_now(&world->clock);

	return ahead > 0 ? ahead : 0;
}

/* A sender of the server's data centre sees the answer, and tells the entry. */
static void end(struct world *world, struct part *part)
{
	int64_t now = clock_now(&world->clock);
	int64_t took = part->ends_at - part->starts_at;
	int relay = part->server + (part->entry % 2) * SERVERS;
	struct registry_server *own =
		server_at(world, part->entry, part->server);
	struct registry_server *seen = own;

	part->ends_at = 0;
	if (!is_near(part->entry, part->server)) {
		seen = server_at(world, relay, part->server);
		server_score_sent(&seen->score, now);
		server_score_result(&own->score, SERVER_ANSWERED, took, now);
		registry_record_latency(own->service, took);
	}
	server_timing_result(seen, SERVER_ANSWERED, took, now);
	server_estimate_set_wait(&seen->outlook, 0,
				 ahead_at(world, part->server), now);
	if (seen == own)
		return;
	server_estimate_set_wait(&own->outlook, 0,
				 ahead_at(world, part->server), now);
	server_timing_add_report(own, seen->outlook.pace, "relay", now);
}

static void send_part(struct world *world, int entry)
{
	const struct registry_criteria choice = {
		.relayed = true,
		.salt = (uint64_t)(world->n_parts * ENTRIES + entry)};
	int64_t now = clock_now(&world->clock);
	struct registry_server *server =
		registry_pick(registry_service(&world->entries[entry],
					       STR("shard")),
			      &choice, now);
	struct part *part = &world->parts[world->n_parts++ % PARTS];
	int k = server->entry.id[0] - 'a';
	int64_t *slot = next_slot(world, k);

	if (!is_near(entry, k))
		now += WAY;
	server_score_sent(&server->score, now);
	part->entry = entry;
	part->server = k;
	part->starts_at = *slot > now ? *slot : now;
	part->ends_at = part->starts_at + world->pace[k];
	*slot = part->ends_at;
	world->sent[k]++;
	if (part->starts_at - now > world->longest_wait)
		world->longest_wait = part->starts_at - now;
}

static void step(struct world *world)
{
	int i;

	clock_advance(&world->clock, MSEC(1));
	for (i = 0; i < PARTS; i++) {
		struct part *part = &world->parts[i];

		if (part->ends_at && part->ends_at <= clock_now(&world->clock))
			end(world, part);
	}
}

/* @every: milliseconds between requests of an entry; 0: it sends none */
static void play(struct world *world, int ms, const int every[ENTRIES])
{
	int i;
	int t;

	memset(world->sent, 0, sizeof(world->sent));
	world->longest_wait = 0;
	for (t = 0; t < ms; t++) {
		step(world);
		for (i = 0; i < ENTRIES; i++) {
			if (every[i] && t % every[i] == i * every[i] / ENTRIES)
				send_part(world, i);
		}
	}
}

static double share_of(const struct world *world, int server)
{
	return (double)world->sent[server] /
	       (double)(world->sent[0] + world->sent[1] + world->sent[2]);
}

/* Two quick servers and one three times slower run 467 requests a second. */
static const int heavy[ENTRIES] = {14, 14, 14, 14, 14, 14};
static const int moderate[ENTRIES] = {30, 30, 30, 30, 30, 30};

/* Guards against load that follows counts: the slow server would get a third.
 */
static void test_shares_follow_speed(void)
{
	struct world world;

	start(&world);
	play(&world, 500, moderate);
	world.pace[2] = 3 * USUAL;
	play(&world, 1000, heavy);
	CU_ASSERT(share_of(&world, 2) < 0.25);
	play(&world, 1000, heavy);
	CU_ASSERT(share_of(&world, 2) < 0.2);
	CU_ASSERT(share_of(&world, 2) > 0.07);
	CU_ASSERT(share_of(&world, 0) > 0.35);
	CU_ASSERT(share_of(&world, 1) > 0.35);
	CU_ASSERT(world.longest_wait < 10 * USUAL);
	finish(&world);
}

/* Guards against a server that goes without requests once it is quick again. */
static void test_recovered_gets_its_share(void)
{
	struct world world;

	start(&world);
	world.pace[0] = 8 * USUAL;
	play(&world, 2000, moderate);
	CU_ASSERT(share_of(&world, 0) < 0.15);
	world.pace[0] = USUAL;
	play(&world, 2000, heavy);
	play(&world, 1000, heavy);
	CU_ASSERT(share_of(&world, 0) > 0.25);
	finish(&world);
}

/* Guards against requests of one data centre that queue at its own server. */
static void test_wave_spills_before_it_queues(void)
{
	static const int wave[ENTRIES] = {6, 30, 30, 6, 30, 30};
	struct world world;

	start(&world);
	play(&world, 500, moderate);
	play(&world, 1000, wave);
	CU_ASSERT(share_of(&world, 0) < 0.5);
	CU_ASSERT(share_of(&world, 1) > 0.2);
	CU_ASSERT(share_of(&world, 2) > 0.2);
	CU_ASSERT(world.longest_wait < 4 * USUAL);
	finish(&world);
}

/* Guards against a new server that all choose, or none. */
static void test_new_server_is_not_stormed(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < ENTRIES; i++)
		registry_remove(&world.entries[i], STR("b"), 2);
	play(&world, 1000, moderate);
	for (i = 0; i < ENTRIES; i++)
		add_server(&world.entries[i], 1, 3);
	play(&world, 500, moderate);
	CU_ASSERT(share_of(&world, 1) > 0.25);
	CU_ASSERT(share_of(&world, 1) < 0.6);
	CU_ASSERT(world.longest_wait < 4 * USUAL);
	finish(&world);
}

static struct registry_server *picked(struct world *world, int entry, int level)
{
	const struct registry_criteria choice = {.relayed = true,
						 .level = level};

	return registry_pick(registry_service(&world->entries[entry],
					      STR("shard")),
			     &choice, clock_now(&world->clock));
}

/* Guards against a word that counts for good: a queue is worked off. */
static void test_old_word_fades(void)
{
	struct registry_server *near;
	struct world world;

	start(&world);
	play(&world, 500, moderate);
	near = server_at(&world, 0, 0);
	server_estimate_set_wait(&near->outlook, 0, MSEC(200),
				 clock_now(&world.clock));
	server_timing_add_report(near, 6 * USUAL, "relay",
				 clock_now(&world.clock));
	CU_ASSERT(picked(&world, 0, 0) != near);
	/* Nothing was told of this level. */
	CU_ASSERT(server_estimate_wait(&near->outlook, 1,
				       clock_now(&world.clock)) == 0);
	clock_advance(&world.clock, MSEC(8000));
	CU_ASSERT(picked(&world, 0, 0) == near);
	finish(&world);
}

/* Guards against a peer whose figures draw all requests, or keep all away. */
static void test_nonsense_is_bounded(void)
{
	struct registry_server *near;
	struct world world;
	double pace;

	start(&world);
	play(&world, 500, moderate);
	near = server_at(&world, 0, 0);
	server_timing_add_report(near, 1e300, "relay", clock_now(&world.clock));
	pace = server_estimate_processing_time(&near->outlook, USUAL,
					       clock_now(&world.clock));
	CU_ASSERT(pace <= 16 * USUAL);
	server_timing_add_report(near, -1e300, "relay",
				 clock_now(&world.clock));
	CU_ASSERT(pace ==
		  server_estimate_processing_time(&near->outlook, USUAL,
						  clock_now(&world.clock)));
	clock_advance(&world.clock, MSEC(500));
	server_timing_add_report(near, 1, "relay", clock_now(&world.clock));
	CU_ASSERT(server_estimate_processing_time(&near->outlook, USUAL,
						  clock_now(&world.clock)) >=
		  (double)USUAL / 16);
	/* Its answers tell: within two seconds it has no more than its share.
	 */
	play(&world, 2000, heavy);
	CU_ASSERT(share_of(&world, 0) < 0.5);
	finish(&world);
}

/* Guards against a server taken for stopped while parts wait at its relay. */
static void test_waiting_is_not_a_stop(void)
{
	struct registry_criteria choice = {.fresh_only = true, .relayed = true};
	struct registry_service *service;
	struct registry_server *server;
	struct world world;
	int64_t now;

	start(&world);
	registry_remove(&world.entries[0], STR("b"), 2);
	registry_remove(&world.entries[0], STR("c"), 2);
	now = clock_now(&world.clock);
	service = registry_service(&world.entries[0], STR("shard"));
	server = server_at(&world, 0, 0);
	server_estimate_set_wait(&server->outlook, 2, MSEC(80), now);
	server_score_sent(&server->score, now);
	CU_ASSERT(registry_pick(service, &choice, now + MSEC(90)) == server);
	CU_ASSERT(!registry_pick(service, &choice, now + MSEC(150)));
	finish(&world);
}

/* Guards against a change of what is served where the switch is off. */
static void test_off_by_default(void)
{
	struct registry_server *near;
	struct world world;

	start(&world);
	world.entries[0].use_shared_estimates = false;
	near = server_at(&world, 0, 0);
	server_estimate_set_wait(&near->outlook, 0, MSEC(200),
				 clock_now(&world.clock));
	server_timing_add_report(near, 16 * USUAL, "relay",
				 clock_now(&world.clock));
	CU_ASSERT(picked(&world, 0, 0) == near);
	finish(&world);
}

static const struct unit_test tests[] = {
	{"shares follow speed", test_shares_follow_speed},
	{"a recovered server gets its share", test_recovered_gets_its_share},
	{"a wave spills before it queues", test_wave_spills_before_it_queues},
	{"a new server is not stormed", test_new_server_is_not_stormed},
	{"an old word fades", test_old_word_fades},
	{"nonsense is bounded", test_nonsense_is_bounded},
	{"waiting is not a stop", test_waiting_is_not_a_stop},
	{"off by default", test_off_by_default},
};

UNIT_MAIN("server_pace", tests)
