/* One HTTP request after the other, for the command line. */
#ifndef HTTP_CLIENT_H
#define HTTP_CLIENT_H

#include "address.h"
#include "str.h"

/**
 * struct http_response - a whole answer
 * @status: HTTP status
 * @body: owned, with a NUL behind; release with http_response_finish()
 */
struct http_response {
	int status;
	char *body;
	size_t len;
};

/**
 * http_client_request() - send a request and wait for the whole answer
 * @body: NULL for GET, else the body of a POST
 * @timeout_ms: longest wait for the answer
 *
 * Return: 0; ERR_CONNECT if no connection was made; ERR_LOST if it broke or
 * the answer was cut.
 */
int http_client_request(const struct address *address, const char *path,
			const char *body, int timeout_ms,
			struct http_response *answer);
void http_response_finish(struct http_response *answer);

#endif
