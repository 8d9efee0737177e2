/* Table state as JSON, for search answers and the status page. */
#ifndef TABLE_STATUS_H
#define TABLE_STATUS_H

#include "table_sync.h"

struct evbuffer;

/**
 * table_status_add_brief() - write the object "table" of a search answer
 * @out: appended to
 * @sync: must have a table in force
 */
void table_status_add_brief(struct evbuffer *out,
			    const struct table_sync *sync);

/**
 * table_status_add() - write the object "table" of the status page
 * @out: appended to
 * @sync: state to write
 *
 * Writes "null" if there is no table. Alarms, including the one for a refused
 * table, are written by table_status_add_alarms() in any case.
 */
void table_status_add(struct evbuffer *out, const struct table_sync *sync);

/**
 * table_status_add_alarms() - write the list of active alarms
 * @out: appended to
 * @sync: state to write
 */
void table_status_add_alarms(struct evbuffer *out,
			     const struct table_sync *sync);

#endif
