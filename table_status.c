#include "table_status.h"

#include <inttypes.h>

#include <event2/buffer.h>

static void add_age(struct evbuffer *out, const struct table_sync *sync)
{
	int64_t age = table_sync_age(sync);

	if (age < 0)
		evbuffer_add_printf(out, "null");
	else
		evbuffer_add_printf(out, "%" PRId64, age / USEC_PER_MSEC);
}

static void add_doubt(struct evbuffer *out, const struct table_sync *sync)
{
	enum table_confirmation doubt = table_sync_confirmation(sync);

	evbuffer_add_printf(out, ",\"confirmed\":%s",
			    doubt == TABLE_CONFIRMED ? "true" : "false");
	if (doubt != TABLE_CONFIRMED)
		evbuffer_add_printf(out, ",\"reason\":\"%s\"",
				    table_confirmation_names[doubt]);
}

void table_status_add_brief(struct evbuffer *out, const struct table_sync *sync)
{
	evbuffer_add_printf(out, "{\"revision\":%" PRIu64 ",\"age_ms\":",
			    sync->in_force->revision);
	add_age(out, sync);
	add_doubt(out, sync);
	evbuffer_add(out, "}", 1);
}

void table_status_add(struct evbuffer *out, const struct table_sync *sync)
{
	const struct table *table = sync->in_force;

	if (!table) {
		evbuffer_add_printf(out, "null");
		return;
	}
	evbuffer_add_printf(out,
			    "{\"revision\":%" PRIu64 ",\"digest\":\"%016" PRIx64
			    "\",\"age_ms\":",
			    table->revision, table->digest);
	add_age(out, sync);
	add_doubt(out, sync);
	evbuffer_add_printf(out,
			    ",\"reader\":%s,\"reader_rank\":%d,"
			    "\"platform_revision\":%" PRIu64
			    ",\"platform_failures\":%d}",
			    reader_is_watching(&sync->reader) ? "true"
							      : "false",
			    sync->reader.rank, sync->platform_shown,
			    sync->reader.watches[READER_TABLE].failures);
}

void table_status_add_alarms(struct evbuffer *out,
			     const struct table_sync *sync)
{
	int64_t now = clock_now(sync->clock);
	const char *comma = "";
	int i;

	evbuffer_add(out, "[", 1);
	for (i = 0; i < TABLE_ALARMS; i++) {
		const struct table_alarm_state *alarm = &sync->alarms[i];

		if (!alarm->active)
			continue;
		evbuffer_add_printf(out,
				    "%s{\"alarm\":\"%s\",\"revision\":%" PRIu64
				    ",\"for_ms\":%" PRId64 ",\"count\":%" PRIu64
				    "}",
				    comma, table_alarm_names[i],
				    alarm->revision,
				    (now - alarm->since) / USEC_PER_MSEC,
				    alarm->count);
		comma = ",";
	}
	evbuffer_add(out, "]", 1);
}
