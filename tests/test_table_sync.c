#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "mem.h"
#include "table_sim.h"
#include "unit.h"

#define NODES 24
#define DATA_CENTRES 3
#define ROWS 30
#define SEED 7
/* Longest until a change is in force everywhere, in these small fleets. */
#define SPREAD_MS 7000
#define HOUR_MS 3600000

/*
 * The baseline: every instance reads the platform each second and asks any
 * peer that has another table for it; the last write seen wins.
 */
struct naive {
	struct sim *sim;
	int node;
	struct table *table;
	int64_t next_call;
	uint64_t last_id;
};

static void *naive_start(struct sim *sim, int node)
{
	struct naive *naive = mem_zalloc(sizeof(*naive));

	naive->sim = sim;
	naive->node = node;
	return naive;
}

static void naive_drop(struct naive *naive)
{
	if (!naive->table)
		return;
	table_finish(naive->table);
	free(naive->table);
	naive->table = NULL;
}

static void naive_finish(void *state)
{
	naive_drop(state);
	free(state);
}

static void naive_set_members(void *state, const struct table_member *members,
			      int n)
{
	(void)state;
	(void)members;
	(void)n;
}

static void naive_tick(void *state)
{
	struct naive *naive = state;
	struct reader_call call = {.key = READER_TABLE};

	if (clock_now(&naive->sim->clock) < naive->next_call)
		return;
	naive->next_call = clock_now(&naive->sim->clock) + MSEC(1000);
	call.id = ++naive->last_id;
	sim_call(naive->sim, naive->node, &call);
}

static void naive_take(struct naive *naive, const char *text, size_t len,
		       uint64_t revision)
{
	struct table table;

	if (table_init(&table, text, len, revision, NULL))
		return;
	naive_drop(naive);
	naive->table = mem_zalloc(sizeof(table));
	*naive->table = table;
}

static void naive_answered(void *state, enum reader_key key, uint64_t id,
			   const struct platform_answer *answer)
{
	(void)key;
	(void)id;
	if (!answer->code)
		naive_take(state, answer->text.data, answer->text.len,
			   answer->revision);
}

static void naive_part(void *state, uint64_t id,
		       const struct platform_answer *answer)
{
	(void)state;
	(void)id;
	(void)answer;
}

static void naive_heard(void *state, const char *peer, uint64_t revision,
			uint64_t digest, uint32_t age_ms)
{
	Peer__TableRequest request = PEER__TABLE_REQUEST__INIT;
	struct naive *naive = state;

	(void)age_ms;
	if (!revision || (naive->table && naive->table->digest == digest))
		return;
	sim_send_request(naive->sim, naive->node, peer, &request);
}

static void naive_digest(void *state, const char *peer,
			 const Peer__TableDigest *message)
{
	(void)state;
	(void)peer;
	(void)message;
}

static void naive_request(void *state, const char *peer,
			  const Peer__TableRequest *message)
{
	Peer__TableUpdate update = PEER__TABLE_UPDATE__INIT;
	struct naive *naive = state;

	(void)message;
	if (!naive->table)
		return;
	update.revision = naive->table->revision;
	update.digest = naive->table->digest;
	update.text.data = (uint8_t *)naive->table->text;
	update.text.len = naive->table->len;
	sim_send_update(naive->sim, naive->node, peer, &update);
}

static void naive_update(void *state, const char *peer,
			 const Peer__TableUpdate *message)
{
	(void)peer;
	naive_take(state, (const char *)message->text.data, message->text.len,
		   message->revision);
}

static const struct table *naive_in_force(const void *state)
{
	return ((const struct naive *)state)->table;
}

static uint32_t naive_age_ms(const void *state)
{
	(void)state;
	return 0;
}

static const struct sim_policy naive_policy = {
	.start = naive_start,
	.finish = naive_finish,
	.set_members = naive_set_members,
	.tick = naive_tick,
	.answered = naive_answered,
	.part = naive_part,
	.heard = naive_heard,
	.digest = naive_digest,
	.request = naive_request,
	.update = naive_update,
	.in_force = naive_in_force,
	.age_ms = naive_age_ms,
};

/* A fleet with table 10 in force everywhere. */
struct world {
	struct sim sim;
	struct sheets sheets;
};

static void world_init(struct world *world, const struct sim_policy *policy)
{
	sheets_init(&world->sheets, ROWS);
	sim_init(&world->sim, policy, NODES, DATA_CENTRES, SEED);
	sim_publish_sheets(&world->sim, &world->sheets, 10);
	sim_start_all(&world->sim);
	CU_ASSERT_TRUE_FATAL(sim_run_until(&world->sim, 10, SPREAD_MS) >= 0);
	sim_run(&world->sim, 3000);
}

static void world_finish(struct world *world)
{
	CU_ASSERT_EQUAL(world->sim.mixed, 0);
	sim_finish(&world->sim);
	sheets_finish(&world->sheets);
}

static int publish(struct world *world, uint64_t revision)
{
	world->sheets.slots[revision % ROWS] = (int)revision;
	return sim_publish_sheets(&world->sim, &world->sheets, revision);
}

static bool spreads(struct world *world, uint64_t revision)
{
	return sim_run_until(&world->sim, revision, SPREAD_MS) >= 0;
}

static int count_alarm(struct sim *sim, enum table_alarm alarm)
{
	int count = 0;
	int i;

	for (i = 0; i < sim->n; i++)
		count += sim->nodes[i].alive &&
			 sim_sync(sim, i)->alarms[alarm].active;
	return count;
}

static int count_doubt(struct sim *sim, enum table_confirmation doubt)
{
	int count = 0;
	int i;

	for (i = 0; i < sim->n; i++)
		count += sim->nodes[i].alive &&
			 table_sync_confirmation(sim_sync(sim, i)) == doubt;
	return count;
}

/* The first instance that is, or is not, a reader. */
static int find_reader(struct sim *sim, bool reader)
{
	int i;

	for (i = 0; i < sim->n; i++) {
		if (reader_is_watching(&sim_sync(sim, i)->reader) == reader)
			return i;
	}
	return -1;
}

/*
 * Nothing fails. Each change is in force everywhere, by differences, only the
 * readers watch the platform, and all instances know the table is the newest.
 */
static void test_spread(void)
{
	struct world world;
	uint64_t revision;
	uint64_t calls;
	int i;

	world_init(&world, &sim_table_sync);
	for (revision = 11; revision < 20; revision++) {
		publish(&world, revision);
		/* By the push: a comparison would take seconds. */
		CU_ASSERT_TRUE(sim_run_until(&world.sim, revision, 300) >= 0);
	}
	sim_run(&world.sim, 10000);
	CU_ASSERT_EQUAL(count_doubt(&world.sim, TABLE_CONFIRMED), NODES);
	for (i = 0; i < NODES; i++) {
		struct table_sync *sync = sim_sync(&world.sim, i);

		CU_ASSERT_EQUAL(table_sync_ready(sync), 0);
		if (!reader_is_watching(&sync->reader))
			CU_ASSERT_TRUE(sync->counts.by_delta >= 8);
	}
	calls = world.sim.platform.calls;
	sim_run(&world.sim, 60000);
	/* Two readers, two keys, waits of 8 to 10 s, three data centres. */
	CU_ASSERT_TRUE(world.sim.platform.calls - calls <= 2 * 2 * 8 * 3);
	CU_ASSERT_EQUAL(world.sim.reverts, 0);
	world_finish(&world);
}

/*
 * An operator mistypes a cell. Callers must notice nothing: the table is
 * refused whole, every instance says which cell it is, the old table stays,
 * it isn't read again and again, and the corrected one is taken at once.
 */
static void test_invalid(void)
{
	struct world world;
	struct table_sync *sync;
	uint64_t calls;
	uint64_t refused;

	world_init(&world, &sim_table_sync);
	world.sheets.slots[4] = 20000;
	sim_publish_sheets(&world.sim, &world.sheets, 11);
	sim_run(&world.sim, 300);
	CU_ASSERT_EQUAL(count_alarm(&world.sim, TABLE_ALARM_REFUSED), NODES);
	sim_run(&world.sim, SPREAD_MS);
	CU_ASSERT_EQUAL(sim_count(&world.sim, 10), NODES);
	CU_ASSERT_EQUAL(count_alarm(&world.sim, TABLE_ALARM_REFUSED), NODES);
	CU_ASSERT_EQUAL(count_doubt(&world.sim, TABLE_CONFIRMED), NODES);
	sync = sim_sync(&world.sim, find_reader(&world.sim, false));
	CU_ASSERT_EQUAL(sync->refused.revision, 11);
	CU_ASSERT_EQUAL(sync->refused.error.code, ERR_RANGE);
	CU_ASSERT_STRING_EQUAL(sync->refused.error.subject,
			       "servers row 5 column slots");
	sync = sim_sync(&world.sim, find_reader(&world.sim, true));
	calls = world.sim.platform.bytes;
	refused = sync->counts.refused;
	sim_run(&world.sim, 60000);
	CU_ASSERT_EQUAL(sync->counts.refused, refused);
	CU_ASSERT_EQUAL(world.sim.platform.bytes, calls);
	/* After a failure it is read again, but not checked again. */
	world.sim.platform.down = true;
	sim_show(&world.sim, world.sim.platform.shown, -1);
	sim_run(&world.sim, 5000);
	world.sim.platform.down = false;
	sim_run(&world.sim, 10000);
	CU_ASSERT_NOT_EQUAL(world.sim.platform.bytes, calls);
	CU_ASSERT_EQUAL(sync->counts.refused, refused);
	world.sheets.slots[4] = 2;
	publish(&world, 12);
	CU_ASSERT_TRUE(spreads(&world, 12));
	CU_ASSERT_EQUAL(count_alarm(&world.sim, TABLE_ALARM_REFUSED), 0);
	world_finish(&world);
}

static void replace_all_but(struct sim *sim, int kept)
{
	int i;

	for (i = 0; i < sim->n; i++) {
		if (i == kept)
			continue;
		sim_stop(sim, i);
		sim_start(sim, i);
	}
}

/*
 * A reader's connection ends at a replica of the platform that stopped
 * following, for an hour. Then the replica comes back. The higher revision
 * stays in force all the time, and the readers report the lower one.
 */
static uint64_t run_stale(const struct sim_policy *policy, bool checked)
{
	struct world world;
	uint64_t reverts;
	int old;

	world_init(&world, policy);
	old = world.sim.platform.shown;
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	sim_show(&world.sim, old, -1);
	sim_run(&world.sim, checked ? HOUR_MS / 4 : 20000);
	if (checked) {
		CU_ASSERT_EQUAL(sim_count(&world.sim, 11), NODES);
		CU_ASSERT_TRUE(
			count_alarm(&world.sim, TABLE_ALARM_PLATFORM_BEHIND) >=
			2 * DATA_CENTRES);
		sim_show(&world.sim, world.sim.platform.n_versions - 1, -1);
		sim_run(&world.sim, 2 * 61000);
		CU_ASSERT_EQUAL(count_alarm(&world.sim,
					    TABLE_ALARM_PLATFORM_BEHIND),
				0);
		CU_ASSERT_EQUAL(count_doubt(&world.sim, TABLE_CONFIRMED),
				NODES);
	}
	reverts = world.sim.reverts;
	world_finish(&world);
	return reverts;
}

static void test_stale(void)
{
	CU_ASSERT_EQUAL(run_stale(&sim_table_sync, true), 0);
	CU_ASSERT_NOT_EQUAL(run_stale(&naive_policy, false), 0);
}

/*
 * The platform is restored from a backup: revision 14 is lost and it shows 11
 * again. Meanwhile all instances but one are replaced. The fleet keeps 14 and
 * says that the platform is behind, until operators are above 14.
 */
static void test_restored(void)
{
	struct world world;
	int backup;

	world_init(&world, &sim_table_sync);
	backup = publish(&world, 11);
	publish(&world, 14);
	CU_ASSERT_TRUE(spreads(&world, 14));
	world.sim.platform.down = true;
	sim_show(&world.sim, -1, -1);
	sim_run(&world.sim, 60000);
	world.sim.platform.down = false;
	sim_show(&world.sim, backup, -1);
	replace_all_but(&world.sim, 5);
	CU_ASSERT_TRUE(spreads(&world, 14));
	sim_run(&world.sim, 60000);
	CU_ASSERT_EQUAL(sim_count(&world.sim, 14), NODES);
	CU_ASSERT_TRUE(count_alarm(&world.sim, TABLE_ALARM_PLATFORM_BEHIND) >=
		       2 * DATA_CENTRES);
	CU_ASSERT_TRUE(count_doubt(&world.sim, TABLE_PLATFORM_LOWER) >=
		       2 * DATA_CENTRES);
	/* "Nothing newer than 14" from such a platform confirms nothing. */
	CU_ASSERT_EQUAL(count_doubt(&world.sim, TABLE_CONFIRMED), 0);
	world.sheets.lease_ms = 1234;
	publish(&world, 12);
	sim_run(&world.sim, SPREAD_MS);
	CU_ASSERT_EQUAL(sim_count(&world.sim, 14), NODES);
	publish(&world, 15);
	CU_ASSERT_TRUE(spreads(&world, 15));
	sim_run(&world.sim, SPREAD_MS);
	CU_ASSERT_EQUAL(count_alarm(&world.sim, TABLE_ALARM_PLATFORM_BEHIND),
			0);
	CU_ASSERT_EQUAL(world.sim.reverts, 0);
	world_finish(&world);
}

/*
 * The platform is down for half a minute and comes back from a backup. Its
 * answer to a watch, nothing newer, looks as ever: it has to be noticed at
 * once, not at the next whole read minutes later.
 */
static void test_restored_quietly(void)
{
	struct world world;
	int backup;

	world_init(&world, &sim_table_sync);
	backup = world.sim.platform.shown;
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	world.sim.platform.down = true;
	sim_show(&world.sim, backup, -1);
	sim_run(&world.sim, 30000);
	world.sim.platform.down = false;
	sim_run(&world.sim, 10000);
	CU_ASSERT_TRUE(count_alarm(&world.sim, TABLE_ALARM_PLATFORM_BEHIND) >=
		       2 * DATA_CENTRES);
	CU_ASSERT_EQUAL(sim_count(&world.sim, 11), NODES);
	world_finish(&world);
}

/*
 * Two replicas of the platform answer in turn, one of them a revision behind.
 * Calls must not see limits jump to and fro.
 */
static uint64_t run_flapping(const struct sim_policy *policy)
{
	struct world world;
	uint64_t reverts;
	int old;

	world_init(&world, policy);
	old = world.sim.platform.shown;
	publish(&world, 11);
	sim_show(&world.sim, world.sim.platform.shown, old);
	CU_ASSERT_TRUE(policy == &naive_policy || spreads(&world, 11));
	sim_run(&world.sim, 60000);
	CU_ASSERT_TRUE(policy == &naive_policy ||
		       sim_count(&world.sim, 11) == NODES);
	reverts = world.sim.reverts;
	world_finish(&world);
	return reverts;
}

static void test_flapping(void)
{
	CU_ASSERT_EQUAL(run_flapping(&sim_table_sync), 0);
	CU_ASSERT_NOT_EQUAL(run_flapping(&naive_policy), 0);
}

/*
 * After a repair by hand the platform has two contents under revision 11, one
 * a replica. Each instance keeps the one it had, both alarm, and revision 12
 * ends it everywhere.
 */
static void test_conflict(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	int left = 0;
	int i;

	world_init(&world, &sim_table_sync);
	for (i = 0; i < NODES; i++)
		sim->nodes[i].group = i % DATA_CENTRES == 0;
	publish(&world, 11);
	sim_run(sim, SPREAD_MS);
	left = sim_count(sim, 11);
	CU_ASSERT_TRUE(left > 0 && left < NODES);
	sim->platform.group = 1;
	world.sheets.lease_ms = 4321;
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	for (i = 0; i < NODES; i++)
		sim->nodes[i].group = 1;
	sim_run(sim, 60000);
	CU_ASSERT_TRUE(count_alarm(sim, TABLE_ALARM_CONFLICT) > 0);
	CU_ASSERT_EQUAL(sim_sync(sim, 0)->in_force->tunables.lease_ms, 4321);
	CU_ASSERT_EQUAL(sim_sync(sim, 1)->in_force->tunables.lease_ms, 2000);
	CU_ASSERT_EQUAL(sim_sync(sim, 1)->counts.in_force, 2);
	/* Heartbeats repeat it, the alarm does not. */
	for (i = 0; i < NODES; i++)
		CU_ASSERT_TRUE(sim_sync(sim, i)->counts.conflicts <= 1);
	publish(&world, 12);
	CU_ASSERT_TRUE(spreads(&world, 12));
	CU_ASSERT_EQUAL(count_alarm(sim, TABLE_ALARM_CONFLICT), 0);
	CU_ASSERT_EQUAL(sim->reverts, 0);
	for (i = 1; i < NODES; i++)
		CU_ASSERT_EQUAL(sim_sync(sim, i)->in_force->digest,
				sim_sync(sim, 0)->in_force->digest);
	world_finish(&world);
}

/*
 * One data centre is cut off from the others and from the platform while
 * three changes are made, and serves by its last table, saying its age. When
 * the partition heals it has the newest within seconds, and no instance takes
 * the older table from it.
 */
static uint64_t run_partition(const struct sim_policy *policy)
{
	struct world world;
	struct sim *sim = &world.sim;
	bool naive = policy == &naive_policy;
	uint64_t reverts;
	int i;

	world_init(&world, policy);
	for (i = 0; i < NODES; i++)
		sim->nodes[i].group = i % DATA_CENTRES == 2;
	publish(&world, 11);
	publish(&world, 12);
	sim_run(sim, 40000);
	publish(&world, 13);
	sim_run(sim, 40000);
	CU_ASSERT_EQUAL(sim_count(sim, 10), NODES / DATA_CENTRES);
	CU_ASSERT_TRUE(naive ||
		       count_doubt(sim, TABLE_OLD) == NODES / DATA_CENTRES);
	/* The peers meet again, the platform is down by now. */
	sim->platform.down = true;
	for (i = 0; i < NODES; i++)
		sim->nodes[i].group = 0;
	sim->nodes[0].group = 0;
	CU_ASSERT_TRUE(naive || spreads(&world, 13));
	sim_run(sim, 10000);
	reverts = sim->reverts;
	world_finish(&world);
	return reverts;
}

static void test_partition(void)
{
	CU_ASSERT_EQUAL(run_partition(&sim_table_sync), 0);
}

/*
 * A new instance starts while the platform's replica is stale and some peers
 * were cut off with an old table. It must not serve by either: it waits until
 * it heard from enough peers, and takes the highest.
 */
static void test_new_instance(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	struct table_sync *sync;
	int old;
	int i;

	world_init(&world, &sim_table_sync);
	old = sim->platform.shown;
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	sim_show(sim, old, -1);
	/* The platform answers before any peer does. */
	sim->peer_delay = MSEC(200);
	sim->silent_pings = true;
	sim_stop(sim, 5);
	sim_start(sim, 5);
	sync = sim_sync(sim, 5);
	CU_ASSERT_EQUAL(table_sync_ready(sync), ERR_NOT_RUN);
	for (i = 0; i < SPREAD_MS && table_sync_ready(sync); i++)
		sim_run(sim, 1);
	CU_ASSERT_EQUAL(table_sync_ready(sync), 0);
	CU_ASSERT_EQUAL(sync->in_force->revision, 11);
	world_finish(&world);
}

static const struct reader_watch *watch_of(const struct table_sync *sync)
{
	return &sync->reader.watches[READER_TABLE];
}

/* The platform's answer to the call that waits, which was sent nowhere. */
static void answer_call(struct sim *sim, int node, int version)
{
	const struct sim_version *from = &sim->platform.versions[version];
	struct platform_answer answer = {
		.newer = true,
		.revision = from->revision,
		.text = {from->text, from->len},
	};
	struct table_sync *sync = sim_sync(sim, node);

	table_sync_receive_answer(sync, READER_TABLE, watch_of(sync)->call_id,
				  &answer);
}

/*
 * An instance is replaced while the platform shows an old table. The table
 * comes before the list of instances, so that the new one knows only itself,
 * waits for no peer, and searches go by a table that was replaced long ago.
 */
static void test_new_instance_knows_only_itself(void)
{
	struct table_member self = {.leaving = false};
	struct world world;
	struct sim *sim = &world.sim;
	struct table_sync *sync;
	int old;
	int i;

	world_init(&world, &sim_table_sync);
	old = sim->platform.shown;
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	sim_show(sim, old, -1);
	sim->silent_pings = true;
	sim_stop(sim, 5);
	sim->nodes[5].no_platform = true;
	sim_start(sim, 5);
	sync = sim_sync(sim, 5);
	self.instance = str_from(sim->nodes[5].name);
	self.data_centre = str_from(sim->nodes[5].data_centre);
	table_sync_set_members(sync, &self, 1);
	for (i = 0; i < SPREAD_MS && !watch_of(sync)->busy; i++)
		sim_run(sim, 1);
	answer_call(sim, 5, old);
	table_sync_tick(sync);
	CU_ASSERT_PTR_NOT_NULL_FATAL(sync->in_force);
	CU_ASSERT_EQUAL(table_sync_ready(sync), ERR_NOT_RUN);
	/* The list comes. */
	sim->nodes[5].no_platform = false;
	sim_set_members(sim);
	sim_run(sim, SPREAD_MS);
	CU_ASSERT_EQUAL(table_sync_ready(sync), 0);
	CU_ASSERT_EQUAL(sync->in_force->revision, 11);
	world_finish(&world);
}

/*
 * A new instance that reaches only a stale platform serves after a bound with
 * the best it has, and says that it is unconfirmed. One that reaches nobody
 * doesn't serve.
 */
static void test_new_instance_alone(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	struct table_sync *sync;

	world_init(&world, &sim_table_sync);
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	sim->nodes[5].group = 2;
	sim_stop(sim, 5);
	sim_start(sim, 5);
	sync = sim_sync(sim, 5);
	sim_run(sim, 30000);
	CU_ASSERT_EQUAL(table_sync_ready(sync), ERR_NOT_RUN);
	CU_ASSERT_EQUAL(table_sync_confirmation(sync), TABLE_NONE);
	/* One peer is reached, which has no way to the platform either. */
	sim->nodes[8].group = 2;
	sim_run(sim, SPREAD_MS);
	CU_ASSERT_EQUAL(table_sync_ready(sync), 0);
	CU_ASSERT_EQUAL(sync->in_force->revision, 11);
	sim_run(sim, 40000);
	CU_ASSERT_EQUAL(table_sync_confirmation(sync), TABLE_OLD);
	CU_ASSERT_TRUE(sync->alarms[TABLE_ALARM_UNCONFIRMED].active);
	world_finish(&world);
}

static uint64_t calls_of_others(struct sim *sim)
{
	uint64_t calls = 0;
	int i;

	for (i = 0; i < sim->n; i++) {
		if (!reader_is_watching(&sim_sync(sim, i)->reader))
			calls += sim_sync(sim, i)->counts.calls;
	}
	return calls;
}

/*
 * The platform is down for an hour. The table stays, its age shows, calls on
 * the platform stay few. A change that was made meanwhile is in force within
 * seconds of the platform being back.
 */
static void test_down(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	uint64_t calls;
	uint64_t others;

	world_init(&world, &sim_table_sync);
	sim->platform.down = true;
	sim_show(sim, sim->platform.shown, -1);
	sim_run(sim, 60000);
	CU_ASSERT_EQUAL(sim_count(sim, 10), NODES);
	CU_ASSERT_EQUAL(count_doubt(sim, TABLE_OLD), NODES);
	calls = sim->platform.calls;
	others = calls_of_others(sim);
	sim_run(sim, HOUR_MS);
	calls = sim->platform.calls - calls;
	others = calls_of_others(sim) - others;
	/* Two readers, two keys, a pause of 2 to 4 s. */
	CU_ASSERT_TRUE(calls - others <= DATA_CENTRES * 2 * 2 * 1800);
	/* Of all others in a data centre one in 10 s on average. */
	CU_ASSERT_TRUE(others <= DATA_CENTRES * 360 * 3 / 2);
	publish(&world, 11);
	sim->platform.down = false;
	CU_ASSERT_TRUE(spreads(&world, 11));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * The platform's budget of calls is used up: it answers 429 with a time. No
 * instance calls again before.
 */
static void test_budget(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	uint64_t calls;

	world_init(&world, &sim_table_sync);
	sim->platform.retry_after_ms = 20000;
	sim_show(sim, sim->platform.shown, -1);
	sim_run(sim, 2000);
	calls = sim->platform.calls;
	sim_run(sim, 17000);
	CU_ASSERT_EQUAL(sim->platform.calls, calls);
	sim->platform.retry_after_ms = 0;
	publish(&world, 11);
	CU_ASSERT_TRUE(sim_run_until(sim, 11, 20000) >= 0);
	world_finish(&world);
}

/*
 * Every pushed update and every pull for a while is lost. The revision in the
 * heartbeats shows the instances that they lack one, and they pull it.
 */
static void test_lost_push(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	int reached;

	world_init(&world, &sim_table_sync);
	sim->push_loss = 1;
	publish(&world, 11);
	sim_run(sim, 3000);
	reached = sim_count(sim, 11);
	CU_ASSERT_EQUAL(reached, 2 * DATA_CENTRES);
	sim->push_loss = 0.1;
	sim->loss = 0.3;
	CU_ASSERT_TRUE(spreads(&world, 11));
	publish(&world, 12);
	CU_ASSERT_TRUE(spreads(&world, 12));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * A data centre's readers lose the platform, nothing else fails. It still gets
 * each change within seconds, from the other data centres.
 */
static void test_readers_cut(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	uint64_t revision;
	int i;

	world_init(&world, &sim_table_sync);
	for (i = 0; i < NODES; i++)
		sim->nodes[i].no_platform = i % DATA_CENTRES == 1;
	sim_run(sim, 20000);
	for (revision = 11; revision < 16; revision++) {
		publish(&world, revision);
		CU_ASSERT_TRUE(sim_run_until(sim, revision, 400) >= 0);
	}
	world_finish(&world);
}

/* The instance of that rank in the data centre of the first one. */
static int ranked(struct sim *sim, int rank)
{
	int i = 0;

	while (!sim->nodes[i].alive)
		i += DATA_CENTRES;
	return atoi(sim_sync(sim, i)->peers.own[rank].instance +
		    strlen("node-"));
}

/*
 * The first reader of a data centre crashes and nobody has noticed yet: the
 * tree has lost its top. The change still gets to all others in seconds. Then
 * the second crashes too, membership notices, and two others read.
 */
static void test_readers_crash(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	int second;
	int first;

	world_init(&world, &sim_table_sync);
	first = ranked(sim, 0);
	second = ranked(sim, 1);
	sim_stop(sim, first);
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	sim_stop(sim, second);
	sim_set_members(sim);
	publish(&world, 12);
	CU_ASSERT_TRUE(spreads(&world, 12));
	CU_ASSERT_TRUE(
		reader_is_watching(&sim_sync(sim, ranked(sim, 0))->reader));
	CU_ASSERT_TRUE(
		reader_is_watching(&sim_sync(sim, ranked(sim, 1))->reader));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * All instances are replaced one by one while the platform is down. None of
 * the new ones has a disk: the table lives on in their peers.
 */
static void test_rolling_replacement(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	int i;

	world_init(&world, &sim_table_sync);
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	sim->platform.down = true;
	sim_show(sim, sim->platform.shown, -1);
	for (i = 0; i < NODES; i++) {
		sim_stop(sim, i);
		sim_start(sim, i);
		sim_run(sim, 2500);
		CU_ASSERT_EQUAL(table_sync_ready(sim_sync(sim, i)), 0);
		CU_ASSERT_EQUAL(sim_sync(sim, i)->in_force->revision, 11);
	}
	sim->platform.down = false;
	publish(&world, 12);
	CU_ASSERT_TRUE(spreads(&world, 12));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * Two operators save at the same time: revisions 11 to 14 come within a few
 * milliseconds. The last is in force everywhere, no instance goes back.
 */
static void test_race(void)
{
	struct world world;
	uint64_t revision;

	world_init(&world, &sim_table_sync);
	for (revision = 11; revision < 15; revision++) {
		publish(&world, revision);
		sim_run(&world.sim, 3);
	}
	CU_ASSERT_TRUE(spreads(&world, 14));
	CU_ASSERT_EQUAL(world.sim.reverts, 0);
	world_finish(&world);
}

/*
 * An instance is paused for 30 s while the table changes. When it wakes, it
 * handles heartbeats and answers from before the pause: it must not call its
 * table confirmed by them, and must have the new one within seconds.
 */
static void test_pause(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	int node;

	world_init(&world, &sim_table_sync);
	node = find_reader(sim, true);
	sim->nodes[node].paused_until = clock_now(&sim->clock) + MSEC(30000);
	sim_run(sim, 29000);
	sim->platform.down = true;
	sim_show(sim, sim->platform.shown, -1);
	sim->silent_pings = true;
	sim->push_loss = 1;
	sim_run(sim, 1150);
	CU_ASSERT_TRUE(table_sync_age(sim_sync(sim, node)) >= MSEC(30000));
	sim->silent_pings = false;
	sim->push_loss = 0;
	sim->platform.down = false;
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * The table is too large for one value and comes in parts. While a reader
 * reads them, the next table is published and the old parts are deleted. No
 * instance may have rows of both.
 */
static struct world *parts_world;

static void replace_parts(struct sim *sim, const char *key)
{
	int i;

	if (strcmp(key, "table.11.1"))
		return;
	sim->platform.on_part = NULL;
	for (i = 0; i < SIM_PARTS_MAX; i++)
		sim->platform.parts[i].hidden = true;
	parts_world->sheets.slots[ROWS - 1] = 9;
	sim_publish_parts(sim, &parts_world->sheets, 12, 3);
}

static void test_parts(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	struct sim_part *part;

	world_init(&world, &sim_table_sync);
	parts_world = &world;
	sim->platform.on_part = replace_parts;
	world.sheets.slots[0] = 9;
	sim_publish_parts(sim, &world.sheets, 11, 3);
	CU_ASSERT_TRUE(spreads(&world, 12));
	CU_ASSERT_EQUAL(sim_count(sim, 11), 0);
	/* The changed part, the last, differs from its digest. */
	world.sheets.lease_ms = 1999;
	sim_publish_parts(sim, &world.sheets, 13, 3);
	part = &sim->platform
			.parts[(sim->platform.n_parts - 1) % SIM_PARTS_MAX];
	part->text[part->len - 1] = ' ';
	sim_run(sim, 5000);
	CU_ASSERT_EQUAL(sim_count(sim, 12), NODES);
	CU_ASSERT_TRUE(count_alarm(sim, TABLE_ALARM_PARTS) > 0);
	part->text[part->len - 1] = '\n';
	CU_ASSERT_TRUE(spreads(&world, 13));
	CU_ASSERT_EQUAL(count_alarm(sim, TABLE_ALARM_PARTS), 0);
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * A large table in ten parts, of which a change touches one: each reader reads
 * the manifest and that part, not the whole table again.
 */
static void test_changed_part(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	uint64_t calls;

	world_init(&world, &sim_table_sync);
	sim_publish_parts(sim, &world.sheets, 11, 10);
	CU_ASSERT_TRUE(spreads(&world, 11));
	calls = sim->platform.part_calls;
	world.sheets.slots[ROWS / 2] = 9;
	sim_publish_parts(sim, &world.sheets, 12, 10);
	CU_ASSERT_TRUE(spreads(&world, 12));
	sim_run(sim, 1000);
	CU_ASSERT_EQUAL(sim->platform.part_calls - calls, 2 * DATA_CENTRES);
	world_finish(&world);
}

/* All faults at random, in many runs: never a revert, and one table at last. */
static void stir(struct world *world, uint64_t *revision)
{
	struct sim *sim = &world->sim;
	int node = (int)sim_random(sim, sim->n);
	struct sim_platform *platform = &sim->platform;

	switch (sim_random(sim, 9)) {
	case 0:
	case 1:
		publish(world, ++*revision);
		break;
	case 2:
		sim_show(sim, (int)sim_random(sim, platform->n_versions),
			 (int)sim_random(sim, platform->n_versions));
		break;
	case 3:
		sim->nodes[node].group = (int)sim_random(sim, 2);
		break;
	case 4:
		platform->down = !platform->down;
		break;
	case 5:
		/* One at a time, so that the highest is never lost. */
		sim_stop(sim, node);
		sim_start(sim, node);
		break;
	case 6:
		sim->nodes[node].paused_until =
			clock_now(&sim->clock) + MSEC(5000);
		break;
	case 7:
		sim->push_loss = (double)sim_random(sim, 10) / 10;
		break;
	case 8:
		sim_publish(sim, mem_dup("{\"markets\":1}"), 13, ++*revision);
		break;
	}
}

static void heal(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++)
		sim->nodes[i].group = 0;
	sim->push_loss = 0;
	sim->platform.down = false;
}

static void test_random_faults(void)
{
	uint64_t seed;

	for (seed = 1; seed <= 10; seed++) {
		struct world world;
		uint64_t revision = 10;
		int i;

		world_init(&world, &sim_table_sync);
		world.sim.random = seed;
		for (i = 0; i < 60; i++) {
			stir(&world, &revision);
			sim_run(&world.sim, sim_random(&world.sim, 2000));
		}
		heal(&world.sim);
		publish(&world, ++revision);
		CU_ASSERT_TRUE(sim_run_until(&world.sim, revision, 12000) >= 0);
		CU_ASSERT_EQUAL(world.sim.reverts, 0);
		world_finish(&world);
	}
}

/*
 * The call that a reader waits for is never answered: its connection went
 * silent. It calls again, and takes no late answer for the new call's.
 */
static void test_silent_call(void)
{
	struct platform_answer late = {.newer = true, .revision = 9};
	struct world world;
	struct sim *sim = &world.sim;
	struct table_sync *sync;
	uint64_t id;
	int node;

	world_init(&world, &sim_table_sync);
	node = find_reader(sim, true);
	sync = sim_sync(sim, node);
	id = sync->reader.watches[READER_TABLE].call_id;
	sim->nodes[node].no_platform = true;
	sim_run(sim, 20000);
	CU_ASSERT_NOT_EQUAL(sync->reader.watches[READER_TABLE].call_id, id);
	table_sync_receive_answer(sync, READER_TABLE, id, &late);
	CU_ASSERT_FALSE(sync->reader.behind);
	world_finish(&world);
}

/*
 * A peer that was paused sends on what it had: an older table, whole and as
 * rows, and one that isn't what it announces. None of them is taken.
 */
static void test_old_update(void)
{
	Peer__TableUpdate update = PEER__TABLE_UPDATE__INIT;
	const struct table *table;
	struct world world;
	struct table_sync *sync;

	world_init(&world, &sim_table_sync);
	sync = sim_sync(&world.sim, 0);
	table = sync->in_force;
	update.revision = 9;
	update.digest = table->digest;
	update.text.data = (uint8_t *)table->text;
	update.text.len = table->len;
	CU_ASSERT_EQUAL(table_sync_receive_update(sync, "node-0003", &update),
			ERR_STALE);
	update.base_revision = 8;
	CU_ASSERT_EQUAL(table_sync_receive_update(sync, "node-0003", &update),
			ERR_STALE);
	update.base_revision = 0;
	update.revision = 11;
	update.digest++;
	CU_ASSERT_EQUAL(table_sync_receive_update(sync, "node-0003", &update),
			ERR_PROTOCOL);
	/* Refused once, it is not looked at again. */
	CU_ASSERT_EQUAL(table_sync_receive_update(sync, "node-0003", &update),
			ERR_STALE);
	CU_ASSERT_EQUAL(sync->in_force->revision, 10);
	publish(&world, 11);
	CU_ASSERT_TRUE(spreads(&world, 11));
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"spread", test_spread},
	{"invalid table", test_invalid},
	{"stale platform", test_stale},
	{"restored from a backup", test_restored},
	{"restored from a backup, quietly", test_restored_quietly},
	{"flapping platform", test_flapping},
	{"same revision, other content", test_conflict},
	{"partition", test_partition},
	{"new instance", test_new_instance},
	{"new instance knows only itself", test_new_instance_knows_only_itself},
	{"new instance alone", test_new_instance_alone},
	{"platform down an hour", test_down},
	{"platform's budget", test_budget},
	{"lost push", test_lost_push},
	{"readers cut off", test_readers_cut},
	{"readers crash", test_readers_crash},
	{"rolling replacement", test_rolling_replacement},
	{"old update", test_old_update},
	{"race of two changes", test_race},
	{"pause", test_pause},
	{"parts", test_parts},
	{"changed part", test_changed_part},
	{"silent call", test_silent_call},
	{"random faults", test_random_faults},
};

int main(void)
{
	/* Thousands of expected alarms. */
	log_init(LOG_LEVEL_ERROR + 1, NULL);
	return unit_main("table_sync", tests,
			 (int)(sizeof(tests) / sizeof(*tests)));
}
