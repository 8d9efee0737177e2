/* Command line options of the load generator. */
#ifndef BENCH_LOAD_OPTION_H
#define BENCH_LOAD_OPTION_H

#include <stdbool.h>
#include <stdint.h>

/*
 * Each field holds the option of the same name. Strings are borrowed from argv.
 */
struct load_options {
	const char *addresses;
	const char *data_centre;
	double rate;
	double seconds;
	bool is_even;
	const char *queries;
	const char *service;
	const char *where;
	const char *mode;
	int64_t limit;
	int64_t deadline_ms;
	double runs;
	const char *run_service;
	double repeat_runs;
	bool resend_not_run;
	int64_t patience_ms;
	const char *history;
	bool history_answers;
	double timeline;
	int64_t seed;
	int callers;
	int connections;
	int64_t timeout_ms;
	bool fixed;
	bool direct;
};

/**
 * load_options_parse() - parse the command line, starting from the defaults
 * @options: overwritten
 * @argc: as passed to main()
 * @argv: as passed to main(); must outlive @options
 *
 * Return: 0, or ERR_USAGE after printing a message to standard error.
 */
int load_options_parse(struct load_options *options, int argc, char **argv);

#endif
