/* Shared by table.c, which reads documents, and table_merge.c. */
#ifndef TABLE_PRIVATE_H
#define TABLE_PRIVATE_H

#include <stddef.h>

#include "error.h"
#include "option.h"
#include "table.h"

struct json_object;
struct table_text;

/* Index in the sheet's option list of each column, from "columns". */
struct header {
	int option[TABLE_COLUMNS_MAX];
	int n;
};

/* Row of the document, with its position there. */
struct source_row {
	const char *name;
	struct json_object *cells;
	int row;
};

/* Describes how a sheet is converted to an array of structs. */
struct sheet {
	const char *name;
	const struct option_spec *columns;
	int n_columns;
	size_t row_size;
	/* Set by read_sheet(), then sorted by sort_sheet(). */
	char *rows;
	int n_rows;
	struct header header;
	struct source_row *source_rows;
};

/* The name is the first member of each row struct. */
static inline const char *table_name_of(const void *row)
{
	return *(char *const *)row;
}

/**
 * table_init_empty() - set up a table without rows, and the sheets to be read
 * @sheets: TABLE_SHEETS of them
 */
void table_init_empty(struct table *table, struct sheet *sheets,
		      uint64_t revision);

/**
 * table_read_row() - read the cells of a row
 * @row: its position, for messages
 * @base: the struct to fill
 *
 * Return: 0, or the error in @err.
 */
int table_read_row(const struct sheet *sheet, const struct header *header,
		   struct json_object *cells, int row, void *base,
		   struct error *err);

/**
 * table_read_tunable() - read the cells of a tunable
 *
 * Return: its option; or the error in @err.
 */
int table_read_tunable(struct tunables *tunables, struct json_object *cells,
		       int row, struct error *err);

/**
 * table_move_rows() - let the table own the rows of the sheets
 */
void table_move_rows(struct table *table, const struct sheet *sheets);

/**
 * table_resolve_references() - link the rows that name each other
 *
 * Return: 0, or the error in @err.
 */
int table_resolve_references(struct table *table, const struct sheet *sheets,
			     struct error *err);

/**
 * table_move_text() - let the table own its text
 */
void table_move_text(struct table *table, struct table_text *text);

#endif
