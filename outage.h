/*
 * Detects backend servers that are unreachable. After a failed connection, a
 * server is checked in the background, instead of by callers' requests, until
 * its address accepts connections again. A request is refused before anything
 * is sent if more of its services have no reachable server than its route can
 * do without; other requests are sent without these services. This saves the
 * reachable servers from requests that cannot succeed, and callers from waiting
 * for them. Does no I/O.
 *
 * Only failed connections count: a server that is silent on an open connection
 * may be paused, and one that refuses a request is alive.
 */
#ifndef OUTAGE_H
#define OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "registry.h"

/* A server being checked. */
struct outage_server;

/**
 * struct outage_ops - callbacks
 * @check: try to connect to the server's address, and call outage_check_done()
 *	with @check, now or later
 * @changed: a server is lost, or reachable again, for the log; @lost_for is in
 *	microseconds; may be NULL
 */
struct outage_ops {
	void (*check)(void *arg, struct registry_server *server,
		      struct outage_server *check);
	void (*changed)(void *arg, const struct registry_server *server,
			bool lost, int64_t lost_for);
};

/**
 * struct outage - outage detection of one instance
 * @clock: time source
 * @ops: callbacks
 * @arg: passed to @ops
 * @servers: servers being checked
 */
struct outage {
	const struct clock *clock;
	const struct outage_ops *ops;
	void *arg;
	struct outage_server *servers;
};

void outage_init(struct outage *outage, const struct clock *clock,
		 const struct outage_ops *ops, void *arg);

/**
 * outage_finish() - free the state; open checks must not call
 *	outage_check_done() any more
 */
void outage_finish(struct outage *outage);

/**
 * outage_affects() - whether no server of a service is reachable
 * @service: the service
 * @since: set to when the last of its servers was lost, microseconds; 0 if none
 *	is
 *
 * Servers of the service with failed connections are checked from now on, as
 * long as requests for the service arrive.
 */
bool outage_affects(struct outage *outage,
		    const struct registry_service *service, int64_t *since);

/**
 * outage_check_done() - report the result of a check
 * @check: as passed to the check callback
 * @listens: whether the address accepts connections
 */
void outage_check_done(struct outage *outage, struct outage_server *check,
		       bool listens);

/**
 * outage_tick() - start the checks that are due
 */
void outage_tick(struct outage *outage);

/**
 * outage_due() - when to call outage_tick() at the latest
 *
 * Return: time in microseconds; INT64_MAX: not before outage_affects().
 */
int64_t outage_due(const struct outage *outage);

/**
 * outage_retry_after() - when a refused caller should retry
 * @since: start of the most recent outage that affects the request,
 *	microseconds
 *
 * Return: milliseconds.
 */
int64_t outage_retry_after(const struct outage *outage, int64_t since);

#endif
