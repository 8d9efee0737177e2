/* Merges sorted lists of records and keeps the first ones by sort key. */
#ifndef MERGE_H
#define MERGE_H

#include "backend.pb-c.h"
#include "str.h"

/**
 * struct merge_record - a copied record
 * @sort: sort key
 * @key: key
 * @body: body
 * @buffer: holds the bytes of the three
 */
struct merge_record {
	struct str sort;
	struct str key;
	struct str body;
	char *buffer;
};

/**
 * struct merge - the first records so far, ordered by (sort, key)
 * @records: @n records; room for @limit; NULL before the first merge_add()
 * @n: number of @records
 * @limit: maximum number of records kept
 */
struct merge {
	struct merge_record *records;
	int n;
	int limit;
};

void merge_init(struct merge *merge, int limit);
void merge_finish(struct merge *merge);

/**
 * merge_compare() - compare two records by (sort, key) as bytes
 *
 * Return: less than, equal to or greater than 0, as memcmp().
 */
int merge_compare(const Backend__Record *a, const Backend__Record *b);

/**
 * merge_add() - merge the records of one shard
 * @records: sorted by (sort, key); owned by the caller
 * @n: number of @records
 *
 * Records are copied only if they are among the first @limit.
 */
void merge_add(struct merge *merge, Backend__Record **records, size_t n);

#endif
