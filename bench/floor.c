/*
 * Measures the CPU time of the libraries alone: a plain evhttp client on
 * persistent connections, and packing and unpacking the protocol buffers that
 * are exchanged with backend servers.
 */
#include "common.h"

#include <argp.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <json-c/json.h>

#include "backend.pb-c.h"
#include "clock.h"
#include "error.h"
#include "mem.h"

#define REQUEST_PATH "/v1/search"
#define PROTOBUF_TYPE "application/x-protobuf"
#define RECORD_BYTES 200

struct options {
	const char *job;
	int port;
	int connections;
	int64_t requests;
	int body_bytes;
	int shards;
	int records;
};

struct client {
	const struct options *options;
	struct event_base *base;
	char *body;
	int64_t sent;
	int64_t answered;
	int64_t failed;
};

/* A connection of a client. */
struct connection {
	struct client *client;
	struct evhttp_connection *evhttp;
};

/* Wall clock and CPU time at the start of a job, microseconds. */
struct stopwatch {
	struct clock clock;
	int64_t wall_start;
	int64_t cpu_start;
};

static void stopwatch_start(struct stopwatch *stopwatch)
{
	clock_init(&stopwatch->clock);
	stopwatch->wall_start = clock_now(&stopwatch->clock);
	stopwatch->cpu_start = common_cpu_usec();
}

static void put_int(struct json_object *line, const char *key, int64_t value)
{
	json_object_object_add(line, key, json_object_new_int64(value));
}

/* Adds the elapsed times to the results in @line, prints and releases it. */
static void print_results(const struct stopwatch *stopwatch,
			  struct json_object *line)
{
	put_int(line, "cpu_us", common_cpu_usec() - stopwatch->cpu_start);
	put_int(line, "wall_us",
		clock_now(&stopwatch->clock) - stopwatch->wall_start);
	puts(json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN));
	fflush(stdout);
	json_object_put(line);
}

static void on_request(struct evhttp_request *req, void *arg)
{
	const struct options *options = arg;
	char *body = mem_zalloc((size_t)options->body_bytes);

	common_reply(req, HTTP_OK, PROTOBUF_TYPE,
		     (struct str){body, (size_t)options->body_bytes});
	free(body);
}

static int run_server(const struct options *options)
{
	struct common_server server;
	int ret = common_server_init(&server, options->port);

	if (ret)
		return ret;
	evhttp_set_gencb(server.http, on_request, (void *)options);
	common_server_run(&server);
	common_server_finish(&server);
	return 0;
}

static void send_request(struct connection *connection);

static void on_response(struct evhttp_request *req, void *arg)
{
	struct connection *connection = arg;
	struct client *client = connection->client;

	if (req && evhttp_request_get_response_code(req) == HTTP_OK)
		client->answered++;
	else
		client->failed++;
	if (client->sent < client->options->requests)
		send_request(connection);
	else if (client->answered + client->failed == client->sent)
		event_base_loopbreak(client->base);
}

static void send_request(struct connection *connection)
{
	struct client *client = connection->client;
	struct evhttp_request *req =
		evhttp_request_new(on_response, connection);
	struct evkeyvalq *headers = evhttp_request_get_output_headers(req);

	evhttp_add_header(headers, "Host", COMMON_HOST);
	evhttp_add_header(headers, "Content-Type", PROTOBUF_TYPE);
	evbuffer_add(evhttp_request_get_output_buffer(req), client->body,
		     (size_t)client->options->body_bytes);
	client->sent++;
	evhttp_make_request(connection->evhttp, req, EVHTTP_REQ_POST,
			    REQUEST_PATH);
}

/* Closed loop: each connection has one request in flight. */
static int run_client(const struct options *options)
{
	struct connection *connections =
		mem_zalloc((size_t)options->connections * sizeof(*connections));
	struct client client = {
		.options = options,
		.base = event_base_new(),
		.body = mem_zalloc((size_t)options->body_bytes),
	};
	struct json_object *line = json_object_new_object();
	struct stopwatch stopwatch;
	int i;

	stopwatch_start(&stopwatch);
	for (i = 0; i < options->connections; i++) {
		connections[i].client = &client;
		connections[i].evhttp =
			evhttp_connection_base_new(client.base, NULL,
						   COMMON_HOST,
						   (uint16_t)options->port);
		send_request(&connections[i]);
	}
	event_base_dispatch(client.base);
	put_int(line, "connections", options->connections);
	put_int(line, "answered", client.answered);
	put_int(line, "failed", client.failed);
	print_results(&stopwatch, line);
	for (i = 0; i < options->connections; i++)
		evhttp_connection_free(connections[i].evhttp);
	event_base_free(client.base);
	free(client.body);
	free(connections);
	return client.failed ? ERR_IO : 0;
}

/* Sample request and answer; the arrays are owned. */
struct bodies {
	Backend__SearchRequest request;
	Backend__SearchAnswer answer;
	Backend__KeyRange *ranges;
	Backend__ShardPartial *partials;
	Backend__Record record;
	Backend__Record **records;
	uint8_t text[RECORD_BYTES];
};

static void init_partial(struct bodies *bodies, int i, int n_records)
{
	Backend__ShardPartial *partial = &bodies->partials[i];

	backend__key_range__init(&bodies->ranges[i]);
	bodies->ranges[i].lo = (uint32_t)i;
	bodies->ranges[i].hi = (uint32_t)i;
	backend__shard_partial__init(partial);
	partial->shard = &bodies->ranges[i];
	partial->held = 1000;
	partial->count = 100;
	partial->n_records = (size_t)n_records;
	partial->records = bodies->records;
	bodies->request.shards[i] = &bodies->ranges[i];
	bodies->answer.shards[i] = partial;
}

static void bodies_init(struct bodies *bodies, const struct options *options)
{
	size_t n = (size_t)options->shards;
	int i;

	memset(bodies, 0, sizeof(*bodies));
	bodies->ranges = mem_zalloc(n * sizeof(*bodies->ranges));
	bodies->partials = mem_zalloc(n * sizeof(*bodies->partials));
	bodies->records =
		mem_zalloc((size_t)options->records * sizeof(*bodies->records));
	backend__record__init(&bodies->record);
	bodies->record.sort = (ProtobufCBinaryData){16, bodies->text};
	bodies->record.key = (ProtobufCBinaryData){16, bodies->text};
	bodies->record.body = (ProtobufCBinaryData){RECORD_BYTES, bodies->text};
	for (i = 0; i < options->records; i++)
		bodies->records[i] = &bodies->record;
	backend__search_request__init(&bodies->request);
	bodies->request.request_id = "floor-1";
	bodies->request.service = "be-desk-01";
	bodies->request.where = "{\"workspace\":\"ws-12\"}";
	bodies->request.n_shards = n;
	bodies->request.shards =
		mem_zalloc(n * sizeof(*bodies->request.shards));
	backend__search_answer__init(&bodies->answer);
	bodies->answer.request_id = "floor-1";
	bodies->answer.server = "be-desk-01-1";
	bodies->answer.n_shards = n;
	bodies->answer.shards = mem_zalloc(n * sizeof(*bodies->answer.shards));
	for (i = 0; i < options->shards; i++)
		init_partial(bodies, i, options->records);
}

static void bodies_finish(struct bodies *bodies)
{
	free(bodies->request.shards);
	free(bodies->answer.shards);
	free(bodies->records);
	free(bodies->partials);
	free(bodies->ranges);
}

/* Packs requests and unpacks answers, as an instance does. */
static int run_codec(const struct options *options)
{
	struct json_object *line = json_object_new_object();
	struct bodies bodies;
	struct stopwatch stopwatch;
	uint8_t *request;
	uint8_t *answer;
	size_t request_len;
	size_t answer_len;
	int64_t i;

	bodies_init(&bodies, options);
	request_len = backend__search_request__get_packed_size(&bodies.request);
	answer_len = backend__search_answer__get_packed_size(&bodies.answer);
	request = mem_zalloc(request_len);
	answer = mem_zalloc(answer_len);
	backend__search_answer__pack(&bodies.answer, answer);
	stopwatch_start(&stopwatch);
	for (i = 0; i < options->requests; i++) {
		backend__search_request__pack(&bodies.request, request);
		backend__search_answer__free_unpacked(
			backend__search_answer__unpack(NULL, answer_len,
						       answer),
			NULL);
	}
	put_int(line, "shards", options->shards);
	put_int(line, "records", options->records);
	put_int(line, "request_bytes", (int64_t)request_len);
	put_int(line, "answer_bytes", (int64_t)answer_len);
	put_int(line, "answered", options->requests);
	print_results(&stopwatch, line);
	free(request);
	free(answer);
	bodies_finish(&bodies);
	return 0;
}

struct job {
	const char *name;
	int (*run)(const struct options *options);
};

static const struct job jobs[] = {
	{"server", run_server},
	{"client", run_client},
	{"codec", run_codec},
};

enum option_key {
	KEY_PORT = 1000,
	KEY_CONNECTIONS,
	KEY_REQUESTS,
	KEY_BODY_BYTES,
	KEY_SHARDS,
	KEY_RECORDS,
};

static const struct argp_option argp_options[] = {
	{"port", KEY_PORT, "N", 0, "port of the server; 0 for any (0)", 0},
	{"connections", KEY_CONNECTIONS, "N", 0,
	 "persistent connections of the client (1)", 0},
	{"requests", KEY_REQUESTS, "N", 0, "number of requests (100000)", 0},
	{"body-bytes", KEY_BODY_BYTES, "N", 0, "size of each body (200)", 0},
	{"shards", KEY_SHARDS, "N", 0, "shards in a message of codec (1)", 0},
	{"records", KEY_RECORDS, "N", 0, "records of each shard in codec (0)",
	 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct options *options = state->input;

	switch (key) {
	case KEY_PORT:
		options->port = atoi(arg);
		return 0;
	case KEY_CONNECTIONS:
		options->connections = atoi(arg);
		return 0;
	case KEY_REQUESTS:
		options->requests = atoll(arg);
		return 0;
	case KEY_BODY_BYTES:
		options->body_bytes = atoi(arg);
		return 0;
	case KEY_SHARDS:
		options->shards = atoi(arg);
		return 0;
	case KEY_RECORDS:
		options->records = atoi(arg);
		return 0;
	case ARGP_KEY_ARG:
		options->job = arg;
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

static const struct argp argp = {
	.options = argp_options,
	.parser = parse_option,
	.args_doc = "server|client|codec",
	.doc = "Measures the CPU time of the libraries alone. Prints a JSON "
	       "line.",
};

static bool options_valid(const struct options *options)
{
	return options->job && options->connections > 0 &&
	       options->requests >= options->connections &&
	       options->body_bytes > 0 && options->shards > 0 &&
	       options->records >= 0;
}

int main(int argc, char **argv)
{
	struct options options = {
		.connections = 1,
		.requests = 100000,
		.body_bytes = 200,
		.shards = 1,
	};
	size_t i;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	signal(SIGPIPE, SIG_IGN);
	if (options_valid(&options)) {
		for (i = 0; i < sizeof(jobs) / sizeof(jobs[0]); i++) {
			if (!strcmp(jobs[i].name, options.job))
				return jobs[i].run(&options) ? 1 : 0;
		}
	}
	fprintf(stderr, "the mode must be server, client or codec, "
			"and every number in range\n");
	return 2;
}
