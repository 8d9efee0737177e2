/*
 * The routes in force: which requests go to which services of backend servers,
 * and within which limits. A set is read from one document, never changes, and
 * is kept as long as a request uses it, so that a request sees one version
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
 * struct route_service - a service that routes name
 * @connections_max: that each of its servers accepts from all callers
 * @cold_s: a server takes few requests for so long after its start
 * @cold_per_s: so many a second; 0: it is only slow then
 */
struct route_service {
	char *name;
	int64_t connections_max;
	double cold_s;
	double cold_per_s;
};

/**
 * struct route_target - a service of a route
 * @weight: share of the requests, where the route splits them
 */
struct route_target {
	const struct route_service *service;
	double weight;
};

/**
 * struct route - where requests of a host and path go
 * @prefix: begins and ends with a slash
 * @repeatable: a request may run more than once
 * @sharded: goes to all targets and the answers are merged; else to one of
 *	them, drawn by weight
 * @timeout_ms: longest time until the answer
 * @goal_ms: an answer within it is worth most
 * @servers_max: on so many servers of a service a request may run
 * @priority: 0 is the highest
 * @records_max: sharded: records in the merged answer
 * @coverage_min: sharded: least share of the targets in an answer
 * @regions: those whose servers and instances may get a request
 * @dealt: requests dealt to the targets so far, for the weights; the only
 *	member that changes
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
	double *dealt;
};

/**
 * struct caller_limits - what callers may send, and how slowly
 * @header_bytes_max: request line and headers
 * @header_timeout_ms: for them to arrive
 * @idle_timeout_ms: a connection without a request is closed after it
 */
struct caller_limits {
	int64_t header_bytes_max;
	int64_t body_bytes_max;
	int64_t header_timeout_ms;
	int64_t idle_timeout_ms;
};

/**
 * struct route_set - one version of all routes
 * @version: rises with each change, in uneven steps
 * @text: the document, for peers
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
 * route_set_parse() - read a document
 * @out: with one reference on success
 *
 * Return: 0, or ERR_SYNTAX, ERR_KEY_MISSING, ERR_TYPE, ERR_RANGE or
 * ERR_REFERENCE with @err filled.
 */
int route_set_parse(struct str text, struct route_set **out, struct error *err);
struct route_set *route_set_ref(struct route_set *set);
void route_set_unref(struct route_set *set);

/**
 * route_set_find() - the route of a request
 * @host: without the port
 * @path: with or without a query
 *
 * Return: the route of that host with the longest prefix that begins the path,
 * or NULL.
 */
const struct route *route_set_find(const struct route_set *set, struct str host,
				   struct str path);

/**
 * route_set_allows() - the routes of a host allow requests in a region
 *
 * Return: false if each of them, and there are some, is bound to others.
 */
bool route_set_allows(const struct route_set *set, struct str host,
		      const char *region);

/**
 * route_pick_target() - the target of the next request, so that shares follow
 * weights
 */
const struct route_service *route_pick_target(const struct route *route);

const struct route_service *route_set_service(const struct route_set *set,
					      struct str name);

#endif
