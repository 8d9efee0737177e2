#include "backend_work.h"

#include <inttypes.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <event2/buffer.h>
#include <utlist.h>

#include "backend_history.h"
#include "backend_route.h"
#include "mem.h"

#define DRAINING_RETRY_MS 1000
#define HEADER_NUMBER_SIZE 24

static const evhtp_res answer_status[ANSWER_COUNT] = {
	[ANSWER_DONE] = 200,	     [ANSWER_NO_CONTENT] = 204,
	[ANSWER_NOT_MODIFIED] = 304, [ANSWER_BAD_REQUEST] = 400,
	[ANSWER_NOT_HELD] = 404,     [ANSWER_WRONG_VERSION] = 409,
	[ANSWER_NO_SLOT] = 429,	     [ANSWER_SHED] = 503,
	[ANSWER_DRAINING] = 503,     [ANSWER_TOO_LATE] = 504,
	[ANSWER_CANCELLED] = 499,
};

static void start_next_queued(struct server *server);

static void set_work_timer(struct work *work, int64_t at)
{
	server_set_timer(&work->timer, at - clock_now(&work->server->clock));
}

static void work_free(struct work *work)
{
	struct server *server = work->server;

	evtimer_del(&work->timer);
	if (work->conn)
		work->conn->work = NULL;
	DL_DELETE(server->works, work);
	if (work->state == WORK_RUNNING)
		server->running--;
	if (work->state == WORK_QUEUED)
		server->queued--;
	if (work->search)
		backend__search_request__free_unpacked(work->search, NULL);
	if (work->run)
		backend__run_request__free_unpacked(work->run, NULL);
	free(work);
}

void work_detach(struct work *work)
{
	work->conn = NULL;
	work->request = NULL;
	/* Not admitted: the server no longer reads it, so it never runs. */
	if (work->state == WORK_CONNECTING)
		work_free(work);
}

void work_drop_all(struct server *server)
{
	struct work *work;
	struct work *tmp;

	DL_FOREACH_SAFE (server->works, work, tmp) {
		history_record_end(work, ANSWER_NONE);
		work_free(work);
	}
}

static void pause_request(struct work *work)
{
	if (work->paused)
		return;
	work->paused = true;
	/*
	 * Adding the event before the library stops reading leaves the
	 * socket's registration in the kernel unchanged.
	 */
	event_del(&work->conn->close_event);
	event_add(&work->conn->close_event, NULL);
	evhtp_request_pause(work->request);
}

void work_add_header(struct work *work, const char *name, const char *value)
{
	evhtp_headers_add_header(work->request->headers_out,
				 evhtp_header_new(name, value, 1, 1));
}

static void add_number(struct work *work, const char *name, int64_t number)
{
	char text[HEADER_NUMBER_SIZE];

	snprintf(text, sizeof(text), "%" PRId64, number);
	work_add_header(work, name, text);
}

static int64_t mean_service_us(const struct server_config *config)
{
	if (config->service_dist == DIST_SHIFTED)
		return config->service_us + config->service_random_us;
	return config->service_us;
}

static void add_retry_headers(struct work *work, enum answer_kind answer)
{
	struct server *server = work->server;
	int64_t ms = mean_service_us(&server->config) / USEC_PER_MSEC;

	if (answer == ANSWER_SHED)
		ms = server->faults.shed_retry_ms;
	if (answer == ANSWER_DRAINING) {
		ms = DRAINING_RETRY_MS;
		work_add_header(work, "X-Draining", "1");
	}
	add_number(work, "Retry-After-Ms", ms > 0 ? ms : 1);
}

/* Keeps the full Content-Length but sends only half of the body. */
static void truncate_answer(struct work *work)
{
	struct evbuffer *out = work->request->buffer_out;
	size_t len = evbuffer_get_length(out);
	struct evbuffer *half = evbuffer_new();

	add_number(work, "Content-Length", (int64_t)len);
	evbuffer_remove_buffer(out, half, len / 2);
	evbuffer_drain(out, evbuffer_get_length(out));
	evbuffer_add_buffer(out, half);
	evbuffer_free(half);
}

static evhtp_res on_truncated_written(evhtp_connection_t *conn, void *arg)
{
	(void)arg;
	shutdown(conn->sock, SHUT_WR);
	return EVHTP_RES_OK;
}

void work_answer(struct work *work, enum answer_kind answer)
{
	struct server *server = work->server;
	evhtp_request_t *request = work->request;
	struct conn *conn = work->conn;
	bool paused = work->paused;
	bool was_admitted = work->state != WORK_CONNECTING;
	bool truncated;

	if (!conn || conn->silent) {
		history_record_end(work, ANSWER_NONE);
		work_free(work);
		if (was_admitted)
			start_next_queued(server);
		return;
	}
	if (answer == ANSWER_NO_SLOT || answer == ANSWER_SHED ||
	    answer == ANSWER_DRAINING)
		add_retry_headers(work, answer);
	truncated = answer == ANSWER_DONE && work->kind == KIND_SEARCH &&
		    server_random(server) < server->faults.truncate_probability;
	if (truncated)
		truncate_answer(work);
	work->unusable |= truncated;
	history_record_end(work, answer);
	work_free(work);
	if (truncated)
		evhtp_connection_set_hook(conn->evhtp, evhtp_hook_on_write,
					  (evhtp_hook)on_truncated_written,
					  NULL);
	evhtp_send_reply(request, answer_status[answer]);
	if (paused)
		evhtp_request_resume(request);
	if (was_admitted)
		start_next_queued(server);
}

static void finish_running(struct work *work)
{
	if (!work->request || work->conn->silent)
		work_answer(work, ANSWER_NONE);
	else if (work->deadline_at && work->done_at > work->deadline_at)
		work_answer(work, ANSWER_TOO_LATE);
	else if (work->search)
		route_answer_search(work);
	else
		route_answer_run(work);
}

static double exponential(struct server *server, int64_t mean)
{
	return -(double)mean * log1p(-server_random(server));
}

static double slow_factor(struct work *work)
{
	struct server *server = work->server;
	const struct faults *faults = &server->faults;
	size_t i;

	if (faults->slow_factor <= 0 ||
	    server_random(server) >= faults->slow_probability)
		return 1;
	if (!work->search)
		return faults->slow_factor;
	for (i = 0; i < work->search->n_shards; i++) {
		uint32_t lo = work->search->shards[i]->lo;

		if (lo >= faults->slow_shard_lo && lo <= faults->slow_shard_hi)
			return faults->slow_factor;
	}
	return 1;
}

static int64_t service_time(struct work *work)
{
	struct server *server = work->server;
	const struct server_config *config = &server->config;
	double usec = (double)config->service_us;

	if (config->service_dist == DIST_EXP)
		usec = exponential(server, config->service_us);
	else if (config->service_dist == DIST_SHIFTED)
		usec += exponential(server, config->service_random_us);
	usec *= slow_factor(work);
	if (server_is_cold(server))
		usec *= config->cold_factor;
	if (server->cold_requests_left > 0)
		server->cold_requests_left--;
	return (int64_t)usec;
}

static void count_run(struct work *work)
{
	struct server *server = work->server;
	const char *ticket = work->run->ticket;
	struct ticket_count *entry;

	server->counters.runs++;
	HASH_FIND_STR(server->tickets, ticket, entry);
	if (!entry) {
		entry = mem_zalloc(sizeof(*entry));
		entry->ticket = mem_dup(ticket);
		HASH_ADD_KEYPTR(hh, server->tickets, entry->ticket,
				strlen(entry->ticket), entry);
	}
	entry->n++;
}

static bool has_crash_marker(const struct work *work)
{
	const char *marker = work->server->faults.crash_marker;

	if (!marker)
		return false;
	if (work->search)
		return strstr(work->search->where, marker);
	return memmem(work->run->payload.data, work->run->payload.len, marker,
		      strlen(marker));
}

/* Occupies a slot. A run counts as executed from here on. */
static void run_work(struct work *work)
{
	struct server *server = work->server;
	int64_t now = clock_now(&server->clock);
	int64_t until;

	work->state = WORK_RUNNING;
	work->ran = true;
	if (++server->running > server->counters.peak_running)
		server->counters.peak_running = server->running;
	if (work->run)
		count_run(work);
	if (has_crash_marker(work)) {
		if (work->request)
			pause_request(work);
		server_crash_soon(server);
		return;
	}
	work->done_at = now + service_time(work);
	if (work->done_at <= now) {
		finish_running(work);
		return;
	}
	if (work->request)
		pause_request(work);
	until = work->done_at;
	if (work->deadline_at && work->deadline_at < until)
		until = work->deadline_at;
	set_work_timer(work, until);
}

static struct work *first_queued(struct server *server)
{
	struct work *work;

	DL_FOREACH (server->works, work) {
		if (work->state == WORK_QUEUED)
			return work;
	}
	return NULL;
}

static void start_next_queued(struct server *server)
{
	struct work *work;

	if (server->down || !server->queued ||
	    server->running >= server->config.slots)
		return;
	work = first_queued(server);
	server->queued--;
	evtimer_del(&work->timer);
	run_work(work);
}

static void queue_work(struct work *work)
{
	struct server *server = work->server;

	work->state = WORK_QUEUED;
	if (++server->queued > server->counters.peak_queued)
		server->counters.peak_queued = server->queued;
	pause_request(work);
	if (work->deadline_at)
		set_work_timer(work, work->deadline_at);
}

static bool is_past_deadline(const struct work *work)
{
	return work->deadline_at &&
	       work->deadline_at <= clock_now(&work->server->clock);
}

/*
 * A 504 leaves open whether a run was executed. This one was not, so it is
 * answered as shed.
 */
static void answer_past_deadline(struct work *work)
{
	work_answer(work, work->run ? ANSWER_SHED : ANSWER_TOO_LATE);
}

/* Slots are checked last: a request refused for another reason needs none. */
void work_admit(struct work *work)
{
	struct server *server = work->server;

	if (is_past_deadline(work))
		answer_past_deadline(work);
	else if (server->draining)
		work_answer(work, ANSWER_DRAINING);
	else if (server_random(server) < server->faults.shed_ratio)
		work_answer(work, ANSWER_SHED);
	else if (!work->snapshot)
		work_answer(work, ANSWER_WRONG_VERSION);
	else if (server->running < server->config.slots)
		run_work(work);
	else if (server->queued < server->config.queue)
		queue_work(work);
	else
		work_answer(work, ANSWER_NO_SLOT);
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct work *work = arg;
	struct server *server = work->server;

	(void)fd;
	(void)what;
	if (clock_now(&server->clock) < server->paused_until) {
		set_work_timer(work, server->paused_until);
		return;
	}
	switch (work->state) {
	case WORK_CONNECTING:
		if (!work->conn->silent)
			route_dispatch(work);
		break;
	case WORK_QUEUED:
		answer_past_deadline(work);
		break;
	case WORK_RUNNING:
		finish_running(work);
		break;
	}
}

void work_begin(struct server *server, struct conn *conn,
		evhtp_request_t *request)
{
	struct work *work = mem_zalloc(sizeof(*work));

	work->server = server;
	work->conn = conn;
	work->conn_number = conn->number;
	work->request = request;
	work->arrived_at = clock_now(&server->clock);
	work->request_id = "";
	work->kind = route_kind(request);
	work->state = WORK_CONNECTING;
	evtimer_assign(&work->timer, server->base, on_timer, work);
	conn->work = work;
	DL_APPEND(server->works, work);
	if (server->down || conn->silent) {
		pause_request(work);
		return;
	}
	if (work->arrived_at >= conn->ready_at) {
		route_dispatch(work);
		return;
	}
	pause_request(work);
	set_work_timer(work, conn->ready_at);
}
