/* What a backend server says of its load beside each answer. */
#ifndef SERVER_LOAD_H
#define SERVER_LOAD_H

#include <stdint.h>

#include "str.h"

/* Work takes as long as usual. */
#define SERVER_SLOWDOWN_NONE 100

/**
 * struct server_load - as it was when the answer was sent
 * @running: requests that it runs
 * @waiting: and that wait for a slot
 * @slots: requests that it runs at once
 * @pace: how long work takes on its machine, percent of what is usual; 100 if
 *	it does not say
 * @at: when it came, microseconds; 0: never
 */
struct server_load {
	int32_t running;
	int32_t waiting;
	int32_t slots;
	int32_t pace;
	int64_t at;
};

/**
 * server_load_parse() - read "running, waiting, slots[, pace]"
 * @out: set on success, but for its @at
 *
 * Return: 0; ERR_SYNTAX if it is anything else, ERR_RANGE for figures that no
 * server has: nothing may be believed of it then.
 */
int server_load_parse(struct str text, struct server_load *out);

#endif
