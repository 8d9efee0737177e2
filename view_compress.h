/*
 * Compression of the routes and servers in a ViewUpdate. Each change of routes
 * sends the document to every instance of a data centre; compression reduces it
 * from 31 KB to 3 KB.
 */
#ifndef VIEW_COMPRESS_H
#define VIEW_COMPRESS_H

#include <stdint.h>

#include "peer.pb-c.h"

/* Uncompressed bytes; routes and 4,096 servers take less than 1 MB. */
#define VIEW_BODY_SIZE_MAX (8 * 1024 * 1024)

/**
 * view_compress() - replace routes and servers of a message by @packed
 * @message: unchanged if it is too small to benefit
 *
 * Return: the compressed bytes, which @message points to and the caller frees;
 * NULL if @message was not changed.
 */
uint8_t *view_compress(Peer__ViewUpdate *message);

/**
 * view_decompress() - decompress routes and servers of a received message
 * @body: set to the routes and servers, to be freed with
 *	peer__view_body__free_unpacked(); NULL if @message is not compressed
 *
 * Return: 0, or ERR_PROTOCOL if the compressed data is invalid.
 */
int view_decompress(const Peer__ViewUpdate *message, Peer__ViewBody **body);

#endif
