/* JSON written into a buffer piece by piece. */
#ifndef JSON_TEXT_H
#define JSON_TEXT_H

#include "str.h"

struct evbuffer;

/**
 * json_text_add_string() - append a quoted and escaped string
 */
void json_text_add_string(struct evbuffer *out, struct str s);

#endif
