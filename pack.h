/* Long parts of messages between instances, in zlib's format. */
#ifndef PACK_H
#define PACK_H

#include <stddef.h>
#include <stdint.h>

/* Below this many bytes nothing is gained that is worth the time. */
#define COMPRESS_MIN_SIZE 512

/**
 * compress_bytes() - deflate
 * @len: set to the length of what is returned
 *
 * Return: bytes that the caller frees; NULL if it cannot be done.
 */
uint8_t *compress_bytes(const uint8_t *raw, size_t size, size_t *len);

/**
 * decompress_bytes() - the other way round
 * @size: of what comes out, as the sender says
 *
 * Return: @size bytes that the caller frees; NULL if that is not what it is.
 */
uint8_t *decompress_bytes(const uint8_t *packed, size_t len, size_t size);

#endif
