/*
 * Frames between an entry and a relay, both ways: jobs, results and
 * cancellations of any shape, links that go down in between.
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
#define RECORDS 4

struct world {
	struct clock clock;
	struct settings settings;
	struct blackboard board;
	struct registry registry;
	struct upstream upstream;
	struct gateway_stats stats;
	struct server_queue_net turns;
	struct peers peers;
	struct peer_link in;
	struct peer_link out;
	struct peer_link other;
	struct relay_serve serve;
	struct relay_ask ask;
	struct relay_client client;
	struct upstream_request request;
	struct dispatch_send sends[SERVERS];
	int held;
};

static struct event_base *base;
static bool is_other;

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
 * Each send has one result, from the instance that was asked, and its body is
 * of whole records.
 */
static void on_result(struct dispatch_send *send,
		      const struct dispatch_answer *answer)
{
	if (!send->handle || answer->body.len % 16 || is_other)
		__builtin_trap();
	send->handle = NULL;
}

static void on_hold(void *arg)
{
	struct world *world = arg;

	world->held++;
}

static void on_release(void *arg)
{
	struct world *world = arg;

	if (world->held-- <= 0)
		__builtin_trap();
}

static void add_link(struct world *world, struct peer_link *link, bool outgoing,
		     const char *instance)
{
	link->peers = &world->peers;
	link->outgoing = outgoing;
	link->up = true;
	str_copy(link->instance, sizeof(link->instance), str_from(instance));
	link->bev = bufferevent_socket_new(base, -1, 0);
	DL_APPEND(world->peers.links, link);
}

/* Nothing listens there: a send ends at once or in the next turn. */
static void add_server(struct world *world, int i, const char *data_centre)
{
	struct server_entry entry = {.slots = 2, .id = {(char)('a' + i)}};

	str_copy(entry.service, sizeof(entry.service), STR("s"));
	str_copy(entry.data_centre, sizeof(entry.data_centre),
		 str_from(data_centre));
	address_parse(STR("127.0.0.1:1"), &entry.address);
	registry_put(&world->registry, &entry, 1);
}

static void ask(struct world *world)
{
	int i;

	for (i = 0; i < SERVERS; i++) {
		struct dispatch_send *send = &world->sends[i];
		const char id[] = {(char)('a' + i), 0};

		if (send->handle)
			continue;
		send->server = registry_find(&world->registry, str_from(id));
		if (!strcmp(send->server->entry.data_centre, "here"))
			continue;
		if (relay_ask_send(&world->ask, &world->client, send, "there",
				   NULL, &send->handle))
			send->handle = NULL;
	}
	relay_ask_flush(&world->ask, &world->client);
}

static void start(struct world *world)
{
	struct fleet_member *member;

	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, MSEC(1000000));
	blackboard_init(&world->board, &world->clock, &world->settings, base,
			1);
	member = fleet_find_or_add(&world->board.fleet, STR("far"));
	member->status = FLEET_ALIVE;
	str_copy(member->data_centre, sizeof(member->data_centre),
		 STR("there"));
	registry_init(&world->registry, STR("here"), on_closing, NULL);
	add_server(world, 0, "here");
	add_server(world, 1, "there");
	add_server(world, 2, "there");
	upstream_init(&world->upstream, base, &world->clock,
		      &platform_names.upstream);
	world->peers.board = &world->board;
	add_link(world, &world->in, false, "far");
	add_link(world, &world->out, true, "far");
	add_link(world, &world->other, true, "other");
	gateway_stats_init(&world->stats);
	server_queue_net_init(&world->turns, base, &world->upstream,
			      &world->board.poison, &world->stats);
	world->turns.queues.enabled = true;
	relay_serve_init(&world->serve, &world->board, &world->peers,
			 &world->registry, &world->turns.queues);
	relay_ask_init(&world->ask, &world->board, &world->peers,
		       &world->registry, on_usable, world);
	world->request.head = STR("GET / HTTP/1.1\r\n");
	world->client = (struct relay_client){
		.request = &world->request,
		.deadline = MSEC(1001000),
		.flush_after = MSEC(20),
		.records_max = RECORDS,
		.result = on_result,
		.hold = on_hold,
		.release = on_release,
		.arg = world,
	};
	ask(world);
}

static void finish(struct world *world)
{
	if (world->held)
		__builtin_trap();
	relay_client_finish(&world->ask, &world->client);
	relay_ask_finish(&world->ask);
	relay_serve_finish(&world->serve);
	upstream_finish(&world->upstream);
	registry_finish(&world->registry);
	server_queue_net_finish(&world->turns);
	blackboard_finish(&world->board);
	bufferevent_free(world->in.bev);
	bufferevent_free(world->out.bev);
	bufferevent_free(world->other.bev);
}

static void pass(struct peer_handler *handler, struct peer_link *link,
		 struct frame *frame)
{
	if (handler->types & 1u << frame->type)
		handler->frame(handler->arg, link, frame);
}

static void lose_links(struct world *world)
{
	world->serve.handler.down(&world->serve, &world->in);
	world->ask.handler.down(&world->ask, &world->out);
}

static void take_frame(struct world *world, struct frame *frame)
{
	pass(&world->serve.handler, &world->in, frame);
	is_other = true;
	pass(&world->ask.handler, &world->other, frame);
	is_other = false;
	pass(&world->ask.handler, &world->out, frame);
	if (frame->type == FRAME_FAILURE)
		lose_links(world);
	if (frame->type == FRAME_HELLO)
		ask(world);
	frame_finish(frame);
}

static void drain(struct peer_link *link)
{
	struct evbuffer *out = bufferevent_get_output(link->bev);

	evbuffer_drain(out, evbuffer_get_length(out));
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct evbuffer *in = evbuffer_new();
	static struct world world;
	struct frame frame;

	if (!base)
		base = event_base_new();
	start(&world);
	evbuffer_add(in, data, size);
	while (frame_read(in, &frame) > 0) {
		take_frame(&world, &frame);
		event_base_loop(base, EVLOOP_NONBLOCK);
		clock_advance(&world.clock, MSEC(7));
		drain(&world.in);
		drain(&world.out);
	}
	finish(&world);
	evbuffer_free(in);
	return 0;
}
