#define LOG_MODULE "relay_serve"
#include "relay_serve.h"

#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <utlist.h>

#include "error.h"
#include "log.h"
#include "mem.h"
#include "records.h"

/* Jobs over these limits are refused as malformed. */
#define SENDS_MAX 4096
#define RECORDS_MAX 4096
/* Parts in a message; each record has its part's index in one byte. */
#define PARTS_MAX 255
/* Maximum size of the requests of all jobs, bytes. */
#define REQUESTS_SIZE_MAX (16 * 1024 * 1024)
/*
 * Number of parts that raise the floor for later ones. If the entry does not
 * use one of these, it cannot use later ones either; of the first parts to
 * arrive it uses nearly all.
 */
#define FLOOR_PARTS 6

/**
 * struct job_send - one send of a job
 * @job: the job that owns it
 * @server: NULL if it is not known here
 * @turn: in the server queue; NULL once the send has ended
 * @index: of the part in the entry's message
 */
struct job_send {
	struct relay_job *job;
	struct registry_server *server;
	struct server_job *turn;
	uint32_t index;
};

/**
 * struct relay_job - one message of an entry
 * @relay: state that owns it
 * @link: connection to the entry; the job is freed when it closes
 * @id: assigned by the entry
 * @request: what is sent to each server; its bytes are owned
 * @rank: position among sends that wait for the same server
 * @deadline: time when the sends end, microseconds
 * @shortened: @deadline is this instance's and not the entry's
 * @connections_max: limit on connections to each server
 * @timer: fires at the flush time
 * @sends: @n_sends elements, owned
 * @n_pending: sends without a result
 * @results: results not returned to the entry yet, @n_results of them
 * @result_ptrs: pointers to @results, for the message
 * @records: the greatest records of @results
 * @flushed: the flush time has passed; further results are returned at once
 * @floor_records: the greatest records of the first @n_floor_parts parts
 * @n_floor_parts: parts whose records have raised @floor; from FLOOR_PARTS on
 *	no more are added
 * @has_floor: @floor is set
 * @floor: lesser records than this cannot be in the answer
 */
struct relay_job {
	struct relay_serve *relay;
	struct peer_link *link;
	uint64_t id;
	struct upstream_request request;
	struct server_job_rank rank;
	int64_t deadline;
	bool shortened;
	int64_t connections_max;
	struct event *timer;
	struct job_send *sends;
	int n_sends;
	int n_pending;
	Peer__PartDone *results;
	Peer__PartDone **result_ptrs;
	int n_results;
	struct records records;
	bool flushed;
	struct records floor_records;
	int n_floor_parts;
	bool has_floor;
	char floor[RECORD_SIZE];
	struct relay_job *prev;
	struct relay_job *next;
};

static void clear_results(struct relay_job *job)
{
	int i;

	for (i = 0; i < job->n_results; i++)
		free(job->results[i].stamp);
	job->n_results = 0;
	job->records.n = 0;
}

static int64_t get_linger(const struct job_send *send)
{
	return registry_linger(send->server,
			       clock_now(send->job->relay->board->clock));
}

static void free_job(struct relay_job *job)
{
	int i;

	DL_DELETE(job->relay->jobs, job);
	for (i = 0; i < job->n_sends; i++) {
		struct job_send *send = &job->sends[i];

		if (send->turn)
			server_job_abandon(send->turn, get_linger(send), NULL);
	}
	clear_results(job);
	records_finish(&job->records);
	records_finish(&job->floor_records);
	event_free(job->timer);
	free((char *)job->request.head.data);
	shared_body_unref(job->request.shared);
	free((char *)job->request.id.data);
	free(job->sends);
	free(job->results);
	free(job->result_ptrs);
	free(job);
}

static void raise_floor(struct relay_job *job, const char *record)
{
	if (job->has_floor && memcmp(record, job->floor, RECORD_SIZE) <= 0)
		return;
	job->has_floor = true;
	memcpy(job->floor, record, RECORD_SIZE);
}

/*
 * Adds the records about to be returned to the floor. Most traffic between data
 * centres would be records of late parts, but after the first parts only
 * greater records than theirs matter.
 *
 * Return: whether records of later parts depend on those returned now.
 */
static bool extend_floor(struct relay_job *job)
{
	struct records *floor_records = &job->floor_records;

	if (!job->n_results || job->n_floor_parts >= FLOOR_PARTS)
		return false;
	job->n_floor_parts += job->n_results;
	records_add(floor_records,
		    (struct str){job->records.bytes,
				 (size_t)job->records.n * RECORD_SIZE},
		    0);
	if (floor_records->n && floor_records->n == floor_records->max)
		raise_floor(job, floor_records->bytes +
					 (floor_records->n - 1) * RECORD_SIZE);
	return true;
}

static void flush(struct relay_job *job)
{
	Peer__PartResult message = PEER__PART_RESULT__INIT;

	if (job->has_floor)
		records_drop_below(&job->records, job->floor);
	message.id = job->id;
	message.floor = extend_floor(job);
	message.parts = job->result_ptrs;
	message.n_parts = (size_t)job->n_results;
	message.records.data = (uint8_t *)job->records.bytes;
	message.records.len = (size_t)job->records.n * RECORD_SIZE;
	message.origins.data = job->records.tags;
	message.origins.len = (size_t)job->records.n;
	peer_send(job->link, FRAME_PART_RESULT, &message.base);
	clear_results(job);
}

/* Return: false if the job has ended and was freed. */
static bool flush_or_free(struct relay_job *job, bool urgent)
{
	if (!job->n_pending || (job->n_results && (urgent || job->flushed)))
		flush(job);
	if (job->n_pending)
		return true;
	free_job(job);
	return false;
}

static void on_timer(evutil_socket_t fd, short what, void *arg)
{
	struct relay_job *job = arg;

	(void)fd;
	(void)what;
	job->flushed = true;
	/* Even without results, as it shows that this instance is alive. */
	flush(job);
}

static Peer__PartDone *add_result(struct relay_job *job, uint32_t index,
				  int code, bool not_run)
{
	Peer__PartDone *done = &job->results[job->n_results];

	peer__part_done__init(done);
	done->index = index;
	done->code = code;
	done->not_run = not_run;
	done->stamp = NULL;
	job->result_ptrs[job->n_results++] = done;
	return done;
}

/* Adds the wait and service time to expect for another such part. */
static void add_outlook(const struct job_send *send, Peer__PartDone *done)
{
	const struct relay_job *job = send->job;
	const struct registry_server *server = send->server;
	int level = server_estimate_level(job->rank.priority);
	int64_t now = clock_now(job->relay->board->clock);

	done->failures = (uint32_t)(server->score.failures * 1000);
	if (!job->relay->queues->enabled)
		return;
	done->ahead_us =
		(uint32_t)server_estimate_wait(&server->estimate, level, now);
	done->pace_us = (uint32_t)server_estimate_processing_time(
		&server->estimate, server->service->latency, now);
}

/* Adds how long the entry should prefer other servers. */
static void add_cold(const struct job_send *send, Peer__PartDone *done)
{
	int64_t left = send->server->cold_until -
		       clock_now(send->job->relay->board->clock);

	if (done->code == ERR_COLD && left > 0)
		done->cold_for_ms = (uint32_t)(left / USEC_PER_MSEC);
}

static void limit_job(struct relay_job *job)
{
	if (job->deadline <= job->relay->time_limit)
		return;
	job->deadline = job->relay->time_limit;
	job->shortened = true;
}

/* An entry has more time than a shortened job, for another send of the part. */
static int get_entry_code(const struct relay_job *job, int code)
{
	if (!job->shortened)
		return code;
	/* It was not sent, or dropped from a queue that ends sooner. */
	if (code == ERR_TOO_LATE || code == ERR_OVERLOAD)
		return ERR_BUDGET;
	return code == ERR_SILENT ? ERR_LEAVING : code;
}

static void on_result(void *arg, const struct exchange_result *result)
{
	struct job_send *send = arg;
	struct relay_job *job = send->job;
	Peer__PartDone *done;

	send->turn = NULL;
	job->n_pending--;
	done = add_result(job, send->index, get_entry_code(job, result->code),
			  result->not_run);
	done->stamp = mem_dup_len(result->stamp.data, result->stamp.len);
	done->took_us = (uint32_t)result->took;
	done->wait_us = (uint32_t)result->waited;
	add_outlook(send, done);
	add_cold(send, done);
	if (!result->code)
		done->success = result->message->parser.status_code / 100 == 2;
	if (done->success)
		records_add(&job->records, http_message_body(result->message),
			    (uint8_t)(job->n_results - 1));
	/* Report failures at once, as the entry retries on other servers. */
	flush_or_free(job, !done->success || job->n_results == PARTS_MAX);
}

/* Whether the entry has the time to wait for a server, but this instance not.
 */
static bool is_time_short(const struct relay_job *job,
			  const struct registry_server *server)
{
	int64_t now = clock_now(job->relay->board->clock);

	return job->shortened &&
	       (double)(job->deadline - now) <
		       server_estimate_processing_time(&server->estimate,
						       server->service->latency,
						       now);
}

static int start_send(struct relay_job *job, struct job_send *send,
		      const Peer__PartSend *part)
{
	struct relay_serve *relay = job->relay;
	struct registry_server *server =
		registry_find(relay->registry, str_from(part->server));

	if (relay->ended)
		return ERR_BUDGET;
	if (relay->memory.used > relay->memory.max) {
		metric_inc(&relay->board->counters.relay_sends_refused);
		return ERR_BUDGET;
	}
	if (!server || !registry_is_open(server))
		return ERR_DRAINING;
	server = registry_note_start(relay->registry, server, part->born);
	send->server = server;
	if (is_time_short(job, server))
		return ERR_BUDGET;
	return server_queue_send(relay->queues, server, &job->request,
				 &job->rank, job->deadline,
				 job->connections_max, on_result, send,
				 &send->turn);
}

/* Adds the result of a send that could not be made. */
static void add_unsent(struct relay_job *job, const struct job_send *send,
		       int code)
{
	Peer__PartDone *done = add_result(job, send->index, code, true);

	done->stamp = mem_dup("");
	if (!send->server)
		return;
	add_outlook(send, done);
	add_cold(send, done);
}

static void start_sends(struct relay_job *job, const Peer__PartRequest *message)
{
	int ret;
	int i;

	for (i = 0; i < job->n_sends; i++) {
		struct job_send *send = &job->sends[i];

		send->job = job;
		send->index = message->sends[i]->index;
		ret = start_send(job, send, message->sends[i]);
		if (!ret)
			job->n_pending++;
		else
			add_unsent(job, send, get_entry_code(job, ret));
	}
}

/*
 * How long the message was held back. The time it tells is what was left when
 * it was sent; with it, servers would get requests that the entry gave up long
 * ago.
 */
static int64_t get_held_time(struct relay_job *job,
			     const Peer__PartRequest *message)
{
	const struct blackboard *board = job->relay->board;
	int64_t held = link_delay_add(&job->link->delay, message->sent_at_us,
				      clock_now(board->clock));
	int64_t stall = blackboard_stall(board);

	return held > stall ? held : stall;
}

static enum poison_trial read_trial(uint32_t trial)
{
	return trial <= POISON_TRIAL_PASSED ? (enum poison_trial)trial
					    : POISON_NOT_TRIED;
}

/* Copies what queued sends need, as they outlive the message. */
static void copy_request(struct relay_job *job,
			 const Peer__PartRequest *message)
{
	struct upstream_request *request = &job->request;
	int64_t now = clock_now(job->relay->board->clock);
	int64_t held = get_held_time(job, message);

	request->head.len = message->head.len;
	request->head.data = mem_dup_len(message->head.data, message->head.len);
	request->memory = &job->relay->memory;
	if (message->body.len) {
		request->shared = shared_body_copy(
			(struct str){(const char *)message->body.data,
				     message->body.len},
			request->memory);
		request->body = shared_body_str(request->shared);
	}
	request->id = str_from(mem_dup(message->request_id));
	request->fingerprint = message->fingerprint;
	request->trial = read_trial(message->trial);
	request->records_max = (int)message->records_max;
	job->rank.priority = message->priority;
	job->rank.send_by = INT64_MAX;
	job->rank.goal_at = now + MSEC((int64_t)message->goal_ms) - held;
	job->deadline = now + MSEC((int64_t)message->deadline_ms) - held;
	limit_job(job);
	job->connections_max = message->connections_max;
}

static void handle_request(struct relay_serve *relay, struct peer_link *link,
			   const Peer__PartRequest *message)
{
	struct timeval tv = {message->flush_ms / 1000,
			     message->flush_ms % 1000 * 1000};
	struct relay_job *job;
	size_t n = message->n_sends;

	if (!n || n > SENDS_MAX || message->records_max > RECORDS_MAX) {
		LOG_WARN("relay_refused", LOG_TEXT("peer", link->instance),
			 LOG_U64("sends", n));
		return;
	}
	job = mem_zalloc(sizeof(*job));
	job->relay = relay;
	job->link = link;
	job->id = message->id;
	job->n_sends = (int)n;
	job->sends = mem_zalloc(n * sizeof(*job->sends));
	job->results = mem_zalloc(n * sizeof(*job->results));
	job->result_ptrs = mem_zalloc(n * sizeof(*job->result_ptrs));
	records_init(&job->records, (int)message->records_max);
	records_init(&job->floor_records, (int)message->records_max);
	/*
	 * No floor from later sends of a request: other servers may answer
	 * their parts first.
	 */
	if (!message->flush_ms)
		job->n_floor_parts = FLOOR_PARTS;
	if (message->floor.len == RECORD_SIZE)
		raise_floor(job, (const char *)message->floor.data);
	job->timer = evtimer_new(relay->base, on_timer, job);
	DL_APPEND(relay->jobs, job);
	job->flushed = !message->flush_ms;
	copy_request(job, message);
	start_sends(job, message);
	if (flush_or_free(job, true) && message->flush_ms)
		evtimer_add(job->timer, &tv);
}

/*
 * Shortens the timeouts of a cancelled job. Results are still returned, as the
 * entry chooses servers by the time they take.
 */
static void shorten_timeouts(struct relay_job *job)
{
	int i;

	for (i = 0; i < job->n_sends; i++) {
		if (job->sends[i].turn)
			server_job_hurry(job->sends[i].turn,
					 get_linger(&job->sends[i]));
	}
}

static void handle_cancel(struct relay_serve *relay, struct peer_link *link,
			  const Peer__PartCancel *message)
{
	struct relay_job *job;

	DL_FOREACH (relay->jobs, job) {
		if (job->link == link && job->id == message->id)
			shorten_timeouts(job);
	}
}

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	struct relay_serve *relay = arg;

	/* Jobs come on links that the entry opened. */
	if (link->outgoing)
		return;
	if (frame->type == FRAME_PART_REQUEST)
		handle_request(relay, link,
			       (const Peer__PartRequest *)frame->message);
	else
		handle_cancel(relay, link,
			      (const Peer__PartCancel *)frame->message);
}

static void on_link_down(void *arg, struct peer_link *link)
{
	struct relay_serve *relay = arg;
	struct relay_job *job;
	struct relay_job *next;

	DL_FOREACH_SAFE (relay->jobs, job, next) {
		if (job->link == link)
			free_job(job);
	}
}

void relay_serve_init(struct relay_serve *relay, struct blackboard *board,
		      struct peers *peers, struct registry *registry,
		      struct server_queues *queues)
{
	memset(relay, 0, sizeof(*relay));
	relay->base = board->base;
	relay->board = board;
	relay->peers = peers;
	relay->registry = registry;
	relay->queues = queues;
	relay->time_limit = INT64_MAX;
	relay->memory.max = REQUESTS_SIZE_MAX;
	relay->handler.frame = on_frame;
	relay->handler.down = on_link_down;
	relay->handler.types =
		1u << FRAME_PART_REQUEST | 1u << FRAME_PART_CANCEL;
	relay->handler.arg = relay;
	peers_add_handler(peers, &relay->handler);
}

bool relay_serve_is_idle(const struct relay_serve *relay)
{
	return !relay->jobs;
}

void relay_serve_limit_time(struct relay_serve *relay, int64_t until)
{
	struct relay_job *job;

	relay->time_limit = until;
	DL_FOREACH (relay->jobs, job)
		limit_job(job);
}

static void end_send(struct job_send *send)
{
	struct relay_job *job = send->job;
	bool unsent = server_job_is_unsent(send->turn);
	Peer__PartDone *done;

	server_job_abandon(send->turn, get_linger(send), NULL);
	send->turn = NULL;
	job->n_pending--;
	/*
	 * Not ERR_LOST: the entry would take it for a server that broke the
	 * connection, and a request that broke some for one that crashes them.
	 */
	done = add_result(job, send->index, unsent ? ERR_BUDGET : ERR_LEAVING,
			  unsent);
	done->stamp = mem_dup("");
	add_outlook(send, done);
}

static void end_job(struct relay_job *job)
{
	int n_pending = job->n_pending;
	int i;

	for (i = 0; i < job->n_sends; i++) {
		if (job->sends[i].turn)
			end_send(&job->sends[i]);
	}
	LOG_INFO("relay_ended", LOG_STR("request", job->request.id),
		 LOG_TEXT("peer", job->link->instance),
		 LOG_I64("sends", n_pending),
		 LOG_I64("left_us",
			 job->deadline - clock_now(job->relay->board->clock)));
	flush_or_free(job, true);
}

void relay_serve_end_jobs(struct relay_serve *relay)
{
	relay->ended = true;
	while (relay->jobs)
		end_job(relay->jobs);
}

void relay_serve_finish(struct relay_serve *relay)
{
	relay_serve_end_jobs(relay);
}
