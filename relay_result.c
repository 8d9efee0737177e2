/* What relays tell: results of servers, and what they saw of these. */
#include "relay_ask_private.h"

#include <stdlib.h>
#include <string.h>

#include "error.h"
#include "mem.h"
#include "records.h"
#include "server_pace.h"

/* To a relay of the same region and back: 3 ms, and its work. */
#define WAY_MOST MSEC(4)

/* The records of one part among those of a message. */
static struct str records_of(const Peer__PartResult *message, size_t part,
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
 * struct part_times - where the time of a part went, microseconds
 * @server: what the server took
 * @way: there and back
 * @wait: for its turn at the relay
 */
struct part_times {
	int64_t server;
	int64_t way;
	int64_t wait;
};

static int64_t at_most(int64_t value, int64_t most)
{
	return value < most ? value : most;
}

/*
 * Without the time that the relay waited for other parts. A relay may tell any
 * number: nothing took longer than since the part was sent.
 */
static struct part_times times_of(const struct relay_send *entry,
				  const Peer__PartDone *done, int64_t now)
{
	int64_t left = now - entry->sent_at;
	struct part_times times;

	times.server = at_most(done->took_us, left);
	left -= times.server;
	times.wait = at_most(done->wait_us, left);
	left -= times.wait;
	times.way = at_most(left, WAY_MOST);
	return times;
}

/* One that does not tell of servers is measured by what they took. */
static void note_outlook(struct relay_send *entry, const Peer__PartDone *done,
			 const struct part_times *times, int64_t now)
{
	struct registry_server *server = entry->server;

	if (done->pace_us) {
		server_estimate_set_wait(&server->outlook, entry->batch->level,
					 done->ahead_us, now);
		server_timing_add_report(server, done->pace_us,
					 entry->batch->peer->instance, now);
	} else if (server_result_of(done->code, done->success) ==
		   SERVER_ANSWERED) {
		server_timing_add_sample(server, times->server, now);
	}
}

/* Others are asked until it is warm, but where there is no other. */
static void note_cold(struct relay_send *entry, const Peer__PartDone *done)
{
	registry_set_cold(entry->server, MSEC((int64_t)done->cold_for_ms),
			  clock_now(entry->batch->relay->board->clock));
}

static void take_part(struct relay_send *entry, const Peer__PartDone *done,
		      struct str records, bool spoilt)
{
	struct relay_batch *batch = entry->batch;
	struct dispatch_send *send = entry->send;
	int64_t now = clock_now(batch->relay->board->clock);
	struct part_times times = times_of(entry, done, now);
	int64_t took = times.server + times.way;
	struct dispatch_answer answer = {
		.code = done->code,
		.success = done->success,
		.not_run = done->not_run,
		.stamp = str_from(done->stamp),
		.body = records,
		.took = took + times.wait,
	};

	if (entry->over)
		return;
	note_outlook(entry, done, &times, now);
	relay_send_end(entry, server_result_of(done->code, done->success),
		       took);
	/* It sees more of a server than each entry that asks it. */
	if (server_result_of(done->code, done->success) != SERVER_ABANDONED)
		server_score_set_failures(&entry->server->score,
					  (double)done->failures / 1000);
	if (done->code == ERR_FOREIGN)
		entry->server->gone = true;
	if (done->code == ERR_COLD)
		note_cold(entry, done);
	if (done->success && spoilt)
		answer.code = ERR_PROTOCOL;
	entry->send = NULL;
	if (send)
		batch->client->result(send, &answer);
}

static struct relay_send *entry_of(const struct relay_batch *batch,
				   const Peer__PartDone *done)
{
	if (done->index >= (uint32_t)batch->n_sends)
		return NULL;
	return batch->sends[done->index];
}

/*
 * Only the greatest records of all parts in a message come. If one of the parts
 * is not taken, because another server answered for it meanwhile, its records
 * may have displaced some of the others', and these would be missing.
 */
static bool has_untaken(const struct relay_batch *batch,
			const Peer__PartResult *message)
{
	size_t i;

	if (!batch->client)
		return false;
	for (i = 0; i < message->n_parts; i++) {
		const struct relay_send *entry =
			entry_of(batch, message->parts[i]);

		if (message->parts[i]->success && (!entry || !entry->send))
			return true;
	}
	return false;
}

static void heard(struct relay_batch *batch)
{
	int64_t now = clock_now(batch->relay->board->clock);

	if (batch->heard)
		return;
	batch->heard = true;
	server_score_result(&batch->peer->score, SERVER_ANSWERED,
			    now - batch->told_at, now);
}

/* Fewer than the answer's records: none was displaced. */
static bool displaces(const struct relay_batch *batch,
		      const Peer__PartResult *message)
{
	return message->origins.len >= (size_t)batch->client->records_max;
}

static void take_parts(struct relay_batch *batch,
		       const Peer__PartResult *message)
{
	char *room = mem_zalloc(message->records.len);
	bool untaken = has_untaken(batch, message);
	bool spoilt =
		batch->floor_lost || (untaken && displaces(batch, message));
	size_t i;

	if (message->floor && untaken)
		batch->floor_lost = true;
	for (i = 0; i < message->n_parts; i++) {
		const Peer__PartDone *done = message->parts[i];
		struct relay_send *entry = entry_of(batch, done);

		if (entry)
			take_part(entry, done, records_of(message, i, room),
				  spoilt);
	}
	free(room);
}

/* Only the instance that was asked answers: another's ids say nothing here. */
static bool is_from(const struct relay_batch *batch,
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

	if (!batch || !is_from(batch, link))
		return;
	heard(batch);
	if (!message->n_parts)
		return;
	/* The request does not end between these, so that the batch stays. */
	client = batch->client;
	if (client)
		client->hold(client->arg);
	take_parts(batch, message);
	if (!batch->n_open)
		relay_batch_free(batch);
	if (client)
		client->release(client->arg);
}
