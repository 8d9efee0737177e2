/* Shared by the files of the requesting side of relaying. */
#ifndef RELAY_ASK_PRIVATE_H
#define RELAY_ASK_PRIVATE_H

#include "relay_ask.h"

/**
 * struct relay_send - one send of a batch
 * @batch: the batch that owns it
 * @send: NULL once it has ended or was abandoned
 * @server: holds a reference
 * @sent_at: time of relay_ask_send(), microseconds
 * @ended: its result is recorded in @server
 * @delivery: of an abandoned send: told how it ends; or NULL
 */
struct relay_send {
	struct relay_batch *batch;
	struct dispatch_send *send;
	struct registry_server *server;
	int64_t sent_at;
	bool ended;
	struct delivery *delivery;
};

/**
 * struct relay_batch - sends of a request to one relay, in one message
 * @relay: state that owns it once it is sent
 * @client: NULL once the request has ended
 * @peer: the relay
 * @data_centre: of the relay
 * @id: job ID, once @sent
 * @sent: it was sent to the relay, as job @id
 * @answered: the relay has sent a message about it
 * @floor_invalid: the relay's floor includes records of a part that was not
 *	used here, so records above the real floor may be missing
 * @sent_at: time when it was sent, microseconds
 * @flush_after: value in struct relay_client when it was sent
 * @level: urgency level of the request
 * @sends: array of @n_sends owned elements
 * @cap_sends: allocated size of @sends
 * @n_open: sends that have not ended
 */
struct relay_batch {
	struct relay_ask *relay;
	struct relay_client *client;
	struct relay_peer *peer;
	char data_centre[REGISTRY_NAME_SIZE];
	uint64_t id;
	bool sent;
	bool answered;
	bool floor_invalid;
	int64_t sent_at;
	int64_t flush_after;
	int level;
	struct relay_send **sends;
	int n_sends;
	int cap_sends;
	int n_open;
	struct relay_batch *prev; /* in the client's list */
	struct relay_batch *next;
	UT_hash_handle hh; /* in the table of jobs */
};

/**
 * relay_batch_is_late() - check whether a relay's first message is overdue
 * @now: microseconds
 */
bool relay_batch_is_late(const struct relay_batch *batch, int64_t now);

/**
 * relay_peer_choose() - choose the best relay in a data centre
 *
 * Return: NULL if none is good enough.
 */
struct relay_peer *relay_peer_choose(struct relay_ask *relay,
				     const char *data_centre);

/**
 * relay_peer_find() - find a relay by name
 *
 * Return: NULL if it is not usable as a relay.
 */
struct relay_peer *relay_peer_find(struct relay_ask *relay,
				   const char *data_centre,
				   const char *instance);

/**
 * relay_send_end() - end a send and record its result for the server, as if it
 * had been sent directly
 * @end: whether the server received it
 * @took: microseconds, for SERVER_ANSWERED and SERVER_SILENT
 */
void relay_send_end(struct relay_send *relayed, enum server_result result,
		    enum delivery_outcome end, int64_t took);

/**
 * relay_batch_free() - free a batch; sends that have not ended are dropped
 */
void relay_batch_free(struct relay_batch *batch);

/**
 * relay_ask_find_job() - find an unfinished batch by its job ID
 *
 * Return: NULL if there is none.
 */
struct relay_batch *relay_ask_find_job(struct relay_ask *relay, uint64_t id);

/**
 * relay_ask_handle_result() - process a relay's message about a job
 * @link: connection that the message came on
 * @message: may have no results
 */
void relay_ask_handle_result(struct relay_ask *relay,
			     const struct peer_link *link,
			     const Peer__PartResult *message);

#endif
