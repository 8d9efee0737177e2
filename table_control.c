#define LOG_MODULE "table_control"
#include "table_control.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/util.h>

#include "instances.h"
#include "log.h"
#include "mem.h"

#define TICK_MS 50

static void on_platform_answered(void *arg, enum reader_key key, uint64_t id,
				 const struct platform_answer *answer);
static void on_platform_part(void *arg, uint64_t id,
			     const struct platform_answer *answer);

/* What the module wants done. */

static void on_call(void *ctx, const struct reader_call *call)
{
	struct table_control *control = ctx;

	platform_call(&control->platform, call);
}

static void on_fetch_part(void *ctx, const char *key, uint64_t id)
{
	struct table_control *control = ctx;

	platform_fetch_part(&control->platform, key, id);
}

static void send_frame(struct table_control *control, const char *peer,
		       enum frame_type type, const ProtobufCMessage *message)
{
	struct peer_link *link = peers_find(control->peers, str_from(peer));

	if (link)
		peer_send(link, type, message);
}

static void on_send_digest(void *ctx, const char *peer,
			   const Peer__TableDigest *message)
{
	send_frame(ctx, peer, FRAME_TABLE_DIGEST, &message->base);
}

static void on_send_request(void *ctx, const char *peer,
			    const Peer__TableRequest *message)
{
	send_frame(ctx, peer, FRAME_TABLE_REQUEST, &message->base);
}

static void on_send_update(void *ctx, const char *peer,
			   const Peer__TableUpdate *message)
{
	send_frame(ctx, peer, FRAME_TABLE_UPDATE, &message->base);
}

static void on_in_force(void *ctx, struct table *table)
{
	struct table_control *control = ctx;
	struct blackboard *board = control->board;

	metric_set(&board->counters.table_revision, (int64_t)table->revision);
	blackboard_set_table(board, table);
}

static void on_instances(void *ctx, struct str text, uint64_t revision)
{
	struct table_control *control = ctx;

	if (list_sync_platform_list(&control->list, text, revision) ==
	    ERR_SYNTAX)
		LOG_WARN("instances_bad", LOG_U64("revision", revision));
}

static void on_send_list_request(void *ctx, const char *peer,
				 const Peer__ListRequest *message)
{
	send_frame(ctx, peer, FRAME_LIST_REQUEST, &message->base);
}

static void on_send_list_update(void *ctx, const char *peer,
				const Peer__ListUpdate *message)
{
	send_frame(ctx, peer, FRAME_LIST_UPDATE, &message->base);
}

static void on_list_taken(void *ctx, struct str text)
{
	struct table_control *control = ctx;
	const struct instance_list *list = list_sync_newest(&control->list);

	control->sync.list_revision = list->revision;
	control->sync.list_digest = list->digest;
	if (!instances_apply(&control->board->listed, text))
		blackboard_notify(control->board, BLACKBOARD_INSTANCES);
}

static const struct list_sync_ops list_ops = {
	.send_request = on_send_list_request,
	.send_update = on_send_list_update,
	.taken = on_list_taken,
};

static const struct table_sync_ops sync_ops = {
	.call = on_call,
	.fetch_part = on_fetch_part,
	.send_digest = on_send_digest,
	.send_request = on_send_request,
	.send_update = on_send_update,
	.in_force = on_in_force,
	.instances = on_instances,
};

/* What the module's decisions mean for the others. */

static void publish_refusal(struct blackboard *board,
			    const struct table_sync *sync)
{
	bool active = sync->alarms[TABLE_ALARM_REFUSED].active;

	memset(&board->table_refused, 0, sizeof(board->table_refused));
	board->table_refused_revision = 0;
	if (!active)
		return;
	board->table_refused = sync->refused.error;
	board->table_refused_revision = sync->refused.revision;
}

static void publish_counts(struct counters *counters,
			   const struct table_sync *sync)
{
	const struct table_sync_counts *counts = &sync->counts;
	int alarms = 0;
	int i;

	for (i = 0; i < TABLE_ALARMS; i++)
		alarms += sync->alarms[i].active;
	metric_set(&counters->table_alarms, alarms);
	metric_set(&counters->table_refused, (int64_t)counts->refused);
	metric_set(&counters->table_stale, (int64_t)counts->stale);
	metric_set(&counters->table_conflicts, (int64_t)counts->conflicts);
	metric_set(&counters->table_by_delta, (int64_t)counts->by_delta);
	metric_set(&counters->table_pulls, (int64_t)counts->pulls);
	metric_set(&counters->table_pull_timeouts,
		   (int64_t)counts->pull_timeouts);
}

static void publish(struct table_control *control)
{
	struct blackboard *board = control->board;
	const struct table_sync *sync = &control->sync;

	board->table_confirmed_at = sync->confirmed_at;
	publish_refusal(board, sync);
	publish_counts(&board->counters, sync);
	if (board->lifecycle != LIFECYCLE_STARTING || table_sync_ready(sync))
		return;
	board->lifecycle = LIFECYCLE_SERVING;
	blackboard_notify(board, BLACKBOARD_LIFECYCLE);
}

/* Events. */

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct table_control *control = arg;

	(void)fd;
	(void)what;
	control->sync.reader.watches[READER_INSTANCES].after =
		list_sync_newest(&control->list)->revision;
	table_sync_tick(&control->sync);
	list_sync_tick(&control->list);
	publish(control);
}

static void on_platform_answered(void *arg, enum reader_key key, uint64_t id,
				 const struct platform_answer *answer)
{
	struct table_control *control = arg;
	uint64_t stale = control->sync.counts.stale;

	table_sync_receive_answer(&control->sync, key, id, answer);
	/* This replica may have stopped following, and others not. */
	if (control->sync.counts.stale != stale)
		platform_use_next_address(&control->platform);
	publish(control);
}

static void on_platform_part(void *arg, uint64_t id,
			     const struct platform_answer *answer)
{
	struct table_control *control = arg;

	table_sync_receive_part(&control->sync, id, answer);
	publish(control);
}

static const struct platform_ops platform_ops = {
	.answered = on_platform_answered,
	.part = on_platform_part,
};

static void take_digest(struct table_control *control, const char *peer,
			const Peer__TableDigest *message)
{
	list_sync_peer_revision(&control->list, peer, message->list_revision,
				message->list_digest);
	table_sync_receive_digest(&control->sync, peer, message);
}

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	struct table_control *control = arg;

	switch (frame->type) {
	case FRAME_LIST_REQUEST:
		list_sync_request(&control->list, link->instance,
				  (const Peer__ListRequest *)frame->message);
		break;
	case FRAME_LIST_UPDATE:
		list_sync_update(&control->list, link->instance,
				 (const Peer__ListUpdate *)frame->message);
		break;
	case FRAME_TABLE_DIGEST:
		take_digest(control, link->instance,
			    (const Peer__TableDigest *)frame->message);
		break;
	case FRAME_TABLE_REQUEST:
		table_sync_receive_request(&control->sync, link->instance,
					   (const Peer__TableRequest *)
						   frame->message);
		break;
	case FRAME_TABLE_UPDATE:
		table_sync_receive_update(&control->sync, link->instance,
					  (const Peer__TableUpdate *)
						  frame->message);
		break;
	default:
		return;
	}
	publish(control);
}

void table_control_receive_heartbeat(struct table_control *control,
				     const char *peer, uint64_t revision,
				     uint64_t digest, uint32_t age_ms)
{
	table_sync_receive_heartbeat(&control->sync, peer, revision, digest,
				     age_ms);
	publish(control);
}

static bool is_leaving(const struct blackboard *board,
		       const struct fleet_member *member)
{
	if (member->status == FLEET_LEAVING)
		return true;
	return board->lifecycle >= LIFECYCLE_LEAVING &&
	       !strcmp(member->instance, board->settings->instance);
}

/* Suspects count: a reader that is only slow must not change every time. */
static void on_fleet(void *arg)
{
	struct table_control *control = arg;
	struct fleet *fleet = &control->board->fleet;
	struct table_member *members =
		mem_zalloc(HASH_COUNT(fleet->members) * sizeof(*members));
	struct fleet_member *member;
	struct fleet_member *next;
	int n = 0;

	HASH_ITER (hh, fleet->members, member, next) {
		members[n].instance = str_from(member->instance);
		members[n].data_centre = str_from(member->data_centre);
		members[n].leaving = is_leaving(control->board, member);
		n++;
	}
	table_sync_set_members(&control->sync, members, n);
	free(members);
}

static uint64_t draw_seed(void)
{
	uint64_t seed;

	evutil_secure_rng_get_bytes(&seed, sizeof(seed));
	return seed;
}

static void add_handler(struct table_control *control)
{
	control->handler.frame = on_frame;
	control->handler.types =
		1u << FRAME_LIST_REQUEST | 1u << FRAME_LIST_UPDATE |
		1u << FRAME_TABLE_DIGEST | 1u << FRAME_TABLE_REQUEST |
		1u << FRAME_TABLE_UPDATE;
	control->handler.arg = control;
	peers_add_handler(control->peers, &control->handler);
}

void table_control_init(struct table_control *control, struct blackboard *board,
			struct peers *peers)
{
	static const struct timeval period = {0, TICK_MS * 1000};
	const struct settings *settings = board->settings;

	memset(control, 0, sizeof(*control));
	control->board = board;
	control->peers = peers;
	platform_init(&control->platform, board, &platform_ops, control);
	table_sync_init(&control->sync, board->clock, settings->instance,
			settings->data_centre, &sync_ops, control, draw_seed());
	list_sync_init(&control->list, board->clock, &control->sync.peers,
		       &control->sync.reader, &list_ops, control);
	board->table_sync = &control->sync;
	add_handler(control);
	blackboard_watch(board, BLACKBOARD_FLEET, &control->fleet_watch,
			 on_fleet, control);
	blackboard_watch(board, BLACKBOARD_LIFECYCLE, &control->lifecycle_watch,
			 on_fleet, control);
	control->timer =
		event_new(board->base, -1, EV_PERSIST, on_timer, control);
	event_add(control->timer, &period);
}

void table_control_finish(struct table_control *control)
{
	event_free(control->timer);
	platform_finish(&control->platform);
	control->board->table_sync = NULL;
	list_sync_finish(&control->list);
	table_sync_finish(&control->sync);
}
