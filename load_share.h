/*
 * Exchange of overload information between the instances that accept callers:
 * load limits, demand, and capacity promised to refused callers. All instances
 * thus refuse the same levels, and a caller that was promised capacity gets it
 * at any of them. Does no I/O.
 *
 * Reports older than LOAD_SHARE_MAX_AGE are ignored: an instance without
 * reports uses its own limits only.
 */
#ifndef LOAD_SHARE_H
#define LOAD_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "fleet.h"
#include "load_limit.h"
#include "peer.pb-c.h"
#include "return_schedule.h"

#define LOAD_SHARE_MAX_AGE MSEC(1000)
/* Maximum number of instances whose reports are kept. */
#define LOAD_SHARE_PEERS_MAX 32
/* Maximum number of entries in a message. */
#define LOAD_SHARE_SERVICES_MAX 8
#define LOAD_SHARE_RETURNS_MAX 64

/**
 * struct load_share_ops - callbacks
 * @send: send a message to all other instances that accept callers; may be lost
 * @adopted: the limit of the others was adopted, for the log; may be NULL
 */
struct load_share_ops {
	void (*send)(void *arg, const Peer__LoadShare *message);
	void (*adopted)(void *arg, const char *service,
			const struct load_limit *load,
			const struct peer_load *view);
};

/**
 * struct service_report - reported load of one service at another instance
 * @service: hash of the name
 * @limit: microseconds of work in progress; 0: unlimited
 * @lowered_at: when its limit was last lowered, microseconds
 * @demand: work that callers requested by level, microseconds per second
 */
struct service_report {
	uint64_t service;
	double limit;
	int64_t lowered_at;
	double demand[ESTIMATE_LEVELS];
};

/**
 * struct load_share_peer - last report of another instance
 * @instance: name of the instance
 * @received_at: microseconds
 * @services: its limited services
 * @n: number of @services
 */
struct load_share_peer {
	char instance[FLEET_NAME_SIZE];
	int64_t received_at;
	struct service_report services[LOAD_SHARE_SERVICES_MAX];
	int n;
};

/**
 * struct load_share - state of one instance
 * @clock: time source
 * @ops: callbacks
 * @arg: passed to @ops
 * @schedule: returns of refused callers; outlives the module
 * @n_others: number of other instances that accept callers; set by the owner
 * @peers: instances that sent a report
 * @n_peers: number of @peers
 * @limits: services of this instance that have a limit
 * @n_limits: number of @limits
 * @returns: scheduled returns that are not sent yet
 * @n_returns: number of @returns
 * @sent_at: time of the last message, microseconds
 * @first_return_at: when the oldest of @returns was added, microseconds
 */
struct load_share {
	const struct clock *clock;
	const struct load_share_ops *ops;
	void *arg;
	struct return_schedule *schedule;
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
	int64_t first_return_at;
};

void load_share_init(struct load_share *share, const struct clock *clock,
		     const struct load_share_ops *ops, void *arg,
		     struct return_schedule *schedule);

/**
 * load_share_add_limit() - report the limit of a service of this instance
 * @service: hash of the name
 * @load: outlives the module
 */
void load_share_add_limit(struct load_share *share, uint64_t service,
			  const struct load_limit *load);

/**
 * load_share_add_return() - report a return that was scheduled or used here
 */
void load_share_add_return(struct load_share *share,
			   const struct scheduled_return *entry);

/**
 * load_share_receive() - process a message from another instance
 * @instance: name of the sender
 */
void load_share_receive(struct load_share *share, const char *instance,
			const Peer__LoadShare *message);

/**
 * load_share_peer_load() - summarise the current reports of other instances
 * @service: hash of the name
 * @out: set
 */
void load_share_peer_load(const struct load_share *share, uint64_t service,
			  struct peer_load *out);

/**
 * load_share_adopt() - adopt the limit of most other instances, if any
 * @service: name of the service
 * @load: limit of this instance
 * @out: set as by load_share_peer_load()
 */
void load_share_adopt(struct load_share *share, const char *service,
		      struct load_limit *load, struct peer_load *out);

/**
 * load_share_tick() - send a message if one is due
 */
void load_share_tick(struct load_share *share);

/**
 * load_share_due() - when to call load_share_tick()
 *
 * Return: time in microseconds; INT64_MAX if there is nothing to send.
 */
int64_t load_share_due(const struct load_share *share);

#endif
