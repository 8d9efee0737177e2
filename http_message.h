/*
 * One HTTP/1.1 message, read from a stream of bytes by http-parser. It tells
 * exactly where a message ends, so that bytes behind it are never taken for a
 * part of it.
 */
#ifndef HTTP_MESSAGE_H
#define HTTP_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <http_parser.h>

#include "str.h"

struct evbuffer;

/* Spans of the head, as offsets: the head moves while it grows. */
struct http_span {
	uint32_t at;
	uint32_t len;
};

struct http_field {
	struct http_span name;
	struct http_span value;
};

/**
 * struct http_limits - what one message may take
 * @head: bytes of the request or status line and all headers
 * @body: bytes of the body
 */
struct http_limits {
	size_t head;
	size_t body;
};

enum message_state {
	MESSAGE_EMPTY, /* no byte of a message yet */
	MESSAGE_HEAD,
	MESSAGE_BODY,
	MESSAGE_COMPLETE,
};

/**
 * struct http_message - a message while it is read, and then as a whole
 * @parser: of the library
 * @limits: borrowed
 * @state: how far it is
 * @error: 0; ERR_SYNTAX, or ERR_TOO_LARGE with @head_too_large
 * @no_body: set by the owner: answers a HEAD request
 * @head: bytes of target, header names and values
 * @until_close: the body has no length and ends with the connection
 * @keep_alive: the sender leaves the connection open
 */
struct http_message {
	struct http_parser parser;
	const struct http_limits *limits;
	enum message_state state;
	int error;
	bool head_too_large;
	bool no_body;
	char *head;
	size_t head_len;
	size_t head_cap;
	size_t head_read;
	struct http_span target;
	struct http_field *fields;
	int n_fields;
	int cap_fields;
	bool in_value;
	char *body;
	size_t body_len;
	size_t body_cap;
	bool until_close;
	bool keep_alive;
};

/**
 * http_message_init() - ready for the first byte
 * @type: HTTP_REQUEST or HTTP_RESPONSE
 */
void http_message_init(struct http_message *message, enum http_parser_type type,
		       const struct http_limits *limits);
void http_message_finish(struct http_message *message);

/**
 * http_message_reset() - ready for the next message on the same connection
 */
void http_message_reset(struct http_message *message);

/**
 * http_message_read() - take bytes up to the end of the message
 * @in: what is taken is drained
 *
 * Return: 1 once the message is whole; 0 if more is needed; or @error, after
 * which the connection cannot be used any more.
 */
int http_message_read(struct http_message *message, struct evbuffer *in);

/**
 * http_message_eof() - the sender closed the connection in an orderly way
 *
 * Return: 1 if that ends the message; ERR_LOST if it was cut.
 */
int http_message_eof(struct http_message *message);

/**
 * http_message_field() - the value of a header; empty if there is none
 */
struct str http_message_field(const struct http_message *message,
			      struct str name);
bool http_message_has_field(const struct http_message *message,
			    struct str name);

struct str http_message_target(const struct http_message *message);
struct str http_message_body(const struct http_message *message);

/**
 * http_message_span() - bytes of the head
 */
struct str http_message_span(const struct http_message *message,
			     struct http_span span);

/**
 * http_field_is_hop_by_hop() - whether a header concerns one connection only
 * @message: whose Connection header may name more of them
 */
bool http_field_is_hop_by_hop(const struct http_message *message,
			      struct str name);

/**
 * http_status_text() - the reason phrase
 */
const char *http_status_text(int status);

#endif
