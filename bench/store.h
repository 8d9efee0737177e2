/* Key-value store with revisions and a short history of each value. */
#ifndef BENCH_STORE_H
#define BENCH_STORE_H

#include <stdint.h>

#include <uthash.h>

#include "str.h"

#define STORE_VALUE_MAX_BYTES (1024 * 1024)
#define STORE_KEY_SIZE 128
/* Versions kept of a value, and tables whose parts are kept. */
#define STORE_HISTORY_LEN 32

/* Revision limit that includes every revision. */
#define STORE_NEWEST UINT64_MAX

/* A version of a value; owns its data. */
struct store_version {
	uint64_t revision;
	char *data;
	size_t len;
	struct store_version *next; /* older */
};

/* A value with its versions, the newest first. */
struct store_value {
	char key[STORE_KEY_SIZE];
	struct store_version *versions;
	UT_hash_handle hh;
};

/* A published table; its parts are dropped when it leaves the history. */
struct store_publication {
	uint64_t revision;
	int n_parts;
};

/**
 * struct store - all values
 * @values: values by key
 * @revision: incremented by every change
 * @published: ring buffer of the latest tables
 * @n_published: number of tables published so far
 */
struct store {
	struct store_value *values;
	uint64_t revision;
	struct store_publication published[STORE_HISTORY_LEN];
	int n_published;
};

/**
 * store_init() - create an empty store
 * @store: free with store_finish()
 */
void store_init(struct store *store);

/**
 * store_finish() - free all values
 * @store: the store
 */
void store_finish(struct store *store);

/**
 * store_put() - add a new version of a value, at the next revision
 * @store: the store
 * @key: key, shorter than STORE_KEY_SIZE
 * @data: copied
 */
void store_put(struct store *store, const char *key, struct str data);

/**
 * store_publish_table() - publish a new table at a single revision
 * @store: the store
 * @text: the table; copied
 * @part_bytes: maximum size of a value; a longer table is split into parts
 *	that a manifest lists
 */
void store_publish_table(struct store *store, struct str text,
			 size_t part_bytes);

/**
 * store_get() - get the newest version of a value up to a revision
 * @store: the store
 * @key: key of the value
 * @max_revision: highest revision to consider, or STORE_NEWEST
 *
 * Return: the version, owned by the store; NULL if there is none.
 */
const struct store_version *store_get(const struct store *store,
				      const char *key, uint64_t max_revision);

#endif
