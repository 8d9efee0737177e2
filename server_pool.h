/*
 * Persistent connections to one backend server, limited to this instance's
 * share, with one request at a time on each.
 */
#ifndef SERVER_POOL_H
#define SERVER_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include "address.h"
#include "backend.pb-c.h"
#include "blackboard.h"
#include "connect_probe.h"

struct evbuffer;
struct event;
struct server_conn;

/**
 * struct server_reply - result of a request to a backend server
 * @code: 0 for status 200 or 304; otherwise a negative error
 * @status: HTTP status, 0 if none was received
 * @sent: bytes of the request may have reached the server
 * @retry_after_ms: delay that the server asks for, 0 if none
 * @body: of a complete answer, otherwise NULL; valid during the call
 * @etag: header of the answer, or NULL; valid during the call
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
 * @board: shared state of the instance, borrowed
 * @address: of the server
 * @host: value of the Host header
 * @conns: list of connections, owned
 * @n_conns: number of @conns
 * @max: share of the server's connections; idle ones above it are closed
 * @reaper: event that frees connections
 * @probe: see server_pool_probe()
 * @probe_place: in @conns, keeps the place of the connection that @probe opens;
 *	NULL if none runs
 * @probe_done: callback of @probe
 * @probe_arg: passed to @probe_done
 */
struct server_pool {
	struct blackboard *board;
	struct address address;
	char host[ADDRESS_TEXT_SIZE];
	struct server_conn *conns;
	uint32_t n_conns;
	uint32_t max;
	struct event *reaper;
	struct connect_probe probe;
	struct server_conn *probe_place;
	connect_probe_cb probe_done;
	void *probe_arg;
};

void server_pool_init(struct server_pool *pool, struct blackboard *board,
		      const struct address *address, uint32_t max);

/**
 * server_pool_finish() - close all connections; callbacks of requests in
 * progress are not called
 * @pool: the pool
 */
void server_pool_finish(struct server_pool *pool);
void server_pool_set_max(struct server_pool *pool, uint32_t max);

/**
 * server_pool_get() - send a GET request on an idle connection
 * @pool: the pool
 * @path: URL path
 * @etag: for If-None-Match, may be NULL
 * @done: called with the reply
 * @arg: passed to the callback
 *
 * Return: 0, and @done is called, but not during this call; or ERR_NO_SLOT if
 * no connection is free, ERR_CONNECT if none can be made.
 */
int server_pool_get(struct server_pool *pool, const char *path,
		    const char *etag, server_reply_cb done, void *arg);

/**
 * server_pool_post() - POST a protocol buffer on an idle connection
 * @pool: the pool
 * @path: URL path
 * @message: to send
 * @done: called with the reply
 * @arg: passed to the callback
 * @handle: set on success, for server_pool_abandon(); may be NULL
 *
 * Return: as server_pool_get(); if not 0, no byte was sent.
 */
int server_pool_post(struct server_pool *pool, const char *path,
		     const ProtobufCMessage *message, server_reply_cb done,
		     void *arg, void **handle);

/**
 * server_pool_is_connected() - whether any connection is open
 * @pool: the pool
 */
bool server_pool_is_connected(const struct server_pool *pool);

/**
 * server_pool_probe() - see whether the server accepts a connection
 * @pool: the pool; no probe is running
 * @done: called with what was met, see connect_probe_start()
 * @arg: passed to @done
 *
 * The connection counts towards the share until it is closed, before @done.
 *
 * Return: 0, and @done is called, but not during this call; or ERR_NO_SLOT if
 * no connection is free, ERR_SYSTEM if none can be made.
 */
int server_pool_probe(struct server_pool *pool, connect_probe_cb done,
		      void *arg);

/**
 * server_pool_end_probe() - end a probe, if one runs, without calling back
 * @pool: the pool
 */
void server_pool_end_probe(struct server_pool *pool);

/**
 * server_pool_abandon() - abandon a request in progress
 * @pool: the pool
 * @handle: of the request, from server_pool_post()
 * @request_id: to cancel at the server; NULL to let the server finish it
 *
 * The cancellation is sent on another connection; the server's answer,
 * cancelled or not, ends the request as usual and frees the connection. A
 * connection that gets no answer is closed.
 */
void server_pool_abandon(struct server_pool *pool, void *handle,
			 const char *request_id);

/**
 * server_pool_close_stalled() - close the stalled connection of a request
 * @pool: the pool
 * @handle: of the request, from server_pool_post()
 *
 * The request ends with ERR_SILENT during the call. Idle connections without an
 * answer since the request was started are closed too: they may be dead for the
 * same reason, for example lost connection state on the path.
 */
void server_pool_close_stalled(struct server_pool *pool, void *handle);

#endif
