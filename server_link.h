/*
 * What a home knows of one backend server and how it talks to it: connections,
 * the holdings that it polls, and the state that it reports to entries.
 */
#ifndef SERVER_LINK_H
#define SERVER_LINK_H

#include "backend.pb-c.h"
#include "catalog.h"
#include "home.h"
#include "lost_jobs.h"
#include "peer.h"
#include "server_pool.h"

#define SERVER_LINK_ETAG_SIZE 40

/**
 * struct server_link - connections and holdings of one backend server
 * @board: borrowed
 * @peers: borrowed
 * @server: the server, owned by struct home
 * @pool: connections
 * @holdings: last received, owned; NULL before
 * @digests: of the maps of @holdings
 * @etag: of @holdings
 * @requested_at: when @holdings were last requested, microseconds
 * @failures: consecutive failed requests for holdings
 * @row: in the table in force; -1 if it was removed
 * @request_pending: a request for holdings is running
 * @reachable: it answers requests for holdings: false at the start and after
 *	several failures in a row
 * @lost: jobs whose connections broke
 */
struct server_link {
	struct blackboard *board;
	struct peers *peers;
	struct home_server *server;
	struct server_pool pool;
	Backend__Holdings *holdings;
	uint64_t digests[CATALOG_VERSIONS_MAX];
	char etag[SERVER_LINK_ETAG_SIZE];
	int64_t requested_at;
	int failures;
	int row;
	bool request_pending;
	bool reachable;
	struct lost_jobs lost;
};

/**
 * server_link_init() - set up without connections
 * @link: to be finished with server_link_finish()
 * @home: outlives @link
 * @server: of @home, outlives @link; its address is set
 * @peers: outlives @link
 * @connections: share of the server's connections
 */
void server_link_init(struct server_link *link, struct home *home,
		      struct home_server *server, struct peers *peers,
		      uint32_t connections);

/**
 * server_link_finish() - close all connections; no job may be running
 */
void server_link_finish(struct server_link *link);

/**
 * server_link_send_state() - report the server's state to one entry
 */
void server_link_send_state(struct server_link *link, struct peer_link *to);

/**
 * server_link_push_state() - report the server's state to all entries
 */
void server_link_push_state(struct server_link *link);

/**
 * server_link_request_holdings() - poll the holdings, unless that is under way
 * or the server may not be used
 */
void server_link_request_holdings(struct server_link *link);

/**
 * server_link_follow_version_switch() - poll the holdings if another server of
 * the service has just reported a new version
 */
void server_link_follow_version_switch(struct server_link *link);

#endif
