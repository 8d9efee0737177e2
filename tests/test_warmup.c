/* Many instances that send to one cold server, on the paused clock. */
#include <stdio.h>
#include <string.h>

#include "unit.h"
#include "warmup.h"

#define SENDERS_MAX 66
#define HUBS_MAX 8
#define STEP MSEC(5)
#define BOUND 14
#define SENT_MAX 100000

/* What each of the instances believes of which of them live. */
struct world {
	struct clock clock;
	struct warmup senders[SENDERS_MAX];
	struct warmup_sends sends[SENDERS_MAX];
	bool frozen[SENDERS_MAX];
	int n;
	int64_t sent[SENT_MAX];
	int n_sent;
};

static const struct warmup_limit limit = {.cold_for = MSEC(3000),
					  .bound = BOUND};

static void name_of(char *out, int i)
{
	snprintf(out, FLEET_NAME_SIZE, "n%d", i);
}

/* Sender @i holds those of the first @hubs for alive that @mask has. */
static void believe(struct world *world, int i, int hubs, unsigned int mask)
{
	char names[HUBS_MAX][FLEET_NAME_SIZE];
	int n = 0;
	int j;

	for (j = 0; j < hubs; j++) {
		if (mask & 1u << j)
			name_of(names[n++], j);
	}
	warmup_set_senders(&world->senders[i], names, n);
}

static void world_init(struct world *world, int n, int hubs)
{
	char name[FLEET_NAME_SIZE];
	int i;

	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, MSEC(1000000));
	world->n = n;
	for (i = 0; i < n; i++) {
		name_of(name, i);
		warmup_init(&world->senders[i], &world->clock, name);
		believe(world, i, hubs, ~0u);
	}
	clock_advance(&world->clock, MSEC(2000));
}

/* Each would send as often as it may. */
static void pass(struct world *world, int64_t ms)
{
	int64_t end = clock_now(&world->clock) + MSEC(ms);
	int i;

	while (clock_now(&world->clock) < end) {
		for (i = 0; i < world->n; i++) {
			if (!world->frozen[i] &&
			    warmup_try_send(&world->senders[i], STR("server"),
					    &limit, &world->sends[i]))
				world->sent[world->n_sent++] =
					clock_now(&world->clock);
		}
		clock_advance(&world->clock, STEP);
	}
}

/* The most that arrive within any second. */
static int most_in_a_second(const struct world *world)
{
	int most = 0;
	int from = 0;
	int i;

	for (i = 0; i < world->n_sent; i++) {
		while (world->sent[i] - world->sent[from] >= MSEC(1000))
			from++;
		if (i - from + 1 > most)
			most = i - from + 1;
	}
	return most;
}

static int first_of(struct world *world)
{
	return atoi(warmup_sender(&world->senders[0], STR("server")) + 1);
}

static void test_bound(void)
{
	CU_ASSERT(warmup_bound(6, 1.5, 5) == BOUND);
	CU_ASSERT(warmup_bound(0, 1.5, 5) == 0);
	CU_ASSERT(warmup_bound(0.1, 1, 0) == 1);
	CU_ASSERT(warmup_bound(1e300, 1, 0) == 1000000);
}

/*
 * A data centre's servers come back together, cold, in a burst. Each instance
 * kept within what a server bears and all together sent it many times that, so
 * that it crashed again.
 */
static void test_burst(int n, int hubs)
{
	static struct world world;

	world_init(&world, n, hubs);
	pass(&world, 5000);
	CU_ASSERT(most_in_a_second(&world) <= BOUND);
	/* It is not left alone either: 7 in 1.3 s of the 6 a second it bears.
	 */
	CU_ASSERT(world.n_sent >= 5 * 5);
}

static void test_two(void)
{
	test_burst(2, 2);
}

static void test_eight(void)
{
	test_burst(8, 8);
}

static void test_sixty_six(void)
{
	test_burst(66, 8);
}

/* Each is cut off from all others and holds itself for the only one. */
static void test_all_cut_off(void)
{
	static struct world world;
	int i;

	world_init(&world, HUBS_MAX, HUBS_MAX);
	pass(&world, 500);
	for (i = 0; i < HUBS_MAX; i++)
		believe(&world, i, HUBS_MAX, 1u << i);
	pass(&world, 5000);
	CU_ASSERT(most_in_a_second(&world) <= BOUND);
	CU_ASSERT(world.n_sent > 20);
}

/*
 * The first stands still, another takes over, and the first wakes up with what
 * it believed before.
 */
static void test_frozen(void)
{
	static struct world world;
	int first;
	int i;

	world_init(&world, HUBS_MAX, HUBS_MAX);
	first = first_of(&world);
	pass(&world, 1000);
	world.frozen[first] = true;
	for (i = 0; i < HUBS_MAX; i++) {
		if (i != first)
			believe(&world, i, HUBS_MAX, ~(1u << first));
	}
	pass(&world, 2000);
	CU_ASSERT(world.n_sent > 5);
	world.frozen[first] = false;
	pass(&world, 2000);
	CU_ASSERT(most_in_a_second(&world) <= BOUND);
}

/* All are killed and start again: what they sent before still counts. */
static void test_start_of_all(void)
{
	static struct world world;
	char name[FLEET_NAME_SIZE];
	int i;

	world_init(&world, 8, 8);
	pass(&world, 1000);
	memset(world.sends, 0, sizeof(world.sends));
	for (i = 0; i < 8; i++) {
		name_of(name, i);
		warmup_init(&world.senders[i], &world.clock, name);
		believe(&world, i, 8, 1u << i);
	}
	pass(&world, 200);
	for (i = 0; i < 8; i++)
		believe(&world, i, 8, ~0u);
	pass(&world, 3000);
	CU_ASSERT(most_in_a_second(&world) <= BOUND);
}

/* Whoever is no hub, or is not the first, sends nothing. */
static void test_others(void)
{
	static struct world world;
	int i;

	world_init(&world, 12, HUBS_MAX);
	for (i = 0; i < 12; i++) {
		bool first = i == first_of(&world);

		CU_ASSERT(warmup_try_send(&world.senders[i], STR("server"),
					  &limit, &world.sends[i]) == first);
	}
}

static const struct unit_test tests[] = {
	{"bound", test_bound},
	{"burst of two", test_two},
	{"burst of eight", test_eight},
	{"burst of sixty-six", test_sixty_six},
	{"all cut off", test_all_cut_off},
	{"frozen", test_frozen},
	{"start of all", test_start_of_all},
	{"others", test_others},
};

UNIT_MAIN("warmup", tests)
