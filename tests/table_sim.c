#include "table_sim.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "mem.h"

#define TICK_PERIOD MSEC(100)
#define PING_PERIOD MSEC(500)
#define SAME_DC_DELAY MSEC(1)
#define OTHER_DC_DELAY MSEC(20)
#define PLATFORM_DELAY MSEC(3)
/* Equals FRAME_HEADER_SIZE of frame.h. */
#define FRAME_HEADER_BYTES 12
/* Size of the table's revision, digest and age in a heartbeat or its answer. */
#define HEARTBEAT_BYTES 20

enum event_kind {
	EVENT_CALL,
	EVENT_ANSWER,
	EVENT_PART,
	EVENT_PING,
	EVENT_ACK,
	EVENT_DIGEST,
	EVENT_REQUEST,
	EVENT_UPDATE,
};

struct sim_event {
	int64_t due_at;
	uint64_t sequence;
	enum event_kind kind;
	int from;
	int to;
	uint32_t incarnation; /* of the receiver */
	struct reader_call call;
	struct platform_answer answer;
	uint64_t revision;
	uint64_t digest;
	uint32_t age_ms;
	uint8_t *data;
	size_t len;
};

int64_t sim_random(struct sim *sim, int64_t n)
{
	uint64_t z = sim->random += UINT64_C(0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	z = (z ^ (z >> 27)) * UINT64_C(0x94d049bb133111eb);
	z ^= z >> 31;
	return n > 0 ? (int64_t)(z % (uint64_t)n) : 0;
}

static int64_t sim_now(const struct sim *sim)
{
	return clock_now(&sim->clock);
}

/* Event queue: a binary heap, earliest first. */

static bool is_earlier(const struct sim_event *a, const struct sim_event *b)
{
	if (a->due_at != b->due_at)
		return a->due_at < b->due_at;
	return a->sequence < b->sequence;
}

static void swap_events(struct sim_event *a, struct sim_event *b)
{
	struct sim_event tmp = *a;

	*a = *b;
	*b = tmp;
}

static void heap_push(struct sim *sim, struct sim_event event)
{
	int i = sim->n_events;

	MEM_GROW(sim->events, sim->n_events, sim->events_cap);
	event.sequence = sim->sequence++;
	sim->events[sim->n_events++] = event;
	while (i && is_earlier(&sim->events[i], &sim->events[(i - 1) / 2])) {
		swap_events(&sim->events[i], &sim->events[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct sim_event heap_pop(struct sim *sim)
{
	struct sim_event first = sim->events[0];
	int i = 0;

	sim->events[0] = sim->events[--sim->n_events];
	for (;;) {
		int least = i;
		int child = 2 * i + 1;

		if (child < sim->n_events &&
		    is_earlier(&sim->events[child], &sim->events[least]))
			least = child;
		child++;
		if (child < sim->n_events &&
		    is_earlier(&sim->events[child], &sim->events[least]))
			least = child;
		if (least == i)
			return first;
		swap_events(&sim->events[i], &sim->events[least]);
		i = least;
	}
}

/* Network. */

static int group_of(const struct sim *sim, int node)
{
	return node == SIM_PLATFORM ? sim->platform.group
				    : sim->nodes[node].group;
}

static int64_t message_delay(struct sim *sim, int from, int to)
{
	int64_t base = PLATFORM_DELAY;

	if (from != SIM_PLATFORM && to != SIM_PLATFORM)
		base = sim->peer_delay +
		       (from % sim->n_data_centres == to % sim->n_data_centres
				? SAME_DC_DELAY
				: OTHER_DC_DELAY);
	return base / 2 + sim_random(sim, base);
}

/* Messages for an earlier incarnation of a process are dropped. */
static uint32_t incarnation_of(const struct sim *sim, int node)
{
	return node == SIM_PLATFORM ? 0 : sim->nodes[node].incarnation;
}

static void send_event(struct sim *sim, struct sim_event event)
{
	event.incarnation = incarnation_of(sim, event.to);
	event.due_at = sim_now(sim) + message_delay(sim, event.from, event.to);
	if (group_of(sim, event.from) == group_of(sim, event.to)) {
		heap_push(sim, event);
		return;
	}
	free(event.data);
}

static int index_from_name(const struct sim *sim, const char *name)
{
	int i = atoi(name + strlen("node-"));

	return i < sim->n ? i : 0;
}

static void send_peer(struct sim *sim, int from, int to, struct sim_event event)
{
	struct sim_node *node = &sim->nodes[from];
	bool is_heartbeat = event.kind == EVENT_PING || event.kind == EVENT_ACK;
	double loss = is_heartbeat ? sim->loss : sim->push_loss;

	event.from = from;
	event.to = to;
	node->sent_messages++;
	node->sent_bytes +=
		is_heartbeat ? HEARTBEAT_BYTES : FRAME_HEADER_BYTES + event.len;
	if ((double)sim_random(sim, 1000) < loss * 1000) {
		free(event.data);
		return;
	}
	send_event(sim, event);
}

void sim_send_digest(struct sim *sim, int node, const char *peer,
		     const Peer__TableDigest *message)
{
	struct sim_event event = {.kind = EVENT_DIGEST};

	event.len = peer__table_digest__get_packed_size(message);
	event.data = mem_zalloc(event.len);
	peer__table_digest__pack(message, event.data);
	send_peer(sim, node, index_from_name(sim, peer), event);
}

void sim_send_request(struct sim *sim, int node, const char *peer,
		      const Peer__TableRequest *message)
{
	struct sim_event event = {.kind = EVENT_REQUEST};

	event.len = peer__table_request__get_packed_size(message);
	event.data = mem_zalloc(event.len);
	peer__table_request__pack(message, event.data);
	send_peer(sim, node, index_from_name(sim, peer), event);
}

void sim_send_update(struct sim *sim, int node, const char *peer,
		     const Peer__TableUpdate *message)
{
	struct sim_event event = {.kind = EVENT_UPDATE};

	event.len = peer__table_update__get_packed_size(message);
	event.data = mem_zalloc(event.len);
	peer__table_update__pack(message, event.data);
	send_peer(sim, node, index_from_name(sim, peer), event);
}

void sim_call(struct sim *sim, int node, const struct reader_call *call)
{
	struct sim_event event = {
		.kind = EVENT_CALL,
		.from = node,
		.to = SIM_PLATFORM,
		.call = *call,
	};

	if (!sim->nodes[node].is_platform_unreachable)
		send_event(sim, event);
}

/* Platform. */

static void reply(struct sim *sim, const struct sim_event *call,
		  enum event_kind kind, struct platform_answer answer)
{
	struct sim_event event = {
		.kind = kind,
		.from = SIM_PLATFORM,
		.to = call->from,
		.call = call->call,
		.answer = answer,
	};

	sim->platform.bytes += answer.text.len;
	send_event(sim, event);
}

static const struct sim_version *choose_version(struct sim *sim)
{
	struct sim_platform *platform = &sim->platform;
	int shown = platform->shown;

	if (platform->alternate >= 0 && sim_random(sim, 2))
		shown = platform->alternate;
	return shown >= 0 ? &platform->versions[shown] : NULL;
}

static int platform_error(const struct sim_platform *platform)
{
	if (platform->down)
		return ERR_UNAVAILABLE;
	return platform->retry_after_ms ? ERR_BUDGET : 0;
}

static void answer_instances(struct sim *sim, const struct sim_event *call,
			     bool last)
{
	struct platform_answer answer = {
		.newer = !call->call.after,
		.revision = 1,
	};

	if (answer.newer)
		answer.text = STR("[]");

	if (answer.newer || last)
		reply(sim, call, EVENT_ANSWER, answer);
}

/*
 * Answers a call if the platform failed, has something newer, or the call's
 * wait is over (@last). Returns whether the call is done.
 */
static bool answer_if_ready(struct sim *sim, const struct sim_event *call,
			    bool last)
{
	struct platform_answer answer = {
		.code = platform_error(&sim->platform)};
	const struct sim_version *version = choose_version(sim);

	if (!answer.code && !version)
		answer.code = ERR_KEY_MISSING;
	if (answer.code) {
		answer.retry_after_ms = sim->platform.retry_after_ms;
		reply(sim, call, EVENT_ANSWER, answer);
		return true;
	}
	if (call->call.key == READER_INSTANCES) {
		answer_instances(sim, call, last);
		return last || !call->call.after;
	}
	if (!call->call.conditional || version->revision > call->call.after) {
		answer.newer = true;
		answer.revision = version->revision;
		answer.text = (struct str){version->text, version->len};
	}
	if (!answer.newer && !last)
		return false;
	reply(sim, call, EVENT_ANSWER, answer);
	return true;
}

static void receive_call(struct sim *sim, struct sim_event event)
{
	sim->platform.calls++;
	if (answer_if_ready(sim, &event, !event.call.wait_ms))
		return;
	event.due_at = sim_now(sim) + MSEC(event.call.wait_ms);
	MEM_GROW(sim->waiting_calls, sim->n_waiting, sim->waiting_cap);
	sim->waiting_calls[sim->n_waiting++] = event;
}

/* Answers the waiting calls for which there is something new. */
static void answer_waiting(struct sim *sim)
{
	int i = 0;

	while (i < sim->n_waiting) {
		struct sim_event event = sim->waiting_calls[i];

		if (answer_if_ready(sim, &event, false))
			sim->waiting_calls[i] =
				sim->waiting_calls[--sim->n_waiting];
		else
			i++;
	}
}

static void answer_expired(struct sim *sim)
{
	int i = 0;

	while (i < sim->n_waiting) {
		struct sim_event event = sim->waiting_calls[i];

		if (event.due_at > sim_now(sim)) {
			i++;
			continue;
		}
		sim->waiting_calls[i] = sim->waiting_calls[--sim->n_waiting];
		answer_if_ready(sim, &event, true);
	}
}

void sim_show_version(struct sim *sim, int version, int alternate)
{
	sim->platform.shown = version;
	sim->platform.alternate = alternate;
	answer_waiting(sim);
}

int sim_publish(struct sim *sim, char *text, size_t len, uint64_t revision)
{
	struct sim_platform *platform = &sim->platform;
	struct sim_version *version = &platform->versions[platform->n_versions];
	struct table table;

	version->revision = revision;
	version->text = text;
	version->len = len;
	version->digest = 0;
	if (!table_init(&table, text, len, revision, NULL)) {
		version->digest = table.digest;
		table_finish(&table);
	}
	platform->n_versions++;
	sim_show_version(sim, platform->n_versions - 1, -1);
	return platform->n_versions - 1;
}

int sim_publish_sheets(struct sim *sim, const struct table_gen *sheets,
		       uint64_t revision)
{
	size_t len;
	char *text = table_gen_text(sheets, &len);

	return sim_publish(sim, text, len, revision);
}

static void add_part(struct sim *sim, uint64_t revision, int i,
		     const char *text, size_t len, FILE *manifest)
{
	struct sim_platform *platform = &sim->platform;
	struct sim_part *part =
		&platform->parts[platform->n_parts % SIM_PARTS_MAX];

	free(part->text);
	memset(part, 0, sizeof(*part));
	snprintf(part->key, sizeof(part->key), "table.%" PRIu64 ".%d", revision,
		 i);
	part->text = mem_dup_len(text, len);
	part->len = len;
	platform->n_parts++;
	fprintf(manifest, "%s{\"key\":\"%s\",\"digest\":\"%016" PRIx64 "\"}",
		i ? "," : "", part->key, str_hash((struct str){text, len}));
}

int sim_publish_parts(struct sim *sim, const struct table_gen *sheets,
		      uint64_t revision, int n)
{
	struct table table;
	char *manifest;
	size_t manifest_len;
	FILE *out = open_memstream(&manifest, &manifest_len);
	size_t len;
	char *text = table_gen_text(sheets, &len);
	int version;
	int i;

	fputs("{\"manifest\":[", out);
	for (i = 0; i < n; i++) {
		size_t from = len * (size_t)i / (size_t)n;
		size_t to = len * (size_t)(i + 1) / (size_t)n;

		add_part(sim, revision, i, text + from, to - from, out);
	}
	fputs("]}", out);
	fclose(out);
	version = sim_publish(sim, manifest, manifest_len, revision);
	if (!table_init(&table, text, len, revision, NULL)) {
		sim->platform.versions[version].digest = table.digest;
		table_finish(&table);
	}
	free(text);
	return version;
}

static void fetch_part(void *ctx, const char *key, uint64_t id)
{
	struct sim_node *node = ctx;
	struct sim *sim = node->sim;
	struct sim_event call = {.from = node->index, .call = {.id = id}};
	struct platform_answer answer = {
		.code = platform_error(&sim->platform)};
	int i;

	sim->platform.part_calls++;
	if (sim->platform.on_part)
		sim->platform.on_part(sim, key);
	if (!answer.code)
		answer.code = ERR_KEY_MISSING;
	for (i = 0; i < SIM_PARTS_MAX; i++) {
		struct sim_part *part = &sim->platform.parts[i];

		if (!part->text || part->hidden || strcmp(part->key, key))
			continue;
		answer.code = 0;
		answer.newer = true;
		answer.text = (struct str){part->text, part->len};
	}
	reply(sim, &call, EVENT_PART, answer);
}

/* The table_sync module as a policy. */

static void on_call(void *ctx, const struct reader_call *call)
{
	struct sim_node *node = ctx;

	sim_call(node->sim, node->index, call);
}

static void on_send_digest(void *ctx, const char *peer,
			   const Peer__TableDigest *message)
{
	struct sim_node *node = ctx;

	sim_send_digest(node->sim, node->index, peer, message);
}

static void on_send_request(void *ctx, const char *peer,
			    const Peer__TableRequest *message)
{
	struct sim_node *node = ctx;

	sim_send_request(node->sim, node->index, peer, message);
}

static void on_send_update(void *ctx, const char *peer,
			   const Peer__TableUpdate *message)
{
	struct sim_node *node = ctx;

	sim_send_update(node->sim, node->index, peer, message);
}

static void free_table(struct sim_node *node)
{
	if (!node->table)
		return;
	table_finish(node->table);
	free(node->table);
	node->table = NULL;
}

static void on_in_force(void *ctx, struct table *table)
{
	struct sim_node *node = ctx;

	free_table(node);
	node->table = table;
}

static void on_instances(void *ctx, struct str text, uint64_t revision)
{
	(void)ctx;
	(void)text;
	(void)revision;
}

static const struct table_sync_ops sync_ops = {
	.call = on_call,
	.fetch_part = fetch_part,
	.send_digest = on_send_digest,
	.send_request = on_send_request,
	.send_update = on_send_update,
	.in_force = on_in_force,
	.instances = on_instances,
};

static void *sync_start(struct sim *sim, int node)
{
	struct table_sync *sync = mem_zalloc(sizeof(*sync));
	struct sim_node *n = &sim->nodes[node];

	table_sync_init(sync, &sim->clock, n->name, n->data_centre, &sync_ops,
			n, (uint64_t)sim_random(sim, INT64_MAX));
	return sync;
}

static void sync_finish(void *state)
{
	table_sync_finish(state);
	free(state);
}

static void sync_set_members(void *state, const struct table_member *members,
			     int n)
{
	table_sync_set_members(state, members, n);
}

static void sync_tick(void *state)
{
	table_sync_tick(state);
}

static void sync_answered(void *state, enum reader_key key, uint64_t id,
			  const struct platform_answer *answer)
{
	table_sync_receive_answer(state, key, id, answer);
}

static void sync_part(void *state, uint64_t id,
		      const struct platform_answer *answer)
{
	table_sync_receive_part(state, id, answer);
}

static void sync_heartbeat(void *state, const char *peer, uint64_t revision,
			   uint64_t digest, uint32_t age_ms)
{
	table_sync_receive_heartbeat(state, peer, revision, digest, age_ms);
}

static void sync_digest(void *state, const char *peer,
			const Peer__TableDigest *message)
{
	table_sync_receive_digest(state, peer, message);
}

static void sync_request(void *state, const char *peer,
			 const Peer__TableRequest *message)
{
	table_sync_receive_request(state, peer, message);
}

static void sync_update(void *state, const char *peer,
			const Peer__TableUpdate *message)
{
	table_sync_receive_update(state, peer, message);
}

static const struct table *sync_in_force(const void *state)
{
	return ((const struct table_sync *)state)->in_force;
}

static uint32_t sync_age_ms(const void *state)
{
	return table_sync_age_ms(state);
}

const struct sim_policy sim_table_sync = {
	.start = sync_start,
	.finish = sync_finish,
	.set_members = sync_set_members,
	.tick = sync_tick,
	.answered = sync_answered,
	.part = sync_part,
	.heartbeat = sync_heartbeat,
	.digest = sync_digest,
	.request = sync_request,
	.update = sync_update,
	.in_force = sync_in_force,
	.age_ms = sync_age_ms,
};

/* Instances. */

struct table_sync *sim_node_sync(struct sim *sim, int node)
{
	return sim->nodes[node].state;
}

void sim_init(struct sim *sim, const struct sim_policy *policy, int n,
	      int n_data_centres, uint64_t seed)
{
	int i;

	memset(sim, 0, sizeof(*sim));
	clock_init_paused(&sim->clock, MSEC(1000000));
	sim->policy = policy;
	sim->n = n;
	sim->n_data_centres = n_data_centres;
	sim->random = seed;
	sim->platform.shown = -1;
	sim->platform.alternate = -1;
	sim->nodes = mem_zalloc((size_t)n * sizeof(*sim->nodes));
	for (i = 0; i < n; i++) {
		struct sim_node *node = &sim->nodes[i];

		node->sim = sim;
		node->index = i;
		snprintf(node->name, sizeof(node->name), "node-%04d", i);
		snprintf(node->data_centre, sizeof(node->data_centre), "dc-%d",
			 i % n_data_centres);
	}
}

void sim_finish(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++)
		sim_stop(sim, i);
	for (i = 0; i < sim->n_events; i++)
		free(sim->events[i].data);
	for (i = 0; i < sim->platform.n_versions; i++)
		free(sim->platform.versions[i].text);
	for (i = 0; i < SIM_PARTS_MAX; i++)
		free(sim->platform.parts[i].text);
	free(sim->events);
	free(sim->waiting_calls);
	free(sim->nodes);
}

static int list_members(const struct sim *sim, struct table_member *out)
{
	int n = 0;
	int i;

	for (i = 0; i < sim->n; i++) {
		const struct sim_node *node = &sim->nodes[i];

		if (node->alive)
			out[n++] = (struct table_member){
				.instance = str_from(node->name),
				.data_centre = str_from(node->data_centre),
			};
	}
	return n;
}

void sim_set_members(struct sim *sim)
{
	struct table_member *members =
		mem_zalloc((size_t)sim->n * sizeof(*members));
	int n = list_members(sim, members);
	int i;

	for (i = 0; i < sim->n; i++) {
		if (sim->nodes[i].alive)
			sim->policy->set_members(sim->nodes[i].state, members,
						 n);
	}
	free(members);
}

static void start_node(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	node->alive = true;
	node->incarnation++;
	node->seen_revision = 0;
	node->next_tick = sim_now(sim) + sim_random(sim, TICK_PERIOD);
	node->state = sim->policy->start(sim, i);
}

void sim_start(struct sim *sim, int node)
{
	start_node(sim, node);
	sim_set_members(sim);
}

void sim_start_all(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++)
		start_node(sim, i);
	sim_set_members(sim);
}

void sim_stop(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	if (!node->alive)
		return;
	node->alive = false;
	node->incarnation++;
	sim->policy->finish(node->state);
	node->state = NULL;
	free_table(node);
}

static uint64_t nanoseconds(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (uint64_t)ts.tv_sec * 1000000000 + (uint64_t)ts.tv_nsec;
}

static bool was_published(const struct sim *sim, const struct table *table)
{
	int i;

	for (i = sim->platform.n_versions - 1; i >= 0; i--) {
		const struct sim_version *v = &sim->platform.versions[i];

		if (v->revision == table->revision &&
		    v->digest == table->digest)
			return true;
	}
	return false;
}

/* Checks the table in force after each step of a node. */
static void check_in_force(struct sim *sim, struct sim_node *node)
{
	const struct table *table;

	if (!node->alive)
		return;
	table = sim->policy->in_force(node->state);
	if (!table || table->revision == node->seen_revision)
		return;
	if (table->revision < node->seen_revision)
		sim->reverts++;
	if (!was_published(sim, table))
		sim->unpublished++;
	node->seen_revision = table->revision;
	node->reached_at = sim_now(sim);
}

static void receive_digest(struct sim *sim, struct sim_node *node,
			   const struct sim_event *event)
{
	Peer__TableDigest *message =
		peer__table_digest__unpack(NULL, event->len, event->data);

	sim->policy->digest(node->state, sim->nodes[event->from].name, message);
	peer__table_digest__free_unpacked(message, NULL);
}

static void receive_request(struct sim *sim, struct sim_node *node,
			    const struct sim_event *event)
{
	Peer__TableRequest *message =
		peer__table_request__unpack(NULL, event->len, event->data);

	sim->policy->request(node->state, sim->nodes[event->from].name,
			     message);
	peer__table_request__free_unpacked(message, NULL);
}

static void receive_update(struct sim *sim, struct sim_node *node,
			   const struct sim_event *event)
{
	Peer__TableUpdate *message =
		peer__table_update__unpack(NULL, event->len, event->data);

	sim->policy->update(node->state, sim->nodes[event->from].name, message);
	peer__table_update__free_unpacked(message, NULL);
}

static void send_heartbeat(struct sim *sim, int from, int to,
			   enum event_kind kind)
{
	const void *state = sim->nodes[from].state;
	const struct table *table = sim->policy->in_force(state);
	struct sim_event event = {.kind = kind};

	if (table) {
		event.revision = table->revision;
		event.digest = table->digest;
		event.age_ms = sim->policy->age_ms(state);
	}
	send_peer(sim, from, to, event);
}

static void receive(struct sim *sim, const struct sim_event *event)
{
	struct sim_node *node = &sim->nodes[event->to];

	switch (event->kind) {
	case EVENT_ANSWER:
		sim->policy->answered(node->state, event->call.key,
				      event->call.id, &event->answer);
		break;
	case EVENT_PART:
		sim->policy->part(node->state, event->call.id, &event->answer);
		break;
	case EVENT_PING:
		send_heartbeat(sim, event->to, event->from, EVENT_ACK);
		/* fall through */
	case EVENT_ACK:
		sim->policy->heartbeat(node->state,
				       sim->nodes[event->from].name,
				       event->revision, event->digest,
				       event->age_ms);
		break;
	case EVENT_DIGEST:
		receive_digest(sim, node, event);
		break;
	case EVENT_REQUEST:
		receive_request(sim, node, event);
		break;
	case EVENT_UPDATE:
		receive_update(sim, node, event);
		break;
	default:
		break;
	}
}

static void record_time(struct sim *sim, uint64_t since)
{
	uint64_t spent = nanoseconds() - since;

	sim->busy_ns += spent;
	if (spent > sim->longest_ns)
		sim->longest_ns = spent;
}

static void handle_event(struct sim *sim, struct sim_event event)
{
	struct sim_node *node;
	uint64_t since = 0;

	if (event.kind == EVENT_CALL) {
		receive_call(sim, event);
		return;
	}
	node = &sim->nodes[event.to];
	if (!node->alive || node->incarnation != event.incarnation) {
		free(event.data);
		return;
	}
	if (node->paused_until > sim_now(sim)) {
		event.due_at = node->paused_until;
		heap_push(sim, event);
		return;
	}
	if (sim->timed)
		since = nanoseconds();
	receive(sim, &event);
	if (sim->timed)
		record_time(sim, since);
	free(event.data);
	check_in_force(sim, node);
}

/* Sends a heartbeat to a random member of the node's own data centre. */
static void send_ping(struct sim *sim, struct sim_node *node)
{
	int n = (sim->n - node->index % sim->n_data_centres +
		 sim->n_data_centres - 1) /
		sim->n_data_centres;
	int to = node->index % sim->n_data_centres +
		 (int)sim_random(sim, n) * sim->n_data_centres;

	if (to == node->index || !sim->nodes[to].alive || sim->heartbeats_off)
		return;
	send_heartbeat(sim, node->index, to, EVENT_PING);
}

static void tick(struct sim *sim, struct sim_node *node)
{
	int64_t now = sim_now(sim);
	uint64_t since = 0;

	if (!node->alive || now < node->next_tick || now < node->paused_until)
		return;
	node->next_tick = now + TICK_PERIOD;
	if (sim->timed)
		since = nanoseconds();
	sim->policy->tick(node->state);
	if (sim->timed)
		record_time(sim, since);
	check_in_force(sim, node);
	if ((now / TICK_PERIOD + node->index) % (PING_PERIOD / TICK_PERIOD) ==
	    0)
		send_ping(sim, node);
}

/* Simulates 1 ms: first the messages that arrive, then the ticks due. */
static void step(struct sim *sim)
{
	int i;

	clock_advance(&sim->clock, MSEC(1));
	while (sim->n_events && sim->events[0].due_at <= sim_now(sim))
		handle_event(sim, heap_pop(sim));
	answer_expired(sim);
	for (i = 0; i < sim->n; i++)
		tick(sim, &sim->nodes[i]);
}

void sim_run(struct sim *sim, int64_t ms)
{
	while (ms-- > 0)
		step(sim);
}

int sim_count_in_force(const struct sim *sim, uint64_t revision)
{
	int count = 0;
	int i;

	for (i = 0; i < sim->n; i++)
		count += sim->nodes[i].alive &&
			 sim->nodes[i].seen_revision == revision;
	return count;
}

static int count_alive(const struct sim *sim)
{
	int count = 0;
	int i;

	for (i = 0; i < sim->n; i++)
		count += sim->nodes[i].alive;
	return count;
}

int64_t sim_run_until(struct sim *sim, uint64_t revision, int64_t ms)
{
	int64_t start_at = sim_now(sim);

	while (ms-- > 0) {
		if (sim_count_in_force(sim, revision) == count_alive(sim))
			return sim_now(sim) - start_at;
		step(sim);
	}
	return -1;
}
