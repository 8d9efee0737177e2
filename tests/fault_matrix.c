/*
 * Injects every fault at every step of a search, alone and in pairs, and at
 * every step of a table change, and checks the invariants afterwards. Uses a
 * paused clock: the same seed gives the same result.
 */
#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "matrix_change.h"
#include "matrix_cluster.h"

#define SETTLE_TIME_MS 5000
#define BACKGROUND_SEARCHES 9
#define DEADLINE_SLACK_US MSEC(5)
#define PAUSE_US MSEC(600)
#define SERVER_SLOTS_MAX 4
#define CELL_NAME_SIZE 96

enum invariant {
	INVARIANT_SNAPSHOT,
	INVARIANT_COVERAGE,
	INVARIANT_ONE_OUTCOME,
	INVARIANT_NOT_RUN,
	INVARIANT_LEAVING,
	INVARIANT_PLANNED_CHANGE,
	INVARIANT_LIMITS,
	INVARIANTS,
};

static const char *const invariant_names[] = {"snapshot", "coverage", "whole",
					      "not_run",  "leaving",  "stop",
					      "limits"};

static const char *const step_names[] = {
#define STEP_NAME(symbol, name, meaning) name,
	REQUEST_STEP_LIST(STEP_NAME)
#undef STEP_NAME
};

/**
 * struct fault - a fault or planned change
 * @name: part of the cell's name
 * @inject: called when the target request reaches the cell's step
 * @may_end_target: the target's entry may be lost, so that its caller gets no
 *		    outcome
 * @is_planned: a planned change, under which every search must be complete
 */
struct fault {
	const char *name;
	void (*inject)(struct cluster *cluster);
	bool may_end_target;
	bool is_planned;
};

static int affected_server(const struct cluster *cluster)
{
	return cluster->target_server < 0 ? 0 : cluster->target_server;
}

/* Prefers the target's home; another instance if that is its entry. */
static int affected_home(const struct cluster *cluster)
{
	int entry = cluster->outcomes[0].entry;

	if (cluster->target_home >= 0 && cluster->target_home != entry)
		return cluster->target_home;
	return (entry + 1) % CLUSTER_INSTANCES;
}

static void straggler(struct cluster *cluster)
{
	cluster_slow_server(cluster, affected_server(cluster), 20);
}

static void replica_lost(struct cluster *cluster)
{
	cluster_kill_server(cluster, affected_server(cluster));
}

static void all_replicas_lost(struct cluster *cluster)
{
	int first = affected_server(cluster) / 2 * 2;

	cluster_kill_server(cluster, first);
	cluster_kill_server(cluster, first + 1);
}

static void version_switch(struct cluster *cluster)
{
	cluster_switch_versions(cluster, true);
}

static void repartition(struct cluster *cluster)
{
	cluster_switch_versions(cluster, false);
}

static void wrong_version(struct cluster *cluster)
{
	cluster->servers[affected_server(cluster)].answers_wrong_version = true;
}

static void wrong_held(struct cluster *cluster)
{
	cluster->servers[affected_server(cluster)].answers_wrong_held = true;
}

static void crashing_request(struct cluster *cluster)
{
	int i;

	for (i = 0; i < CLUSTER_SERVERS; i++)
		cluster->servers[i].crash_on_target = true;
}

static void silent_connection(struct cluster *cluster)
{
	cluster_stall_running_requests(cluster, affected_server(cluster));
}

static void server_drains(struct cluster *cluster)
{
	cluster_drain_server(cluster, affected_server(cluster));
}

static void server_cold(struct cluster *cluster)
{
	cluster_slow_server(cluster, affected_server(cluster), 5);
}

static void server_sheds(struct cluster *cluster)
{
	cluster->servers[affected_server(cluster)].sheds_load = true;
}

static void server_paused(struct cluster *cluster)
{
	cluster->servers[affected_server(cluster)].paused_until =
		clock_now(&cluster->clock) + PAUSE_US;
}

static void server_restarts(struct cluster *cluster)
{
	cluster_kill_server(cluster, affected_server(cluster));
	cluster_restart_server(cluster, affected_server(cluster));
}

static void home_paused(struct cluster *cluster)
{
	cluster_pause_instance(cluster, affected_home(cluster), PAUSE_US);
}

static void entry_paused(struct cluster *cluster)
{
	cluster_pause_instance(cluster, cluster->outcomes[0].entry, PAUSE_US);
}

static void partition(struct cluster *cluster)
{
	cluster_set_partitioned(cluster, cluster->outcomes[0].entry,
				affected_home(cluster), true);
}

static void home_crash(struct cluster *cluster)
{
	cluster_kill_instance(cluster, affected_home(cluster));
}

static void entry_crash(struct cluster *cluster)
{
	cluster_kill_instance(cluster, cluster->outcomes[0].entry);
}

static void home_restart(struct cluster *cluster)
{
	cluster_restart_instance(cluster, affected_home(cluster));
}

static void graceful_stop(struct cluster *cluster)
{
	cluster_start_leaving(cluster, affected_home(cluster));
}

static void lagging_list(struct cluster *cluster)
{
	cluster_kill_instance_undetected(cluster, affected_home(cluster));
}

static void table_change(struct cluster *cluster)
{
	cluster_change_table(cluster);
}

static const struct fault faults[] = {
	{"none", NULL, false, false},
	{"straggler", straggler, false, false},
	{"replica_lost", replica_lost, false, false},
	{"all_replicas_lost", all_replicas_lost, false, false},
	{"version_switch", version_switch, false, true},
	{"repartition", repartition, false, false},
	{"wrong_version", wrong_version, false, false},
	{"wrong_held", wrong_held, false, false},
	{"crashing_request", crashing_request, false, false},
	{"silent_connection", silent_connection, false, false},
	{"server_drains", server_drains, false, true},
	{"server_cold", server_cold, false, false},
	{"server_sheds", server_sheds, false, false},
	{"server_paused", server_paused, false, false},
	{"server_restarts", server_restarts, false, false},
	{"home_paused", home_paused, false, false},
	{"entry_paused", entry_paused, false, false},
	{"partition", partition, false, false},
	{"home_crash", home_crash, false, false},
	{"entry_crash", entry_crash, true, false},
	{"home_restart", home_restart, false, false},
	{"graceful_stop", graceful_stop, false, true},
	{"lagging_list", lagging_list, false, false},
	{"table_change", table_change, false, true},
};

#define N_FAULTS (int)(sizeof(faults) / sizeof(*faults))

/**
 * struct cell - one or two faults at a step, with a seed
 * @first: fault
 * @second: another fault injected at the same step, NULL for none
 * @step: of the target request at which the faults are injected
 * @seed: of the simulated cluster
 * @injected: whether the step was reached
 * @checked: number of checks of each invariant
 * @broken: number of failed checks of each invariant
 * @reason: what the first failed check found, empty if none failed
 */
struct cell {
	const struct fault *first;
	const struct fault *second;
	enum request_step step;
	uint64_t seed;
	bool injected;
	int checked[INVARIANTS];
	int broken[INVARIANTS];
	char reason[128];
};

static void check_invariant(struct cell *cell, enum invariant invariant,
			    bool holds, const char *what, int index)
{
	cell->checked[invariant]++;
	if (holds)
		return;
	if (!*cell->reason)
		snprintf(cell->reason, sizeof(cell->reason), "%s (search %d)",
			 what, index);
	cell->broken[invariant]++;
}

static void on_step(struct cluster *cluster, enum request_step step, void *arg)
{
	struct cell *cell = arg;

	if (step != cell->step)
		return;
	cell->injected = true;
	if (cell->first->inject)
		cell->first->inject(cluster);
	if (cell->second && cell->second->inject)
		cell->second->inject(cluster);
}

static void check_answer(struct cell *cell, const struct cluster_outcome *out,
			 int i)
{
	uint64_t answered = (uint64_t)out->answered;

	check_invariant(cell, INVARIANT_SNAPSHOT,
			out->version == CLUSTER_OLD_VERSION ||
				out->version == CLUSTER_NEW_VERSION,
			"unknown version", i);
	check_invariant(cell, INVARIANT_SNAPSHOT,
			out->count == answered * cluster_matches_per_shard(
							 out->version),
			"count does not match the version", i);
	check_invariant(cell, INVARIANT_COVERAGE,
			out->covered == answered * cluster_records_per_shard(
							   out->version),
			"covered does not match the shards that answered", i);
	check_invariant(cell, INVARIANT_COVERAGE,
			out->total ==
				(uint64_t)cluster_shard_count(out->version) *
					cluster_records_per_shard(out->version),
			"total does not match the snapshot", i);
}

/*
 * The caller of an entry that ended gets one outcome or none; every other
 * caller gets exactly one, by its deadline or as soon as a paused entry
 * resumes.
 */
static void check_outcome(struct cell *cell, const struct cluster *cluster,
			  int i)
{
	const struct cluster_outcome *out = &cluster->outcomes[i];
	const struct cluster_instance *entry = &cluster->instances[out->entry];
	int64_t latest = out->started_at + MSEC(CLUSTER_DEADLINE_MS);

	if (!entry->is_alive || entry->incarnation) {
		check_invariant(cell, INVARIANT_ONE_OUTCOME,
				out->n_outcomes <= 1, "more than one outcome",
				i);
	} else {
		check_invariant(cell, INVARIANT_ONE_OUTCOME,
				out->n_outcomes == 1, "not exactly one outcome",
				i);
		if (entry->paused_until > latest)
			latest = entry->paused_until;
		check_invariant(cell, INVARIANT_ONE_OUTCOME,
				out->ended_at <= latest + DEADLINE_SLACK_US,
				"answered after its deadline", i);
	}
	if (out->n_outcomes && !out->code)
		check_answer(cell, out, i);
}

static void check_target(struct cell *cell, const struct cluster *cluster)
{
	const struct cluster_outcome *out = &cluster->outcomes[0];
	int runs = 0;
	int i;

	for (i = 0; i < CLUSTER_SERVERS; i++)
		runs += cluster->servers[i].runs_of_target;
	if (out->n_outcomes && out->code && !out->maybe_ran)
		check_invariant(cell, INVARIANT_NOT_RUN, !runs,
				"not_run, but it ran", 0);
	else
		check_invariant(cell, INVARIANT_NOT_RUN, true, "", 0);
}

static void check_servers(struct cell *cell, const struct cluster *cluster)
{
	int i;

	for (i = 0; i < CLUSTER_SERVERS; i++) {
		check_invariant(cell, INVARIANT_LEAVING,
				!cluster->servers[i].late_starts,
				"request started on a leaving server", i);
		check_invariant(cell, INVARIANT_LIMITS,
				cluster->servers[i].most_running <=
					SERVER_SLOTS_MAX,
				"more running requests than slots", i);
	}
	check_invariant(cell, INVARIANT_LIMITS, !cluster->sends_above_share,
			"a home sent more than its share", 0);
	check_invariant(cell, INVARIANT_LIMITS, !cluster->late_sends,
			"sent to a server after the deadline", 0);
}

/* With planned changes only, every search succeeds with full coverage. */
static void check_planned(struct cell *cell, const struct cluster *cluster)
{
	int i;

	if (!cell->first->is_planned ||
	    (cell->second && !cell->second->is_planned))
		return;
	for (i = 0; i < cluster->n_searches; i++) {
		const struct cluster_outcome *out = &cluster->outcomes[i];

		check_invariant(
			cell, INVARIANT_PLANNED_CHANGE,
			!out->code && out->covered == out->total,
			"failed or partial despite planned changes only", i);
	}
}

/* Checks that a search has full coverage once the faults are over. */
static void check_recovery(struct cell *cell, struct cluster *cluster)
{
	const struct cluster_outcome *out;
	int at;
	int i;

	for (i = 0; i < CLUSTER_SERVERS; i++) {
		struct cluster_server *server = &cluster->servers[i];

		server->crash_on_target = false;
		server->answers_wrong_version = false;
		server->answers_wrong_held = false;
		server->sheds_load = false;
		cluster_slow_server(cluster, i, 1);
		if (!server->is_alive)
			cluster_restart_server(cluster, i);
	}
	for (i = 0; i < CLUSTER_INSTANCES; i++) {
		if (!cluster->instances[i].is_alive)
			cluster_restart_instance(cluster, i);
	}
	cluster_set_partitioned(cluster, 0, 1, false);
	cluster_set_partitioned(cluster, 0, 2, false);
	cluster_set_partitioned(cluster, 1, 2, false);
	cluster_run(cluster, MSEC(SETTLE_TIME_MS));
	at = cluster_search(cluster, 2);
	cluster_run(cluster, MSEC(2 * CLUSTER_DEADLINE_MS));
	out = &cluster->outcomes[at];
	check_invariant(cell, INVARIANT_ONE_OUTCOME,
			out->n_outcomes == 1 && !out->code &&
				out->covered == out->total,
			"no full answer after the fault", at);
}

/* Starts searches besides the target, at random entries and times. */
static void start_background_searches(struct cluster *cluster, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		cluster_search(cluster,
			       (int)cluster_random(cluster, CLUSTER_INSTANCES));
		cluster_run(cluster, (int64_t)cluster_random(cluster, 3000));
	}
}

static bool run_cell(struct cell *cell)
{
	static struct cluster cluster;
	bool broken = false;
	int i;

	cluster_init(&cluster, cell->seed);
	cluster.on_step = on_step;
	cluster.arg = cell;
	cluster_search(&cluster,
		       (int)cluster_random(&cluster, CLUSTER_INSTANCES));
	start_background_searches(&cluster, BACKGROUND_SEARCHES);
	cluster_run(&cluster, MSEC(SETTLE_TIME_MS));
	for (i = 0; i < cluster.n_searches; i++)
		check_outcome(cell, &cluster, i);
	check_target(cell, &cluster);
	check_planned(cell, &cluster);
	check_recovery(cell, &cluster);
	check_servers(cell, &cluster);
	cluster_finish(&cluster);
	for (i = 0; i < INVARIANTS; i++)
		broken |= cell->broken[i] > 0;
	return !broken && cell->injected;
}

static void cell_name(const struct cell *cell, char *out)
{
	snprintf(out, CELL_NAME_SIZE, "request/%s%s%s@%s", cell->first->name,
		 cell->second ? "+" : "",
		 cell->second ? cell->second->name : "",
		 step_names[cell->step]);
}

static void print_cell(const struct cell *cell, bool passed)
{
	char name[CELL_NAME_SIZE];
	int i;

	cell_name(cell, name);
	printf("%-64s", name);
	for (i = 0; i < INVARIANTS; i++) {
		if (cell->broken[i])
			printf(" %s:BROKEN", invariant_names[i]);
		else if (cell->checked[i])
			printf(" %s", invariant_names[i]);
	}
	if (!cell->injected)
		printf(" STEP NOT REACHED");
	if (!passed)
		printf("  %s", cell->reason);
	printf("%s\n", passed ? "" : "  FAILED");
}

struct arguments {
	uint64_t seed;
	int seeds;
	const char *cell;
	bool pairs;
	bool quiet;
};

struct totals {
	int passed;
	int failed;
	int not_run;
};

static void run_one(const struct arguments *args, struct totals *totals,
		    const struct fault *first, const struct fault *second,
		    enum request_step step)
{
	int i;

	for (i = 0; i < args->seeds; i++) {
		struct cell cell = {
			.first = first,
			.second = second,
			.step = step,
			.seed = args->seed + (uint64_t)i,
		};
		char name[CELL_NAME_SIZE];
		bool passed;

		cell_name(&cell, name);
		if (args->cell && strcmp(args->cell, name)) {
			totals->not_run++;
			continue;
		}
		passed = run_cell(&cell);
		totals->passed += passed;
		totals->failed += !passed;
		if (!args->quiet || !passed)
			print_cell(&cell, passed);
	}
}

static void run_requests(const struct arguments *args, struct totals *totals)
{
	int step;
	int i;
	int k;

	for (step = 0; step < REQUEST_STEPS; step++) {
		for (i = 0; i < N_FAULTS; i++) {
			run_one(args, totals, &faults[i], NULL, step);
			for (k = i + 1; k < N_FAULTS && args->pairs && i; k++)
				run_one(args, totals, &faults[i], &faults[k],
					step);
		}
	}
}

static const struct argp_option options[] = {
	{"seed", 's', "N", 0, "first seed (default 1)", 0},
	{"seeds", 'n', "N", 0, "seeds per cell (default 1)", 0},
	{"cell", 'c', "NAME", 0, "run one cell only", 0},
	{"pairs", 'p', NULL, 0, "run pairs of faults too", 0},
	{"quiet", 'q', NULL, 0, "print failed cells only", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 's':
		args->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'n':
		args->seeds = atoi(arg);
		return 0;
	case 'c':
		args->cell = arg;
		return 0;
	case 'p':
		args->pairs = true;
		return 0;
	case 'q':
		args->quiet = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int main(int argc, char **argv)
{
	static const struct argp argp = {options, parse, NULL,
					 "Runs the fault matrix."};
	struct arguments args = {.seed = 1, .seeds = 1};
	struct totals totals = {0};

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return 2;
	run_requests(&args, &totals);
	matrix_change_run(args.seed, args.seeds, args.cell, args.quiet,
			  &totals.passed, &totals.failed, &totals.not_run);
	if (totals.not_run)
		printf("%d cells not run\n", totals.not_run);
	printf("%d passed, %d failed\n", totals.passed, totals.failed);
	return totals.failed ? 1 : 0;
}
