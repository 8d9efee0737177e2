#include "platform.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <event2/event.h>
#include <event2/http.h>
#include <json-c/json.h>
#include <utlist.h>

#include "mem.h"

/* An instance list to be published after the lag; owns its data. */
struct pending_list {
	struct platform *platform;
	struct event *timer;
	uint64_t number;
	char *data;
	size_t len;
	struct pending_list *prev;
	struct pending_list *next;
};

static void reply_revision(struct platform *platform,
			   struct evhttp_request *req)
{
	struct json_object *body = json_object_new_object();

	json_object_object_add(body, "revision",
			       json_object_new_uint64(
				       platform->store.revision));
	common_reply_json(req, HTTP_OK, body);
}

void platform_control_value(struct platform *platform,
			    struct evhttp_request *req, const char *key)
{
	struct str body = common_request_body(req);

	if (evhttp_request_get_command(req) != EVHTTP_REQ_PUT) {
		common_reply_empty(req, HTTP_BADMETHOD);
		return;
	}
	if (!*key || strlen(key) >= STORE_KEY_SIZE) {
		common_reply_empty(req, HTTP_BADREQUEST);
		return;
	}
	if (body.len > STORE_VALUE_MAX_BYTES) {
		common_reply_empty(req, PLATFORM_HTTP_TOO_LARGE);
		return;
	}
	store_put(&platform->store, key, body);
	platform_answer_waiting(platform);
	reply_revision(platform, req);
}

static void publish_table(struct platform *platform, struct str text)
{
	store_publish_table(&platform->store, text,
			    (size_t)platform->options.part_bytes);
	platform_answer_waiting(platform);
}

static char *read_file(const char *path, size_t *len)
{
	FILE *file = fopen(path, "rb");
	char *data = NULL;
	size_t cap = 0;

	if (!file)
		return NULL;
	*len = 0;
	do {
		cap += STORE_VALUE_MAX_BYTES;
		data = mem_realloc(data, cap);
		*len += fread(data + *len, 1, cap - *len, file);
	} while (*len == cap);
	fclose(file);
	return data;
}

static bool publish_file(struct platform *platform, const char *path)
{
	size_t len;
	char *data = read_file(path, &len);

	if (!data)
		return false;
	publish_table(platform, (struct str){data, len});
	free(data);
	return true;
}

static void control_publish(struct evhttp_request *req, void *arg)
{
	struct platform *platform = arg;
	struct json_object *root = common_request_json(req);
	struct json_object *path;

	if (!root || !json_object_object_get_ex(root, "table_file", &path)) {
		publish_table(platform, common_request_body(req));
		reply_revision(platform, req);
	} else if (publish_file(platform, json_object_get_string(path))) {
		reply_revision(platform, req);
	} else {
		common_reply_empty(req, HTTP_BADREQUEST);
	}
	json_object_put(root);
}

/* A missing, null, false or zero revision takes the fault away. */
static uint64_t read_revision(struct json_object *value)
{
	uint64_t revision = json_object_get_uint64(value);

	return revision ? revision : STORE_NEWEST;
}

static void set_alternating(struct platform_state *state,
			    struct json_object *value)
{
	int i;

	state->alternating[0] = STORE_NEWEST;
	state->alternating[1] = STORE_NEWEST;
	state->n_alternating_calls = 0;
	if (!json_object_is_type(value, json_type_array) ||
	    json_object_array_length(value) != 2)
		return;
	for (i = 0; i < 2; i++)
		state->alternating[i] = json_object_get_uint64(
			json_object_array_get_idx(value, i));
}

static bool set_state(struct platform *platform, const char *key,
		      struct json_object *value)
{
	struct platform_state *state = &platform->state;

	if (!strcmp(key, "down"))
		state->down = json_object_get_boolean(value);
	else if (!strcmp(key, "stale"))
		state->stale_revision = json_object_get_boolean(value)
						? platform->store.revision
						: STORE_NEWEST;
	else if (!strcmp(key, "serve_old"))
		state->old_revision = read_revision(value);
	else if (!strcmp(key, "flap"))
		set_alternating(state, value);
	else if (!strcmp(key, "latency_ms"))
		platform->options.latency_ms = json_object_get_int64(value);
	else if (!strcmp(key, "list_lag_ms"))
		platform->options.list_lag_ms = json_object_get_int64(value);
	else
		return false;
	return true;
}

static void control_state(struct evhttp_request *req, void *arg)
{
	struct platform *platform = arg;
	struct json_object *root = common_request_json(req);
	bool known = !!root;

	if (root) {
		json_object_object_foreach(root, key, value)
		{
			known = set_state(platform, key, value) && known;
		}
	}
	json_object_put(root);
	platform_answer_waiting(platform);
	if (known)
		reply_revision(platform, req);
	else
		common_reply_empty(req, HTTP_BADREQUEST);
}

static struct json_object *counter_json(const struct platform_counter *counter)
{
	struct json_object *by_status = json_object_new_object();
	char name[8];
	int i;

	for (i = 0; i < PLATFORM_STATUS_MAX; i++) {
		if (!counter->by_status[i])
			continue;
		snprintf(name, sizeof(name), "%d", i);
		json_object_object_add(by_status, name,
				       json_object_new_uint64(
					       counter->by_status[i]));
	}
	return by_status;
}

static void control_counters(struct evhttp_request *req, void *arg)
{
	struct platform *platform = arg;
	struct json_object *body = json_object_new_object();
	struct json_object *by_key = json_object_new_object();
	struct platform_counter *counter;
	struct platform_counter *next;

	HASH_ITER (hh, platform->counters, counter, next) {
		json_object_object_add(by_key, counter->key,
				       counter_json(counter));
	}
	json_object_object_add(body, "calls",
			       json_object_new_uint64(platform->n_calls));
	json_object_object_add(body, "by_key", by_key);
	json_object_object_add(body, "waiting",
			       json_object_new_int(platform->n_waiting));
	json_object_object_add(body, "revision",
			       json_object_new_uint64(
				       platform->store.revision));
	common_reply_json(req, HTTP_OK, body);
}

static void free_pending_list(struct pending_list *list)
{
	DL_DELETE(list->platform->pending_lists, list);
	event_free(list->timer);
	free(list->data);
	free(list);
}

static void on_list_lag_over(evutil_socket_t fd, short what, void *arg)
{
	struct pending_list *list = arg;
	struct platform *platform = list->platform;

	(void)fd;
	(void)what;
	/* If the lag was shortened, an older list must not replace a newer. */
	if (list->number > platform->last_published_number) {
		platform->last_published_number = list->number;
		store_put(&platform->store, "instances",
			  (struct str){list->data, list->len});
		platform_answer_waiting(platform);
	}
	free_pending_list(list);
}

static void control_instances(struct evhttp_request *req, void *arg)
{
	struct platform *platform = arg;
	struct str body = common_request_body(req);
	struct pending_list *list;
	struct timeval tv = common_timeval(MSEC(platform->options.list_lag_ms));

	if (body.len > STORE_VALUE_MAX_BYTES) {
		common_reply_empty(req, PLATFORM_HTTP_TOO_LARGE);
		return;
	}
	list = mem_zalloc(sizeof(*list));
	list->platform = platform;
	list->number = ++platform->last_list_number;
	list->data = mem_dup_len(body.data, body.len);
	list->len = body.len;
	list->timer =
		evtimer_new(platform->server.base, on_list_lag_over, list);
	DL_APPEND(platform->pending_lists, list);
	if (platform->options.list_lag_ms)
		evtimer_add(list->timer, &tv);
	else
		on_list_lag_over(-1, 0, list);
	reply_revision(platform, req);
}

void platform_control_init(struct platform *platform)
{
	evhttp_set_cb(platform->server.http, "/control/publish",
		      control_publish, platform);
	evhttp_set_cb(platform->server.http, "/control/state", control_state,
		      platform);
	evhttp_set_cb(platform->server.http, "/control/counters",
		      control_counters, platform);
	evhttp_set_cb(platform->server.http, "/control/instances",
		      control_instances, platform);
}

void platform_control_finish(struct platform *platform)
{
	while (platform->pending_lists)
		free_pending_list(platform->pending_lists);
}
