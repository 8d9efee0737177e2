/*
 * Counts what an instance sends to other instances by frame type. Shows the
 * cost of control traffic when the fleet starts, when routes change and when
 * idle.
 */
#ifndef PEER_TRAFFIC_H
#define PEER_TRAFFIC_H

#include <stddef.h>
#include <stdint.h>

#include "frame.h"

struct evbuffer;

/**
 * struct peer_traffic - frames and bytes sent since startup
 * @frames: by enum frame_type
 * @bytes: by enum frame_type, headers included
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
 * peer_traffic_expose() - append metrics with a line for each type that was
 * sent
 * @out: Prometheus text format
 */
void peer_traffic_expose(const struct peer_traffic *traffic,
			 struct evbuffer *out);

#endif
