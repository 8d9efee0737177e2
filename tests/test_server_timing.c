/*
 * Entry instances that choose among the servers of one shard, one server in
 * each data centre, on a paused clock. Instances in a server's data centre send
 * to it directly and report what they measure to the others.
 */
#include <string.h>

#include "registry.h"
#include "server_timing.h"
#include "unit.h"

#define N_INSTANCES 6
#define SERVERS 3
#define SLOTS 2
#define PARTS 8192
#define BASELINE MSEC(10)
#define ONE_WAY MSEC(2)

static const char *const data_centres[SERVERS] = {"a", "b", "c"};

struct part {
	int entry;
	int server;
	int64_t starts_at;
	int64_t ends_at; /* 0: not in progress */
};

struct world {
	struct clock clock;
	struct registry instances[N_INSTANCES];
	int64_t processing_time[SERVERS];
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
	for (i = 0; i < N_INSTANCES; i++) {
		struct registry *registry = &world->instances[i];

		registry_init(registry, str_from(data_centres[i % SERVERS]),
			      on_closing, NULL);
		registry->use_shared_estimates = true;
		for (k = 0; k < SERVERS; k++)
			add_server(registry, k, 1);
	}
	for (k = 0; k < SERVERS; k++)
		world->processing_time[k] = BASELINE;
}

static void finish(struct world *world)
{
	int i;

	for (i = 0; i < N_INSTANCES; i++)
		registry_finish(&world->instances[i]);
}

static struct registry_server *server_at(struct world *world, int entry, int k)
{
	return registry_find(&world->instances[entry],
			     str_from(data_centres[k]));
}

static bool is_near(int entry, int server)
{
	return entry % SERVERS == server;
}

/* The slot of a server that becomes free first. */
static int64_t *next_slot(struct world *world, int server)
{
	int64_t *slots = world->free_at[server];

	return slots[0] <= slots[1] ? &slots[0] : &slots[1];
}

static int64_t wait_at(struct world *world, int server)
{
	int64_t wait = *next_slot(world, server) - clock_now(&world->clock);

	return wait > 0 ? wait : 0;
}

/*
 * The instance that sent the part to the server measures the answer and reports
 * it to the entry instance.
 */
static void finish_part(struct world *world, struct part *part)
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
	server_estimate_set_wait(&seen->estimate, 0,
				 wait_at(world, part->server), now);
	if (seen == own)
		return;
	server_estimate_set_wait(&own->estimate, 0,
				 wait_at(world, part->server), now);
	server_timing_add_report(own, seen->estimate.processing_time, "relay",
				 now);
}

static void send_part(struct world *world, int entry)
{
	const struct registry_criteria criteria = {
		.relayed = true,
		.salt = (uint64_t)(world->n_parts * N_INSTANCES + entry)};
	int64_t now = clock_now(&world->clock);
	struct registry_server *server =
		registry_pick(registry_service(&world->instances[entry],
					       STR("shard")),
			      &criteria, now);
	struct part *part = &world->parts[world->n_parts++ % PARTS];
	int k = server->entry.id[0] - 'a';
	int64_t *slot = next_slot(world, k);

	if (!is_near(entry, k))
		now += ONE_WAY;
	server_score_sent(&server->score, now);
	part->entry = entry;
	part->server = k;
	part->starts_at = *slot > now ? *slot : now;
	part->ends_at = part->starts_at + world->processing_time[k];
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
			finish_part(world, part);
	}
}

/* @every: milliseconds between requests of an entry instance; 0: none */
static void run_load(struct world *world, int ms, const int every[N_INSTANCES])
{
	int i;
	int t;

	memset(world->sent, 0, sizeof(world->sent));
	world->longest_wait = 0;
	for (t = 0; t < ms; t++) {
		step(world);
		for (i = 0; i < N_INSTANCES; i++) {
			if (every[i] &&
			    t % every[i] == i * every[i] / N_INSTANCES)
				send_part(world, i);
		}
	}
}

static double share_of(const struct world *world, int server)
{
	return (double)world->sent[server] /
	       (double)(world->sent[0] + world->sent[1] + world->sent[2]);
}

/* Two fast servers and one three times slower process 467 requests a second. */
static const int heavy[N_INSTANCES] = {14, 14, 14, 14, 14, 14};
static const int moderate[N_INSTANCES] = {30, 30, 30, 30, 30, 30};

/* Guards against sending equal shares: the slow server would get a third. */
static void test_shares_follow_speed(void)
{
	struct world world;

	start(&world);
	run_load(&world, 500, moderate);
	world.processing_time[2] = 3 * BASELINE;
	run_load(&world, 1000, heavy);
	CU_ASSERT(share_of(&world, 2) < 0.25);
	run_load(&world, 1000, heavy);
	CU_ASSERT(share_of(&world, 2) < 0.2);
	CU_ASSERT(share_of(&world, 2) > 0.07);
	CU_ASSERT(share_of(&world, 0) > 0.35);
	CU_ASSERT(share_of(&world, 1) > 0.35);
	CU_ASSERT(world.longest_wait < 10 * BASELINE);
	finish(&world);
}

/* Guards against a server that stays without requests after it recovered. */
static void test_recovered_gets_its_share(void)
{
	struct world world;

	start(&world);
	world.processing_time[0] = 8 * BASELINE;
	run_load(&world, 2000, moderate);
	CU_ASSERT(share_of(&world, 0) < 0.15);
	world.processing_time[0] = BASELINE;
	run_load(&world, 2000, heavy);
	run_load(&world, 1000, heavy);
	CU_ASSERT(share_of(&world, 0) > 0.25);
	finish(&world);
}

/* Guards against requests of one data centre queueing at its own server. */
static void test_burst_uses_other_data_centres(void)
{
	static const int burst[N_INSTANCES] = {6, 30, 30, 6, 30, 30};
	struct world world;

	start(&world);
	run_load(&world, 500, moderate);
	run_load(&world, 1000, burst);
	CU_ASSERT(share_of(&world, 0) < 0.5);
	CU_ASSERT(share_of(&world, 1) > 0.2);
	CU_ASSERT(share_of(&world, 2) > 0.2);
	CU_ASSERT(world.longest_wait < 4 * BASELINE);
	finish(&world);
}

/* Guards against a new server that gets all requests, or none. */
static void test_new_server_is_not_overloaded(void)
{
	struct world world;
	int i;

	start(&world);
	for (i = 0; i < N_INSTANCES; i++)
		registry_remove(&world.instances[i], STR("b"), 2);
	run_load(&world, 1000, moderate);
	for (i = 0; i < N_INSTANCES; i++)
		add_server(&world.instances[i], 1, 3);
	run_load(&world, 500, moderate);
	CU_ASSERT(share_of(&world, 1) > 0.25);
	CU_ASSERT(share_of(&world, 1) < 0.6);
	CU_ASSERT(world.longest_wait < 4 * BASELINE);
	finish(&world);
}

static struct registry_server *picked(struct world *world, int entry, int level)
{
	const struct registry_criteria criteria = {.relayed = true,
						   .level = level};

	return registry_pick(registry_service(&world->instances[entry],
					      STR("shard")),
			     &criteria, clock_now(&world->clock));
}

/* Guards against a reported queue that counts for good. */
static void test_old_reports_decay(void)
{
	struct registry_server *near;
	struct world world;

	start(&world);
	run_load(&world, 500, moderate);
	near = server_at(&world, 0, 0);
	server_estimate_set_wait(&near->estimate, 0, MSEC(200),
				 clock_now(&world.clock));
	server_timing_add_report(near, 6 * BASELINE, "relay",
				 clock_now(&world.clock));
	CU_ASSERT(picked(&world, 0, 0) != near);
	/* Other levels are not affected by the report. */
	CU_ASSERT(server_estimate_wait(&near->estimate, 1,
				       clock_now(&world.clock)) == 0);
	clock_advance(&world.clock, MSEC(8000));
	CU_ASSERT(picked(&world, 0, 0) == near);
	finish(&world);
}

/* Guards against a peer whose reports attract or divert all requests. */
static void test_reports_are_bounded(void)
{
	struct registry_server *near;
	struct world world;
	double processing_time;

	start(&world);
	run_load(&world, 500, moderate);
	near = server_at(&world, 0, 0);
	server_timing_add_report(near, 1e300, "relay", clock_now(&world.clock));
	processing_time =
		server_estimate_processing_time(&near->estimate, BASELINE,
						clock_now(&world.clock));
	CU_ASSERT(processing_time <= 16 * BASELINE);
	server_timing_add_report(near, -1e300, "relay",
				 clock_now(&world.clock));
	CU_ASSERT(processing_time ==
		  server_estimate_processing_time(&near->estimate, BASELINE,
						  clock_now(&world.clock)));
	clock_advance(&world.clock, MSEC(500));
	server_timing_add_report(near, 1, "relay", clock_now(&world.clock));
	CU_ASSERT(server_estimate_processing_time(&near->estimate, BASELINE,
						  clock_now(&world.clock)) >=
		  (double)BASELINE / 16);
	/* After two seconds of answers it has no more than its share. */
	run_load(&world, 2000, heavy);
	CU_ASSERT(share_of(&world, 0) < 0.5);
	finish(&world);
}

/* Guards against treating a server as stopped while parts wait at its relay. */
static void test_waiting_at_relay_is_not_a_stop(void)
{
	struct registry_criteria criteria = {.exclude_avoided = true,
					     .relayed = true};
	struct registry_service *service;
	struct registry_server *server;
	struct world world;
	int64_t now;

	start(&world);
	registry_remove(&world.instances[0], STR("b"), 2);
	registry_remove(&world.instances[0], STR("c"), 2);
	now = clock_now(&world.clock);
	service = registry_service(&world.instances[0], STR("shard"));
	server = server_at(&world, 0, 0);
	server_estimate_set_wait(&server->estimate, 2, MSEC(80), now);
	server_score_sent(&server->score, now);
	CU_ASSERT(registry_pick(service, &criteria, now + MSEC(90)) == server);
	CU_ASSERT(!registry_pick(service, &criteria, now + MSEC(150)));
	finish(&world);
}

/* Guards against a changed choice of servers while the setting is off. */
static void test_off_by_default(void)
{
	struct registry_server *near;
	struct world world;

	start(&world);
	world.instances[0].use_shared_estimates = false;
	near = server_at(&world, 0, 0);
	server_estimate_set_wait(&near->estimate, 0, MSEC(200),
				 clock_now(&world.clock));
	server_timing_add_report(near, 16 * BASELINE, "relay",
				 clock_now(&world.clock));
	CU_ASSERT(picked(&world, 0, 0) == near);
	finish(&world);
}

static const struct unit_test tests[] = {
	{"shares follow speed", test_shares_follow_speed},
	{"a recovered server gets its share", test_recovered_gets_its_share},
	{"a burst uses other data centres", test_burst_uses_other_data_centres},
	{"a new server is not overloaded", test_new_server_is_not_overloaded},
	{"old reports decay", test_old_reports_decay},
	{"reports are bounded", test_reports_are_bounded},
	{"waiting at a relay is not a stop",
	 test_waiting_at_relay_is_not_a_stop},
	{"off by default", test_off_by_default},
};

UNIT_MAIN("server_timing", tests)
