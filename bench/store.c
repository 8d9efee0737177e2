#include "store.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "mem.h"

void store_init(struct store *store)
{
	memset(store, 0, sizeof(*store));
}

static struct store_value *find_value(const struct store *store,
				      const char *key)
{
	struct store_value *value;

	HASH_FIND_STR(store->values, key, value);
	return value;
}

static void free_versions(struct store_version *version)
{
	while (version) {
		struct store_version *next = version->next;

		free(version->data);
		free(version);
		version = next;
	}
}

static void trim_history(struct store_value *value)
{
	struct store_version *version = value->versions;
	int i;

	for (i = 1; version && i < STORE_HISTORY_LEN; i++)
		version = version->next;
	if (!version)
		return;
	free_versions(version->next);
	version->next = NULL;
}

static void put_value(struct store *store, const char *key, uint64_t revision,
		      struct str data)
{
	struct store_value *value = find_value(store, key);
	struct store_version *version = mem_zalloc(sizeof(*version));

	if (!value) {
		value = mem_zalloc(sizeof(*value));
		snprintf(value->key, sizeof(value->key), "%s", key);
		HASH_ADD_STR(store->values, key, value);
	}
	version->revision = revision;
	version->data = mem_dup_len(data.data, data.len);
	version->len = data.len;
	version->next = value->versions;
	value->versions = version;
	trim_history(value);
}

static void drop_value(struct store *store, struct store_value *value)
{
	HASH_DEL(store->values, value);
	free_versions(value->versions);
	free(value);
}

static void part_key(char *out, uint64_t revision, int part)
{
	snprintf(out, STORE_KEY_SIZE, "table.%" PRIu64 ".%d", revision, part);
}

static void drop_parts(struct store *store,
		       const struct store_publication *published)
{
	int part;

	for (part = 1; part <= published->n_parts; part++) {
		char key[STORE_KEY_SIZE];
		struct store_value *value;

		part_key(key, published->revision, part);
		value = find_value(store, key);
		if (value)
			drop_value(store, value);
	}
}

static void record_publication(struct store *store, uint64_t revision,
			       int n_parts)
{
	struct store_publication *slot =
		&store->published[store->n_published++ % STORE_HISTORY_LEN];

	drop_parts(store, slot);
	slot->revision = revision;
	slot->n_parts = n_parts;
}

static struct json_object *put_part(struct store *store, uint64_t revision,
				    int part, struct str text)
{
	struct json_object *entry = json_object_new_object();
	char key[STORE_KEY_SIZE];
	char digest[17];

	part_key(key, revision, part);
	put_value(store, key, revision, text);
	snprintf(digest, sizeof(digest), "%016" PRIx64, str_hash(text));
	json_object_object_add(entry, "key", json_object_new_string(key));
	json_object_object_add(entry, "digest", json_object_new_string(digest));
	return entry;
}

static int put_parts(struct store *store, uint64_t revision, struct str text,
		     size_t part_bytes)
{
	struct json_object *manifest = json_object_new_object();
	struct json_object *list = json_object_new_array();
	const char *body;
	int n = 0;

	while (text.len) {
		size_t len = text.len < part_bytes ? text.len : part_bytes;
		struct str part = {text.data, len};

		json_object_array_add(list,
				      put_part(store, revision, ++n, part));
		text.data += len;
		text.len -= len;
	}
	json_object_object_add(manifest, "manifest", list);
	body = json_object_to_json_string_ext(manifest, JSON_C_TO_STRING_PLAIN);
	put_value(store, "table", revision, str_from(body));
	json_object_put(manifest);
	return n;
}

void store_finish(struct store *store)
{
	struct store_value *value;
	struct store_value *next;

	HASH_ITER (hh, store->values, value, next) {
		drop_value(store, value);
	}
}

void store_put(struct store *store, const char *key, struct str data)
{
	put_value(store, key, ++store->revision, data);
}

void store_publish_table(struct store *store, struct str text,
			 size_t part_bytes)
{
	uint64_t revision = ++store->revision;
	int n_parts = 0;

	if (text.len <= part_bytes)
		put_value(store, "table", revision, text);
	else
		n_parts = put_parts(store, revision, text, part_bytes);
	record_publication(store, revision, n_parts);
}

const struct store_version *store_get(const struct store *store,
				      const char *key, uint64_t max_revision)
{
	struct store_value *value = find_value(store, key);
	const struct store_version *version;

	if (!value)
		return NULL;
	for (version = value->versions; version; version = version->next) {
		if (version->revision <= max_revision)
			return version;
	}
	return NULL;
}
