/*
 * The operators' configuration table: sheets of markets, services, backend
 * servers and tunables, parsed from JSON with comments and validated as a
 * whole.
 */
#ifndef TABLE_H
#define TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "address.h"
#include "option.h"
#include "str.h"

enum service_mode {
	SERVICE_LATENCY,  /* return partial results early */
	SERVICE_COVERAGE, /* wait for missing shards until the deadline */
};

enum table_switch {
	SWITCH_ON,
	SWITCH_OFF,
};

enum search_policy {
	SEARCH_ADAPTIVE,
	SEARCH_PLAIN, /* baseline for experiments */
};

enum server_state {
	SERVER_ON,
	SERVER_LEAVING, /* gets no new requests */
};

/**
 * struct market - row of the sheet "markets"
 */
struct market {
	char *name;
	char *region;
};

/**
 * struct service - row of the sheet "services"
 *
 * garnetreach-table(5) describes the columns, their units and bounds.
 */
struct service {
	char *name;
	char *market;
	int mode;
	int64_t deadline_ms;
	double min_coverage;
	int64_t priority;
	int64_t weight;
	double hedge_extra;
	double retry_extra;
	int64_t slo_latency_ms;
	double slo_latency_ratio;
	double slo_coverage_ratio;
	/* Set by table_init(): indexes into table.servers. */
	int *servers;
	int n_servers;
};

/**
 * struct backend_server - row of the sheet "servers"
 */
struct backend_server {
	char *name;
	char *service;
	char *data_centre;
	struct address address;
	char *replica_set;
	int64_t slots;
	int64_t connections;
	int64_t weight;
	int state;
	/* Set by table_init(). */
	int service_index; /* into table.services */
	uint64_t hash;	   /* of the name */
};

/**
 * struct tunables - sheet "tunables", which has one value per row
 */
struct tunables {
	int64_t lease_ms;
	int64_t probe_period_ms;
	int64_t address_lifetime_ms;
	int64_t leave_spread_ms;
	int64_t stop_max_ms;
	int64_t holdings_poll_ms;
	int64_t connect_timeout_ms;
	int64_t idle_timeout_ms;
	int64_t body_max_bytes;
	int64_t ticket_lifetime_ms;
	int64_t queue_max;
	int64_t callers_max;
	int64_t request_bytes_max;
	int64_t answer_bytes_max;
	int64_t ticket_max;
	int64_t ticket_bytes_max;
	int64_t ticket_answer_bytes;
	int64_t run_max;
	double queue_target;
	double priority_floor;
	int64_t server_queue_max;
	int64_t loop_lag_ms;
	int canary;
	int64_t poison_max;
	int64_t poison_suspect_ms;
	int64_t poison_ban_ms;
	int64_t table_readers;
	int64_t table_watch_ms;
	int64_t table_backoff_min_ms;
	int64_t table_backoff_max_ms;
	int64_t table_confirm_ms;
	int64_t table_ask_ms;
	int64_t table_verify_ms;
	int64_t table_start_ms;
	int64_t table_start_peers;
	int64_t table_fanout;
	int64_t table_pull_delay_ms;
	int64_t table_pull_timeout_ms;
	int64_t table_digest_ms;
	int64_t trace_max;
	int64_t trace_bytes_max;
	int64_t trace_parts_max;
	int64_t burn_services_max;
	int admission;
	int search_policy;
	int64_t observe_half_life_ms;
	int64_t silent_floor_ms;
	double silent_factor;
	int64_t slow_start_ms;
	int64_t eject_failures;
	double eject_latency_factor;
	int64_t eject_ms;
	double eject_max_ratio;
	int64_t back_off_max_ms;
	int64_t attempts_max;
	int64_t hedge_floor_ms;
	double hedge_median_factor;
	int64_t extra_burst;
	double late_factor;
};

enum table_sheet {
	TABLE_MARKETS,
	TABLE_SERVICES,
	TABLE_SERVERS,
	TABLE_TUNABLES,
	TABLE_SHEETS,
};

#define TABLE_COLUMNS_MAX 32

/**
 * struct table_sheet_layout - columns and rows of a sheet in the canonical text
 * @columns: index of each column in the sheet's option list, ascending
 * @n_columns: number of @columns
 * @rows: offset and length of each row, a JSON list of cells; owned
 * @n_rows: number of @rows
 */
struct table_sheet_layout {
	int columns[TABLE_COLUMNS_MAX];
	int n_columns;
	struct table_row_span {
		uint32_t offset;
		uint32_t len;
	} * rows;
	int n_rows;
};

/**
 * struct table_change - row that was set or deleted
 * @sheet: sheet of the row
 * @name: name of the row, owned
 * @cells: JSON list in the order of the sheet's columns, owned; NULL if deleted
 */
struct table_change {
	enum table_sheet sheet;
	char *name;
	char *cells;
};

struct table_index;

/**
 * struct table - validated table
 * @revision: revision on the platform, set by the caller of table_init()
 * @digest: hash of @text
 * @text: canonical text, see table_text.h; owned
 * @len: length of @text
 * @sheets: position of the rows in @text, in the order of the arrays below
 * @tunable_ids: rows of the sheet "tunables", as indexes into tunable_rows
 * @markets: rows of the sheet "markets", as @services and @servers of theirs
 * @tunables: defaults, overridden by the sheet "tunables"
 * @index: maps names to rows
 *
 * Each array is sorted by name. All memory is owned by the table.
 */
struct table {
	uint64_t revision;
	uint64_t digest;
	char *text;
	size_t len;
	struct table_sheet_layout sheets[TABLE_SHEETS];
	int *tunable_ids;
	struct market *markets;
	int n_markets;
	struct service *services;
	int n_services;
	struct backend_server *servers;
	int n_servers;
	struct tunables tunables;
	struct table_index *index;
};

extern const char *const table_sheet_names[];
extern const struct option_spec market_columns[];
extern const int n_market_columns;
extern const struct option_spec service_columns[];
extern const int n_service_columns;
extern const struct option_spec server_columns[];
extern const int n_server_columns;
extern const struct option_spec tunable_rows[];
extern const int n_tunable_rows;

/**
 * table_init() - parse and validate a table
 * @table: initialized on success; release with table_finish()
 * @text: JSON with comments; copied
 * @len: length of @text
 * @revision: revision of @text on the platform
 * @err: set to the sheet, row and column, and to what was expected there
 *
 * Return: 0; or ERR_SYNTAX, ERR_KEY_UNKNOWN, ERR_KEY_MISSING, ERR_TYPE,
 * ERR_RANGE, ERR_ADDRESS, ERR_DUPLICATE, ERR_REFERENCE with @table finished.
 */
int table_init(struct table *table, const char *text, size_t len,
	       uint64_t revision, struct error *err);

/**
 * table_init_from_changes() - create a table by changing rows of another one
 * @table: initialized on success; release with table_finish()
 * @old: table to start from
 * @changes: sorted by sheet and name, each row at most once
 * @n: number of @changes
 * @revision: revision of the new table on the platform
 * @err: set as by table_init()
 *
 * Copies the unchanged rows instead of parsing the whole text again. Deleting
 * a row that does not exist has no effect.
 *
 * Return: see table_init().
 */
int table_init_from_changes(struct table *table, const struct table *old,
			    const struct table_change *changes, int n,
			    uint64_t revision, struct error *err);
void table_finish(struct table *table);

/**
 * table_row_name() - return the name of a row, or of the tunable that it sets
 * @table: validated table
 * @sheet: sheet of the row
 * @row: index of the row
 *
 * Return: the name, borrowed from @table.
 */
const char *table_row_name(const struct table *table, enum table_sheet sheet,
			   int row);

/**
 * table_row_cells() - return the cells of a row as a JSON list
 * @table: validated table
 * @sheet: sheet of the row
 * @row: index of the row
 *
 * Return: the cells, borrowed from @table.
 */
struct str table_row_cells(const struct table *table, enum table_sheet sheet,
			   int row);

/**
 * table_find_service() - find a service by name
 * @table: validated table
 * @name: name to find
 *
 * Return: index into @table->services, or ERR_NO_SERVICE.
 */
int table_find_service(const struct table *table, struct str name);

/**
 * table_find_server() - find a backend server by name
 * @table: validated table
 * @name: name to find
 *
 * Return: index into @table->servers, or ERR_REFERENCE.
 */
int table_find_server(const struct table *table, struct str name);

#endif
