#include "str.h"

#include <string.h>

#include <xxhash.h>

#include "error.h"

struct str str_from(const char *text)
{
	return (struct str){text, strlen(text)};
}

bool str_eq(struct str a, struct str b)
{
	return a.len == b.len && !memcmp(a.data, b.data, a.len);
}

bool str_eq_text(struct str a, const char *text)
{
	return str_eq(a, str_from(text));
}

int str_cmp(struct str a, struct str b)
{
	size_t len = a.len < b.len ? a.len : b.len;
	int cmp = len ? memcmp(a.data, b.data, len) : 0;

	if (cmp)
		return cmp;
	return (a.len > b.len) - (a.len < b.len);
}

uint64_t str_hash(struct str s)
{
	return XXH3_64bits(s.data, s.len);
}

uint64_t str_hash_mix(uint64_t hash, uint64_t more)
{
	return XXH3_64bits_withSeed(&more, sizeof(more), hash);
}

int str_parse_u64(struct str s, uint64_t *out)
{
	uint64_t n = 0;
	size_t i;

	if (!s.len)
		return ERR_SYNTAX;
	for (i = 0; i < s.len; i++) {
		unsigned digit = (unsigned char)s.data[i] - '0';

		if (digit > 9)
			return ERR_SYNTAX;
		if (n > (UINT64_MAX - digit) / 10)
			return ERR_RANGE;
		n = n * 10 + digit;
	}
	*out = n;
	return 0;
}

/* RFC 3629, 4: no longer forms than needed, no surrogates. */
size_t str_utf8_len(struct str s)
{
	static const uint32_t min[] = {0, 0, 0x80, 0x800, 0x10000};
	uint32_t code;
	size_t len;
	size_t i;

	if (!s.len)
		return 0;
	code = (unsigned char)s.data[0];
	if (code < 0x80)
		return 1;
	if (code < 0xc0 || code > 0xf4)
		return 0;
	len = code < 0xe0 ? 2 : code < 0xf0 ? 3 : 4;
	if (s.len < len)
		return 0;
	code &= 0x7fU >> len;
	for (i = 1; i < len; i++) {
		unsigned char c = (unsigned char)s.data[i];

		if ((c & 0xc0) != 0x80)
			return 0;
		code = code << 6 | (c & 0x3f);
	}
	if (code < min[len] || code > 0x10ffff ||
	    (code >= 0xd800 && code <= 0xdfff))
		return 0;
	return len;
}

int str_copy(char *dst, size_t size, struct str s)
{
	size_t len = s.len < size ? s.len : size - 1;

	memcpy(dst, s.data, len);
	dst[len] = '\0';
	return len == s.len ? 0 : ERR_TOO_LARGE;
}
