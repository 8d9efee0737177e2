#include <string.h>

#include <event2/buffer.h>

#include "shared_body.h"
#include "unit.h"

static const struct http_limits limits = {.head = 256, .body = 65536};

static void read_request(struct http_message *message,
			 struct http_memory *memory)
{
	static const char text[] =
		"POST / HTTP/1.1\r\nContent-Length: 5\r\n\r\n"
		"hello";
	struct evbuffer *in = evbuffer_new();

	http_message_init(message, HTTP_REQUEST, &limits);
	message->memory = memory;
	evbuffer_add(in, text, sizeof(text) - 1);
	CU_ASSERT(http_message_read(message, in) == 1);
	evbuffer_free(in);
}

/* Guards against a body that is counted twice, or not at all. */
static void test_body_moves_with_its_memory(void)
{
	struct http_memory memory = {0};
	struct http_message message;
	struct shared_body *body;
	size_t before;

	read_request(&message, &memory);
	before = http_message_allocated(&message);
	CU_ASSERT(memory.used == before);
	body = shared_body_take(&message, &memory);
	CU_ASSERT(str_eq_text(shared_body_str(body), "hello"));
	CU_ASSERT(!http_message_body(&message).len);
	CU_ASSERT(memory.used == http_message_allocated(&message) + 5);
	shared_body_unref(body);
	CU_ASSERT(memory.used == http_message_allocated(&message));
	http_message_finish(&message);
	CU_ASSERT(!memory.used);
}

/* Guards against a body that is freed while an abandoned send writes it. */
static void test_body_outlives_its_owner(void)
{
	struct http_memory memory = {0};
	struct shared_body *body = shared_body_copy(STR("hello"), &memory);
	struct evbuffer *out[2] = {evbuffer_new(), evbuffer_new()};
	char written[5];
	int i;

	for (i = 0; i < 2; i++)
		shared_body_write(body, out[i]);
	shared_body_unref(body);
	CU_ASSERT(memory.used == 5);
	evbuffer_free(out[0]);
	CU_ASSERT(memory.used == 5);
	CU_ASSERT(evbuffer_remove(out[1], written, 5) == 5);
	CU_ASSERT(!memcmp(written, "hello", 5));
	evbuffer_free(out[1]);
	CU_ASSERT(!memory.used);
}

static const struct unit_test tests[] = {
	{"a body moves with its memory", test_body_moves_with_its_memory},
	{"a body outlives its owner", test_body_outlives_its_owner},
};

UNIT_MAIN("shared_body", tests)
