/* Strings with an explicit length. */
#ifndef STR_H
#define STR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * struct str - a borrowed byte string
 * @data: not necessarily NUL-terminated
 * @len: number of bytes
 */
struct str {
	const char *data;
	size_t len;
};

#define STR(literal) ((struct str){(literal), sizeof(literal) - 1})
#define STR_FMT "%.*s"
#define STR_ARG(s) (int)(s).len, (s).data

struct str str_from(const char *text);
bool str_eq(struct str a, struct str b);
bool str_eq_text(struct str a, const char *text);

/**
 * str_cmp() - compare two strings bytewise
 * @a: first string
 * @b: second string
 *
 * A prefix sorts before the longer string.
 *
 * Return: less than, equal to or greater than zero, as memcmp().
 */
int str_cmp(struct str a, struct str b);

/**
 * str_hash() - 64-bit hash (XXH3), the same on every machine
 * @s: the string to hash
 */
uint64_t str_hash(struct str s);

/**
 * str_hash_mix() - combine a hash with another integer
 * @hash: the hash so far
 * @more: the integer to add
 */
uint64_t str_hash_mix(uint64_t hash, uint64_t more);

/**
 * str_parse_u64() - parse an unsigned decimal integer
 * @s: must consist of digits only
 * @out: set on success
 *
 * Return: 0; ERR_SYNTAX, or ERR_RANGE if it exceeds 64 bits.
 */
int str_parse_u64(struct str s, uint64_t *out);

/**
 * str_utf8_len() - length of the UTF-8 character that a string begins with
 * @s: any bytes
 *
 * Return: 1 to 4; 0 if it begins with none.
 */
size_t str_utf8_len(struct str s);

/**
 * str_copy() - copy into a buffer and NUL-terminate
 * @dst: the buffer
 * @size: of @dst, bytes; at least 1
 * @s: the string to copy
 *
 * Return: 0, or ERR_TOO_LARGE if it was truncated.
 */
int str_copy(char *dst, size_t size, struct str s);

#endif
