/*
 * The entry's side: parts for servers in another data centre go in one message
 * to an instance there, and come back merged. If that instance is late or
 * lost, parts go to the servers directly.
 */
#ifndef RELAY_ASK_H
#define RELAY_ASK_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "blackboard.h"
#include "dispatch.h"
#include "peer.h"
#include "server_score.h"
#include "upstream.h"

struct records;
struct relay_ask;
struct relay_batch;

/* Data centres that one request can use relays of. */
#define RELAY_BATCHES_MAX 16

/**
 * struct relay_peer - what was seen of an instance as a relay
 */
struct relay_peer {
	char instance[FLEET_NAME_SIZE];
	struct server_score score;
	UT_hash_handle hh;
};

/**
 * struct relay_client - a request that uses relays; the owner embeds it
 * @request: as sent to each server
 * @flush_after: a relay tells what is in by then; 0: each result at once. Set
 *to 0 by relay_ask_flush(): what is sent later is late already
 * @goal_at: the request is to be answered by then, microseconds
 * @priority: of the route, 0 is the most urgent
 * @records_max: of the merged answer
 * @taken: the greatest records of the parts that are in, or NULL
 * @result: a send's result came
 * @hold: results that belong together follow
 * @release: after the last of them; the request may end
 * @arg: handed to @hold and @release
 */
struct relay_client {
	const struct upstream_request *request;
	uint64_t fingerprint;
	int64_t deadline;
	int64_t flush_after;
	int64_t goal_at;
	int64_t priority;
	int64_t records_max;
	const struct records *best_records;
	int64_t connections_max;
	void (*result)(struct dispatch_send *send,
		       const struct dispatch_answer *answer);
	void (*begin_batch)(void *arg);
	void (*end_batch)(void *arg);
	void *arg;
	struct relay_batch *batches;
};

/**
 * struct relay_ask - jobs that this instance gave to others
 * @usable: an instance may be used as a relay
 * @jobs: told and not over, by id
 * @asked: jobs given to relays
 */
struct relay_ask {
	struct blackboard *board;
	struct peers *peers;
	struct registry *registry;
	bool (*is_usable)(void *arg, const struct fleet_member *member);
	void *arg;
	struct peer_handler handler;
	struct relay_peer *relays;
	struct relay_batch *jobs;
	uint64_t last_id;
	uint64_t jobs_sent;
};

void relay_ask_init(struct relay_ask *relay, struct blackboard *board,
		    struct peers *peers, struct registry *registry,
		    bool (*is_usable)(void *arg,
				      const struct fleet_member *member),
		    void *arg);
void relay_ask_finish(struct relay_ask *relay);

/**
 * relay_ask_send() - have a send made by a relay
 * @data_centre: of the relay
 * @instance: that shall make it; NULL: the best there
 *
 * It goes out with relay_ask_flush().
 *
 * Return: 0; ERR_UNAVAILABLE if there is no relay, and it is not sent.
 */
int relay_ask_send(struct relay_ask *relay, struct relay_client *client,
		   struct dispatch_send *send, const char *data_centre,
		   const char *instance, void **handle);
void relay_ask_flush(struct relay_ask *relay, struct relay_client *client);

/**
 * relay_ask_abandon() - the result of a send is not needed any more
 */
void relay_ask_abandon(void *handle);

/**
 * relay_client_finish() - the request is over; relays are told
 */
void relay_client_finish(struct relay_ask *relay, struct relay_client *client);

#endif
