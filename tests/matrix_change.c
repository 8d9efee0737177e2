#include "matrix_change.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "table_gen.h"
#include "step.h"
#include "table_sim.h"

#define NODES 12
#define DATA_CENTRES 4
#define ROWS 20
#define FIRST 10
#define CHANGE 11
#define LAST 12
#define SPREAD_MS 120000
#define FAULT_MS 60000
#define STEP_MS_MAX 120000
#define NAME_SIZE 64

static const char *const step_names[] = {
#define STEP_NAME(symbol, name, meaning) name,
	CHANGE_STEP_LIST(STEP_NAME)
#undef STEP_NAME
};

struct change_cell {
	struct sim sim;
	struct table_gen sheets;
	int first;
	int change;
};

/**
 * struct change_fault - what goes wrong during a change
 * @begin: at the step
 * @end: FAULT_MS later, NULL if it ends by itself
 */
struct change_fault {
	const char *name;
	void (*begin)(struct change_cell *cell);
	void (*end)(struct change_cell *cell);
};

static void down(struct change_cell *cell)
{
	cell->sim.platform.down = true;
}

static void up(struct change_cell *cell)
{
	cell->sim.platform.down = false;
}

static void stale(struct change_cell *cell)
{
	sim_show_version(&cell->sim, cell->first, -1);
}

static void newest(struct change_cell *cell)
{
	sim_show_version(&cell->sim, cell->change, -1);
}

static void flap(struct change_cell *cell)
{
	sim_show_version(&cell->sim, cell->change, cell->first);
}

static void busy(struct change_cell *cell)
{
	cell->sim.platform.retry_after_ms = 500;
}

static void not_busy(struct change_cell *cell)
{
	cell->sim.platform.retry_after_ms = 0;
}

static void pause(struct change_cell *cell)
{
	int i;

	for (i = 0; i < NODES; i += 3)
		cell->sim.nodes[i].paused_until =
			clock_now(&cell->sim.clock) + MSEC(30000);
}

static void split(struct change_cell *cell)
{
	int i;

	for (i = 0; i < NODES; i++)
		cell->sim.nodes[i].group = i % DATA_CENTRES < 2;
	sim_set_members(&cell->sim);
}

static void heal(struct change_cell *cell)
{
	int i;

	for (i = 0; i < NODES; i++)
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

static void crash(struct change_cell *cell)
{
	int i;

	for (i = 0; i < NODES; i += 2)
		sim_stop(&cell->sim, i);
	sim_set_members(&cell->sim);
}

static void restart(struct change_cell *cell)
{
	int i;

	for (i = 0; i < NODES; i += 2)
		sim_start(&cell->sim, i);
	sim_set_members(&cell->sim);
}

/* The members of a lagging list include those that are gone. */
static void crash_unnoticed(struct change_cell *cell)
{
	int i;

	for (i = 0; i < NODES; i += 2)
		sim_stop(&cell->sim, i);
}

static void replace_all(struct change_cell *cell)
{
	int i;

	for (i = 0; i < NODES; i++) {
		sim_stop(&cell->sim, i);
		sim_start(&cell->sim, i);
		sim_set_members(&cell->sim);
		sim_run(&cell->sim, 3000);
	}
}

static const struct change_fault faults[] = {
	{"none", NULL, NULL},
	{"platform_down", down, up},
	{"platform_stale", stale, newest},
	{"platform_flaps", flap, newest},
	{"platform_busy", busy, not_busy},
	{"processes_paused", pause, NULL},
	{"partition", split, heal},
	{"pushes_lost", lose_pushes, deliver_pushes},
	{"instances_crash", crash, restart},
	{"lagging_list", crash_unnoticed, restart},
	{"rolling_restart", replace_all, NULL},
};

#define N_FAULTS (int)(sizeof(faults) / sizeof(*faults))

static bool reached(const struct change_cell *cell, enum change_step step)
{
	int n = sim_count_in_force(&cell->sim, CHANGE);

	switch (step) {
	case STEP_PUBLISHED:
		return true;
	case STEP_READ:
		return n >= 1;
	case STEP_PUSHED:
		return n >= 2;
	default:
		return n == NODES;
	}
}

static bool run_to(struct change_cell *cell, enum change_step step)
{
	int ms;

	for (ms = 0; ms < STEP_MS_MAX; ms++) {
		if (reached(cell, step))
			return true;
		sim_run(&cell->sim, 1);
	}
	return false;
}

static void change(struct change_cell *cell)
{
	cell->sheets.slots[0]++;
}

static const char *judge(struct change_cell *cell)
{
	if (sim_run_until(&cell->sim, CHANGE, SPREAD_MS) < 0)
		return "the change is not in force everywhere";
	change(cell);
	sim_publish_sheets(&cell->sim, &cell->sheets, LAST);
	if (sim_run_until(&cell->sim, LAST, SPREAD_MS) < 0)
		return "the next change is not in force everywhere";
	if (cell->sim.reverts)
		return "a revision went back";
	if (cell->sim.mixed)
		return "a content that was never published";
	return NULL;
}

static const char *play(struct change_cell *cell,
			const struct change_fault *fault, enum change_step step)
{
	cell->first = sim_publish_sheets(&cell->sim, &cell->sheets, FIRST);
	sim_start_all(&cell->sim);
	if (sim_run_until(&cell->sim, FIRST, SPREAD_MS) < 0)
		return "the first table is not in force everywhere";
	sim_run(&cell->sim, 3000);
	change(cell);
	cell->change = sim_publish_sheets(&cell->sim, &cell->sheets, CHANGE);
	if (!run_to(cell, step))
		return "the step was not reached";
	if (fault->begin)
		fault->begin(cell);
	sim_run(&cell->sim, FAULT_MS);
	if (fault->end)
		fault->end(cell);
	return judge(cell);
}

static const char *run_cell(const struct change_fault *fault,
			    enum change_step step, uint64_t seed)
{
	struct change_cell *cell = calloc(1, sizeof(*cell));
	const char *why;

	table_gen_init(&cell->sheets, ROWS);
	sim_init(&cell->sim, &sim_table_sync, NODES, DATA_CENTRES, seed);
	why = play(cell, fault, step);
	sim_finish(&cell->sim);
	table_gen_finish(&cell->sheets);
	free(cell);
	return why;
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
		const char *why;

		snprintf(name, sizeof(name), "change/%s@%s", fault->name,
			 step_names[step]);
		if (cell && strcmp(cell, name)) {
			(*not_run)++;
			continue;
		}
		why = run_cell(fault, step, seed + (uint64_t)(i % seeds));
		*passed += !why;
		*failed += why != NULL;
		if (why)
			printf("%-64s config:BROKEN  %s  FAILED\n", name, why);
		else if (!quiet)
			printf("%-64s config\n", name);
	}
}
