#include "command.h"

#include <stdio.h>

#include <json-c/json.h>

#include "command_target.h"
#include "error.h"
#include "http_client.h"
#include "json_value.h"

#define TIMEOUT_MS 5000

static const struct argp_option options[] = {
	{"json", 'j', NULL, 0, "print the answer as JSON", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	return command_target_parse(state->input, key, arg, state);
}

static void print_list(struct json_object *root, const char *key,
		       void (*print)(struct json_object *item))
{
	struct json_object *list;
	size_t i;

	if (!json_object_object_get_ex(root, key, &list))
		return;
	for (i = 0; i < json_object_array_length(list); i++)
		print(json_object_array_get_idx(list, i));
}

static void print_alarm(struct json_object *item)
{
	printf("ALARM %s: revision %s, for %s ms\n",
	       json_value_text(item, "alarm"),
	       json_value_text(item, "revision"),
	       json_value_text(item, "for_ms"));
}

static void print_burn_alarm(struct json_object *item)
{
	printf("ALARM %s: %s of %s\n", json_value_text(item, "alarm"),
	       json_value_text(item, "objective"),
	       json_value_text(item, "service"));
}

static void print_member(struct json_object *item)
{
	printf("  %-16s %-12s %s\n", json_value_text(item, "instance"),
	       json_value_text(item, "data_centre"),
	       json_value_text(item, "status"));
}

static void print_home(struct json_object *item)
{
	printf(" %s:%s%s", json_value_text(item, "instance"),
	       json_value_text(item, "slots"),
	       json_object_get_boolean(
		       json_object_object_get(item, "reachable"))
		       ? ""
		       : "(unreachable)");
}

static void print_server(struct json_object *item)
{
	printf("  %-20s %-20s versions %s homes",
	       json_value_text(item, "server"),
	       json_value_text(item, "service"),
	       json_value_text(item, "versions"));
	print_list(item, "homes", print_home);
	printf("\n");
}

static void print_status(struct json_object *root)
{
	struct json_object *table;

	printf("instance %s in data centre %s: %s\n",
	       json_value_text(root, "instance"),
	       json_value_text(root, "data_centre"),
	       json_value_text(root, "lifecycle"));
	if (json_object_object_get_ex(root, "table", &table) && table)
		printf("table revision %s, confirmed %s ms ago\n",
		       json_value_text(table, "revision"),
		       json_value_text(table, "age_ms"));
	else
		printf("no table yet\n");
	if (json_object_object_get_ex(root, "table_refused", &table))
		printf("REFUSED revision %s: %s: %s, found %s\n",
		       json_value_text(table, "revision"),
		       json_value_text(table, "subject"),
		       json_value_text(table, "error"),
		       json_value_text(table, "value"));
	print_list(root, "alarms", print_alarm);
	print_list(root, "burn_alarms", print_burn_alarm);
	printf("members:\n");
	print_list(root, "members", print_member);
	print_list(root, "gone", print_member);
	printf("servers:\n");
	print_list(root, "servers", print_server);
}

int command_status(int argc, char **argv)
{
	static const struct argp argp = {options, parse, "IP:PORT",
					 "Show what an instance knows of "
					 "itself, the fleet and the servers."};
	struct command_target target = {0};
	struct http_response answer;
	struct json_object *root;
	int ret;

	if (argp_parse(&argp, argc, argv, 0, NULL, &target))
		return EXIT_STATUS_USAGE;
	ret = http_client_request(&target.address, "/v1/status", NULL,
				  TIMEOUT_MS, &answer);
	if (ret) {
		fprintf(stderr, "garnetreach status: %s\n", error_text(ret));
		return EXIT_STATUS_FAILED;
	}
	root = json_tokener_parse(answer.body);
	if (target.json)
		fputs(answer.body, stdout);
	else if (root)
		print_status(root);
	http_response_finish(&answer);
	json_object_put(root);
	return root ? EXIT_STATUS_OK : EXIT_STATUS_FAILED;
}
