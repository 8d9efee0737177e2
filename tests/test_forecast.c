#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "forecast.h"
#include "latency.h"
#include "unit.h"

#define PARTS 90
#define GOAL MSEC(150)
#define DEADLINE MSEC(1000)
/* Of 0.95 of the parts. */
#define NEEDED 86

static struct forecast_part parts[PARTS];
static struct forecast forecast;

/* A request whose first @n_busy parts meet a queue; runs of all take @run. */
static void expect(int n_busy, int64_t ahead, int64_t run)
{
	int i;

	memset(&forecast, 0, sizeof(forecast));
	forecast.parts = parts;
	forecast.n = PARTS;
	forecast.needed = NEEDED;
	forecast.goal = GOAL;
	forecast.deadline = DEADLINE;
	for (i = 0; i < PARTS; i++)
		parts[i] = (struct forecast_part){
			.ahead = i < n_busy ? ahead : 0,
			.run = run,
			.index = i,
		};
}

static void test_needed(void)
{
	CU_ASSERT(forecast_needed(90, 0.95) == NEEDED);
	CU_ASSERT(forecast_needed(20, 0.95) == 19);
	CU_ASSERT(forecast_needed(4, 0.75) == 3);
	CU_ASSERT(forecast_needed(4, 0) == 1);
}

/* Guards against a request that burdens all servers and is late all the same.
 */
static void test_refused_for_queues(void)
{
	expect(NEEDED, MSEC(400), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(forecast.refused);
	CU_ASSERT(forecast.n_in_time == PARTS - NEEDED);
	CU_ASSERT(forecast.room_in == MSEC(275));
	CU_ASSERT(!forecast.n_left_out);

	expect(NEEDED, MSEC(90), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && forecast.n_in_time == PARTS);

	expect(PARTS, MSEC(1200), MSEC(10));
	forecast.promised = true;
	forecast_decide(&forecast);
	CU_ASSERT(forecast.refused && forecast.room_in == MSEC(210));
}

/* Guards against refusing callers whose servers are slow and not busy. */
static void test_slow_is_sent(void)
{
	expect(PARTS, 0, MSEC(400));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && !forecast.n_left_out);

	expect(PARTS, MSEC(20), MSEC(400));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused);

	/* Work that waits is late as well, and the more the later. */
	expect(PARTS, MSEC(60), MSEC(400));
	forecast_decide(&forecast);
	CU_ASSERT(forecast.refused);
}

/* Guards against a few busy shards that hold up a caller until its goal. */
static void test_left_out(void)
{
	int i;

	expect(2, MSEC(300), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && forecast.n_left_out == 2);
	for (i = 0; i < PARTS; i++)
		CU_ASSERT(parts[i].left_out == (parts[i].index < 2));

	/* One is kept in reserve for parts that fail. */
	expect(4, MSEC(300), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && forecast.n_left_out == 3);

	/* Nearly in time, or with nobody waiting: asked as ever. */
	expect(2, MSEC(150), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.n_left_out);
	expect(0, 0, MSEC(10));
	parts[7].run = MSEC(300);
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && !forecast.n_left_out);
}

/* The play: entries that hear of the queues some time after they changed. */
#define REPLICAS 3
#define SLOTS 2
#define ENTRIES 6
#define TOLD_EACH 50
#define PLAY_MS 1000

enum level {
	URGENT,
	PATIENT,
	LEVELS
};

static const struct kind {
	int per_s;
	int64_t run;
	int64_t goal;
	int needed;
} kinds[LEVELS] = {
	{.per_s = 60, .run = MSEC(12), .goal = MSEC(50), .needed = 77},
	{.per_s = 400, .run = MSEC(32), .goal = MSEC(150), .needed = NEEDED},
};

/* Work that waits at a server, by level; urgent work goes first. */
typedef int64_t queues[PARTS][REPLICAS][LEVELS];

static queues truth;
static struct latency latencies[ENTRIES][LEVELS];
static queues views[ENTRIES];

static int64_t ahead_at(const int64_t work[LEVELS], enum level level)
{
	int64_t ahead = work[URGENT] + (level == PATIENT ? work[PATIENT] : 0);

	return ahead / SLOTS;
}

static void work_off(queues at, int64_t time)
{
	int64_t(*server)[LEVELS] = at[0];
	int i;

	for (i = 0; i < PARTS * REPLICAS; i++) {
		int64_t left = time * SLOTS - server[i][URGENT];

		server[i][URGENT] = left < 0 ? -left : 0;
		if (left > 0)
			server[i][PATIENT] -= left;
		if (server[i][PATIENT] < 0)
			server[i][PATIENT] = 0;
	}
}

static int best_of(queues view, int shard, enum level level)
{
	int best = 0;
	int i;

	for (i = 1; i < REPLICAS; i++) {
		if (ahead_at(view[shard][i], level) <
		    ahead_at(view[shard][best], level))
			best = i;
	}
	return best;
}

static int cmp_time(const void *a, const void *b)
{
	const int64_t *left = a;
	const int64_t *right = b;

	return (*left > *right) - (*left < *right);
}

/* Return: the share of its worth that a caller gets. */
static double ask(int entry, enum level level, bool left_out)
{
	const struct kind *kind = &kinds[level];
	struct latency *latency = &latencies[entry][level];
	int64_t(*view)[REPLICAS][LEVELS] = views[entry];
	int64_t took[PARTS];
	int servers[PARTS];
	int in = 0;
	int n = 0;
	int i;
	int j;

	expect(0, 0, kind->run);
	forecast.needed = kind->needed;
	forecast.goal = kind->goal;
	forecast.lag = (int64_t)latency->forecast_error;
	for (i = 0; i < PARTS; i++) {
		servers[i] = best_of(view, i, level);
		for (j = 0; j < REPLICAS; j++)
			parts[i].ahead +=
				ahead_at(view[i][j], level) / REPLICAS;
	}
	if (left_out)
		forecast_decide(&forecast);
	if (forecast.refused)
		return 0;
	for (i = 0; i < PARTS; i++) {
		int shard = parts[i].index;
		int64_t *work = truth[shard][servers[shard]];

		if (parts[i].left_out)
			continue;
		took[n] = ahead_at(work, level) + kind->run;
		in += took[n++] <= kind->goal;
		work[level] += kind->run;
		view[shard][servers[shard]][level] += kind->run;
	}
	qsort(took, (size_t)n, sizeof(*took), cmp_time);
	if (left_out)
		latency_add_forecast_error(latency,
					   took[kind->needed - 1] -
						   forecast_answer_time(
							   forecast.deciding));
	return in < kind->needed ? 0 : (double)in * in / PARTS / PARTS;
}

/* A burst beside slow servers; worth of each kind, of requests asked. */
static void play(bool left_out, double worth[LEVELS])
{
	int asked[LEVELS] = {0};
	int ms;
	int level;
	int i;

	memset(truth, 0, sizeof(truth));
	memset(views, 0, sizeof(views));
	memset(latencies, 0, sizeof(latencies));
	memset(worth, 0, LEVELS * sizeof(*worth));
	for (ms = 0; ms < PLAY_MS; ms++) {
		work_off(truth, MSEC(1));
		for (i = 0; i < ENTRIES; i++) {
			work_off(views[i], MSEC(1));
			if (ms % TOLD_EACH == i * TOLD_EACH / ENTRIES)
				memcpy(views[i], truth, sizeof(truth));
		}
		for (level = 0; level < LEVELS; level++) {
			while (asked[level] < ms * kinds[level].per_s / 1000) {
				i = asked[level]++ % ENTRIES;
				worth[level] +=
					ask(i, (enum level)level, left_out);
			}
		}
	}
	for (level = 0; level < LEVELS; level++)
		worth[level] /= asked[level];
}

/* Guards against servers that work on what is late while a burst lasts. */
static void test_burst_beside_slow_servers(void)
{
	const double fits = 1000.0 * REPLICAS * SLOTS;
	double room;
	double with[LEVELS];
	double without[LEVELS];

	/* What the servers can do in a second, over what is asked of them. */
	room = fits - kinds[URGENT].per_s * 12;
	room /= kinds[PATIENT].per_s * 32;
	play(true, with);
	play(false, without);
	CU_ASSERT(with[URGENT] > 0.95);
	CU_ASSERT(with[PATIENT] > 0.8 * room);
	CU_ASSERT(without[PATIENT] < 0.5 * room);
}

static const struct unit_test tests[] = {
	{"parts that are needed", test_needed},
	{"refused for queues", test_refused_for_queues},
	{"slow servers are asked", test_slow_is_sent},
	{"parts are left out", test_left_out},
	{"a burst beside slow servers", test_burst_beside_slow_servers},
};

UNIT_MAIN("forecast", tests)
