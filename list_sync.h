/*
 * The platform's list of instances at those that do not read it themselves:
 * the readers (reader.h) pass changed rows on down the tree of their data
 * centre (table_peers.h); what is lost is repaired by the list's revision and
 * digest in TableDigest. The highest revision wins. No sockets.
 */
#ifndef LIST_SYNC_H
#define LIST_SYNC_H

#include <stdbool.h>
#include <stdint.h>

#include "peer.pb-c.h"
#include "reader.h"
#include "str.h"
#include "table_peers.h"

/* Lists that are kept, so that peers can be sent what changed since. */
#define LIST_SYNC_KEPT 8
#define LIST_SYNC_PEER_SIZE 256

struct list_row {
	char *instance;
	char *text;
};

/**
 * struct instance_list - one revision of the list
 * @revision: 0 if there is none
 * @digest: of the rows
 * @rows: sorted by instance, each once
 */
struct instance_list {
	uint64_t revision;
	uint64_t digest;
	struct list_row *rows;
	int n;
};

/**
 * struct list_sync_ops - what the module wants done
 * @taken: another list is the newest; a JSON list of its rows
 */
struct list_sync_ops {
	void (*send_request)(void *ctx, const char *peer,
			     const Peer__ListRequest *message);
	void (*send_update)(void *ctx, const char *peer,
			    const Peer__ListUpdate *message);
	void (*taken)(void *ctx, struct str text);
};

/**
 * struct list_sync - the state of one instance
 * @lists: the last ones, a ring
 * @newest: index of the newest
 * @wanted: revision that a peer has and this instance lacks, or 0
 * @want_at: when to ask, or, once asked, when to give up
 */
struct list_sync {
	const struct clock *clock;
	const struct table_peers *peers;
	struct reader *reader;
	const struct list_sync_ops *ops;
	void *ctx;
	struct instance_list lists[LIST_SYNC_KEPT];
	int newest;
	uint64_t wanted;
	char wanted_peer[LIST_SYNC_PEER_SIZE];
	int64_t want_at;
	bool asked;
};

/**
 * list_sync_init() - an instance that has no list
 * @peers: borrowed
 * @reader: borrowed, for tunables and jitter
 */
void list_sync_init(struct list_sync *sync, const struct clock *clock,
		    const struct table_peers *peers, struct reader *reader,
		    const struct list_sync_ops *ops, void *ctx);
void list_sync_finish(struct list_sync *sync);

/**
 * list_sync_platform_list() - the platform gave its list
 *
 * Return: 0; ERR_SYNTAX if it is no list; ERR_STALE if it is not newer.
 */
int list_sync_platform_list(struct list_sync *sync, struct str text,
			    uint64_t revision);

/**
 * list_sync_peer_revision() - a peer told its list
 */
void list_sync_peer_revision(struct list_sync *sync, const char *peer,
			     uint64_t revision, uint64_t digest);
void list_sync_request(struct list_sync *sync, const char *peer,
		       const Peer__ListRequest *message);

/**
 * list_sync_update() - a peer sent a list
 *
 * Return: 0; ERR_STALE if it is not newer; ERR_VERSION if it builds on another
 * list (it is asked for anew); ERR_PROTOCOL if it is not what it announces.
 */
int list_sync_update(struct list_sync *sync, const char *peer,
		     const Peer__ListUpdate *message);
void list_sync_tick(struct list_sync *sync);

/**
 * list_sync_newest() - the list in use; its revision is 0 if there is none
 */
const struct instance_list *list_sync_newest(const struct list_sync *sync);

#endif
