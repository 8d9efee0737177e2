/* The report of a fleet's burn, in three forms. */
#ifndef REPORT_H
#define REPORT_H

#include <stdio.h>

#include "burn_report.h"

struct json_object;

/* Rates above are written as this: a budget of nothing was used. */
#define REPORT_RATE_SIZE 24

/**
 * report_text() - a table for terminals
 */
void report_text(const struct burn_report *report, FILE *out);

/**
 * report_html() - a page that opens without the network
 */
void report_html(const struct burn_report *report, FILE *out);

/**
 * report_json() - for programs; to be released by json_object_put()
 */
struct json_object *report_json(const struct burn_report *report);

/**
 * report_burn_rate() - a burn rate with what its window's state says
 * @out: of REPORT_RATE_SIZE: "-" without a request, "rolled" if all were
 *	 before the window, else the rate, with a "*" for a short window
 */
void report_burn_rate(const struct burn_row *row, enum burn_objective objective,
		      enum burn_window window, char *out);

/**
 * report_budget_left() - budget left as a percentage
 * @out: of REPORT_RATE_SIZE
 */
void report_budget_left(const struct burn_row *row,
			enum burn_objective objective, char *out);

/**
 * report_target() - the target of a service in words
 * @out: of REPORT_RATE_SIZE
 */
void report_target(const struct burn_row *row, enum burn_objective objective,
		   char *out);

/**
 * report_duration() - seconds as "45s", "12m", "3h" or "2d"
 * @out: of REPORT_RATE_SIZE
 */
void report_duration(int64_t seconds, char *out);

/**
 * report_reason() - why an entry of burn_row.top is there
 */
const char *report_reason(const struct top_k_entry *entry);

#endif
