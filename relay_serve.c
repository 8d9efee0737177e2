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

/* A job of more sends than this is malformed. */
#define SENDS_MAX 4096
#define RECORDS_MAX 4096
/* Parts of one message: records name theirs by a byte. */
#define PARTS_MAX 255
/*
 * The parts by which later ones are measured. Should the entry not take one of
 * them, it cannot take later ones: of the first to come it takes nearly all.
 */
#define FLOOR_PARTS 6

/* @turn: NULL once it is over */
struct relay_send {
	struct relay_job *job;
	struct registry_server *server;
	struct server_job *turn;
	uint32_t index;
};

/**
 * struct relay_job - one message of an entry
 * @link: to answer on; NULL once it is down
 * @request: as it is sent to each server; its bytes are owned
 * @rank: among those that wait for the same server
 * @deadline: microseconds
 * @open: sends that have no result yet
 * @done: results that were not told yet
 * @flushed: the flush time is over; what comes later goes out at once
 * @told: the greatest records of the first @n_told parts
 * @floor: if @has_floor: what is less cannot be in the answer
 */
struct relay_job {
	struct relay_serve *relay;
	struct peer_link *link;
	uint64_t id;
	struct upstream_request request;
	struct server_job_rank rank;
	int64_t deadline;
	int64_t connections_max;
	struct event *timer;
	struct relay_send *sends;
	int n_sends;
	int open;
	Peer__PartDone *done;
	Peer__PartDone **pointers;
	int n_done;
	struct records records;
	bool flushed;
	struct records told;
	int n_told;
	bool has_floor;
	char floor[RECORD_SIZE];
	struct relay_job *prev;
	struct relay_job *next;
};

static void clear_done(struct relay_job *job)
{
	int i;

	for (i = 0; i < job->n_done; i++)
		free(job->done[i].stamp);
	job->n_done = 0;
	job->records.n = 0;
}

static int64_t linger_of(const struct relay_send *send)
{
	return registry_linger(send->server,
			       clock_now(send->job->relay->board->clock));
}

static void free_job(struct relay_job *job)
{
	int i;

	DL_DELETE(job->relay->jobs, job);
	for (i = 0; i < job->n_sends; i++) {
		struct relay_send *send = &job->sends[i];

		if (send->turn)
			server_job_abandon(send->turn, linger_of(send));
	}
	clear_done(job);
	records_finish(&job->records);
	records_finish(&job->told);
	event_free(job->timer);
	free((char *)job->request.head.data);
	free((char *)job->request.body.data);
	free((char *)job->request.id.data);
	free(job->sends);
	free(job->done);
	free(job->pointers);
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
 * Most of what goes between data centres are records of late parts. Once the
 * first parts are told, only greater records than theirs matter.
 *
 * Return: whether later parts are measured by those that are told now.
 */
static bool extend_floor(struct relay_job *job)
{
	struct records *told = &job->told;

	if (!job->n_done || job->n_told >= FLOOR_PARTS)
		return false;
	job->n_told += job->n_done;
	records_add(told,
		    (struct str){job->records.bytes,
				 (size_t)job->records.n * RECORD_SIZE},
		    0);
	if (told->n && told->n == told->max)
		raise_floor(job, told->bytes + (told->n - 1) * RECORD_SIZE);
	return true;
}

static void flush(struct relay_job *job)
{
	Peer__PartResult message = PEER__PART_RESULT__INIT;

	if (job->has_floor)
		records_drop_below(&job->records, job->floor);
	message.id = job->id;
	message.floor = extend_floor(job);
	message.parts = job->pointers;
	message.n_parts = (size_t)job->n_done;
	message.records.data = (uint8_t *)job->records.bytes;
	message.records.len = (size_t)job->records.n * RECORD_SIZE;
	message.origins.data = job->records.tags;
	message.origins.len = (size_t)job->records.n;
	peer_send(job->link, FRAME_PART_RESULT, &message.base);
	clear_done(job);
}

/* Return: whether the job goes on. */
static bool review(struct relay_job *job, bool urgent)
{
	if (!job->open || (job->n_done && (urgent || job->flushed)))
		flush(job);
	if (job->open)
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
	/* Even without results: it shows that this instance lives. */
	flush(job);
}

static Peer__PartDone *add_done(struct relay_job *job, uint32_t index, int code,
				bool not_run)
{
	Peer__PartDone *done = &job->done[job->n_done];

	peer__part_done__init(done);
	done->index = index;
	done->code = code;
	done->not_run = not_run;
	done->stamp = NULL;
	job->pointers[job->n_done++] = done;
	return done;
}

/* What one more such part would meet at the server. */
static void add_outlook(const struct relay_send *send, Peer__PartDone *done)
{
	const struct relay_job *job = send->job;
	const struct registry_server *server = send->server;
	int level = server_estimate_level(job->rank.priority);
	int64_t now = clock_now(job->relay->board->clock);

	done->failures = (uint32_t)(server->score.failures * 1000);
	if (!job->relay->queues->enabled)
		return;
	done->ahead_us =
		(uint32_t)server_estimate_wait(&server->outlook, level, now);
	done->pace_us = (uint32_t)server_estimate_processing_time(
		&server->outlook, server->service->latency, now);
}

/* Others are to be asked for so long. */
static void add_cold(const struct relay_send *send, Peer__PartDone *done)
{
	int64_t left = send->server->cold_until -
		       clock_now(send->job->relay->board->clock);

	if (done->code == ERR_COLD && left > 0)
		done->cold_for_ms = (uint32_t)(left / USEC_PER_MSEC);
}

static void on_result(void *arg, const struct exchange_result *result)
{
	struct relay_send *send = arg;
	struct relay_job *job = send->job;
	Peer__PartDone *done;

	send->turn = NULL;
	job->open--;
	done = add_done(job, send->index, result->code, result->not_run);
	done->stamp = mem_dup_len(result->stamp.data, result->stamp.len);
	done->took_us = (uint32_t)result->took;
	done->wait_us = (uint32_t)result->waited;
	add_outlook(send, done);
	add_cold(send, done);
	if (!result->code)
		done->success = result->message->parser.status_code / 100 == 2;
	if (done->success)
		records_add(&job->records, http_message_body(result->message),
			    (uint8_t)(job->n_done - 1));
	/* What failed is tried elsewhere: the entry must know at once. */
	review(job, !done->success || job->n_done == PARTS_MAX);
}

static int start_send(struct relay_job *job, struct relay_send *send,
		      const Peer__PartSend *part)
{
	struct relay_serve *relay = job->relay;
	struct registry_server *server =
		registry_find(relay->registry, str_from(part->server));

	if (!server || !registry_is_open(server))
		return ERR_DRAINING;
	server = registry_note_start(relay->registry, server, part->born);
	send->server = server;
	return server_queue_send(relay->queues, server, &job->request,
				 &job->rank, job->deadline,
				 job->connections_max, on_result, send,
				 &send->turn);
}

/* Why a send did not go out. */
static void add_unsent(struct relay_job *job, const struct relay_send *send,
		       int code)
{
	Peer__PartDone *done = add_done(job, send->index, code, true);

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
		struct relay_send *send = &job->sends[i];

		send->job = job;
		send->index = message->sends[i]->index;
		ret = start_send(job, send, message->sends[i]);
		if (!ret)
			job->open++;
		else
			add_unsent(job, send, ret);
	}
}

/* The message is gone when a part that waits has its turn. */
static void keep_request(struct relay_job *job,
			 const Peer__PartRequest *message)
{
	struct upstream_request *request = &job->request;
	int64_t now = clock_now(job->relay->board->clock);
	int64_t stall = blackboard_stall(job->relay->board);

	request->head.len = message->head.len;
	request->head.data = mem_dup_len(message->head.data, message->head.len);
	request->body.len = message->body.len;
	request->body.data = mem_dup_len(message->body.data, message->body.len);
	request->id = str_from(mem_dup(message->request_id));
	request->fingerprint = message->fingerprint;
	job->rank.priority = message->priority;
	job->rank.goal_at = now + MSEC((int64_t)message->goal_ms) - stall;
	job->deadline = now + MSEC((int64_t)message->deadline_ms) - stall;
	job->connections_max = message->connections_max;
}

static void take_request(struct relay_serve *relay, struct peer_link *link,
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
	job->done = mem_zalloc(n * sizeof(*job->done));
	job->pointers = mem_zalloc(n * sizeof(*job->pointers));
	records_init(&job->records, (int)message->records_max);
	records_init(&job->told, (int)message->records_max);
	/* Later sends of a request: their parts may come from others first. */
	if (!message->flush_ms)
		job->n_told = FLOOR_PARTS;
	if (message->floor.len == RECORD_SIZE)
		raise_floor(job, (const char *)message->floor.data);
	job->timer = evtimer_new(relay->base, on_timer, job);
	DL_APPEND(relay->jobs, job);
	job->flushed = !message->flush_ms;
	keep_request(job, message);
	start_sends(job, message);
	if (review(job, true) && message->flush_ms)
		evtimer_add(job->timer, &tv);
}

/*
 * Nobody waits any more. What still comes is told all the same: how long a
 * server took is what the entry chooses by.
 */
static void hurry(struct relay_job *job)
{
	int i;

	for (i = 0; i < job->n_sends; i++) {
		if (job->sends[i].turn)
			server_job_hurry(job->sends[i].turn,
					 linger_of(&job->sends[i]));
	}
}

static void take_cancel(struct relay_serve *relay, struct peer_link *link,
			const Peer__PartCancel *message)
{
	struct relay_job *job;

	DL_FOREACH (relay->jobs, job) {
		if (job->link == link && job->id == message->id)
			hurry(job);
	}
}

static void on_frame(void *arg, struct peer_link *link, struct frame *frame)
{
	struct relay_serve *relay = arg;

	/* Entries ask on links that they opened. */
	if (link->outgoing)
		return;
	if (frame->type == FRAME_PART_REQUEST)
		take_request(relay, link,
			     (const Peer__PartRequest *)frame->message);
	else
		take_cancel(relay, link,
			    (const Peer__PartCancel *)frame->message);
}

static void on_down(void *arg, struct peer_link *link)
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
	relay->handler.frame = on_frame;
	relay->handler.down = on_down;
	relay->handler.types =
		1u << FRAME_PART_REQUEST | 1u << FRAME_PART_CANCEL;
	relay->handler.arg = relay;
	peers_add_handler(peers, &relay->handler);
}

void relay_serve_finish(struct relay_serve *relay)
{
	while (relay->jobs)
		free_job(relay->jobs);
}
