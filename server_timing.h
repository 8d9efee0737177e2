/*
 * Updates the estimated processing times of backend servers, from answers to
 * this instance's own requests and from reports of relays. Logs when a server
 * becomes slow or recovers.
 */
#ifndef SERVER_TIMING_H
#define SERVER_TIMING_H

#include <stdint.h>

#include "registry.h"

/**
 * server_timing_result() - a request that this instance sent to a server ended
 * @server: the server
 * @result: how the request ended
 * @took: as for server_score_result(), without the wait on this instance
 * @now: current time, microseconds
 */
void server_timing_result(struct registry_server *server,
			  enum server_result result, int64_t took, int64_t now);

/**
 * server_timing_add_sample() - record a processing time measured by this
 * instance
 * @server: the server
 * @took: microseconds, without the wait in the queue and the transfer to and
 *	from a relay
 * @now: current time, microseconds
 */
void server_timing_add_sample(struct registry_server *server, int64_t took,
			      int64_t now);

/**
 * server_timing_add_report() - record a processing time reported by a relay
 * @server: the server
 * @processing_time: microseconds
 * @source: instance id of the relay, for log lines
 * @now: current time, microseconds
 */
void server_timing_add_report(struct registry_server *server,
			      double processing_time, const char *source,
			      int64_t now);

#endif
