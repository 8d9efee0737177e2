/* Simulates many instances that send to one cold server. */
#include <stdio.h>
#include <string.h>

#include "unit.h"
#include "warmup.h"

#define SENDERS_MAX 66
#define HUBS_MAX 8
#define STEP MSEC(5)
#define BOUND 14
#define SENT_MAX 100000

/* The instances, each with its own view of the live hubs. */
struct simulation {
	struct clock clock;
	struct warmup senders[SENDERS_MAX];
	struct warmup_sends sends[SENDERS_MAX];
	bool suspended[SENDERS_MAX];
	int n;
	int64_t sent[SENT_MAX];
	int n_sent;
};

static const struct warmup_limit limit = {.cold_for = MSEC(3000),
					  .bound = BOUND};

static void format_name(char *out, int i)
{
	snprintf(out, FLEET_NAME_SIZE, "n%d", i);
}

/* Set the hubs that sender @i takes for alive: the bits of @mask. */
static void set_live_hubs(struct simulation *simulation, int i, int hubs,
			  unsigned int mask)
{
	char names[HUBS_MAX][FLEET_NAME_SIZE];
	int n = 0;
	int j;

	for (j = 0; j < hubs; j++) {
		if (mask & 1u << j)
			format_name(names[n++], j);
	}
	warmup_set_senders(&simulation->senders[i], names, n);
}

static void simulation_init(struct simulation *simulation, int n, int hubs)
{
	char name[FLEET_NAME_SIZE];
	int i;

	memset(simulation, 0, sizeof(*simulation));
	clock_init_paused(&simulation->clock, MSEC(1000000));
	simulation->n = n;
	for (i = 0; i < n; i++) {
		format_name(name, i);
		warmup_init(&simulation->senders[i], &simulation->clock, name);
		set_live_hubs(simulation, i, hubs, ~0u);
	}
	clock_advance(&simulation->clock, MSEC(2000));
}

/* Every instance sends as often as it may. */
static void simulate(struct simulation *simulation, int64_t ms)
{
	int64_t end = clock_now(&simulation->clock) + MSEC(ms);
	int i;

	while (clock_now(&simulation->clock) < end) {
		for (i = 0; i < simulation->n; i++) {
			if (!simulation->suspended[i] &&
			    warmup_try_send(&simulation->senders[i],
					    STR("server"), &limit,
					    &simulation->sends[i]))
				simulation->sent[simulation->n_sent++] =
					clock_now(&simulation->clock);
		}
		clock_advance(&simulation->clock, STEP);
	}
}

/* Maximum number of sends within any second. */
static int max_sends_per_second(const struct simulation *simulation)
{
	int most = 0;
	int from = 0;
	int i;

	for (i = 0; i < simulation->n_sent; i++) {
		while (simulation->sent[i] - simulation->sent[from] >=
		       MSEC(1000))
			from++;
		if (i - from + 1 > most)
			most = i - from + 1;
	}
	return most;
}

static int first_sender(struct simulation *simulation)
{
	return atoi(warmup_sender(&simulation->senders[0], STR("server")) + 1);
}

static void test_bound(void)
{
	CU_ASSERT(warmup_bound(6, 1.5, 5) == BOUND);
	CU_ASSERT(warmup_bound(0, 1.5, 5) == 0);
	CU_ASSERT(warmup_bound(0.1, 1, 0) == 1);
	CU_ASSERT(warmup_bound(1e300, 1, 0) == 1000000);
}

/*
 * Guards against crashes of servers that restart together during a burst. If
 * each instance only limits its own sends, all together send many times what a
 * cold server can bear.
 */
static void check_burst(int n, int hubs)
{
	static struct simulation simulation;

	simulation_init(&simulation, n, hubs);
	simulate(&simulation, 5000);
	CU_ASSERT(max_sends_per_second(&simulation) <= BOUND);
	/* The server must not starve: 7 in 1.3 s, it bears 6 a second. */
	CU_ASSERT(simulation.n_sent >= 5 * 5);
}

static void test_two_senders(void)
{
	check_burst(2, 2);
}

static void test_eight_senders(void)
{
	check_burst(8, 8);
}

static void test_sixty_six_senders(void)
{
	check_burst(66, 8);
}

/* Every hub is isolated and takes itself for the only one. */
static void test_isolated_senders(void)
{
	static struct simulation simulation;
	int i;

	simulation_init(&simulation, HUBS_MAX, HUBS_MAX);
	simulate(&simulation, 500);
	for (i = 0; i < HUBS_MAX; i++)
		set_live_hubs(&simulation, i, HUBS_MAX, 1u << i);
	simulate(&simulation, 5000);
	CU_ASSERT(max_sends_per_second(&simulation) <= BOUND);
	CU_ASSERT(simulation.n_sent > 20);
}

/*
 * Guards against exceeding the limit when the first hub is suspended, another
 * one takes over, and the first resumes with its old view of the hubs.
 */
static void test_suspended_sender(void)
{
	static struct simulation simulation;
	int first;
	int i;

	simulation_init(&simulation, HUBS_MAX, HUBS_MAX);
	first = first_sender(&simulation);
	simulate(&simulation, 1000);
	simulation.suspended[first] = true;
	for (i = 0; i < HUBS_MAX; i++) {
		if (i != first)
			set_live_hubs(&simulation, i, HUBS_MAX, ~(1u << first));
	}
	simulate(&simulation, 2000);
	CU_ASSERT(simulation.n_sent > 5);
	simulation.suspended[first] = false;
	simulate(&simulation, 2000);
	CU_ASSERT(max_sends_per_second(&simulation) <= BOUND);
}

/* All hubs restart: sends of their previous processes still count. */
static void test_simultaneous_restarts(void)
{
	static struct simulation simulation;
	char name[FLEET_NAME_SIZE];
	int i;

	simulation_init(&simulation, 8, 8);
	simulate(&simulation, 1000);
	memset(simulation.sends, 0, sizeof(simulation.sends));
	for (i = 0; i < 8; i++) {
		format_name(name, i);
		warmup_init(&simulation.senders[i], &simulation.clock, name);
		set_live_hubs(&simulation, i, 8, 1u << i);
	}
	simulate(&simulation, 200);
	for (i = 0; i < 8; i++)
		set_live_hubs(&simulation, i, 8, ~0u);
	simulate(&simulation, 3000);
	CU_ASSERT(max_sends_per_second(&simulation) <= BOUND);
}

/* Instances that are not the first hub send nothing. */
static void test_other_instances(void)
{
	static struct simulation simulation;
	int i;

	simulation_init(&simulation, 12, HUBS_MAX);
	for (i = 0; i < 12; i++) {
		bool first = i == first_sender(&simulation);

		CU_ASSERT(warmup_try_send(&simulation.senders[i], STR("server"),
					  &limit,
					  &simulation.sends[i]) == first);
	}
}

static const struct unit_test tests[] = {
	{"bound", test_bound},
	{"burst of two", test_two_senders},
	{"burst of eight", test_eight_senders},
	{"burst of sixty-six", test_sixty_six_senders},
	{"isolated senders", test_isolated_senders},
	{"suspended sender", test_suspended_sender},
	{"simultaneous restarts", test_simultaneous_restarts},
	{"other instances", test_other_instances},
};

UNIT_MAIN("warmup", tests)
