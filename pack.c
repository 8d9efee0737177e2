#include "pack.h"

#include <stdlib.h>

#include <zlib.h>

#include "mem.h"

uint8_t *compress_bytes(const uint8_t *raw, size_t size, size_t *len)
{
	uLongf room = compressBound(size);
	uint8_t *out = mem_zalloc(room);

	if (compress2(out, &room, raw, size, Z_BEST_SPEED) == Z_OK) {
		*len = room;
		return out;
	}
	/* Out of memory: it goes out as it is. */
	free(out);
	return NULL;
}

uint8_t *decompress_bytes(const uint8_t *packed, size_t len, size_t size)
{
	uint8_t *raw = mem_zalloc(size + 1);
	uLongf room = size;

	if (uncompress(raw, &room, packed, len) == Z_OK && room == size)
		return raw;
	free(raw);
	return NULL;
}
