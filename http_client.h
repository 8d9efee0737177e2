/* Blocking HTTP client for the command-line tools. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "address.h"
#include "str.h"

/**
 * struct http_response - a complete response
 * @status: HTTP status
 * @body: owned, NUL-terminated; release with http_response_finish()
 * @len: bytes of @body without the NUL
 */
struct http_response {
	int status;
	char *body;
	size_t len;
};

/**
 * http_client_request() - send a request and wait for the complete response
 * @body: NULL for GET, else the JSON body of a POST
 * @timeout_ms: limit for connecting and for each read or write
 * @response: release with http_response_finish()
 *
 * Return: 0; ERR_CONNECT if no connection was made; ERR_LOST if it broke or
 * the response was truncated.
 */
int http_client_request(const struct address *address, const char *path,
			const char *body, int timeout_ms,
			struct http_response *response);

/**
 * http_response_finish() - release the body
 */
void http_response_finish(struct http_response *response);

#endif
