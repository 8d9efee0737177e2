/*
 * Stand-in for the platform's configuration service and instance list. Values
 * keep a short history of revisions to simulate faults of the service: stale
 * data, a restore from a backup, replicas that disagree.
 */
#include "platform.h"

#include <argp.h>
#include <inttypes.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <json-c/json.h>
#include <uthash.h>
#include <utlist.h>

#include "error.h"
#include "mem.h"

#define WAIT_MAX_MS 30000
#define HTTP_NOT_MODIFIED 304
#define HTTP_TOO_MANY_REQUESTS 429

#define VALUES_PREFIX "/v1/values/"
#define CONTROL_VALUES_PREFIX "/control/values/"

/**
 * struct call - an unanswered call of a reader
 * @platform: the stand-in
 * @req: its request
 * @timer: end of the latency, then of the wait
 * @close_event: detects that the reader closes the connection
 * @key: key of the value
 * @after: only a revision above this is answered at once; 0: any revision
 * @until: end of its wait, monotonic microseconds
 * @alternating_index: which of the two alternating revisions it sees
 * @waiting: the latency is over and it waits for a change
 * @prev: previous call
 * @next: next call
 */
struct call {
	struct platform *platform;
	struct evhttp_request *req;
	struct event *timer;
	struct event *close_event;
	char key[STORE_KEY_SIZE];
	uint64_t after;
	int64_t until;
	int alternating_index;
	bool waiting;
	struct call *prev;
	struct call *next;
};

/* Highest revision of the store that is visible to a call. */
static uint64_t visible_revision(const struct call *call)
{
	const struct platform_state *state = &call->platform->state;

	if (state->alternating[0] != STORE_NEWEST)
		return state->alternating[call->alternating_index];
	if (state->old_revision != STORE_NEWEST)
		return state->old_revision;
	return state->stale_revision;
}

static void count_answer(struct platform *platform, const char *key, int status)
{
	struct platform_counter *counter;

	if (!store_get(&platform->store, key, STORE_NEWEST))
		key = "";
	HASH_FIND_STR(platform->counters, key, counter);
	if (!counter) {
		counter = mem_zalloc(sizeof(*counter));
		snprintf(counter->key, sizeof(counter->key), "%s", key);
		HASH_ADD_STR(platform->counters, key, counter);
	}
	counter->by_status[status]++;
}

static void free_call(struct call *call)
{
	struct platform *platform = call->platform;

	if (call->waiting)
		platform->n_waiting--;
	DL_DELETE(platform->calls, call);
	event_free(call->timer);
	event_free(call->close_event);
	free(call);
}

/*
 * The reader closed the connection while it waited. Either evhttp has detached
 * the request from the connection, and it must be freed here, or evhttp frees
 * it with the connection.
 */
static void on_connection_closed(struct evhttp_connection *conn, void *arg)
{
	struct call *call = arg;

	evhttp_connection_set_closecb(conn, NULL, NULL);
	if (!evhttp_request_get_connection(call->req))
		evhttp_request_free(call->req);
	free_call(call);
}

/*
 * evhttp does not read while a request is unanswered and would detect a closed
 * connection only at the end of the wait.
 */
static void on_peer_closed(evutil_socket_t fd, short what, void *arg)
{
	struct call *call = arg;

	(void)fd;
	(void)what;
	evhttp_connection_free(evhttp_request_get_connection(call->req));
}

static void answer(struct call *call, int status, struct str body)
{
	struct evhttp_connection *conn =
		evhttp_request_get_connection(call->req);

	if (conn)
		evhttp_connection_set_closecb(conn, NULL, NULL);
	count_answer(call->platform, call->key, status);
	common_reply(call->req, status, "text/plain", body);
	free_call(call);
}

static void answer_value(struct call *call, const struct store_version *version)
{
	char text[24];

	snprintf(text, sizeof(text), "%" PRIu64, version->revision);
	evhttp_add_header(evhttp_request_get_output_headers(call->req),
			  "X-Revision", text);
	answer(call, HTTP_OK, (struct str){version->data, version->len});
}

static void wait_for_change(struct call *call)
{
	int64_t now = clock_now(&call->platform->clock);
	struct timeval tv = common_timeval(call->until - now);

	if (!call->waiting) {
		call->waiting = true;
		call->platform->n_waiting++;
	}
	evtimer_add(call->timer, &tv);
}

static void answer_or_wait(struct call *call)
{
	const struct store_version *version;

	if (call->platform->state.down) {
		answer(call, HTTP_SERVUNAVAIL, STR(""));
		return;
	}
	version = store_get(&call->platform->store, call->key,
			    visible_revision(call));
	if (!version) {
		answer(call, HTTP_NOTFOUND, STR(""));
		return;
	}
	if (version->revision > call->after) {
		answer_value(call, version);
		return;
	}
	if (clock_now(&call->platform->clock) >= call->until) {
		answer(call, HTTP_NOT_MODIFIED, STR(""));
		return;
	}
	wait_for_change(call);
}

static void on_call_timer(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	answer_or_wait(arg);
}

void platform_answer_waiting(struct platform *platform)
{
	struct call *call;
	struct call *next;

	DL_FOREACH_SAFE (platform->calls, call, next) {
		if (call->waiting)
			answer_or_wait(call);
	}
}

/* Token bucket whose capacity is --burst. */
static bool take_token(struct platform *platform)
{
	int64_t now = clock_now(&platform->clock);
	double rate = platform->options.rate;

	platform->tokens +=
		rate * (double)(now - platform->refilled_at) / USEC_PER_SEC;
	platform->refilled_at = now;
	if (platform->tokens > platform->options.burst)
		platform->tokens = platform->options.burst;
	if (platform->tokens < 1)
		return false;
	platform->tokens -= 1;
	return true;
}

static void reject_over_rate(struct platform *platform,
			     struct evhttp_request *req, const char *key)
{
	double missing = 1 - platform->tokens;
	char text[24];

	snprintf(text, sizeof(text), "%.0f",
		 missing / platform->options.rate * 1000 + 1);
	evhttp_add_header(evhttp_request_get_output_headers(req),
			  "Retry-After-Ms", text);
	count_answer(platform, key, HTTP_TOO_MANY_REQUESTS);
	common_reply_empty(req, HTTP_TOO_MANY_REQUESTS);
}

static void read_query(struct call *call, const struct evhttp_uri *uri)
{
	const char *text = evhttp_uri_get_query(uri);
	struct evkeyvalq query;
	uint64_t wait_ms = 0;

	if (text && !evhttp_parse_query_str(text, &query)) {
		call->after = common_query_u64(&query, "after", 0);
		wait_ms = common_query_u64(&query, "wait_ms", 0);
		evhttp_clear_headers(&query);
	}
	if (wait_ms > WAIT_MAX_MS)
		wait_ms = WAIT_MAX_MS;
	call->until = clock_now(&call->platform->clock) + MSEC(wait_ms);
}

static struct call *add_call(struct platform *platform,
			     struct evhttp_request *req, const char *key)
{
	struct evhttp_connection *conn = evhttp_request_get_connection(req);
	struct bufferevent *bev = evhttp_connection_get_bufferevent(conn);
	struct call *call = mem_zalloc(sizeof(*call));

	call->platform = platform;
	call->req = req;
	call->timer = evtimer_new(platform->server.base, on_call_timer, call);
	call->close_event =
		event_new(platform->server.base, bufferevent_getfd(bev),
			  EV_CLOSED, on_peer_closed, call);
	event_add(call->close_event, NULL);
	snprintf(call->key, sizeof(call->key), "%s", key);
	if (platform->state.alternating[0] != STORE_NEWEST)
		call->alternating_index =
			(int)(platform->state.n_alternating_calls++ % 2);
	read_query(call, evhttp_request_get_evhttp_uri(req));
	DL_APPEND(platform->calls, call);
	evhttp_connection_set_closecb(conn, on_connection_closed, call);
	return call;
}

static void serve_value(struct platform *platform, struct evhttp_request *req,
			const char *key)
{
	struct timeval tv = common_timeval(MSEC(platform->options.latency_ms));
	struct call *call;

	if (evhttp_request_get_command(req) != EVHTTP_REQ_GET) {
		common_reply_empty(req, HTTP_BADMETHOD);
		return;
	}
	platform->n_calls++;
	if (!take_token(platform)) {
		reject_over_rate(platform, req, key);
		return;
	}
	call = add_call(platform, req, key);
	if (platform->options.latency_ms)
		evtimer_add(call->timer, &tv);
	else
		answer_or_wait(call);
}

static void serve(struct evhttp_request *req, void *arg)
{
	const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri(req);
	const char *path = evhttp_uri_get_path(uri);
	size_t control_len = strlen(CONTROL_VALUES_PREFIX);
	size_t len = strlen(VALUES_PREFIX);

	if (path && !strncmp(path, VALUES_PREFIX, len))
		serve_value(arg, req, path + len);
	else if (path && !strncmp(path, CONTROL_VALUES_PREFIX, control_len))
		platform_control_value(arg, req, path + control_len);
	else
		common_reply_empty(req, HTTP_NOTFOUND);
}

static int platform_init(struct platform *platform,
			 const struct platform_options *options)
{
	int ret;

	memset(platform, 0, sizeof(*platform));
	platform->options = *options;
	platform->state.stale_revision = STORE_NEWEST;
	platform->state.old_revision = STORE_NEWEST;
	platform->state.alternating[0] = STORE_NEWEST;
	platform->state.alternating[1] = STORE_NEWEST;
	store_init(&platform->store);
	clock_init(&platform->clock);
	platform->tokens = options->burst;
	platform->refilled_at = clock_now(&platform->clock);
	ret = common_server_init(&platform->server, options->port);
	if (ret)
		return ret;
	evhttp_set_gencb(platform->server.http, serve, platform);
	platform_control_init(platform);
	return 0;
}

static void platform_finish(struct platform *platform)
{
	struct platform_counter *counter;
	struct platform_counter *next_counter;

	while (platform->calls)
		answer(platform->calls, HTTP_SERVUNAVAIL, STR(""));
	platform_control_finish(platform);
	common_server_finish(&platform->server);
	store_finish(&platform->store);
	HASH_ITER (hh, platform->counters, counter, next_counter) {
		HASH_DEL(platform->counters, counter);
		free(counter);
	}
}

enum option_key {
	KEY_PORT = 1000,
	KEY_RATE,
	KEY_BURST,
	KEY_PART_BYTES,
	KEY_LIST_LAG,
	KEY_LATENCY,
};

static const struct argp_option argp_options[] = {
	{"port", KEY_PORT, "N", 0, "port on loopback, 0 for any (0)", 0},
	{"rate", KEY_RATE, "N", 0, "calls a second over all readers (2000)", 0},
	{"burst", KEY_BURST, "N", 0, "calls that may come at once (as --rate)",
	 0},
	{"part-bytes", KEY_PART_BYTES, "N", 0,
	 "a larger table is split into parts of this size (1048576)", 0},
	{"list-lag-ms", KEY_LIST_LAG, "N", 0,
	 "delay until the instance list is published (0)", 0},
	{"latency-ms", KEY_LATENCY, "N", 0, "delay of each answer (0)", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct platform_options *options = state->input;

	switch (key) {
	case KEY_PORT:
		options->port = atoi(arg);
		return 0;
	case KEY_RATE:
		options->rate = atof(arg);
		return 0;
	case KEY_BURST:
		options->burst = atof(arg);
		return 0;
	case KEY_PART_BYTES:
		options->part_bytes = atoll(arg);
		return 0;
	case KEY_LIST_LAG:
		options->list_lag_ms = atoll(arg);
		return 0;
	case KEY_LATENCY:
		options->latency_ms = atoll(arg);
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

static const struct argp argp = {
	.options = argp_options,
	.parser = parse_option,
	.doc = "Stand-in for the platform's configuration service.",
};

int main(int argc, char **argv)
{
	struct platform_options options = {.rate = 2000,
					   .part_bytes = STORE_VALUE_MAX_BYTES};
	struct platform platform;
	int ret;

	argp_parse(&argp, argc, argv, 0, NULL, &options);
	if (options.burst < 1)
		options.burst = options.rate < 1 ? 1 : options.rate;
	if (options.rate <= 0 || options.part_bytes < 1 ||
	    options.part_bytes > STORE_VALUE_MAX_BYTES) {
		fprintf(stderr, "--rate or --part-bytes is out of range\n");
		return 2;
	}
	ret = platform_init(&platform, &options);
	if (ret) {
		fprintf(stderr, "%s\n", error_text(ret));
		return 1;
	}
	common_server_run(&platform.server);
	platform_finish(&platform);
	return 0;
}
