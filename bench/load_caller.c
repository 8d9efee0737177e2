#include "load_caller.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "clock.h"
#include "error.h"
#include "mem.h"

/* Delay before a failed fetch of the address list is retried. */
#define REFRESH_RETRY_MS 200

static int parse_initial_targets(struct load_callers *callers,
				 const char *initial_targets)
{
	char *copy = mem_dup(initial_targets);
	char *rest = copy;
	char *name;
	int cap = 0;
	int ret = 0;

	while ((name = strsep(&rest, ","))) {
		struct load_target *target =
			load_pool_target(callers->pool, name);

		if (!target) {
			ret = ERR_ADDRESS;
			break;
		}
		MEM_GROW(callers->initial_targets, callers->n_initial, cap);
		callers->initial_targets[callers->n_initial++] = target;
	}
	free(copy);
	return ret;
}

int load_callers_init(struct load_callers *callers, struct load_pool *pool,
		      const struct clock *clock, const char *initial_targets,
		      const char *data_centre, int n)
{
	int i;

	memset(callers, 0, sizeof(*callers));
	callers->pool = pool;
	callers->clock = clock;
	callers->data_centre = data_centre;
	snprintf(callers->path, sizeof(callers->path), "/v1/addresses%s%s",
		 data_centre ? "?data_centre=" : "",
		 data_centre ? data_centre : "");
	callers->n = n;
	callers->items = mem_zalloc((size_t)n * sizeof(*callers->items));
	for (i = 0; i < n; i++) {
		callers->items[i].callers = callers;
		callers->items[i].next_source = i;
	}
	return parse_initial_targets(callers, initial_targets);
}

void load_callers_finish(struct load_callers *callers)
{
	int i;

	for (i = 0; i < callers->n; i++)
		free(callers->items[i].endpoints);
	free(callers->items);
	free(callers->initial_targets);
}

static bool read_endpoint(struct load_caller *caller,
			  struct load_endpoint *endpoint,
			  struct json_object *row)
{
	const char *own_data_centre = caller->callers->data_centre;
	struct json_object *value;

	if (!json_object_object_get_ex(row, "address", &value))
		return false;
	endpoint->target = load_pool_target(caller->callers->pool,
					    json_object_get_string(value));
	endpoint->failed = false;
	endpoint->local = !own_data_centre;
	if (own_data_centre &&
	    json_object_object_get_ex(row, "data_centre", &value))
		endpoint->local =
			!strcmp(json_object_get_string(value), own_data_centre);
	return !!endpoint->target;
}

static bool read_addresses(struct load_caller *caller, struct json_object *root)
{
	struct json_object *list;
	struct json_object *lifetime;
	struct load_endpoint *endpoints;
	int n;
	int i;

	if (!json_object_object_get_ex(root, "addresses", &list) ||
	    !json_object_is_type(list, json_type_array) ||
	    !json_object_object_get_ex(root, "lifetime_ms", &lifetime))
		return false;
	n = (int)json_object_array_length(list);
	if (!n)
		return false;
	endpoints = mem_zalloc((size_t)n * sizeof(*endpoints));
	for (i = 0; i < n; i++) {
		if (read_endpoint(caller, &endpoints[i],
				  json_object_array_get_idx(list, (size_t)i)))
			continue;
		free(endpoints);
		return false;
	}
	free(caller->endpoints);
	caller->endpoints = endpoints;
	caller->n_endpoints = n;
	caller->expires = clock_now(caller->callers->clock) +
			  MSEC(json_object_get_int64(lifetime));
	return true;
}

static bool read_reply(struct load_caller *caller,
		       const struct load_reply *reply)
{
	struct json_tokener *tok;
	struct json_object *root;
	bool good = false;

	if (reply->result != LOAD_RESULT_REPLY || reply->status != 200)
		return false;
	tok = json_tokener_new();
	root = json_tokener_parse_ex(tok, reply->body.data,
				     (int)reply->body.len);
	json_tokener_free(tok);
	if (json_object_is_type(root, json_type_object))
		good = read_addresses(caller, root);
	json_object_put(root);
	return good;
}

static void addresses_received(void *arg, const struct load_reply *reply)
{
	struct load_caller *caller = arg;
	struct load_callers *callers = caller->callers;

	caller->is_refreshing = false;
	if (read_reply(caller, reply)) {
		caller->ready = true;
		callers->refreshes++;
		return;
	}
	callers->refresh_failures++;
	caller->next_source++;
	caller->expires = clock_now(callers->clock) + MSEC(REFRESH_RETRY_MS);
}

/* Cycles through the endpoints of the last list, then the initial targets. */
static struct load_target *refresh_source(struct load_caller *caller)
{
	struct load_callers *callers = caller->callers;
	int i = caller->next_source %
		(caller->n_endpoints + callers->n_initial);

	if (i < caller->n_endpoints)
		return caller->endpoints[i].target;
	return callers->initial_targets[i - caller->n_endpoints];
}

static void request_addresses(struct load_caller *caller)
{
	struct load_message message = {
		.method = EVHTTP_REQ_GET,
		.path = caller->callers->path,
		.body = STR(""),
	};

	caller->is_refreshing = true;
	load_pool_send(refresh_source(caller), &message, addresses_received,
		       caller);
}

/* With fixed addresses, the initial targets are the list of every caller. */
static void use_initial_targets(struct load_caller *caller)
{
	struct load_callers *callers = caller->callers;
	int i;

	caller->n_endpoints = callers->n_initial;
	caller->endpoints = mem_realloc(caller->endpoints,
					(size_t)caller->n_endpoints *
						sizeof(*caller->endpoints));
	for (i = 0; i < caller->n_endpoints; i++)
		caller->endpoints[i] = (struct load_endpoint){
			.target = callers->initial_targets[i], .local = true};
	caller->ready = true;
	caller->expires = clock_now(callers->clock) + MSEC(REFRESH_RETRY_MS);
}

static void refresh(struct load_caller *caller)
{
	struct load_callers *callers = caller->callers;

	if (caller->is_refreshing ||
	    clock_now(callers->clock) < caller->expires)
		return;
	if (callers->fixed)
		use_initial_targets(caller);
	else
		request_addresses(caller);
}

void load_callers_refresh(struct load_callers *callers)
{
	int i;

	for (i = 0; i < callers->n; i++)
		refresh(&callers->items[i]);
}

bool load_callers_ready(const struct load_callers *callers)
{
	int i;

	for (i = 0; i < callers->n; i++) {
		if (!callers->items[i].ready)
			return false;
	}
	return true;
}

static bool is_candidate(const struct load_endpoint *endpoint, bool only_local,
			 const struct load_target *avoid)
{
	return !endpoint->failed && endpoint->target != avoid &&
	       (endpoint->local || !only_local);
}

static struct load_target *pick_endpoint(struct load_caller *caller,
					 double random, bool only_local,
					 const struct load_target *avoid)
{
	int n = 0;
	int i;

	for (i = 0; i < caller->n_endpoints; i++)
		n += is_candidate(&caller->endpoints[i], only_local, avoid);
	n = (int)(random * n);
	for (i = 0; i < caller->n_endpoints; i++) {
		if (!is_candidate(&caller->endpoints[i], only_local, avoid))
			continue;
		if (!n--)
			return caller->endpoints[i].target;
	}
	return NULL;
}

struct load_target *load_caller_pick(struct load_caller *caller, double random,
				     const struct load_target *avoid)
{
	struct load_target *target = pick_endpoint(caller, random, true, avoid);

	if (!target)
		target = pick_endpoint(caller, random, false, avoid);
	if (!target && avoid)
		target = load_caller_pick(caller, random, NULL);
	if (!target)
		target = caller->callers->initial_targets[0];
	return target;
}

void load_caller_connect_failed(struct load_caller *caller,
				const struct load_target *target)
{
	int i;

	for (i = 0; i < caller->n_endpoints; i++) {
		if (caller->endpoints[i].target == target)
			caller->endpoints[i].failed = true;
	}
	/* Do not fetch the list from the target that failed. */
	for (i = 0; i < caller->n_endpoints && refresh_source(caller) == target;
	     i++)
		caller->next_source++;
	caller->expires = clock_now(caller->callers->clock);
	refresh(caller);
}
