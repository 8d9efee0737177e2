/*
 * Choice of one replica among those that hold a shard, and ejection of
 * servers that stand out from the replicas of their group.
 */
#ifndef REPLICA_H
#define REPLICA_H

#include <stdbool.h>
#include <stdint.h>

#include "observe.h"
#include "rng.h"

/**
 * struct replica_home - a home of a server that can be asked now
 * @instance: hash of its name
 * @slots: its share of the server's slots
 */
struct replica_home {
	uint64_t instance;
	uint32_t slots;
};

/**
 * struct replica - a server that can be asked for a shard
 * @server: observations of it
 * @weight: its share of the work, from the table
 * @homes: by which it can be asked, at least one
 * @is_cold: a home heard from it that its caches are cold
 * @replaced: own requests in flight there that a hedge would replace
 * @excluded: not to be chosen: asked already, or it failed this search
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
 * struct replica_pick - what was chosen
 * @replica: index
 * @home: index into the replica's homes
 * @probe: an ejected server is tried again with this request
 */
struct replica_pick {
	int replica;
	int home;
	bool probe;
};

/**
 * replica_choose() - two random choices by weight, the quicker one taken
 * @urgent: a hedge or retry: not to be spent on a probe
 * @pick: set on success
 * @when: set with ERR_SHED: when the first of them may be asked again
 *
 * Return: 0; ERR_NO_REPLICA if all are excluded; ERR_SHED if all others asked
 * not to be called now.
 */
int replica_choose(struct observe *observe, struct rng *rng,
		   const struct replica *replicas, int n, bool urgent,
		   struct replica_pick *pick, int64_t *when);

/**
 * replica_choose_home() - the home with most room for its share
 * @avoid: hash of a home that is taken only if there is no other; 0: none
 *
 * Return: index into the replica's homes.
 */
int replica_choose_home(const struct observe *observe, struct rng *rng,
			const struct replica *replica, uint64_t avoid);

/**
 * replica_finish_us() - expected time until a new request is answered
 * @share: weight of the replica against the greatest, above 0 to 1
 */
double replica_finish_us(const struct observe *observe,
			 const struct replica *replica, double share);

/**
 * replica_update_ejection() - eject or readmit a server after a request is over
 * @outcome: of that request
 * @elapsed_us: how long it took
 *
 * To be called after observe_done().
 *
 * At most half a group, rounded down, and eject_max_ratio of a service, but
 * at least one server of it, are ejected at once: a market is never emptied.
 */
void replica_update_ejection(struct observe *observe,
			     struct observe_server *server,
			     enum observe_outcome outcome, int64_t elapsed_us);

/**
 * replica_ejected() - whether a server is left out now
 */
bool replica_ejected(const struct observe_server *server);

#endif
