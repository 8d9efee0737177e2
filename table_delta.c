#include "table_delta.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

static void add(struct table_delta *delta, int *cap, enum table_sheet sheet,
		const char *name, struct str cells)
{
	struct table_change *change;

	MEM_GROW(delta->changes, delta->n, *cap);
	change = &delta->changes[delta->n++];
	change->sheet = sheet;
	change->name = mem_dup(name);
	change->cells = NULL;
	if (cells.data)
		change->cells = mem_dup_len(cells.data, cells.len);
	delta->bytes += strlen(name) + cells.len;
}

static bool same_columns(const struct table_lines *a,
			 const struct table_lines *b)
{
	return a->n_columns == b->n_columns &&
	       !memcmp(a->columns, b->columns,
		       (size_t)a->n_columns * sizeof(*a->columns));
}

static int compare_rows(const struct table *from, int i, const struct table *to,
			int k, enum table_sheet sheet)
{
	if (i == from->sheets[sheet].n)
		return 1;
	if (k == to->sheets[sheet].n)
		return -1;
	return strcmp(table_row_name(from, sheet, i),
		      table_row_name(to, sheet, k));
}

static void compare_sheet(struct table_delta *delta, int *cap,
			  const struct table *from, const struct table *to,
			  enum table_sheet sheet)
{
	static const struct str deleted = {NULL, 0};
	int i = 0;
	int k = 0;

	while (i < from->sheets[sheet].n || k < to->sheets[sheet].n) {
		int cmp = compare_rows(from, i, to, k, sheet);

		if (cmp < 0)
			add(delta, cap, sheet, table_row_name(from, sheet, i),
			    deleted);
		else if (cmp > 0 || !str_eq(table_row_cells(from, sheet, i),
					    table_row_cells(to, sheet, k)))
			add(delta, cap, sheet, table_row_name(to, sheet, k),
			    table_row_cells(to, sheet, k));
		if (cmp <= 0)
			i++;
		if (cmp >= 0)
			k++;
	}
}

int table_delta_init(struct table_delta *delta, const struct table *from,
		     const struct table *to)
{
	int cap = 0;
	int i;

	memset(delta, 0, sizeof(*delta));
	delta->base_revision = from->revision;
	delta->base_digest = from->digest;
	delta->revision = to->revision;
	delta->digest = to->digest;
	for (i = 0; i < TABLE_SHEETS; i++) {
		if (!same_columns(&from->sheets[i], &to->sheets[i])) {
			table_delta_finish(delta);
			return ERR_TOO_LARGE;
		}
		compare_sheet(delta, &cap, from, to, i);
	}
	if (delta->bytes <= to->len / 2)
		return 0;
	table_delta_finish(delta);
	return ERR_TOO_LARGE;
}

static int compare_changes(const struct table_change *a,
			   const struct table_change *b)
{
	if (a->sheet != b->sheet)
		return a->sheet < b->sheet ? -1 : 1;
	return strcmp(a->name, b->name);
}

static void add_copy(struct table_delta *delta, int *cap,
		     const struct table_change *change)
{
	struct str cells = {NULL, 0};

	if (change->cells)
		cells = str_from(change->cells);
	add(delta, cap, change->sheet, change->name, cells);
}

int table_delta_join(struct table_delta *out, const struct table_delta *first,
		     const struct table_delta *second)
{
	int cap = 0;
	int i = 0;
	int k = 0;

	memset(out, 0, sizeof(*out));
	if (first->revision != second->base_revision ||
	    first->digest != second->base_digest)
		return ERR_VERSION;
	out->base_revision = first->base_revision;
	out->base_digest = first->base_digest;
	out->revision = second->revision;
	out->digest = second->digest;
	while (i < first->n || k < second->n) {
		int cmp;

		if (i == first->n)
			cmp = 1;
		else if (k == second->n)
			cmp = -1;
		else
			cmp = compare_changes(&first->changes[i],
					      &second->changes[k]);
		add_copy(out, &cap,
			 cmp < 0 ? &first->changes[i] : &second->changes[k]);
		if (cmp <= 0)
			i++;
		if (cmp >= 0)
			k++;
	}
	return 0;
}

int table_delta_apply(const struct table_delta *delta, struct table *table,
		      const struct table *from, struct error *err)
{
	int ret;

	if (delta->base_revision != from->revision ||
	    delta->base_digest != from->digest)
		return ERR_VERSION;
	ret = table_init_from_changes(table, from, delta->changes, delta->n,
				      delta->revision, err);
	if (ret || table->digest == delta->digest)
		return ret;
	table_finish(table);
	return error_set(err, ERR_PROTOCOL, "table update", NULL,
			 "the digest announced");
}

static int find_sheet(const char *name)
{
	int i;

	for (i = 0; i < TABLE_SHEETS; i++) {
		if (!strcmp(table_sheet_names[i], name))
			return i;
	}
	return ERR_PROTOCOL;
}

static bool is_sorted(const struct table_delta *delta)
{
	int i;

	for (i = 1; i < delta->n; i++) {
		if (compare_changes(&delta->changes[i - 1],
				    &delta->changes[i]) >= 0)
			return false;
	}
	return true;
}

int table_delta_read(struct table_delta *delta,
		     const Peer__TableUpdate *message)
{
	int cap = 0;
	size_t i;

	memset(delta, 0, sizeof(*delta));
	delta->base_revision = message->base_revision;
	delta->base_digest = message->base_digest;
	delta->revision = message->revision;
	delta->digest = message->digest;
	for (i = 0; i < message->n_rows; i++) {
		const Peer__TableRow *row = message->rows[i];
		int sheet = find_sheet(row->sheet);
		struct str cells = {NULL, 0};

		if (sheet < 0) {
			table_delta_finish(delta);
			return ERR_PROTOCOL;
		}
		if (*row->cells)
			cells = str_from(row->cells);
		add(delta, &cap, sheet, row->name, cells);
	}
	if (is_sorted(delta))
		return 0;
	table_delta_finish(delta);
	return ERR_PROTOCOL;
}

void table_delta_write(const struct table_delta *delta,
		       Peer__TableUpdate *message)
{
	Peer__TableRow *rows = mem_zalloc((size_t)delta->n * sizeof(*rows));
	int i;

	peer__table_update__init(message);
	message->revision = delta->revision;
	message->digest = delta->digest;
	message->base_revision = delta->base_revision;
	message->base_digest = delta->base_digest;
	message->n_rows = (size_t)delta->n;
	message->rows = mem_zalloc((size_t)delta->n * sizeof(*message->rows));
	for (i = 0; i < delta->n; i++) {
		const struct table_change *change = &delta->changes[i];

		peer__table_row__init(&rows[i]);
		rows[i].sheet = (char *)table_sheet_names[change->sheet];
		rows[i].name = change->name;
		if (change->cells)
			rows[i].cells = change->cells;
		message->rows[i] = &rows[i];
	}
	if (!delta->n)
		free(rows);
}

void table_delta_write_finish(Peer__TableUpdate *message)
{
	if (message->n_rows)
		free(message->rows[0]);
	free(message->rows);
}

void table_delta_finish(struct table_delta *delta)
{
	int i;

	for (i = 0; i < delta->n; i++) {
		free(delta->changes[i].name);
		free(delta->changes[i].cells);
	}
	free(delta->changes);
	memset(delta, 0, sizeof(*delta));
}
