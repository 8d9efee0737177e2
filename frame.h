/*
 * Frames between instances: a header of 12 bytes, big-endian, and a protocol
 * buffer. See docs/PROTOCOL.md.
 */
#ifndef FRAME_H
#define FRAME_H

#include <stddef.h>
#include <stdint.h>

#include <protobuf-c/protobuf-c.h>

struct evbuffer;

#define FRAME_MAGIC 0x4752
#define FRAME_VERSION 1
#define FRAME_HEADER_SIZE 12
#define FRAME_PAYLOAD_MAX (8 * 1024 * 1024)

/* X(symbol, number, descriptor): numbers are on the wire, never reuse one. */
#define FRAME_LIST(X)                                                          \
	X(FRAME_HELLO, 1, peer__hello)                                         \
	X(FRAME_QUERY, 2, peer__query)                                         \
	X(FRAME_QUERY_RESULT, 3, peer__query_result)                           \
	X(FRAME_CANCEL, 4, peer__cancel)                                       \
	X(FRAME_SERVER_STATES, 5, peer__server_states)                         \
	X(FRAME_MAP_REQUEST, 6, peer__map_request)                             \
	X(FRAME_MAP, 7, peer__map)                                             \
	X(FRAME_TABLE_DIGEST, 8, peer__table_digest)                           \
	X(FRAME_TABLE_REQUEST, 9, peer__table_request)                         \
	X(FRAME_TABLE_UPDATE, 10, peer__table_update)                          \
	X(FRAME_VIEW_STATE, 11, peer__view_state)                              \
	X(FRAME_FINGERPRINTS, 12, peer__fingerprints)                          \
	X(FRAME_RUN, 13, peer__run)                                            \
	X(FRAME_RUN_RESULT, 14, peer__run_result)                              \
	X(FRAME_FAILURE, 15, peer__failure)                                    \
	X(FRAME_MEMBERS, 16, peer__members)                                    \
	X(FRAME_LIST_REQUEST, 17, peer__list_request)                          \
	X(FRAME_LIST_UPDATE, 18, peer__list_update)                            \
	X(FRAME_VIEW_UPDATE, 19, peer__view_update)                            \
	X(FRAME_VIEW_REQUEST, 20, peer__view_request)                          \
	X(FRAME_PART_REQUEST, 21, peer__part_request)                          \
	X(FRAME_PART_RESULT, 22, peer__part_result)                            \
	X(FRAME_PART_CANCEL, 23, peer__part_cancel)                            \
	X(FRAME_LOAD_SHARE, 24, peer__load_share)

#define FRAME_ENUM(symbol, number, descriptor) symbol = number,
enum frame_type {
	FRAME_LIST(FRAME_ENUM)
};
#undef FRAME_ENUM

/* Above every number of FRAME_LIST. */
#define FRAME_TYPE_LIMIT 32

/**
 * frame_type_name() - for metrics: the descriptor's name, as in "view_update"
 */
const char *frame_type_name(int type);

/**
 * struct frame - a received frame
 * @type: one of enum frame_type
 * @message: unpacked; release with frame_finish()
 * @payload_len: bytes behind the header
 */
struct frame {
	enum frame_type type;
	ProtobufCMessage *message;
	size_t payload_len;
};

/**
 * frame_write() - append a frame
 * @message: must be of the type's descriptor
 *
 * Return: 0, or ERR_TOO_LARGE and nothing appended.
 */
int frame_write(struct evbuffer *out, enum frame_type type,
		const ProtobufCMessage *message);

/**
 * frame_read() - take one whole frame from the front of a buffer
 * @frame: filled when 1 is returned
 *
 * Return: 1; 0 if the frame is not whole yet; ERR_FRAME (wrong magic, unknown
 * type, payload not of its type), ERR_VERSION or ERR_TOO_LARGE, after which
 * the connection must be closed, since the next frame's start is not known.
 */
int frame_read(struct evbuffer *in, struct frame *frame);
void frame_finish(struct frame *frame);

#endif
