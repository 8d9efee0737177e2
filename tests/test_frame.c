#include <arpa/inet.h>
#include <string.h>

#include <event2/buffer.h>

#include "error.h"
#include "frame.h"
#include "peer.pb-c.h"
#include "unit.h"

#define MAGIC_OFFSET 0
#define VERSION_OFFSET 2
#define TYPE_OFFSET 3
#define LENGTH_OFFSET 4
#define RESERVED_OFFSET 8

static size_t pack_hello(struct evbuffer *out)
{
	Peer__Hello hello = PEER__HELLO__INIT;

	hello.instance = (char *)"be1-a";
	hello.incarnation = 7;
	CU_ASSERT_EQUAL_FATAL(frame_write(out, FRAME_HELLO, &hello.base), 0);
	return evbuffer_get_length(out);
}

static void check_hello(struct evbuffer *in)
{
	struct frame frame;

	CU_ASSERT_EQUAL_FATAL(frame_read(in, &frame), 1);
	CU_ASSERT_EQUAL(frame.type, FRAME_HELLO);
	CU_ASSERT_STRING_EQUAL(((Peer__Hello *)frame.message)->instance,
			       "be1-a");
	frame_finish(&frame);
}

static void test_whole_frames_in_order(void)
{
	struct evbuffer *buffer = evbuffer_new();
	Peer__Cancel cancel = PEER__CANCEL__INIT;
	struct frame frame;

	pack_hello(buffer);
	cancel.id = 9;
	frame_write(buffer, FRAME_CANCEL, &cancel.base);
	check_hello(buffer);
	CU_ASSERT_EQUAL_FATAL(frame_read(buffer, &frame), 1);
	CU_ASSERT_EQUAL(frame.type, FRAME_CANCEL);
	CU_ASSERT_EQUAL(((Peer__Cancel *)frame.message)->id, 9);
	frame_finish(&frame);
	CU_ASSERT_EQUAL(frame_read(buffer, &frame), 0);
	evbuffer_free(buffer);
}

/* An empty message is encoded as a header without payload. */
static void test_empty_payload(void)
{
	struct evbuffer *buffer = evbuffer_new();
	Peer__Cancel cancel = PEER__CANCEL__INIT;
	struct frame frame;

	frame_write(buffer, FRAME_CANCEL, &cancel.base);
	CU_ASSERT_EQUAL(evbuffer_get_length(buffer), FRAME_HEADER_SIZE);
	CU_ASSERT_EQUAL_FATAL(frame_read(buffer, &frame), 1);
	CU_ASSERT_EQUAL(frame.payload_len, 0);
	frame_finish(&frame);
	evbuffer_free(buffer);
}

/* TCP may split a frame at any byte. */
static void test_partial_frames(void)
{
	struct evbuffer *whole = evbuffer_new();
	size_t len = pack_hello(whole);
	unsigned char *bytes = evbuffer_pullup(whole, -1);
	struct frame frame;
	size_t cut;

	for (cut = 0; cut < len; cut++) {
		struct evbuffer *in = evbuffer_new();

		evbuffer_add(in, bytes, cut);
		CU_ASSERT_EQUAL(frame_read(in, &frame), 0);
		CU_ASSERT_EQUAL(evbuffer_get_length(in), cut);
		evbuffer_add(in, bytes + cut, len - cut);
		check_hello(in);
		evbuffer_free(in);
	}
	evbuffer_free(whole);
}

/* Return: the result of reading a frame with one header byte replaced. */
static int read_changed(size_t at, unsigned char byte)
{
	struct evbuffer *buffer = evbuffer_new();
	struct frame frame;
	int ret;

	pack_hello(buffer);
	evbuffer_pullup(buffer, -1)[at] = byte;
	ret = frame_read(buffer, &frame);
	if (ret > 0)
		frame_finish(&frame);
	evbuffer_free(buffer);
	return ret;
}

static void test_wrong_headers(void)
{
	CU_ASSERT_EQUAL(read_changed(MAGIC_OFFSET, 0), ERR_FRAME);
	CU_ASSERT_EQUAL(read_changed(VERSION_OFFSET, 2), ERR_VERSION);
	CU_ASSERT_EQUAL(read_changed(VERSION_OFFSET, 0), ERR_VERSION);
	CU_ASSERT_EQUAL(read_changed(TYPE_OFFSET, 0), ERR_FRAME);
	CU_ASSERT_EQUAL(read_changed(TYPE_OFFSET, 255), ERR_FRAME);
	CU_ASSERT_EQUAL(read_changed(RESERVED_OFFSET, 1), ERR_FRAME);
	CU_ASSERT_EQUAL(read_changed(LENGTH_OFFSET, 1), ERR_TOO_LARGE);
	CU_ASSERT_EQUAL(read_changed(LENGTH_OFFSET, 255), ERR_TOO_LARGE);
}

/*
 * A peer announces a payload above the limit. The frame must be rejected by its
 * header alone: buffering the payload could exhaust memory.
 */
static void test_oversize_is_refused_by_the_header(void)
{
	struct evbuffer *buffer = evbuffer_new();
	unsigned char header[FRAME_HEADER_SIZE] = {0x47, 0x52, FRAME_VERSION,
						   FRAME_HELLO};
	uint32_t len = htonl(FRAME_PAYLOAD_MAX);
	struct frame frame;

	memcpy(header + LENGTH_OFFSET, &len, sizeof(len));
	evbuffer_add(buffer, header, sizeof(header));
	CU_ASSERT_EQUAL(frame_read(buffer, &frame), 0);
	len = htonl(FRAME_PAYLOAD_MAX + 1);
	memcpy(evbuffer_pullup(buffer, -1) + LENGTH_OFFSET, &len, sizeof(len));
	CU_ASSERT_EQUAL(frame_read(buffer, &frame), ERR_TOO_LARGE);
	evbuffer_free(buffer);
}

static void test_garbage_payload(void)
{
	struct evbuffer *buffer = evbuffer_new();
	size_t len = pack_hello(buffer);
	struct frame frame;

	memset(evbuffer_pullup(buffer, -1) + FRAME_HEADER_SIZE, 0xff,
	       len - FRAME_HEADER_SIZE);
	CU_ASSERT_EQUAL(frame_read(buffer, &frame), ERR_FRAME);
	evbuffer_free(buffer);
}

/* A payload that does not parse as the announced type is rejected. */
static void test_payload_of_another_type(void)
{
	struct evbuffer *buffer = evbuffer_new();
	struct frame frame;

	pack_hello(buffer);
	evbuffer_pullup(buffer, -1)[TYPE_OFFSET] = FRAME_CANCEL;
	CU_ASSERT_EQUAL(frame_read(buffer, &frame), ERR_FRAME);
	evbuffer_free(buffer);
}

static void test_too_large_to_write(void)
{
	struct evbuffer *buffer = evbuffer_new();
	Peer__TableUpdate update = PEER__TABLE_UPDATE__INIT;

	update.text.len = FRAME_PAYLOAD_MAX + 1;
	/* The data is not read, only its length. */
	update.text.data = (uint8_t *)"";
	CU_ASSERT_EQUAL(frame_write(buffer, FRAME_TABLE_UPDATE, &update.base),
			ERR_TOO_LARGE);
	CU_ASSERT_EQUAL(evbuffer_get_length(buffer), 0);
	evbuffer_free(buffer);
}

static const struct unit_test tests[] = {
	{"whole frames in order", test_whole_frames_in_order},
	{"empty payload", test_empty_payload},
	{"partial frames", test_partial_frames},
	{"wrong headers", test_wrong_headers},
	{"oversize is refused by the header",
	 test_oversize_is_refused_by_the_header},
	{"garbage payload", test_garbage_payload},
	{"payload of another type", test_payload_of_another_type},
	{"too large to write", test_too_large_to_write},
};

UNIT_MAIN("frame", tests)
