/*
 * Measures processor time and memory of an instance's catalog and searches, at
 * several sizes and without sockets. Prints JSON lines.
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
#define SEARCHES 200
#define SEARCHES_IN_FLIGHT 200

/*
 * The state of one instance that receives searches, and the servers it knows.
 * Queries to home instances are recorded, and answered by answer_all().
 */
struct fixture {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
	struct searches searches;
	int n_servers;
	int n_records;
	struct sent_query *sent_queries;
	int n_sent;
	int cap_sent;
	int n_done;
	double covered;
};

struct sent_query {
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

static int record_query(void *arg, struct str home, const Peer__Query *query)
{
	struct fixture *fixture = arg;
	struct sent_query *sent;

	MEM_GROW(fixture->sent_queries, fixture->n_sent, fixture->cap_sent);
	sent = &fixture->sent_queries[fixture->n_sent++];
	str_copy(sent->home, sizeof(sent->home), home);
	sent->query = (Peer__Query *)copy_message(&query->base);
	return 0;
}

static void ignore_cancel(void *arg, struct str home,
			  const Peer__Cancel *cancel)
{
	(void)arg;
	(void)home;
	(void)cancel;
}

static void count_done(void *arg, struct search *search)
{
	struct fixture *fixture = arg;

	fixture->n_done++;
	fixture->covered += search_ratio(search);
}

static const struct search_ops search_ops = {
	.send_query = record_query,
	.cancel = ignore_cancel,
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

static void set_table(struct fixture *fixture)
{
	struct table *table = mem_zalloc(sizeof(*table));
	struct error err = {0};
	size_t len;
	char *text = table_text(fixture->n_servers, &len);

	if (table_init(table, text, len, 1, &err)) {
		fprintf(stderr, "%s: %s\n", err.subject, error_name(err.code));
		exit(1);
	}
	free(text);
	blackboard_set_table(&fixture->board, table);
	catalog_set_table(&fixture->board.catalog, fixture->board.table);
}

/*
 * Shards of the map have equal ranges. Shard i is on all servers of replica
 * group i / 2, as SHARDS_PER_SERVER is 2.
 */
static int shard_count(const struct fixture *fixture)
{
	return fixture->n_servers / REPLICAS * SHARDS_PER_SERVER;
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

static void add_server_states(struct fixture *fixture, uint64_t digest)
{
	int i;
	int k;

	for (i = 0; i < fixture->n_servers; i++) {
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
			catalog_put_state(&fixture->board.catalog,
					  str_from(home), &state);
		}
	}
}

static void fill_catalog(struct fixture *fixture)
{
	int n = shard_count(fixture);
	Backend__ShardInfo **shards = make_shards(n);
	Peer__Map map = PEER__MAP__INIT;

	map.service = (char *)"s";
	map.version = 1;
	map.shards = shards;
	map.n_shards = (size_t)n;
	map.digest = catalog_map_digest(STR("s"), 1, shards, (size_t)n);
	add_server_states(fixture, map.digest);
	if (catalog_put_map(&fixture->board.catalog, &map))
		exit(1);
	free_shards(shards, n);
}

static void fixture_init(struct fixture *fixture, int n_servers, int n_records)
{
	memset(fixture, 0, sizeof(*fixture));
	fixture->n_servers = n_servers;
	fixture->n_records = n_records;
	clock_init(&fixture->clock);
	blackboard_init(&fixture->board, &fixture->clock, &fixture->settings,
			NULL, 1);
	searches_init(&fixture->searches, &fixture->board, &search_ops, fixture,
		      1);
	set_table(fixture);
}

static void fixture_finish(struct fixture *fixture)
{
	searches_finish(&fixture->searches);
	blackboard_finish(&fixture->board);
	free(fixture->sent_queries);
}

static void start_search(struct fixture *fixture)
{
	struct search_request request = {
		.request_id = "r",
		.service = "s",
		.where = mem_dup("{}"),
		.mode = fixture->n_records ? REQUEST_RECORDS : REQUEST_COUNT,
		.limit = RECORDS,
		.deadline_ms = 1000,
	};

	search_start(&fixture->searches, &request, NULL);
}

/* Serialises one server's answer, as its home instance forwards it. */
static void pack_answer(const struct fixture *fixture, const Peer__Query *query,
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

	for (k = 0; k < fixture->n_records; k++) {
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
		partials[i].n_records = (size_t)fixture->n_records;
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

static Peer__QueryResult *make_result(const struct fixture *fixture,
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
		pack_answer(fixture, query, query->parts[i],
			    &results[i].answer);
		pointers[i] = &results[i];
	}
	copy = (Peer__QueryResult *)copy_message(&result.base);
	for (i = 0; i < query->n_parts; i++)
		free(results[i].answer.data);
	free(results);
	free(pointers);
	return copy;
}

/* Answers all queries. Returns the processor seconds spent on the results. */
static double answer_all(struct fixture *fixture)
{
	Peer__QueryResult **results =
		mem_zalloc((size_t)fixture->n_sent * sizeof(*results));
	double start;
	double seconds;
	int n = fixture->n_sent;
	int i;

	for (i = 0; i < n; i++)
		results[i] =
			make_result(fixture, fixture->sent_queries[i].query);
	start = cpu_seconds();
	for (i = 0; i < n; i++)
		searches_result(&fixture->searches,
				str_from(fixture->sent_queries[i].home),
				results[i]);
	seconds = cpu_seconds() - start;
	for (i = 0; i < n; i++) {
		peer__query_result__free_unpacked(results[i], NULL);
		peer__query__free_unpacked(fixture->sent_queries[i].query,
					   NULL);
	}
	fixture->n_sent = 0;
	free(results);
	return seconds;
}

static void measure_catalog(int n_servers)
{
	struct fixture fixture;
	double heap;
	double start;
	double fill_seconds;
	double placement_seconds;

	fixture_init(&fixture, n_servers, 0);
	heap = heap_bytes();
	start = cpu_seconds();
	fill_catalog(&fixture);
	fill_seconds = cpu_seconds() - start;
	start = cpu_seconds();
	if (!catalog_best_placement(&fixture.board.catalog, STR("s")))
		exit(1);
	placement_seconds = cpu_seconds() - start;
	printf("{\"measure\":\"catalog\",\"servers\":%d,\"heap_bytes\":%.0f,"
	       "\"fill_us_per_state\":%.3f,\"placement_us\":%.1f}\n",
	       n_servers, heap_bytes() - heap,
	       fill_seconds * 1e6 / n_servers / 2, placement_seconds * 1e6);
	fixture_finish(&fixture);
}

/* Searches all shards, which are servers / 2 replicas * 2 per server. */
static void measure_search(int n_servers, int n_records)
{
	struct fixture fixture;
	double total_start_seconds = 0;
	double total_result_seconds = 0;
	double start;
	int parts = 0;
	int i;

	fixture_init(&fixture, n_servers, n_records);
	fill_catalog(&fixture);
	catalog_best_placement(&fixture.board.catalog, STR("s"));
	for (i = 0; i < SEARCHES; i++) {
		int k;

		start = cpu_seconds();
		start_search(&fixture);
		total_start_seconds += cpu_seconds() - start;
		for (k = 0; k < fixture.n_sent; k++)
			parts += (int)fixture.sent_queries[k].query->n_parts;
		total_result_seconds += answer_all(&fixture);
	}
	if (fixture.n_done != SEARCHES || fixture.covered != SEARCHES) {
		fprintf(stderr, "%d of %d searches done, coverage %.3f\n",
			fixture.n_done, SEARCHES,
			fixture.covered / fixture.n_done);
		exit(1);
	}
	printf("{\"measure\":\"search\",\"records\":%d,\"shards\":%d,"
	       "\"parts\":%d,\"start_us\":%.2f,\"results_us\":%.2f,"
	       "\"us_per_part\":%.3f}\n",
	       n_records, shard_count(&fixture), parts / SEARCHES,
	       total_start_seconds * 1e6 / SEARCHES,
	       total_result_seconds * 1e6 / SEARCHES,
	       (total_start_seconds + total_result_seconds) * 1e6 / parts);
	fixture_finish(&fixture);
}

static void measure_in_flight(int n_servers)
{
	struct fixture fixture;
	double heap;
	int i;

	fixture_init(&fixture, n_servers, 0);
	fill_catalog(&fixture);
	catalog_best_placement(&fixture.board.catalog, STR("s"));
	heap = heap_bytes();
	for (i = 0; i < SEARCHES_IN_FLIGHT; i++) {
		int k;

		start_search(&fixture);
		/* Recorded queries are not part of the instance's memory. */
		for (k = 0; k < fixture.n_sent; k++)
			peer__query__free_unpacked(
				fixture.sent_queries[k].query, NULL);
		fixture.n_sent = 0;
	}
	printf("{\"measure\":\"search_in_flight\",\"shards\":%d,"
	       "\"heap_bytes\":%.0f}\n",
	       shard_count(&fixture),
	       (heap_bytes() - heap) / SEARCHES_IN_FLIGHT);
	fixture_finish(&fixture);
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
