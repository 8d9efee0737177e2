/*
 * Detects requests of a gateway that crash the backend servers running them.
 *
 * A run whose connection broke keeps its server in doubt until there is
 * evidence: the server has crashed if nobody listens at its address any more,
 * if its entry is gone, or if it goes on accepting connections and answers on
 * none; and lives if it answers something that was sent after the break. An
 * accepted connection is no evidence: a process that ends closes its sockets
 * one by one, and something before the server may accept in its place. A run
 * that was given up here may go on and crash the server later, up to its
 * deadline.
 *
 * Does no I/O: the owner makes the connections and passes in what it sees.
 */
#ifndef CRASH_WATCH_H
#define CRASH_WATCH_H

#include <stdbool.h>
#include <stdint.h>

#include "clock.h"
#include "crash_check.h"
#include "poison.h"
#include "registry.h"

struct crash_watch;
struct upstream_request;
struct watched_server;

/**
 * struct crash_watch_ops - callbacks
 * @probe: open a connection to a server and keep it; the result is passed to
 *	crash_watch_connected() after it has returned. Return: 0, or an error if
 *	that isn't possible
 * @wake: call crash_watch_tick() at the given time or earlier
 */
struct crash_watch_ops {
	int (*probe)(void *arg, struct registry_server *server);
	void (*wake)(void *arg, int64_t at);
};

/* How a run on a server ended. */
enum run_end {
	RUN_ANSWERED, /* the server answered */
	RUN_HARMLESS, /* it did not run, or its end does not matter */
	RUN_LOST,     /* the connection broke before an answer */
	RUN_GIVEN_UP, /* the connection was closed here; it may run on */
};

/**
 * struct watched_run - one attempt to run a request on a server
 * @watch: all runs
 * @server: where it runs
 * @run: the attempt as poison knows it
 * @deadline: when it ends at the latest if it is given up, microseconds
 * @end: RUN_LOST or RUN_GIVEN_UP once it has ended so
 * @ended_at: when it ended so, microseconds; 0: it runs
 */
struct watched_run {
	struct crash_watch *watch;
	struct watched_server *server;
	struct poison_run run;
	int64_t deadline;
	enum run_end end;
	int64_t ended_at;
	struct watched_run *prev;
	struct watched_run *next;
};

/**
 * struct crash_watch - all watched runs of an instance
 * @clock: borrowed
 * @poison: borrowed; counts crashes by fingerprint
 * @ops: borrowed, called with @arg
 * @servers: servers with watched runs
 * @n_unjudged: lost runs of whose server nothing was learned in time
 */
struct crash_watch {
	const struct clock *clock;
	struct poison *poison;
	const struct crash_watch_ops *ops;
	void *arg;
	struct watched_server *servers;
	uint64_t n_unjudged;
};

/**
 * crash_watch_init() - start without any run
 * @watch: to be finished with crash_watch_finish()
 * @clock: outlives @watch, like the other arguments
 * @poison: see struct crash_watch
 * @ops: callbacks
 * @arg: first argument of each callback
 */
void crash_watch_init(struct crash_watch *watch, const struct clock *clock,
		      struct poison *poison, const struct crash_watch_ops *ops,
		      void *arg);

/**
 * crash_watch_finish() - free all runs without judging them
 * @watch: all runs
 */
void crash_watch_finish(struct crash_watch *watch);

/**
 * crash_watch_begin() - a request is about to be sent to a server
 * @watch: all runs
 * @server: the run takes its own reference
 * @request: its fingerprint and trial are used
 * @deadline: the server stops it then, microseconds
 * @out: set to the run, to be ended with watched_run_end()
 *
 * Return: 0; ERR_BANNED if the request is banned, or must be tried on one
 * server first; ERR_CONNECT for a trial on a server that may be down or was
 * never seen alive, as it would show nothing.
 */
int crash_watch_begin(struct crash_watch *watch, struct registry_server *server,
		      const struct upstream_request *request, int64_t deadline,
		      struct watched_run **out);

/**
 * watched_run_end() - a run ended
 * @run: freed, at once or when its server has been judged
 * @end: how it ended
 */
void watched_run_end(struct watched_run *run, enum run_end end);

/**
 * crash_watch_answered() - a server answered a request
 * @watch: all runs
 * @server: the server
 * @sent_at: when that request was sent, microseconds
 */
void crash_watch_answered(struct crash_watch *watch,
			  struct registry_server *server, int64_t sent_at);

/**
 * crash_watch_broke() - an open connection to a server broke
 * @watch: all runs
 * @server: the server; its @n_conns no longer counts the connection
 */
void crash_watch_broke(struct crash_watch *watch,
		       struct registry_server *server);

/**
 * crash_watch_connected() - an attempt to connect to a server ended
 * @watch: all runs
 * @server: the server
 * @evidence: what it met
 */
void crash_watch_connected(struct crash_watch *watch,
			   struct registry_server *server,
			   enum crash_evidence evidence);

/**
 * crash_watch_gone() - a server's entry is gone, or another server is at its
 * address
 * @watch: all runs
 * @server: the server
 */
void crash_watch_gone(struct crash_watch *watch,
		      struct registry_server *server);

/**
 * crash_watch_tick() - probe and expire what is due
 * @watch: all runs
 */
void crash_watch_tick(struct crash_watch *watch);

#endif
