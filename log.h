/*
 * Structured log in JSON lines, one event per line. Lines go to standard error
 * or, after log_start(), are buffered and written to a file descriptor without
 * blocking:
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
 * @s: value of LOG_KIND_STR; borrowed
 * @i: value of LOG_KIND_I64
 * @u: value of LOG_KIND_U64
 * @f: value of LOG_KIND_F64
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
 * log_init() - set the minimum level and the instance name
 * @level: lines below it are discarded
 * @instance: added to each line; borrowed, may be NULL
 */
void log_init(enum log_level level, const char *instance);

struct event_base;

/**
 * log_start() - buffer lines and write them to @fd from the event loop
 * @base: event loop
 * @fd: a pipe or another descriptor that can be polled; borrowed
 *
 * If the buffer is full because the reader of @fd is slow or gone, lines are
 * dropped and counted.
 */
void log_start(struct event_base *base, int fd);

/**
 * log_stop() - write buffered lines and stop buffering
 *
 * Gives up if @fd accepts no more. Later lines go to standard error.
 */
void log_stop(void);

/**
 * log_dropped() - number of lines dropped since the process started
 */
uint64_t log_dropped(void);

/**
 * log_level_parse() - find a level by name
 * @name: "debug", "info", "warn" or "error"
 * @out: set on success
 *
 * Return: 0, or ERR_RANGE.
 */
int log_level_parse(const char *name, enum log_level *out);

/**
 * log_write() - write a line; usually called by LOG_INFO() and the like
 * @level: severity
 * @module: LOG_MODULE of the source file
 * @event: name of the event
 * @fields: terminated by LOG_END
 *
 * A line that is too long is truncated.
 */
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
