/*
 * Checks the bytes of a message beside http-parser, which accepts heads and
 * chunks that RFC 9112 does not allow. Their sender, or somebody before it,
 * would read the message differently.
 */
#ifndef HTTP_STRICT_H
#define HTTP_STRICT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct http_strict - what has been seen of one message
 * @is_response: its first line is a status line, and no line may be folded
 * @state: enum strict_state
 * @column: bytes of the status line so far
 * @chunk_left: size of the chunk that is being read; then what is left of it
 * @has_size: the chunk size has a digit
 */
struct http_strict {
	bool is_response;
	int state;
	int column;
	uint64_t chunk_left;
	bool has_size;
};

/**
 * http_strict_init() - prepare for a message
 * @strict: the check
 * @is_response: false for a request
 */
void http_strict_init(struct http_strict *strict, bool is_response);

/**
 * http_strict_read() - check the next bytes of the message
 * @strict: the check
 * @data: accepted by http-parser, and no byte beyond the message
 * @len: bytes of @data
 * @is_chunked: as the head says, if it is complete
 *
 * Return: 0, or ERR_SYNTAX.
 */
int http_strict_read(struct http_strict *strict, const char *data, size_t len,
		     bool is_chunked);

#endif
