/*
 * What membership and shares cost: many real modules in one process, with the
 * clock advanced by hand and messages in a queue. JSON lines.
 */
#include <argp.h>
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "mem.h"
#include "tests/member_sim.h"

#define STEADY MSEC(60000)
#define CHURN MSEC(300000)
#define CHECK MSEC(20)
#define PATIENCE MSEC(120000)
#define SETTLED MSEC(40000)
/* 30 failures and 4,000 restarts a day in 1,200 nodes. */
#define RESTARTS_A_NODE_DAY (4030.0 / 1200)
#define DAY MSEC(86400000LL)

struct arguments {
	int nodes;
	int data_centres;
	int rows;
	double loss;
	bool naive;
};

static const struct argp_option options[] = {
	{"nodes", 'n', "N", 0, "instances (8)", 0},
	{"data-centres", 'd', "N", 0, "data centres (4)", 0},
	{"rows", 'r', "N", 0,
	 "backend servers a data centre (0: membership only)", 0},
	{"loss", 'l', "RATIO", 0, "datagrams lost (0.01)", 0},
	{"naive", 'N', NULL, 0, "baseline: each instance trusts its own view",
	 0},
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
	case 'l':
		args->loss = atof(arg);
		return 0;
	case 'N':
		args->naive = true;
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

static const struct argp argp = {options, parse, NULL, NULL, NULL, NULL, NULL};

static int64_t cpu_now(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (int64_t)ts.tv_sec * USEC_PER_SEC + ts.tv_nsec / 1000;
}

static size_t heap_used(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Counts at one moment. */
struct sample {
	uint64_t datagrams;
	uint64_t datagram_bytes;
	uint64_t frames;
	uint64_t frame_bytes;
	uint64_t members;
	int64_t cpu;
	int64_t at;
};

static struct sample take_sample(const struct sim *sim)
{
	return (struct sample){
		.datagrams = sim->datagrams,
		.datagram_bytes = sim->datagram_bytes,
		.frames = sim->frames,
		.frame_bytes = sim->frame_bytes,
		.cpu = cpu_now(),
		.at = clock_now(&sim->clock),
	};
}

static void print_sample(const struct sim *sim, const char *measure,
			 const struct sample *from, const struct sample *to,
			 int changes)
{
	double node_seconds = (double)(to->at - from->at) / USEC_PER_SEC;

	node_seconds *= sim->n;
	printf("{\"measure\":\"%s\",\"nodes\":%d,\"servers\":%d,"
	       "\"datagrams_s\":%.2f,\"datagram_bytes_s\":%.0f,"
	       "\"frames_s\":%.2f,\"frame_bytes_s\":%.0f,\"cpu_us_s\":%.0f,"
	       "\"changes\":%d}\n",
	       measure, sim->n, sim->table ? sim->table->n_servers : 0,
	       (double)(to->datagrams - from->datagrams) / node_seconds,
	       (double)(to->datagram_bytes - from->datagram_bytes) /
		       node_seconds,
	       (double)(to->frames - from->frames) / node_seconds,
	       (double)(to->frame_bytes - from->frame_bytes) / node_seconds,
	       (double)(to->cpu - from->cpu) / node_seconds, changes);
	fflush(stdout);
}

static void measure_steady(struct sim *sim)
{
	struct sample from = take_sample(sim);
	struct sample to;

	sim_run(sim, STEADY);
	to = take_sample(sim);
	print_sample(sim, "steady", &from, &to, 0);
}

static int status_at(const struct sim_node *node, const char *instance)
{
	const struct member *member =
		member_table_find(&node->members, instance);

	return member ? (int)member->status : MEMBER_NAMED;
}

/* Until all others hold a member for what it is. */
static int64_t run_until_known(struct sim *sim, int target,
			       enum member_status status)
{
	int64_t start = clock_now(&sim->clock);
	int i = 0;

	while (clock_now(&sim->clock) - start < PATIENCE) {
		sim_run(sim, CHECK);
		for (i = 0; i < sim->n; i++) {
			if (i != target && sim->nodes[i].up &&
			    status_at(&sim->nodes[i],
				      sim->nodes[target].name) != (int)status)
				break;
		}
		if (i == sim->n)
			return clock_now(&sim->clock) - start;
	}
	return -1;
}

static void print_known(const struct sim *sim, const char *event, int64_t usec)
{
	printf("{\"measure\":\"known\",\"nodes\":%d,\"event\":\"%s\","
	       "\"ms\":%lld}\n",
	       sim->n, event, (long long)(usec / USEC_PER_MSEC));
	fflush(stdout);
}

static void measure_known(struct sim *sim)
{
	int target = sim->n / 2;

	sim_crash(sim, target);
	print_known(sim, "crash", run_until_known(sim, target, MEMBER_GONE));
	sim_run(sim, SETTLED);
	sim_start(sim, target);
	print_known(sim, "join", run_until_known(sim, target, MEMBER_ALIVE));
	sim_run(sim, SETTLED);
	sim_leave(sim, target);
	print_known(sim, "leave", run_until_known(sim, target, MEMBER_LEAVING));
	sim_exit(sim, target);
	sim_run(sim, SETTLED);
	sim_start(sim, target);
	sim_run(sim, SETTLED);
}

/* Restarts at the rate of the target, each graceful. */
static void measure_churn(struct sim *sim)
{
	int64_t gap = (int64_t)((double)DAY / RESTARTS_A_NODE_DAY / sim->n);
	struct sample from = take_sample(sim);
	struct sample to;
	int64_t end = from.at + CHURN;
	int restarts = 0;

	while (clock_now(&sim->clock) + gap <= end) {
		int i = (int)(sim_random(sim) % sim->n);

		sim_leave(sim, i);
		sim_run(sim, MSEC(5000));
		sim_exit(sim, i);
		sim_run(sim, MSEC(1000));
		sim_start(sim, i);
		sim_run(sim, gap - MSEC(6000));
		restarts++;
	}
	sim_run(sim, end - clock_now(&sim->clock));
	to = take_sample(sim);
	print_sample(sim, "churn", &from, &to, restarts);
}

static void measure_start(struct sim *sim)
{
	size_t before = heap_used();
	int64_t took;

	sim_start_all(sim);
	took = sim_run_until(sim, sim_all_agree, PATIENCE);
	print_known(sim, "start of all", took);
	if (sim->table)
		print_known(sim, "shares after start of all",
			    sim_run_until(sim, sim_all_settled, PATIENCE));
	sim_run(sim, SETTLED);
	printf("{\"measure\":\"memory\",\"nodes\":%d,\"servers\":%d,"
	       "\"bytes_a_node\":%.0f}\n",
	       sim->n, sim->table ? sim->table->n_servers : 0,
	       (double)(heap_used() - before) / sim->n);
}

int main(int argc, char **argv)
{
	struct arguments args = {
		.nodes = 8,
		.data_centres = 4,
		.loss = 0.01,
	};
	struct sim sim;

	argp_parse(&argp, argc, argv, 0, NULL, &args);
	sim_init(&sim, 1, args.nodes, args.data_centres, args.rows, 2, 25,
		 args.naive ? &share_naive : &share_settled);
	sim.loss = args.loss;
	sim.list_period = MSEC(30000);
	sim.skip_accounting = true;
	measure_start(&sim);
	measure_steady(&sim);
	measure_known(&sim);
	measure_churn(&sim);
	sim_finish(&sim);
	return 0;
}
