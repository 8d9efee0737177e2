/* HTTP endpoints of a gateway: readiness, directory and metrics. */
#ifndef GATEWAY_PAGES_H
#define GATEWAY_PAGES_H

#include "gateway.h"

struct evhttp;
struct page_answer;

/**
 * struct gateway_pages - HTTP server of the endpoints
 * @gateway: the instance they report on
 * @http: bound to all addresses
 * @answers: answers that the kernel has not accepted as a whole
 */
struct gateway_pages {
	struct gateway *gateway;
	struct evhttp *http;
	struct page_answer *answers;
};

/**
 * gateway_pages_init() - listen on the addresses in the settings
 * @gateway: outlives @pages
 *
 * All endpoints answer on each address. A metrics address that cannot be bound
 * is only logged.
 *
 * Return: 0, or ERR_ADDRESS.
 */
int gateway_pages_init(struct gateway_pages *pages, struct gateway *gateway);

/**
 * gateway_pages_finish() - close all connections
 *
 * Passes what is unsent to the kernel, as far as it has room, without waiting.
 */
void gateway_pages_finish(struct gateway_pages *pages);

#endif
