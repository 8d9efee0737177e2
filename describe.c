#include "describe.h"

#include "table.h"

static const char *const type_names[] = {
	[OPTION_STRING] = "text",     [OPTION_INT] = "whole number",
	[OPTION_DOUBLE] = "number",   [OPTION_ENUM] = "name",
	[OPTION_ADDRESS] = "IP:PORT",
};

static void print_names(const struct option_spec *option, FILE *out)
{
	int i;

	for (i = 0; option->names[i]; i++)
		fprintf(out, "%s`%s`", i ? ", " : "", option->names[i]);
}

static void print_bounds(const struct option_spec *option, FILE *out)
{
	switch (option->type) {
	case OPTION_STRING:
		fprintf(out, "%.0f to %.0f characters", option->min,
			option->max);
		break;
	case OPTION_INT:
	case OPTION_DOUBLE:
		fprintf(out, "%.15g to %.15g", option->min, option->max);
		break;
	case OPTION_ENUM:
		print_names(option, out);
		break;
	case OPTION_ADDRESS:
		break;
	}
}

static void print_default(const struct option_spec *option, FILE *out)
{
	if (option->required) {
		fputs("required", out);
		return;
	}
	switch (option->type) {
	case OPTION_STRING:
		fprintf(out, "`\"%s\"`",
			option->def_text ? option->def_text : "");
		break;
	case OPTION_INT:
	case OPTION_DOUBLE:
		fprintf(out, "%.15g", option->def);
		break;
	case OPTION_ENUM:
		fprintf(out, "`%s`", option->names[(int)option->def]);
		break;
	case OPTION_ADDRESS:
		break;
	}
}

static void print_option(const struct option_spec *option, FILE *out)
{
	fprintf(out, "| `%s` | %s | %s | ", option->name,
		type_names[option->type], option->unit ? option->unit : "");
	print_bounds(option, out);
	fputs(" | ", out);
	print_default(option, out);
	fprintf(out, " | %s |\n", option->help);
}

static void print_sheet(const char *title, const char *first,
			const struct option_spec *options, int n, FILE *out)
{
	int i;

	fprintf(out,
		"\n### %s\n\n"
		"| %s | type | unit | bounds | default | effect |\n"
		"| --- | --- | --- | --- | --- | --- |\n",
		title, first);
	for (i = 0; i < n; i++)
		print_option(&options[i], out);
}

void describe_table_markdown(FILE *out)
{
	print_sheet("Sheet markets", "column", market_columns, n_market_columns,
		    out);
	print_sheet("Sheet services", "column", service_columns,
		    n_service_columns, out);
	print_sheet("Sheet servers", "column", server_columns, n_server_columns,
		    out);
	print_sheet("Sheet tunables", "row", tunable_rows, n_tunable_rows, out);
}

static void print_man_option(const struct option_spec *option, FILE *out)
{
	fprintf(out, "*%s* (%s", option->name, type_names[option->type]);
	if (option->unit)
		fprintf(out, ", %s", option->unit);
	fputs("; ", out);
	print_bounds(option, out);
	fputs(option->required ? "; " : "; default ", out);
	print_default(option, out);
	fprintf(out, ")\n\t%s.\n\n", option->help);
}

static void print_man_sheet(const char *title,
			    const struct option_spec *options, int n, FILE *out)
{
	int i;

	fprintf(out, "# %s\n\n", title);
	for (i = 0; i < n; i++)
		print_man_option(&options[i], out);
}

void describe_table_man(FILE *out)
{
	fputs("garnetreach-table(5)\n\n# NAME\n\n"
	      "garnetreach-table - what operators change\n\n"
	      "# DESCRIPTION\n\n"
	      "JSON with comments: an object of the sheets _markets_, "
	      "_services_, _servers_ and _tunables_, each an object of "
	      "_columns_ (a list of names) and _rows_ (a list of lists of "
	      "cells). Columns may stand in any order; those left out have "
	      "their default. The sheet _tunables_ has the columns _name_ and "
	      "_value_, and may be left out. A table is taken whole or not at "
	      "all; *garnetreach check* names the cell that is wrong.\n\n",
	      out);
	print_man_sheet("MARKETS", market_columns, n_market_columns, out);
	print_man_sheet("SERVICES", service_columns, n_service_columns, out);
	print_man_sheet("SERVERS", server_columns, n_server_columns, out);
	print_man_sheet("TUNABLES", tunable_rows, n_tunable_rows, out);
	fputs("# SEE ALSO\n\n*garnetreach*(1), *garnetreach-settings*(5)\n",
	      out);
}
