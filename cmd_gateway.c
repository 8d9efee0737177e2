#define LOG_MODULE "gateway"
#include "command.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/event.h>

#include "gateway.h"
#include "gateway_pages.h"
#include "log.h"
#include "platform/names.h"

enum {
	KEY_SETTINGS_FROM = 0x100,
};

static const struct argp_option options[] = {
	{"settings-from", KEY_SETTINGS_FROM, "VARIABLE", 0,
	 "read the path of the settings from this environment variable", 0},
	{0},
};

static error_t parse(int key, char *arg, struct argp_state *state)
{
	const char **path = state->input;

	switch (key) {
	case KEY_SETTINGS_FROM:
		*path = getenv(arg);
		if (!*path)
			argp_error(state, "%s is not set", arg);
		return 0;
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

static int read_settings(const char *path, struct gateway_settings *settings)
{
	struct error err = {.code = ERR_NONE};
	char *text;
	size_t len;
	int ret;

	ret = command_read_file(path, &text, &len);
	if (ret)
		return ret;
	ret = gateway_settings_init(settings, text, len, &err);
	free(text);
	if (ret)
		fprintf(stderr, "%s: %s: %s (%s)\n", path, err.subject,
			error_text(ret), err.expected ? err.expected : "");
	return ret;
}

static void on_term(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	gateway_leave(arg);
}

static int run(struct event_base *base, const struct gateway_settings *settings)
{
	static struct gateway gateway;
	struct gateway_pages pages;
	struct event *term;
	struct event *interrupt;
	int ret;

	ret = gateway_init(&gateway, base, settings, &platform_names,
			   &platform_store);
	if (!ret)
		ret = gateway_pages_init(&pages, &gateway);
	if (ret) {
		LOG_ERROR("start_failed", LOG_TEXT("error", error_name(ret)));
		return ret;
	}
	term = evsignal_new(base, SIGTERM, on_term, &gateway);
	interrupt = evsignal_new(base, SIGINT, on_term, &gateway);
	event_add(term, NULL);
	event_add(interrupt, NULL);
	LOG_INFO("started", LOG_TEXT("data_centre", settings->data_centre));
	event_base_dispatch(base);
	LOG_INFO("stopped",
		 LOG_I64("requests", gateway.counters.requests.value));
	event_free(term);
	event_free(interrupt);
	gateway_pages_finish(&pages);
	gateway_finish(&gateway);
	return 0;
}

int command_gateway(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse, "[SETTINGS]",
		"Run a gateway instance with the settings of "
		"garnetreach-gateway(5) until SIGTERM or SIGINT stops it "
		"gracefully."};
	const char *path = NULL;
	struct gateway_settings settings;
	struct event_base *base;
	int ret;

	if (argp_parse(&argp, argc, argv, 0, NULL, &path))
		return EXIT_STATUS_USAGE;
	if (read_settings(path, &settings))
		return EXIT_STATUS_INVALID;
	log_init((enum log_level)settings.log_level, settings.instance);
	signal(SIGPIPE, SIG_IGN);
	base = event_base_new();
	log_start(base, STDOUT_FILENO);
	ret = run(base, &settings);
	log_stop();
	event_base_free(base);
	gateway_settings_finish(&settings);
	return ret ? EXIT_STATUS_FAILED : EXIT_STATUS_OK;
}
