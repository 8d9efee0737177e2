#include "settings.h"

#include <string.h>

#include <json-c/json.h>

#define PLATFORM_KEY "platform_addresses"

static const char *const log_level_names[] = {"debug", "info", "warn", "error",
					      NULL};

#define FIELD_OFFSET(member) offsetof(struct settings, member)

const struct option_spec settings_options[] = {
	{.name = "instance",
	 .type = OPTION_STRING,
	 .offset = FIELD_OFFSET(instance),
	 .required = true,
	 .min = 1,
	 .max = 64,
	 .help = "name of this instance, unique in the fleet"},
	{.name = "data_centre",
	 .type = OPTION_STRING,
	 .offset = FIELD_OFFSET(data_centre),
	 .required = true,
	 .min = 1,
	 .max = 64,
	 .help = "data centre this instance runs in"},
	{.name = "caller_address",
	 .type = OPTION_ADDRESS,
	 .offset = FIELD_OFFSET(caller_address),
	 .required = true,
	 .help = "HTTP for callers and operators"},
	{.name = "peer_address",
	 .type = OPTION_ADDRESS,
	 .offset = FIELD_OFFSET(peer_address),
	 .required = true,
	 .help = "TCP and UDP between instances"},
	{.name = "log_level",
	 .type = OPTION_ENUM,
	 .offset = FIELD_OFFSET(log_level),
	 .def = 1,
	 .names = log_level_names,
	 .help = "least level that is logged"},
};

#undef FIELD_OFFSET

const int n_settings_options =
	sizeof(settings_options) / sizeof(settings_options[0]);

static int read_keys(struct settings *settings, struct json_object *root,
		     struct error *err)
{
	json_object_object_foreach(root, key, value)
	{
		int ret;
		int i;

		if (!strcmp(key, PLATFORM_KEY)) {
			ret = option_read_addresses(value, settings->platform,
						    SETTINGS_PLATFORMS_MAX,
						    &settings->n_platform,
						    PLATFORM_KEY, err);
			if (ret)
				return ret;
			continue;
		}
		i = option_find(settings_options, n_settings_options, key);
		if (i < 0)
			return error_set(err, ERR_KEY_UNKNOWN, key, NULL,
					 "a key of garnetreach-settings(5)");
		ret = option_read(&settings_options[i], value, settings, key,
				  err);
		if (ret)
			return ret;
	}
	return 0;
}

static int check_required(struct json_object *root, struct error *err)
{
	int ret = option_check_required(settings_options, n_settings_options,
					root, err);

	if (ret)
		return ret;
	if (!json_object_object_get_ex(root, PLATFORM_KEY, NULL))
		return error_set(err, ERR_KEY_MISSING, PLATFORM_KEY, NULL,
				 "addresses of the platform's service");
	return 0;
}

int settings_init(struct settings *settings, const char *text, size_t len,
		  struct error *err)
{
	struct json_object *root;
	int ret;

	memset(settings, 0, sizeof(*settings));
	ret = option_parse_document(text, len, &root, err);
	if (ret)
		return ret;
	option_set_defaults(settings_options, n_settings_options, settings);
	ret = read_keys(settings, root, err);
	if (!ret)
		ret = check_required(root, err);
	json_object_put(root);
	if (ret)
		settings_finish(settings);
	return ret;
}

void settings_finish(struct settings *settings)
{
	option_finish(settings_options, n_settings_options, settings);
}
