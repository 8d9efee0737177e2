/* What the files of table_sync share; not for others. */
#ifndef TABLE_SYNC_PRIVATE_H
#define TABLE_SYNC_PRIVATE_H

#include "table_sync.h"

/* How a revision stands to the one in force. */
enum standing {
	STANDING_NEWER,
	STANDING_SAME,
	STANDING_STALE,
	STANDING_CONFLICT,
};

/* table_sync_state.c: the decision */
uint64_t table_sync_revision(const struct table_sync *sync);
enum standing table_sync_judge(const struct table_sync *sync, uint64_t revision,
			       uint64_t digest);

/* Return: whether it is news. */
bool table_sync_raise_alarm(struct table_sync *sync, enum table_alarm alarm,
			    uint64_t revision);
void table_sync_clear_alarm(struct table_sync *sync, enum table_alarm alarm);
void table_sync_clear_behind(struct table_sync *sync);
void table_sync_note_conflict(struct table_sync *sync, const char *source,
			      uint64_t digest);

/* The platform had nothing newer at that time. */
void table_sync_confirm(struct table_sync *sync, int64_t at);
bool table_sync_is_overtaken(const struct table_sync *sync);

/* Takes over the rows of a table that was judged newer; tells no peer. */
void table_sync_take(struct table_sync *sync, const struct table *newer,
		     const char *source);
bool table_sync_is_refused(const struct table_sync *sync, uint64_t revision,
			   uint64_t digest);

/* Return: whether peers should hear of it. */
bool table_sync_remember_refused(struct table_sync *sync,
				 const struct table_refusal *refusal);

/* table_sync_peers.c: messages */
void table_sync_send_digest(struct table_sync *sync, const char *peer,
			    bool ask);
void table_sync_push_from_platform(struct table_sync *sync);

/* Takes a newer table, and pushes it on. */
void table_sync_put_in_force(struct table_sync *sync, const struct table *newer,
			     const char *source);
void table_sync_refuse(struct table_sync *sync, const char *source,
		       uint64_t revision, uint64_t digest,
		       const struct error *err);

/* Asks for a wanted revision when it is time. */
void table_sync_pull(struct table_sync *sync);

/* table_sync_platform.c: calls and their answers */
void table_sync_stop_parts(struct table_sync *sync);

#endif
