#include "burn_report.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "error.h"
#include "json_value.h"
#include "mem.h"

static const char *const cause_names[] = {"servers", "shards"};

void burn_report_init(struct burn_report *report)
{
	int i;

	memset(report, 0, sizeof(*report));
	for (i = 0; i < BURN_N_WINDOWS; i++)
		report->min_observed_s[i] = burn_window_seconds[i];
}

static void free_rows(struct burn_row **rows)
{
	struct burn_row *row;
	struct burn_row *next;

	HASH_ITER (hh, *rows, row, next) {
		HASH_DEL(*rows, row);
		free(row);
	}
}

void burn_report_finish(struct burn_report *report)
{
	free(report->instances);
	free_rows(&report->services);
	free_rows(&report->markets);
}

static int index_of(struct json_object *object, const char *key,
		    const char *const *names, int n)
{
	struct json_object *value;
	int i;

	if (!json_object_object_get_ex(object, key, &value) ||
	    !json_object_is_type(value, json_type_string))
		return -1;
	for (i = 0; i < n; i++) {
		if (!strcmp(json_object_get_string(value), names[i]))
			return i;
	}
	return -1;
}

static struct burn_row *put_row(struct burn_row **rows, const char *name)
{
	struct burn_row *row;
	int i;

	HASH_FIND_STR(*rows, name, row);
	if (row)
		return row;
	row = mem_zalloc(sizeof(*row));
	str_copy(row->name, sizeof(row->name), str_from(name));
	for (i = 0; i < BURN_N_WINDOWS; i++)
		row->states[i] = BURN_EMPTY;
	HASH_ADD_STR(*rows, name, row);
	return row;
}

/* While a change spreads, instances differ: the newest table's word counts. */
static void take_target(struct burn_row *row, struct json_object *item,
			int64_t table_revision)
{
	struct json_object *targets;

	if (!json_object_object_get_ex(item, "targets", &targets) ||
	    (*row->target.market && table_revision < row->table_revision))
		return;
	row->table_revision = table_revision;
	json_value_copy(item, "market", row->target.market,
			sizeof(row->target.market));
	row->target.latency_ms = json_value_int(targets, "latency_ms");
	row->target.latency_ratio = json_value_number(targets, "latency_ratio");
	row->target.coverage_ratio =
		json_value_number(targets, "coverage_ratio");
}

/*
 * Order of precedence of what is said of a sum: a short window of one instance
 * makes the sum short; without any request, one that rolled over is told.
 */
static enum burn_state merge_state(enum burn_state a, enum burn_state b)
{
	static const int precedence[] = {
		[BURN_EMPTY] = 0,
		[BURN_ROLLED_OVER] = 1,
		[BURN_FULL] = 2,
		[BURN_SHORT] = 3,
	};

	return precedence[a] > precedence[b] ? a : b;
}

static void add_counts(struct burn_counts *sum, const struct burn_counts *more)
{
	sum->total += more->total;
	sum->late += more->late;
	sum->partial += more->partial;
	sum->refused += more->refused;
}

static void take_window(struct burn_row *row, struct json_object *item)
{
	struct burn_counts counts = {
		.total = (uint64_t)json_value_int(item, "total"),
		.late = (uint64_t)json_value_int(item, "late"),
		.partial = (uint64_t)json_value_int(item, "partial"),
		.refused = (uint64_t)json_value_int(item, "refused"),
	};
	int window =
		index_of(item, "window", burn_window_names, BURN_N_WINDOWS);
	int state =
		index_of(item, "state", burn_state_names, BURN_ROLLED_OVER + 1);

	if (window < 0 || state < 0)
		return;
	add_counts(&row->counts[window], &counts);
	row->states[window] = merge_state(row->states[window], state);
}

/* The code is not told, but its name: the number is found by it. */
static int code_of(struct json_object *item)
{
	struct json_object *value;
	int code;

	if (!json_object_object_get_ex(item, "reason", &value) ||
	    !json_object_is_type(value, json_type_string))
		return 0;
	for (code = -1; strcmp(error_name(code), "unknown_code"); code--) {
		if (!strcmp(error_name(code), json_object_get_string(value)))
			return code;
	}
	return 0;
}

static void take_top(struct top_k *top, struct json_object *list)
{
	size_t i;

	for (i = 0; i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		char key[TOP_K_KEY_SIZE] = "";

		json_value_copy(item, "name", key, sizeof(key));
		top_k_add(top, str_from(key),
			  (uint64_t)json_value_int(item, "count"),
			  (uint64_t)json_value_int(item, "error"),
			  code_of(item));
	}
}

static void take_service(struct burn_report *report, struct json_object *item,
			 int64_t table_revision)
{
	struct json_object *causes = NULL;
	struct json_object *list;
	char name[BURN_NAME_SIZE] = "";
	struct burn_row *row;
	size_t i;

	json_value_copy(item, "service", name, sizeof(name));
	row = put_row(&report->services, name);
	row->n_services = 1;
	row->in_table |= json_object_get_boolean(
		json_object_object_get(item, "in_table"));
	take_target(row, item, table_revision);
	list = json_value_list(item, "windows");
	for (i = 0; list && i < json_object_array_length(list); i++)
		take_window(row, json_object_array_get_idx(list, i));
	json_object_object_get_ex(item, "causes", &causes);
	for (i = 0; causes && i < BURN_N_CAUSES; i++) {
		list = json_value_list(causes, cause_names[i]);
		if (list)
			take_top(&row->top[i], list);
	}
}

static void take_observed(struct burn_report *report, struct json_object *body)
{
	struct json_object *list = json_value_list(body, "windows");
	size_t i;

	for (i = 0; list && i < json_object_array_length(list); i++) {
		struct json_object *item = json_object_array_get_idx(list, i);
		int window = index_of(item, "window", burn_window_names,
				      BURN_N_WINDOWS);
		int64_t observed = json_value_int(item, "observed_s");

		if (window >= 0 && observed < report->min_observed_s[window])
			report->min_observed_s[window] = observed;
	}
}

static void take_body(struct burn_report *report,
		      struct burn_instance *instance, struct json_object *body)
{
	struct json_object *services = json_value_list(body, "services");
	size_t i;

	if (!services) {
		instance->ret = ERR_PROTOCOL;
		return;
	}
	report->n_answered++;
	json_value_copy(body, "instance", instance->name,
			sizeof(instance->name));
	json_value_copy(body, "data_centre", instance->data_centre,
			sizeof(instance->data_centre));
	instance->observed_s = json_value_int(body, "observed_s");
	instance->table_revision = json_value_int(body, "table_revision");
	report->uncounted += (uint64_t)json_value_int(body, "uncounted");
	take_observed(report, body);
	for (i = 0; i < json_object_array_length(services); i++)
		take_service(report, json_object_array_get_idx(services, i),
			     instance->table_revision);
}

void burn_report_add(struct burn_report *report,
		     const struct burn_instance *instance,
		     struct json_object *body)
{
	struct burn_instance *added;

	MEM_GROW(report->instances, report->n_instances, report->cap_instances);
	added = &report->instances[report->n_instances++];
	*added = *instance;
	if (!added->ret)
		take_body(report, added, body);
}

static void allow(struct burn_row *row)
{
	int i;
	int k;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		for (k = 0; k < BURN_N_OBJECTIVES; k++)
			row->allowed[k][i] =
				(double)row->counts[i].total *
				(1 - burn_required_ratio(&row->target, k));
	}
}

static void add_to_market(struct burn_row *market,
			  const struct burn_row *service)
{
	int i;
	int k;

	market->n_services++;
	market->in_table |= service->in_table;
	for (i = 0; i < BURN_N_WINDOWS; i++) {
		add_counts(&market->counts[i], &service->counts[i]);
		market->states[i] =
			merge_state(market->states[i], service->states[i]);
		for (k = 0; k < BURN_N_OBJECTIVES; k++)
			market->allowed[k][i] += service->allowed[k][i];
	}
}

double burn_row_rate(const struct burn_row *row, enum burn_objective objective,
		     enum burn_window window)
{
	return burn_rate((double)burn_count_bad(&row->counts[window],
						objective),
			 row->allowed[objective][window]);
}

double burn_row_budget_left(const struct burn_row *row,
			    enum burn_objective objective)
{
	return 1 - burn_row_rate(row, objective, BURN_3D);
}

const char *burn_row_alarm(const struct burn_row *row,
			   enum burn_objective objective)
{
	double rates[BURN_N_WINDOWS];
	uint64_t bad[BURN_N_WINDOWS];
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		rates[i] = burn_row_rate(row, objective, i);
		bad[i] = burn_count_bad(&row->counts[i], objective);
	}
	if (burn_is_fast(rates, bad))
		return burn_alarm_names[BURN_ALARM_FAST];
	if (burn_is_slow(rates, bad))
		return burn_alarm_names[BURN_ALARM_SLOW];
	return NULL;
}

bool burn_row_is_empty(const struct burn_row *row)
{
	return row->states[BURN_3D] == BURN_EMPTY;
}

static double worst_rate(const struct burn_row *row, enum burn_window window)
{
	double latency = burn_row_rate(row, BURN_LATENCY, window);
	double coverage = burn_row_rate(row, BURN_COVERAGE, window);

	return latency > coverage ? latency : coverage;
}

static int compare(struct burn_row *a, struct burn_row *b)
{
	static const enum burn_window order[] = {BURN_1H, BURN_3D};
	size_t i;

	for (i = 0; i < sizeof(order) / sizeof(*order); i++) {
		double x = worst_rate(a, order[i]);
		double y = worst_rate(b, order[i]);

		if (x > y)
			return -1;
		if (x < y)
			return 1;
	}
	return strcmp(a->name, b->name);
}

void burn_report_sort(struct burn_report *report)
{
	struct burn_row *row;
	struct burn_row *next;
	int k;

	HASH_ITER (hh, report->services, row, next) {
		allow(row);
		for (k = 0; k < BURN_N_CAUSES; k++)
			top_k_sort(&row->top[k]);
		add_to_market(put_row(&report->markets, row->target.market),
			      row);
	}
	HASH_SORT(report->services, compare);
	HASH_SORT(report->markets, compare);
}
