/*
 * Answers of a backend server. Whatever they are, an outcome must not state
 * more than the snapshot holds, and must come by the deadline.
 */
#include "fuzz.h"

#include <string.h>

#include "../path_board.h"
#include "mem.h"
#include "search.h"

#define ROUNDS_MAX 8
#define PARTS_MAX 8

/**
 * struct world - a search and what it asked
 * @parts: part numbers of the last query
 */
struct world {
	struct board_fixture path;
	struct searches searches;
	uint64_t id;
	uint32_t parts[PARTS_MAX];
	int n_parts;
	int n_done;
};

static int on_send(void *arg, struct str home, const Peer__Query *query)
{
	struct world *world = arg;
	size_t i;

	(void)home;
	world->id = query->id;
	world->n_parts = 0;
	for (i = 0; i < query->n_parts && i < PARTS_MAX; i++)
		world->parts[world->n_parts++] = query->parts[i]->part;
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
	struct world *world = arg;

	world->n_done++;
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

static void answer(struct world *world, const uint8_t *data, size_t size)
{
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult items[PARTS_MAX];
	Peer__ServerResult *pointers[PARTS_MAX];
	int i;

	result.id = world->id;
	result.results = pointers;
	result.n_results = (size_t)world->n_parts;
	for (i = 0; i < world->n_parts; i++) {
		peer__server_result__init(&items[i]);
		items[i].part = world->parts[i];
		items[i].sent = true;
		items[i].answer.data = (uint8_t *)data;
		items[i].answer.len = size;
		pointers[i] = &items[i];
	}
	searches_result(&world->searches, STR("h1"), &result);
}

/* Ids of requests on the wire begin with the caller's and are told apart by
 * numbers that are the same in each run, so that inputs can hit them.
 */
static void start(struct world *world)
{
	struct search_request request = {.limit = 3, .mode = REQUEST_RECORDS};

	request.where = mem_dup("{}");
	str_copy(request.service, sizeof(request.service),
		 STR(FIXTURE_SERVICE));
	str_copy(request.request_id, sizeof(request.request_id), STR("r"));
	search_start(&world->searches, &request, NULL);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct world world;
	int i;

	memset(&world, 0, sizeof(world));
	board_fixture_init(&world.path, 1);
	searches_init(&world.searches, &world.path.board, &ops, &world, 3);
	board_fixture_put_server(&world.path, "h1", "b1", 1, 2, "01");
	start(&world);
	for (i = 0; i < ROUNDS_MAX && !world.n_done; i++) {
		answer(&world, data, size);
		clock_advance(&world.path.clock, MSEC(20));
		searches_tick(&world.searches);
	}
	clock_advance(&world.path.clock, MSEC(FIXTURE_DEADLINE_MS));
	searches_tick(&world.searches);
	if (world.n_done != 1)
		__builtin_trap();
	searches_finish(&world.searches);
	board_fixture_finish(&world.path);
	return 0;
}
