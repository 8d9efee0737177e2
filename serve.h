/* Runs an instance: sets up its controllers and the event loop. */
#ifndef SERVE_H
#define SERVE_H

#include "settings.h"

/**
 * serve() - run an instance until stopped by SIGTERM or SIGINT
 * @settings: borrowed
 *
 * Return: 0 after a graceful stop, or ERR_ADDRESS if an address is in use.
 */
int serve(const struct settings *settings);

#endif
