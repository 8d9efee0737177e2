#include "load_request.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <json-c/json.h>

#include "clock.h"
#include "mem.h"

#define MAX_CONNECT_ATTEMPTS 8
#define JSON_TYPE "application/json"
#define STATUS_OK 200
#define STATUS_TOO_LATE 504

struct load_request;

/**
 * struct step - one of the messages that a request consists of
 * @path: of the HTTP request
 * @make_body: returns the body, which the caller releases
 * @handle_answer: called with the answer, or with an outcome that says why
 *	there is none
 * @is_ticket: the answer contains a ticket
 */
struct step {
	const char *path;
	struct json_object *(*make_body)(struct load_request *request);
	void (*handle_answer)(struct load_request *request, int status,
			      struct load_answer *answer);
	bool is_ticket;
};

/**
 * struct load_request - one request
 * @shared: state shared by all requests
 * @caller: that sends it
 * @query: the search; NULL for a run
 * @step: current step
 * @target: of the last attempt
 * @avoid: target that refused it or ran it first, not used if there is another
 * @reply: valid during @step->handle_answer; NULL for direct searches
 * @timer: of a resend; NULL if there was none
 * @id: request id
 * @ticket: of the run, "" if none was issued
 * @intended: scheduled start; times are monotonic microseconds
 * @invoked: start of the last attempt
 * @attempts: messages sent so far
 * @connect_failures: failed connections since the last ticket or resend
 * @repeat_run: send the ticket again to another instance
 * @first_answer: of the run, while its ticket is sent again
 * @first_status: HTTP status of @first_answer
 */
struct load_request {
	struct load_requests *shared;
	struct load_caller *caller;
	struct load_query *query;
	const struct step *step;
	struct load_target *target;
	struct load_target *avoid;
	const struct load_reply *reply;
	struct event *timer;
	char id[LOAD_ID_SIZE];
	char ticket[LOAD_TICKET_SIZE];
	int64_t intended;
	int64_t invoked;
	int attempts;
	int connect_failures;
	bool repeat_run;
	struct load_answer first_answer;
	int first_status;
};

static const struct step search_step;
static const struct step ticket_step;
static const struct step run_step;
static const struct step repeat_step;

static double random_unit(struct load_requests *shared)
{
	return erand48(shared->seed);
}

static void send_step(struct load_request *request);

static void free_request(struct load_request *request)
{
	request->shared->in_flight--;
	if (request->timer)
		event_free(request->timer);
	free(request);
}

static void report_attempt(struct load_request *request, int status,
			   const struct load_answer *answer, bool is_final,
			   const char *wrong)
{
	struct load_attempt attempt = {
		.is_final = is_final,
		.is_run = !request->query,
		.usec = clock_now(request->shared->clock) - request->intended,
		.status = status,
		.outcome = answer->outcome,
		.answer = answer,
		.wrong = wrong,
	};

	load_report_attempt(request->shared->report, &attempt);
}

static void put_i64(struct json_object *line, const char *key, int64_t value)
{
	json_object_object_add(line, key, json_object_new_int64(value));
}

static void put_text(struct json_object *line, const char *key,
		     const char *value)
{
	json_object_object_add(line, key, json_object_new_string(value));
}

static void put_answer(struct json_object *line,
		       const struct load_answer *answer)
{
	if (*answer->error)
		put_text(line, "error", answer->error);
	put_i64(line, "revision", (int64_t)answer->table_revision);
	if (!answer->has_coverage)
		return;
	put_i64(line, "snapshot", (int64_t)answer->snapshot);
	put_i64(line, "count", (int64_t)answer->count);
	put_i64(line, "covered", (int64_t)answer->covered);
	put_i64(line, "total", (int64_t)answer->total);
}

static void put_body(struct json_object *line, const struct load_reply *reply)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *body;

	body = json_tokener_parse_ex(tok, reply->body.data,
				     (int)reply->body.len);
	json_tokener_free(tok);
	json_object_object_add(line, "answer", body);
}

static void write_history(struct load_request *request, int status,
			  const struct load_answer *answer, const char *wrong)
{
	struct json_object *line;

	if (!request->shared->history)
		return;
	line = json_object_new_object();
	put_text(line, "id", request->id);
	put_text(line, "path", request->step->path);
	put_i64(line, "attempt", request->attempts);
	if (request->query)
		put_i64(line, "query",
			request->query - request->shared->queries->items);
	put_i64(line, "intended", request->intended);
	put_i64(line, "invoke", request->invoked);
	put_i64(line, "return", clock_now(request->shared->clock));
	if (request->target)
		put_text(line, "address", request->target->name);
	put_text(line, "outcome", load_outcome_name(answer->outcome));
	put_i64(line, "status", status);
	put_answer(line, answer);
	if (*request->ticket)
		put_text(line, "ticket", request->ticket);
	if (wrong)
		put_text(line, "wrong", wrong);
	if (request->shared->history_answers && request->reply)
		put_body(line, request->reply);
	fprintf(request->shared->history, "%s\n",
		json_object_to_json_string_ext(line, JSON_C_TO_STRING_PLAIN));
	json_object_put(line);
}

static void timer_fired(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	send_step(arg);
}

/* Waits for the retry_after_ms of the answer, then uses another instance. */
static bool schedule_resend(struct load_request *request,
			    const struct load_answer *answer)
{
	int64_t after = MSEC(answer->retry_after_ms);
	int64_t spent = clock_now(request->shared->clock) - request->intended;
	struct timeval tv = {after / USEC_PER_SEC, after % USEC_PER_SEC};

	if (!request->shared->resend_not_run ||
	    answer->outcome != LOAD_NOT_RUN ||
	    spent + after > request->shared->resend_time)
		return false;
	if (!request->timer)
		request->timer = evtimer_new(request->shared->base, timer_fired,
					     request);
	request->connect_failures = 0;
	request->avoid = request->target;
	evtimer_add(request->timer, &tv);
	return true;
}

static const char *check_request_id(const struct load_request *request,
				    const struct load_answer *answer)
{
	if (answer->outcome > LOAD_UNKNOWN ||
	    !strcmp(answer->request_id, request->id))
		return NULL;
	return "request_id";
}

static void search_answered(struct load_request *request, int status,
			    struct load_answer *answer)
{
	const char *wrong = check_request_id(request, answer);
	bool will_resend = schedule_resend(request, answer);

	if (!wrong && answer->outcome == LOAD_DONE)
		wrong = load_answer_check(answer, request->query->expect,
					  request->query->limit);
	write_history(request, status, answer, wrong);
	report_attempt(request, status, answer, !will_resend, wrong);
	if (!will_resend)
		free_request(request);
}

static void ticket_answered(struct load_request *request, int status,
			    struct load_answer *answer)
{
	bool will_resend;

	if (answer->outcome == LOAD_DONE) {
		memcpy(request->ticket, answer->ticket,
		       sizeof(request->ticket));
		request->step = &run_step;
		request->connect_failures = 0;
		send_step(request);
		return;
	}
	/* Nothing can have run, as no ticket was received. */
	if (answer->outcome == LOAD_CUT_OFF || answer->outcome == LOAD_SILENT)
		answer->outcome = LOAD_NOT_RUN;
	will_resend = schedule_resend(request, answer);
	write_history(request, status, answer, NULL);
	report_attempt(request, status, answer, !will_resend, NULL);
	if (!will_resend)
		free_request(request);
}

static void run_answered(struct load_request *request, int status,
			 struct load_answer *answer)
{
	write_history(request, status, answer, NULL);
	if (request->repeat_run && answer->outcome != LOAD_UNREACHABLE) {
		request->first_answer = *answer;
		request->first_status = status;
		request->avoid = request->target;
		request->step = &repeat_step;
		send_step(request);
		return;
	}
	/* It did not run, so it is safe to start over with a new ticket. */
	if (schedule_resend(request, answer)) {
		request->step = &ticket_step;
		*request->ticket = '\0';
		report_attempt(request, status, answer, false, NULL);
		return;
	}
	report_attempt(request, status, answer, true, NULL);
	free_request(request);
}

/* Repeating a ticket must neither deny the first run nor run it again. */
static const char *check_repeat(const struct load_request *request,
				const struct load_answer *answer)
{
	const struct load_answer *first = &request->first_answer;

	if (first->outcome == LOAD_DONE && answer->outcome == LOAD_NOT_RUN)
		return "not_run_after_done";
	if (first->outcome == LOAD_NOT_RUN && answer->outcome == LOAD_DONE)
		return "done_after_not_run";
	if (first->outcome == LOAD_DONE && answer->outcome == LOAD_DONE &&
	    first->result_hash != answer->result_hash)
		return "results_differ";
	return NULL;
}

static void repeat_answered(struct load_request *request, int status,
			    struct load_answer *answer)
{
	const char *wrong = check_repeat(request, answer);

	write_history(request, status, answer, wrong);
	report_attempt(request, status, answer, false, wrong);
	report_attempt(request, request->first_status, &request->first_answer,
		       true, NULL);
	free_request(request);
}

static struct json_object *search_body(struct load_request *request)
{
	struct json_object *body = json_object_get(request->query->body);

	put_text(body, "request_id", request->id);
	return body;
}

static struct json_object *ticket_body(struct load_request *request)
{
	struct json_object *body = json_object_new_object();

	put_text(body, "service", request->shared->run_service);
	return body;
}

static struct json_object *run_body(struct load_request *request)
{
	struct json_object *payload = json_object_new_object();
	struct json_object *body = json_object_new_object();

	put_text(payload, "id", request->id);
	put_text(body, "ticket", request->ticket);
	put_text(body, "service", request->shared->run_service);
	put_text(body, "key", request->id);
	json_object_object_add(body, "payload", payload);
	if (request->shared->run_deadline_ms)
		put_i64(body, "deadline_ms", request->shared->run_deadline_ms);
	return body;
}

static const struct step search_step = {.path = "/v1/search",
					.make_body = search_body,
					.handle_answer = search_answered};
static const struct step ticket_step = {.path = "/v1/tickets",
					.make_body = ticket_body,
					.handle_answer = ticket_answered,
					.is_ticket = true};
static const struct step run_step = {.path = "/v1/run",
				     .make_body = run_body,
				     .handle_answer = run_answered};
static const struct step repeat_step = {.path = "/v1/run",
					.make_body = run_body,
					.handle_answer = repeat_answered};

static void set_failure(struct load_answer *answer, enum load_result result)
{
	memset(answer, 0, sizeof(*answer));
	answer->n_records = -1;
	if (result == LOAD_RESULT_CONNECT_FAILED)
		answer->outcome = LOAD_UNREACHABLE;
	else if (result == LOAD_RESULT_TIMEOUT)
		answer->outcome = LOAD_SILENT;
	else
		answer->outcome = LOAD_CUT_OFF;
}

static void step_finished(void *arg, const struct load_reply *reply)
{
	struct load_request *request = arg;
	struct load_answer answer;

	if (reply->result == LOAD_RESULT_CONNECT_FAILED) {
		load_caller_connect_failed(request->caller, request->target);
		if (++request->connect_failures < MAX_CONNECT_ATTEMPTS) {
			send_step(request);
			return;
		}
	}
	if (reply->result != LOAD_RESULT_REPLY)
		set_failure(&answer, reply->result);
	else if (request->step->is_ticket)
		load_answer_read_ticket(&answer, reply->status, reply->body);
	else
		load_answer_read(&answer, reply->status, reply->body);
	request->reply = reply;
	request->step->handle_answer(request, reply->status, &answer);
}

static void direct_done(void *arg, struct load_answer *answer)
{
	struct load_request *request = arg;

	request->step->handle_answer(request,
				     answer->outcome == LOAD_DONE
					     ? STATUS_OK
					     : STATUS_TOO_LATE,
				     answer);
}

static void send_direct(struct load_request *request)
{
	request->attempts++;
	request->invoked = clock_now(request->shared->clock);
	load_direct_search(request->shared->direct, request->query->body,
			   request->id, direct_done, request);
}

static void send_step(struct load_request *request)
{
	struct load_requests *shared = request->shared;
	struct json_object *body = request->step->make_body(request);
	struct load_message message = {
		.method = EVHTTP_REQ_POST,
		.path = request->step->path,
		.type = JSON_TYPE,
		.body = str_from(
			json_object_to_json_string_ext(body,
						       JSON_C_TO_STRING_PLAIN)),
	};

	/* A ticket is used at its issuer, unless the connection fails. */
	if (request->step != &run_step || request->connect_failures)
		request->target =
			load_caller_pick(request->caller, random_unit(shared),
					 request->avoid);
	request->attempts++;
	request->invoked = clock_now(shared->clock);
	load_pool_send(request->target, &message, step_finished, request);
	json_object_put(body);
}

static struct load_request *new_request(struct load_requests *shared,
					int64_t intended)
{
	struct load_request *request = mem_zalloc(sizeof(*request));

	request->shared = shared;
	request->intended = intended;
	request->caller = &shared->callers->items[shared->n_started %
						  (uint64_t)shared->callers->n];
	snprintf(request->id, sizeof(request->id), "%s-%" PRIu64,
		 shared->id_prefix, shared->n_started++);
	if (random_unit(shared) < shared->run_ratio || !shared->queries->n) {
		request->step = &ticket_step;
		request->repeat_run =
			random_unit(shared) < shared->repeat_ratio;
	} else {
		request->step = &search_step;
		request->query = &shared->queries->items[(
			int)(random_unit(shared) * shared->queries->n)];
	}
	return request;
}

void load_requests_start(struct load_requests *requests, int64_t intended)
{
	struct load_request *request = new_request(requests, intended);

	requests->in_flight++;
	load_report_sent(requests->report);
	load_samples_add(&requests->lateness,
			 clock_now(requests->clock) - intended);
	if (requests->direct && request->query)
		send_direct(request);
	else
		send_step(request);
}
