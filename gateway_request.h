/* Handling of a caller's request, from receiving it to answering it. */
#ifndef GATEWAY_REQUEST_H
#define GATEWAY_REQUEST_H

#include "gateway.h"

/**
 * gateway_request_ops - callbacks for callers' requests; their argument is the
 * struct gateway
 */
extern const struct inbound_ops gateway_request_ops;

/**
 * gateway_request_limit_all() - let all open requests end before the process
 */
void gateway_request_limit_all(struct gateway *gateway);

/**
 * gateway_request_end_all() - answer all open requests, whose time is over
 */
void gateway_request_end_all(struct gateway *gateway);

/**
 * gateway_request_free_all() - free all open requests without answering them
 */
void gateway_request_free_all(struct gateway *gateway);

#endif
