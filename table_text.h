/*
 * Canonical text of a table: the sheets in fixed order, columns in the order of
 * the option lists, rows sorted by name, one row per line, no comments. Two
 * documents with the same cells have the same text and so the same digest.
 */
#ifndef TABLE_TEXT_H
#define TABLE_TEXT_H

#include <stddef.h>

#include "option.h"
#include "str.h"
#include "table.h"

/**
 * struct table_text - buffer for a canonical text
 * @data: ends with NUL; owned
 * @len: length without the NUL
 * @cap: allocated size of @data
 */
struct table_text {
	char *data;
	size_t len;
	size_t cap;
};

/**
 * table_text_begin_sheet() - write the start of a sheet
 * @text: appended to
 * @sheet: sheets must be written in the order of enum table_sheet
 * @columns: option list of the sheet
 * @layout: the caller has set n_columns and columns; rows is allocated here
 * @n_rows: maximum number of rows that will be added
 */
void table_text_begin_sheet(struct table_text *text, enum table_sheet sheet,
			    const struct option_spec *columns,
			    struct table_sheet_layout *layout, int n_rows);

/**
 * table_text_add_row() - add a row; rows must be added sorted by name
 * @text: appended to
 * @layout: gets the position of the row
 * @cells: JSON list in the order of the sheet's columns
 */
void table_text_add_row(struct table_text *text,
			struct table_sheet_layout *layout, struct str cells);
void table_text_end_sheet(struct table_text *text, enum table_sheet sheet);

#endif
