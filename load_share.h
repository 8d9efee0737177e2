/*
 * What instances that take callers tell each other of servers that are short:
 * limits, what callers ask for, and promises to callers that were refused. So
 * all refuse the same kinds, and a caller that was promised room finds it at
 * any of them. Decides without sockets.
 *
 * What is older than LOAD_SHARE_MAX_AGE is not believed: an instance that hears
 * nothing goes by its own limits.
 */
#ifndef LOAD_SHARE_H
#define LOAD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "fleet.h"
#include "load_limit.h"
#include "peer.pb-c.h"
#include "return_book.h"

#define LOAD_SHARE_MAX_AGE MSEC(1000)
/* Others that are listened to. */
#define LOAD_SHARE_PEERS_MAX 32
/* Bounds of a message. */
#define LOAD_SHARE_SERVICES_MAX 8
#define LOAD_SHARE_RETURNS_MAX 64

/**
 * struct load_share_ops - what the module wants done
 * @send: to all others that take callers; may be lost
 * @adopted: this instance took the others' limit, for the log; may be NULL
 */
struct load_share_ops {
	void (*send)(void *arg, const Peer__LoadShare *message);
	void (*adopted)(void *arg, const char *service,
			const struct load_limit *load,
			const struct peer_load *view);
};

/**
 * struct service_report - what one told of a service
 * @fell_at: its limit, last; microseconds
 */
struct service_report {
	uint64_t service;
	double limit;
	int64_t fell_at;
	double asked[ESTIMATE_LEVELS];
};

struct load_share_peer {
	char instance[FLEET_NAME_SIZE];
	int64_t at;
	struct service_report services[LOAD_SHARE_SERVICES_MAX];
	int n;
};

/**
 * struct load_share - the state of one instance
 * @n_others: instances that take callers, but for this one; set by the owner
 * @peers: that told something
 * @limits: services of this instance that have a limit
 * @returns: promises that are not told yet, @told_at is when they were made
 */
struct load_share {
	const struct clock *clock;
	const struct load_share_ops *ops;
	void *arg;
	struct return_schedule *book;
	int n_others;
	struct load_share_peer peers[LOAD_SHARE_PEERS_MAX];
	int n_peers;
	struct {
		uint64_t service;
		const struct load_limit *load;
	} limits[LOAD_SHARE_SERVICES_MAX];
	int n_limits;
	struct scheduled_return returns[LOAD_SHARE_RETURNS_MAX];
	int n_returns;
	int64_t sent_at;
	int64_t returned_at;
};

void load_share_init(struct load_share *share, const struct clock *clock,
		     const struct load_share_ops *ops, void *arg,
		     struct return_schedule *book);

/**
 * load_share_add_limit() - a service of this instance has a limit
 * @load: outlives the module
 */
void load_share_add_limit(struct load_share *share, uint64_t service,
			  const struct load_limit *load);

/**
 * load_share_add_return() - tell a promise that was given or used here
 */
void load_share_add_return(struct load_share *share,
			   const struct scheduled_return *entry);

/**
 * load_share_receive() - another instance told of its limits and promises
 */
void load_share_receive(struct load_share *share, const char *instance,
			const Peer__LoadShare *message);

/**
 * load_share_peer_load() - what is believed of the others
 * @out: set
 */
void load_share_peer_load(const struct load_share *share, uint64_t service,
			  struct peer_load *out);

/**
 * load_share_adopt() - take the limit that most others have, if there is one
 * @out: set as by load_share_peer_load()
 */
void load_share_adopt(struct load_share *share, const char *service,
		      struct load_limit *load, struct peer_load *out);

/**
 * load_share_tick() - tell what is due
 */
void load_share_tick(struct load_share *share);

/**
 * load_share_due() - when to call load_share_tick(), microseconds
 *
 * Return: INT64_MAX if nothing is to be told.
 */
int64_t load_share_due(const struct load_share *share);

#endif
