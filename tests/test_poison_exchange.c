/* Reports on fingerprints between instances, in random orders. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "mem.h"
#include "poison.h"
#include "rng.h"
#include "unit.h"

#define INSTANCES 6
#define FINGERPRINTS 3
#define SERVERS 8
#define EVENTS 400
#define SEEDS 100
/* Reports waiting on one link; more than this is a flood by itself. */
#define LINK_QUEUE_MAX 20000
#define REPLICA_SET STR("r1")

struct link {
	bool up;
	struct poison_report *queue;
	int head;
	int n;
	int cap;
};

struct exchange;

struct instance {
	struct exchange *exchange;
	int index;
	struct poison poison;
	int64_t stopped_until;
};

/* A full mesh; links keep the order of their reports. */
struct exchange {
	struct clock clock;
	struct rng rng;
	struct instance instances[INSTANCES];
	struct link links[INSTANCES][INSTANCES];
	int64_t n_created;
	int64_t n_sent;
	bool flooded;
};

static const struct poison_tunables tunables = {
	.max_entries = 64,
	.suspect_ttl = MSEC(60000),
	.ban_ttl = MSEC(600000),
};

static int draw(struct exchange *exchange, int n)
{
	return (int)(rng_uniform(&exchange->rng) * n);
}

static void send_report(struct exchange *exchange, int from, int to,
			const struct poison_report *report)
{
	struct link *link = &exchange->links[from][to];

	if (from == to || !link->up)
		return;
	exchange->n_sent++;
	if (link->n - link->head >= LINK_QUEUE_MAX) {
		exchange->flooded = true;
		return;
	}
	MEM_GROW(link->queue, link->n, link->cap);
	link->queue[link->n++] = *report;
}

static void send_to_all(struct exchange *exchange, int from, int except,
			const struct poison_report *report)
{
	int to;

	for (to = 0; to < INSTANCES; to++) {
		if (to != except)
			send_report(exchange, from, to, report);
	}
}

static void on_changed(void *ctx, const struct poison_report *report)
{
	struct instance *instance = ctx;

	instance->exchange->n_created++;
	send_to_all(instance->exchange, instance->index, -1, report);
}

static void start_instance(struct instance *instance)
{
	poison_init(&instance->poison, &instance->exchange->clock, on_changed,
		    instance);
	poison_set_tunables(&instance->poison, &tunables);
	instance->poison.ban_after = 3;
	instance->poison.no_canaries = true;
}

static void open_link(struct exchange *exchange, int from, int to)
{
	struct poison_report reports[POISON_EXPORT_MAX];
	struct link *link = &exchange->links[from][to];
	int n;
	int i;

	link->up = true;
	link->head = 0;
	link->n = 0;
	n = poison_export(&exchange->instances[from].poison, reports,
			  POISON_EXPORT_MAX);
	exchange->n_created += n;
	for (i = 0; i < n; i++)
		send_report(exchange, from, to, &reports[i]);
}

static void open_links_of(struct exchange *exchange, int a)
{
	int b;

	for (b = 0; b < INSTANCES; b++) {
		if (a == b)
			continue;
		open_link(exchange, a, b);
		open_link(exchange, b, a);
	}
}

static bool is_stopped(const struct exchange *exchange, int i)
{
	return exchange->instances[i].stopped_until >
	       clock_now(&exchange->clock);
}

/* Return: whether a report was delivered. */
static bool deliver_one(struct exchange *exchange)
{
	int first = draw(exchange, INSTANCES * INSTANCES);
	int i;

	for (i = 0; i < INSTANCES * INSTANCES; i++) {
		int n = (first + i) % (INSTANCES * INSTANCES);
		int from = n / INSTANCES;
		int to = n % INSTANCES;
		struct link *link = &exchange->links[from][to];
		struct poison_report report;

		if (link->head == link->n || is_stopped(exchange, to))
			continue;
		report = link->queue[link->head++];
		if (poison_apply_report(&exchange->instances[to].poison,
					&report))
			send_to_all(exchange, to, from, &report);
		return true;
	}
	return false;
}

static void run_once(struct exchange *exchange, int i, enum poison_trial trial,
		     bool crashes)
{
	struct poison *poison = &exchange->instances[i].poison;
	uint64_t hash = (uint64_t)draw(exchange, FINGERPRINTS) + 1;
	struct poison_run run;
	char server[8];

	snprintf(server, sizeof(server), "b%d", draw(exchange, SERVERS));
	if (trial)
		poison_start_trial(poison, hash,
				   clock_now(&exchange->clock) + MSEC(600),
				   hash + (uint64_t)draw(exchange, 1000));
	if (poison_begin(poison, &run, hash, str_from(server), REPLICA_SET,
			 trial, INT64_MAX))
		return;
	clock_advance(&exchange->clock, MSEC(draw(exchange, 20)));
	if (crashes)
		poison_server_lost(poison, str_from(server));
	else if (trial && draw(exchange, 2))
		poison_hold(poison, hash,
			    clock_now(&exchange->clock) + MSEC(2500));
	poison_end(poison, &run, true);
}

static void restart(struct exchange *exchange, int i)
{
	poison_finish(&exchange->instances[i].poison);
	start_instance(&exchange->instances[i]);
	exchange->instances[i].stopped_until = 0;
	open_links_of(exchange, i);
}

static void play_event(struct exchange *exchange)
{
	int i = draw(exchange, INSTANCES);
	int kind = draw(exchange, 100);

	if (kind < 3)
		restart(exchange, i);
	else if (is_stopped(exchange, i))
		return;
	else if (kind < 8)
		exchange->instances[i].stopped_until =
			clock_now(&exchange->clock) +
			MSEC(draw(exchange, 12000));
	else if (kind < 12)
		open_link(exchange, i, (i + 1) % INSTANCES);
	else if (kind < 20)
		poison_doubt(&exchange->instances[i].poison,
			     (uint64_t)draw(exchange, FINGERPRINTS) + 1,
			     REPLICA_SET);
	else if (kind < 45)
		run_once(exchange, i, POISON_NOT_TRIED, true);
	else if (kind < 65)
		run_once(exchange, i, POISON_ON_TRIAL, draw(exchange, 2));
	else
		run_once(exchange, i, POISON_NOT_TRIED, false);
}

static void play(uint64_t seed)
{
	struct exchange *exchange = mem_zalloc(sizeof(*exchange));
	int64_t most;
	int n;
	int i;
	int j;

	rng_init(&exchange->rng, seed);
	clock_init_paused(&exchange->clock, MSEC(1000));
	for (i = 0; i < INSTANCES; i++) {
		exchange->instances[i].exchange = exchange;
		exchange->instances[i].index = i;
		start_instance(&exchange->instances[i]);
	}
	for (i = 0; i < INSTANCES; i++)
		open_links_of(exchange, i);
	for (i = 0; i < EVENTS && !exchange->flooded; i++) {
		play_event(exchange);
		clock_advance(&exchange->clock, MSEC(draw(exchange, 300)));
		for (n = draw(exchange, 60); n && deliver_one(exchange); n--)
			;
	}
	clock_advance(&exchange->clock, MSEC(12000));
	most = exchange->n_created * INSTANCES * (INSTANCES - 1);
	while (exchange->n_sent <= most && deliver_one(exchange))
		;
	CU_ASSERT_FALSE(exchange->flooded);
	CU_ASSERT(exchange->n_sent <= most);
	if (exchange->flooded || exchange->n_sent > most)
		printf("seed %llu: %lld reports created, %lld sent\n",
		       (unsigned long long)seed, (long long)exchange->n_created,
		       (long long)exchange->n_sent);
	for (i = 0; i < INSTANCES; i++) {
		poison_finish(&exchange->instances[i].poison);
		for (j = 0; j < INSTANCES; j++)
			free(exchange->links[i][j].queue);
	}
	free(exchange);
}

/*
 * Guards against reports that feed each other: each instance passes a report on
 * at most once.
 */
static void test_reports_are_bounded(void)
{
	uint64_t seed;

	for (seed = 1; seed <= SEEDS; seed++)
		play(seed);
}

static const struct unit_test tests[] = {
	{"reports are bounded", test_reports_are_bounded},
};

UNIT_MAIN("poison_exchange", tests)
