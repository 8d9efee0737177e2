/*
 * Fuzzes the frames between an entry and a relay in both directions: jobs,
 * results and cancellations. Links may go down between frames.
 */
#include "fuzz.h"

#include <string.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <utlist.h>

#include "error.h"
#include "frame.h"
#include "platform/names.h"
#include "relay_ask.h"
#include "relay_serve.h"

#define SERVERS 3
#define RECORDS_MAX 4

/**
 * struct fixture - instance that is both the entry and the relay
 * @in: link from the entry whose jobs it relays
 * @out: link to the relay that it sends jobs to
 * @other: link to an instance that gets no jobs
 * @open_batches: batches of results that have begun and not ended
 */
struct fixture {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
	struct registry registry;
	struct upstream upstream;
	struct gateway_stats stats;
	struct server_queue_net queue_net;
	struct peers peers;
	struct peer_link in;
	struct peer_link out;
	struct peer_link other;
	struct relay_serve serve;
	struct relay_ask ask;
	struct relay_client client;
	struct upstream_request request;
	struct dispatch_send sends[SERVERS];
	int open_batches;
};

static struct event_base *base;
static bool from_other_link;

static void on_closing(void *arg, struct registry_server *server)
{
	(void)arg;
	(void)server;
}

static bool on_usable(void *arg, const struct fleet_member *member)
{
	(void)arg;
	(void)member;
	return true;
}

/*
 * A send gets at most one result, from the instance that it was sent to, and
 * the body consists of whole records.
 */
static void on_result(struct dispatch_send *send,
		      const struct dispatch_answer *answer)
{
	if (!send->handle || answer->body.len % 16 || from_other_link)
		__builtin_trap();
	send->handle = NULL;
}

static void on_begin_batch(void *arg)
{
	struct fixture *fixture = arg;

	fixture->open_batches++;
}

static void on_end_batch(void *arg)
{
	struct fixture *fixture = arg;

	if (fixture->open_batches-- <= 0)
		__builtin_trap();
}

static void add_link(struct fixture *fixture, struct peer_link *link,
		     bool outgoing, const char *instance)
{
	link->peers = &fixture->peers;
	link->outgoing = outgoing;
	link->up = true;
	str_copy(link->instance, sizeof(link->instance), str_from(instance));
	link->bev = bufferevent_socket_new(base, -1, 0);
	DL_APPEND(fixture->peers.links, link);
}

/*
 * Nothing listens on the address: a send fails at once or in the next
 * iteration of the event loop.
 */
static void add_server(struct fixture *fixture, int i, const char *data_centre)
{
	struct server_entry entry = {.slots = 2, .id = {(char)('a' + i)}};

	str_copy(entry.service, sizeof(entry.service), STR("s"));
	str_copy(entry.data_centre, sizeof(entry.data_centre),
		 str_from(data_centre));
	address_parse(STR("127.0.0.1:1"), &entry.address);
	registry_put(&fixture->registry, &entry, 1);
}

static void send_requests(struct fixture *fixture)
{
	int i;

	for (i = 0; i < SERVERS; i++) {
		struct dispatch_send *send = &fixture->sends[i];
		const char id[] = {(char)('a' + i), 0};

		if (send->handle)
			continue;
		send->server = registry_find(&fixture->registry, str_from(id));
		if (!strcmp(send->server->entry.data_centre, "here"))
			continue;
		if (relay_ask_send(&fixture->ask, &fixture->client, send,
				   "there", NULL, &send->handle))
			send->handle = NULL;
	}
	relay_ask_flush(&fixture->ask, &fixture->client);
}

static void fixture_init(struct fixture *fixture)
{
	struct fleet_member *member;

	memset(fixture, 0, sizeof(*fixture));
	clock_init_paused(&fixture->clock, MSEC(1000000));
	blackboard_init(&fixture->board, &fixture->clock, &fixture->settings,
			base, 1);
	member = fleet_find_or_add(&fixture->board.fleet, STR("far"));
	member->status = FLEET_ALIVE;
	str_copy(member->data_centre, sizeof(member->data_centre),
		 STR("there"));
	registry_init(&fixture->registry, STR("here"), on_closing, NULL);
	add_server(fixture, 0, "here");
	add_server(fixture, 1, "there");
	add_server(fixture, 2, "there");
	upstream_init(&fixture->upstream, base, &fixture->clock,
		      &platform_names.upstream);
	fixture->peers.board = &fixture->board;
	add_link(fixture, &fixture->in, false, "far");
	add_link(fixture, &fixture->out, true, "far");
	add_link(fixture, &fixture->other, true, "other");
	gateway_stats_init(&fixture->stats);
	server_queue_net_init(&fixture->queue_net, base, &fixture->upstream,
			      &fixture->board.poison, &fixture->stats);
	fixture->queue_net.queues.enabled = true;
	relay_serve_init(&fixture->serve, &fixture->board, &fixture->peers,
			 &fixture->registry, &fixture->queue_net.queues);
	relay_ask_init(&fixture->ask, &fixture->board, &fixture->peers,
		       &fixture->registry, on_usable, fixture);
	fixture->request.head = STR("GET / HTTP/1.1\r\n");
	fixture->client = (struct relay_client){
		.request = &fixture->request,
		.deadline = MSEC(1001000),
		.flush_after = MSEC(20),
		.records_max = RECORDS_MAX,
		.result = on_result,
		.begin_batch = on_begin_batch,
		.end_batch = on_end_batch,
		.arg = fixture,
	};
	send_requests(fixture);
}

static void fixture_finish(struct fixture *fixture)
{
	if (fixture->open_batches)
		__builtin_trap();
	relay_client_finish(&fixture->ask, &fixture->client);
	relay_ask_finish(&fixture->ask);
	relay_serve_finish(&fixture->serve);
	upstream_finish(&fixture->upstream);
	registry_finish(&fixture->registry);
	server_queue_net_finish(&fixture->queue_net);
	blackboard_finish(&fixture->board);
	bufferevent_free(fixture->in.bev);
	bufferevent_free(fixture->out.bev);
	bufferevent_free(fixture->other.bev);
}

static void handle_frame(struct peer_handler *handler, struct peer_link *link,
			 struct frame *frame)
{
	if (handler->types & 1u << frame->type)
		handler->frame(handler->arg, link, frame);
}

static void drop_links(struct fixture *fixture)
{
	fixture->serve.handler.down(&fixture->serve, &fixture->in);
	fixture->ask.handler.down(&fixture->ask, &fixture->out);
}

static void process_frame(struct fixture *fixture, struct frame *frame)
{
	handle_frame(&fixture->serve.handler, &fixture->in, frame);
	from_other_link = true;
	handle_frame(&fixture->ask.handler, &fixture->other, frame);
	from_other_link = false;
	handle_frame(&fixture->ask.handler, &fixture->out, frame);
	if (frame->type == FRAME_FAILURE)
		drop_links(fixture);
	if (frame->type == FRAME_HELLO)
		send_requests(fixture);
	frame_finish(frame);
}

static void discard_output(struct peer_link *link)
{
	struct evbuffer *out = bufferevent_get_output(link->bev);

	evbuffer_drain(out, evbuffer_get_length(out));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct evbuffer *in = evbuffer_new();
	static struct fixture fixture;
	struct frame frame;

	if (!base)
		base = event_base_new();
	fixture_init(&fixture);
	evbuffer_add(in, data, size);
	while (frame_read(in, &frame) > 0) {
		process_frame(&fixture, &frame);
		event_base_loop(base, EVLOOP_NONBLOCK);
		clock_advance(&fixture.clock, MSEC(7));
		discard_output(&fixture.in);
		discard_output(&fixture.out);
	}
	fixture_finish(&fixture);
	evbuffer_free(in);
	return 0;
}
