/* Trace of a request as JSON, for GET /v1/explain. */
#ifndef TRACE_JSON_H
#define TRACE_JSON_H

#include "trace.h"

struct json_object;

/**
 * trace_json() - a trace in the format described in docs/PROTOCOL.md
 *
 * Return: to be released by json_object_put().
 */
struct json_object *trace_json(const struct trace *trace);

#endif
