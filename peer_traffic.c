#include "peer_traffic.h"

#include <inttypes.h>

#include <event2/buffer.h>

#define FRAMES_NAME "garnetreach_peer_frames_out_total"
#define BYTES_NAME "garnetreach_peer_bytes_out_total"

static void expose(struct evbuffer *out, const char *name, const char *help,
		   const uint64_t *counts)
{
	int i;

	evbuffer_add_printf(out, "# HELP %s %s\n# TYPE %s counter\n", name,
			    help, name);
	for (i = 0; i < FRAME_TYPE_LIMIT; i++) {
		if (counts[i])
			evbuffer_add_printf(out,
					    "%s{kind=\"%s\"} %" PRIu64 "\n",
					    name, frame_type_name(i),
					    counts[i]);
	}
}

void peer_traffic_expose(const struct peer_traffic *traffic,
			 struct evbuffer *out)
{
	expose(out, FRAMES_NAME, "frames sent to other instances",
	       traffic->frames);
	expose(out, BYTES_NAME, "bytes of these, headers included",
	       traffic->bytes);
}
