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
#include "fleet_ask.h"
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
	{"json", 'j', NULL, 0, "print the records as JSON", 0},
	{"timeout", 't', "MS", 0, "longest wait for an instance (2000)", 0},
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

static double ms_of(struct json_object *object, const char *key)
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
	printf(", after %.2f", ms_of(trace, "elapsed_us"));
	if (json_value_int(trace, "deadline_us"))
		printf(" of %.0f", ms_of(trace, "deadline_us"));
	printf(" ms\n");
	if (json_value_int(trace, "retry_after_ms"))
		printf("  the caller was told to come back in %s ms\n",
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
		printf("  no shard was asked\n");
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

/* When a part was out, on a line as long as the request took. */
static void print_bar(struct json_object *part, double elapsed_ms)
{
	double scale = elapsed_ms > 0 ? BAR_WIDTH / elapsed_ms : 0;
	int from = (int)(ms_of(part, "sent_us") * scale);
	int to = (int)(ms_of(part, "back_us") * scale);
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
	printf("  %9.2f ", ms_of(part, "sent_us"));
	if (json_object_object_get(part, "back_us"))
		printf("%9.2f ", ms_of(part, "back_us"));
	else
		printf("%9s ", "never");
	print_bar(part, elapsed_ms);
	printf(" %-5s %-16s via %-10s shards %s: %s",
	       json_value_text(part, "why"), json_value_text(part, "server"),
	       json_value_text(part, "home"), json_value_text(part, "shards"),
	       json_value_text(part, "outcome"));
	if (json_value_int(part, "server_us"))
		printf(" (queued %.2f, server %.2f)", ms_of(part, "wait_us"),
		       ms_of(part, "server_us"));
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
			   ms_of(trace, "elapsed_us"));
	if (json_value_int(trace, "parts_left_out"))
		printf("  quicker parts not kept: %s\n",
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

static void print_known(const struct fleet_response *ask)
{
	struct json_object *list = json_value_list(ask->body, "traces");
	size_t i;

	for (i = 0; i < length_of(list); i++)
		print_trace(json_object_array_get_idx(list, i),
			    json_value_text(ask->body, "instance"));
}

/* What all instances together say. */
struct finding {
	int n_asked;
	int n_known;
	int n_evicted;
	int n_silent;
};

static bool is_known(const struct fleet_response *ask)
{
	return !ask->ret && ask->status == 200;
}

static void look(const struct fleet_list *list, struct finding *finding)
{
	int i;

	memset(finding, 0, sizeof(*finding));
	finding->n_asked = list->n;
	for (i = 0; i < list->n; i++) {
		const struct fleet_response *ask = &list->asks[i];

		finding->n_known += is_known(ask);
		finding->n_evicted += !ask->ret && ask->status == HTTP_GONE;
		finding->n_silent += ask->ret != 0;
	}
}

static int status_of(const struct finding *finding)
{
	if (finding->n_known)
		return EXIT_STATUS_OK;
	if (finding->n_silent == finding->n_asked)
		return EXIT_STATUS_FAILED;
	if (finding->n_evicted)
		return EXIT_STATUS_EVICTED;
	return finding->n_silent ? EXIT_STATUS_PARTIAL : EXIT_STATUS_NO_TRACE;
}

static void print_silent(const struct fleet_list *list)
{
	char text[ADDRESS_TEXT_SIZE];
	int i;

	for (i = 0; i < list->n; i++) {
		const struct fleet_response *ask = &list->asks[i];

		if (!ask->ret)
			continue;
		address_format(&ask->address, text, sizeof(text));
		fprintf(stderr, "  no answer of %s %s: %s [%s]\n",
			*ask->instance ? ask->instance : "(unnamed)", text,
			error_text(ask->ret), error_name(ask->ret));
	}
}

static void print_unknown(const struct fleet_list *list, const char *request_id,
			  const struct finding *finding)
{
	int code = finding->n_evicted ? ERR_TRACE_EVICTED : ERR_NO_TRACE;

	fprintf(stderr, "garnetreach explain: %s: %s [%s]\n", request_id,
		error_text(code), error_name(code));
	if (finding->n_silent)
		fprintf(stderr, "PARTIAL: %d of %d instances did not answer\n",
			finding->n_silent, list->n);
	print_silent(list);
}

static struct json_object *all_json(const struct fleet_list *list,
				    const char *request_id,
				    const struct finding *finding)
{
	struct json_object *root = json_object_new_object();
	struct json_object *answers = json_object_new_array();
	int code = 0;
	int i;

	if (!finding->n_known)
		code = finding->n_evicted ? ERR_TRACE_EVICTED : ERR_NO_TRACE;
	json_object_object_add(root, "request_id",
			       json_object_new_string(request_id));
	json_object_object_add(root, "error",
			       json_object_new_string(error_name(code)));
	json_object_object_add(root, "asked", json_object_new_int(list->n));
	json_object_object_add(root, "silent",
			       json_object_new_int(finding->n_silent));
	for (i = 0; i < list->n; i++) {
		if (is_known(&list->asks[i]))
			json_object_array_add(answers,
					      json_object_get(
						      list->asks[i].body));
	}
	json_object_object_add(root, "answers", answers);
	return root;
}

static void show(const struct fleet_list *list, const struct arguments *args,
		 const struct finding *finding)
{
	struct json_object *root;
	int i;

	if (args->target.json) {
		root = all_json(list, args->request_id, finding);
		puts(json_object_to_json_string_ext(
			root, JSON_C_TO_STRING_PLAIN |
				      JSON_C_TO_STRING_NOSLASHESCAPE));
		json_object_put(root);
		return;
	}
	if (!finding->n_known)
		print_unknown(list, args->request_id, finding);
	for (i = 0; i < list->n; i++) {
		if (is_known(&list->asks[i]))
			print_known(&list->asks[i]);
	}
}

/* First the one that was named; the rest of the fleet only if it must be. */
static void ask_fleet(struct fleet_list *list, const struct arguments *args)
{
	char *id = evhttp_uriencode(args->request_id, -1, 0);
	char path[PATH_SIZE];

	snprintf(path, sizeof(path), "/v1/explain?request_id=%s", id);
	free(id);
	fleet_list_init(list, &args->target.address, args->timeout_ms);
	fleet_list_fetch_one(list, 0, path, args->timeout_ms);
	if (!is_known(&list->asks[0]))
		fleet_list_fetch(list, 1, path, args->timeout_ms);
}

int command_explain(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse, "IP:PORT REQUEST-ID",
		"Explain what a request did. Asks the instance at IP:PORT, "
		"and the others it names if it does not know the request."};
	struct arguments args = {.timeout_ms = TIMEOUT_DEFAULT_MS};
	struct finding finding;
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
	look(&list, &finding);
	show(&list, &args, &finding);
	status = status_of(&finding);
	fleet_list_finish(&list);
	return status;
}
