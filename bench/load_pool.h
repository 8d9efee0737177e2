/* Persistent HTTP connections, pooled by target address. */
#ifndef BENCH_LOAD_POOL_H
#define BENCH_LOAD_POOL_H

#include <stdbool.h>
#include <stdint.h>

#include <event2/http.h>
#include <uthash.h>

#include "address.h"
#include "str.h"

struct event_base;

/**
 * enum load_result - result of an exchange
 * @LOAD_RESULT_REPLY: a complete HTTP response was received
 * @LOAD_RESULT_CONNECT_FAILED: not connected, so nothing was sent
 * @LOAD_RESULT_DISCONNECTED: closed before the response was complete
 * @LOAD_RESULT_TIMEOUT: no data was received for the timeout
 */
enum load_result {
	LOAD_RESULT_REPLY,
	LOAD_RESULT_CONNECT_FAILED,
	LOAD_RESULT_DISCONNECTED,
	LOAD_RESULT_TIMEOUT,
};

/**
 * struct load_reply - result of an exchange, valid during the callback
 * @result: how the exchange ended
 * @status: HTTP status, 0 without a response
 * @reused: the previous exchange on this connection got a response
 * @body: "" without a response
 */
struct load_reply {
	enum load_result result;
	int status;
	bool reused;
	struct str body;
};

typedef void (*load_done_fn)(void *arg, const struct load_reply *reply);

/**
 * struct load_message - a request to send
 * @method: HTTP method
 * @path: path and query; must outlive the exchange
 * @type: content type or NULL; must outlive the exchange
 * @body: copied
 */
struct load_message {
	enum evhttp_cmd_type method;
	const char *path;
	const char *type;
	struct str body;
};

/**
 * struct load_target_counts - statistics of one target, for the summary
 * @sent: exchanges started
 * @answers: complete responses
 * @connect_failures: exchanges whose connection failed
 * @cut_off: connections closed before the response was complete
 * @cut_off_reused: those among them that were reused
 * @silent: timeouts
 */
struct load_target_counts {
	uint64_t sent;
	uint64_t answers;
	uint64_t connect_failures;
	uint64_t cut_off;
	uint64_t cut_off_reused;
	uint64_t silent;
};

/**
 * struct load_target - one address and its connections
 * @name: the address as text, key in the pool
 * @address: the address
 * @pool: that owns the target
 * @idle: connections without an exchange
 * @busy: connections with an exchange in flight
 * @queue: exchanges that wait for a connection
 * @n_conns: connections in @idle and @busy
 * @counts: statistics
 * @hh: in @targets of the pool
 */
struct load_target {
	char name[ADDRESS_TEXT_SIZE];
	struct address address;
	struct load_pool *pool;
	struct load_conn *idle;
	struct load_conn *busy;
	struct load_exchange *queue;
	int n_conns;
	struct load_target_counts counts;
	UT_hash_handle hh;
};

/**
 * struct load_pool - all targets
 * @base: event loop, borrowed
 * @targets: by name
 * @max_conns: maximum connections per target; further exchanges are queued
 * @timeout_ms: inactivity after which an exchange fails, milliseconds
 */
struct load_pool {
	struct event_base *base;
	struct load_target *targets;
	int max_conns;
	int timeout_ms;
};

void load_pool_init(struct load_pool *pool, struct event_base *base,
		    int max_conns, int timeout_ms);

/**
 * load_pool_finish() - close all connections and drop all exchanges
 * @pool: all its targets are released
 *
 * The callbacks of exchanges in flight are not called.
 */
void load_pool_finish(struct load_pool *pool);

/**
 * load_pool_target() - find the target of an address, or create it
 * @pool: all targets
 * @name: "IP:PORT"
 *
 * Return: the target, owned by the pool, or NULL if @name is not an address.
 */
struct load_target *load_pool_target(struct load_pool *pool, const char *name);

/**
 * load_pool_send() - start an exchange, or queue it for a connection
 * @target: where to send it
 * @message: copied, except for its path and type
 * @done: called once; before this function returns if no socket can be opened
 * @arg: passed to @done
 */
void load_pool_send(struct load_target *target,
		    const struct load_message *message, load_done_fn done,
		    void *arg);

#endif
