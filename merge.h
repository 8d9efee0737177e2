/* The first records by sort key out of many sorted lists. */
#ifndef MERGE_H
#define MERGE_H

#include "backend.pb-c.h"
#include "str.h"

struct merge_record {
	struct str sort;
	struct str key;
	struct str body;
	char *buffer; /* the three of them */
};

/**
 * struct merge - the records kept so far, ordered by (sort, key)
 * @limit: most records kept
 */
struct merge {
	struct merge_record *records;
	int n;
	int limit;
};

void merge_init(struct merge *merge, int limit);
void merge_finish(struct merge *merge);

/**
 * merge_compare() - the order of two records: by (sort, key), as bytes
 *
 * Return: below, equal to or above zero, as memcmp().
 */
int merge_compare(const Backend__Record *a, const Backend__Record *b);

/**
 * merge_add() - take one shard's sorted records
 *
 * Records are copied only if they are among the first @limit.
 */
void merge_add(struct merge *merge, Backend__Record **records, size_t n);

#endif
