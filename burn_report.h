/*
 * Burn rates of a whole fleet: adds up the answers of all instances by service
 * and by market. Does no I/O: the caller passes the answers.
 */
#ifndef BURN_REPORT_H
#define BURN_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "burn.h"

struct json_object;

/**
 * struct burn_row - totals of a service, or of all services of a market
 * @name: of the service or market, key of the hash map
 * @target: service only: targets from the newest table of any instance
 * @table_revision: service only: revision of the table that @target is from
 * @in_table: some instance has the service, or one of the market's services,
 *	      in its table
 * @n_services: number of services; 1 for a service
 * @states: of the added counts, by window
 * @counts: sums over instances, by window
 * @allowed: bad requests that the targets allow, by objective and window
 * @top: service only: servers and shards that made requests bad
 * @hh: in burn_report.services or burn_report.markets
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
 * struct burn_instance - an instance that was queried
 * @name: empty if unknown
 * @data_centre: empty if unknown
 * @address: as text
 * @ret: 0, or the error code why it is missing from the report
 * @observed_s: time since the start of the instance, seconds
 * @table_revision: revision of its table
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
 * struct burn_report - totals of the fleet
 * @instances: all instances queried, owned
 * @n_instances: number of @instances
 * @cap_instances: allocated size of @instances
 * @n_answered: number of instances with a valid answer
 * @services: hash map by name, owned; ordered by burn_report_sort()
 * @markets: hash map by name, owned; ordered by burn_report_sort()
 * @min_observed_s: by window: how long the instance that observed the least of
 *		    it ran during the window, seconds
 * @uncounted: requests that instances left out of the counts of services
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
 * burn_report_add() - add the answer of one instance
 * @instance: names as far as known, address, and ret if there is no answer;
 *	      copied
 * @body: answer to GET /v1/burn, NULL if there is none; not kept
 *
 * An instance whose body has no list of services counts as not answered, with
 * ERR_PROTOCOL.
 */
void burn_report_add(struct burn_report *report,
		     const struct burn_instance *instance,
		     struct json_object *body);

/**
 * burn_report_sort() - add up markets and sort rows by burn rate, worst first
 *
 * To be called once, after all answers are added.
 */
void burn_report_sort(struct burn_report *report);

/**
 * burn_report_is_partial() - whether an instance did not answer
 */
static inline bool burn_report_is_partial(const struct burn_report *report)
{
	return report->n_answered < report->n_instances;
}

/**
 * burn_row_rate() - burn rate of a row, see burn_rate()
 */
double burn_row_rate(const struct burn_row *row, enum burn_objective objective,
		     enum burn_window window);

/**
 * burn_row_budget_left() - remaining part of the row's budget of 3 days
 *
 * Return: as burn_budget_left(); 1 without requests.
 */
double burn_row_budget_left(const struct burn_row *row,
			    enum burn_objective objective);

/**
 * burn_row_alarm() - name of the alarm that the row raises, or NULL
 */
const char *burn_row_alarm(const struct burn_row *row,
			   enum burn_objective objective);

/**
 * burn_row_is_empty() - whether no instance had a request for the row
 */
bool burn_row_is_empty(const struct burn_row *row);

#endif
