/*
 * What callers of gateways lost, read from the instances' logs: by second and
 * by route, each request under one cause. Says where to look, not how much a
 * loss weighs.
 */
#ifndef LOSSES_H
#define LOSSES_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <uthash.h>

#include "str.h"

struct json_object;

/* X(cause, name, what it says) */
#define LOSS_CAUSE_LIST(X)                                                     \
	X(LOSS_NONE, "served", "whole and within the goal")                    \
	X(LOSS_LATE, "late", "whole or enough, after the goal")                \
	X(LOSS_PARTS, "parts", "within the goal, without some shards")         \
	X(LOSS_NO_SERVER, "no_server", "no live server of too many shards")    \
	X(LOSS_FULL, "full", "no slot, connection or retry left in time")      \
	X(LOSS_OVERLOAD, "overload", "refused: more than servers can bear")    \
	X(LOSS_EARLY, "early", "refused again before the time it was told")    \
	X(LOSS_BROKEN, "broken", "a server broke off or answered wrong")       \
	X(LOSS_TIMEOUT, "timeout", "servers were waited for until the end")    \
	X(LOSS_LEFT, "left", "the caller left before the answer")              \
	X(LOSS_NO_ROUTES, "no_routes", "routes or servers were not known")     \
	X(LOSS_REQUEST, "request", "the request's own fault")

#define LOSS_CAUSE_ENUM(cause, name, text) cause,
enum loss_cause {
	LOSS_CAUSE_LIST(LOSS_CAUSE_ENUM) LOSS_CAUSES
};
#undef LOSS_CAUSE_ENUM

/* Of a route or a second, as text. */
#define LOSSES_KEY_SIZE 128

/**
 * struct losses_row - requests of one route, or that ended in one second
 * @parts: shards asked for by requests that were answered in time
 * @parts_in: of these, in the answers
 */
struct losses_row {
	char key[LOSSES_KEY_SIZE];
	uint64_t causes[LOSS_CAUSES];
	uint64_t parts;
	uint64_t parts_in;
	UT_hash_handle hh;
};

/**
 * struct losses - of all lines that were taken
 * @lines: that were read; @unreadable of them are no JSON object
 * @by_second: a row for each second in which any instance wrote a line
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
 * losses_add_line() - a line of a log
 *
 * What stands before the first brace is passed over, so that lines which a
 * collector put a prefix to can be read as they are.
 */
void losses_add_line(struct losses *losses, struct str line);

const char *loss_cause_name(enum loss_cause cause);

/**
 * losses_text() - tables for terminals
 */
void losses_text(struct losses *losses, FILE *out);

/**
 * losses_json() - for programs; to be released by json_object_put()
 */
struct json_object *losses_json(struct losses *losses);

#endif
