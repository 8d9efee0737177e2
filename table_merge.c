#include "table.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"
#include "table_private.h"
#include "table_text.h"

/* Merges the rows of an old table with changes, both sorted by name. */
struct merge {
	const struct table *old;
	enum table_sheet sheet;
	const struct table_change *changes;
	int n_changes;
	int row;
	int change;
};

struct merge_step {
	int old_row;			   /* -1 if the row is new */
	const struct table_change *change; /* NULL if the row is unchanged */
};

static struct merge merge_init(const struct table *old, enum table_sheet sheet,
			       const struct table_change *changes, int n)
{
	struct merge merge = {.old = old, .sheet = sheet};
	int i = 0;

	while (i < n && changes[i].sheet < sheet)
		i++;
	merge.changes = changes + i;
	while (i + merge.n_changes < n &&
	       changes[i + merge.n_changes].sheet == sheet)
		merge.n_changes++;
	return merge;
}

static bool merge_next(struct merge *merge, struct merge_step *out)
{
	bool more = merge->row < merge->old->sheets[merge->sheet].n_rows;
	int cmp;

	out->old_row = -1;
	out->change = NULL;
	if (!more && merge->change == merge->n_changes)
		return false;
	if (!more)
		cmp = 1;
	else if (merge->change == merge->n_changes)
		cmp = -1;
	else
		cmp = strcmp(table_row_name(merge->old, merge->sheet,
					    merge->row),
			     merge->changes[merge->change].name);
	if (cmp <= 0)
		out->old_row = merge->row++;
	if (cmp >= 0)
		out->change = &merge->changes[merge->change++];
	return true;
}

static void copy_row(const struct sheet *sheet, void *dst, const void *src)
{
	int i;

	memcpy(dst, src, sheet->row_size);
	for (i = 0; i < sheet->n_columns; i++) {
		char **slot = (char **)((char *)dst + sheet->columns[i].offset);

		if (sheet->columns[i].type == OPTION_STRING && *slot)
			*slot = mem_dup(*slot);
	}
}

static int read_changed_row(const struct sheet *sheet,
			    const struct table_sheet_layout *layout,
			    const struct table_change *change, int row,
			    void *base, struct error *err)
{
	struct json_object *cells = json_tokener_parse(change->cells);
	struct header header = {.n = layout->n_columns};
	int ret;

	memcpy(header.option, layout->columns, sizeof(header.option));
	option_set_defaults(sheet->columns, sheet->n_columns, base);
	ret = table_read_row(sheet, &header, cells, row, base, err);
	if (!ret && strcmp(table_name_of(base), change->name))
		ret = error_set(err, ERR_SYNTAX, sheet->name, change->name,
				"the name in the cells");
	json_object_put(cells);
	return ret;
}

/* Upper bound of the number of rows in the merged sheet. */
static int merge_rows_max(const struct merge *merge)
{
	return merge->old->sheets[merge->sheet].n_rows + merge->n_changes;
}

static void begin_merged_sheet(struct table *table, const struct merge *merge,
			       const struct sheet *sheet,
			       struct table_text *text)
{
	const struct table_sheet_layout *from =
		&merge->old->sheets[merge->sheet];
	struct table_sheet_layout *layout = &table->sheets[merge->sheet];

	layout->n_columns = from->n_columns;
	memcpy(layout->columns, from->columns, sizeof(layout->columns));
	table_text_begin_sheet(text, merge->sheet, sheet->columns, layout,
			       merge_rows_max(merge));
}

static int merge_sheet(struct table *table, struct merge *merge,
		       struct sheet *sheet, const void *old_rows,
		       struct table_text *text, struct error *err)
{
	struct table_sheet_layout *layout = &table->sheets[merge->sheet];
	struct merge_step next;

	begin_merged_sheet(table, merge, sheet, text);
	sheet->rows =
		mem_zalloc((size_t)merge_rows_max(merge) * sheet->row_size);
	while (merge_next(merge, &next)) {
		char *base =
			sheet->rows + (size_t)sheet->n_rows * sheet->row_size;
		int ret;

		if (!next.change) {
			copy_row(sheet, base,
				 (const char *)old_rows +
					 (size_t)next.old_row *
						 sheet->row_size);
			sheet->n_rows++;
			table_text_add_row(text, layout,
					   table_row_cells(merge->old,
							   merge->sheet,
							   next.old_row));
			continue;
		}
		if (!next.change->cells)
			continue;
		sheet->n_rows++;
		ret = read_changed_row(sheet, layout, next.change,
				       sheet->n_rows - 1, base, err);
		if (ret)
			return ret;
		table_text_add_row(text, layout, str_from(next.change->cells));
	}
	table_text_end_sheet(text, merge->sheet);
	return 0;
}

static int set_tunable(struct table *table, struct str cells, int row,
		       struct error *err)
{
	struct json_object *value = json_tokener_parse(cells.data);
	int option = table_read_tunable(&table->tunables, value, row, err);

	json_object_put(value);
	if (option < 0)
		return option;
	table->tunable_ids[row] = option;
	return 0;
}

static int merge_tunables(struct table *table, struct merge *merge,
			  const struct sheet *sheet, struct table_text *text,
			  struct error *err)
{
	struct table_sheet_layout *layout = &table->sheets[merge->sheet];
	struct merge_step next;

	begin_merged_sheet(table, merge, sheet, text);
	table->tunable_ids =
		mem_zalloc((size_t)merge_rows_max(merge) * sizeof(int));
	while (merge_next(merge, &next)) {
		struct str cells;
		char *copy;
		int ret;

		if (next.change && !next.change->cells)
			continue;
		cells = next.change ? str_from(next.change->cells)
				    : table_row_cells(merge->old, merge->sheet,
						      next.old_row);
		copy = mem_dup_len(cells.data, cells.len);
		ret = set_tunable(table, str_from(copy), layout->n_rows, err);
		free(copy);
		if (ret)
			return ret;
		table_text_add_row(text, layout, cells);
	}
	table_text_end_sheet(text, merge->sheet);
	return 0;
}

static const void *sheet_rows(const struct table *table, enum table_sheet sheet)
{
	switch (sheet) {
	case TABLE_MARKETS:
		return table->markets;
	case TABLE_SERVICES:
		return table->services;
	case TABLE_SERVERS:
		return table->servers;
	default:
		return NULL;
	}
}

/* The copied rows still point to lists that the old table owns. */
static void clear_server_lists(struct sheet *sheet)
{
	struct service *services = (struct service *)sheet->rows;
	int i;

	for (i = 0; i < sheet->n_rows; i++) {
		services[i].servers = NULL;
		services[i].n_servers = 0;
	}
}

static int merge_sheets(struct table *table, const struct table *old,
			struct sheet *sheets,
			const struct table_change *changes, int n,
			struct table_text *text, struct error *err)
{
	struct merge merge;
	int ret = 0;
	int i;

	for (i = 0; i < TABLE_TUNABLES && !ret; i++) {
		merge = merge_init(old, i, changes, n);
		ret = merge_sheet(table, &merge, &sheets[i], sheet_rows(old, i),
				  text, err);
	}
	clear_server_lists(&sheets[TABLE_SERVICES]);
	table_move_rows(table, sheets);
	if (ret)
		return ret;
	merge = merge_init(old, TABLE_TUNABLES, changes, n);
	ret = merge_tunables(table, &merge, &sheets[TABLE_TUNABLES], text, err);
	if (!ret)
		ret = table_resolve_references(table, sheets, err);
	return ret;
}

int table_init_from_changes(struct table *table, const struct table *old,
			    const struct table_change *changes, int n,
			    uint64_t revision, struct error *err)
{
	struct table_text text = {.cap = old->len, .data = NULL};
	struct sheet sheets[TABLE_SHEETS];
	int ret;

	table_init_empty(table, sheets, revision);
	text.data = mem_zalloc(text.cap);
	ret = merge_sheets(table, old, sheets, changes, n, &text, err);
	table_move_text(table, &text);
	if (ret)
		table_finish(table);
	return ret;
}
