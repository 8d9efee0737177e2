/* HTTP routes of a stand-in: parsing of requests and packing of answers. */
#ifndef BACKEND_ROUTE_H
#define BACKEND_ROUTE_H

#include "backend_server.h"

/* Determines the kind of a request from its method and path. */
enum request_kind route_kind(const evhtp_request_t *request);

/* Parses the body, then answers the request or passes it to admission. */
void route_dispatch(struct work *work);

/* Pack the answer of a completed request and send it. */
void route_answer_search(struct work *work);
void route_answer_run(struct work *work);

#endif
