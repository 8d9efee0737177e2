/*
 * Requesting side of relaying, used by the entry (the instance that accepted
 * the caller's request). Parts for servers in another data centre go in one
 * message to an instance there, the relay, and come back merged. If the relay
 * is late or lost, parts are sent to the servers directly.
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

/* Maximum number of data centres whose relays one request uses. */
#define RELAY_BATCHES_MAX 16

/**
 * struct relay_peer - observed performance of an instance as a relay
 * @instance: its name
 * @score: as of a server
 */
struct relay_peer {
	char instance[FLEET_NAME_SIZE];
	struct server_score score;
	UT_hash_handle hh;
};

/**
 * struct relay_client - a request that uses relays; the owner embeds it
 * @request: what is sent to each server
 * @fingerprint: identifies the request if it crashes servers
 * @deadline: time when the request ends, microseconds
 * @flush_after: time after which a relay sends its first results, microseconds;
 *	0: it sends each result at once. Set to 0 by relay_ask_flush(), as later
 *	sends are late already
 * @goal_at: time by which the request should be answered, microseconds
 * @priority: of the route, 0 is the most urgent
 * @records_max: maximum number of records in the merged answer
 * @best_records: the greatest records of the answered parts, or NULL
 * @connections_max: limit on connections to each server
 * @result: called with the result of a send
 * @begin_batch: called before a series of @result calls
 * @end_batch: called after a series of @result calls; may end the request
 * @arg: passed to @begin_batch and @end_batch
 * @batches: list of batches of this request
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
 * struct relay_ask - jobs that this instance has sent to relays
 * @board: clock and members of the fleet
 * @peers: connections between instances
 * @registry: backend servers
 * @is_usable: whether an instance may be used as a relay
 * @arg: passed to @is_usable
 * @handler: receives results
 * @relays: hash table of relays by instance name
 * @jobs: hash table of unfinished jobs by ID
 * @last_id: last ID assigned to a job
 * @jobs_sent: number of jobs sent since start
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

/**
 * relay_ask_init() - register for results on the connections to peers
 * @board: outlives @relay, like the other arguments
 * @is_usable: see struct relay_ask
 * @arg: passed to @is_usable
 */
void relay_ask_init(struct relay_ask *relay, struct blackboard *board,
		    struct peers *peers, struct registry *registry,
		    bool (*is_usable)(void *arg,
				      const struct fleet_member *member),
		    void *arg);
void relay_ask_finish(struct relay_ask *relay);

/**
 * relay_ask_send() - queue a send for a relay
 * @data_centre: of the relay
 * @instance: name of the relay; NULL to use the best one in @data_centre
 * @handle: set to a handle for relay_ask_abandon()
 *
 * relay_ask_flush() sends it. Neither calls the client back: results come from
 * the event loop.
 *
 * Return: 0, or ERR_UNAVAILABLE if there is no such relay.
 */
int relay_ask_send(struct relay_ask *relay, struct relay_client *client,
		   struct dispatch_send *send, const char *data_centre,
		   const char *instance, void **handle);

/**
 * relay_ask_flush() - send the queued sends of a request to their relays
 */
void relay_ask_flush(struct relay_ask *relay, struct relay_client *client);

/**
 * relay_ask_abandon() - ignore the result of a send
 * @delivery: told how the send ends; may be NULL
 */
void relay_ask_abandon(void *handle, struct delivery *delivery);

/**
 * relay_client_finish() - end a request and cancel its jobs at the relays
 */
void relay_client_finish(struct relay_ask *relay, struct relay_client *client);

#endif
