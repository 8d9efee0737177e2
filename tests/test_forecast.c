#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "forecast.h"
#include "latency.h"
#include "unit.h"

#define PARTS 90
#define GOAL MSEC(150)
#define DEADLINE MSEC(1000)
/* 0.95 of the parts. */
#define NEEDED 86

static struct forecast_part parts[PARTS];
static struct forecast forecast;

/* A request whose first @n_busy parts are queued for @queue_wait. */
static void init_forecast(int n_busy, int64_t queue_wait, int64_t run_time)
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
			.queue_wait = i < n_busy ? queue_wait : 0,
			.run_time = run_time,
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

/* Guards against requests that load all servers and are late anyway. */
static void test_refused_for_queues(void)
{
	init_forecast(NEEDED, MSEC(400), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(forecast.refused);
	CU_ASSERT(forecast.n_in_time == PARTS - NEEDED);
	CU_ASSERT(forecast.capacity_in == MSEC(275));
	CU_ASSERT(!forecast.n_left_out);

	init_forecast(NEEDED, MSEC(90), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && forecast.n_in_time == PARTS);

	init_forecast(PARTS, MSEC(1200), MSEC(10));
	forecast.promised = true;
	forecast_decide(&forecast);
	CU_ASSERT(forecast.refused && forecast.capacity_in == MSEC(210));
}

/* Guards against refusing requests to servers that are slow but not busy. */
static void test_slow_is_sent(void)
{
	init_forecast(PARTS, 0, MSEC(400));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && !forecast.n_left_out);

	init_forecast(PARTS, MSEC(20), MSEC(400));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused);

	/* Queued work is late as well. */
	init_forecast(PARTS, MSEC(60), MSEC(400));
	forecast_decide(&forecast);
	CU_ASSERT(forecast.refused);
}

/* Guards against a few busy shards that delay a request until its goal. */
static void test_left_out(void)
{
	int i;

	init_forecast(2, MSEC(300), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && forecast.n_left_out == 2);
	for (i = 0; i < PARTS; i++)
		CU_ASSERT(parts[i].left_out == (parts[i].index < 2));

	/* One late part is sent in reserve in case another fails. */
	init_forecast(4, MSEC(300), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && forecast.n_left_out == 3);

	/* Parts nearly in time, or slow without a queue, are still sent. */
	init_forecast(2, MSEC(150), MSEC(10));
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.n_left_out);
	init_forecast(0, 0, MSEC(10));
	parts[7].run_time = MSEC(300);
	forecast_decide(&forecast);
	CU_ASSERT(!forecast.refused && !forecast.n_left_out);
}

/* A simulation of entries that get delayed reports of the servers' queues. */
#define REPLICAS 3
#define SLOTS 2
#define ENTRIES 6
#define REPORT_PERIOD_MS 50
#define SIMULATED_MS 1000

enum level {
	URGENT,
	PATIENT,
	LEVELS
};

static const struct kind {
	int per_s;
	int64_t run_time;
	int64_t goal;
	int needed;
} kinds[LEVELS] = {
	{.per_s = 60, .run_time = MSEC(12), .goal = MSEC(50), .needed = 77},
	{.per_s = 400,
	 .run_time = MSEC(32),
	 .goal = MSEC(150),
	 .needed = NEEDED},
};

/* Queued work at a server, by level; urgent work is served first. */
typedef int64_t queues[PARTS][REPLICAS][LEVELS];

static queues actual_work;
static struct latency latencies[ENTRIES][LEVELS];
static queues known_work[ENTRIES];

static int64_t queue_wait_at(const int64_t work[LEVELS], enum level level)
{
	int64_t queue_wait =
		work[URGENT] + (level == PATIENT ? work[PATIENT] : 0);

	return queue_wait / SLOTS;
}

static void drain(queues at, int64_t time)
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

static int least_loaded_replica(queues known, int shard, enum level level)
{
	int best = 0;
	int i;

	for (i = 1; i < REPLICAS; i++) {
		if (queue_wait_at(known[shard][i], level) <
		    queue_wait_at(known[shard][best], level))
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

/* Return: the value of the answer for its caller, 0 to 1. */
static double send_request(int entry, enum level level, bool left_out)
{
	const struct kind *kind = &kinds[level];
	struct latency *latency = &latencies[entry][level];
	int64_t(*known)[REPLICAS][LEVELS] = known_work[entry];
	int64_t answer_times[PARTS];
	int servers[PARTS];
	int n_in_goal = 0;
	int n = 0;
	int i;
	int j;

	init_forecast(0, 0, kind->run_time);
	forecast.needed = kind->needed;
	forecast.goal = kind->goal;
	forecast.lag = (int64_t)latency->forecast_error;
	for (i = 0; i < PARTS; i++) {
		servers[i] = least_loaded_replica(known, i, level);
		for (j = 0; j < REPLICAS; j++)
			parts[i].queue_wait +=
				queue_wait_at(known[i][j], level) / REPLICAS;
	}
	if (left_out)
		forecast_decide(&forecast);
	if (forecast.refused)
		return 0;
	for (i = 0; i < PARTS; i++) {
		int shard = parts[i].index;
		int64_t *work = actual_work[shard][servers[shard]];

		if (parts[i].left_out)
			continue;
		answer_times[n] = queue_wait_at(work, level) + kind->run_time;
		n_in_goal += answer_times[n++] <= kind->goal;
		work[level] += kind->run_time;
		known[shard][servers[shard]][level] += kind->run_time;
	}
	qsort(answer_times, (size_t)n, sizeof(*answer_times), cmp_time);
	if (left_out)
		latency_add_forecast_error(
			latency,
			answer_times[kind->needed - 1] -
				forecast_answer_time(forecast.last_needed));
	return n_in_goal < kind->needed
		       ? 0
		       : (double)n_in_goal * n_in_goal / PARTS / PARTS;
}

/* A burst on slow servers; sets the mean value of an answer by level. */
static void simulate(bool left_out, double value[LEVELS])
{
	int n_sent[LEVELS] = {0};
	int ms;
	int level;
	int i;

	memset(actual_work, 0, sizeof(actual_work));
	memset(known_work, 0, sizeof(known_work));
	memset(latencies, 0, sizeof(latencies));
	memset(value, 0, LEVELS * sizeof(*value));
	for (ms = 0; ms < SIMULATED_MS; ms++) {
		drain(actual_work, MSEC(1));
		for (i = 0; i < ENTRIES; i++) {
			drain(known_work[i], MSEC(1));
			if (ms % REPORT_PERIOD_MS ==
			    i * REPORT_PERIOD_MS / ENTRIES)
				memcpy(known_work[i], actual_work,
				       sizeof(actual_work));
		}
		for (level = 0; level < LEVELS; level++) {
			while (n_sent[level] < ms * kinds[level].per_s / 1000) {
				i = n_sent[level]++ % ENTRIES;
				value[level] +=
					send_request(i, (enum level)level,
						     left_out);
			}
		}
	}
	for (level = 0; level < LEVELS; level++)
		value[level] /= n_sent[level];
}

/* Guards against servers busy with late work during a burst. */
static void test_burst_beside_slow_servers(void)
{
	const double fleet_capacity = 1000.0 * REPLICAS * SLOTS;
	double capacity_ratio;
	double with[LEVELS];
	double without[LEVELS];

	/* Capacity left for patient work, as a fraction of its demand. */
	capacity_ratio = fleet_capacity - kinds[URGENT].per_s * 12;
	capacity_ratio /= kinds[PATIENT].per_s * 32;
	simulate(true, with);
	simulate(false, without);
	CU_ASSERT(with[URGENT] > 0.95);
	CU_ASSERT(with[PATIENT] > 0.8 * capacity_ratio);
	CU_ASSERT(without[PATIENT] < 0.5 * capacity_ratio);
}

static const struct unit_test tests[] = {
	{"parts that are needed", test_needed},
	{"refused for queues", test_refused_for_queues},
	{"slow servers are n_sent", test_slow_is_sent},
	{"parts are left out", test_left_out},
	{"a burst beside slow servers", test_burst_beside_slow_servers},
};

UNIT_MAIN("forecast", tests)
