/* Processes messages of relays: results and observations of servers. */
#include "relay_ask_private.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"
#include "records.h"
#include "server_timing.h"

/* Round trip to a relay in the same region, 3 ms, plus processing there. */
#define NETWORK_TIME_MAX MSEC(4)

/* Copies the records of one part in a message to @out. */
static struct str extract_records(const Peer__PartResult *message, size_t part,
				  char *out)
{
	size_t n = message->origins.len;
	size_t len = 0;
	size_t i;

	if (n > message->records.len / RECORD_SIZE)
		n = message->records.len / RECORD_SIZE;
	for (i = 0; i < n; i++) {
		if (message->origins.data[i] != part)
			continue;
		memcpy(out + len, message->records.data + i * RECORD_SIZE,
		       RECORD_SIZE);
		len += RECORD_SIZE;
	}
	return (struct str){out, len};
}

/**
 * struct part_times - breakdown of the time a part took, microseconds
 * @server: time the server took
 * @network: round trip to the relay
 * @queue: time in the relay's server queue
 */
struct part_times {
	int64_t server;
	int64_t network;
	int64_t queue;
};

static int64_t clamp_max(int64_t value, int64_t max)
{
	return value < max ? value : max;
}

/*
 * Splits the time since a part was sent. Leaves out the time that the relay
 * waited for other parts. The relay's values are not trusted: each is limited
 * to the time that is left.
 */
static struct part_times split_times(const struct relay_send *relayed,
				     const Peer__PartDone *done, int64_t now)
{
	int64_t left = now - relayed->sent_at;
	struct part_times times;

	times.server = clamp_max(done->took_us, left);
	left -= times.server;
	times.queue = clamp_max(done->wait_us, left);
	left -= times.queue;
	times.network = clamp_max(left, NETWORK_TIME_MAX);
	return times;
}

/* If a relay does not report a server's pace, the time it took is used. */
static void record_outlook(struct relay_send *relayed,
			   const Peer__PartDone *done,
			   const struct part_times *times, int64_t now)
{
	struct registry_server *server = relayed->server;

	if (done->pace_us) {
		server_estimate_set_wait(&server->estimate,
					 relayed->batch->level, done->ahead_us,
					 now);
		server_timing_add_report(server, done->pace_us,
					 relayed->batch->peer->instance, now);
	} else if (server_result_of(done->code, done->success) ==
		   SERVER_ANSWERED) {
		server_timing_add_sample(server, times->server, now);
	}
}

/* Until the server is warm, it is used only if there is no other. */
static void record_cold(struct relay_send *relayed, const Peer__PartDone *done)
{
	registry_set_cold(relayed->server, MSEC((int64_t)done->cold_for_ms),
			  clock_now(relayed->batch->relay->board->clock));
}

static void handle_part(struct relay_send *relayed, const Peer__PartDone *done,
			struct str records, bool incomplete)
{
	struct relay_batch *batch = relayed->batch;
	struct dispatch_send *send = relayed->send;
	int64_t now = clock_now(batch->relay->board->clock);
	struct part_times times = split_times(relayed, done, now);
	int64_t took = times.server + times.network;
	struct dispatch_answer answer = {
		.code = done->code,
		.success = done->success,
		.not_run = done->not_run,
		.broke = done->code == ERR_LOST,
		.stamp = str_from(done->stamp),
		.body = records,
		.took = took + times.queue,
		.delivery = delivery_outcome_of(done->code, done->not_run),
	};

	if (relayed->ended)
		return;
	record_outlook(relayed, done, &times, now);
	relay_send_end(relayed, server_result_of(done->code, done->success),
		       answer.delivery, took);
	/* A relay makes more sends to a server than a single entry. */
	if (server_result_of(done->code, done->success) != SERVER_ABANDONED)
		server_score_set_failures(&relayed->server->score,
					  (double)done->failures / 1000);
	if (done->code == ERR_FOREIGN)
		relayed->server->gone = true;
	if (done->code == ERR_COLD)
		record_cold(relayed, done);
	if (done->success && incomplete)
		answer.code = ERR_PROTOCOL;
	relayed->send = NULL;
	if (send)
		batch->client->result(send, &answer);
}

static struct relay_send *find_relay_send(const struct relay_batch *batch,
					  const Peer__PartDone *done)
{
	if (done->index >= (uint32_t)batch->n_sends)
		return NULL;
	return batch->sends[done->index];
}

/*
 * A message has only the greatest records of all its parts. If a part is not
 * used, because another server has answered it meanwhile, its records may have
 * displaced records of the other parts, which are then missing.
 */
static bool has_unused_part(const struct relay_batch *batch,
			    const Peer__PartResult *message)
{
	size_t i;

	if (!batch->client)
		return false;
	for (i = 0; i < message->n_parts; i++) {
		const struct relay_send *relayed =
			find_relay_send(batch, message->parts[i]);

		if (message->parts[i]->success && (!relayed || !relayed->send))
			return true;
	}
	return false;
}

static void mark_answered(struct relay_batch *batch)
{
	int64_t now = clock_now(batch->relay->board->clock);

	if (batch->answered)
		return;
	batch->answered = true;
	server_score_result(&batch->peer->score, SERVER_ANSWERED,
			    now - batch->sent_at, now);
}

/* With fewer records than the answer may have, none was displaced. */
static bool may_displace_records(const struct relay_batch *batch,
				 const Peer__PartResult *message)
{
	return message->origins.len >= (size_t)batch->client->records_max;
}

static void handle_parts(struct relay_batch *batch,
			 const Peer__PartResult *message)
{
	char *buf = mem_zalloc(message->records.len);
	bool has_unused = has_unused_part(batch, message);
	bool incomplete = batch->floor_invalid ||
			  (has_unused && may_displace_records(batch, message));
	size_t i;

	if (message->floor && has_unused)
		batch->floor_invalid = true;
	for (i = 0; i < message->n_parts; i++) {
		const Peer__PartDone *done = message->parts[i];
		struct relay_send *relayed = find_relay_send(batch, done);

		if (relayed)
			handle_part(relayed, done,
				    extract_records(message, i, buf),
				    incomplete);
	}
	free(buf);
}

/* Job IDs are valid only in messages of the relay that got the job. */
static bool is_from_relay(const struct relay_batch *batch,
			  const struct peer_link *link)
{
	return link->outgoing && !strcmp(batch->peer->instance, link->instance);
}

void relay_ask_handle_result(struct relay_ask *relay,
			     const struct peer_link *link,
			     const Peer__PartResult *message)
{
	struct relay_batch *batch = relay_ask_find_job(relay, message->id);
	struct relay_client *client;

	if (!batch || !is_from_relay(batch, link))
		return;
	mark_answered(batch);
	if (!message->n_parts)
		return;
	/* The request cannot end before end_batch(), so the batch is valid. */
	client = batch->client;
	if (client)
		client->begin_batch(client->arg);
	handle_parts(batch, message);
	if (!batch->n_open)
		relay_batch_free(batch);
	if (client)
		client->end_batch(client->arg);
}
