#include "table_gen.h"

#include <stdio.h>
#include <stdlib.h>

#include "mem.h"

#define SERVERS_PER_SERVICE 10

void table_gen_init(struct table_gen *gen, int n)
{
	int i;

	*gen = (struct table_gen){.n_servers = n, .lease_ms = 2000};
	gen->slots = mem_zalloc((size_t)n * sizeof(int));
	for (i = 0; i < n; i++)
		gen->slots[i] = 2;
}

void table_gen_finish(struct table_gen *gen)
{
	free(gen->slots);
}

static int count_services(const struct table_gen *gen)
{
	return gen->n_servers / SERVERS_PER_SERVICE + 1;
}

static void write_services(const struct table_gen *gen, FILE *out)
{
	int i;

	fputs("\"markets\":{\"columns\":[\"name\",\"region\"],\"rows\":["
	      "[\"be\",\"belgium\"]]},\n"
	      "\"services\":{\"columns\":[\"name\",\"market\",\"mode\","
	      "\"deadline_ms\",\"min_coverage\"],\"rows\":[\n",
	      out);
	for (i = 0; i < count_services(gen); i++)
		fprintf(out, "%s[\"desk-%05d\",\"be\",\"coverage\",800,0.90]\n",
			i ? "," : "", i);
	fputs("]},\n", out);
}

static void write_server(const struct table_gen *gen, int i, bool first,
			 FILE *out)
{
	if (!first)
		fputc(',', out);
	if (gen->columns_reordered)
		fprintf(out,
			"[%d,25,\"server-%05d\",\"10.0.%d.%d:8000\","
			"\"be%d\",\"desk-%05d\"] // row %d\n",
			gen->slots[i], i, i / 250, i % 250, i % 15,
			i / SERVERS_PER_SERVICE, i);
	else
		fprintf(out,
			"[\"server-%05d\", \"desk-%05d\", \"be%d\", "
			"\"10.0.%d.%d:8000\", %d, 25]\n",
			i, i / SERVERS_PER_SERVICE, i % 15, i / 250, i % 250,
			gen->slots[i]);
}

static void write_servers(const struct table_gen *gen, FILE *out)
{
	bool first = true;
	int i;

	fprintf(out, "\"servers\":{\"columns\":[%s],\"rows\":[\n",
		gen->columns_reordered
			? "\"slots\",\"connections\",\"name\",\"address\","
			  "\"data_centre\",\"service\""
			: "\"name\",\"service\",\"data_centre\",\"address\","
			  "\"slots\",\"connections\"");
	for (i = 0; i < gen->n_servers; i++) {
		int row = gen->rows_reversed ? gen->n_servers - 1 - i : i;

		if (!gen->slots[row])
			continue;
		write_server(gen, row, first, out);
		first = false;
	}
	fputs("]}", out);
}

char *table_gen_text(const struct table_gen *gen, size_t *len)
{
	char *text;
	FILE *out = open_memstream(&text, len);

	fputs("// made up\n{", out);
	write_services(gen, out);
	write_servers(gen, out);
	if (gen->lease_ms)
		fprintf(out,
			",\n\"tunables\":{\"columns\":[\"name\",\"value\"],"
			"\"rows\":[[\"probe_period_ms\",500],"
			"[\"lease_ms\",%d]]}",
			gen->lease_ms);
	fputs("}\n", out);
	fclose(out);
	return text;
}
