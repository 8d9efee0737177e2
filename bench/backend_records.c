#include "backend_records.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <uthash.h>

#include "mem.h"

#define VALUE_TEXT_SIZE 512

struct interned_text {
	char *name;
	uint32_t id;
	UT_hash_handle hh;
};

static uint32_t find_interned(struct interned_text *head, const char *name)
{
	struct interned_text *entry;

	HASH_FIND_STR(head, name, entry);
	return entry ? entry->id : 0;
}

/* Ids start at 1: 0 stands for a missing value. */
static uint32_t intern_text(struct interned_text **head, const char *name)
{
	struct interned_text *entry;

	HASH_FIND_STR(*head, name, entry);
	if (entry)
		return entry->id;
	entry = mem_zalloc(sizeof(*entry));
	entry->name = mem_dup(name);
	entry->id = HASH_COUNT(*head) + 1;
	HASH_ADD_KEYPTR(hh, *head, entry->name, strlen(entry->name), entry);
	return entry->id;
}

static void free_interned(struct interned_text **head)
{
	struct interned_text *entry;
	struct interned_text *tmp;

	HASH_ITER (hh, *head, entry, tmp) {
		HASH_DEL(*head, entry);
		free(entry->name);
		free(entry);
	}
}

/* The text starts with the type, so that "3" and 3 are different values. */
static void format_value(struct json_object *value, char *out, size_t size)
{
	double number;

	switch (json_object_get_type(value)) {
	case json_type_string:
		snprintf(out, size, "s%s", json_object_get_string(value));
		return;
	case json_type_double:
		number = json_object_get_double(value);
		if (rint(number) != number || fabs(number) > 1e15)
			snprintf(out, size, "d%.17g", number);
		else
			snprintf(out, size, "i%" PRId64, (int64_t)number);
		return;
	case json_type_int:
		snprintf(out, size, "i%" PRId64, json_object_get_int64(value));
		return;
	default:
		snprintf(out, size, "j%s", json_object_to_json_string(value));
		return;
	}
}

static ProtobufCBinaryData copy_text(struct json_object *value, int flags)
{
	ProtobufCBinaryData out;
	const char *text;

	if (json_object_is_type(value, json_type_string))
		text = json_object_get_string(value);
	else
		text = json_object_to_json_string_ext(value, flags);
	out.len = strlen(text);
	out.data = (uint8_t *)mem_dup_len(text, out.len);
	return out;
}

static int read_fields(struct records *records, struct record *record,
		       struct json_object *body)
{
	json_object_object_foreach(body, name, value)
	{
		char text[VALUE_TEXT_SIZE];
		uint32_t field = intern_text(&records->fields, name);

		if (field > RECORDS_FIELDS_MAX)
			return ERR_TOO_LARGE;
		format_value(value, text, sizeof(text));
		record->values[field - 1] = intern_text(&records->values, text);
	}
	return 0;
}

static int read_record(struct records *records, struct json_object *line)
{
	struct json_object *body = json_object_object_get(line, "body");
	struct json_object *key = json_object_object_get(line, "key");
	struct json_object *sort = json_object_object_get(line, "sort");
	struct json_object *to = json_object_object_get(line, "to");
	struct record *record;
	struct str key_text;

	if (!json_object_is_type(body, json_type_object) ||
	    !json_object_is_type(key, json_type_string) ||
	    !json_object_is_type(sort, json_type_string))
		return ERR_TYPE;
	record = mem_zalloc(sizeof(*record));
	MEM_GROW(records->items, records->n, records->cap);
	records->items[records->n++] = record;
	backend__record__init(&record->pb_record);
	record->pb_record.key = copy_text(key, 0);
	record->pb_record.sort = copy_text(sort, 0);
	record->pb_record.body =
		copy_text(body, JSON_C_TO_STRING_PLAIN |
					JSON_C_TO_STRING_NOSLASHESCAPE);
	record->from_version =
		json_object_get_uint64(json_object_object_get(line, "from"));
	record->to_version = to ? json_object_get_uint64(to) : UINT64_MAX;
	key_text.data = (const char *)record->pb_record.key.data;
	key_text.len = record->pb_record.key.len;
	record->point = str_hash(key_text) % RECORDS_POINTS;
	return read_fields(records, record, body);
}

static int read_lines(struct records *records, FILE *file, struct error *err)
{
	char subject[ERROR_SUBJECT_SIZE];
	char *line = NULL;
	size_t size = 0;
	int number = 0;
	int ret = 0;

	while (!ret && getline(&line, &size, file) >= 0) {
		struct json_object *object = json_tokener_parse(line);

		number++;
		ret = object ? read_record(records, object) : ERR_SYNTAX;
		json_object_put(object);
	}
	free(line);
	if (!ret)
		return 0;
	snprintf(subject, sizeof(subject), "%.60s line %d", records->path,
		 number);
	return error_set(err, ret, subject, NULL, "a record");
}

int records_init(struct records *records, const char *path, struct error *err)
{
	FILE *file;
	int ret;

	memset(records, 0, sizeof(*records));
	file = fopen(path, "r");
	if (!file)
		return error_set(err, ERR_IO, path, NULL, "a data file");
	records->path = mem_dup(path);
	ret = read_lines(records, file, err);
	fclose(file);
	if (ret)
		records_finish(records);
	return ret;
}

static void free_snapshot(struct snapshot *snapshot)
{
	free(snapshot->ranges);
	free(snapshot->starts);
	free(snapshot->records);
	free(snapshot);
}

void records_finish(struct records *records)
{
	size_t i;

	while (records->snapshots) {
		struct snapshot *next = records->snapshots->next;

		free_snapshot(records->snapshots);
		records->snapshots = next;
	}
	for (i = 0; i < records->n; i++) {
		free(records->items[i]->pb_record.key.data);
		free(records->items[i]->pb_record.sort.data);
		free(records->items[i]->pb_record.body.data);
		free(records->items[i]);
	}
	free(records->items);
	free(records->path);
	free_interned(&records->fields);
	free_interned(&records->values);
	memset(records, 0, sizeof(*records));
}

static int shard_of(uint32_t point, int n_shards)
{
	/* Find the last shard whose first point is not above this one. */
	int shard = (int)((uint64_t)point * n_shards / RECORDS_POINTS);

	if (shard + 1 < n_shards &&
	    (uint64_t)(shard + 1) * RECORDS_POINTS / n_shards <= point)
		shard++;
	return shard;
}

static int compare_bytes(const ProtobufCBinaryData *a,
			 const ProtobufCBinaryData *b)
{
	struct str left = {(const char *)a->data, a->len};
	struct str right = {(const char *)b->data, b->len};

	return str_cmp(left, right);
}

static int compare_records(const void *a, const void *b, void *arg)
{
	const struct record *left = *(const struct record *const *)a;
	const struct record *right = *(const struct record *const *)b;
	int n_shards = *(const int *)arg;
	int cmp;

	cmp = shard_of(left->point, n_shards) -
	      shard_of(right->point, n_shards);
	if (cmp)
		return cmp;
	cmp = compare_bytes(&left->pb_record.sort, &right->pb_record.sort);
	if (cmp)
		return cmp;
	return compare_bytes(&left->pb_record.key, &right->pb_record.key);
}

static void assign_shards(struct snapshot *snapshot, size_t n)
{
	int n_shards = snapshot->n_shards;
	size_t i;
	int shard;

	for (i = 0; i < n; i++)
		snapshot->starts[shard_of(snapshot->records[i]->point,
					  n_shards) +
				 1]++;
	for (shard = 0; shard < n_shards; shard++) {
		Backend__KeyRange *range = &snapshot->ranges[shard];

		snapshot->starts[shard + 1] += snapshot->starts[shard];
		backend__key_range__init(range);
		range->lo = (uint64_t)shard * RECORDS_POINTS / n_shards;
		range->hi =
			(uint64_t)(shard + 1) * RECORDS_POINTS / n_shards - 1;
	}
}

const struct snapshot *records_snapshot(struct records *records,
					uint64_t version, int n_shards)
{
	struct snapshot *snapshot;
	size_t n = 0;
	size_t i;

	for (snapshot = records->snapshots; snapshot;
	     snapshot = snapshot->next) {
		if (snapshot->version == version &&
		    snapshot->n_shards == n_shards)
			return snapshot;
	}
	snapshot = mem_zalloc(sizeof(*snapshot));
	snapshot->version = version;
	snapshot->n_shards = n_shards;
	snapshot->ranges = mem_zalloc(n_shards * sizeof(*snapshot->ranges));
	snapshot->starts =
		mem_zalloc((n_shards + 1) * sizeof(*snapshot->starts));
	snapshot->records = mem_zalloc(records->n * sizeof(*snapshot->records));
	for (i = 0; i < records->n; i++) {
		const struct record *record = records->items[i];

		if (record->from_version <= version &&
		    version < record->to_version)
			snapshot->records[n++] = record;
	}
	qsort_r(snapshot->records, n, sizeof(*snapshot->records),
		compare_records, &n_shards);
	assign_shards(snapshot, n);
	snapshot->next = records->snapshots;
	records->snapshots = snapshot;
	return snapshot;
}

static void add_term(const struct records *records, const char *name,
		     struct json_object *value, struct record_filter *out)
{
	char text[VALUE_TEXT_SIZE];
	struct filter_term term;

	format_value(value, text, sizeof(text));
	term.field = find_interned(records->fields, name);
	term.value = find_interned(records->values, text);
	if (!term.field || !term.value) {
		out->matches_none = true;
		return;
	}
	term.field--;
	out->terms[out->n++] = term;
}

int records_compile_filter(const struct records *records, const char *text,
			   struct record_filter *out)
{
	struct json_object *root;

	out->matches_none = false;
	out->n = 0;
	if (!*text)
		return 0;
	root = json_tokener_parse(text);
	if (!json_object_is_type(root, json_type_object)) {
		json_object_put(root);
		return ERR_BAD_REQUEST;
	}
	json_object_object_foreach(root, name, value)
		add_term(records, name, value, out);
	json_object_put(root);
	return 0;
}

int snapshot_find_shard(const struct snapshot *snapshot, uint32_t lo,
			uint32_t hi)
{
	int shard;

	if (lo >= RECORDS_POINTS)
		return ERR_NOT_HELD;
	shard = shard_of(lo, snapshot->n_shards);
	if (snapshot->ranges[shard].lo != lo ||
	    snapshot->ranges[shard].hi != hi)
		return ERR_NOT_HELD;
	return shard;
}

static bool matches(const struct record *record,
		    const struct record_filter *filter)
{
	int i;

	for (i = 0; i < filter->n; i++) {
		if (record->values[filter->terms[i].field] !=
		    filter->terms[i].value)
			return false;
	}
	return true;
}

void snapshot_search(const struct snapshot *snapshot, int shard,
		     const struct record_filter *filter,
		     const Backend__SearchRequest *request,
		     Backend__ShardPartial *out)
{
	uint32_t held = snapshot_shard_size(snapshot, shard);
	size_t limit = request->limit;
	uint32_t i;

	out->held = held;
	if (filter->matches_none)
		return;
	if (request->mode != BACKEND__MODE__RECORDS)
		limit = 0;
	if (limit > held)
		limit = held;
	if (limit)
		out->records = mem_zalloc(limit * sizeof(*out->records));
	for (i = 0; i < held; i++) {
		const struct record *record =
			snapshot->records[snapshot->starts[shard] + i];

		if (!matches(record, filter))
			continue;
		out->count++;
		if (out->n_records < limit)
			out->records[out->n_records++] =
				(Backend__Record *)&record->pb_record;
	}
}
