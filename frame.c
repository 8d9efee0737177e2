#include "frame.h"

#include <arpa/inet.h>
#include <string.h>

#include <event2/buffer.h>

#include "error.h"
#include "peer.pb-c.h"

/* As on the wire, big-endian. */
struct header {
	uint16_t magic;
	uint8_t version;
	uint8_t type;
	uint32_t len;
	uint32_t reserved;
};

_Static_assert(sizeof(struct header) == FRAME_HEADER_SIZE,
	       "the header must have no padding");

static const ProtobufCMessageDescriptor *descriptor_of(int type)
{
	switch (type) {
#define FRAME_CASE(symbol, number, name)                                       \
	case symbol:                                                           \
		return &name##__descriptor;
		FRAME_LIST(FRAME_CASE)
#undef FRAME_CASE
	}
	return NULL;
}

#define FRAME_CHECK_NUMBER(symbol, number, name)                               \
	_Static_assert((number) < FRAME_TYPE_LIMIT, "frame type out of "       \
						    "range");
FRAME_LIST(FRAME_CHECK_NUMBER)
#undef FRAME_CHECK_NUMBER

const char *frame_type_name(int type)
{
	switch (type) {
#define FRAME_NAME(symbol, number, name)                                       \
	case symbol:                                                           \
		return #name + sizeof("peer__") - 1;
		FRAME_LIST(FRAME_NAME)
#undef FRAME_NAME
	}
	return "unknown";
}

int frame_write(struct evbuffer *out, enum frame_type type,
		const ProtobufCMessage *message)
{
	size_t len = protobuf_c_message_get_packed_size(message);
	struct header header = {
		.magic = htons(FRAME_MAGIC),
		.version = FRAME_VERSION,
		.type = (uint8_t)type,
		.len = htonl((uint32_t)len),
	};
	struct evbuffer_iovec space;

	if (len > FRAME_PAYLOAD_MAX)
		return ERR_TOO_LARGE;
	if (evbuffer_reserve_space(out, (ev_ssize_t)(sizeof(header) + len),
				   &space, 1) != 1)
		return ERR_SYSTEM;
	memcpy(space.iov_base, &header, sizeof(header));
	protobuf_c_message_pack(message,
				(uint8_t *)space.iov_base + sizeof(header));
	space.iov_len = sizeof(header) + len;
	evbuffer_commit_space(out, &space, 1);
	return 0;
}

static int check_header(const struct header *header)
{
	if (ntohs(header->magic) != FRAME_MAGIC)
		return ERR_FRAME;
	if (header->version != FRAME_VERSION)
		return ERR_VERSION;
	if (!descriptor_of(header->type) || header->reserved)
		return ERR_FRAME;
	if (ntohl(header->len) > FRAME_PAYLOAD_MAX)
		return ERR_TOO_LARGE;
	return 0;
}

int frame_read(struct evbuffer *in, struct frame *frame)
{
	struct header header;
	const uint8_t *data;
	size_t len;
	int ret;

	if (evbuffer_copyout(in, &header, sizeof(header)) !=
	    (ev_ssize_t)sizeof(header))
		return 0;
	ret = check_header(&header);
	if (ret)
		return ret;
	len = ntohl(header.len);
	if (evbuffer_get_length(in) < sizeof(header) + len)
		return 0;
	data = evbuffer_pullup(in, (ev_ssize_t)(sizeof(header) + len));
	if (!data)
		return ERR_SYSTEM;
	frame->type = header.type;
	frame->payload_len = len;
	frame->message =
		protobuf_c_message_unpack(descriptor_of(header.type), NULL, len,
					  data + sizeof(header));
	evbuffer_drain(in, sizeof(header) + len);
	return frame->message ? 1 : ERR_FRAME;
}

void frame_finish(struct frame *frame)
{
	protobuf_c_message_free_unpacked(frame->message, NULL);
	frame->message = NULL;
}
