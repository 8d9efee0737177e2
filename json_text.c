#include "json_text.h"

#include <stdio.h>

#include <event2/buffer.h>

static void add_escaped(struct evbuffer *out, unsigned char c)
{
	if (c == '"' || c == '\\')
		evbuffer_add_printf(out, "\\%c", c);
	else
		evbuffer_add_printf(out, "\\u%04x", c);
}

void json_text_add_string(struct evbuffer *out, struct str s)
{
	size_t start = 0;
	size_t i;

	evbuffer_add(out, "\"", 1);
	for (i = 0; i < s.len; i++) {
		unsigned char c = s.data[i];

		if (c >= 0x20 && c != '"' && c != '\\')
			continue;
		evbuffer_add(out, s.data + start, i - start);
		add_escaped(out, c);
		start = i + 1;
	}
	evbuffer_add(out, s.data + start, s.len - start);
	evbuffer_add(out, "\"", 1);
}
