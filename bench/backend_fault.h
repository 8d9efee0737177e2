/*
 * Control port of the backend server stand-ins: a separate HTTP port that
 * injects faults and reports counters.
 *
 *	POST /control {"fault":"pause","server":"be-desk-01-1","ms":2000}
 *	GET /control[?server=NAME][&tickets=1]
 *
 * "server" may be "*" for all; "service" selects all servers of a service. The
 * reply to a POST has the number of servers in this process that matched. The
 * faults, with the defaults of their members:
 *
 *	slow		factor 1, probability 1, shard_lo 0, shard_hi 65535
 *	crash		restart_ms -1 (never); resets all connections,
 *			closes the port
 *	crash_on	marker (none: off), restart_ms -1
 *	silent		forget_ms -1, see server_silence_conns()
 *	pause		ms 1000
 *	reset		resets all open connections
 *	shed		ratio 0, retry_ms 100
 *	drain		on 1
 *	cold		ms 0, requests 0, factor as configured
 *	version		version, shards as configured, keep_ms 0 (-1: forever)
 *	wrong_version	probability 1; answers carry the next version number
 *	foreign		probability 1; answers carry another request id
 *	truncate	probability 1; answers end after half of the body
 *	lie_health	on 1, healthy 1, load 0
 *	service_time	service_us, service_random_us
 *	clear_counters
 */
#ifndef BACKEND_FAULT_H
#define BACKEND_FAULT_H

#include "backend_server.h"

struct control_conn;

/**
 * struct fault_control - control port of the process
 * @servers: all servers that the process hosts; borrowed
 * @n_servers: length of @servers
 * @htp: HTTP server of the port
 * @conns: open connections, to be closed by fault_control_finish()
 * @port: bound port
 */
struct fault_control {
	struct server *servers;
	int n_servers;
	evhtp_t *htp;
	struct control_conn *conns;
	uint16_t port;
};

/**
 * fault_control_init() - listen on the control port
 * @control: initialised here
 * @base: event loop
 * @servers: servers to control; borrowed
 * @n_servers: length of @servers
 * @port: 0 for an ephemeral port
 *
 * Return: 0, or ERR_ADDRESS with @control finished.
 */
int fault_control_init(struct fault_control *control, struct event_base *base,
		       struct server *servers, int n_servers, uint16_t port);

/**
 * fault_control_finish() - close the port and its connections
 * @control: the control port
 */
void fault_control_finish(struct fault_control *control);

#endif
