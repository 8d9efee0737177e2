#define LOG_MODULE "relay_ask"
#include "relay_ask_private.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "error.h"
#include "log.h"
#include "mem.h"
#include "records.h"

static struct relay_batch *find_batch(const struct relay_client *client,
				      const char *data_centre,
				      const char *instance)
{
	struct relay_batch *batch;

	DL_FOREACH (client->batches, batch) {
		if (batch->sent || strcmp(batch->data_centre, data_centre))
			continue;
		if (!instance || !strcmp(batch->peer->instance, instance))
			return batch;
	}
	return NULL;
}

static struct relay_batch *create_batch(struct relay_ask *relay,
					struct relay_client *client,
					const char *data_centre,
					const char *instance)
{
	struct relay_peer *peer =
		instance ? relay_peer_find(relay, data_centre, instance)
			 : relay_peer_choose(relay, data_centre);
	struct relay_batch *batch;

	if (!peer)
		return NULL;
	batch = mem_zalloc(sizeof(*batch));
	batch->relay = relay;
	batch->client = client;
	batch->peer = peer;
	batch->level = server_estimate_level(client->priority);
	str_copy(batch->data_centre, sizeof(batch->data_centre),
		 str_from(data_centre));
	DL_APPEND(client->batches, batch);
	return batch;
}

int relay_ask_send(struct relay_ask *relay, struct relay_client *client,
		   struct dispatch_send *send, const char *data_centre,
		   const char *instance, void **handle)
{
	struct relay_batch *batch = find_batch(client, data_centre, instance);
	struct relay_send *relayed;

	if (!batch)
		batch = create_batch(relay, client, data_centre, instance);
	if (!batch)
		return ERR_UNAVAILABLE;
	relayed = mem_zalloc(sizeof(*relayed));
	relayed->batch = batch;
	relayed->send = send;
	relayed->server = registry_server_ref(send->server);
	relayed->sent_at = clock_now(relay->board->clock);
	server_score_sent(&relayed->server->score, relayed->sent_at);
	MEM_GROW(batch->sends, batch->n_sends, batch->cap_sends);
	batch->sends[batch->n_sends++] = relayed;
	batch->n_open++;
	*handle = relayed;
	return 0;
}

void relay_send_end(struct relay_send *relayed, enum server_result result,
		    enum delivery_outcome end, int64_t took)
{
	int64_t now = clock_now(relayed->batch->relay->board->clock);

	if (relayed->ended)
		return;
	relayed->ended = true;
	relayed->batch->n_open--;
	if (result == SERVER_ANSWERED || result == SERVER_REFUSED)
		unread_sends_answered(relayed->server, relayed->sent_at, now);
	unread_sends_end(relayed->server, relayed->delivery, end,
			 relayed->sent_at, now);
	relayed->delivery = NULL;
	server_score_result(&relayed->server->score, result, took, now);
	if (result == SERVER_ANSWERED)
		registry_record_latency(relayed->server->service, took);
}

void relay_batch_free(struct relay_batch *batch)
{
	struct relay_ask *relay = batch->relay;
	int64_t now = clock_now(relay->board->clock);
	int i;

	if (batch->sent) {
		HASH_DEL(relay->jobs, batch);
		if (!batch->answered)
			server_score_result(&batch->peer->score,
					    relay_batch_is_late(batch, now)
						    ? SERVER_SILENT
						    : SERVER_ABANDONED,
					    0, now);
	}
	if (batch->client)
		DL_DELETE(batch->client->batches, batch);
	for (i = 0; i < batch->n_sends; i++) {
		relay_send_end(batch->sends[i], SERVER_ABANDONED,
			       batch->sent ? DELIVERY_UNKNOWN : DELIVERY_UNSENT,
			       0);
		registry_server_unref(batch->sends[i]->server);
		free(batch->sends[i]);
	}
	free(batch->sends);
	free(batch);
}

static void fill_sends(const struct relay_batch *batch,
		       Peer__PartRequest *message, Peer__PartSend *sends,
		       Peer__PartSend **pointers)
{
	int i;

	for (i = 0; i < batch->n_sends; i++) {
		peer__part_send__init(&sends[i]);
		sends[i].index = (uint32_t)i;
		sends[i].server = batch->sends[i]->server->entry.id;
		sends[i].born = batch->sends[i]->server->entry.started_at_ms;
		pointers[i] = &sends[i];
	}
	message->sends = pointers;
	message->n_sends = (size_t)batch->n_sends;
}

/* Once the answer is full, lesser records than its least one are not needed. */
static void fill_floor(const struct relay_client *client,
		       Peer__PartRequest *message)
{
	const struct records *best = client->best_records;

	if (!best || !best->n || best->n < best->max)
		return;
	message->floor.data =
		(uint8_t *)best->bytes + (best->n - 1) * RECORD_SIZE;
	message->floor.len = RECORD_SIZE;
}

static void send_batch(struct relay_batch *batch)
{
	struct relay_ask *relay = batch->relay;
	struct relay_client *client = batch->client;
	int64_t now = clock_now(relay->board->clock);
	int64_t left = client->deadline - now;
	struct peer_link *link =
		peers_find(relay->peers, str_from(batch->peer->instance));
	Peer__PartRequest message = PEER__PART_REQUEST__INIT;
	size_t n = (size_t)batch->n_sends;
	Peer__PartSend *sends = mem_zalloc(n * sizeof(*sends));
	Peer__PartSend **pointers = mem_zalloc(n * sizeof(*pointers));
	char *id =
		mem_dup_len(client->request->id.data, client->request->id.len);

	message.id = ++relay->last_id;
	message.request_id = id;
	message.head.data = (uint8_t *)client->request->head.data;
	message.head.len = client->request->head.len;
	message.body.data = (uint8_t *)client->request->body.data;
	message.body.len = client->request->body.len;
	message.sent_at_us = (uint64_t)now;
	message.deadline_ms = left > 0 ? (uint32_t)(left / USEC_PER_MSEC) : 0;
	message.flush_ms = (uint32_t)(client->flush_after / USEC_PER_MSEC);
	message.records_max = (uint32_t)client->records_max;
	message.fingerprint = client->fingerprint;
	message.trial = client->request->trial;
	message.connections_max = (uint32_t)client->connections_max;
	message.priority = (uint32_t)client->priority;
	if (client->goal_at > now)
		message.goal_ms =
			(uint32_t)((client->goal_at - now) / USEC_PER_MSEC);
	fill_floor(client, &message);
	fill_sends(batch, &message, sends, pointers);
	batch->id = message.id;
	batch->sent = true;
	batch->sent_at = now;
	batch->flush_after = client->flush_after;
	HASH_ADD(hh, relay->jobs, id, sizeof(batch->id), batch);
	server_score_sent(&batch->peer->score, now);
	relay->jobs_sent++;
	/* If the link has just broken, on_link_down() fails the job. */
	if (link)
		peer_send(link, FRAME_PART_REQUEST, &message.base);
	free(sends);
	free(pointers);
	free(id);
}

void relay_ask_flush(struct relay_ask *relay, struct relay_client *client)
{
	struct relay_batch *batch;

	(void)relay;
	DL_FOREACH (client->batches, batch) {
		if (!batch->sent)
			send_batch(batch);
	}
	client->flush_after = 0;
}

void relay_ask_abandon(void *handle, struct delivery *delivery)
{
	struct relay_send *relayed = handle;

	relayed->send = NULL;
	relayed->delivery = delivery_add(delivery);
}

static void send_cancel(struct relay_batch *batch)
{
	struct peer_link *link = peers_find(batch->relay->peers,
					    str_from(batch->peer->instance));
	Peer__PartCancel message = PEER__PART_CANCEL__INIT;

	if (!link || !batch->sent || !batch->n_open)
		return;
	message.id = batch->id;
	peer_send(link, FRAME_PART_CANCEL, &message.base);
}

void relay_client_finish(struct relay_ask *relay, struct relay_client *client)
{
	struct relay_batch *batch;
	struct relay_batch *next;

	(void)relay;
	DL_FOREACH_SAFE (client->batches, batch, next) {
		send_cancel(batch);
		DL_DELETE(client->batches, batch);
		batch->client = NULL;
		/* Sent batches stay to record what the servers still answer. */
		if (!batch->sent || !batch->n_open)
			relay_batch_free(batch);
	}
}

struct relay_batch *relay_ask_find_job(struct relay_ask *relay, uint64_t id)
{
	struct relay_batch *batch;

	HASH_FIND(hh, relay->jobs, &id, sizeof(id), batch);
	return batch;
}

static void on_result_frame(void *arg, struct peer_link *link,
			    struct frame *frame)
{
	struct relay_ask *relay = arg;

	relay_ask_handle_result(relay, link,
				(const Peer__PartResult *)frame->message);
}

static void fail_job(struct relay_ask *relay, uint64_t id)
{
	static const struct dispatch_answer lost_answer = {
		.code = ERR_LOST,
		.stamp = STR(""),
		.delivery = DELIVERY_UNKNOWN,
	};
	struct relay_batch *batch = relay_ask_find_job(relay, id);
	struct relay_client *client;
	int i;

	if (!batch)
		return;
	client = batch->client;
	if (client)
		client->begin_batch(client->arg);
	for (i = 0; i < batch->n_sends; i++) {
		struct relay_send *relayed = batch->sends[i];
		struct dispatch_send *send = relayed->send;

		/* The lost connection says nothing about the server. */
		relay_send_end(relayed, SERVER_ABANDONED, DELIVERY_UNKNOWN, 0);
		relayed->send = NULL;
		if (send)
			client->result(send, &lost_answer);
	}
	relay_batch_free(batch);
	if (client)
		client->end_batch(client->arg);
}

/* Fails all jobs of a relay when the connection to it is lost. */
static void on_link_down(void *arg, struct peer_link *link)
{
	struct relay_ask *relay = arg;
	struct relay_batch *batch;
	uint64_t *ids;
	int n = 0;
	int i;

	if (!link->outgoing)
		return;
	ids = mem_zalloc((HASH_COUNT(relay->jobs) + 1) * sizeof(*ids));
	for (batch = relay->jobs; batch; batch = batch->hh.next) {
		if (!strcmp(batch->peer->instance, link->instance))
			ids[n++] = batch->id;
	}
	if (n)
		LOG_INFO("relay_lost", LOG_TEXT("peer", link->instance),
			 LOG_I64("jobs", n));
	for (i = 0; i < n; i++)
		fail_job(relay, ids[i]);
	free(ids);
}

void relay_ask_init(struct relay_ask *relay, struct blackboard *board,
		    struct peers *peers, struct registry *registry,
		    bool (*is_usable)(void *arg,
				      const struct fleet_member *member),
		    void *arg)
{
	memset(relay, 0, sizeof(*relay));
	relay->board = board;
	relay->peers = peers;
	relay->registry = registry;
	relay->is_usable = is_usable;
	relay->arg = arg;
	relay->handler.frame = on_result_frame;
	relay->handler.down = on_link_down;
	relay->handler.types = 1u << FRAME_PART_RESULT;
	relay->handler.arg = relay;
	peers_add_handler(peers, &relay->handler);
}

void relay_ask_finish(struct relay_ask *relay)
{
	struct relay_peer *peer;
	struct relay_peer *next;

	while (relay->jobs)
		relay_batch_free(relay->jobs);
	HASH_ITER (hh, relay->relays, peer, next) {
		HASH_DEL(relay->relays, peer);
		free(peer);
	}
}
