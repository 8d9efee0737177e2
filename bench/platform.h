/* Shared by the public routes of the platform stand-in and its /control. */
#ifndef BENCH_PLATFORM_H
#define BENCH_PLATFORM_H

#include <stdbool.h>
#include <stdint.h>

#include <uthash.h>

#include "clock.h"
#include "common.h"
#include "store.h"

struct call;
struct pending_list;

#define PLATFORM_STATUS_MAX 600
#define PLATFORM_HTTP_TOO_LARGE 413

/* Answers of a key by status; the key "" is for keys that do not exist. */
struct platform_counter {
	char key[STORE_KEY_SIZE];
	uint64_t by_status[PLATFORM_STATUS_MAX];
	UT_hash_handle hh;
};

/**
 * struct platform_options - command line options
 * @port: port on loopback, 0 for an ephemeral port
 * @rate: calls a second over all readers
 * @burst: calls that may come at once
 * @part_bytes: maximum bytes of a value when a table is published
 * @list_lag_ms: delay until an instance list is published
 * @latency_ms: delay of each answer
 */
struct platform_options {
	int port;
	double rate;
	double burst;
	int64_t part_bytes;
	int64_t list_lag_ms;
	int64_t latency_ms;
};

/**
 * struct platform_state - injected faults
 * @down: every call is answered with 503
 * @stale_revision: answers are frozen at this revision, or STORE_NEWEST
 * @old_revision: older revision that is served, or STORE_NEWEST
 * @alternating: two revisions seen by calls in turn, or STORE_NEWEST in both
 * @n_alternating_calls: calls received while @alternating is set
 */
struct platform_state {
	bool down;
	uint64_t stale_revision;
	uint64_t old_revision;
	uint64_t alternating[2];
	uint64_t n_alternating_calls;
};

/**
 * struct platform - the stand-in
 * @server: HTTP server
 * @clock: monotonic clock
 * @options: command line options
 * @state: injected faults
 * @store: published values
 * @counters: answers by key
 * @calls: unanswered calls
 * @pending_lists: instance lists to be published after their lag
 * @last_list_number: sequence number of the latest list received
 * @last_published_number: sequence number of the latest list published
 * @tokens: tokens in the rate limiter's bucket
 * @refilled_at: time of its last refill, monotonic microseconds
 * @n_calls: calls received
 * @n_waiting: calls that wait for a change
 */
struct platform {
	struct common_server server;
	struct clock clock;
	struct platform_options options;
	struct platform_state state;
	struct store store;
	struct platform_counter *counters;
	struct call *calls;
	struct pending_list *pending_lists;
	uint64_t last_list_number;
	uint64_t last_published_number;
	double tokens;
	int64_t refilled_at;
	uint64_t n_calls;
	int n_waiting;
};

/**
 * platform_answer_waiting() - answer the waiting calls whose value has changed
 * @platform: the stand-in
 */
void platform_answer_waiting(struct platform *platform);

/**
 * platform_control_init() - set the routes below /control
 * @platform: the stand-in
 */
void platform_control_init(struct platform *platform);

/**
 * platform_control_finish() - free the pending instance lists
 * @platform: the stand-in
 */
void platform_control_finish(struct platform *platform);

/**
 * platform_control_value() - answer PUT /control/values/KEY
 * @platform: the stand-in
 * @req: the request; its body is the value
 * @key: KEY
 */
void platform_control_value(struct platform *platform,
			    struct evhttp_request *req, const char *key);

#endif
