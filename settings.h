/* What an instance is told when it starts: its names and addresses. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "address.h"
#include "option.h"

#define SETTINGS_PLATFORMS_MAX 8

/**
 * struct settings - a read settings file
 * @instance: unique name of this instance
 * @data_centre: where it runs
 * @caller_address: HTTP for callers and operators
 * @peer_address: TCP and UDP between instances
 * @platform: addresses of the platform's configuration service
 * @n_platform: how many
 * @capacity: processor time of the machine, thousandths of a core; 0: not told
 * @log_level: least level written, see log_level_parse()
 */
struct settings {
	char *instance;
	char *data_centre;
	struct address caller_address;
	struct address peer_address;
	struct address platform[SETTINGS_PLATFORMS_MAX];
	int n_platform;
	uint32_t capacity;
	int log_level;
};

extern const struct option_spec settings_options[];
extern const int n_settings_options;

/**
 * settings_init() - read settings from JSON with comments
 * @text: the document
 * @err: names the key and what was expected
 *
 * Return: 0; or ERR_SYNTAX, ERR_KEY_UNKNOWN, ERR_KEY_MISSING, ERR_TYPE,
 * ERR_RANGE, ERR_ADDRESS with @settings finished.
 */
int settings_init(struct settings *settings, const char *text, size_t len,
		  struct error *err);
void settings_finish(struct settings *settings);

#endif
