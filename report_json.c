#include "report.h"

#include <math.h>

#include <json-c/json.h>

#include "error.h"
#include "json_value.h"

static const char *const cause_names[] = {"servers", "shards"};

static void add_bool(struct json_object *object, const char *key, bool value)
{
	json_object_object_add(object, key, json_object_new_boolean(value));
}

static struct json_object *instances_json(const struct burn_report *report)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < report->n_instances; i++) {
		const struct burn_instance *instance = &report->instances[i];
		struct json_object *item = json_object_new_object();

		json_value_add_text(item, "instance", instance->name);
		json_value_add_text(item, "data_centre", instance->data_centre);
		json_value_add_text(item, "address", instance->address);
		add_bool(item, "answered", !instance->ret);
		json_value_add_text(item, "error", error_name(instance->ret));
		json_value_add_int(item, "observed_s", instance->observed_s);
		json_value_add_int(item, "table_revision",
				   instance->table_revision);
		json_object_array_add(list, item);
	}
	return list;
}

static struct json_object *windows_json(const struct burn_report *report)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		struct json_object *item = json_object_new_object();

		json_value_add_text(item, "window", burn_window_names[i]);
		json_value_add_int(item, "seconds", burn_window_seconds[i]);
		json_value_add_int(item, "least_observed_s",
				   report->min_observed_s[i]);
		json_object_array_add(list, item);
	}
	return list;
}

static struct json_object *counts_json(const struct burn_row *row)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		const struct burn_counts *counts = &row->counts[i];
		struct json_object *item = json_object_new_object();

		json_value_add_text(item, "window", burn_window_names[i]);
		json_value_add_text(item, "state",
				    burn_state_names[row->states[i]]);
		json_value_add_int(item, "total", (int64_t)counts->total);
		json_value_add_int(item, "late", (int64_t)counts->late);
		json_value_add_int(item, "partial", (int64_t)counts->partial);
		json_value_add_int(item, "refused", (int64_t)counts->refused);
		json_object_array_add(list, item);
	}
	return list;
}

static struct json_object *objective_json(const struct burn_row *row,
					  enum burn_objective objective)
{
	struct json_object *object = json_object_new_object();
	struct json_object *rates = json_object_new_object();
	const char *alarm = burn_row_alarm(row, objective);
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++)
		json_value_add_number(rates, burn_window_names[i],
				      burn_row_rate(row, objective, i));
	json_object_object_add(object, "burn", rates);
	json_value_add_number(object, "budget_left",
			      burn_row_budget_left(row, objective));
	json_object_object_add(object, "alarm",
			       alarm ? json_object_new_string(alarm) : NULL);
	return object;
}

static void add_row(struct json_object *item, const struct burn_row *row)
{
	struct json_object *objectives = json_object_new_object();
	int k;

	json_object_object_add(item, "windows", counts_json(row));
	for (k = 0; k < BURN_N_OBJECTIVES; k++)
		json_object_object_add(objectives, burn_objective_names[k],
				       objective_json(row, k));
	json_object_object_add(item, "objectives", objectives);
}

static struct json_object *top_json(const struct top_k *top)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < top->n; i++) {
		struct json_object *item = json_object_new_object();

		json_value_add_text(item, "name", top->entries[i].key);
		json_value_add_int(item, "count",
				   (int64_t)top->entries[i].count);
		json_value_add_int(item, "error",
				   (int64_t)top->entries[i].error);
		json_value_add_text(item, "reason",
				    report_reason(&top->entries[i]));
		json_object_array_add(list, item);
	}
	return list;
}

static struct json_object *service_json(const struct burn_row *row)
{
	struct json_object *item = json_object_new_object();
	struct json_object *targets = json_object_new_object();
	struct json_object *causes = json_object_new_object();
	int k;

	json_value_add_text(item, "service", row->name);
	json_value_add_text(item, "market", row->target.market);
	add_bool(item, "in_table", row->in_table);
	json_value_add_int(targets, "latency_ms", row->target.latency_ms);
	json_value_add_number(targets, "latency_ratio",
			      row->target.latency_ratio);
	json_value_add_number(targets, "coverage_ratio",
			      row->target.coverage_ratio);
	json_object_object_add(item, "targets", targets);
	add_row(item, row);
	for (k = 0; k < BURN_N_CAUSES; k++)
		json_object_object_add(causes, cause_names[k],
				       top_json(&row->top[k]));
	json_object_object_add(item, "causes", causes);
	return item;
}

static struct json_object *market_json(const struct burn_row *row)
{
	struct json_object *item = json_object_new_object();

	json_value_add_text(item, "market", row->name);
	json_value_add_int(item, "services", row->n_services);
	add_row(item, row);
	return item;
}

struct json_object *report_json(const struct burn_report *report)
{
	struct json_object *root = json_object_new_object();
	struct json_object *services = json_object_new_array();
	struct json_object *markets = json_object_new_array();
	const struct burn_row *row;

	add_bool(root, "partial", burn_report_is_partial(report));
	json_value_add_int(root, "asked", report->n_instances);
	json_value_add_int(root, "answered", report->n_answered);
	json_value_add_int(root, "uncounted", (int64_t)report->uncounted);
	json_object_object_add(root, "instances", instances_json(report));
	json_object_object_add(root, "windows", windows_json(report));
	for (row = report->markets; row; row = row->hh.next)
		json_object_array_add(markets, market_json(row));
	for (row = report->services; row; row = row->hh.next)
		json_object_array_add(services, service_json(row));
	json_object_object_add(root, "markets", markets);
	json_object_object_add(root, "services", services);
	return root;
}
