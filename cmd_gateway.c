#define LOG_MODULE "gateway"
#include "command.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include <event2/event.h>

#include "gateway.h"
#include "gateway_pages.h"
#include "gateway_stop.h"
#include "log.h"
#include "loop.h"
#include "platform/names.h"
#include "signals.h"

enum {
	KEY_SETTINGS_FROM = 0x100,
};

static const struct argp_option options[] = {
	{"settings-from", KEY_SETTINGS_FROM, "VARIABLE", 0,
	 "read the settings path from this environment variable", 0},
	{0},
};

static error_t parse_option(int key, char *arg, struct argp_state *state)
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

static int read_settings(const char *path, struct gateway_settings *settings,
			 struct error *err)
{
	char *text;
	size_t len;
	int ret;

	ret = command_read_file(path, &text, &len);
	if (ret)
		return ret;
	ret = gateway_settings_init(settings, text, len, err);
	free(text);
	return ret;
}

static void on_term(evutil_socket_t fd, short what, void *arg)
{
	(void)fd;
	(void)what;
	gateway_stop(arg);
}

/* The settings file is checked for changes this often, also without SIGHUP. */
#define RELOAD_CHECK_PERIOD_S 1

/**
 * struct gateway_process - a running instance and its settings file
 * @path: settings file; borrowed
 * @settings_mtime: mtime of the file at the last check
 * @settings: settings in use
 * @gateway: the instance
 * @pages: its HTTP pages
 */
struct gateway_process {
	const char *path;
	struct timespec settings_mtime;
	struct gateway_settings settings;
	struct gateway gateway;
	struct gateway_pages pages;
};

/* Returns whether the file changed since the last call. */
static bool settings_file_changed(struct gateway_process *process)
{
	struct stat info;

	if (stat(process->path, &info))
		return false;
	if (info.st_mtim.tv_sec == process->settings_mtime.tv_sec &&
	    info.st_mtim.tv_nsec == process->settings_mtime.tv_nsec)
		return false;
	process->settings_mtime = info.st_mtim;
	return true;
}

/* Invalid settings are logged and ignored; the current ones stay in use. */
static void reload_settings(struct gateway_process *process)
{
	struct gateway_settings settings;
	struct error err = {.code = ERR_NONE};
	int ret = read_settings(process->path, &settings, &err);

	if (ret) {
		LOG_WARN("reload_refused", LOG_TEXT("path", process->path),
			 LOG_TEXT("error", error_name(ret)),
			 LOG_TEXT("at", err.subject));
		return;
	}
	gateway_settings_update(&process->settings, &settings);
	gateway_settings_finish(&settings);
	gateway_apply_settings(&process->gateway);
	LOG_INFO("reloaded", LOG_I64("seeds", process->settings.n_seeds));
}

static void on_hup(evutil_socket_t fd, short what, void *arg)
{
	struct gateway_process *process = arg;

	(void)fd;
	(void)what;
	settings_file_changed(process);
	reload_settings(process);
}

static void on_reload_timer(evutil_socket_t fd, short what, void *arg)
{
	struct gateway_process *process = arg;

	(void)fd;
	(void)what;
	if (settings_file_changed(process))
		reload_settings(process);
}

static int run(struct event_base *base, struct gateway_process *process)
{
	static const struct timeval period = {RELOAD_CHECK_PERIOD_S, 0};
	struct gateway *gateway = &process->gateway;
	struct event *events[] = {
		evsignal_new(base, SIGTERM, on_term, gateway),
		evsignal_new(base, SIGINT, on_term, gateway),
		evsignal_new(base, SIGHUP, on_hup, process),
		event_new(base, -1, EV_PERSIST, on_reload_timer, process),
	};
	size_t n = sizeof(events) / sizeof(*events);
	size_t i;
	int ret;

	ret = gateway_init(gateway, base, &process->settings, &platform_names,
			   &platform_store);
	if (!ret)
		ret = gateway_pages_init(&process->pages, gateway);
	if (ret) {
		LOG_ERROR("start_failed", LOG_TEXT("error", error_name(ret)));
		return ret;
	}
	/* Before the loop's lag is measured: a stop counts from its signal. */
	event_priority_set(events[0], LOOP_STATE);
	event_priority_set(events[1], LOOP_STATE);
	for (i = 0; i < n; i++)
		event_add(events[i], i == n - 1 ? &period : NULL);
	LOG_INFO("started",
		 LOG_TEXT("data_centre", process->settings.data_centre));
	event_base_dispatch(base);
	signals_block();
	LOG_INFO("stopped",
		 LOG_I64("requests", gateway->counters.requests.value));
	for (i = 0; i < n; i++)
		event_free(events[i]);
	gateway_pages_finish(&process->pages);
	gateway_finish(gateway);
	return 0;
}

int command_gateway(int argc, char **argv)
{
	static const struct argp argp = {
		options, parse_option, "[SETTINGS]",
		"Run a gateway instance with the settings of "
		"garnetreach-gateway(5) until SIGTERM or SIGINT stops it "
		"gracefully."};
	static struct gateway_process process;
	struct error err = {.code = ERR_NONE};
	struct event_base *base;
	int ret;

	if (argp_parse(&argp, argc, argv, 0, NULL, &process.path))
		return EXIT_STATUS_USAGE;
	settings_file_changed(&process);
	ret = read_settings(process.path, &process.settings, &err);
	if (ret) {
		fprintf(stderr, "%s: %s: %s (%s)\n", process.path, err.subject,
			error_text(ret), err.expected ? err.expected : "");
		return EXIT_STATUS_INVALID;
	}
	log_init((enum log_level)process.settings.log_level,
		 process.settings.instance);
	signal(SIGPIPE, SIG_IGN);
	base = loop_new();
	log_start(base, STDOUT_FILENO);
	ret = run(base, &process);
	log_stop();
	loop_free(base);
	gateway_settings_finish(&process.settings);
	return ret ? EXIT_STATUS_FAILED : EXIT_STATUS_OK;
}
