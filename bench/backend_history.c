#include "backend_history.h"

#include <inttypes.h>
#include <stdio.h>

#include <json-c/json.h>

#include "backend_work.h"

/* Callers choose request ids, so json-c escapes them. */
static void write_text_member(FILE *out, const char *name, const char *text)
{
	struct json_object *value = json_object_new_string(text);

	fprintf(out, ",\"%s\":%s", name, json_object_to_json_string(value));
	json_object_put(value);
}

static void write_common_members(struct work *work, const char *event)
{
	FILE *out = work->server->history;

	fprintf(out,
		"{\"event\":\"%s\",\"time_us\":%" PRId64
		",\"server\":\"%s\",\"connection\":%" PRIu64 ",\"kind\":\"%s\"",
		event, clock_now(&work->server->clock),
		work->server->config.server, work->conn_number,
		request_kind_names[work->kind]);
	write_text_member(out, "request_id", work->request_id);
}

void history_record_start(struct work *work)
{
	FILE *out = work->server->history;
	size_t i;

	work->recorded = true;
	if (!out)
		return;
	write_common_members(work, "start");
	if (work->search) {
		fprintf(out, ",\"version\":%" PRIu64 ",\"shards\":[",
			work->search->version);
		for (i = 0; i < work->search->n_shards; i++)
			fprintf(out, "%s[%u,%u]", i ? "," : "",
				work->search->shards[i]->lo,
				work->search->shards[i]->hi);
		fputs("]", out);
	}
	if (work->run)
		write_text_member(out, "ticket", work->run->ticket);
	fputs("}\n", out);
}

void history_record_fault(struct server *server, struct json_object *command)
{
	if (!server->history)
		return;
	fprintf(server->history,
		"{\"event\":\"fault\",\"time_us\":%" PRId64
		",\"server\":\"%s\",\"command\":%s}\n",
		clock_now(&server->clock), server->config.server,
		json_object_to_json_string_ext(command,
					       JSON_C_TO_STRING_PLAIN));
}

void history_record_end(struct work *work, enum answer_kind answer)
{
	FILE *out = work->server->history;

	work->server->counters.answers[answer]++;
	if (!out || !work->recorded)
		return;
	write_common_members(work, "end");
	fprintf(out, ",\"answer\":\"%s\",\"ran\":%s,\"spoilt\":%s}\n",
		answer_kind_names[answer], work->ran ? "true" : "false",
		work->unusable ? "true" : "false");
}
