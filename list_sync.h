/*
 * Distributes the platform's list of instances to those that do not read it
 * themselves. Readers (reader.h) push changed rows down the tree of their data
 * centre (table_peers.h). TableDigest carries the list's revision and digest,
 * so that an instance that missed an update requests it. The highest revision
 * wins. Does no I/O.
 */
#ifndef LIST_SYNC_H
#define LIST_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "peer.pb-c.h"
#include "reader.h"
#include "str.h"
#include "table_peers.h"

/* Revisions that are kept as a base for differences. */
#define LIST_SYNC_REVISIONS 8
/* Bytes of a peer's name, with the terminator. */
#define LIST_SYNC_PEER_SIZE 256

/**
 * struct list_row - an instance in the platform's list
 * @instance: its name
 * @text: the row as JSON
 */
struct list_row {
	char *instance;
	char *text;
};

/**
 * struct instance_list - one revision of the list
 * @revision: 0 if there is none
 * @digest: hash of all rows
 * @rows: owned; sorted by instance, without duplicates
 * @n: number of rows
 */
struct instance_list {
	uint64_t revision;
	uint64_t digest;
	struct list_row *rows;
	int n;
};

/**
 * struct list_sync_ops - callbacks
 * @send_request: send a message to a peer; it may be lost
 * @send_update: the same
 * @updated: a newer list is in use; @text is a JSON array of its rows, valid
 *	during the call
 */
struct list_sync_ops {
	void (*send_request)(void *ctx, const char *peer,
			     const Peer__ListRequest *message);
	void (*send_update)(void *ctx, const char *peer,
			    const Peer__ListUpdate *message);
	void (*updated)(void *ctx, struct str text);
};

/**
 * struct list_sync - the state of one instance
 * @clock: borrowed
 * @peers: borrowed; gives the children in the tree
 * @reader: borrowed
 * @ops: callbacks, called with @ctx
 * @lists: the last revisions, a ring
 * @newest: index of the newest
 * @wanted: revision that a peer has and this instance lacks, or 0
 * @wanted_peer: that peer
 * @due_at: when to send a request or, if @requested, when it times out
 * @requested: a request for @wanted was sent
 */
struct list_sync {
	const struct clock *clock;
	const struct table_peers *peers;
	struct reader *reader;
	const struct list_sync_ops *ops;
	void *ctx;
	struct instance_list lists[LIST_SYNC_REVISIONS];
	int newest;
	uint64_t wanted;
	char wanted_peer[LIST_SYNC_PEER_SIZE];
	int64_t due_at;
	bool requested;
};

/**
 * list_sync_init() - initialise without a list
 * @peers: borrowed
 * @reader: borrowed, for tunables and jitter
 * @ops: borrowed
 * @ctx: passed to @ops
 */
void list_sync_init(struct list_sync *sync, const struct clock *clock,
		    const struct table_peers *peers, struct reader *reader,
		    const struct list_sync_ops *ops, void *ctx);
void list_sync_finish(struct list_sync *sync);

/**
 * list_sync_platform_list() - apply a list read from the platform
 * @text: a JSON array
 *
 * Return: 0; ERR_SYNTAX if @text is not a JSON array; ERR_STALE if @revision is
 * not newer.
 */
int list_sync_platform_list(struct list_sync *sync, struct str text,
			    uint64_t revision);

/**
 * list_sync_peer_revision() - handle the revision that a peer announced
 *
 * Requests the list after a random delay if it is newer and was not pushed by
 * then.
 */
void list_sync_peer_revision(struct list_sync *sync, const char *peer,
			     uint64_t revision, uint64_t digest);

/**
 * list_sync_request() - send a peer the changes since the list that it has
 */
void list_sync_request(struct list_sync *sync, const char *peer,
		       const Peer__ListRequest *message);

/**
 * list_sync_update() - apply a list, or differences, from a peer
 *
 * Return: 0; ERR_STALE if it is not newer; ERR_VERSION if its base is not the
 * list in use (a request is sent); ERR_PROTOCOL if rows are unsorted or the
 * result does not match the announced digest.
 */
int list_sync_update(struct list_sync *sync, const char *peer,
		     const Peer__ListUpdate *message);

/**
 * list_sync_tick() - send a request that is due, or time it out
 */
void list_sync_tick(struct list_sync *sync);

/**
 * list_sync_newest() - the list in use; its revision is 0 if there is none
 */
const struct instance_list *list_sync_newest(const struct list_sync *sync);

#endif
