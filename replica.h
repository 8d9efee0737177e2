/*
 * Choice of one replica among those that hold a shard, and ejection of servers
 * that are outliers among the replicas of their group.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include "observe.h"
#include "rng.h"

/**
 * struct replica_home - a home of a server that requests can go through now
 * @instance: hash of its name
 * @slots: its share of the server's slots
 */
struct replica_home {
	uint64_t instance;
	uint32_t slots;
};

/**
 * struct replica - a server that holds a shard, as a candidate for a request
 * @server: its statistics
 * @weight: its weight from the table; 0: last resort
 * @homes: homes that requests can go through
 * @replaced: own requests in flight there that a hedge would replace
 * @is_cold: the server reported to a home that its caches are cold
 * @excluded: not to be chosen: already asked, or failed in this search
 */
struct replica {
	struct observe_server *server;
	int64_t weight;
	struct replica_home homes[OBSERVE_HOMES_MAX];
	int n_homes;
	uint32_t replaced;
	bool is_cold;
	bool excluded;
};

/**
 * struct replica_pick - a choice made by replica_choose()
 * @replica: index of the replica
 * @home: index into the replica's homes
 * @probe: the request probes an ejected server
 */
struct replica_pick {
	int replica;
	int home;
	bool probe;
};

/**
 * replica_choose() - choose a replica by power of two choices
 * @replicas: candidates; two are drawn at random by weight, and the second is
 *	      chosen if its expected completion time is clearly shorter
 * @n: number of candidates
 * @urgent: a hedge or retry, which must not be spent on a probe
 * @pick: set on success
 * @when: set with ERR_SHED: the earliest end of a back-off, microseconds
 *
 * Return: 0; ERR_NO_REPLICA if all are excluded; ERR_SHED if all others are
 * backing off.
 */
int replica_choose(struct observe *observe, struct rng *rng,
		   const struct replica *replicas, int n, bool urgent,
		   struct replica_pick *pick, int64_t *when);

/**
 * replica_choose_home() - choose the home with the lowest load per slot
 * @avoid: hash of a home that is only chosen if there is no other; 0: none
 *
 * Return: index into the replica's homes.
 */
int replica_choose_home(const struct observe *observe, struct rng *rng,
			const struct replica *replica, uint64_t avoid);

/**
 * replica_completion_us() - expected time until a new request completes
 * @share: weight of the replica relative to the greatest, above 0 to 1
 *
 * Return: microseconds.
 */
double replica_completion_us(const struct observe *observe,
			     const struct replica *replica, double share);

/**
 * replica_update_ejection() - eject or readmit a server after a request
 * @outcome: of that request
 * @elapsed_us: duration of that request
 *
 * Must be called after observe_done().
 *
 * At most half a group, rounded down, and eject_max_ratio of a service, but at
 * least one of its servers, are ejected at the same time, so that a market
 * never runs out of servers.
 */
void replica_update_ejection(struct observe *observe,
			     struct observe_server *server,
			     enum observe_outcome outcome, int64_t elapsed_us);

/**
 * replica_ejected() - whether a server is ejected now
 */
bool replica_ejected(const struct observe_server *server);

#endif
