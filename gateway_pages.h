/* A gateway's small HTTP pages: readiness, directory, status and metrics. */
#ifndef GATEWAY_PAGES_H
#define GATEWAY_PAGES_H

#include "gateway.h"

struct evhttp;

struct gateway_pages {
	struct gateway *gateway;
	struct evhttp *http;
};

/**
 * gateway_pages_init() - listen on the addresses of the settings
 *
 * Return: 0, or ERR_ADDRESS.
 */
int gateway_pages_init(struct gateway_pages *pages, struct gateway *gateway);
void gateway_pages_finish(struct gateway_pages *pages);

#endif
