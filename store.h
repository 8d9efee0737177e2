/*
 * Items of the platform's store, and the calls to it, independent of their
 * formats. Those belong to the platform: platform/ provides struct store_ops.
 */
#ifndef STORE_H
#define STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "registry.h"
#include "store_key.h"
#include "str.h"

/* Room for a key of which each byte takes three, and for what is around it. */
#define STORE_TARGET_SIZE (3 * STORE_KEY_MAX + 128)

enum store_topic {
	STORE_ROUTES,  /* the operators' items: routes and cordons */
	STORE_SERVERS, /* one item for each backend server */
	STORE_TOPICS,
};

/* What an item describes. */
enum store_kind {
	STORE_ITEM_PLAIN,  /* the routes, or a server */
	STORE_ITEM_CORDON, /* a data centre that gets no new requests */
	STORE_ITEM_OTHER,  /* ignored */
};

/**
 * struct store_call - a call to the store
 * @topic: whose items are read
 * @watch: read the changes after @after; else list the items after @from
 * @after: watch: a revision
 * @wait_ms: watch: how long the store may wait for a change
 * @from: list: last key of the previous page, empty for the first page
 */
struct store_call {
	enum store_topic topic;
	bool watch;
	uint64_t after;
	int64_t wait_ms;
	struct store_key from;
};

/**
 * struct store_item - an item of a list, or a change
 * @name: of the item within its topic; for a cordon the data centre; empty if
 *	  its key names none
 * @kind: what it describes
 * @value: empty if it was removed
 * @changed_at: store revision of the last change
 * @created_at: store revision at which the item was created, 0: not known
 * @removed: the change is the removal of the item
 */
struct store_item {
	struct store_key name;
	enum store_kind kind;
	struct str value;
	uint64_t changed_at;
	uint64_t created_at;
	bool removed;
};

/**
 * struct store_answer - a decoded answer
 * @code: 0; ERR_STALE if the store no longer has all changes after the given
 *	  revision; ERR_BUDGET for too many calls; ERR_UNAVAILABLE;
 *	  ERR_PROTOCOL; ERR_TOO_LARGE if it was given up for its size
 * @era: how often the store was restored from a backup so far, set also for a
 *	 failure; 0: not known. Revisions of different eras cannot be compared.
 * @revision: of the store when it answered
 * @more: the list continues after @last_key
 * @last_key: key of the last item
 * @items: freed by release_answer() of struct store_ops
 * @n_items: length of @items
 */
struct store_answer {
	int code;
	uint64_t era;
	uint64_t revision;
	bool more;
	struct store_key last_key;
	struct store_item *items;
	int n_items;
};

/**
 * struct store_reply - an HTTP response, not yet decoded
 * @status: of HTTP
 * @era: value of the header @era_header of struct store_ops, or empty
 * @body: borrowed
 */
struct store_reply {
	int status;
	struct str era;
	struct str body;
};

/**
 * struct store_ops - formats of the platform's store
 * @era_header: name of the header with an answer's era; NUL-terminated
 * @format_target: write the path and query of a call
 * @decode_answer: decode a response; free the result with @release_answer
 * @release_answer: free the items of an answer
 * @decode_server: decode the value of a STORE_SERVERS item. Return: 0, or the
 *		   error if the value describes no usable server
 */
struct store_ops {
	struct str era_header;
	void (*format_target)(const struct store_call *call, char *out,
			      size_t size);
	void (*decode_answer)(enum store_topic topic,
			      const struct store_reply *reply,
			      struct store_answer *answer);
	void (*release_answer)(struct store_answer *answer);
	int (*decode_server)(const struct store_item *item,
			     struct server_entry *entry);
};

#endif
