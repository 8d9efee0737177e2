#define LOG_MODULE "caller"
#include "caller.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <evhtp.h>

#include "answer.h"
#include "log.h"
#include "mem.h"
#include "operator_pages.h"
#include "request.h"
#include "run_trace.h"
#include "stop_log.h"

#define LISTEN_BACKLOG 1024
#define RETRY_AFTER_DEFAULT_MS 100
#define RUN_PATH "/v1/run"

/**
 * struct pending_search - a request that waits for the outcome of its search
 * @http: NULL once the caller's connection is closed
 * @paused: reading from the connection is paused until the response
 * @answered: the outcome is known
 * @cut: the connection was closed because the process ends
 */
struct pending_search {
	struct caller *caller;
	evhtp_request_t *http;
	bool paused;
	bool answered;
	bool cut;
};

static void add_header(evhtp_request_t *http, const char *key,
		       const char *value)
{
	evhtp_headers_add_header(http->headers_out,
				 evhtp_header_new(key, value, 1, 1));
}

/*
 * A caller with a persistent connection to a leaving instance may send a
 * request just as the instance closes it, and cannot know whether the request
 * was processed. "Connection: close" makes it open a new connection first.
 */
static void close_if_leaving(evhtp_request_t *http)
{
	const struct caller *caller = http->htp->arg;

	if (caller->board->lifecycle >= LIFECYCLE_LEAVING)
		caller_conn_close_after(http);
}

static void send_json(evhtp_request_t *http, int status)
{
	add_header(http, "Content-Type", "application/json");
	close_if_leaving(http);
	evhtp_send_reply(http, (evhtp_res)status);
}

static void add_retry_after(evhtp_request_t *http, int64_t ms)
{
	char text[32];

	snprintf(text, sizeof(text), "%" PRId64, (ms + 999) / 1000);
	add_header(http, "Retry-After", text);
}

static void send_refusal(evhtp_request_t *http, const char *request_id,
			 int code, const struct error *err)
{
	int status = answer_status(code, false);
	int64_t retry_ms = status == 503 ? RETRY_AFTER_DEFAULT_MS : 0;

	answer_error(http->buffer_out, str_from(request_id), code, false,
		     retry_ms, err);
	if (retry_ms)
		add_retry_after(http, retry_ms);
	send_json(http, status);
}

static void send_run_answer(evhtp_request_t *http, const char *request_id,
			    const struct ticket_answer *answer)
{
	answer_run(http->buffer_out, str_from(request_id), answer);
	if (answer->retry_after_ms)
		add_retry_after(http, answer->retry_after_ms);
	send_json(http, answer_run_status(answer->code));
}

static bool require_method(evhtp_request_t *http, htp_method method)
{
	if (evhtp_request_get_method(http) == method)
		return true;
	answer_error(http->buffer_out, STR(""), ERR_BAD_REQUEST, false, 0,
		     NULL);
	send_json(http, EVHTP_RES_METHNALLOWED);
	return false;
}

static bool is_stopped(const struct caller *caller)
{
	return caller->board->lifecycle == LIFECYCLE_STOPPED;
}

static evhtp_res on_request_fini(evhtp_request_t *http, void *arg)
{
	struct pending_search *pending = arg;

	(void)http;
	pending->http = NULL;
	pending->cut = is_stopped(pending->caller);
	if (pending->answered)
		free(pending);
	return EVHTP_RES_OK;
}

void caller_search_done(struct search *search)
{
	struct pending_search *pending = search->owner;
	evhtp_request_t *http = pending->http;

	pending->answered = true;
	if (pending->cut)
		stop_log_search_cut(search);
	if (!http) {
		free(pending);
		return;
	}
	if (search_ended_by_stop(search))
		stop_log_search_ended(search);
	if (answer_status(search->code, search->maybe_ran) == 503 &&
	    !search->retry_after_ms)
		search->retry_after_ms = RETRY_AFTER_DEFAULT_MS;
	answer_search(http->buffer_out, pending->caller->board, search);
	if (search->retry_after_ms)
		add_retry_after(http, search->retry_after_ms);
	send_json(http, answer_status(search->code, search->maybe_ran));
	if (pending->paused)
		evhtp_request_resume(http);
}

static void generate_request_id(struct caller *caller, char *out, size_t size)
{
	snprintf(out, size, "%016" PRIx64 "-%" PRIu64,
		 caller->board->incarnation, caller->next_request_id++);
}

static void handle_search(evhtp_request_t *http, void *arg)
{
	struct caller *caller = arg;
	struct evbuffer *body = http->buffer_in;
	struct search_request request;
	struct error err = {0};
	struct pending_search *pending;
	int ret;

	if (!require_method(http, htp_method_POST))
		return;
	ret = search_request_init(&request, (char *)evbuffer_pullup(body, -1),
				  evbuffer_get_length(body), &err);
	if (ret) {
		send_refusal(http, "", ret, &err);
		return;
	}
	if (!*request.request_id)
		generate_request_id(caller, request.request_id,
				    sizeof(request.request_id));
	pending = mem_zalloc(sizeof(*pending));
	pending->caller = caller;
	pending->http = http;
	evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
			       (evhtp_hook)on_request_fini, pending);
	entry_net_search(caller->entry, &request, pending);
	if (pending->answered)
		return;
	pending->paused = true;
	evhtp_request_pause(http);
}

static void handle_tickets(evhtp_request_t *http, void *arg)
{
	struct caller *caller = arg;
	struct evbuffer *body = http->buffer_in;
	const struct tunables *tunables = blackboard_tunables(caller->board);
	char ticket[TICKET_TEXT_SIZE];
	struct ticket_request request;
	struct ticket_answer refusal = {0};
	struct error err = {0};
	int ret;

	if (!require_method(http, htp_method_POST))
		return;
	ret = ticket_request_init(&request, (char *)evbuffer_pullup(body, -1),
				  evbuffer_get_length(body), &err);
	if (ret) {
		send_refusal(http, request.request_id, ret, &err);
		return;
	}
	if (!*request.request_id)
		generate_request_id(caller, request.request_id,
				    sizeof(request.request_id));
	if (entry_net_overloaded(caller->entry, str_from(request.service),
				 &refusal.retry_after_ms))
		ret = ERR_OVERLOAD;
	else
		ret = run_net_issue(caller->runs, str_from(request.service),
				    ticket, &refusal.retry_after_ms);
	if (ret) {
		refusal.code = ret;
		send_run_answer(http, request.request_id, &refusal);
		return;
	}
	answer_ticket(http->buffer_out, str_from(request.request_id),
		      str_from(ticket), tunables->ticket_lifetime_ms);
	send_json(http, EVHTP_RES_OK);
}

/**
 * struct pending_run - a request that waits for the outcome of a run, which
 *			must not be repeated
 * @wait: first member, so that on_run_answered() can cast it back
 * @http: set until the request's end, which also frees this
 * @paused: reading from the connection is paused until the response
 * @answered: the outcome is known
 */
struct pending_run {
	struct run_waiter wait;
	struct caller *caller;
	evhtp_request_t *http;
	struct run_trace trace;
	bool paused;
	bool answered;
};

static void fill_stop_log(const struct pending_run *pending,
			  struct stop_log_run *out)
{
	*out = (struct stop_log_run){
		.waiter = &pending->wait,
		.request_id = str_from(pending->trace.request_id),
		.service = str_from(pending->trace.service),
	};
}

static void log_run_cut(struct pending_run *pending)
{
	struct stop_log_run run;

	pending->wait.asked = run_asked(&pending->wait);
	fill_stop_log(pending, &run);
	stop_log_run_cut(pending->caller->board, &run);
}

static void log_run_ended(const struct pending_run *pending, int code)
{
	const struct caller *caller = pending->caller;
	struct stop_log_run run;

	if (!run_ended_by_stop(&caller->runs->runs, &pending->wait, code))
		return;
	fill_stop_log(pending, &run);
	stop_log_run_ended(caller->board, &run, code);
}

/*
 * If the caller disconnects, the run continues: a request with the same ticket
 * can still get its outcome.
 */
static evhtp_res on_run_fini(evhtp_request_t *http, void *arg)
{
	struct pending_run *pending = arg;

	(void)http;
	if (!pending->answered) {
		if (is_stopped(pending->caller))
			log_run_cut(pending);
		run_abandon(&pending->wait);
		metric_add(&pending->caller->board->counters.runs_open, -1);
	}
	free(pending);
	return EVHTP_RES_OK;
}

static void count_run(struct counters *counters, int code)
{
	metric_add(&counters->runs_open, -1);
	if (!code)
		metric_inc(&counters->runs_done);
	else if (run_outcome(code) == RUN_UNKNOWN)
		metric_inc(&counters->runs_unknown);
}

static void on_run_answered(struct run_waiter *wait,
			    const struct ticket_answer *answer)
{
	struct pending_run *pending = (struct pending_run *)wait;

	pending->answered = true;
	count_run(&pending->caller->board->counters, answer->code);
	run_trace_end(&pending->trace, pending->caller->board, answer);
	log_run_ended(pending, answer->code);
	send_run_answer(pending->http, pending->trace.request_id, answer);
	if (pending->paused)
		evhtp_request_resume(pending->http);
}

static void start_run(struct caller *caller, evhtp_request_t *http,
		      struct run_request *request)
{
	struct pending_run *pending = mem_zalloc(sizeof(*pending));
	struct run_message message = {
		.ticket = str_from(request->ticket),
		.request_id = str_from(request->request_id),
		.service = str_from(request->service),
		.key = str_from(request->key),
		.payload = str_from(request->payload),
		.deadline_ms = (uint32_t)request->deadline_ms,
	};

	metric_inc(&caller->board->counters.runs);
	metric_add(&caller->board->counters.runs_open, 1);
	pending->wait.answered = on_run_answered;
	pending->caller = caller;
	pending->http = http;
	run_trace_init(&pending->trace, caller->board, request);
	evhtp_request_set_hook(http, evhtp_hook_on_request_fini,
			       (evhtp_hook)on_run_fini, pending);
	run_net_run(caller->runs, &message, &pending->wait);
	if (pending->answered)
		return;
	pending->paused = true;
	evhtp_request_pause(http);
}

static void handle_run(evhtp_request_t *http, void *arg)
{
	struct caller *caller = arg;
	struct evbuffer *body = http->buffer_in;
	struct run_request request;
	struct error err = {0};
	int ret;

	if (!require_method(http, htp_method_POST))
		return;
	ret = run_request_init(&request, (char *)evbuffer_pullup(body, -1),
			       evbuffer_get_length(body), &err);
	if (ret) {
		send_refusal(http, request.request_id, ret, &err);
		return;
	}
	if (!*request.request_id)
		generate_request_id(caller, request.request_id,
				    sizeof(request.request_id));
	start_run(caller, http, &request);
	run_request_finish(&request);
}

static void handle_addresses(evhtp_request_t *http, void *arg)
{
	struct caller *caller = arg;
	const char *dc = NULL;

	if (!require_method(http, htp_method_GET))
		return;
	if (http->uri->query)
		dc = evhtp_kv_find(http->uri->query, "data_centre");
	if (!dc)
		dc = caller->board->settings->data_centre;
	answer_addresses(http->buffer_out, caller->board, str_from(dc));
	send_json(http, EVHTP_RES_OK);
}

static void handle_status(evhtp_request_t *http, void *arg)
{
	struct caller *caller = arg;

	if (!require_method(http, htp_method_GET))
		return;
	answer_status_page(http->buffer_out, caller->board);
	send_json(http, EVHTP_RES_OK);
}

static void handle_metrics(evhtp_request_t *http, void *arg)
{
	struct caller *caller = arg;

	if (!require_method(http, htp_method_GET))
		return;
	metric_expose(&caller->board->counters.registry, http->buffer_out);
	add_header(http, "Content-Type", "text/plain; version=0.0.4");
	evhtp_send_reply(http, EVHTP_RES_OK);
}

static void handle_unknown_path(evhtp_request_t *http, void *arg)
{
	(void)arg;
	answer_error(http->buffer_out, STR(""), ERR_BAD_REQUEST, false, 0,
		     NULL);
	send_json(http, EVHTP_RES_NOTFOUND);
}

static void apply_tunables(void *arg)
{
	struct caller *caller = arg;
	const struct tunables *tunables = blackboard_tunables(caller->board);
	struct timeval idle = {tunables->idle_timeout_ms / 1000, 0};

	evhtp_set_timeouts(caller->http, &idle, &idle);
}

/* The path may be missing, or be cut, while the request is still read. */
static bool may_be_run(const evhtp_request_t *http)
{
	const evhtp_uri_t *uri = http->uri;

	return !uri || !uri->path || !uri->path->full ||
	       !strncmp(uri->path->full, RUN_PATH, strlen(uri->path->full));
}

/*
 * The request was not read, nor its ticket: an earlier one with that ticket may
 * have run.
 */
static void refuse_request(evhtp_request_t *http, int code)
{
	struct ticket_answer unknown = {
		.code = ERR_UNAVAILABLE,
		.retry_after_ms = RETRY_AFTER_DEFAULT_MS,
	};

	if (answer_status(code, false) == 503 && may_be_run(http))
		send_run_answer(http, "", &unknown);
	else
		send_refusal(http, "", code, NULL);
}

static void on_accept_error(struct evconnlistener *listener, void *arg)
{
	evhtp_t *http = arg;
	struct caller *caller = http->arg;

	(void)listener;
	accept_backoff_start(&caller->accept_backoff);
}

int caller_init(struct caller *caller, struct blackboard *board,
		struct entry_net *entry, struct run_net *runs)
{
	const struct address *address = &board->settings->caller_address;

	memset(caller, 0, sizeof(*caller));
	caller->board = board;
	caller->entry = entry;
	caller->runs = runs;
	caller->next_request_id = 1;
	caller->http = evhtp_new(board->base, caller);
	caller_conns_init(&caller->conns, board, caller->http, refuse_request);
	evhtp_set_cb(caller->http, "/v1/search", handle_search, caller);
	evhtp_set_cb(caller->http, "/v1/tickets", handle_tickets, caller);
	evhtp_set_cb(caller->http, RUN_PATH, handle_run, caller);
	evhtp_set_cb(caller->http, "/v1/addresses", handle_addresses, caller);
	evhtp_set_cb(caller->http, "/v1/status", handle_status, caller);
	evhtp_set_cb(caller->http, "/metrics", handle_metrics, caller);
	operator_pages_add(caller->http, board);
	evhtp_set_gencb(caller->http, handle_unknown_path, caller);
	apply_tunables(caller);
	blackboard_watch(board, BLACKBOARD_TABLE, &caller->table_watch,
			 apply_tunables, caller);
	if (evhtp_bind_socket(caller->http, address->ip, address->port,
			      LISTEN_BACKLOG))
		return ERR_ADDRESS;
	accept_backoff_init(&caller->accept_backoff, board->base,
			    caller->http->server);
	evconnlistener_set_error_cb(caller->http->server, on_accept_error);
	return 0;
}

void caller_finish(struct caller *caller)
{
	accept_backoff_finish(&caller->accept_backoff);
	evhtp_unbind_socket(caller->http);
	caller_conns_finish(&caller->conns);
	evhtp_free(caller->http);
}
