#include "records.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void records_init(struct records *records, int max)
{
	records->bytes = mem_zalloc((size_t)max * RECORD_SIZE);
	records->tags = mem_zalloc((size_t)max);
	records->n = 0;
	records->max = max;
}

void records_finish(struct records *records)
{
	free(records->bytes);
	free(records->tags);
}

/* After all records that are not smaller. */
static int insert_position(const struct records *records, const char *record)
{
	int low = 0;
	int high = records->n;

	while (low < high) {
		int mid = (low + high) / 2;

		if (memcmp(records->bytes + mid * RECORD_SIZE, record,
			   RECORD_SIZE) >= 0)
			low = mid + 1;
		else
			high = mid;
	}
	return low;
}

static void insert(struct records *records, const char *record, uint8_t tag)
{
	int at = insert_position(records, record);
	char *slot = records->bytes + at * RECORD_SIZE;

	if (at == records->max)
		return;
	if (records->n < records->max)
		records->n++;
	memmove(slot + RECORD_SIZE, slot,
		(size_t)(records->n - at - 1) * RECORD_SIZE);
	memcpy(slot, record, RECORD_SIZE);
	memmove(records->tags + at + 1, records->tags + at,
		(size_t)(records->n - at - 1));
	records->tags[at] = tag;
}

void records_add(struct records *records, struct str body, uint8_t tag)
{
	size_t at;

	for (at = 0; at + RECORD_SIZE <= body.len; at += RECORD_SIZE)
		insert(records, body.data + at, tag);
}

size_t records_reduce(char *body, size_t len, int max)
{
	size_t rest = len % RECORD_SIZE;
	struct records records;
	size_t kept;

	records_init(&records, max);
	records_add(&records, (struct str){body, len}, 0);
	kept = (size_t)records.n * RECORD_SIZE;
	memcpy(body, records.bytes, kept);
	memmove(body + kept, body + len - rest, rest);
	records_finish(&records);
	return kept + rest;
}

void records_drop_below(struct records *records, const char *floor)
{
	records->n = insert_position(records, floor);
}
