#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "mem.h"
#include "board_fixture.h"
#include "search.h"
#include "unit.h"

#define SENT_MAX 32
#define REASONS_MAX 16

/**
 * struct fixture - searches of one instance, and what they output
 * @sent: queries in the order in which they were sent
 * @refuse_send: error that send_query returns; 0: none
 * @outcome: with the fields below: of the latest search that is done
 * @reasons: error of each shard; 0: answered
 */
struct fixture {
	struct board_fixture path;
	struct searches searches;
	struct {
		char home[CATALOG_NAME_SIZE];
		Peer__Query *query;
	} sent[SENT_MAX];
	int n_sent;
	int refuse_send;
	int n_cancels;
	int n_done;
	int code;
	const char *outcome;
	uint64_t version;
	uint64_t count;
	uint64_t covered;
	uint64_t total;
	int n_restarts;
	int64_t retry_after_ms;
	int n_shed;
	int n_ended_by_stop;
	int n_records;
	char first_key[32];
	int reasons[REASONS_MAX];
};

static int on_send(void *arg, struct str home, const Peer__Query *query)
{
	struct fixture *fixture = arg;
	size_t len = peer__query__get_packed_size(query);
	uint8_t *bytes;
	int at = fixture->n_sent;

	if (fixture->refuse_send)
		return fixture->refuse_send;
	CU_ASSERT_FATAL(at < SENT_MAX);
	fixture->n_sent++;
	bytes = mem_zalloc(len);
	peer__query__pack(query, bytes);
	str_copy(fixture->sent[at].home, sizeof(fixture->sent[at].home), home);
	fixture->sent[at].query = peer__query__unpack(NULL, len, bytes);
	free(bytes);
	return 0;
}

static void on_cancel(void *arg, struct str home, const Peer__Cancel *cancel)
{
	struct fixture *fixture = arg;

	(void)home;
	(void)cancel;
	fixture->n_cancels++;
}

static void save_records(struct fixture *fixture, const struct merge *merge)
{
	fixture->n_records = merge->n;
	if (merge->n)
		str_copy(fixture->first_key, sizeof(fixture->first_key),
			 merge->records[0].key);
}

static void on_done(void *arg, struct search *search)
{
	struct fixture *fixture = arg;
	int i;

	fixture->n_done++;
	fixture->code = search->code;
	fixture->outcome = answer_outcome(search->code, search->maybe_ran);
	fixture->n_restarts = search->n_restarts;
	fixture->retry_after_ms = search->retry_after_ms;
	fixture->n_shed = search->n_shed;
	fixture->n_ended_by_stop += search_ended_by_stop(search);
	if (!search->map)
		return;
	fixture->version = search->map->version;
	fixture->count = search->count;
	fixture->covered = search->covered;
	fixture->total = search_total(search);
	save_records(fixture, &search->merge);
	for (i = 0; i < search->map->n_shards && i < REASONS_MAX; i++)
		fixture->reasons[i] =
			search->shards[i].state == SEARCH_SHARD_ANSWERED
				? 0
				: search->shards[i].code;
}

static const struct search_ops ops = {
	.send_query = on_send,
	.cancel = on_cancel,
	.done = on_done,
};

static void set_up(struct fixture *fixture, int n_servers)
{
	memset(fixture, 0, sizeof(*fixture));
	board_fixture_init(&fixture->path, n_servers);
	searches_init(&fixture->searches, &fixture->path.board, &ops, fixture,
		      3);
}

static void tear_down(struct fixture *fixture)
{
	int i;

	searches_finish(&fixture->searches);
	for (i = 0; i < fixture->n_sent; i++)
		peer__query__free_unpacked(fixture->sent[i].query, NULL);
	board_fixture_finish(&fixture->path);
}

static void start_for(struct fixture *fixture, const char *service, int mode,
		      int64_t limit)
{
	struct search_request request = {
		.where = mem_dup("{}"),
		.mode = mode,
		.limit = limit,
	};

	str_copy(request.service, sizeof(request.service), str_from(service));
	str_copy(request.request_id, sizeof(request.request_id), STR("r"));
	search_start(&fixture->searches, &request, NULL);
	search_request_finish(&request);
}

static void start(struct fixture *fixture)
{
	start_for(fixture, FIXTURE_SERVICE, REQUEST_COUNT, 0);
}

/**
 * struct reply - how a home answers one part of a query
 * @home: NULL: the one that was asked
 * @request_id: NULL: that of the query
 * @server: NULL: the one that was asked
 * @cut: bytes truncated at the end
 * @id: 0: that of the query
 * @version: 0: that of the query
 * @code: error of the whole part
 * @unsent: the home did not send it to the server
 * @retry_after_ms: with @code
 * @status: of each shard
 * @held: 0: FIXTURE_SHARD_RECORDS
 * @count: 0: 1
 * @shift: added to the end of each shard's range
 * @drop: shards left out at the end
 * @key: of a record in the first shard; NULL: none
 * @second_key: of a second record after it
 */
struct reply {
	const char *home;
	const char *request_id;
	const char *server;
	size_t cut;
	uint64_t id;
	uint64_t version;
	int code;
	bool unsent;
	uint32_t retry_after_ms;
	int status;
	uint64_t held;
	uint64_t count;
	uint32_t shift;
	size_t drop;
	const char *key;
	const char *second_key;
};

static void fill_partial(Backend__ShardPartial *partial,
			 Backend__KeyRange *range,
			 const Backend__KeyRange *asked,
			 const struct reply *reply)
{
	backend__shard_partial__init(partial);
	backend__key_range__init(range);
	range->lo = asked->lo;
	range->hi = asked->hi + reply->shift;
	partial->shard = range;
	partial->status = (Backend__ShardStatus)reply->status;
	partial->held = reply->held ? reply->held : FIXTURE_SHARD_RECORDS;
	partial->count = reply->count ? reply->count : 1;
}

static void fill_record(Backend__Record *record, const char *key)
{
	backend__record__init(record);
	record->sort.data = (uint8_t *)key;
	record->sort.len = strlen(key);
	record->key = record->sort;
	record->body = record->sort;
}

static uint8_t *pack_answer(Backend__SearchAnswer *answer,
			    const Peer__ServerPart *asked,
			    const struct reply *reply, size_t *len)
{
	Backend__ShardPartial partials[REASONS_MAX];
	Backend__ShardPartial *pointers[REASONS_MAX];
	Backend__KeyRange ranges[REASONS_MAX];
	Backend__Record records[2];
	Backend__Record *record_pointers[] = {&records[0], &records[1]};
	uint8_t *bytes;
	size_t i;

	answer->shards = pointers;
	for (i = 0; i + reply->drop < asked->n_shards; i++) {
		fill_partial(&partials[i], &ranges[i], asked->shards[i], reply);
		pointers[answer->n_shards++] = &partials[i];
	}
	if (reply->key && answer->n_shards) {
		fill_record(&records[0], reply->key);
		partials[0].n_records = 1;
		partials[0].records = record_pointers;
	}
	if (reply->second_key && answer->n_shards) {
		fill_record(&records[1], reply->second_key);
		partials[0].n_records = 2;
	}
	*len = backend__search_answer__get_packed_size(answer);
	bytes = mem_zalloc(*len);
	backend__search_answer__pack(answer, bytes);
	answer->n_shards = 0;
	answer->shards = NULL;
	return bytes;
}

static void answer_with(struct fixture *fixture, int sent, size_t part,
			struct reply reply)
{
	const Peer__Query *query = fixture->sent[sent].query;
	const Peer__ServerPart *asked = query->parts[part];
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult item = PEER__SERVER_RESULT__INIT;
	Peer__ServerResult *items = &item;
	Backend__SearchAnswer answer = BACKEND__SEARCH_ANSWER__INIT;
	uint8_t *bytes;

	result.id = reply.id ? reply.id : query->id;
	result.n_results = 1;
	result.results = &items;
	item.part = asked->part;
	item.code = reply.code;
	item.sent = !reply.unsent;
	item.retry_after_ms = reply.retry_after_ms;
	answer.request_id = (char *)(reply.request_id ? reply.request_id
						      : query->request_id);
	answer.server = (char *)(reply.server ? reply.server : asked->server);
	answer.version = reply.version ? reply.version : query->version;
	bytes = pack_answer(&answer, asked, &reply, &item.answer.len);
	if (!reply.code)
		item.answer.data = bytes;
	else
		item.answer.len = 0;
	if (reply.cut < item.answer.len)
		item.answer.len -= reply.cut;
	searches_result(&fixture->searches,
			str_from(reply.home ? reply.home
					    : fixture->sent[sent].home),
			&result);
	free(bytes);
}

static void answer(struct fixture *fixture, int sent, size_t part)
{
	answer_with(fixture, sent, part, (struct reply){0});
}

static void fail_part(struct fixture *fixture, int sent, size_t part, int code,
		      bool unsent)
{
	answer_with(fixture, sent, part,
		    (struct reply){.code = code, .unsent = unsent});
}

static void advance_to_deadline(struct fixture *fixture)
{
	clock_advance(&fixture->path.clock, MSEC(FIXTURE_DEADLINE_MS));
	searches_tick(&fixture->searches);
}

static void test_counts_add_over_servers(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 4, 4, "01");
	board_fixture_put_server(&fixture.path, "h1", "b2", 4, 4, "23");
	start(&fixture);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 1);
	CU_ASSERT_EQUAL_FATAL(fixture.sent[0].query->n_parts, 2);
	CU_ASSERT_EQUAL(fixture.sent[0].query->version, 4);
	answer(&fixture, 0, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	answer(&fixture, 0, 1);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.code, 0);
	CU_ASSERT_EQUAL(fixture.count, 4);
	CU_ASSERT_EQUAL(fixture.covered, 4 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.total, 4 * FIXTURE_SHARD_RECORDS);
	tear_down(&fixture);
}

static void test_records_merge(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h1", "b2", 1, 2, "1");
	start_for(&fixture, FIXTURE_SERVICE, REQUEST_RECORDS, 1);
	answer_with(&fixture, 0, 0, (struct reply){.key = "z"});
	answer_with(&fixture, 0, 1, (struct reply){.key = "a"});
	CU_ASSERT_EQUAL(fixture.n_records, 1);
	CU_ASSERT_STRING_EQUAL(fixture.first_key, "a");
	CU_ASSERT_EQUAL(fixture.count, 2);
	tear_down(&fixture);
}

/*
 * Servers switch from version 1 to 2 during a search: one has answered from 1,
 * the other refuses because it only holds 2 now. An answer must not mix both:
 * the search restarts on 2, and late answers from 1 are dropped.
 */
static void test_version_switch_restarts(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h2", "b2", 1, 2, "1");
	start(&fixture);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	answer_with(&fixture, 0, 0, (struct reply){.count = 7});
	board_fixture_put_server(&fixture.path, "h1", "b1", 2, 2, "0");
	board_fixture_put_server(&fixture.path, "h2", "b2", 2, 2, "1");
	fail_part(&fixture, 1, 0, ERR_WRONG_VERSION, false);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 4);
	CU_ASSERT_EQUAL(fixture.sent[2].query->version, 2);
	CU_ASSERT_EQUAL(fixture.sent[3].query->version, 2);
	CU_ASSERT_NOT_EQUAL(fixture.sent[2].query->id,
			    fixture.sent[0].query->id);
	answer_with(&fixture, 0, 0, (struct reply){.count = 7});
	answer_with(&fixture, 1, 0, (struct reply){.count = 7});
	answer(&fixture, 2, 0);
	answer(&fixture, 3, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.version, 2);
	CU_ASSERT_EQUAL(fixture.count, 2);
	CU_ASSERT_EQUAL(fixture.covered, 2 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.n_restarts, 1);
	tear_down(&fixture);
}

/*
 * The same, but the catalog does not know the new version yet. The search waits
 * until homes have announced all of it, and then restarts with full coverage.
 */
static void test_version_switch_not_known_yet(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h2", "b2", 1, 2, "1");
	start(&fixture);
	answer(&fixture, 0, 0);
	fail_part(&fixture, 1, 0, ERR_WRONG_VERSION, false);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	clock_advance(&fixture.path.clock, MSEC(5));
	board_fixture_put_server(&fixture.path, "h1", "b1", 2, 2, "0");
	searches_catalog_changed(&fixture.searches);
	/* Half of version 2 is no better than half of version 1. */
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	board_fixture_put_server(&fixture.path, "h2", "b2", 2, 2, "1");
	searches_catalog_changed(&fixture.searches);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 4);
	answer(&fixture, 2, 0);
	answer(&fixture, 3, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.version, 2);
	CU_ASSERT_EQUAL(fixture.covered, 2 * FIXTURE_SHARD_RECORDS);
	tear_down(&fixture);
}

/*
 * The same, but the new version is never announced. After a short wait the
 * search answers with partial coverage and the reason.
 */
static void test_version_without_successor(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h2", "b2", 1, 2, "1");
	start(&fixture);
	answer(&fixture, 0, 0);
	fail_part(&fixture, 1, 0, ERR_WRONG_VERSION, false);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	clock_advance(&fixture.path.clock, MSEC(50));
	searches_tick(&fixture.searches);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.code, 0);
	CU_ASSERT_EQUAL(fixture.covered, FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.total, 2 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.reasons[1], ERR_WRONG_VERSION);
	tear_down(&fixture);
}

/* A version switch at the deadline leaves no time for a restart. */
static void test_no_restart_at_deadline(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h2", "b2", 1, 2, "1");
	start(&fixture);
	answer(&fixture, 0, 0);
	board_fixture_put_server(&fixture.path, "h1", "b1", 2, 2, "0");
	board_fixture_put_server(&fixture.path, "h2", "b2", 2, 2, "1");
	clock_advance(&fixture.path.clock, MSEC(FIXTURE_DEADLINE_MS));
	fail_part(&fixture, 1, 0, ERR_WRONG_VERSION, false);
	searches_tick(&fixture.searches);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.version, 1);
	CU_ASSERT_EQUAL(fixture.covered, FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	tear_down(&fixture);
}

/* A version that keeps changing must not restart a search indefinitely. */
static void test_restarts_are_bounded(void)
{
	struct fixture fixture;
	uint64_t version;
	int i;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	start(&fixture);
	for (version = 2; version < 8 && !fixture.n_done; version++) {
		board_fixture_put_server(&fixture.path, "h1", "b1", version, 1,
					 "0");
		fail_part(&fixture, fixture.n_sent - 1, 0, ERR_WRONG_VERSION,
			  false);
	}
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.n_restarts, SEARCH_RESTARTS_MAX);
	CU_ASSERT_NOT_EQUAL(fixture.code, 0);
	for (i = 0; i < fixture.n_sent; i++)
		CU_ASSERT_EQUAL(fixture.sent[i].query->version, i + 1);
	tear_down(&fixture);
}

/*
 * Version 2 splits the only shard of version 1 in two. One server still holds
 * the old shard and two hold the new ones. If one search used both partition
 * maps, records would count twice.
 */
static void test_split_shard_counts_once(void)
{
	struct fixture fixture;
	uint64_t points = 0;
	size_t i;
	size_t k;

	set_up(&fixture, 3);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	board_fixture_put_server(&fixture.path, "h1", "b2", 2, 2, "0");
	board_fixture_put_server(&fixture.path, "h1", "b3", 2, 2, "1");
	start(&fixture);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 1);
	for (i = 0; i < fixture.sent[0].query->n_parts; i++) {
		const Peer__ServerPart *part = fixture.sent[0].query->parts[i];

		for (k = 0; k < part->n_shards; k++)
			points += part->shards[k]->hi - part->shards[k]->lo + 1;
	}
	CU_ASSERT_EQUAL(points, CATALOG_POINTS);
	CU_ASSERT_EQUAL(fixture.sent[0].query->version, 2);
	for (i = 0; i < fixture.sent[0].query->n_parts; i++)
		answer(&fixture, 0, i);
	CU_ASSERT_EQUAL(fixture.covered, 2 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.count, 2);
	tear_down(&fixture);
}

/* A duplicate answer to a part must not count twice. */
static void test_duplicate_answer_counts_once(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h1", "b2", 1, 2, "1");
	start(&fixture);
	answer(&fixture, 0, 0);
	answer(&fixture, 0, 0);
	answer(&fixture, 0, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	answer(&fixture, 0, 1);
	CU_ASSERT_EQUAL(fixture.count, 2);
	CU_ASSERT_EQUAL(fixture.covered, 2 * FIXTURE_SHARD_RECORDS);
	/* Answers after the outcome are ignored. */
	answer(&fixture, 0, 1);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	tear_down(&fixture);
}

/* One server answers with @reply, and a replica then answers correctly. */
static void check_bad_answer(struct reply reply)
{
	struct fixture fixture;
	int retry;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	board_fixture_put_server(&fixture.path, "h1", "b2", 1, 1, "0");
	start(&fixture);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 1);
	answer_with(&fixture, 0, 0, reply);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	retry = fixture.n_sent - 1;
	CU_ASSERT_EQUAL(retry, 1);
	answer(&fixture, retry, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.count, 1);
	CU_ASSERT_EQUAL(fixture.covered, FIXTURE_SHARD_RECORDS);
	tear_down(&fixture);
}

/*
 * A backend server answers from another snapshot, for other key ranges, for too
 * few shards, or with counts that contradict the partition map. None of these
 * answers may be counted.
 */
static void test_bad_answers_are_not_counted(void)
{
	check_bad_answer((struct reply){.version = 9});
	check_bad_answer((struct reply){.request_id = "other"});
	check_bad_answer((struct reply){.server = "b9"});
	check_bad_answer((struct reply){.cut = 1});
	check_bad_answer((struct reply){.shift = 1});
	check_bad_answer((struct reply){.drop = 1});
	check_bad_answer((struct reply){.held = FIXTURE_SHARD_RECORDS + 1});
	check_bad_answer((struct reply){.held = FIXTURE_SHARD_RECORDS - 1});
	check_bad_answer((struct reply){.count = FIXTURE_SHARD_RECORDS + 1});
	check_bad_answer((struct reply){.count = UINT64_MAX});
	check_bad_answer(
		(struct reply){.key = "a", .second_key = "b", .count = 1});
	check_bad_answer(
		(struct reply){.key = "b", .second_key = "a", .count = 2});
	check_bad_answer(
		(struct reply){.key = "a", .second_key = "a", .count = 2});
	check_bad_answer((struct reply){
		.status = BACKEND__SHARD_STATUS__SHARD_NOT_HELD});
}

/* Answers from another home, or to another query or part, are ignored. */
static void test_foreign_answers_are_dropped(void)
{
	struct fixture fixture;
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult item = PEER__SERVER_RESULT__INIT;
	Peer__ServerResult *items = &item;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	start(&fixture);
	answer_with(&fixture, 0, 0, (struct reply){.home = "h2"});
	answer_with(&fixture, 0, 0, (struct reply){.id = 999});
	answer_with(&fixture, 0, 0,
		    (struct reply){.home = "h2", .code = ERR_LOST});
	item.part = 77;
	result.id = fixture.sent[0].query->id;
	result.n_results = 1;
	result.results = &items;
	searches_result(&fixture.searches, STR("h1"), &result);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	answer(&fixture, 0, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.covered, FIXTURE_SHARD_RECORDS);
	tear_down(&fixture);
}

/*
 * The connection to a home breaks during a search. The shards are requested
 * again from the replica, and late answers of the lost home are ignored.
 */
static void test_home_lost(void)
{
	struct fixture fixture;
	const char *home;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "01");
	board_fixture_put_server(&fixture.path, "h2", "b2", 1, 2, "01");
	start(&fixture);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 1);
	home = fixture.sent[0].home;
	catalog_remove_instance(&fixture.path.board.catalog, str_from(home));
	searches_home_lost(&fixture.searches, str_from(home));
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	CU_ASSERT_STRING_NOT_EQUAL(fixture.sent[1].home, home);
	/* A late answer of the lost home. */
	answer(&fixture, 0, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	answer(&fixture, 1, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.covered, 2 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.count, 2);
	tear_down(&fixture);
}

static void test_last_home_lost(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	start(&fixture);
	catalog_remove_instance(&fixture.path.board.catalog, STR("h1"));
	searches_home_lost(&fixture.searches, STR("h1"));
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "unknown");
	tear_down(&fixture);
}

/*
 * At the deadline the caller gets the shards that were answered, and for each
 * other one the reason why it is missing.
 */
static void test_partial_coverage_at_deadline(void)
{
	struct fixture fixture;

	set_up(&fixture, 3);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 4, "0");
	board_fixture_put_server(&fixture.path, "h1", "b2", 1, 4, "1");
	board_fixture_put_server(&fixture.path, "h1", "b3", 1, 4, "2");
	start(&fixture);
	CU_ASSERT_EQUAL_FATAL(fixture.sent[0].query->n_parts, 3);
	answer(&fixture, 0, 0);
	fail_part(&fixture, 0, 1, ERR_SHED, false);
	clock_advance(&fixture.path.clock, MSEC(FIXTURE_DEADLINE_MS) - 1);
	searches_tick(&fixture.searches);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	clock_advance(&fixture.path.clock, 1);
	searches_tick(&fixture.searches);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.code, 0);
	CU_ASSERT_EQUAL(fixture.covered, FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.total, 4 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.reasons[0], 0);
	CU_ASSERT_EQUAL(fixture.reasons[1], ERR_SHED);
	CU_ASSERT_EQUAL(fixture.reasons[2], ERR_TOO_LATE);
	CU_ASSERT_EQUAL(fixture.reasons[3], ERR_NO_REPLICA);
	CU_ASSERT_EQUAL(fixture.n_cancels, 1);
	answer(&fixture, 0, 2);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	tear_down(&fixture);
}

static void test_no_answer_by_deadline(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	start(&fixture);
	advance_to_deadline(&fixture);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.code, ERR_TOO_LATE);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "too_late");
	CU_ASSERT_EQUAL(fixture.n_cancels, 1);
	tear_down(&fixture);
}

static void test_refusals_have_error_code(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	start_for(&fixture, "other", REQUEST_COUNT, 0);
	CU_ASSERT_EQUAL(fixture.code, ERR_NO_SERVICE);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "bad_request");
	start(&fixture);
	CU_ASSERT_EQUAL(fixture.code, ERR_NO_SNAPSHOT);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "not_run");
	CU_ASSERT_EQUAL(fixture.n_done, 2);
	tear_down(&fixture);
}

static void test_no_table_yet(void)
{
	struct fixture fixture;
	struct table *table;

	set_up(&fixture, 1);
	table = fixture.path.board.table;
	fixture.path.board.table = NULL;
	start(&fixture);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "not_run");
	fixture.path.board.table = table;
	tear_down(&fixture);
}

/*
 * The outcome "not_run" guarantees that no server ran the search. It is only
 * reported if no frame was sent, or if the home says that no byte was sent to a
 * server.
 */
static void test_not_run_only_if_no_byte_sent(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	fixture.refuse_send = ERR_UNAVAILABLE;
	start(&fixture);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.code, ERR_UNAVAILABLE);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "not_run");
	fixture.refuse_send = 0;
	start(&fixture);
	fail_part(&fixture, 0, 0, ERR_CONNECT, true);
	CU_ASSERT_EQUAL(fixture.n_done, 2);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "not_run");
	start(&fixture);
	fail_part(&fixture, 1, 0, ERR_LOST, false);
	CU_ASSERT_EQUAL(fixture.n_done, 3);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "unknown");
	tear_down(&fixture);
}

/* The caller disconnects: parts are cancelled and no outcome is reported. */
static void test_caller_disconnects(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h2", "b2", 1, 2, "1");
	start(&fixture);
	answer(&fixture, 0, 0);
	searches_drop(&fixture.searches, fixture.searches.by_id);
	CU_ASSERT_EQUAL(fixture.n_cancels, 1);
	answer(&fixture, 1, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	CU_ASSERT_EQUAL(fixture.path.board.counters.searches_open.value, 0);
	tear_down(&fixture);
}

/*
 * The row of a server with a part in flight is deleted from the table. The
 * search still completes with its answer.
 */
static void test_table_changes_during_search(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h1", "b2", 1, 2, "1");
	start(&fixture);
	board_fixture_set_servers(&fixture.path, 2, 1);
	answer(&fixture, 0, 0);
	answer(&fixture, 0, 1);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.covered, 2 * FIXTURE_SHARD_RECORDS);
	tear_down(&fixture);
}

static const struct trace *find_trace(const struct fixture *fixture)
{
	const struct trace *trace = NULL;

	CU_ASSERT_EQUAL_FATAL(trace_store_find(&fixture->path.board.traces,
					       STR("r"), NULL, &trace),
			      0);
	return trace;
}

static struct burn_service *sum_burn(struct fixture *fixture,
				     struct burn_counts *counts)
{
	struct burn *burn = &fixture->path.board.burn;
	struct burn_service *service = burn_find(burn, STR(FIXTURE_SERVICE));

	burn_count_window(burn, service, BURN_5M, counts);
	return service;
}

/*
 * One server answers and the other misses the deadline. The trace must name
 * both, the missing shard and the reason, and the error budget's causes must
 * name the late server and its shard.
 */
static void test_trace_explains_missing_shard(void)
{
	const struct trace *trace;
	struct burn_service *service;
	struct burn_counts counts;
	struct fixture fixture;
	struct top_k top;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h2", "b2", 1, 2, "1");
	start(&fixture);
	clock_advance(&fixture.path.clock, MSEC(7));
	answer_with(&fixture, 0, 0, (struct reply){0});
	advance_to_deadline(&fixture);
	trace = find_trace(&fixture);
	CU_ASSERT_TRUE(trace->summary.notable);
	CU_ASSERT_EQUAL(trace->summary.snapshot, 1);
	CU_ASSERT_EQUAL(trace->summary.covered, FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(trace->summary.total, 2 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL_FATAL(trace->summary.n_reasons, 1);
	CU_ASSERT_EQUAL(trace->summary.reasons[0].code, ERR_TOO_LATE);
	CU_ASSERT_EQUAL(trace->summary.reasons[0].ranges[0].lo, 32768);
	CU_ASSERT_EQUAL_FATAL(trace->n_parts, 2);
	CU_ASSERT_EQUAL(trace->parts[0].code, 0);
	CU_ASSERT_EQUAL(trace->parts[0].back_us, MSEC(7));
	CU_ASSERT_STRING_EQUAL(trace_name_text(trace->parts[1].server), "b2");
	CU_ASSERT_STRING_EQUAL(trace_name_text(trace->parts[1].home), "h2");
	CU_ASSERT_EQUAL(trace->parts[1].code, ERR_TOO_LATE);
	service = sum_burn(&fixture, &counts);
	CU_ASSERT_EQUAL(counts.total, 1);
	CU_ASSERT_EQUAL(counts.partial, 1);
	CU_ASSERT_EQUAL(counts.refused, 0);
	burn_top_causes(&fixture.path.board.burn, service, BURN_SERVER, &top);
	CU_ASSERT_EQUAL_FATAL(top.n, 1);
	CU_ASSERT_STRING_EQUAL(top.entries[0].key, "b2");
	burn_top_causes(&fixture.path.board.burn, service, BURN_SHARD, &top);
	CU_ASSERT_EQUAL_FATAL(top.n, 1);
	CU_ASSERT_STRING_EQUAL(top.entries[0].key, "32768-65535");
	tear_down(&fixture);
}

/* A complete answer within the target uses no error budget. */
static void test_trace_of_complete_search(void)
{
	struct burn_counts counts;
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "01");
	start(&fixture);
	answer(&fixture, 0, 0);
	CU_ASSERT_FALSE(find_trace(&fixture)->summary.notable);
	CU_ASSERT_EQUAL(find_trace(&fixture)->summary.n_reasons, 0);
	sum_burn(&fixture, &counts);
	CU_ASSERT_EQUAL(counts.total, 1);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_LATENCY), 0);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_COVERAGE), 0);
	tear_down(&fixture);
}

/* A refusal counts against the latency and the coverage objective. */
static void test_refusal_uses_budget(void)
{
	struct burn_counts counts;
	struct fixture fixture;

	set_up(&fixture, 1);
	start(&fixture);
	CU_ASSERT_EQUAL(find_trace(&fixture)->summary.code, ERR_NO_SNAPSHOT);
	sum_burn(&fixture, &counts);
	CU_ASSERT_EQUAL(counts.refused, 1);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_LATENCY), 1);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_COVERAGE), 1);
	tear_down(&fixture);
}

/* An unknown service is the caller's error and uses no error budget. */
static void test_unknown_service_uses_no_budget(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	start_for(&fixture, "nosuch", REQUEST_COUNT, 0);
	CU_ASSERT_EQUAL(find_trace(&fixture)->summary.code, ERR_NO_SERVICE);
	CU_ASSERT_PTR_NULL(burn_find(&fixture.path.board.burn, STR("nosuch")));
	tear_down(&fixture);
}

/* Two replicas of one shard, and a search that was sent to one of them. */
static void set_up_replicas(struct fixture *fixture)
{
	set_up(fixture, 2);
	board_fixture_put_server(&fixture->path, "h1", "b1", 1, 1, "0");
	board_fixture_put_server(&fixture->path, "h2", "b2", 1, 1, "0");
	start(fixture);
	CU_ASSERT_EQUAL_FATAL(fixture->n_sent, 1);
}

static void advance_ms(struct fixture *fixture, int64_t ms)
{
	clock_advance(&fixture->path.clock, MSEC(ms));
	searches_tick(&fixture->searches);
}

static const char *server_of(const struct fixture *fixture, int sent)
{
	return fixture->sent[sent].query->parts[0]->server;
}

/*
 * One replica does not answer in time, and a hedge is sent to the other. The
 * hedge's answer wins, the first request is cancelled, and if it is answered
 * nevertheless the shard must not count again.
 */
static void test_late_part_is_hedged(void)
{
	struct fixture fixture;

	set_up_replicas(&fixture);
	advance_ms(&fixture, FIXTURE_DEADLINE_MS / 4 - 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	advance_ms(&fixture, 1);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	CU_ASSERT_STRING_NOT_EQUAL(server_of(&fixture, 0),
				   server_of(&fixture, 1));
	CU_ASSERT_STRING_NOT_EQUAL(fixture.sent[0].query->request_id,
				   fixture.sent[1].query->request_id);
	answer(&fixture, 1, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.n_cancels, 1);
	CU_ASSERT_EQUAL(fixture.count, 1);
	CU_ASSERT_EQUAL(fixture.covered, FIXTURE_SHARD_RECORDS);
	answer(&fixture, 0, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	tear_down(&fixture);
}

static void test_faster_original_cancels_hedge(void)
{
	struct fixture fixture;

	set_up_replicas(&fixture);
	advance_ms(&fixture, FIXTURE_DEADLINE_MS / 4);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	answer(&fixture, 0, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.n_cancels, 1);
	CU_ASSERT_EQUAL(fixture.count, 1);
	tear_down(&fixture);
}

static void send_late_notice(struct fixture *fixture, int sent)
{
	const Peer__Query *query = fixture->sent[sent].query;
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult item = PEER__SERVER_RESULT__INIT;
	Peer__ServerResult *items = &item;

	result.id = query->id;
	result.n_results = 1;
	result.results = &items;
	item.part = query->parts[0]->part;
	item.late = true;
	searches_result(&fixture->searches, str_from(fixture->sent[sent].home),
			&result);
}

/* A late notice from the home triggers the hedge before the hedge delay. */
static void test_late_notice_triggers_hedge(void)
{
	struct fixture fixture;

	set_up_replicas(&fixture);
	send_late_notice(&fixture, 0);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	/* A repeated notice sends no second hedge. */
	send_late_notice(&fixture, 0);
	CU_ASSERT_EQUAL(fixture.n_sent, 2);
	answer(&fixture, 1, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.count, 1);
	tear_down(&fixture);
}

/*
 * Original and hedge are both late, and there is no third replica. The first
 * server is asked again and its older request is cancelled, so that it does not
 * work twice on one shard.
 */
static void test_second_hedge_replaces_original(void)
{
	struct fixture fixture;

	set_up_replicas(&fixture);
	send_late_notice(&fixture, 0);
	send_late_notice(&fixture, 1);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 3);
	CU_ASSERT_STRING_EQUAL(server_of(&fixture, 0), server_of(&fixture, 2));
	CU_ASSERT_EQUAL(fixture.n_cancels, 1);
	answer(&fixture, 2, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.n_cancels, 2);
	CU_ASSERT_EQUAL(fixture.count, 1);
	tear_down(&fixture);
}

/* The only replica gets no hedge of its own late part. */
static void test_no_hedge_to_the_same_server(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	start(&fixture);
	send_late_notice(&fixture, 0);
	advance_ms(&fixture, FIXTURE_DEADLINE_MS / 2);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	answer(&fixture, 0, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	tear_down(&fixture);
}

/*
 * A connection to the only replica went silent. The server itself works, so it
 * is asked again.
 */
static void test_silent_connection_is_retried(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	start(&fixture);
	fail_part(&fixture, 0, 0, ERR_SILENT, false);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	answer(&fixture, 1, 0);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.covered, FIXTURE_SHARD_RECORDS);
	tear_down(&fixture);
}

/* Completes 20 searches of ten shards within 10 ms each. */
static void complete_quick_searches(struct fixture *fixture)
{
	int i;

	for (i = 0; i < 20; i++) {
		start(fixture);
		clock_advance(&fixture->path.clock, MSEC(10));
		answer(fixture, i, 0);
		answer(fixture, i, 1);
	}
	CU_ASSERT_EQUAL(fixture->n_done, 20);
}

/*
 * Latency-first: one of ten shards is not answered and has no other replica.
 * Once the search is late for its service, it answers with nine tenths and the
 * reason for the missing shard, without waiting for the deadline.
 */
static void test_late_search_answers_at_min_coverage(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 10, "012345678");
	board_fixture_put_server(&fixture.path, "h1", "b2", 1, 10, "9");
	complete_quick_searches(&fixture);
	start(&fixture);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 21);
	answer(&fixture, 20,
	       fixture.sent[20].query->parts[0]->n_shards == 9 ? 0 : 1);
	advance_ms(&fixture, 12);
	CU_ASSERT_EQUAL(fixture.n_done, 20);
	advance_ms(&fixture, 18);
	CU_ASSERT_EQUAL(fixture.n_done, 21);
	CU_ASSERT_EQUAL(fixture.code, 0);
	CU_ASSERT_EQUAL(fixture.covered, 9 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.reasons[9], ERR_TOO_LATE);
	CU_ASSERT_EQUAL(fixture.n_cancels, 1);
	tear_down(&fixture);
}

/*
 * Every server of the service sheds load. The caller gets "not_run" at once and
 * may safely retry.
 */
static void test_all_servers_shed(void)
{
	struct fixture fixture;
	int i;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	for (i = 0; i < 5; i++) {
		start(&fixture);
		if (fixture.n_sent > i)
			fail_part(&fixture, i, 0, ERR_SHED, false);
		else
			break;
		clock_advance(&fixture.path.clock, MSEC(1000));
		CU_ASSERT_EQUAL(fixture.n_done, i + 1);
		CU_ASSERT_STRING_EQUAL(fixture.outcome, "not_run");
	}
	start(&fixture);
	fail_part(&fixture, fixture.n_sent - 1, 0, ERR_SHED, false);
	/* The server is backing off. */
	i = fixture.n_sent;
	start(&fixture);
	CU_ASSERT_EQUAL(fixture.n_sent, i);
	CU_ASSERT_EQUAL(fixture.n_done, 7);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "not_run");
	tear_down(&fixture);
}

/* Marks the search of start() as a suspect that is on trial for 50 ms. */
static void make_suspect(struct fixture *fixture)
{
	static const struct poison_tunables tunables = {
		.max_entries = 64,
		.suspect_ttl = MSEC(60000),
	};
	struct poison_report report = {
		.hash = poison_fingerprint(STR(FIXTURE_SERVICE), STR("{}"),
					   REQUEST_COUNT),
		.unwatched_crash = true,
		.ran = MSEC(20),
		.remaining = MSEC(60000),
	};

	poison_set_tunables(&fixture->path.board.poison, &tunables);
	poison_apply_report(&fixture->path.board.poison, &report);
}

static void set_up_halves(struct fixture *fixture)
{
	set_up(fixture, 2);
	board_fixture_put_server(&fixture->path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture->path, "h1", "b2", 1, 2, "1");
	make_suspect(fixture);
	start(fixture);
	CU_ASSERT_EQUAL_FATAL(fixture->n_sent, 1);
	CU_ASSERT_EQUAL(fixture->sent[0].query->n_parts, 1);
	CU_ASSERT(fixture->sent[0].query->watched);
}

static const char *server_sent(const struct fixture *fixture, int sent)
{
	return fixture->sent[sent].query->parts[0]->server;
}

/*
 * Guards against a suspect that gets nothing, since the server that it is tried
 * on first does not answer.
 */
static void test_suspect_moves_on_after_trial(void)
{
	struct fixture fixture;

	set_up_halves(&fixture);
	advance_ms(&fixture, 49);
	CU_ASSERT_EQUAL(fixture.n_sent, 1);
	advance_ms(&fixture, 1);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	CU_ASSERT_STRING_NOT_EQUAL(server_sent(&fixture, 0),
				   server_sent(&fixture, 1));
	CU_ASSERT_EQUAL(fixture.n_cancels, 0);
	answer(&fixture, 1, 0);
	advance_to_deadline(&fixture);
	CU_ASSERT_EQUAL(fixture.code, 0);
	CU_ASSERT_EQUAL(fixture.covered, FIXTURE_SHARD_RECORDS);
	tear_down(&fixture);
}

/* Guards against a suspect that stays at a server which only fails it. */
static void test_suspect_goes_on_after_failure(void)
{
	struct fixture fixture;

	set_up_halves(&fixture);
	fail_part(&fixture, 0, 0, ERR_LOST, false);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2);
	CU_ASSERT_STRING_NOT_EQUAL(server_sent(&fixture, 0),
				   server_sent(&fixture, 1));
	tear_down(&fixture);
}

static void hold_part(struct fixture *fixture, int sent, uint32_t ms)
{
	answer_with(fixture, sent, 0,
		    (struct reply){.code = ERR_NO_SLOT,
				   .unsent = true,
				   .retry_after_ms = ms});
}

/*
 * Guards against a suspect that is refused although the run in its way ends
 * well before its deadline.
 */
static void test_held_suspect_waits(void)
{
	struct fixture fixture;
	int i;

	set_up_halves(&fixture);
	/* More often than a search may be retried. */
	for (i = 0; i < 8; i++) {
		hold_part(&fixture, 2 * i, 30);
		CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2 * i + 2);
		CU_ASSERT_STRING_NOT_EQUAL(server_sent(&fixture, 2 * i),
					   server_sent(&fixture, 2 * i + 1));
		hold_part(&fixture, 2 * i + 1, 30);
		advance_ms(&fixture, 29);
		CU_ASSERT_EQUAL(fixture.n_sent, 2 * i + 2);
		advance_ms(&fixture, 1);
		CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 2 * i + 3);
	}
	answer(&fixture, 16, 0);
	CU_ASSERT_EQUAL_FATAL(fixture.n_sent, 18);
	answer(&fixture, 17, 0);
	CU_ASSERT_EQUAL(fixture.code, 0);
	CU_ASSERT_EQUAL(fixture.covered, 2 * FIXTURE_SHARD_RECORDS);
	CU_ASSERT_EQUAL(fixture.n_shed, 0);
	tear_down(&fixture);
}

static uint64_t needed(struct fixture *fixture)
{
	const struct observe_service *service =
		observe_service(&fixture->searches.policy.observe,
				STR(FIXTURE_SERVICE));

	return service->retries.needed;
}

/* Guards against retries being earned by requests that were never sent. */
static void test_held_suspect_earns_once(void)
{
	struct fixture fixture;
	uint64_t before;

	set_up_halves(&fixture);
	hold_part(&fixture, 0, 1);
	before = needed(&fixture);
	hold_part(&fixture, 1, 1);
	advance_ms(&fixture, 1);
	CU_ASSERT_EQUAL(fixture.n_sent, 3);
	CU_ASSERT_EQUAL(needed(&fixture), before);
	tear_down(&fixture);
}

/* Guards against a wait until the deadline where the refusal is known before.
 */
static void test_suspect_held_past_deadline(void)
{
	struct fixture fixture;

	set_up_halves(&fixture);
	hold_part(&fixture, 0, FIXTURE_DEADLINE_MS);
	hold_part(&fixture, 1, FIXTURE_DEADLINE_MS + 1);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.code, ERR_NO_SLOT);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "not_run");
	CU_ASSERT_EQUAL(fixture.retry_after_ms, FIXTURE_DEADLINE_MS + 1);
	tear_down(&fixture);
}

/* Guards against open searches that are leaked at the end of a process. */
static void test_end_all(void)
{
	struct fixture fixture;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 4, 4, "0123");
	start(&fixture);
	start(&fixture);
	searches_end_all(&fixture.searches, ERR_CANCELLED);
	CU_ASSERT_EQUAL(fixture.n_done, 2);
	CU_ASSERT_EQUAL(fixture.code, ERR_CANCELLED);
	CU_ASSERT(fixture.n_cancels > 0);
	CU_ASSERT_PTR_NULL(fixture.searches.by_id);
	tear_down(&fixture);
}

static void stop(struct fixture *fixture)
{
	struct blackboard *board = &fixture->path.board;

	stop_plan_init(&board->stop, clock_now(&fixture->path.clock),
		       MSEC(FIXTURE_DEADLINE_MS / 2));
	searches_stop(&fixture->searches);
}

static void advance_to(struct fixture *fixture, int64_t time)
{
	clock_advance(&fixture->path.clock,
		      time - clock_now(&fixture->path.clock));
	searches_tick(&fixture->searches);
}

/* Guards against an exit with searches open, whose parts are lost. */
static void test_searches_end_before_the_exit(void)
{
	struct fixture fixture;
	const struct stop_plan *plan = &fixture.path.board.stop;

	set_up(&fixture, 2);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 2, "0");
	board_fixture_put_server(&fixture.path, "h1", "b2", 1, 2, "1");
	start(&fixture);
	answer(&fixture, 0, 0);
	stop(&fixture);
	start(&fixture);
	CU_ASSERT(fixture.sent[1].query->deadline_ms < FIXTURE_DEADLINE_MS / 2);
	advance_to(&fixture, plan->answer_by - 1);
	CU_ASSERT_EQUAL(fixture.n_done, 0);
	advance_to(&fixture, plan->answer_by);
	CU_ASSERT_EQUAL(fixture.n_done, 2);
	CU_ASSERT_EQUAL(fixture.n_ended_by_stop, 2);
	CU_ASSERT_EQUAL(fixture.n_cancels, 3);
	tear_down(&fixture);
}

/* Guards against a log that blames a stop for what it did not end. */
static void test_searches_that_a_stop_does_not_end(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	start(&fixture);
	fail_part(&fixture, 0, 0, ERR_TOO_LARGE, false);
	start(&fixture);
	stop(&fixture);
	answer(&fixture, 1, 0);
	start(&fixture);
	fail_part(&fixture, 2, 0, ERR_TOO_LARGE, false);
	CU_ASSERT_EQUAL(fixture.n_done, 3);
	CU_ASSERT_EQUAL(fixture.n_ended_by_stop, 0);
	tear_down(&fixture);
}

/* Guards against a log that leaves out what a home's clock ends first. */
static void test_home_ends_a_part_for_the_stop(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	stop(&fixture);
	start(&fixture);
	advance_to(&fixture, fixture.path.board.stop.answer_by - 1);
	fail_part(&fixture, 0, 0, ERR_TOO_LATE, false);
	CU_ASSERT_EQUAL(fixture.n_done, 1);
	CU_ASSERT_EQUAL(fixture.n_ended_by_stop, 1);
	tear_down(&fixture);
}

/* Guards against a wait for parts that nobody can be asked for in time. */
static void test_no_search_at_the_end_of_a_stop(void)
{
	struct fixture fixture;

	set_up(&fixture, 1);
	board_fixture_put_server(&fixture.path, "h1", "b1", 1, 1, "0");
	stop(&fixture);
	advance_to(&fixture, blackboard_start_by(&fixture.path.board));
	start(&fixture);
	CU_ASSERT_EQUAL(fixture.n_sent, 0);
	CU_ASSERT_EQUAL(fixture.code, ERR_LEAVING);
	CU_ASSERT_EQUAL(fixture.n_ended_by_stop, 1);
	CU_ASSERT_STRING_EQUAL(fixture.outcome, "not_run");
	tear_down(&fixture);
}

static const struct unit_test tests[] = {
	{"counts of all servers are added", test_counts_add_over_servers},
	{"records of all servers are merged", test_records_merge},
	{"a version switch restarts the search", test_version_switch_restarts},
	{"a version switch before the catalog knows it",
	 test_version_switch_not_known_yet},
	{"a version disappears without a successor",
	 test_version_without_successor},
	{"no restart at the deadline", test_no_restart_at_deadline},
	{"restarts are bounded", test_restarts_are_bounded},
	{"a split shard counts once", test_split_shard_counts_once},
	{"a duplicate answer counts once", test_duplicate_answer_counts_once},
	{"bad answers are not counted", test_bad_answers_are_not_counted},
	{"foreign answers are dropped", test_foreign_answers_are_dropped},
	{"connection to a home lost", test_home_lost},
	{"connection to the last home lost", test_last_home_lost},
	{"partial coverage at the deadline", test_partial_coverage_at_deadline},
	{"no answer by the deadline", test_no_answer_by_deadline},
	{"refusals have an error code", test_refusals_have_error_code},
	{"no table yet", test_no_table_yet},
	{"not_run only if no byte was sent", test_not_run_only_if_no_byte_sent},
	{"the caller disconnects", test_caller_disconnects},
	{"the table changes during a search", test_table_changes_during_search},
	{"a late part is hedged", test_late_part_is_hedged},
	{"a faster original cancels the hedge",
	 test_faster_original_cancels_hedge},
	{"a late notice triggers a hedge at once",
	 test_late_notice_triggers_hedge},
	{"a second hedge replaces the original",
	 test_second_hedge_replaces_original},
	{"no hedge to the same server", test_no_hedge_to_the_same_server},
	{"a silent connection is retried", test_silent_connection_is_retried},
	{"all servers shed load", test_all_servers_shed},
	{"a late search answers at min_coverage",
	 test_late_search_answers_at_min_coverage},
	{"the trace explains a missing shard",
	 test_trace_explains_missing_shard},
	{"trace of a complete search", test_trace_of_complete_search},
	{"a refusal uses error budget", test_refusal_uses_budget},
	{"a suspect moves on after its trial",
	 test_suspect_moves_on_after_trial},
	{"a suspect goes on after a failure",
	 test_suspect_goes_on_after_failure},
	{"a held suspect waits", test_held_suspect_waits},
	{"a held suspect earns once", test_held_suspect_earns_once},
	{"a suspect is held past its deadline",
	 test_suspect_held_past_deadline},
	{"an unknown service uses no error budget",
	 test_unknown_service_uses_no_budget},
	{"end all", test_end_all},
	{"searches end before the exit", test_searches_end_before_the_exit},
	{"no search at the end of a stop", test_no_search_at_the_end_of_a_stop},
	{"searches that a stop does not end",
	 test_searches_that_a_stop_does_not_end},
	{"a home ends a part for the stop", test_home_ends_a_part_for_the_stop},
};

UNIT_MAIN("search", tests)
