/*
 * Connections to backend servers, and one request and answer over one of them.
 * Says of each request whether it surely did not run.
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "http_message.h"
#include "registry.h"
#include "str.h"

struct event;
struct event_base;
struct evbuffer;
struct exchange;
struct upstream;
struct upstream_conn;

/**
 * struct upstream_header_names - headers that backend servers understand
 * @request_id: of the caller's request; they echo it
 * @deadline: milliseconds that are left
 * @server_id: which server is meant; any other refuses
 * @stamp: the server's signature of an answer
 * @not_run: the server surely did not run the request
 * @load: see struct server_load
 * @cold: for how long the server is cold yet, milliseconds
 */
struct upstream_header_names {
	struct str request_id;
	struct str deadline;
	struct str server_id;
	struct str stamp;
	struct str not_run;
	struct str load;
	struct str cold;
};

/**
 * struct upstream_request - what is sent, the same to each server
 * @head: request line and headers as bytes, each line with its CRLF, without
 *	the empty line, the deadline and the server's id
 * @id: of the request
 * @is_head: the method is HEAD, so that the answer has no body
 * @fresh: do not use a connection that may just be closed by the server
 * @fingerprint: for requests that crash servers
 */
struct upstream_request {
	struct str head;
	struct str body;
	struct str id;
	uint64_t fingerprint;
	bool is_head;
	bool fresh;
};

/**
 * struct exchange_result - how it ended
 * @code: 0: a whole answer to this request; ERR_SHED: the server says that it
 *	did not run it; ERR_FOREIGN: another server is at the address, not run;
 *	ERR_CONNECT, ERR_BUDGET, ERR_DRAINING, ERR_COLD: not sent; ERR_LOST,
 *	ERR_PROTOCOL, ERR_SILENT: it may have run
 * @not_run: it surely did not run
 * @message: with code 0 and ERR_SHED: the answer, borrowed for the call
 * @stamp: of the answer, empty if there is none
 * @took: microseconds since it was sent
 * @waited: microseconds that it waited here before that, for its turn
 */
struct exchange_result {
	int code;
	bool not_run;
	const struct http_message *message;
	struct str stamp;
	int64_t took;
	int64_t waited;
};

typedef void (*exchange_cb)(void *arg, const struct exchange_result *result);

/**
 * struct upstream_limits - how connections are used
 * @share_local: of the connections a server of the own data centre accepts,
 *those of this instance; 0 to 1
 * @share_remote: the same for servers elsewhere
 * @connect_timeout: microseconds
 * @warmup: bounds sends to servers that are cold; NULL: nothing does
 */
struct upstream_limits {
	double share_local;
	double share_remote;
	int64_t connect_timeout;
	const struct warmup *warmup;
};

/**
 * struct upstream - all connections to backend servers
 * @conns: open connections
 * @freed: a request to a server ended, and its connection can be used or is
 *	closed; may be NULL, set by the owner
 * @opened: connections opened
 * @foreign: answers to other requests that were dropped
 * @bad_loads: what servers said of their load and could not be read
 */
struct upstream {
	struct event_base *base;
	const struct clock *clock;
	const struct upstream_header_names *names;
	struct upstream_limits limits;
	struct http_limits answer_limits;
	struct upstream_conn *conns;
	void (*freed)(void *arg, struct registry_server *server);
	void *freed_arg;
	uint64_t opened;
	uint64_t foreign;
	uint64_t silent;
	uint64_t bad_loads;
};

void upstream_init(struct upstream *upstream, struct event_base *base,
		   const struct clock *clock,
		   const struct upstream_header_names *names);

/**
 * upstream_finish() - close all connections; callbacks of requests are not
 * called
 */
void upstream_finish(struct upstream *upstream);

/**
 * upstream_send() - send a request
 * @deadline: the server is told what is left until then, microseconds
 * @connections_max: of the server's service
 * @cb: called once, never before this function returns, unless abandoned
 * @out: valid until @cb is called or it is abandoned
 *
 * Return: 0; ERR_BUDGET if all connections to the server are in use;
 * ERR_DRAINING if it gets no new requests; ERR_COLD if it is cold and this one
 * is too many.
 */
int upstream_send(struct upstream *upstream, struct registry_server *server,
		  const struct upstream_request *request, int64_t deadline,
		  int64_t connections_max, exchange_cb cb, void *arg,
		  struct exchange **out);

/**
 * exchange_abandon() - the answer is not needed any more
 * @linger: how long it may still come before the connection is closed,
 *	microseconds
 *
 * Closing the connection is the only way to cancel and costs the next request
 * a new one, so a request that will soon be over is left to end.
 */
void exchange_abandon(struct exchange *exchange, int64_t linger);

/**
 * exchange_set_timeout() - as exchange_abandon(), but its end is still reported
 */
void exchange_set_timeout(struct exchange *exchange, int64_t linger);

/**
 * upstream_in_flight() - requests that a server was sent and has not ended
 *
 * One that nobody waits for counts while it may run: not once the server has
 * answered much later ones.
 */
int upstream_in_flight(const struct registry_server *server);

typedef void (*upstream_check_cb)(void *arg, bool listens);

/**
 * upstream_check() - whether anybody listens at a server's address
 * @cb: called once, never before this function returns
 *
 * If so, the connection is kept for the next request.
 *
 * Return: 0; or ERR_CONNECT if the connection was refused at once, with @cb
 * not called.
 */
int upstream_check(struct upstream *upstream, struct registry_server *server,
		   upstream_check_cb cb, void *arg);

/**
 * upstream_close_idle() - close a server's idle connections
 */
void upstream_close_idle(struct registry_server *server);

#endif
