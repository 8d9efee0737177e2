/* HTTP client of the platform's store; one call at a time for each topic. */
#ifndef STORE_CLIENT_H
#define STORE_CLIENT_H

#include "address.h"
#include "clock.h"
#include "store.h"

struct event_base;
struct evhttp_connection;
struct store_client;

/**
 * struct store_channel - the connection of a topic
 * @client: that it belongs to
 * @topic: that it reads
 * @http: NULL while there is no connection
 * @busy: a call is under way
 * @too_large: its answer was given up
 */
struct store_channel {
	struct store_client *client;
	enum store_topic topic;
	struct evhttp_connection *http;
	bool busy;
	bool too_large;
};

/**
 * struct store_client - connections to the store
 * @base: borrowed
 * @ops: borrowed
 * @address: of the store
 * @answered: called when a call ended; @answer is borrowed
 * @arg: given to @answered
 * @calls: number of calls so far
 * @channels: by topic
 */
struct store_client {
	struct event_base *base;
	const struct store_ops *ops;
	struct address address;
	void (*answered)(void *arg, enum store_topic topic,
			 const struct store_answer *answer);
	void *arg;
	uint64_t calls;
	struct store_channel channels[STORE_TOPICS];
};

void store_client_init(struct store_client *client, struct event_base *base,
		       const struct store_ops *ops,
		       const struct address *address,
		       void (*answered)(void *arg, enum store_topic topic,
					const struct store_answer *answer),
		       void *arg);
void store_client_finish(struct store_client *client);

/**
 * store_client_call() - make a call; cancels the topic's call that is under way
 * @client: the client
 * @call: copied
 * @timeout: of the connection, microseconds
 */
void store_client_call(struct store_client *client,
		       const struct store_call *call, int64_t timeout);

#endif
