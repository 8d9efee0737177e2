/* Keys of the platform's store: any bytes, NUL included. */
#ifndef STORE_KEY_H
#define STORE_KEY_H

#include <stddef.h>

#include "str.h"

/*
 * Longest key that is kept, bytes. The store's have 200 at most, but one that
 * shows U+FFFD for each byte that is no text shows three times that.
 */
#define STORE_KEY_MAX 600

/**
 * struct store_key - a key, or a part of one
 * @len: number of bytes; 0: none
 * @data: not NUL-terminated
 */
struct store_key {
	size_t len;
	char data[STORE_KEY_MAX];
};

/**
 * store_key_set() - copy a key
 * @key: the copy; empty after a failure
 * @text: the key
 *
 * Return: 0, or ERR_TOO_LARGE.
 */
int store_key_set(struct store_key *key, struct str text);

/**
 * store_key_str() - the bytes of a key
 * @key: the key
 *
 * Return: valid as long as @key.
 */
struct str store_key_str(const struct store_key *key);

#endif
