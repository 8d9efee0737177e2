/* Load that a backend server reports with each answer. */
#ifndef SERVER_LOAD_H
#define SERVER_LOAD_H

#include <stdint.h>

#include "str.h"

/* Work takes as long as it normally does, percent. */
#define SERVER_SLOWDOWN_NONE 100

/**
 * struct server_load - load of a server when it sent the answer
 * @running: requests that it is running
 * @waiting: requests that are waiting for a slot
 * @slots: number of requests that it runs concurrently
 * @slowdown_pct: duration of work on its machine, percent of the normal; 100 if
 *	not reported
 * @at: when the report arrived, microseconds; 0: never
 */
struct server_load {
	int32_t running;
	int32_t waiting;
	int32_t slots;
	int32_t slowdown_pct;
	int64_t at;
};

/**
 * server_load_parse() - parse "running, waiting, slots[, slowdown]"
 * @text: to parse
 * @out: set on success, except for its @at
 *
 * Return: 0; ERR_SYNTAX if the text is malformed, ERR_RANGE if a number is
 * implausible. No part of the report is used then.
 */
int server_load_parse(struct str text, struct server_load *out);

#endif
