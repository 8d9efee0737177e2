#include "backend_config.h"

#include <string.h>

#include <json-c/json.h>

#include "option.h"

#define DEFAULT_COLD_FACTOR 5
#define TEXT_MAX_LEN 4096

static const char *const dist_names[] = {"shifted", "fixed", "exp", NULL};

#define TEXT(member)                                                           \
	{                                                                      \
		.name = #member, .type = OPTION_STRING,                        \
		.offset = offsetof(struct server_config, member), .min = 1,    \
		.max = TEXT_MAX_LEN                                            \
	}
#define COUNT(member, min_, max_, def_)                                        \
	{                                                                      \
		.name = #member, .type = OPTION_INT,                           \
		.offset = offsetof(struct server_config, member), .min = min_, \
		.max = max_, .def = def_                                       \
	}

static const struct option_spec config_options[] = {
	TEXT(server),
	TEXT(service),
	TEXT(data),
	TEXT(data_centre),
	COUNT(port, 0, 65535, 0),
	COUNT(index, 0, 100000, 0),
	COUNT(servers, 1, 100000, 1),
	COUNT(replicas, 1, 100000, 1),
	COUNT(shards, 1, RECORDS_POINTS, 1),
	COUNT(slots, 1, 1000000, 2),
	COUNT(queue, 0, 1000000, 0),
	COUNT(connections, 1, 1000000, 25),
	COUNT(connect_cost_us, 0, 60000000, 0),
	COUNT(service_us, 0, 600000000, 0),
	COUNT(service_random_us, 0, 600000000, 0),
	{.name = "service_dist",
	 .type = OPTION_ENUM,
	 .offset = offsetof(struct server_config, service_dist),
	 .names = dist_names},
	COUNT(cold_ms, 0, 600000000, 0),
	COUNT(cold_requests, 0, 1000000, 0),
	{.name = "cold_factor",
	 .type = OPTION_DOUBLE,
	 .offset = offsetof(struct server_config, cold_factor),
	 .max = 1000000,
	 .def = DEFAULT_COLD_FACTOR},
	COUNT(health_lag_ms, 0, 600000, 0),
};

#define N_CONFIG_OPTIONS (int)(sizeof(config_options) / sizeof(*config_options))

static int read_members(struct json_object *object,
			struct server_config *config, struct error *err)
{
	json_object_object_foreach(object, name, value)
	{
		int i = option_find(config_options, N_CONFIG_OPTIONS, name);
		int ret;

		if (!strcmp(name, "args") || !strcmp(name, "versions"))
			continue;
		if (i < 0)
			return error_set(err, ERR_KEY_UNKNOWN, name, NULL,
					 "a member of servers.json");
		ret = option_read(&config_options[i], value, config, name, err);
		if (ret)
			return ret;
	}
	return 0;
}

static int check_config(const struct server_config *config, struct error *err)
{
	if (!config->server || !config->service || !config->data)
		return error_set(err, ERR_KEY_MISSING, "servers", NULL,
				 "server, service and data");
	return 0;
}

int config_init(struct server_config *config, struct json_object *entry,
		struct json_object *overrides, struct error *err)
{
	int ret;

	memset(config, 0, sizeof(*config));
	option_set_defaults(config_options, N_CONFIG_OPTIONS, config);
	ret = read_members(entry, config, err);
	if (!ret)
		ret = read_members(overrides, config, err);
	if (!ret)
		ret = check_config(config, err);
	if (ret)
		config_finish(config);
	return ret;
}

void config_finish(struct server_config *config)
{
	option_finish(config_options, N_CONFIG_OPTIONS, config);
}
