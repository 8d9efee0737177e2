#include "trace_json.h"

#include <json-c/json.h>

#include "answer.h"
#include "error.h"
#include "json_value.h"

static const char *const kind_names[] = {"search", "run"};
static const char *const attempt_names[] = {"first", "hedge", "retry"};

static struct json_object *work_json(const struct trace_summary *summary)
{
	struct json_object *work = json_object_new_object();

	json_value_add_int(work, "homes", summary->n_homes);
	json_value_add_int(work, "requests", summary->n_requests);
	json_value_add_int(work, "hedges", summary->n_hedges);
	json_value_add_int(work, "retries", summary->n_retries);
	json_value_add_int(work, "restarts", summary->n_restarts);
	return work;
}

static struct json_object *ranges_json(const struct trace_reason *reason)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < reason->n_ranges && i < TRACE_RANGES_MAX; i++) {
		struct json_object *item = json_object_new_object();

		json_value_add_int(item, "lo", reason->ranges[i].lo);
		json_value_add_int(item, "hi", reason->ranges[i].hi);
		json_object_array_add(list, item);
	}
	return list;
}

static struct json_object *reason_json(const struct trace_reason *reason)
{
	struct json_object *item = json_object_new_object();
	int left_out = reason->n_ranges - TRACE_RANGES_MAX;

	json_value_add_text(item, "reason", error_name(reason->code));
	json_value_add_text(item, "text", error_text(reason->code));
	json_value_add_int(item, "shards", reason->n_shards);
	json_value_add_int(item, "records", (int64_t)reason->records);
	json_object_object_add(item, "ranges", ranges_json(reason));
	json_value_add_int(item, "ranges_left_out",
			   left_out > 0 ? left_out : 0);
	return item;
}

static struct json_object *coverage_json(const struct trace_summary *summary)
{
	struct json_object *coverage = json_object_new_object();
	struct json_object *reasons = json_object_new_array();
	double ratio = 1;
	int i;

	if (summary->total)
		ratio = (double)summary->covered / (double)summary->total;
	json_value_add_int(coverage, "covered", (int64_t)summary->covered);
	json_value_add_int(coverage, "total", (int64_t)summary->total);
	json_object_object_add(coverage, "ratio",
			       json_object_new_double(ratio));
	json_object_object_add(coverage, "sufficient",
			       json_object_new_boolean(ratio >=
						       summary->min_coverage));
	json_value_add_int(coverage, "shards", summary->n_shards);
	json_value_add_int(coverage, "answered", summary->n_answered);
	json_value_add_int(coverage, "missing_shards", summary->n_missing);
	for (i = 0; i < summary->n_reasons; i++)
		json_object_array_add(reasons,
				      reason_json(&summary->reasons[i]));
	json_object_object_add(coverage, "reasons", reasons);
	return coverage;
}

static struct json_object *part_json(const struct trace_part *part)
{
	struct json_object *item = json_object_new_object();

	json_value_add_text(item, "server", trace_name_text(part->server));
	json_value_add_text(item, "home", trace_name_text(part->home));
	json_value_add_text(item, "why", attempt_names[part->attempt]);
	json_value_add_int(item, "shards", part->n_shards);
	json_value_add_int(item, "restarts", part->restarts);
	json_value_add_int(item, "sent_us", part->sent_us);
	json_object_object_add(item, "back_us",
			       part->is_done
				       ? json_object_new_int64(part->back_us)
				       : NULL);
	json_value_add_int(item, "wait_us", part->wait_us);
	json_value_add_int(item, "server_us", part->server_us);
	json_value_add_text(item, "outcome",
			    part->code ? error_name(part->code) : "ok");
	return item;
}

static void add_parts(struct json_object *root, const struct trace *trace)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < trace->n_parts; i++)
		json_object_array_add(list, part_json(&trace->parts[i]));
	json_object_object_add(root, "parts", list);
	json_value_add_int(root, "parts_left_out", trace->n_left_out);
}

static const char *outcome_name(const struct trace_summary *summary)
{
	if (summary->kind == TRACE_RUN)
		return answer_run_outcome(summary->code);
	return answer_outcome(summary->code, summary->maybe_ran);
}

struct json_object *trace_json(const struct trace *trace)
{
	const struct trace_summary *summary = &trace->summary;
	struct json_object *root = json_object_new_object();

	json_value_add_text(root, "request_id", summary->request_id);
	json_value_add_text(root, "kind", kind_names[summary->kind]);
	json_value_add_text(root, "service", summary->service);
	json_value_add_text(root, "outcome", outcome_name(summary));
	json_value_add_text(root, "error", error_name(summary->code));
	json_value_add_text(root, "text", error_text(summary->code));
	json_value_add_int(root, "retry_after_ms", summary->retry_after_ms);
	json_value_add_int(root, "started_us", summary->started_wall);
	json_value_add_int(root, "elapsed_us", summary->elapsed);
	json_value_add_int(root, "deadline_us", summary->deadline);
	json_value_add_int(root, "table_revision",
			   (int64_t)summary->table_revision);
	json_value_add_int(root, "snapshot", (int64_t)summary->snapshot);
	json_object_object_add(root, "work", work_json(summary));
	json_object_object_add(root, "coverage",
			       summary->n_shards ? coverage_json(summary)
						 : NULL);
	add_parts(root, trace);
	return root;
}
