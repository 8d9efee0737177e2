#include "command.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "burn_report.h"
#include "command_target.h"
#include "error.h"
#include "fleet_fetch.h"
#include "report.h"

#define TIMEOUT_DEFAULT_MS 2000

struct arguments {
	struct command_target target;
	const char *html;
	int timeout_ms;
};

static const struct argp_option options[] = {
	{"json", 'j', NULL, 0, "print the report as JSON", 0},
	{"html", 'H', "FILE", 0, "write the report as a self-contained page",
	 0},
	{"timeout", 't', "MS", 0, "timeout per instance in ms (2000)", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 'H':
		args->html = arg;
		return 0;
	case 't':
		args->timeout_ms = atoi(arg);
		if (args->timeout_ms <= 0)
			argp_usage(state);
		return 0;
	default:
		return command_target_parse(&args->target, key, arg, state);
	}
}

static void add_answers(struct burn_report *report,
			const struct fleet_list *list)
{
	int i;

	for (i = 0; i < list->n; i++) {
		const struct fleet_response *response = &list->responses[i];
		struct burn_instance instance = {.ret = response->ret};

		if (!response->ret && response->status != 200)
			instance.ret = ERR_PROTOCOL;
		str_copy(instance.name, sizeof(instance.name),
			 str_from(response->instance));
		str_copy(instance.data_centre, sizeof(instance.data_centre),
			 str_from(response->data_centre));
		address_format(&response->address, instance.address,
			       sizeof(instance.address));
		burn_report_add(report, &instance, response->body);
	}
	burn_report_sort(report);
}

static void print_json(const struct burn_report *report)
{
	struct json_object *root = report_json(report);

	puts(json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(root);
}

static int write_html(const struct burn_report *report, const char *path)
{
	FILE *out = fopen(path, "w");
	int failed;

	if (out) {
		report_html(report, out);
		failed = ferror(out);
		if (!fclose(out) && !failed)
			return 0;
	}
	fprintf(stderr, "garnetreach report: %s: %s\n", path, strerror(errno));
	return ERR_IO;
}

static int print_report(const struct burn_report *report,
			const struct arguments *args)
{
	if (args->target.json)
		print_json(report);
	else if (!args->html)
		report_text(report, stdout);
	if (args->html && write_html(report, args->html))
		return EXIT_STATUS_FAILED;
	if (!report->n_answered)
		return EXIT_STATUS_FAILED;
	return burn_report_is_partial(report) ? EXIT_STATUS_PARTIAL
					      : EXIT_STATUS_OK;
}

int command_report(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse, "IP:PORT",
		"Report how fast services use up their error budgets. Asks "
		"all instances that the one at IP:PORT lists."};
	struct arguments args = {.timeout_ms = TIMEOUT_DEFAULT_MS};
	struct burn_report report;
	struct fleet_list list;
	int ret;

	if (argp_parse(&argp, argc, argv, 0, NULL, &args))
		return EXIT_STATUS_USAGE;
	ret = fleet_list_init(&list, &args.target.address, args.timeout_ms);
	if (ret)
		fprintf(stderr,
			"garnetreach report: cannot list the other "
			"instances: %s\n",
			error_text(ret));
	if (!ret)
		fleet_list_fetch(&list, 0, "/v1/burn", args.timeout_ms);
	burn_report_init(&report);
	add_answers(&report, &list);
	ret = print_report(&report, &args);
	burn_report_finish(&report);
	fleet_list_finish(&list);
	return ret;
}
