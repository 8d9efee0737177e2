/*
 * A backend server stand-in: implements the backend part of docs/PROTOCOL.md
 * with limits, simulated service times and injected faults. One process hosts
 * many.
 */
#ifndef BACKEND_SERVER_H
#define BACKEND_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <event2/event.h>
#include <event2/event_struct.h>
#include <evhtp/evhtp.h>
#include <uthash.h>

#include "backend_records.h"
#include "clock.h"

/* Versions that a server can hold at a time. */
#define SERVER_VERSIONS_MAX 8

enum service_dist {
	DIST_SHIFTED, /* service_us + exponential, mean service_random_us */
	DIST_FIXED,   /* always service_us */
	DIST_EXP,     /* exponential, mean service_us */
};

/**
 * struct server_config - an entry of servers.json
 * @server: name of the server
 * @service: name of its service
 * @data: path of the data file, relative to servers.json
 * @data_centre: name of its data centre
 * @port: port to listen on, 0 for an ephemeral port
 * @index: index among the servers of the service
 * @servers: number of servers in the service
 * @replicas: number of replicas of each shard
 * @shards: number of shards in the first version
 * @slots: requests that may run at a time
 * @queue: requests that may wait for a slot
 * @connections: maximum number of open connections
 * @connect_cost_us: time to set up a new connection; set-ups are serialised
 * @service_us: service time, see @service_dist
 * @service_random_us: mean of the exponential part of the service time
 * @service_dist: enum service_dist
 * @cold_ms: how long the server is cold after a start or restart
 * @cold_requests: requests for which it is cold after a start or restart
 * @cold_factor: multiplier of the service time while cold
 * @health_lag_ms: maximum age of the load in the health answer
 */
struct server_config {
	char *server;
	char *service;
	char *data;
	char *data_centre;
	int64_t port;
	int64_t index;
	int64_t servers;
	int64_t replicas;
	int64_t shards;
	int64_t slots;
	int64_t queue;
	int64_t connections;
	int64_t connect_cost_us;
	int64_t service_us;
	int64_t service_random_us;
	int service_dist;
	int64_t cold_ms;
	int64_t cold_requests;
	double cold_factor;
	int64_t health_lag_ms;
};

enum request_kind {
	KIND_HOLDINGS,
	KIND_SEARCH,
	KIND_RUN,
	KIND_CANCEL,
	KIND_HEALTH,
	KIND_OTHER,
	KIND_COUNT,
};

extern const char *const request_kind_names[KIND_COUNT];

/**
 * struct faults - injected faults; all zero: none
 * @slow_factor: multiplier of the service time; 0: off
 * @slow_probability: share of requests that are slow
 * @slow_shard_lo: lowest start of a shard whose searches are slow
 * @slow_shard_hi: highest start of such a shard
 * @shed_ratio: share of requests answered with ANSWER_SHED
 * @shed_retry_ms: Retry-After-Ms of these answers
 * @crash_marker: filters and payloads with this text crash the server; owned
 * @restart_ms: milliseconds from a crash to the restart; below 0: never
 * @wrong_version_probability: of an answer with the next version number
 * @wrong_id_probability: of an answer with another request id
 * @truncate_probability: of a truncated search answer
 * @fake_health: /v1/health reports @fake_healthy and @fake_load
 * @fake_healthy: reported health
 * @fake_load: reported load
 */
struct faults {
	double slow_factor;
	double slow_probability;
	uint32_t slow_shard_lo;
	uint32_t slow_shard_hi;
	double shed_ratio;
	int64_t shed_retry_ms;
	char *crash_marker;
	int64_t restart_ms;
	double wrong_version_probability;
	double wrong_id_probability;
	double truncate_probability;
	bool fake_health;
	bool fake_healthy;
	double fake_load;
};

/* Runs per ticket; more than one is a fault of the query tier in front. */
struct ticket_count {
	char *ticket;
	int n;
	UT_hash_handle hh;
};

enum answer_kind {
	ANSWER_DONE,
	ANSWER_NO_CONTENT,
	ANSWER_NOT_MODIFIED,
	ANSWER_BAD_REQUEST,
	ANSWER_NOT_HELD,
	ANSWER_WRONG_VERSION,
	ANSWER_NO_SLOT,
	ANSWER_SHED,
	ANSWER_DRAINING,
	ANSWER_TOO_LATE,
	ANSWER_CANCELLED,
	ANSWER_NONE,
	ANSWER_COUNT,
};

extern const char *const answer_kind_names[ANSWER_COUNT];

/**
 * struct server_counters - counters reported on the control port
 * @received: requests by kind
 * @answers: ended requests by answer
 * @runs: runs that got a slot
 * @shards_asked: shards requested by all searches
 * @opened: accepted connections
 * @refused_connections: connections refused above the maximum
 * @peak_open: highest number of open connections
 * @peak_running: highest number of running requests
 * @peak_queued: highest number of queued requests
 * @crashes: injected crashes
 * @drain_at: start of draining, monotonic microseconds; 0: not draining
 * @received_after_drain: searches and runs received while draining
 * @last_after_drain_us: time from the start of draining to the last of them
 */
struct server_counters {
	int64_t received[KIND_COUNT];
	int64_t answers[ANSWER_COUNT];
	int64_t runs;
	int64_t shards_asked;
	int64_t opened;
	int64_t refused_connections;
	int64_t peak_open;
	int64_t peak_running;
	int64_t peak_queued;
	int64_t crashes;
	int64_t drain_at;
	int64_t received_after_drain;
	int64_t last_after_drain_us;
};

/* A version that the server holds. */
struct held_version {
	const struct snapshot *snapshot;
	int64_t expires_at; /* monotonic microseconds; 0: never */
};

struct work;
struct server;

/**
 * struct conn - an open connection
 * @evhtp: the library's connection
 * @server: server that accepted it
 * @number: number of the connection at its server, from 1
 * @ready_at: end of its set-up, monotonic microseconds
 * @silent: no request is answered any more
 * @work: request being processed, or NULL
 * @close_event: detects that the client closes the connection meanwhile
 * @prev: previous connection of the server
 * @next: next connection of the server
 * @hh: entry in conns_by_evhtp
 */
struct conn {
	evhtp_connection_t *evhtp;
	struct server *server;
	uint64_t number;
	int64_t ready_at;
	bool silent;
	struct work *work;
	struct event close_event;
	struct conn *prev;
	struct conn *next;
	UT_hash_handle hh;
};

/**
 * struct server - a backend server stand-in
 * @config: configuration, owned
 * @base: event loop
 * @clock: monotonic clock
 * @records: data of the service, borrowed
 * @htp: HTTP server
 * @port: bound port; kept for a restart
 * @history: file of the history, or NULL; borrowed
 * @random_state: state of the random number generator
 * @conns: open connections in the order of their arrival
 * @conns_by_evhtp: the same by their evhtp connection
 * @n_conns: number of open connections
 * @last_conn_number: number of the latest connection
 * @setup_done_at: end of the last pending connection set-up
 * @works: unanswered requests in the order of their arrival
 * @running: requests that occupy a slot
 * @queued: requests that wait for a slot
 * @versions: versions held, the newest last
 * @n_versions: length of @versions
 * @packed_holdings: packed answer to /v1/holdings, or NULL if outdated
 * @packed_holdings_len: bytes of @packed_holdings
 * @holdings_etag: ETag of @packed_holdings
 * @packed_holdings_cold: whether @packed_holdings reports the server as cold
 * @draining: new searches and runs are refused
 * @down: crashed and not restarted
 * @paused_until: no work is done before this time; 0: not paused
 * @cold_until: the server is cold before this time
 * @cold_requests_left: requests for which it remains cold
 * @health_at: time at which @health_load was computed
 * @health_load: load reported by /v1/health
 * @faults: injected faults
 * @counters: counters
 * @tickets: runs by ticket
 * @crash_event: crashes the server from the event loop
 * @restart_event: restarts it after a crash
 * @resume_event: ends a pause
 * @expiry_event: drops expired versions
 * @silent_end_event: closes silent connections
 *
 * Times are monotonic microseconds.
 */
struct server {
	struct server_config config;
	struct event_base *base;
	struct clock clock;
	struct records *records;
	evhtp_t *htp;
	uint16_t port;
	FILE *history;
	uint64_t random_state;

	struct conn *conns;
	struct conn *conns_by_evhtp;
	int n_conns;
	uint64_t last_conn_number;
	int64_t setup_done_at;

	struct work *works;
	int running;
	int queued;

	struct held_version versions[SERVER_VERSIONS_MAX];
	int n_versions;
	uint8_t *packed_holdings;
	size_t packed_holdings_len;
	char holdings_etag[24];
	bool packed_holdings_cold;

	bool draining;
	bool down;
	int64_t paused_until;
	int64_t cold_until;
	int64_t cold_requests_left;
	int64_t health_at;
	double health_load;

	struct faults faults;
	struct server_counters counters;
	struct ticket_count *tickets;

	struct event crash_event;
	struct event restart_event;
	struct event resume_event;
	struct event expiry_event;
	struct event silent_end_event;
};

/**
 * server_init() - start listening and hold the first version
 * @server: initialised here
 * @config: copied; the server takes ownership of its strings
 * @base: event loop
 * @records: records of the service; borrowed
 * @version: first version to hold
 * @seed: seed of service times and fault probabilities
 * @history: file for the history, or NULL; borrowed
 *
 * Return: 0, or ERR_ADDRESS with @server finished.
 */
int server_init(struct server *server, const struct server_config *config,
		struct event_base *base, struct records *records,
		uint64_t version, uint64_t seed, FILE *history);

/**
 * server_finish() - stop listening, drop all requests and free the server
 * @server: the stand-in
 */
void server_finish(struct server *server);

/* Sets a timer; a time below 0 expires at once. */
void server_set_timer(struct event *timer, int64_t usec);

/* Random number in [0, 1), uniform; the sequence depends on the seed. */
double server_random(struct server *server);

/* Whether service times are multiplied by the cold factor. */
bool server_is_cold(const struct server *server);

/* Makes the server cold for a time and for a number of requests. */
void server_make_cold(struct server *server, int64_t ms, int64_t requests);

/* Closes a connection, with a TCP reset if @reset. */
void server_close_conn(struct conn *conn, bool reset);

/* Resets all open connections. */
void server_reset_all(struct server *server);

/* Crashes the server in the next iteration of the event loop. */
void server_crash_soon(struct server *server);

/* Stops accepting, reading and answering for @ms. */
void server_pause(struct server *server, int64_t ms);

/* Starts or ends draining, which refuses new searches and runs. */
void server_drain(struct server *server, bool on);

/**
 * server_silence_conns() - stop answering on all open connections, permanently
 * @server: the stand-in
 * @close_after_ms: below 0: a connection ends when its client closes it.
 *Otherwise the server ignores that and keeps all of them open, and counted, for
 *	this many milliseconds.
 */
void server_silence_conns(struct server *server, int64_t close_after_ms);

#endif
