#include "table_sim.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "mem.h"

#define TICK MSEC(100)
#define PING_PERIOD MSEC(500)
#define NEAR_DELAY MSEC(1)
#define FAR_DELAY MSEC(20)
#define CALL_DELAY MSEC(3)
/* FRAME_HEADER_SIZE of frame.h */
#define FRAME_BYTES 12
/* The table's revision, digest and age in a heartbeat or its answer. */
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
	int64_t at;
	uint64_t sequence;
	enum event_kind kind;
	int from;
	int to;
	uint32_t life; /* of the receiver */
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

static int64_t now_of(const struct sim *sim)
{
	return clock_now(&sim->clock);
}

/* The queue: a binary heap, earliest first. */

static bool before(const struct sim_event *a, const struct sim_event *b)
{
	if (a->at != b->at)
		return a->at < b->at;
	return a->sequence < b->sequence;
}

static void swap(struct sim_event *a, struct sim_event *b)
{
	struct sim_event tmp = *a;

	*a = *b;
	*b = tmp;
}

static void push(struct sim *sim, struct sim_event event)
{
	int i = sim->n_events;

	MEM_GROW(sim->events, sim->n_events, sim->events_cap);
	event.sequence = sim->sequence++;
	sim->events[sim->n_events++] = event;
	while (i && before(&sim->events[i], &sim->events[(i - 1) / 2])) {
		swap(&sim->events[i], &sim->events[(i - 1) / 2]);
		i = (i - 1) / 2;
	}
}

static struct sim_event pop(struct sim *sim)
{
	struct sim_event first = sim->events[0];
	int i = 0;

	sim->events[0] = sim->events[--sim->n_events];
	for (;;) {
		int least = i;
		int child = 2 * i + 1;

		if (child < sim->n_events &&
		    before(&sim->events[child], &sim->events[least]))
			least = child;
		child++;
		if (child < sim->n_events &&
		    before(&sim->events[child], &sim->events[least]))
			least = child;
		if (least == i)
			return first;
		swap(&sim->events[i], &sim->events[least]);
		i = least;
	}
}

/* The network. */

static int group_of(const struct sim *sim, int node)
{
	return node == SIM_PLATFORM ? sim->platform.group
				    : sim->nodes[node].group;
}

static int64_t delay(struct sim *sim, int from, int to)
{
	int64_t base = CALL_DELAY;

	if (from != SIM_PLATFORM && to != SIM_PLATFORM)
		base = sim->peer_delay + (from % sim->n_dc == to % sim->n_dc
						  ? NEAR_DELAY
						  : FAR_DELAY);
	return base / 2 + sim_random(sim, base);
}

/* Messages to a life that has ended are not for the next one. */
static uint32_t life_of(const struct sim *sim, int node)
{
	return node == SIM_PLATFORM ? 0 : sim->nodes[node].life;
}

static void post(struct sim *sim, struct sim_event event)
{
	event.life = life_of(sim, event.to);
	event.at = now_of(sim) + delay(sim, event.from, event.to);
	if (group_of(sim, event.from) == group_of(sim, event.to)) {
		push(sim, event);
		return;
	}
	free(event.data);
}

static int find_node(const struct sim *sim, const char *name)
{
	int i = atoi(name + strlen("node-"));

	return i < sim->n ? i : 0;
}

static void send_peer(struct sim *sim, int from, int to, struct sim_event event)
{
	struct sim_node *node = &sim->nodes[from];
	bool heartbeat = event.kind == EVENT_PING || event.kind == EVENT_ACK;
	double loss = heartbeat ? sim->loss : sim->push_loss;

	event.from = from;
	event.to = to;
	node->sent_messages++;
	node->sent_bytes +=
		heartbeat ? HEARTBEAT_BYTES : FRAME_BYTES + event.len;
	if ((double)sim_random(sim, 1000) < loss * 1000) {
		free(event.data);
		return;
	}
	post(sim, event);
}

void sim_send_digest(struct sim *sim, int node, const char *peer,
		     const Peer__TableDigest *message)
{
	struct sim_event event = {.kind = EVENT_DIGEST};

	event.len = peer__table_digest__get_packed_size(message);
	event.data = mem_zalloc(event.len);
	peer__table_digest__pack(message, event.data);
	send_peer(sim, node, find_node(sim, peer), event);
}

void sim_send_request(struct sim *sim, int node, const char *peer,
		      const Peer__TableRequest *message)
{
	struct sim_event event = {.kind = EVENT_REQUEST};

	event.len = peer__table_request__get_packed_size(message);
	event.data = mem_zalloc(event.len);
	peer__table_request__pack(message, event.data);
	send_peer(sim, node, find_node(sim, peer), event);
}

void sim_send_update(struct sim *sim, int node, const char *peer,
		     const Peer__TableUpdate *message)
{
	struct sim_event event = {.kind = EVENT_UPDATE};

	event.len = peer__table_update__get_packed_size(message);
	event.data = mem_zalloc(event.len);
	peer__table_update__pack(message, event.data);
	send_peer(sim, node, find_node(sim, peer), event);
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
		post(sim, event);
}

/* The platform. */

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
	post(sim, event);
}

static const struct sim_version *visible(struct sim *sim)
{
	struct sim_platform *platform = &sim->platform;
	int shown = platform->shown;

	if (platform->other >= 0 && sim_random(sim, 2))
		shown = platform->other;
	return shown >= 0 ? &platform->versions[shown] : NULL;
}

static int failure(const struct sim_platform *platform)
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

/* Return: whether the call was answered, and does not wait on. */
static bool try_answer(struct sim *sim, const struct sim_event *call, bool last)
{
	struct platform_answer answer = {.code = failure(&sim->platform)};
	const struct sim_version *version = visible(sim);

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

static void take_call(struct sim *sim, struct sim_event event)
{
	sim->platform.calls++;
	if (try_answer(sim, &event, !event.call.wait_ms))
		return;
	event.at = now_of(sim) + MSEC(event.call.wait_ms);
	MEM_GROW(sim->waiting, sim->n_waiting, sim->waiting_cap);
	sim->waiting[sim->n_waiting++] = event;
}

/* Calls that wait are answered when something new shows. */
static void answer_waiting(struct sim *sim)
{
	int i = 0;

	while (i < sim->n_waiting) {
		struct sim_event event = sim->waiting[i];

		if (try_answer(sim, &event, false))
			sim->waiting[i] = sim->waiting[--sim->n_waiting];
		else
			i++;
	}
}

static void answer_expired(struct sim *sim)
{
	int i = 0;

	while (i < sim->n_waiting) {
		struct sim_event event = sim->waiting[i];

		if (event.at > now_of(sim)) {
			i++;
			continue;
		}
		sim->waiting[i] = sim->waiting[--sim->n_waiting];
		try_answer(sim, &event, true);
	}
}

void sim_show_version(struct sim *sim, int version, int other)
{
	sim->platform.shown = version;
	sim->platform.other = other;
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
	struct platform_answer answer = {.code = failure(&sim->platform)};
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

/* The module under test as a policy. */

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

static void drop_table(struct sim_node *node)
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

	drop_table(node);
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

static void sync_heard(void *state, const char *peer, uint64_t revision,
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
	.heard = sync_heard,
	.digest = sync_digest,
	.request = sync_request,
	.update = sync_update,
	.in_force = sync_in_force,
	.age_ms = sync_age_ms,
};

/* The instances. */

struct table_sync *sim_node_sync(struct sim *sim, int node)
{
	return sim->nodes[node].state;
}

void sim_init(struct sim *sim, const struct sim_policy *policy, int n, int n_dc,
	      uint64_t seed)
{
	int i;

	memset(sim, 0, sizeof(*sim));
	clock_init_paused(&sim->clock, MSEC(1000000));
	sim->policy = policy;
	sim->n = n;
	sim->n_dc = n_dc;
	sim->random = seed;
	sim->platform.shown = -1;
	sim->platform.other = -1;
	sim->nodes = mem_zalloc((size_t)n * sizeof(*sim->nodes));
	for (i = 0; i < n; i++) {
		struct sim_node *node = &sim->nodes[i];

		node->sim = sim;
		node->index = i;
		snprintf(node->name, sizeof(node->name), "node-%04d", i);
		snprintf(node->data_centre, sizeof(node->data_centre), "dc-%d",
			 i % n_dc);
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
	free(sim->waiting);
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

static void start(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	node->alive = true;
	node->life++;
	node->seen = 0;
	node->next_tick = now_of(sim) + sim_random(sim, TICK);
	node->state = sim->policy->start(sim, i);
}

void sim_start(struct sim *sim, int node)
{
	start(sim, node);
	sim_set_members(sim);
}

void sim_start_all(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++)
		start(sim, i);
	sim_set_members(sim);
}

void sim_stop(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];

	if (!node->alive)
		return;
	node->alive = false;
	node->life++;
	sim->policy->finish(node->state);
	node->state = NULL;
	drop_table(node);
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

/* What must hold at every step. */
static void check(struct sim *sim, struct sim_node *node)
{
	const struct table *table;

	if (!node->alive)
		return;
	table = sim->policy->in_force(node->state);
	if (!table || table->revision == node->seen)
		return;
	if (table->revision < node->seen)
		sim->reverts++;
	if (!was_published(sim, table))
		sim->mixed++;
	node->seen = table->revision;
	node->reached_at = now_of(sim);
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
		sim->policy->heard(node->state, sim->nodes[event->from].name,
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

static void account(struct sim *sim, uint64_t since)
{
	uint64_t spent = nanoseconds() - since;

	sim->busy_ns += spent;
	if (spent > sim->longest_ns)
		sim->longest_ns = spent;
}

static void handle(struct sim *sim, struct sim_event event)
{
	struct sim_node *node;
	uint64_t since = 0;

	if (event.kind == EVENT_CALL) {
		take_call(sim, event);
		return;
	}
	node = &sim->nodes[event.to];
	if (!node->alive || node->life != event.life) {
		free(event.data);
		return;
	}
	if (node->paused_until > now_of(sim)) {
		event.at = node->paused_until;
		push(sim, event);
		return;
	}
	if (sim->timed)
		since = nanoseconds();
	receive(sim, &event);
	if (sim->timed)
		account(sim, since);
	free(event.data);
	check(sim, node);
}

/* Heartbeats go to a random member of the own data centre. */
static void ping(struct sim *sim, struct sim_node *node)
{
	int n = (sim->n - node->index % sim->n_dc + sim->n_dc - 1) / sim->n_dc;
	int to = node->index % sim->n_dc + (int)sim_random(sim, n) * sim->n_dc;

	if (to == node->index || !sim->nodes[to].alive || sim->heartbeats_off)
		return;
	send_heartbeat(sim, node->index, to, EVENT_PING);
}

static void tick(struct sim *sim, struct sim_node *node)
{
	int64_t now = now_of(sim);
	uint64_t since = 0;

	if (!node->alive || now < node->next_tick || now < node->paused_until)
		return;
	node->next_tick = now + TICK;
	if (sim->timed)
		since = nanoseconds();
	sim->policy->tick(node->state);
	if (sim->timed)
		account(sim, since);
	check(sim, node);
	if ((now / TICK + node->index) % (PING_PERIOD / TICK) == 0)
		ping(sim, node);
}

/* One millisecond: what arrives in it, then the ticks that are due. */
static void step(struct sim *sim)
{
	int i;

	clock_advance(&sim->clock, MSEC(1));
	while (sim->n_events && sim->events[0].at <= now_of(sim))
		handle(sim, pop(sim));
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
		count += sim->nodes[i].alive && sim->nodes[i].seen == revision;
	return count;
}

static int n_alive(const struct sim *sim)
{
	int count = 0;
	int i;

	for (i = 0; i < sim->n; i++)
		count += sim->nodes[i].alive;
	return count;
}

int64_t sim_run_until(struct sim *sim, uint64_t revision, int64_t ms)
{
	int64_t start_at = now_of(sim);

	while (ms-- > 0) {
		if (sim_count_in_force(sim, revision) == n_alive(sim))
			return now_of(sim) - start_at;
		step(sim);
	}
	return -1;
}
