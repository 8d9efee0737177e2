/*
 * Incremental parser for HTTP/1.1 messages, on top of http-parser. It stops
 * exactly at the end of a message, so that later bytes of the stream are never
 * taken for a part of it.
 */
#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <http_parser.h>

#include "http_strict.h"
#include "str.h"

struct evbuffer;

/* Bytes of the head, by offset: the head is reallocated as it grows. */
struct http_span {
	uint32_t offset;
	uint32_t len;
};

/* A header. */
struct http_field {
	struct http_span name;
	struct http_span value;
};

/**
 * struct http_limits - size limits of one message
 * @head: bytes of the request or status line and all headers
 * @body: bytes of the body
 * @stream: bytes of the stream for a whole message, 0: no limit. Of chunks,
 *most may be framing
 */
struct http_limits {
	size_t head;
	size_t body;
	size_t stream;
};

/**
 * struct http_memory - memory of the messages of one owner
 * @used: allocated bytes
 * @max: bytes; beyond it, the owner gives up messages
 */
struct http_memory {
	size_t used;
	size_t max;
};

enum message_state {
	MESSAGE_EMPTY, /* nothing received yet */
	MESSAGE_HEAD,
	MESSAGE_BODY,
	MESSAGE_COMPLETE,
};

/**
 * struct http_message - a message that is being read or is complete
 * @parser: state of http-parser
 * @strict: checks what the parser accepts
 * @limits: borrowed
 * @memory: counts what is allocated; set by the owner, may be NULL
 * @state: what has been received
 * @error: 0, ERR_SYNTAX or ERR_TOO_LARGE
 * @head_too_large: the head, not the body, exceeded its limit
 * @no_body: set by the owner: the response to a HEAD request
 * @records_max: set by the owner: keep only so many of the greatest records of
 *	a long body, see records.h; 0: keep all of it
 * @head: owned: target, header names and values, one after another
 * @head_len: used bytes of @head
 * @head_cap: allocated bytes of @head
 * @head_read: bytes of the stream parsed as head
 * @stream_read: bytes of the stream
 * @target: request target; empty for a response
 * @fields: owned: headers in their order
 * @in_value: the last header has a value already
 * @body: owned; NULL if none was received
 * @body_read: bytes of the body, of which @body_len were kept
 * @until_close: the body has no length and ends with the connection
 * @keep_alive: the sender keeps the connection open
 */
struct http_message {
	struct http_parser parser;
	struct http_strict strict;
	const struct http_limits *limits;
	struct http_memory *memory;
	enum message_state state;
	int error;
	bool head_too_large;
	bool no_body;
	int records_max;
	char *head;
	size_t head_len;
	size_t head_cap;
	size_t head_read;
	size_t stream_read;
	struct http_span target;
	struct http_field *fields;
	int n_fields;
	int cap_fields;
	bool in_value;
	char *body;
	size_t body_len;
	size_t body_cap;
	size_t body_read;
	bool until_close;
	bool keep_alive;
};

/**
 * http_message_init() - prepare for a message
 * @type: HTTP_REQUEST or HTTP_RESPONSE
 * @limits: borrowed
 */
void http_message_init(struct http_message *message, enum http_parser_type type,
		       const struct http_limits *limits);

/**
 * http_message_finish() - release the message's memory
 */
void http_message_finish(struct http_message *message);

/**
 * http_message_reset() - prepare for the next message of the connection
 *
 * Frees the memory of a long message.
 */
void http_message_reset(struct http_message *message);

/**
 * http_message_take_body() - move the body out of a complete message
 * @len: set to its length, bytes
 *
 * The message's memory no longer counts it.
 *
 * Return: the body, to be freed; not terminated. NULL if there is none.
 */
char *http_message_take_body(struct http_message *message, size_t *len);

/**
 * http_message_allocated() - bytes that are allocated for the message
 */
size_t http_message_allocated(const struct http_message *message);

/**
 * http_message_read() - parse bytes up to the end of the message
 * @in: consumed bytes are drained
 *
 * Return: 1 once the message is complete; 0 if it needs more; or @error, after
 * which the connection must not be used any more.
 */
int http_message_read(struct http_message *message, struct evbuffer *in);

/**
 * http_message_eof() - the sender closed the connection in an orderly way
 *
 * Return: 1 if that completes the message; ERR_LOST if it is truncated.
 */
int http_message_eof(struct http_message *message);

/**
 * http_message_field() - value of a header, or an empty string
 * @name: matched without regard to case
 */
struct str http_message_field(const struct http_message *message,
			      struct str name);

/**
 * http_message_has_field() - whether there is a header, even an empty one
 */
bool http_message_has_field(const struct http_message *message,
			    struct str name);

/**
 * http_message_target() - request target, valid as long as the message
 */
struct str http_message_target(const struct http_message *message);

/**
 * http_message_body() - body received so far, valid until the next read
 */
struct str http_message_body(const struct http_message *message);

/**
 * http_message_span() - text of a span, valid until the next read
 */
struct str http_message_span(const struct http_message *message,
			     struct http_span span);

/**
 * http_field_is_hop_by_hop() - whether a header is hop-by-hop
 * @message: its Connection header may name additional ones
 */
bool http_field_is_hop_by_hop(const struct http_message *message,
			      struct str name);

/**
 * http_status_text() - reason phrase; "Unknown" for an unknown status
 */
const char *http_status_text(int status);

#endif
