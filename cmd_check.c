#include "command.h"

#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "describe.h"
#include "gateway_settings.h"
#include "routes.h"
#include "settings.h"
#include "table.h"

struct arguments {
	const char *path;
	void (*describe)(FILE *out);
};

static const struct argp_option options[] = {
	{"describe", 'd', "FORMAT", OPTION_ARG_OPTIONAL,
	 "print the columns and tunables of the table instead, as markdown "
	 "(default) or man",
	 0},
	{0},
};

static void (*describe_format(const char *name))(FILE *out)
{
	if (!name || !strcmp(name, "markdown"))
		return describe_table_markdown;
	return strcmp(name, "man") ? NULL : describe_table_man;
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 'd':
		args->describe = describe_format(arg);
		if (!args->describe)
			argp_usage(state);
		return 0;
	case ARGP_KEY_ARG:
		if (args->path)
			argp_usage(state);
		args->path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!args->path == !args->describe)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

enum document {
	DOCUMENT_TABLE,
	DOCUMENT_ROUTES,
	DOCUMENT_SETTINGS,
	DOCUMENT_GATEWAY_SETTINGS,
};

static bool has_key(struct json_object *root, const char *key)
{
	return json_object_object_get_ex(root, key, NULL);
}

/* Each kind has a key that no other has; what cannot be read is no settings. */
static enum document kind_of(const char *text, size_t len)
{
	enum document kind = DOCUMENT_SETTINGS;
	struct json_object *root;

	if (option_parse_document(text, len, &root, NULL))
		return DOCUMENT_TABLE;
	if (has_key(root, "routes"))
		kind = DOCUMENT_ROUTES;
	else if (has_key(root, "servers") || has_key(root, "services") ||
		 has_key(root, "markets"))
		kind = DOCUMENT_TABLE;
	else if (has_key(root, "store_address") || has_key(root, "peer_ports"))
		kind = DOCUMENT_GATEWAY_SETTINGS;
	json_object_put(root);
	return kind;
}

static int check_gateway_settings(const char *text, size_t len,
				  struct error *err)
{
	struct gateway_settings settings;
	int ret = gateway_settings_init(&settings, text, len, err);

	if (ret)
		return ret;
	printf("settings of gateway %s in data centre %s: valid\n",
	       settings.instance, settings.data_centre);
	gateway_settings_finish(&settings);
	return 0;
}

static int check_routes(const char *text, size_t len, struct error *err)
{
	struct route_set *set;
	int ret = route_set_parse((struct str){text, len}, &set, err);

	if (ret)
		return ret;
	printf("version %" PRIu64 " of %d routes to %d services: valid\n",
	       set->version, set->n_routes, set->n_services);
	route_set_unref(set);
	return 0;
}

static int check_settings(const char *text, size_t len, struct error *err)
{
	struct settings settings;
	int ret = settings_init(&settings, text, len, err);

	if (ret)
		return ret;
	printf("settings of instance %s in data centre %s: valid\n",
	       settings.instance, settings.data_centre);
	settings_finish(&settings);
	return 0;
}

static int check_table(const char *text, size_t len, struct error *err)
{
	struct table table;
	int ret = table_init(&table, text, len, 0, err);

	if (ret)
		return ret;
	printf("table of %d markets, %d services, %d servers: valid\n",
	       table.n_markets, table.n_services, table.n_servers);
	table_finish(&table);
	return 0;
}

static void print_error(const char *path, const struct error *err)
{
	fprintf(stderr, "%s:", path);
	if (err->line)
		fprintf(stderr, "%d:", err->line);
	fprintf(stderr, " %s: %s", err->subject, error_text(err->code));
	if (*err->value)
		fprintf(stderr, "; found: %s", err->value);
	if (err->expected)
		fprintf(stderr, "; expected: %s", err->expected);
	fprintf(stderr, " [%s]\n", error_name(err->code));
}

int command_check(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse, "FILE\n--describe",
		"Check a settings file, a table or routes without running "
		"anything."};
	static int (*const checks[])(const char *text, size_t len,
				     struct error *err) = {
		[DOCUMENT_TABLE] = check_table,
		[DOCUMENT_ROUTES] = check_routes,
		[DOCUMENT_SETTINGS] = check_settings,
		[DOCUMENT_GATEWAY_SETTINGS] = check_gateway_settings,
	};
	struct arguments args = {0};
	struct error err = {0};
	char *text;
	size_t len;
	int ret;

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return EXIT_STATUS_USAGE;
	if (args.describe) {
		args.describe(stdout);
		return EXIT_STATUS_OK;
	}
	if (command_read_file(args.path, &text, &len))
		return EXIT_STATUS_FAILED;
	ret = checks[kind_of(text, len)](text, len, &err);
	free(text);
	if (!ret)
		return EXIT_STATUS_OK;
	print_error(args.path, &err);
	return EXIT_STATUS_INVALID;
}
