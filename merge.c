#include "merge.h"

#include <stdlib.h>
#include <string.h>

#include "mem.h"

void merge_init(struct merge *merge, int limit)
{
	merge->records = NULL;
	merge->n = 0;
	merge->limit = limit;
}

void merge_finish(struct merge *merge)
{
	int i;

	for (i = 0; i < merge->n; i++)
		free(merge->records[i].buffer);
	free(merge->records);
	merge->records = NULL;
	merge->n = 0;
}

static struct str str_from_bytes(ProtobufCBinaryData data)
{
	return (struct str){(const char *)data.data, data.len};
}

static int compare_to_existing(const struct merge_record *existing,
			       const Backend__Record *in)
{
	int cmp = str_cmp(existing->sort, str_from_bytes(in->sort));

	return cmp ? cmp : str_cmp(existing->key, str_from_bytes(in->key));
}

int merge_compare(const Backend__Record *a, const Backend__Record *b)
{
	int cmp = str_cmp(str_from_bytes(a->sort), str_from_bytes(b->sort));

	return cmp ? cmp
		   : str_cmp(str_from_bytes(a->key), str_from_bytes(b->key));
}

static struct str append_bytes(char **at, ProtobufCBinaryData data)
{
	struct str s = {*at, data.len};

	if (data.len)
		memcpy(*at, data.data, data.len);
	*at += data.len;
	return s;
}

static void copy_record(struct merge_record *out, const Backend__Record *in)
{
	char *at = mem_zalloc(in->sort.len + in->key.len + in->body.len);

	out->buffer = at;
	out->sort = append_bytes(&at, in->sort);
	out->key = append_bytes(&at, in->key);
	out->body = append_bytes(&at, in->body);
}

static void insert(struct merge *merge, int at, const Backend__Record *in)
{
	if (merge->n == merge->limit)
		free(merge->records[--merge->n].buffer);
	memmove(&merge->records[at + 1], &merge->records[at],
		(size_t)(merge->n - at) * sizeof(*merge->records));
	copy_record(&merge->records[at], in);
	merge->n++;
}

/* The first index, starting with @from, whose record sorts after @in. */
static int find_position(const struct merge *merge, int from,
			 const Backend__Record *in)
{
	int lo = from;
	int hi = merge->n;

	while (lo < hi) {
		int mid = lo + (hi - lo) / 2;

		if (compare_to_existing(&merge->records[mid], in) <= 0)
			lo = mid + 1;
		else
			hi = mid;
	}
	return lo;
}

void merge_add(struct merge *merge, Backend__Record **records, size_t n)
{
	int at = 0;
	size_t i;

	if (!merge->limit)
		return;
	if (!merge->records)
		merge->records = mem_zalloc((size_t)merge->limit *
					    sizeof(*merge->records));
	for (i = 0; i < n; i++) {
		at = find_position(merge, at, records[i]);
		if (at == merge->limit)
			return;
		insert(merge, at, records[i]);
	}
}
