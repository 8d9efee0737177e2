/*
 * How many requests a backend server gets while it is cold, and from whom. A
 * server that has just started crashes at a rate well above what it bears, and
 * the bound on it counts the sends of all instances, whatever each of them
 * knows of the others. So one instance sends to it: the first, by a hash of
 * both names, of the hubs of its data centre that live. Decides without
 * sockets.
 *
 * The worst case. In one second a server is sent no more than its bound: the
 * first of all its hubs, dead or alive, sends half of the bound, the second,
 * should it hold the first for dead, a quarter, the third an eighth, and so on.
 * Whoever is cut off, frozen, or sees others than its neighbours do, these add
 * up to less than the bound. A hub that starts waits until what its earlier
 * process sent is over. Not covered: a newcomer that ranks before the others
 * and is not known to them yet, together with two more that hold each other for
 * dead in the same second.
 */
#ifndef WARMUP_H
#define WARMUP_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "fleet.h"
#include "str.h"

/* Hubs of a data centre that are remembered, dead ones included. */
#define WARMUP_SENDERS_MAX 16
/* Sends to one server that are remembered: no more go out in a window. */
#define WARMUP_SENDS_MAX 32

/**
 * struct warmup_limit - what the servers of a service bear while they are cold
 * @cold_for: after a start, microseconds
 * @bound: requests in any second from all instances; 0: not bounded
 */
struct warmup_limit {
	int64_t cold_for;
	int bound;
};

/**
 * struct warmup_sends - times of the last sends to a cold server
 */
struct warmup_sends {
	int64_t at[WARMUP_SENDS_MAX];
	uint64_t n;
};

/**
 * struct warmup_sender - a hub of the own data centre
 * @seen_at: when it was last known to live, unless @alive
 */
struct warmup_sender {
	char instance[FLEET_NAME_SIZE];
	int64_t seen_at;
	bool alive;
};

/**
 * struct warmup - the state of one instance
 * @started_at: microseconds
 */
struct warmup {
	const struct clock *clock;
	char instance[FLEET_NAME_SIZE];
	int64_t started_at;
	struct warmup_sender senders[WARMUP_SENDERS_MAX];
	int n;
};

/**
 * warmup_bound() - requests in any second that a cold server may get
 * @per_s: that it bears; 0: it has no bound
 * @overrun: times that
 * @slack: and so many more
 *
 * Return: at least 1; 0 if it has none.
 */
int warmup_bound(double per_s, double overrun, double slack);

void warmup_init(struct warmup *warmup, const struct clock *clock,
		 const char *instance);

/**
 * warmup_set_senders() - the hubs of the own data centre that live
 */
void warmup_set_senders(struct warmup *warmup,
			char (*instances)[FLEET_NAME_SIZE], int n);

/**
 * warmup_sender() - who may send to a server while it is cold
 *
 * Return: an instance of the own data centre, or NULL.
 */
const char *warmup_sender(const struct warmup *warmup, struct str server);

/**
 * warmup_hash() - an instance's place for a server, the least is the first
 */
uint64_t warmup_hash(struct str server, const char *instance);

/**
 * warmup_try_send() - one more send to a cold server
 * @sends: of that server
 *
 * Return: whether it may go out; it counts then.
 */
bool warmup_try_send(const struct warmup *warmup, struct str server,
		     const struct warmup_limit *limit,
		     struct warmup_sends *sends);

#endif
