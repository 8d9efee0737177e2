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

/* Behind all that are not smaller. */
static int place_of(const struct records *records, const char *record)
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

static void add(struct records *records, const char *record, uint8_t tag)
{
	int at = place_of(records, record);
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
		add(records, body.data + at, tag);
}

void records_drop_below(struct records *records, const char *floor)
{
	records->n = place_of(records, floor);
}
