#include "matrix_change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "table_gen.h"
#include "step.h"
#include "table_sim.h"

#define INSTANCES 12
#define DATA_CENTRES 4
#define TABLE_ROWS 20
#define FIRST_REVISION 10
#define CHANGE_REVISION 11
#define LAST_REVISION 12
#define IN_FORCE_MS_MAX 120000
#define FAULT_DURATION_MS 60000
#define STEP_MS_MAX 120000
#define NAME_SIZE 64

static const char *const step_names[] = {
#define STEP_NAME(symbol, name, meaning) name,
	CHANGE_STEP_LIST(STEP_NAME)
#undef STEP_NAME
};

/**
 * struct change_cell - simulated instances and the table to be changed
 * @sim: instances and platform
 * @sheets: contents of the table
 * @first_version: platform version with FIRST_REVISION
 * @changed_version: platform version with CHANGE_REVISION
 */
struct change_cell {
	struct sim sim;
	struct table_gen sheets;
	int first_version;
	int changed_version;
};

/**
 * struct change_fault - what goes wrong during a change
 * @name: part of the cell's name
 * @begin: called at the cell's step, NULL for no fault
 * @end: called FAULT_DURATION_MS later, NULL if the fault ends by itself
 */
struct change_fault {
	const char *name;
	void (*begin)(struct change_cell *cell);
	void (*end)(struct change_cell *cell);
};

static void take_platform_down(struct change_cell *cell)
{
	cell->sim.platform.down = true;
}

static void bring_platform_up(struct change_cell *cell)
{
	cell->sim.platform.down = false;
}

static void show_first_version(struct change_cell *cell)
{
	sim_show_version(&cell->sim, cell->first_version, -1);
}

static void show_changed_version(struct change_cell *cell)
{
	sim_show_version(&cell->sim, cell->changed_version, -1);
}

static void alternate_versions(struct change_cell *cell)
{
	sim_show_version(&cell->sim, cell->changed_version,
			 cell->first_version);
}

static void throttle_calls(struct change_cell *cell)
{
	cell->sim.platform.retry_after_ms = 500;
}

static void accept_calls(struct change_cell *cell)
{
	cell->sim.platform.retry_after_ms = 0;
}

static void pause_instances(struct change_cell *cell)
{
	int i;

	for (i = 0; i < INSTANCES; i += 3)
		cell->sim.nodes[i].paused_until =
			clock_now(&cell->sim.clock) + MSEC(30000);
}

static void split_network(struct change_cell *cell)
{
	int i;

	for (i = 0; i < INSTANCES; i++)
		cell->sim.nodes[i].group = i % DATA_CENTRES < 2;
	sim_set_members(&cell->sim);
}

static void heal_network(struct change_cell *cell)
{
	int i;

	for (i = 0; i < INSTANCES; i++)
		cell->sim.nodes[i].group = 0;
	sim_set_members(&cell->sim);
}

static void lose_pushes(struct change_cell *cell)
{
	cell->sim.push_loss = 1;
}

static void deliver_pushes(struct change_cell *cell)
{
	cell->sim.push_loss = 0;
}

static void crash_half(struct change_cell *cell)
{
	int i;

	for (i = 0; i < INSTANCES; i += 2)
		sim_stop(&cell->sim, i);
	sim_set_members(&cell->sim);
}

static void restart_half(struct change_cell *cell)
{
	int i;

	for (i = 0; i < INSTANCES; i += 2)
		sim_start(&cell->sim, i);
	sim_set_members(&cell->sim);
}

/* The remaining instances keep the crashed ones in their member lists. */
static void crash_half_unnoticed(struct change_cell *cell)
{
	int i;

	for (i = 0; i < INSTANCES; i += 2)
		sim_stop(&cell->sim, i);
}

static void rolling_restart(struct change_cell *cell)
{
	int i;

	for (i = 0; i < INSTANCES; i++) {
		sim_stop(&cell->sim, i);
		sim_start(&cell->sim, i);
		sim_set_members(&cell->sim);
		sim_run(&cell->sim, 3000);
	}
}

static const struct change_fault faults[] = {
	{"none", NULL, NULL},
	{"platform_down", take_platform_down, bring_platform_up},
	{"platform_stale", show_first_version, show_changed_version},
	{"platform_flaps", alternate_versions, show_changed_version},
	{"platform_busy", throttle_calls, accept_calls},
	{"processes_paused", pause_instances, NULL},
	{"partition", split_network, heal_network},
	{"pushes_lost", lose_pushes, deliver_pushes},
	{"instances_crash", crash_half, restart_half},
	{"lagging_list", crash_half_unnoticed, restart_half},
	{"rolling_restart", rolling_restart, NULL},
};

#define N_FAULTS (int)(sizeof(faults) / sizeof(*faults))

static bool is_reached(const struct change_cell *cell, enum change_step step)
{
	int n = sim_count_in_force(&cell->sim, CHANGE_REVISION);

	switch (step) {
	case STEP_PUBLISHED:
		return true;
	case STEP_READ:
		return n >= 1;
	case STEP_PUSHED:
		return n >= 2;
	default:
		return n == INSTANCES;
	}
}

static bool run_to_step(struct change_cell *cell, enum change_step step)
{
	int ms;

	for (ms = 0; ms < STEP_MS_MAX; ms++) {
		if (is_reached(cell, step))
			return true;
		sim_run(&cell->sim, 1);
	}
	return false;
}

static void modify_table(struct change_cell *cell)
{
	cell->sheets.slots[0]++;
}

static const char *check_result(struct change_cell *cell)
{
	if (sim_run_until(&cell->sim, CHANGE_REVISION, IN_FORCE_MS_MAX) < 0)
		return "the change is not in force everywhere";
	modify_table(cell);
	sim_publish_sheets(&cell->sim, &cell->sheets, LAST_REVISION);
	if (sim_run_until(&cell->sim, LAST_REVISION, IN_FORCE_MS_MAX) < 0)
		return "the next change is not in force everywhere";
	if (cell->sim.reverts)
		return "the revision in force decreased";
	if (cell->sim.unpublished)
		return "contents in force that were never published";
	return NULL;
}

static const char *run_change(struct change_cell *cell,
			      const struct change_fault *fault,
			      enum change_step step)
{
	cell->first_version =
		sim_publish_sheets(&cell->sim, &cell->sheets, FIRST_REVISION);
	sim_start_all(&cell->sim);
	if (sim_run_until(&cell->sim, FIRST_REVISION, IN_FORCE_MS_MAX) < 0)
		return "the first table is not in force everywhere";
	sim_run(&cell->sim, 3000);
	modify_table(cell);
	cell->changed_version =
		sim_publish_sheets(&cell->sim, &cell->sheets, CHANGE_REVISION);
	if (!run_to_step(cell, step))
		return "the step was not reached";
	if (fault->begin)
		fault->begin(cell);
	sim_run(&cell->sim, FAULT_DURATION_MS);
	if (fault->end)
		fault->end(cell);
	return check_result(cell);
}

static const char *run_cell(const struct change_fault *fault,
			    enum change_step step, uint64_t seed)
{
	struct change_cell *cell = calloc(1, sizeof(*cell));
	const char *reason;

	table_gen_init(&cell->sheets, TABLE_ROWS);
	sim_init(&cell->sim, &sim_table_sync, INSTANCES, DATA_CENTRES, seed);
	reason = run_change(cell, fault, step);
	sim_finish(&cell->sim);
	table_gen_finish(&cell->sheets);
	free(cell);
	return reason;
}

void matrix_change_run(uint64_t seed, int seeds, const char *cell, bool quiet,
		       int *passed, int *failed, int *not_run)
{
	int n = CHANGE_STEPS * N_FAULTS * seeds;
	int i;

	for (i = 0; i < n; i++) {
		enum change_step step = i / seeds / N_FAULTS;
		const struct change_fault *fault =
			&faults[i / seeds % N_FAULTS];
		char name[NAME_SIZE];
		const char *reason;

		snprintf(name, sizeof(name), "change/%s@%s", fault->name,
			 step_names[step]);
		if (cell && strcmp(cell, name)) {
			(*not_run)++;
			continue;
		}
		reason = run_cell(fault, step, seed + (uint64_t)(i % seeds));
		*passed += !reason;
		*failed += reason != NULL;
		if (reason)
			printf("%-64s config:BROKEN  %s  FAILED\n", name,
			       reason);
		else if (!quiet)
			printf("%-64s config\n", name);
	}
}
