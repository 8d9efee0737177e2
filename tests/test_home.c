#include <stdlib.h>
#include <string.h>

#include "clock.h"
#include "home.h"
#include "mem.h"
#include "unit.h"

#define RUNNING_MAX 16
#define RESULTS_MAX 64

/* The home under test, and the calls of its ops. */
struct fixture {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
	struct home home;
	struct home_job *running[RUNNING_MAX];
	int n_running;
	int max_running;
	int n_started;
	int n_cancelled;
	int n_closed_silent;
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
	int n_done;		/* replies with done set */
	size_t max_reply_bytes; /* largest total of answers in a reply */
	int64_t n_started_late; /* jobs started after their deadline */
};

static void on_start(void *arg, struct home_job *job)
{
	struct fixture *fixture = arg;

	CU_ASSERT_FATAL(fixture->n_running < RUNNING_MAX);
	fixture->running[fixture->n_running++] = job;
	fixture->n_started++;
	if (fixture->n_running > fixture->max_running)
		fixture->max_running = fixture->n_running;
	if (clock_now(&fixture->clock) >= job->query->deadline_at)
		fixture->n_started_late++;
}

static void on_cancel(void *arg, struct home_job *job)
{
	struct fixture *fixture = arg;

	(void)job;
	fixture->n_cancelled++;
}

static void on_close_silent(void *arg, struct home_job *job)
{
	struct fixture *fixture = arg;
	int i;

	fixture->n_closed_silent++;
	for (i = 0; fixture->running[i] != job; i++)
		;
	fixture->n_running--;
	memmove(fixture->running + i, fixture->running + i + 1,
		(size_t)(fixture->n_running - i) * sizeof(*fixture->running));
	home_job_done(&fixture->home, job, ERR_SILENT, true, 0, STR(""));
}

static void on_reply(void *arg, void *link, const Peer__QueryResult *result)
{
	struct fixture *fixture = arg;
	size_t bytes = 0;
	size_t i;

	fixture->n_replies++;
	for (i = 0; i < result->n_results; i++) {
		int at = fixture->n_results++;

		CU_ASSERT_FATAL(at < RESULTS_MAX);
		fixture->results[at].link = link;
		fixture->results[at].id = result->id;
		fixture->results[at].part = result->results[i]->part;
		fixture->results[at].code = result->results[i]->code;
		fixture->results[at].sent = result->results[i]->sent;
		fixture->results[at].late = result->results[i]->late;
		bytes += result->results[i]->answer.len;
	}
	if (bytes > fixture->max_reply_bytes)
		fixture->max_reply_bytes = bytes;
	fixture->n_done += result->done;
}

static void on_want_flush(void *arg)
{
	(void)arg;
}

static const struct home_ops ops = {
	.start = on_start,
	.cancel = on_cancel,
	.close_silent = on_close_silent,
	.reply = on_reply,
	.want_flush = on_want_flush,
};

static struct home_server *set_share(struct fixture *fixture, const char *name,
				     uint32_t slots)
{
	struct home_server *server =
		home_find_or_add_server(&fixture->home, str_from(name));

	home_set_share(&fixture->home, server, slots, slots * 2);
	return server;
}

static void set_up(struct fixture *fixture)
{
	memset(fixture, 0, sizeof(*fixture));
	clock_init_paused(&fixture->clock, USEC_PER_SEC);
	blackboard_init(&fixture->board, &fixture->clock, &fixture->settings,
			NULL, 7);
	home_init(&fixture->home, &fixture->board, &ops, fixture);
}

static void tear_down(struct fixture *fixture)
{
	home_finish(&fixture->home);
	blackboard_finish(&fixture->board);
}

/* Sends a query for one shard of each of the servers. */
static void send_query(struct fixture *fixture, void *link, uint64_t id,
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
	home_query(&fixture->home, link, peer__query__unpack(NULL, len, bytes));
	free(bytes);
}

static void send_query_to_one(struct fixture *fixture, void *link, uint64_t id,
			      uint32_t deadline_ms)
{
	static const char *const servers[] = {"b1"};

	send_query(fixture, link, id, deadline_ms, servers, 1);
}

/* Ends the job that was started first. */
static void finish_oldest_job(struct fixture *fixture, int code, bool sent)
{
	struct home_job *job = fixture->running[0];

	CU_ASSERT_FATAL(fixture->n_running > 0);
	fixture->n_running--;
	memmove(fixture->running, fixture->running + 1,
		(size_t)fixture->n_running * sizeof(*fixture->running));
	home_job_done(&fixture->home, job, code, sent, 0, STR(""));
}

static void finish_all_jobs(struct fixture *fixture)
{
	while (fixture->n_running)
		finish_oldest_job(fixture, ERR_LOST, true);
	home_flush(&fixture->home);
}

/* Return: the code of the first result of a query, 1 if there is none. */
static int result_code(const struct fixture *fixture, uint64_t id)
{
	int i;

	for (i = 0; i < fixture->n_results; i++) {
		if (fixture->results[i].id == id)
			return fixture->results[i].code;
	}
	return 1;
}

static char link_a, link_b;

static void test_slots_are_never_exceeded(void)
{
	struct fixture fixture;
	uint64_t id;

	set_up(&fixture);
	set_share(&fixture, "b1", 2);
	for (id = 1; id <= 8; id++)
		send_query_to_one(&fixture, &link_a, id, 500);
	CU_ASSERT_EQUAL(fixture.n_running, 2);
	finish_oldest_job(&fixture, ERR_LOST, true);
	CU_ASSERT_EQUAL(fixture.n_running, 2);
	finish_all_jobs(&fixture);
	CU_ASSERT_EQUAL(fixture.max_running, 2);
	CU_ASSERT_EQUAL(fixture.n_started, 8);
	CU_ASSERT_EQUAL(fixture.n_results, 8);
	CU_ASSERT_EQUAL(fixture.n_done, 8);
	CU_ASSERT_TRUE(home_is_idle(&fixture.home));
	tear_down(&fixture);
}

static void test_results_are_reported_once(void)
{
	static const char *const servers[] = {"b1", "b2", "unknown"};
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	set_share(&fixture, "b2", 1);
	send_query(&fixture, &link_a, 1, 500, servers, 3);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_results, 1);
	CU_ASSERT_EQUAL(fixture.results[0].code, ERR_NOT_HOME);
	CU_ASSERT_FALSE(fixture.results[0].sent);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	finish_oldest_job(&fixture, ERR_SHED, true);
	home_flush(&fixture.home);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_results, 2);
	finish_all_jobs(&fixture);
	CU_ASSERT_EQUAL(fixture.n_results, 3);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	tear_down(&fixture);
}

/*
 * Guards against exceeding a server's limit after an instance has joined. The
 * share of this home shrinks from three slots to one: running requests are not
 * interrupted, and none may start while the new share is in use.
 */
static void test_reduced_share(void)
{
	struct fixture fixture;
	uint64_t id;

	set_up(&fixture);
	set_share(&fixture, "b1", 3);
	for (id = 1; id <= 5; id++)
		send_query_to_one(&fixture, &link_a, id, 500);
	CU_ASSERT_EQUAL(fixture.n_running, 3);
	set_share(&fixture, "b1", 1);
	finish_oldest_job(&fixture, ERR_LOST, true);
	finish_oldest_job(&fixture, ERR_LOST, true);
	CU_ASSERT_EQUAL(fixture.n_started, 3);
	finish_oldest_job(&fixture, ERR_LOST, true);
	CU_ASSERT_EQUAL(fixture.n_started, 4);
	CU_ASSERT_EQUAL(fixture.n_running, 1);
	finish_all_jobs(&fixture);
	tear_down(&fixture);
}

/*
 * The share becomes 0 while requests are queued. They were not sent, and the
 * entry must be told so at once instead of waiting until its deadline.
 */
static void test_share_withdrawn(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 500);
	send_query_to_one(&fixture, &link_a, 2, 500);
	set_share(&fixture, "b1", 0);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(result_code(&fixture, 2), ERR_NOT_HOME);
	CU_ASSERT_FALSE(fixture.results[0].sent);
	CU_ASSERT_EQUAL(fixture.n_running, 1);
	send_query_to_one(&fixture, &link_a, 3, 500);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(result_code(&fixture, 3), ERR_NOT_HOME);
	finish_oldest_job(&fixture, ERR_LOST, true);
	CU_ASSERT_EQUAL(fixture.n_started, 1);
	finish_all_jobs(&fixture);
	CU_ASSERT_TRUE(home_is_idle(&fixture.home));
	tear_down(&fixture);
}

/* A queued job is dropped and reported once its deadline passes. */
static void test_deadline_in_the_queue(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 500);
	send_query_to_one(&fixture, &link_a, 2, 100);
	CU_ASSERT_TRUE(home_tick(&fixture.home) <=
		       clock_now(&fixture.clock) + MSEC(100));
	clock_advance(&fixture.clock, MSEC(100));
	home_tick(&fixture.home);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(result_code(&fixture, 2), ERR_TOO_LATE);
	CU_ASSERT_FALSE(fixture.results[0].sent);
	finish_all_jobs(&fixture);
	CU_ASSERT_EQUAL(fixture.n_started, 1);
	tear_down(&fixture);
}

static void stop(struct fixture *fixture, int64_t grace)
{
	stop_plan_init(&fixture->board.stop, clock_now(&fixture->clock), grace);
	home_stop(&fixture->home);
}

static void advance_to(struct fixture *fixture, int64_t time)
{
	clock_advance(&fixture->clock, time - clock_now(&fixture->clock));
	home_tick(&fixture->home);
	home_flush(&fixture->home);
}

/* Guards against an exit with queries open that other instances wait for. */
static void test_queries_end_before_the_exit(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 9000);
	send_query_to_one(&fixture, &link_a, 2, 9000);
	stop(&fixture, MSEC(2000));
	send_query_to_one(&fixture, &link_a, 3, 9000);
	CU_ASSERT(home_tick(&fixture.home) <=
		  blackboard_start_by(&fixture.board));
	advance_to(&fixture, blackboard_start_by(&fixture.board));
	CU_ASSERT_EQUAL(result_code(&fixture, 2), ERR_LEAVING);
	CU_ASSERT_EQUAL(result_code(&fixture, 3), ERR_LEAVING);
	CU_ASSERT_FALSE(fixture.results[0].sent || fixture.results[1].sent);
	CU_ASSERT_EQUAL(fixture.n_cancelled, 0);
	advance_to(&fixture, fixture.board.stop.answer_by);
	CU_ASSERT_EQUAL(fixture.n_cancelled, 1);
	CU_ASSERT_EQUAL(fixture.n_started, 1);
	finish_all_jobs(&fixture);
	tear_down(&fixture);
}

/* Guards against a retry elsewhere of what has no time left. */
static void test_own_deadline_during_a_stop(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 9000);
	send_query_to_one(&fixture, &link_a, 2, 100);
	stop(&fixture, MSEC(2000));
	advance_to(&fixture, clock_now(&fixture.clock) + MSEC(100));
	CU_ASSERT_EQUAL(result_code(&fixture, 2), ERR_TOO_LATE);
	finish_all_jobs(&fixture);
	tear_down(&fixture);
}

/* Guards against an entry that gives up a shard as its home stops. */
static void test_entry_may_ask_again_after_a_stop(void)
{
	static const int codes[] = {ERR_CANCELLED, ERR_TOO_LATE};
	struct fixture fixture;
	size_t i;

	for (i = 0; i < sizeof(codes) / sizeof(*codes); i++) {
		set_up(&fixture);
		set_share(&fixture, "b1", 1);
		send_query_to_one(&fixture, &link_a, 1, 9000);
		stop(&fixture, MSEC(2000));
		advance_to(&fixture, fixture.board.stop.answer_by);
		CU_ASSERT_EQUAL(fixture.n_cancelled, 1);
		/* Status 499 of a server that was told, or 504. */
		finish_oldest_job(&fixture, codes[i], true);
		home_flush(&fixture.home);
		CU_ASSERT_EQUAL(result_code(&fixture, 1), ERR_LEAVING);
		tear_down(&fixture);
	}
}

/* Guards against the same for a query that arrives just before the exit. */
static void test_query_after_the_last_answers(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	stop(&fixture, MSEC(2000));
	advance_to(&fixture, fixture.board.stop.answer_by);
	send_query_to_one(&fixture, &link_a, 1, 9000);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_started, 0);
	CU_ASSERT_EQUAL(result_code(&fixture, 1), ERR_LEAVING);
	tear_down(&fixture);
}

/* A cancelled job keeps its slot until home_job_done(). */
static void test_deadline_while_running(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 100);
	send_query_to_one(&fixture, &link_a, 2, 500);
	clock_advance(&fixture.clock, MSEC(100));
	home_tick(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_cancelled, 1);
	CU_ASSERT_EQUAL(fixture.n_running, 1);
	CU_ASSERT_EQUAL(fixture.n_started, 1);
	finish_oldest_job(&fixture, ERR_CANCELLED, true);
	CU_ASSERT_EQUAL(fixture.n_started, 2);
	finish_all_jobs(&fixture);
	tear_down(&fixture);
}

static void cancel(struct fixture *fixture, void *link, uint64_t id, bool whole)
{
	Peer__Cancel message = PEER__CANCEL__INIT;

	message.id = id;
	message.whole = whole;
	home_cancel(&fixture->home, link, &message);
	home_flush(&fixture->home);
}

static void test_cancel_queued_and_running(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 500);
	send_query_to_one(&fixture, &link_a, 2, 500);
	cancel(&fixture, &link_a, 2, false);
	CU_ASSERT_EQUAL(result_code(&fixture, 2), ERR_CANCELLED);
	CU_ASSERT_FALSE(fixture.results[0].sent);
	CU_ASSERT_EQUAL(fixture.n_cancelled, 0);
	cancel(&fixture, &link_a, 1, true);
	CU_ASSERT_EQUAL(fixture.n_cancelled, 1);
	CU_ASSERT_EQUAL(result_code(&fixture, 1), 1);
	finish_oldest_job(&fixture, ERR_CANCELLED, true);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(result_code(&fixture, 1), ERR_CANCELLED);
	/* A cancel of a finished query has no effect. */
	cancel(&fixture, &link_a, 1, true);
	tear_down(&fixture);
}

/* Ids are unique per link: a cancel must not match another entry's query. */
static void test_cancel_of_another_entry(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 500);
	cancel(&fixture, &link_b, 1, true);
	CU_ASSERT_EQUAL(fixture.n_cancelled, 0);
	finish_all_jobs(&fixture);
	tear_down(&fixture);
}

/*
 * An entry's connection breaks while its requests are queued and running. The
 * queued ones are dropped, the running ones cancelled, and no result is sent to
 * the closed link.
 */
static void test_link_lost(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 500);
	send_query_to_one(&fixture, &link_a, 2, 500);
	send_query_to_one(&fixture, &link_b, 1, 500);
	home_link_lost(&fixture.home, &link_a);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_cancelled, 1);
	CU_ASSERT_EQUAL(fixture.n_results, 0);
	finish_oldest_job(&fixture, ERR_CANCELLED, true);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_results, 0);
	CU_ASSERT_EQUAL(fixture.n_started, 2);
	CU_ASSERT_PTR_EQUAL(fixture.running[0]->query->link, &link_b);
	finish_all_jobs(&fixture);
	CU_ASSERT_EQUAL(fixture.n_results, 1);
	CU_ASSERT_TRUE(home_is_idle(&fixture.home));
	tear_down(&fixture);
}

/*
 * The process is suspended for a minute with jobs in its queue. After it
 * resumes they must not be sent, as their callers have timed out. The answer of
 * the running job may be processed before any timer.
 */
static void test_expired_jobs_not_sent(void)
{
	struct fixture fixture;
	uint64_t id;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	for (id = 1; id <= 6; id++)
		send_query_to_one(&fixture, &link_a, id, 500);
	clock_advance(&fixture.clock, 60 * USEC_PER_SEC);
	finish_oldest_job(&fixture, ERR_LOST, true);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_started, 1);
	CU_ASSERT_EQUAL(fixture.n_started_late, 0);
	CU_ASSERT_EQUAL(fixture.n_results, 6);
	CU_ASSERT_EQUAL(result_code(&fixture, 6), ERR_TOO_LATE);
	CU_ASSERT_TRUE(home_is_idle(&fixture.home));
	tear_down(&fixture);
}

static void test_no_time_left_on_arrival(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	send_query_to_one(&fixture, &link_a, 1, 0);
	home_tick(&fixture.home);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_started, 0);
	CU_ASSERT_EQUAL(result_code(&fixture, 1), ERR_TOO_LATE);
	tear_down(&fixture);
}

static void test_query_without_parts(void)
{
	struct fixture fixture;

	set_up(&fixture);
	send_query(&fixture, &link_a, 1, 500, NULL, 0);
	home_flush(&fixture.home);
	CU_ASSERT_TRUE(home_is_idle(&fixture.home));
	tear_down(&fixture);
}

/*
 * Several servers return large answers at once. Answers that exceed the limit
 * of a frame together are sent in several frames; one that exceeds it alone
 * fails with ERR_TOO_LARGE.
 */
static void test_large_answers_go_in_several_frames(void)
{
	static const char *const servers[] = {"b1", "b2", "b3", "b4"};
	static char bytes[HOME_ANSWER_MAX_BYTES + 1];
	struct fixture fixture;
	int i;

	set_up(&fixture);
	for (i = 0; i < 4; i++)
		set_share(&fixture, servers[i], 1);
	send_query(&fixture, &link_a, 1, 500, servers, 4);
	for (i = 0; i < 4; i++)
		home_job_done(&fixture.home, fixture.running[i], 0, true, 0,
			      (struct str){bytes, i < 3 ? sizeof(bytes) - 1
							: sizeof(bytes)});
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_results, 4);
	CU_ASSERT_EQUAL(fixture.n_replies, 3);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_TRUE(fixture.max_reply_bytes <= HOME_ANSWER_MAX_BYTES);
	CU_ASSERT_EQUAL(fixture.results[2].code, 0);
	CU_ASSERT_EQUAL(fixture.results[3].code, ERR_TOO_LARGE);
	CU_ASSERT_TRUE(home_is_idle(&fixture.home));
	tear_down(&fixture);
}

/*
 * One of two results was already sent to the entry, and its job has no query
 * any more. Cancelling the rest, by the entry, the deadline or a lost link,
 * must not access that job.
 */
static void test_cancel_after_a_partial_report(void)
{
	static const char *const servers[] = {"b1", "b2"};
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	set_share(&fixture, "b2", 1);
	send_query(&fixture, &link_a, 1, 500, servers, 2);
	finish_oldest_job(&fixture, ERR_SHED, true);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_results, 1);
	cancel(&fixture, &link_a, 1, true);
	clock_advance(&fixture.clock, MSEC(500));
	home_tick(&fixture.home);
	home_link_lost(&fixture.home, &link_a);
	finish_all_jobs(&fixture);
	CU_ASSERT_TRUE(home_is_idle(&fixture.home));
	tear_down(&fixture);
}

/* Runs jobs of 10 ms each, so that the usual run time is known. */
static void record_usual_run_times(struct fixture *fixture)
{
	uint64_t id;

	for (id = 100; id < 130; id++) {
		send_query_to_one(fixture, &link_a, id, 500);
		clock_advance(&fixture->clock, MSEC(10));
		finish_oldest_job(fixture, 0, true);
		home_flush(&fixture->home);
	}
	fixture->n_results = 0;
}

/*
 * One request of a hundred takes 20 times as long and delays those queued
 * behind it; the entry can't tell them apart. The home reports the running one
 * as late, once, and still accepts its answer.
 */
static void test_late_job_is_reported_once(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	record_usual_run_times(&fixture);
	send_query_to_one(&fixture, &link_a, 1, 500);
	send_query_to_one(&fixture, &link_a, 2, 500);
	clock_advance(&fixture.clock, MSEC(9));
	home_tick(&fixture.home);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_results, 0);
	clock_advance(&fixture.clock, MSEC(21));
	CU_ASSERT(home_tick(&fixture.home) > clock_now(&fixture.clock));
	home_flush(&fixture.home);
	home_tick(&fixture.home);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_results, 1);
	CU_ASSERT_EQUAL(fixture.results[0].id, 1);
	CU_ASSERT_TRUE(fixture.results[0].late);
	CU_ASSERT_EQUAL(fixture.n_done, 30);
	finish_oldest_job(&fixture, 0, true);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_results, 2);
	CU_ASSERT_FALSE(fixture.results[1].late);
	CU_ASSERT_EQUAL(fixture.results[1].code, 0);
	finish_all_jobs(&fixture);
	tear_down(&fixture);
}

/*
 * A device between home and server has dropped the state of the connection, so
 * no answer will arrive. The connection must be closed long before the
 * deadline, and the slot used for the next request.
 */
static void test_silent_connection_is_closed(void)
{
	struct fixture fixture;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	record_usual_run_times(&fixture);
	send_query_to_one(&fixture, &link_a, 1, 2000);
	send_query_to_one(&fixture, &link_a, 2, 2000);
	clock_advance(&fixture.clock, MSEC(190));
	home_tick(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_closed_silent, 0);
	clock_advance(&fixture.clock, MSEC(20));
	home_tick(&fixture.home);
	home_flush(&fixture.home);
	CU_ASSERT_EQUAL(fixture.n_closed_silent, 1);
	CU_ASSERT_EQUAL(result_code(&fixture, 1), ERR_SILENT);
	CU_ASSERT_TRUE(fixture.results[0].sent);
	CU_ASSERT_EQUAL(fixture.n_running, 1);
	finish_all_jobs(&fixture);
	tear_down(&fixture);
}

/*
 * The server is slow, and its connections are sound. Each request closed as
 * silent counts as a sample, so that the threshold soon rises above the
 * server's run times.
 */
static void test_slow_server_soon_not_silent(void)
{
	struct fixture fixture;
	uint64_t id;

	set_up(&fixture);
	set_share(&fixture, "b1", 1);
	record_usual_run_times(&fixture);
	for (id = 1; id <= 20; id++) {
		send_query_to_one(&fixture, &link_a, id, 5000);
		clock_advance(&fixture.clock, MSEC(400));
		home_tick(&fixture.home);
		if (fixture.n_running)
			finish_oldest_job(&fixture, 0, true);
		home_flush(&fixture.home);
	}
	CU_ASSERT(fixture.n_closed_silent >= 1);
	CU_ASSERT(fixture.n_closed_silent <= 2);
	tear_down(&fixture);
}

static const struct unit_test tests[] = {
	{"slots are never exceeded", test_slots_are_never_exceeded},
	{"results are reported once", test_results_are_reported_once},
	{"running jobs above a reduced share", test_reduced_share},
	{"share withdrawn", test_share_withdrawn},
	{"deadline in the queue", test_deadline_in_the_queue},
	{"deadline while running", test_deadline_while_running},
	{"queries end before the exit", test_queries_end_before_the_exit},
	{"own deadline during a stop", test_own_deadline_during_a_stop},
	{"entry may ask again after a stop",
	 test_entry_may_ask_again_after_a_stop},
	{"query after the last answers", test_query_after_the_last_answers},
	{"cancel queued and running", test_cancel_queued_and_running},
	{"cancel of another entry", test_cancel_of_another_entry},
	{"link lost", test_link_lost},
	{"expired jobs are not sent after a suspension",
	 test_expired_jobs_not_sent},
	{"large answers go in several frames",
	 test_large_answers_go_in_several_frames},
	{"cancel after a partial report", test_cancel_after_a_partial_report},
	{"no time left on arrival", test_no_time_left_on_arrival},
	{"query without parts", test_query_without_parts},
	{"late job is reported once", test_late_job_is_reported_once},
	{"silent connection is closed", test_silent_connection_is_closed},
	{"slow server is soon not taken for silent",
	 test_slow_server_soon_not_silent},
};

UNIT_MAIN("home", tests)
