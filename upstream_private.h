/* Shared by the files that handle connections to backend servers. */
#ifndef UPSTREAM_PRIVATE_H
#define UPSTREAM_PRIVATE_H

#include "upstream.h"

struct bufferevent;

enum conn_state {
	CONN_CONNECTING,
	CONN_BUSY,
	CONN_IDLE,
};

struct upstream_conn {
	struct upstream *upstream;
	struct registry_server *server;
	struct bufferevent *bev;
	struct event *timer;
	struct http_message message;
	enum conn_state state;
	struct exchange *exchange;
	upstream_check_cb check;
	void *check_arg;
	int64_t idle_since;
	int64_t idle_for;
	bool foreign;
	struct upstream_conn *prev; /* of the server */
	struct upstream_conn *next;
	struct upstream_conn *prev_open; /* of all */
	struct upstream_conn *next_open;
};

/**
 * struct exchange - one request on one connection
 * @written: bytes were handed to the socket
 * @abandoned: nobody waits for the answer
 * @counted: among the sends to a cold server
 */
struct exchange {
	struct upstream_conn *conn;
	struct evbuffer *out; /* head and body, until they are written */
	size_t head_len;
	char *id;
	size_t id_len;
	bool is_head;
	bool written;
	bool abandoned;
	bool counted;
	int64_t sent_at;
	int64_t deadline;
	exchange_cb cb;
	void *arg;
};

/**
 * upstream_may_send() - whether a server may get one more request now
 *
 * Return: 0; or ERR_DRAINING, ERR_COLD: it gets none.
 */
int upstream_may_send(const struct upstream *upstream,
		      struct registry_server *server);

/**
 * upstream_may_open() - whether it may have one more connection
 * @connections_max: of the server's service
 */
bool upstream_may_open(const struct upstream *upstream,
		       struct registry_server *server, int64_t connections_max);

/**
 * upstream_find_idle() - the connection used last, so that those not needed run
 * into their time-out
 * @fresh: not one that the server may just be closing
 *
 * Return: NULL if there is none.
 */
struct upstream_conn *upstream_find_idle(const struct upstream *upstream,
					 const struct registry_server *server,
					 bool fresh);

/**
 * upstream_header() - a header of the message that was read
 *
 * Return: empty if there is none.
 */
struct str upstream_header(const struct upstream_conn *conn, struct str name);

/**
 * upstream_is_other_answer() - the message answers another request than the one
 * that waits
 */
bool upstream_is_other_answer(const struct upstream_conn *conn);

/**
 * upstream_idle_limit() - how long the connection may be idle, as the server
 * says ("timeout=5, max=100": seconds)
 *
 * Return: microseconds.
 */
int64_t upstream_idle_limit(const struct upstream_conn *conn);

/**
 * upstream_read_answer() - fill in what a whole answer says of the request, and
 * take over what it says of the server
 */
void upstream_read_answer(struct upstream_conn *conn,
			  struct exchange_result *result);

#endif
