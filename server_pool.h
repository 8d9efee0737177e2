/*
 * Connections to one backend server: kept open, never more than the share,
 * one request at a time on each.
 */
#ifndef SERVER_POOL_H
#define SERVER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "address.h"
#include "backend.pb-c.h"
#include "blackboard.h"

struct evbuffer;
struct event;
struct server_conn;

/**
 * struct server_reply - how a request to a backend server ended
 * @code: 0 for 200; else a negative error
 * @status: HTTP status, 0 if none came
 * @sent: bytes of the request may have reached the server
 * @retry_after_ms: the server's wish, 0 if none
 * @body: of a whole answer, else NULL; valid during the call
 * @etag: header of the answer, or NULL
 */
struct server_reply {
	int code;
	int status;
	bool sent;
	uint32_t retry_after_ms;
	struct evbuffer *body;
	const char *etag;
};

typedef void (*server_reply_cb)(void *arg, const struct server_reply *reply);

/**
 * struct server_pool - the connections of one home to one server
 * @max: share of the server's connections; surplus idle ones are closed
 */
struct server_pool {
	struct blackboard *board;
	struct address address;
	char host[ADDRESS_TEXT_SIZE];
	struct server_conn *conns;
	uint32_t n_conns;
	uint32_t max;
	struct event *reaper;
};

void server_pool_init(struct server_pool *pool, struct blackboard *board,
		      const struct address *address, uint32_t max);

/**
 * server_pool_finish() - close everything; callbacks of open requests are not
 * called
 */
void server_pool_finish(struct server_pool *pool);
void server_pool_set_max(struct server_pool *pool, uint32_t max);

/**
 * server_pool_get() - GET a path on an idle connection
 * @etag: for If-None-Match, may be NULL
 *
 * Return: 0, and @done follows, but not during the call; or ERR_NO_SLOT if no
 * connection is free, ERR_CONNECT if none can be made.
 */
int server_pool_get(struct server_pool *pool, const char *path,
		    const char *etag, server_reply_cb done, void *arg);

/**
 * server_pool_post() - POST a protocol buffer on an idle connection
 * @handle: set on success to what server_pool_abandon() takes; may be NULL
 *
 * Return: as server_pool_get(); no byte was sent if it is not 0.
 */
int server_pool_post(struct server_pool *pool, const char *path,
		     const ProtobufCMessage *message, server_reply_cb done,
		     void *arg, void **handle);

/**
 * server_pool_is_disconnected() - whether no connection is open
 */
bool server_pool_is_disconnected(const struct server_pool *pool);

/**
 * server_pool_abandon() - give up a running request
 * @request_id: what the server shall cancel; NULL to let it work on
 *
 * The server is told to cancel on another connection; its answer, cancelled
 * or not, ends the request as usual and frees the connection. A connection
 * that then stays silent is closed.
 */
void server_pool_abandon(struct server_pool *pool, void *handle,
			 const char *request_id);

/**
 * server_pool_close_stalled() - the connection of a request makes no progress
 *
 * It is closed, and the request ends with ERR_SILENT during the call. Idle
 * connections that have not been answered on since the request began are
 * closed too: whatever lost track of the one may have lost them as well.
 */
void server_pool_close_stalled(struct server_pool *pool, void *handle);

#endif
