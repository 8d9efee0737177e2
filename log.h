/*
 * JSON lines, on standard error or, once log_start() was called, buffered on a
 * descriptor that is never waited for. A line is one event:
 *
 *	LOG_INFO("table_in_force", LOG_U64("revision", rev));
 */
#ifndef LOG_H
#define LOG_H

#include <stdint.h>

#include "str.h"

enum log_level {
	LOG_LEVEL_DEBUG,
	LOG_LEVEL_INFO,
	LOG_LEVEL_WARN,
	LOG_LEVEL_ERROR,
};

enum log_kind {
	LOG_KIND_END,
	LOG_KIND_STR,
	LOG_KIND_I64,
	LOG_KIND_U64,
	LOG_KIND_F64,
};

/**
 * struct log_field - one typed member of a line
 * @key: constant name
 * @kind: which of the values is set
 */
struct log_field {
	const char *key;
	enum log_kind kind;
	struct str s;
	int64_t i;
	uint64_t u;
	double f;
};

#define LOG_STR(k, v)                                                          \
	((struct log_field){.key = (k), .kind = LOG_KIND_STR, .s = (v)})
#define LOG_TEXT(k, v) LOG_STR(k, str_from(v))
#define LOG_I64(k, v)                                                          \
	((struct log_field){.key = (k), .kind = LOG_KIND_I64, .i = (v)})
#define LOG_U64(k, v)                                                          \
	((struct log_field){.key = (k), .kind = LOG_KIND_U64, .u = (v)})
#define LOG_F64(k, v)                                                          \
	((struct log_field){.key = (k), .kind = LOG_KIND_F64, .f = (v)})
#define LOG_END ((struct log_field){.kind = LOG_KIND_END})

/**
 * log_init() - set what is written and who writes it
 * @level: lines below are dropped
 * @instance: added to each line; borrowed, may be NULL
 */
void log_init(enum log_level level, const char *instance);

struct event_base;

/**
 * log_start() - write lines to @fd in bundles, from the event loop
 *
 * A line that finds no room, because nobody reads, is dropped and counted.
 */
void log_start(struct event_base *base, int fd);

/**
 * log_stop() - write out what is left; later lines go to standard error
 */
void log_stop(void);

/**
 * log_dropped() - lines that found no room since the start
 */
uint64_t log_dropped(void);

/**
 * log_level_parse() - level by name
 *
 * Return: 0, or ERR_RANGE.
 */
int log_level_parse(const char *name, enum log_level *out);

void log_write(enum log_level level, const char *module, const char *event,
	       const struct log_field *fields);

/* Each .c file defines LOG_MODULE before it includes this header. */
#define LOG_AT(level, event, ...)                                              \
	log_write(level, LOG_MODULE, event,                                    \
		  (const struct log_field[]){__VA_ARGS__, LOG_END})
#define LOG_DEBUG(event, ...) LOG_AT(LOG_LEVEL_DEBUG, event, __VA_ARGS__)
#define LOG_INFO(event, ...) LOG_AT(LOG_LEVEL_INFO, event, __VA_ARGS__)
#define LOG_WARN(event, ...) LOG_AT(LOG_LEVEL_WARN, event, __VA_ARGS__)
#define LOG_ERROR(event, ...) LOG_AT(LOG_LEVEL_ERROR, event, __VA_ARGS__)

#endif
