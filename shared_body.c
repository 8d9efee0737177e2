#include "shared_body.h"

#include <stdlib.h>

#include <event2/buffer.h>

#include "mem.h"

/**
 * struct shared_body - a body
 * @refs: references to it
 * @data: owned, @len bytes
 */
struct shared_body {
	int refs;
	char *data;
	size_t len;
	struct http_memory *memory;
};

static struct shared_body *new_body(char *data, size_t len,
				    struct http_memory *memory)
{
	struct shared_body *body = mem_zalloc(sizeof(*body));

	body->refs = 1;
	body->data = data;
	body->len = len;
	body->memory = memory;
	memory->used += len;
	return body;
}

struct shared_body *shared_body_take(struct http_message *message,
				     struct http_memory *memory)
{
	size_t len;
	char *data = http_message_take_body(message, &len);

	return new_body(data, len, memory);
}

struct shared_body *shared_body_copy(struct str body,
				     struct http_memory *memory)
{
	return new_body(mem_dup_len(body.data, body.len), body.len, memory);
}

void shared_body_unref(struct shared_body *body)
{
	if (!body || --body->refs)
		return;
	body->memory->used -= body->len;
	free(body->data);
	free(body);
}

struct str shared_body_str(const struct shared_body *body)
{
	return (struct str){body->data, body->len};
}

static void on_written(const void *data, size_t len, void *arg)
{
	(void)data;
	(void)len;
	shared_body_unref(arg);
}

void shared_body_write(struct shared_body *body, struct evbuffer *out)
{
	body->refs++;
	if (evbuffer_add_reference(out, body->data, body->len, on_written,
				   body))
		body->refs--;
}
