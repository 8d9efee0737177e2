/* Opens a TCP connection to see whether a backend server listens. */
#ifndef SERVER_PROBE_H
#define SERVER_PROBE_H

#include "address.h"
#include "crash_check.h"

struct event;
struct event_base;

typedef void (*server_probe_cb)(void *arg, enum crash_evidence evidence);

/**
 * struct server_probe - one connection attempt
 * @done: called once it was accepted or refused
 * @arg: passed to @done
 * @event: owned; NULL unless the probe runs
 * @fd: its socket
 * @error: of connecting, an errno; known at once, or 0
 */
struct server_probe {
	server_probe_cb done;
	void *arg;
	struct event *event;
	int fd;
	int error;
};

/**
 * server_probe_start() - connect, without a time limit
 * @probe: zeroed before its first use, not running
 * @base: event loop; @done is called from it
 * @address: of the server
 * @done: gets CRASH_EVIDENCE_LISTENS, _REFUSED, _UNREACHED or _UNKNOWN; the
 *	connection is closed before
 * @arg: passed to @done
 *
 * Return: 0, or ERR_SYSTEM.
 */
int server_probe_start(struct server_probe *probe, struct event_base *base,
		       const struct address *address, server_probe_cb done,
		       void *arg);

/**
 * server_probe_finish() - end the probe without calling back
 * @probe: may have ended
 */
void server_probe_finish(struct server_probe *probe);

#endif
