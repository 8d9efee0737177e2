#include "gateway_settings.h"

#include <string.h>

#include <json-c/json.h>

#define AT(member) offsetof(struct gateway_settings, member)
#define PORT_MAX 65535
#define SECONDS_MAX 3600
#define MANY 1e9

static const char *const level_names[] = {"debug", "info", "warn", "error",
					  NULL};

static const struct option_spec options[] = {
	{.name = "instance",
	 .type = OPTION_STRING,
	 .offset = AT(instance),
	 .required = true,
	 .min = 1,
	 .max = 64,
	 .help = "name of this instance, unique in the fleet"},
	{.name = "data_centre",
	 .type = OPTION_STRING,
	 .offset = AT(data_centre),
	 .required = true,
	 .min = 1,
	 .max = 64,
	 .help = "data centre this instance runs in"},
	{.name = "caller_address",
	 .type = OPTION_ADDRESS,
	 .offset = AT(caller_address),
	 .required = true,
	 .help = "requests of callers"},
	{.name = "ready_address",
	 .type = OPTION_ADDRESS,
	 .offset = AT(ready_address),
	 .required = true,
	 .help = "whether this instance is ready"},
	{.name = "directory_address",
	 .type = OPTION_ADDRESS,
	 .offset = AT(directory_address),
	 .required = true,
	 .help = "which addresses callers should use"},
	{.name = "control_address",
	 .type = OPTION_ADDRESS,
	 .offset = AT(control_address),
	 .required = true,
	 .help = "status for operators"},
	{.name = "metrics_address",
	 .type = OPTION_ADDRESS,
	 .offset = AT(metrics_address),
	 .help = "counters as text"},
	{.name = "store_address",
	 .type = OPTION_ADDRESS,
	 .offset = AT(store_address),
	 .required = true,
	 .help = "where routes and servers are published"},
	{.name = "descriptors_max",
	 .type = OPTION_INT,
	 .offset = AT(descriptors_max),
	 .max = MANY,
	 .help = "descriptor limit of the process"},
	{.name = "cpu_quota",
	 .type = OPTION_DOUBLE,
	 .offset = AT(cpu_quota),
	 .max = MANY,
	 .def = 1,
	 .unit = "cores",
	 .help = "processor time of the machine"},
	{.name = "stop_max_s",
	 .type = OPTION_DOUBLE,
	 .offset = AT(stop_max_s),
	 .min = 1,
	 .max = SECONDS_MAX,
	 .def = 6,
	 .unit = "s",
	 .help = "after SIGTERM the process is killed"},
	{.name = "config_apply_ms",
	 .type = OPTION_INT,
	 .offset = AT(config_apply_ms),
	 .max = MANY,
	 .def = 3000,
	 .unit = "ms",
	 .help = "routes are in force everywhere after so long"},
	{.name = "retry_ratio",
	 .type = OPTION_DOUBLE,
	 .offset = AT(retry_ratio),
	 .max = 1,
	 .def = 0.1,
	 .help = "second sends to a service, of its requests"},
	{.name = "retry_slack",
	 .type = OPTION_DOUBLE,
	 .offset = AT(retry_slack),
	 .max = MANY,
	 .def = 10,
	 .unit = "requests",
	 .help = "second sends above the ratio, all instances together"},
	{.name = "retry_window_s",
	 .type = OPTION_DOUBLE,
	 .offset = AT(retry_window_s),
	 .min = 1,
	 .max = SECONDS_MAX,
	 .def = 10,
	 .unit = "s",
	 .help = "over which the slack is counted"},
	{.name = "address_lifetime_max_s",
	 .type = OPTION_DOUBLE,
	 .offset = AT(address_lifetime_max_s),
	 .min = 0.1,
	 .max = SECONDS_MAX,
	 .def = 5,
	 .unit = "s",
	 .help = "callers keep the directory's answer no longer"},
	{.name = "cold_overrun",
	 .type = OPTION_DOUBLE,
	 .offset = AT(cold_overrun),
	 .min = 0,
	 .max = MANY,
	 .def = 1,
	 .help = "a cold server gets at most so many times what it bears"},
	{.name = "cold_slack",
	 .type = OPTION_DOUBLE,
	 .offset = AT(cold_slack),
	 .max = MANY,
	 .def = 0,
	 .unit = "requests",
	 .help = "and so many more in a second, from all instances together"},
	{.name = "log_level",
	 .type = OPTION_ENUM,
	 .offset = AT(log_level),
	 .def = 1,
	 .names = level_names,
	 .help = "least level that is logged"},
};

#undef AT

static const int n_options = sizeof(options) / sizeof(options[0]);

/* None is fine: the first instance of all has nobody to ask. */
static int read_seeds(struct gateway_settings *settings,
		      struct json_object *list, struct error *err)
{
	if (json_object_is_type(list, json_type_array) &&
	    !json_object_array_length(list))
		return 0;
	return option_read_addresses(list, settings->seeds, GATEWAY_SEEDS_MAX,
				     &settings->n_seeds, "seeds", err);
}

static int read_ports(struct gateway_settings *settings,
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
	} words[] = {
		{"priorities", &control->priorities},
		{"returns", &control->returns},
		{"turns", &control->turns},
		{"left_out", &control->left_out},
		{"pace", &control->pace},
	};
	size_t n_words = sizeof(words) / sizeof(words[0]);
	size_t i;
	size_t j;

	if (!json_object_is_type(list, json_type_array))
		return error_set(err, ERR_TYPE, "load_control", NULL,
				 "[MECHANISM, ...]");
	for (i = 0; i < json_object_array_length(list); i++) {
		const char *word = json_object_get_string(
			json_object_array_get_idx(list, i));

		for (j = 0; j < n_words; j++) {
			if (word && !strcmp(word, words[j].name))
				break;
		}
		if (j == n_words)
			return error_set(err, ERR_RANGE, "load_control", word,
					 "priorities, returns, turns, left_out "
					 "or pace");
		*words[j].value = true;
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
		return read_ports(settings, value, err);
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

		/* A template leaves what is not known as null. */
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
