#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "home.h"
#include "mem.h"
#include "unit.h"

#define RUNNING_MAX 16
#define RESULTS_MAX 64

/* What the home did to the world. */
struct world {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
	struct home home;
	struct home_job *running[RUNNING_MAX];
	int n_running;
	int most_running;
	int n_started;
	int n_cancelled;
	int n_silent;
	struct {
		void *link;
		uint64_t id;
		uint32_t part;
		int code;
		bool sent;
		bool late;
	} results[RESULTS_MAX];
	int n_results;
	int n_replies;
	int n_done;	      /* replies with done set */
	size_t most_bytes;    /* of the answers in a reply */
	int64_t started_late; /* jobs started after their deadline */
};

static void on_start(void *arg, struct home_job *job)
{
	struct world *world = arg;

	CU_ASSERT_FATAL(world->n_running < RUNNING_MAX);
	world->running[world->n_running++] = job;
	world->n_started++;
	if (world->n_running > world->most_running)
		world->most_running = world->n_running;
	if (clock_now(&world->clock) >= job->query->deadline_at)
		world->started_late++;
}

static void on_cancel(void *arg, struct home_job *job)
{
	struct world *world = arg;

	(void)job;
	world->n_cancelled++;
}

static void on_silent(void *arg, struct home_job *job)
{
	struct world *world = arg;
	int i;

	world->n_silent++;
	for (i = 0; world->running[i] != job; i++)
		;
	world->n_running--;
	memmove(world->running + i, world->running + i + 1,
		(size_t)(world->n_running - i) * sizeof(*world->running));
	home_job_done(&world->home, job, ERR_SILENT, true, 0, STR(""));
}

static void on_reply(void *arg, void *link, const Peer__QueryResult *result)
{
	struct world *world = arg;
	size_t bytes = 0;
	size_t i;

	world->n_replies++;
	for (i = 0; i < result->n_results; i++) {
		int at = world->n_results++;

		CU_ASSERT_FATAL(at < RESULTS_MAX);
		world->results[at].link = link;
		world->results[at].id = result->id;
		world->results[at].part = result->results[i]->part;
		world->results[at].code = result->results[i]->code;
		world->results[at].sent = result->results[i]->sent;
		world->results[at].late = result->results[i]->late;
		bytes += result->results[i]->answer.len;
	}
	if (bytes > world->most_bytes)
		world->most_bytes = bytes;
	world->n_done += result->done;
}

static void on_want_flush(void *arg)
{
	(void)arg;
}

static const struct home_ops ops = {
	.start = on_start,
	.cancel = on_cancel,
	.silent = on_silent,
	.reply = on_reply,
	.want_flush = on_want_flush,
};

static struct home_server *share(struct world *world, const char *name,
				 uint32_t slots)
{
	struct home_server *server =
		home_find_or_add_server(&world->home, str_from(name));

	home_set_share(&world->home, server, slots, slots * 2);
	return server;
}

static void set_up(struct world *world)
{
	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, USEC_PER_SEC);
	blackboard_init(&world->board, &world->clock, &world->settings, NULL,
			7);
	home_init(&world->home, &world->board, &ops, world);
}

static void tear_down(struct world *world)
{
	home_finish(&world->home);
	blackboard_finish(&world->board);
}

/* A query of an entry for one shard of each server named. */
static void ask(struct world *world, void *link, uint64_t id,
		uint32_t deadline_ms, const char *const *servers, int n)
{
	Peer__Query query = PEER__QUERY__INIT;
	Peer__ServerPart parts[4];
	Peer__ServerPart *pointers[4];
	Backend__KeyRange range = BACKEND__KEY_RANGE__INIT;
	Backend__KeyRange *ranges = &range;
	uint8_t *bytes;
	size_t len;
	int i;

	range.hi = 65535;
	query.id = id;
	query.deadline_ms = deadline_ms;
	query.n_parts = (size_t)n;
	query.parts = pointers;
	for (i = 0; i < n; i++) {
		peer__server_part__init(&parts[i]);
		parts[i].server = (char *)servers[i];
		parts[i].part = (uint32_t)i;
		parts[i].n_shards = 1;
		parts[i].shards = &ranges;
		pointers[i] = &parts[i];
	}
	len = peer__query__get_packed_size(&query);
	bytes = mem_zalloc(len);
	peer__query__pack(&query, bytes);
	home_query(&world->home, link, peer__query__unpack(NULL, len, bytes));
	free(bytes);
}

static void ask_one(struct world *world, void *link, uint64_t id,
		    uint32_t deadline_ms)
{
	static const char *const servers[] = {"b1"};

	ask(world, link, id, deadline_ms, servers, 1);
}

/* The job that runs longest ends. */
static void end_job(struct world *world, int code, bool sent)
{
	struct home_job *job = world->running[0];

	CU_ASSERT_FATAL(world->n_running > 0);
	world->n_running--;
	memmove(world->running, world->running + 1,
		(size_t)world->n_running * sizeof(*world->running));
	home_job_done(&world->home, job, code, sent, 0, STR(""));
}

static void end_all(struct world *world)
{
	while (world->n_running)
		end_job(world, ERR_LOST, true);
	home_flush(&world->home);
}

/* Codes of all results so far, for one query. */
static int code_of(const struct world *world, uint64_t id)
{
	int i;

	for (i = 0; i < world->n_results; i++) {
		if (world->results[i].id == id)
			return world->results[i].code;
	}
	return 1;
}

static char link_a, link_b;

static void test_slots_are_never_exceeded(void)
{
	struct world world;
	uint64_t id;

	set_up(&world);
	share(&world, "b1", 2);
	for (id = 1; id <= 8; id++)
		ask_one(&world, &link_a, id, 500);
	CU_ASSERT_EQUAL(world.n_running, 2);
	end_job(&world, ERR_LOST, true);
	CU_ASSERT_EQUAL(world.n_running, 2);
	end_all(&world);
	CU_ASSERT_EQUAL(world.most_running, 2);
	CU_ASSERT_EQUAL(world.n_started, 8);
	CU_ASSERT_EQUAL(world.n_results, 8);
	CU_ASSERT_EQUAL(world.n_done, 8);
	CU_ASSERT_TRUE(home_is_idle(&world.home));
	tear_down(&world);
}

static void test_results_are_reported_once(void)
{
	static const char *const servers[] = {"b1", "b2", "unknown"};
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	share(&world, "b2", 1);
	ask(&world, &link_a, 1, 500, servers, 3);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_results, 1);
	CU_ASSERT_EQUAL(world.results[0].code, ERR_NOT_HOME);
	CU_ASSERT_FALSE(world.results[0].sent);
	CU_ASSERT_EQUAL(world.n_done, 0);
	end_job(&world, ERR_SHED, true);
	home_flush(&world.home);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_results, 2);
	end_all(&world);
	CU_ASSERT_EQUAL(world.n_results, 3);
	CU_ASSERT_EQUAL(world.n_done, 1);
	tear_down(&world);
}

/*
 * An instance joins, and this home keeps one slot of three. Requests already
 * running end by themselves; none may be started until they are below the new
 * share, or the server would get more than its limit.
 */
static void test_share_shrinks(void)
{
	struct world world;
	uint64_t id;

	set_up(&world);
	share(&world, "b1", 3);
	for (id = 1; id <= 5; id++)
		ask_one(&world, &link_a, id, 500);
	CU_ASSERT_EQUAL(world.n_running, 3);
	share(&world, "b1", 1);
	end_job(&world, ERR_LOST, true);
	end_job(&world, ERR_LOST, true);
	CU_ASSERT_EQUAL(world.n_started, 3);
	end_job(&world, ERR_LOST, true);
	CU_ASSERT_EQUAL(world.n_started, 4);
	CU_ASSERT_EQUAL(world.n_running, 1);
	end_all(&world);
	tear_down(&world);
}

/*
 * The share is taken away while requests wait. They provably did not run, and
 * the entry must hear so at once rather than at its deadline.
 */
static void test_share_taken_away(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	ask_one(&world, &link_a, 1, 500);
	ask_one(&world, &link_a, 2, 500);
	share(&world, "b1", 0);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(code_of(&world, 2), ERR_NOT_HOME);
	CU_ASSERT_FALSE(world.results[0].sent);
	CU_ASSERT_EQUAL(world.n_running, 1);
	ask_one(&world, &link_a, 3, 500);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(code_of(&world, 3), ERR_NOT_HOME);
	end_job(&world, ERR_LOST, true);
	CU_ASSERT_EQUAL(world.n_started, 1);
	end_all(&world);
	CU_ASSERT_TRUE(home_is_idle(&world.home));
	tear_down(&world);
}

/* A deadline passes in the queue: the entry is told at once, nothing is sent.
 */
static void test_deadline_in_the_queue(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	ask_one(&world, &link_a, 1, 500);
	ask_one(&world, &link_a, 2, 100);
	CU_ASSERT_TRUE(home_tick(&world.home) <=
		       clock_now(&world.clock) + MSEC(100));
	clock_advance(&world.clock, MSEC(100));
	home_tick(&world.home);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(code_of(&world, 2), ERR_TOO_LATE);
	CU_ASSERT_FALSE(world.results[0].sent);
	end_all(&world);
	CU_ASSERT_EQUAL(world.n_started, 1);
	tear_down(&world);
}

/* A running job past its deadline is cancelled; its slot is not free yet. */
static void test_deadline_while_running(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	ask_one(&world, &link_a, 1, 100);
	ask_one(&world, &link_a, 2, 500);
	clock_advance(&world.clock, MSEC(100));
	home_tick(&world.home);
	CU_ASSERT_EQUAL(world.n_cancelled, 1);
	CU_ASSERT_EQUAL(world.n_running, 1);
	CU_ASSERT_EQUAL(world.n_started, 1);
	end_job(&world, ERR_CANCELLED, true);
	CU_ASSERT_EQUAL(world.n_started, 2);
	end_all(&world);
	tear_down(&world);
}

static void cancel(struct world *world, void *link, uint64_t id, bool whole)
{
	Peer__Cancel message = PEER__CANCEL__INIT;

	message.id = id;
	message.whole = whole;
	home_cancel(&world->home, link, &message);
	home_flush(&world->home);
}

static void test_cancel_queued_and_running(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	ask_one(&world, &link_a, 1, 500);
	ask_one(&world, &link_a, 2, 500);
	cancel(&world, &link_a, 2, false);
	CU_ASSERT_EQUAL(code_of(&world, 2), ERR_CANCELLED);
	CU_ASSERT_FALSE(world.results[0].sent);
	CU_ASSERT_EQUAL(world.n_cancelled, 0);
	cancel(&world, &link_a, 1, true);
	CU_ASSERT_EQUAL(world.n_cancelled, 1);
	CU_ASSERT_EQUAL(code_of(&world, 1), 1);
	end_job(&world, ERR_CANCELLED, true);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(code_of(&world, 1), ERR_CANCELLED);
	/* Too late, and of another entry: nothing happens. */
	cancel(&world, &link_a, 1, true);
	tear_down(&world);
}

/* Ids are unique on a link only: another entry's cancel must not meet ours. */
static void test_cancel_of_another_entry(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	ask_one(&world, &link_a, 1, 500);
	cancel(&world, &link_b, 1, true);
	CU_ASSERT_EQUAL(world.n_cancelled, 0);
	end_all(&world);
	tear_down(&world);
}

/*
 * An entry dies with requests waiting and running. Nobody wants the answers:
 * what waits must go, what runs is cancelled, and nothing is sent to the link.
 */
static void test_link_lost(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	ask_one(&world, &link_a, 1, 500);
	ask_one(&world, &link_a, 2, 500);
	ask_one(&world, &link_b, 1, 500);
	home_link_lost(&world.home, &link_a);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_cancelled, 1);
	CU_ASSERT_EQUAL(world.n_results, 0);
	end_job(&world, ERR_CANCELLED, true);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_results, 0);
	CU_ASSERT_EQUAL(world.n_started, 2);
	CU_ASSERT_PTR_EQUAL(world.running[0]->query->link, &link_b);
	end_all(&world);
	CU_ASSERT_EQUAL(world.n_results, 1);
	CU_ASSERT_TRUE(home_is_idle(&world.home));
	tear_down(&world);
}

/*
 * The process is stopped for a minute with a full queue and wakes up. Callers
 * have long gone; if the queue were sent now, servers would work for nobody.
 * The answer of the running job may be what comes first, before any timer.
 */
static void test_late_wake_sends_nothing(void)
{
	struct world world;
	uint64_t id;

	set_up(&world);
	share(&world, "b1", 1);
	for (id = 1; id <= 6; id++)
		ask_one(&world, &link_a, id, 500);
	clock_advance(&world.clock, 60 * USEC_PER_SEC);
	end_job(&world, ERR_LOST, true);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_started, 1);
	CU_ASSERT_EQUAL(world.started_late, 0);
	CU_ASSERT_EQUAL(world.n_results, 6);
	CU_ASSERT_EQUAL(code_of(&world, 6), ERR_TOO_LATE);
	CU_ASSERT_TRUE(home_is_idle(&world.home));
	tear_down(&world);
}

static void test_no_time_left_on_arrival(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	ask_one(&world, &link_a, 1, 0);
	home_tick(&world.home);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_started, 0);
	CU_ASSERT_EQUAL(code_of(&world, 1), ERR_TOO_LATE);
	tear_down(&world);
}

static void test_query_without_parts(void)
{
	struct world world;

	set_up(&world);
	ask(&world, &link_a, 1, 500, NULL, 0);
	home_flush(&world.home);
	CU_ASSERT_TRUE(home_is_idle(&world.home));
	tear_down(&world);
}

/*
 * Servers give large answers in the same moment. Together they are more than
 * a frame may carry; one that is alone too large is an error of its own.
 */
static void test_large_answers_go_in_several_frames(void)
{
	static const char *const servers[] = {"b1", "b2", "b3", "b4"};
	static char bytes[HOME_ANSWER_MAX_BYTES + 1];
	struct world world;
	int i;

	set_up(&world);
	for (i = 0; i < 4; i++)
		share(&world, servers[i], 1);
	ask(&world, &link_a, 1, 500, servers, 4);
	for (i = 0; i < 4; i++)
		home_job_done(&world.home, world.running[i], 0, true, 0,
			      (struct str){bytes, i < 3 ? sizeof(bytes) - 1
							: sizeof(bytes)});
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_results, 4);
	CU_ASSERT_EQUAL(world.n_replies, 3);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_TRUE(world.most_bytes <= HOME_ANSWER_MAX_BYTES);
	CU_ASSERT_EQUAL(world.results[2].code, 0);
	CU_ASSERT_EQUAL(world.results[3].code, ERR_TOO_LARGE);
	CU_ASSERT_TRUE(home_is_idle(&world.home));
	tear_down(&world);
}

/*
 * One server has answered, and the answer went to the entry. The other is
 * late: its cancellation, by the entry or the deadline, must not touch what
 * was reported before.
 */
static void test_cancel_after_a_partial_report(void)
{
	static const char *const servers[] = {"b1", "b2"};
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	share(&world, "b2", 1);
	ask(&world, &link_a, 1, 500, servers, 2);
	end_job(&world, ERR_SHED, true);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_results, 1);
	cancel(&world, &link_a, 1, true);
	clock_advance(&world.clock, MSEC(500));
	home_tick(&world.home);
	home_link_lost(&world.home, &link_a);
	end_all(&world);
	CU_ASSERT_TRUE(home_is_idle(&world.home));
	tear_down(&world);
}

/* Jobs that take 10 ms each, so that it is known what is usual. */
static void learn_times(struct world *world)
{
	uint64_t id;

	for (id = 100; id < 130; id++) {
		ask_one(world, &link_a, id, 500);
		clock_advance(&world->clock, MSEC(10));
		end_job(world, 0, true);
		home_flush(&world->home);
	}
	world->n_results = 0;
}

/*
 * One request of a hundred takes 20 times as long. It holds the slot, those
 * behind it wait, and to the entry all of them look alike. The home names the
 * one that runs, once, and goes on waiting for its answer.
 */
static void test_late_job_is_told_once(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	learn_times(&world);
	ask_one(&world, &link_a, 1, 500);
	ask_one(&world, &link_a, 2, 500);
	clock_advance(&world.clock, MSEC(9));
	home_tick(&world.home);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_results, 0);
	clock_advance(&world.clock, MSEC(21));
	CU_ASSERT(home_tick(&world.home) > clock_now(&world.clock));
	home_flush(&world.home);
	home_tick(&world.home);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_results, 1);
	CU_ASSERT_EQUAL(world.results[0].id, 1);
	CU_ASSERT_TRUE(world.results[0].late);
	CU_ASSERT_EQUAL(world.n_done, 30);
	end_job(&world, 0, true);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_results, 2);
	CU_ASSERT_FALSE(world.results[1].late);
	CU_ASSERT_EQUAL(world.results[1].code, 0);
	end_all(&world);
	tear_down(&world);
}

/*
 * Something between the two ends lost track of the connection: no answer will
 * ever come. The connection is given up long before the deadline, and the slot
 * serves the next request.
 */
static void test_silent_connection_is_given_up(void)
{
	struct world world;

	set_up(&world);
	share(&world, "b1", 1);
	learn_times(&world);
	ask_one(&world, &link_a, 1, 2000);
	ask_one(&world, &link_a, 2, 2000);
	clock_advance(&world.clock, MSEC(190));
	home_tick(&world.home);
	CU_ASSERT_EQUAL(world.n_silent, 0);
	clock_advance(&world.clock, MSEC(20));
	home_tick(&world.home);
	home_flush(&world.home);
	CU_ASSERT_EQUAL(world.n_silent, 1);
	CU_ASSERT_EQUAL(code_of(&world, 1), ERR_SILENT);
	CU_ASSERT_TRUE(world.results[0].sent);
	CU_ASSERT_EQUAL(world.n_running, 1);
	end_all(&world);
	tear_down(&world);
}

/*
 * The server is slow, and none of its connections is at fault. Each request
 * that is given up teaches that such times occur; soon none is.
 */
static void test_slow_server_is_not_silent_for_long(void)
{
	struct world world;
	uint64_t id;

	set_up(&world);
	share(&world, "b1", 1);
	learn_times(&world);
	for (id = 1; id <= 20; id++) {
		ask_one(&world, &link_a, id, 5000);
		clock_advance(&world.clock, MSEC(400));
		home_tick(&world.home);
		if (world.n_running)
			end_job(&world, 0, true);
		home_flush(&world.home);
	}
	CU_ASSERT(world.n_silent >= 1);
	CU_ASSERT(world.n_silent <= 2);
	tear_down(&world);
}

static const struct unit_test tests[] = {
	{"slots are never exceeded", test_slots_are_never_exceeded},
	{"results are reported once", test_results_are_reported_once},
	{"share shrinks", test_share_shrinks},
	{"share taken away", test_share_taken_away},
	{"deadline in the queue", test_deadline_in_the_queue},
	{"deadline while running", test_deadline_while_running},
	{"cancel queued and running", test_cancel_queued_and_running},
	{"cancel of another entry", test_cancel_of_another_entry},
	{"link lost", test_link_lost},
	{"late wake sends nothing", test_late_wake_sends_nothing},
	{"large answers go in several frames",
	 test_large_answers_go_in_several_frames},
	{"cancel after a partial report", test_cancel_after_a_partial_report},
	{"no time left on arrival", test_no_time_left_on_arrival},
	{"query without parts", test_query_without_parts},
	{"late job is told once", test_late_job_is_told_once},
	{"silent connection is given up", test_silent_connection_is_given_up},
	{"slow server is not silent for long",
	 test_slow_server_is_not_silent_for_long},
};

UNIT_MAIN("home", tests)
