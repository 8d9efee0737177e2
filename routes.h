/*
 * The routes in force: which requests go to which services of backend servers,
 * and within which limits. A set is parsed from one document, is immutable, and
 * lives as long as a request refers to it, so that a request uses one version
 * from start to end.
 */
#ifndef ROUTES_H
#define ROUTES_H

#include <stdbool.h>
#include <stdint.h>

#include "error.h"
#include "regions.h"
#include "str.h"

/**
 * struct route_service - a service that routes refer to
 * @name: owned
 * @connections_max: connections that each of its servers accepts in total
 * @cold_s: how long a server takes few requests after its start, seconds
 * @cold_per_s: how many it takes a second during that time; 0: it takes all,
 *		but is slow
 * @health_path: where its servers tell of their health; NULL: nowhere; owned
 */
struct route_service {
	char *name;
	int64_t connections_max;
	double cold_s;
	double cold_per_s;
	char *health_path;
};

/**
 * struct route_target - a service of a route
 * @service: borrowed from the set
 * @weight: relative share of the requests, where the route splits them
 */
struct route_target {
	const struct route_service *service;
	double weight;
};

/**
 * struct route - where requests with a host and path prefix go
 * @name: NULL if the document has none; owned
 * @host: compared without regard to case; owned
 * @prefix: of the path, begins and ends with a slash; owned
 * @prefix_len: length of @prefix
 * @repeatable: a request may run more than once
 * @sharded: a request goes to all targets and the answers are merged; else to
 *	     one of them, chosen by weight
 * @timeout_ms: longest time until the answer
 * @goal_ms: latency goal; an answer within it has its full value
 * @servers_max: servers of a service that a request may be sent to
 * @priority: 0 is the highest
 * @records_max: sharded: most records in the merged answer
 * @coverage_min: sharded: least share of the targets in an answer, 0 to 1
 * @targets: owned
 * @n_targets: length of @targets
 * @regions: where requests may run; empty: anywhere
 * @credit: for each target, how many requests it is behind its weight (below 0:
 *	    ahead of it); the only member that changes; owned
 */
struct route {
	char *name;
	char *host;
	char *prefix;
	size_t prefix_len;
	bool repeatable;
	bool sharded;
	int64_t timeout_ms;
	int64_t goal_ms;
	int64_t servers_max;
	int64_t priority;
	int64_t records_max;
	double coverage_min;
	struct route_target *targets;
	int n_targets;
	struct region_set regions;
	double *credit;
};

/**
 * struct caller_limits - limits on the requests of callers
 * @header_bytes_max: size of the request line and headers
 * @body_bytes_max: size of the body
 * @header_timeout_ms: within which request line and headers must arrive
 * @idle_timeout_ms: after which a connection without a request is closed
 */
struct caller_limits {
	int64_t header_bytes_max;
	int64_t body_bytes_max;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct route_set - one version of all routes
 * @refs: references; freed with the last one
 * @version: rises with each change, not always by 1
 * @routes: owned
 * @n_routes: length of @routes
 * @services: owned
 * @n_services: length of @services
 * @limits: of callers' requests
 * @text: the document, to be sent to peers; owned
 * @text_len: length of @text
 */
struct route_set {
	int refs;
	uint64_t version;
	struct route *routes;
	int n_routes;
	struct route_service *services;
	int n_services;
	struct caller_limits limits;
	char *text;
	size_t text_len;
};

/**
 * route_set_parse() - parse a document
 * @text: JSON; copied
 * @out: the set on success, with one reference that the caller owns
 * @err: may be NULL
 *
 * Return: 0, or ERR_SYNTAX, ERR_KEY_MISSING, ERR_TYPE, ERR_RANGE or
 * ERR_REFERENCE with @err filled.
 */
int route_set_parse(struct str text, struct route_set **out, struct error *err);
struct route_set *route_set_ref(struct route_set *set);
void route_set_unref(struct route_set *set);

/**
 * route_set_find() - find the route of a request
 * @set: searched
 * @host: without the port
 * @path: with or without a query
 *
 * Return: the route of that host with the longest matching prefix, or NULL;
 * borrowed from the set.
 */
const struct route *route_set_find(const struct route_set *set, struct str host,
				   struct str path);

/**
 * route_set_allows() - whether a host's requests may run in a region
 * @set: searched
 * @host: without the port
 * @region: empty if it is not known
 *
 * Return: true if a route of the host allows the region, or the host has no
 * routes.
 */
bool route_set_allows(const struct route_set *set, struct str host,
		      const char *region);

/**
 * route_pick_target() - choose the target of the next request by weight
 * @route: its @credit is updated
 *
 * Return: borrowed from the set.
 */
const struct route_service *route_pick_target(const struct route *route);

/**
 * route_set_service() - look up a service by name, NULL if there is none
 * @set: searched
 * @name: of the service
 */
const struct route_service *route_set_service(const struct route_set *set,
					      struct str name);

#endif
