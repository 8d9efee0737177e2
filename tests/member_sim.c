#include "member_sim.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "log.h"
#include "mem.h"
#include "peer.pb-c.h"

#define FIRST_PORT 10000

enum message_kind {
	MESSAGE_DATAGRAM,
	MESSAGE_MEMBERS,
	MESSAGE_VIEW,
	MESSAGE_REFUSED,
	MESSAGE_TICK,
};

struct sim_message {
	int64_t at;
	uint64_t order;
	enum message_kind kind;
	int from;
	int to;
	uint64_t incarnation;
	char *data;
	size_t len;
	struct sim_message *next;
};

uint64_t sim_random(struct sim *sim)
{
	uint64_t z = (sim->seed += 0x9e3779b97f4a7c15ULL);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static bool earlier(const struct sim_message *a, const struct sim_message *b)
{
	return a->at != b->at ? a->at < b->at : a->order < b->order;
}

static void push(struct sim *sim, struct sim_message *message)
{
	int i = sim->n_heap;

	message->order = ++sim->order;
	MEM_GROW(sim->heap, sim->n_heap, sim->cap_heap);
	sim->n_heap++;
	while (i > 0 && earlier(message, sim->heap[(i - 1) / 2])) {
		sim->heap[i] = sim->heap[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	sim->heap[i] = message;
}

static struct sim_message *pop(struct sim *sim)
{
	struct sim_message *first = sim->heap[0];
	struct sim_message *last = sim->heap[--sim->n_heap];
	int i = 0;

	while (2 * i + 1 < sim->n_heap) {
		int child = 2 * i + 1;

		if (child + 1 < sim->n_heap &&
		    earlier(sim->heap[child + 1], sim->heap[child]))
			child++;
		if (!earlier(sim->heap[child], last))
			break;
		sim->heap[i] = sim->heap[child];
		i = child;
	}
	sim->heap[i] = last;
	return first;
}

static void free_message(struct sim_message *message)
{
	free(message->data);
	free(message);
}

static struct sim_message *new_message(struct sim *sim, int64_t delay,
				       enum message_kind kind, int from, int to)
{
	struct sim_message *message = mem_zalloc(sizeof(*message));

	message->at = clock_now(&sim->clock) + delay;
	message->kind = kind;
	message->from = from;
	message->to = to;
	return message;
}

static void post(struct sim_node *node, const struct address *to,
		 enum message_kind kind, const void *data, size_t len)
{
	struct sim *sim = node->sim;
	int64_t delay = 1 + (int64_t)(sim_random(sim) % sim->delay);
	struct sim_message *message = new_message(sim, delay, kind, node->index,
						  to->port - FIRST_PORT);

	message->data = mem_dup_len(data, len);
	message->len = len;
	push(sim, message);
}

static bool is_far(const struct sim *sim, const struct sim_node *from,
		   const struct address *to)
{
	int i;

	for (i = 0; i < sim->n; i++) {
		if (address_eq(&sim->nodes[i].peer_address, to))
			return strcmp(sim->nodes[i].data_centre,
				      from->data_centre);
	}
	return false;
}

static void send_datagram(void *arg, const struct address *to, const void *data,
			  size_t len)
{
	struct sim_node *node = arg;
	struct sim *sim = node->sim;

	sim->datagrams++;
	sim->cross_dc_datagrams += is_far(sim, node, to);
	sim->datagram_bytes += len;
	if ((double)(sim_random(sim) % 1000000) < sim->loss * 1e6)
		return;
	post(node, to, MESSAGE_DATAGRAM, data, len);
}

static void post_message(struct sim_node *node, const struct address *to,
			 enum message_kind kind,
			 const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	uint8_t *data = mem_zalloc(len);

	protobuf_c_message_pack(message, data);
	node->sim->frames++;
	node->sim->frame_bytes += len;
	post(node, to, kind, data, len);
	free(data);
}

static bool send_members(void *arg, const struct address *to,
			 const Peer__Members *message)
{
	post_message(arg, to, MESSAGE_MEMBERS, &message->base);
	return true;
}

static void send_view(void *arg, const struct member *to,
		      const Peer__ViewState *message)
{
	post_message(arg, &to->peer_address, MESSAGE_VIEW, &message->base);
}

static void check_address(void *arg, const struct member *member)
{
	struct sim_node *node = arg;
	struct sim *sim = node->sim;
	int to = member->peer_address.port - FIRST_PORT;
	struct sim_message *message;

	if (sim->nodes[to].up || !(sim->nodes[to].side & node->side))
		return;
	message =
		new_message(sim, sim->delay, MESSAGE_REFUSED, to, node->index);
	message->incarnation = member->incarnation;
	push(sim, message);
}

static void confirmed(void *arg, int64_t sent_at)
{
	struct sim_node *node = arg;

	if (node->sim->table)
		share_confirm_lease(&node->share, sent_at);
}

static uint64_t random_bits(void *arg)
{
	struct sim_node *node = arg;

	return sim_random(node->sim);
}

static const struct member_ops member_ops = {
	.send_datagram = send_datagram,
	.send_members = send_members,
	.check_address = check_address,
	.confirmed = confirmed,
	.random = random_bits,
};

static const struct share_ops share_ops = {
	.send_view = send_view,
};

static struct table *make_table(int data_centres, int servers, int slots,
				int connections, uint64_t revision)
{
	size_t size = 512 + (size_t)data_centres * servers * 96;
	struct table *table = mem_zalloc(sizeof(*table));
	char *text = mem_zalloc(size);
	struct error err = {0};
	size_t len;
	int i;

	len = snprintf(text, size,
		       "{\"markets\":{\"columns\":[\"name\"],\"rows\":[[\"m\"]]"
		       "},\"services\":{\"columns\":[\"name\",\"market\"],"
		       "\"rows\":[[\"s\",\"m\"]]},\"servers\":{\"columns\":"
		       "[\"name\",\"service\",\"data_centre\",\"address\","
		       "\"slots\",\"connections\"],\"rows\":[");
	for (i = 0; i < data_centres * servers; i++)
		len += snprintf(text + len, size - len,
				"%s[\"b%d\",\"s\",\"dc%d\",\"127.0.0.1:%d\","
				"%d,%d]",
				i ? "," : "", i, i % data_centres, 1000 + i,
				slots, connections);
	len += snprintf(text + len, size - len,
			"]},\"tunables\":{\"columns\":[\"name\",\"value\"],"
			"\"rows\":[]}}");
	if (table_init(table, text, len, revision, &err)) {
		fprintf(stderr, "%s: %s\n", err.subject, err.value);
		abort();
	}
	free(text);
	return table;
}

void sim_init(struct sim *sim, uint64_t seed, int n, int data_centres,
	      int servers, int slots, int connections,
	      const struct share_rule *rule)
{
	int i;

	log_init(getenv("SIM_LOG") ? LOG_LEVEL_DEBUG : LOG_LEVEL_ERROR, NULL);
	memset(sim, 0, sizeof(*sim));
	clock_init_paused(&sim->clock, MSEC(1000000));
	sim->seed = seed;
	sim->rule = rule;
	sim->n = n;
	sim->delay = MSEC(3);
	sim->list_period = MSEC(1000);
	sim->drain = MSEC(100);
	sim->probe_period = MSEC(500);
	sim->lease = MSEC(2000);
	sim->nodes = mem_zalloc(n * sizeof(*sim->nodes));
	if (servers)
		sim->table = make_table(data_centres, servers, slots,
					connections, 1);
	if (sim->table) {
		int rows = sim->table->n_servers;

		sim->sum = mem_zalloc(rows * sizeof(*sim->sum));
		sim->sum_used = mem_zalloc(rows * sizeof(*sim->sum));
	}
	for (i = 0; i < n; i++) {
		struct sim_node *node = &sim->nodes[i];

		node->sim = sim;
		node->index = i;
		node->side = SIM_SIDE_A;
		snprintf(node->name, sizeof(node->name), "n%d", i);
		snprintf(node->data_centre, sizeof(node->data_centre), "dc%d",
			 i % data_centres);
		strcpy(node->peer_address.ip, "127.0.0.1");
		node->peer_address.port = FIRST_PORT + i;
		node->caller_address = node->peer_address;
		if (sim->table)
			node->use = mem_zalloc(sim->table->n_servers *
					       sizeof(*node->use));
	}
}

static void drop_inbox(struct sim_node *node)
{
	struct sim_message *message;

	while ((message = node->inbox)) {
		node->inbox = message->next;
		free_message(message);
	}
}

static void stop_node(struct sim_node *node)
{
	if (!node->up)
		return;
	node->up = false;
	node->paused = false;
	drop_inbox(node);
	member_table_finish(&node->members);
	if (node->sim->table)
		share_finish(&node->share);
}

void sim_finish(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++) {
		stop_node(&sim->nodes[i]);
		free(sim->nodes[i].use);
	}
	while (sim->n_heap)
		free_message(pop(sim));
	free(sim->heap);
	free(sim->nodes);
	free(sim->sum);
	free(sim->sum_used);
	if (sim->table) {
		table_finish(sim->table);
		free(sim->table);
	}
}

static void add_use(struct sim *sim, const struct sim_use *use, int row,
		    int sign)
{
	sim->sum[row].slots += sign * use->usable.slots;
	sim->sum[row].connections += sign * use->usable.connections;
	sim->sum_used[row].slots += sign * use->used.slots;
	sim->sum_used[row].connections += sign * use->used.connections;
}

static void note_overshoot(struct sim *sim, int row)
{
	const struct backend_server *server = &sim->table->servers[row];
	int slots = sim->sum[row].slots - (int)server->slots;
	int used = sim->sum_used[row].slots - (int)server->slots;
	int connections = sim->sum[row].connections - (int)server->connections;

	if (slots > sim->slots_overshoot)
		sim->slots_overshoot = slots;
	if (connections > sim->connections_overshoot)
		sim->connections_overshoot = connections;
	if (used > sim->over_used)
		sim->over_used = used;
}

/*
 * A greedy user: all that may be used is used at once, what may not be used
 * any more ends after the time that a request takes.
 */
static void use_row(struct sim_node *node, struct sim_use *use, int row)
{
	struct sim *sim = node->sim;
	int64_t now = clock_now(&sim->clock);

	use->usable.slots = share_slots(&node->share, row);
	use->usable.connections = share_connections(&node->share, row);
	if (use->used.slots <= use->usable.slots &&
	    use->used.connections <= use->usable.connections) {
		use->used = use->usable;
		use->drain_at = 0;
	} else if (!use->drain_at) {
		use->drain_at = now + sim->drain;
	} else if (now >= use->drain_at) {
		use->used = use->usable;
		use->drain_at = 0;
	}
	share_report_usage(&node->share, row, use->used.slots,
			   use->used.connections);
}

/* What one instance may use has perhaps changed: check the sums. */
static void account(struct sim_node *node)
{
	struct sim *sim = node->sim;
	bool running = node->up && !node->paused;
	int row;

	if (!sim->table || sim->skip_accounting)
		return;
	for (row = 0; row < sim->table->n_servers; row++) {
		struct sim_use *use = &node->use[row];

		add_use(sim, use, row, -1);
		if (running)
			use_row(node, use, row);
		else
			memset(use, 0, sizeof(*use));
		add_use(sim, use, row, 1);
		note_overshoot(sim, row);
	}
}

static bool list_names(const struct sim *sim, const struct sim_node *node)
{
	if (sim->list_mode == SIM_LIST_STALE)
		return node->stale_listed;
	return node->listed;
}

static void read_list(struct sim_node *reader)
{
	struct sim *sim = reader->sim;
	struct member_entry *entries = mem_zalloc(sim->n * sizeof(*entries));
	int n = 0;
	int i;

	for (i = 0; i < sim->n; i++) {
		struct sim_node *node = &sim->nodes[i];

		if (!list_names(sim, node))
			continue;
		if (sim->list_mode == SIM_LIST_FLAPPING && sim_random(sim) % 2)
			continue;
		entries[n].instance = node->name;
		entries[n].data_centre = node->data_centre;
		entries[n].peer_address = node->peer_address;
		entries[n].caller_address = node->caller_address;
		entries[n].leaving = node->listed_leaving;
		n++;
	}
	member_table_apply_list(&reader->members, entries, n);
	free(entries);
}

static void push_tick(struct sim_node *node, int64_t delay)
{
	push(node->sim, new_message(node->sim, delay, MESSAGE_TICK, node->index,
				    node->index));
}

void sim_start(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];
	const struct member_config config = {
		.instance = node->name,
		.data_centre = node->data_centre,
		.peer_address = node->peer_address,
		.caller_address = node->caller_address,
		.probe_period = sim->probe_period,
		.lease = sim->lease,
	};

	member_table_init(&node->members, &sim->clock, &member_ops, node,
			  &config);
	if (sim->table) {
		share_init(&node->share, &sim->clock, &node->members,
			   &share_ops, node, sim->lease, sim->rule);
		share_table_changed(&node->share, sim->table);
	}
	node->up = true;
	node->paused = false;
	node->listed = true;
	node->listed_leaving = false;
	node->next_list = 0;
	push_tick(node, (int64_t)(sim_random(sim) % SIM_TICK));
}

void sim_start_all(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++)
		sim_start(sim, i);
}

void sim_crash(struct sim *sim, int i)
{
	stop_node(&sim->nodes[i]);
	account(&sim->nodes[i]);
}

void sim_pause(struct sim *sim, int i)
{
	sim->nodes[i].paused = true;
	account(&sim->nodes[i]);
}

static void deliver(struct sim *sim, struct sim_message *message);

void sim_resume(struct sim *sim, int i)
{
	struct sim_node *node = &sim->nodes[i];
	struct sim_message *queue = NULL;
	struct sim_message *message;

	node->paused = false;
	/* Before anything else it would send what it had in hand. */
	account(node);
	while ((message = node->inbox)) {
		node->inbox = message->next;
		message->next = queue;
		queue = message;
	}
	while ((message = queue)) {
		queue = message->next;
		deliver(sim, message);
	}
}

void sim_leave(struct sim *sim, int i)
{
	member_table_leave(&sim->nodes[i].members);
	account(&sim->nodes[i]);
}

void sim_exit(struct sim *sim, int i)
{
	member_table_release(&sim->nodes[i].members);
	sim_crash(sim, i);
}

void sim_set_listed(struct sim *sim, int i, bool listed)
{
	sim->nodes[i].listed = listed;
}

void sim_list_mode(struct sim *sim, enum sim_list_mode mode)
{
	int i;

	sim->list_mode = mode;
	for (i = 0; i < sim->n; i++)
		sim->nodes[i].stale_listed = sim->nodes[i].listed;
}

void sim_set_side(struct sim *sim, int i, int side)
{
	sim->nodes[i].side = side;
}

void sim_heal(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++)
		sim->nodes[i].side = SIM_SIDE_A;
}

static void tick(struct sim_node *node)
{
	struct sim *sim = node->sim;
	int64_t now = clock_now(&sim->clock);

	if (now >= node->next_list && sim->list_mode != SIM_LIST_DOWN) {
		node->next_list = now + sim->list_period;
		read_list(node);
	}
	member_table_tick(&node->members);
	if (sim->table)
		share_tick(&node->share);
	push_tick(node, SIM_TICK);
}

static void take_members(struct sim_node *node,
			 const struct sim_message *message)
{
	Peer__Members *members =
		peer__members__unpack(NULL, message->len,
				      (const uint8_t *)message->data);

	member_table_receive_members(&node->members, members);
	peer__members__free_unpacked(members, NULL);
}

static void take_view(struct sim_node *node, const struct sim_message *message)
{
	Peer__ViewState *state =
		peer__view_state__unpack(NULL, message->len,
					 (const uint8_t *)message->data);

	share_receive_view_state(&node->share, state);
	peer__view_state__free_unpacked(state, NULL);
}

static void take(struct sim_node *node, struct sim_message *message)
{
	struct sim *sim = node->sim;

	switch (message->kind) {
	case MESSAGE_TICK:
		tick(node);
		break;
	case MESSAGE_DATAGRAM:
		member_table_receive_datagram(
			&node->members, &sim->nodes[message->from].peer_address,
			message->data, message->len);
		break;
	case MESSAGE_MEMBERS:
		take_members(node, message);
		break;
	case MESSAGE_VIEW:
		if (sim->table)
			take_view(node, message);
		break;
	case MESSAGE_REFUSED:
		member_table_connection_refused(&node->members,
						sim->nodes[message->from].name,
						message->incarnation);
		break;
	}
}

static void deliver(struct sim *sim, struct sim_message *message)
{
	struct sim_node *node = &sim->nodes[message->to];

	if (node->up && node->paused) {
		message->next = node->inbox;
		node->inbox = message;
		return;
	}
	if (node->up && (sim->nodes[message->from].side & node->side)) {
		take(node, message);
		account(node);
	}
	free_message(message);
}

static void step(struct sim *sim)
{
	struct sim_message *message = pop(sim);

	if (message->at > clock_now(&sim->clock))
		clock_advance(&sim->clock,
			      message->at - clock_now(&sim->clock));
	sim->steps++;
	deliver(sim, message);
}

void sim_run(struct sim *sim, int64_t usec)
{
	int64_t end = clock_now(&sim->clock) + usec;

	while (sim->n_heap && sim->heap[0]->at <= end)
		step(sim);
	if (clock_now(&sim->clock) < end)
		clock_advance(&sim->clock, end - clock_now(&sim->clock));
}

int64_t sim_run_until(struct sim *sim, bool (*done)(struct sim *sim),
		      int64_t most)
{
	int64_t start = clock_now(&sim->clock);

	while (!done(sim)) {
		if (clock_now(&sim->clock) - start >= most)
			return -1;
		sim_run(sim, MSEC(10));
	}
	return clock_now(&sim->clock) - start;
}

int sim_usable_slots(struct sim *sim, int row)
{
	return sim->sum[row].slots;
}

bool sim_all_shared(struct sim *sim)
{
	int row;

	for (row = 0; row < sim->table->n_servers; row++) {
		const struct backend_server *server = &sim->table->servers[row];

		if (sim->sum[row].slots != server->slots ||
		    sim->sum[row].connections != server->connections)
			return false;
	}
	return true;
}

/* Its own data centre's shares are in force, in the same view everywhere. */
static bool is_settled(const struct sim_node *node)
{
	const struct share_pool *pool;

	for (pool = node->share.pools; pool; pool = pool->hh.next) {
		if (!strcmp(pool->data_centre, node->data_centre))
			return pool->in_force;
	}
	return false;
}

bool sim_all_settled(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->n; i++) {
		const struct sim_node *node = &sim->nodes[i];

		if (node->up && !node->paused && !is_settled(node))
			return false;
	}
	return sim->skip_accounting || sim_all_shared(sim);
}

void sim_reset_overshoot(struct sim *sim)
{
	sim->slots_overshoot = 0;
	sim->connections_overshoot = 0;
	sim->over_used = 0;
}

static bool nobody_doubted(const struct sim_node *node)
{
	const struct member *member;

	for (member = member_table_next(&node->members, NULL); member;
	     member = member_table_next(&node->members, member)) {
		if (member->status == MEMBER_SUSPECT)
			return false;
	}
	return true;
}

bool sim_all_agree(struct sim *sim)
{
	const struct sim_node *first = NULL;
	int i;
	int up = 0;

	for (i = 0; i < sim->n; i++)
		up += sim->nodes[i].up;
	for (i = 0; i < sim->n; i++) {
		const struct sim_node *node = &sim->nodes[i];

		if (!node->up)
			continue;
		if (!first)
			first = node;
		if (node->members.present != up - 1 ||
		    node->members.digest != first->members.digest ||
		    !nobody_doubted(node))
			return false;
	}
	return true;
}

void sim_set_limits(struct sim *sim, int slots, int connections)
{
	int i;

	for (i = 0; i < sim->table->n_servers; i++) {
		sim->table->servers[i].slots = slots;
		sim->table->servers[i].connections = connections;
	}
	for (i = 0; i < sim->n; i++) {
		if (!sim->nodes[i].up)
			continue;
		share_table_changed(&sim->nodes[i].share, sim->table);
		account(&sim->nodes[i]);
	}
}
