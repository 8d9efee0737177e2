#include "json_text.h"

#include <stdio.h>

#include <event2/buffer.h>

/* A byte that is no text becomes U+FFFD. */
static void add_escaped(struct evbuffer *out, unsigned char c)
{
	if (c >= 0x80)
		evbuffer_add_printf(out, "\\ufffd");
	else if (c == '"' || c == '\\')
		evbuffer_add_printf(out, "\\%c", c);
	else
		evbuffer_add_printf(out, "\\u%04x", c);
}

/* Return: how many bytes at the start of @s need no escape. */
static size_t plain_len(struct str s)
{
	size_t i = 0;
	size_t len;

	while (i < s.len) {
		unsigned char c = s.data[i];

		len = str_utf8_len((struct str){s.data + i, s.len - i});
		if (!len || c < 0x20 || c == '"' || c == '\\')
			break;
		i += len;
	}
	return i;
}

void json_text_add_string(struct evbuffer *out, struct str s)
{
	evbuffer_add(out, "\"", 1);
	while (s.len) {
		size_t len = plain_len(s);

		evbuffer_add(out, s.data, len);
		if (len < s.len)
			add_escaped(out, (unsigned char)s.data[len++]);
		s.data += len;
		s.len -= len;
	}
	evbuffer_add(out, "\"", 1);
}
