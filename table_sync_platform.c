#define LOG_MODULE "table_sync"
#include "table_sync_private.h"

#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "mem.h"

static void set_behind(struct table_sync *sync, uint64_t revision)
{
	sync->counts.stale++;
	sync->reader.behind = true;
	sync->behind_at = clock_now(sync->clock);
	table_sync_raise_alarm(sync, TABLE_ALARM_PLATFORM_BEHIND, revision);
}

/*
 * Against an answer that waited in a socket while the process was stopped: it
 * tells what the platform had then, not now. All that had come in before
 * settled_at was handled by then, so this came later.
 */
static void confirm_by_platform(struct table_sync *sync)
{
	int64_t sent_at = sync->reader.watches[READER_TABLE].sent_at;

	table_sync_confirm(sync, sync->settled_at > sent_at ? sync->settled_at
							    : sent_at);
}

static void check_text(struct table_sync *sync, struct str text,
		       uint64_t revision, uint64_t raw_digest)
{
	struct error err = {0};
	struct table table;

	if (table_init(&table, text.data, text.len, revision, &err)) {
		table_sync_refuse(sync, "platform", revision, raw_digest, &err);
		return;
	}
	switch (table_sync_judge(sync, revision, table.digest)) {
	case STANDING_NEWER:
		table_sync_put_in_force(sync, &table, "platform");
		sync->raw_digest = raw_digest;
		table_sync_push_from_platform(sync);
		return;
	case STANDING_SAME:
		sync->raw_digest = raw_digest;
		break;
	case STANDING_CONFLICT:
		table_sync_note_conflict(sync, "platform", table.digest);
		break;
	case STANDING_STALE:
		break;
	}
	table_finish(&table);
}

/*
 * A refused table above the one in force confirms that one: there is nothing
 * newer that is valid.
 */
static void confirm_by_value(struct table_sync *sync, uint64_t revision)
{
	table_sync_clear_behind(sync);
	sync->platform_refused =
		revision > table_sync_revision(sync) ? revision : 0;
	confirm_by_platform(sync);
}

/* Parts that came stay, so that only those that changed are read next time. */
void table_sync_stop_parts(struct table_sync *sync)
{
	if (!sync->parts)
		return;
	table_parts_finish(&sync->last_parts);
	sync->last_parts = *sync->parts;
	free(sync->parts);
	sync->parts = NULL;
}

static void fetch_next_part(struct table_sync *sync)
{
	sync->part_id++;
	sync->counts.calls++;
	sync->ops->fetch_part(sync->ctx, table_parts_next_key(sync->parts),
			      sync->part_id);
}

static void finish_call(struct table_sync *sync, enum reader_key key,
			uint64_t id, const struct platform_answer *answer)
{
	reader_call_done(&sync->reader, key, id, answer->code, answer->newer,
			 answer->retry_after_ms);
	if (answer->code)
		LOG_WARN("platform_call_failed",
			 LOG_TEXT("error", error_name(answer->code)),
			 LOG_I64("key", key),
			 LOG_I64("failures",
				 sync->reader.watches[key].failures));
}

static void parts_complete(struct table_sync *sync)
{
	struct platform_answer done = {.newer = true};
	uint64_t revision = sync->parts->revision;
	struct str text = {table_parts_text(sync->parts), sync->parts->len};

	table_sync_stop_parts(sync);
	table_sync_clear_alarm(sync, TABLE_ALARM_PARTS);
	if (revision >= table_sync_revision(sync)) {
		check_text(sync, text, revision, sync->parts_digest);
		confirm_by_value(sync, revision);
	}
	free((char *)text.data);
	finish_call(sync, READER_TABLE, sync->parts_call_id, &done);
}

/* Return: whether the call goes on with the parts. */
static bool start_parts(struct table_sync *sync, uint64_t call_id,
			const struct platform_answer *answer)
{
	uint64_t raw_digest = str_hash(answer->text);
	struct error err = {0};

	table_sync_stop_parts(sync);
	sync->parts = mem_zalloc(sizeof(*sync->parts));
	if (table_parts_init(sync->parts, answer->text, answer->revision,
			     &err)) {
		table_sync_refuse(sync, "platform", answer->revision,
				  raw_digest, &err);
		table_sync_stop_parts(sync);
		return false;
	}
	sync->parts_call_id = call_id;
	sync->parts_digest = raw_digest;
	table_parts_reuse(sync->parts, &sync->last_parts);
	if (table_parts_next_key(sync->parts))
		fetch_next_part(sync);
	else
		parts_complete(sync);
	return true;
}

/* Return: whether the call goes on with the parts. */
static bool take_value(struct table_sync *sync, uint64_t id,
		       const struct platform_answer *answer)
{
	uint64_t raw_digest = str_hash(answer->text);
	uint64_t revision = answer->revision;
	bool known = sync->in_force && revision == table_sync_revision(sync) &&
		     raw_digest == sync->raw_digest;

	if (revision < table_sync_revision(sync)) {
		set_behind(sync, revision);
		return false;
	}
	sync->platform_shown = revision;
	known = known || table_sync_is_refused(sync, revision, raw_digest);
	if (!known && table_parts_is_manifest(answer->text) &&
	    start_parts(sync, id, answer))
		return true;
	if (!known && !table_sync_is_refused(sync, revision, raw_digest))
		check_text(sync, answer->text, revision, raw_digest);
	confirm_by_value(sync, revision);
	return false;
}

/*
 * "Nothing newer" confirms only the revision that was asked about: if a peer
 * gave a newer one meanwhile, the platform that said so lags. It is asked only
 * about a revision that it has shown, see must_verify() in reader.c: one that
 * lost it says the same.
 */
static void take_nothing_newer(struct table_sync *sync)
{
	const struct reader_watch *watch = &sync->reader.watches[READER_TABLE];

	if (sync->reader.behind || !watch->conditional ||
	    watch->sent_after < table_sync_revision(sync))
		return;
	confirm_by_platform(sync);
}

static void take_instances(struct table_sync *sync,
			   const struct platform_answer *answer)
{
	sync->reader.watches[READER_INSTANCES].after = answer->revision;
	sync->ops->instances(sync->ctx, answer->text, answer->revision);
}

void table_sync_receive_answer(struct table_sync *sync, enum reader_key key,
			       uint64_t id,
			       const struct platform_answer *answer)
{
	bool parts = false;

	if (!reader_is_current_call(&sync->reader, key, id))
		return;
	if (!answer->code && answer->newer && key == READER_INSTANCES)
		take_instances(sync, answer);
	else if (!answer->code && answer->newer)
		parts = take_value(sync, id, answer);
	else if (!answer->code && key == READER_TABLE)
		take_nothing_newer(sync);
	if (!parts)
		finish_call(sync, key, id, answer);
}

/*
 * Against a table mixed of two: the manifest was replaced while its parts were
 * read, so that one is gone or not the one it names. Nothing is taken, and the
 * manifest is read again.
 */
static void parts_failed(struct table_sync *sync, const char *key, int code)
{
	struct platform_answer failed = {.code = code};
	uint64_t revision = sync->parts->revision;

	table_sync_raise_alarm(sync, TABLE_ALARM_PARTS, revision);
	LOG_ERROR("table_part_failed", LOG_U64("revision", revision),
		  LOG_TEXT("key", key), LOG_TEXT("error", error_name(code)));
	table_sync_stop_parts(sync);
	finish_call(sync, READER_TABLE, sync->parts_call_id, &failed);
}

void table_sync_receive_part(struct table_sync *sync, uint64_t id,
			     const struct platform_answer *answer)
{
	int code = answer->code;
	struct error err = {0};
	const char *key;

	if (!sync->parts || id != sync->part_id)
		return;
	key = table_parts_next_key(sync->parts);
	if (code == ERR_KEY_MISSING || (!code && !answer->newer))
		code = ERR_PART;
	if (!code)
		code = table_parts_add(sync->parts, answer->text, &err);
	if (code)
		parts_failed(sync, key, code);
	else if (table_parts_next_key(sync->parts))
		fetch_next_part(sync);
	else
		parts_complete(sync);
}
