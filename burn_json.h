/* Burn rates of one instance as JSON, for GET /v1/burn. */
#ifndef BURN_JSON_H
#define BURN_JSON_H

#include "blackboard.h"

struct evbuffer;
struct json_object;

/**
 * burn_json() - counts, burn rates and causes by service
 *
 * The format is described in docs/PROTOCOL.md.
 *
 * Return: to be released by json_object_put().
 */
struct json_object *burn_json(struct blackboard *board);

/**
 * burn_json_add_alarms() - append the burn rate alarms as a JSON array
 */
void burn_json_add_alarms(struct evbuffer *out, struct blackboard *board);

#endif
