#include "matrix_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define LINK_DELAY_US 300
#define SERVER_DELAY_US 200
#define SERVER_LATENCY_US 4000
#define TICK_US 1000
#define STATE_DELAY_US 2000
#define LOST_AFTER_US 2000
#define WORD_OF_LEAVING_US MSEC(500)
#define SLOTS 4

enum event_kind {
	EVENT_TICK,
	EVENT_QUERY,
	EVENT_RESULT,
	EVENT_CANCEL,
	EVENT_STATES,
	EVENT_LINK_LOST,
	EVENT_START,
	EVENT_END,
	EVENT_SERVER_LOST,
	EVENT_CANCEL_JOB,
	EVENT_STEP,
	EVENT_NONE,
};

/*
 * @from and @to are instances; for EVENT_START and EVENT_END @to is the home
 * and @server the server. @life is that of whom the event concerns: events of
 * an earlier life of a process are dropped.
 */
struct world_event {
	int64_t at;
	uint64_t sequence;
	enum event_kind kind;
	int from;
	int to;
	int server;
	uint32_t from_life;
	uint32_t to_life;
	uint32_t server_life;
	uint64_t id;
	uint32_t part;
	bool runs;
	uint8_t *data;
	size_t len;
};

int world_shards(uint64_t version)
{
	return version == WORLD_NEW_VERSION ? 8 : 4;
}

uint64_t world_held(uint64_t version)
{
	return version == WORLD_NEW_VERSION ? 6 : 10;
}

uint64_t world_count(uint64_t version)
{
	static const uint64_t counts[] = {0, 5, 2, 7};

	return counts[version];
}

uint64_t world_random(struct world *world, uint64_t below)
{
	world->random ^= world->random << 13;
	world->random ^= world->random >> 7;
	world->random ^= world->random << 17;
	return world->random % below;
}

static struct world_event *post(struct world *world, int64_t delay,
				enum event_kind kind)
{
	struct world_event *event;

	MEM_GROW(world->events, world->n_events, world->cap_events);
	event = &world->events[world->n_events++];
	memset(event, 0, sizeof(*event));
	event->at = clock_now(&world->clock) + delay;
	event->sequence = world->sequence++;
	event->kind = kind;
	return event;
}

static void set_message(struct world_event *event,
			const ProtobufCMessage *message)
{
	event->len = protobuf_c_message_get_packed_size(message);
	event->data = mem_zalloc(event->len);
	protobuf_c_message_pack(message, event->data);
}

static void post_frame(struct world *world, enum event_kind kind, int from,
		       int to, const ProtobufCMessage *message)
{
	struct world_event *event =
		post(world, LINK_DELAY_US + (int64_t)world_random(world, 100),
		     kind);

	event->from = from;
	event->to = to;
	event->from_life = world->instances[from].life;
	event->to_life = world->instances[to].life;
	set_message(event, message);
}

static void reach(struct world *world, enum request_step step, int home,
		  int server)
{
	if (world->reached[step])
		return;
	world->reached[step] = true;
	if (home >= 0)
		world->target_home = home;
	if (server >= 0)
		world->target_server = server;
	/* Not from inside a module: a fault may end its process. */
	post(world, 0, EVENT_STEP)->id = step;
}

static int index_of(struct str name)
{
	return name.data[name.len - 1] - '0';
}

static bool is_target(const char *request_id)
{
	return !strncmp(request_id, "target", 6);
}

/* Entry. */

static int send_query(void *arg, struct str home, const Peer__Query *query)
{
	struct world_instance *self = arg;
	int to = index_of(home);

	/* A connection to a process that ended is known to be gone. */
	if (!self->world->instances[to].is_alive &&
	    !self->world->instances[to].is_unnoticed)
		return ERR_UNAVAILABLE;
	post_frame(self->world, EVENT_QUERY, self->index, to, &query->base);
	if (is_target(query->request_id))
		reach(self->world, STEP_ROUTED, to, -1);
	return 0;
}

static void send_cancel(void *arg, struct str home, const Peer__Cancel *cancel)
{
	struct world_instance *self = arg;

	post_frame(self->world, EVENT_CANCEL, self->index, index_of(home),
		   &cancel->base);
}

static void on_done(void *arg, struct search *search)
{
	struct world_instance *self = arg;
	struct world *world = self->world;
	struct world_outcome *out = search->owner;

	out->n++;
	out->code = search->code;
	out->maybe_ran = search->maybe_ran;
	out->version = search->map ? search->map->version : 0;
	out->n_shards = search->map ? search->map->n_shards : 0;
	out->count = search->count;
	out->covered = search->covered;
	out->total = search_total(search);
	out->answered = search->n_answered;
	out->n_requests = search->n_requests;
	out->at = clock_now(&world->clock);
	if (out == &world->outcomes[0])
		reach(world, STEP_RETURNED, -1, -1);
}

static const struct search_ops search_ops = {
	.send_query = send_query,
	.cancel = send_cancel,
	.done = on_done,
};

/* Home. */

static void start_job(void *arg, struct home_job *job)
{
	struct world_instance *self = arg;
	struct world *world = self->world;
	int server = index_of(str_from(job->server->name));
	struct world_event *event = post(world, SERVER_DELAY_US, EVENT_START);

	if (clock_now(&world->clock) >= job->query->deadline_at)
		world->late_sends++;
	if (job->server->in_flight > job->server->slots)
		world->above_share++;
	event->to = self->index;
	event->to_life = self->life;
	event->server = server;
	event->server_life = world->servers[server].life;
	event->id = job->query->message->id;
	event->from = *(int *)job->query->link;
	event->part = job->part;
	set_message(event, &job->query->message->base);
	if (is_target(job->query->message->request_id))
		reach(world, STEP_SENT, self->index, server);
}

static void cancel_job(void *arg, struct home_job *job)
{
	struct world_instance *self = arg;
	struct world_event *event =
		post(self->world, SERVER_DELAY_US, EVENT_CANCEL_JOB);

	event->to = self->index;
	event->to_life = self->life;
	event->id = job->query->message->id;
	event->part = job->part;
	event->from = job->query->link ? *(int *)job->query->link : -1;
}

static void reply(void *arg, void *link, const Peer__QueryResult *result)
{
	struct world_instance *self = arg;

	post_frame(self->world, EVENT_RESULT, self->index, *(int *)link,
		   &result->base);
}

static void want_flush(void *arg)
{
	struct world_instance *self = arg;

	self->flush_wanted = true;
}

static const struct home_ops home_ops = {
	.start = start_job,
	.cancel = cancel_job,
	.reply = reply,
	.want_flush = want_flush,
};

/* The job that a server's event is about, if it is still running. */
static struct home_job *find_job(struct world_instance *home,
				 const struct world_event *event)
{
	struct home_query *query;
	int i;

	for (query = home->home.queries; query; query = query->next) {
		if (query->message->id != event->id)
			continue;
		if (query->link && event->from >= 0 &&
		    *(int *)query->link != event->from)
			continue;
		for (i = 0; i < query->n_jobs; i++) {
			struct home_job *job = &query->jobs[i];

			if (job->part == event->part &&
			    job->state == HOME_JOB_RUNNING)
				return job;
		}
	}
	return NULL;
}

static void end_job(struct world *world, const struct world_event *event,
		    int code, bool sent, struct str answer)
{
	struct world_instance *home = &world->instances[event->to];
	struct home_job *job = find_job(home, event);

	if (job)
		home_job_done(&home->home, job, code, sent, 0, answer);
}

/* Backend servers. */

static bool holds(const struct world_server *server, uint64_t version, int lo)
{
	int shard = lo / (CATALOG_POINTS / world_shards(version));

	if (!(server->versions & 1u << version))
		return false;
	return shard / (world_shards(version) / 2) == server->index / 2;
}

static void fill_partial(const struct world_server *server, uint64_t version,
			 Backend__KeyRange *range, Backend__ShardPartial *out)
{
	backend__shard_partial__init(out);
	out->shard = range;
	if (!holds(server, version, (int)range->lo)) {
		out->status = BACKEND__SHARD_STATUS__SHARD_NOT_HELD;
		return;
	}
	if (server->answers_wrong_version)
		version = WORLD_TWIN_VERSION;
	out->held = world_held(version) + server->answers_wrong_held;
	out->count = world_count(version);
}

static const Peer__ServerPart *find_part(const Peer__Query *query,
					 uint32_t part)
{
	size_t i;

	for (i = 0; i < query->n_parts; i++) {
		if (query->parts[i]->part == part)
			return query->parts[i];
	}
	return NULL;
}

static void answer_job(struct world *world, const struct world_event *event,
		       const Peer__Query *query)
{
	struct world_server *server = &world->servers[event->server];
	const Peer__ServerPart *part = find_part(query, event->part);
	Backend__SearchAnswer answer = BACKEND__SEARCH_ANSWER__INIT;
	Backend__ShardPartial partials[16];
	Backend__ShardPartial *pointers[16];
	uint8_t packed[1024];
	size_t i;

	for (i = 0; i < part->n_shards; i++) {
		fill_partial(server, query->version, part->shards[i],
			     &partials[i]);
		pointers[i] = &partials[i];
	}
	answer.request_id = query->request_id;
	answer.server = server->name;
	answer.version = server->answers_wrong_version ? WORLD_TWIN_VERSION
						       : query->version;
	answer.n_shards = part->n_shards;
	answer.shards = pointers;
	i = backend__search_answer__pack(&answer, packed);
	if (is_target(query->request_id))
		reach(world, STEP_ANSWERED, event->to, server->index);
	end_job(world, event, 0, true, (struct str){(char *)packed, i});
}

static int refusal_of(const struct world_server *server,
		      const Peer__Query *query)
{
	if (server->is_draining)
		return ERR_DRAINING;
	if (server->sheds)
		return ERR_SHED;
	if (!(server->versions & 1u << query->version))
		return ERR_WRONG_VERSION;
	return server->running >= SLOTS ? ERR_NO_SLOT : 0;
}

static void post_end(struct world *world, const struct world_event *start,
		     int64_t delay)
{
	struct world_event event = *start;
	struct world_event *end = post(world, delay, EVENT_END);
	int64_t at = end->at;
	uint64_t sequence = end->sequence;

	*end = event;
	end->at = at;
	end->sequence = sequence;
	end->kind = EVENT_END;
	end->runs = true;
	end->data = mem_zalloc(event.len);
	memcpy(end->data, event.data, event.len);
}

static void note_start(struct world *world, struct world_server *server,
		       const Peer__Query *query)
{
	server->running++;
	if (server->running > server->most_running)
		server->most_running = server->running;
	if (server->leaving_at &&
	    clock_now(&world->clock) > server->leaving_at + MSEC(3000))
		server->late_starts++;
	if (is_target(query->request_id))
		server->runs_of_target++;
}

static void on_start(struct world *world, const struct world_event *event)
{
	struct world_server *server = &world->servers[event->server];
	const struct str none = {NULL, 0};
	Peer__Query *query;
	int code;

	if (!server->is_alive || server->life != event->server_life) {
		end_job(world, event, ERR_CONNECT, false, none);
		return;
	}
	query = peer__query__unpack(NULL, event->len, event->data);
	code = refusal_of(server, query);
	if (code) {
		end_job(world, event, code, true, none);
	} else {
		note_start(world, server, query);
		post_end(world, event, server->latency * server->slow_factor);
		if (is_target(query->request_id))
			reach(world, STEP_RUNNING, event->to, event->server);
		if (server->crash_on_target && is_target(query->request_id))
			world_kill_server(world, event->server);
	}
	peer__query__free_unpacked(query, NULL);
}

static void on_end(struct world *world, const struct world_event *event)
{
	struct world_server *server = &world->servers[event->server];
	Peer__Query *query;

	if (server->life != event->server_life)
		return;
	server->running--;
	query = peer__query__unpack(NULL, event->len, event->data);
	answer_job(world, event, query);
	peer__query__free_unpacked(query, NULL);
}

/* What homes tell entries. */

static void fill_map(uint64_t version, Backend__ShardInfo *shards,
		     Backend__KeyRange *ranges, Backend__ShardInfo **pointers)
{
	int n = world_shards(version);
	int i;

	for (i = 0; i < n; i++) {
		backend__key_range__init(&ranges[i]);
		ranges[i].lo = (uint32_t)(CATALOG_POINTS / n * i);
		ranges[i].hi = (uint32_t)(CATALOG_POINTS / n * (i + 1) - 1);
		backend__shard_info__init(&shards[i]);
		shards[i].shard = &ranges[i];
		shards[i].held = world_held(version);
		pointers[i] = &shards[i];
	}
}

static uint64_t put_map(struct world_instance *entry, uint64_t version)
{
	Backend__ShardInfo shards[16];
	Backend__KeyRange ranges[16];
	Backend__ShardInfo *pointers[16];
	Peer__Map map = PEER__MAP__INIT;

	fill_map(version, shards, ranges, pointers);
	map.service = (char *)"desk";
	map.version = version;
	map.n_shards = (size_t)world_shards(version);
	map.shards = pointers;
	map.digest = catalog_map_digest(STR("desk"), version, pointers,
					map.n_shards);
	catalog_put_map(&entry->board.catalog, &map);
	return map.digest;
}

static void fill_state(const struct world_server *server, uint32_t slots,
		       Peer__ServerState *state)
{
	peer__server_state__init(state);
	state->server = (char *)server->name;
	state->service = (char *)"desk";
	state->slots = slots;
	state->connections = slots;
	state->reachable = server->is_alive;
	state->draining = server->is_draining;
}

static void put_state(struct world_instance *entry,
		      const struct world_instance *home,
		      const struct world_server *server, uint32_t slots)
{
	Peer__ServerState state;
	Peer__Held held[2];
	Peer__Held *pointers[2];
	uint32_t here[2][8];
	uint64_t version;
	int pass;

	fill_state(server, slots, &state);
	state.held = pointers;
	for (version = WORLD_OLD_VERSION; version <= WORLD_NEW_VERSION;
	     version++) {
		size_t n = state.n_held;
		int half = world_shards(version) / 2;
		int i;

		if (!(server->versions & 1u << version))
			continue;
		for (i = 0; i < half; i++)
			here[n][i] = (uint32_t)(server->index / 2 * half + i);
		peer__held__init(&held[n]);
		held[n].version = version;
		held[n].map_digest = put_map(entry, version);
		held[n].n_here = (size_t)half;
		held[n].here = here[n];
		pointers[state.n_held++] = &held[n];
	}
	/* Twice: the first makes the digests known, the maps come after. */
	for (pass = 0; pass < 2; pass++) {
		catalog_put_state(&entry->board.catalog, str_from(home->name),
				  &state);
		for (version = WORLD_OLD_VERSION;
		     version <= WORLD_NEW_VERSION && !pass; version++)
			put_map(entry, version);
	}
}

static bool is_cut(const struct world *world, int a, int b)
{
	return world->instances[a].cut_from & 1u << b;
}

static bool is_home_of(int instance, int server)
{
	return instance == server % WORLD_INSTANCES ||
	       instance == (server + 1) % WORLD_INSTANCES;
}

static void share_states(struct world *world, int home)
{
	struct world_instance *from = &world->instances[home];
	int entry;
	int server;

	for (entry = 0; entry < WORLD_INSTANCES; entry++) {
		struct world_instance *to = &world->instances[entry];

		if (!to->is_alive || is_cut(world, home, entry))
			continue;
		for (server = 0; server < WORLD_SERVERS; server++) {
			if (is_home_of(home, server))
				put_state(to, from, &world->servers[server],
					  from->is_leaving ? 0 : SLOTS / 2);
		}
		searches_catalog_changed(&to->searches);
	}
}

static void post_states(struct world *world, int64_t delay)
{
	int i;

	for (i = 0; i < WORLD_INSTANCES; i++) {
		struct world_event *event = post(world, delay, EVENT_STATES);

		event->to = i;
		event->to_life = world->instances[i].life;
	}
}

/* Events. */

static bool is_paused(const struct world *world, int instance)
{
	return clock_now(&world->clock) <
	       world->instances[instance].paused_until;
}

static void deliver(struct world *world, const struct world_event *event)
{
	struct world_instance *to = &world->instances[event->to];
	struct world_instance *from = &world->instances[event->from];
	Peer__QueryResult *result;
	Peer__Cancel *cancel;
	Peer__Query *query;

	if (is_cut(world, event->from, event->to) ||
	    from->life != event->from_life)
		return;
	if (event->kind == EVENT_QUERY) {
		query = peer__query__unpack(NULL, event->len, event->data);
		if (is_target(query->request_id))
			reach(world, STEP_AT_HOME, to->index, -1);
		if (to->is_alive && to->life == event->to_life)
			home_query(&to->home, &to->links[event->from], query);
		else
			peer__query__free_unpacked(query, NULL);
	} else if (event->kind == EVENT_CANCEL) {
		cancel = peer__cancel__unpack(NULL, event->len, event->data);
		home_cancel(&to->home, &to->links[event->from], cancel);
		peer__cancel__free_unpacked(cancel, NULL);
	} else {
		result = peer__query_result__unpack(NULL, event->len,
						    event->data);
		searches_result(&to->searches, str_from(from->name), result);
		peer__query_result__free_unpacked(result, NULL);
		if (world->outcomes[0].entry == to->index &&
		    world->reached[STEP_ANSWERED])
			reach(world, STEP_MERGED, from->index, -1);
	}
}

/* The server stops working on it at once, and its slot is free. */
static void stop_work(struct world *world, const struct world_event *cancel)
{
	int i;

	for (i = 0; i < world->n_events; i++) {
		struct world_event *end = &world->events[i];

		if (end->kind != EVENT_END || end->to != cancel->to ||
		    end->id != cancel->id || end->part != cancel->part ||
		    end->from != cancel->from)
			continue;
		if (world->servers[end->server].life == end->server_life)
			world->servers[end->server].running--;
		end->kind = EVENT_NONE;
	}
}

static void on_cancel_job(struct world *world, const struct world_event *event)
{
	const struct str none = {NULL, 0};

	stop_work(world, event);
	end_job(world, event, ERR_CANCELLED, true, none);
}

static void on_server_lost(struct world *world, const struct world_event *event)
{
	struct world_instance *home = &world->instances[event->to];
	const struct str none = {NULL, 0};
	struct home_query *query;
	int i;

	for (query = home->home.queries; query; query = query->next) {
		for (i = 0; i < query->n_jobs; i++) {
			struct home_job *job = &query->jobs[i];

			if (job->state == HOME_JOB_RUNNING &&
			    index_of(str_from(job->server->name)) ==
				    event->server)
				home_job_done(&home->home, job, ERR_LOST, true,
					      0, none);
		}
	}
}

static void on_link_lost(struct world *world, const struct world_event *event)
{
	struct world_instance *to = &world->instances[event->to];
	struct world_instance *from = &world->instances[event->from];

	catalog_remove_instance(&to->board.catalog, str_from(from->name));
	home_link_lost(&to->home, &to->links[event->from]);
	searches_home_lost(&to->searches, str_from(from->name));
}

static void on_tick(struct world_instance *instance)
{
	searches_tick(&instance->searches);
	home_tick(&instance->home);
	if (instance->flush_wanted) {
		instance->flush_wanted = false;
		home_flush(&instance->home);
	}
}

static void post_tick(struct world *world, int instance)
{
	struct world_event *event = post(world, TICK_US, EVENT_TICK);

	event->to = instance;
	event->to_life = world->instances[instance].life;
}

static void dispatch(struct world *world, const struct world_event *event)
{
	struct world_instance *to = &world->instances[event->to];

	if (event->kind == EVENT_NONE)
		return;
	if (event->kind == EVENT_STEP) {
		if (world->on_step)
			world->on_step(world, (enum request_step)event->id,
				       world->arg);
		return;
	}
	if (event->kind == EVENT_START) {
		on_start(world, event);
		return;
	}
	if (event->kind == EVENT_END) {
		on_end(world, event);
		return;
	}
	if (event->to_life != to->life || !to->is_alive)
		return;
	switch (event->kind) {
	case EVENT_TICK:
		on_tick(to);
		post_tick(world, event->to);
		break;
	case EVENT_STATES:
		share_states(world, event->to);
		break;
	case EVENT_LINK_LOST:
		on_link_lost(world, event);
		break;
	case EVENT_SERVER_LOST:
		on_server_lost(world, event);
		break;
	case EVENT_CANCEL_JOB:
		on_cancel_job(world, event);
		break;
	default:
		deliver(world, event);
		break;
	}
	if (to->flush_wanted) {
		to->flush_wanted = false;
		home_flush(&to->home);
	}
}

static int first_event(const struct world *world)
{
	int best = 0;
	int i;

	for (i = 1; i < world->n_events; i++) {
		const struct world_event *a = &world->events[i];
		const struct world_event *b = &world->events[best];

		if (a->at < b->at ||
		    (a->at == b->at && a->sequence < b->sequence))
			best = i;
	}
	return best;
}

/* A paused process finds its messages when it wakes. */
static bool postpone(struct world *world, struct world_event *event)
{
	int64_t until = 0;

	if (event->kind == EVENT_STEP)
		return false;
	if (event->kind == EVENT_START || event->kind == EVENT_END)
		until = world->servers[event->server].paused_until;
	else if (is_paused(world, event->to))
		until = world->instances[event->to].paused_until;
	if (until <= clock_now(&world->clock))
		return false;
	event->at = until;
	return true;
}

void world_run(struct world *world, int64_t usec)
{
	int64_t end = clock_now(&world->clock) + usec;

	while (world->n_events) {
		int i = first_event(world);
		struct world_event event = world->events[i];

		if (event.at > end)
			break;
		if (event.at > clock_now(&world->clock))
			clock_advance(&world->clock,
				      event.at - clock_now(&world->clock));
		if (postpone(world, &world->events[i]))
			continue;
		world->events[i] = world->events[--world->n_events];
		dispatch(world, &event);
		free(event.data);
	}
	if (end > clock_now(&world->clock))
		clock_advance(&world->clock, end - clock_now(&world->clock));
}

int world_search(struct world *world, int instance)
{
	struct world_instance *entry = &world->instances[instance];
	struct world_outcome *out = &world->outcomes[world->n_searches];
	struct search_request request = {
		.service = "desk",
		.where = mem_dup("{}"),
		.mode = REQUEST_COUNT,
		.limit = 20,
	};

	if (!entry->is_alive) {
		search_request_finish(&request);
		return -1;
	}
	snprintf(request.request_id, sizeof(request.request_id), "%s%d",
		 world->n_searches ? "other" : "target", world->n_searches);
	out->entry = instance;
	out->started_at = clock_now(&world->clock);
	if (!world->n_searches)
		reach(world, STEP_ADMITTED, -1, -1);
	search_start(&entry->searches, &request, out);
	return world->n_searches++;
}

/* Faults. */

void world_kill_server(struct world *world, int index)
{
	struct world_server *server = &world->servers[index];
	int i;

	server->is_alive = false;
	server->life++;
	server->running = 0;
	for (i = 0; i < WORLD_INSTANCES; i++) {
		struct world_event *event =
			post(world, SERVER_DELAY_US, EVENT_SERVER_LOST);

		event->to = i;
		event->to_life = world->instances[i].life;
		event->server = index;
	}
	post_states(world, STATE_DELAY_US);
}

/* Its connections got stuck: what runs is never answered, what comes is. */
void world_silence_server(struct world *world, int index)
{
	int i;

	for (i = 0; i < world->n_events; i++) {
		struct world_event *event = &world->events[i];

		if (event->kind == EVENT_END && event->server == index)
			event->at = INT64_MAX;
	}
}

void world_slow_server(struct world *world, int index, int factor)
{
	int64_t now = clock_now(&world->clock);
	int i;

	world->servers[index].slow_factor = factor;
	for (i = 0; i < world->n_events; i++) {
		struct world_event *event = &world->events[i];

		if (event->kind == EVENT_END && event->server == index &&
		    event->at != INT64_MAX)
			event->at = now + (event->at - now) * factor;
	}
}

void world_lose_instance_silently(struct world *world, int index)
{
	world->instances[index].is_alive = false;
	world->instances[index].life++;
	world->instances[index].is_unnoticed = true;
}

void world_restart_server(struct world *world, int index)
{
	world->servers[index].is_alive = true;
	post_states(world, STATE_DELAY_US);
}

void world_switch_versions(struct world *world, bool keep_old)
{
	int i;

	for (i = 0; i < WORLD_SERVERS; i++) {
		world->servers[i].versions |= 1u << WORLD_NEW_VERSION;
		if (!keep_old)
			world->servers[i].versions &=
				~(1u << WORLD_OLD_VERSION);
	}
	post_states(world, STATE_DELAY_US);
}

void world_drain_server(struct world *world, int index)
{
	world->servers[index].is_draining = true;
	world->servers[index].leaving_at = clock_now(&world->clock);
	post_states(world, WORD_OF_LEAVING_US);
}

static void post_link_lost(struct world *world, int gone)
{
	int i;

	for (i = 0; i < WORLD_INSTANCES; i++) {
		struct world_event *event;

		if (i == gone)
			continue;
		event = post(world, LOST_AFTER_US, EVENT_LINK_LOST);
		event->from = gone;
		event->to = i;
		event->to_life = world->instances[i].life;
	}
}

static void finish_instance(struct world_instance *instance)
{
	searches_finish(&instance->searches);
	home_finish(&instance->home);
	blackboard_finish(&instance->board);
}

void world_kill_instance(struct world *world, int index)
{
	struct world_instance *instance = &world->instances[index];

	if (!instance->is_alive)
		return;
	instance->is_alive = false;
	instance->life++;
	post_link_lost(world, index);
}

/* Whether the table says that a server is leaving. */
static const char *state_of(const struct world *world, int index)
{
	bool leaves = world->is_table_changed && index == world->table_leaves;

	return leaves ? "leaving" : "on";
}

/* An instance that starts after a change reads the table as it is then. */
static void put_table(struct world_instance *instance)
{
	const struct world *world = instance->world;
	uint64_t revision = world->is_table_changed ? 2 : 1;
	struct table *table = mem_zalloc(sizeof(*table));
	struct error err = {0};
	char text[1024];
	int len;

	len = snprintf(text, sizeof(text),
		       "{\"markets\":{\"columns\":[\"name\"],\"rows\":[[\"m\"]]"
		       "},\"services\":{\"columns\":[\"name\",\"market\","
		       "\"mode\",\"deadline_ms\"],\"rows\":[[\"desk\",\"m\","
		       "\"coverage\",%d]]},\"servers\":{\"columns\":[\"name\","
		       "\"service\",\"data_centre\",\"address\",\"state\"],"
		       "\"rows\":["
		       "[\"b0\",\"desk\",\"dc\",\"127.0.0.1:10\",\"%s\"],"
		       "[\"b1\",\"desk\",\"dc\",\"127.0.0.1:11\",\"on\"],"
		       "[\"b2\",\"desk\",\"dc\",\"127.0.0.1:12\",\"%s\"],"
		       "[\"b3\",\"desk\",\"dc\",\"127.0.0.1:13\",\"on\"]]}}",
		       WORLD_DEADLINE_MS, state_of(world, 0),
		       state_of(world, 2));
	if (table_init(table, text, (size_t)len, revision, &err))
		abort();
	blackboard_set_table(&instance->board, table);
	catalog_set_table(&instance->board.catalog, table);
}

static void add_shares(struct world_instance *instance)
{
	int i;

	for (i = 0; i < WORLD_SERVERS; i++) {
		struct home_server *server;

		if (!is_home_of(instance->index, i))
			continue;
		server = home_find_or_add_server(
			&instance->home,
			str_from(instance->world->servers[i].name));
		home_set_share(&instance->home, server, SLOTS / 2, SLOTS / 2);
	}
}

static void start_instance(struct world *world, int index)
{
	struct world_instance *instance = &world->instances[index];
	int i;

	instance->world = world;
	instance->index = index;
	instance->is_alive = true;
	instance->is_leaving = false;
	instance->is_unnoticed = false;
	instance->paused_until = 0;
	instance->flush_wanted = false;
	snprintf(instance->name, sizeof(instance->name), "i%d", index);
	instance->settings.instance = instance->name;
	for (i = 0; i < WORLD_INSTANCES; i++)
		instance->links[i] = i;
	blackboard_init(&instance->board, &world->clock, &instance->settings,
			NULL, (uint64_t)index + 1);
	searches_init(&instance->searches, &instance->board, &search_ops,
		      instance, world_random(world, UINT32_MAX) + 1);
	home_init(&instance->home, &instance->board, &home_ops, instance);
	put_table(instance);
	add_shares(instance);
	post_tick(world, index);
}

void world_restart_instance(struct world *world, int index)
{
	world_kill_instance(world, index);
	finish_instance(&world->instances[index]);
	start_instance(world, index);
	post_states(world, LOST_AFTER_US + STATE_DELAY_US);
}

void world_change_table(struct world *world)
{
	int i;

	/* Its last replica is not taken from a set. */
	world->table_leaves = world->servers[1].is_draining ? 2 : 0;
	world->is_table_changed = true;
	for (i = 0; i < WORLD_INSTANCES; i++) {
		if (world->instances[i].is_alive)
			put_table(&world->instances[i]);
	}
	world->servers[world->table_leaves].leaving_at =
		clock_now(&world->clock);
}

void world_leave_instance(struct world *world, int index)
{
	world->instances[index].is_leaving = true;
	post_states(world, STATE_DELAY_US);
}

void world_cut(struct world *world, int a, int b, bool cut)
{
	unsigned bit_a = 1u << a;
	unsigned bit_b = 1u << b;

	if (cut) {
		world->instances[a].cut_from |= bit_b;
		world->instances[b].cut_from |= bit_a;
		return;
	}
	world->instances[a].cut_from &= ~bit_b;
	world->instances[b].cut_from &= ~bit_a;
	post_states(world, STATE_DELAY_US);
}

void world_pause_instance(struct world *world, int index, int64_t usec)
{
	world->instances[index].paused_until = clock_now(&world->clock) + usec;
}

void world_init(struct world *world, uint64_t seed)
{
	int i;

	memset(world, 0, sizeof(*world));
	clock_init_paused(&world->clock, 1000 * USEC_PER_SEC);
	world->random = seed * 0x9e3779b97f4a7c15u | 1;
	world->target_server = -1;
	world->target_home = -1;
	for (i = 0; i < WORLD_SERVERS; i++) {
		struct world_server *server = &world->servers[i];

		server->world = world;
		server->index = i;
		server->is_alive = true;
		server->versions = 1u << WORLD_OLD_VERSION;
		server->latency = SERVER_LATENCY_US;
		server->slow_factor = 1;
		snprintf(server->name, sizeof(server->name), "b%d", i);
	}
	for (i = 0; i < WORLD_INSTANCES; i++)
		start_instance(world, i);
	post_states(world, STATE_DELAY_US);
	world_run(world, MSEC(50));
}

void world_finish(struct world *world)
{
	int i;

	for (i = 0; i < WORLD_INSTANCES; i++)
		finish_instance(&world->instances[i]);
	for (i = 0; i < world->n_events; i++)
		free(world->events[i].data);
	free(world->events);
}
