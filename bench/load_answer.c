#include "load_answer.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#define LOAD_OUTCOME_NAME(symbol, name) name,
static const char *const outcome_names[] = {LOAD_OUTCOMES(LOAD_OUTCOME_NAME)};
#undef LOAD_OUTCOME_NAME

#define N_PROTOCOL_OUTCOMES (LOAD_UNKNOWN + 1)

const char *load_outcome_name(enum load_outcome outcome)
{
	return outcome_names[outcome];
}

static struct json_object *parse_object(struct str body)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *root;

	root = json_tokener_parse_ex(tok, body.data, (int)body.len);
	json_tokener_free(tok);
	if (json_object_is_type(root, json_type_object))
		return root;
	json_object_put(root);
	return NULL;
}

static uint64_t member_uint64(struct json_object *object, const char *key)
{
	struct json_object *value;

	if (!json_object_object_get_ex(object, key, &value))
		return 0;
	return json_object_get_uint64(value);
}

static void copy_member_text(struct json_object *object, const char *key,
			     char *out, size_t size)
{
	struct json_object *value;

	*out = '\0';
	if (!json_object_object_get_ex(object, key, &value))
		return;
	snprintf(out, size, "%s", json_object_get_string(value));
}

static enum load_outcome read_outcome(struct json_object *root, int status)
{
	char name[16];
	int i;

	copy_member_text(root, "outcome", name, sizeof(name));
	for (i = 0; i < N_PROTOCOL_OUTCOMES; i++) {
		if (!strcmp(name, outcome_names[i]))
			break;
	}
	if (i == LOAD_DONE && status == 200)
		return LOAD_DONE;
	if (i == LOAD_BAD_REQUEST && status >= 400 && status < 500)
		return LOAD_BAD_REQUEST;
	if ((i == LOAD_NOT_RUN && status == 503) ||
	    (i == LOAD_TOO_LATE && status == 504) ||
	    (i == LOAD_UNKNOWN && status == 502))
		return i;
	return LOAD_MALFORMED;
}

static void read_coverage(struct load_answer *answer, struct json_object *root)
{
	struct json_object *coverage;
	struct json_object *sufficient;

	if (!json_object_object_get_ex(root, "coverage", &coverage))
		return;
	answer->has_coverage = true;
	answer->covered = member_uint64(coverage, "covered");
	answer->total = member_uint64(coverage, "total");
	answer->sufficient = json_object_object_get_ex(coverage, "sufficient",
						       &sufficient) &&
			     json_object_get_boolean(sufficient);
}

static void read_work(struct load_work *work, struct json_object *root)
{
	struct json_object *object;

	if (!json_object_object_get_ex(root, "work", &object))
		return;
	work->homes = member_uint64(object, "homes");
	work->requests = member_uint64(object, "requests");
	work->hedges = member_uint64(object, "hedges");
	work->retries = member_uint64(object, "retries");
	work->restarts = member_uint64(object, "restarts");
}

static void read_fields(struct load_answer *answer, struct json_object *root)
{
	struct json_object *object;

	copy_member_text(root, "request_id", answer->request_id,
			 sizeof(answer->request_id));
	copy_member_text(root, "error", answer->error, sizeof(answer->error));
	answer->retry_after_ms = (int64_t)member_uint64(root, "retry_after_ms");
	answer->snapshot = member_uint64(root, "snapshot");
	answer->count = member_uint64(root, "count");
	if (json_object_object_get_ex(root, "records", &object))
		answer->n_records = (int64_t)json_object_array_length(object);
	if (json_object_object_get_ex(root, "table", &object))
		answer->table_revision = member_uint64(object, "revision");
	if (json_object_object_get_ex(root, "result", &object))
		answer->result_hash =
			str_hash(str_from(json_object_to_json_string(object)));
	read_coverage(answer, root);
	read_work(&answer->work, root);
}

void load_answer_read(struct load_answer *answer, int status, struct str body)
{
	struct json_object *root = parse_object(body);

	memset(answer, 0, sizeof(*answer));
	answer->n_records = -1;
	answer->outcome = LOAD_MALFORMED;
	if (!root)
		return;
	answer->outcome = read_outcome(root, status);
	read_fields(answer, root);
	json_object_put(root);
}

void load_answer_read_ticket(struct load_answer *answer, int status,
			     struct str body)
{
	struct json_object *root;

	if (status != 200) {
		load_answer_read(answer, status, body);
		return;
	}
	memset(answer, 0, sizeof(*answer));
	answer->outcome = LOAD_MALFORMED;
	root = parse_object(body);
	if (!root)
		return;
	copy_member_text(root, "ticket", answer->ticket,
			 sizeof(answer->ticket));
	if (*answer->ticket)
		answer->outcome = LOAD_DONE;
	json_object_put(root);
}

static struct json_object *expected_at(struct json_object *expect,
				       uint64_t snapshot)
{
	struct json_object *by_snapshot;
	struct json_object *expected;
	char key[24];

	if (!json_object_object_get_ex(expect, "by_snapshot", &by_snapshot))
		return expect;
	snprintf(key, sizeof(key), "%" PRIu64, snapshot);
	if (!json_object_object_get_ex(by_snapshot, key, &expected))
		return NULL;
	return expected;
}

static const char *check_count(const struct load_answer *answer,
			       uint64_t expected)
{
	if (answer->count > expected)
		return "count_above_truth";
	if (answer->covered == answer->total && answer->count != expected)
		return "count_below_truth";
	return NULL;
}

/* Checks that need no expected result. */
static const char *check_consistency(const struct load_answer *answer,
				     int64_t limit)
{
	if (!answer->has_coverage)
		return "no_coverage";
	if (answer->covered > answer->total)
		return "covered_above_total";
	if (answer->count > answer->covered)
		return "count_above_covered";
	if (answer->n_records < 0)
		return NULL;
	if (answer->n_records > limit)
		return "records_above_limit";
	if (answer->n_records < limit && answer->n_records != answer->count)
		return "records_missing";
	return NULL;
}

const char *load_answer_check(const struct load_answer *answer,
			      struct json_object *expect, int64_t limit)
{
	const char *wrong = check_consistency(answer, limit);
	struct json_object *expected;
	struct json_object *count = NULL;

	if (wrong || !expect)
		return wrong;
	expected = expected_at(expect, answer->snapshot);
	if (!expected)
		return "snapshot_unknown";
	if (json_object_is_type(expected, json_type_int))
		return check_count(answer, json_object_get_uint64(expected));
	if (json_object_object_get_ex(expected, "total", NULL) &&
	    member_uint64(expected, "total") != answer->total)
		return "total";
	if (!json_object_object_get_ex(expected, "count", &count))
		return NULL;
	return check_count(answer, json_object_get_uint64(count));
}
