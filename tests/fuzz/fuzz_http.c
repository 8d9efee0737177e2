/* Fuzzes the HTTP parser with requests and responses, whole or in chunks. */
#include "fuzz.h"

#include <stdlib.h>

#include <event2/buffer.h>

#include "http_message.h"
#include "server_load.h"

#define CHUNK_SIZE 7

static const struct http_limits limits = {.head = 2048, .body = 4096};

/* Flags in the first byte of an input: how the rest of it is parsed. */
#define AS_RESPONSE 1
#define RESPONSE_TO_HEAD 2
#define IN_CHUNKS 4

static bool is_odd(char c)
{
	return (unsigned char)c <= ' ' || c == 127;
}

/* What is passed on must not be read as something else. */
static void check_message(const struct http_message *message)
{
	unsigned int status = message->parser.status_code;
	int i;
	size_t k;

	if (message->parser.type == HTTP_RESPONSE &&
	    (status < 100 || status > 599))
		abort();
	for (i = 0; i < message->n_fields; i++) {
		struct str name =
			http_message_span(message, message->fields[i].name);

		if (!name.len)
			abort();
		for (k = 0; k < name.len; k++) {
			if (is_odd(name.data[k]))
				abort();
		}
	}
}

static void read_fields(const struct http_message *message)
{
	struct server_load load;
	int i;

	for (i = 0; i < message->n_fields; i++)
		http_field_is_hop_by_hop(
			message,
			http_message_span(message, message->fields[i].name));
	server_load_parse(http_message_field(message, STR("x-server-load")),
			  &load);
	http_message_field(message, STR("x-request-id"));
	http_message_target(message);
	http_message_body(message);
}

static void read_messages(struct http_message *message, struct evbuffer *in,
			  bool no_body)
{
	while (evbuffer_get_length(in) && http_message_read(message, in) == 1) {
		check_message(message);
		read_fields(message);
		http_message_reset(message);
		message->no_body = no_body;
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct evbuffer *in;
	struct http_message message;
	bool no_body;
	size_t at = 1;
	size_t step;

	if (!size)
		return 0;
	no_body = data[0] & RESPONSE_TO_HEAD;
	step = data[0] & IN_CHUNKS ? CHUNK_SIZE : size;
	in = evbuffer_new();
	http_message_init(&message,
			  data[0] & AS_RESPONSE ? HTTP_RESPONSE : HTTP_REQUEST,
			  &limits);
	message.no_body = no_body;
	for (; at < size && !message.error; at += step) {
		evbuffer_add(in, data + at,
			     size - at < step ? size - at : step);
		read_messages(&message, in, no_body);
	}
	http_message_eof(&message);
	http_message_finish(&message);
	evbuffer_free(in);
	return 0;
}
