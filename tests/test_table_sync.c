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
/* Longest time until all instances of these small fleets have a change. */
#define PROPAGATION_MS 7000
#define HOUR_MS 3600000

/*
 * Baseline policy: every instance reads the platform each second and requests
 * the table from any peer that has a different one; the last one seen wins.
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

static void naive_heartbeat(void *state, const char *peer, uint64_t revision,
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
	.heartbeat = naive_heartbeat,
	.digest = naive_digest,
	.request = naive_request,
	.update = naive_update,
	.in_force = naive_in_force,
	.age_ms = naive_age_ms,
};

/* A simulated fleet in which revision 10 is in force everywhere. */
struct world {
	struct sim sim;
	struct table_gen sheets;
};

static void world_init(struct world *world, const struct sim_policy *policy)
{
	table_gen_init(&world->sheets, ROWS);
	sim_init(&world->sim, policy, NODES, DATA_CENTRES, SEED);
	sim_publish_sheets(&world->sim, &world->sheets, 10);
	sim_start_all(&world->sim);
	CU_ASSERT_TRUE_FATAL(sim_run_until(&world->sim, 10, PROPAGATION_MS) >=
			     0);
	sim_run(&world->sim, 3000);
}

static void world_finish(struct world *world)
{
	CU_ASSERT_EQUAL(world->sim.unpublished, 0);
	sim_finish(&world->sim);
	table_gen_finish(&world->sheets);
}

static int publish(struct world *world, uint64_t revision)
{
	world->sheets.slots[revision % ROWS] = (int)revision;
	return sim_publish_sheets(&world->sim, &world->sheets, revision);
}

static bool reaches_all(struct world *world, uint64_t revision)
{
	return sim_run_until(&world->sim, revision, PROPAGATION_MS) >= 0;
}

static int count_alarm(struct sim *sim, enum table_alarm alarm)
{
	int count = 0;
	int i;

	for (i = 0; i < sim->n; i++)
		count += sim->nodes[i].alive &&
			 sim_node_sync(sim, i)->alarms[alarm].active;
	return count;
}

static int count_confirmation(struct sim *sim, enum table_confirmation state)
{
	int count = 0;
	int i;

	for (i = 0; i < sim->n; i++)
		count +=
			sim->nodes[i].alive &&
			table_sync_confirmation(sim_node_sync(sim, i)) == state;
	return count;
}

/* Returns the first instance that is, or is not, a reader. */
static int find_reader(struct sim *sim, bool reader)
{
	int i;

	for (i = 0; i < sim->n; i++) {
		if (reader_is_watching(&sim_node_sync(sim, i)->reader) ==
		    reader)
			return i;
	}
	return -1;
}

/*
 * Without faults each change must reach all instances as a delta, only readers
 * poll the platform, and every instance has its table confirmed.
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
		/* Only a push is that fast: digests take seconds. */
		CU_ASSERT_TRUE(sim_run_until(&world.sim, revision, 300) >= 0);
	}
	sim_run(&world.sim, 10000);
	CU_ASSERT_EQUAL(count_confirmation(&world.sim, TABLE_CONFIRMED), NODES);
	for (i = 0; i < NODES; i++) {
		struct table_sync *sync = sim_node_sync(&world.sim, i);

		CU_ASSERT_EQUAL(table_sync_ready(sync), 0);
		if (!reader_is_watching(&sync->reader))
			CU_ASSERT_TRUE(sync->counts.by_delta >= 8);
	}
	calls = world.sim.platform.calls;
	sim_run(&world.sim, 60000);
	/* Two readers, two keys, long polls of 8 to 10 s, three centres. */
	CU_ASSERT_TRUE(world.sim.platform.calls - calls <= 2 * 2 * 8 * 3);
	CU_ASSERT_EQUAL(world.sim.reverts, 0);
	world_finish(&world);
}

/*
 * An operator mistypes a cell. Callers must not be affected: the whole table is
 * refused, every instance reports the cell and keeps the old table, the invalid
 * one is not read repeatedly, and the corrected one is applied at once.
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
	sim_run(&world.sim, PROPAGATION_MS);
	CU_ASSERT_EQUAL(sim_count_in_force(&world.sim, 10), NODES);
	CU_ASSERT_EQUAL(count_alarm(&world.sim, TABLE_ALARM_REFUSED), NODES);
	CU_ASSERT_EQUAL(count_confirmation(&world.sim, TABLE_CONFIRMED), NODES);
	sync = sim_node_sync(&world.sim, find_reader(&world.sim, false));
	CU_ASSERT_EQUAL(sync->highest_refusal.revision, 11);
	CU_ASSERT_EQUAL(sync->highest_refusal.error.code, ERR_RANGE);
	CU_ASSERT_STRING_EQUAL(sync->highest_refusal.error.subject,
			       "servers row 5 column slots");
	sync = sim_node_sync(&world.sim, find_reader(&world.sim, true));
	calls = world.sim.platform.bytes;
	refused = sync->counts.refused;
	sim_run(&world.sim, 60000);
	CU_ASSERT_EQUAL(sync->counts.refused, refused);
	CU_ASSERT_EQUAL(world.sim.platform.bytes, calls);
	/* After a failed call it is read again, but not parsed again. */
	world.sim.platform.down = true;
	sim_show_version(&world.sim, world.sim.platform.shown, -1);
	sim_run(&world.sim, 5000);
	world.sim.platform.down = false;
	sim_run(&world.sim, 10000);
	CU_ASSERT_NOT_EQUAL(world.sim.platform.bytes, calls);
	CU_ASSERT_EQUAL(sync->counts.refused, refused);
	world.sheets.slots[4] = 2;
	publish(&world, 12);
	CU_ASSERT_TRUE(reaches_all(&world, 12));
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
 * Readers are connected to a replica of the platform that stopped replicating
 * for a long time and then recovers. The higher revision must stay in force,
 * and the readers report the lower one until the replica has caught up.
 */
static uint64_t run_stale(const struct sim_policy *policy, bool checked)
{
	struct world world;
	uint64_t reverts;
	int old;

	world_init(&world, policy);
	old = world.sim.platform.shown;
	publish(&world, 11);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	sim_show_version(&world.sim, old, -1);
	sim_run(&world.sim, checked ? HOUR_MS / 4 : 20000);
	if (checked) {
		CU_ASSERT_EQUAL(sim_count_in_force(&world.sim, 11), NODES);
		CU_ASSERT_TRUE(
			count_alarm(&world.sim, TABLE_ALARM_PLATFORM_BEHIND) >=
			2 * DATA_CENTRES);
		sim_show_version(&world.sim, world.sim.platform.n_versions - 1,
				 -1);
		sim_run(&world.sim, 2 * 61000);
		CU_ASSERT_EQUAL(count_alarm(&world.sim,
					    TABLE_ALARM_PLATFORM_BEHIND),
				0);
		CU_ASSERT_EQUAL(count_confirmation(&world.sim, TABLE_CONFIRMED),
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
 * The platform is restored from a backup: revision 14 is lost and it returns 11
 * again. Then all instances but one are replaced. The fleet must keep 14 and
 * raise the alarm "platform behind" until a revision above 14 is published.
 */
static void test_restored(void)
{
	struct world world;
	int backup;

	world_init(&world, &sim_table_sync);
	backup = publish(&world, 11);
	publish(&world, 14);
	CU_ASSERT_TRUE(reaches_all(&world, 14));
	world.sim.platform.down = true;
	sim_show_version(&world.sim, -1, -1);
	sim_run(&world.sim, 60000);
	world.sim.platform.down = false;
	sim_show_version(&world.sim, backup, -1);
	replace_all_but(&world.sim, 5);
	CU_ASSERT_TRUE(reaches_all(&world, 14));
	sim_run(&world.sim, 60000);
	CU_ASSERT_EQUAL(sim_count_in_force(&world.sim, 14), NODES);
	CU_ASSERT_TRUE(count_alarm(&world.sim, TABLE_ALARM_PLATFORM_BEHIND) >=
		       2 * DATA_CENTRES);
	CU_ASSERT_TRUE(count_confirmation(&world.sim, TABLE_PLATFORM_BEHIND) >=
		       2 * DATA_CENTRES);
	/* "Nothing newer than 14" from this platform confirms nothing. */
	CU_ASSERT_EQUAL(count_confirmation(&world.sim, TABLE_CONFIRMED), 0);
	world.sheets.lease_ms = 1234;
	publish(&world, 12);
	sim_run(&world.sim, PROPAGATION_MS);
	CU_ASSERT_EQUAL(sim_count_in_force(&world.sim, 14), NODES);
	publish(&world, 15);
	CU_ASSERT_TRUE(reaches_all(&world, 15));
	sim_run(&world.sim, PROPAGATION_MS);
	CU_ASSERT_EQUAL(count_alarm(&world.sim, TABLE_ALARM_PLATFORM_BEHIND),
			0);
	CU_ASSERT_EQUAL(world.sim.reverts, 0);
	world_finish(&world);
}

/*
 * The platform is down for half a minute and is restored from a backup. It
 * answers long polls with "nothing newer" as before. The lost revision must be
 * detected at once, not at the next unconditional read minutes later.
 */
static void test_restored_same_answers(void)
{
	struct world world;
	int backup;

	world_init(&world, &sim_table_sync);
	backup = world.sim.platform.shown;
	publish(&world, 11);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	world.sim.platform.down = true;
	sim_show_version(&world.sim, backup, -1);
	sim_run(&world.sim, 30000);
	world.sim.platform.down = false;
	sim_run(&world.sim, 10000);
	CU_ASSERT_TRUE(count_alarm(&world.sim, TABLE_ALARM_PLATFORM_BEHIND) >=
		       2 * DATA_CENTRES);
	CU_ASSERT_EQUAL(sim_count_in_force(&world.sim, 11), NODES);
	world_finish(&world);
}

/*
 * Two replicas of the platform answer alternately, one of them a revision
 * behind. Instances must not switch back and forth between the revisions.
 */
static uint64_t run_alternating(const struct sim_policy *policy)
{
	struct world world;
	uint64_t reverts;
	int old;

	world_init(&world, policy);
	old = world.sim.platform.shown;
	publish(&world, 11);
	sim_show_version(&world.sim, world.sim.platform.shown, old);
	CU_ASSERT_TRUE(policy == &naive_policy || reaches_all(&world, 11));
	sim_run(&world.sim, 60000);
	CU_ASSERT_TRUE(policy == &naive_policy ||
		       sim_count_in_force(&world.sim, 11) == NODES);
	reverts = world.sim.reverts;
	world_finish(&world);
	return reverts;
}

static void test_alternating_replicas(void)
{
	CU_ASSERT_EQUAL(run_alternating(&sim_table_sync), 0);
	CU_ASSERT_NOT_EQUAL(run_alternating(&naive_policy), 0);
}

/*
 * After a manual repair the replicas of the platform have different contents
 * under revision 11. Each instance must keep the one it has and raise an alarm;
 * revision 12 resolves the conflict everywhere.
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
	sim_run(sim, PROPAGATION_MS);
	left = sim_count_in_force(sim, 11);
	CU_ASSERT_TRUE(left > 0 && left < NODES);
	sim->platform.group = 1;
	world.sheets.lease_ms = 4321;
	publish(&world, 11);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	for (i = 0; i < NODES; i++)
		sim->nodes[i].group = 1;
	sim_run(sim, 60000);
	CU_ASSERT_TRUE(count_alarm(sim, TABLE_ALARM_CONFLICT) > 0);
	CU_ASSERT_EQUAL(sim_node_sync(sim, 0)->in_force->tunables.lease_ms,
			4321);
	CU_ASSERT_EQUAL(sim_node_sync(sim, 1)->in_force->tunables.lease_ms,
			2000);
	CU_ASSERT_EQUAL(sim_node_sync(sim, 1)->counts.in_force, 2);
	/* Each heartbeat shows the conflict again; it is counted once. */
	for (i = 0; i < NODES; i++)
		CU_ASSERT_TRUE(sim_node_sync(sim, i)->counts.conflicts <= 1);
	publish(&world, 12);
	CU_ASSERT_TRUE(reaches_all(&world, 12));
	CU_ASSERT_EQUAL(count_alarm(sim, TABLE_ALARM_CONFLICT), 0);
	CU_ASSERT_EQUAL(sim->reverts, 0);
	for (i = 1; i < NODES; i++)
		CU_ASSERT_EQUAL(sim_node_sync(sim, i)->in_force->digest,
				sim_node_sync(sim, 0)->in_force->digest);
	world_finish(&world);
}

/*
 * One data centre is partitioned from the others and from the platform during
 * three changes. It serves with its last table and reports that it is old. When
 * the partition heals it must get the newest table within seconds, and no
 * instance may apply its older one.
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
	CU_ASSERT_EQUAL(sim_count_in_force(sim, 10), NODES / DATA_CENTRES);
	CU_ASSERT_TRUE(naive ||
		       count_confirmation(sim, TABLE_CONFIRMATION_OLD) ==
			       NODES / DATA_CENTRES);
	/* The partition heals, but now the platform is down. */
	sim->platform.down = true;
	for (i = 0; i < NODES; i++)
		sim->nodes[i].group = 0;
	sim->nodes[0].group = 0;
	CU_ASSERT_TRUE(naive || reaches_all(&world, 13));
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
 * A new instance starts while the platform's replica is stale and answers
 * before any peer. It must not serve with the stale table, but wait for enough
 * peers and apply the highest revision.
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
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	sim_show_version(sim, old, -1);
	/* The platform answers before any peer does. */
	sim->peer_delay = MSEC(200);
	sim->heartbeats_off = true;
	sim_stop(sim, 5);
	sim_start(sim, 5);
	sync = sim_node_sync(sim, 5);
	CU_ASSERT_EQUAL(table_sync_ready(sync), ERR_NOT_RUN);
	for (i = 0; i < PROPAGATION_MS && table_sync_ready(sync); i++)
		sim_run(sim, 1);
	CU_ASSERT_EQUAL(table_sync_ready(sync), 0);
	CU_ASSERT_EQUAL(sync->in_force->revision, 11);
	world_finish(&world);
}

static const struct reader_watch *table_watch(const struct table_sync *sync)
{
	return &sync->reader.watches[READER_TABLE];
}

/* Answers the pending call of an instance that cannot reach the platform. */
static void answer_call(struct sim *sim, int node, int version)
{
	const struct sim_version *from = &sim->platform.versions[version];
	struct platform_answer answer = {
		.newer = true,
		.revision = from->revision,
		.text = {from->text, from->len},
	};
	struct table_sync *sync = sim_node_sync(sim, node);

	table_sync_receive_answer(sync, READER_TABLE,
				  table_watch(sync)->call_id, &answer);
}

/*
 * An instance is replaced while the platform returns an old table. It receives
 * the table before the list of instances, so it knows no peers. It must not
 * conclude that there are none to wait for and serve with the old table.
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
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	sim_show_version(sim, old, -1);
	sim->heartbeats_off = true;
	sim_stop(sim, 5);
	sim->nodes[5].is_platform_unreachable = true;
	sim_start(sim, 5);
	sync = sim_node_sync(sim, 5);
	self.instance = str_from(sim->nodes[5].name);
	self.data_centre = str_from(sim->nodes[5].data_centre);
	table_sync_set_members(sync, &self, 1);
	for (i = 0; i < PROPAGATION_MS && !table_watch(sync)->busy; i++)
		sim_run(sim, 1);
	answer_call(sim, 5, old);
	table_sync_tick(sync);
	CU_ASSERT_PTR_NOT_NULL_FATAL(sync->in_force);
	CU_ASSERT_EQUAL(table_sync_ready(sync), ERR_NOT_RUN);
	/* The list of instances arrives. */
	sim->nodes[5].is_platform_unreachable = false;
	sim_set_members(sim);
	sim_run(sim, PROPAGATION_MS);
	CU_ASSERT_EQUAL(table_sync_ready(sync), 0);
	CU_ASSERT_EQUAL(sync->in_force->revision, 11);
	world_finish(&world);
}

/*
 * A new instance that reaches neither the platform nor a peer must not serve.
 * One that reaches a single peer, which cannot reach the platform either,
 * serves after a time limit and reports its table as unconfirmed.
 */
static void test_new_instance_alone(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	struct table_sync *sync;

	world_init(&world, &sim_table_sync);
	publish(&world, 11);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	sim->nodes[5].group = 2;
	sim_stop(sim, 5);
	sim_start(sim, 5);
	sync = sim_node_sync(sim, 5);
	sim_run(sim, 30000);
	CU_ASSERT_EQUAL(table_sync_ready(sync), ERR_NOT_RUN);
	CU_ASSERT_EQUAL(table_sync_confirmation(sync), TABLE_NONE);
	/* Now it reaches one peer, which cannot reach the platform either. */
	sim->nodes[8].group = 2;
	sim_run(sim, PROPAGATION_MS);
	CU_ASSERT_EQUAL(table_sync_ready(sync), 0);
	CU_ASSERT_EQUAL(sync->in_force->revision, 11);
	sim_run(sim, 40000);
	CU_ASSERT_EQUAL(table_sync_confirmation(sync), TABLE_CONFIRMATION_OLD);
	CU_ASSERT_TRUE(sync->alarms[TABLE_ALARM_UNCONFIRMED].active);
	world_finish(&world);
}

static uint64_t calls_of_non_readers(struct sim *sim)
{
	uint64_t calls = 0;
	int i;

	for (i = 0; i < sim->n; i++) {
		if (!reader_is_watching(&sim_node_sync(sim, i)->reader))
			calls += sim_node_sync(sim, i)->counts.calls;
	}
	return calls;
}

/*
 * The platform is down for an hour. The table must stay in force and be
 * reported as old, and calls on the platform must stay few. A change made
 * meanwhile is in force within seconds after the platform is back.
 */
static void test_down(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	uint64_t calls;
	uint64_t others;

	world_init(&world, &sim_table_sync);
	sim->platform.down = true;
	sim_show_version(sim, sim->platform.shown, -1);
	sim_run(sim, 60000);
	CU_ASSERT_EQUAL(sim_count_in_force(sim, 10), NODES);
	CU_ASSERT_EQUAL(count_confirmation(sim, TABLE_CONFIRMATION_OLD), NODES);
	calls = sim->platform.calls;
	others = calls_of_non_readers(sim);
	sim_run(sim, HOUR_MS);
	calls = sim->platform.calls - calls;
	others = calls_of_non_readers(sim) - others;
	/* Two readers, two keys, a backoff of 2 to 4 s. */
	CU_ASSERT_TRUE(calls - others <= DATA_CENTRES * 2 * 2 * 1800);
	/* One call per 10 s on average from all others of a data centre. */
	CU_ASSERT_TRUE(others <= DATA_CENTRES * 360 * 3 / 2);
	publish(&world, 11);
	sim->platform.down = false;
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * The platform's call budget is used up and it answers 429 with a retry time.
 * No instance may call again before that.
 */
static void test_budget(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	uint64_t calls;

	world_init(&world, &sim_table_sync);
	sim->platform.retry_after_ms = 20000;
	sim_show_version(sim, sim->platform.shown, -1);
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
 * All pushes and pulls are lost for a while. Instances must learn of the newer
 * revision from heartbeats and pull it.
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
	reached = sim_count_in_force(sim, 11);
	CU_ASSERT_EQUAL(reached, 2 * DATA_CENTRES);
	sim->push_loss = 0.1;
	sim->loss = 0.3;
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	publish(&world, 12);
	CU_ASSERT_TRUE(reaches_all(&world, 12));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * Only the connection of one data centre to the platform fails. It must get
 * each change from the other data centres.
 */
static void test_readers_cut(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	uint64_t revision;
	int i;

	world_init(&world, &sim_table_sync);
	for (i = 0; i < NODES; i++)
		sim->nodes[i].is_platform_unreachable = i % DATA_CENTRES == 1;
	sim_run(sim, 20000);
	for (revision = 11; revision < 16; revision++) {
		publish(&world, revision);
		CU_ASSERT_TRUE(sim_run_until(sim, revision, 400) >= 0);
	}
	world_finish(&world);
}

/* Returns the instance with a rank in the data centre of node 0. */
static int node_of_rank(struct sim *sim, int rank)
{
	int i = 0;

	while (!sim->nodes[i].alive)
		i += DATA_CENTRES;
	return atoi(sim_node_sync(sim, i)->peers.local[rank].instance +
		    strlen("node-"));
}

/*
 * The first reader of a data centre, the root of its tree, crashes before
 * membership detects it. A change must still reach all others within seconds.
 * Then the second reader crashes, membership detects both, and two other
 * instances become readers.
 */
static void test_readers_crash(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	int second;
	int first;

	world_init(&world, &sim_table_sync);
	first = node_of_rank(sim, 0);
	second = node_of_rank(sim, 1);
	sim_stop(sim, first);
	publish(&world, 11);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	sim_stop(sim, second);
	sim_set_members(sim);
	publish(&world, 12);
	CU_ASSERT_TRUE(reaches_all(&world, 12));
	CU_ASSERT_TRUE(reader_is_watching(
		&sim_node_sync(sim, node_of_rank(sim, 0))->reader));
	CU_ASSERT_TRUE(reader_is_watching(
		&sim_node_sync(sim, node_of_rank(sim, 1))->reader));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * All instances are replaced one by one while the platform is down. New
 * instances have no stored state and must get the table from their peers.
 */
static void test_rolling_replacement(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	int i;

	world_init(&world, &sim_table_sync);
	publish(&world, 11);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	sim->platform.down = true;
	sim_show_version(sim, sim->platform.shown, -1);
	for (i = 0; i < NODES; i++) {
		sim_stop(sim, i);
		sim_start(sim, i);
		sim_run(sim, 2500);
		CU_ASSERT_EQUAL(table_sync_ready(sim_node_sync(sim, i)), 0);
		CU_ASSERT_EQUAL(sim_node_sync(sim, i)->in_force->revision, 11);
	}
	sim->platform.down = false;
	publish(&world, 12);
	CU_ASSERT_TRUE(reaches_all(&world, 12));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * Two operators save at the same time: revisions 11 to 14 arrive within a few
 * milliseconds. The last one must be in force everywhere, and no instance may
 * go back to a lower one.
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
	CU_ASSERT_TRUE(reaches_all(&world, 14));
	CU_ASSERT_EQUAL(world.sim.reverts, 0);
	world_finish(&world);
}

/*
 * An instance is paused for 30 s while the table changes. When it resumes, it
 * processes heartbeats and answers from before the pause. They must not confirm
 * its table, and it must get the new one within seconds.
 */
static void test_paused_instance(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	int node;

	world_init(&world, &sim_table_sync);
	node = find_reader(sim, true);
	sim->nodes[node].paused_until = clock_now(&sim->clock) + MSEC(30000);
	sim_run(sim, 29000);
	sim->platform.down = true;
	sim_show_version(sim, sim->platform.shown, -1);
	sim->heartbeats_off = true;
	sim->push_loss = 1;
	sim_run(sim, 1150);
	CU_ASSERT_TRUE(table_sync_age(sim_node_sync(sim, node)) >= MSEC(30000));
	sim->heartbeats_off = false;
	sim->push_loss = 0;
	sim->platform.down = false;
	publish(&world, 11);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * A table in several parts is replaced by the next one, and its parts deleted,
 * while a reader fetches them. No instance may apply a mix of both tables.
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
	CU_ASSERT_TRUE(reaches_all(&world, 12));
	CU_ASSERT_EQUAL(sim_count_in_force(sim, 11), 0);
	/* Corrupts the last part, which is the changed one. */
	world.sheets.lease_ms = 1999;
	sim_publish_parts(sim, &world.sheets, 13, 3);
	part = &sim->platform
			.parts[(sim->platform.n_parts - 1) % SIM_PARTS_MAX];
	part->text[part->len - 1] = ' ';
	sim_run(sim, 5000);
	CU_ASSERT_EQUAL(sim_count_in_force(sim, 12), NODES);
	CU_ASSERT_TRUE(count_alarm(sim, TABLE_ALARM_PARTS) > 0);
	part->text[part->len - 1] = '\n';
	CU_ASSERT_TRUE(reaches_all(&world, 13));
	CU_ASSERT_EQUAL(count_alarm(sim, TABLE_ALARM_PARTS), 0);
	CU_ASSERT_EQUAL(sim->reverts, 0);
	world_finish(&world);
}

/*
 * One of the ten parts of a table changes. Each reader must fetch only that
 * part besides the manifest.
 */
static void test_changed_part(void)
{
	struct world world;
	struct sim *sim = &world.sim;
	uint64_t calls;

	world_init(&world, &sim_table_sync);
	sim_publish_parts(sim, &world.sheets, 11, 10);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	calls = sim->platform.part_calls;
	world.sheets.slots[ROWS / 2] = 9;
	sim_publish_parts(sim, &world.sheets, 12, 10);
	CU_ASSERT_TRUE(reaches_all(&world, 12));
	sim_run(sim, 1000);
	CU_ASSERT_EQUAL(sim->platform.part_calls - calls, 2 * DATA_CENTRES);
	world_finish(&world);
}

static void inject_fault(struct world *world, uint64_t *revision)
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
		sim_show_version(sim,
				 (int)sim_random(sim, platform->n_versions),
				 (int)sim_random(sim, platform->n_versions));
		break;
	case 3:
		sim->nodes[node].group = (int)sim_random(sim, 2);
		break;
	case 4:
		platform->down = !platform->down;
		break;
	case 5:
		/* One at a time, so that the highest revision survives. */
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

/*
 * Random combinations of all faults, in many runs. No instance may go back to a
 * lower revision, and all have the same table in the end.
 */
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
			inject_fault(&world, &revision);
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
 * A call on the platform is never answered, because its connection hangs. The
 * reader must call again and ignore a late answer to the first call.
 */
static void test_unanswered_call(void)
{
	struct platform_answer late = {.newer = true, .revision = 9};
	struct world world;
	struct sim *sim = &world.sim;
	struct table_sync *sync;
	uint64_t id;
	int node;

	world_init(&world, &sim_table_sync);
	node = find_reader(sim, true);
	sync = sim_node_sync(sim, node);
	id = sync->reader.watches[READER_TABLE].call_id;
	sim->nodes[node].is_platform_unreachable = true;
	sim_run(sim, 20000);
	CU_ASSERT_NOT_EQUAL(sync->reader.watches[READER_TABLE].call_id, id);
	table_sync_receive_answer(sync, READER_TABLE, id, &late);
	CU_ASSERT_FALSE(sync->reader.platform_behind);
	world_finish(&world);
}

/*
 * A peer sends an older table, as full text and as a delta, and one whose
 * digest does not match. None of them may be applied.
 */
static void test_old_update(void)
{
	Peer__TableUpdate update = PEER__TABLE_UPDATE__INIT;
	const struct table *table;
	struct world world;
	struct table_sync *sync;

	world_init(&world, &sim_table_sync);
	sync = sim_node_sync(&world.sim, 0);
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
	/* A refused update is not parsed again. */
	CU_ASSERT_EQUAL(table_sync_receive_update(sync, "node-0003", &update),
			ERR_STALE);
	CU_ASSERT_EQUAL(sync->in_force->revision, 10);
	publish(&world, 11);
	CU_ASSERT_TRUE(reaches_all(&world, 11));
	world_finish(&world);
}

static const struct unit_test tests[] = {
	{"spread", test_spread},
	{"invalid table", test_invalid},
	{"stale platform", test_stale},
	{"restored from a backup", test_restored},
	{"restored from a backup, same answers", test_restored_same_answers},
	{"alternating replicas of the platform", test_alternating_replicas},
	{"same revision, other content", test_conflict},
	{"partition", test_partition},
	{"new instance", test_new_instance},
	{"new instance knows only itself", test_new_instance_knows_only_itself},
	{"new instance alone", test_new_instance_alone},
	{"platform down for an hour", test_down},
	{"platform's call budget", test_budget},
	{"lost push", test_lost_push},
	{"readers cut off from the platform", test_readers_cut},
	{"readers crash", test_readers_crash},
	{"rolling replacement", test_rolling_replacement},
	{"old update", test_old_update},
	{"race of two changes", test_race},
	{"paused instance", test_paused_instance},
	{"table replaced while its parts are read", test_parts},
	{"changed part", test_changed_part},
	{"call without an answer", test_unanswered_call},
	{"random faults", test_random_faults},
};

int main(void)
{
	/* The tests raise thousands of alarms, which would be logged. */
	log_init(LOG_LEVEL_ERROR + 1, NULL);
	return unit_main("table_sync", tests,
			 (int)(sizeof(tests) / sizeof(*tests)));
}
