/*
 * The long parts of what gateways tell of their view, packed: a routes document
 * of 31 KB takes 3 KB, and every instance of a data centre gets one with each
 * change.
 */
#ifndef VIEW_PACK_H
#define VIEW_PACK_H

#include <stdint.h>

#include "peer.pb-c.h"

/* Most bytes of a body: routes and 4,096 servers take less than 1 MB. */
#define VIEW_BODY_SIZE_MAX (8 * 1024 * 1024)

/**
 * view_compress() - replace routes and servers of a message by their packed
 * form
 *
 * Leaves a message alone that would gain little.
 *
 * Return: bytes that @message then points to and the caller frees; NULL if
 * it was left alone.
 */
uint8_t *view_compress(Peer__ViewUpdate *message);

/**
 * view_decompress() - the routes and servers of a message that came
 * @body: set to them, to be freed with peer__view_body__free_unpacked(); NULL
 *	if the message has them as they are
 *
 * Return: 0, or ERR_PROTOCOL if they cannot be read.
 */
int view_decompress(const Peer__ViewUpdate *message, Peer__ViewBody **body);

#endif
