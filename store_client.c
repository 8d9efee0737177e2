#define LOG_MODULE "store_client"
#include "store_client.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>

#include "error.h"
#include "log.h"
#include "loop.h"

/*
 * Limits of an answer, bytes. A page has 1 MB at most, a watch what came since.
 * A store, or a proxy before it, may send without end.
 */
#define HEADERS_MAX_SIZE 65536
#define BODY_MAX_SIZE (16 * 1024 * 1024)

void store_client_init(struct store_client *client, struct event_base *base,
		       const struct store_ops *ops,
		       const struct address *address,
		       void (*answered)(void *arg, enum store_topic topic,
					const struct store_answer *answer),
		       void *arg)
{
	int i;

	memset(client, 0, sizeof(*client));
	client->base = base;
	client->ops = ops;
	client->address = *address;
	client->answered = answered;
	client->arg = arg;
	for (i = 0; i < STORE_TOPICS; i++) {
		client->channels[i].client = client;
		client->channels[i].topic = (enum store_topic)i;
	}
}

/*
 * Also cancels the call under way: after a call that got no answer, the
 * connection may be dead, or a late answer be read as that of the next call.
 */
static void close_connection(struct store_channel *channel)
{
	channel->busy = false;
	if (channel->http)
		evhttp_connection_free(channel->http);
	channel->http = NULL;
}

void store_client_finish(struct store_client *client)
{
	int i;

	for (i = 0; i < STORE_TOPICS; i++)
		close_connection(&client->channels[i]);
}

static void fail(struct store_channel *channel)
{
	struct store_answer answer = {
		.code = channel->too_large ? ERR_TOO_LARGE : ERR_UNAVAILABLE};

	channel->busy = false;
	channel->client->answered(channel->client->arg, channel->topic,
				  &answer);
}

/* Followed by on_answer(). */
static void on_error(enum evhttp_request_error error, void *arg)
{
	struct store_channel *channel = arg;

	channel->too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
}

/* @reply points into @request. */
static void read_reply(const struct store_client *client,
		       struct evhttp_request *request,
		       struct store_reply *reply)
{
	struct evbuffer *body = evhttp_request_get_input_buffer(request);
	size_t len = evbuffer_get_length(body);
	const char *era =
		evhttp_find_header(evhttp_request_get_input_headers(request),
				   client->ops->era_header.data);

	reply->status = evhttp_request_get_response_code(request);
	reply->era = era ? str_from(era) : STR("");
	reply->body = len ? (struct str){(char *)evbuffer_pullup(body, -1), len}
			  : STR("");
}

static void on_answer(struct evhttp_request *request, void *arg)
{
	struct store_channel *channel = arg;
	struct store_client *client = channel->client;
	struct store_answer answer = {.code = 0};
	struct store_reply reply;

	if (!channel->busy)
		return;
	if (!request || !evhttp_request_get_response_code(request)) {
		fail(channel);
		return;
	}
	read_reply(client, request, &reply);
	client->ops->decode_answer(channel->topic, &reply, &answer);
	channel->busy = false;
	client->answered(client->arg, channel->topic, &answer);
	client->ops->release_answer(&answer);
}

static void open_connection(struct store_channel *channel)
{
	const struct store_client *client = channel->client;

	channel->http = evhttp_connection_base_new(client->base, NULL,
						   client->address.ip,
						   client->address.port);
	evhttp_connection_set_max_headers_size(channel->http, HEADERS_MAX_SIZE);
	evhttp_connection_set_max_body_size(channel->http, BODY_MAX_SIZE);
}

void store_client_call(struct store_client *client,
		       const struct store_call *call, int64_t timeout)
{
	struct store_channel *channel = &client->channels[call->topic];
	const struct timeval tv = {timeout / USEC_PER_SEC,
				   timeout % USEC_PER_SEC};
	char host[ADDRESS_TEXT_SIZE];
	char target[STORE_TARGET_SIZE];
	struct evhttp_request *request;

	if (channel->busy)
		close_connection(channel);
	if (!channel->http)
		open_connection(channel);
	evhttp_connection_set_timeout_tv(channel->http, &tv);
	client->ops->format_target(call, target, sizeof(target));
	address_format(&client->address, host, sizeof(host));
	request = evhttp_request_new(on_answer, channel);
	evhttp_request_set_error_cb(request, on_error);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  host);
	channel->busy = true;
	channel->too_large = false;
	client->calls++;
	if (evhttp_make_request(channel->http, request, EVHTTP_REQ_GET,
				target)) {
		LOG_WARN("store_call_failed", LOG_TEXT("target", target));
		fail(channel);
		return;
	}
	/* A new socket takes the default. */
	bufferevent_priority_set(evhttp_connection_get_bufferevent(
					 channel->http),
				 LOOP_STATE);
}
