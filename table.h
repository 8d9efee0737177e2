/*
 * The operators' table: sheets of markets, services, backend servers and
 * tunables, read from JSON with comments and checked as a whole.
 */
#ifndef TABLE_H
#define TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "address.h"
#include "option.h"
#include "str.h"

enum service_mode {
	SERVICE_LATENCY,  /* answer early with what there is */
	SERVICE_COVERAGE, /* use the whole deadline for missing shards */
};

enum table_switch {
	SWITCH_ON,
	SWITCH_OFF,
};

enum search_policy {
	SEARCH_ADAPTIVE,
	SEARCH_PLAIN, /* the baseline of experiments */
};

enum server_state {
	SERVER_ON,
	SERVER_LEAVING, /* no new work */
};

/**
 * struct market - a row of the sheet "markets"
 */
struct market {
	char *name;
	char *region;
};

/**
 * struct service - a row of the sheet "services"
 *
 * Columns, units and bounds: garnetreach-table(5).
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
	/* Set by table_init(): rows of the sheet "servers". */
	int *servers;
	int n_servers;
};

/**
 * struct backend_server - a row of the sheet "servers"
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
	int service_index;
	uint64_t hash; /* of the name */
};

/**
 * struct tunables - the sheet "tunables": one value a row
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
 * struct table_lines - where the rows of a sheet stand in the canonical text
 * @columns: options the sheet's columns hold, ascending
 * @lines: the cells of each row, as a JSON list
 */
struct table_lines {
	int columns[TABLE_COLUMNS_MAX];
	int n_columns;
	struct table_line {
		uint32_t at;
		uint32_t len;
	} * lines;
	int n;
};

/**
 * struct table_change - a row that was set or deleted
 * @name: of the row, owned
 * @cells: JSON list in the order of the sheet's columns, owned; NULL: deleted
 */
struct table_change {
	enum table_sheet sheet;
	char *name;
	char *cells;
};

struct table_index;

/**
 * struct table - a checked table
 * @revision: the platform's, set by the caller of table_init()
 * @digest: of @text
 * @text: the canonical text, see table_text.h, owned
 * @sheets: its rows; in each sheet the order of the arrays below
 * @set_tunables: rows of the sheet "tunables", as indexes into tunable_rows
 * @index: names to rows
 *
 * The rows of each array are sorted by name.
 */
struct table {
	uint64_t revision;
	uint64_t digest;
	char *text;
	size_t len;
	struct table_lines sheets[TABLE_SHEETS];
	int *set_tunables;
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
 * table_init() - read and check a whole table
 * @text: JSON with comments; copied
 * @revision: the platform's revision of it
 * @err: names sheet, row and column, and what was expected
 *
 * Return: 0; or ERR_SYNTAX, ERR_KEY_UNKNOWN, ERR_KEY_MISSING, ERR_TYPE,
 * ERR_RANGE, ERR_ADDRESS, ERR_DUPLICATE, ERR_REFERENCE with @table finished.
 */
int table_init(struct table *table, const char *text, size_t len,
	       uint64_t revision, struct error *err);

/**
 * table_init_from_changes() - a table that differs from another in some rows
 * @table: filled
 * @old: the other table
 * @changes: sorted by sheet and name, each row once
 * @revision: the platform's revision of the new table
 * @err: as of table_init()
 *
 * Costs a copy of the rows rather than a parse of the whole text. The deletion
 * of a row that is not there changes nothing.
 *
 * Return: as table_init().
 */
int table_init_from_changes(struct table *table, const struct table *old,
			    const struct table_change *changes, int n,
			    uint64_t revision, struct error *err);
void table_finish(struct table *table);

/**
 * table_row_name() - name of a row, or of the tunable it sets
 */
const char *table_row_name(const struct table *table, enum table_sheet sheet,
			   int row);

/**
 * table_row_cells() - cells of a row as a JSON list
 */
struct str table_row_cells(const struct table *table, enum table_sheet sheet,
			   int row);

/**
 * table_find_service() - row of a service by name
 *
 * Return: index into @table->services, or ERR_NO_SERVICE.
 */
int table_find_service(const struct table *table, struct str name);

/**
 * table_find_server() - row of a backend server by name
 *
 * Return: index into @table->servers, or ERR_REFERENCE.
 */
int table_find_server(const struct table *table, struct str name);

#endif
