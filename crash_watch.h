/*
 * Detects requests of a gateway that crash the backend servers running them. A
 * connection that breaks while a request runs isn't enough evidence; a server
 * that takes no connection right afterwards has crashed.
 */
#ifndef CRASH_WATCH_H
#define CRASH_WATCH_H

#include "poison.h"
#include "registry.h"
#include "upstream.h"

/**
 * struct crash_watch - one attempt to run a request on a backend server
 * @poison: borrowed; counts crashes by fingerprint
 * @upstream: borrowed
 * @server: holds a reference
 * @run: the attempt as @poison knows it
 *
 * If the connection breaks, the watch stays allocated until the check of the
 * server has ended.
 */
struct crash_watch {
	struct poison *poison;
	struct upstream *upstream;
	struct registry_server *server;
	struct poison_run run;
};

/**
 * crash_watch_new() - start watching a request that is sent to a server
 * @poison: outlives the watch
 * @upstream: outlives the watch
 * @server: the watch takes its own reference
 * @fingerprint: hash that identifies the request
 *
 * Return: the watch, to be ended with crash_watch_end(); NULL if the request
 * has been banned in the meantime.
 */
struct crash_watch *crash_watch_new(struct poison *poison,
				    struct upstream *upstream,
				    struct registry_server *server,
				    uint64_t fingerprint);

/**
 * crash_watch_end() - the attempt ended
 * @watch: freed, at once or when the check of the server has ended
 * @broke: the connection broke while the request ran
 */
void crash_watch_end(struct crash_watch *watch, bool broke);

#endif
