#include "backend_fault.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include <event2/buffer.h>
#include <event2/listener.h>
#include <json-c/json.h>
#include <utlist.h>

#include "backend_history.h"
#include "backend_holdings.h"
#include "mem.h"

#define LOOPBACK "127.0.0.1"
#define CONTROL_BACKLOG 64
#define DEFAULT_SHED_RETRY_MS 100

struct control_conn {
	struct fault_control *control;
	evhtp_connection_t *evhtp;
	struct control_conn *prev;
	struct control_conn *next;
};

static double get_number(struct json_object *command, const char *name,
			 double def)
{
	struct json_object *value;

	if (!json_object_object_get_ex(command, name, &value))
		return def;
	return json_object_get_double(value);
}

static const char *get_text(struct json_object *command, const char *name)
{
	struct json_object *value;

	if (!json_object_object_get_ex(command, name, &value))
		return NULL;
	return json_object_get_string(value);
}

static int apply_slow(struct server *server, struct json_object *command)
{
	struct faults *faults = &server->faults;

	faults->slow_factor = get_number(command, "factor", 1);
	faults->slow_probability = get_number(command, "probability", 1);
	faults->slow_shard_lo = (uint32_t)get_number(command, "shard_lo", 0);
	faults->slow_shard_hi =
		(uint32_t)get_number(command, "shard_hi", RECORDS_POINTS - 1);
	return 0;
}

/* A command without a marker turns the fault off. */
static int apply_crash_on(struct server *server, struct json_object *command)
{
	const char *marker = get_text(command, "marker");

	free(server->faults.crash_marker);
	server->faults.crash_marker =
		marker && *marker ? mem_dup(marker) : NULL;
	server->faults.restart_ms =
		(int64_t)get_number(command, "restart_ms", -1);
	return 0;
}

static int apply_crash(struct server *server, struct json_object *command)
{
	server->faults.restart_ms =
		(int64_t)get_number(command, "restart_ms", -1);
	server_crash_soon(server);
	return 0;
}

static int apply_silent(struct server *server, struct json_object *command)
{
	server_silence_conns(server,
			     (int64_t)get_number(command, "forget_ms", -1));
	return 0;
}

static int apply_pause(struct server *server, struct json_object *command)
{
	server_pause(server, (int64_t)get_number(command, "ms", 1000));
	return 0;
}

static int apply_shed(struct server *server, struct json_object *command)
{
	server->faults.shed_ratio = get_number(command, "ratio", 0);
	server->faults.shed_retry_ms =
		(int64_t)get_number(command, "retry_ms", DEFAULT_SHED_RETRY_MS);
	return 0;
}

static int apply_drain(struct server *server, struct json_object *command)
{
	server_drain(server, get_number(command, "on", 1) != 0);
	return 0;
}

static int apply_wrong_version(struct server *server,
			       struct json_object *command)
{
	server->faults.wrong_version_probability =
		get_number(command, "probability", 1);
	return 0;
}

static int apply_wrong_id(struct server *server, struct json_object *command)
{
	server->faults.wrong_id_probability =
		get_number(command, "probability", 1);
	return 0;
}

static int apply_truncate(struct server *server, struct json_object *command)
{
	server->faults.truncate_probability =
		get_number(command, "probability", 1);
	return 0;
}

static int apply_version(struct server *server, struct json_object *command)
{
	double version = get_number(command, "version", 0);
	double shards =
		get_number(command, "shards", (double)server->config.shards);

	if (version < 1)
		return ERR_RANGE;
	return holdings_switch_version(server, (uint64_t)version, (int)shards,
				       (int64_t)get_number(command, "keep_ms",
							   0));
}

static int apply_cold(struct server *server, struct json_object *command)
{
	server->config.cold_factor =
		get_number(command, "factor", server->config.cold_factor);
	server_make_cold(server, (int64_t)get_number(command, "ms", 0),
			 (int64_t)get_number(command, "requests", 0));
	return 0;
}

static int apply_fake_health(struct server *server, struct json_object *command)
{
	struct faults *faults = &server->faults;

	faults->fake_health = get_number(command, "on", 1) != 0;
	faults->fake_healthy = get_number(command, "healthy", 1) != 0;
	faults->fake_load = get_number(command, "load", 0);
	return 0;
}

static int apply_reset(struct server *server, struct json_object *command)
{
	(void)command;
	server_reset_all(server);
	return 0;
}

static int apply_service_time(struct server *server,
			      struct json_object *command)
{
	struct server_config *config = &server->config;

	config->service_us = (int64_t)get_number(command, "service_us",
						 (double)config->service_us);
	config->service_random_us =
		(int64_t)get_number(command, "service_random_us",
				    (double)config->service_random_us);
	return 0;
}

/* Peaks restart at the current number of connections and running requests. */
static int apply_clear_counters(struct server *server,
				struct json_object *command)
{
	(void)command;
	memset(&server->counters, 0, sizeof(server->counters));
	server->counters.peak_open = server->n_conns;
	server->counters.peak_running = server->running;
	return 0;
}

struct fault_handler {
	const char *name;
	int (*apply)(struct server *server, struct json_object *command);
};

static const struct fault_handler fault_handlers[] = {
	{"slow", apply_slow},
	{"crash_on", apply_crash_on},
	{"crash", apply_crash},
	{"silent", apply_silent},
	{"pause", apply_pause},
	{"shed", apply_shed},
	{"drain", apply_drain},
	{"wrong_version", apply_wrong_version},
	{"foreign", apply_wrong_id},
	{"truncate", apply_truncate},
	{"version", apply_version},
	{"cold", apply_cold},
	{"lie_health", apply_fake_health},
	{"reset", apply_reset},
	{"service_time", apply_service_time},
	{"clear_counters", apply_clear_counters},
};

static const struct fault_handler *find_fault_handler(const char *name)
{
	size_t i;

	for (i = 0;
	     name && i < sizeof(fault_handlers) / sizeof(*fault_handlers);
	     i++) {
		if (!strcmp(fault_handlers[i].name, name))
			return &fault_handlers[i];
	}
	return NULL;
}

static bool is_targeted(const struct server *server,
			struct json_object *command)
{
	const char *name = get_text(command, "server");
	const char *service = get_text(command, "service");

	if (service)
		return !strcmp(service, server->config.service);
	return name &&
	       (!strcmp(name, "*") || !strcmp(name, server->config.server));
}

static void reply_error(evhtp_request_t *request, int code)
{
	evbuffer_add_printf(request->buffer_out, "{\"error\":\"%s\"}\n",
			    error_name(code));
	evhtp_send_reply(request, EVHTP_RES_BADREQ);
}

static void apply_command(struct fault_control *control,
			  evhtp_request_t *request, struct json_object *command)
{
	const struct fault_handler *fault =
		find_fault_handler(get_text(command, "fault"));
	int n_targeted = 0;
	int i;

	if (!fault) {
		reply_error(request, ERR_KEY_UNKNOWN);
		return;
	}
	for (i = 0; i < control->n_servers; i++) {
		struct server *server = &control->servers[i];
		int ret;

		if (!is_targeted(server, command))
			continue;
		ret = fault->apply(server, command);
		if (ret) {
			reply_error(request, ret);
			return;
		}
		history_record_fault(server, command);
		n_targeted++;
	}
	evbuffer_add_printf(request->buffer_out, "{\"servers\":%d}\n",
			    n_targeted);
	evhtp_send_reply(request, EVHTP_RES_OK);
}

static void add_int(struct json_object *out, const char *name, int64_t value)
{
	json_object_object_add(out, name, json_object_new_int64(value));
}

static struct json_object *tickets_json(const struct server *server)
{
	struct json_object *out = json_object_new_object();
	struct ticket_count *entry;
	struct ticket_count *tmp;

	HASH_ITER (hh, server->tickets, entry, tmp)
		add_int(out, entry->ticket, entry->n);
	return out;
}

static void add_counters(struct json_object *out,
			 const struct server_counters *counters)
{
	struct json_object *received = json_object_new_object();
	struct json_object *answers = json_object_new_object();
	int i;

	for (i = 0; i < KIND_COUNT; i++)
		add_int(received, request_kind_names[i], counters->received[i]);
	for (i = 0; i < ANSWER_COUNT; i++)
		add_int(answers, answer_kind_names[i], counters->answers[i]);
	json_object_object_add(out, "received", received);
	json_object_object_add(out, "answers", answers);
	add_int(out, "runs", counters->runs);
	add_int(out, "shards_asked", counters->shards_asked);
	add_int(out, "connections_opened", counters->opened);
	add_int(out, "connections_refused", counters->refused_connections);
	add_int(out, "connections_peak", counters->peak_open);
	add_int(out, "slots_peak", counters->peak_running);
	add_int(out, "queued_peak", counters->peak_queued);
	add_int(out, "crashes", counters->crashes);
	add_int(out, "received_after_drain", counters->received_after_drain);
	add_int(out, "last_after_drain_us", counters->last_after_drain_us);
}

static struct json_object *server_json(const struct server *server,
				       bool with_tickets)
{
	struct json_object *out = json_object_new_object();
	struct json_object *versions = json_object_new_array();
	int i;

	for (i = 0; i < server->n_versions; i++)
		json_object_array_add(versions,
				      json_object_new_int64(
					      (int64_t)server->versions[i]
						      .snapshot->version));
	json_object_object_add(out, "service",
			       json_object_new_string(server->config.service));
	add_int(out, "port", server->port);
	add_int(out, "down", server->down);
	add_int(out, "draining", server->draining);
	add_int(out, "connections_open", server->n_conns);
	add_int(out, "running", server->running);
	json_object_object_add(out, "versions", versions);
	add_counters(out, &server->counters);
	if (with_tickets)
		json_object_object_add(out, "tickets", tickets_json(server));
	return out;
}

static const char *query_value(const evhtp_request_t *request, const char *name)
{
	if (!request->uri->query)
		return NULL;
	return evhtp_kv_find(request->uri->query, name);
}

static void reply_counters(struct fault_control *control,
			   evhtp_request_t *request)
{
	const char *name = query_value(request, "server");
	bool with_tickets = query_value(request, "tickets");
	struct json_object *root = json_object_new_object();
	struct json_object *servers = json_object_new_object();
	int i;

	json_object_object_add(root, "servers", servers);
	for (i = 0; i < control->n_servers; i++) {
		const struct server *server = &control->servers[i];

		if (name && strcmp(name, server->config.server))
			continue;
		json_object_object_add(servers, server->config.server,
				       server_json(server, with_tickets));
	}
	evbuffer_add_printf(
		request->buffer_out, "%s\n",
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN));
	json_object_put(root);
	evhtp_send_reply(request, EVHTP_RES_OK);
}

static void on_control(evhtp_request_t *request, void *arg)
{
	struct fault_control *control = arg;
	struct evbuffer *in = request->buffer_in;
	struct json_object *command;

	if (request->method == htp_method_GET) {
		reply_counters(control, request);
		return;
	}
	evbuffer_add(in, "", 1);
	command = json_tokener_parse((char *)evbuffer_pullup(in, -1));
	if (json_object_is_type(command, json_type_object))
		apply_command(control, request, command);
	else
		reply_error(request, ERR_SYNTAX);
	json_object_put(command);
}

static evhtp_res on_conn_closed(evhtp_connection_t *evhtp, void *arg)
{
	struct control_conn *conn = arg;

	(void)evhtp;
	DL_DELETE(conn->control->conns, conn);
	free(conn);
	return EVHTP_RES_OK;
}

static evhtp_res on_accept(evhtp_connection_t *evhtp, void *arg)
{
	struct fault_control *control = arg;
	struct control_conn *conn = mem_zalloc(sizeof(*conn));

	conn->control = control;
	conn->evhtp = evhtp;
	DL_APPEND(control->conns, conn);
	evhtp_connection_set_hook(evhtp, evhtp_hook_on_connection_fini,
				  (evhtp_hook)on_conn_closed, conn);
	return EVHTP_RES_OK;
}

int fault_control_init(struct fault_control *control, struct event_base *base,
		       struct server *servers, int n_servers, uint16_t port)
{
	struct sockaddr_in sin;
	socklen_t len = sizeof(sin);

	control->servers = servers;
	control->n_servers = n_servers;
	control->conns = NULL;
	control->htp = evhtp_new(base, NULL);
	evhtp_set_post_accept_cb(control->htp, on_accept, control);
	evhtp_set_cb(control->htp, "/control", on_control, control);
	if (evhtp_bind_socket(control->htp, LOOPBACK, port, CONTROL_BACKLOG) ||
	    getsockname(evconnlistener_get_fd(control->htp->server),
			(struct sockaddr *)&sin, &len)) {
		fault_control_finish(control);
		return ERR_ADDRESS;
	}
	control->port = ntohs(sin.sin_port);
	return 0;
}

void fault_control_finish(struct fault_control *control)
{
	while (control->conns)
		evhtp_connection_free(control->conns->evhtp);
	if (control->htp->server)
		evhtp_unbind_socket(control->htp);
	evhtp_free(control->htp);
}
