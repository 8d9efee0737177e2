/* Internal interface between the files of table_sync. */
#ifndef TABLE_SYNC_PRIVATE_H
#define TABLE_SYNC_PRIVATE_H

#include "table_sync.h"

/* Result of comparing a revision and digest with the table in force. */
enum revision_relation {
	REVISION_NEWER,
	REVISION_SAME,
	REVISION_STALE,
	REVISION_CONFLICT,
};

/* table_sync_state.c: table in force, alarms and refusals */
uint64_t table_sync_revision(const struct table_sync *sync);
enum revision_relation table_sync_compare(const struct table_sync *sync,
					  uint64_t revision, uint64_t digest);

/* Return: false if the alarm was active for this revision already. */
bool table_sync_raise_alarm(struct table_sync *sync, enum table_alarm alarm,
			    uint64_t revision);
void table_sync_clear_alarm(struct table_sync *sync, enum table_alarm alarm);
void table_sync_clear_platform_behind(struct table_sync *sync);
void table_sync_report_conflict(struct table_sync *sync, const char *source,
				uint64_t digest);

/* Records that the platform had nothing newer at time @at. */
void table_sync_confirm(struct table_sync *sync, int64_t at);
bool table_sync_is_overtaken(const struct table_sync *sync);

/* Replaces the table in force and takes over its memory; tells no peer. */
void table_sync_replace(struct table_sync *sync, const struct table *newer,
			const char *source);
bool table_sync_is_refused(const struct table_sync *sync, uint64_t revision,
			   uint64_t digest);

/* Return: whether peers should be informed. */
bool table_sync_set_highest_refusal(struct table_sync *sync,
				    const struct table_refusal *refusal);

/* table_sync_peers.c: messages to and from peers */
void table_sync_send_digest(struct table_sync *sync, const char *peer,
			    bool ask);
void table_sync_notify_data_centres(struct table_sync *sync);

/* Replaces the table in force and pushes the new one down the tree. */
void table_sync_replace_and_push(struct table_sync *sync,
				 const struct table *newer, const char *source);
void table_sync_refuse(struct table_sync *sync, const char *source,
		       uint64_t revision, uint64_t digest,
		       const struct error *err);

/* Sends the request of a pending pull when it is due; handles timeouts. */
void table_sync_pull(struct table_sync *sync);

/* table_sync_platform.c: results of calls on the platform */
void table_sync_stop_parts(struct table_sync *sync);

#endif
