#include "table_text.h"

#include <string.h>

#include "mem.h"

const char *const table_sheet_names[] = {
	[TABLE_MARKETS] = "markets",
	[TABLE_SERVICES] = "services",
	[TABLE_SERVERS] = "servers",
	[TABLE_TUNABLES] = "tunables",
};

static void append(struct table_text *text, struct str s)
{
	if (text->len + s.len + 1 > text->cap) {
		text->cap = 2 * (text->len + s.len + 1);
		text->data = mem_realloc(text->data, text->cap);
	}
	memcpy(text->data + text->len, s.data, s.len);
	text->len += s.len;
	text->data[text->len] = '\0';
}

static void append_quoted(struct table_text *text, const char *name)
{
	append(text, STR("\""));
	append(text, str_from(name));
	append(text, STR("\""));
}

void table_text_begin_sheet(struct table_text *text, enum table_sheet sheet,
			    const struct option_spec *columns,
			    struct table_sheet_layout *layout, int n_rows)
{
	int i;

	append(text, sheet ? STR(",\n") : STR("{"));
	append_quoted(text, table_sheet_names[sheet]);
	append(text, STR(":{\"columns\":["));
	for (i = 0; i < layout->n_columns; i++) {
		if (i)
			append(text, STR(","));
		append_quoted(text, columns[layout->columns[i]].name);
	}
	append(text, STR("],\"rows\":["));
	layout->rows = mem_zalloc((size_t)n_rows * sizeof(*layout->rows));
	layout->n_rows = 0;
}

void table_text_add_row(struct table_text *text,
			struct table_sheet_layout *layout, struct str cells)
{
	append(text, layout->n_rows ? STR(",\n") : STR("\n"));
	layout->rows[layout->n_rows].offset = (uint32_t)text->len;
	layout->rows[layout->n_rows].len = (uint32_t)cells.len;
	layout->n_rows++;
	append(text, cells);
}

void table_text_end_sheet(struct table_text *text, enum table_sheet sheet)
{
	append(text, STR("\n]}"));
	if (sheet == TABLE_SHEETS - 1)
		append(text, STR("}\n"));
}
