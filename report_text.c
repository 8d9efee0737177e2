#include "report.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "error.h"

#define TOP_SHOWN 3

void report_burn_rate(const struct burn_row *row, enum burn_objective objective,
		      enum burn_window window, char *out)
{
	double rate = burn_row_rate(row, objective, window);
	const char *mark = row->states[window] == BURN_SHORT ? "*" : "";

	if (row->states[window] == BURN_EMPTY)
		snprintf(out, REPORT_RATE_SIZE, "-");
	else if (row->states[window] == BURN_ROLLED_OVER)
		snprintf(out, REPORT_RATE_SIZE, "rolled");
	else if (isinf(rate))
		snprintf(out, REPORT_RATE_SIZE, "no budget%s", mark);
	else
		snprintf(out, REPORT_RATE_SIZE, "%.2f%s", rate, mark);
}

void report_budget_left(const struct burn_row *row,
			enum burn_objective objective, char *out)
{
	double left = burn_row_budget_left(row, objective);
	const char *mark = row->states[BURN_3D] == BURN_SHORT ? "*" : "";

	if (burn_row_is_empty(row))
		snprintf(out, REPORT_RATE_SIZE, "-");
	else if (isinf(left))
		snprintf(out, REPORT_RATE_SIZE, "none%s", mark);
	else
		snprintf(out, REPORT_RATE_SIZE, "%.0f%%%s", left * 100, mark);
}

void report_target(const struct burn_row *row, enum burn_objective objective,
		   char *out)
{
	double percent = burn_required_ratio(&row->target, objective) * 100;

	if (objective == BURN_LATENCY)
		snprintf(out, REPORT_RATE_SIZE, "%g%% in %" PRId64 "ms",
			 percent, row->target.latency_ms);
	else
		snprintf(out, REPORT_RATE_SIZE, "%g%% whole", percent);
}

void report_duration(int64_t seconds, char *out)
{
	static const struct {
		int64_t seconds;
		char unit;
	} units[] = {{86400, 'd'}, {3600, 'h'}, {60, 'm'}, {1, 's'}};
	size_t i = 0;

	while (i < 3 && seconds < 2 * units[i].seconds)
		i++;
	snprintf(out, REPORT_RATE_SIZE, "%" PRId64 "%c",
		 seconds / units[i].seconds, units[i].unit);
}

const char *report_reason(const struct top_k_entry *entry)
{
	return entry->code ? error_name(entry->code) : "slow";
}

static void print_missing(const struct burn_report *report, FILE *out)
{
	int i;

	fprintf(out, "service-level burn: %d of %d instances answered\n",
		report->n_answered, report->n_instances);
	if (!burn_report_is_partial(report))
		return;
	fprintf(out, "PARTIAL: the requests of these are not counted:\n");
	for (i = 0; i < report->n_instances; i++) {
		const struct burn_instance *instance = &report->instances[i];

		if (instance->ret)
			fprintf(out, "  %s %s: %s [%s]\n",
				*instance->name ? instance->name : "(unnamed)",
				instance->address, error_text(instance->ret),
				error_name(instance->ret));
	}
}

static void print_windows(const struct burn_report *report, FILE *out)
{
	char seen[REPORT_RATE_SIZE];
	int n = 0;
	int i;

	for (i = 0; i < BURN_N_WINDOWS; i++) {
		if (report->min_observed_s[i] == burn_window_seconds[i])
			continue;
		report_duration(report->min_observed_s[i], seen);
		fprintf(out, "%s%s (%s)",
			n++ ? ", " : "* short windows: ", burn_window_names[i],
			seen);
	}
	if (n)
		fprintf(out, "; the youngest instance has seen only this\n");
	if (report->uncounted)
		fprintf(out, "%" PRIu64 " requests are in no service's count\n",
			report->uncounted);
}

static void print_heading(const char *name, const char *target, FILE *out)
{
	int i;

	fprintf(out, "\n%-20s %-9s %-16s", name, "OBJECTIVE", target);
	for (i = 0; i < BURN_N_WINDOWS; i++)
		fprintf(out, " %9s", burn_window_names[i]);
	fprintf(out, " %8s  ALARM\n", "LEFT");
}

static void print_objective(const struct burn_row *row, const char *name,
			    const char *target, enum burn_objective objective,
			    FILE *out)
{
	const char *alarm = burn_row_alarm(row, objective);
	char text[REPORT_RATE_SIZE];
	int i;

	fprintf(out, "%-20s %-9s %-16s", name, burn_objective_names[objective],
		target);
	for (i = 0; i < BURN_N_WINDOWS; i++) {
		report_burn_rate(row, objective, i, text);
		fprintf(out, " %9s", text);
	}
	report_budget_left(row, objective, text);
	fprintf(out, " %8s  %s\n", text, alarm ? alarm : "");
}

static void print_top(const char *what, const struct top_k *top, FILE *out)
{
	int i;

	if (!top->n)
		return;
	fprintf(out, "    %s:", what);
	for (i = 0; i < top->n && i < TOP_SHOWN; i++)
		fprintf(out, "%s %s %" PRIu64 "x %s", i ? "," : "",
			top->entries[i].key, top->entries[i].count,
			report_reason(&top->entries[i]));
	if (top->n > TOP_SHOWN)
		fprintf(out, ", %d more", top->n - TOP_SHOWN);
	fprintf(out, "\n");
}

static void print_services(const struct burn_report *report, FILE *out)
{
	const struct burn_row *row;
	char target[REPORT_RATE_SIZE];
	int n_empty = 0;
	int k;

	print_heading("SERVICE", "TARGET", out);
	for (row = report->services; row; row = row->hh.next) {
		if (burn_row_is_empty(row)) {
			n_empty++;
			continue;
		}
		for (k = 0; k < BURN_N_OBJECTIVES; k++) {
			report_target(row, k, target);
			print_objective(row, k ? "" : row->name, target, k,
					out);
		}
		if (!row->in_table)
			fprintf(out, "    not in the table any more\n");
		print_top("servers", &row->top[BURN_SERVER], out);
		print_top("shards", &row->top[BURN_SHARD], out);
	}
	if (n_empty)
		fprintf(out, "services without any request: %d\n", n_empty);
}

static void print_markets(const struct burn_report *report, FILE *out)
{
	const struct burn_row *row;
	char n[REPORT_RATE_SIZE];
	int k;

	print_heading("MARKET", "SERVICES", out);
	for (row = report->markets; row; row = row->hh.next) {
		snprintf(n, sizeof(n), "%d", row->n_services);
		for (k = 0; k < BURN_N_OBJECTIVES; k++)
			print_objective(row, k ? "" : row->name, k ? "" : n, k,
					out);
	}
}

void report_text(const struct burn_report *report, FILE *out)
{
	print_missing(report, out);
	if (!report->n_answered)
		return;
	print_windows(report, out);
	print_markets(report, out);
	print_services(report, out);
	fprintf(out, "\nA rate of 1 uses up the budget in the window it is "
		     "for; '-': no request yet;\n'rolled': all requests were "
		     "before the window. LEFT is of the last 3 days.\n");
}
