/*
 * Records of a service for the backend server stand-in. They are loaded once;
 * filters compare interned field values.
 */
#ifndef BACKEND_RECORDS_H
#define BACKEND_RECORDS_H

#include <stdbool.h>
#include <stdint.h>

#include "backend.pb-c.h"
#include "error.h"
#include "str.h"

#define RECORDS_FIELDS_MAX 32
/* Keys hash into this many points; a shard is a range of them. */
#define RECORDS_POINTS 65536

struct interned_text;

/**
 * struct record - one line of the data file
 * @pb_record: message for answers; owns its bytes
 * @from_version: first version that has the record
 * @to_version: first version that no longer has it
 * @point: hash of the key, below RECORDS_POINTS
 * @values: id of the interned value of each field, 0 if missing
 */
struct record {
	Backend__Record pb_record;
	uint64_t from_version;
	uint64_t to_version;
	uint32_t point;
	uint32_t values[RECORDS_FIELDS_MAX];
};

/**
 * struct snapshot - one version partitioned into shards of equal width
 * @version: version number
 * @n_shards: number of shards
 * @ranges: key range of each shard
 * @starts: index of each shard's first record in @records, and the total
 *	number of records as the last element
 * @records: records of the version, sorted by shard, sort key and key
 * @next: next snapshot in struct records
 */
struct snapshot {
	uint64_t version;
	int n_shards;
	Backend__KeyRange *ranges;
	uint32_t *starts;
	const struct record **records;
	struct snapshot *next;
};

/**
 * struct records - a data file in memory
 * @path: path of the file
 * @items: all records, of every version
 * @n: length of @items
 * @cap: capacity of @items
 * @fields: ids of field names; the index in record.values is one less
 * @values: ids of field values, by type and text
 * @snapshots: partitioned versions, built on demand
 */
struct records {
	char *path;
	struct record **items;
	size_t n;
	size_t cap;
	struct interned_text *fields;
	struct interned_text *values;
	struct snapshot *snapshots;
};

/* A condition: the field at this index has the value with this id. */
struct filter_term {
	uint32_t field;
	uint32_t value;
};

/**
 * struct record_filter - a compiled filter, the conjunction of its terms
 * @matches_none: no record can match, as none has the field or value of a term
 * @n: length of @terms
 * @terms: the conditions
 */
struct record_filter {
	bool matches_none;
	int n;
	struct filter_term terms[RECORDS_FIELDS_MAX];
};

/**
 * records_init() - load a data file
 * @records: filled in; free with records_finish()
 * @path: file with one JSON object a line
 * @err: details of the error
 *
 * Return: 0; or ERR_IO, ERR_SYNTAX, ERR_TYPE or ERR_TOO_LARGE with @records
 * finished.
 */
int records_init(struct records *records, const char *path, struct error *err);

/**
 * records_finish() - free the records and all their snapshots
 * @records: the data file
 */
void records_finish(struct records *records);

/**
 * records_snapshot() - get a version, partitioned into @n_shards shards
 * @records: the data file
 * @version: version number
 * @n_shards: number of shards, from 1 to RECORDS_POINTS
 *
 * Return: the snapshot, built at the first call; owned by @records.
 */
const struct snapshot *records_snapshot(struct records *records,
					uint64_t version, int n_shards);

/**
 * records_compile_filter() - compile a filter
 * @records: the data file
 * @text: JSON object of field values; the empty text matches every record
 * @out: the filter; holds no memory of its own
 *
 * Return: 0, or ERR_BAD_REQUEST.
 */
int records_compile_filter(const struct records *records, const char *text,
			   struct record_filter *out);

/* Number of records in a shard. */
static inline uint32_t snapshot_shard_size(const struct snapshot *snapshot,
					   int shard)
{
	return snapshot->starts[shard + 1] - snapshot->starts[shard];
}

/**
 * snapshot_find_shard() - find the shard with exactly these bounds
 * @snapshot: the version
 * @lo: first point
 * @hi: last point
 *
 * Return: its index, or ERR_NOT_HELD.
 */
int snapshot_find_shard(const struct snapshot *snapshot, uint32_t lo,
			uint32_t hi);

/**
 * snapshot_search() - search one shard
 * @snapshot: the version
 * @shard: index of the shard
 * @filter: compiled filter of @request
 * @request: the search; its mode and limit are used
 * @out: initialised message whose held, count and records are filled in; the
 *	caller frees the records array but not its elements
 */
void snapshot_search(const struct snapshot *snapshot, int shard,
		     const struct record_filter *filter,
		     const Backend__SearchRequest *request,
		     Backend__ShardPartial *out);

#endif
