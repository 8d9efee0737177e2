/* The greatest of many records of a fixed size, compared as bytes. */
#ifndef RECORDS_H
#define RECORDS_H

#include "str.h"

#define RECORD_SIZE 16

/**
 * struct records - the greatest records so far, falling
 * @bytes: @n of them, owned
 * @max: how many are kept
 */
struct records {
	char *bytes;
	int n;
	int max;
};

void records_init(struct records *records, int max);
void records_finish(struct records *records);

/**
 * records_add() - take the records of one part
 * @body: in no order; a rest shorter than a record is none
 *
 * Equal records all count.
 */
void records_add(struct records *records, struct str body);

#endif
