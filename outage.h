/*
 * Backend servers that cannot be reached. Once a connection to one is not made,
 * the server is checked, not tried by callers' requests, until somebody listens
 * there, so that it is used again at once. A request that needs more services
 * without a live server than its route can miss is refused before anything is
 * sent, and others go out without them: the load that this answers is that of
 * requests that cannot succeed, on the servers that live, and of callers who
 * wait for them. Decides without sockets.
 *
 * Only connections that were not made count: a server that is silent on an open
 * one may be paused, and a request that it refuses shows that it lives.
 */
#ifndef OUTAGE_H
#define OUTAGE_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "registry.h"

/* A server that is checked, until it listens or nobody asks for its service. */
struct outage_server;

/**
 * struct outage_ops - what the module wants done
 * @check: find out whether anybody listens at a server's address, and call
 *	outage_check_done() with @check, now or later
 * @changed: a server is taken for lost, or not any more, for the log; may be
 *	NULL
 */
struct outage_ops {
	void (*check)(void *arg, struct registry_server *server,
		      struct outage_server *check);
	void (*changed)(void *arg, const struct registry_server *server,
			bool lost, int64_t lost_for);
};

struct outage {
	const struct clock *clock;
	const struct outage_ops *ops;
	void *arg;
	struct outage_server *servers;
};

void outage_init(struct outage *outage, const struct clock *clock,
		 const struct outage_ops *ops, void *arg);

/**
 * outage_finish() - forget all; checks that are open must not be answered
 */
void outage_finish(struct outage *outage);

/**
 * outage_affects() - whether no server of a service can be reached
 * @since: since when, if so, microseconds
 *
 * Those of its servers that a connection was not made to are checked from now
 * on, for as long as requests ask for the service.
 */
bool outage_affects(struct outage *outage,
		    const struct registry_service *service, int64_t *since);

/**
 * outage_check_done() - a check ended
 */
void outage_check_done(struct outage *outage, struct outage_server *check,
		       bool listens);

/**
 * outage_tick() - time passed; starts the checks that are due
 */
void outage_tick(struct outage *outage);

/**
 * outage_due() - when to call outage_tick() at the latest, microseconds;
 * INT64_MAX: only after outage_affects()
 */
int64_t outage_due(const struct outage *outage);

/**
 * outage_retry_after() - when to come back after a refusal
 * @since: of the outage that ended last before
 *
 * Return: milliseconds.
 */
int64_t outage_retry_after(const struct outage *outage, int64_t since);

#endif
