/* The settings file of an instance: its names and addresses. */
#ifndef SETTINGS_H
#define SETTINGS_H

#include "address.h"
#include "option.h"

#define SETTINGS_PLATFORMS_MAX 8

/**
 * struct settings - a parsed settings file
 * @instance: unique name of this instance; owned
 * @data_centre: where it runs; owned
 * @caller_address: HTTP for callers and operators
 * @peer_address: TCP and UDP between instances
 * @platform: addresses of the platform's configuration service
 * @n_platform: length of @platform
 * @capacity: processor time of the machine, thousandths of a core; 0: not known
 * @log_level: lowest level that is logged, see log_level_parse()
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
 * settings_init() - parse settings from JSON with comments
 * @settings: to be freed with settings_finish() on success
 * @text: the document
 * @len: length of @text
 * @err: set to the key and what was expected there
 *
 * Return: 0; or ERR_SYNTAX, ERR_KEY_UNKNOWN, ERR_KEY_MISSING, ERR_TYPE,
 * ERR_RANGE or ERR_ADDRESS with @settings freed.
 */
int settings_init(struct settings *settings, const char *text, size_t len,
		  struct error *err);
void settings_finish(struct settings *settings);

#endif
