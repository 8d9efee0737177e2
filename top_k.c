#include "top_k.h"

#include <stdlib.h>
#include <string.h>

static struct top_k_entry *find(struct top_k *top, struct str key)
{
	int i;

	for (i = 0; i < top->n; i++) {
		if (str_eq_text(key, top->entries[i].key))
			return &top->entries[i];
	}
	return NULL;
}

static struct top_k_entry *find_smallest(struct top_k *top)
{
	struct top_k_entry *smallest = &top->entries[0];
	int i;

	for (i = 1; i < top->n; i++) {
		if (top->entries[i].count < smallest->count)
			smallest = &top->entries[i];
	}
	return smallest;
}

static struct top_k_entry *insert(struct top_k *top, struct str key)
{
	struct top_k_entry *entry;

	if (top->n < TOP_K_SIZE) {
		entry = &top->entries[top->n++];
		memset(entry, 0, sizeof(*entry));
	} else {
		entry = find_smallest(top);
		entry->error = entry->count;
	}
	str_copy(entry->key, sizeof(entry->key), key);
	return entry;
}

void top_k_add(struct top_k *top, struct str key, uint64_t count,
	       uint64_t error, int code)
{
	struct top_k_entry *entry;

	if (key.len >= TOP_K_KEY_SIZE)
		key.len = TOP_K_KEY_SIZE - 1;
	entry = find(top, key);
	if (!entry)
		entry = insert(top, key);
	entry->count += count;
	entry->error += error;
	entry->code = code;
}

static int compare(const void *a, const void *b)
{
	const struct top_k_entry *x = a;
	const struct top_k_entry *y = b;

	if (x->count != y->count)
		return x->count < y->count ? 1 : -1;
	return strcmp(x->key, y->key);
}

void top_k_sort(struct top_k *top)
{
	qsort(top->entries, (size_t)top->n, sizeof(*top->entries), compare);
}
