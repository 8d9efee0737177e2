/* Messages as a whole, with what http-parser and its check make of them. */
#include <string.h>

#include <event2/buffer.h>

#include "error.h"
#include "http_message.h"
#include "unit.h"

#define STAMP "X-Server-Stamp: s\r\n"
#define OK "HTTP/1.1 200 OK\r\n"
#define CHUNKED OK "Transfer-Encoding: chunked\r\n"
#define LENGTH "Content-Length: 2\r\n"

static const struct http_limits limits = {.head = 512, .body = 256};

/*
 * Reads a response that is followed by the end of the connection, in two pieces
 * that are split at @split.
 *
 * Return: 1 if it is complete and nothing is left of it, 0 if not, or an error.
 */
static int read_split(enum http_parser_type type, struct str text, size_t split)
{
	struct evbuffer *in = evbuffer_new();
	struct http_message message;
	int ret;

	http_message_init(&message, type, &limits);
	evbuffer_add(in, text.data, split);
	ret = http_message_read(&message, in);
	if (!ret) {
		evbuffer_add(in, text.data + split, text.len - split);
		ret = http_message_read(&message, in);
	}
	if (!ret)
		ret = http_message_eof(&message);
	if (ret == 1 && evbuffer_get_length(in))
		ret = 0;
	http_message_finish(&message);
	evbuffer_free(in);
	return ret;
}

static void check_read(enum http_parser_type type, struct str text,
		       bool is_message)
{
	size_t split;

	for (split = 0; split <= text.len; split++) {
		int ret = read_split(type, text, split);

		if ((ret == 1) == is_message)
			continue;
		CU_FAIL("");
		printf("\n    \"%.*s\" split at %zu: %d\n", (int)text.len,
		       text.data, split, ret);
		return;
	}
	CU_PASS("");
}

static void check_all(enum http_parser_type type, const struct str *texts,
		      size_t n, bool is_message)
{
	size_t i;

	for (i = 0; i < n; i++)
		check_read(type, texts[i], is_message);
}

#define REFUSED(texts)                                                         \
	check_all(HTTP_RESPONSE, texts, sizeof(texts) / sizeof(*(texts)), false)
#define ACCEPTED(texts)                                                        \
	check_all(HTTP_RESPONSE, texts, sizeof(texts) / sizeof(*(texts)), true)

#define END "\r\n" LENGTH "\r\nok"

/* Guards against strictness that costs answers which servers send. */
static void test_accepted(void)
{
	static const struct str texts[] = {
		STR(OK LENGTH "\r\nok"),
		STR("HTTP/1.0 200 OK" END),
		STR("HTTP/1.1 200" END),
		STR("HTTP/1.1 200 " END),
		STR("HTTP/1.1 599 a\tb \xc3\xa9" END),
		STR("HTTP/1.1 100 Continue\r\n\r\n"),
		STR("HTTP/1.1 200 OK\nContent-Length: 2\n\nok"),
		STR(OK "A:\r\nB:b\r\nC: \t c \r\n" LENGTH "\r\nok"),
		STR(OK "!#$%&'*+-.^_`|~09azAZ: x\r\n" LENGTH "\r\nok"),
		STR(OK "X: \x80\xff\r\n" LENGTH "\r\nok"),
		STR(OK "Content-Length: 0\r\n\r\n"),
		STR(OK "\r\nuntil the end"),
		STR(CHUNKED "\r\n2\r\nok\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n002;a=\"b\"\r\nok\r\nA\r\n0123456789\r\n"
			    "0;c\r\nX-Field: x\r\n\r\n"),
		STR(OK "transfer-encoding:Chunked \r\n\r\n0\r\n\r\n"),
	};

	ACCEPTED(texts);
}

/* Guards against a status that is none, which callers got as an answer. */
static void test_status(void)
{
	static const struct str texts[] = {
		STR("HTTP/1.1 000 Unknown" END), STR("HTTP/1.1 001 Odd" END),
		STR("HTTP/1.1 007 Odd" END),	 STR("HTTP/1.1 099 Odd" END),
		STR("HTTP/1.1 20 OK" END),	 STR("HTTP/1.1 2 OK" END),
		STR("HTTP/1.1 600 Odd" END),	 STR("HTTP/1.1 999 Odd" END),
		STR("HTTP/1.1 2000 OK" END),	 STR("HTTP/1.1 20 0 OK" END),
		STR("HTTP/1.1  200 OK" END),	 STR("HTTP/1.1\t200 OK" END),
		STR("HTTP/1.1 200\tOK" END),	 STR("HTTP/1.1 2x0 OK" END),
		STR("HTTP/1.1 -20 OK" END),	 STR("HTTP/1.1 OK" END),
		STR("HTTP/1.1 000\r\n\r\n"),
	};

	REFUSED(texts);
}

/* RFC 9112, 4: the reason holds visible characters, blanks and tabs. */
static void test_status_line(void)
{
	static const struct str texts[] = {
		STR("HTTP/1.1 200 O\x01K" END),
		STR("HTTP/1.1 200 O\0K" END),
		STR("HTTP/1.1 200 O\x7fK" END),
		STR("HTTP/1.1 200 O\rK" END),
		STR("HTTP/1.1 200 OK\r\r\n" LENGTH "\r\nok"),
		STR("HTTP/2.0 200 OK" END),
		STR("HTTP/0.9 200 OK" END),
		STR("HTTP/1.10 200 OK" END),
		STR("HTTP/1 200 OK" END),
		STR("http/1.1 200 OK" END),
		STR("ICY 200 OK" END),
		/* 2.2: only a server skips blank lines, before a request. */
		STR("\r\nHTTP/1.1 200 OK" END),
		STR("\nHTTP/1.1 200 OK" END),
		STR(" HTTP/1.1 200 OK" END),
	};

	REFUSED(texts);
}

/* Guards against a field whose name no server sends. */
static void test_field_names(void)
{
	static const struct str texts[] = {
		STR(OK " X: x\r\n" LENGTH "\r\nok"),
		STR(OK "X y: x\r\n" LENGTH "\r\nok"),
		STR(OK "X : x\r\n" LENGTH "\r\nok"),
		STR(OK "Content-Length : 2\r\n\r\nok"),
		STR(OK "X\ty: x\r\n" LENGTH "\r\nok"),
		STR(OK "X\x01y: x\r\n" LENGTH "\r\nok"),
		STR(OK "X\0y: x\r\n" LENGTH "\r\nok"),
		STR(OK "X\x7fy: x\r\n" LENGTH "\r\nok"),
		STR(OK "X\xc3\xa9: x\r\n" LENGTH "\r\nok"),
		STR(OK ": x\r\n" LENGTH "\r\nok"),
		STR(OK "X\"y: x\r\n" LENGTH "\r\nok"),
		STR(OK "X\ry: x\r\n" LENGTH "\r\nok"),
		STR(OK "X\r\n" LENGTH "\r\nok"),
		STR(OK "X: a\rb\r\n" LENGTH "\r\nok"),
		STR(OK "X: a\0b\r\n" LENGTH "\r\nok"),
		STR(OK "X: a\x01"
		       "b\r\n" LENGTH "\r\nok"),
		STR(OK LENGTH "\r_ok"),
	};

	REFUSED(texts);
}

/* RFC 9112, 5.2: no sender may generate a folded line. */
static void test_folded_lines(void)
{
	static const struct str texts[] = {
		STR(OK "Content-Length:\r\n 2\r\n\r\nok"),
		STR(OK "X: a\r\n b\r\n" LENGTH "\r\nok"),
		STR(OK "X: a\r\n\tb\r\n" LENGTH "\r\nok"),
		STR(OK LENGTH " \r\n\r\nok"),
	};

	REFUSED(texts);
}

/* RFC 9112, 7.1: each line and each chunk ends with CR LF. */
static void test_chunks(void)
{
	static const struct str texts[] = {
		STR(CHUNKED "\r\n2\r\nokXY0\r\n\r\n"),
		STR(CHUNKED "\r\n2\r\nok\r0\r\n\r\n"),
		STR(CHUNKED "\r\n2\r\nok0\r\n\r\n"),
		STR(CHUNKED "\r\n2\nok\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n2\rXok\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n2;a\nok\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n2;a\x01\r\nok\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n;a\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n-2\r\nok\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n0x2\r\nok\r\n0\r\n\r\n"),
		STR(CHUNKED "\r\n2\r\nok\r\n"),
		STR(CHUNKED "\r\n1000000000000000002\r\nok\r\n0\r\n\r\n"),
	};

	REFUSED(texts);
}

/* Guards against trailers that are read by other rules than heads. */
static void test_trailers(void)
{
	static const struct str texts[] = {
		STR(CHUNKED "\r\n0\r\nX y: x\r\n\r\n"),
		STR(CHUNKED "\r\n0\r\nX : x\r\n\r\n"),
		STR(CHUNKED "\r\n0\r\nX\x01y: x\r\n\r\n"),
		STR(CHUNKED "\r\n0\r\nX: a\x01"
			    "b\r\n\r\n"),
		STR(CHUNKED "\r\n0\r\nX: a\r\n b\r\n\r\n"),
		STR(CHUNKED "\r\n0\r\nX: a\r\n\r_"),
	};

	REFUSED(texts);
}

/* RFC 9112, 6.1: a coding that was not asked for leaves another body. */
static void test_transfer_codings(void)
{
	static const struct str texts[] = {
		STR(OK "Transfer-Encoding: gzip\r\n\r\nok"),
		STR(OK "Transfer-Encoding: gzip, chunked\r\n\r\n"
		       "2\r\nok\r\n0\r\n\r\n"),
		STR(OK "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked"
		       "\r\n\r\n2\r\nok\r\n0\r\n\r\n"),
		STR(OK "Transfer-Encoding: chunked, chunked\r\n\r\n"
		       "2\r\nok\r\n0\r\n\r\n"),
		STR(OK "Transfer-Encoding: identity\r\n\r\nok"),
		STR(OK "Transfer-Encoding:\r\n\r\nok"),
		STR(OK "Transfer-Encoding: xchunked\r\n\r\n"
		       "2\r\nok\r\n0\r\n\r\n"),
		STR(CHUNKED LENGTH "\r\n2\r\nok\r\n0\r\n\r\n"),
	};

	REFUSED(texts);
}

/* RFC 9112, 6.3: an invalid length makes the message's end unknown. */
static void test_lengths(void)
{
	static const struct str texts[] = {
		STR(OK "Content-Length:\r\n\r\n"),
		STR(OK "Content-Length:\r\n\r\nok"),
		STR(OK "Content-Length: +2\r\n\r\nok"),
		STR(OK "Content-Length: -2\r\n\r\nok"),
		STR(OK "Content-Length: 0x2\r\n\r\nok"),
		STR(OK "Content-Length: 2 2\r\n\r\nok"),
		STR(OK "Content-Length: 2, 3\r\n\r\nok"),
		STR(OK "Content-Length: 2;\r\n\r\nok"),
		STR(OK "Content-Length: 99999999999999999999\r\n\r\nok"),
		STR(OK LENGTH "Content-Length: 3\r\n\r\nok"),
		STR(OK "Content-Length: 3\r\n\r\nok"),
	};

	REFUSED(texts);
}

static int read_head(const char *text, bool no_body, size_t *left)
{
	struct evbuffer *in = evbuffer_new();
	struct http_message message;
	int ret;

	http_message_init(&message, HTTP_RESPONSE, &limits);
	message.no_body = no_body;
	evbuffer_add(in, text, strlen(text));
	ret = http_message_read(&message, in);
	*left = evbuffer_get_length(in);
	CU_ASSERT_EQUAL(message.body_len, 0);
	http_message_finish(&message);
	evbuffer_free(in);
	return ret;
}

/*
 * Guards against an answer without a body that is waited on for one, or gets
 * one. RFC 9112, 6.3: it ends with its head, whatever its fields say.
 */
static void test_no_body(void)
{
	static const char *const statuses[] = {"204", "304", "103"};
	static const char *const fields[] = {"", "Content-Length: 2\r\n",
					     "Content-Length: 99999\r\n",
					     "Transfer-Encoding: chunked\r\n"};
	char text[200];
	size_t left;
	size_t i;
	size_t k;

	for (i = 0; i < 3; i++) {
		for (k = 0; k < 4; k++) {
			snprintf(text, sizeof(text),
				 "HTTP/1.1 %s No\r\n%s\r\n2\r\nok\r\n",
				 statuses[i], fields[k]);
			CU_ASSERT_EQUAL(read_head(text, false, &left), 1);
			CU_ASSERT_EQUAL(left, strlen("2\r\nok\r\n"));
		}
	}
	CU_ASSERT_EQUAL(read_head(OK "Content-Length: 99999\r\n\r\n", true,
				  &left),
			1);
}

/* Requests keep what RFC 9112 lets a server accept. */
static void test_requests(void)
{
	static const struct str good[] = {
		STR("\r\n\nGET / HTTP/1.1\r\nHost: h\r\n\r\n"),
		STR("GET / HTTP/1.1\nHost: h\n\n"),
		STR("GET /\xc3\xa9?a=\"b\" HTTP/1.1\r\nHost: \xff\r\n\r\n"),
		STR("GET / HTTP/1.1\r\nHost: h\r\nX: a\r\n b\r\n\r\n"),
		STR("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "2;a\r\nok\r\n0\r\n\r\n"),
	};
	static const struct str bad[] = {
		STR("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "2\r\nokXY0\r\n\r\n"),
		STR("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		    "2;\nok\r\n0\r\n\r\n"),
		STR("POST / HTTP/1.1\r\nTransfer-Encoding: gzip, chunked\r\n"
		    "\r\n2\r\nok\r\n0\r\n\r\n"),
		STR("GET / HTTP/1.1\r\nHost: h\r\n\r_"),
		STR("GET / HTTP/1.1\r\nX y: h\r\n\r\n"),
		STR("GET /a\tb HTTP/1.1\r\nHost: h\r\n\r\n"),
		STR("GET /a\fb HTTP/1.1\r\nHost: h\r\n\r\n"),
		STR("GET /a\vb HTTP/1.1\r\nHost: h\r\n\r\n"),
		STR("GET /a\x01 HTTP/1.1\r\nHost: h\r\n\r\n"),
		STR("GET /a b HTTP/1.1\r\nHost: h\r\n\r\n"),
		STR("GET / HTTP/1.1\r\nHost: h\x01\r\n\r\n"),
		STR("GET / HTTP/1.1\r\nX-Request-Id: a\0b\r\n\r\n"),
	};

	check_all(HTTP_REQUEST, good, sizeof(good) / sizeof(*good), true);
	check_all(HTTP_REQUEST, bad, sizeof(bad) / sizeof(*bad), false);
}

static const struct unit_test tests[] = {
	{"accepted", test_accepted},
	{"status", test_status},
	{"status line", test_status_line},
	{"field names", test_field_names},
	{"folded lines", test_folded_lines},
	{"chunks", test_chunks},
	{"trailers", test_trailers},
	{"transfer codings", test_transfer_codings},
	{"lengths", test_lengths},
	{"no body", test_no_body},
	{"requests", test_requests},
};

UNIT_MAIN("http_strict", tests)
