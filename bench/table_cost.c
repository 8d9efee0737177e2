/*
 * Measures the cost of distributing the table: the real table modules of many
 * instances in one process, with a simulated clock and message queue. Prints
 * JSON lines.
 */
#include <argp.h>
#include <inttypes.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "log.h"
#include "mem.h"
#include "table_delta.h"
#include "tests/table_sim.h"

#define CHANGES_A_DAY 4800
#define DAY_MS 86400000
#define SETTLE_MS 30000
#define ROUNDS 20
#define FIRST_REVISION 100

struct arguments {
	int nodes;
	int data_centres;
	int rows;
	int changes;
	int parts;
	double loss;
	bool all_watch;
	bool table_only;
};

static const struct argp_option options[] = {
	{"nodes", 'n', "N", 0, "instances (8)", 0},
	{"data-centres", 'd', "N", 0, "data centres (4)", 0},
	{"rows", 'r', "N", 0, "backend servers in the table (100)", 0},
	{"changes", 'c', "N", 0, "changes, 18 s apart (10)", 0},
	{"parts", 'p', "N", 0,
	 "publish the table in this many parts (0: as a whole)", 0},
	{"loss", 'l', "RATIO", 0,
	 "fraction of messages between instances lost (0)", 0},
	{"all-watch", 'a', NULL, 0,
	 "baseline: every instance watches the platform", 0},
	{"table-only", 't', NULL, 0,
	 "measure parsing and updating one table instead", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 'n':
		args->nodes = atoi(arg);
		return 0;
	case 'd':
		args->data_centres = atoi(arg);
		return 0;
	case 'r':
		args->rows = atoi(arg);
		return 0;
	case 'c':
		args->changes = atoi(arg);
		return 0;
	case 'p':
		args->parts = atoi(arg);
		return 0;
	case 'l':
		args->loss = atof(arg);
		return 0;
	case 'a':
		args->all_watch = true;
		return 0;
	case 't':
		args->table_only = true;
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

/* Processor time, which excludes other load on the machine. */
static int64_t cpu_usec(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static size_t heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

static int compare_int64(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Durations in microseconds, for their median and maximum. */
struct durations {
	int64_t *values;
	int n;
};

static int64_t median(struct durations *durations)
{
	qsort(durations->values, (size_t)durations->n,
	      sizeof(*durations->values), compare_int64);
	return durations->values[durations->n / 2];
}

static int64_t maximum(struct durations *durations)
{
	median(durations);
	return durations->values[durations->n - 1];
}

static void print_durations(const char *name, struct durations *durations)
{
	printf(",\"%s_us\":%" PRId64 ",\"%s_max_us\":%" PRId64, name,
	       median(durations), name, maximum(durations));
}

static void exit_on_error(int ret)
{
	if (!ret)
		return;
	fprintf(stderr, "table_cost: %s\n", error_name(ret));
	exit(1);
}

static void measure_table(const struct arguments *args)
{
	int64_t parse_us[ROUNDS];
	int64_t canonical_us[ROUNDS];
	int64_t diff_us[ROUNDS];
	int64_t apply_us[ROUNDS];
	struct table_gen sheets;
	size_t heap = 0;
	size_t canonical = 0;
	size_t len = 0;
	int i;

	table_gen_init(&sheets, args->rows);
	for (i = 0; i < ROUNDS; i++) {
		struct table_delta delta;
		struct table tables[3];
		char *texts[2];
		int64_t start;

		texts[0] = table_gen_text(&sheets, &len);
		heap = heap_bytes();
		exit_on_error(table_init(&tables[0], texts[0], len, 1, NULL));
		heap = heap_bytes() - heap;
		sheets.slots[i % args->rows]++;
		texts[1] = table_gen_text(&sheets, &len);
		start = cpu_usec();
		exit_on_error(table_init(&tables[1], texts[1], len, 2, NULL));
		parse_us[i] = cpu_usec() - start;
		start = cpu_usec();
		exit_on_error(table_delta_init(&delta, &tables[0], &tables[1]));
		diff_us[i] = cpu_usec() - start;
		start = cpu_usec();
		exit_on_error(table_delta_apply(&delta, &tables[2], &tables[0],
						NULL));
		table_finish(&tables[0]);
		apply_us[i] = cpu_usec() - start;
		start = cpu_usec();
		exit_on_error(table_init(&tables[0], tables[1].text,
					 tables[1].len, 2, NULL));
		canonical_us[i] = cpu_usec() - start;
		canonical = tables[1].len;
		table_finish(&tables[0]);
		table_finish(&tables[1]);
		table_finish(&tables[2]);
		table_delta_finish(&delta);
		free(texts[0]);
		free(texts[1]);
	}
	printf("{\"measure\":\"table\",\"rows\":%d,\"text_bytes\":%zu,"
	       "\"canonical_bytes\":%zu,\"heap_bytes\":%zu",
	       args->rows, len, canonical, heap);
	print_durations("parse", &(struct durations){parse_us, ROUNDS});
	print_durations("parse_canonical",
			&(struct durations){canonical_us, ROUNDS});
	print_durations("diff", &(struct durations){diff_us, ROUNDS});
	print_durations("apply", &(struct durations){apply_us, ROUNDS});
	printf("}\n");
	table_gen_finish(&sheets);
}

static uint64_t sent_bytes(const struct sim *sim)
{
	uint64_t sum = 0;
	int i;

	for (i = 0; i < sim->n; i++)
		sum += sim->nodes[i].sent_bytes;
	return sum;
}

static uint64_t max_sent_bytes(const struct sim *sim, const uint64_t *before)
{
	uint64_t max = 0;
	int i;

	for (i = 0; i < sim->n; i++) {
		uint64_t sent = sim->nodes[i].sent_bytes - before[i];

		if (sent > max)
			max = sent;
	}
	return max;
}

static void watch_all(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++)
		sim_node_sync(sim, i)
			->reader.watches[READER_TABLE]
			.watched_by_all = true;
}

/* Values of the counters at the start of the measurement. */
struct start_counters {
	uint64_t calls;
	uint64_t platform_bytes;
	uint64_t bytes;
	uint64_t busy_ns;
	uint64_t *node_bytes;
};

static void read_start_counters(struct start_counters *start_counters,
				struct sim *sim)
{
	int i;

	start_counters->calls = sim->platform.calls + sim->platform.part_calls;
	start_counters->platform_bytes = sim->platform.bytes;
	start_counters->bytes = sent_bytes(sim);
	start_counters->busy_ns = sim->busy_ns;
	sim->longest_ns = 0;
	start_counters->node_bytes = mem_zalloc(
		(size_t)sim->n * sizeof(*start_counters->node_bytes));
	for (i = 0; i < sim->n; i++)
		start_counters->node_bytes[i] = sim->nodes[i].sent_bytes;
}

static void add_delays(const struct sim *sim, uint64_t revision,
		       int64_t published_at, struct durations *nodes,
		       struct durations *all)
{
	int64_t last = 0;
	int i;

	for (i = 0; i < sim->n; i++) {
		int64_t took = sim->nodes[i].reached_at - published_at;

		if (sim->nodes[i].seen_revision != revision)
			exit_on_error(ERR_TOO_LATE);
		nodes->values[nodes->n++] = took;
		if (took > last)
			last = took;
	}
	all->values[all->n++] = last;
}

static void publish(const struct arguments *args, struct sim *sim,
		    const struct table_gen *sheets, uint64_t revision)
{
	if (args->parts)
		sim_publish_parts(sim, sheets, revision, args->parts);
	else
		sim_publish_sheets(sim, sheets, revision);
}

/* Slot counts keep one digit, so that a change stays within its part. */
static void make_changes(const struct arguments *args, struct sim *sim,
			 struct table_gen *sheets, struct durations *nodes,
			 struct durations *all)
{
	uint64_t revision = FIRST_REVISION;
	int64_t gap_ms = DAY_MS / CHANGES_A_DAY;
	int i;

	for (i = 0; i < args->changes; i++) {
		int64_t at = clock_now(&sim->clock);

		sheets->slots[i % sheets->n_servers] = 3;
		publish(args, sim, sheets, ++revision);
		sim_run(sim, gap_ms);
		add_delays(sim, revision, at, nodes, all);
	}
}

static int count_readers(struct sim *sim)
{
	int count = 0;
	int i;

	for (i = 0; i < sim->n; i++) {
		const struct reader *reader = &sim_node_sync(sim, i)->reader;

		count += reader_is_watching(reader) ||
			 reader->watches[READER_TABLE].watched_by_all;
	}
	return count;
}

static void print_rates(const struct arguments *args, struct sim *sim,
			const struct start_counters *start_counters,
			size_t heap)
{
	double seconds = (double)args->changes * DAY_MS / CHANGES_A_DAY / 1000;
	double nodes = (double)sim->n;
	int readers = count_readers(sim);

	printf(",\"bytes_per_node_s\":%.1f,\"bytes_per_node_s_max\":%.1f"
	       ",\"readers\":%d,\"platform_bytes_per_reader_s\":%.1f"
	       ",\"platform_calls_s\":%.2f,\"busy_us_per_node_s\":%.1f"
	       ",\"longest_event_us\":%" PRIu64 ",\"heap_per_node\":%zu}\n",
	       (double)(sent_bytes(sim) - start_counters->bytes) / nodes /
		       seconds,
	       (double)max_sent_bytes(sim, start_counters->node_bytes) /
		       seconds,
	       readers,
	       (double)(sim->platform.bytes - start_counters->platform_bytes) /
		       readers / seconds,
	       (double)(sim->platform.calls + sim->platform.part_calls -
			start_counters->calls) /
		       seconds,
	       (double)(sim->busy_ns - start_counters->busy_ns) / 1000 / nodes /
		       seconds,
	       sim->longest_ns / 1000, heap / (size_t)sim->n);
}

static void measure_fleet(const struct arguments *args)
{
	size_t n = (size_t)args->nodes * (size_t)args->changes;
	struct durations nodes = {mem_zalloc(n * sizeof(int64_t)), 0};
	struct durations all = {mem_zalloc((size_t)args->changes *
					   sizeof(int64_t)),
				0};
	struct start_counters start_counters;
	struct table_gen sheets;
	struct sim sim;
	size_t heap;

	table_gen_init(&sheets, args->rows);
	sim_init(&sim, &sim_table_sync, args->nodes, args->data_centres, 1);
	sim.timed = true;
	publish(args, &sim, &sheets, FIRST_REVISION);
	heap = heap_bytes();
	sim_start_all(&sim);
	if (args->all_watch)
		watch_all(&sim);
	sim_run(&sim, SETTLE_MS);
	heap = heap_bytes() - heap;
	sim.loss = args->loss;
	sim.push_loss = args->loss;
	read_start_counters(&start_counters, &sim);
	make_changes(args, &sim, &sheets, &nodes, &all);
	printf("{\"measure\":\"fleet\",\"nodes\":%d,\"data_centres\":%d,"
	       "\"rows\":%d,\"changes\":%d,\"parts\":%d,\"loss\":%.3f,\"all_"
	       "watch\":%s",
	       args->nodes, args->data_centres, args->rows, args->changes,
	       args->parts, args->loss, args->all_watch ? "true" : "false");
	print_durations("node", &nodes);
	print_durations("everywhere", &all);
	print_rates(args, &sim, &start_counters, heap);
	free(start_counters.node_bytes);
	free(nodes.values);
	free(all.values);
	sim_finish(&sim);
	table_gen_finish(&sheets);
}

int main(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse, NULL,
		"Measure the cost of distributing the table."};
	struct arguments args = {8, 4, 100, 10};

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return 1;
	log_init(LOG_LEVEL_ERROR + 1, NULL);
	if (args.table_only)
		measure_table(&args);
	else
		measure_fleet(&args);
	return 0;
}
