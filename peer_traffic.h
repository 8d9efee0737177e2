/*
 * What an instance sends to other instances, by kind of message: what control
 * costs at a start of all, at a change of routes and at rest.
 */
#ifndef PEER_TRAFFIC_H
#define PEER_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

#include "frame.h"

struct evbuffer;

/**
 * struct peer_traffic - frames and bytes sent since the start
 * @frames: by enum frame_type
 * @bytes: the same, headers included
 */
struct peer_traffic {
	uint64_t frames[FRAME_TYPE_LIMIT];
	uint64_t bytes[FRAME_TYPE_LIMIT];
};

static inline void peer_traffic_add(struct peer_traffic *traffic,
				    enum frame_type type, size_t bytes)
{
	traffic->frames[type]++;
	traffic->bytes[type] += bytes;
}

/**
 * peer_traffic_expose() - as metrics, a line for each kind that was sent
 */
void peer_traffic_expose(const struct peer_traffic *traffic,
			 struct evbuffer *out);

#endif
