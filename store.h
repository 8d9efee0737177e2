/*
 * What the platform's store publishes, as the product sees it, and how it is
 * called. The calls' names and formats are the platform's: platform/ fills in
 * struct store_ops.
 */
#ifndef STORE_H
#define STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "registry.h"
#include "str.h"

#define STORE_KEY_SIZE 201
#define STORE_TARGET_SIZE 512

enum store_topic {
	STORE_ROUTES,  /* the operators' items: routes in force, cordons */
	STORE_SERVERS, /* an item a backend server */
	STORE_TOPICS,
};

/* What an item says. */
enum store_kind {
	STORE_ITEM_PLAIN,  /* the routes, or a server */
	STORE_ITEM_CORDON, /* a data centre gets no new requests */
	STORE_ITEM_OTHER,  /* not for this product */
};

/**
 * struct store_call - one call
 * @watch: wait for changes after @after; else list the topic from @from on
 * @wait_ms: how long the store may wait for one
 */
struct store_call {
	enum store_topic topic;
	bool watch;
	uint64_t after;
	int64_t wait_ms;
	char from[STORE_KEY_SIZE];
};

/**
 * struct store_item - one item or change
 * @name: of the item within its topic; of a cordon the data centre
 * @value: empty if it was removed
 * @changed_at: the store's revision of the change
 * @created_at: that at which the item was made, 0: the store did not say
 */
struct store_item {
	char name[STORE_KEY_SIZE];
	enum store_kind kind;
	struct str value;
	uint64_t changed_at;
	uint64_t created_at;
	bool removed;
};

/**
 * struct store_answer - a decoded answer
 * @code: 0; ERR_STALE if the history asked for is gone; ERR_BUDGET for too
 *	many calls; ERR_UNAVAILABLE; ERR_PROTOCOL
 * @era: how often the store went back to a copy so far, told also with a
 *	failure; 0: it did not say
 * @read_at: the store's revision
 * @more: the list goes on behind @last_key
 * @items: borrowed
 */
struct store_answer {
	int code;
	uint64_t era;
	uint64_t read_at;
	bool more;
	char last_key[STORE_KEY_SIZE];
	struct store_item *items;
	int n_items;
};

/**
 * struct store_reply - an answer as it came
 * @era: value of the header that struct store_ops names, or empty
 */
struct store_reply {
	int status;
	struct str era;
	struct str body;
};

/**
 * struct store_ops - how the platform speaks
 * @era_header: that tells which era an answer is of; NUL-terminated
 * @target: write the path and query of a call
 * @decode: read an answer; release with @release
 * @server: read the value of a STORE_SERVERS item. Return: 0; or what is wrong
 *	with it: it names no server that can be used
 */
struct store_ops {
	struct str era_header;
	void (*target)(const struct store_call *call, char *out, size_t size);
	void (*decode)(enum store_topic topic, const struct store_reply *reply,
		       struct store_answer *answer);
	void (*release)(struct store_answer *answer);
	int (*server)(const struct store_item *item,
		      struct server_entry *entry);
};

#endif
