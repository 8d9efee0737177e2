#define LOG_MODULE "platform"
#include "platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

#include "log.h"

/* A call may take this much longer than it waits at the platform. */
#define ANSWER_GRACE_S 4
#define VALUE_MAX_BYTES (1024 * 1024)
#define STATUS_OK 200
#define STATUS_NOT_MODIFIED 304
#define STATUS_NOT_FOUND 404
#define STATUS_TOO_MANY 429

static const char *const key_names[] = {
	[READER_TABLE] = "table",
	[READER_INSTANCES] = "instances",
};

static const char *header(struct evhttp_request *request, const char *key)
{
	return evhttp_find_header(evhttp_request_get_input_headers(request),
				  key);
}

static bool read_number(struct evhttp_request *request, const char *key,
			uint64_t *out)
{
	const char *text = header(request, key);

	return text && !str_parse_u64(str_from(text), out);
}

/* Against a value that was cut off: it would be taken for a shorter table. */
static bool is_whole(struct evhttp_request *request, size_t len)
{
	uint64_t announced;

	return read_number(request, "Content-Length", &announced) &&
	       announced == len;
}

static void read_value(struct evhttp_request *request,
		       struct platform_answer *answer)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	size_t len = evbuffer_get_length(body);

	if (!read_number(request, "X-Revision", &answer->revision) ||
	    !is_whole(request, len)) {
		answer->code = ERR_PROTOCOL;
		return;
	}
	answer->newer = true;
	answer->text = STR("");
	if (len)
		answer->text =
			(struct str){(char *)evbuffer_pullup(body, -1), len};
}

static struct platform_answer read_answer(struct evhttp_request *request)
{
	struct platform_answer answer = {.code = ERR_UNAVAILABLE};
	uint64_t retry_ms = 0;
	int status = request ? evhttp_request_get_response_code(request) : 0;

	if (!status)
		return answer;
	read_number(request, "Retry-After-Ms", &retry_ms);
	answer.retry_after_ms = retry_ms < INT32_MAX ? (int64_t)retry_ms : 0;
	switch (status) {
	case STATUS_OK:
		answer.code = 0;
		read_value(request, &answer);
		break;
	case STATUS_NOT_MODIFIED:
		answer.code = 0;
		break;
	case STATUS_NOT_FOUND:
		answer.code = ERR_KEY_MISSING;
		break;
	case STATUS_TOO_MANY:
		answer.code = ERR_BUDGET;
		break;
	}
	return answer;
}

static void turn(struct platform_channel *channel)
{
	int n = channel->platform->board->settings->n_platform;

	channel->address = (channel->address + 1) % n;
}

static void deliver(struct platform_channel *channel,
		    const struct platform_answer *answer)
{
	struct platform *platform = channel->platform;

	channel->busy = false;
	/* Another replica of the service may be up. */
	if (answer->code == ERR_UNAVAILABLE || answer->code == ERR_PROTOCOL)
		turn(channel);
	if (channel->kind == PLATFORM_PART)
		platform->ops->part(platform->arg, channel->id, answer);
	else
		platform->ops->answered(platform->arg,
					channel->kind == PLATFORM_TABLE
						? READER_TABLE
						: READER_INSTANCES,
					channel->id, answer);
}

static void on_answer(struct evhttp_request *request, void *arg)
{
	struct platform_answer answer = read_answer(request);

	deliver(arg, &answer);
}

/* Return: whether the connection leads to the address in use and is good. */
static bool is_connected(const struct platform_channel *channel)
{
	const struct address *want =
		&channel->platform->board->settings->platform[channel->address];
	char *ip;
	uint16_t port;

	if (!channel->http)
		return false;
	evhttp_connection_get_peer(channel->http, &ip, &port);
	return port == want->port && !strcmp(ip, want->ip);
}

static void reconnect(struct platform_channel *channel)
{
	struct blackboard *board = channel->platform->board;
	const struct address *address =
		&board->settings->platform[channel->address];

	if (channel->http)
		evhttp_connection_free(channel->http);
	channel->http = evhttp_connection_base_new(board->base, NULL,
						   address->ip, address->port);
	evhttp_connection_set_max_body_size(channel->http, VALUE_MAX_BYTES);
}

static void start(evutil_socket_t fd, short what, void *arg)
{
	static const struct platform_answer failed = {.code = ERR_UNAVAILABLE};
	struct platform_channel *channel = arg;
	struct evhttp_request *request = evhttp_request_new(on_answer, channel);
	int timeout_s = (int)(channel->wait_ms / 1000) + ANSWER_GRACE_S;

	(void)fd;
	(void)what;
	/* A call under way is given up with its connection. */
	if (channel->busy || !is_connected(channel))
		reconnect(channel);
	channel->busy = true;
	evhttp_connection_set_timeout(channel->http, timeout_s);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  "platform");
	metric_inc(&channel->platform->board->counters.platform_calls);
	if (evhttp_make_request(channel->http, request, EVHTTP_REQ_GET,
				channel->path))
		deliver(channel, &failed);
}

static void start_soon(struct platform_channel *channel, uint64_t id,
		       int64_t wait_ms)
{
	channel->id = id;
	channel->wait_ms = wait_ms;
	event_active(channel->start, EV_TIMEOUT, 1);
}

void platform_call(struct platform *platform, const struct reader_call *call)
{
	struct platform_channel *channel =
		&platform->channels[call->key == READER_TABLE
					    ? PLATFORM_TABLE
					    : PLATFORM_INSTANCES];
	const char *key = key_names[call->key];

	if (call->conditional)
		snprintf(channel->path, sizeof(channel->path),
			 "/v1/values/%s?after=%" PRIu64 "&wait_ms=%" PRId64,
			 key, call->after, call->wait_ms);
	else
		snprintf(channel->path, sizeof(channel->path), "/v1/values/%s",
			 key);
	start_soon(channel, call->id, call->wait_ms);
}

void platform_fetch_part(struct platform *platform, const char *key,
			 uint64_t id)
{
	struct platform_channel *channel = &platform->channels[PLATFORM_PART];
	char *escaped = evhttp_uriencode(key, -1, 0);

	snprintf(channel->path, sizeof(channel->path), "/v1/values/%.150s",
		 escaped);
	free(escaped);
	start_soon(channel, id, 0);
}

void platform_use_next_address(struct platform *platform)
{
	turn(&platform->channels[PLATFORM_TABLE]);
	platform->channels[PLATFORM_PART].address =
		platform->channels[PLATFORM_TABLE].address;
}

void platform_init(struct platform *platform, struct blackboard *board,
		   const struct platform_ops *ops, void *arg)
{
	int i;

	memset(platform, 0, sizeof(*platform));
	platform->board = board;
	platform->ops = ops;
	platform->arg = arg;
	for (i = 0; i < PLATFORM_CHANNELS; i++) {
		struct platform_channel *channel = &platform->channels[i];

		channel->platform = platform;
		channel->kind = i;
		channel->start = evtimer_new(board->base, start, channel);
	}
}

void platform_finish(struct platform *platform)
{
	int i;

	for (i = 0; i < PLATFORM_CHANNELS; i++) {
		struct platform_channel *channel = &platform->channels[i];

		event_free(channel->start);
		if (channel->http)
			evhttp_connection_free(channel->http);
	}
}
