/* bench-backend: hosts many backend server stand-ins in one process. */
#define LOG_MODULE "backend"

#include <argp.h>
#include <inttypes.h>
#include <libgen.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <uthash.h>

#include "backend_config.h"
#include "backend_fault.h"
#include "backend_server.h"
#include "log.h"
#include "mem.h"

#define HISTORY_FLUSH_MS 200
#define HISTORY_BUFFER_BYTES 1048576

/* A data file, loaded once and shared by all servers of a service. */
struct data_file {
	char *path;
	struct records records;
	UT_hash_handle hh;
};

/**
 * struct backend - state of the process
 * @servers_path: path of servers.json
 * @only: names of the servers to host, separated by commas; NULL for all
 * @part: which of @parts is hosted here, from 1
 * @parts: number of processes that share the servers; 0: no split
 * @control_port: port of /control, 0 for an ephemeral port
 * @history_path: file of the history, or NULL
 * @seed: seed of service times and fault probabilities
 * @overrides: members that take precedence over those of servers.json
 * @base: event loop
 * @servers: hosted servers, each using @base and a data file of @files
 * @n_servers: number of hosted servers
 * @files: loaded data files by path
 * @history: open history file, or NULL
 * @control: control port
 * @flush_event: flushes @history periodically
 * @signal_events: end the event loop on SIGTERM and SIGINT
 */
struct backend {
	const char *servers_path;
	const char *only;
	int part;
	int parts;
	uint16_t control_port;
	const char *history_path;
	uint64_t seed;
	struct json_object *overrides;

	struct event_base *base;
	struct server *servers;
	int n_servers;
	struct data_file *files;
	FILE *history;
	struct fault_control control;
	struct event *flush_event;
	struct event *signal_events[2];
};

static const struct argp_option arguments[] = {
	{"servers", 's', "FILE", 0, "servers.json of generate.py", 0},
	{"only", 'o', "NAME,...", 0, "host only these servers", 0},
	{"part", 'p', "I/N", 0, "host each N-th server, from the I-th (1..N)",
	 0},
	{"control-port", 'c', "PORT", 0,
	 "port of /control (default: ephemeral)", 0},
	{"history", 'H', "FILE", 0, "write a history of requests as JSON lines",
	 0},
	{"seed", 'S', "N", 0, "seed of service times and fault probabilities",
	 0},
	{"service-us", 'u', "N", 0, "fixed part of the service time", 0},
	{"service-random-us", 'r', "N", 0,
	 "mean of the exponential part of the service time", 0},
	{"service-dist", 'd', "DIST", 0,
	 "shifted (both parts, default), fixed, or exp (mean --service-us)", 0},
	{"set", 'x', "NAME=VALUE", 0,
	 "override a member in the entries of all servers", 0},
	{0},
};

static void add_override(struct backend *backend, const char *name,
			 const char *value)
{
	struct json_object *parsed = json_tokener_parse(value);

	if (!parsed)
		parsed = json_object_new_string(value);
	json_object_object_add(backend->overrides, name, parsed);
}

static void add_setting(struct backend *backend, char *text,
			struct argp_state *state)
{
	char *equals = strchr(text, '=');

	if (!equals)
		argp_error(state, "NAME=VALUE expected");
	*equals = '\0';
	add_override(backend, text, equals + 1);
}

static error_t parse_argument(int key, char *arg, struct argp_state *state)
{
	struct backend *backend = state->input;

	switch (key) {
	case 's':
		backend->servers_path = arg;
		return 0;
	case 'o':
		backend->only = arg;
		return 0;
	case 'p':
		if (sscanf(arg, "%d/%d", &backend->part, &backend->parts) !=
			    2 ||
		    backend->part < 1 || backend->part > backend->parts)
			argp_error(state, "I/N with 1 <= I <= N expected");
		return 0;
	case 'c':
		backend->control_port = (uint16_t)atoi(arg);
		return 0;
	case 'H':
		backend->history_path = arg;
		return 0;
	case 'S':
		backend->seed = strtoull(arg, NULL, 10);
		return 0;
	case 'u':
		add_override(backend, "service_us", arg);
		return 0;
	case 'r':
		add_override(backend, "service_random_us", arg);
		return 0;
	case 'd':
		add_override(backend, "service_dist", arg);
		return 0;
	case 'x':
		add_setting(backend, arg, state);
		return 0;
	case ARGP_KEY_END:
		if (!backend->servers_path)
			argp_error(state, "--servers is required");
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

static const struct argp parser = {
	arguments, parse_argument,
	NULL,	   "Hosts backend server stand-ins as in docs/PROTOCOL.md.",
	NULL,	   NULL,
	NULL,
};

static uint64_t first_version(struct json_object *entry)
{
	struct json_object *versions;

	if (!json_object_object_get_ex(entry, "versions", &versions) ||
	    !json_object_is_type(versions, json_type_array) ||
	    !json_object_array_length(versions))
		return 1;
	return json_object_get_uint64(json_object_array_get_idx(versions, 0));
}

static bool is_listed(const char *list, const char *name)
{
	size_t len = strlen(name);

	while (*list) {
		size_t n = strcspn(list, ",");

		if (n == len && !memcmp(list, name, n))
			return true;
		list += n + (list[n] == ',');
	}
	return false;
}

static bool is_selected(const struct backend *backend, const char *name, int i)
{
	if (backend->only && !is_listed(backend->only, name))
		return false;
	return !backend->parts || i % backend->parts == backend->part - 1;
}

/* Data files are in the directory of servers.json. */
static int load_records(struct backend *backend, const char *data,
			struct records **out, struct error *err)
{
	char *copy = mem_dup(backend->servers_path);
	struct data_file *file;
	char path[4096];
	int ret;

	snprintf(path, sizeof(path), "%s/%s", dirname(copy), data);
	free(copy);
	HASH_FIND_STR(backend->files, path, file);
	if (file) {
		*out = &file->records;
		return 0;
	}
	file = mem_zalloc(sizeof(*file));
	ret = records_init(&file->records, path, err);
	if (ret) {
		free(file);
		return ret;
	}
	file->path = mem_dup(path);
	HASH_ADD_KEYPTR(hh, backend->files, file->path, strlen(file->path),
			file);
	*out = &file->records;
	return 0;
}

static int add_server(struct backend *backend, struct json_object *entry,
		      struct error *err)
{
	struct server_config config;
	struct records *records;
	int ret;

	ret = server_config_init(&config, entry, backend->overrides, err);
	if (ret)
		return ret;
	ret = load_records(backend, config.data, &records, err);
	if (ret) {
		server_config_finish(&config);
		return ret;
	}
	ret = server_init(&backend->servers[backend->n_servers], &config,
			  backend->base, records, first_version(entry),
			  backend->seed, backend->history);
	if (ret)
		return error_set(err, ret, "port", NULL, "a free port");
	backend->n_servers++;
	return 0;
}

static int add_servers(struct backend *backend, struct json_object *root,
		       struct error *err)
{
	struct json_object *list;
	int n;
	int i;

	if (!json_object_object_get_ex(root, "servers", &list) ||
	    !json_object_is_type(list, json_type_array))
		return error_set(err, ERR_TYPE, "servers", NULL, "a list");
	n = (int)json_object_array_length(list);
	backend->servers = mem_zalloc(n * sizeof(*backend->servers));
	for (i = 0; i < n; i++) {
		struct json_object *entry = json_object_array_get_idx(list, i);
		struct json_object *name = NULL;
		int ret;

		json_object_object_get_ex(entry, "server", &name);
		if (!name ||
		    !is_selected(backend, json_object_get_string(name), i))
			continue;
		ret = add_server(backend, entry, err);
		if (ret)
			return ret;
	}
	if (!backend->n_servers)
		return error_set(err, ERR_REFERENCE, "servers", backend->only,
				 "at least one to host");
	return 0;
}

static int load_servers(struct backend *backend, struct error *err)
{
	struct json_object *root = json_object_from_file(backend->servers_path);
	int ret;

	if (!root)
		return error_set(err, ERR_SYNTAX, backend->servers_path, NULL,
				 "servers.json");
	ret = add_servers(backend, root, err);
	json_object_put(root);
	if (ret)
		return ret;
	if (fault_control_init(&backend->control, backend->base,
			       backend->servers, backend->n_servers,
			       backend->control_port))
		return error_set(err, ERR_ADDRESS, "control port", NULL,
				 "a free port");
	return 0;
}

static void on_flush(evutil_socket_t fd, short what, void *arg)
{
	struct backend *backend = arg;

	(void)fd;
	(void)what;
	fflush(backend->history);
}

static void on_signal(evutil_socket_t fd, short what, void *arg)
{
	struct backend *backend = arg;

	(void)fd;
	(void)what;
	event_base_loopexit(backend->base, NULL);
}

static int open_history(struct backend *backend, struct error *err)
{
	struct timeval period = {0, HISTORY_FLUSH_MS * USEC_PER_MSEC};

	if (!backend->history_path)
		return 0;
	backend->history = fopen(backend->history_path, "w");
	if (!backend->history)
		return error_set(err, ERR_IO, backend->history_path, NULL,
				 "a file to write");
	setvbuf(backend->history, NULL, _IOFBF, HISTORY_BUFFER_BYTES);
	backend->flush_event =
		event_new(backend->base, -1, EV_PERSIST, on_flush, backend);
	event_add(backend->flush_event, &period);
	return 0;
}

static void create_event_loop(struct backend *backend)
{
	struct event_config *config = event_config_new();
	static const int signals[] = {SIGTERM, SIGINT};
	int i;

	/* Service times are below the 1 ms resolution of epoll_wait(). */
	event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
	backend->base = event_base_new_with_config(config);
	event_config_free(config);
	for (i = 0; i < 2; i++) {
		backend->signal_events[i] =
			evsignal_new(backend->base, signals[i], on_signal,
				     backend);
		evsignal_add(backend->signal_events[i], NULL);
	}
}

static void print_ports(const struct backend *backend)
{
	int i;

	for (i = 0; i < backend->n_servers; i++)
		printf("{\"server\":\"%s\",\"port\":%u}\n",
		       backend->servers[i].config.server,
		       backend->servers[i].port);
	printf("{\"control_port\":%u,\"servers\":%d}\n", backend->control.port,
	       backend->n_servers);
	fflush(stdout);
}

static void backend_finish(struct backend *backend)
{
	struct data_file *file;
	struct data_file *tmp;
	int i;

	for (i = 0; i < backend->n_servers; i++)
		server_finish(&backend->servers[i]);
	free(backend->servers);
	HASH_ITER (hh, backend->files, file, tmp) {
		HASH_DEL(backend->files, file);
		records_finish(&file->records);
		free(file->path);
		free(file);
	}
	if (backend->control.htp)
		fault_control_finish(&backend->control);
	if (backend->flush_event)
		event_free(backend->flush_event);
	if (backend->history)
		fclose(backend->history);
	for (i = 0; i < 2; i++)
		event_free(backend->signal_events[i]);
	json_object_put(backend->overrides);
	event_base_free(backend->base);
}

int main(int argc, char **argv)
{
	struct backend backend = {.seed = 1};
	struct error err = {0};
	int ret;

	backend.overrides = json_object_new_object();
	if (argp_parse(&parser, argc, argv, 0, NULL, &backend))
		return 2;
	signal(SIGPIPE, SIG_IGN);
	log_init(LOG_LEVEL_WARN, NULL);
	create_event_loop(&backend);
	ret = open_history(&backend, &err);
	if (!ret)
		ret = load_servers(&backend, &err);
	if (ret) {
		LOG_ERROR("start_failed", LOG_TEXT("error", error_name(ret)),
			  LOG_TEXT("subject", err.subject),
			  LOG_TEXT("expected",
				   err.expected ? err.expected : ""));
		backend_finish(&backend);
		return 1;
	}
	print_ports(&backend);
	event_base_dispatch(backend.base);
	backend_finish(&backend);
	return 0;
}
