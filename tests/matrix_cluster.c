#include "matrix_cluster.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "mem.h"

#define LINK_DELAY_US 300
#define SERVER_LINK_DELAY_US 200
#define SERVER_LATENCY_US 4000
#define TICK_PERIOD_US 1000
#define STATE_DELAY_US 2000
#define LINK_LOSS_DELAY_US 2000
#define DRAIN_NOTICE_DELAY_US MSEC(500)
#define SERVER_SLOTS 4

enum event_kind {
	EVENT_TICK,
	EVENT_QUERY,
	EVENT_RESULT,
	EVENT_CANCEL,
	EVENT_STATES,
	EVENT_LINK_LOST,
	EVENT_JOB_START,
	EVENT_JOB_END,
	EVENT_SERVER_LOST,
	EVENT_CANCEL_JOB,
	EVENT_STEP,
	EVENT_NONE,
};

/*
 * @from and @to are instances; for EVENT_JOB_START and EVENT_JOB_END @to is
 * the home and @server the backend server. Events for an earlier incarnation
 * of a process are dropped.
 */
struct cluster_event {
	int64_t due_at;
	uint64_t sequence;
	enum event_kind kind;
	int from;
	int to;
	int server;
	uint32_t from_incarnation;
	uint32_t to_incarnation;
	uint32_t server_incarnation;
	uint64_t id;
	uint32_t part;
	bool runs;
	uint8_t *data;
	size_t len;
};

int cluster_shard_count(uint64_t version)
{
	return version == CLUSTER_NEW_VERSION ? 8 : 4;
}

uint64_t cluster_records_per_shard(uint64_t version)
{
	return version == CLUSTER_NEW_VERSION ? 6 : 10;
}

uint64_t cluster_matches_per_shard(uint64_t version)
{
	static const uint64_t counts[] = {0, 5, 2, 7};

	return counts[version];
}

uint64_t cluster_random(struct cluster *cluster, uint64_t below)
{
	cluster->random ^= cluster->random << 13;
	cluster->random ^= cluster->random >> 7;
	cluster->random ^= cluster->random << 17;
	return cluster->random % below;
}

static struct cluster_event *post(struct cluster *cluster, int64_t delay,
				  enum event_kind kind)
{
	struct cluster_event *event;

	MEM_GROW(cluster->events, cluster->n_events, cluster->cap_events);
	event = &cluster->events[cluster->n_events++];
	memset(event, 0, sizeof(*event));
	event->due_at = clock_now(&cluster->clock) + delay;
	event->sequence = cluster->sequence++;
	event->kind = kind;
	return event;
}

static void set_message(struct cluster_event *event,
			const ProtobufCMessage *message)
{
	event->len = protobuf_c_message_get_packed_size(message);
	event->data = mem_zalloc(event->len);
	protobuf_c_message_pack(message, event->data);
}

static void post_frame(struct cluster *cluster, enum event_kind kind, int from,
		       int to, const ProtobufCMessage *message)
{
	struct cluster_event *event =
		post(cluster,
		     LINK_DELAY_US + (int64_t)cluster_random(cluster, 100),
		     kind);

	event->from = from;
	event->to = to;
	event->from_incarnation = cluster->instances[from].incarnation;
	event->to_incarnation = cluster->instances[to].incarnation;
	set_message(event, message);
}

static void record_step(struct cluster *cluster, enum request_step step,
			int home, int server)
{
	if (cluster->reached[step])
		return;
	cluster->reached[step] = true;
	if (home >= 0)
		cluster->target_home = home;
	if (server >= 0)
		cluster->target_server = server;
	/* Deferred: a fault may end the process whose module is running. */
	post(cluster, 0, EVENT_STEP)->id = step;
}

static int index_from_name(struct str name)
{
	return name.data[name.len - 1] - '0';
}

static bool is_target(const char *request_id)
{
	return !strncmp(request_id, "target", 6);
}

/* Operations of the entry. */

static int send_query(void *arg, struct str home, const Peer__Query *query)
{
	struct cluster_instance *self = arg;
	int to = index_from_name(home);

	/* The peer's end closed the connection, unless that went unnoticed. */
	if (!self->cluster->instances[to].is_alive &&
	    !self->cluster->instances[to].is_crash_undetected)
		return ERR_UNAVAILABLE;
	post_frame(self->cluster, EVENT_QUERY, self->index, to, &query->base);
	if (is_target(query->request_id))
		record_step(self->cluster, STEP_ROUTED, to, -1);
	return 0;
}

static void send_cancel(void *arg, struct str home, const Peer__Cancel *cancel)
{
	struct cluster_instance *self = arg;

	post_frame(self->cluster, EVENT_CANCEL, self->index,
		   index_from_name(home), &cancel->base);
}

static void on_done(void *arg, struct search *search)
{
	struct cluster_instance *self = arg;
	struct cluster *cluster = self->cluster;
	struct cluster_outcome *out = search->owner;

	out->n_outcomes++;
	out->code = search->code;
	out->maybe_ran = search->maybe_ran;
	out->version = search->map ? search->map->version : 0;
	out->n_shards = search->map ? search->map->n_shards : 0;
	out->count = search->count;
	out->covered = search->covered;
	out->total = search_total(search);
	out->answered = search->n_answered;
	out->n_requests = search->n_requests;
	out->ended_at = clock_now(&cluster->clock);
	if (out == &cluster->outcomes[0])
		record_step(cluster, STEP_RETURNED, -1, -1);
}

static const struct search_ops search_ops = {
	.send_query = send_query,
	.cancel = send_cancel,
	.done = on_done,
};

/* Operations of the home. */

static void start_job(void *arg, struct home_job *job)
{
	struct cluster_instance *self = arg;
	struct cluster *cluster = self->cluster;
	int server = index_from_name(str_from(job->server->name));
	struct cluster_event *event =
		post(cluster, SERVER_LINK_DELAY_US, EVENT_JOB_START);

	if (clock_now(&cluster->clock) >= job->query->deadline_at)
		cluster->late_sends++;
	if (job->server->in_flight > job->server->slots)
		cluster->sends_above_share++;
	event->to = self->index;
	event->to_incarnation = self->incarnation;
	event->server = server;
	event->server_incarnation = cluster->servers[server].incarnation;
	event->id = job->query->message->id;
	event->from = *(int *)job->query->link;
	event->part = job->part;
	set_message(event, &job->query->message->base);
	if (is_target(job->query->message->request_id))
		record_step(cluster, STEP_SENT, self->index, server);
}

static void cancel_job(void *arg, struct home_job *job)
{
	struct cluster_instance *self = arg;
	struct cluster_event *event =
		post(self->cluster, SERVER_LINK_DELAY_US, EVENT_CANCEL_JOB);

	event->to = self->index;
	event->to_incarnation = self->incarnation;
	event->id = job->query->message->id;
	event->part = job->part;
	event->from = job->query->link ? *(int *)job->query->link : -1;
}

static void reply(void *arg, void *link, const Peer__QueryResult *result)
{
	struct cluster_instance *self = arg;

	post_frame(self->cluster, EVENT_RESULT, self->index, *(int *)link,
		   &result->base);
}

static void want_flush(void *arg)
{
	struct cluster_instance *self = arg;

	self->flush_wanted = true;
}

static const struct home_ops home_ops = {
	.start = start_job,
	.cancel = cancel_job,
	.reply = reply,
	.want_flush = want_flush,
};

/* Returns the job of a server's event, or NULL if it no longer runs. */
static struct home_job *find_job(struct cluster_instance *home,
				 const struct cluster_event *event)
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

static void finish_job(struct cluster *cluster,
		       const struct cluster_event *event, int code, bool sent,
		       struct str answer)
{
	struct cluster_instance *home = &cluster->instances[event->to];
	struct home_job *job = find_job(home, event);

	if (job)
		home_job_done(&home->home, job, code, sent, 0, answer);
}

/* Backend servers. */

static bool holds_shard(const struct cluster_server *server, uint64_t version,
			int lo)
{
	int shard = lo / (CATALOG_POINTS / cluster_shard_count(version));

	if (!(server->versions & 1u << version))
		return false;
	return shard / (cluster_shard_count(version) / 2) == server->index / 2;
}

static void fill_partial(const struct cluster_server *server, uint64_t version,
			 Backend__KeyRange *range, Backend__ShardPartial *out)
{
	backend__shard_partial__init(out);
	out->shard = range;
	if (!holds_shard(server, version, (int)range->lo)) {
		out->status = BACKEND__SHARD_STATUS__SHARD_NOT_HELD;
		return;
	}
	if (server->answers_wrong_version)
		version = CLUSTER_UNHELD_VERSION;
	out->held =
		cluster_records_per_shard(version) + server->answers_wrong_held;
	out->count = cluster_matches_per_shard(version);
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

static void answer_job(struct cluster *cluster,
		       const struct cluster_event *event,
		       const Peer__Query *query)
{
	struct cluster_server *server = &cluster->servers[event->server];
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
	answer.version = server->answers_wrong_version ? CLUSTER_UNHELD_VERSION
						       : query->version;
	answer.n_shards = part->n_shards;
	answer.shards = pointers;
	i = backend__search_answer__pack(&answer, packed);
	if (is_target(query->request_id))
		record_step(cluster, STEP_ANSWERED, event->to, server->index);
	finish_job(cluster, event, 0, true, (struct str){(char *)packed, i});
}

static int rejection_code(const struct cluster_server *server,
			  const Peer__Query *query)
{
	if (server->is_draining)
		return ERR_DRAINING;
	if (server->sheds_load)
		return ERR_SHED;
	if (!(server->versions & 1u << query->version))
		return ERR_WRONG_VERSION;
	return server->running >= SERVER_SLOTS ? ERR_NO_SLOT : 0;
}

static void post_job_end(struct cluster *cluster,
			 const struct cluster_event *start, int64_t delay)
{
	struct cluster_event event = *start;
	struct cluster_event *end = post(cluster, delay, EVENT_JOB_END);
	int64_t at = end->due_at;
	uint64_t sequence = end->sequence;

	*end = event;
	end->due_at = at;
	end->sequence = sequence;
	end->kind = EVENT_JOB_END;
	end->runs = true;
	end->data = mem_zalloc(event.len);
	memcpy(end->data, event.data, event.len);
}

static void record_job_start(struct cluster *cluster,
			     struct cluster_server *server,
			     const Peer__Query *query)
{
	server->running++;
	if (server->running > server->most_running)
		server->most_running = server->running;
	if (server->leaving_at &&
	    clock_now(&cluster->clock) > server->leaving_at + MSEC(3000))
		server->late_starts++;
	if (is_target(query->request_id))
		server->runs_of_target++;
}

static void on_job_start(struct cluster *cluster,
			 const struct cluster_event *event)
{
	struct cluster_server *server = &cluster->servers[event->server];
	const struct str none = {NULL, 0};
	Peer__Query *query;
	int code;

	if (!server->is_alive ||
	    server->incarnation != event->server_incarnation) {
		finish_job(cluster, event, ERR_CONNECT, false, none);
		return;
	}
	query = peer__query__unpack(NULL, event->len, event->data);
	code = rejection_code(server, query);
	if (code) {
		finish_job(cluster, event, code, true, none);
	} else {
		record_job_start(cluster, server, query);
		post_job_end(cluster, event,
			     server->latency * server->slow_factor);
		if (is_target(query->request_id))
			record_step(cluster, STEP_RUNNING, event->to,
				    event->server);
		if (server->crash_on_target && is_target(query->request_id))
			cluster_kill_server(cluster, event->server);
	}
	peer__query__free_unpacked(query, NULL);
}

static void on_job_end(struct cluster *cluster,
		       const struct cluster_event *event)
{
	struct cluster_server *server = &cluster->servers[event->server];
	Peer__Query *query;

	if (server->incarnation != event->server_incarnation)
		return;
	server->running--;
	query = peer__query__unpack(NULL, event->len, event->data);
	answer_job(cluster, event, query);
	peer__query__free_unpacked(query, NULL);
}

/* Server states and shard maps sent from homes to entries. */

static void fill_map(uint64_t version, Backend__ShardInfo *shards,
		     Backend__KeyRange *ranges, Backend__ShardInfo **pointers)
{
	int n = cluster_shard_count(version);
	int i;

	for (i = 0; i < n; i++) {
		backend__key_range__init(&ranges[i]);
		ranges[i].lo = (uint32_t)(CATALOG_POINTS / n * i);
		ranges[i].hi = (uint32_t)(CATALOG_POINTS / n * (i + 1) - 1);
		backend__shard_info__init(&shards[i]);
		shards[i].shard = &ranges[i];
		shards[i].held = cluster_records_per_shard(version);
		pointers[i] = &shards[i];
	}
}

static uint64_t put_map(struct cluster_instance *entry, uint64_t version)
{
	Backend__ShardInfo shards[16];
	Backend__KeyRange ranges[16];
	Backend__ShardInfo *pointers[16];
	Peer__Map map = PEER__MAP__INIT;

	fill_map(version, shards, ranges, pointers);
	map.service = (char *)"desk";
	map.version = version;
	map.n_shards = (size_t)cluster_shard_count(version);
	map.shards = pointers;
	map.digest = catalog_map_digest(STR("desk"), version, pointers,
					map.n_shards);
	catalog_put_map(&entry->board.catalog, &map);
	return map.digest;
}

static void fill_state(const struct cluster_server *server, uint32_t slots,
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

static void put_state(struct cluster_instance *entry,
		      const struct cluster_instance *home,
		      const struct cluster_server *server, uint32_t slots)
{
	Peer__ServerState state;
	Peer__Held held[2];
	Peer__Held *pointers[2];
	uint32_t here[2][8];
	uint64_t version;
	int pass;

	fill_state(server, slots, &state);
	state.held = pointers;
	for (version = CLUSTER_OLD_VERSION; version <= CLUSTER_NEW_VERSION;
	     version++) {
		size_t n = state.n_held;
		int half = cluster_shard_count(version) / 2;
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
	/*
	 * The first pass makes the map digests known so that the maps are
	 * accepted; the second one applies the state with the maps in place.
	 */
	for (pass = 0; pass < 2; pass++) {
		catalog_put_state(&entry->board.catalog, str_from(home->name),
				  &state);
		for (version = CLUSTER_OLD_VERSION;
		     version <= CLUSTER_NEW_VERSION && !pass; version++)
			put_map(entry, version);
	}
}

static bool is_partitioned(const struct cluster *cluster, int a, int b)
{
	return cluster->instances[a].partitioned_from & 1u << b;
}

static bool is_home_of(int instance, int server)
{
	return instance == server % CLUSTER_INSTANCES ||
	       instance == (server + 1) % CLUSTER_INSTANCES;
}

static void deliver_states(struct cluster *cluster, int home)
{
	struct cluster_instance *from = &cluster->instances[home];
	int entry;
	int server;

	for (entry = 0; entry < CLUSTER_INSTANCES; entry++) {
		struct cluster_instance *to = &cluster->instances[entry];

		if (!to->is_alive || is_partitioned(cluster, home, entry))
			continue;
		for (server = 0; server < CLUSTER_SERVERS; server++) {
			if (is_home_of(home, server))
				put_state(to, from, &cluster->servers[server],
					  from->is_leaving ? 0
							   : SERVER_SLOTS / 2);
		}
		searches_catalog_changed(&to->searches);
	}
}

static void post_states(struct cluster *cluster, int64_t delay)
{
	int i;

	for (i = 0; i < CLUSTER_INSTANCES; i++) {
		struct cluster_event *event =
			post(cluster, delay, EVENT_STATES);

		event->to = i;
		event->to_incarnation = cluster->instances[i].incarnation;
	}
}

/* Events. */

static bool is_paused(const struct cluster *cluster, int instance)
{
	return clock_now(&cluster->clock) <
	       cluster->instances[instance].paused_until;
}

static void deliver(struct cluster *cluster, const struct cluster_event *event)
{
	struct cluster_instance *to = &cluster->instances[event->to];
	struct cluster_instance *from = &cluster->instances[event->from];
	Peer__QueryResult *result;
	Peer__Cancel *cancel;
	Peer__Query *query;

	if (is_partitioned(cluster, event->from, event->to) ||
	    from->incarnation != event->from_incarnation)
		return;
	if (event->kind == EVENT_QUERY) {
		query = peer__query__unpack(NULL, event->len, event->data);
		if (is_target(query->request_id))
			record_step(cluster, STEP_AT_HOME, to->index, -1);
		if (to->is_alive && to->incarnation == event->to_incarnation)
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
		if (cluster->outcomes[0].entry == to->index &&
		    cluster->reached[STEP_ANSWERED])
			record_step(cluster, STEP_MERGED, from->index, -1);
	}
}

/* Ends a cancelled job at once and frees its slot. */
static void stop_job(struct cluster *cluster,
		     const struct cluster_event *cancel)
{
	int i;

	for (i = 0; i < cluster->n_events; i++) {
		struct cluster_event *end = &cluster->events[i];

		if (end->kind != EVENT_JOB_END || end->to != cancel->to ||
		    end->id != cancel->id || end->part != cancel->part ||
		    end->from != cancel->from)
			continue;
		if (cluster->servers[end->server].incarnation ==
		    end->server_incarnation)
			cluster->servers[end->server].running--;
		end->kind = EVENT_NONE;
	}
}

static void on_cancel_job(struct cluster *cluster,
			  const struct cluster_event *event)
{
	const struct str none = {NULL, 0};

	stop_job(cluster, event);
	finish_job(cluster, event, ERR_CANCELLED, true, none);
}

static void on_server_lost(struct cluster *cluster,
			   const struct cluster_event *event)
{
	struct cluster_instance *home = &cluster->instances[event->to];
	const struct str none = {NULL, 0};
	struct home_query *query;
	int i;

	for (query = home->home.queries; query; query = query->next) {
		for (i = 0; i < query->n_jobs; i++) {
			struct home_job *job = &query->jobs[i];

			if (job->state == HOME_JOB_RUNNING &&
			    index_from_name(str_from(job->server->name)) ==
				    event->server)
				home_job_done(&home->home, job, ERR_LOST, true,
					      0, none);
		}
	}
}

static void on_link_lost(struct cluster *cluster,
			 const struct cluster_event *event)
{
	struct cluster_instance *to = &cluster->instances[event->to];
	struct cluster_instance *from = &cluster->instances[event->from];

	catalog_remove_instance(&to->board.catalog, str_from(from->name));
	home_link_lost(&to->home, &to->links[event->from]);
	searches_home_lost(&to->searches, str_from(from->name));
}

static void on_tick(struct cluster_instance *instance)
{
	searches_tick(&instance->searches);
	home_tick(&instance->home);
	if (instance->flush_wanted) {
		instance->flush_wanted = false;
		home_flush(&instance->home);
	}
}

static void post_tick(struct cluster *cluster, int instance)
{
	struct cluster_event *event = post(cluster, TICK_PERIOD_US, EVENT_TICK);

	event->to = instance;
	event->to_incarnation = cluster->instances[instance].incarnation;
}

static void dispatch(struct cluster *cluster, const struct cluster_event *event)
{
	struct cluster_instance *to = &cluster->instances[event->to];

	if (event->kind == EVENT_NONE)
		return;
	if (event->kind == EVENT_STEP) {
		if (cluster->on_step)
			cluster->on_step(cluster, (enum request_step)event->id,
					 cluster->arg);
		return;
	}
	if (event->kind == EVENT_JOB_START) {
		on_job_start(cluster, event);
		return;
	}
	if (event->kind == EVENT_JOB_END) {
		on_job_end(cluster, event);
		return;
	}
	if (event->to_incarnation != to->incarnation || !to->is_alive)
		return;
	switch (event->kind) {
	case EVENT_TICK:
		on_tick(to);
		post_tick(cluster, event->to);
		break;
	case EVENT_STATES:
		deliver_states(cluster, event->to);
		break;
	case EVENT_LINK_LOST:
		on_link_lost(cluster, event);
		break;
	case EVENT_SERVER_LOST:
		on_server_lost(cluster, event);
		break;
	case EVENT_CANCEL_JOB:
		on_cancel_job(cluster, event);
		break;
	default:
		deliver(cluster, event);
		break;
	}
	if (to->flush_wanted) {
		to->flush_wanted = false;
		home_flush(&to->home);
	}
}

static int find_earliest_event(const struct cluster *cluster)
{
	int best = 0;
	int i;

	for (i = 1; i < cluster->n_events; i++) {
		const struct cluster_event *a = &cluster->events[i];
		const struct cluster_event *b = &cluster->events[best];

		if (a->due_at < b->due_at ||
		    (a->due_at == b->due_at && a->sequence < b->sequence))
			best = i;
	}
	return best;
}

/* Events for a paused process are delivered when it resumes. */
static bool postpone_if_paused(struct cluster *cluster,
			       struct cluster_event *event)
{
	int64_t until = 0;

	if (event->kind == EVENT_STEP)
		return false;
	if (event->kind == EVENT_JOB_START || event->kind == EVENT_JOB_END)
		until = cluster->servers[event->server].paused_until;
	else if (is_paused(cluster, event->to))
		until = cluster->instances[event->to].paused_until;
	if (until <= clock_now(&cluster->clock))
		return false;
	event->due_at = until;
	return true;
}

void cluster_run(struct cluster *cluster, int64_t usec)
{
	int64_t end = clock_now(&cluster->clock) + usec;

	while (cluster->n_events) {
		int i = find_earliest_event(cluster);
		struct cluster_event event = cluster->events[i];

		if (event.due_at > end)
			break;
		if (event.due_at > clock_now(&cluster->clock))
			clock_advance(&cluster->clock,
				      event.due_at -
					      clock_now(&cluster->clock));
		if (postpone_if_paused(cluster, &cluster->events[i]))
			continue;
		cluster->events[i] = cluster->events[--cluster->n_events];
		dispatch(cluster, &event);
		free(event.data);
	}
	if (end > clock_now(&cluster->clock))
		clock_advance(&cluster->clock,
			      end - clock_now(&cluster->clock));
}

int cluster_search(struct cluster *cluster, int instance)
{
	struct cluster_instance *entry = &cluster->instances[instance];
	struct cluster_outcome *out = &cluster->outcomes[cluster->n_searches];
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
		 cluster->n_searches ? "other" : "target", cluster->n_searches);
	out->entry = instance;
	out->started_at = clock_now(&cluster->clock);
	if (!cluster->n_searches)
		record_step(cluster, STEP_ADMITTED, -1, -1);
	search_start(&entry->searches, &request, out);
	return cluster->n_searches++;
}

/* Faults. */

void cluster_kill_server(struct cluster *cluster, int index)
{
	struct cluster_server *server = &cluster->servers[index];
	int i;

	server->is_alive = false;
	server->incarnation++;
	server->running = 0;
	for (i = 0; i < CLUSTER_INSTANCES; i++) {
		struct cluster_event *event =
			post(cluster, SERVER_LINK_DELAY_US, EVENT_SERVER_LOST);

		event->to = i;
		event->to_incarnation = cluster->instances[i].incarnation;
		event->server = index;
	}
	post_states(cluster, STATE_DELAY_US);
}

void cluster_stall_running_requests(struct cluster *cluster, int index)
{
	int i;

	for (i = 0; i < cluster->n_events; i++) {
		struct cluster_event *event = &cluster->events[i];

		if (event->kind == EVENT_JOB_END && event->server == index)
			event->due_at = INT64_MAX;
	}
}

void cluster_slow_server(struct cluster *cluster, int index, int factor)
{
	int64_t now = clock_now(&cluster->clock);
	int i;

	cluster->servers[index].slow_factor = factor;
	for (i = 0; i < cluster->n_events; i++) {
		struct cluster_event *event = &cluster->events[i];

		if (event->kind == EVENT_JOB_END && event->server == index &&
		    event->due_at != INT64_MAX)
			event->due_at = now + (event->due_at - now) * factor;
	}
}

void cluster_kill_instance_undetected(struct cluster *cluster, int index)
{
	cluster->instances[index].is_alive = false;
	cluster->instances[index].incarnation++;
	cluster->instances[index].is_crash_undetected = true;
}

void cluster_restart_server(struct cluster *cluster, int index)
{
	cluster->servers[index].is_alive = true;
	post_states(cluster, STATE_DELAY_US);
}

void cluster_switch_versions(struct cluster *cluster, bool keep_old)
{
	int i;

	for (i = 0; i < CLUSTER_SERVERS; i++) {
		cluster->servers[i].versions |= 1u << CLUSTER_NEW_VERSION;
		if (!keep_old)
			cluster->servers[i].versions &=
				~(1u << CLUSTER_OLD_VERSION);
	}
	post_states(cluster, STATE_DELAY_US);
}

void cluster_drain_server(struct cluster *cluster, int index)
{
	cluster->servers[index].is_draining = true;
	cluster->servers[index].leaving_at = clock_now(&cluster->clock);
	post_states(cluster, DRAIN_NOTICE_DELAY_US);
}

static void post_link_lost(struct cluster *cluster, int gone)
{
	int i;

	for (i = 0; i < CLUSTER_INSTANCES; i++) {
		struct cluster_event *event;

		if (i == gone)
			continue;
		event = post(cluster, LINK_LOSS_DELAY_US, EVENT_LINK_LOST);
		event->from = gone;
		event->to = i;
		event->to_incarnation = cluster->instances[i].incarnation;
	}
}

static void finish_instance(struct cluster_instance *instance)
{
	searches_finish(&instance->searches);
	home_finish(&instance->home);
	blackboard_finish(&instance->board);
}

void cluster_kill_instance(struct cluster *cluster, int index)
{
	struct cluster_instance *instance = &cluster->instances[index];

	if (!instance->is_alive)
		return;
	instance->is_alive = false;
	instance->incarnation++;
	post_link_lost(cluster, index);
}

/* The state of a server in the table. */
static const char *server_state_text(const struct cluster *cluster, int index)
{
	bool leaves =
		cluster->is_table_changed && index == cluster->leaving_server;

	return leaves ? "leaving" : "on";
}

/* An instance that starts after a table change reads the changed table. */
static void put_table(struct cluster_instance *instance)
{
	const struct cluster *cluster = instance->cluster;
	uint64_t revision = cluster->is_table_changed ? 2 : 1;
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
		       CLUSTER_DEADLINE_MS, server_state_text(cluster, 0),
		       server_state_text(cluster, 2));
	if (table_init(table, text, (size_t)len, revision, &err))
		abort();
	blackboard_set_table(&instance->board, table);
	catalog_set_table(&instance->board.catalog, table);
}

static void add_shares(struct cluster_instance *instance)
{
	int i;

	for (i = 0; i < CLUSTER_SERVERS; i++) {
		struct home_server *server;

		if (!is_home_of(instance->index, i))
			continue;
		server = home_find_or_add_server(
			&instance->home,
			str_from(instance->cluster->servers[i].name));
		home_set_share(&instance->home, server, SERVER_SLOTS / 2,
			       SERVER_SLOTS / 2);
	}
}

static void start_instance(struct cluster *cluster, int index)
{
	struct cluster_instance *instance = &cluster->instances[index];
	int i;

	instance->cluster = cluster;
	instance->index = index;
	instance->is_alive = true;
	instance->is_leaving = false;
	instance->is_crash_undetected = false;
	instance->paused_until = 0;
	instance->flush_wanted = false;
	snprintf(instance->name, sizeof(instance->name), "i%d", index);
	instance->settings.instance = instance->name;
	for (i = 0; i < CLUSTER_INSTANCES; i++)
		instance->links[i] = i;
	blackboard_init(&instance->board, &cluster->clock, &instance->settings,
			NULL, (uint64_t)index + 1);
	searches_init(&instance->searches, &instance->board, &search_ops,
		      instance, cluster_random(cluster, UINT32_MAX) + 1);
	home_init(&instance->home, &instance->board, &home_ops, instance);
	put_table(instance);
	add_shares(instance);
	post_tick(cluster, index);
}

void cluster_restart_instance(struct cluster *cluster, int index)
{
	cluster_kill_instance(cluster, index);
	finish_instance(&cluster->instances[index]);
	start_instance(cluster, index);
	post_states(cluster, LINK_LOSS_DELAY_US + STATE_DELAY_US);
}

void cluster_change_table(struct cluster *cluster)
{
	int i;

	/* Servers 0 and 1 are replicas: keep one of them in service. */
	cluster->leaving_server = cluster->servers[1].is_draining ? 2 : 0;
	cluster->is_table_changed = true;
	for (i = 0; i < CLUSTER_INSTANCES; i++) {
		if (cluster->instances[i].is_alive)
			put_table(&cluster->instances[i]);
	}
	cluster->servers[cluster->leaving_server].leaving_at =
		clock_now(&cluster->clock);
}

void cluster_start_leaving(struct cluster *cluster, int index)
{
	cluster->instances[index].is_leaving = true;
	post_states(cluster, STATE_DELAY_US);
}

void cluster_set_partitioned(struct cluster *cluster, int a, int b,
			     bool partitioned)
{
	unsigned bit_a = 1u << a;
	unsigned bit_b = 1u << b;

	if (partitioned) {
		cluster->instances[a].partitioned_from |= bit_b;
		cluster->instances[b].partitioned_from |= bit_a;
		return;
	}
	cluster->instances[a].partitioned_from &= ~bit_b;
	cluster->instances[b].partitioned_from &= ~bit_a;
	post_states(cluster, STATE_DELAY_US);
}

void cluster_pause_instance(struct cluster *cluster, int index, int64_t usec)
{
	cluster->instances[index].paused_until =
		clock_now(&cluster->clock) + usec;
}

void cluster_init(struct cluster *cluster, uint64_t seed)
{
	int i;

	memset(cluster, 0, sizeof(*cluster));
	clock_init_paused(&cluster->clock, 1000 * USEC_PER_SEC);
	cluster->random = seed * 0x9e3779b97f4a7c15u | 1;
	cluster->target_server = -1;
	cluster->target_home = -1;
	for (i = 0; i < CLUSTER_SERVERS; i++) {
		struct cluster_server *server = &cluster->servers[i];

		server->cluster = cluster;
		server->index = i;
		server->is_alive = true;
		server->versions = 1u << CLUSTER_OLD_VERSION;
		server->latency = SERVER_LATENCY_US;
		server->slow_factor = 1;
		snprintf(server->name, sizeof(server->name), "b%d", i);
	}
	for (i = 0; i < CLUSTER_INSTANCES; i++)
		start_instance(cluster, i);
	post_states(cluster, STATE_DELAY_US);
	cluster_run(cluster, MSEC(50));
}

void cluster_finish(struct cluster *cluster)
{
	int i;

	for (i = 0; i < CLUSTER_INSTANCES; i++)
		finish_instance(&cluster->instances[i]);
	for (i = 0; i < cluster->n_events; i++)
		free(cluster->events[i].data);
	free(cluster->events);
}
