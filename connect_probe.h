/* Opens a TCP connection to see whether anybody listens at an address. */
#ifndef CONNECT_PROBE_H
#define CONNECT_PROBE_H

#include "address.h"
#include "crash_check.h"

struct event;
struct event_base;

typedef void (*connect_probe_cb)(void *arg, enum crash_evidence evidence);

/**
 * struct connect_probe - one connection attempt
 * @done: called once it was accepted or refused
 * @arg: passed to @done
 * @event: owned; NULL unless the probe runs
 * @fd: its socket
 * @error: of connecting, an errno; known at once, or 0
 */
struct connect_probe {
	connect_probe_cb done;
	void *arg;
	struct event *event;
	int fd;
	int error;
};

/**
 * connect_probe_start() - connect
 * @probe: zeroed before its first use, not running
 * @base: event loop; @done is called from it
 * @address: to connect to
 * @timeout: microseconds; 0: none
 * @done: gets CRASH_EVIDENCE_LISTENS, _REFUSED, _UNREACHED or _UNKNOWN; the
 *	connection is closed before
 * @arg: passed to @done
 *
 * Return: 0, or ERR_SYSTEM.
 */
int connect_probe_start(struct connect_probe *probe, struct event_base *base,
			const struct address *address, int64_t timeout,
			connect_probe_cb done, void *arg);

/**
 * connect_probe_finish() - end the probe without calling back
 * @probe: may have ended
 */
void connect_probe_finish(struct connect_probe *probe);

#endif
