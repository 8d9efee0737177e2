/*
 * Watches the sends of a gateway for requests that crash the servers that run
 * them. A connection that breaks while a request runs proves little; a server
 * at which nobody listens right after it has crashed.
 */
#ifndef CRASH_WATCH_H
#define CRASH_WATCH_H

#include "poison.h"
#include "registry.h"
#include "upstream.h"

/**
 * struct crash_watch - one send; lives on until its server's state is known
 */
struct crash_watch {
	struct poison *poison;
	struct upstream *upstream;
	struct registry_server *server;
	struct poison_run run;
};

/**
 * crash_watch_new() - a request is sent to a server
 * @fingerprint: of the request
 *
 * Return: the watch; or NULL if the request is banned by now.
 */
struct crash_watch *crash_watch_new(struct poison *poison,
				    struct upstream *upstream,
				    struct registry_server *server,
				    uint64_t fingerprint);

/**
 * crash_watch_end() - the send ended; frees the watch, now or later
 * @broke: the connection broke while the request ran
 */
void crash_watch_end(struct crash_watch *watch, bool broke);

#endif
