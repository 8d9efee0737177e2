/* Shared by the files of the upstream module. */
#ifndef UPSTREAM_PRIVATE_H
#define UPSTREAM_PRIVATE_H

#include "upstream.h"

struct bufferevent;

enum conn_state {
	CONN_CONNECTING,
	CONN_BUSY,
	CONN_IDLE,
};

/**
 * struct upstream_conn - a connection to a server
 * @server: holds a reference
 * @timer: of the connection attempt, the exchange or the idle time
 * @message: answer being read
 * @exchange: in progress, owned, or NULL
 * @is_check: opened by upstream_check(), and not connected yet
 * @check: callback of upstream_check(), or NULL
 * @ask: ask for the server's health once it is connected
 * @quiet: that the server does not answer when asked tells nothing
 * @asked_at: when it was asked, microseconds; 0: no such answer is awaited
 * @idle_since: when it became idle, microseconds
 * @idle_for: how long it may stay idle, microseconds
 * @n_skipped: messages before the awaited one that were no answer to it
 * @foreign: it received an answer to another request, so it is not reused
 */
struct upstream_conn {
	struct upstream *upstream;
	struct registry_server *server;
	struct bufferevent *bev;
	struct event *timer;
	struct http_message message;
	enum conn_state state;
	struct exchange *exchange;
	bool is_check;
	upstream_check_cb check;
	void *check_arg;
	bool ask;
	bool quiet;
	int64_t asked_at;
	int64_t idle_since;
	int64_t idle_for;
	int n_skipped;
	bool foreign;
	struct upstream_conn *prev; /* in registry_server.conns */
	struct upstream_conn *next;
	struct upstream_conn *prev_open; /* in upstream.conns */
	struct upstream_conn *next_open;
};

/**
 * struct exchange - one request on one connection
 * @out: head and body, until they are written
 * @memory: counts @copied bytes of it; may be NULL
 * @id: request id, owned
 * @is_head: the method is HEAD, so that the answer has no body
 * @records_max: as of struct upstream_request
 * @written: bytes were passed to the socket
 * @abandoned: @cb is not called
 * @delivery: of an abandoned exchange: told how it ends; or NULL
 * @counted_cold: it was counted as a send to a cold server
 * @sent_at: time of upstream_send(), microseconds
 * @deadline: microseconds
 * @ended: see exchange_on_end(), may be NULL
 */
struct exchange {
	struct upstream_conn *conn;
	struct evbuffer *out;
	size_t head_len;
	struct http_memory *memory;
	size_t copied;
	char *id;
	size_t id_len;
	bool is_head;
	int records_max;
	bool written;
	bool abandoned;
	struct delivery *delivery;
	bool counted_cold;
	int64_t sent_at;
	int64_t deadline;
	exchange_cb cb;
	void *arg;
	exchange_cb ended;
	void *ended_arg;
};

void upstream_conn_free(struct upstream_conn *conn);
void upstream_conn_set_timer(struct upstream_conn *conn, int64_t usec);

/**
 * upstream_conn_end_exchange() - report the result of the exchange, if there is
 * one, and free it
 * @result: @took is set
 */
void upstream_conn_end_exchange(struct upstream_conn *conn,
				struct exchange_result *result);

/**
 * upstream_conn_fail() - end the exchange with an error, and the connection
 */
void upstream_conn_fail(struct upstream_conn *conn, int code);

/**
 * upstream_conn_keep_or_close() - make the connection idle after a message, or
 * close it
 */
void upstream_conn_keep_or_close(struct upstream_conn *conn);

/**
 * upstream_conn_expect_answer() - prepare to read the answer of the exchange
 */
void upstream_conn_expect_answer(struct upstream_conn *conn);

/**
 * upstream_conn_ask_for_health() - ask the connection's server for its health
 */
void upstream_conn_ask_for_health(struct upstream_conn *conn);

/**
 * upstream_conn_end_asked() - the server did not answer when asked for its
 * health, or with what is no answer: close the connection
 */
void upstream_conn_end_asked(struct upstream_conn *conn);

/**
 * upstream_conn_handle_message() - handle a complete message
 *
 * Return: 0 if the answer is still to come; 1 if the exchange has ended, and
 * the connection may be freed; or an error.
 */
int upstream_conn_handle_message(struct upstream_conn *conn);

/**
 * upstream_conn_read() - handle received bytes; the connection may be freed
 */
void upstream_conn_read(struct upstream_conn *conn);

/**
 * upstream_notify_broken() - tell the observer that a connection broke
 */
void upstream_notify_broken(struct upstream *upstream,
			    struct registry_server *server);

/**
 * upstream_notify_released() - tell the owner that a connection became idle or
 * was closed
 * @server: a reference to it is consumed
 */
void upstream_notify_released(struct upstream *upstream,
			      struct registry_server *server);

/**
 * upstream_may_send() - whether a server may get another request now
 *
 * A send to a cold server is counted against its limit.
 *
 * Return: 0; or ERR_DRAINING or ERR_COLD if not.
 */
int upstream_may_send(const struct upstream *upstream,
		      struct registry_server *server);

/**
 * upstream_may_open() - whether another connection to a server may be opened
 * @connections_max: limit of the server's service
 */
bool upstream_may_open(const struct upstream *upstream,
		       struct registry_server *server, int64_t connections_max);

/**
 * upstream_find_idle() - find a server's most recently used idle connection
 * @recent_only: only one idle so briefly that the server is not closing it
 *
 * Connections that are not needed are left to reach their idle time-out.
 *
 * Return: NULL if there is none.
 */
struct upstream_conn *upstream_find_idle(const struct upstream *upstream,
					 const struct registry_server *server,
					 bool recent_only);

/**
 * upstream_header() - value of a header in the message that was read
 *
 * Return: borrowed from the message; empty if there is none.
 */
struct str upstream_header(const struct upstream_conn *conn, struct str name);

/**
 * upstream_is_other_answer() - whether the message answers another request than
 * the connection's current one
 */
bool upstream_is_other_answer(const struct upstream_conn *conn);

/**
 * upstream_idle_limit() - how long the connection may stay idle
 *
 * Follows the server's Keep-Alive header, such as "timeout=5, max=100" with the
 * time in seconds.
 *
 * Return: microseconds.
 */
int64_t upstream_idle_limit(const struct upstream_conn *conn);

/**
 * upstream_read_answer() - fill in the result from a complete answer, and
 * update the server's load and cold state
 */
void upstream_read_answer(struct upstream_conn *conn,
			  struct exchange_result *result);

#endif
