/*
 * What this instance believes of the pace of backend servers, from answers to
 * its own requests and from what relays tell. Logs a belief that changes much.
 */
#ifndef SERVER_PACE_H
#define SERVER_PACE_H

#include <stdint.h>

#include "registry.h"

/**
 * server_timing_result() - a request that this instance sent to a server ended
 * @took: as for server_score_result(), without what it waited here
 */
void server_timing_result(struct registry_server *server,
			  enum server_result result, int64_t took, int64_t now);

/**
 * server_timing_add_sample() - a server answered a request after so long
 * @took: microseconds, without what it waited for its turn and the way of a
 *	relay
 */
void server_timing_add_sample(struct registry_server *server, int64_t took,
			      int64_t now);

/**
 * server_timing_add_report() - a relay tells how long a server takes lately
 * @pace: microseconds
 * @by: its instance, for the log
 */
void server_timing_add_report(struct registry_server *server, double pace,
			      const char *by, int64_t now);

#endif
