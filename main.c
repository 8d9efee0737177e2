#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "command.h"

const char *argp_program_version = "garnetreach " GARNETREACH_VERSION;

static const struct {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *help;
} commands[] = {
	{"serve", command_serve, "run an instance"},
	{"gateway", command_gateway,
	 "run an instance in front of opaque services"},
	{"check", command_check, "check a settings file or a table"},
	{"query", command_query, "send a query as a caller"},
	{"status", command_status, "show what an instance knows"},
	{"explain", command_explain, "explain what a request did"},
	{"report", command_report, "report the fleet's error budget burn"},
	{"losses", command_losses, "report lost requests from logs"},
};

#define N_COMMANDS (int)(sizeof(commands) / sizeof(*commands))

static const char doc[] =
	"A query tier for sharded services.\v"
	"Commands:\n"
	"  serve SETTINGS    run an instance\n"
	"  gateway SETTINGS  run an instance in front of opaque services\n"
	"  check FILE        check a settings file or a table\n"
	"  query             send a query as a caller\n"
	"  status            show what an instance knows\n"
	"  explain           explain what a request did\n"
	"  report            report the fleet's error budget burn\n"
	"  losses LOG...     report lost requests from logs\n\n"
	"garnetreach COMMAND --help explains a command. Exit status: 0 done, "
	"1 failed, 2 wrong usage, 3 file invalid, 4 coverage insufficient, 5 "
	"no "
	"such request, 6 its record evicted, 7 not all instances answered.";

static int run_command(const char *name, int argc, char **argv)
{
	char title[64];
	int i;

	for (i = 0; i < N_COMMANDS; i++) {
		if (strcmp(commands[i].name, name))
			continue;
		snprintf(title, sizeof(title), "garnetreach %s", name);
		argv[0] = title;
		return commands[i].run(argc, argv);
	}
	fprintf(stderr, "garnetreach: no command '%s'; see --help\n", name);
	return EXIT_STATUS_USAGE;
}

int main(int argc, char **argv)
{
	static const struct argp argp = {NULL, NULL, "COMMAND [OPTION...]",
					 doc};

	argp_err_exit_status = EXIT_STATUS_USAGE;
	if (argc > 1 && argv[1][0] != '-')
		return run_command(argv[1], argc - 1, argv + 1);
	argp_parse(&argp, argc, argv, 0, NULL, NULL);
	fprintf(stderr, "garnetreach: no command; see --help\n");
	return EXIT_STATUS_USAGE;
}
