#include <stdlib.h>
#include <string.h>

#include "load_limit.h"
#include "load_share.h"
#include "mem.h"
#include "return_schedule.h"
#include "rng.h"
#include "unit.h"

#define START MSEC(1000000)
#define ENTRIES 3
#define KINDS 2
#define SERVICE 7
#define CALLERS_MAX 16384
#define MESSAGES_MAX 256
#define MESSAGE_SIZE_MAX 2800 /* bytes */
#define NETWORK_DELAY MSEC(2)
#define PATIENCE MSEC(400)
#define IMMEDIATE_RETRY_DELAY MSEC(20)
#define TRIES_MAX 12
#define IMMEDIATE_RETRY_RATIO 0.5 /* fraction of the callers */
/* Requests that all servers together run at a time. */
#define SLOTS 6

/* A kind of request: its work, goal and rate per second. */
struct kind {
	int64_t work;
	int64_t goal;
	int per_s;
};

/* The first one is the urgent one. */
static const struct kind kinds[KINDS] = {
	{MSEC(10), MSEC(60), 75},
	{MSEC(30), MSEC(200), 175},
};

enum caller_state {
	CALLER_WAITING, /* waits until @at */
	CALLER_SENT,
	CALLER_SERVED,
	CALLER_LATE,
	CALLER_GAVE_UP,
};

struct caller {
	int kind;
	bool retries_at_once; /* ignores the retry delay */
	int tries;
	int refusals;
	int entry;
	int64_t at;
	int64_t sent_at;
	int64_t left; /* remaining work */
	enum caller_state state;
};

struct message {
	int from;
	int to;
	int64_t at;
	uint8_t bytes[MESSAGE_SIZE_MAX];
	size_t len;
};

/* An instance that accepts callers. */
struct entry {
	struct simulation *simulation;
	int id;
	struct load_limit load;
	struct return_schedule schedule;
	struct load_share share;
	bool isolated;
};

struct simulation {
	struct clock clock;
	struct rng rng;
	struct entry entries[ENTRIES];
	int n_entries;
	struct caller callers[CALLERS_MAX];
	int n_callers;
	int queue[CALLERS_MAX]; /* of the servers, in order */
	int n_queue;
	struct message messages[MESSAGES_MAX];
	int n_messages;
	double loss_ratio; /* fraction of messages lost */
	bool returns;
	size_t bytes;
	size_t largest;
};

static void on_send(void *arg, const Peer__LoadShare *message)
{
	struct entry *entry = arg;
	struct simulation *simulation = entry->simulation;
	size_t len = peer__load_share__get_packed_size(message);
	int i;

	simulation->bytes += len;
	if (len > simulation->largest)
		simulation->largest = len;
	if (len > MESSAGE_SIZE_MAX)
		return;
	for (i = 0; i < simulation->n_entries; i++) {
		struct message *out =
			&simulation->messages[simulation->n_messages];

		if (i == entry->id || entry->isolated ||
		    simulation->entries[i].isolated ||
		    rng_uniform(&simulation->rng) < simulation->loss_ratio)
			continue;
		out->from = entry->id;
		out->to = i;
		out->at = clock_now(&simulation->clock) + NETWORK_DELAY;
		out->len = peer__load_share__pack(message, out->bytes);
		simulation->n_messages++;
	}
}

static const struct load_share_ops share_ops = {.send = on_send};

static void add_entry(struct simulation *simulation)
{
	struct entry *entry = &simulation->entries[simulation->n_entries];

	entry->simulation = simulation;
	entry->id = simulation->n_entries++;
	return_schedule_init(&entry->schedule, &simulation->clock);
	load_share_init(&entry->share, &simulation->clock, &share_ops, entry,
			&entry->schedule);
	entry->share.n_others = ENTRIES - 1;
}

static struct simulation *simulation_new(int n_entries, bool returns)
{
	struct simulation *simulation = mem_zalloc(sizeof(*simulation));

	clock_init_paused(&simulation->clock, START);
	rng_init(&simulation->rng, 1);
	simulation->returns = returns;
	while (simulation->n_entries < n_entries)
		add_entry(simulation);
	return simulation;
}

static void simulation_free(struct simulation *simulation)
{
	int i;

	for (i = 0; i < simulation->n_entries; i++)
		return_schedule_finish(&simulation->entries[i].schedule);
	free(simulation);
}

static void deliver(struct simulation *simulation)
{
	static const char *const names[ENTRIES] = {"a", "b", "c"};
	int64_t now = clock_now(&simulation->clock);
	int n = 0;
	int i;

	for (i = 0; i < simulation->n_messages; i++) {
		struct message *message = &simulation->messages[i];
		struct entry *to = &simulation->entries[message->to];
		Peer__LoadShare *share;

		if (message->at > now) {
			simulation->messages[n++] = *message;
			continue;
		}
		share = peer__load_share__unpack(NULL, message->len,
						 message->bytes);
		load_share_receive(&to->share, names[message->from], share);
		peer__load_share__free_unpacked(share, NULL);
	}
	simulation->n_messages = n;
}

/* Urgent requests precede others that do not run yet, as in server_queue. */
static void queue_request(struct simulation *simulation, struct caller *caller)
{
	int at = simulation->n_queue++;

	caller->state = CALLER_SENT;
	caller->left = kinds[caller->kind].work;
	while (at > SLOTS &&
	       simulation->callers[simulation->queue[at - 1]].kind >
		       caller->kind) {
		simulation->queue[at] = simulation->queue[at - 1];
		at--;
	}
	simulation->queue[at] = (int)(caller - simulation->callers);
}

/* A patient caller retries after @wait, or gives up if that is too long. */
static void refuse_caller(struct simulation *simulation, struct caller *caller,
			  int64_t wait)
{
	bool too_long = !caller->retries_at_once && wait > PATIENCE;

	caller->refusals++;
	caller->state = CALLER_WAITING;
	caller->at = clock_now(&simulation->clock) +
		     (caller->retries_at_once ? IMMEDIATE_RETRY_DELAY : wait);
	if (caller->refusals == TRIES_MAX || too_long)
		caller->state = CALLER_GAVE_UP;
}

static int64_t offer_return(struct entry *entry, const struct caller *caller,
			    uint64_t fingerprint, struct scheduled_return *out)
{
	int64_t now = clock_now(&entry->simulation->clock);
	struct peer_load view;

	load_share_peer_load(&entry->share, SERVICE, &view);
	return return_schedule_offer(
		&entry->schedule,
		&(struct return_request){
			.fingerprint = fingerprint,
			.service = SERVICE,
			.level = caller->kind,
			.cost = kinds[caller->kind].work,
			.capacity =
				load_limit_capacity(&entry->load, caller->kind,
						    &view, now),
			.capacity_in =
				load_limit_excess_time(&entry->load, now),
			.patience = PATIENCE},
		out);
}

/* Same sequence as gateway_load_check_return() and dispatch_load_limit. */
static void send_request(struct simulation *simulation, struct caller *caller)
{
	struct entry *entry = &simulation->entries[caller->entry];
	uint64_t fingerprint = (uint64_t)(caller - simulation->callers) + 1;
	int64_t cost = kinds[caller->kind].work;
	int64_t now = clock_now(&simulation->clock);
	const struct scheduled_return *known =
		return_schedule_find(&entry->schedule, fingerprint);
	enum return_state state =
		return_schedule_check(&entry->schedule, known);
	struct scheduled_return out;
	struct peer_load view;

	caller->sent_at = now;
	if (state == RETURN_EARLY && entry->load.limit) {
		refuse_caller(simulation, caller, known->due - now);
		return;
	}
	if (state == RETURN_DUE) {
		struct scheduled_return taken = *known;

		return_schedule_remove(&entry->schedule, fingerprint);
		taken.taken = true;
		load_share_add_return(&entry->share, &taken);
		load_limit_admit_always(&entry->load, caller->kind, cost, now);
		queue_request(simulation, caller);
		return;
	}
	load_limit_count_request(&entry->load, caller->kind, cost, now);
	load_share_peer_load(&entry->share, SERVICE, &view);
	load_limit_adopt(&entry->load, &view, now);
	if (load_limit_admit(&entry->load, caller->kind, cost, &view, now)) {
		queue_request(simulation, caller);
	} else if (!simulation->returns) {
		refuse_caller(simulation, caller, MSEC(100));
	} else {
		refuse_caller(simulation, caller,
			      offer_return(entry, caller, fingerprint, &out));
		load_share_add_return(&entry->share, &out);
	}
	if (entry->load.limit)
		load_share_add_limit(&entry->share, SERVICE, &entry->load);
}

static void end_request(struct simulation *simulation, struct caller *caller)
{
	struct entry *entry = &simulation->entries[caller->entry];
	const struct kind *kind = &kinds[caller->kind];
	int64_t now = clock_now(&simulation->clock);
	bool late = now - caller->sent_at > kind->goal;

	caller->state = late ? CALLER_LATE : CALLER_SERVED;
	load_limit_count_served(&entry->load, kind->work, now);
	if (late)
		load_limit_lower(&entry->load, kind->goal / 2, now);
	else
		load_limit_raise(&entry->load, kind->work, 2);
	load_limit_release(&entry->load, caller->kind, kind->work);
}

/* The first SLOTS requests of the queue run. */
static void run_servers(struct simulation *simulation)
{
	int n = 0;
	int i;

	for (i = 0; i < simulation->n_queue; i++) {
		struct caller *caller =
			&simulation->callers[simulation->queue[i]];

		if (i < SLOTS)
			caller->left -= MSEC(1);
		if (caller->left > 0)
			simulation->queue[n++] = simulation->queue[i];
		else
			end_request(simulation, caller);
	}
	simulation->n_queue = n;
}

static void add_caller(struct simulation *simulation, int kind)
{
	struct caller *caller = &simulation->callers[simulation->n_callers++];

	caller->kind = kind;
	caller->retries_at_once =
		rng_uniform(&simulation->rng) < IMMEDIATE_RETRY_RATIO;
	caller->at = clock_now(&simulation->clock);
}

/* @times: load as a multiple of the servers' capacity for both kinds. */
static void simulate(struct simulation *simulation, int ms, double times)
{
	int i;

	for (; ms > 0; ms--) {
		clock_advance(&simulation->clock, MSEC(1));
		deliver(simulation);
		run_servers(simulation);
		for (i = 0; i < KINDS; i++) {
			double due = kinds[i].per_s * times / 1000;

			if (rng_uniform(&simulation->rng) < due)
				add_caller(simulation, i);
		}
		for (i = 0; i < simulation->n_callers; i++) {
			struct caller *caller = &simulation->callers[i];

			if (caller->state != CALLER_WAITING ||
			    caller->at > clock_now(&simulation->clock))
				continue;
			/* A random entry, as given by the directory. */
			caller->entry = (int)(rng_next(&simulation->rng) %
					      (uint64_t)simulation->n_entries);
			send_request(simulation, caller);
		}
		for (i = 0; i < simulation->n_entries; i++)
			load_share_tick(&simulation->entries[i].share);
	}
}

struct caller_counts {
	int asked;
	int served;
	int refused_once; /* callers refused at least once */
	int refusals;
};

static void count_callers(const struct simulation *simulation, int kind,
			  bool retries_at_once, struct caller_counts *counts)
{
	int i;

	memset(counts, 0, sizeof(*counts));
	for (i = 0; i < simulation->n_callers; i++) {
		const struct caller *caller = &simulation->callers[i];

		if (caller->kind != kind ||
		    caller->retries_at_once != retries_at_once)
			continue;
		counts->asked++;
		counts->served += caller->state == CALLER_SERVED;
		counts->refused_once += caller->refusals > 0;
		counts->refusals += caller->refusals;
	}
}

static double ratio(int n, int of)
{
	return of ? (double)n / of : 0;
}

static struct simulation *simulate_overload(bool returns, double loss_ratio)
{
	struct simulation *simulation = simulation_new(ENTRIES, returns);

	simulation->loss_ratio = loss_ratio;
	simulate(simulation, 1000, 0.5);
	simulate(simulation, 4000, 4);
	simulate(simulation, 2000, 0.3);
	return simulation;
}

/* At four times the capacity, urgent requests are served, no kind starves. */
static void check_kinds(const struct simulation *simulation)
{
	struct caller_counts counts;
	int retries_at_once;

	for (retries_at_once = 0; retries_at_once < 2; retries_at_once++) {
		count_callers(simulation, 0, retries_at_once, &counts);
		CU_ASSERT(ratio(counts.served, counts.asked) >= 0.95);
		count_callers(simulation, 1, retries_at_once, &counts);
		CU_ASSERT(ratio(counts.served, counts.asked) >= 0.05);
	}
}

/*
 * Guards against repeated refusals of the same caller under overload, and
 * against an advantage for callers that retry at once.
 */
static void test_overload(void)
{
	struct simulation *simulation = simulate_overload(true, 0);
	struct caller_counts impatient;
	struct caller_counts patient;

	check_kinds(simulation);
	count_callers(simulation, 1, false, &patient);
	count_callers(simulation, 1, true, &impatient);
	CU_ASSERT(patient.refused_once > 1000);
	CU_ASSERT(ratio(patient.refusals, patient.refused_once) <= 1.3);
	CU_ASSERT(ratio(impatient.served, impatient.asked) <=
		  ratio(patient.served, patient.asked));
	CU_ASSERT(simulation->largest <= MESSAGE_SIZE_MAX);
	simulation_free(simulation);
}

/* Urgent requests are served without scheduled returns, too. */
static void test_overload_without_returns(void)
{
	struct simulation *simulation = simulate_overload(false, 0);

	check_kinds(simulation);
	simulation_free(simulation);
}

/* Half of the messages between the entries are lost. */
static void test_lost_messages(void)
{
	struct simulation *simulation = simulate_overload(true, 0.5);
	struct caller_counts patient;

	check_kinds(simulation);
	count_callers(simulation, 1, false, &patient);
	CU_ASSERT(ratio(patient.refusals, patient.refused_once) <= 1.3);
	simulation_free(simulation);
}

/* At half the capacity, no caller is refused and no message is sent. */
static void test_no_overload(void)
{
	struct simulation *simulation = simulation_new(ENTRIES, true);
	struct caller_counts counts;
	int kind;

	simulate(simulation, 3000, 0.5);
	for (kind = 0; kind < KINDS; kind++) {
		count_callers(simulation, kind, false, &counts);
		CU_ASSERT(!counts.refusals);
	}
	CU_ASSERT(!simulation->bytes);
	simulation_free(simulation);
}

/* An instance started during overload adopts a limit within 0.5 s. */
static void test_start_during_overload(void)
{
	struct simulation *simulation = simulation_new(ENTRIES - 1, true);
	struct load_limit *load = &simulation->entries[2].load;

	simulate(simulation, 500, 0.5);
	simulate(simulation, 2000, 4);
	add_entry(simulation);
	CU_ASSERT(!load->limit);
	simulate(simulation, 500, 4);
	CU_ASSERT(load->limit > 0);
	CU_ASSERT(load->limit < 4 * simulation->entries[0].load.limit);
	simulation_free(simulation);
}

/* An isolated instance ignores old reports and uses its own limit. */
static void test_isolated_instance(void)
{
	struct simulation *simulation = simulation_new(ENTRIES, true);
	struct peer_load view;

	simulate(simulation, 2000, 4);
	load_share_peer_load(&simulation->entries[0].share, SERVICE, &view);
	CU_ASSERT(view.n_limited == 2);
	simulation->entries[0].isolated = true;
	simulate(simulation, 1500, 4);
	load_share_peer_load(&simulation->entries[0].share, SERVICE, &view);
	CU_ASSERT(!view.n_limited && !view.demand[0] && !view.demand[1]);
	CU_ASSERT(simulation->entries[0].load.limit > 0);
	check_kinds(simulation);
	simulation_free(simulation);
}

static const struct unit_test tests[] = {
	{"overload", test_overload},
	{"overload without returns", test_overload_without_returns},
	{"lost messages", test_lost_messages},
	{"no overload", test_no_overload},
	{"start during overload", test_start_during_overload},
	{"isolated instance", test_isolated_instance},
};

UNIT_MAIN("load share", tests)
