#include "http_message.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>

#include "error.h"
#include "mem.h"

/* Bodies grow from this on, doubling. */
#define BODY_START 1024

static struct http_message *message_of(struct http_parser *parser)
{
	return parser->data;
}

static bool eq_nocase(struct str a, struct str b)
{
	return a.len == b.len && !strncasecmp(a.data, b.data, a.len);
}

static int add_head(struct http_message *message, const char *at, size_t len,
		    struct http_span *span)
{
	if (message->head_len + len > message->limits->head) {
		message->error = ERR_TOO_LARGE;
		message->head_too_large = true;
		return 1;
	}
	if (message->head_len + len > message->head_cap) {
		message->head_cap = (message->head_len + len) * 2;
		message->head = mem_realloc(message->head, message->head_cap);
	}
	memcpy(message->head + message->head_len, at, len);
	if (!span->len)
		span->at = (uint32_t)message->head_len;
	span->len += (uint32_t)len;
	message->head_len += len;
	return 0;
}

static int on_begin(struct http_parser *parser)
{
	message_of(parser)->state = MESSAGE_HEAD;
	return 0;
}

static int on_url(struct http_parser *parser, const char *at, size_t len)
{
	struct http_message *message = message_of(parser);

	return add_head(message, at, len, &message->target);
}

static int on_name(struct http_parser *parser, const char *at, size_t len)
{
	struct http_message *message = message_of(parser);

	/* Behind the last chunk: trailers are read and dropped. */
	if (message->state == MESSAGE_BODY)
		return 0;
	if (!message->n_fields || message->in_value) {
		MEM_GROW(message->fields, message->n_fields,
			 message->cap_fields);
		memset(&message->fields[message->n_fields++], 0,
		       sizeof(*message->fields));
		message->in_value = false;
	}
	/*
	 * The library takes "Content-Length : 5" for another header than
	 * servers may: a request could hide in the body of another.
	 */
	if (memchr(at, ' ', len)) {
		message->error = ERR_SYNTAX;
		return 1;
	}
	return add_head(message, at, len,
			&message->fields[message->n_fields - 1].name);
}

static int on_value(struct http_parser *parser, const char *at, size_t len)
{
	struct http_message *message = message_of(parser);

	if (message->state == MESSAGE_BODY)
		return 0;
	message->in_value = true;
	return add_head(message, at, len,
			&message->fields[message->n_fields - 1].value);
}

static int on_headers(struct http_parser *parser)
{
	struct http_message *message = message_of(parser);
	bool framed =
		parser->flags & F_CHUNKED || parser->flags & F_CONTENTLENGTH;

	message->state = MESSAGE_BODY;
	message->keep_alive = http_should_keep_alive(parser);
	if (framed && !(parser->flags & F_CHUNKED) &&
	    parser->content_length > message->limits->body) {
		message->error = ERR_TOO_LARGE;
		return -1;
	}
	message->until_close =
		parser->type == HTTP_RESPONSE && !framed && !message->no_body;
	return message->no_body;
}

static int on_body(struct http_parser *parser, const char *at, size_t len)
{
	struct http_message *message = message_of(parser);
	size_t need = message->body_len + len;

	if (need > message->limits->body) {
		message->error = ERR_TOO_LARGE;
		return 1;
	}
	if (need > message->body_cap) {
		message->body_cap = need < BODY_START ? BODY_START : need * 2;
		message->body = mem_realloc(message->body, message->body_cap);
	}
	memcpy(message->body + message->body_len, at, len);
	message->body_len = need;
	return 0;
}

/* Stops the parser exactly behind the message. */
static int on_whole(struct http_parser *parser)
{
	message_of(parser)->state = MESSAGE_COMPLETE;
	http_parser_pause(parser, 1);
	return 0;
}

static const struct http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_whole,
};

void http_message_init(struct http_message *message, enum http_parser_type type,
		       const struct http_limits *limits)
{
	memset(message, 0, sizeof(*message));
	message->limits = limits;
	http_parser_init(&message->parser, type);
	message->parser.data = message;
}

void http_message_finish(struct http_message *message)
{
	free(message->head);
	free(message->body);
	free(message->fields);
}

void http_message_reset(struct http_message *message)
{
	enum http_parser_type type =
		(enum http_parser_type)message->parser.type;

	http_parser_init(&message->parser, type);
	message->parser.data = message;
	message->state = MESSAGE_EMPTY;
	message->error = 0;
	message->head_too_large = false;
	message->no_body = false;
	message->head_len = 0;
	message->head_read = 0;
	message->target = (struct http_span){0, 0};
	message->n_fields = 0;
	message->in_value = false;
	message->body_len = 0;
	message->until_close = false;
	message->keep_alive = false;
}

static int parse(struct http_message *message, const char *data, size_t len,
		 size_t *used)
{
	enum http_errno code;

	*used = http_parser_execute(&message->parser, &callbacks, data, len);
	if (message->state == MESSAGE_COMPLETE)
		return 1;
	code = HTTP_PARSER_ERRNO(&message->parser);
	if (code != HPE_OK && !message->error)
		message->error = ERR_SYNTAX;
	if (message->state <= MESSAGE_HEAD)
		message->head_read += *used;
	if (!message->error && message->head_read > message->limits->head) {
		message->error = ERR_TOO_LARGE;
		message->head_too_large = true;
	}
	return message->error;
}

int http_message_read(struct http_message *message, struct evbuffer *in)
{
	struct evbuffer_iovec chunk;
	size_t used;
	int ret;

	if (message->error)
		return message->error;
	while (evbuffer_peek(in, -1, NULL, &chunk, 1) > 0 && chunk.iov_len) {
		ret = parse(message, chunk.iov_base, chunk.iov_len, &used);
		evbuffer_drain(in, used);
		if (ret)
			return ret;
	}
	return 0;
}

int http_message_eof(struct http_message *message)
{
	size_t used;

	if (message->error || message->state != MESSAGE_BODY ||
	    !message->until_close)
		return ERR_LOST;
	return parse(message, NULL, 0, &used) == 1 ? 1 : ERR_LOST;
}

struct str http_message_span(const struct http_message *message,
			     struct http_span span)
{
	return (struct str){span.len ? message->head + span.at : "", span.len};
}

static const struct http_field *find(const struct http_message *message,
				     struct str name)
{
	int i;

	for (i = 0; i < message->n_fields; i++) {
		if (eq_nocase(http_message_span(message,
						message->fields[i].name),
			      name))
			return &message->fields[i];
	}
	return NULL;
}

struct str http_message_field(const struct http_message *message,
			      struct str name)
{
	const struct http_field *field = find(message, name);

	if (!field)
		return (struct str){"", 0};
	return http_message_span(message, field->value);
}

bool http_message_has_field(const struct http_message *message, struct str name)
{
	return find(message, name);
}

struct str http_message_target(const struct http_message *message)
{
	return http_message_span(message, message->target);
}

struct str http_message_body(const struct http_message *message)
{
	return (struct str){message->body ? message->body : "",
			    message->body_len};
}

static bool names_field(struct str list, struct str name)
{
	while (list.len) {
		const char *comma = memchr(list.data, ',', list.len);
		size_t len = comma ? (size_t)(comma - list.data) : list.len;
		struct str word = {list.data, len};

		while (word.len && *word.data == ' ') {
			word.data++;
			word.len--;
		}
		while (word.len && word.data[word.len - 1] == ' ')
			word.len--;
		if (eq_nocase(word, name))
			return true;
		if (!comma)
			return false;
		list.data += len + 1;
		list.len -= len + 1;
	}
	return false;
}

bool http_field_is_hop_by_hop(const struct http_message *message,
			      struct str name)
{
	static const struct str hops[] = {
		STR("connection"),
		STR("keep-alive"),
		STR("proxy-connection"),
		STR("proxy-authenticate"),
		STR("proxy-authorization"),
		STR("te"),
		STR("trailer"),
		STR("transfer-encoding"),
		STR("upgrade"),
		STR("content-length"),
		STR("expect"),
	};
	size_t i;

	for (i = 0; i < sizeof(hops) / sizeof(*hops); i++) {
		if (eq_nocase(name, hops[i]))
			return true;
	}
	return names_field(http_message_field(message, STR("connection")),
			   name);
}

const char *http_status_text(int status)
{
	switch (status) {
#define STATUS_CASE(num, name, text)                                           \
	case num:                                                              \
		return #text;
		HTTP_STATUS_MAP(STATUS_CASE)
#undef STATUS_CASE
	default:
		return "Unknown";
	}
}
