#include "http_message.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <event2/buffer.h>

#include "error.h"
#include "mem.h"
#include "records.h"

#define BODY_INITIAL_SIZE 1024 /* bytes, first allocation */
/* What a connection keeps of each buffer between messages, bytes. */
#define KEPT_SIZE_MAX 4096
/* Header fields that it keeps room for. */
#define KEPT_FIELDS_MAX 64
/* A body of this size, bytes, is reduced to its greatest records. */
#define REDUCED_SIZE_MIN 65536

static struct http_message *get_message(struct http_parser *parser)
{
	return parser->data;
}

static bool eq_nocase(struct str a, struct str b)
{
	return a.len == b.len && !strncasecmp(a.data, b.data, a.len);
}

static void count_memory(const struct http_message *message, size_t before,
			 size_t now)
{
	if (message->memory)
		message->memory->used += now - before;
}

static char *grow(const struct http_message *message, char *buf, size_t *cap,
		  size_t new_cap)
{
	count_memory(message, *cap, new_cap);
	*cap = new_cap;
	return mem_realloc(buf, new_cap);
}

static void release(const struct http_message *message, char **buf, size_t *cap)
{
	count_memory(message, *cap, 0);
	*cap = 0;
	free(*buf);
	*buf = NULL;
}

static int append_head(struct http_message *message, const char *at, size_t len,
		       struct http_span *span)
{
	if (message->head_len + len > message->limits->head) {
		message->error = ERR_TOO_LARGE;
		message->head_too_large = true;
		return 1;
	}
	if (message->head_len + len > message->head_cap)
		message->head = grow(message, message->head, &message->head_cap,
				     (message->head_len + len) * 2);
	memcpy(message->head + message->head_len, at, len);
	if (!span->len)
		span->offset = (uint32_t)message->head_len;
	span->len += (uint32_t)len;
	message->head_len += len;
	return 0;
}

static int on_begin(struct http_parser *parser)
{
	get_message(parser)->state = MESSAGE_HEAD;
	return 0;
}

static int on_url(struct http_parser *parser, const char *at, size_t len)
{
	struct http_message *message = get_message(parser);

	return append_head(message, at, len, &message->target);
}

static size_t fields_size(const struct http_message *message)
{
	return (size_t)message->cap_fields * sizeof(*message->fields);
}

static void add_field(struct http_message *message)
{
	size_t before = fields_size(message);

	MEM_GROW(message->fields, message->n_fields, message->cap_fields);
	count_memory(message, before, fields_size(message));
	memset(&message->fields[message->n_fields++], 0,
	       sizeof(*message->fields));
}

static void free_fields(struct http_message *message)
{
	count_memory(message, fields_size(message), 0);
	free(message->fields);
	message->fields = NULL;
	message->cap_fields = 0;
}

static int on_header_name(struct http_parser *parser, const char *at,
			  size_t len)
{
	struct http_message *message = get_message(parser);

	/*
	 * http-parser and a server may read "Content-Length : 5" differently,
	 * which would allow request smuggling.
	 */
	if (memchr(at, ' ', len)) {
		message->error = ERR_SYNTAX;
		return 1;
	}
	/* Trailers after the last chunk are ignored. */
	if (message->state == MESSAGE_BODY)
		return 0;
	if (!message->n_fields || message->in_value) {
		add_field(message);
		message->in_value = false;
	}
	return append_head(message, at, len,
			   &message->fields[message->n_fields - 1].name);
}

static int on_header_value(struct http_parser *parser, const char *at,
			   size_t len)
{
	struct http_message *message = get_message(parser);

	if (message->state == MESSAGE_BODY)
		return 0;
	message->in_value = true;
	return append_head(message, at, len,
			   &message->fields[message->n_fields - 1].value);
}

static struct str trim(struct str s)
{
	while (s.len && (*s.data == ' ' || *s.data == '\t')) {
		s.data++;
		s.len--;
	}
	while (s.len && (s.data[s.len - 1] == ' ' || s.data[s.len - 1] == '\t'))
		s.len--;
	return s;
}

/* Another coding, which nobody asked for, would be taken off with its field. */
static bool has_other_coding(const struct http_message *message)
{
	int n = 0;
	int i;

	for (i = 0; i < message->n_fields; i++) {
		const struct http_field *field = &message->fields[i];

		if (!eq_nocase(http_message_span(message, field->name),
			       STR("transfer-encoding")))
			continue;
		if (n++ ||
		    !eq_nocase(trim(http_message_span(message, field->value)),
			       STR("chunked")))
			return true;
	}
	return false;
}

/* Whether the message ends with its head, whatever its fields say. */
static bool ends_with_head(const struct http_message *message)
{
	unsigned int status = message->parser.status_code;

	if (message->no_body || message->parser.type == HTTP_REQUEST)
		return message->no_body;
	return status / 100 == 1 || status == HTTP_STATUS_NO_CONTENT ||
	       status == HTTP_STATUS_NOT_MODIFIED;
}

static int on_headers(struct http_parser *parser)
{
	struct http_message *message = get_message(parser);
	bool framed =
		parser->flags & F_CHUNKED || parser->flags & F_CONTENTLENGTH;

	message->state = MESSAGE_BODY;
	message->keep_alive = http_should_keep_alive(parser);
	if (has_other_coding(message)) {
		message->error = ERR_SYNTAX;
		return -1;
	}
	if (ends_with_head(message))
		return 1;
	if (framed && !(parser->flags & F_CHUNKED) &&
	    parser->content_length > message->limits->body) {
		message->error = ERR_TOO_LARGE;
		return -1;
	}
	message->until_close = parser->type == HTTP_RESPONSE && !framed;
	return 0;
}

static size_t body_capacity(const struct http_message *message, size_t len)
{
	size_t cap = len < BODY_INITIAL_SIZE ? BODY_INITIAL_SIZE : len * 2;

	return cap < message->limits->body ? cap : message->limits->body;
}

static void reduce_body(struct http_message *message)
{
	size_t kept_max = (size_t)message->records_max * RECORD_SIZE;

	if (message->records_max && message->body_len >= REDUCED_SIZE_MIN &&
	    message->body_len >= 2 * kept_max)
		message->body_len =
			records_reduce(message->body, message->body_len,
				       message->records_max);
}

static int on_body(struct http_parser *parser, const char *at, size_t len)
{
	struct http_message *message = get_message(parser);
	size_t new_len;

	message->body_read += len;
	if (message->body_read > message->limits->body) {
		message->error = ERR_TOO_LARGE;
		return 1;
	}
	reduce_body(message);
	new_len = message->body_len + len;
	if (new_len > message->body_cap)
		message->body = grow(message, message->body, &message->body_cap,
				     body_capacity(message, new_len));
	memcpy(message->body + message->body_len, at, len);
	message->body_len = new_len;
	return 0;
}

/* Pausing stops the parser exactly at the end of the message. */
static int on_complete(struct http_parser *parser)
{
	get_message(parser)->state = MESSAGE_COMPLETE;
	http_parser_pause(parser, 1);
	return 0;
}

static const struct http_parser_settings callbacks = {
	.on_message_begin = on_begin,
	.on_url = on_url,
	.on_header_field = on_header_name,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

void http_message_init(struct http_message *message, enum http_parser_type type,
		       const struct http_limits *limits)
{
	memset(message, 0, sizeof(*message));
	message->limits = limits;
	http_parser_init(&message->parser, type);
	message->parser.data = message;
	http_strict_init(&message->strict, type == HTTP_RESPONSE);
}

void http_message_finish(struct http_message *message)
{
	release(message, &message->head, &message->head_cap);
	release(message, &message->body, &message->body_cap);
	free_fields(message);
}

char *http_message_take_body(struct http_message *message, size_t *len)
{
	char *body = message->body;

	*len = message->body_len;
	/* It was grown for more to come. */
	if (body && *len < message->body_cap)
		body = mem_realloc(body, *len);
	count_memory(message, message->body_cap, 0);
	message->body = NULL;
	message->body_cap = 0;
	message->body_len = 0;
	return body;
}

size_t http_message_allocated(const struct http_message *message)
{
	return message->head_cap + message->body_cap + fields_size(message);
}

void http_message_reset(struct http_message *message)
{
	enum http_parser_type type =
		(enum http_parser_type)message->parser.type;

	if (message->head_cap > KEPT_SIZE_MAX)
		release(message, &message->head, &message->head_cap);
	if (message->body_cap > KEPT_SIZE_MAX)
		release(message, &message->body, &message->body_cap);
	if (message->cap_fields > KEPT_FIELDS_MAX)
		free_fields(message);
	http_parser_init(&message->parser, type);
	message->parser.data = message;
	http_strict_init(&message->strict, type == HTTP_RESPONSE);
	message->state = MESSAGE_EMPTY;
	message->error = 0;
	message->head_too_large = false;
	message->no_body = false;
	message->records_max = 0;
	message->head_len = 0;
	message->head_read = 0;
	message->stream_read = 0;
	message->target = (struct http_span){0, 0};
	message->n_fields = 0;
	message->in_value = false;
	message->body_len = 0;
	message->body_read = 0;
	message->until_close = false;
	message->keep_alive = false;
}

static int parse(struct http_message *message, const char *data, size_t len,
		 size_t *used)
{
	enum http_errno code;

	*used = http_parser_execute(&message->parser, &callbacks, data, len);
	if (!message->error)
		message->error =
			http_strict_read(&message->strict, data, *used,
					 message->parser.flags & F_CHUNKED);
	if (!message->error && message->state == MESSAGE_COMPLETE)
		return 1;
	code = HTTP_PARSER_ERRNO(&message->parser);
	if (code != HPE_OK && !message->error)
		message->error = ERR_SYNTAX;
	if (message->state <= MESSAGE_HEAD)
		message->head_read += *used;
	message->stream_read += *used;
	if (!message->error && message->head_read > message->limits->head) {
		message->error = ERR_TOO_LARGE;
		message->head_too_large = true;
	}
	if (!message->error && message->limits->stream &&
	    message->stream_read > message->limits->stream)
		message->error = ERR_TOO_LARGE;
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
	return (struct str){span.len ? message->head + span.offset : "",
			    span.len};
}

static const struct http_field *find_field(const struct http_message *message,
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
	const struct http_field *field = find_field(message, name);

	if (!field)
		return (struct str){"", 0};
	return http_message_span(message, field->value);
}

bool http_message_has_field(const struct http_message *message, struct str name)
{
	return find_field(message, name);
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

static bool list_contains(struct str list, struct str name)
{
	while (list.len) {
		const char *comma = memchr(list.data, ',', list.len);
		size_t len = comma ? (size_t)(comma - list.data) : list.len;
		struct str item = {list.data, len};

		while (item.len && *item.data == ' ') {
			item.data++;
			item.len--;
		}
		while (item.len && item.data[item.len - 1] == ' ')
			item.len--;
		if (eq_nocase(item, name))
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
	return list_contains(http_message_field(message, STR("connection")),
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
