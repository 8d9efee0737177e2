#include <string.h>

#include <event2/buffer.h>

#include "error.h"
#include "http_message.h"
#include "unit.h"

static const struct http_limits limits = {.head = 256, .body = 64};

static int feed(struct http_message *message, struct evbuffer *in,
		const char *text)
{
	evbuffer_add(in, text, strlen(text));
	return http_message_read(message, in);
}

/* Reads a text in two pieces, cut at each place. */
static void read_cut(enum http_parser_type type, const char *text,
		     const char *body)
{
	size_t len = strlen(text);
	size_t cut;

	for (cut = 0; cut <= len; cut++) {
		struct evbuffer *in = evbuffer_new();
		struct http_message message;
		int ret;

		http_message_init(&message, type, &limits);
		evbuffer_add(in, text, cut);
		ret = http_message_read(&message, in);
		if (ret == 0) {
			evbuffer_add(in, text + cut, len - cut);
			ret = http_message_read(&message, in);
		}
		CU_ASSERT(ret == 1);
		CU_ASSERT(str_eq_text(http_message_body(&message), body));
		http_message_finish(&message);
		evbuffer_free(in);
	}
}

static void test_request_in_pieces(void)
{
	read_cut(HTTP_REQUEST,
		 "POST /a/b?c=d HTTP/1.1\r\nHost: h\r\nX-Long: v w\r\n"
		 "Content-Length: 5\r\n\r\nhello",
		 "hello");
	read_cut(HTTP_REQUEST,
		 "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked"
		 "\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\nTrailer: x\r\n\r\n",
		 "abcde");
	read_cut(HTTP_RESPONSE,
		 "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc", "abc");
}

static void test_fields(void)
{
	struct evbuffer *in = evbuffer_new();
	struct http_message message;

	http_message_init(&message, HTTP_REQUEST, &limits);
	CU_ASSERT(feed(&message, in,
		       "GET /x HTTP/1.1\r\nHost: here\r\nConnection: "
		       "close, X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\nEmpty:\r\n"
		       "\r\n") == 1);
	CU_ASSERT(str_eq_text(http_message_target(&message), "/x"));
	CU_ASSERT(
		str_eq_text(http_message_field(&message, STR("HOST")), "here"));
	CU_ASSERT(http_message_has_field(&message, STR("empty")));
	CU_ASSERT(!http_message_has_field(&message, STR("none")));
	CU_ASSERT(http_field_is_hop_by_hop(&message, STR("x-hop")));
	CU_ASSERT(http_field_is_hop_by_hop(&message, STR("Content-Length")));
	CU_ASSERT(!http_field_is_hop_by_hop(&message, STR("X-End")));
	CU_ASSERT(!message.keep_alive);
	http_message_finish(&message);
	evbuffer_free(in);
}

/*
 * A server sends more bytes than its answer says. If they were taken for the
 * next answer, another caller would get them.
 */
static void test_stops_behind_message(void)
{
	struct evbuffer *in = evbuffer_new();
	struct http_message message;

	http_message_init(&message, HTTP_RESPONSE, &limits);
	CU_ASSERT(feed(&message, in,
		       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 "
		       "200 OK\r\n") == 1);
	CU_ASSERT(str_eq_text(http_message_body(&message), "ok"));
	CU_ASSERT(evbuffer_get_length(in) == strlen("HTTP/1.1 200 OK\r\n"));
	http_message_reset(&message);
	CU_ASSERT(feed(&message, in, "Content-Length: 0\r\n\r\n") == 1);
	CU_ASSERT(message.body_len == 0);
	http_message_finish(&message);
	evbuffer_free(in);
}

/*
 * Without a length, an answer ends with its connection. One that ends with a
 * length still to come was cut off and must not look whole.
 */
static void test_end_of_connection(void)
{
	struct evbuffer *in = evbuffer_new();
	struct http_message message;

	http_message_init(&message, HTTP_RESPONSE, &limits);
	CU_ASSERT(feed(&message, in, "HTTP/1.1 200 OK\r\n\r\npart") == 0);
	CU_ASSERT(message.until_close);
	CU_ASSERT(http_message_eof(&message) == 1);
	CU_ASSERT(str_eq_text(http_message_body(&message), "part"));
	http_message_reset(&message);
	CU_ASSERT(feed(&message, in,
		       "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart") ==
		  0);
	CU_ASSERT(http_message_eof(&message) == ERR_LOST);
	http_message_finish(&message);
	evbuffer_free(in);
}

static int read_once(const char *text, struct http_message *message)
{
	struct evbuffer *in = evbuffer_new();
	int ret;

	http_message_init(message, HTTP_REQUEST, &limits);
	ret = feed(message, in, text);
	evbuffer_free(in);
	return ret;
}

static void test_refused(void)
{
	static const char *const bad[] = {
		"GET / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
		"chunked\r\n\r\n0\r\n\r\n",
		"GET / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n"
		"\r\nabc",
		"\x16\x03\x01",
		"GET / HTTP/1.1\r\nBad Name: x\r\n\r\n",
	};
	struct http_message message;
	char head[400];
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(*bad); i++) {
		CU_ASSERT(read_once(bad[i], &message) == ERR_SYNTAX);
		http_message_finish(&message);
	}
	memset(head, 'a', sizeof(head));
	memcpy(head, "GET /", 5);
	head[sizeof(head) - 1] = '\0';
	CU_ASSERT(read_once(head, &message) == ERR_TOO_LARGE);
	CU_ASSERT(message.head_too_large);
	http_message_finish(&message);
	CU_ASSERT(read_once("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n",
			    &message) == ERR_TOO_LARGE);
	CU_ASSERT(!message.head_too_large);
	http_message_finish(&message);
}

static const struct unit_test tests[] = {
	{"request in pieces", test_request_in_pieces},
	{"fields", test_fields},
	{"stops behind the message", test_stops_behind_message},
	{"end of connection", test_end_of_connection},
	{"refused", test_refused},
};

UNIT_MAIN("http_message", tests)
