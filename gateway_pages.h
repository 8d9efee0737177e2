/* HTTP endpoints of a gateway: readiness, directory and metrics. */
#ifndef GATEWAY_PAGES_H
#define GATEWAY_PAGES_H

#include "gateway.h"
#include "inbound.h"

/* Addresses with pages: readiness, directory, control and metrics. */
#define GATEWAY_PAGES_ADDRESSES 4

/**
 * struct gateway_pages - HTTP servers of the endpoints
 * @gateway: the instance they report on
 * @servers: one for each address, @n of them
 */
struct gateway_pages {
	struct gateway *gateway;
	struct inbound servers[GATEWAY_PAGES_ADDRESSES];
	int n;
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
 * gateway_pages_are_sent() - whether all answers were passed to the kernel
 */
bool gateway_pages_are_sent(const struct gateway_pages *pages);

/**
 * gateway_pages_finish() - close all connections
 *
 * Passes what is unsent to the kernel, as far as it has room, without waiting.
 */
void gateway_pages_finish(struct gateway_pages *pages);

#endif
