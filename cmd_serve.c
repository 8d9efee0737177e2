#define LOG_MODULE "serve"
#include "command.h"

#include <argp.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "mem.h"
#include "serve.h"

#define READ_CHUNK_SIZE 65536 /* bytes */

int command_read_file(const char *path, char **data, size_t *len)
{
	FILE *file = fopen(path, "rb");
	size_t cap = 0;
	size_t n;

	if (!file) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		return ERR_IO;
	}
	*data = NULL;
	*len = 0;
	do {
		if (*len + READ_CHUNK_SIZE > cap) {
			cap = (*len + READ_CHUNK_SIZE) * 2;
			*data = mem_realloc(*data, cap);
		}
		n = fread(*data + *len, 1, READ_CHUNK_SIZE, file);
		*len += n;
	} while (n);
	if (ferror(file)) {
		fprintf(stderr, "%s: %s\n", path, strerror(errno));
		free(*data);
		fclose(file);
		return ERR_IO;
	}
	fclose(file);
	return 0;
}

static error_t parse_option(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case ARGP_KEY_ARG:
		if (*path)
			argp_usage(state);
		*path = arg;
		return 0;
	case ARGP_KEY_END:
		if (!*path)
			argp_usage(state);
		return 0;
	default:
		return ARGP_ERR_UNKNOWN;
	}
}

int command_serve(int argc, char **argv)
{
	static const struct argp argp = {
		NULL, parse_option, "SETTINGS",
		"Run an instance with the settings of garnetreach-settings(5) "
		"until SIGTERM or SIGINT stops it gracefully."};
	const char *path = NULL;
	struct settings settings;
	struct error err = {0};
	char *text;
	size_t len;
	int ret;

	if (argp_parse(&argp, argc, argv, 0, NULL, &path))
		return EXIT_STATUS_USAGE;
	if (command_read_file(path, &text, &len))
		return EXIT_STATUS_FAILED;
	ret = settings_init(&settings, text, len, &err);
	free(text);
	if (ret) {
		fprintf(stderr, "%s: %s: %s (%s)\n", path, err.subject,
			error_text(ret), err.expected ? err.expected : "");
		return EXIT_STATUS_INVALID;
	}
	log_init((enum log_level)settings.log_level, settings.instance);
	ret = serve(&settings);
	settings_finish(&settings);
	return ret ? EXIT_STATUS_FAILED : EXIT_STATUS_OK;
}
