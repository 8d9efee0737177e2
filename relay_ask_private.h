/* Shared by the files of the entry's side of relaying. */
#ifndef RELAY_ASK_PRIVATE_H
#define RELAY_ASK_PRIVATE_H

#include "relay_ask.h"

/* One send within a batch. */
struct relay_send {
	struct relay_batch *batch;
	struct dispatch_send *send; /* NULL once it is over or abandoned */
	struct registry_server *server;
	int64_t sent_at;
	bool over;
};

/**
 * struct relay_batch - sends of one request to one data centre, told together
 * @client: NULL once the request is over
 * @told: it was given to the relay, as job @id
 * @level: of urgency, of the request
 * @floor_lost: later parts are measured by one that was not taken
 */
struct relay_batch {
	struct relay_ask *relay;
	struct relay_client *client;
	struct relay_peer *peer;
	char data_centre[REGISTRY_NAME_SIZE];
	uint64_t id;
	bool told;
	bool heard;
	bool floor_lost;
	int64_t told_at;
	int64_t flush_after;
	int level;
	struct relay_send **sends;
	int n_sends;
	int cap_sends;
	int n_open;
	struct relay_batch *prev; /* of the client */
	struct relay_batch *next;
	UT_hash_handle hh; /* of all that were told */
};

/**
 * relay_batch_is_late() - its relay should have told something by now
 */
bool relay_batch_is_late(const struct relay_batch *batch, int64_t now);

/**
 * relay_peer_choose() - the best instance of a data centre
 *
 * Return: NULL if none is good enough.
 */
struct relay_peer *relay_peer_choose(struct relay_ask *relay,
				     const char *data_centre);

/**
 * relay_peer_find() - an instance that was named
 *
 * Return: NULL if it cannot be asked.
 */
struct relay_peer *relay_peer_find(struct relay_ask *relay,
				   const char *data_centre,
				   const char *instance);

/**
 * relay_send_end() - the server's observations, as if it had been asked
 * directly
 * @took: microseconds, for SERVER_ANSWERED and SERVER_SILENT
 */
void relay_send_end(struct relay_send *entry, enum server_result result,
		    int64_t took);
void relay_batch_free(struct relay_batch *batch);

/**
 * relay_ask_find_job() - a batch that was told and is not over
 *
 * Return: NULL if there is none of that id.
 */
struct relay_batch *relay_ask_find_job(struct relay_ask *relay, uint64_t id);

/**
 * relay_ask_handle_result() - a relay told results, perhaps none, of one job
 */
void relay_ask_handle_result(struct relay_ask *relay,
			     const struct peer_link *link,
			     const Peer__PartResult *message);

#endif
