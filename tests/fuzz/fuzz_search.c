/*
 * Fuzzes the answers of a backend server. For any answer, a search must not
 * report more records than the snapshot holds, and must end by its deadline.
 */
#include "fuzz.h"

#include <string.h>

#include "../board_fixture.h"
#include "mem.h"
#include "search.h"

#define ROUNDS_MAX 8
#define PARTS_MAX 8

/**
 * struct fixture - a search and the last query that it sent
 * @id: of the last query
 * @parts: part numbers of the last query
 * @n_done: times that the search ended
 */
struct fixture {
	struct board_fixture board_fixture;
	struct searches searches;
	uint64_t id;
	uint32_t parts[PARTS_MAX];
	int n_parts;
	int n_done;
};

static int on_send(void *arg, struct str home, const Peer__Query *query)
{
	struct fixture *fixture = arg;
	size_t i;

	(void)home;
	fixture->id = query->id;
	fixture->n_parts = 0;
	for (i = 0; i < query->n_parts && i < PARTS_MAX; i++)
		fixture->parts[fixture->n_parts++] = query->parts[i]->part;
	return 0;
}

static void on_cancel(void *arg, struct str home, const Peer__Cancel *cancel)
{
	(void)arg;
	(void)home;
	(void)cancel;
}

static void on_done(void *arg, struct search *search)
{
	struct fixture *fixture = arg;

	fixture->n_done++;
	if (search->covered > search_total(search) ||
	    search->count > search->covered ||
	    search->merge.n > search->request.limit)
		__builtin_trap();
}

static const struct search_ops ops = {
	.send_query = on_send,
	.cancel = on_cancel,
	.done = on_done,
};

static void answer_parts(struct fixture *fixture, const uint8_t *data,
			 size_t size)
{
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult items[PARTS_MAX];
	Peer__ServerResult *pointers[PARTS_MAX];
	int i;

	result.id = fixture->id;
	result.results = pointers;
	result.n_results = (size_t)fixture->n_parts;
	for (i = 0; i < fixture->n_parts; i++) {
		peer__server_result__init(&items[i]);
		items[i].part = fixture->parts[i];
		items[i].sent = true;
		items[i].answer.data = (uint8_t *)data;
		items[i].answer.len = size;
		pointers[i] = &items[i];
	}
	searches_result(&fixture->searches, STR("h1"), &result);
}

/*
 * A request ID on the wire is the caller's ID and a number that is the same in
 * each run, so that inputs can match it.
 */
static void start_search(struct fixture *fixture)
{
	struct search_request request = {.limit = 3, .mode = REQUEST_RECORDS};

	request.where = mem_dup("{}");
	str_copy(request.service, sizeof(request.service),
		 STR(FIXTURE_SERVICE));
	str_copy(request.request_id, sizeof(request.request_id), STR("r"));
	search_start(&fixture->searches, &request, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct fixture fixture;
	int i;

	memset(&fixture, 0, sizeof(fixture));
	board_fixture_init(&fixture.board_fixture, 1);
	searches_init(&fixture.searches, &fixture.board_fixture.board, &ops,
		      &fixture, 3);
	board_fixture_put_server(&fixture.board_fixture, "h1", "b1", 1, 2,
				 "01");
	start_search(&fixture);
	for (i = 0; i < ROUNDS_MAX && !fixture.n_done; i++) {
		answer_parts(&fixture, data, size);
		clock_advance(&fixture.board_fixture.clock, MSEC(20));
		searches_tick(&fixture.searches);
	}
	clock_advance(&fixture.board_fixture.clock, MSEC(FIXTURE_DEADLINE_MS));
	searches_tick(&fixture.searches);
	if (fixture.n_done != 1)
		__builtin_trap();
	searches_finish(&fixture.searches);
	board_fixture_finish(&fixture.board_fixture);
	return 0;
}
