#include "burn_json.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include <event2/buffer.h>
#include <json-c/json.h>

#include "json_text.h"
#include "json_value.h"

static const char *const cause_names[] = {"servers", "shards"};

static struct json_object *windows_json(const struct burn *burn)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		struct json_object *item = json_object_new_object();

		json_value_add_text(item, "window", burn_window_names[i]);
		json_value_add_int(item, "seconds", burn_window_seconds[i]);
		json_value_add_int(item, "observed_s",
				   burn_observed(burn, i) / USEC_PER_SEC);
		json_object_array_add(list, item);
	}
	return list;
}

/* What a service used of its budgets, by window. */
struct sums {
	enum burn_state states[BURN_N_WINDOWS];
	struct burn_counts counts[BURN_N_WINDOWS];
	double rates[BURN_N_OBJECTIVES][BURN_N_WINDOWS];
	uint64_t bad[BURN_N_OBJECTIVES][BURN_N_WINDOWS];
};

static void sum_service(struct burn *burn, struct burn_service *service,
			struct sums *sums)
{
	int i;
	int k;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		sums->states[i] =
			burn_count_window(burn, service, i, &sums->counts[i]);
		for (k = 0; k < BURN_N_OBJECTIVES; k++) {
			double allowed =
				(double)sums->counts[i].total *
				(1 - burn_required_ratio(&service->target, k));

			sums->bad[k][i] = burn_count_bad(&sums->counts[i], k);
			sums->rates[k][i] =
				burn_rate((double)sums->bad[k][i], allowed);
		}
	}
}

static struct json_object *counts_json(const struct sums *sums)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		const struct burn_counts *counts = &sums->counts[i];
		struct json_object *item = json_object_new_object();

		json_value_add_text(item, "window", burn_window_names[i]);
		json_value_add_text(item, "state",
				    burn_state_names[sums->states[i]]);
		json_value_add_int(item, "total", (int64_t)counts->total);
		json_value_add_int(item, "late", (int64_t)counts->late);
		json_value_add_int(item, "partial", (int64_t)counts->partial);
		json_value_add_int(item, "refused", (int64_t)counts->refused);
		json_object_array_add(list, item);
	}
	return list;
}

static struct json_object *objective_json(const struct sums *sums, int k)
{
	struct json_object *object = json_object_new_object();
	struct json_object *rates = json_object_new_object();
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++)
		json_value_add_number(rates, burn_window_names[i],
				      sums->rates[k][i]);
	json_object_object_add(object, "burn", rates);
	json_value_add_number(object, "budget_left",
			      1 - sums->rates[k][BURN_3D]);
	return object;
}

static struct json_object *top_json(const struct top_k *top)
{
	struct json_object *list = json_object_new_array();
	int i;

	for (i = 0; i < top->n; i++) {
		const struct top_k_entry *entry = &top->entries[i];
		struct json_object *item = json_object_new_object();

		json_value_add_text(item, "name", entry->key);
		json_value_add_int(item, "count", (int64_t)entry->count);
		json_value_add_int(item, "error", (int64_t)entry->error);
		json_value_add_text(item, "reason",
				    entry->code ? error_name(entry->code)
						: "slow");
		json_object_array_add(list, item);
	}
	return list;
}

static struct json_object *causes_json(struct burn *burn,
				       const struct burn_service *service)
{
	struct json_object *causes = json_object_new_object();
	struct top_k top;
	int i;

	for (i = 0; i < BURN_N_CAUSES; i++) {
		burn_top_causes(burn, service, i, &top);
		json_object_object_add(causes, cause_names[i], top_json(&top));
	}
	return causes;
}

static void add_targets(struct json_object *root,
			const struct burn_target *target)
{
	struct json_object *object = json_object_new_object();

	json_value_add_text(root, "market", target->market);
	json_value_add_int(object, "latency_ms", target->latency_ms);
	json_value_add_number(object, "latency_ratio", target->latency_ratio);
	json_value_add_number(object, "coverage_ratio", target->coverage_ratio);
	json_object_object_add(root, "targets", object);
}

static struct json_object *
service_json(struct burn *burn, struct burn_service *service, bool in_table)
{
	struct json_object *root = json_object_new_object();
	struct json_object *objectives = json_object_new_object();
	struct sums sums;
	int i;

	sum_service(burn, service, &sums);
	json_value_add_text(root, "service", service->name);
	add_targets(root, &service->target);
	json_object_object_add(root, "in_table",
			       json_object_new_boolean(in_table));
	json_value_add_int(root, "last_request_ms_ago",
			   (clock_now(burn->clock) - service->last_at) /
				   USEC_PER_MSEC);
	json_object_object_add(root, "windows", counts_json(&sums));
	for (i = 0; i < BURN_N_OBJECTIVES; i++)
		json_object_object_add(objectives, burn_objective_names[i],
				       objective_json(&sums, i));
	json_object_object_add(root, "objectives", objectives);
	json_object_object_add(root, "causes", causes_json(burn, service));
	return root;
}

/* A service without a request has no windows. */
static struct json_object *empty_json(const struct service *row)
{
	struct json_object *root = json_object_new_object();
	struct burn_target target;

	burn_target_fill(&target, row);
	json_value_add_text(root, "service", row->name);
	add_targets(root, &target);
	json_object_object_add(root, "in_table", json_object_new_boolean(1));
	json_object_object_add(root, "last_request_ms_ago", NULL);
	return root;
}

static bool is_in_table(const struct blackboard *board, const char *service)
{
	return board->table &&
	       table_find_service(board->table, str_from(service)) >= 0;
}

static struct json_object *services_json(struct blackboard *board)
{
	struct json_object *list = json_object_new_array();
	struct burn *burn = &board->burn;
	struct burn_service *service;
	struct burn_service *next;
	int n = board->table ? board->table->n_services : 0;
	int i;

	HASH_ITER (hh, burn->services, service, next)
		json_object_array_add(list,
				      service_json(burn, service,
						   is_in_table(board,
							       service->name)));
	for (i = 0; i < n; i++) {
		const struct service *row = &board->table->services[i];

		if (!burn_find(burn, str_from(row->name)))
			json_object_array_add(list, empty_json(row));
	}
	return list;
}

struct json_object *burn_json(struct blackboard *board)
{
	struct json_object *root = json_object_new_object();
	struct burn *burn = &board->burn;
	int64_t age = clock_now(burn->clock) - burn->started_at;

	json_value_add_text(root, "instance", board->settings->instance);
	json_value_add_text(root, "data_centre", board->settings->data_centre);
	json_value_add_int(root, "table_revision",
			   board->table ? (int64_t)board->table->revision : 0);
	json_value_add_int(root, "observed_s", age / USEC_PER_SEC);
	json_value_add_int(root, "uncounted", (int64_t)burn->uncounted);
	json_object_object_add(root, "windows", windows_json(burn));
	json_object_object_add(root, "services", services_json(board));
	return root;
}

static void add_alarm(struct evbuffer *out, int *n, const char *alarm,
		      const char *service, int objective)
{
	evbuffer_add_printf(out, "%s{\"alarm\":\"%s\",\"service\":",
			    (*n)++ ? "," : "", alarm);
	json_text_add_string(out, str_from(service));
	evbuffer_add_printf(out, ",\"objective\":\"%s\"}",
			    burn_objective_names[objective]);
}

void burn_json_add_alarms(struct evbuffer *out, struct blackboard *board)
{
	struct burn_service *service;
	struct burn_service *next;
	struct sums sums;
	int n = 0;
	int k;

	evbuffer_add(out, "[", 1);
	HASH_ITER (hh, board->burn.services, service, next) {
		sum_service(&board->burn, service, &sums);
		for (k = 0; k < BURN_N_OBJECTIVES; k++) {
			if (burn_is_fast(sums.rates[k], sums.bad[k]))
				add_alarm(out, &n,
					  burn_alarm_names[BURN_ALARM_FAST],
					  service->name, k);
			if (burn_is_slow(sums.rates[k], sums.bad[k]))
				add_alarm(out, &n,
					  burn_alarm_names[BURN_ALARM_SLOW],
					  service->name, k);
		}
	}
	evbuffer_add(out, "]", 1);
}
