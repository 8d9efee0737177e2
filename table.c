#include "table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <uthash.h>

#include "mem.h"
#include "table_private.h"
#include "table_text.h"

struct entry {
	const char *name;
	int row;
	UT_hash_handle hh;
};

/* Hash table from names to row numbers. */
struct name_index {
	struct entry *head;
	struct entry *entries;
};

struct table_index {
	struct name_index markets;
	struct name_index services;
	struct name_index servers;
};

static const struct option_spec tunable_columns[] = {
	{.name = "name", .type = OPTION_STRING, .required = true},
	{.name = "value", .type = OPTION_STRING, .required = true},
};

static const struct sheet empty_sheets[] = {
	[TABLE_MARKETS] = {"markets", market_columns, 0, sizeof(struct market)},
	[TABLE_SERVICES] = {"services", service_columns, 0,
			    sizeof(struct service)},
	[TABLE_SERVERS] = {"servers", server_columns, 0,
			   sizeof(struct backend_server)},
	[TABLE_TUNABLES] = {"tunables", tunable_columns, 0, 0},
};

static int read_header(const struct sheet *sheet, struct json_object *columns,
		       struct header *header, struct error *err)
{
	char subject[ERROR_SUBJECT_SIZE];
	bool seen[TABLE_COLUMNS_MAX] = {false};
	size_t n;
	size_t i;

	snprintf(subject, sizeof(subject), "%s columns", sheet->name);
	if (!json_object_is_type(columns, json_type_array))
		return error_set(err, ERR_TYPE, subject, NULL,
				 "a list of column names");
	n = json_object_array_length(columns);
	if (n > TABLE_COLUMNS_MAX)
		return error_set(err, ERR_RANGE, subject, NULL,
				 "fewer columns");
	for (i = 0; i < n; i++) {
		struct json_object *item =
			json_object_array_get_idx(columns, i);
		const char *name = json_object_get_string(item);
		int found = name ? option_find(sheet->columns, sheet->n_columns,
					       name)
				 : ERR_KEY_UNKNOWN;

		if (found < 0)
			return error_set(err, ERR_KEY_UNKNOWN, subject, name,
					 "a column of garnetreach-table(5)");
		if (seen[found])
			return error_set(err, ERR_DUPLICATE, subject, name,
					 "each column once");
		seen[found] = true;
		header->option[i] = found;
	}
	header->n = (int)n;
	for (i = 0; i < (size_t)sheet->n_columns; i++) {
		if (sheet->columns[i].required && !seen[i])
			return error_set(err, ERR_KEY_MISSING, subject,
					 sheet->columns[i].name,
					 "a required column");
	}
	return 0;
}

/* Formats the subject only on errors: a large table has 100,000 cells. */
static int row_error(int code, const struct sheet *sheet, int row,
		     const char *expected, struct error *err)
{
	char subject[ERROR_SUBJECT_SIZE];

	snprintf(subject, sizeof(subject), "%s row %d", sheet->name, row + 1);
	return error_set(err, code, subject, NULL, expected);
}

static void set_error_cell(const struct sheet *sheet, int row,
			   const char *column, struct error *err)
{
	if (err)
		snprintf(err->subject, sizeof(err->subject),
			 "%s row %d column %s", sheet->name, row + 1, column);
}

int table_read_row(const struct sheet *sheet, const struct header *header,
		   struct json_object *cells, int row, void *base,
		   struct error *err)
{
	int i;

	if (!json_object_is_type(cells, json_type_array))
		return row_error(ERR_TYPE, sheet, row, "a list of cells", err);
	if (json_object_array_length(cells) != (size_t)header->n)
		return row_error(ERR_RANGE, sheet, row,
				 "as many cells as columns", err);
	for (i = 0; i < header->n; i++) {
		const struct option_spec *option =
			&sheet->columns[header->option[i]];
		int ret =
			option_read(option, json_object_array_get_idx(cells, i),
				    base, "", err);

		if (ret) {
			set_error_cell(sheet, row, option->name, err);
			return ret;
		}
	}
	return 0;
}

static int read_rows(struct sheet *sheet, struct json_object *rows,
		     struct error *err)
{
	size_t n = json_object_array_length(rows);
	size_t i;

	sheet->rows = mem_zalloc(n * sheet->row_size);
	sheet->source_rows = mem_zalloc(n * sizeof(*sheet->source_rows));
	for (i = 0; i < n; i++) {
		void *base = sheet->rows + i * sheet->row_size;
		struct json_object *cells = json_object_array_get_idx(rows, i);
		int ret;

		option_set_defaults(sheet->columns, sheet->n_columns, base);
		/* Incremented first, so that table_finish() frees a bad row. */
		sheet->n_rows++;
		ret = table_read_row(sheet, &sheet->header, cells, (int)i, base,
				     err);
		if (ret)
			return ret;
		sheet->source_rows[i].name = table_name_of(base);
		sheet->source_rows[i].cells = cells;
		sheet->source_rows[i].row = (int)i;
	}
	return 0;
}

static int get_columns_and_rows(const char *name, struct json_object *value,
				struct json_object **columns,
				struct json_object **rows, struct error *err)
{
	if (!json_object_is_type(value, json_type_object) ||
	    !json_object_object_get_ex(value, "columns", columns) ||
	    !json_object_object_get_ex(value, "rows", rows) ||
	    json_object_object_length(value) != 2)
		return error_set(err, ERR_TYPE, name, NULL,
				 "an object of \"columns\" and \"rows\"");
	if (!json_object_is_type(*rows, json_type_array))
		return error_set(err, ERR_TYPE, name, NULL, "a list of rows");
	return 0;
}

static int read_sheet(struct sheet *sheet, struct json_object *value,
		      struct error *err)
{
	struct json_object *columns;
	struct json_object *rows;
	int ret;

	ret = get_columns_and_rows(sheet->name, value, &columns, &rows, err);
	if (!ret)
		ret = read_header(sheet, columns, &sheet->header, err);
	if (!ret)
		ret = read_rows(sheet, rows, err);
	return ret;
}

int table_read_tunable(struct tunables *tunables, struct json_object *cells,
		       int row, struct error *err)
{
	char subject[ERROR_SUBJECT_SIZE];
	const char *name;
	int ret;
	int i;

	snprintf(subject, sizeof(subject), "tunables row %d", row + 1);
	if (!json_object_is_type(cells, json_type_array) ||
	    json_object_array_length(cells) != 2 ||
	    !json_object_is_type(json_object_array_get_idx(cells, 0),
				 json_type_string))
		return error_set(err, ERR_TYPE, subject, NULL,
				 "a name and a value");
	name = json_object_get_string(json_object_array_get_idx(cells, 0));
	i = option_find(tunable_rows, n_tunable_rows, name);
	if (i < 0)
		return error_set(err, ERR_KEY_UNKNOWN, subject, name,
				 "a tunable of garnetreach-table(5)");
	snprintf(subject, sizeof(subject), "tunables row %d column value",
		 row + 1);
	ret = option_read(&tunable_rows[i], json_object_array_get_idx(cells, 1),
			  tunables, subject, err);
	return ret ? ret : i;
}

static int read_tunable_rows(struct tunables *tunables, struct sheet *sheet,
			     struct json_object *rows, struct error *err)
{
	size_t n = json_object_array_length(rows);
	size_t i;

	sheet->source_rows = mem_zalloc(n * sizeof(*sheet->source_rows));
	for (i = 0; i < n; i++) {
		struct json_object *cells = json_object_array_get_idx(rows, i);
		int option = table_read_tunable(tunables, cells, (int)i, err);

		if (option < 0)
			return option;
		sheet->source_rows[i].name = tunable_rows[option].name;
		sheet->source_rows[i].cells = cells;
		sheet->source_rows[i].row = (int)i;
		sheet->n_rows++;
	}
	return 0;
}

static int read_tunables(struct tunables *tunables, struct sheet *sheet,
			 struct json_object *value, struct error *err)
{
	struct json_object *columns;
	struct json_object *rows;
	int ret;

	ret = get_columns_and_rows("tunables", value, &columns, &rows, err);
	if (!ret)
		ret = read_header(sheet, columns, &sheet->header, err);
	if (!ret && (sheet->header.n != 2 || sheet->header.option[0]))
		ret = error_set(err, ERR_KEY_UNKNOWN, "tunables columns", NULL,
				"name, value");
	if (!ret)
		ret = read_tunable_rows(tunables, sheet, rows, err);
	return ret;
}

/* Also called on failure, so that table_finish() frees the arrays. */
void table_move_rows(struct table *table, const struct sheet *sheets)
{
	table->markets = (struct market *)sheets[TABLE_MARKETS].rows;
	table->n_markets = sheets[TABLE_MARKETS].n_rows;
	table->services = (struct service *)sheets[TABLE_SERVICES].rows;
	table->n_services = sheets[TABLE_SERVICES].n_rows;
	table->servers = (struct backend_server *)sheets[TABLE_SERVERS].rows;
	table->n_servers = sheets[TABLE_SERVERS].n_rows;
}

static int read_sheets(struct table *table, struct sheet *sheets,
		       struct json_object *root, struct error *err)
{
	struct json_object *value;
	int ret = 0;
	int i;

	for (i = 0; i < TABLE_TUNABLES && !ret; i++) {
		if (json_object_object_get_ex(root, sheets[i].name, &value))
			ret = read_sheet(&sheets[i], value, err);
		else
			ret = error_set(err, ERR_KEY_MISSING, sheets[i].name,
					NULL, "a sheet");
	}
	if (!ret && json_object_object_get_ex(root, "tunables", &value))
		ret = read_tunables(&table->tunables, &sheets[TABLE_TUNABLES],
				    value, err);
	return ret;
}

static int check_keys(struct json_object *root, struct error *err)
{
	json_object_object_foreach(root, key, value)
	{
		(void)value;
		if (strcmp(key, "markets") && strcmp(key, "services") &&
		    strcmp(key, "servers") && strcmp(key, "tunables"))
			return error_set(err, ERR_KEY_UNKNOWN, key, NULL,
					 "markets, services, servers or "
					 "tunables");
	}
	return 0;
}

static int compare_source_rows(const void *a, const void *b)
{
	const struct source_row *x = a;
	const struct source_row *y = b;
	int cmp = strcmp(x->name, y->name);

	return cmp ? cmp : x->row - y->row;
}

/* Afterwards source_rows[i] is the position of row i in the document. */
static void sort_sheet(struct sheet *sheet)
{
	char *sorted = mem_zalloc((size_t)sheet->n_rows * sheet->row_size);
	int i;

	if (sheet->n_rows)
		qsort(sheet->source_rows, (size_t)sheet->n_rows,
		      sizeof(*sheet->source_rows), compare_source_rows);
	for (i = 0; i < sheet->n_rows; i++)
		memcpy(sorted + (size_t)i * sheet->row_size,
		       sheet->rows + (size_t)sheet->source_rows[i].row *
					     sheet->row_size,
		       sheet->row_size);
	free(sheet->rows);
	sheet->rows = sorted;
}

static int cell_error(int code, const struct sheet *sheet, int row,
		      const char *column, const char *value,
		      const char *expected, struct error *err)
{
	char subject[ERROR_SUBJECT_SIZE];

	if (sheet->source_rows)
		row = sheet->source_rows[row].row;
	snprintf(subject, sizeof(subject), "%s row %d column %s", sheet->name,
		 row + 1, column);
	return error_set(err, code, subject, value, expected);
}

static int index_build(struct name_index *index, const struct sheet *sheet,
		       struct error *err)
{
	int i;

	index->entries =
		mem_zalloc((size_t)sheet->n_rows * sizeof(*index->entries));
	for (i = 0; i < sheet->n_rows; i++) {
		const char *name = table_name_of(sheet->rows +
						 (size_t)i * sheet->row_size);
		struct entry *entry;

		HASH_FIND_STR(index->head, name, entry);
		if (entry)
			return cell_error(ERR_DUPLICATE, sheet, i, "name", name,
					  "a name used once", err);
		entry = &index->entries[i];
		entry->name = name;
		entry->row = i;
		HASH_ADD_KEYPTR(hh, index->head, entry->name,
				strlen(entry->name), entry);
	}
	return 0;
}

static int index_find(const struct name_index *index, const char *name,
		      size_t len)
{
	struct entry *entry;

	HASH_FIND(hh, index->head, name, len, entry);
	return entry ? entry->row : ERR_REFERENCE;
}

static void index_free(struct name_index *index)
{
	HASH_CLEAR(hh, index->head);
	free(index->entries);
}

static int check_tunable_names(const struct sheet *sheet, struct error *err)
{
	int i;

	for (i = 1; i < sheet->n_rows; i++) {
		if (!strcmp(sheet->source_rows[i - 1].name,
			    sheet->source_rows[i].name))
			return cell_error(ERR_DUPLICATE, sheet, i, "name",
					  sheet->source_rows[i].name,
					  "a name used once", err);
	}
	return 0;
}

static int build_indexes(struct table *table, const struct sheet *sheets,
			 struct error *err)
{
	struct table_index *index = table->index;
	int ret;

	ret = index_build(&index->markets, &sheets[TABLE_MARKETS], err);
	if (!ret)
		ret = index_build(&index->services, &sheets[TABLE_SERVICES],
				  err);
	if (!ret)
		ret = index_build(&index->servers, &sheets[TABLE_SERVERS], err);
	return ret;
}

static int check_markets(struct table *table, const struct sheet *sheets,
			 struct error *err)
{
	int i;

	for (i = 0; i < table->n_services; i++) {
		const char *market = table->services[i].market;

		if (index_find(&table->index->markets, market, strlen(market)) <
		    0)
			return cell_error(ERR_REFERENCE,
					  &sheets[TABLE_SERVICES], i, "market",
					  market, "a name of another sheet",
					  err);
	}
	return 0;
}

static int find_server_services(struct table *table, const struct sheet *sheets,
				int *counts, struct error *err)
{
	int i;

	for (i = 0; i < table->n_servers; i++) {
		struct backend_server *server = &table->servers[i];
		int row = table_find_service(table, str_from(server->service));

		if (row < 0)
			return cell_error(ERR_REFERENCE, &sheets[TABLE_SERVERS],
					  i, "service", server->service,
					  "a name of another sheet", err);
		server->service_index = row;
		server->hash = str_hash(str_from(server->name));
		counts[row]++;
	}
	return 0;
}

static int link_servers(struct table *table, const struct sheet *sheets,
			struct error *err)
{
	int *counts = mem_zalloc((size_t)table->n_services * sizeof(*counts));
	int ret;
	int i;

	ret = find_server_services(table, sheets, counts, err);
	for (i = 0; i < table->n_services && !ret; i++)
		table->services[i].servers =
			mem_zalloc((size_t)counts[i] * sizeof(int));
	free(counts);
	for (i = 0; i < table->n_servers && !ret; i++) {
		struct service *service =
			&table->services[table->servers[i].service_index];

		service->servers[service->n_servers++] = i;
	}
	return ret;
}

int table_resolve_references(struct table *table, const struct sheet *sheets,
			     struct error *err)
{
	int ret = build_indexes(table, sheets, err);

	if (!ret)
		ret = check_markets(table, sheets, err);
	if (!ret)
		ret = link_servers(table, sheets, err);
	return ret;
}

/* Sorts the columns by option; positions[i] is the old index of column i. */
static void sort_layout_columns(const struct header *header,
				struct table_sheet_layout *layout,
				int *positions)
{
	int option;
	int i;

	for (option = 0; option < TABLE_COLUMNS_MAX; option++) {
		for (i = 0; i < header->n; i++) {
			if (header->option[i] != option)
				continue;
			positions[layout->n_columns] = i;
			layout->columns[layout->n_columns++] = option;
		}
	}
}

static bool is_identity(const int *positions, int n)
{
	int i;

	for (i = 0; i < n; i++) {
		if (positions[i] != i)
			return false;
	}
	return true;
}

static struct json_object *reorder_cells(struct json_object *cells,
					 const int *positions, int n)
{
	struct json_object *out;
	int i;

	if (is_identity(positions, n))
		return json_object_get(cells);
	out = json_object_new_array();
	for (i = 0; i < n; i++)
		json_object_array_add(out,
				      json_object_get(json_object_array_get_idx(
					      cells, (size_t)positions[i])));
	return out;
}

static void write_sheet(struct table_text *text,
			struct table_sheet_layout *layout,
			const struct sheet *sheet, enum table_sheet kind)
{
	int positions[TABLE_COLUMNS_MAX] = {0};
	int i;

	sort_layout_columns(&sheet->header, layout, positions);
	table_text_begin_sheet(text, kind, sheet->columns, layout,
			       sheet->n_rows);
	for (i = 0; i < sheet->n_rows; i++) {
		struct json_object *cells =
			reorder_cells(sheet->source_rows[i].cells, positions,
				      layout->n_columns);
		size_t len;
		const char *data = json_object_to_json_string_length(
			cells,
			JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE,
			&len);

		table_text_add_row(text, layout, (struct str){data, len});
		json_object_put(cells);
	}
	table_text_end_sheet(text, kind);
}

void table_move_text(struct table *table, struct table_text *text)
{
	table->text = mem_realloc(text->data, text->len + 1);
	table->len = text->len;
	table->digest = str_hash((struct str){table->text, table->len});
}

static void write_sheets(struct table *table, const struct sheet *sheets)
{
	struct table_text text = {.data = NULL};
	int i;

	for (i = 0; i < TABLE_SHEETS; i++)
		write_sheet(&text, &table->sheets[i], &sheets[i], i);
	table_move_text(table, &text);
}

static void set_tunable_ids(struct table *table, const struct sheet *sheet)
{
	int i;

	table->tunable_ids = mem_zalloc((size_t)sheet->n_rows * sizeof(int));
	for (i = 0; i < sheet->n_rows; i++)
		table->tunable_ids[i] =
			option_find(tunable_rows, n_tunable_rows,
				    sheet->source_rows[i].name);
}

static int read_document(struct table *table, struct sheet *sheets,
			 struct json_object *root, struct error *err)
{
	int ret;
	int i;

	ret = check_keys(root, err);
	if (!ret)
		ret = read_sheets(table, sheets, root, err);
	for (i = 0; i < TABLE_TUNABLES && !ret; i++)
		sort_sheet(&sheets[i]);
	table_move_rows(table, sheets);
	if (ret)
		return ret;
	if (sheets[TABLE_TUNABLES].n_rows)
		qsort(sheets[TABLE_TUNABLES].source_rows,
		      (size_t)sheets[TABLE_TUNABLES].n_rows,
		      sizeof(struct source_row), compare_source_rows);
	ret = check_tunable_names(&sheets[TABLE_TUNABLES], err);
	if (!ret)
		ret = table_resolve_references(table, sheets, err);
	if (ret)
		return ret;
	set_tunable_ids(table, &sheets[TABLE_TUNABLES]);
	write_sheets(table, sheets);
	return 0;
}

void table_init_empty(struct table *table, struct sheet *sheets,
		      uint64_t revision)
{
	memset(table, 0, sizeof(*table));
	memcpy(sheets, empty_sheets, sizeof(empty_sheets));
	sheets[TABLE_MARKETS].n_columns = n_market_columns;
	sheets[TABLE_SERVICES].n_columns = n_service_columns;
	sheets[TABLE_SERVERS].n_columns = n_server_columns;
	sheets[TABLE_TUNABLES].n_columns = 2;
	sheets[TABLE_TUNABLES].header = (struct header){{0, 1}, 2};
	table->index = mem_zalloc(sizeof(*table->index));
	table->revision = revision;
	option_set_defaults(tunable_rows, n_tunable_rows, &table->tunables);
}

int table_init(struct table *table, const char *text, size_t len,
	       uint64_t revision, struct error *err)
{
	struct sheet sheets[TABLE_SHEETS];
	struct json_object *root;
	int ret;
	int i;

	memset(table, 0, sizeof(*table));
	ret = option_parse_document(text, len, &root, err);
	if (ret)
		return ret;
	table_init_empty(table, sheets, revision);
	ret = read_document(table, sheets, root, err);
	for (i = 0; i < TABLE_SHEETS; i++)
		free(sheets[i].source_rows);
	json_object_put(root);
	if (ret)
		table_finish(table);
	return ret;
}

static void free_rows(struct table *table)
{
	int i;

	for (i = 0; i < table->n_markets; i++)
		option_finish(market_columns, n_market_columns,
			      &table->markets[i]);
	for (i = 0; i < table->n_services; i++) {
		option_finish(service_columns, n_service_columns,
			      &table->services[i]);
		free(table->services[i].servers);
	}
	for (i = 0; i < table->n_servers; i++)
		option_finish(server_columns, n_server_columns,
			      &table->servers[i]);
	free(table->markets);
	free(table->services);
	free(table->servers);
}

void table_finish(struct table *table)
{
	int i;

	if (table->index) {
		index_free(&table->index->markets);
		index_free(&table->index->services);
		index_free(&table->index->servers);
		free(table->index);
	}
	free_rows(table);
	for (i = 0; i < TABLE_SHEETS; i++)
		free(table->sheets[i].rows);
	free(table->tunable_ids);
	free(table->text);
	memset(table, 0, sizeof(*table));
}

const char *table_row_name(const struct table *table, enum table_sheet sheet,
			   int row)
{
	switch (sheet) {
	case TABLE_MARKETS:
		return table->markets[row].name;
	case TABLE_SERVICES:
		return table->services[row].name;
	case TABLE_SERVERS:
		return table->servers[row].name;
	default:
		return tunable_rows[table->tunable_ids[row]].name;
	}
}

struct str table_row_cells(const struct table *table, enum table_sheet sheet,
			   int row)
{
	const struct table_row_span *span = &table->sheets[sheet].rows[row];

	return (struct str){table->text + span->offset, span->len};
}

int table_find_service(const struct table *table, struct str name)
{
	int row = index_find(&table->index->services, name.data, name.len);

	return row < 0 ? ERR_NO_SERVICE : row;
}

int table_find_server(const struct table *table, struct str name)
{
	return index_find(&table->index->servers, name.data, name.len);
}
