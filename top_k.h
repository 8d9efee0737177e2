/*
 * The most frequent of many keys in bounded memory (space-saving algorithm,
 * Metwally et al. 2005). A count is never too low, and too high by at most its
 * error.
 */
#ifndef TOP_K_H
#define TOP_K_H

#include <stdint.h>

#include "str.h"

#define TOP_K_SIZE 16
#define TOP_K_KEY_SIZE 65

/**
 * struct top_k_entry - counter of one key
 * @key: NUL-terminated, truncated if longer
 * @count: upper bound of the count
 * @error: how much of @count may belong to keys that were replaced
 * @code: error code of the last addition
 */
struct top_k_entry {
	char key[TOP_K_KEY_SIZE];
	uint64_t count;
	uint64_t error;
	int code;
};

struct top_k {
	struct top_k_entry entries[TOP_K_SIZE];
	int n;
};

/**
 * top_k_add() - add to the count of a key
 * @key: copied
 * @count: number of occurrences
 * @error: error of @count, if it comes from another struct top_k
 * @code: error code; only the last one is kept
 */
void top_k_add(struct top_k *top, struct str key, uint64_t count,
	       uint64_t error, int code);

/**
 * top_k_sort() - order by count, highest first, then by key
 */
void top_k_sort(struct top_k *top);

#endif
