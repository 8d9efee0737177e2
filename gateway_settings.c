#include "gateway_settings.h"

#include <string.h>

#include <json-c/json.h>

#define OFFSET(member) offsetof(struct gateway_settings, member)
#define PORT_MAX 65535
#define SECONDS_MAX 3600
#define VALUE_MAX 1e9
#define MEMORY_DEFAULT_MB 256

static const char *const log_level_names[] = {"debug", "info", "warn", "error",
					      NULL};

static const struct option_spec options[] = {
	{.name = "instance",
	 .type = OPTION_STRING,
	 .offset = OFFSET(instance),
	 .required = true,
	 .min = 1,
	 .max = 64,
	 .help = "name of this instance, unique in the fleet"},
	{.name = "data_centre",
	 .type = OPTION_STRING,
	 .offset = OFFSET(data_centre),
	 .required = true,
	 .min = 1,
	 .max = 64,
	 .help = "data centre this instance runs in"},
	{.name = "caller_address",
	 .type = OPTION_ADDRESS,
	 .offset = OFFSET(caller_address),
	 .required = true,
	 .help = "listening address for callers' requests"},
	{.name = "ready_address",
	 .type = OPTION_ADDRESS,
	 .offset = OFFSET(ready_address),
	 .required = true,
	 .help = "listening address of the readiness endpoint"},
	{.name = "directory_address",
	 .type = OPTION_ADDRESS,
	 .offset = OFFSET(directory_address),
	 .required = true,
	 .help = "listening address of the directory endpoint"},
	{.name = "control_address",
	 .type = OPTION_ADDRESS,
	 .offset = OFFSET(control_address),
	 .required = true,
	 .help = "listening address of the status endpoint"},
	{.name = "metrics_address",
	 .type = OPTION_ADDRESS,
	 .offset = OFFSET(metrics_address),
	 .help = "listening address of the metrics endpoint"},
	{.name = "store_address",
	 .type = OPTION_ADDRESS,
	 .offset = OFFSET(store_address),
	 .required = true,
	 .help = "address of the store that publishes routes and servers"},
	{.name = "descriptors_max",
	 .type = OPTION_INT,
	 .offset = OFFSET(descriptors_max),
	 .max = VALUE_MAX,
	 .help = "file descriptor limit of the process"},
	{.name = "memory_max_mb",
	 .type = OPTION_INT,
	 .offset = OFFSET(memory_max_mb),
	 .min = 1,
	 .max = VALUE_MAX,
	 .def = MEMORY_DEFAULT_MB,
	 .unit = "MB",
	 .help = "memory limit of the process"},
	{.name = "cpu_quota",
	 .type = OPTION_DOUBLE,
	 .offset = OFFSET(cpu_quota),
	 .max = VALUE_MAX,
	 .def = 1,
	 .unit = "cores",
	 .help = "processor time available to the instance"},
	{.name = "stop_max_s",
	 .type = OPTION_DOUBLE,
	 .offset = OFFSET(stop_max_s),
	 .min = 1,
	 .max = SECONDS_MAX,
	 .def = 6,
	 .unit = "s",
	 .help = "time from SIGTERM until the process is killed"},
	{.name = "config_apply_ms",
	 .type = OPTION_INT,
	 .offset = OFFSET(config_apply_ms),
	 .max = VALUE_MAX,
	 .def = 3000,
	 .unit = "ms",
	 .help = "time until new routes apply on all instances"},
	{.name = "retry_ratio",
	 .type = OPTION_DOUBLE,
	 .offset = OFFSET(retry_ratio),
	 .max = 1,
	 .def = 0.1,
	 .help = "retries and hedges as a fraction of a service's requests"},
	{.name = "retry_slack",
	 .type = OPTION_DOUBLE,
	 .offset = OFFSET(retry_slack),
	 .max = VALUE_MAX,
	 .def = 10,
	 .unit = "requests",
	 .help = "retries and hedges above the ratio, over all instances"},
	{.name = "retry_window_s",
	 .type = OPTION_DOUBLE,
	 .offset = OFFSET(retry_window_s),
	 .min = 1,
	 .max = SECONDS_MAX,
	 .def = 10,
	 .unit = "s",
	 .help = "window in which retry_slack is counted"},
	{.name = "address_lifetime_max_s",
	 .type = OPTION_DOUBLE,
	 .offset = OFFSET(address_lifetime_max_s),
	 .min = 0.1,
	 .max = SECONDS_MAX,
	 .def = 5,
	 .unit = "s",
	 .help = "longest time callers may cache a directory answer"},
	{.name = "cold_overrun",
	 .type = OPTION_DOUBLE,
	 .offset = OFFSET(cold_overrun),
	 .min = 0,
	 .max = VALUE_MAX,
	 .def = 1,
	 .help = "limit on a cold server's load, times the rate it handles"},
	{.name = "cold_slack",
	 .type = OPTION_DOUBLE,
	 .offset = OFFSET(cold_slack),
	 .max = VALUE_MAX,
	 .def = 0,
	 .unit = "requests",
	 .help = "requests per second above that, over all instances"},
	{.name = "log_level",
	 .type = OPTION_ENUM,
	 .offset = OFFSET(log_level),
	 .def = 1,
	 .names = log_level_names,
	 .help = "lowest level that is logged"},
};

#undef OFFSET

static const int n_options = sizeof(options) / sizeof(options[0]);

/* An empty list is valid: the first instance of a fleet has no seeds. */
static int read_seeds(struct gateway_settings *settings,
		      struct json_object *list, struct error *err)
{
	if (json_object_is_type(list, json_type_array) &&
	    !json_object_array_length(list))
		return 0;
	return option_read_addresses(list, settings->seeds, GATEWAY_SEEDS_MAX,
				     &settings->n_seeds, "seeds", err);
}

static int read_peer_ports(struct gateway_settings *settings,
			   struct json_object *list, struct error *err)
{
	int i;

	if (!json_object_is_type(list, json_type_array) ||
	    json_object_array_length(list) != 2)
		return error_set(err, ERR_TYPE, "peer_ports", NULL,
				 "[FIRST, LAST]");
	for (i = 0; i < 2; i++) {
		int64_t port = json_object_get_int64(
			json_object_array_get_idx(list, (size_t)i));

		if (port < 1 || port > PORT_MAX)
			return error_set(err, ERR_RANGE, "peer_ports", NULL,
					 "1 to 65535");
		settings->peer_ports[i] = port;
	}
	return 0;
}

static int read_regions(struct gateway_settings *settings,
			struct json_object *table, struct error *err)
{
	if (!json_object_is_type(table, json_type_object))
		return error_set(err, ERR_TYPE, "regions", NULL,
				 "{DATA_CENTRE: REGION}");
	json_object_object_foreach(table, data_centre, region)
	{
		if (!json_object_is_type(region, json_type_string))
			return error_set(err, ERR_TYPE, "regions", data_centre,
					 "the name of a region");
		regions_add(&settings->regions, data_centre,
			    json_object_get_string(region));
	}
	return 0;
}

static int read_load_control(struct gateway_settings *settings,
			     struct json_object *list, struct error *err)
{
	struct load_control *control = &settings->load_control;
	const struct {
		const char *name;
		bool *value;
	} mechanisms[] = {
		{"priorities", &control->priorities},
		{"returns", &control->returns},
		{"turns", &control->turns},
		{"left_out", &control->left_out},
		{"pace", &control->pace},
	};
	size_t n_mechanisms = sizeof(mechanisms) / sizeof(mechanisms[0]);
	size_t i;
	size_t j;

	if (!json_object_is_type(list, json_type_array))
		return error_set(err, ERR_TYPE, "load_control", NULL,
				 "[MECHANISM, ...]");
	for (i = 0; i < json_object_array_length(list); i++) {
		const char *word = json_object_get_string(
			json_object_array_get_idx(list, i));

		for (j = 0; j < n_mechanisms; j++) {
			if (word && !strcmp(word, mechanisms[j].name))
				break;
		}
		if (j == n_mechanisms)
			return error_set(err, ERR_RANGE, "load_control", word,
					 "priorities, returns, turns, left_out "
					 "or pace");
		*mechanisms[j].value = true;
	}
	return 0;
}

static int read_key(struct gateway_settings *settings, const char *key,
		    struct json_object *value, struct error *err)
{
	int i;

	if (!strcmp(key, "seeds"))
		return read_seeds(settings, value, err);
	if (!strcmp(key, "peer_ports"))
		return read_peer_ports(settings, value, err);
	if (!strcmp(key, "regions"))
		return read_regions(settings, value, err);
	if (!strcmp(key, "load_control"))
		return read_load_control(settings, value, err);
	i = option_find(options, n_options, key);
	if (i < 0)
		return error_set(err, ERR_KEY_UNKNOWN, key, NULL,
				 "a key of garnetreach-gateway(5)");
	return option_read(&options[i], value, settings, key, err);
}

static int read_keys(struct gateway_settings *settings,
		     struct json_object *root, struct error *err)
{
	json_object_object_foreach(root, key, value)
	{
		int ret;

		/* Settings templates leave unknown values as null. */
		if (!value)
			continue;
		ret = read_key(settings, key, value, err);
		if (ret)
			return ret;
	}
	return 0;
}

static int check_required(struct json_object *root, struct error *err)
{
	int ret = option_check_required(options, n_options, root, err);

	if (ret)
		return ret;
	if (!json_object_object_get_ex(root, "peer_ports", NULL))
		return error_set(err, ERR_KEY_MISSING, "peer_ports", NULL,
				 "[FIRST, LAST]");
	return 0;
}

int gateway_settings_init(struct gateway_settings *settings, const char *text,
			  size_t len, struct error *err)
{
	struct json_object *root;
	int ret;

	memset(settings, 0, sizeof(*settings));
	ret = option_parse_document(text, len, &root, err);
	if (ret)
		return ret;
	option_set_defaults(options, n_options, settings);
	ret = read_keys(settings, root, err);
	if (!ret)
		ret = check_required(root, err);
	json_object_put(root);
	if (ret)
		gateway_settings_finish(settings);
	return ret;
}

void gateway_settings_update(struct gateway_settings *settings,
			     const struct gateway_settings *from)
{
	memcpy(settings->seeds, from->seeds, sizeof(settings->seeds));
	settings->n_seeds = from->n_seeds;
	settings->store_address = from->store_address;
	settings->stop_max_s = from->stop_max_s;
	settings->config_apply_ms = from->config_apply_ms;
	settings->retry_ratio = from->retry_ratio;
	settings->retry_slack = from->retry_slack;
	settings->retry_window_s = from->retry_window_s;
	settings->address_lifetime_max_s = from->address_lifetime_max_s;
	settings->cold_overrun = from->cold_overrun;
	settings->cold_slack = from->cold_slack;
	settings->load_control = from->load_control;
}

void gateway_settings_finish(struct gateway_settings *settings)
{
	option_finish(options, n_options, settings);
	regions_finish(&settings->regions);
}
