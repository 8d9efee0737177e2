/* Test fixture: an instance and a store whose answers the test provides. */
#ifndef STORE_FIXTURE_H
#define STORE_FIXTURE_H

#include "store_sync.h"

/**
 * struct fixture - an instance and its calls on the store
 * @calls: latest call for each topic
 * @n_calls: calls for each topic
 * @era: of the store, sent with each answer; 0: none
 */
struct fixture {
	struct clock clock;
	struct registry registry;
	struct store_sync sync;
	struct store_call calls[STORE_TOPICS];
	int n_calls[STORE_TOPICS];
	uint64_t era;
};

void fixture_init(struct fixture *fixture);
void fixture_finish(struct fixture *fixture);
/* Restarts the sync with the store and keeps the registry; makes no call. */
void fixture_restart(struct fixture *fixture);
/* Advances the clock by @ms and makes the calls that are due. */
void fixture_advance(struct fixture *fixture, int64_t ms);
/* Return: an item with the value "ready", or its removal. */
struct store_item make_item(const char *name, uint64_t at, bool removed);
/* Answers the pending call for @topic, as of revision @read_at. */
void fixture_answer(struct fixture *fixture, enum store_topic topic,
		    uint64_t read_at, struct store_item *items, int n);
/* Fails the pending call for @topic with error @code. */
void fixture_fail(struct fixture *fixture, enum store_topic topic, int code);
/* Return: true if the server @id is in the registry. */
bool fixture_has_server(const struct fixture *fixture, const char *id);
/* Return: whether the latest list of servers began after @key. */
bool fixture_list_from(const struct fixture *fixture, const char *key);
/* Answers the pending call for routes with an empty set of @version. */
void fixture_answer_routes(struct fixture *fixture, int version);
/* Answers the pending call for servers with the servers a and b. */
void fixture_answer_servers(struct fixture *fixture);
/*
 * Decodes a server entry. The value of an item is the server's state;
 * "unreadable" is a syntax error. An object is read as the platform's.
 */
int fixture_decode_server(const struct store_item *item,
			  struct server_entry *entry);

#endif
