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
 * Simulated instances, each also a home, and backend servers that count runs.
 * Frames are events on a paused clock. Any frame may be lost or late, and any
 * instance may crash or be stopped.
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
			post_event(fleet, EVENT_CRASH, i,
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
 * losses, crashes, stops and forwards, no request runs twice, none that was
 * reported as not run has run, and all answers to one request agree.
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

/* One instance whose frames are counted, for the tests below. */
struct fixture {
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

struct fixture_waiter {
	struct run_waiter base;
	const struct run_tracker *runs;
	int calls;
	int code;
	uint32_t retry_after_ms;
	bool ended_by_stop;
	char server[NAME_SIZE];
};

static int fixture_pick(void *ctx, struct str service, uint16_t point,
			const struct str *tried, int n_tried,
			struct run_target *target)
{
	struct fixture *fixture = ctx;

	(void)service;
	(void)point;
	(void)tried;
	if (n_tried >= SERVERS)
		return ERR_NO_REPLICA;
	fixture->picks++;
	target->server = str_from(server_names[n_tried]);
	target->home = STR("h");
	return 0;
}

static int fixture_forward(void *ctx, uint64_t id, struct str issuer,
			   const struct run_message *request)
{
	struct fixture *fixture = ctx;

	(void)issuer;
	(void)request;
	fixture->forwards++;
	fixture->id = id;
	return 0;
}

static int fixture_send(void *ctx, uint64_t id, const struct run_target *target,
			const struct run_message *request)
{
	struct fixture *fixture = ctx;

	(void)target;
	fixture->sends++;
	fixture->id = id;
	fixture->deadline_ms = request->deadline_ms;
	return fixture->fail_send-- > 0 ? ERR_UNAVAILABLE : 0;
}

static const struct run_ops fixture_ops = {
	.pick = fixture_pick,
	.forward = fixture_forward,
	.send = fixture_send,
};

static void fixture_init(struct fixture *fixture)
{
	struct ticket_limits limits = {
		.lifetime = MSEC(1000),
		.tickets_max = 100,
		.bytes_max = 1 << 20,
		.answer_reserve = 16,
	};
	uint32_t retry;

	memset(fixture, 0, sizeof(*fixture));
	random_state = 1;
	clock_init_paused(&fixture->clock, MSEC(1));
	ticket_store_init(&fixture->tickets, &fixture->clock, STR("a"), 42,
			  next_random);
	ticket_store_set_limits(&fixture->tickets, &limits);
	run_tracker_init(&fixture->runs, &fixture->clock, &fixture->tickets,
			 &fixture_ops, fixture);
	ticket_issue(&fixture->tickets, STR("desk"), fixture->text, &retry);
}

static void fixture_finish(struct fixture *fixture)
{
	run_tracker_finish(&fixture->runs);
	ticket_store_finish(&fixture->tickets);
}

static void fixture_answered(struct run_waiter *base,
			     const struct ticket_answer *answer)
{
	struct fixture_waiter *waiter = (struct fixture_waiter *)base;

	waiter->calls++;
	waiter->code = answer->code;
	waiter->retry_after_ms = answer->retry_after_ms;
	waiter->ended_by_stop =
		run_ended_by_stop(waiter->runs, base, answer->code);
	str_copy(waiter->server, sizeof(waiter->server), base->asked.server);
}

static void fixture_accept_text(struct fixture *fixture,
				struct fixture_waiter *waiter, const char *text)
{
	struct run_message request = {
		.ticket = str_from(text),
		.service = STR("desk"),
		.key = STR("order"),
		.payload = STR("{}"),
		.deadline_ms = DEADLINE_MS,
	};

	memset(waiter, 0, sizeof(*waiter));
	waiter->base.answered = fixture_answered;
	waiter->runs = &fixture->runs;
	run_accept(&fixture->runs, &request, &waiter->base);
}

static void fixture_accept(struct fixture *fixture,
			   struct fixture_waiter *waiter)
{
	fixture_accept_text(fixture, waiter, fixture->text);
}

static void fixture_result(struct fixture *fixture, const char *from, int code)
{
	struct ticket_answer answer = {.code = code};

	run_handle_result(&fixture->runs, fixture->id, str_from(from), &answer);
}

/*
 * The first server has no free slot. The request provably has not run there, so
 * it is sent to the second one at once.
 */
static void test_next_server(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(fixture.sends, 2);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_result(&fixture, "h", 0);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(waiter.code, 0);
	fixture_finish(&fixture);
}

/*
 * The connection to the server breaks after the request was sent. It may have
 * run, so no other server gets it, and the outcome is reported as unknown.
 */
static void test_lost_after_send(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	fixture_result(&fixture, "h", ERR_LOST);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	fixture_finish(&fixture);
}

/* The same after the connection to the home breaks. */
static void test_home_lost(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	run_peer_lost(&fixture.runs, STR("other"));
	CU_ASSERT_EQUAL(waiter.calls, 0);
	run_peer_lost(&fixture.runs, STR("h"));
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	fixture_finish(&fixture);
}

/* A home that can't be reached got no byte, so the next one is tried. */
static void test_home_unreachable(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.fail_send = 1;
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(fixture.sends, 2);
	fixture_result(&fixture, "h", 0);
	CU_ASSERT_EQUAL(waiter.code, 0);
	fixture_finish(&fixture);
}

/*
 * No server accepts the request: the caller gets "not run" at once, not at the
 * deadline. A repeat with the same ticket gets the same answer and doesn't run,
 * so that retrying with a new ticket can't run the request twice.
 */
static void test_not_run_is_final(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	fixture_result(&fixture, "h", ERR_SHED);
	fixture_result(&fixture, "h", ERR_CONNECT);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_NOT_RUN);
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_NOT_RUN);
	CU_ASSERT_EQUAL(fixture.sends, 2);
	fixture_finish(&fixture);
}

/*
 * The home's answer "no slot" arrives twice, the second time after the request
 * was sent to another server. It must not be taken for the answer of that one.
 */
static void test_duplicate_result(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;
	uint64_t first;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	first = fixture.id;
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	fixture.id = first;
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(fixture.sends, 2);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_finish(&fixture);
}

/*
 * The issuer is stopped before it reads "no slot" and resumes after the
 * deadline. It must not send the request again, and reports it as not run.
 */
static void test_stopped_issuer(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	clock_advance(&fixture.clock, MSEC(30000));
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	CU_ASSERT_EQUAL(waiter.code, ERR_TOO_LATE);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_NOT_RUN);
	fixture_finish(&fixture);
}

static void fixture_advance_to(struct fixture *fixture, int64_t time)
{
	clock_advance(&fixture->clock, time - clock_now(&fixture->clock));
	run_tick(&fixture->runs);
}

/* Guards against an exit with runs open, whose callers are left in doubt. */
static void test_runs_end_before_the_exit(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	run_stop(&fixture.runs, MSEC(101), MSEC(151));
	CU_ASSERT(run_tick(&fixture.runs) <= MSEC(151));
	fixture_advance_to(&fixture, MSEC(150));
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_advance_to(&fixture, MSEC(151));
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT(waiter.ended_by_stop);
	CU_ASSERT_STRING_EQUAL(waiter.server, server_names[0]);
	fixture_finish(&fixture);
}

/* Guards against a log that blames a stop for what it did not end. */
static void test_runs_that_a_stop_does_not_end(void)
{
	static const int codes[] = {0, ERR_UNKNOWN, ERR_LOST};
	struct fixture_waiter waiter;
	struct fixture fixture;
	size_t i;

	for (i = 0; i < sizeof(codes) / sizeof(*codes); i++) {
		fixture_init(&fixture);
		fixture_accept(&fixture, &waiter);
		run_stop(&fixture.runs, MSEC(101), MSEC(151));
		fixture_result(&fixture, "h", codes[i]);
		CU_ASSERT_EQUAL(waiter.calls, 1);
		CU_ASSERT(!waiter.ended_by_stop);
		CU_ASSERT_STRING_EQUAL(waiter.server, server_names[0]);
		fixture_finish(&fixture);
	}
}

/* Guards against an order that is sent on when its issuer ends. */
static void test_no_run_at_the_end_of_a_stop(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	run_stop(&fixture.runs, MSEC(101), MSEC(151));
	fixture_advance_to(&fixture, MSEC(101));
	fixture_result(&fixture, "h", ERR_NO_SLOT);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_NOT_RUN);
	CU_ASSERT(waiter.ended_by_stop);
	fixture_finish(&fixture);
}

/* Guards against homes that are given more time than their issuer has. */
static void test_run_during_a_stop(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	run_stop(&fixture.runs, MSEC(101), MSEC(151));
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(fixture.deadline_ms, 100);
	fixture_advance_to(&fixture, MSEC(151));
	CU_ASSERT_EQUAL(waiter.calls, 1);
	fixture_finish(&fixture);
}

/* The deadline of an attempt doesn't exceed the expiry of the ticket. */
static void test_deadline_within_lifetime(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	clock_advance(&fixture.clock, MSEC(900));
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(fixture.deadline_ms, 100);
	fixture_finish(&fixture);
}

/*
 * The home doesn't answer before the deadline, and the caller gets an unknown
 * outcome. A repeat with the same ticket gets the answer that arrives later.
 */
static void test_late_answer(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	clock_advance(&fixture.clock, MSEC(DEADLINE_MS));
	run_tick(&fixture.runs);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	fixture_result(&fixture, "h", 0);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(waiter.code, 0);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	fixture_finish(&fixture);
}

#define OTHER_TICKET "1-000000000000002b-0000000000000001-0000000000000001-b"
#define FORMER_TICKET "1-000000000000002b-0000000000000001-0000000000000001-a"

/* The issuer is gone or restarted: the outcome is unknown. */
static void test_issuer_gone(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	CU_ASSERT_EQUAL(fixture.forwards, 1);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	run_peer_lost(&fixture.runs, STR("b"));
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	fixture_accept_text(&fixture, &waiter, FORMER_TICKET);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	CU_ASSERT_EQUAL(waiter.code, ERR_TICKET_LOST);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT_EQUAL(fixture.sends, 0);
	fixture_finish(&fixture);
}

/*
 * An answer from an instance that the frame wasn't sent to is ignored. This can
 * happen after a change of connections.
 */
static void test_result_of_other_instance(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	fixture_result(&fixture, "c", 0);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_result(&fixture, "b", 0);
	CU_ASSERT_EQUAL(waiter.calls, 1);
	fixture_finish(&fixture);
}

/*
 * Too many requests are in progress. The issuer answers "not run" for good. A
 * forwarding instance can't, as the request may arrive through another one.
 */
static void test_overload(void)
{
	struct fixture_waiter waiter;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture.runs.calls_max = 0;
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	CU_ASSERT_EQUAL(run_outcome(waiter.code), RUN_UNKNOWN);
	CU_ASSERT(waiter.retry_after_ms > 0);
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(waiter.code, ERR_OVERLOAD);
	fixture.runs.calls_max = 10;
	fixture_accept(&fixture, &waiter);
	CU_ASSERT_EQUAL(waiter.code, ERR_OVERLOAD);
	CU_ASSERT_EQUAL(fixture.sends, 0);
	fixture_finish(&fixture);
}

/* A caller disconnects: its request continues, and a repeat gets the answer. */
static void test_abandon(void)
{
	struct fixture_waiter waiter;
	struct fixture_waiter again;
	struct fixture fixture;

	fixture_init(&fixture);
	fixture_accept(&fixture, &waiter);
	run_abandon(&waiter.base);
	fixture_accept(&fixture, &again);
	fixture_result(&fixture, "h", 0);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	CU_ASSERT_EQUAL(again.calls, 1);
	CU_ASSERT_EQUAL(fixture.sends, 1);
	fixture_accept_text(&fixture, &waiter, OTHER_TICKET);
	run_abandon(&waiter.base);
	fixture_result(&fixture, "b", 0);
	CU_ASSERT_EQUAL(waiter.calls, 0);
	fixture_finish(&fixture);
}

/* An unknown error code never means "not run". */
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
 * A server that is leaving answers with 200 and also says that it is leaving.
 * Taken for a refusal, the request would be sent to another server and run
 * twice.
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
	{"next server after a refusal", test_next_server},
	{"connection lost after sending", test_lost_after_send},
	{"connection to home lost", test_home_lost},
	{"home unreachable", test_home_unreachable},
	{"not run is final", test_not_run_is_final},
	{"duplicate result", test_duplicate_result},
	{"issuer stopped past the deadline", test_stopped_issuer},
	{"deadline within lifetime", test_deadline_within_lifetime},
	{"late answer", test_late_answer},
	{"issuer gone", test_issuer_gone},
	{"result from another instance", test_result_of_other_instance},
	{"too many requests", test_overload},
	{"caller disconnects", test_abandon},
	{"outcome of error codes", test_outcome},
	{"outcome of HTTP replies", test_reply},
	{"random histories, plain retries", test_histories_plain_retries},
	{"random histories, no faults", test_histories_without_faults},
	{"random histories", test_histories},
	{"runs end before the exit", test_runs_end_before_the_exit},
	{"no run at the end of a stop", test_no_run_at_the_end_of_a_stop},
	{"run during a stop", test_run_during_a_stop},
	{"runs that a stop does not end", test_runs_that_a_stop_does_not_end},
};

UNIT_MAIN("run", tests)
