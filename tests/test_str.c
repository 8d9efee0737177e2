/* Texts from outside, in strings and in lines of the log. */
#define LOG_MODULE "test_str"
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <event2/buffer.h>
#include <event2/event.h>
#include <json-c/json.h>

#include "json_text.h"
#include "log.h"
#include "str.h"
#include "unit.h"

#define LONG_TEXT 9000

static void test_utf8(void)
{
	CU_ASSERT_EQUAL(str_utf8_len(STR("")), 0);
	CU_ASSERT_EQUAL(str_utf8_len(STR("a")), 1);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\0")), 1);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xc3\xa9x")), 2);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xe2\x82\xac")), 3);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xf0\x9f\x98\x80")), 4);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xf4\x8f\xbf\xbf")), 4);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\x80")), 0);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xc3")), 0);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xc3x")), 0);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xc0\x80")), 0);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xe0\x80\x80")), 0);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xed\xa0\x80")), 0);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xf4\x90\x80\x80")), 0);
	CU_ASSERT_EQUAL(str_utf8_len(STR("\xff")), 0);
}

static bool is_strict_json(const char *text)
{
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *root;
	bool is_json;

	json_tokener_set_flags(tokener, JSON_TOKENER_STRICT |
						JSON_TOKENER_VALIDATE_UTF8);
	root = json_tokener_parse_ex(tokener, text, (int)strlen(text) + 1);
	is_json = json_tokener_get_error(tokener) == json_tokener_success;
	json_object_put(root);
	json_tokener_free(tokener);
	return is_json;
}

static bool is_json_text(struct str text)
{
	struct evbuffer *out = evbuffer_new();
	bool is_json;

	json_text_add_string(out, text);
	evbuffer_add(out, "", 1);
	is_json = is_strict_json((char *)evbuffer_pullup(out, -1));
	evbuffer_free(out);
	return is_json;
}

static bool is_json_line(struct str text)
{
	struct event_base *base = event_base_new();
	static char line[2 * LONG_TEXT];
	int fds[2];
	ssize_t n;

	CU_ASSERT_FATAL(!pipe(fds));
	log_start(base, fds[1]);
	LOG_WARN("odd", LOG_STR("first", text), LOG_STR("second", text),
		 LOG_I64("third", 3));
	log_stop();
	n = read(fds[0], line, sizeof(line) - 1);
	CU_ASSERT_FATAL(n > 0);
	line[n] = '\0';
	close(fds[0]);
	close(fds[1]);
	event_base_free(base);
	return is_strict_json(line) && strstr(line, "\"third\":3");
}

/* Guards against a line or a page that is no JSON by a text from outside. */
static void test_texts_from_outside(void)
{
	static const char ends[] = {'x',	'\0',	    '\n',
				    '"',	'\\',	    '\x7f',
				    (char)0xff, (char)0xc3, (char)0xe2};
	static char text[LONG_TEXT];
	size_t i;

	for (i = 0; i < sizeof(ends); i++) {
		struct str all = {text, sizeof(text)};

		CU_ASSERT(is_json_text((struct str){&ends[i], 1}));
		CU_ASSERT(is_json_line((struct str){&ends[i], 1}));
		memset(text, ends[i], sizeof(text));
		CU_ASSERT(is_json_text(all));
		CU_ASSERT(is_json_line(all));
	}
	CU_ASSERT(is_json_line(STR("")));
	CU_ASSERT(is_json_line(STR("a\xc3\xa9\xe2\x82\xac"
				   "b\xed\xa0\x80"
				   "c")));
}

static const struct unit_test tests[] = {
	{"UTF-8", test_utf8},
	{"texts from outside", test_texts_from_outside},
};

UNIT_MAIN("str", tests)
