#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"
#include "run.h"
#include "unit.h"

/*
 * A small fleet in one process: instances with their books, each also a home,
 * and backend servers that count runs. Frames are events on a paused clock;
 * any may be lost or late, any instance may crash or be stopped.
 */
#define NODES 3
#define SERVERS 2
#define TICKETS 4
#define CALLS 5
#define NAME_SIZE 16
#define DEADLINE_MS 400
#define NAIVE_TRIES 3

static uint64_t random_state;

static uint64_t next_random(void)
{
	uint64_t z = random_state += 0x9e3779b97f4a7c15ULL;

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
	z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
	return z ^ (z >> 31);
}

static bool chance(int per_mille)
{
	return (int)(next_random() % 1000) < per_mille;
}

static int64_t between(int64_t lo, int64_t hi)
{
	return lo + (int64_t)(next_random() % (uint64_t)(hi - lo + 1));
}

enum event_kind {
	EVENT_CALL,    /* a caller's request reaches an instance */
	EVENT_FORWARD, /* a frame from an instance to the issuer */
	EVENT_SEND,    /* a frame from the issuer to a home */
	EVENT_SERVE,   /* a home has a slot and sends to the server */
	EVENT_RESULT,  /* an answer on its way back to an instance */
	EVENT_LOST,    /* an instance sees its connection to another break */
	EVENT_CRASH,
};

struct fleet;

struct event {
	enum event_kind kind;
	int64_t at;
	int node;
	uint64_t incarnation; /* of the node it is meant for; 0: any */
	int from;
	uint64_t id;
	int ticket;
	int call;
	int server;
	int64_t deadline;
	int code;
	int body;
	int tries;
	uint32_t deadline_ms;
	struct event *prev;
	struct event *next;
};

struct node {
	struct fleet *fleet;
	int index;
	char name[NAME_SIZE];
	struct ticket_store tickets;
	struct run_tracker runs;
	int64_t stopped_until;
};

struct wait {
	struct run_waiter base;
	struct fleet *fleet;
	bool from_caller;
	int call;
	/* Of a forwarded request: where the answer goes. */
	int node;
	int from;
	uint64_t id;
	uint64_t from_incarnation;
	struct wait *prev;
	struct wait *next;
};

struct ticket {
	char text[TICKET_TEXT_SIZE];
	char key[NAME_SIZE];
	int runs;
	int done;
	int done_body;
	int not_run;
	int refused;
	bool mixed;
};

struct fleet {
	struct clock clock;
	struct node nodes[NODES];
	struct ticket tickets[TICKETS];
	struct event *events;
	struct wait *waits;
	bool naive;
	int faults; /* per mille, of each kind */
	int runs;
	int answers;
};

static struct event *post(struct fleet *fleet, enum event_kind kind, int node,
			  int64_t delay)
{
	struct event *event = mem_zalloc(sizeof(*event));

	event->kind = kind;
	event->node = node;
	event->at = clock_now(&fleet->clock) + delay;
	DL_APPEND(fleet->events, event);
	return event;
}

/* Mostly quick, now and then so late that a deadline or a ticket is over. */
static int64_t delay(struct fleet *fleet)
{
	if (chance(fleet->faults))
		return between(MSEC(100), MSEC(1500));
	return between(100, MSEC(5));
}

static bool lost(struct fleet *fleet)
{
	return chance(fleet->faults);
}

static int node_by_name(struct fleet *fleet, struct str name)
{
	int i;

	for (i = 0; i < NODES; i++) {
		if (str_eq_text(name, fleet->nodes[i].name))
			return i;
	}
	return -1;
}

static int ticket_by_text(struct fleet *fleet, struct str text)
{
	int i;

	for (i = 0; i < TICKETS; i++) {
		if (str_eq_text(text, fleet->tickets[i].text))
			return i;
	}
	return -1;
}

static const char *const server_names[SERVERS] = {"b0", "b1"};

static int pick(void *ctx, struct str service, uint16_t point,
		const struct str *tried, int n_tried, struct run_target *target)
{
	struct node *node = ctx;
	int start = (int)(next_random() % SERVERS);
	int i;
	int j;

	(void)service;
	(void)point;
	for (i = 0; i < SERVERS; i++) {
		const char *name = server_names[(start + i) % SERVERS];
		bool used = false;

		for (j = 0; j < n_tried; j++)
			used = used || str_eq_text(tried[j], name);
		if (used)
			continue;
		target->server = str_from(name);
		target->home = str_from(
			node->fleet->nodes[next_random() % NODES].name);
		return 0;
	}
	return ERR_NO_REPLICA;
}

static struct event *frame(struct node *node, enum event_kind kind, int to,
			   uint64_t id)
{
	struct event *event = post(node->fleet, kind, to, delay(node->fleet));

	event->incarnation = node->fleet->nodes[to].tickets.incarnation;
	event->from = node->index;
	event->id = id;
	return event;
}

static int forward(void *ctx, uint64_t id, struct str issuer,
		   const struct run_message *request)
{
	struct node *node = ctx;
	struct event *event;

	if (lost(node->fleet))
		return ERR_UNAVAILABLE;
	event = frame(node, EVENT_FORWARD, node_by_name(node->fleet, issuer),
		      id);
	event->ticket = ticket_by_text(node->fleet, request->ticket);
	event->deadline_ms = request->deadline_ms;
	return 0;
}

static int send_frame(void *ctx, uint64_t id, const struct run_target *target,
		      const struct run_message *request)
{
	struct node *node = ctx;
	struct event *event;

	if (lost(node->fleet))
		return ERR_UNAVAILABLE;
	event = frame(node, EVENT_SEND, node_by_name(node->fleet, target->home),
		      id);
	event->ticket = ticket_by_text(node->fleet, request->ticket);
	event->server = str_eq_text(target->server, "b1");
	event->deadline_ms = request->deadline_ms;
	return 0;
}

static const struct run_ops ops = {
	.pick = pick,
	.forward = forward,
	.send = send_frame,
};

static void node_start(struct fleet *fleet, int index)
{
	struct node *node = &fleet->nodes[index];
	struct ticket_limits limits = {
		.lifetime = MSEC(1000),
		.tickets_max = 100,
		.bytes_max = 1 << 20,
		.answer_reserve = 16,
	};

	node->fleet = fleet;
	node->index = index;
	snprintf(node->name, sizeof(node->name), "node-%d", index);
	ticket_store_init(&node->tickets, &fleet->clock, str_from(node->name),
			  next_random() | 1, next_random);
	ticket_store_set_limits(&node->tickets, &limits);
	run_tracker_init(&node->runs, &fleet->clock, &node->tickets, &ops,
			 node);
}

static void node_finish(struct node *node)
{
	run_tracker_finish(&node->runs);
	ticket_store_finish(&node->tickets);
}

static void note_answer(struct fleet *fleet, int t, int code, int body)
{
	struct ticket *ticket = &fleet->tickets[t];

	fleet->answers++;
	switch (run_outcome(code)) {
	case RUN_DONE:
		if (ticket->done++ && ticket->done_body != body)
			ticket->mixed = true;
		ticket->done_body = body;
		break;
	case RUN_NOT_RUN:
		ticket->not_run++;
		break;
	case RUN_REFUSED:
		ticket->refused++;
		break;
	case RUN_UNKNOWN:
		break;
	}
}

static void post_result(struct fleet *fleet, int node, int from, uint64_t id,
			uint64_t incarnation, int code, int body)
{
	struct event *event;

	if (lost(fleet)) {
		event = post(fleet, EVENT_LOST, node, delay(fleet));
		event->from = from;
		return;
	}
	event = post(fleet, EVENT_RESULT, node, delay(fleet));
	event->incarnation = incarnation;
	event->from = from;
	event->id = id;
	event->code = code;
	event->body = body;
}

static int body_number(struct str body)
{
	return body.len ? atoi(body.data) : -1;
}

static void on_answered(struct run_waiter *base,
			const struct ticket_answer *answer)
{
	struct wait *wait = (struct wait *)base;
	struct fleet *fleet = wait->fleet;
	int body = body_number(answer->body);

	/* The way back to the caller is lossy as well. */
	if (!wait->from_caller)
		post_result(fleet, wait->from, wait->node, wait->id,
			    wait->from_incarnation, answer->code, body);
	else if (!lost(fleet))
		note_answer(fleet, wait->call, answer->code, body);
	DL_DELETE(fleet->waits, wait);
	free(wait);
}

static struct wait *new_wait(struct fleet *fleet)
{
	struct wait *wait = mem_zalloc(sizeof(*wait));

	wait->fleet = fleet;
	wait->base.answered = on_answered;
	DL_APPEND(fleet->waits, wait);
	return wait;
}

static struct run_message request_of(struct fleet *fleet, int t,
				     uint32_t deadline_ms)
{
	struct ticket *ticket = &fleet->tickets[t];

	return (struct run_message){
		.ticket = str_from(ticket->text),
		.service = STR("desk"),
		.key = str_from(ticket->key),
		.payload = STR("{}"),
		.deadline_ms = deadline_ms,
	};
}

/* The baseline: whoever gets the request sends it until it is answered. */
static void naive_send(struct fleet *fleet, int node, int t, int tries)
{
	struct event *event = post(fleet, EVENT_SERVE, node, delay(fleet));

	event->from = node;
	event->ticket = t;
	event->tries = tries;
	event->deadline = INT64_MAX;
}

static void on_call(struct fleet *fleet, const struct event *event)
{
	struct run_message request =
		request_of(fleet, event->ticket, DEADLINE_MS);
	struct wait *wait;

	if (fleet->naive) {
		naive_send(fleet, event->node, event->ticket, NAIVE_TRIES);
		return;
	}
	wait = new_wait(fleet);
	wait->from_caller = true;
	wait->call = event->ticket;
	run_accept(&fleet->nodes[event->node].runs, &request, &wait->base);
}

static void on_forward(struct fleet *fleet, const struct event *event)
{
	struct run_message request =
		request_of(fleet, event->ticket, event->deadline_ms);
	struct wait *wait = new_wait(fleet);

	wait->node = event->node;
	wait->from = event->from;
	wait->id = event->id;
	wait->from_incarnation = fleet->nodes[event->from].tickets.incarnation;
	run_accept_forwarded(&fleet->nodes[event->node].runs, &request,
			     &wait->base);
}

/* The home queues it for a slot. */
static void on_send(struct fleet *fleet, const struct event *event)
{
	struct event *serve =
		post(fleet, EVENT_SERVE, event->node, delay(fleet));

	serve->incarnation = event->incarnation;
	serve->from = event->from;
	serve->id = event->id;
	serve->ticket = event->ticket;
	serve->server = event->server;
	serve->deadline = clock_now(&fleet->clock) + MSEC(event->deadline_ms);
}

/* What becomes of one request at a home and its server. */
static int serve(struct fleet *fleet, const struct event *event, int *body)
{
	static const int refusals[] = {ERR_NO_SLOT, ERR_CONNECT, ERR_SHED,
				       ERR_NOT_HOME};
	struct ticket *ticket = &fleet->tickets[event->ticket];

	if (clock_now(&fleet->clock) >= event->deadline)
		return ERR_TOO_LATE;
	if (chance(fleet->faults))
		return refusals[next_random() % 4];
	/* The server crashes before it ran, or the connection broke. */
	if (chance(fleet->faults))
		return ERR_LOST;
	ticket->runs++;
	fleet->runs++;
	*body = fleet->runs;
	/* It ran, and the answer was cut off or never came. */
	if (chance(fleet->faults))
		return chance(500) ? ERR_LOST : ERR_SILENT;
	return 0;
}

static void on_serve(struct fleet *fleet, const struct event *event)
{
	int body = -1;
	int code = serve(fleet, event, &body);

	if (!fleet->naive) {
		post_result(fleet, event->from, event->node, event->id,
			    fleet->nodes[event->from].tickets.incarnation, code,
			    body);
		return;
	}
	if (code && event->tries > 1)
		naive_send(fleet, event->node, event->ticket, event->tries - 1);
	else
		note_answer(fleet, event->ticket, code, body);
}

static void on_result(struct fleet *fleet, const struct event *event)
{
	char body[NAME_SIZE];
	struct ticket_answer answer = {.code = event->code};

	snprintf(body, sizeof(body), "%d", event->body);
	answer.body = str_from(body);
	run_handle_result(&fleet->nodes[event->node].runs, event->id,
			  str_from(fleet->nodes[event->from].name), &answer);
}

static void on_crash(struct fleet *fleet, const struct event *event)
{
	int i;

	node_finish(&fleet->nodes[event->node]);
	node_start(fleet, event->node);
	for (i = 0; i < NODES; i++) {
		if (i != event->node)
			post(fleet, EVENT_LOST, i, delay(fleet))->from =
				event->node;
	}
}

static void handle(struct fleet *fleet, const struct event *event)
{
	struct node *node = &fleet->nodes[event->node];

	if (event->incarnation &&
	    event->incarnation != node->tickets.incarnation)
		return;
	switch (event->kind) {
	case EVENT_CALL:
		on_call(fleet, event);
		break;
	case EVENT_FORWARD:
		on_forward(fleet, event);
		break;
	case EVENT_SEND:
		on_send(fleet, event);
		break;
	case EVENT_SERVE:
		on_serve(fleet, event);
		break;
	case EVENT_RESULT:
		on_result(fleet, event);
		break;
	case EVENT_LOST:
		run_peer_lost(&node->runs,
			      str_from(fleet->nodes[event->from].name));
		break;
	case EVENT_CRASH:
		on_crash(fleet, event);
		break;
	}
}

static struct event *take_next(struct fleet *fleet)
{
	struct event *first = NULL;
	struct event *event;

	DL_FOREACH (fleet->events, event) {
		if (!first || event->at < first->at)
			first = event;
	}
	if (first)
		DL_DELETE(fleet->events, first);
	return first;
}

/* One event; the process it is for may be stopped, and then gets it late. */
static bool step(struct fleet *fleet)
{
	struct event *event = take_next(fleet);
	struct node *node;

	if (!event)
		return false;
	if (event->at > clock_now(&fleet->clock))
		clock_advance(&fleet->clock,
			      event->at - clock_now(&fleet->clock));
	node = &fleet->nodes[event->node];
	if (node->stopped_until > clock_now(&fleet->clock)) {
		event->at = node->stopped_until;
		DL_APPEND(fleet->events, event);
		return true;
	}
	run_tick(&node->runs);
	if (chance(fleet->faults / 4))
		node->stopped_until =
			clock_now(&fleet->clock) + between(0, MSEC(2000));
	handle(fleet, event);
	free(event);
	return true;
}

static void start_ticket(struct fleet *fleet, int t)
{
	struct ticket *ticket = &fleet->tickets[t];
	uint32_t retry;
	int i;

	snprintf(ticket->key, sizeof(ticket->key), "order-%d", t);
	ticket_issue(&fleet->nodes[next_random() % NODES].tickets, STR("desk"),
		     ticket->text, &retry);
	for (i = 0; i < CALLS; i++)
		post(fleet, EVENT_CALL, (int)(next_random() % NODES),
		     i ? between(0, MSEC(1500)) : 0)
			->ticket = t;
}

static void fleet_init(struct fleet *fleet, uint64_t seed, int faults,
		       bool naive)
{
	int i;

	memset(fleet, 0, sizeof(*fleet));
	random_state = seed;
	clock_init_paused(&fleet->clock, MSEC(1));
	fleet->faults = faults;
	fleet->naive = naive;
	for (i = 0; i < NODES; i++)
		node_start(fleet, i);
	for (i = 0; i < TICKETS; i++)
		start_ticket(fleet, i);
	for (i = 0; i < NODES; i++) {
		if (chance(faults * 2))
			post(fleet, EVENT_CRASH, i, between(0, MSEC(1500)));
	}
}

static void fleet_finish(struct fleet *fleet)
{
	struct event *event;
	int i;

	for (i = 0; i < NODES; i++)
		node_finish(&fleet->nodes[i]);
	while ((event = take_next(fleet)))
		free(event);
}

struct tally {
	int tickets;
	int runs;
	int repeated;
	int false_not_run;
	int false_done;
	int mixed;
	int done;
	int not_run;
	int unanswered;
};

static void count_ticket(const struct ticket *ticket, struct tally *tally)
{
	tally->tickets++;
	tally->runs += ticket->runs;
	tally->repeated += ticket->runs > 1;
	tally->false_not_run +=
		(ticket->not_run || ticket->refused) && ticket->runs;
	tally->false_done += ticket->done && !ticket->runs;
	tally->mixed += ticket->mixed || (ticket->done && ticket->not_run);
	tally->done += ticket->done > 0;
	tally->not_run += ticket->not_run > 0;
	tally->unanswered += !ticket->done && !ticket->not_run;
}

static void run_history(uint64_t seed, int faults, bool naive,
			struct tally *tally)
{
	struct fleet fleet;
	int i;

	fleet_init(&fleet, seed, faults, naive);
	while (step(&fleet))
		;
	clock_advance(&fleet.clock, MSEC(60000));
	for (i = 0; i < NODES; i++)
		run_tick(&fleet.nodes[i].runs);
	CU_ASSERT_PTR_NULL(fleet.waits);
	for (i = 0; i < TICKETS; i++)
		count_ticket(&fleet.tickets[i], tally);
	fleet_finish(&fleet);
}

static struct tally run_histories(int n, int faults, bool naive)
{
	struct tally tally = {0};
	int seed;

	for (seed = 1; seed <= n; seed++)
		run_history((uint64_t)seed, faults, naive, &tally);
	printf("\n%s, faults %d in 1000: tickets %d, done %d, not run %d, "
	       "run twice %d, falsely not run %d, answers differ %d\n",
	       naive ? "plain retries" : "tickets", faults, tally.tickets,
	       tally.done, tally.not_run, tally.repeated, tally.false_not_run,
	       tally.mixed);
	return tally;
}

/*
 * Two vans come for one leak: the answer to the order was lost, an instance
 * crashed or slept, and the caller or the system sent it again. Over thousands
 * of histories of repeats, losses, crashes, stops and forwards no order runs
 * twice, none that was called not run has run, and all answers to one agree.
 */
static void test_histories(void)
{
	static const int faults[] = {20, 100, 300};
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(*faults); i++) {
		struct tally tally = run_histories(1500, faults[i], false);

		CU_ASSERT_EQUAL(tally.repeated, 0);
		CU_ASSERT_EQUAL(tally.false_not_run, 0);
		CU_ASSERT_EQUAL(tally.false_done, 0);
		CU_ASSERT_EQUAL(tally.mixed, 0);
		CU_ASSERT(tally.done > 0);
		CU_ASSERT(tally.not_run > 0);
	}
}

/*
 * The same histories under the plain way, which sends again on any error: the
 * checker must see orders that ran twice, or it would see nothing above.
 */
static void test_histories_naive(void)
{
	struct tally tally = run_histories(200, 100, true);

	CU_ASSERT(tally.repeated > 0);
	CU_ASSERT(tally.mixed > 0);
}

/* Without faults every order runs, and every caller learns so. */
static void test_histories_calm(void)
{
	struct tally tally = run_histories(200, 0, false);

	CU_ASSERT_EQUAL(tally.runs, tally.tickets);
	CU_ASSERT_EQUAL(tally.done, tally.tickets);
	CU_ASSERT_EQUAL(tally.repeated, 0);
}

/* Fixed surroundings for the steps below. */
struct bench {
	struct clock clock;
	struct ticket_store tickets;
	struct run_tracker runs;
	char text[TICKET_TEXT_SIZE];
	int picks;
	int sends;
	int forwards;
	int fail_send;
	uint64_t id;
	uint32_t deadline_ms;
};

struct bench_wait {
	struct run_waiter base;
	int calls;
	int code;
	uint32_t retry_after_ms;
};

static int bench_pick(void *ctx, struct str service, uint16_t point,
		      const struct str *tried, int n_tried,
		      struct run_target *target)
{
	struct bench *bench = ctx;

	(void)service;
	(void)point;
	(void)tried;
	if (n_tried >= SERVERS)
		return ERR_NO_REPLICA;
	bench->picks++;
	target->server = str_from(server_names[n_tried]);
	target->home = STR("h");
	return 0;
}

static int bench_forward(void *ctx, uint64_t id, struct str issuer,
			 const struct run_message *request)
{
	struct bench *bench = ctx;

	(void)issuer;
	(void)request;
	bench->forwards++;
	bench->id = id;
	return 0;
}

static int bench_send(void *ctx, uint64_t id, const struct run_target *target,
		      const struct run_message *request)
{
	struct bench *bench = ctx;

	(void)target;
	bench->sends++;
	bench->id = id;
	bench->deadline_ms = request->deadline_ms;
	return bench->fail_send-- > 0 ? ERR_UNAVAILABLE : 0;
}

static const struct run_ops bench_ops = {
	.pick = bench_pick,
	.forward = bench_forward,
	.send = bench_send,
};

static void bench_init(struct bench *bench)
{
	struct ticket_limits limits = {
		.lifetime = MSEC(1000),
		.tickets_max = 100,
		.bytes_max = 1 << 20,
		.answer_reserve = 16,
	};
	uint32_t retry;

	memset(bench, 0, sizeof(*bench));
	random_state = 1;
	clock_init_paused(&bench->clock, MSEC(1));
	ticket_store_init(&bench->tickets, &bench->clock, STR("a"), 42,
			  next_random);
	ticket_store_set_limits(&bench->tickets, &limits);
	run_tracker_init(&bench->runs, &bench->clock, &bench->tickets,
			 &bench_ops, bench);
	ticket_issue(&bench->tickets, STR("desk"), bench->text, &retry);
}

static void bench_finish(struct bench *bench)
{
	run_tracker_finish(&bench->runs);
	ticket_store_finish(&bench->tickets);
}

static void bench_answered(struct run_waiter *base,
			   const struct ticket_answer *answer)
{
	struct bench_wait *wait = (struct bench_wait *)base;

	wait->calls++;
	wait->code = answer->code;
	wait->retry_after_ms = answer->retry_after_ms;
}

static void bench_accept_text(struct bench *bench, struct bench_wait *wait,
			      const char *text)
{
	struct run_message request = {
		.ticket = str_from(text),
		.service = STR("desk"),
		.key = STR("order"),
		.payload = STR("{}"),
		.deadline_ms = DEADLINE_MS,
	};

	memset(wait, 0, sizeof(*wait));
	wait->base.answered = bench_answered;
	run_accept(&bench->runs, &request, &wait->base);
}

static void bench_accept(struct bench *bench, struct bench_wait *wait)
{
	bench_accept_text(bench, wait, bench->text);
}

static void bench_result(struct bench *bench, const char *from, int code)
{
	struct ticket_answer answer = {.code = code};

	run_handle_result(&bench->runs, bench->id, str_from(from), &answer);
}

/*
 * A server is out of slots, and another has one. The order provably did not
 * run at the first, so it goes to the second at once and is done.
 */
static void test_elsewhere(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench_accept(&bench, &wait);
	bench_result(&bench, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(bench.sends, 2);
	CU_ASSERT_EQUAL(wait.calls, 0);
	bench_result(&bench, "h", 0);
	CU_ASSERT_EQUAL(wait.calls, 1);
	CU_ASSERT_EQUAL(wait.code, 0);
	bench_finish(&bench);
}

/*
 * The server breaks the connection after the order left. It may have run: no
 * other server gets it, and the caller is told at once that it is unknown.
 */
static void test_lost_after_send(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench_accept(&bench, &wait);
	bench_result(&bench, "h", ERR_LOST);
	CU_ASSERT_EQUAL(bench.sends, 1);
	CU_ASSERT_EQUAL(wait.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_UNKNOWN);
	bench_finish(&bench);
}

/* As before, but it is the home that is gone with the order. */
static void test_home_lost(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench_accept(&bench, &wait);
	run_peer_lost(&bench.runs, STR("other"));
	CU_ASSERT_EQUAL(wait.calls, 0);
	run_peer_lost(&bench.runs, STR("h"));
	CU_ASSERT_EQUAL(wait.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(bench.sends, 1);
	bench_finish(&bench);
}

/* A home that can't be reached got no byte: the next one is asked. */
static void test_home_unreachable(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench.fail_send = 1;
	bench_accept(&bench, &wait);
	CU_ASSERT_EQUAL(bench.sends, 2);
	bench_result(&bench, "h", 0);
	CU_ASSERT_EQUAL(wait.code, 0);
	bench_finish(&bench);
}

/*
 * No server takes the order: the caller hears so at once, not at the deadline.
 * A repeat under the ticket hears the same and does not run either, so that a
 * caller who then orders under a new ticket gets one van.
 */
static void test_not_run_is_final(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench_accept(&bench, &wait);
	bench_result(&bench, "h", ERR_SHED);
	bench_result(&bench, "h", ERR_CONNECT);
	CU_ASSERT_EQUAL(wait.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_NOT_RUN);
	bench_accept(&bench, &wait);
	CU_ASSERT_EQUAL(wait.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_NOT_RUN);
	CU_ASSERT_EQUAL(bench.sends, 2);
	bench_finish(&bench);
}

/*
 * The home's answer "no slot" comes twice, the second time after the order
 * went on to another server. The second must not be taken for that one's.
 */
static void test_duplicate_result(void)
{
	struct bench_wait wait;
	struct bench bench;
	uint64_t first;

	bench_init(&bench);
	bench_accept(&bench, &wait);
	first = bench.id;
	bench_result(&bench, "h", ERR_NO_SLOT);
	bench.id = first;
	bench_result(&bench, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(bench.sends, 2);
	CU_ASSERT_EQUAL(wait.calls, 0);
	bench_finish(&bench);
}

/*
 * The issuer is stopped right after it got "no slot" and wakes when the
 * deadline is over. It sends nothing more and can say that nothing ran.
 */
static void test_late_wake(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench_accept(&bench, &wait);
	clock_advance(&bench.clock, MSEC(30000));
	bench_result(&bench, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(bench.sends, 1);
	CU_ASSERT_EQUAL(wait.code, ERR_TOO_LATE);
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_NOT_RUN);
	bench_finish(&bench);
}

/* Near the end of a ticket's life no attempt outlives it. */
static void test_deadline_within_lifetime(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	clock_advance(&bench.clock, MSEC(900));
	bench_accept(&bench, &wait);
	CU_ASSERT_EQUAL(bench.deadline_ms, 100);
	bench_finish(&bench);
}

/*
 * The home is silent: at the deadline the caller hears that it is not known.
 * The answer still comes, and a repeat of the ticket then gets it.
 */
static void test_late_answer(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench_accept(&bench, &wait);
	clock_advance(&bench.clock, MSEC(DEADLINE_MS));
	run_tick(&bench.runs);
	CU_ASSERT_EQUAL(wait.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_UNKNOWN);
	bench_result(&bench, "h", 0);
	CU_ASSERT_EQUAL(wait.calls, 1);
	bench_accept(&bench, &wait);
	CU_ASSERT_EQUAL(wait.calls, 1);
	CU_ASSERT_EQUAL(wait.code, 0);
	CU_ASSERT_EQUAL(bench.sends, 1);
	bench_finish(&bench);
}

#define OTHER_TICKET "1-000000000000002b-0000000000000001-0000000000000001-b"
#define FORMER_TICKET "1-000000000000002b-0000000000000001-0000000000000001-a"

/* The issuer is gone: nobody can say whether the order ran. */
static void test_issuer_gone(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench_accept_text(&bench, &wait, OTHER_TICKET);
	CU_ASSERT_EQUAL(bench.forwards, 1);
	CU_ASSERT_EQUAL(wait.calls, 0);
	run_peer_lost(&bench.runs, STR("b"));
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_UNKNOWN);
	bench_accept_text(&bench, &wait, FORMER_TICKET);
	CU_ASSERT_EQUAL(wait.calls, 1);
	CU_ASSERT_EQUAL(wait.code, ERR_TICKET_LOST);
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(bench.sends, 0);
	bench_finish(&bench);
}

/*
 * A frame for a ticket is answered by an instance that it was not sent to,
 * as after a change of connections. It is ignored.
 */
static void test_foreign_result(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench_accept_text(&bench, &wait, OTHER_TICKET);
	bench_result(&bench, "c", 0);
	CU_ASSERT_EQUAL(wait.calls, 0);
	bench_result(&bench, "b", 0);
	CU_ASSERT_EQUAL(wait.calls, 1);
	bench_finish(&bench);
}

/*
 * Too many requests are in progress. The issuer closes the ticket as not run;
 * a forwarder can't say so, for the request may run on another way.
 */
static void test_full(void)
{
	struct bench_wait wait;
	struct bench bench;

	bench_init(&bench);
	bench.runs.calls_max = 0;
	bench_accept_text(&bench, &wait, OTHER_TICKET);
	CU_ASSERT_EQUAL(run_outcome(wait.code), RUN_UNKNOWN);
	CU_ASSERT(wait.retry_after_ms > 0);
	bench_accept(&bench, &wait);
	CU_ASSERT_EQUAL(wait.code, ERR_OVERLOAD);
	bench.runs.calls_max = 10;
	bench_accept(&bench, &wait);
	CU_ASSERT_EQUAL(wait.code, ERR_OVERLOAD);
	CU_ASSERT_EQUAL(bench.sends, 0);
	bench_finish(&bench);
}

/* A caller hangs up: its order goes on and is there for a repeat. */
static void test_abandon(void)
{
	struct bench_wait wait;
	struct bench_wait again;
	struct bench bench;

	bench_init(&bench);
	bench_accept(&bench, &wait);
	run_abandon(&wait.base);
	bench_accept(&bench, &again);
	bench_result(&bench, "h", 0);
	CU_ASSERT_EQUAL(wait.calls, 0);
	CU_ASSERT_EQUAL(again.calls, 1);
	CU_ASSERT_EQUAL(bench.sends, 1);
	bench_accept_text(&bench, &wait, OTHER_TICKET);
	run_abandon(&wait.base);
	bench_result(&bench, "b", 0);
	CU_ASSERT_EQUAL(wait.calls, 0);
	bench_finish(&bench);
}

/* A number that this version does not know never reads as not run. */
static void test_outcome(void)
{
	CU_ASSERT_EQUAL(run_outcome(-9999), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(7), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_LOST), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_SILENT), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_PROTOCOL), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_FOREIGN), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_UNAVAILABLE), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_CANCELLED), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(ERR_SHED), RUN_NOT_RUN);
}

/*
 * A server that is leaving answers an order with 200 and says beside it that
 * it leaves. Taken for a refusal, the order would go to another server too.
 */
static void test_reply(void)
{
	static const int proofs[] = {404, 409, 429, 503};
	static const int others[] = {201, 204, 304, 401, 413,
				     499, 500, 502, 504, 999};
	size_t i;

	CU_ASSERT_EQUAL(run_reply_error(200, ERR_DRAINING, true), 0);
	for (i = 0; i < sizeof(proofs) / sizeof(*proofs); i++)
		CU_ASSERT_EQUAL(run_outcome(
					run_reply_error(proofs[i], 0, true)),
				RUN_NOT_RUN);
	for (i = 0; i < sizeof(others) / sizeof(*others); i++)
		CU_ASSERT_EQUAL(run_outcome(run_reply_error(others[i],
							    ERR_TOO_LATE,
							    true)),
				RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(run_reply_error(400, 0, true)),
			RUN_REFUSED);
	CU_ASSERT_EQUAL(run_outcome(run_reply_error(0, ERR_CONNECT, false)),
			RUN_NOT_RUN);
	CU_ASSERT_EQUAL(run_outcome(run_reply_error(0, ERR_CONNECT, true)),
			RUN_UNKNOWN);
	CU_ASSERT_EQUAL(run_outcome(run_reply_error(0, ERR_LOST, true)),
			RUN_UNKNOWN);
}

static const struct unit_test tests[] = {
	{"elsewhere", test_elsewhere},
	{"lost after send", test_lost_after_send},
	{"home lost", test_home_lost},
	{"home unreachable", test_home_unreachable},
	{"not run is final", test_not_run_is_final},
	{"duplicate result", test_duplicate_result},
	{"late wake", test_late_wake},
	{"deadline within lifetime", test_deadline_within_lifetime},
	{"late answer", test_late_answer},
	{"issuer gone", test_issuer_gone},
	{"foreign result", test_foreign_result},
	{"full", test_full},
	{"abandon", test_abandon},
	{"outcome", test_outcome},
	{"reply", test_reply},
	{"histories, naive", test_histories_naive},
	{"histories, calm", test_histories_calm},
	{"histories", test_histories},
};

UNIT_MAIN("run", tests)
