#include "sheets.h"

#include <stdio.h>
#include <stdlib.h>

#include "mem.h"

#define SERVERS_A_SERVICE 10

void table_gen_init(struct sheets *sheets, int n)
{
	int i;

	*sheets = (struct sheets){.n = n, .lease_ms = 2000};
	sheets->slots = mem_zalloc((size_t)n * sizeof(int));
	for (i = 0; i < n; i++)
		sheets->slots[i] = 2;
}

void table_gen_finish(struct sheets *sheets)
{
	free(sheets->slots);
}

static int n_services(const struct sheets *sheets)
{
	return sheets->n / SERVERS_A_SERVICE + 1;
}

static void put_services(const struct sheets *sheets, FILE *out)
{
	int i;

	fputs("\"markets\":{\"columns\":[\"name\",\"region\"],\"rows\":["
	      "[\"be\",\"belgium\"]]},\n"
	      "\"services\":{\"columns\":[\"name\",\"market\",\"mode\","
	      "\"deadline_ms\",\"min_coverage\"],\"rows\":[\n",
	      out);
	for (i = 0; i < n_services(sheets); i++)
		fprintf(out, "%s[\"desk-%05d\",\"be\",\"coverage\",800,0.90]\n",
			i ? "," : "", i);
	fputs("]},\n", out);
}

static void put_server(const struct sheets *sheets, int i, bool first,
		       FILE *out)
{
	if (!first)
		fputc(',', out);
	if (sheets->swapped)
		fprintf(out,
			"[%d,25,\"server-%05d\",\"10.0.%d.%d:8000\","
			"\"be%d\",\"desk-%05d\"] // row %d\n",
			sheets->slots[i], i, i / 250, i % 250, i % 15,
			i / SERVERS_A_SERVICE, i);
	else
		fprintf(out,
			"[\"server-%05d\", \"desk-%05d\", \"be%d\", "
			"\"10.0.%d.%d:8000\", %d, 25]\n",
			i, i / SERVERS_A_SERVICE, i % 15, i / 250, i % 250,
			sheets->slots[i]);
}

static void put_servers(const struct sheets *sheets, FILE *out)
{
	bool first = true;
	int i;

	fprintf(out, "\"servers\":{\"columns\":[%s],\"rows\":[\n",
		sheets->swapped
			? "\"slots\",\"connections\",\"name\",\"address\","
			  "\"data_centre\",\"service\""
			: "\"name\",\"service\",\"data_centre\",\"address\","
			  "\"slots\",\"connections\"");
	for (i = 0; i < sheets->n; i++) {
		int row = sheets->reversed ? sheets->n - 1 - i : i;

		if (!sheets->slots[row])
			continue;
		put_server(sheets, row, first, out);
		first = false;
	}
	fputs("]}", out);
}

char *table_gen_text(const struct sheets *sheets, size_t *len)
{
	char *text;
	FILE *out = open_memstream(&text, len);

	fputs("// made up\n{", out);
	put_services(sheets, out);
	put_servers(sheets, out);
	if (sheets->lease_ms)
		fprintf(out,
			",\n\"tunables\":{\"columns\":[\"name\",\"value\"],"
			"\"rows\":[[\"probe_period_ms\",500],"
			"[\"lease_ms\",%d]]}",
			sheets->lease_ms);
	fputs("}\n", out);
	fclose(out);
	return text;
}
