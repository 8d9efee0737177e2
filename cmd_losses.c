#include "command.h"

#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "losses.h"

struct arguments {
	struct losses losses;
	bool json;
	bool failed;
	int n_files;
};

static const struct argp_option options[] = {
	{"json", 'j', NULL, 0, "print JSON instead of tables", 0},
	{0},
};

static void read_lines(struct losses *losses, FILE *in)
{
	char *line = NULL;
	size_t size = 0;
	ssize_t len;

	while ((len = getline(&line, &size, in)) > 0)
		losses_add_line(losses, (struct str){line, (size_t)len});
	free(line);
}

static void read_file(struct arguments *args, const char *path)
{
	FILE *in;

	args->n_files++;
	if (!strcmp(path, "-")) {
		read_lines(&args->losses, stdin);
		return;
	}
	in = fopen(path, "r");
	if (!in) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		args->failed = true;
		return;
	}
	read_lines(&args->losses, in);
	fclose(in);
}

static error_t parse(int key, char *arg, struct argp_state *state)
{
	struct arguments *args = state->input;

	switch (key) {
	case 'j':
		args->json = true;
		return 0;
	case ARGP_KEY_ARG:
		read_file(args, arg);
		return 0;
	case ARGP_KEY_END:
		if (!args->n_files)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

static void print_json(struct losses *losses)
{
	struct json_object *root = losses_json(losses);

	printf("%s\n",
	       json_object_to_json_string_ext(root, JSON_C_TO_STRING_PRETTY));
	json_object_put(root);
}

int command_losses(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse, "LOG...",
		"Say what callers of gateways lost, by second, route and "
		"cause, "
		"from the logs of all instances; - reads standard input."};
	struct arguments args = {0};

	losses_init(&args.losses);
	argp_parse(&argp, argc, argv, 0, NULL, &args);
	if (args.json)
		print_json(&args.losses);
	else
		losses_text(&args.losses, stdout);
	losses_finish(&args.losses);
	return args.failed ? EXIT_STATUS_FAILED : EXIT_STATUS_OK;
}
