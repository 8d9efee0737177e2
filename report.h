/* Formats the burn report of a fleet as text, HTML or JSON. */
#ifndef REPORT_H
#define REPORT_H

#include <stdio.h>

#include "burn_report.h"

struct json_object;

/* Size of the buffers that the functions below write to. */
#define REPORT_FIELD_SIZE 24

/**
 * report_text() - print the report as tables for terminals
 */
void report_text(const struct burn_report *report, FILE *out);

/**
 * report_html() - write the report as a page without external resources
 */
void report_html(const struct burn_report *report, FILE *out);

/**
 * report_json() - the report as JSON
 *
 * Return: to be released by json_object_put().
 */
struct json_object *report_json(const struct burn_report *report);

/**
 * report_burn_rate() - format a burn rate
 * @out: of REPORT_FIELD_SIZE: "-" without a request, "rolled" if all were
 *	 before the window, "no budget" if the rate is infinite, else the rate;
 *	 with a "*" for a short window
 */
void report_burn_rate(const struct burn_row *row, enum burn_objective objective,
		      enum burn_window window, char *out);

/**
 * report_budget_left() - format the remaining budget as a percentage
 * @out: of REPORT_FIELD_SIZE: "-" without a request, "none" if the target
 *	 allows no bad request and there was one; with a "*" for a short window
 */
void report_budget_left(const struct burn_row *row,
			enum burn_objective objective, char *out);

/**
 * report_target() - format a service's target for an objective
 * @out: of REPORT_FIELD_SIZE
 */
void report_target(const struct burn_row *row, enum burn_objective objective,
		   char *out);

/**
 * report_duration() - format seconds as "45s", "12m", "3h" or "2d"
 * @out: of REPORT_FIELD_SIZE
 */
void report_duration(int64_t seconds, char *out);

/**
 * report_reason() - why requests failed at an entry of burn_row.top
 *
 * Return: the name of the error, or "slow".
 */
const char *report_reason(const struct top_k_entry *entry);

#endif
