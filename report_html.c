#include "report.h"

#include <inttypes.h>
#include <math.h>
#include <string.h>

#include "error.h"

/* Bars are logarithmic, from a rate of 0.1 to one of 100, in pixels. */
#define RATE_LEAST 0.1
#define RATE_MOST 100.0
#define BAR_WIDTH 300
#define BAR_HEIGHT 12
#define LABEL_WIDTH 34
#define VALUE_WIDTH 80
#define TOP_SHOWN 5

static const char style[] =
	"body{font:14px sans-serif;margin:2em;color:#222;background:#fff}\n"
	"table{border-collapse:collapse}\n"
	"td,th{border-bottom:1px solid #ccc;padding:.4em .8em;text-align:left;"
	"vertical-align:top}\n"
	".warn{background:#fde8d8;border:1px solid #c40;padding:.6em}\n"
	".alarm{color:#b00;font-weight:bold}\n"
	".note{color:#555}\n"
	"svg text{font:11px sans-serif}\n";

static void put_text(const char *text, FILE *out)
{
	for (; *text; text++) {
		switch (*text) {
		case '<':
			fputs("&lt;", out);
			break;
		case '>':
			fputs("&gt;", out);
			break;
		case '&':
			fputs("&amp;", out);
			break;
		case '"':
			fputs("&quot;", out);
			break;
		default:
			fputc(*text, out);
		}
	}
}

static double bar_length(double rate)
{
	if (rate <= RATE_LEAST)
		return 0;
	if (rate >= RATE_MOST)
		return BAR_WIDTH;
	return BAR_WIDTH * log10(rate / RATE_LEAST) /
	       log10(RATE_MOST / RATE_LEAST);
}

static const char *bar_colour(double rate)
{
	if (rate > BURN_FAST_RATE)
		return "#c0392b";
	return rate > BURN_SLOW_RATE ? "#e08e0b" : "#3a8f5c";
}

static void put_threshold(double rate, FILE *out)
{
	double x = LABEL_WIDTH + bar_length(rate);

	fprintf(out,
		"<line x1=\"%.1f\" y1=\"0\" x2=\"%.1f\" y2=\"%d\" "
		"stroke=\"#888\" stroke-dasharray=\"2,2\"/>",
		x, x, BURN_N_WINDOWS * (BAR_HEIGHT + 2));
}

static void put_bar(const struct burn_row *row, enum burn_objective objective,
		    enum burn_window window, FILE *out)
{
	double rate = burn_row_rate(row, objective, window);
	int y = window * (BAR_HEIGHT + 2);
	char text[REPORT_RATE_SIZE];

	report_burn_rate(row, objective, window, text);
	fprintf(out, "<text x=\"0\" y=\"%d\">%s</text>", y + BAR_HEIGHT - 2,
		burn_window_names[window]);
	fprintf(out,
		"<rect x=\"%d\" y=\"%d\" width=\"%.1f\" height=\"%d\" "
		"fill=\"%s\"/>",
		LABEL_WIDTH, y, bar_length(rate), BAR_HEIGHT, bar_colour(rate));
	fprintf(out, "<text x=\"%d\" y=\"%d\">%s</text>",
		LABEL_WIDTH + BAR_WIDTH + 6, y + BAR_HEIGHT - 2, text);
}

static void put_chart(const struct burn_row *row, enum burn_objective objective,
		      FILE *out)
{
	int i;

	fprintf(out,
		"<svg width=\"%d\" height=\"%d\" role=\"img\" "
		"aria-label=\"%s burn by window\">",
		LABEL_WIDTH + BAR_WIDTH + VALUE_WIDTH,
		BURN_N_WINDOWS * (BAR_HEIGHT + 2),
		burn_objective_names[objective]);
	for (i = 0; i < BURN_N_WINDOWS; i++)
		put_bar(row, objective, i, out);
	put_threshold(BURN_SLOW_RATE, out);
	put_threshold(BURN_FAST_RATE, out);
	fputs("</svg>", out);
}

static void put_top(const char *what, const struct top_k *top, FILE *out)
{
	int i;

	if (!top->n)
		return;
	fprintf(out, "<div>%s: ", what);
	for (i = 0; i < top->n && i < TOP_SHOWN; i++) {
		fputs(i ? ", " : "", out);
		put_text(top->entries[i].key, out);
		fprintf(out, " %" PRIu64 "&#215; %s", top->entries[i].count,
			report_reason(&top->entries[i]));
	}
	if (top->n > TOP_SHOWN)
		fprintf(out, ", %d more", top->n - TOP_SHOWN);
	fputs("</div>", out);
}

static void put_objective(const struct burn_row *row, const char *target,
			  enum burn_objective objective, FILE *out)
{
	const char *alarm = burn_row_alarm(row, objective);
	char left[REPORT_RATE_SIZE];

	report_budget_left(row, objective, left);
	fprintf(out, "<td>%s<br/><span class=\"note\">%s</span></td><td>",
		burn_objective_names[objective], target);
	put_chart(row, objective, out);
	fprintf(out, "</td><td>%s</td><td class=\"alarm\">%s</td></tr>\n", left,
		alarm ? alarm : "");
}

static void put_heading(const char *title, const char *name, FILE *out)
{
	fprintf(out,
		"<h2>%s</h2>\n<table><tr><th>%s</th><th>Objective</th>"
		"<th>Burn rate</th><th>Budget left</th><th>Alarm</th></tr>\n",
		title, name);
}

static void put_markets(const struct burn_report *report, FILE *out)
{
	const struct burn_row *row;
	int k;

	put_heading("Markets", "Market", out);
	for (row = report->markets; row; row = row->hh.next) {
		for (k = 0; k < BURN_N_OBJECTIVES; k++) {
			fputs("<tr><td>", out);
			if (!k) {
				put_text(row->name, out);
				fprintf(out,
					"<br/><span class=\"note\">services: %d"
					"</span>",
					row->n_services);
			}
			fputs("</td>", out);
			put_objective(row, "", k, out);
		}
	}
	fputs("</table>\n", out);
}

static void put_service(const struct burn_row *row, FILE *out)
{
	char target[REPORT_RATE_SIZE];
	int k;

	for (k = 0; k < BURN_N_OBJECTIVES; k++) {
		fputs("<tr><td>", out);
		if (!k) {
			put_text(row->name, out);
			if (!row->in_table)
				fputs("<div class=\"note\">not in the table "
				      "any more</div>",
				      out);
		} else {
			put_top("servers", &row->top[BURN_SERVER], out);
			put_top("shards", &row->top[BURN_SHARD], out);
		}
		fputs("</td>", out);
		report_target(row, k, target);
		put_objective(row, target, k, out);
	}
}

static void put_services(const struct burn_report *report, FILE *out)
{
	const struct burn_row *row;
	int n_empty = 0;

	put_heading("Services", "Service", out);
	for (row = report->services; row; row = row->hh.next) {
		if (burn_row_is_empty(row))
			n_empty++;
		else
			put_service(row, out);
	}
	fputs("</table>\n", out);
	if (n_empty)
		fprintf(out, "<p>Services without any request: %d.</p>\n",
			n_empty);
}

static void put_missing(const struct burn_report *report, FILE *out)
{
	int i;

	fprintf(out, "<p>%d of %d instances answered.</p>\n",
		report->n_answered, report->n_instances);
	if (!burn_report_is_partial(report))
		return;
	fputs("<div class=\"warn\">PARTIAL: the requests of these are not "
	      "counted:<ul>",
	      out);
	for (i = 0; i < report->n_instances; i++) {
		const struct burn_instance *instance = &report->instances[i];

		if (!instance->ret)
			continue;
		fputs("<li>", out);
		put_text(*instance->name ? instance->name : "(unnamed)", out);
		fprintf(out, " %s: %s [%s]</li>", instance->address,
			error_text(instance->ret), error_name(instance->ret));
	}
	fputs("</ul></div>\n", out);
}

static void put_windows(const struct burn_report *report, FILE *out)
{
	char seen[REPORT_RATE_SIZE];
	int i;

	fputs("<p class=\"note\">A rate of 1 uses up the budget in the window "
	      "it is for; lines mark 1 and 14.4. \"-\": no request yet; "
	      "\"rolled\": all requests were before the window. Budget left is "
	      "of the last 3 days.",
	      out);
	for (i = 0; i < BURN_N_WINDOWS; i++) {
		if (report->min_observed_s[i] == burn_window_seconds[i])
			continue;
		report_duration(report->min_observed_s[i], seen);
		fprintf(out,
			" * The window %s is short: the youngest instance has "
			"seen %s.",
			burn_window_names[i], seen);
	}
	if (report->uncounted)
		fprintf(out, " %" PRIu64 " requests are in no service's count.",
			report->uncounted);
	fputs("</p>\n", out);
}

void report_html(const struct burn_report *report, FILE *out)
{
	fprintf(out,
		"<!DOCTYPE html>\n<html lang=\"en\"><head>"
		"<meta charset=\"utf-8\"/><title>Service-level burn</title>"
		"<style>%s</style></head><body>\n<h1>Service-level burn</h1>\n",
		style);
	put_missing(report, out);
	if (report->n_answered) {
		put_windows(report, out);
		put_markets(report, out);
		put_services(report, out);
	}
	fputs("</body></html>\n", out);
}
