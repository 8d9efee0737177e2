/* Which table is in force, how sure that is, and what was refused. */
#define LOG_MODULE "table_sync"
#include "table_sync_private.h"

#include <string.h>

#include "log.h"
#include "mem.h"

const char *const table_alarm_names[] = {
	[TABLE_ALARM_REFUSED] = "table_refused",
	[TABLE_ALARM_CONFLICT] = "table_conflict",
	[TABLE_ALARM_PLATFORM_BEHIND] = "platform_behind",
	[TABLE_ALARM_PARTS] = "table_parts",
	[TABLE_ALARM_UNCONFIRMED] = "table_unconfirmed",
};

const char *const table_confirmation_names[] = {
	[TABLE_CONFIRMED] = "confirmed",
	[TABLE_NONE] = "no_table",
	[TABLE_UNHEARD] = "never_confirmed",
	[TABLE_OLD] = "confirmation_old",
	[TABLE_OVERTAKEN] = "overtaken",
	[TABLE_PLATFORM_LOWER] = "platform_behind",
};

uint64_t table_sync_revision(const struct table_sync *sync)
{
	return sync->in_force ? sync->in_force->revision : 0;
}

enum standing table_sync_judge(const struct table_sync *sync, uint64_t revision,
			       uint64_t digest)
{
	if (revision > table_sync_revision(sync))
		return STANDING_NEWER;
	if (revision < table_sync_revision(sync) || !sync->in_force)
		return STANDING_STALE;
	return digest == sync->in_force->digest ? STANDING_SAME
						: STANDING_CONFLICT;
}

bool table_sync_raise_alarm(struct table_sync *sync, enum table_alarm alarm,
			    uint64_t revision)
{
	struct table_alarm_state *state = &sync->alarms[alarm];

	if (state->active && state->revision == revision)
		return false;
	if (!state->active)
		state->since = clock_now(sync->clock);
	state->active = true;
	state->revision = revision;
	state->count++;
	LOG_ERROR("table_alarm", LOG_TEXT("alarm", table_alarm_names[alarm]),
		  LOG_U64("revision", revision),
		  LOG_U64("in_force", table_sync_revision(sync)));
	return true;
}

void table_sync_clear_alarm(struct table_sync *sync, enum table_alarm alarm)
{
	struct table_alarm_state *state = &sync->alarms[alarm];

	if (!state->active)
		return;
	state->active = false;
	LOG_INFO("table_alarm_over",
		 LOG_TEXT("alarm", table_alarm_names[alarm]),
		 LOG_U64("revision", state->revision),
		 LOG_U64("in_force", table_sync_revision(sync)));
}

void table_sync_clear_behind(struct table_sync *sync)
{
	sync->reader.behind = false;
	table_sync_clear_alarm(sync, TABLE_ALARM_PLATFORM_BEHIND);
}

/*
 * What stays in force is what was in force: of two tables with one revision
 * neither is newer, and a switch between them could repeat for ever. The next
 * higher revision ends it everywhere.
 */
void table_sync_note_conflict(struct table_sync *sync, const char *source,
			      uint64_t digest)
{
	if (sync->alarms[TABLE_ALARM_CONFLICT].active &&
	    sync->conflict_digest == digest)
		return;
	sync->conflict_digest = digest;
	sync->counts.conflicts++;
	table_sync_raise_alarm(sync, TABLE_ALARM_CONFLICT,
			       table_sync_revision(sync));
	LOG_ERROR("table_conflict",
		  LOG_U64("revision", table_sync_revision(sync)),
		  LOG_U64("digest", sync->in_force->digest),
		  LOG_U64("other_digest", digest), LOG_TEXT("source", source));
}

void table_sync_confirm(struct table_sync *sync, int64_t at)
{
	if (at > sync->confirmed_at)
		sync->confirmed_at = at;
}

int64_t table_sync_age(const struct table_sync *sync)
{
	if (sync->confirmed_at < 0)
		return -1;
	return clock_now(sync->clock) - sync->confirmed_at;
}

uint32_t table_sync_age_ms(const struct table_sync *sync)
{
	int64_t age = table_sync_age(sync);

	if (age < 0 || age / USEC_PER_MSEC >= UINT32_MAX)
		return 0;
	return (uint32_t)(age / USEC_PER_MSEC) + 1;
}

bool table_sync_is_overtaken(const struct table_sync *sync)
{
	return sync->want.revision > table_sync_revision(sync);
}

enum table_confirmation table_sync_confirmation(const struct table_sync *sync)
{
	int64_t bound = MSEC(sync->reader.tunables->table_confirm_ms);

	if (!sync->in_force)
		return TABLE_NONE;
	if (sync->reader.behind)
		return TABLE_PLATFORM_LOWER;
	if (table_sync_is_overtaken(sync))
		return TABLE_OVERTAKEN;
	if (sync->confirmed_at < 0)
		return TABLE_UNHEARD;
	if (table_sync_age(sync) > bound)
		return TABLE_OLD;
	return TABLE_CONFIRMED;
}

static void keep_delta(struct table_sync *sync, const struct table *from,
		       const struct table *to)
{
	struct table_delta *slot = &sync->history[sync->next_history];

	table_delta_finish(slot);
	if (from && !table_delta_init(slot, from, to))
		sync->next_history =
			(sync->next_history + 1) % TABLE_SYNC_HISTORY;
}

static void clear_outdated(struct table_sync *sync)
{
	uint64_t revision = table_sync_revision(sync);

	table_sync_clear_alarm(sync, TABLE_ALARM_CONFLICT);
	if (sync->refused.revision <= revision)
		table_sync_clear_alarm(sync, TABLE_ALARM_REFUSED);
	if (sync->alarms[TABLE_ALARM_PARTS].revision <= revision)
		table_sync_clear_alarm(sync, TABLE_ALARM_PARTS);
	if (sync->want.revision <= revision)
		memset(&sync->want, 0, sizeof(sync->want));
}

void table_sync_take(struct table_sync *sync, const struct table *newer,
		     const char *source)
{
	struct table *table = mem_zalloc(sizeof(*table));
	struct table *old = sync->in_force;

	*table = *newer;
	keep_delta(sync, old, table);
	sync->in_force = table;
	sync->raw_digest = 0;
	sync->in_force_at = clock_now(sync->clock);
	sync->reader.tunables = &table->tunables;
	sync->counts.in_force++;
	clear_outdated(sync);
	LOG_INFO("table_in_force", LOG_U64("revision", table->revision),
		 LOG_U64("digest", table->digest), LOG_TEXT("source", source),
		 LOG_U64("replaced", old ? old->revision : 0));
	sync->ops->in_force(sync->ctx, table);
}

bool table_sync_is_refused(const struct table_sync *sync, uint64_t revision,
			   uint64_t digest)
{
	int i;

	for (i = 0; i < TABLE_SYNC_REFUSALS; i++) {
		if (sync->refusals[i].revision == revision &&
		    sync->refusals[i].digest == digest)
			return true;
	}
	return false;
}

bool table_sync_remember_refused(struct table_sync *sync,
				 const struct table_refusal *refusal)
{
	if (refusal->revision <= table_sync_revision(sync) ||
	    refusal->revision < sync->refused.revision)
		return false;
	sync->refused = *refusal;
	return table_sync_raise_alarm(sync, TABLE_ALARM_REFUSED,
				      refusal->revision);
}
