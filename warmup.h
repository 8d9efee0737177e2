/*
 * Limits the requests sent to a backend server that has just started. A cold
 * server crashes at a rate well above its capacity, and the limit applies to
 * the sends of all instances, whatever each of them knows of the others. Only
 * one instance therefore sends to a cold server: the first live hub of its data
 * centre, ranked by a hash of both names. Does no I/O.
 *
 * In the worst case, a server is still sent no more than its limit in any
 * second. The first of all hubs, dead or alive, sends at most half of the
 * limit; the second, if it takes the first for dead, a quarter; the third an
 * eighth, and so on. If hubs are partitioned, suspended or disagree about the
 * membership, these fractions add up to less than the limit. A hub that starts
 * waits until the sends of its previous process have expired. Not covered: a
 * new hub that ranks before the others and is not known to them yet, together
 * with two more that take each other for dead in the same second.
 */
#ifndef WARMUP_H
#define WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "fleet.h"
#include "str.h"

/* Maximum number of hubs of a data centre, including dead ones. */
#define WARMUP_SENDERS_MAX 16
/* Maximum number of sends to one server in a window. */
#define WARMUP_SENDS_MAX 32

/**
 * struct warmup_limit - limit for the cold servers of a service
 * @cold_for: duration of the cold phase after a start, microseconds
 * @bound: maximum requests in any second from all instances; 0: unlimited
 */
struct warmup_limit {
	int64_t cold_for;
	int bound;
};

/**
 * struct warmup_sends - times of the last sends to a cold server
 * @at: ring buffer, microseconds
 * @n: total number of sends
 */
struct warmup_sends {
	int64_t at[WARMUP_SENDS_MAX];
	uint64_t n;
};

/**
 * struct warmup_sender - a hub of the own data centre
 * @instance: name of the instance
 * @seen_at: when it was last known to be alive, unless @alive; microseconds
 * @alive: it is currently alive
 */
struct warmup_sender {
	char instance[FLEET_NAME_SIZE];
	int64_t seen_at;
	bool alive;
};

/**
 * struct warmup - warm-up state of one instance
 * @clock: time source
 * @instance: name of this instance
 * @started_at: start time of this instance, microseconds
 * @senders: known hubs of the own data centre
 * @n: number of @senders
 */
struct warmup {
	const struct clock *clock;
	char instance[FLEET_NAME_SIZE];
	int64_t started_at;
	struct warmup_sender senders[WARMUP_SENDERS_MAX];
	int n;
};

/**
 * warmup_bound() - maximum requests to a cold server in any second
 * @per_s: rate that the server can bear; 0: unlimited
 * @overrun: factor by which that rate may be exceeded
 * @slack: requests allowed in addition
 *
 * Return: at least 1; 0 if unlimited.
 */
int warmup_bound(double per_s, double overrun, double slack);

void warmup_init(struct warmup *warmup, const struct clock *clock,
		 const char *instance);

/**
 * warmup_set_senders() - set the live hubs of the own data centre
 * @instances: their names
 * @n: number of @instances
 */
void warmup_set_senders(struct warmup *warmup,
			char (*instances)[FLEET_NAME_SIZE], int n);

/**
 * warmup_sender() - which instance may send to a cold server
 * @server: id of the server
 *
 * Return: an instance of the own data centre, or NULL.
 */
const char *warmup_sender(const struct warmup *warmup, struct str server);

/**
 * warmup_hash() - rendezvous hash of a server and an instance
 * @server: id of the server
 * @instance: name of the instance
 *
 * The instance with the lowest value ranks first for the server.
 */
uint64_t warmup_hash(struct str server, const char *instance);

/**
 * warmup_try_send() - ask to send one more request to a cold server
 * @server: id of the server
 * @limit: limit of its service
 * @sends: previous sends of this instance to the server
 *
 * Return: whether it may be sent; it is counted then.
 */
bool warmup_try_send(const struct warmup *warmup, struct str server,
		     const struct warmup_limit *limit,
		     struct warmup_sends *sends);

#endif
