#include "command.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <event2/http.h>
#include <json-c/json.h>

#include "clock.h"
#include "command_target.h"
#include "error.h"
#include "fleet_fetch.h"
#include "json_value.h"

#define TIMEOUT_DEFAULT_MS 2000
#define PATH_SIZE 256
#define BAR_WIDTH 24
#define HTTP_GONE 410

struct arguments {
	struct command_target target;
	const char *request_id;
	int timeout_ms;
};

static const struct argp_option options[] = {
	{"json", 'j', NULL, 0, "print the traces as JSON", 0},
	{"timeout", 't', "MS", 0, "timeout per instance in ms (2000)", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 't':
		args->timeout_ms = atoi(arg);
		if (args->timeout_ms <= 0)
			argp_usage(state);
		return 0;
	case ARGP_KEY_ARG:
		if (!args->target.has_address)
			return command_target_parse(&args->target, key, arg,
						    state);
		if (args->request_id)
			argp_usage(state);
		args->request_id = arg;
		return 0;
	case ARGP_KEY_END:
		if (!args->request_id)
			argp_usage(state);
		return 0;
	default:
		return command_target_parse(&args->target, key, arg, state);
	}
}

static double read_ms(struct json_object *object, const char *key)
{
	return (double)json_value_int(object, key) / USEC_PER_MSEC;
}

static size_t length_of(struct json_object *list)
{
	return list ? json_object_array_length(list) : 0;
}

static void print_start(struct json_object *trace)
{
	int64_t at = json_value_int(trace, "started_us");
	time_t seconds = (time_t)(at / USEC_PER_SEC);
	struct tm tm;
	char text[32];

	gmtime_r(&seconds, &tm);
	strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%S", &tm);
	printf("%s.%03dZ", text, (int)(at % USEC_PER_SEC / USEC_PER_MSEC));
}

static void print_outcome(struct json_object *trace)
{
	printf("%s", json_value_text(trace, "outcome"));
	if (strcmp(json_value_text(trace, "error"), error_name(0)))
		printf(" [%s]: %s", json_value_text(trace, "error"),
		       json_value_text(trace, "text"));
	printf(", after %.2f", read_ms(trace, "elapsed_us"));
	if (json_value_int(trace, "deadline_us"))
		printf(" of %.0f", read_ms(trace, "deadline_us"));
	printf(" ms\n");
	if (json_value_int(trace, "retry_after_ms"))
		printf("  the caller was told to retry after %s ms\n",
		       json_value_text(trace, "retry_after_ms"));
}

static void print_work(struct json_object *trace)
{
	struct json_object *work = json_object_object_get(trace, "work");

	printf("  snapshot %s, table revision %s\n",
	       json_value_text(trace, "snapshot"),
	       json_value_text(trace, "table_revision"));
	printf("  requests %s, homes %s, hedges %s, retries %s, restarts at "
	       "another snapshot %s\n",
	       json_value_text(work, "requests"),
	       json_value_text(work, "homes"), json_value_text(work, "hedges"),
	       json_value_text(work, "retries"),
	       json_value_text(work, "restarts"));
}

static void print_ranges(struct json_object *reason)
{
	struct json_object *list = json_value_list(reason, "ranges");
	size_t i;

	for (i = 0; i < length_of(list); i++) {
		struct json_object *range = json_object_array_get_idx(list, i);

		printf("%s %s-%s", i ? "," : "", json_value_text(range, "lo"),
		       json_value_text(range, "hi"));
	}
	if (json_value_int(reason, "ranges_left_out"))
		printf(" and %s more",
		       json_value_text(reason, "ranges_left_out"));
	printf("\n");
}

static void print_reason(struct json_object *reason)
{
	printf("    missing shards %s, records %s: %s [%s], points",
	       json_value_text(reason, "shards"),
	       json_value_text(reason, "records"),
	       json_value_text(reason, "text"),
	       json_value_text(reason, "reason"));
	print_ranges(reason);
}

static void print_coverage(struct json_object *trace)
{
	struct json_object *coverage = NULL;
	struct json_object *list;
	size_t i;

	if (!json_object_object_get_ex(trace, "coverage", &coverage) ||
	    !coverage) {
		printf("  no shards were queried\n");
		return;
	}
	printf("  coverage %s of %s records, %s of %s shards, %s\n",
	       json_value_text(coverage, "covered"),
	       json_value_text(coverage, "total"),
	       json_value_text(coverage, "answered"),
	       json_value_text(coverage, "shards"),
	       json_object_get_boolean(
		       json_object_object_get(coverage, "sufficient"))
		       ? "sufficient"
		       : "INSUFFICIENT");
	list = json_value_list(coverage, "reasons");
	for (i = 0; i < length_of(list); i++)
		print_reason(json_object_array_get_idx(list, i));
}

/* Shows when a part was in flight, on a time line of the whole request. */
static void print_bar(struct json_object *part, double elapsed_ms)
{
	double scale = elapsed_ms > 0 ? BAR_WIDTH / elapsed_ms : 0;
	int from = (int)(read_ms(part, "sent_us") * scale);
	int to = (int)(read_ms(part, "back_us") * scale);
	int i;

	if (!json_object_object_get(part, "back_us"))
		to = BAR_WIDTH;
	putchar('|');
	for (i = 0; i < BAR_WIDTH; i++)
		putchar(i >= from && i <= to ? '=' : ' ');
	putchar('|');
}

static void print_part(struct json_object *part, double elapsed_ms)
{
	printf("  %9.2f ", read_ms(part, "sent_us"));
	if (json_object_object_get(part, "back_us"))
		printf("%9.2f ", read_ms(part, "back_us"));
	else
		printf("%9s ", "never");
	print_bar(part, elapsed_ms);
	printf(" %-5s %-16s via %-10s shards %s: %s",
	       json_value_text(part, "why"), json_value_text(part, "server"),
	       json_value_text(part, "home"), json_value_text(part, "shards"),
	       json_value_text(part, "outcome"));
	if (json_value_int(part, "server_us"))
		printf(" (queued %.2f, server %.2f)", read_ms(part, "wait_us"),
		       read_ms(part, "server_us"));
	if (json_value_int(part, "restarts"))
		printf(" after restart %s", json_value_text(part, "restarts"));
	printf("\n");
}

static void print_parts(struct json_object *trace)
{
	struct json_object *list = json_value_list(trace, "parts");
	size_t i;

	if (!length_of(list))
		return;
	printf("  %9s %9s\n", "sent ms", "back ms");
	for (i = 0; i < length_of(list); i++)
		print_part(json_object_array_get_idx(list, i),
			   read_ms(trace, "elapsed_us"));
	if (json_value_int(trace, "parts_left_out"))
		printf("  faster parts not kept: %s\n",
		       json_value_text(trace, "parts_left_out"));
}

static void print_trace(struct json_object *trace, const char *instance)
{
	printf("%s %s of %s, taken by %s at ", json_value_text(trace, "kind"),
	       json_value_text(trace, "request_id"),
	       json_value_text(trace, "service"), instance);
	print_start(trace);
	printf("\n  ");
	print_outcome(trace);
	if (strcmp(json_value_text(trace, "kind"), "search")) {
		printf("  table revision %s\n",
		       json_value_text(trace, "table_revision"));
		return;
	}
	print_work(trace);
	print_coverage(trace);
	print_parts(trace);
}

static void print_traces(const struct fleet_response *response)
{
	struct json_object *list = json_value_list(response->body, "traces");
	size_t i;

	for (i = 0; i < length_of(list); i++)
		print_trace(json_object_array_get_idx(list, i),
			    json_value_text(response->body, "instance"));
}

/* Numbers of instances by how they responded. */
struct lookup {
	int n_asked;
	int n_found;
	int n_evicted;
	int n_unreachable;
};

static bool has_trace(const struct fleet_response *response)
{
	return !response->ret && response->status == 200;
}

static void count_responses(const struct fleet_list *list,
			    struct lookup *lookup)
{
	int i;

	memset(lookup, 0, sizeof(*lookup));
	lookup->n_asked = list->n;
	for (i = 0; i < list->n; i++) {
		const struct fleet_response *response = &list->responses[i];

		lookup->n_found += has_trace(response);
		lookup->n_evicted +=
			!response->ret && response->status == HTTP_GONE;
		lookup->n_unreachable += response->ret != 0;
	}
}

static int exit_status(const struct lookup *lookup)
{
	if (lookup->n_found)
		return EXIT_STATUS_OK;
	if (lookup->n_unreachable == lookup->n_asked)
		return EXIT_STATUS_FAILED;
	if (lookup->n_evicted)
		return EXIT_STATUS_EVICTED;
	return lookup->n_unreachable ? EXIT_STATUS_PARTIAL
				     : EXIT_STATUS_NO_TRACE;
}

static void print_unreachable(const struct fleet_list *list)
{
	char text[ADDRESS_TEXT_SIZE];
	int i;

	for (i = 0; i < list->n; i++) {
		const struct fleet_response *response = &list->responses[i];

		if (!response->ret)
			continue;
		address_format(&response->address, text, sizeof(text));
		fprintf(stderr, "  no answer from %s %s: %s [%s]\n",
			*response->instance ? response->instance : "(unnamed)",
			text, error_text(response->ret),
			error_name(response->ret));
	}
}

static void print_unknown(const struct fleet_list *list, const char *request_id,
			  const struct lookup *lookup)
{
	int code = lookup->n_evicted ? ERR_TRACE_EVICTED : ERR_NO_TRACE;

	fprintf(stderr, "garnetreach explain: %s: %s [%s]\n", request_id,
		error_text(code), error_name(code));
	if (lookup->n_unreachable)
		fprintf(stderr, "PARTIAL: %d of %d instances did not answer\n",
			lookup->n_unreachable, list->n);
	print_unreachable(list);
}

static struct json_object *result_json(const struct fleet_list *list,
				       const char *request_id,
				       const struct lookup *lookup)
{
	struct json_object *root = json_object_new_object();
	struct json_object *answers = json_object_new_array();
	int code = 0;
	int i;

	if (!lookup->n_found)
		code = lookup->n_evicted ? ERR_TRACE_EVICTED : ERR_NO_TRACE;
	json_object_object_add(root, "request_id",
			       json_object_new_string(request_id));
	json_object_object_add(root, "error",
			       json_object_new_string(error_name(code)));
	json_object_object_add(root, "asked", json_object_new_int(list->n));
	json_object_object_add(root, "silent",
			       json_object_new_int(lookup->n_unreachable));
	for (i = 0; i < list->n; i++) {
		if (has_trace(&list->responses[i]))
			json_object_array_add(answers,
					      json_object_get(
						      list->responses[i].body));
	}
	json_object_object_add(root, "answers", answers);
	return root;
}

static void print_result(const struct fleet_list *list,
			 const struct arguments *args,
			 const struct lookup *lookup)
{
	struct json_object *root;
	int i;

	if (args->target.json) {
		root = result_json(list, args->request_id, lookup);
		puts(json_object_to_json_string_ext(
			root, JSON_C_TO_STRING_PLAIN |
				      JSON_C_TO_STRING_NOSLASHESCAPE));
		json_object_put(root);
		return;
	}
	if (!lookup->n_found)
		print_unknown(list, args->request_id, lookup);
	for (i = 0; i < list->n; i++) {
		if (has_trace(&list->responses[i]))
			print_traces(&list->responses[i]);
	}
}

/* Asks the given instance first, and the others only if it has no trace. */
static void ask_fleet(struct fleet_list *list, const struct arguments *args)
{
	char *id = evhttp_uriencode(args->request_id, -1, 0);
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/v1/explain?request_id=%s", id);
	free(id);
	fleet_list_init(list, &args->target.address, args->timeout_ms);
	fleet_list_fetch_one(list, 0, path, args->timeout_ms);
	if (!has_trace(&list->responses[0]))
		fleet_list_fetch(list, 1, path, args->timeout_ms);
}

int command_explain(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse, "IP:PORT REQUEST-ID",
		"Explain what a request did. Asks the instance at IP:PORT, "
		"and the other instances that it lists if it has no trace of "
		"it."};
	struct arguments args = {.timeout_ms = TIMEOUT_DEFAULT_MS};
	struct lookup lookup;
	struct fleet_list list;
	int status;

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return EXIT_STATUS_USAGE;
	if (strlen(args.request_id) >= PATH_SIZE / 4) {
		fprintf(stderr, "garnetreach explain: %s\n",
			error_text(ERR_TOO_LARGE));
		return EXIT_STATUS_USAGE;
	}
	ask_fleet(&list, &args);
	count_responses(&list, &lookup);
	print_result(&list, &args, &lookup);
	status = exit_status(&lookup);
	fleet_list_finish(&list);
	return status;
}
