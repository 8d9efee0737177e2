#include <stdlib.h>
#include <string.h>

#include "load_limit.h"
#include "load_share.h"
#include "mem.h"
#include "return_book.h"
#include "rng.h"
#include "unit.h"

#define START MSEC(1000000)
#define ENTRIES 3
#define KINDS 2
#define SERVICE 7
#define CALLERS_MAX 16384
#define MESSAGES_MAX 256
#define MESSAGE_MOST 2800 /* bytes */
#define WAY MSEC(2)
#define PATIENCE MSEC(400)
#define REPEAT_PERIOD MSEC(20)
#define TRIES_MOST 12
#define REPEATING 0.5 /* share of the callers */
/* Servers, all together: so many requests run at a time. */
#define SLOTS 6

/* Work of a kind's request, and when its answer is worth most. */
struct kind {
	int64_t work;
	int64_t goal;
	int per_s;
};

/* The first is the urgent one. */
static const struct kind kinds[KINDS] = {
	{MSEC(10), MSEC(60), 75},
	{MSEC(30), MSEC(200), 175},
};

enum caller_state {
	CALLER_AWAY, /* until @at */
	CALLER_SENT,
	CALLER_SERVED,
	CALLER_LATE,
	CALLER_GAVE_UP,
};

struct caller {
	int kind;
	bool repeats; /* at once, whatever it is told */
	int tries;
	int refusals;
	int entry;
	int64_t at;
	int64_t sent_at;
	int64_t left; /* work */
	enum caller_state state;
};

struct message {
	int from;
	int to;
	int64_t at;
	uint8_t bytes[MESSAGE_MOST];
	size_t len;
};

/* The decision code of an instance that takes callers. */
struct entry {
	struct world *world;
	int id;
	struct load_limit load;
	struct return_schedule book;
	struct load_share share;
	bool cut_off;
};

struct world {
	struct clock clock;
	struct rng rng;
	struct entry entries[ENTRIES];
	int n_entries;
	struct caller callers[CALLERS_MAX];
	int n_callers;
	int queue[CALLERS_MAX]; /* before the servers, in order */
	int n_queue;
	struct message messages[MESSAGES_MAX];
	int n_messages;
	double lost; /* share of the messages */
	bool returns;
	size_t bytes;
	size_t largest;
};

static void on_send(void *arg, const Peer__LoadShare *message)
{
	struct entry *entry = arg;
	struct world *world = entry->world;
	size_t len = peer__load_share__get_packed_size(message);
	int i;

	world->bytes += len;
	if (len > world->largest)
		world->largest = len;
	if (len > MESSAGE_MOST)
		return;
	for (i = 0; i < world->n_entries; i++) {
		struct message *out = &world->messages[world->n_messages];

		if (i == entry->id || entry->cut_off ||
		    world->entries[i].cut_off ||
		    rng_unit(&world->rng) < world->lost)
			continue;
		out->from = entry->id;
		out->to = i;
		out->at = clock_now(&world->clock) + WAY;
		out->len = peer__load_share__pack(message, out->bytes);
		world->n_messages++;
	}
}

static const struct load_share_ops share_ops = {.send = on_send};

static void add_entry(struct world *world)
{
	struct entry *entry = &world->entries[world->n_entries];

	entry->world = world;
	entry->id = world->n_entries++;
	return_schedule_init(&entry->book, &world->clock);
	load_share_init(&entry->share, &world->clock, &share_ops, entry,
			&entry->book);
	entry->share.n_others = ENTRIES - 1;
}

static struct world *world_new(int n_entries, bool returns)
{
	struct world *world = mem_zalloc(sizeof(*world));

	clock_init_paused(&world->clock, START);
	rng_init(&world->rng, 1);
	world->returns = returns;
	while (world->n_entries < n_entries)
		add_entry(world);
	return world;
}

static void world_free(struct world *world)
{
	int i;

	for (i = 0; i < world->n_entries; i++)
		return_schedule_finish(&world->entries[i].book);
	free(world);
}

static void deliver(struct world *world)
{
	static const char *const names[ENTRIES] = {"a", "b", "c"};
	int64_t now = clock_now(&world->clock);
	int n = 0;
	int i;

	for (i = 0; i < world->n_messages; i++) {
		struct message *message = &world->messages[i];
		struct entry *to = &world->entries[message->to];
		Peer__LoadShare *share;

		if (message->at > now) {
			world->messages[n++] = *message;
			continue;
		}
		share = peer__load_share__unpack(NULL, message->len,
						 message->bytes);
		load_share_receive(&to->share, names[message->from], share);
		peer__load_share__free_unpacked(share, NULL);
	}
	world->n_messages = n;
}

/* The urgent go before those that do not run yet, as with server_queue. */
static void send_on(struct world *world, struct caller *caller)
{
	int at = world->n_queue++;

	caller->state = CALLER_SENT;
	caller->left = kinds[caller->kind].work;
	while (at > SLOTS &&
	       world->callers[world->queue[at - 1]].kind > caller->kind) {
		world->queue[at] = world->queue[at - 1];
		at--;
	}
	world->queue[at] = (int)(caller - world->callers);
}

/* A caller waits as it is told, or goes away if that is too long. */
static void refuse(struct world *world, struct caller *caller, int64_t wait)
{
	bool too_long = !caller->repeats && wait > PATIENCE;

	caller->refusals++;
	caller->state = CALLER_AWAY;
	caller->at = clock_now(&world->clock) +
		     (caller->repeats ? REPEAT_PERIOD : wait);
	if (caller->refusals == TRIES_MOST || too_long)
		caller->state = CALLER_GAVE_UP;
}

static int64_t offer(struct entry *entry, const struct caller *caller,
		     uint64_t fingerprint, struct scheduled_return *out)
{
	int64_t now = clock_now(&entry->world->clock);
	struct peer_load view;

	load_share_peer_load(&entry->share, SERVICE, &view);
	return return_schedule_offer(
		&entry->book,
		&(struct return_request){
			.fingerprint = fingerprint,
			.service = SERVICE,
			.level = caller->kind,
			.cost = kinds[caller->kind].work,
			.room = load_limit_capacity(&entry->load, caller->kind,
						    &view, now),
			.room_in = load_limit_excess_time(&entry->load, now),
			.patience = PATIENCE},
		out);
}

/* As gateway_load_check_return() and dispatch_load_limit do. */
static void arrive(struct world *world, struct caller *caller)
{
	struct entry *entry = &world->entries[caller->entry];
	uint64_t fingerprint = (uint64_t)(caller - world->callers) + 1;
	int64_t cost = kinds[caller->kind].work;
	int64_t now = clock_now(&world->clock);
	const struct scheduled_return *known =
		return_schedule_find(&entry->book, fingerprint);
	enum return_state state = return_schedule_check(&entry->book, known);
	struct scheduled_return out;
	struct peer_load view;

	caller->sent_at = now;
	if (state == RETURN_EARLY && entry->load.limit) {
		refuse(world, caller, known->due - now);
		return;
	}
	if (state == RETURN_DUE) {
		struct scheduled_return taken = *known;

		return_schedule_remove(&entry->book, fingerprint);
		taken.taken = true;
		load_share_add_return(&entry->share, &taken);
		load_limit_admit_always(&entry->load, caller->kind, cost, now);
		send_on(world, caller);
		return;
	}
	load_limit_count_request(&entry->load, caller->kind, cost, now);
	load_share_peer_load(&entry->share, SERVICE, &view);
	load_limit_adopt(&entry->load, &view, now);
	if (load_limit_admit(&entry->load, caller->kind, cost, &view, now)) {
		send_on(world, caller);
	} else if (!world->returns) {
		refuse(world, caller, MSEC(100));
	} else {
		refuse(world, caller, offer(entry, caller, fingerprint, &out));
		load_share_add_return(&entry->share, &out);
	}
	if (entry->load.limit)
		load_share_add_limit(&entry->share, SERVICE, &entry->load);
}

static void end(struct world *world, struct caller *caller)
{
	struct entry *entry = &world->entries[caller->entry];
	const struct kind *kind = &kinds[caller->kind];
	int64_t now = clock_now(&world->clock);
	bool late = now - caller->sent_at > kind->goal;

	caller->state = late ? CALLER_LATE : CALLER_SERVED;
	load_limit_count_served(&entry->load, kind->work, now);
	if (late)
		load_limit_lower(&entry->load, kind->goal / 2, now);
	else
		load_limit_raise(&entry->load, kind->work, 2);
	load_limit_release(&entry->load, caller->kind, kind->work);
}

/* The first of the queue run. */
static void run_servers(struct world *world)
{
	int n = 0;
	int i;

	for (i = 0; i < world->n_queue; i++) {
		struct caller *caller = &world->callers[world->queue[i]];

		if (i < SLOTS)
			caller->left -= MSEC(1);
		if (caller->left > 0)
			world->queue[n++] = world->queue[i];
		else
			end(world, caller);
	}
	world->n_queue = n;
}

static void come(struct world *world, int kind)
{
	struct caller *caller = &world->callers[world->n_callers++];

	caller->kind = kind;
	caller->repeats = rng_unit(&world->rng) < REPEATING;
	caller->at = clock_now(&world->clock);
}

/* @times: what comes, by what the servers bear with both kinds */
static void play(struct world *world, int ms, double times)
{
	int i;

	for (; ms > 0; ms--) {
		clock_advance(&world->clock, MSEC(1));
		deliver(world);
		run_servers(world);
		for (i = 0; i < KINDS; i++) {
			double due = kinds[i].per_s * times / 1000;

			if (rng_unit(&world->rng) < due)
				come(world, i);
		}
		for (i = 0; i < world->n_callers; i++) {
			struct caller *caller = &world->callers[i];

			if (caller->state != CALLER_AWAY ||
			    caller->at > clock_now(&world->clock))
				continue;
			/* Another one each time, as the directory says. */
			caller->entry = (int)(rng_next(&world->rng) %
					      (uint64_t)world->n_entries);
			arrive(world, caller);
		}
		for (i = 0; i < world->n_entries; i++)
			load_share_tick(&world->entries[i].share);
	}
}

struct seen {
	int asked;
	int served;
	int refused_once; /* at least */
	int refusals;
};

static void look(const struct world *world, int kind, bool repeats,
		 struct seen *seen)
{
	int i;

	memset(seen, 0, sizeof(*seen));
	for (i = 0; i < world->n_callers; i++) {
		const struct caller *caller = &world->callers[i];

		if (caller->kind != kind || caller->repeats != repeats)
			continue;
		seen->asked++;
		seen->served += caller->state == CALLER_SERVED;
		seen->refused_once += caller->refusals > 0;
		seen->refusals += caller->refusals;
	}
}
static double share(int n, int of)
{
	return of ? (double)n / of : 0;
}

static struct world *shortage(bool returns, double lost)
{
	struct world *world = world_new(ENTRIES, returns);

	world->lost = lost;
	play(world, 1000, 0.5);
	play(world, 4000, 4);
	play(world, 2000, 0.3);
	return world;
}

/* Four times what servers bear: the urgent are served, the others not starved
 */
static void check_kinds(const struct world *world)
{
	struct seen seen;
	int repeats;

	for (repeats = 0; repeats < 2; repeats++) {
		look(world, 0, repeats, &seen);
		CU_ASSERT(share(seen.served, seen.asked) >= 0.95);
		look(world, 1, repeats, &seen);
		CU_ASSERT(share(seen.served, seen.asked) >= 0.05);
	}
}

/* A shortage refuses the less urgent, each about once; repeating gains nothing
 */
static void test_shortage(void)
{
	struct world *world = shortage(true, 0);
	struct seen repeating;
	struct seen honest;

	check_kinds(world);
	look(world, 1, false, &honest);
	look(world, 1, true, &repeating);
	CU_ASSERT(honest.refused_once > 1000);
	CU_ASSERT(share(honest.refusals, honest.refused_once) <= 1.3);
	CU_ASSERT(share(repeating.served, repeating.asked) <=
		  share(honest.served, honest.asked));
	CU_ASSERT(world->largest <= MESSAGE_MOST);
	world_free(world);
}

/* Without promises as well */
static void test_shortage_without_returns(void)
{
	struct world *world = shortage(false, 0);

	check_kinds(world);
	world_free(world);
}

/* Every second message is lost */
static void test_lost_messages(void)
{
	struct world *world = shortage(true, 0.5);
	struct seen honest;

	check_kinds(world);
	look(world, 1, false, &honest);
	CU_ASSERT(share(honest.refusals, honest.refused_once) <= 1.3);
	world_free(world);
}

/* Half of what servers bear: nobody is refused, and nothing is told */
static void test_no_shortage(void)
{
	struct world *world = world_new(ENTRIES, true);
	struct seen seen;
	int kind;

	play(world, 3000, 0.5);
	for (kind = 0; kind < KINDS; kind++) {
		look(world, kind, false, &seen);
		CU_ASSERT(!seen.refusals);
	}
	CU_ASSERT(!world->bytes);
	world_free(world);
}

/* An instance that starts in a shortage knows of it within half a second */
static void test_starts_in_shortage(void)
{
	struct world *world = world_new(ENTRIES - 1, true);
	struct load_limit *load = &world->entries[2].load;

	play(world, 500, 0.5);
	play(world, 2000, 4);
	add_entry(world);
	CU_ASSERT(!load->limit);
	play(world, 500, 4);
	CU_ASSERT(load->limit > 0);
	CU_ASSERT(load->limit < 4 * world->entries[0].load.limit);
	world_free(world);
}

/* One that is cut off believes nothing old, and goes on by its own limit */
static void test_cut_off(void)
{
	struct world *world = world_new(ENTRIES, true);
	struct peer_load view;

	play(world, 2000, 4);
	load_share_peer_load(&world->entries[0].share, SERVICE, &view);
	CU_ASSERT(view.n_limited == 2);
	world->entries[0].cut_off = true;
	play(world, 1500, 4);
	load_share_peer_load(&world->entries[0].share, SERVICE, &view);
	CU_ASSERT(!view.n_limited && !view.asked[0] && !view.asked[1]);
	CU_ASSERT(world->entries[0].load.limit > 0);
	check_kinds(world);
	world_free(world);
}

static const struct unit_test tests[] = {
	{"shortage", test_shortage},
	{"shortage without returns", test_shortage_without_returns},
	{"lost messages", test_lost_messages},
	{"no shortage", test_no_shortage},
	{"starts in shortage", test_starts_in_shortage},
	{"cut off", test_cut_off},
};

UNIT_MAIN("load share", tests)
