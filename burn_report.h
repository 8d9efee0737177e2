/*
 * Burn of a whole fleet: what the instances say, added up by service and
 * market. No sockets here: it is given the instances' answers.
 */
#ifndef BURN_REPORT_H
#define BURN_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "burn.h"

struct json_object;

/**
 * struct burn_row - a service, or all services of a market
 * @target: of a service, as one of the newest tables has it
 * @in_table: of a service: some instance has it in its table
 * @n_services: of a market
 * @states: of the counts added up
 * @allowed: bad requests allowed
 * @top: of a service: servers and shards that made requests bad
 */
struct burn_row {
	char name[BURN_NAME_SIZE];
	struct burn_target target;
	int64_t table_revision;
	bool in_table;
	int n_services;
	enum burn_state states[BURN_N_WINDOWS];
	struct burn_counts counts[BURN_N_WINDOWS];
	double allowed[BURN_N_OBJECTIVES][BURN_N_WINDOWS];
	struct top_k top[BURN_N_CAUSES];
	UT_hash_handle hh;
};

/**
 * struct burn_instance - an instance that was asked
 * @ret: 0, or why it is missing from the report
 */
struct burn_instance {
	char name[BURN_NAME_SIZE];
	char data_centre[BURN_NAME_SIZE];
	char address[ADDRESS_TEXT_SIZE];
	int ret;
	int64_t observed_s;
	int64_t table_revision;
};

/**
 * struct burn_report - the fleet
 * @services: a hash map by name, which keeps an order
 * @markets: likewise
 * @min_observed_s: what the youngest instance has seen of each window, seconds
 * @uncounted: requests that no service's counts hold
 */
struct burn_report {
	struct burn_instance *instances;
	int n_instances;
	int cap_instances;
	int n_answered;
	struct burn_row *services;
	struct burn_row *markets;
	int64_t min_observed_s[BURN_N_WINDOWS];
	uint64_t uncounted;
};

void burn_report_init(struct burn_report *report);
void burn_report_finish(struct burn_report *report);

/**
 * burn_report_add() - add what one instance said
 * @instance: name as far as known, address, and @ret if there is no answer
 * @body: of GET /v1/burn, NULL if there is none
 *
 * A body that is none of ours counts as no answer, ERR_PROTOCOL.
 */
void burn_report_add(struct burn_report *report,
		     const struct burn_instance *instance,
		     struct json_object *body);

/**
 * burn_report_sort() - add up markets and order rows, worst first
 */
void burn_report_sort(struct burn_report *report);

/**
 * burn_report_is_partial() - whether an instance is missing
 */
static inline bool burn_report_is_partial(const struct burn_report *report)
{
	return report->n_answered < report->n_instances;
}

double burn_row_rate(const struct burn_row *row, enum burn_objective objective,
		     enum burn_window window);

/**
 * burn_row_budget_left() - see burn_budget_left(); 1 without requests
 */
double burn_row_budget_left(const struct burn_row *row,
			    enum burn_objective objective);

/**
 * burn_row_alarm() - name of the alarm the row raises, or NULL
 */
const char *burn_row_alarm(const struct burn_row *row,
			   enum burn_objective objective);

/**
 * burn_row_is_empty() - whether no instance had a request for it
 */
bool burn_row_is_empty(const struct burn_row *row);

#endif
