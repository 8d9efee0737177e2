/*
 * Processor time and memory of the state an instance keeps and of its decision
 * modules, at several sizes, without sockets. JSON lines out.
 */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/buffer.h>

#include "blackboard.h"
#include "home.h"
#include "mem.h"
#include "search.h"

#define REPLICAS 2
#define SHARDS_PER_SERVER 2
#define SERVERS_PER_HOME 8
#define RECORDS 10
#define RECORD_BYTES 200
#define ROUNDS 200
#define IN_FLIGHT 200

/*
 * A world of one entry and the servers it knows. Queries are kept as sent and
 * answered by answer_all().
 */
struct world {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
	struct searches searches;
	int n_servers;
	int n_records;
	struct sent *sent;
	int n_sent;
	int cap_sent;
	int n_done;
	double covered;
};

struct sent {
	char home[CATALOG_NAME_SIZE];
	Peer__Query *query;
};

static double cpu_seconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
	return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

static ProtobufCMessage *copy_message(const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *data = mem_zalloc(len);
	ProtobufCMessage *copy;

	protobuf_c_message_pack(message, data);
	copy = protobuf_c_message_unpack(message->descriptor, NULL, len, data);
	free(data);
	return copy;
}

static int keep_query(void *arg, struct str home, const Peer__Query *query)
{
	struct world *world = arg;
	struct sent *sent;

	MEM_GROW(world->sent, world->n_sent, world->cap_sent);
	sent = &world->sent[world->n_sent++];
	str_copy(sent->home, sizeof(sent->home), home);
	sent->query = (Peer__Query *)copy_message(&query->base);
	return 0;
}

static void drop_cancel(void *arg, struct str home, const Peer__Cancel *cancel)
{
	(void)arg;
	(void)home;
	(void)cancel;
}

static void count_done(void *arg, struct search *search)
{
	struct world *world = arg;

	world->n_done++;
	world->covered += search_ratio(search);
}

static const struct search_ops search_ops = {
	.send_query = keep_query,
	.cancel = drop_cancel,
	.done = count_done,
};

static char *table_text(int n_servers, size_t *len)
{
	struct evbuffer *out = evbuffer_new();
	char *text;
	int i;

	evbuffer_add_printf(
		out, "{\"markets\":{\"columns\":[\"name\"],\"rows\":[[\"m\"]]},"
		     "\"services\":{\"columns\":[\"name\",\"market\",\"mode\"],"
		     "\"rows\":[[\"s\",\"m\",\"coverage\"]]},"
		     "\"servers\":{\"columns\":[\"name\",\"service\","
		     "\"data_centre\",\"address\"],\"rows\":[");
	for (i = 0; i < n_servers; i++)
		evbuffer_add_printf(out,
				    "%s[\"server-%d\",\"s\",\"dc-%d\","
				    "\"127.0.0.1:%d\"]",
				    i ? "," : "", i, i % 4, 1 + i % 65000);
	evbuffer_add_printf(out, "]}}");
	*len = evbuffer_get_length(out);
	text = mem_dup_len(evbuffer_pullup(out, -1), *len);
	evbuffer_free(out);
	return text;
}

static void set_table(struct world *world)
{
	struct table *table = mem_zalloc(sizeof(*table));
	struct error err = {0};
	size_t len;
	char *text = table_text(world->n_servers, &len);

	if (table_init(table, text, len, 1, &err)) {
		fprintf(stderr, "%s: %s\n", err.subject, error_name(err.code));
		exit(1);
	}
	free(text);
	blackboard_set_table(&world->board, table);
	catalog_set_table(&world->board.catalog, world->board.table);
}

/* Shards of the map, equal ranges; shard i is on servers of group i / 2. */
static int n_shards_of(const struct world *world)
{
	return world->n_servers / REPLICAS * SHARDS_PER_SERVER;
}

static Backend__ShardInfo **make_shards(int n)
{
	Backend__ShardInfo **shards = mem_zalloc((size_t)n * sizeof(*shards));
	int i;

	for (i = 0; i < n; i++) {
		shards[i] = mem_zalloc(sizeof(**shards));
		backend__shard_info__init(shards[i]);
		shards[i]->shard = mem_zalloc(sizeof(*shards[i]->shard));
		backend__key_range__init(shards[i]->shard);
		shards[i]->shard->lo =
			(uint32_t)((int64_t)CATALOG_POINTS * i / n);
		shards[i]->shard->hi =
			(uint32_t)((int64_t)CATALOG_POINTS * (i + 1) / n) - 1;
		shards[i]->held = 100;
	}
	return shards;
}

static void free_shards(Backend__ShardInfo **shards, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		free(shards[i]->shard);
		free(shards[i]);
	}
	free(shards);
}

static void put_states(struct world *world, uint64_t digest)
{
	int i;
	int k;

	for (i = 0; i < world->n_servers; i++) {
		char server[32];
		uint32_t here[SHARDS_PER_SERVER];
		Peer__ServerState state = PEER__SERVER_STATE__INIT;
		Peer__Held held = PEER__HELD__INIT;
		Peer__Held *pointer = &held;

		snprintf(server, sizeof(server), "server-%d", i);
		for (k = 0; k < SHARDS_PER_SERVER; k++)
			here[k] = (uint32_t)(i / REPLICAS * SHARDS_PER_SERVER +
					     k);
		held.version = 1;
		held.map_digest = digest;
		held.n_here = SHARDS_PER_SERVER;
		held.here = here;
		state.server = server;
		state.service = (char *)"s";
		state.slots = 1;
		state.connections = 12;
		state.reachable = true;
		state.n_held = 1;
		state.held = &pointer;
		for (k = 0; k < 2; k++) {
			char home[32];

			snprintf(home, sizeof(home), "instance-%d",
				 i / SERVERS_PER_HOME * 2 + k);
			catalog_put_state(&world->board.catalog, str_from(home),
					  &state);
		}
	}
}

static void fill_catalog(struct world *world)
{
	int n = n_shards_of(world);
	Backend__ShardInfo **shards = make_shards(n);
	Peer__Map map = PEER__MAP__INIT;

	map.service = (char *)"s";
	map.version = 1;
	map.shards = shards;
	map.n_shards = (size_t)n;
	map.digest = catalog_map_digest(STR("s"), 1, shards, (size_t)n);
	put_states(world, map.digest);
	if (catalog_put_map(&world->board.catalog, &map))
		exit(1);
	free_shards(shards, n);
}

static void world_init(struct world *world, int n_servers, int n_records)
{
	memset(world, 0, sizeof(*world));
	world->n_servers = n_servers;
	world->n_records = n_records;
	clock_init(&world->clock);
	blackboard_init(&world->board, &world->clock, &world->settings, NULL,
			1);
	searches_init(&world->searches, &world->board, &search_ops, world, 1);
	set_table(world);
}

static void world_finish(struct world *world)
{
	searches_finish(&world->searches);
	blackboard_finish(&world->board);
	free(world->sent);
}

static void start_search(struct world *world)
{
	struct search_request request = {
		.request_id = "r",
		.service = "s",
		.where = mem_dup("{}"),
		.mode = world->n_records ? REQUEST_RECORDS : REQUEST_COUNT,
		.limit = RECORDS,
		.deadline_ms = 1000,
	};

	search_start(&world->searches, &request, NULL);
}

/* One server's answer, packed, as a home passes it on. */
static void pack_answer(const struct world *world, const Peer__Query *query,
			const Peer__ServerPart *part, ProtobufCBinaryData *out)
{
	static uint8_t body[RECORD_BYTES];
	Backend__SearchAnswer answer = BACKEND__SEARCH_ANSWER__INIT;
	Backend__ShardPartial partials[SHARDS_PER_SERVER];
	Backend__ShardPartial *pointers[SHARDS_PER_SERVER];
	Backend__Record records[RECORDS];
	Backend__Record *record_pointers[RECORDS];
	char keys[RECORDS][16];
	size_t i;
	int k;

	for (k = 0; k < world->n_records; k++) {
		backend__record__init(&records[k]);
		snprintf(keys[k], sizeof(keys[k]), "%d", k);
		records[k].sort.data = (uint8_t *)keys[k];
		records[k].sort.len = strlen(keys[k]);
		records[k].key = records[k].sort;
		records[k].body.data = body;
		records[k].body.len = sizeof(body);
		record_pointers[k] = &records[k];
	}
	for (i = 0; i < part->n_shards; i++) {
		backend__shard_partial__init(&partials[i]);
		partials[i].shard = part->shards[i];
		partials[i].held = 100;
		partials[i].count = 10;
		partials[i].n_records = (size_t)world->n_records;
		partials[i].records = record_pointers;
		pointers[i] = &partials[i];
	}
	answer.request_id = query->request_id;
	answer.server = part->server;
	answer.version = 1;
	answer.n_shards = part->n_shards;
	answer.shards = pointers;
	out->len = backend__search_answer__get_packed_size(&answer);
	out->data = mem_zalloc(out->len);
	backend__search_answer__pack(&answer, out->data);
}

static Peer__QueryResult *make_result(const struct world *world,
				      const Peer__Query *query)
{
	Peer__QueryResult result = PEER__QUERY_RESULT__INIT;
	Peer__ServerResult *results =
		mem_zalloc(query->n_parts * sizeof(*results));
	Peer__ServerResult **pointers =
		mem_zalloc(query->n_parts * sizeof(*pointers));
	Peer__QueryResult *copy;
	size_t i;

	result.id = query->id;
	result.n_results = query->n_parts;
	result.results = pointers;
	for (i = 0; i < query->n_parts; i++) {
		peer__server_result__init(&results[i]);
		results[i].part = query->parts[i]->part;
		results[i].sent = true;
		results[i].latency_us = 1000;
		pack_answer(world, query, query->parts[i], &results[i].answer);
		pointers[i] = &results[i];
	}
	copy = (Peer__QueryResult *)copy_message(&result.base);
	for (i = 0; i < query->n_parts; i++)
		free(results[i].answer.data);
	free(results);
	free(pointers);
	return copy;
}

/* Answers everything sent; returns the processor time of the entry for it. */
static double answer_all(struct world *world)
{
	Peer__QueryResult **results =
		mem_zalloc((size_t)world->n_sent * sizeof(*results));
	double start;
	double seconds;
	int n = world->n_sent;
	int i;

	for (i = 0; i < n; i++)
		results[i] = make_result(world, world->sent[i].query);
	start = cpu_seconds();
	for (i = 0; i < n; i++)
		searches_result(&world->searches, str_from(world->sent[i].home),
				results[i]);
	seconds = cpu_seconds() - start;
	for (i = 0; i < n; i++) {
		peer__query_result__free_unpacked(results[i], NULL);
		peer__query__free_unpacked(world->sent[i].query, NULL);
	}
	world->n_sent = 0;
	free(results);
	return seconds;
}

static void measure_catalog(int n_servers)
{
	struct world world;
	double heap;
	double start;
	double fill;
	double build;

	world_init(&world, n_servers, 0);
	heap = heap_bytes();
	start = cpu_seconds();
	fill_catalog(&world);
	fill = cpu_seconds() - start;
	start = cpu_seconds();
	if (!catalog_best_placement(&world.board.catalog, STR("s")))
		exit(1);
	build = cpu_seconds() - start;
	printf("{\"measure\":\"catalog\",\"servers\":%d,\"heap_bytes\":%.0f,"
	       "\"fill_us_per_state\":%.3f,\"placement_us\":%.1f}\n",
	       n_servers, heap_bytes() - heap, fill * 1e6 / n_servers / 2,
	       build * 1e6);
	world_finish(&world);
}

/* Shards asked: with two replicas, as many as servers / 2 * 2. */
static void measure_search(int n_servers, int n_records)
{
	struct world world;
	double start_seconds = 0;
	double result_seconds = 0;
	double start;
	int parts = 0;
	int i;

	world_init(&world, n_servers, n_records);
	fill_catalog(&world);
	catalog_best_placement(&world.board.catalog, STR("s"));
	for (i = 0; i < ROUNDS; i++) {
		int k;

		start = cpu_seconds();
		start_search(&world);
		start_seconds += cpu_seconds() - start;
		for (k = 0; k < world.n_sent; k++)
			parts += (int)world.sent[k].query->n_parts;
		result_seconds += answer_all(&world);
	}
	if (world.n_done != ROUNDS || world.covered != ROUNDS) {
		fprintf(stderr, "%d of %d searches done, coverage %.3f\n",
			world.n_done, ROUNDS, world.covered / world.n_done);
		exit(1);
	}
	printf("{\"measure\":\"search\",\"records\":%d,\"shards\":%d,"
	       "\"parts\":%d,\"start_us\":%.2f,\"results_us\":%.2f,"
	       "\"us_per_part\":%.3f}\n",
	       n_records, n_shards_of(&world), parts / ROUNDS,
	       start_seconds * 1e6 / ROUNDS, result_seconds * 1e6 / ROUNDS,
	       (start_seconds + result_seconds) * 1e6 / parts);
	world_finish(&world);
}

static void measure_in_flight(int n_servers)
{
	struct world world;
	double heap;
	int i;

	world_init(&world, n_servers, 0);
	fill_catalog(&world);
	catalog_best_placement(&world.board.catalog, STR("s"));
	heap = heap_bytes();
	for (i = 0; i < IN_FLIGHT; i++) {
		int k;

		start_search(&world);
		/* The kept queries are the bench's, not the entry's. */
		for (k = 0; k < world.n_sent; k++)
			peer__query__free_unpacked(world.sent[k].query, NULL);
		world.n_sent = 0;
	}
	printf("{\"measure\":\"search_in_flight\",\"shards\":%d,"
	       "\"heap_bytes\":%.0f}\n",
	       n_shards_of(&world), (heap_bytes() - heap) / IN_FLIGHT);
	world_finish(&world);
}

int main(void)
{
	static const int catalog_sizes[] = {100, 1000, 3000, 9200};
	static const int shard_counts[] = {10, 100, 730};
	size_t i;

	for (i = 0; i < sizeof(catalog_sizes) / sizeof(int); i++)
		measure_catalog(catalog_sizes[i]);
	for (i = 0; i < sizeof(shard_counts) / sizeof(int); i++) {
		measure_search(shard_counts[i], 0);
		measure_search(shard_counts[i], RECORDS);
		measure_in_flight(shard_counts[i]);
	}
	return 0;
}
