#include <stdio.h>
#include <string.h>

#include "outage.h"
#include "unit.h"

#define START MSEC(1000000)

/* A service of two servers, whose addresses accept connections or not. */
struct simulation {
	struct clock clock;
	struct registry registry;
	struct outage outage;
	bool is_listening;
	int64_t check_duration; /* microseconds; negative: no result */
	struct outage_server *checks[64];
	int64_t check_ends[64];
	int n_checks;
	int n_ended;
	int n_changes;
};

static const struct registry_criteria anywhere;

static void on_check(void *arg, struct registry_server *server,
		     struct outage_server *check)
{
	struct simulation *simulation = arg;

	(void)server;
	simulation->checks[simulation->n_checks] = check;
	simulation->check_ends[simulation->n_checks++] =
		clock_now(&simulation->clock) + simulation->check_duration;
}

static void on_changed(void *arg, const struct registry_server *server,
		       bool lost, int64_t lost_for)
{
	struct simulation *simulation = arg;

	(void)server;
	(void)lost;
	(void)lost_for;
	simulation->n_changes++;
}

static const struct outage_ops ops = {
	.check = on_check,
	.changed = on_changed,
};

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static void add_server(struct simulation *simulation, const char *id)
{
	struct server_entry entry = {.slots = 2};

	snprintf(entry.id, sizeof(entry.id), "%s", id);
	snprintf(entry.service, sizeof(entry.service), "s");
	registry_put(&simulation->registry, &entry, 1);
}

static void simulation_init(struct simulation *simulation)
{
	memset(simulation, 0, sizeof(*simulation));
	clock_init_paused(&simulation->clock, START);
	registry_init(&simulation->registry, STR("dc"), on_closing, NULL);
	outage_init(&simulation->outage, &simulation->clock, &ops, simulation);
	add_server(simulation, "a");
	add_server(simulation, "b");
}

static void simulation_finish(struct simulation *simulation)
{
	outage_finish(&simulation->outage);
	registry_finish(&simulation->registry);
}

static void report_result(struct simulation *simulation, const char *id,
			  enum server_result result)
{
	struct registry_server *server =
		registry_find(&simulation->registry, str_from(id));
	int64_t now = clock_now(&simulation->clock);

	server_score_sent(&server->score, now);
	server_score_result(&server->score, result, 0, now);
}

static bool is_affected(struct simulation *simulation)
{
	int64_t since;

	return outage_affects(&simulation->outage,
			      registry_service(&simulation->registry, STR("s")),
			      &since);
}

static void fail_all(struct simulation *simulation)
{
	report_result(simulation, "a", SERVER_UNREACHABLE);
	report_result(simulation, "a", SERVER_UNREACHABLE);
	report_result(simulation, "b", SERVER_UNREACHABLE);
	report_result(simulation, "b", SERVER_UNREACHABLE);
}

/* One request per millisecond; checks end after check_duration. */
static void simulate(struct simulation *simulation, int64_t ms)
{
	for (; ms > 0; ms--) {
		is_affected(simulation);
		while (simulation->n_ended < simulation->n_checks &&
		       simulation->check_duration >= 0 &&
		       simulation->check_ends[simulation->n_ended] <=
			       clock_now(&simulation->clock))
			outage_check_done(
				&simulation->outage,
				simulation->checks[simulation->n_ended++],
				simulation->is_listening);
		if (outage_due(&simulation->outage) <=
		    clock_now(&simulation->clock))
			outage_tick(&simulation->outage);
		clock_advance(&simulation->clock, MSEC(1));
	}
}

/*
 * Guards against taking a shard for lost after one failed connection to each of
 * its servers, caused by a lost packet or too many connections.
 */
static void test_one_failure_is_no_outage(void)
{
	struct simulation simulation;

	simulation_init(&simulation);
	report_result(&simulation, "a", SERVER_UNREACHABLE);
	report_result(&simulation, "b", SERVER_UNREACHABLE);
	CU_ASSERT(!is_affected(&simulation));
	report_result(&simulation, "a", SERVER_ANSWERED);
	report_result(&simulation, "a", SERVER_UNREACHABLE);
	report_result(&simulation, "b", SERVER_UNREACHABLE);
	CU_ASSERT(!is_affected(&simulation));
	CU_ASSERT(!simulation.n_changes);
	simulation_finish(&simulation);
}

/*
 * Guards against requests that each try a crashed server first, although the
 * other one of the shard works. After one more failed check, the crashed server
 * gets no requests until it accepts connections.
 */
static void test_checked_not_tried(void)
{
	struct simulation simulation;
	struct registry_service *service;
	int64_t now;

	simulation_init(&simulation);
	service = registry_service(&simulation.registry, STR("s"));
	report_result(&simulation, "a", SERVER_UNREACHABLE);
	CU_ASSERT(!is_affected(&simulation));
	simulate(&simulation, 60);
	now = clock_now(&simulation.clock) + MSEC(10000);
	report_result(&simulation, "b", SERVER_SILENT);
	CU_ASSERT(registry_pick(service, &anywhere, now) ==
		  registry_find(&simulation.registry, STR("b")));
	simulation.is_listening = true;
	simulate(&simulation, 60);
	report_result(&simulation, "b", SERVER_UNREACHABLE);
	report_result(&simulation, "b", SERVER_UNREACHABLE);
	CU_ASSERT(registry_pick(service, &anywhere, now) ==
		  registry_find(&simulation.registry, STR("a")));
	simulation_finish(&simulation);
}

/* Refusals for load and silent servers, maybe paused, are no outage. */
static void test_refusal_and_silence(void)
{
	struct simulation simulation;

	simulation_init(&simulation);
	fail_all(&simulation);
	CU_ASSERT(is_affected(&simulation));
	report_result(&simulation, "b", SERVER_REFUSED);
	CU_ASSERT(!is_affected(&simulation));
	report_result(&simulation, "b", SERVER_SILENT);
	report_result(&simulation, "b", SERVER_SILENT);
	CU_ASSERT(!is_affected(&simulation));
	simulation_finish(&simulation);
}

/*
 * Guards against a slow return and a flood of checks: both servers of a shard
 * are down and refuse connections while requests arrive. Once they accept
 * connections, requests are sent within 60 ms; until then each server gets no
 * more than 20 connections a second.
 */
static void test_back_within_60_ms(void)
{
	struct simulation simulation;
	int ms;

	simulation_init(&simulation);
	fail_all(&simulation);
	CU_ASSERT(is_affected(&simulation));
	for (ms = 0; ms < 600; ms += 100) {
		simulate(&simulation, 100);
		CU_ASSERT(simulation.n_checks <= 2 * (ms + 100) / 50 + 2);
	}
	CU_ASSERT(is_affected(&simulation));
	simulation.is_listening = true;
	for (ms = 0; is_affected(&simulation) && ms < 1000; ms++)
		simulate(&simulation, 1);
	CU_ASSERT(ms <= 60);
	CU_ASSERT(simulation.n_changes >= 2);
	simulation_finish(&simulation);
}

/*
 * Guards against late detection and a pile of open checks where servers lost
 * power: packets get no answer and a check ends after 250 ms. Further checks
 * start meanwhile, but no more than five are open at a time.
 */
static void test_no_answer(void)
{
	struct simulation simulation;

	simulation_init(&simulation);
	simulation.check_duration = -1;
	fail_all(&simulation);
	simulate(&simulation, 1000);
	CU_ASSERT(simulation.n_checks == 10);
	simulation_finish(&simulation);
}

/* Checks stop some time after the last request for the service. */
static void test_nobody_asks(void)
{
	struct simulation simulation;
	int n;

	simulation_init(&simulation);
	fail_all(&simulation);
	simulate(&simulation, 200);
	clock_advance(&simulation.clock, MSEC(2100));
	n = simulation.n_checks;
	outage_tick(&simulation.outage);
	CU_ASSERT(simulation.n_checks == n);
	/* They start again with the next request. */
	simulate(&simulation, 100);
	CU_ASSERT(simulation.n_checks > n);
	simulation_finish(&simulation);
}

/* A service without any published server is affected, too. */
static void test_no_server(void)
{
	struct simulation simulation;

	simulation_init(&simulation);
	report_result(&simulation, "a", SERVER_UNREACHABLE);
	report_result(&simulation, "a", SERVER_UNREACHABLE);
	CU_ASSERT(!is_affected(&simulation));
	registry_remove(&simulation.registry, STR("b"), 2);
	CU_ASSERT(is_affected(&simulation));
	registry_remove(&simulation.registry, STR("a"), 3);
	CU_ASSERT(is_affected(&simulation));
	add_server(&simulation, "c");
	CU_ASSERT(!is_affected(&simulation));
	simulation_finish(&simulation);
}

/*
 * Guards against retry delays that are too short, so that callers are refused
 * again and again, or so long that they stay away after a restart of 2 s.
 */
static void test_retry_after(void)
{
	struct simulation simulation;
	int64_t since = START - MSEC(700);

	simulation_init(&simulation);
	CU_ASSERT(outage_retry_after(&simulation.outage, since) == 700);
	CU_ASSERT(outage_retry_after(&simulation.outage, START) == 100);
	CU_ASSERT(outage_retry_after(&simulation.outage, 0) == 100);
	CU_ASSERT(outage_retry_after(&simulation.outage, START - MSEC(60000)) ==
		  5000);
	simulation_finish(&simulation);
}

static const struct unit_test tests[] = {
	{"one failure is no outage", test_one_failure_is_no_outage},
	{"checked, not tried", test_checked_not_tried},
	{"refusal and silence", test_refusal_and_silence},
	{"back within 60 ms", test_back_within_60_ms},
	{"no answer", test_no_answer},
	{"nobody asks", test_nobody_asks},
	{"no server", test_no_server},
	{"retry after", test_retry_after},
};

UNIT_MAIN("outage", tests)
