#include "answer.h"

#include <inttypes.h>
#include <string.h>

#include <event2/buffer.h>
#include <json-c/json.h>

#include "burn_json.h"
#include "json_text.h"
#include "run.h"
#include "share_status.h"
#include "table_status.h"

#define MISSING_SHARDS_LISTED_MAX 64

/*
 * Codes that imply that the request did not run. With any other code it may
 * have run, unless no byte can have reached a backend server.
 */
static bool is_bad_request(int code)
{
	switch (code) {
	case ERR_SYNTAX:
	case ERR_KEY_UNKNOWN:
	case ERR_KEY_MISSING:
	case ERR_TYPE:
	case ERR_RANGE:
	case ERR_TOO_LARGE:
	case ERR_BAD_REQUEST:
	case ERR_NO_SERVICE:
	case ERR_TICKET:
		return true;
	default:
		return false;
	}
}

const char *answer_outcome(int code, bool maybe_ran)
{
	if (!code)
		return "done";
	if (is_bad_request(code))
		return "bad_request";
	if (code == ERR_TOO_LATE)
		return "too_late";
	return maybe_ran || code == ERR_UNKNOWN ? "unknown" : "not_run";
}

int answer_status(int code, bool maybe_ran)
{
	if (!code)
		return 200;
	if (code == ERR_TOO_LARGE)
		return 413;
	if (code == ERR_NO_SERVICE)
		return 404;
	if (is_bad_request(code))
		return 400;
	if (code == ERR_TOO_LATE)
		return 504;
	return maybe_ran || code == ERR_UNKNOWN ? 502 : 503;
}

static void add_member(struct evbuffer *out, const char *key, struct str value)
{
	evbuffer_add_printf(out, ",\"%s\":", key);
	json_text_add_string(out, value);
}

void answer_error(struct evbuffer *out, struct str request_id, int code,
		  bool maybe_ran, int64_t retry_after_ms,
		  const struct error *err)
{
	evbuffer_add_printf(out, "{\"request_id\":");
	json_text_add_string(out, request_id);
	add_member(out, "outcome", str_from(answer_outcome(code, maybe_ran)));
	add_member(out, "error", str_from(error_name(code)));
	add_member(out, "text", str_from(error_text(code)));
	evbuffer_add_printf(out, ",\"retry_after_ms\":%" PRId64,
			    retry_after_ms);
	if (err && err->code) {
		add_member(out, "subject", str_from(err->subject));
		add_member(out, "value", str_from(err->value));
		add_member(out, "expected",
			   str_from(err->expected ? err->expected : ""));
	}
	evbuffer_add_printf(out, "}\n");
}

static void add_records(struct evbuffer *out, const struct merge *merge)
{
	int i;

	evbuffer_add_printf(out, ",\"records\":[");
	for (i = 0; i < merge->n; i++) {
		if (i)
			evbuffer_add(out, ",", 1);
		evbuffer_add(out, merge->records[i].body.data,
			     merge->records[i].body.len);
	}
	evbuffer_add(out, "]", 1);
}

static void add_missing_shards(struct evbuffer *out,
			       const struct search *search)
{
	int listed = 0;
	int missing = 0;
	int i;

	evbuffer_add_printf(out, ",\"missing\":[");
	for (i = 0; i < search->map->n_shards; i++) {
		if (search->shards[i].state == SEARCH_SHARD_ANSWERED)
			continue;
		if (++missing > MISSING_SHARDS_LISTED_MAX)
			continue;
		evbuffer_add_printf(out,
				    "%s{\"lo\":%d,\"hi\":%d,\"reason\":\"%s\"}",
				    listed++ ? "," : "",
				    search->map->shards[i].lo,
				    search->map->shards[i].hi,
				    error_name(search->shards[i].code));
	}
	evbuffer_add_printf(out, "],\"missing_shards\":%d", missing);
}

static void add_coverage(struct evbuffer *out, const struct search *search)
{
	double ratio = search_ratio(search);

	evbuffer_add_printf(out,
			    ",\"coverage\":{\"covered\":%" PRIu64
			    ",\"total\":%" PRIu64
			    ",\"ratio\":%.6f,\"sufficient\":%s",
			    search->covered, search_total(search), ratio,
			    ratio >= search->min_coverage ? "true" : "false");
	add_missing_shards(out, search);
	evbuffer_add(out, "}", 1);
}

void answer_search(struct evbuffer *out, const struct blackboard *board,
		   const struct search *search)
{
	int64_t now = clock_now(board->clock);

	if (search->code) {
		answer_error(out, str_from(search->request.request_id),
			     search->code, search->maybe_ran,
			     search->retry_after_ms, &search->error);
		return;
	}
	evbuffer_add_printf(out, "{\"request_id\":");
	json_text_add_string(out, str_from(search->request.request_id));
	evbuffer_add_printf(out,
			    ",\"outcome\":\"done\",\"snapshot\":%" PRIu64
			    ",\"count\":%" PRIu64,
			    search->map->version, search->count);
	if (search->request.mode == REQUEST_RECORDS)
		add_records(out, &search->merge);
	add_coverage(out, search);
	evbuffer_add_printf(out,
			    ",\"work\":{\"homes\":%d,\"requests\":%d,"
			    "\"hedges\":%d,\"retries\":%d,\"restarts\":%d}",
			    search->n_homes, search->n_requests,
			    search->n_hedges, search->n_retries,
			    search->n_restarts);
	evbuffer_add_printf(out, ",\"table\":");
	table_status_add_brief(out, board->table_sync);
	evbuffer_add_printf(out, ",\"elapsed_us\":%" PRId64 "}\n",
			    now - search->started_at);
}

void answer_ticket(struct evbuffer *out, struct str request_id,
		   struct str ticket, int64_t expires_in_ms)
{
	evbuffer_add_printf(out, "{\"request_id\":");
	json_text_add_string(out, request_id);
	add_member(out, "ticket", ticket);
	evbuffer_add_printf(out, ",\"expires_in_ms\":%" PRId64 "}\n",
			    expires_in_ms);
}

static const struct {
	const char *name;
	int status;
} run_outcomes[] = {
	[RUN_DONE] = {"done", 200},
	[RUN_NOT_RUN] = {"not_run", 503},
	[RUN_REFUSED] = {"bad_request", 400},
	[RUN_UNKNOWN] = {"unknown", 502},
};

const char *answer_run_outcome(int code)
{
	return run_outcomes[run_outcome(code)].name;
}

int answer_run_status(int code)
{
	if (code == ERR_NO_SERVICE || code == ERR_TOO_LARGE)
		return answer_status(code, false);
	return run_outcomes[run_outcome(code)].status;
}

static bool is_json(struct str text)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *object =
		json_tokener_parse_ex(tokener, text.data, (int)text.len);
	/* A number at the very end leaves the tokener waiting for more. */
	bool whole = json_tokener_get_error(tokener) == json_tokener_success &&
		     tokener->char_offset == (int)text.len;

	json_object_put(object);
	json_tokener_free(tokener);
	return whole;
}

/* Embeds the body if it is JSON, otherwise adds it as a string. */
static void add_result(struct evbuffer *out, struct str body)
{
	evbuffer_add_printf(out, ",\"result\":");
	if (!body.len)
		evbuffer_add_printf(out, "null");
	else if (is_json(body))
		evbuffer_add(out, body.data, body.len);
	else
		json_text_add_string(out, body);
}

void answer_run(struct evbuffer *out, struct str request_id,
		const struct ticket_answer *answer)
{
	int code = answer->code;

	evbuffer_add_printf(out, "{\"request_id\":");
	json_text_add_string(out, request_id);
	add_member(out, "outcome", str_from(answer_run_outcome(code)));
	if (!code) {
		add_result(out, answer->body);
	} else {
		add_member(out, "error", str_from(error_name(code)));
		add_member(out, "text", str_from(error_text(code)));
		evbuffer_add_printf(out, ",\"retry_after_ms\":%u",
				    answer->retry_after_ms);
	}
	evbuffer_add_printf(out, "}\n");
}

static void add_address(struct evbuffer *out, const struct fleet_member *m,
			int *n)
{
	char text[ADDRESS_TEXT_SIZE];

	address_format(&m->caller_address, text, sizeof(text));
	evbuffer_add_printf(out, "%s{\"address\":\"%s\",\"instance\":",
			    (*n)++ ? "," : "", text);
	json_text_add_string(out, str_from(m->instance));
	add_member(out, "data_centre", str_from(m->data_centre));
	evbuffer_add(out, "}", 1);
}

static void add_addresses(struct evbuffer *out, const struct fleet *fleet,
			  struct str data_centre, bool local, int *n)
{
	struct fleet_member *member;
	struct fleet_member *next;

	HASH_ITER (hh, fleet->members, member, next) {
		bool same = str_eq_text(data_centre, member->data_centre);

		if (member->status == FLEET_ALIVE && same == local)
			add_address(out, member, n);
	}
}

void answer_addresses(struct evbuffer *out, const struct blackboard *board,
		      struct str data_centre)
{
	int n = 0;

	evbuffer_add_printf(out, "{\"lifetime_ms\":%" PRId64 ",\"addresses\":[",
			    blackboard_tunables(board)->address_lifetime_ms);
	add_addresses(out, &board->fleet, data_centre, true, &n);
	add_addresses(out, &board->fleet, data_centre, false, &n);
	evbuffer_add_printf(out, "]}\n");
}

static const char *const lifecycle_names[] = {"starting", "serving", "leaving",
					      "stopped"};
static const char *const status_names[] = {"alive", "suspect", "leaving"};

static void add_table(struct evbuffer *out, const struct blackboard *board)
{
	const struct error *refused = &board->table_refused;

	evbuffer_add_printf(out, ",\"table\":");
	table_status_add(out, board->table_sync);
	evbuffer_add_printf(out, ",\"alarms\":");
	table_status_add_alarms(out, board->table_sync);
	if (!refused->code)
		return;
	evbuffer_add_printf(out,
			    ",\"table_refused\":{\"revision\":%" PRIu64
			    ",\"line\":%d",
			    board->table_refused_revision, refused->line);
	add_member(out, "error", str_from(error_name(refused->code)));
	add_member(out, "subject", str_from(refused->subject));
	add_member(out, "value", str_from(refused->value));
	add_member(out, "expected",
		   str_from(refused->expected ? refused->expected : ""));
	evbuffer_add(out, "}", 1);
}

static void add_instance(struct evbuffer *out,
			 const struct fleet_member *member, const char *status)
{
	char text[ADDRESS_TEXT_SIZE];

	evbuffer_add_printf(out, "{\"instance\":");
	json_text_add_string(out, str_from(member->instance));
	add_member(out, "data_centre", str_from(member->data_centre));
	add_member(out, "status", str_from(status));
	address_format(&member->caller_address, text, sizeof(text));
	add_member(out, "caller_address", str_from(text));
	evbuffer_add(out, "}", 1);
}

static void add_members(struct evbuffer *out, const struct fleet *fleet)
{
	struct fleet_member *member;
	struct fleet_member *next;
	int n = 0;

	evbuffer_add_printf(out, ",\"members\":[");
	HASH_ITER (hh, fleet->members, member, next) {
		evbuffer_add_printf(out, "%s", n++ ? "," : "");
		add_instance(out, member, status_names[member->status]);
	}
	evbuffer_add(out, "]", 1);
}

/*
 * Adds instances that are still on the platform's list, which lags behind, but
 * no longer in the fleet.
 */
static void add_departed_members(struct evbuffer *out,
				 const struct blackboard *board)
{
	struct fleet_member *member;
	struct fleet_member *next;
	int n = 0;

	evbuffer_add_printf(out, ",\"gone\":[");
	HASH_ITER (hh, board->platform_list.members, member, next) {
		if (member->status == FLEET_LEAVING ||
		    fleet_find(&board->fleet, str_from(member->instance)))
			continue;
		evbuffer_add_printf(out, "%s", n++ ? "," : "");
		add_instance(out, member, "gone");
	}
	evbuffer_add(out, "]", 1);
}

static void add_server(struct evbuffer *out, const struct catalog_server *s)
{
	int i;

	json_text_add_string(out, str_from(s->name));
	add_member(out, "service", str_from(s->service));
	evbuffer_add_printf(out, ",\"weight\":%" PRId64 ",\"homes\":[",
			    s->weight);
	for (i = 0; i < s->n_homes; i++) {
		const struct catalog_home *home = &s->homes[i];

		evbuffer_add_printf(out, "%s{\"instance\":", i ? "," : "");
		json_text_add_string(out, str_from(home->instance->name));
		evbuffer_add_printf(
			out, ",\"slots\":%u,\"reachable\":%s,\"draining\":%s}",
			home->slots, home->reachable ? "true" : "false",
			home->draining ? "true" : "false");
	}
	evbuffer_add_printf(out, "],\"versions\":[");
	for (i = 0; i < s->n_versions; i++)
		evbuffer_add_printf(out, "%s%" PRIu64, i ? "," : "",
				    s->versions[i].version);
	evbuffer_add(out, "]", 1);
}

static void add_servers(struct evbuffer *out, const struct catalog *catalog)
{
	struct catalog_server *server;
	struct catalog_server *next;
	int n = 0;

	evbuffer_add_printf(out, ",\"servers\":[");
	HASH_ITER (hh, catalog->servers, server, next) {
		evbuffer_add_printf(out, "%s{\"server\":", n++ ? "," : "");
		add_server(out, server);
		evbuffer_add(out, "}", 1);
	}
	evbuffer_add(out, "]", 1);
}

void answer_status_page(struct evbuffer *out, struct blackboard *board)
{
	evbuffer_add_printf(out, "{\"instance\":");
	json_text_add_string(out, str_from(board->settings->instance));
	add_member(out, "data_centre", str_from(board->settings->data_centre));
	evbuffer_add_printf(out,
			    ",\"version\":\"" GARNETREACH_VERSION
			    "\",\"incarnation\":\"%016" PRIx64 "\"",
			    board->incarnation);
	add_member(out, "lifecycle",
		   str_from(lifecycle_names[board->lifecycle]));
	add_table(out, board);
	evbuffer_add_printf(out, ",\"burn_alarms\":");
	burn_json_add_alarms(out, board);
	add_members(out, &board->fleet);
	evbuffer_add_printf(out, ",\"shares\":");
	share_status_add(out, board->share);
	add_departed_members(out, board);
	add_servers(out, &board->catalog);
	evbuffer_add_printf(out, "}\n");
}
