/* The greatest of many records of a fixed size, compared as bytes. */
#ifndef RECORDS_H
#define RECORDS_H

#include "str.h"

#define RECORD_SIZE 16

/**
 * struct records - the greatest records so far, falling
 * @bytes: @n of them, owned
 * @tags: of each, as it was added with
 * @max: how many are kept
 */
struct records {
	char *bytes;
	uint8_t *tags;
	int n;
	int max;
};

void records_init(struct records *records, int max);
void records_finish(struct records *records);

/**
 * records_add() - take the records of one part
 * @body: in no order; a rest shorter than a record is none
 * @tag: kept with each of them
 *
 * Equal records all count.
 */
void records_add(struct records *records, struct str body, uint8_t tag);

/**
 * records_drop_below() - drop those that are less than a record
 */
void records_drop_below(struct records *records, const char *floor);

#endif
