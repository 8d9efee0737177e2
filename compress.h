/* Compression of large parts of messages between instances, by zlib. */
#ifndef COMPRESS_H
#define COMPRESS_H

#include <stddef.h>
#include <stdint.h>

/* Bytes; compressing less saves too little to be worth the time. */
#define COMPRESS_MIN_SIZE 512

/**
 * compress_bytes() - compress to zlib's format
 * @raw: input of @size bytes
 * @len: set to the length of the output
 *
 * Return: output that the caller frees; NULL if zlib is out of memory.
 */
uint8_t *compress_bytes(const uint8_t *raw, size_t size, size_t *len);

/**
 * decompress_bytes() - decompress zlib's format
 * @packed: input of @len bytes
 * @size: length of the output, as announced by the sender
 *
 * Return: @size bytes that the caller frees; NULL if the input is invalid or
 * its output has another length.
 */
uint8_t *decompress_bytes(const uint8_t *packed, size_t len, size_t size);

#endif
