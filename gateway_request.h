/* One caller's request at a gateway, from its first byte to its answer. */
#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "gateway.h"

/**
 * gateway_request_ops - takes requests from callers, with a struct gateway
 */
extern const struct inbound_ops gateway_request_ops;

/**
 * gateway_request_free_all() - forget all open requests, at the end
 */
void gateway_request_free_all(struct gateway *gateway);

#endif
