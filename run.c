#include "run.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

/* Retry time for callers when no other is known. */
#define RETRY_AFTER_MS 200
/* Time that a call is kept after its deadline, for a late answer. */
#define LATE_ANSWER_GRACE MSEC(1000)

/*
 * A request sent to an issuer or a home. Either forwarded to the issuer (waiter
 * is set) or executed here under a ticket of this incarnation (sequence is
 * set).
 */
struct run_call {
	uint64_t id;
	uint64_t sequence;
	struct run_waiter *waiter;
	int64_t deadline;
	char *peer; /* the instance that the frame was sent to */
	char *strings;
	struct run_message request;
	char *tried[RUN_ATTEMPTS_MAX];
	int n_tried;
	UT_hash_handle hh;
};

enum run_outcome run_outcome(int code)
{
	switch (code) {
	case ERR_NONE:
		return RUN_DONE;
	case ERR_NOT_RUN:
	case ERR_OVERLOAD:
	case ERR_TOO_LATE:
	case ERR_NOT_HOME:
	case ERR_NO_SLOT:
	case ERR_SHED:
	case ERR_DRAINING:
	case ERR_CONNECT:
	case ERR_WRONG_VERSION:
	case ERR_NOT_HELD:
	case ERR_NO_REPLICA:
	case ERR_LEAVING:
	case ERR_BANNED:
	case ERR_BUDGET:
	case ERR_NO_SNAPSHOT:
	case ERR_NOT_LEASED:
	case ERR_TICKET_EXPIRED:
		return RUN_NOT_RUN;
	case ERR_BAD_REQUEST:
	case ERR_NO_SERVICE:
	case ERR_TICKET:
	case ERR_TOO_LARGE:
		return RUN_REFUSED;
	default:
		return RUN_UNKNOWN;
	}
}

int run_reply_error(int status, int code, bool sent)
{
	switch (status) {
	case 0:
		break;
	case 200:
		return 0;
	case 400:
		return ERR_BAD_REQUEST;
	case 404:
		return ERR_NOT_HELD;
	case 409:
		return ERR_WRONG_VERSION;
	case 429:
		return ERR_NO_SLOT;
	case 503:
		return ERR_SHED;
	default:
		return ERR_UNKNOWN;
	}
	if (sent && run_outcome(code) != RUN_UNKNOWN)
		return ERR_UNKNOWN;
	return code;
}

uint16_t run_key_point(struct str key)
{
	return (uint16_t)(str_hash(key) & UINT16_MAX);
}

static int64_t earlier(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static uint64_t request_digest(const struct run_message *request)
{
	uint64_t hash = str_hash(request->key);

	return str_hash_mix(hash, str_hash(request->payload));
}

static char *copy_str(char *at, struct str *part)
{
	if (part->len)
		memcpy(at, part->data, part->len);
	part->data = at;
	return at + part->len;
}

static void copy_request(struct run_call *call,
			 const struct run_message *request)
{
	char *at = mem_zalloc(request->ticket.len + request->request_id.len +
			      request->service.len + request->key.len +
			      request->payload.len);

	call->strings = at;
	call->request = *request;
	at = copy_str(at, &call->request.ticket);
	at = copy_str(at, &call->request.request_id);
	at = copy_str(at, &call->request.service);
	at = copy_str(at, &call->request.key);
	copy_str(at, &call->request.payload);
}

static struct run_call *add_call(struct run_tracker *tracker)
{
	struct run_call *call = mem_zalloc(sizeof(*call));

	call->id = ++tracker->last_id;
	HASH_ADD(hh, tracker->calls, id, sizeof(call->id), call);
	tracker->n_calls++;
	return call;
}

static void drop_call(struct run_tracker *tracker, struct run_call *call)
{
	int i;

	HASH_DEL(tracker->calls, call);
	tracker->n_calls--;
	if (call->waiter)
		call->waiter->call = NULL;
	for (i = 0; i < call->n_tried; i++)
		free(call->tried[i]);
	free(call->peer);
	free(call->strings);
	free(call);
}

static void detach_waiter(struct run_waiter *waiter)
{
	if (!waiter->tracker)
		return;
	DL_DELETE(waiter->tracker->waiters, waiter);
	waiter->tracker = NULL;
	ticket_unwait(&waiter->ticket_waiter);
	if (waiter->call)
		waiter->call->waiter = NULL;
	waiter->call = NULL;
}

static const struct run_call *find_asked(const struct run_waiter *waiter)
{
	const struct run_call *call = waiter->call;

	if (call || !waiter->sequence)
		return call;
	for (call = waiter->tracker->calls; call; call = call->hh.next) {
		if (call->sequence == waiter->sequence)
			return call;
	}
	return NULL;
}

struct run_target run_asked(const struct run_waiter *waiter)
{
	const struct run_call *call = find_asked(waiter);
	struct run_target asked = {STR(""), STR("")};

	if (!call || !call->peer)
		return asked;
	asked.home = str_from(call->peer);
	if (call->n_tried)
		asked.server = str_from(call->tried[call->n_tried - 1]);
	return asked;
}

static bool is_stopping(const struct run_tracker *tracker)
{
	return tracker->answer_by != INT64_MAX;
}

bool run_ended_by_stop(const struct run_tracker *tracker,
		       const struct run_waiter *waiter, int code)
{
	int64_t now = clock_now(tracker->clock);

	if (!is_stopping(tracker) || now >= waiter->full_deadline)
		return false;
	switch (code) {
	case ERR_LEAVING:
		return true;
	case ERR_TOO_LATE:
		return waiter->full_deadline > tracker->start_by;
	case ERR_UNKNOWN:
		return now >= tracker->start_by;
	default:
		return false;
	}
}

static void reply(struct run_waiter *waiter, const struct ticket_answer *answer)
{
	if (is_stopping(waiter->tracker))
		waiter->asked = run_asked(waiter);
	detach_waiter(waiter);
	waiter->answered(waiter, answer);
}

static void reply_code(struct run_waiter *waiter, int code,
		       uint32_t retry_after_ms)
{
	struct ticket_answer answer = {
		.code = code,
		.retry_after_ms = retry_after_ms,
	};

	reply(waiter, &answer);
}

static void on_answer(struct ticket_waiter *ticket_waiter,
		      const struct ticket_answer *answer)
{
	struct run_waiter *waiter =
		(struct run_waiter *)((char *)ticket_waiter -
				      offsetof(struct run_waiter,
					       ticket_waiter));

	reply(waiter, answer);
}

/* Ends a request executed here with its final answer. */
static void finish_call(struct run_tracker *tracker, struct run_call *call,
			const struct ticket_answer *answer)
{
	uint64_t sequence = call->sequence;
	struct ticket_answer final = *answer;

	if (run_outcome(final.code) == RUN_NOT_RUN && !final.retry_after_ms)
		final.retry_after_ms = RETRY_AFTER_MS;
	ticket_answer(tracker->tickets, sequence, &final);
	drop_call(tracker, call);
}

static void finish_call_with_code(struct run_tracker *tracker,
				  struct run_call *call, int code,
				  uint32_t retry_after_ms)
{
	struct ticket_answer answer = {
		.code = code,
		.retry_after_ms = retry_after_ms,
	};

	finish_call(tracker, call, &answer);
}

static int send_to(struct run_tracker *tracker, struct run_call *call,
		   const struct run_target *target, int64_t left)
{
	call->tried[call->n_tried++] =
		mem_dup_len(target->server.data, target->server.len);
	free(call->peer);
	call->peer = mem_dup_len(target->home.data, target->home.len);
	call->request.deadline_ms = (uint32_t)(left / USEC_PER_MSEC);
	return tracker->ops->send(tracker->ctx, call->id, target,
				  &call->request);
}

/*
 * Sends a request to the next server. Must only be called while the request
 * provably has not run: before the first attempt, or after an attempt that
 * proved it. Reads the clock before each attempt, so that a process that was
 * stopped doesn't send requests whose deadline has passed.
 */
static void try_next(struct run_tracker *tracker, struct run_call *call,
		     int code, uint32_t retry_after_ms)
{
	while (call->n_tried < RUN_ATTEMPTS_MAX) {
		int64_t left = call->deadline - clock_now(tracker->clock);
		struct str tried[RUN_ATTEMPTS_MAX];
		struct run_target target;
		int ret;
		int i;

		if (left < USEC_PER_MSEC) {
			code = ERR_TOO_LATE;
			break;
		}
		for (i = 0; i < call->n_tried; i++)
			tried[i] = str_from(call->tried[i]);
		ret = tracker->ops->pick(tracker->ctx, call->request.service,
					 run_key_point(call->request.key),
					 tried, call->n_tried, &target);
		if (ret) {
			code = call->n_tried ? code : ret;
			break;
		}
		ret = send_to(tracker, call, &target, left);
		if (!ret)
			return;
		code = ERR_NOT_RUN;
	}
	finish_call_with_code(tracker, call, code, retry_after_ms);
}

static void execute(struct run_tracker *tracker, uint64_t sequence,
		    const struct run_message *request, int64_t deadline)
{
	struct run_call *call = add_call(tracker);
	int64_t expires = clock_now(tracker->clock) +
			  ticket_time_left(tracker->tickets, sequence);

	call->sequence = sequence;
	call->deadline = earlier(earlier(deadline, expires), tracker->start_by);
	copy_request(call, request);
	try_next(tracker, call, ERR_NOT_RUN, 0);
}

static void answer_overloaded(struct run_tracker *tracker, uint64_t sequence)
{
	static const struct ticket_answer overload = {
		.code = ERR_OVERLOAD,
		.retry_after_ms = RETRY_AFTER_MS,
	};

	ticket_answer(tracker->tickets, sequence, &overload);
}

/* Accepts a request under a ticket of this incarnation. */
static void accept_own(struct run_tracker *tracker, const struct ticket_id *id,
		       const struct run_message *request,
		       struct run_waiter *waiter)
{
	struct ticket_answer answer;
	int state = ticket_use(tracker->tickets, id, request->service,
			       request_digest(request), &answer);

	if (state < 0) {
		reply_code(waiter, state, 0);
		return;
	}
	if (state == TICKET_ANSWERED) {
		reply(waiter, &answer);
		return;
	}
	waiter->sequence = id->sequence;
	waiter->ticket_waiter.answered = on_answer;
	ticket_wait(tracker->tickets, id->sequence, &waiter->ticket_waiter);
	if (state == TICKET_RUNNING)
		return;
	if (tracker->n_calls >= tracker->calls_max)
		answer_overloaded(tracker, id->sequence);
	else
		execute(tracker, id->sequence, request, waiter->deadline);
}

/*
 * Forwards a request to the issuer of its ticket. An earlier frame with the
 * same ticket may be on its way or may have run, so the outcome is unknown even
 * if no byte of this frame was sent.
 */
static void forward(struct run_tracker *tracker, const struct ticket_id *id,
		    const struct run_message *request,
		    struct run_waiter *waiter)
{
	int64_t left = earlier(waiter->deadline, tracker->start_by) -
		       clock_now(tracker->clock);
	struct run_message limited = *request;
	struct run_call *call;
	int ret;

	if (tracker->n_calls >= tracker->calls_max || left < USEC_PER_MSEC) {
		reply_code(waiter, ERR_UNAVAILABLE, RETRY_AFTER_MS);
		return;
	}
	limited.deadline_ms = (uint32_t)(left / USEC_PER_MSEC);
	call = add_call(tracker);
	call->waiter = waiter;
	waiter->call = call;
	call->deadline = waiter->deadline;
	call->peer = mem_dup_len(id->instance.data, id->instance.len);
	ret = tracker->ops->forward(tracker->ctx, call->id, id->instance,
				    &limited);
	if (!ret)
		return;
	drop_call(tracker, call);
	reply_code(waiter, ERR_UNAVAILABLE, RETRY_AFTER_MS);
}

static void start_wait(struct run_tracker *tracker,
		       const struct run_message *request,
		       struct run_waiter *waiter)
{
	waiter->tracker = tracker;
	waiter->call = NULL;
	waiter->ticket_waiter.entry = NULL;
	waiter->sequence = 0;
	waiter->started_at = clock_now(tracker->clock);
	waiter->full_deadline = waiter->started_at + MSEC(request->deadline_ms);
	waiter->deadline = earlier(waiter->full_deadline, tracker->answer_by);
	DL_APPEND(tracker->waiters, waiter);
}

static void accept_request(struct run_tracker *tracker,
			   const struct run_message *request,
			   struct run_waiter *waiter, bool may_forward)
{
	struct ticket_id id;

	start_wait(tracker, request, waiter);
	if (ticket_parse(request->ticket, &id))
		reply_code(waiter, ERR_TICKET, 0);
	else if (ticket_is_own(tracker->tickets, &id))
		accept_own(tracker, &id, request, waiter);
	else if (str_eq(id.instance, tracker->tickets->instance))
		reply_code(waiter, ERR_TICKET_LOST, 0);
	else if (!may_forward)
		reply_code(waiter, ERR_UNAVAILABLE, RETRY_AFTER_MS);
	else
		forward(tracker, &id, request, waiter);
}

void run_tracker_init(struct run_tracker *tracker, const struct clock *clock,
		      struct ticket_store *tickets, const struct run_ops *ops,
		      void *ctx)
{
	memset(tracker, 0, sizeof(*tracker));
	tracker->clock = clock;
	tracker->tickets = tickets;
	tracker->ops = ops;
	tracker->ctx = ctx;
	tracker->calls_max = RUN_CALLS_MAX;
	tracker->start_by = INT64_MAX;
	tracker->answer_by = INT64_MAX;
	/* Answers to an earlier incarnation must not match any call. */
	tracker->last_id = tickets->incarnation;
}

void run_tracker_finish(struct run_tracker *tracker)
{
	struct run_call *call;
	struct run_call *tmp;

	while (tracker->waiters)
		reply_code(tracker->waiters, ERR_UNKNOWN, 0);
	HASH_ITER (hh, tracker->calls, call, tmp)
		drop_call(tracker, call);
}

void run_accept(struct run_tracker *tracker, const struct run_message *request,
		struct run_waiter *waiter)
{
	accept_request(tracker, request, waiter, true);
}

void run_accept_forwarded(struct run_tracker *tracker,
			  const struct run_message *request,
			  struct run_waiter *waiter)
{
	accept_request(tracker, request, waiter, false);
}

void run_abandon(struct run_waiter *waiter)
{
	struct run_call *call = waiter->call;
	struct run_tracker *tracker = waiter->tracker;

	detach_waiter(waiter);
	if (call)
		drop_call(tracker, call);
}

static struct run_call *find_call(const struct run_tracker *tracker,
				  uint64_t id)
{
	struct run_call *call;

	HASH_FIND(hh, tracker->calls, &id, sizeof(id), call);
	return call;
}

static void finish_forwarded(struct run_tracker *tracker, struct run_call *call,
			     const struct ticket_answer *answer)
{
	struct run_waiter *waiter = call->waiter;

	if (waiter)
		reply(waiter, answer);
	drop_call(tracker, call);
}

void run_handle_result(struct run_tracker *tracker, uint64_t id,
		       struct str from, const struct ticket_answer *answer)
{
	struct run_call *call = find_call(tracker, id);

	if (!call || !str_eq_text(from, call->peer))
		return;
	if (!call->sequence) {
		finish_forwarded(tracker, call, answer);
		return;
	}
	if (run_outcome(answer->code) != RUN_NOT_RUN) {
		finish_call(tracker, call, answer);
		return;
	}
	/* A duplicate of this answer must not match the next attempt. */
	HASH_DEL(tracker->calls, call);
	call->id = ++tracker->last_id;
	HASH_ADD(hh, tracker->calls, id, sizeof(call->id), call);
	try_next(tracker, call, answer->code, answer->retry_after_ms);
}

/*
 * Returns the ids of the matching calls, as answering a waiter may change the
 * list of calls. The caller frees the array.
 */
static uint64_t *collect_ids(const struct run_tracker *tracker,
			     bool (*match)(const struct run_call *call,
					   const void *arg),
			     const void *arg, int *n)
{
	uint64_t *ids = mem_zalloc((size_t)tracker->n_calls * sizeof(*ids));
	struct run_call *call;

	*n = 0;
	for (call = tracker->calls; call; call = call->hh.next) {
		if (match(call, arg))
			ids[(*n)++] = call->id;
	}
	return ids;
}

static bool is_held_by(const struct run_call *call, const void *instance)
{
	return str_eq_text(*(const struct str *)instance, call->peer);
}

static bool is_expired(const struct run_call *call, const void *now)
{
	return call->deadline + LATE_ANSWER_GRACE <= *(const int64_t *)now;
}

static void finish_calls(struct run_tracker *tracker, const uint64_t *ids,
			 int n, const struct ticket_answer *forwarded,
			 int executed_code)
{
	int i;

	for (i = 0; i < n; i++) {
		struct run_call *call = find_call(tracker, ids[i]);

		if (!call)
			continue;
		if (call->sequence)
			finish_call_with_code(tracker, call, executed_code, 0);
		else
			finish_forwarded(tracker, call, forwarded);
	}
}

void run_peer_lost(struct run_tracker *tracker, struct str instance)
{
	static const struct ticket_answer lost = {
		.code = ERR_UNAVAILABLE,
		.retry_after_ms = RETRY_AFTER_MS,
	};
	int n;
	uint64_t *ids = collect_ids(tracker, is_held_by, &instance, &n);

	finish_calls(tracker, ids, n, &lost, ERR_LOST);
	free(ids);
}

static struct run_waiter *find_expired_waiter(const struct run_tracker *tracker,
					      int64_t now)
{
	struct run_waiter *waiter;

	DL_FOREACH (tracker->waiters, waiter) {
		if (waiter->deadline <= now)
			return waiter;
	}
	return NULL;
}

void run_stop(struct run_tracker *tracker, int64_t start_by, int64_t answer_by)
{
	struct run_waiter *waiter;
	struct run_call *call;

	tracker->start_by = start_by;
	tracker->answer_by = answer_by;
	DL_FOREACH (tracker->waiters, waiter)
		waiter->deadline = earlier(waiter->deadline, answer_by);
	for (call = tracker->calls; call; call = call->hh.next)
		call->deadline = earlier(call->deadline,
					 call->sequence ? start_by : answer_by);
}

int64_t run_tick(struct run_tracker *tracker)
{
	static const struct ticket_answer late = {.code = ERR_UNKNOWN};
	int64_t now = clock_now(tracker->clock);
	int64_t next = INT64_MAX;
	struct run_call *call;
	struct run_waiter *waiter;
	uint64_t *ids;
	int n;

	/* Their requests continue. */
	while ((waiter = find_expired_waiter(tracker, now)))
		reply_code(waiter, ERR_UNKNOWN, RETRY_AFTER_MS);
	ids = collect_ids(tracker, is_expired, &now, &n);
	finish_calls(tracker, ids, n, &late, ERR_UNKNOWN);
	free(ids);
	DL_FOREACH (tracker->waiters, waiter)
		next = waiter->deadline < next ? waiter->deadline : next;
	for (call = tracker->calls; call; call = call->hh.next) {
		if (call->deadline + LATE_ANSWER_GRACE < next)
			next = call->deadline + LATE_ANSWER_GRACE;
	}
	return next;
}
