/*
 * The simulated cluster of the fault matrix: the real entry and home modules,
 * model backend servers with known records, and a queue of delayed messages,
 * driven by a paused clock. No sockets.
 */
#ifndef MATRIX_CLUSTER_H
#define MATRIX_CLUSTER_H

#include <stdbool.h>
#include <stdint.h>

#include "blackboard.h"
#include "home.h"
#include "search.h"
#include "step.h"

#define CLUSTER_INSTANCES 3
#define CLUSTER_SERVERS 4
#define CLUSTER_HOMES_OF_SERVER 2
#define CLUSTER_DEADLINE_MS 400
#define CLUSTER_SEARCHES_MAX 64
#define CLUSTER_OLD_VERSION 1
#define CLUSTER_NEW_VERSION 2
/* Same shards and sizes as the old one, other matches; no server holds it. */
#define CLUSTER_UNHELD_VERSION 3

struct cluster;
struct cluster_event;

/**
 * struct cluster_server - a model backend server
 * @cluster: that it belongs to
 * @index: in the cluster's list of servers
 * @name: "b" and the index
 * @is_alive: whether the process runs
 * @incarnation: changes when the process ends
 * @versions: bit (1 << v) for each snapshot version held
 * @latency: time to answer a request, microseconds
 * @slow_factor: by which @latency is multiplied
 * @sheds_load: rejects every request with ERR_SHED
 * @is_draining: rejects every request with ERR_DRAINING
 * @answers_wrong_version: answers from CLUSTER_UNHELD_VERSION
 * @answers_wrong_held: reports one record too many in each shard
 * @crash_on_target: crashes when it runs the target request
 * @paused_until: time until which the process is stopped, 0 for never
 * @leaving_at: time at which it was told to leave, 0 if not leaving
 * @running: requests in a slot
 * @most_running: highest value of @running so far
 * @runs_of_target: times it ran the target request
 * @late_starts: requests started more than 3 s after @leaving_at
 */
struct cluster_server {
	struct cluster *cluster;
	int index;
	char name[16];
	bool is_alive;
	uint32_t incarnation;
	unsigned versions;
	int64_t latency;
	int slow_factor;
	bool sheds_load;
	bool is_draining;
	bool answers_wrong_version;
	bool answers_wrong_held;
	bool crash_on_target;
	int64_t paused_until;
	int64_t leaving_at;
	int running;
	int most_running;
	int runs_of_target;
	int late_starts;
};

/**
 * struct cluster_instance - an instance with its entry and home modules
 * @cluster: that it belongs to
 * @index: in the cluster's list of instances
 * @name: "i" and the index
 * @settings: only the instance's name is set
 * @board: state shared by @searches and @home
 * @searches: the entry
 * @home: the home
 * @is_alive: whether the process runs
 * @is_leaving: whether it shuts down gracefully and announces no slots
 * @is_crash_undetected: its process ended, and its peers have not noticed
 * @incarnation: changes when the process ends
 * @partitioned_from: bit for each instance it exchanges no messages with
 * @paused_until: time until which the process is stopped
 * @flush_wanted: the home asked for home_flush()
 * @links: indexes of the peers; home queries point to them as their link
 */
struct cluster_instance {
	struct cluster *cluster;
	int index;
	char name[16];
	struct settings settings;
	struct blackboard board;
	struct searches searches;
	struct home home;
	bool is_alive;
	bool is_leaving;
	bool is_crash_undetected;
	uint32_t incarnation;
	unsigned partitioned_from;
	int64_t paused_until;
	bool flush_wanted;
	int links[CLUSTER_INSTANCES];
};

/**
 * struct cluster_outcome - what a caller received for its search
 * @n_outcomes: outcomes delivered; more than one is a fault
 * @entry: instance that the search was sent to
 * @code: error, 0 for success
 * @maybe_ran: whether a backend server may have run the request
 * @version: snapshot version that was searched, 0 if none
 * @count: matching records
 * @covered: records in the shards that answered
 * @total: records in all shards of the snapshot
 * @answered: shards that answered
 * @n_shards: shards of the snapshot
 * @started_at: when the search began
 * @ended_at: when the latest outcome arrived
 * @n_requests: requests sent to homes
 */
struct cluster_outcome {
	int n_outcomes;
	int entry;
	int code;
	bool maybe_ran;
	uint64_t version;
	uint64_t count;
	uint64_t covered;
	uint64_t total;
	int answered;
	int n_shards;
	int64_t started_at;
	int64_t ended_at;
	int n_requests;
};

/**
 * struct cluster - simulated instances, backend servers and network
 * @clock: paused, advanced by cluster_run()
 * @random: state of the random number generator
 * @instances: all instances
 * @servers: all backend servers
 * @events: pending events, unordered
 * @n_events: number of @events
 * @cap_events: capacity of @events
 * @sequence: of the next event; orders events due at the same time
 * @outcomes: one for each search; the first is the target request
 * @n_searches: number of @outcomes
 * @reached: steps that the target request has reached
 * @on_step: called when the target request reaches a step for the first time
 * @arg: passed to @on_step
 * @late_sends: requests sent to servers after their deadline
 * @sends_above_share: requests sent beyond a home's share of a server's slots
 * @target_server: server of the latest step of the target request, -1 if none
 * @target_home: home of the latest step of the target request, -1 if none
 * @is_table_changed: whether cluster_change_table() was called
 * @leaving_server: server that the changed table marks as leaving
 */
struct cluster {
	struct clock clock;
	uint64_t random;
	struct cluster_instance instances[CLUSTER_INSTANCES];
	struct cluster_server servers[CLUSTER_SERVERS];
	struct cluster_event *events;
	int n_events;
	int cap_events;
	uint64_t sequence;
	struct cluster_outcome outcomes[CLUSTER_SEARCHES_MAX];
	int n_searches;
	bool reached[REQUEST_STEPS];
	void (*on_step)(struct cluster *cluster, enum request_step step,
			void *arg);
	void *arg;
	int late_sends;
	int sends_above_share;
	int target_server;
	int target_home;
	bool is_table_changed;
	int leaving_server;
};

void cluster_init(struct cluster *cluster, uint64_t seed);
void cluster_finish(struct cluster *cluster);

/**
 * cluster_search() - start a search at an instance
 * @cluster: the simulation
 * @instance: index of the entry
 *
 * The first search is the target request.
 *
 * Return: index of its outcome, or -1 if the instance is not running.
 */
int cluster_search(struct cluster *cluster, int instance);

/**
 * cluster_run() - advance the clock and handle the events that come due
 * @cluster: the simulation
 * @usec: time to run, microseconds
 */
void cluster_run(struct cluster *cluster, int64_t usec);

/* Returns a random number from 0 to @below - 1. */
uint64_t cluster_random(struct cluster *cluster, uint64_t below);

/*
 * Faults and planned changes; each may be injected at any time.
 *
 * cluster_stall_running_requests(): requests that run on the server are never
 * answered, later ones are.
 * cluster_kill_instance_undetected(): the process ends without its peers
 * losing their connections to it.
 * cluster_start_leaving(): the instance shuts down gracefully.
 * cluster_switch_versions(): every server gets the new snapshot version, and
 * drops the old one unless @keep_old.
 * cluster_change_table(): a new table marks a server as leaving.
 */
void cluster_kill_server(struct cluster *cluster, int server);
void cluster_restart_server(struct cluster *cluster, int server);
void cluster_stall_running_requests(struct cluster *cluster, int server);
void cluster_slow_server(struct cluster *cluster, int server, int factor);
void cluster_switch_versions(struct cluster *cluster, bool keep_old);
void cluster_drain_server(struct cluster *cluster, int server);
void cluster_kill_instance(struct cluster *cluster, int instance);
void cluster_kill_instance_undetected(struct cluster *cluster, int instance);
void cluster_restart_instance(struct cluster *cluster, int instance);
void cluster_start_leaving(struct cluster *cluster, int instance);
void cluster_set_partitioned(struct cluster *cluster, int a, int b,
			     bool partitioned);
void cluster_change_table(struct cluster *cluster);
void cluster_pause_instance(struct cluster *cluster, int instance,
			    int64_t usec);

/* Contents of a snapshot version; answers are checked against them. */
int cluster_shard_count(uint64_t version);
uint64_t cluster_records_per_shard(uint64_t version);
uint64_t cluster_matches_per_shard(uint64_t version);

#endif
