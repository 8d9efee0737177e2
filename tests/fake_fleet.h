/*
 * Simulates backend servers with slots and queues on a paused clock, and a
 * minimal entry that carries out the decisions of a policy and counts them.
 */
#ifndef FAKE_FLEET_H
#define FAKE_FLEET_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "policy.h"
#include "table.h"

#define FAKE_REPLICAS_MAX 4
#define FAKE_HOME 77

/**
 * struct fake_config - configuration of a simulated fleet
 * @ops: the policy under test
 * @groups: shards of a search, each held by a group of servers
 * @replicas: servers in a group, at most FAKE_REPLICAS_MAX
 * @slots: slots of each server
 * @service_us: mean service time of a request, microseconds
 * @rate: searches a second
 * @straggler_ratio: fraction of requests that take @straggler_factor times as
 *	long
 * @straggler_factor: see @straggler_ratio
 * @columns: columns of the service after "name" and "market", as JSON, or NULL
 * @cells: values of @columns, as JSON, or NULL
 */
struct fake_config {
	const struct policy_ops *ops;
	int groups;
	int replicas;
	int slots;
	double service_us;
	double rate;
	double straggler_ratio;
	double straggler_factor;
	const char *columns;
	const char *cells;
};

/**
 * struct fake_server - a backend server; tests may change the first fields
 * @slowdown: factor on the service time of each request
 * @shed_ratio: fraction of requests that are refused at once
 * @down: connections fail
 * @received: requests that arrived, including refused ones
 * @answered: requests whose answer was accepted
 * @busy: slots in use
 * @queue: indices of the jobs that wait for a slot
 * @observed: the entry's observations of the server
 * @weight: of the server as a replica
 */
struct fake_server {
	double slowdown;
	double shed_ratio;
	bool down;
	uint64_t received;
	uint64_t answered;
	int busy;
	int *queue;
	int n_queue;
	int cap_queue;
	struct observe_server *observed;
	int64_t weight;
};

/**
 * struct fake_job - a request that was sent to a server
 * @begun_at: when it got a slot
 * @hedge_delay: time after @sent_at until it may be hedged, or
 *	INT64_MAX for never
 * @pending: no result yet
 * @running: it has a slot
 * @late: @hedge_delay has passed
 * @fail_code: error that it will fail with, or 0
 */
struct fake_job {
	int search;
	int group;
	int server;
	int64_t sent_at;
	int64_t begun_at;
	int64_t hedge_delay;
	bool pending;
	bool running;
	bool late;
	int fail_code;
};

/**
 * struct fake_group - state of one shard in a search
 * @done: it has an answer or was given up
 * @covered: it has an answer
 * @attempts: jobs sent
 * @newest: index of the last job sent
 * @in_flight: jobs without a result
 * @jobs: by replica, index of its job; valid while @in_flight_mask has its bit
 * @failure: latest failure of a job
 * @tried_mask: bits of the replicas with a job in flight or failed
 * @in_flight_mask: bits of the replicas with a job in flight
 */
struct fake_group {
	bool done;
	bool covered;
	int attempts;
	int in_flight;
	int newest;
	int jobs[FAKE_REPLICAS_MAX];
	struct policy_failure failure;
	uint32_t tried_mask;
	uint32_t in_flight_mask;
};

/**
 * struct fake_search - a search of all shards
 * @groups_left: groups that are not done
 * @covered: groups with an answer
 */
struct fake_search {
	int64_t begun_at;
	int64_t deadline;
	int groups_left;
	int covered;
	bool done;
	struct fake_group *groups;
};

/**
 * struct fake_event - an entry in the heap of events
 * @at: when it is due
 * @kind: an enum event_kind
 * @index: of a job or a search, depending on @kind
 * @group: of the search, for some kinds
 */
struct fake_event {
	int64_t at;
	int kind;
	int index;
	int group;
};

/**
 * struct fake_fleet - simulated servers and entry
 * @heap: events, the next one first
 * @needed: groups of the searches that were started
 * @hedges: hedges sent
 * @retries: requests sent anew after a failure or a refusal of the policy
 * @latencies: of the searches that ended, microseconds
 * @coverage: sum of the searches' coverages, each from 0 to 1
 *
 * fake_fleet_reset() clears the counters from @needed on.
 */
struct fake_fleet {
	struct fake_config config;
	struct clock clock;
	struct rng rng;
	struct table table;
	struct policy policy;
	struct fake_server *servers;
	int n_servers;
	struct fake_job *jobs;
	int n_jobs;
	int cap_jobs;
	struct fake_search *searches;
	int n_searches;
	int cap_searches;
	struct fake_event *heap;
	int n_heap;
	int cap_heap;
	uint64_t needed;
	uint64_t hedges;
	uint64_t retries;
	int64_t *latencies;
	int n_latencies;
	int cap_latencies;
	double coverage;
};

void fake_fleet_init(struct fake_fleet *fleet, const struct fake_config *config,
		     uint64_t seed);
void fake_fleet_finish(struct fake_fleet *fleet);

/* Runs @n searches to their end. */
void fake_fleet_run(struct fake_fleet *fleet, int n);
/* Clears the counters of the fleet and of its servers. */
void fake_fleet_reset(struct fake_fleet *fleet);

/* Return: requests received by all servers. */
uint64_t fake_fleet_received(const struct fake_fleet *fleet);
/* Return: quantile @q of the search latencies, microseconds. */
int64_t fake_fleet_quantile(struct fake_fleet *fleet, double q);
/* Return: mean coverage of the searches that ended. */
double fake_fleet_coverage(const struct fake_fleet *fleet);

/* Return: requests received by the servers for each one needed. */
double fake_fleet_load(const struct fake_fleet *fleet);

#endif
