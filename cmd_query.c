#include "command.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "command_target.h"
#include "error.h"
#include "http_client.h"
#include "json_value.h"

#define ADDRESSES_TIMEOUT_MS 2000
#define EXTRA_WAIT_MS 2000
#define DEADLINE_DEFAULT_MS 10000

struct arguments {
	struct command_target target;
	const char *data_centre;
	const char *service;
	const char *where;
	const char *mode;
	const char *request_id;
	int limit;
	int deadline_ms;
};

static const struct argp_option options[] = {
	{"service", 's', "NAME", 0, "service to ask (required)", 0},
	{"where", 'w', "JSON", 0, "members records must have, as an object", 0},
	{"mode", 'm', "MODE", 0, "records (default) or count", 0},
	{"limit", 'l', "N", 0, "most records, 1 to 1000 (default 20)", 0},
	{"deadline", 'd', "MS", 0, "deadline in ms (default: the service's)",
	 0},
	{"data-centre", 'c', "NAME", 0, "data centre of the caller", 0},
	{"request-id", 'i', "ID", 0, "name for the request", 0},
	{"json", 'j', NULL, 0, "print the answer as JSON", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 's':
		args->service = arg;
		return 0;
	case 'w':
		args->where = arg;
		return 0;
	case 'm':
		args->mode = arg;
		return 0;
	case 'l':
		args->limit = atoi(arg);
		return 0;
	case 'd':
		args->deadline_ms = atoi(arg);
		return 0;
	case 'c':
		args->data_centre = arg;
		return 0;
	case 'i':
		args->request_id = arg;
		return 0;
	case ARGP_KEY_END:
		if (!args->service)
			argp_usage(state);
		return command_target_parse(&args->target, key, arg, state);
	default:
		return command_target_parse(&args->target, key, arg, state);
	}
}

/* Ask which addresses to use, as every caller should; keep the one given. */
static void choose_address(const struct arguments *args, struct address *out)
{
	struct json_object *root = NULL;
	struct json_object *list;
	struct json_object *text;
	struct http_response answer;
	char path[160] = "/v1/addresses";

	*out = args->target.address;
	if (args->data_centre)
		snprintf(path, sizeof(path), "/v1/addresses?data_centre=%s",
			 args->data_centre);
	if (http_client_request(&args->target.address, path, NULL,
				ADDRESSES_TIMEOUT_MS, &answer))
		return;
	root = json_tokener_parse(answer.body);
	http_response_finish(&answer);
	if (json_object_object_get_ex(root, "addresses", &list) &&
	    json_object_array_length(list) &&
	    json_object_object_get_ex(json_object_array_get_idx(list, 0),
				      "address", &text))
		address_parse(str_from(json_object_get_string(text)), out);
	json_object_put(root);
}

static int build_body(const struct arguments *args, struct json_object **out)
{
	struct json_object *root = json_object_new_object();
	struct json_object *where;

	json_object_object_add(root, "service",
			       json_object_new_string(args->service));
	if (args->mode)
		json_object_object_add(root, "mode",
				       json_object_new_string(args->mode));
	if (args->request_id)
		json_object_object_add(root, "request_id",
				       json_object_new_string(
					       args->request_id));
	if (args->limit)
		json_object_object_add(root, "limit",
				       json_object_new_int(args->limit));
	if (args->deadline_ms)
		json_object_object_add(root, "deadline_ms",
				       json_object_new_int(args->deadline_ms));
	*out = root;
	if (!args->where)
		return 0;
	where = json_tokener_parse(args->where);
	if (!where)
		return ERR_SYNTAX;
	json_object_object_add(root, "where", where);
	return 0;
}

static void print_missing(struct json_object *coverage)
{
	struct json_object *list;
	size_t i;

	if (!json_object_object_get_ex(coverage, "missing", &list))
		return;
	for (i = 0; i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);

		printf("  missing shard %s-%s: %s\n",
		       json_value_text(item, "lo"), json_value_text(item, "hi"),
		       json_value_text(item, "reason"));
	}
}

static void print_records(struct json_object *root)
{
	struct json_object *list;
	size_t i;

	if (!json_object_object_get_ex(root, "records", &list))
		return;
	for (i = 0; i < json_object_array_length(list); i++)
		printf("  %s\n",
		       json_object_to_json_string_ext(
			       json_object_array_get_idx(list, i),
			       JSON_C_TO_STRING_PLAIN |
				       JSON_C_TO_STRING_NOSLASHESCAPE));
}

static int print_answer(struct json_object *root)
{
	struct json_object *coverage = NULL;
	struct json_object *work = NULL;

	json_object_object_get_ex(root, "coverage", &coverage);
	json_object_object_get_ex(root, "work", &work);
	printf("%s matching records in snapshot %s\n",
	       json_value_text(root, "count"),
	       json_value_text(root, "snapshot"));
	print_records(root);
	printf("coverage %s of %s records, %s\n",
	       json_value_text(coverage, "covered"),
	       json_value_text(coverage, "total"),
	       json_object_get_boolean(
		       json_object_object_get(coverage, "sufficient"))
		       ? "sufficient"
		       : "INSUFFICIENT");
	print_missing(coverage);
	printf("request %s: %s us, %s requests through %s homes\n",
	       json_value_text(root, "request_id"),
	       json_value_text(root, "elapsed_us"),
	       json_value_text(work, "requests"),
	       json_value_text(work, "homes"));
	return json_object_get_boolean(
		       json_object_object_get(coverage, "sufficient"))
		       ? EXIT_STATUS_OK
		       : EXIT_STATUS_INSUFFICIENT;
}

static int print_refusal(struct json_object *root)
{
	fprintf(stderr, "%s: %s [%s]", json_value_text(root, "outcome"),
		json_value_text(root, "text"), json_value_text(root, "error"));
	if (json_object_object_get_ex(root, "subject", NULL))
		fprintf(stderr, " %s: found %s, expected %s",
			json_value_text(root, "subject"),
			json_value_text(root, "value"),
			json_value_text(root, "expected"));
	fprintf(stderr, "\n");
	return EXIT_STATUS_FAILED;
}

static int show(const struct arguments *args, struct http_response *answer)
{
	struct json_object *root = json_tokener_parse(answer->body);
	int status;

	if (!root) {
		fprintf(stderr, "garnetreach query: %s\n",
			error_text(ERR_PROTOCOL));
		return EXIT_STATUS_FAILED;
	}
	if (args->target.json) {
		fputs(answer->body, stdout);
		status = answer->status == 200 ? EXIT_STATUS_OK
					       : EXIT_STATUS_FAILED;
	} else if (answer->status == 200) {
		status = print_answer(root);
	} else {
		status = print_refusal(root);
	}
	json_object_put(root);
	return status;
}

int command_query(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse, "IP:PORT",
		"Ask a service through any instance: the one at IP:PORT says "
		"which address to use."};
	struct arguments args = {0};
	struct address address;
	struct json_object *body;
	struct http_response answer;
	int timeout_ms;
	int ret;

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return EXIT_STATUS_USAGE;
	if (build_body(&args, &body)) {
		fprintf(stderr, "garnetreach query: --where is no JSON\n");
		json_object_put(body);
		return EXIT_STATUS_USAGE;
	}
	choose_address(&args, &address);
	timeout_ms = args.deadline_ms ? args.deadline_ms : DEADLINE_DEFAULT_MS;
	ret = http_client_request(&address, "/v1/search",
				  json_object_to_json_string(body),
				  timeout_ms + EXTRA_WAIT_MS, &answer);
	json_object_put(body);
	if (ret) {
		fprintf(stderr, "garnetreach query: %s\n", error_text(ret));
		return EXIT_STATUS_FAILED;
	}
	ret = show(&args, &answer);
	http_response_finish(&answer);
	return ret;
}
