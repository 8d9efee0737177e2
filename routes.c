#include "routes.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <json-c/json.h>

#include "json_value.h"
#include "mem.h"

/* Defaults of members that a document leaves out. */
#define DEFAULT_SERVERS_MAX 2
#define DEFAULT_TIMEOUT_MS 30000
#define DEFAULT_CONNECTIONS_MAX 16
#define DEFAULT_COLD_S 3
#define DEFAULT_HEADER_BYTES 16384
#define DEFAULT_BODY_BYTES 1048576
#define DEFAULT_HEADER_TIMEOUT_MS 5000
#define DEFAULT_IDLE_TIMEOUT_MS 15000

static struct json_object *member(struct json_object *object, const char *key)
{
	struct json_object *value = NULL;

	json_object_object_get_ex(object, key, &value);
	return value;
}

static int64_t int_or_default(struct json_object *object, const char *key,
			      int64_t def)
{
	struct json_object *value = member(object, key);

	return value ? json_object_get_int64(value) : def;
}

static double double_or_default(struct json_object *object, const char *key,
				double def)
{
	struct json_object *value = member(object, key);

	return value ? json_object_get_double(value) : def;
}

static char *dup_string(struct json_object *object, const char *key)
{
	struct json_object *value = member(object, key);

	if (!json_object_is_type(value, json_type_string))
		return NULL;
	return mem_dup(json_object_get_string(value));
}

/* Return: NULL unless it is a path that may stand in a request line. */
static char *dup_path(struct json_object *object, const char *key)
{
	char *path = dup_string(object, key);
	const char *c;

	for (c = path; c && *c; c++) {
		if (*c <= ' ' || *c == 127)
			break;
	}
	if (c && !*c && *path == '/')
		return path;
	free(path);
	return NULL;
}

static int row_error(struct error *err, int code, const char *list, size_t i,
		     const char *key, const char *expected)
{
	char subject[ERROR_SUBJECT_SIZE];

	snprintf(subject, sizeof(subject), "%s[%zu].%s", list, i, key);
	return error_set(err, code, subject, NULL, expected);
}

const struct route_service *route_set_service(const struct route_set *set,
					      struct str name)
{
	int i;

	for (i = 0; i < set->n_services; i++) {
		if (str_eq_text(name, set->services[i].name))
			return &set->services[i];
	}
	return NULL;
}

static int read_services(struct route_set *set, struct json_object *list,
			 struct error *err)
{
	size_t n = json_object_array_length(list);
	size_t i;

	set->services = mem_zalloc(n * sizeof(*set->services));
	for (i = 0; i < n; i++) {
		struct json_object *row = json_object_array_get_idx(list, i);
		struct route_service *service = &set->services[i];

		service->name = dup_string(row, "name");
		set->n_services++;
		if (!service->name)
			return row_error(err, ERR_KEY_MISSING, "services", i,
					 "name", "a name");
		service->connections_max =
			int_or_default(row, "connections_max",
				       DEFAULT_CONNECTIONS_MAX);
		service->cold_s =
			double_or_default(row, "cold_s", DEFAULT_COLD_S);
		if (!(service->cold_s >= 0))
			service->cold_s = 0;
		service->cold_per_s = double_or_default(row, "cold_per_s", 0);
		service->health_path = dup_path(row, "health_path");
	}
	return 0;
}

static int add_target(struct route_set *set, struct route *route,
		      struct json_object *name, double weight, size_t i,
		      struct error *err)
{
	struct route_target *target = &route->targets[route->n_targets];

	if (!json_object_is_type(name, json_type_string))
		return row_error(err, ERR_TYPE, "routes", i, "service",
				 "a name");
	target->service =
		route_set_service(set, str_from(json_object_get_string(name)));
	if (!target->service)
		return row_error(err, ERR_REFERENCE, "routes", i, "service",
				 "the name of a service");
	target->weight = weight;
	route->n_targets++;
	return 0;
}

static int read_split(struct route_set *set, struct route *route,
		      struct json_object *list, size_t i, struct error *err)
{
	size_t n = json_object_array_length(list);
	size_t j;
	int ret = 0;

	for (j = 0; j < n && !ret; j++) {
		struct json_object *row = json_object_array_get_idx(list, j);
		struct json_object *weight = member(row, "weight");

		ret = add_target(set, route, member(row, "service"),
				 weight ? json_object_get_double(weight) : 1, i,
				 err);
	}
	return ret;
}

static int read_shards(struct route_set *set, struct route *route,
		       struct json_object *list, size_t i, struct error *err)
{
	size_t n = json_object_array_length(list);
	size_t j;
	int ret = 0;

	route->sharded = true;
	for (j = 0; j < n && !ret; j++)
		ret = add_target(set, route, json_object_array_get_idx(list, j),
				 1, i, err);
	return ret;
}

static int read_targets(struct route_set *set, struct route *route,
			struct json_object *row, size_t i, struct error *err)
{
	struct json_object *shards = member(row, "shards");
	struct json_object *split = member(row, "split");
	struct json_object *list = shards ? shards : split;
	size_t n = 1;

	if (list && !json_object_is_type(list, json_type_array))
		return row_error(err, ERR_TYPE, "routes", i, "shards",
				 "a list");
	if (list)
		n = json_object_array_length(list);
	if (!n)
		return row_error(err, ERR_RANGE, "routes", i, "shards",
				 "at least one service");
	route->targets = mem_zalloc(n * sizeof(*route->targets));
	route->credit = mem_zalloc(n * sizeof(*route->credit));
	if (shards)
		return read_shards(set, route, shards, i, err);
	if (split)
		return read_split(set, route, split, i, err);
	return add_target(set, route, member(row, "service"), 1, i, err);
}

static void read_options(struct route *route, struct json_object *row)
{
	struct json_object *repeat = member(row, "repeat");
	struct json_object *coverage = member(row, "coverage_min");

	/* Requests are repeated only where the document allows it. */
	route->repeatable = route->sharded ||
			    (json_object_is_type(repeat, json_type_string) &&
			     !strcmp(json_object_get_string(repeat), "any"));
	route->timeout_ms =
		int_or_default(row, "timeout_ms", DEFAULT_TIMEOUT_MS);
	route->goal_ms = int_or_default(row, "goal_ms", route->timeout_ms);
	route->servers_max =
		int_or_default(row, "servers_max", DEFAULT_SERVERS_MAX);
	if (route->servers_max < 1)
		route->servers_max = 1;
	route->priority = int_or_default(row, "priority", 0);
	route->records_max = int_or_default(row, "records_max", 0);
	route->coverage_min = coverage ? json_object_get_double(coverage) : 1;
}

/* A list that cannot be read must not count as "any region". */
static int read_regions(struct route *route, struct json_object *row, size_t i,
			struct error *err)
{
	struct json_object *list = member(row, "allowed_regions");
	size_t n;
	size_t j;

	if (!list)
		return 0;
	if (!json_object_is_type(list, json_type_array))
		return row_error(err, ERR_TYPE, "routes", i, "allowed_regions",
				 "a list");
	n = json_object_array_length(list);
	for (j = 0; j < n; j++) {
		struct json_object *name = json_object_array_get_idx(list, j);

		if (!json_object_is_type(name, json_type_string))
			return row_error(err, ERR_TYPE, "routes", i,
					 "allowed_regions", "names");
		region_set_add(&route->regions, json_object_get_string(name));
	}
	return 0;
}

static int read_route(struct route_set *set, struct json_object *row, size_t i,
		      struct error *err)
{
	struct route *route = &set->routes[set->n_routes++];
	int ret;

	route->name = dup_string(row, "name");
	route->host = dup_string(row, "host");
	route->prefix = dup_string(row, "prefix");
	if (!route->host)
		return row_error(err, ERR_KEY_MISSING, "routes", i, "host",
				 "a host");
	if (!route->prefix || route->prefix[0] != '/')
		return row_error(err, ERR_RANGE, "routes", i, "prefix",
				 "a path that begins with a slash");
	route->prefix_len = strlen(route->prefix);
	ret = read_targets(set, route, row, i, err);
	if (ret)
		return ret;
	read_options(route, row);
	return read_regions(route, row, i, err);
}

static int read_routes(struct route_set *set, struct json_object *list,
		       struct error *err)
{
	size_t n = json_object_array_length(list);
	size_t i;
	int ret = 0;

	set->routes = mem_zalloc(n * sizeof(*set->routes));
	for (i = 0; i < n && !ret; i++)
		ret = read_route(set, json_object_array_get_idx(list, i), i,
				 err);
	return ret;
}

static void read_limits(struct caller_limits *limits, struct json_object *row)
{
	limits->header_bytes_max =
		int_or_default(row, "header_bytes_max", DEFAULT_HEADER_BYTES);
	limits->body_bytes_max =
		int_or_default(row, "body_bytes_max", DEFAULT_BODY_BYTES);
	limits->header_timeout_ms = int_or_default(row, "header_timeout_ms",
						   DEFAULT_HEADER_TIMEOUT_MS);
	limits->idle_timeout_ms =
		int_or_default(row, "idle_timeout_ms", DEFAULT_IDLE_TIMEOUT_MS);
}

static int read_document(struct route_set *set, struct json_object *root,
			 struct error *err)
{
	struct json_object *services = member(root, "services");
	struct json_object *routes = member(root, "routes");
	int ret;

	set->version = (uint64_t)int_or_default(root, "version", 0);
	if (!set->version)
		return error_set(err, ERR_KEY_MISSING, "version", NULL,
				 "a number above 0");
	if (!json_object_is_type(services, json_type_array) ||
	    !json_object_is_type(routes, json_type_array))
		return error_set(err, ERR_TYPE, "routes", NULL,
				 "lists of services and routes");
	read_limits(&set->limits, member(root, "limits"));
	ret = read_services(set, services, err);
	return ret ? ret : read_routes(set, routes, err);
}

int route_set_parse(struct str text, struct route_set **out, struct error *err)
{
	struct json_object *root = json_value_parse(text);
	struct route_set *set;
	int ret;

	if (!root)
		return error_set(err, ERR_SYNTAX, "routes", NULL,
				 "a JSON object");
	set = mem_zalloc(sizeof(*set));
	set->refs = 1;
	set->text = mem_dup_len(text.data, text.len);
	set->text_len = text.len;
	ret = read_document(set, root, err);
	json_object_put(root);
	if (ret) {
		route_set_unref(set);
		return ret;
	}
	*out = set;
	return 0;
}

struct route_set *route_set_ref(struct route_set *set)
{
	set->refs++;
	return set;
}

static void finish_route(struct route *route)
{
	free(route->name);
	free(route->host);
	free(route->prefix);
	free(route->targets);
	free(route->credit);
	region_set_finish(&route->regions);
}

void route_set_unref(struct route_set *set)
{
	int i;

	if (!set || --set->refs)
		return;
	for (i = 0; i < set->n_routes; i++)
		finish_route(&set->routes[i]);
	for (i = 0; i < set->n_services; i++) {
		free(set->services[i].name);
		free(set->services[i].health_path);
	}
	free(set->routes);
	free(set->services);
	free(set->text);
	free(set);
}

static bool matches(const struct route *route, struct str host, struct str path)
{
	return strlen(route->host) == host.len &&
	       !strncasecmp(route->host, host.data, host.len) &&
	       route->prefix_len <= path.len &&
	       !memcmp(route->prefix, path.data, route->prefix_len);
}

const struct route *route_set_find(const struct route_set *set, struct str host,
				   struct str path)
{
	const struct route *best = NULL;
	int i;

	for (i = 0; i < set->n_routes; i++) {
		const struct route *route = &set->routes[i];

		if (best && route->prefix_len <= best->prefix_len)
			continue;
		if (matches(route, host, path))
			best = route;
	}
	return best;
}

bool route_set_allows(const struct route_set *set, struct str host,
		      const char *region)
{
	bool restricted = false;
	int i;

	for (i = 0; i < set->n_routes; i++) {
		const struct route *route = &set->routes[i];

		if (strlen(route->host) != host.len ||
		    strncasecmp(route->host, host.data, host.len))
			continue;
		if (region_set_allows(&route->regions, region))
			return true;
		restricted = true;
	}
	return !restricted;
}

/*
 * Smooth weighted round robin: picks the target that is furthest behind its
 * share. A random choice would miss the weights by several percent over a few
 * hundred requests.
 */
const struct route_service *route_pick_target(const struct route *route)
{
	double total = 0;
	double max_credit = -INFINITY;
	int best = 0;
	int i;

	for (i = 0; i < route->n_targets; i++)
		total += route->targets[i].weight;
	for (i = 0; i < route->n_targets; i++) {
		if (total > 0)
			route->credit[i] += route->targets[i].weight / total;
		if (route->targets[i].weight <= 0 ||
		    route->credit[i] <= max_credit)
			continue;
		max_credit = route->credit[i];
		best = i;
	}
	route->credit[best] -= 1;
	return route->targets[best].service;
}
