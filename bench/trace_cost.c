/*
 * Measures the processor time to record the trace and the error budget use of a
 * search, with a full trace book and several numbers of parts. Prints JSON
 * lines.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "burn.h"
#include "trace.h"

#define SEARCHES 5000
#define N_NAMES 800
#define NAME_SIZE 24

static char names[N_NAMES][NAME_SIZE];

static double cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void record_search(struct trace_store *store, struct burn *burn,
			  int parts)
{
	static const struct burn_target target = {"m", 60, 0.99, 0.99};
	struct burn_event event = {true, true, MSEC(20)};
	struct trace_summary summary = {.request_id = "0123456789abcdef-1"};
	int64_t now = clock_now(store->clock);
	struct trace_log log;
	int i;

	trace_log_init(&log, store, now);
	for (i = 0; i < parts; i++)
		trace_log_sent(&log, now, str_from(names[i]),
			       str_from(names[i % 95]), TRACE_FIRST, 1);
	for (i = 0; i < parts; i++) {
		trace_log_set_times(&log, i, 10, 1000);
		trace_log_done(&log, i, now + 1000, 0);
	}
	burn_record(burn, STR("desk"), &target, &event);
	trace_store_add(store, &summary, &log);
	trace_log_finish(&log);
}

static void measure(int parts)
{
	struct trace_limits limits = {4096, 8388608, 128};
	struct trace_store store;
	struct clock clock;
	struct burn burn;
	double start;
	int i;

	clock_init(&clock);
	trace_store_init(&store, &clock);
	trace_store_set_limits(&store, &limits);
	burn_init(&burn, &clock);
	burn_set_services_max(&burn, 10);
	for (i = 0; i < SEARCHES; i++)
		record_search(&store, &burn, parts);
	start = cpu_seconds();
	for (i = 0; i < SEARCHES; i++)
		record_search(&store, &burn, parts);
	printf("{\"measure\":\"trace\",\"parts\":%d,\"us_per_search\":%.3f,"
	       "\"records\":%lld,\"bytes\":%lld}\n",
	       parts, (cpu_seconds() - start) * 1e6 / SEARCHES,
	       (long long)trace_store_count(&store),
	       (long long)trace_store_bytes(&store));
	burn_finish(&burn);
	trace_store_finish(&store);
}

int main(void)
{
	static const int parts[] = {1, 5, 10, 100, 730};
	size_t i;

	for (i = 0; i < N_NAMES; i++)
		snprintf(names[i], NAME_SIZE, "be-desk-%03zu", i);
	for (i = 0; i < sizeof(parts) / sizeof(*parts); i++)
		measure(parts[i]);
	return 0;
}
