/* Configuration of a backend server stand-in, read from servers.json. */
#ifndef BACKEND_CONFIG_H
#define BACKEND_CONFIG_H

#include "backend_server.h"

struct json_object;

/**
 * server_config_init() - read the entry of one server
 * @config: filled in; owns its strings until server_config_finish()
 * @entry: JSON object of the server
 * @overrides: JSON object whose members take precedence over those of @entry
 * @err: details of the error
 *
 * Return: 0; or an error of option_read(), ERR_KEY_UNKNOWN or ERR_KEY_MISSING
 * with @config finished.
 */
int server_config_init(struct server_config *config, struct json_object *entry,
		       struct json_object *overrides, struct error *err);

/**
 * server_config_finish() - free the strings of a configuration
 * @config: may be partly read
 */
void server_config_finish(struct server_config *config);

#endif
