/* Writes JSON text to an evbuffer. */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include "str.h"

struct evbuffer;

/**
 * json_text_add_string() - append a quoted and escaped string
 * @out: the buffer
 * @s: any bytes; those that are no UTF-8 become U+FFFD
 */
void json_text_add_string(struct evbuffer *out, struct str s);

#endif
