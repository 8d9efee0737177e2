/* HTTP endpoints for operators: GET /v1/explain and GET /v1/burn. */
#ifndef OPERATOR_PAGES_H
#define OPERATOR_PAGES_H

#include "blackboard.h"

struct evhtp;

/**
 * operator_pages_add() - register the endpoints on the callers' HTTP server
 * @http: the server
 * @board: borrowed; must outlive @http
 */
void operator_pages_add(struct evhtp *http, struct blackboard *board);

#endif
