/*
 * HTTP client connections to backend servers, each with one exchange of request
 * and answer at a time. The result of each exchange tells whether the request
 * certainly did not run.
 */
#ifndef UPSTREAM_H
#define UPSTREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "crash_check.h"
#include "http_message.h"
#include "poison.h"
#include "registry.h"
#include "shared_body.h"
#include "str.h"

struct event;
struct event_base;
struct evbuffer;
struct exchange;
struct upstream;
struct upstream_conn;

/**
 * struct upstream_header_names - headers exchanged with backend servers
 * @request_id: id of the caller's request, echoed in the answer
 * @deadline: remaining time, milliseconds
 * @server_id: id of the intended server; any other refuses the request
 * @stamp: the server's signature of an answer
 * @not_run: the server certainly did not run the request
 * @load: see struct server_load
 * @cold: remaining time that the server is cold, milliseconds
 * @instance_id: id of the server that tells of its health
 */
struct upstream_header_names {
	struct str request_id;
	struct str deadline;
	struct str server_id;
	struct str stamp;
	struct str not_run;
	struct str load;
	struct str cold;
	struct str instance_id;
};

/**
 * struct upstream_request - a request as sent to any server, borrowed
 * @head: request line and header lines with their CRLFs, without the deadline,
 *	the server id and the empty line at the end
 * @body: complete body
 * @shared: owner of @body, which sends hold; NULL: each send copies @body
 * @memory: counts what sends copy; may be NULL
 * @id: request id
 * @fingerprint: identifies requests that crash servers
 * @trial: of a suspect
 * @is_head: the method is HEAD, so that the answer has no body
 * @records_max: only so many of the greatest records of the answer are needed;
 *	0: all of its body
 * @needs_recent_conn: reuse only connections that were idle so briefly that
 *	the server is not closing them
 */
struct upstream_request {
	struct str head;
	struct str body;
	struct shared_body *shared;
	struct http_memory *memory;
	struct str id;
	uint64_t fingerprint;
	enum poison_trial trial;
	bool is_head;
	int records_max;
	bool needs_recent_conn;
};

/**
 * struct exchange_result - result of an exchange
 * @code: 0: a complete answer to this request; ERR_SHED: the server reports
 *	that it did not run it; ERR_FOREIGN: another server is at the address,
 *	not run; ERR_CONNECT, ERR_BUDGET, ERR_DRAINING, ERR_COLD, ERR_TOO_LATE:
 *	not sent; ERR_LOST, ERR_PROTOCOL, ERR_SILENT: it may have run
 * @not_run: the server certainly did not run the request
 * @message: with code 0 and ERR_SHED: the answer, borrowed for the call; its
 *	body may be taken
 * @stamp: signature of the answer, empty if there is none
 * @took: time since it was sent, microseconds
 * @waited: time in this instance's queue before that, microseconds
 */
struct exchange_result {
	int code;
	bool not_run;
	struct http_message *message;
	struct str stamp;
	int64_t took;
	int64_t waited;
};

typedef void (*exchange_cb)(void *arg, const struct exchange_result *result);

/**
 * struct upstream_observer - told what connections show of the servers
 * @answered: a server answered what was sent at @sent_at, microseconds
 * @connected: an attempt to connect ended
 * @broke: the server closed or reset an open connection, or did not answer when
 *	asked for its health
 * @replaced: another server answers at its address
 */
struct upstream_observer {
	void (*answered)(void *arg, struct registry_server *server,
			 int64_t sent_at);
	void (*connected)(void *arg, struct registry_server *server,
			  enum crash_evidence evidence);
	void (*broke)(void *arg, struct registry_server *server);
	void (*replaced)(void *arg, struct registry_server *server);
};

/**
 * struct upstream_limits - limits of connections
 * @share_local: share of the connections of a server in the own data centre
 *	that this instance may open; 0 to 1
 * @share_remote: the same for servers in other data centres
 * @connect_timeout: microseconds
 * @warmup: limits sends to cold servers; NULL: no limit
 */
struct upstream_limits {
	double share_local;
	double share_remote;
	int64_t connect_timeout;
	const struct warmup *warmup;
};

/**
 * struct upstream - all connections to backend servers
 * @limits: set by the owner after upstream_init()
 * @answer_limits: of one answer
 * @memory: of all answers that are being read; the longest one is given up if
 *	they exceed its limit
 * @conns: open connections
 * @on_released: a connection to a server became idle or was closed; may be
 *	NULL, set by the owner
 * @observer: may be NULL, set by the owner
 * @observer_arg: first argument of its callbacks
 * @opened: number of connections opened
 * @foreign: number of dropped answers to other requests
 * @silent: number of time-outs while connecting or waiting for an answer
 * @given_up: number of answers that were given up for want of memory
 * @bad_loads: number of malformed load headers
 */
struct upstream {
	struct event_base *base;
	const struct clock *clock;
	const struct upstream_header_names *names;
	struct upstream_limits limits;
	struct http_limits answer_limits;
	struct http_memory memory;
	struct upstream_conn *conns;
	void (*on_released)(void *arg, struct registry_server *server);
	void *on_released_arg;
	const struct upstream_observer *observer;
	void *observer_arg;
	uint64_t opened;
	uint64_t foreign;
	uint64_t silent;
	uint64_t given_up;
	uint64_t bad_loads;
};

void upstream_init(struct upstream *upstream, struct event_base *base,
		   const struct clock *clock,
		   const struct upstream_header_names *names);

/**
 * upstream_finish() - close all connections, without calling the callbacks of
 * requests
 */
void upstream_finish(struct upstream *upstream);

/**
 * upstream_send() - send a request
 * @deadline: microseconds; the server receives the remaining time
 * @connections_max: limit of the server's service
 * @cb: called once, after this function has returned, unless abandoned
 * @out: set to the exchange, valid until @cb is called or it is abandoned
 *
 * A send either fails, and nothing is called back, or succeeds, and all
 * callbacks, the observer's and on_released included, come from the event loop.
 * So nothing of the caller's is freed within its own call.
 *
 * Return: 0; ERR_TOO_LATE if the deadline has passed; ERR_BUDGET if all
 * connections to the server are in use; ERR_DRAINING if it accepts no new
 * requests; ERR_COLD if it is cold and may not get another request now;
 * ERR_CONNECT if the connection was refused at once.
 */
int upstream_send(struct upstream *upstream, struct registry_server *server,
		  const struct upstream_request *request, int64_t deadline,
		  int64_t connections_max, exchange_cb cb, void *arg,
		  struct exchange **out);

/**
 * exchange_on_end() - be told of the end of an exchange, abandoned or not
 * @ended: called once, before the callback of upstream_send(); with
 *	ERR_CANCELLED from upstream_finish()
 */
void exchange_on_end(struct exchange *exchange, exchange_cb ended, void *arg);

/**
 * exchange_abandon() - drop the callback of an exchange
 * @linger: time until the connection is closed without an answer, microseconds
 * @delivery: told how the send ends; may be NULL
 *
 * Only closing the connection cancels the request, and the next one then needs
 * a new connection, so a request that ends soon is left to complete.
 */
void exchange_abandon(struct exchange *exchange, int64_t linger,
		      struct delivery *delivery);

/**
 * upstream_ask() - ask a server for its health on a new connection
 *
 * Its answer shows that it has received what was sent to it before. Its silence
 * shows nothing: nobody is told of it.
 *
 * Return: 0; or ERR_CONNECT; or ERR_NO_REPLICA if it can't be asked.
 */
int upstream_ask(struct upstream *upstream, struct registry_server *server);

/**
 * exchange_set_timeout() - end an exchange early if no answer comes
 * @timeout: as @linger of exchange_abandon(), microseconds
 *
 * Unlike with exchange_abandon(), the callback is still called.
 */
void exchange_set_timeout(struct exchange *exchange, int64_t timeout);

/**
 * upstream_in_flight() - number of exchanges with a server in flight
 *
 * Includes abandoned ones, until the server has answered much later requests.
 */
int upstream_in_flight(const struct registry_server *server);

typedef void (*upstream_check_cb)(void *arg, enum crash_evidence evidence);

/**
 * upstream_check() - check whether a server accepts connections
 * @ask: ask it for its health, too, if its service tells where; the observer is
 *	told of the answer, or that the connection broke without one
 * @cb: called once, after this function has returned, with what the connection
 *	met; NULL: only the observer is told
 *
 * If it does, the connection is kept for the next request.
 *
 * Return: 0; or ERR_CONNECT if none can be opened here, for want of
 * descriptors, ports or a route, with @cb not called.
 */
int upstream_check(struct upstream *upstream, struct registry_server *server,
		   bool ask, upstream_check_cb cb, void *arg);

/**
 * upstream_close_idle() - close a server's idle connections
 */
void upstream_close_idle(struct registry_server *server);

#endif
