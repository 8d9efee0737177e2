#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"
#include "rng.h"
#include "run.h"
#include "unit.h"

/*
 * Simulated instances, each also a home, and backend servers that count runs.
 * Frames are events on a paused clock. Any frame may be lost or late, and any
 * instance may crash, stand still, or stop as planned.
 */
#define NODES 3
#define SERVERS 2
#define TICKETS 4
#define CALLS 5
#define NAME_SIZE 16
#define DEADLINE_MS 400
#define NAIVE_TRIES 3
/* From the last start of work to the last answer of an instance that stops. */
#define STOP_LEAD MSEC(50)

static struct rng rng;

static uint64_t next_random(void)
{
	return rng_next(&rng);
}

static bool chance(int per_mille)
{
	return (int)(next_random() % 1000) < per_mille;
}

static int64_t random_between(int64_t lo, int64_t hi)
{
	return lo + (int64_t)(next_random() % (uint64_t)(hi - lo + 1));
}

enum event_kind {
	EVENT_CALL,    /* a request of a caller arrives at an instance */
	EVENT_FORWARD, /* a frame from an instance to the issuer */
	EVENT_SEND,    /* a frame from the issuer to a home */
	EVENT_SERVE,   /* a home has a slot and sends to the server */
	EVENT_RESULT,  /* an answer arrives at an instance */
	EVENT_LOST,    /* the connection to another instance breaks */
	EVENT_CRASH,
	EVENT_STOP, /* an instance is told to stop gracefully */
	EVENT_EXIT, /* and ends */
};

struct fleet;

struct event {
	enum event_kind kind;
	int64_t at;
	int node;
	uint64_t incarnation; /* of the receiving node; 0: any */
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

struct waiter {
	struct run_waiter base;
	struct fleet *fleet;
	bool from_caller;
	int call;
	/* Destination of the answer, for a forwarded request. */
	int node;
	int from;
	uint64_t id;
	uint64_t from_incarnation;
	struct waiter *prev;
	struct waiter *next;
};

struct ticket {
	char text[TICKET_TEXT_SIZE];
	char key[NAME_SIZE];
	int runs;
	int done;
	int done_body;
	int not_run;
	int refused;
	bool inconsistent;
};

struct fleet {
	struct clock clock;
	struct node nodes[NODES];
	struct ticket tickets[TICKETS];
	struct event *events;
	struct waiter *waiters;
	bool naive; /* plain retries without tickets */
	int faults; /* per mille, of each kind */
	int runs;
	int answers;
};

static struct event *post_event(struct fleet *fleet, enum event_kind kind,
				int node, int64_t delay)
{
	struct event *event = mem_zalloc(sizeof(*event));

	event->kind = kind;
	event->node = node;
	event->at = clock_now(&fleet->clock) + delay;
	DL_APPEND(fleet->events, event);
	return event;
}

/*
 * Usually a short delay; for a fault, one that may exceed a deadline or the
 * lifetime of a ticket.
 */
static int64_t delay(struct fleet *fleet)
{
	if (chance(fleet->faults))
		return random_between(MSEC(100), MSEC(1500));
	return random_between(100, MSEC(5));
}

static bool is_lost(struct fleet *fleet)
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

static int pick_target(void *ctx, struct str service, uint16_t point,
		       const struct str *tried, int n_tried,
		       struct run_target *target)
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

static struct event *post_frame(struct node *node, enum event_kind kind, int to,
				uint64_t id)
{
	struct event *event =
		post_event(node->fleet, kind, to, delay(node->fleet));

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

	if (is_lost(node->fleet))
		return ERR_UNAVAILABLE;
	event = post_frame(node, EVENT_FORWARD,
			   node_by_name(node->fleet, issuer), id);
	event->ticket = ticket_by_text(node->fleet, request->ticket);
	event->deadline_ms = request->deadline_ms;
	return 0;
}

static int send_frame(void *ctx, uint64_t id, const struct run_target *target,
		      const struct run_message *request)
{
	struct node *node = ctx;
	struct event *event;

	if (is_lost(node->fleet))
		return ERR_UNAVAILABLE;
	event = post_frame(node, EVENT_SEND,
			   node_by_name(node->fleet, target->home), id);
	event->ticket = ticket_by_text(node->fleet, request->ticket);
	event->server = str_eq_text(target->server, "b1");
	event->deadline_ms = request->deadline_ms;
	return 0;
}

static const struct run_ops ops = {
	.pick = pick_target,
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

static void record_answer(struct fleet *fleet, int t, int code, int body)
{
	struct ticket *ticket = &fleet->tickets[t];

	fleet->answers++;
	switch (run_outcome(code)) {
	case RUN_DONE:
		if (ticket->done++ && ticket->done_body != body)
			ticket->inconsistent = true;
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

	if (is_lost(fleet)) {
		event = post_event(fleet, EVENT_LOST, node, delay(fleet));
		event->from = from;
		return;
	}
	event = post_event(fleet, EVENT_RESULT, node, delay(fleet));
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
	struct waiter *waiter = (struct waiter *)base;
	struct fleet *fleet = waiter->fleet;
	int body = body_number(answer->body);

	/* Answers to callers may be lost too. */
	if (!waiter->from_caller)
		post_result(fleet, waiter->from, waiter->node, waiter->id,
			    waiter->from_incarnation, answer->code, body);
	else if (!is_lost(fleet))
		record_answer(fleet, waiter->call, answer->code, body);
	DL_DELETE(fleet->waiters, waiter);
	free(waiter);
}

static struct waiter *new_waiter(struct fleet *fleet)
{
	struct waiter *waiter = mem_zalloc(sizeof(*waiter));

	waiter->fleet = fleet;
	waiter->base.answered = on_answered;
	DL_APPEND(fleet->waiters, waiter);
	return waiter;
}

static struct run_message make_request(struct fleet *fleet, int t,
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

/* Baseline without tickets: retries a request until it is answered. */
static void naive_send(struct fleet *fleet, int node, int t, int tries)
{
	struct event *event =
		post_event(fleet, EVENT_SERVE, node, delay(fleet));

	event->from = node;
	event->ticket = t;
	event->tries = tries;
	event->deadline = INT64_MAX;
}

static void on_call(struct fleet *fleet, const struct event *event)
{
	struct run_message request =
		make_request(fleet, event->ticket, DEADLINE_MS);
	struct waiter *waiter;

	if (fleet->naive) {
		naive_send(fleet, event->node, event->ticket, NAIVE_TRIES);
		return;
	}
	waiter = new_waiter(fleet);
	waiter->from_caller = true;
	waiter->call = event->ticket;
	run_accept(&fleet->nodes[event->node].runs, &request, &waiter->base);
}

static void on_forward(struct fleet *fleet, const struct event *event)
{
	struct run_message request =
		make_request(fleet, event->ticket, event->deadline_ms);
	struct waiter *waiter = new_waiter(fleet);

	waiter->node = event->node;
	waiter->from = event->from;
	waiter->id = event->id;
	waiter->from_incarnation =
		fleet->nodes[event->from].tickets.incarnation;
	run_accept_forwarded(&fleet->nodes[event->node].runs, &request,
			     &waiter->base);
}

/* A home queues a request until it has a slot. */
static void on_send(struct fleet *fleet, const struct event *event)
{
	struct event *serve =
		post_event(fleet, EVENT_SERVE, event->node, delay(fleet));

	serve->incarnation = event->incarnation;
	serve->from = event->from;
	serve->id = event->id;
	serve->ticket = event->ticket;
	serve->server = event->server;
	serve->deadline = clock_now(&fleet->clock) + MSEC(event->deadline_ms);
}

/* Runs one request at a home and its server. */
static int serve(struct fleet *fleet, const struct event *event, int *body)
{
	static const int refusals[] = {ERR_NO_SLOT, ERR_CONNECT, ERR_SHED,
				       ERR_NOT_HOME};
	struct ticket *ticket = &fleet->tickets[event->ticket];

	if (clock_now(&fleet->clock) >= event->deadline)
		return ERR_TOO_LATE;
	if (chance(fleet->faults))
		return refusals[next_random() % 4];
	/* The server crashed or the connection broke before the run. */
	if (chance(fleet->faults))
		return ERR_LOST;
	ticket->runs++;
	fleet->runs++;
	*body = fleet->runs;
	/* The answer was cut off or never arrived after the run. */
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
		record_answer(fleet, event->ticket, code, body);
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
			post_event(fleet, EVENT_LOST, i, delay(fleet))->from =
				event->node;
	}
}

static void on_stop(struct fleet *fleet, const struct event *event)
{
	struct node *node = &fleet->nodes[event->node];
	int64_t start_by =
		clock_now(&fleet->clock) + random_between(0, MSEC(DEADLINE_MS));
	int64_t answer_by = start_by + STOP_LEAD;

	run_stop(&node->runs, start_by, answer_by);
	post_event(fleet, EVENT_EXIT, event->node,
		   answer_by - clock_now(&fleet->clock) + 1)
		->incarnation = node->tickets.incarnation;
}

/* Guards against an exit whose callers are left in doubt. */
static void on_exit_event(struct fleet *fleet, const struct event *event)
{
	CU_ASSERT_PTR_NULL(fleet->nodes[event->node].runs.waiters);
	on_crash(fleet, event);
}

static void handle_event(struct fleet *fleet, const struct event *event)
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
	case EVENT_STOP:
		on_stop(fleet, event);
		break;
	case EVENT_EXIT:
		on_exit_event(fleet, event);
		break;
	}
}

static struct event *take_next_event(struct fleet *fleet)
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

/* Handles one event, later if its process is stopped. */
static bool step(struct fleet *fleet)
{
	struct event *event = take_next_event(fleet);
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
		node->stopped_until = clock_now(&fleet->clock) +
				      random_between(0, MSEC(2000));
	handle_event(fleet, event);
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
		post_event(fleet, EVENT_CALL, (int)(next_random() % NODES),
			   i ? random_between(0, MSEC(1500)) : 0)
			->ticket = t;
}

static void fleet_init(struct fleet *fleet, uint64_t seed, int faults,
		       bool naive)
{
	int i;

	memset(fleet, 0, sizeof(*fleet));
	rng_init(&rng, seed);
	clock_init_paused(&fleet->clock, MSEC(1));
	fleet->faults = faults;
	fleet->naive = naive;
	for (i = 0; i < NODES; i++)
		node_start(fleet, i);
	for (i = 0; i < TICKETS; i++)
		start_ticket(fleet, i);
	for (i = 0; i < NODES; i++) {
		if (chance(faults * 2))
			post_event(fleet, EVENT_CRASH, i,
				   random_between(0, MSEC(1500)));
		if (chance(faults * 2))
			post_event(fleet, EVENT_STOP, i,
				   random_between(0, MSEC(1500)));
	}
}

static void fleet_finish(struct fleet *fleet)
{
	struct event *event;
	int i;

	for (i = 0; i < NODES; i++)
		node_finish(&fleet->nodes[i]);
	while ((event = take_next_event(fleet)))
		free(event);
}

struct tally {
	int tickets;
	int runs;
	int repeated;
	int false_not_run;
	int false_done;
	int inconsistent;
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
	tally->inconsistent +=
		ticket->inconsistent || (ticket->done && ticket->not_run);
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
	CU_ASSERT_PTR_NULL(fleet.waiters);
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
	       tally.inconsistent);
	return tally;
}

/*
 * A request would run twice if it were resent after a lost answer or after a
 * crash or stop of an instance. Over thousands of random histories of repeats,
 * losses, crashes, planned stops, standstills and forwards, no request runs
 * twice, none that was reported as not run has run, and all answers to one
 * request agree.
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
		CU_ASSERT_EQUAL(tally.inconsistent, 0);
		CU_ASSERT(tally.done > 0);
		CU_ASSERT(tally.not_run > 0);
	}
}

/*
 * Control: with plain retries on any error, the same histories must contain
 * requests that ran twice. Otherwise the test above proves nothing.
 */
static void test_histories_plain_retries(void)
{
	struct tally tally = run_histories(200, 100, true);

	CU_ASSERT(tally.repeated > 0);
	CU_ASSERT(tally.inconsistent > 0);
}

/* Without faults every request runs, and its callers get the answer. */
static void test_histories_without_faults(void)
{
	struct tally tally = run_histories(200, 0, false);

	CU_ASSERT_EQUAL(tally.runs, tally.tickets);
	CU_ASSERT_EQUAL(tally.done, tally.tickets);
	CU_ASSERT_EQUAL(tally.repeated, 0);
}

static const struct unit_test tests[] = {
	{"random histories, plain retries", test_histories_plain_retries},
	{"random histories, no faults", test_histories_without_faults},
	{"random histories", test_histories},
};

UNIT_MAIN("run_histories", tests)
