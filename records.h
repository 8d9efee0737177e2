/* Keeps the greatest of many records of a fixed size, compared as bytes. */
#ifndef RECORDS_H
#define RECORDS_H

#include "str.h"

#define RECORD_SIZE 16

/**
 * struct records - the greatest records so far, in descending order
 * @bytes: @n records; owned
 * @tags: the tag that each was added with; owned
 * @n: how many there are
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
 * records_add() - add the records of a part
 * @records: updated
 * @body: records in any order; a shorter rest at the end is ignored
 * @tag: stored with each of them
 *
 * Equal records are all kept.
 */
void records_add(struct records *records, struct str body, uint8_t tag);

/**
 * records_reduce() - keep only the greatest records of a body
 * @body: records in any order; changed in place, with the shorter rest at its
 *	end, so that more bytes may follow
 * @len: of @body, bytes
 * @max: how many records are kept
 *
 * Return: the new length, bytes.
 */
size_t records_reduce(char *body, size_t len, int max);

/**
 * records_drop_below() - remove the records that are less than a bound
 * @records: updated
 * @floor: a record, the least that is kept
 */
void records_drop_below(struct records *records, const char *floor);

#endif
