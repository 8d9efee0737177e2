#include "run.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <utlist.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

/* When to come back, where nobody knows better. */
#define ASK_AGAIN_MS 200
/* How much longer than its waiters a call stays, for a late answer. */
#define GRACE MSEC(1000)

/*
 * A call is either forwarded to the issuer (wait is set) or executed here
 * for a ticket of this incarnation (sequence is set).
 */
struct run_call {
	uint64_t id;
	uint64_t sequence;
	struct run_waiter *wait;
	int64_t deadline;
	char *peer; /* the instance that has the frame */
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

static uint64_t request_digest(const struct run_message *request)
{
	uint64_t hash = str_hash(request->key);

	return str_hash_mix(hash, str_hash(request->payload));
}

static char *copy_part(char *at, struct str *part)
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
	at = copy_part(at, &call->request.ticket);
	at = copy_part(at, &call->request.request_id);
	at = copy_part(at, &call->request.service);
	at = copy_part(at, &call->request.key);
	copy_part(at, &call->request.payload);
}

static struct run_call *add_call(struct run_tracker *book)
{
	struct run_call *call = mem_zalloc(sizeof(*call));

	call->id = ++book->last_id;
	HASH_ADD(hh, book->calls, id, sizeof(call->id), call);
	book->n_calls++;
	return call;
}

static void drop_call(struct run_tracker *book, struct run_call *call)
{
	int i;

	HASH_DEL(book->calls, call);
	book->n_calls--;
	if (call->wait)
		call->wait->call = NULL;
	for (i = 0; i < call->n_tried; i++)
		free(call->tried[i]);
	free(call->peer);
	free(call->strings);
	free(call);
}

static void leave(struct run_waiter *wait)
{
	if (!wait->book)
		return;
	DL_DELETE(wait->book->waits, wait);
	wait->book = NULL;
	ticket_unwait(&wait->waiter);
	if (wait->call)
		wait->call->wait = NULL;
	wait->call = NULL;
}

static void reply(struct run_waiter *wait, const struct ticket_answer *answer)
{
	leave(wait);
	wait->answered(wait, answer);
}

static void reply_code(struct run_waiter *wait, int code,
		       uint32_t retry_after_ms)
{
	struct ticket_answer answer = {
		.code = code,
		.retry_after_ms = retry_after_ms,
	};

	reply(wait, &answer);
}

static void on_answer(struct ticket_waiter *waiter,
		      const struct ticket_answer *answer)
{
	struct run_waiter *wait =
		(struct run_waiter *)((char *)waiter -
				      offsetof(struct run_waiter, waiter));

	reply(wait, answer);
}

/* The last word on a request executed here. */
static void settle(struct run_tracker *book, struct run_call *call,
		   const struct ticket_answer *answer)
{
	uint64_t sequence = call->sequence;
	struct ticket_answer final = *answer;

	if (run_outcome(final.code) == RUN_NOT_RUN && !final.retry_after_ms)
		final.retry_after_ms = ASK_AGAIN_MS;
	drop_call(book, call);
	ticket_answer(book->tickets, sequence, &final);
}

static void settle_code(struct run_tracker *book, struct run_call *call,
			int code, uint32_t retry_after_ms)
{
	struct ticket_answer answer = {
		.code = code,
		.retry_after_ms = retry_after_ms,
	};

	settle(book, call, &answer);
}

static int send_to(struct run_tracker *book, struct run_call *call,
		   const struct run_target *target, int64_t left)
{
	call->tried[call->n_tried++] =
		mem_dup_len(target->server.data, target->server.len);
	free(call->peer);
	call->peer = mem_dup_len(target->home.data, target->home.len);
	call->request.deadline_ms = (uint32_t)(left / USEC_PER_MSEC);
	return book->ops->send(book->ctx, call->id, target, &call->request);
}

/*
 * Send to the next server. Only called while the request provably did not run
 * anywhere: before the first attempt, or after one which proved that. The
 * time is read before each attempt, so that a process that was stopped and
 * wakes late sends nothing that nobody waits for any more.
 */
static void try_next(struct run_tracker *book, struct run_call *call, int code,
		     uint32_t retry_after_ms)
{
	while (call->n_tried < RUN_ATTEMPTS_MAX) {
		int64_t left = call->deadline - clock_now(book->clock);
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
		ret = book->ops->pick(book->ctx, call->request.service,
				      run_key_point(call->request.key), tried,
				      call->n_tried, &target);
		if (ret) {
			code = call->n_tried ? code : ret;
			break;
		}
		ret = send_to(book, call, &target, left);
		if (!ret)
			return;
		code = ERR_NOT_RUN;
	}
	settle_code(book, call, code, retry_after_ms);
}

static void execute(struct run_tracker *book, uint64_t sequence,
		    const struct run_message *request, int64_t deadline)
{
	struct run_call *call = add_call(book);
	int64_t expires = clock_now(book->clock) +
			  ticket_time_left(book->tickets, sequence);

	call->sequence = sequence;
	call->deadline = deadline < expires ? deadline : expires;
	copy_request(call, request);
	try_next(book, call, ERR_NOT_RUN, 0);
}

static void close_overloaded(struct run_tracker *book, uint64_t sequence)
{
	static const struct ticket_answer overload = {
		.code = ERR_OVERLOAD,
		.retry_after_ms = ASK_AGAIN_MS,
	};

	ticket_answer(book->tickets, sequence, &overload);
}

/* This incarnation issued the ticket. */
static void accept_own(struct run_tracker *book, const struct ticket_id *id,
		       const struct run_message *request,
		       struct run_waiter *wait)
{
	struct ticket_answer answer;
	int state = ticket_use(book->tickets, id, request->service,
			       request_digest(request), &answer);

	if (state < 0) {
		reply_code(wait, state, 0);
		return;
	}
	if (state == TICKET_ANSWERED) {
		reply(wait, &answer);
		return;
	}
	wait->waiter.answered = on_answer;
	ticket_wait(book->tickets, id->sequence, &wait->waiter);
	if (state == TICKET_RUNNING)
		return;
	if (book->n_calls >= book->calls_max)
		close_overloaded(book, id->sequence);
	else
		execute(book, id->sequence, request, wait->deadline);
}

/*
 * An earlier frame of the same ticket may be on its way or may have run, so
 * that even where no byte of this one left, the outcome is not known here.
 */
static void forward(struct run_tracker *book, const struct ticket_id *id,
		    const struct run_message *request, struct run_waiter *wait)
{
	struct run_call *call;
	int ret;

	if (book->n_calls >= book->calls_max) {
		reply_code(wait, ERR_UNAVAILABLE, ASK_AGAIN_MS);
		return;
	}
	call = add_call(book);
	call->wait = wait;
	wait->call = call;
	call->deadline = wait->deadline;
	call->peer = mem_dup_len(id->instance.data, id->instance.len);
	ret = book->ops->forward(book->ctx, call->id, id->instance, request);
	if (!ret)
		return;
	drop_call(book, call);
	reply_code(wait, ERR_UNAVAILABLE, ASK_AGAIN_MS);
}

static void start_wait(struct run_tracker *book,
		       const struct run_message *request,
		       struct run_waiter *wait)
{
	wait->book = book;
	wait->call = NULL;
	wait->waiter.entry = NULL;
	wait->deadline = clock_now(book->clock) + MSEC(request->deadline_ms);
	DL_APPEND(book->waits, wait);
}

static void accept(struct run_tracker *book, const struct run_message *request,
		   struct run_waiter *wait, bool may_forward)
{
	struct ticket_id id;

	start_wait(book, request, wait);
	if (ticket_parse(request->ticket, &id))
		reply_code(wait, ERR_TICKET, 0);
	else if (ticket_is_own(book->tickets, &id))
		accept_own(book, &id, request, wait);
	else if (str_eq(id.instance, book->tickets->instance))
		reply_code(wait, ERR_TICKET_LOST, 0);
	else if (!may_forward)
		reply_code(wait, ERR_UNAVAILABLE, ASK_AGAIN_MS);
	else
		forward(book, &id, request, wait);
}

void run_tracker_init(struct run_tracker *book, const struct clock *clock,
		      struct ticket_store *tickets, const struct run_ops *ops,
		      void *ctx)
{
	memset(book, 0, sizeof(*book));
	book->clock = clock;
	book->tickets = tickets;
	book->ops = ops;
	book->ctx = ctx;
	book->calls_max = RUN_CALLS_MAX;
	/* So that an answer to an earlier incarnation matches no call. */
	book->last_id = tickets->incarnation;
}

void run_tracker_finish(struct run_tracker *book)
{
	struct run_call *call;
	struct run_call *tmp;

	while (book->waits)
		reply_code(book->waits, ERR_UNKNOWN, 0);
	HASH_ITER (hh, book->calls, call, tmp)
		drop_call(book, call);
}

void run_accept(struct run_tracker *book, const struct run_message *request,
		struct run_waiter *wait)
{
	accept(book, request, wait, true);
}

void run_accept_forwarded(struct run_tracker *book,
			  const struct run_message *request,
			  struct run_waiter *wait)
{
	accept(book, request, wait, false);
}

void run_abandon(struct run_waiter *wait)
{
	struct run_call *call = wait->call;
	struct run_tracker *book = wait->book;

	leave(wait);
	if (call)
		drop_call(book, call);
}

static struct run_call *find_call(const struct run_tracker *book, uint64_t id)
{
	struct run_call *call;

	HASH_FIND(hh, book->calls, &id, sizeof(id), call);
	return call;
}

static void end_forwarded(struct run_tracker *book, struct run_call *call,
			  const struct ticket_answer *answer)
{
	struct run_waiter *wait = call->wait;

	drop_call(book, call);
	if (wait)
		reply(wait, answer);
}

void run_handle_result(struct run_tracker *book, uint64_t id, struct str from,
		       const struct ticket_answer *answer)
{
	struct run_call *call = find_call(book, id);

	if (!call || !str_eq_text(from, call->peer))
		return;
	if (!call->sequence) {
		end_forwarded(book, call, answer);
		return;
	}
	if (run_outcome(answer->code) != RUN_NOT_RUN) {
		settle(book, call, answer);
		return;
	}
	/* A new id: a second answer to the old one must not count for this. */
	HASH_DEL(book->calls, call);
	call->id = ++book->last_id;
	HASH_ADD(hh, book->calls, id, sizeof(call->id), call);
	try_next(book, call, answer->code, answer->retry_after_ms);
}

/*
 * The ids of the calls that match, so that whoever is answered may change the
 * list. Free the array.
 */
static uint64_t *collect(const struct run_tracker *book,
			 bool (*match)(const struct run_call *call,
				       const void *arg),
			 const void *arg, int *n)
{
	uint64_t *ids = mem_zalloc((size_t)book->n_calls * sizeof(*ids));
	struct run_call *call;

	*n = 0;
	for (call = book->calls; call; call = call->hh.next) {
		if (match(call, arg))
			ids[(*n)++] = call->id;
	}
	return ids;
}

static bool is_at(const struct run_call *call, const void *instance)
{
	return str_eq_text(*(const struct str *)instance, call->peer);
}

static bool is_over(const struct run_call *call, const void *now)
{
	return call->deadline + GRACE <= *(const int64_t *)now;
}

static void end_calls(struct run_tracker *book, const uint64_t *ids, int n,
		      const struct ticket_answer *forwarded, int executed_code)
{
	int i;

	for (i = 0; i < n; i++) {
		struct run_call *call = find_call(book, ids[i]);

		if (!call)
			continue;
		if (call->sequence)
			settle_code(book, call, executed_code, 0);
		else
			end_forwarded(book, call, forwarded);
	}
}

void run_peer_lost(struct run_tracker *book, struct str instance)
{
	static const struct ticket_answer lost = {
		.code = ERR_UNAVAILABLE,
		.retry_after_ms = ASK_AGAIN_MS,
	};
	int n;
	uint64_t *ids = collect(book, is_at, &instance, &n);

	end_calls(book, ids, n, &lost, ERR_LOST);
	free(ids);
}

static struct run_waiter *first_late(const struct run_tracker *book,
				     int64_t now)
{
	struct run_waiter *wait;

	DL_FOREACH (book->waits, wait) {
		if (wait->deadline <= now)
			return wait;
	}
	return NULL;
}

int64_t run_tick(struct run_tracker *book)
{
	static const struct ticket_answer late = {.code = ERR_UNKNOWN};
	int64_t now = clock_now(book->clock);
	int64_t next = INT64_MAX;
	struct run_call *call;
	struct run_waiter *wait;
	uint64_t *ids;
	int n;

	/* What they wait for goes on without them. */
	while ((wait = first_late(book, now)))
		reply_code(wait, ERR_UNKNOWN, ASK_AGAIN_MS);
	ids = collect(book, is_over, &now, &n);
	end_calls(book, ids, n, &late, ERR_UNKNOWN);
	free(ids);
	DL_FOREACH (book->waits, wait)
		next = wait->deadline < next ? wait->deadline : next;
	for (call = book->calls; call; call = call->hh.next) {
		if (call->deadline + GRACE < next)
			next = call->deadline + GRACE;
	}
	return next;
}
