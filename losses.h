/*
 * Counts failed and degraded gateway requests from the logs of instances, by
 * second and by route, each request under one cause. Shows where to look; does
 * not weigh one cause against another.
 */
#ifndef LOSSES_H
#define LOSSES_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <uthash.h>

#include "str.h"

struct json_object;

/* X(cause, name, description) */
#define LOSS_CAUSE_LIST(X)                                                     \
	X(LOSS_NONE, "served", "complete and within the goal")                 \
	X(LOSS_LATE, "late", "complete or sufficient, after the goal")         \
	X(LOSS_PARTIAL, "parts", "within the goal, without some shards")       \
	X(LOSS_NO_SERVER, "no_server",                                         \
	  "too many shards without a live server")                             \
	X(LOSS_NO_CAPACITY, "full",                                            \
	  "no slot, connection or retry left in time")                         \
	X(LOSS_OVERLOAD, "overload", "refused: servers are overloaded")        \
	X(LOSS_EARLY_RETRY, "early",                                           \
	  "refused: sent again before the time given")                         \
	X(LOSS_SERVER_FAILED, "broken",                                        \
	  "a server failed or sent a bad answer")                              \
	X(LOSS_TIMEOUT, "timeout", "servers did not answer by the deadline")   \
	X(LOSS_CLIENT_CLOSED, "left",                                          \
	  "the caller disconnected before the answer")                         \
	X(LOSS_NO_ROUTES, "no_routes", "routes or servers were not known")     \
	X(LOSS_BAD_REQUEST, "request", "the request itself was at fault")

#define LOSS_CAUSE_ENUM(cause, name, text) cause,
enum loss_cause {
	LOSS_CAUSE_LIST(LOSS_CAUSE_ENUM) LOSS_N_CAUSES
};
#undef LOSS_CAUSE_ENUM

/* Size of a route or a second as text. */
#define LOSSES_KEY_SIZE 128

/**
 * struct losses_row - requests of one route, or that ended in one second
 * @key: the route, or the second as in "2026-05-05T13:16:38"
 * @causes: number of requests by enum loss_cause
 * @parts: shards asked for by requests that were answered within the goal
 * @parts_in: of these, shards in the answers
 * @hh: in losses.by_second or losses.by_route
 */
struct losses_row {
	char key[LOSSES_KEY_SIZE];
	uint64_t causes[LOSS_N_CAUSES];
	uint64_t parts;
	uint64_t parts_in;
	UT_hash_handle hh;
};

/**
 * struct losses - totals of all lines added
 * @by_second: a row for each second in which any instance logged a line; owned
 * @by_route: a row for each route; owned
 * @total: all requests
 * @lines: number of lines
 * @unreadable: of these, lines without a JSON object
 */
struct losses {
	struct losses_row *by_second;
	struct losses_row *by_route;
	struct losses_row total;
	uint64_t lines;
	uint64_t unreadable;
};

void losses_init(struct losses *losses);
void losses_finish(struct losses *losses);

/**
 * losses_add_line() - count a line of a log
 *
 * Text before the first brace is skipped, such as the prefix of a log
 * collector.
 */
void losses_add_line(struct losses *losses, struct str line);

const char *loss_cause_name(enum loss_cause cause);

/**
 * losses_text() - print tables for terminals
 */
void losses_text(struct losses *losses, FILE *out);

/**
 * losses_json() - the totals as JSON
 *
 * Return: to be released by json_object_put().
 */
struct json_object *losses_json(struct losses *losses);

#endif
