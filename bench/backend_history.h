/*
 * History of a stand-in as JSON lines: arrival and end of each request, and
 * the faults injected.
 */
#ifndef BACKEND_HISTORY_H
#define BACKEND_HISTORY_H

#include "backend_server.h"

struct json_object;

/* Records the arrival of a valid search or run. */
void history_record_start(struct work *work);

/* Records a fault command applied to a server. */
void history_record_fault(struct server *server, struct json_object *command);

/*
 * Records and counts the end of a request, answered or not. The counter is
 * updated even when no history is written.
 */
void history_record_end(struct work *work, enum answer_kind answer);

#endif
