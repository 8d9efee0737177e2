#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "answer.h"
#include "mem.h"
#include "path_board.h"
#include "search.h"
#include "unit.h"

#define SENT_MAX 32
#define REASONS_MAX 16

/**
 * struct world - what the search did to the world
 * @sent: queries as they went out
 * @refuse_send: what send_query returns from now on
 */
struct world {
	struct path_board path;
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
	int n_records;
	char first_key[32];
	int reasons[REASONS_MAX]; /* by shard; 0: answered */
};

static int on_send(void *arg, struct str home, const Peer__Query *query)
{
	struct world *world = arg;
	size_t len = peer__query__get_packed_size(query);
	uint8_t *bytes;
	int at = world->n_sent;

	if (world->refuse_send)
		return world->refuse_send;
	CU_ASSERT_FATAL(at < SENT_MAX);
	world->n_sent++;
	bytes = mem_zalloc(len);
	peer__query__pack(query, bytes);
	str_copy(world->sent[at].home, sizeof(world->sent[at].home), home);
	world->sent[at].query = peer__query__unpack(NULL, len, bytes);
	free(bytes);
	return 0;
}

static void on_cancel(void *arg, struct str home, const Peer__Cancel *cancel)
{
	struct world *world = arg;

	(void)home;
	(void)cancel;
	world->n_cancels++;
}

static void note_records(struct world *world, const struct merge *merge)
{
	world->n_records = merge->n;
	if (merge->n)
		str_copy(world->first_key, sizeof(world->first_key),
			 merge->records[0].key);
}

static void on_done(void *arg, struct search *search)
{
	struct world *world = arg;
	int i;

	world->n_done++;
	world->code = search->code;
	world->outcome = answer_outcome(search->code, search->maybe_ran);
	world->n_restarts = search->n_restarts;
	if (!search->map)
		return;
	world->version = search->map->version;
	world->count = search->count;
	world->covered = search->covered;
	world->total = search_total(search);
	note_records(world, &search->merge);
	for (i = 0; i < search->map->n_shards && i < REASONS_MAX; i++)
		world->reasons[i] =
			search->shards[i].state == SEARCH_SHARD_ANSWERED
				? 0
				: search->shards[i].code;
}

static const struct search_ops ops = {
	.send_query = on_send,
	.cancel = on_cancel,
	.done = on_done,
};

static void set_up(struct world *world, int n_servers)
{
	memset(world, 0, sizeof(*world));
	path_board_init(&world->path, n_servers);
	searches_init(&world->searches, &world->path.board, &ops, world, 3);
}

static void tear_down(struct world *world)
{
	int i;

	searches_finish(&world->searches);
	for (i = 0; i < world->n_sent; i++)
		peer__query__free_unpacked(world->sent[i].query, NULL);
	path_board_finish(&world->path);
}

static void start_for(struct world *world, const char *service, int mode,
		      int64_t limit)
{
	struct search_request request = {
		.where = mem_dup("{}"),
		.mode = mode,
		.limit = limit,
	};

	str_copy(request.service, sizeof(request.service), str_from(service));
	str_copy(request.request_id, sizeof(request.request_id), STR("r"));
	search_start(&world->searches, &request, NULL);
	search_request_finish(&request);
}

static void start(struct world *world)
{
	start_for(world, PATH_SERVICE, REQUEST_COUNT, 0);
}

/**
 * struct reply - how a home answers one part of a query
 * @home: NULL: the one that was asked
 * @request_id: NULL: that of the query
 * @server: NULL: the one that was asked
 * @cut: bytes missing at the end
 * @id: 0: that of the query
 * @version: 0: that of the query
 * @code: of the whole part
 * @status: of each shard
 * @held: 0: PATH_HELD
 * @count: 0: 1
 * @shift: added to the end of each shard's range
 * @drop: shards left out at the end
 * @key: of a record in the first shard; NULL: none
 * @second_key: of another behind it
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
	partial->held = reply->held ? reply->held : PATH_HELD;
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

static void answer_as(struct world *world, int sent, size_t part,
		      struct reply reply)
{
	const Peer__Query *query = world->sent[sent].query;
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
	searches_result(&world->searches,
			str_from(reply.home ? reply.home
					    : world->sent[sent].home),
			&result);
	free(bytes);
}

static void answer(struct world *world, int sent, size_t part)
{
	answer_as(world, sent, part, (struct reply){0});
}

static void fail_part(struct world *world, int sent, size_t part, int code,
		      bool unsent)
{
	answer_as(world, sent, part,
		  (struct reply){.code = code, .unsent = unsent});
}

static void pass_deadline(struct world *world)
{
	clock_advance(&world->path.clock, MSEC(PATH_DEADLINE_MS));
	searches_tick(&world->searches);
}

static void test_counts_add_over_servers(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 4, 4, "01");
	path_put(&world.path, "h1", "b2", 4, 4, "23");
	start(&world);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 1);
	CU_ASSERT_EQUAL_FATAL(world.sent[0].query->n_parts, 2);
	CU_ASSERT_EQUAL(world.sent[0].query->version, 4);
	answer(&world, 0, 0);
	CU_ASSERT_EQUAL(world.n_done, 0);
	answer(&world, 0, 1);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.code, 0);
	CU_ASSERT_EQUAL(world.count, 4);
	CU_ASSERT_EQUAL(world.covered, 4 * PATH_HELD);
	CU_ASSERT_EQUAL(world.total, 4 * PATH_HELD);
	tear_down(&world);
}

static void test_records_merge(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h1", "b2", 1, 2, "1");
	start_for(&world, PATH_SERVICE, REQUEST_RECORDS, 1);
	answer_as(&world, 0, 0, (struct reply){.key = "z"});
	answer_as(&world, 0, 1, (struct reply){.key = "a"});
	CU_ASSERT_EQUAL(world.n_records, 1);
	CU_ASSERT_STRING_EQUAL(world.first_key, "a");
	CU_ASSERT_EQUAL(world.count, 2);
	tear_down(&world);
}

/*
 * Servers switch from version 1 to 2 while a query runs: one has answered
 * from 1, the other refuses because it only holds 2 now. A caller must not
 * see half of each: the query begins again at 2, and a late answer from 1
 * is dropped.
 */
static void test_version_switch_never_mixes(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h2", "b2", 1, 2, "1");
	start(&world);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 2);
	answer_as(&world, 0, 0, (struct reply){.count = 7});
	path_put(&world.path, "h1", "b1", 2, 2, "0");
	path_put(&world.path, "h2", "b2", 2, 2, "1");
	fail_part(&world, 1, 0, ERR_WRONG_VERSION, false);
	CU_ASSERT_EQUAL(world.n_done, 0);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 4);
	CU_ASSERT_EQUAL(world.sent[2].query->version, 2);
	CU_ASSERT_EQUAL(world.sent[3].query->version, 2);
	CU_ASSERT_NOT_EQUAL(world.sent[2].query->id, world.sent[0].query->id);
	answer_as(&world, 0, 0, (struct reply){.count = 7});
	answer_as(&world, 1, 0, (struct reply){.count = 7});
	answer(&world, 2, 0);
	answer(&world, 3, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.version, 2);
	CU_ASSERT_EQUAL(world.count, 2);
	CU_ASSERT_EQUAL(world.covered, 2 * PATH_HELD);
	CU_ASSERT_EQUAL(world.n_restarts, 1);
	tear_down(&world);
}

/*
 * The same, and where the replicas moved to is not known yet: a moment later
 * the homes say it. The query waits for their word and begins again, whole.
 */
static void test_version_switch_not_known_yet(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h2", "b2", 1, 2, "1");
	start(&world);
	answer(&world, 0, 0);
	fail_part(&world, 1, 0, ERR_WRONG_VERSION, false);
	CU_ASSERT_EQUAL(world.n_done, 0);
	clock_advance(&world.path.clock, MSEC(5));
	path_put(&world.path, "h1", "b1", 2, 2, "0");
	searches_catalog_changed(&world.searches);
	/* Half of version 2 is no better than half of version 1. */
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 2);
	path_put(&world.path, "h2", "b2", 2, 2, "1");
	searches_catalog_changed(&world.searches);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 4);
	answer(&world, 2, 0);
	answer(&world, 3, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.version, 2);
	CU_ASSERT_EQUAL(world.covered, 2 * PATH_HELD);
	tear_down(&world);
}

/* The same, and the word never comes: less coverage, and why, soon. */
static void test_version_gone_without_a_newer(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h2", "b2", 1, 2, "1");
	start(&world);
	answer(&world, 0, 0);
	fail_part(&world, 1, 0, ERR_WRONG_VERSION, false);
	CU_ASSERT_EQUAL(world.n_done, 0);
	clock_advance(&world.path.clock, MSEC(50));
	searches_tick(&world.searches);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.code, 0);
	CU_ASSERT_EQUAL(world.covered, PATH_HELD);
	CU_ASSERT_EQUAL(world.total, 2 * PATH_HELD);
	CU_ASSERT_EQUAL(world.reasons[1], ERR_WRONG_VERSION);
	tear_down(&world);
}

/* A version switch that comes only at the deadline: there is no time left. */
static void test_no_restart_after_the_deadline(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h2", "b2", 1, 2, "1");
	start(&world);
	answer(&world, 0, 0);
	path_put(&world.path, "h1", "b1", 2, 2, "0");
	path_put(&world.path, "h2", "b2", 2, 2, "1");
	clock_advance(&world.path.clock, MSEC(PATH_DEADLINE_MS));
	fail_part(&world, 1, 0, ERR_WRONG_VERSION, false);
	searches_tick(&world.searches);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.version, 1);
	CU_ASSERT_EQUAL(world.covered, PATH_HELD);
	CU_ASSERT_EQUAL(world.n_sent, 2);
	tear_down(&world);
}

/* A version that goes back and forth must not restart a query for ever. */
static void test_restarts_are_bounded(void)
{
	struct world world;
	uint64_t version;
	int i;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	start(&world);
	for (version = 2; version < 8 && !world.n_done; version++) {
		path_put(&world.path, "h1", "b1", version, 1, "0");
		fail_part(&world, world.n_sent - 1, 0, ERR_WRONG_VERSION,
			  false);
	}
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.n_restarts, SEARCH_RESTARTS_MAX);
	CU_ASSERT_NOT_EQUAL(world.code, 0);
	for (i = 0; i < world.n_sent; i++)
		CU_ASSERT_EQUAL(world.sent[i].query->version, i + 1);
	tear_down(&world);
}

/*
 * Version 2 splits the only shard of version 1 in two. One server still holds
 * the old shard, two hold the new ones, and all could answer: a record would
 * count twice if both maps were used for one query.
 */
static void test_split_shard_counts_once(void)
{
	struct world world;
	uint64_t points = 0;
	size_t i;
	size_t k;

	set_up(&world, 3);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	path_put(&world.path, "h1", "b2", 2, 2, "0");
	path_put(&world.path, "h1", "b3", 2, 2, "1");
	start(&world);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 1);
	for (i = 0; i < world.sent[0].query->n_parts; i++) {
		const Peer__ServerPart *part = world.sent[0].query->parts[i];

		for (k = 0; k < part->n_shards; k++)
			points += part->shards[k]->hi - part->shards[k]->lo + 1;
	}
	CU_ASSERT_EQUAL(points, CATALOG_POINTS);
	CU_ASSERT_EQUAL(world.sent[0].query->version, 2);
	for (i = 0; i < world.sent[0].query->n_parts; i++)
		answer(&world, 0, i);
	CU_ASSERT_EQUAL(world.covered, 2 * PATH_HELD);
	CU_ASSERT_EQUAL(world.count, 2);
	tear_down(&world);
}

/* The network repeats an answer, or a home answers the same part again. */
static void test_shard_answered_twice_counts_once(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h1", "b2", 1, 2, "1");
	start(&world);
	answer(&world, 0, 0);
	answer(&world, 0, 0);
	answer(&world, 0, 0);
	CU_ASSERT_EQUAL(world.n_done, 0);
	answer(&world, 0, 1);
	CU_ASSERT_EQUAL(world.count, 2);
	CU_ASSERT_EQUAL(world.covered, 2 * PATH_HELD);
	/* After the outcome nothing of it is left to change. */
	answer(&world, 0, 1);
	CU_ASSERT_EQUAL(world.n_done, 1);
	tear_down(&world);
}

/* One part goes wrong in some way; the replica then answers for the shard. */
static void check_bad_answer(struct reply reply)
{
	struct world world;
	int retry;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	path_put(&world.path, "h1", "b2", 1, 1, "0");
	start(&world);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 1);
	answer_as(&world, 0, 0, reply);
	CU_ASSERT_EQUAL(world.n_done, 0);
	retry = world.n_sent - 1;
	CU_ASSERT_EQUAL(retry, 1);
	answer(&world, retry, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.count, 1);
	CU_ASSERT_EQUAL(world.covered, PATH_HELD);
	tear_down(&world);
}

/*
 * A backend server answers from another snapshot, for other key ranges, for
 * too few shards, or with numbers that the partition map does not allow. None
 * of it may be counted.
 */
static void test_bad_answers_are_not_counted(void)
{
	check_bad_answer((struct reply){.version = 9});
	check_bad_answer((struct reply){.request_id = "other"});
	check_bad_answer((struct reply){.server = "b9"});
	check_bad_answer((struct reply){.cut = 1});
	check_bad_answer((struct reply){.shift = 1});
	check_bad_answer((struct reply){.drop = 1});
	check_bad_answer((struct reply){.held = PATH_HELD + 1});
	check_bad_answer((struct reply){.held = PATH_HELD - 1});
	check_bad_answer((struct reply){.count = PATH_HELD + 1});
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

/* Answers of another home, or to another query: as if they had not come. */
static void test_foreign_answers_are_dropped(void)
{
	struct world world;
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult item = PEER__SERVER_RESULT__INIT;
	Peer__ServerResult *items = &item;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	start(&world);
	answer_as(&world, 0, 0, (struct reply){.home = "h2"});
	answer_as(&world, 0, 0, (struct reply){.id = 999});
	answer_as(&world, 0, 0, (struct reply){.home = "h2", .code = ERR_LOST});
	item.part = 77;
	result.id = world.sent[0].query->id;
	result.n_results = 1;
	result.results = &items;
	searches_result(&world.searches, STR("h1"), &result);
	CU_ASSERT_EQUAL(world.n_done, 0);
	CU_ASSERT_EQUAL(world.n_sent, 1);
	answer(&world, 0, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.covered, PATH_HELD);
	tear_down(&world);
}

/*
 * A home dies with a query. Its server has another home: the shard is asked
 * again there, and if none is left the caller hears which data is missing.
 */
static void test_home_lost(void)
{
	struct world world;
	const char *home;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "01");
	path_put(&world.path, "h2", "b2", 1, 2, "01");
	start(&world);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 1);
	home = world.sent[0].home;
	catalog_remove_instance(&world.path.board.catalog, str_from(home));
	searches_home_lost(&world.searches, str_from(home));
	CU_ASSERT_EQUAL(world.n_done, 0);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 2);
	CU_ASSERT_STRING_NOT_EQUAL(world.sent[1].home, home);
	/* What the lost home might have sent is late now. */
	answer(&world, 0, 0);
	CU_ASSERT_EQUAL(world.n_done, 0);
	answer(&world, 1, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.covered, 2 * PATH_HELD);
	CU_ASSERT_EQUAL(world.count, 2);
	tear_down(&world);
}

static void test_last_home_lost(void)
{
	struct world world;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	start(&world);
	catalog_remove_instance(&world.path.board.catalog, STR("h1"));
	searches_home_lost(&world.searches, STR("h1"));
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_STRING_EQUAL(world.outcome, "unknown");
	tear_down(&world);
}

/* A straggler: the caller gets what there is, and what is missing and why. */
static void test_deadline_gives_honest_coverage(void)
{
	struct world world;

	set_up(&world, 3);
	path_put(&world.path, "h1", "b1", 1, 4, "0");
	path_put(&world.path, "h1", "b2", 1, 4, "1");
	path_put(&world.path, "h1", "b3", 1, 4, "2");
	start(&world);
	CU_ASSERT_EQUAL_FATAL(world.sent[0].query->n_parts, 3);
	answer(&world, 0, 0);
	fail_part(&world, 0, 1, ERR_SHED, false);
	clock_advance(&world.path.clock, MSEC(PATH_DEADLINE_MS) - 1);
	searches_tick(&world.searches);
	CU_ASSERT_EQUAL(world.n_done, 0);
	clock_advance(&world.path.clock, 1);
	searches_tick(&world.searches);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.code, 0);
	CU_ASSERT_EQUAL(world.covered, PATH_HELD);
	CU_ASSERT_EQUAL(world.total, 4 * PATH_HELD);
	CU_ASSERT_EQUAL(world.reasons[0], 0);
	CU_ASSERT_EQUAL(world.reasons[1], ERR_SHED);
	CU_ASSERT_EQUAL(world.reasons[2], ERR_TOO_LATE);
	CU_ASSERT_EQUAL(world.reasons[3], ERR_NO_REPLICA);
	CU_ASSERT_EQUAL(world.n_cancels, 1);
	answer(&world, 0, 2);
	CU_ASSERT_EQUAL(world.n_done, 1);
	tear_down(&world);
}

static void test_nothing_by_the_deadline(void)
{
	struct world world;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	start(&world);
	pass_deadline(&world);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.code, ERR_TOO_LATE);
	CU_ASSERT_STRING_EQUAL(world.outcome, "too_late");
	CU_ASSERT_EQUAL(world.n_cancels, 1);
	tear_down(&world);
}

static void test_refusals_are_typed(void)
{
	struct world world;

	set_up(&world, 1);
	start_for(&world, "other", REQUEST_COUNT, 0);
	CU_ASSERT_EQUAL(world.code, ERR_NO_SERVICE);
	CU_ASSERT_STRING_EQUAL(world.outcome, "bad_request");
	start(&world);
	CU_ASSERT_EQUAL(world.code, ERR_NO_SNAPSHOT);
	CU_ASSERT_STRING_EQUAL(world.outcome, "not_run");
	CU_ASSERT_EQUAL(world.n_done, 2);
	tear_down(&world);
}

static void test_no_table_yet(void)
{
	struct world world;
	struct table *table;

	set_up(&world, 1);
	table = world.path.board.table;
	world.path.board.table = NULL;
	start(&world);
	CU_ASSERT_STRING_EQUAL(world.outcome, "not_run");
	world.path.board.table = table;
	tear_down(&world);
}

/*
 * "Not run" is a promise. It holds if no frame left, or if the home says that
 * no byte went to a server; once a byte may have left it is never given.
 */
static void test_not_run_only_if_no_byte_left(void)
{
	struct world world;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	world.refuse_send = ERR_UNAVAILABLE;
	start(&world);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.code, ERR_UNAVAILABLE);
	CU_ASSERT_STRING_EQUAL(world.outcome, "not_run");
	world.refuse_send = 0;
	start(&world);
	fail_part(&world, 0, 0, ERR_CONNECT, true);
	CU_ASSERT_EQUAL(world.n_done, 2);
	CU_ASSERT_STRING_EQUAL(world.outcome, "not_run");
	start(&world);
	fail_part(&world, 1, 0, ERR_LOST, false);
	CU_ASSERT_EQUAL(world.n_done, 3);
	CU_ASSERT_STRING_EQUAL(world.outcome, "unknown");
	tear_down(&world);
}

/* The caller hangs up: its parts are cancelled and nobody is told. */
static void test_caller_gone(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h2", "b2", 1, 2, "1");
	start(&world);
	answer(&world, 0, 0);
	searches_drop(&world.searches, world.searches.by_id);
	CU_ASSERT_EQUAL(world.n_cancels, 1);
	answer(&world, 1, 0);
	CU_ASSERT_EQUAL(world.n_done, 0);
	CU_ASSERT_EQUAL(world.path.board.counters.searches_open.value, 0);
	tear_down(&world);
}

/*
 * An operator deletes the row of a server that is being asked, and the next
 * table even has another service list: the search ends as it began.
 */
static void test_table_changes_under_a_search(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h1", "b2", 1, 2, "1");
	start(&world);
	path_set_servers(&world.path, 2, 1);
	answer(&world, 0, 0);
	answer(&world, 0, 1);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.covered, 2 * PATH_HELD);
	tear_down(&world);
}

static const struct trace *recorded(const struct world *world)
{
	const struct trace *trace = NULL;

	CU_ASSERT_EQUAL_FATAL(trace_store_find(&world->path.board.traces,
					       STR("r"), NULL, &trace),
			      0);
	return trace;
}

static struct burn_service *burned(struct world *world,
				   struct burn_counts *counts)
{
	struct burn *burn = &world->path.board.burn;
	struct burn_service *service = burn_find(burn, STR(PATH_SERVICE));

	burn_count_window(burn, service, BURN_5M, counts);
	return service;
}

/*
 * A tenant's repair order is missing from an answer, and the desk asks why.
 * One server answered, the other had not by the deadline: the record names
 * both, the shard that is missing and the reason, and the burn blames them.
 */
static void test_record_explains_missing_shard(void)
{
	const struct trace *trace;
	struct burn_service *service;
	struct burn_counts counts;
	struct world world;
	struct top_k top;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 2, "0");
	path_put(&world.path, "h2", "b2", 1, 2, "1");
	start(&world);
	clock_advance(&world.path.clock, MSEC(7));
	answer_as(&world, 0, 0, (struct reply){0});
	pass_deadline(&world);
	trace = recorded(&world);
	CU_ASSERT_TRUE(trace->summary.notable);
	CU_ASSERT_EQUAL(trace->summary.snapshot, 1);
	CU_ASSERT_EQUAL(trace->summary.covered, PATH_HELD);
	CU_ASSERT_EQUAL(trace->summary.total, 2 * PATH_HELD);
	CU_ASSERT_EQUAL_FATAL(trace->summary.n_reasons, 1);
	CU_ASSERT_EQUAL(trace->summary.reasons[0].code, ERR_TOO_LATE);
	CU_ASSERT_EQUAL(trace->summary.reasons[0].ranges[0].lo, 32768);
	CU_ASSERT_EQUAL_FATAL(trace->n_parts, 2);
	CU_ASSERT_EQUAL(trace->parts[0].code, 0);
	CU_ASSERT_EQUAL(trace->parts[0].back_us, MSEC(7));
	CU_ASSERT_STRING_EQUAL(trace_name_text(trace->parts[1].server), "b2");
	CU_ASSERT_STRING_EQUAL(trace_name_text(trace->parts[1].home), "h2");
	CU_ASSERT_EQUAL(trace->parts[1].code, ERR_TOO_LATE);
	service = burned(&world, &counts);
	CU_ASSERT_EQUAL(counts.total, 1);
	CU_ASSERT_EQUAL(counts.partial, 1);
	CU_ASSERT_EQUAL(counts.refused, 0);
	burn_top_causes(&world.path.board.burn, service, BURN_SERVER, &top);
	CU_ASSERT_EQUAL_FATAL(top.n, 1);
	CU_ASSERT_STRING_EQUAL(top.entries[0].key, "b2");
	burn_top_causes(&world.path.board.burn, service, BURN_SHARD, &top);
	CU_ASSERT_EQUAL_FATAL(top.n, 1);
	CU_ASSERT_STRING_EQUAL(top.entries[0].key, "32768-65535");
	tear_down(&world);
}

/* A whole answer within the target burns nothing and is an ordinary record. */
static void test_record_of_good_search(void)
{
	struct burn_counts counts;
	struct world world;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 2, "01");
	start(&world);
	answer(&world, 0, 0);
	CU_ASSERT_FALSE(recorded(&world)->summary.notable);
	CU_ASSERT_EQUAL(recorded(&world)->summary.n_reasons, 0);
	burned(&world, &counts);
	CU_ASSERT_EQUAL(counts.total, 1);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_LATENCY), 0);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_COVERAGE), 0);
	tear_down(&world);
}

/* A refusal gives the caller nothing: it is bad for both objectives. */
static void test_refusal_burns(void)
{
	struct burn_counts counts;
	struct world world;

	set_up(&world, 1);
	start(&world);
	CU_ASSERT_EQUAL(recorded(&world)->summary.code, ERR_NO_SNAPSHOT);
	burned(&world, &counts);
	CU_ASSERT_EQUAL(counts.refused, 1);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_LATENCY), 1);
	CU_ASSERT_EQUAL(burn_count_bad(&counts, BURN_COVERAGE), 1);
	tear_down(&world);
}

/* A service nobody has put into the table is the caller's mistake. */
static void test_unknown_service_burns_nothing(void)
{
	struct world world;

	set_up(&world, 1);
	start_for(&world, "nosuch", REQUEST_COUNT, 0);
	CU_ASSERT_EQUAL(recorded(&world)->summary.code, ERR_NO_SERVICE);
	CU_ASSERT_PTR_NULL(burn_find(&world.path.board.burn, STR("nosuch")));
	tear_down(&world);
}

/* Two replicas of one shard, and a search that has gone to one of them. */
static void set_up_replicas(struct world *world)
{
	set_up(world, 2);
	path_put(&world->path, "h1", "b1", 1, 1, "0");
	path_put(&world->path, "h2", "b2", 1, 1, "0");
	start(world);
	CU_ASSERT_EQUAL_FATAL(world->n_sent, 1);
}

static void pass(struct world *world, int64_t ms)
{
	clock_advance(&world->path.clock, MSEC(ms));
	searches_tick(&world->searches);
}

static const char *server_of(const struct world *world, int sent)
{
	return world->sent[sent].query->parts[0]->server;
}

/*
 * One replica does not answer. The other is asked too; its answer is the
 * caller's, the first request is cancelled, and if it answers all the same
 * its shard must not count again.
 */
static void test_slow_part_is_hedged(void)
{
	struct world world;

	set_up_replicas(&world);
	pass(&world, PATH_DEADLINE_MS / 4 - 1);
	CU_ASSERT_EQUAL(world.n_sent, 1);
	pass(&world, 1);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 2);
	CU_ASSERT_STRING_NOT_EQUAL(server_of(&world, 0), server_of(&world, 1));
	CU_ASSERT_STRING_NOT_EQUAL(world.sent[0].query->request_id,
				   world.sent[1].query->request_id);
	answer(&world, 1, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.n_cancels, 1);
	CU_ASSERT_EQUAL(world.count, 1);
	CU_ASSERT_EQUAL(world.covered, PATH_HELD);
	answer(&world, 0, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	tear_down(&world);
}

static void test_quicker_original_cancels_the_hedge(void)
{
	struct world world;

	set_up_replicas(&world);
	pass(&world, PATH_DEADLINE_MS / 4);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 2);
	answer(&world, 0, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.n_cancels, 1);
	CU_ASSERT_EQUAL(world.count, 1);
	tear_down(&world);
}

static void tell_late(struct world *world, int sent)
{
	const Peer__Query *query = world->sent[sent].query;
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult item = PEER__SERVER_RESULT__INIT;
	Peer__ServerResult *items = &item;

	result.id = query->id;
	result.n_results = 1;
	result.results = &items;
	item.part = query->parts[0]->part;
	item.late = true;
	searches_result(&world->searches, str_from(world->sent[sent].home),
			&result);
}

/* The home says that a request runs for too long: the entry need not wait. */
static void test_late_notice_is_hedged_at_once(void)
{
	struct world world;

	set_up_replicas(&world);
	tell_late(&world, 0);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 2);
	CU_ASSERT_EQUAL(world.n_done, 0);
	/* A repeated notice adds nothing while the hedge is out. */
	tell_late(&world, 0);
	CU_ASSERT_EQUAL(world.n_sent, 2);
	answer(&world, 1, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.count, 1);
	tear_down(&world);
}

/*
 * Original and hedge are both stragglers, and there is no third replica. The
 * first server is asked anew, in place of its older request: it must not work
 * twice on one shard.
 */
static void test_late_hedge_replaces_the_original(void)
{
	struct world world;

	set_up_replicas(&world);
	tell_late(&world, 0);
	tell_late(&world, 1);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 3);
	CU_ASSERT_STRING_EQUAL(server_of(&world, 0), server_of(&world, 2));
	CU_ASSERT_EQUAL(world.n_cancels, 1);
	answer(&world, 2, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.n_cancels, 2);
	CU_ASSERT_EQUAL(world.count, 1);
	tear_down(&world);
}

/* The only replica: there is nobody to hedge to, and it is not asked twice. */
static void test_no_hedge_to_the_same_server(void)
{
	struct world world;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	start(&world);
	tell_late(&world, 0);
	pass(&world, PATH_DEADLINE_MS / 2);
	CU_ASSERT_EQUAL(world.n_sent, 1);
	answer(&world, 0, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	tear_down(&world);
}

/*
 * A connection of the only replica went silent. The server is in order: it is
 * asked again, and no answer is lost.
 */
static void test_silence_is_asked_again(void)
{
	struct world world;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	start(&world);
	fail_part(&world, 0, 0, ERR_SILENT, false);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 2);
	answer(&world, 1, 0);
	CU_ASSERT_EQUAL(world.n_done, 1);
	CU_ASSERT_EQUAL(world.covered, PATH_HELD);
	tear_down(&world);
}

/* Searches of a service answer within 10 ms; all of ten shards. */
static void learn_searches(struct world *world)
{
	int i;

	for (i = 0; i < 20; i++) {
		start(world);
		clock_advance(&world->path.clock, MSEC(10));
		answer(world, i, 0);
		answer(world, i, 1);
	}
	CU_ASSERT_EQUAL(world->n_done, 20);
}

/*
 * Latency-first: one of ten shards does not come, and no replica has it. The
 * agent on the line gets nine tenths once the answer is late for its service,
 * not at the deadline, and is told what is missing.
 */
static void test_late_search_answers_at_min_coverage(void)
{
	struct world world;

	set_up(&world, 2);
	path_put(&world.path, "h1", "b1", 1, 10, "012345678");
	path_put(&world.path, "h1", "b2", 1, 10, "9");
	learn_searches(&world);
	start(&world);
	CU_ASSERT_EQUAL_FATAL(world.n_sent, 21);
	answer(&world, 20,
	       world.sent[20].query->parts[0]->n_shards == 9 ? 0 : 1);
	pass(&world, 12);
	CU_ASSERT_EQUAL(world.n_done, 20);
	pass(&world, 18);
	CU_ASSERT_EQUAL(world.n_done, 21);
	CU_ASSERT_EQUAL(world.code, 0);
	CU_ASSERT_EQUAL(world.covered, 9 * PATH_HELD);
	CU_ASSERT_EQUAL(world.reasons[9], ERR_TOO_LATE);
	CU_ASSERT_EQUAL(world.n_cancels, 1);
	tear_down(&world);
}

/*
 * Every server of the service sheds. The caller is told at once, and that
 * nothing ran: it may safely ask again.
 */
static void test_shed_everywhere_is_not_run(void)
{
	struct world world;
	int i;

	set_up(&world, 1);
	path_put(&world.path, "h1", "b1", 1, 1, "0");
	for (i = 0; i < 5; i++) {
		start(&world);
		if (world.n_sent > i)
			fail_part(&world, i, 0, ERR_SHED, false);
		else
			break;
		clock_advance(&world.path.clock, MSEC(1000));
		CU_ASSERT_EQUAL(world.n_done, i + 1);
		CU_ASSERT_STRING_EQUAL(world.outcome, "not_run");
	}
	start(&world);
	fail_part(&world, world.n_sent - 1, 0, ERR_SHED, false);
	/* It asked not to be called now. */
	i = world.n_sent;
	start(&world);
	CU_ASSERT_EQUAL(world.n_sent, i);
	CU_ASSERT_EQUAL(world.n_done, 7);
	CU_ASSERT_STRING_EQUAL(world.outcome, "not_run");
	tear_down(&world);
}

static const struct unit_test tests[] = {
	{"counts add over servers", test_counts_add_over_servers},
	{"records merge", test_records_merge},
	{"version switch never mixes", test_version_switch_never_mixes},
	{"version switch not known yet", test_version_switch_not_known_yet},
	{"version gone without a newer", test_version_gone_without_a_newer},
	{"no restart after the deadline", test_no_restart_after_the_deadline},
	{"restarts are bounded", test_restarts_are_bounded},
	{"split shard counts once", test_split_shard_counts_once},
	{"shard answered twice counts once",
	 test_shard_answered_twice_counts_once},
	{"bad answers are not counted", test_bad_answers_are_not_counted},
	{"foreign answers are dropped", test_foreign_answers_are_dropped},
	{"home lost", test_home_lost},
	{"last home lost", test_last_home_lost},
	{"deadline gives honest coverage", test_deadline_gives_honest_coverage},
	{"nothing by the deadline", test_nothing_by_the_deadline},
	{"refusals are typed", test_refusals_are_typed},
	{"no table yet", test_no_table_yet},
	{"not run only if no byte left", test_not_run_only_if_no_byte_left},
	{"caller gone", test_caller_gone},
	{"table changes under a search", test_table_changes_under_a_search},
	{"slow part is hedged", test_slow_part_is_hedged},
	{"quicker original cancels the hedge",
	 test_quicker_original_cancels_the_hedge},
	{"late notice is hedged at once", test_late_notice_is_hedged_at_once},
	{"late hedge replaces the original",
	 test_late_hedge_replaces_the_original},
	{"no hedge to the same server", test_no_hedge_to_the_same_server},
	{"silence is asked again", test_silence_is_asked_again},
	{"shed everywhere is not run", test_shed_everywhere_is_not_run},
	{"late search answers at min_coverage",
	 test_late_search_answers_at_min_coverage},
	{"a record explains a missing shard",
	 test_record_explains_missing_shard},
	{"a record of a good search", test_record_of_good_search},
	{"a refusal burns", test_refusal_burns},
	{"an unknown service burns nothing",
	 test_unknown_service_burns_nothing},
};

UNIT_MAIN("search", tests)
