#include "load_option.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>

#include "error.h"

enum option_key {
	KEY_ADDRESSES = 1000,
	KEY_DATA_CENTRE,
	KEY_RATE,
	KEY_SECONDS,
	KEY_EVEN,
	KEY_QUERIES,
	KEY_SERVICE,
	KEY_WHERE,
	KEY_MODE,
	KEY_LIMIT,
	KEY_DEADLINE,
	KEY_RUNS,
	KEY_RUN_SERVICE,
	KEY_REPEAT_RUNS,
	KEY_RESEND,
	KEY_PATIENCE,
	KEY_HISTORY,
	KEY_HISTORY_ANSWERS,
	KEY_TIMELINE,
	KEY_SEED,
	KEY_CALLERS,
	KEY_CONNECTIONS,
	KEY_TIMEOUT,
	KEY_FIXED,
	KEY_DIRECT,
};

static const struct argp_option argp_options[] = {
	{"addresses", KEY_ADDRESSES, "LIST", 0,
	 "IP:PORT,... of instances to fetch the address list from", 0},
	{"data-centre", KEY_DATA_CENTRE, "NAME", 0,
	 "data centre of the callers", 0},
	{"rate", KEY_RATE, "N", 0, "requests per second (100)", 0},
	{"seconds", KEY_SECONDS, "N", 0, "how long to start requests (5)", 0},
	{"even", KEY_EVEN, NULL, 0,
	 "use a fixed interval between requests instead of a Poisson process",
	 0},
	{"queries", KEY_QUERIES, "FILE", 0,
	 "JSON lines of search bodies, each with an optional \"expect\"", 0},
	{"service", KEY_SERVICE, "NAME", 0, "add a search of this service", 0},
	{"where", KEY_WHERE, "JSON", 0, "\"where\" of the --service search", 0},
	{"mode", KEY_MODE, "NAME", 0, "\"mode\" of the --service search", 0},
	{"limit", KEY_LIMIT, "N", 0, "\"limit\" of the --service search", 0},
	{"deadline-ms", KEY_DEADLINE, "N", 0,
	 "deadline of runs, and of searches that set none", 0},
	{"runs", KEY_RUNS, "RATIO", 0,
	 "fraction of requests that are runs, which are not idempotent (0)", 0},
	{"run-service", KEY_RUN_SERVICE, "NAME", 0,
	 "service of the runs (as --service)", 0},
	{"repeat-runs", KEY_REPEAT_RUNS, "RATIO", 0,
	 "fraction of runs whose ticket is sent again to another instance (0)",
	 0},
	{"resend-not-run", KEY_RESEND, NULL, 0,
	 "resend requests answered not_run, after their retry_after_ms", 0},
	{"patience-ms", KEY_PATIENCE, "N", 0,
	 "how long to resend a request (5000)", 0},
	{"history", KEY_HISTORY, "FILE", 0,
	 "write a JSON line for each attempt", 0},
	{"history-answers", KEY_HISTORY_ANSWERS, NULL, 0,
	 "include complete answers in the history", 0},
	{"timeline", KEY_TIMELINE, "SECONDS", 0,
	 "print a JSON line for each interval", 0},
	{"seed", KEY_SEED, "N", 0, "seed of arrivals and random choices (1)",
	 0},
	{"callers", KEY_CALLERS, "N", 0,
	 "number of callers, each with its own address list (16)", 0},
	{"connections", KEY_CONNECTIONS, "N", 0,
	 "maximum number of connections to an address (256)", 0},
	{"timeout-ms", KEY_TIMEOUT, "N", 0,
	 "inactivity after which an exchange fails (3000)", 0},
	{"fixed", KEY_FIXED, NULL, 0,
	 "use --addresses as they are, without fetching a list", 0},
	{"direct", KEY_DIRECT, NULL, 0,
	 "--addresses are backend servers: search them directly, without an "
	 "instance",
	 0},
	{0},
};

static error_t parse_traffic(int key, char *arg, struct load_options *options)
{
	switch (key) {
	case KEY_RATE:
		options->rate = atof(arg);
		return 0;
	case KEY_SECONDS:
		options->seconds = atof(arg);
		return 0;
	case KEY_EVEN:
		options->is_even = true;
		return 0;
	case KEY_RUNS:
		options->runs = atof(arg);
		return 0;
	case KEY_RUN_SERVICE:
		options->run_service = arg;
		return 0;
	case KEY_REPEAT_RUNS:
		options->repeat_runs = atof(arg);
		return 0;
	case KEY_RESEND:
		options->resend_not_run = true;
		return 0;
	case KEY_PATIENCE:
		options->patience_ms = atoll(arg);
		return 0;
	case KEY_SEED:
		options->seed = atoll(arg);
		return 0;
	}
	return ARGP_ERR_UNKNOWN;
}

static error_t parse_search(int key, char *arg, struct load_options *options)
{
	switch (key) {
	case KEY_QUERIES:
		options->queries = arg;
		return 0;
	case KEY_SERVICE:
		options->service = arg;
		return 0;
	case KEY_WHERE:
		options->where = arg;
		return 0;
	case KEY_MODE:
		options->mode = arg;
		return 0;
	case KEY_LIMIT:
		options->limit = atoll(arg);
		return 0;
	case KEY_DEADLINE:
		options->deadline_ms = atoll(arg);
		return 0;
	}
	return parse_traffic(key, arg, options);
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	struct load_options *options = state->input;

	switch (key) {
	case KEY_ADDRESSES:
		options->addresses = arg;
		return 0;
	case KEY_DATA_CENTRE:
		options->data_centre = arg;
		return 0;
	case KEY_HISTORY:
		options->history = arg;
		return 0;
	case KEY_HISTORY_ANSWERS:
		options->history_answers = true;
		return 0;
	case KEY_TIMELINE:
		options->timeline = atof(arg);
		return 0;
	case KEY_CALLERS:
		options->callers = atoi(arg);
		return 0;
	case KEY_CONNECTIONS:
		options->connections = atoi(arg);
		return 0;
	case KEY_TIMEOUT:
		options->timeout_ms = atoll(arg);
		return 0;
	case KEY_FIXED:
		options->fixed = true;
		return 0;
	case KEY_DIRECT:
		options->direct = true;
		return 0;
	}
	return parse_search(key, arg, options);
}

static const struct argp argp = {
	.options = argp_options,
	.parser = parse_option,
	.doc = "Open-loop load generator for the callers' protocol. Prints "
	       "JSON lines; the last one has \"summary\".",
};

static bool options_valid(const struct load_options *options)
{
	return options->addresses && options->rate > 0 &&
	       options->seconds > 0 && options->callers > 0 &&
	       options->connections > 0 &&
	       (options->queries || options->service || options->run_service);
}

int load_options_parse(struct load_options *options, int argc, char **argv)
{
	*options = (struct load_options){
		.rate = 100,
		.seconds = 5,
		.patience_ms = 5000,
		.seed = 1,
		.callers = 16,
		.connections = 256,
		.timeout_ms = 3000,
	};
	argp_parse(&argp, argc, argv, 0, NULL, options);
	if (options_valid(options))
		return 0;
	fprintf(stderr, "--addresses and --queries, --service or "
			"--run-service are needed\n");
	return ERR_USAGE;
}
